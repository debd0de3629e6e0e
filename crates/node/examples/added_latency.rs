//! Measures the latency that nodes add to a request: `cargo run --release -p laburnum-node --example added_latency`.
//!
//! Sends requests to an upstream that answers at once: directly, through its own node, and through a second node that
//! forwards them to the first; with one caller and then with several.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{Router, body::Body, routing::get};
use http::{Request, header};
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use laburnum_edge::{Clock, MemoryPlatform};
use laburnum_kernel::{
    Call, Revision, SubmitId,
    accept::{self, Submission},
    id::Build,
    log::Edit,
    members::Phase,
};
use laburnum_node::{
    Config, Node,
    upstream::{Announcement, Upstream},
};
use tokio::net::{TcpListener, TcpStream};

const DOCUMENT: &str = include_str!("../tests/data/desk.toml");
/// Duration of one measurement.
const MEASURE_TIME: Duration = Duration::from_secs(3);
/// Timeout for the nodes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Concurrent callers in the second round; fewer than the upstream's slots.
const CALLERS: usize = 16;
/// Number of requests that the upstream handles concurrently.
const SLOTS: u16 = 64;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let upstream = upstream().await;
    let platform = Arc::new(MemoryPlatform::default());
    let (owner, owner_config) = node(Vec::new(), platform.clone(), 17_100).await;
    let (entry, entry_config) = node(vec![owner_config.control], platform, 17_110).await;
    let announcing = tokio::spawn(announce(owner.upstream().clone(), upstream));
    submit(&owner).await;
    for node in [&owner, &entry] {
        wait_until_ready(node).await;
    }
    let routes = [
        ("direct", upstream),
        ("own node", owner_config.caller),
        ("two nodes", entry_config.caller),
    ];
    for callers in [1, CALLERS] {
        for (name, address) in routes {
            measure(name, address, callers).await;
        }
    }
    announcing.abort();
    entry.close().await;
    owner.close().await;
}

async fn measure(name: &str, address: SocketAddr, callers: usize) {
    let cpu_before = cpu_time();
    let start = Instant::now();
    let running: Vec<_> = (0..callers)
        .map(|_| tokio::spawn(caller(address, start + MEASURE_TIME)))
        .collect();
    let mut times = Vec::new();
    for it in running {
        times.extend(it.await.expect("the caller runs"));
    }
    let cores = (cpu_time() - cpu_before).as_secs_f64() / start.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_micros();
    let rate = times.len() as f64 / MEASURE_TIME.as_secs_f64();
    println!(
        "event=measured way={name:?} callers={callers} requests={} p50_us={} p99_us={} rate={rate:.0} cores={cores:.2} cpu_us={:.1}",
        times.len(),
        at(0.50),
        at(0.99),
        cores * 1e6 / rate,
    );
}

async fn caller(address: SocketAddr, end: Instant) -> Vec<Duration> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    let mut times = Vec::new();
    while Instant::now() < end {
        let request = Request::get("/drafts/7")
            .header(header::HOST, "desk")
            .body(Body::empty())
            .expect("a request");
        let start = Instant::now();
        sender.ready().await.expect("a connection");
        let answer = sender.send_request(request).await.expect("an answer");
        assert_eq!(answer.status(), 200, "{:?}", answer.headers());
        answer.into_body().collect().await.expect("a whole body");
        times.push(start.elapsed());
    }
    times
}

/// Returns the CPU time of this process: callers, nodes and upstream together.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    // utime and stime are fields 14 and 15 of the line, in ticks of 10 ms.
    let ticks: u64 = fields
        .skip(11)
        .take(2)
        .filter_map(|it| it.parse::<u64>().ok())
        .sum();
    Duration::from_millis(10 * ticks)
}

async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let router = Router::new()
        .route("/drafts/7", get(|| async { "draft" }))
        .route(
            "/health",
            get(|| async { r#"{"phase":"ready","busy":0,"slots":64}"# }),
        );
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

async fn node(peers: Vec<SocketAddr>, platform: Arc<MemoryPlatform>, port: u16) -> (Node, Config) {
    let at = |offset| SocketAddr::from(([127, 0, 0, 1], port + offset));
    let config = Config {
        caller: at(0),
        control: at(1),
        traffic: at(2),
        admin: at(3),
        peers,
        ..Config::default()
    };
    let node = Node::start(config.clone(), Clock::system(), platform).await;
    (node.expect("the node starts"), config)
}

/// Announces the upstream each second; a node takes an upstream without announcements for gone.
async fn announce(upstream: Upstream, address: SocketAddr) {
    loop {
        let announced = upstream.announce(Announcement {
            service: "desk".parse().expect("a name"),
            address,
            slots: SLOTS,
            build: Build::default(),
            phase: Phase::Ready,
        });
        announced.expect("the node runs");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Waits until `node` has caught up and knows a ready endpoint of the service; before that it refuses requests.
async fn wait_until_ready(node: &Node) {
    let name = "desk".parse().expect("a name");
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let view = node.control().view();
        let mut endpoints = view.services.get(&name).into_iter();
        if view.ready && endpoints.any(|it| it.endpoints.iter().any(|it| it.phase == Phase::Ready))
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("a node is not ready within {START_TIMEOUT:?}");
}

async fn submit(node: &Node) {
    let submission = Submission {
        id: SubmitId(1),
        service: "desk".parse().expect("a name"),
        base: Revision(0),
        edit: Edit::Put {
            text: DOCUMENT.to_owned(),
        },
        author: "amal".to_owned(),
        reason: "first".to_owned(),
    };
    let call = Call::Accept(accept::Call::Submit(submission));
    node.control().call(call).await.expect("a reply");
}
