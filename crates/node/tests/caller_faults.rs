//! Answers to faulty callers, and isolation of other callers from them.

mod common;

use std::time::Duration;

use axum::body::Body;
use common::{
    ATTEMPTS_MAX, DOCUMENT, Fake, answer, cluster, cluster_of, cluster_with, raw, request, send,
    until,
};
use laburnum_node::traffic::{body::Budget, serve::Bounds};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Number of requests that each scripted upstream handles at once.
const SLOTS: usize = 6;

// Invalid requests are rejected with a reason and "not run", and never reach the upstream.
#[test_case("GET", "/nowhere", &[], 404, "no-route" ; "a path without a route")]
#[test_case("DELETE", "/drafts/1", &[], 404, "no-route" ; "a method without a route")]
#[test_case("POST", "/filings", &[], 400, "idempotency-key" ; "a filing without a key")]
#[test_case("POST", "/filings", &[("idempotency-key", "")], 400, "idempotency-key" ; "an empty key")]
#[test_case("POST", "/filings", &[("idempotency-key", "a"), ("idempotency-key", "b")], 400, "idempotency-key" ; "two keys")]
#[test_case("GET", "/drafts/1", &[("laburnum-deadline", "soon")], 400, "bad-header" ; "a deadline that is no number")]
#[test_case("GET", "/drafts/1", &[("laburnum-deadline", "0")], 504, "expired" ; "a deadline that has passed")]
#[test_case("GET", "/drafts/1", &[("laburnum-budget", "many")], 400, "bad-header" ; "a retry budget that is none")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_is_rejected(
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    status: u16,
    reason: &str,
) {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let mut faulty = request(method, cluster.caller(), path);
    for (name, value) in fields {
        faulty = faulty.header(*name, *value);
    }
    let got = send(faulty, "").await;
    assert_eq!(got.head.status, status);
    assert_eq!(got.field("laburnum-reason"), reason);
    assert_eq!(got.field("laburnum-outcome"), "not-run");
    assert!(fake.seen().is_empty());
    cluster.close().await;
}

// Malformed input gets an error or a closed connection within the limits, and other callers are served as
// before.
#[test_case(b"GET /drafts/1 HTTP/1.1\r\n\r\n" ; "without a host")]
#[test_case(b"GET /drafts/1 HTTP/1.1\r\nhost: desk\r\nhost: other\r\nconnection: close\r\n\r\n" ; "two hosts")]
#[test_case(b"GET /drafts/1 HTTP/1.1\r\nhost: No Name\r\nconnection: close\r\n\r\n" ; "a host that is no name")]
#[test_case(b"nonsense\r\n\r\n" ; "no request line")]
#[test_case(b"PUT /drafts/1 HTTP/1.1\r\nhost: desk\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello!" ; "two lengths")]
#[test_case(b"PUT /drafts/1 HTTP/1.1\r\nhost: desk\r\ncontent-length: -1\r\n\r\n" ; "a negative length")]
#[test_case(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnot a frame at all" ; "a broken frame")]
#[test_case(b"GET /dra" ; "a header that never ends")]
#[test_case(b"" ; "silence")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_does_not_affect_others(bytes: &[u8]) {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster_with(&[&fake], |it| it.callers.header_time = 50).await;
    let got = raw(cluster.caller(), bytes).await;
    assert!(!got.contains("200 OK"), "{got}");
    assert!(fake.seen().is_empty());
    let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    assert_eq!(got.body.as_deref(), Some(&b"draft"[..]));
    cluster.close().await;
}

// Requests with too many or too long header fields are rejected without buffering the whole header.
#[test_case(100, 10 ; "too many fields")]
#[test_case(1, 40_000 ; "a field that is too long")]
#[tokio::test(flavor = "multi_thread")]
async fn oversized_header_is_rejected(fields: usize, length: usize) {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let mut text = String::from("GET /drafts/1 HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n");
    for number in 0..fields {
        text.push_str(&format!("x-{number}: {}\r\n", "y".repeat(length)));
    }
    text.push_str("\r\n");
    let got = raw(cluster.caller(), text.as_bytes()).await;
    assert!(!got.contains("200 OK"), "{got}");
    assert!(fake.seen().is_empty());
    cluster.close().await;
}

// Bodies longer than the document allows are rejected, whether by declared length or as they arrive.
#[test_case("PUT", "/drafts/1", "content-length: 300000\r\n\r\n", "413" ; "declared")]
#[test_case("POST", "/filings", "idempotency-key: k\r\ncontent-length: 300000\r\n\r\n", "413" ; "declared for a filing")]
#[test_case("POST", "/filings", "idempotency-key: k\r\ntransfer-encoding: chunked\r\n\r\n493e0\r\n", "413" ; "only as it arrives")]
#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_rejected(method: &str, path: &str, framing: &str, status: &str) {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let text = format!("{method} {path} HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n{framing}");
    let mut stream = TcpStream::connect(cluster.caller())
        .await
        .expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        // The node may close the connection before it has read the whole body.
        let _ = writer.write_all(&vec![b'x'; 300_000]).await;
        writer
    });
    let mut got = vec![0; 12];
    reader.read_exact(&mut got).await.expect("an answer");
    assert_eq!(String::from_utf8_lossy(&got[9..]), status);
    writing.abort();
    assert!(fake.seen().is_empty());
    cluster.close().await;
}

