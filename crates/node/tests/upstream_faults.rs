//! Answers to callers when an upstream fails.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use common::{
    ATTEMPTS_MAX, DOCUMENT, Fake, Step, answer, cluster, cluster_of, cluster_with, request, send,
    spawn, try_send, until,
};
use laburnum_kernel::{guard::Fingerprint, members::Phase};
use test_case::test_case;

fn bytes(text: &str) -> Step {
    Step::Write(text.as_bytes().to_vec())
}

// An upstream fails after it received a request that runs at most once. The outcome must be "unknown", and the
// request must not be sent to any upstream again.
#[test_case(&[Step::Close] ; "closes without an answer")]
#[test_case(&[bytes("HTTP/1.1 200 OK\r\ncontent-len"), Step::Close] ; "closes within the header")]
#[test_case(&[bytes("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nsign"), Step::Close] ; "closes within the body")]
#[test_case(&[bytes("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsign\r\n"), Step::Close] ; "closes between two chunks")]
#[test_case(&[bytes("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nsigned"), Step::Close] ; "gives an answer without a length")]
#[test_case(&[bytes("not HTTP at all\r\n\r\n"), Step::Close] ; "sends something other than HTTP")]
#[test_case(&[Step::Crash] ; "crashes")]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_is_not_run_again(steps: &[Step]) {
    let steps = steps.to_vec();
    let script = move |_: &_| steps.clone();
    let (first, second) = (Fake::start(script.clone()).await, Fake::start(script).await);
    let cluster = cluster(&[&first, &second]).await;
    let filing = || request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let got = send(filing(), "signature").await;
    assert_eq!(got.field("laburnum-outcome"), "unknown");
    assert!(got.head.status.is_server_error());
    let again = send(filing(), "signature").await;
    assert_ne!(again.field("laburnum-outcome"), "ran");
    assert_eq!(first.seen().len() + second.seen().len(), 1);
    cluster.close().await;
}

// An idempotent request whose answer is lost is retried at another upstream; the caller sees one whole answer.
#[test_case(&[Step::Close] ; "closes without an answer")]
#[test_case(&[bytes("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort"), Step::Close] ; "closes within the body")]
#[test_case(&[bytes("HTTP/1.1 503 busy\r\nlaburnum-outcome: not-run\r\ncontent-length: 0\r\n\r\n")] ; "sheds it without running it")]
#[tokio::test(flavor = "multi_thread")]
async fn failed_read_is_retried_at_another_upstream(steps: &[Step]) {
    let steps = steps.to_vec();
    let bad = Fake::start(move |_| steps.clone()).await;
    let good = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&bad, &good]).await;
    for _ in 0..ATTEMPTS_MAX {
        if !bad.seen().is_empty() {
            break;
        }
        let got = send(request("GET", cluster.caller(), "/drafts/7"), "").await;
        assert_eq!(got.field("laburnum-outcome"), "ran");
        assert_eq!(got.body.as_deref(), Some(&b"draft"[..]));
    }
    assert!(
        !bad.seen().is_empty(),
        "the failing upstream got no request"
    );
    cluster.close().await;
}

// If an earlier attempt may have run, a later refusal must not turn the outcome into "not run".
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_lost_attempt_is_unknown() {
    let count = Arc::new(AtomicUsize::new(0));
    let script = move |_: &_| match count.fetch_add(1, Ordering::SeqCst) {
        0 => vec![Step::Close],
        _ => vec![bytes(
            "HTTP/1.1 503 busy\r\nlaburnum-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
        )],
    };
    let (first, second) = (Fake::start(script.clone()).await, Fake::start(script).await);
    let cluster = cluster(&[&first, &second]).await;
    let got = send(request("GET", cluster.caller(), "/drafts/7"), "").await;
    assert!(first.seen().len() + second.seen().len() > 1);
    assert_eq!(got.field("laburnum-outcome"), "unknown");
    assert_eq!(got.field("laburnum-reason"), "earlier-attempt-unknown");
    cluster.close().await;
}

