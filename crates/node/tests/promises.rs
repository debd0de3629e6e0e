//! Safeguards of the request path that no other test fails without.

mod common;

use std::{sync::Arc, time::Duration};

use axum::body::Body;
use common::{Cluster, Fake, Step, answer, cluster, request, send, spawn, until};
use http::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use laburnum_edge::{Clock, Platform, platform::Answer};
use laburnum_kernel::{
    Call, Reply,
    drain::{FAREWELL_MS, NOTICE_MS},
    guard,
    members::Phase,
    platform::{Fault, ObjectAnswer, ObjectOp, TableAnswer, TableOp},
};
use laburnum_node::{Config, Node, traffic::proof::Proofs, upstream::Announcement};
use tokio::net::TcpStream;

/// A platform that is down.
struct Down;

impl Platform for Down {
    fn table(&self, _: TableOp) -> Answer<'_, TableAnswer> {
        Box::pin(async { TableAnswer::Failed(Fault::Unavailable) })
    }

    fn object(&self, _: ObjectOp) -> Answer<'_, ObjectAnswer> {
        Box::pin(async { ObjectAnswer::Failed(Fault::Unavailable) })
    }
}

// A node restarts while its peers and the table are out of reach. It holds nothing yet, so what it would say of
// a service is older than what its callers have seen in force: it refuses them as not run.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_has_not_caught_up_refuses_unrun() {
    let config = Config {
        caller: common::free(),
        control: common::free(),
        traffic: common::free(),
        admin: common::free(),
        peers: vec![common::free()],
        ..Config::default()
    };
    let node = Node::start(config.clone(), Clock::system(), Arc::new(Down)).await;
    let node = node.expect("the node starts");
    let got = send(request("GET", config.caller, "/drafts/1"), "").await;
    assert_eq!(got.field("laburnum-outcome"), "not-run");
    assert_eq!(got.field("laburnum-reason"), "not-ready");
    node.close().await;
}

// A request crashes the upstream that runs it; the entry sends it to another, which crashes too. Both come
// back, and the caller sends it again: it is refused as not run, and other requests are served.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_two_upstreams_is_refused_unrun() {
    let crash = |_: &_| vec![Step::Crash];
    let (first, second) = (Fake::start(crash).await, Fake::start(crash).await);
    let cluster = cluster(&[&first, &second]).await;
    send(request("GET", cluster.caller(), "/drafts/bad"), "").await;
    for _ in 0..1_000 {
        if held(&cluster).await > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(held(&cluster).await, 1);
    let third = Fake::start(|_| answer("draft")).await;
    for it in &cluster.nodes[1..] {
        let announced = it.node.upstream().announce(Announcement {
            service: "desk".parse().expect("a name"),
            address: third.address,
            slots: 6,
            phase: Phase::Ready,
        });
        announced.expect("the node runs");
    }
    until(|| serving(&cluster) == 2).await;
    // The entry keeps off upstreams that just failed; it tries them again after some refusals.
    let mut outcome = String::new();
    for _ in 0..200 {
        let good = send(request("GET", cluster.caller(), "/drafts/good"), "").await;
        outcome = good.field("laburnum-outcome").to_owned();
        if outcome == "ran" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(outcome, "ran");
    let bad = send(request("GET", cluster.caller(), "/drafts/bad"), "").await;
    assert_eq!(bad.field("laburnum-outcome"), "not-run");
    assert_eq!(bad.field("laburnum-reason"), "quarantined");
    let ran = third.seen();
    assert!(ran.iter().all(|it| !it.head.contains("/drafts/bad")));
    cluster.close().await;
}

/// Quarantines that the nodes beside upstreams hold, at the one that holds fewest.
async fn held(cluster: &Cluster) -> usize {
    let mut least = usize::MAX;
    for it in &cluster.nodes[1..] {
        let reply = it.node.control().call(Call::Guard(guard::Call::List)).await;
        let Ok(Reply::Guard(guard::Reply::Listed(records))) = reply else {
            panic!("a list expected, not {reply:?}");
        };
        least = least.min(records.len());
    }
    least
}

/// Endpoints that the entry takes for ready.
fn serving(cluster: &Cluster) -> usize {
    let view = cluster.nodes[0].node.control().view();
    let name = "desk".parse().expect("a name");
    view.services.get(&name).map_or(0, |it| {
        let ready = it.endpoints.iter().filter(|it| it.phase == Phase::Ready);
        ready.count()
    })
}

// A node is told to stop while a filing runs that takes longer than its farewell to the other nodes. It stays
// until the upstream has answered, and the caller gets the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn run_that_outlasts_the_farewell_is_not_cut() {
    let fake = Fake::start(|_| {
        let mut steps = vec![Step::Hold];
        steps.extend(answer("filed"));
        steps
    })
    .await;
    let mut cluster = cluster(&[&fake]).await;
    let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let filing = spawn(send(filing, "filing"));
    until(|| fake.seen().len() == 1).await;
    let owner = cluster.nodes.remove(1);
    let closing = spawn(owner.node.close());
    tokio::time::sleep(Duration::from_millis(NOTICE_MS + FAREWELL_MS + 500)).await;
    fake.release();
    let got = filing.await.expect("an answer");
    assert_eq!(got.field("laburnum-outcome"), "ran");
    assert_eq!(got.body.as_deref(), Some(&b"filed"[..]));
    closing.await.expect("the node closes");
    cluster.close().await;
}

// While a change spreads an entry already knows that a route runs at most once and the owner does not yet. The
// stricter of the two counts: sent twice under one key, the request runs once and is answered twice.
#[tokio::test(flavor = "multi_thread")]
async fn stricter_document_decides_whether_a_request_may_repeat() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let (entry, owner) = (&cluster.nodes[0].config, cluster.nodes[1].config.traffic);
    let proofs = Proofs::new(entry.traffic, &entry.keys, Clock::system());
    let stream = TcpStream::connect(owner).await;
    let stream = TokioIo::new(stream.expect("connects"));
    let shaken = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream).await;
    let (mut sender, connection) = shaken.expect("speaks HTTP/2");
    let connection = tokio::spawn(connection);
    for _ in 0..2 {
        let asked = Request::put("http://desk/drafts/1")
            .header("laburnum-service", "desk")
            .header("laburnum-attempt", "1")
            .header("laburnum-request", "7")
            .header("laburnum-deadline", "5000")
            .header("laburnum-budget", "2/3")
            .header("laburnum-repeat", "never")
            .header("idempotency-key", "k1");
        let mut asked = asked.body(Body::from("text")).expect("a request");
        proofs.prove(&mut asked, owner);
        let got = sender.send_request(asked).await.expect("an answer");
        let outcome = got.headers().get("laburnum-outcome");
        assert_eq!(outcome.and_then(|it| it.to_str().ok()), Some("ran"));
    }
    assert_eq!(fake.seen().len(), 1);
    drop(sender);
    connection.abort();
    cluster.close().await;
}