// A truncated upload must not reach the upstream as a whole request.
#[test_case("PUT", "/drafts/1", "content-length: 100000" ; "streamed")]
#[test_case("PUT", "/drafts/1", "content-length: 1000" ; "held")]
#[test_case("POST", "/filings", "idempotency-key: k\r\ncontent-length: 100000" ; "a filing")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_upload_is_never_forwarded_whole(method: &str, path: &str, fields: &str) {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let text = format!("{method} {path} HTTP/1.1\r\nhost: desk\r\n{fields}\r\n\r\nhalf");
    let mut stream = TcpStream::connect(cluster.caller())
        .await
        .expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    stream.shutdown().await.expect("half closed");
    let mut got = String::new();
    let _ = stream.read_to_string(&mut got).await;
    assert!(!got.contains("200 OK"), "{got}");
    drop(stream);
    let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
    assert_eq!(got.field("laburnum-outcome"), "ran");
    assert_eq!(fake.seen().len(), 1);
    cluster.close().await;
}

// Long uploads arrive whole through both nodes.
#[tokio::test(flavor = "multi_thread")]
async fn long_upload_arrives_whole() {
    let fake = Fake::start(|_| answer("stored")).await;
    let cluster = cluster(&[&fake]).await;
    let body = Body::from(vec![b'x'; 150_000]);
    let got = send(request("PUT", cluster.caller(), "/drafts/1"), body).await;
    assert_eq!(got.body.as_deref(), Some(&b"stored"[..]));
    assert_eq!(fake.seen()[0].body.len(), 150_000);
    cluster.close().await;
}

// Header fields for use between nodes are dropped when a caller sends them, so it cannot pose as a node or
// change how its request is run.
#[tokio::test(flavor = "multi_thread")]
async fn spoofed_node_fields_are_dropped() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let spoofed = request("GET", cluster.caller(), "/drafts/1")
        .header("laburnum-service", "court")
        .header("laburnum-attempt", "9")
        .header("laburnum-request", "7")
        .header("laburnum-outcome", "ran")
        .header("laburnum-load", "0/0/9999")
        .header("laburnum-deadline", "999999")
        .header("laburnum-budget", "200/0")
        .header("connection", "x-hop, content-length")
        .header("x-hop", "1");
    let got = send(spoofed, "").await;
    assert_eq!(got.field("laburnum-outcome"), "ran");
    assert_eq!(got.field("laburnum-load"), "");
    assert_eq!(got.field("laburnum-request"), "");
    let seen = fake.seen().remove(0);
    let fields: Vec<(&str, &str)> = seen
        .head
        .lines()
        .filter_map(|it| it.split_once(": "))
        .collect();
    let field = |name| fields.iter().find(|it| it.0 == name).map(|it| it.1);
    let hidden = [
        "laburnum-service",
        "laburnum-attempt",
        "laburnum-request",
        "laburnum-outcome",
        "laburnum-load",
        "x-hop",
    ];
    for name in hidden {
        assert_eq!(field(name), None, "{name}");
    }
    assert_eq!(field("host"), Some("desk"));
    let deadline: u64 = field("laburnum-deadline")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!(deadline <= 6_000);
    let retries = field("laburnum-budget")
        .and_then(|it| it.split_once('/'))
        .expect("a budget")
        .0;
    assert!(retries.parse::<u8>().expect("a number") <= 2);
    cluster.close().await;
}

// Requests of callers on the port for nodes are rejected.
#[tokio::test(flavor = "multi_thread")]
async fn caller_on_port_for_nodes_is_rejected() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let got = raw(
        cluster.nodes[1].config.traffic,
        b"GET /drafts/1 HTTP/1.1\r\nhost: desk\r\n\r\n",
    )
    .await;
    assert!(!got.contains("200 OK"), "{got}");
    assert!(fake.seen().is_empty());
    cluster.close().await;
}