// A long answer that breaks while it is streamed must not look complete to the caller. If the header is lost
// too, the caller gets no answer or "unknown".
#[test_case("content-length: 150000\r\n\r\n", "" ; "with a length")]
#[test_case("transfer-encoding: chunked\r\n\r\n", "186a0\r\n" ; "in chunks")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_long_answer_never_looks_complete(framing: &str, chunk: &str) {
    let mut text = format!("HTTP/1.1 200 OK\r\n{framing}{chunk}").into_bytes();
    text.extend(std::iter::repeat_n(b'x', 100_000));
    let steps = vec![Step::Write(text), Step::Close];
    let fake = Fake::start(move |_| steps.clone()).await;
    let cluster = cluster(&[&fake]).await;
    let got = try_send(request("GET", cluster.caller(), "/drafts/7"), "").await;
    match got {
        None => {}
        Some(got) if got.head.status == 200 => assert_eq!(got.body, None),
        Some(got) => assert_eq!(got.field("laburnum-outcome"), "unknown", "{got:?}"),
    }
    assert!(!fake.seen().is_empty());
    cluster.close().await;
}

// Long answers arrive whole through two nodes with back-pressure on each hop.
#[test_case("content-length: 150000\r\n\r\n", "", "" ; "with a length")]
#[test_case("transfer-encoding: chunked\r\n\r\n", "249f0\r\n", "\r\n0\r\n\r\n" ; "in chunks")]
#[tokio::test(flavor = "multi_thread")]
async fn long_answer_arrives_whole(framing: &str, start: &str, end: &str) {
    let mut text = format!("HTTP/1.1 200 OK\r\n{framing}{start}").into_bytes();
    text.extend(std::iter::repeat_n(b'x', 150_000));
    text.extend(end.as_bytes());
    let fake = Fake::start(move |_| vec![Step::Write(text.clone())]).await;
    let cluster = cluster(&[&fake]).await;
    let got = send(request("GET", cluster.caller(), "/drafts/7"), "").await;
    assert_eq!(got.body.map(|it| it.len()), Some(150_000));
    cluster.close().await;
}

// Requests for an upstream that has crashed are "not run", because nothing was sent to it.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_dead_upstream_is_not_run() {
    let fake = Fake::start(|_| vec![Step::Crash]).await;
    let cluster = cluster(&[&fake]).await;
    send(request("GET", cluster.caller(), "/slow/7"), "").await;
    let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let got = send(filing, "filing").await;
    assert_eq!(got.field("laburnum-outcome"), "not-run");
    assert_ne!(got.field("laburnum-reason"), "");
    assert_ne!(got.field("retry-after"), "");
    assert!(fake.seen().iter().all(|it| !it.head.contains("/filings")));
    cluster.close().await;
}

// A pooled connection that died silently is replaced, and the idempotent request on it is sent again within its
// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_is_replaced_for_a_read() {
    let silent = Arc::new(AtomicUsize::new(usize::MAX));
    let first = silent.clone();
    let fake = Fake::start(move |seen| {
        if seen.head.contains("/drafts/1") {
            first.store(seen.connection, Ordering::SeqCst);
        }
        let again = first.load(Ordering::SeqCst) == seen.connection;
        match again && seen.head.contains("/drafts/2") {
            true => vec![Step::Wait],
            false => answer("draft"),
        }
    })
    .await;
    let cluster = cluster(&[&fake]).await;
    let first = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    assert_eq!(first.body.as_deref(), Some(&b"draft"[..]));
    let second = send(request("GET", cluster.caller(), "/drafts/2"), "").await;
    assert_eq!(second.body.as_deref(), Some(&b"draft"[..]));
    let seen = fake.seen();
    let silent = silent.load(Ordering::SeqCst);
    assert_eq!(seen[1].connection, silent);
    assert_ne!(seen[2].connection, silent);
    cluster.close().await;
}

// A request that the upstream does not answer is cancelled there at the deadline. The deadline leaves time to
// reach the upstream on a busy machine.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_request_is_cancelled_at_deadline() {
    let fake = Fake::start(|_| vec![Step::Wait]).await;
    let document = DOCUMENT.replace("300ms", "3s");
    let cluster = cluster_of(&[&fake], |_| (), &document).await;
    let got = send(request("GET", cluster.caller(), "/slow/1"), "").await;
    assert_eq!(got.field("laburnum-outcome"), "unknown");
    assert!(!fake.seen().is_empty());
    until(|| fake.cancelled() == fake.seen().len()).await;
    cluster.close().await;
}

