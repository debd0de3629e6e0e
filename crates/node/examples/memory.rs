//! Measures the memory, threads and CPU time of idle nodes, including the in-memory platform.
//!
//! `cargo run --release -p laburnum-node --example memory -- [nodes] [documents]` starts that many nodes (default: 1)
//! in this process, with that many documents of about 2 KB (default: 0). Use one run per size, because freed memory
//! would hide the growth of the next size.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use laburnum_edge::{Clock, MemoryPlatform};
use laburnum_kernel::{
    Call, Reply, Revision, SubmitId,
    accept::{self, Submission, Verdict},
    log::Edit,
};
use laburnum_node::{Config, Node};
use tokio::{net::TcpListener, task::JoinSet};

const DOCUMENT: &str = include_str!("../../../examples/nile/drafting-desk.toml");
/// Timeout until every node holds every document.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(15);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let count: usize = numbers.next().unwrap_or(1);
    let documents: usize = numbers.next().unwrap_or(0);
    let (empty_kb, _) = resident();
    let platform = Arc::new(MemoryPlatform::default());
    let mut nodes: Vec<Node> = Vec::new();
    let mut first = Vec::new();
    for number in 0..count {
        let config = config(number, first.clone()).await;
        if number == 0 {
            first.push(config.control);
        }
        let node = Node::start(config, Clock::system(), platform.clone()).await;
        nodes.push(node.expect("the node starts"));
    }
    for number in 0..documents {
        submit(&nodes[0], number).await;
    }
    let settled = settle(&nodes, documents).await;
    let (start, cpu_before) = (Instant::now(), cpu_time());
    tokio::time::sleep(MEASURE_TIME).await;
    let share = (cpu_time() - cpu_before).as_secs_f64() / start.elapsed().as_secs_f64();
    let (resident_kb, threads) = resident();
    let all = count as f64;
    println!(
        "nodes={count} documents={documents} settled={settled} before_kb={empty_kb} resident_kb={resident_kb} \
         kb_a_node={:.0} threads={threads} core_a_node={:.3}%",
        resident_kb.saturating_sub(empty_kb) as f64 / all,
        share * 100.0 / all,
    );
    let mut closing = JoinSet::new();
    for node in nodes {
        closing.spawn(node.close());
    }
    closing.join_all().await;
}

/// Returns whether every node holds every document within [`SETTLE_TIMEOUT`], after waiting for gossip to end.
async fn settle(nodes: &[Node], documents: usize) -> bool {
    let start = Instant::now();
    while start.elapsed() < SETTLE_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let holds = |it: &Node| it.control().view().services.len() == documents;
        if nodes.iter().all(holds) {
            // Gossip about members continues for a while after the last one joined.
            tokio::time::sleep(Duration::from_secs(10)).await;
            return true;
        }
    }
    false
}

async fn config(number: usize, peers: Vec<SocketAddr>) -> Config {
    Config {
        caller: free_address().await,
        control: free_address().await,
        traffic: free_address().await,
        admin: free_address().await,
        zone: format!("zone-{}", number % 3),
        peers,
        ..Config::default()
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let address = listener.and_then(|it| it.local_addr());
    address.expect("a free port")
}

async fn submit(node: &Node, number: usize) {
    let service = format!("some-service-{number}");
    let own = format!("service = \"{service}\"");
    let lines = DOCUMENT.lines().map(|line| match line {
        _ if line.starts_with("service = ") => own.as_str(),
        _ if line.starts_with("uses = ") => "",
        _ => line,
    });
    let submission = Submission {
        id: SubmitId(number as u128 + 1),
        service: service.parse().expect("a name"),
        base: Revision(0),
        edit: Edit::Put {
            text: lines.collect::<Vec<_>>().join("\n"),
        },
        author: "amal".to_owned(),
        reason: "first".to_owned(),
    };
    let call = Call::Accept(accept::Call::Submit(submission));
    let reply = node.control().call(call).await.expect("a reply");
    let accepted = matches!(
        reply,
        Reply::Accept(accept::Reply::Verdict(Verdict::Accepted { .. }))
    );
    assert!(accepted, "{reply:?}");
}

/// Returns the resident memory in KB and the number of threads of this process.
fn resident() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| -> Option<u64> {
        let line = status.lines().find(|it| it.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    (
        field("VmRSS").unwrap_or_default(),
        field("Threads").unwrap_or_default(),
    )
}

/// Returns the CPU time of this process.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    // utime and stime are fields 14 and 15 of the line, in ticks of 10 ms.
    let ticks = fields
        .skip(11)
        .take(2)
        .filter_map(|it| it.parse::<u64>().ok());
    Duration::from_millis(10 * ticks.sum::<u64>())
}
