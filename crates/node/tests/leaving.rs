//! Drain and shutdown of nodes.

mod common;

use laburnum_kernel::members::Phase;

use common::{Fake, Step, answer, cluster, cluster_with, raw, request, send, spawn, until};

/// Longer than any test runs.
const HOUR_MS: u64 = 3_600_000;

fn held() -> Vec<Step> {
    let mut steps = vec![Step::Hold];
    steps.extend(answer("done"));
    steps
}

// A node that drains completes the requests at its upstream before it stops, and rejects new ones as "not run".
#[tokio::test(flavor = "multi_thread")]
async fn drain_completes_requests_in_progress() {
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
    // New requests are rejected while the old ones continue.
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

// An entry that stops while it waits for an owner still forwards the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_forwards_pending_answers() {
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

// At the end of the grace period pending requests get an answer instead of a closed connection: "unknown" if
// forwarded, else "not run".
#[tokio::test(flavor = "multi_thread")]
async fn end_of_grace_answers_pending_requests() {
    let fake = Fake::start(|_| held()).await;
    let mut cluster = cluster_with(&[&fake], |it| it.grace = 600).await;
    let caller = cluster.caller();
    let reading = spawn(send(request("GET", caller, "/drafts/1"), ""));
    until(|| fake.seen().len() == 1).await;
    let head = b"PUT /drafts/2 HTTP/1.1\r\nhost: desk\r\ncontent-length: 9\r\n\r\nhalf";
    let half = spawn(async move { raw(caller, head).await });
    // Both are in progress before the entry stops.
    until(|| cluster.nodes[0].node.in_progress() == 2).await;
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

// While a node drains, its refusals are retried at another node, and callers see no failure.
#[tokio::test(flavor = "multi_thread")]
async fn draining_node_causes_no_failed_requests() {
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

// A stopping node still accepts requests for its upstream until shortly before it leaves; otherwise upstreams
// would be idle while callers notice the stop.
#[tokio::test(flavor = "multi_thread")]
async fn lingering_node_still_uses_its_upstream() {
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
    // The linger time of an hour is not waited for.
    closing.abort();
    for it in cluster.nodes {
        it.node.kill().await;
    }
}