// A caller that disconnects cancels its idempotent request at the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_its_read() {
    let fake = Fake::start(|_| vec![Step::Wait]).await;
    let cluster = cluster(&[&fake]).await;
    let reading = spawn(send(request("GET", cluster.caller(), "/drafts/1"), ""));
    until(|| fake.seen().len() == 1).await;
    reading.abort();
    until(|| fake.cancelled() == 1).await;
    cluster.close().await;
}

// A request that runs at most once is completed when its caller disconnects, and its stored answer is returned
// to a retry through another node.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_filing_is_replayed_by_another_node() {
    let fake = Fake::start(|_| {
        let mut steps = vec![Step::Hold];
        steps.extend(answer("filed"));
        steps
    })
    .await;
    let cluster = cluster(&[&fake]).await;
    let filing = |caller| request("POST", caller, "/filings").header("idempotency-key", "k1");
    let leaving = spawn(send(filing(cluster.caller()), "filing"));
    until(|| fake.seen().len() == 1).await;
    leaving.abort();
    let _ = leaving.await;
    fake.release();
    let other = cluster.nodes[1].config.caller;
    let got = retry_while_in_progress(|| send(filing(other), "filing")).await;
    assert_eq!(got.body.as_deref(), Some(&b"filed"[..]));
    assert_eq!(got.field("laburnum-outcome"), "ran");
    assert_eq!(fake.seen().len(), 1);
    cluster.close().await;
}

/// Repeats a request until its reason is not "in-progress".
async fn retry_while_in_progress<F: Future<Output = common::Got>>(
    send: impl Fn() -> F,
) -> common::Got {
    for _ in 0..ATTEMPTS_MAX {
        let got = send().await;
        if got.field("laburnum-reason") != "in-progress" {
            return got;
        }
    }
    panic!("still in progress after {ATTEMPTS_MAX} attempts");
}

// A request that runs at most once is retried elsewhere when the upstream rejects it as "not run".
#[tokio::test(flavor = "multi_thread")]
async fn refused_filing_goes_to_another_upstream() {
    let first = Fake::start(|_| {
        vec![bytes(
            "HTTP/1.1 503 draining\r\nlaburnum-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
        )]
    })
    .await;
    let second = Fake::start(|_| answer("filed")).await;
    let cluster = cluster(&[&first, &second]).await;
    for number in 0..ATTEMPTS_MAX {
        let filing = request("POST", cluster.caller(), "/filings")
            .header("idempotency-key", format!("k{number}"));
        let got = send(filing, "filing").await;
        assert_eq!(got.body.as_deref(), Some(&b"filed"[..]), "{got:?}");
        if !first.seen().is_empty() {
            break;
        }
    }
    assert!(
        !first.seen().is_empty(),
        "the draining upstream got no filing"
    );
    cluster.close().await;
}

// A request that crashed two upstreams is quarantined on every node, under any idempotency key; other requests
// are still served.
#[tokio::test(flavor = "multi_thread")]
async fn filing_is_quarantined_after_two_crashes() {
    let script = |seen: &common::Seen| match seen.body == b"poison" {
        true => vec![Step::Crash],
        false => answer("filed"),
    };
    let fakes = [
        Fake::start(script).await,
        Fake::start(script).await,
        Fake::start(script).await,
    ];
    let cluster = cluster(&fakes.each_ref()).await;
    let crashes = || {
        let seen = fakes.iter().flat_map(Fake::seen);
        seen.filter(|it| it.body == b"poison").count()
    };
    let file = |key: String, body: &'static str| {
        let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", key);
        send(filing, body)
    };
    for number in 0..ATTEMPTS_MAX {
        if crashes() == 2 {
            break;
        }
        let got = file(format!("k{number}"), "poison").await;
        assert_ne!(got.field("laburnum-outcome"), "ran");
    }
    let digest = blake3::hash(b"poison");
    let service = "desk".parse().expect("a name");
    let print = Fingerprint::of(&service, "POST", "/filings", "", digest.as_bytes());
    let held = |it: &common::Running| it.node.control().view().quarantined.is_held(print);
    until(|| cluster.nodes.iter().all(held)).await;
    let refused = file("new".to_owned(), "poison").await;
    assert_eq!(refused.field("laburnum-outcome"), "not-run");
    assert_eq!(refused.field("laburnum-reason"), "quarantined");
    assert_eq!(crashes(), 2);
    // An entry may not know yet that the first two upstreams crashed.
    let mut last = None;
    for number in 0..ATTEMPTS_MAX {
        let got = file(format!("other{number}"), "filing").await;
        let served = got.body.as_deref() == Some(b"filed");
        last = Some(got);
        if served {
            break;
        }
    }
    let last = last.expect("an answer");
    let views = common::views(&cluster.nodes);
    assert_eq!(
        last.body.as_deref(),
        Some(&b"filed"[..]),
        "{last:?}\n{views}"
    );
    assert_eq!(crashes(), 2);
    cluster.close().await;
}

