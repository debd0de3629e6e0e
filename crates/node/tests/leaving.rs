//! A node that is told to stop.

mod common;

use laburnum_kernel::members::Phase;

use common::{Fake, Step, answer, cluster, cluster_with, raw, request, send, spawn, until};

/// Longer than any test takes.
const HOUR_MS: u64 = 3_600_000;

fn held() -> Vec<Step> {
    let mut steps = vec![Step::Hold];
    steps.extend(answer("done"));
    steps
}

// A node is told to stop while a read and a filing run at its upstream. Both get their whole answers, by way
// of an entry on another node, and only then does the node end.
#[tokio::test(flavor = "multi_thread")]
async fn drain_cuts_no_request_in_progress() {
    let fake = Fake::start(|_| held()).await;
    let mut cluster = cluster(&[&fake]).await;
    let reading = spawn(send(request("GET", cluster.caller(), "/drafts/1"), ""));
    let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let filing = spawn(send(filing, "filing"));
    until(|| fake.seen().len() == 2).await;
    let owner = cluster.nodes.remove(1);
    let control = owner.node.control().clone();
    let closing = spawn(owner.node.close());
    until(|| {
        let view = control.view();
        view.own
            .as_ref()
            .is_some_and(|it| it.phase == Phase::Draining)
    })
    .await;
    // New work is refused unrun while the old goes on.
    let refused = send(request("GET", cluster.caller(), "/drafts/2"), "").await;
    assert_eq!(refused.field("laburnum-outcome"), "not-run");
    assert!(!closing.is_finished());
    fake.release();
    for running in [reading, filing] {
        let got = running.await.expect("an answer");
        assert_eq!(got.body.as_deref(), Some(&b"done"[..]));
        assert_eq!(got.field("laburnum-outcome"), "ran");
    }
    closing.await.expect("the node closes");
    assert_eq!(fake.seen().len(), 2);
    cluster.close().await;
}

// The entry is told to stop while it waits for another node's answer. Its caller gets the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_stops_hands_on_answers_in_progress() {
    let fake = Fake::start(|_| held()).await;
    let mut cluster = cluster(&[&fake]).await;
    let reading = spawn(send(request("GET", cluster.caller(), "/drafts/1"), ""));
    until(|| fake.seen().len() == 1).await;
    let entry = cluster.nodes.remove(0);
    let closing = spawn(entry.node.close());
    fake.release();
    let got = reading.await.expect("an answer");
    assert_eq!(got.body.as_deref(), Some(&b"done"[..]));
    closing.await.expect("the node closes");
    cluster.close().await;
}

// An entry is told to stop while an upstream that answers late still works on one request, and the body of another is
// still on its way. When the grace ends both callers get an answer, not a closed connection: the first may have been
// run, the second surely was not and may be sent again elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn entry_whose_grace_ends_answers_what_it_holds() {
    let fake = Fake::start(|_| held()).await;
    let mut cluster = cluster_with(&[&fake], |it| it.grace = 600).await;
    let caller = cluster.caller();
    let reading = spawn(send(request("GET", caller, "/drafts/1"), ""));
    until(|| fake.seen().len() == 1).await;
    let head = b"PUT /drafts/2 HTTP/1.1\r\nhost: desk\r\ncontent-length: 9\r\n\r\nhalf";
    let half = spawn(async move { raw(caller, head).await });
    // Both are in progress before the entry stops.
    until(|| cluster.nodes[0].node.carried() == 2).await;
    let entry = cluster.nodes.remove(0);
    let closing = spawn(entry.node.close());
    let got = reading.await.expect("an answer");
    assert_eq!(got.field("laburnum-outcome"), "unknown");
    assert_eq!(got.field("laburnum-reason"), "stopping");
    let got = half.await.expect("an answer");
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(got.contains("laburnum-outcome: not-run"), "{got}");
    closing.await.expect("the node closes");
    fake.release();
    cluster.close().await;
}

// One of two nodes drains while callers keep asking. Every request is answered by an upstream: a refusal by
// the draining node is not run, and goes to the other one.
#[tokio::test(flavor = "multi_thread")]
async fn callers_see_nothing_of_a_node_that_drains() {
    let (first, second) = (
        Fake::start(|_| answer("first")).await,
        Fake::start(|_| answer("second")).await,
    );
    let mut cluster = cluster(&[&first, &second]).await;
    let leaving = cluster.nodes.remove(1);
    let closing = spawn(leaving.node.close());
    for _ in 0..50 {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        assert_eq!(got.field("laburnum-outcome"), "ran", "{got:?}");
    }
    closing.await.expect("the node closes");
    cluster.close().await;
}

// Nodes are stopped in turn, each beside an upstream that goes on living. A node took no work for it from the moment it
// was told, though it stayed for three seconds more until callers had noticed: of twelve upstreams three were idle all
// the while, and reads were refused for want of slots. Until shortly before it leaves, work for its upstream is taken.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_of_a_stopping_node_works_on_while_callers_notice() {
    let fake = Fake::start(|_| answer("draft")).await;
    let mut cluster = cluster_with(&[&fake], |it| {
        it.linger = HOUR_MS;
        it.notice = 200;
    })
    .await;
    let owner = cluster.nodes.remove(1);
    let closing = spawn(owner.node.close());
    for _ in 0..200 {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        assert_eq!(got.field("laburnum-outcome"), "ran", "{got:?}");
    }
    // Nobody waits for the hour to pass.
    closing.abort();
    for it in cluster.nodes {
        it.node.kill().await;
    }
}
