//! Upstreams of submitted documents that name a rate limit, or their leaving, in their answers.

mod common;

use std::time::Instant;

use common::{Fake, Step, cluster, request, send};
use test_case::test_case;

/// Number of requests that each test sends in a row.
const REQUESTS: usize = 40;
/// Requests that may reach a limited upstream at once, before its limit is felt.
const BURST: f64 = 2.0;

/// Returns an answer with the header line `field`.
fn answer_with(field: &str) -> Vec<Step> {
    let text = format!("HTTP/1.1 200 OK\r\n{field}\r\ncontent-length: 5\r\n\r\ndraft");
    vec![Step::Write(text.into_bytes())]
}

/// Guards against an upstream that gets more than it says it takes, whatever the origin of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn named_limit_holds_and_the_rest_is_refused_unrun() {
    let fake = Fake::start(|_| answer_with("laburnum-limit: 0.5")).await;
    let cluster = cluster(&[&fake]).await;
    send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    let (before, since) = (fake.seen().len(), Instant::now());
    for _ in 0..REQUESTS {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        let outcome = got.field("laburnum-outcome");
        assert!(outcome == "ran" || outcome == "not-run", "{outcome}");
    }
    let got = fake.seen().len() - before;
    let allowed = BURST + 0.5 * since.elapsed().as_secs_f64();
    assert!(got as f64 <= allowed.ceil(), "{got}");
    cluster.close().await;
}

/// Guards against node fields that reach callers, and statements of upstreams that do not.
#[test_case("x-other-limit: 900", "x-other-limit", "900"; "a field of another deployment is passed on")]
#[test_case("laburnum-limit: 900", "laburnum-standing", ""; "what nodes tell each other is not")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_shows_only_the_upstreams_fields(line: &'static str, name: &str, value: &str) {
    let fake = Fake::start(move |_| answer_with(line)).await;
    let cluster = cluster(&[&fake]).await;
    for _ in 0..2 {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        let found = got.head.headers.get(name).and_then(|it| it.to_str().ok());
        assert_eq!(found.unwrap_or_default(), value);
    }
    cluster.close().await;
}

/// Guards against requests to an upstream that says in its answers that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_says_it_leaves_gets_no_more_requests() {
    let fake = Fake::start(|_| answer_with("laburnum-leaving: 1")).await;
    let cluster = cluster(&[&fake]).await;
    send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    for _ in 0..REQUESTS {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        assert_eq!(got.field("laburnum-outcome"), "not-run");
    }
    assert_eq!(fake.seen().len(), 1);
    cluster.close().await;
}