// Health checks override the announced phase: an upstream that reports warming gets no requests until it
// reports ready.
#[tokio::test(flavor = "multi_thread")]
async fn warming_upstream_gets_no_requests_until_ready() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    fake.report("warming");
    until(|| common::phase(&cluster) == Some(Phase::Warming)).await;
    let refused = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    assert_eq!(refused.field("laburnum-outcome"), "not-run");
    assert!(fake.seen().is_empty());
    fake.report("ready");
    until(|| common::phase(&cluster) == Some(Phase::Ready)).await;
    let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    assert_eq!(got.body.as_deref(), Some(&b"draft"[..]));
    cluster.close().await;
}

// An upstream that reports draining gets no requests until a new announcement.
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_requests() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    fake.report("draining");
    until(|| common::phase(&cluster) == Some(Phase::Draining)).await;
    let refused = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    assert_eq!(refused.field("laburnum-outcome"), "not-run");
    assert!(fake.seen().is_empty());
    cluster.close().await;
}

// Guards against health reports that are believed although their header cannot be trusted: an upstream in trouble would be
// taken out of service by bytes that are not its report.
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 20\r\ntransfer-encoding: chunked\r\n\r\n14\r\n{\"phase\":\"draining\"}\r\n0\r\n\r\n" ; "a length and chunks")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 20\r\ncontent-length: 2\r\n\r\n{\"phase\":\"draining\"}" ; "two lengths")]
#[tokio::test(flavor = "multi_thread")]
async fn report_with_a_spoilt_header_changes_no_phase(report: &'static str) {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    fake.report_raw(report);
    let before = fake.checks();
    until(|| fake.checks() >= before + 3).await;
    assert_ne!(common::phase(&cluster), Some(Phase::Draining));
    fake.report_raw("");
    fake.report("draining");
    until(|| common::phase(&cluster) == Some(Phase::Draining)).await;
    cluster.close().await;
}

// A request that gets no connection by its deadline is "not run". It uses the upstream's own node, so that no
// second timer ends the wait first.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_connection_is_not_run() {
    let fake = Fake::start(held).await;
    let cluster = cluster_with(&[&fake], |it| it.pool.connections = 1).await;
    let holder = spawn(send(request("GET", cluster.caller(), "/drafts/1"), ""));
    until(|| fake.seen().len() == 1).await;
    let near = cluster.nodes[1].config.caller;
    let refused = send(request("GET", near, "/slow/1"), "").await;
    assert_eq!(refused.field("laburnum-outcome"), "not-run", "{refused:?}");
    assert_eq!(fake.seen().len(), 1);
    fake.release();
    let got = holder.await.expect("an answer");
    assert_eq!(got.body.as_deref(), Some(&b"draft"[..]));
    cluster.close().await;
}

// A request that waits for a connection takes the one that is returned to the pool.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_request_takes_returned_connection() {
    let fake = Fake::start(held).await;
    let cluster = cluster_with(&[&fake], |it| it.pool.connections = 1).await;
    let ask = || spawn(send(request("GET", cluster.caller(), "/drafts/1"), ""));
    let (first, second) = (ask(), ask());
    until(|| fake.seen().len() == 1).await;
    fake.release();
    for waiting in [first, second] {
        let got = waiting.await.expect("an answer");
        assert_eq!(got.body.as_deref(), Some(&b"draft"[..]), "{got:?}");
    }
    cluster.close().await;
}

fn held(_: &common::Seen) -> Vec<Step> {
    let mut steps = vec![Step::Hold];
    steps.extend(answer("draft"));
    steps
}