// Connections beyond the limit are closed at once; existing connections are still served.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_limit_are_closed() {
    let fake = Fake::start(|_| answer("draft")).await;
    let bounds = Bounds {
        connections: 2,
        ..Bounds::default()
    };
    let cluster = cluster_with(&[&fake], |it| it.callers = bounds.clone()).await;
    let mut first = TcpStream::connect(cluster.caller())
        .await
        .expect("a connection");
    let ask = b"GET /drafts/1 HTTP/1.1\r\nhost: desk\r\n\r\n";
    let mut byte = [0];
    first.write_all(ask).await.expect("written");
    first.read_exact(&mut byte).await.expect("an answer");
    let mut second = TcpStream::connect(cluster.caller())
        .await
        .expect("a connection");
    second.write_all(ask).await.expect("written");
    second.read_exact(&mut byte).await.expect("an answer");
    let got = raw(cluster.caller(), b"").await;
    assert_eq!(got, "");
    first.write_all(ask).await.expect("written");
    first.read_exact(&mut byte).await.expect("an answer");
    drop((first, second));
    cluster.close().await;
}

// Idle connections of callers must not lock out new ones: the oldest idle connection gives way.
#[tokio::test(flavor = "multi_thread")]
async fn idle_callers_give_way_to_new_ones() {
    let fake = Fake::start(|_| answer("draft")).await;
    let bounds = Bounds {
        connections: 8,
        header_time: 3_600_000,
        ..Bounds::default()
    };
    let cluster = cluster_with(&[&fake], |it| it.callers = bounds.clone()).await;
    let ask = b"GET /drafts/1 HTTP/1.1\r\nhost: desk\r\n\r\n";
    let mut idle = Vec::new();
    let mut byte = [0];
    for _ in 0..bounds.connections {
        let mut stream = TcpStream::connect(cluster.caller())
            .await
            .expect("a connection");
        stream.write_all(ask).await.expect("written");
        stream.read_exact(&mut byte).await.expect("an answer");
        idle.push(stream);
    }
    let last = b"GET /drafts/1 HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n";
    let mut served = false;
    for _ in 0..500 {
        served = raw(cluster.caller(), last).await.contains("200 OK");
        if served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served, "every connection was closed unread");
    drop(idle);
    cluster.close().await;
}

// Requests beyond a caller's rate limit are rejected as "not run", with a retry delay.
#[tokio::test(flavor = "multi_thread")]
async fn caller_beyond_its_rate_limit_is_rejected() {
    let fake = Fake::start(|_| answer("draft")).await;
    let document = DOCUMENT.replace("[limits]", "[limits]\ncaller = 3");
    let cluster = cluster_of(&[&fake], |_| (), &document).await;
    let mut refused = None;
    for _ in 0..ATTEMPTS_MAX {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        if got.head.status != 200 {
            refused = Some(got);
            break;
        }
    }
    let refused = refused.expect("a refusal");
    assert_eq!(refused.head.status, 429);
    assert_eq!(refused.field("laburnum-outcome"), "not-run");
    assert_eq!(refused.field("laburnum-reason"), "limited");
    assert_ne!(refused.field("laburnum-retry-after-ms"), "0");
    assert!(!fake.seen().is_empty());
    cluster.close().await;
}

// Callers that do not read their answers must not occupy the upstream's slots beyond their deadline; their
// connections are closed.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_readers_do_not_block_others() {
    const LONG: usize = 16 * 1024 * 1024;
    let fake = Fake::start(|seen| match seen.head.contains("/slow") {
        true => answer(&"x".repeat(LONG)),
        false => answer("draft"),
    })
    .await;
    let document = DOCUMENT.replace("192KiB", "32MiB");
    let document = document.replace("6s", "30s").replace("300ms", "3s");
    let cluster = cluster_of(&[&fake], |it| it.callers.stall_time = 200, &document).await;
    let mut stalled = Vec::new();
    for _ in 0..SLOTS {
        let stream = TcpStream::connect(cluster.caller()).await;
        let mut stream = stream.expect("a connection");
        let ask = b"GET /slow/1 HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n";
        stream.write_all(ask).await.expect("written");
        stalled.push(stream);
    }
    until(|| fake.seen().len() == SLOTS).await;
    for _ in 0..20 {
        let got = send(request("GET", cluster.caller(), "/drafts/1"), "").await;
        assert_eq!(got.body.as_deref(), Some(&b"draft"[..]), "{got:?}");
    }
    // A reader that resumes before the stall time is over gets its whole answer.
    let faults = cluster.nodes[0].node.faults();
    let cut = tokio::time::timeout(
        Duration::from_secs(30),
        until(|| faults.total("connection") == SLOTS as u64),
    );
    cut.await.expect("every stalled connection is cut");
    for mut stream in stalled {
        let mut got = Vec::new();
        // The connection may end with a reset.
        let _ = stream.read_to_end(&mut got).await;
        assert!(got.len() < LONG);
    }
    cluster.close().await;
}

// Bodies buffered for retries share one memory budget.
#[test]
fn buffered_bodies_share_one_budget() {
    let budget = Budget::new(100);
    let first = budget.take(60).expect("a share");
    assert!(budget.take(60).is_none());
    let second = budget.take(40).expect("a share");
    drop(first);
    assert!(budget.take(60).is_some());
    drop(second);
    assert!(budget.take(u64::MAX).is_none());
}
