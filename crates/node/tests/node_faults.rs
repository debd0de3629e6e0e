//! Answers to callers when another node fails.

mod common;

use std::{
    convert::Infallible,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use axum::body::Body;
use common::{
    Cluster, DOCUMENT, Fake, Forwarder, answer, cluster, cluster_of, request, send, try_send, until,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use test_case::test_case;
use tokio::{net::TcpListener, task::JoinHandle};

/// Stops the only owner and takes over its port for nodes; the member records still contain it.
async fn take_over_port(cluster: &mut Cluster) -> TcpListener {
    let owner = cluster.nodes.remove(1);
    let address = owner.config.traffic;
    // Dropped without a drain: its sockets close and its control thread continues, as if only its traffic
    // threads had failed.
    drop(owner.node);
    let mut listener = None;
    until(|| {
        listener = std::net::TcpListener::bind(address).ok();
        listener.is_some()
    })
    .await;
    let listener = listener.expect("a socket");
    listener.set_nonblocking(true).expect("a socket of tokio");
    TcpListener::from_std(listener).expect("a socket of tokio")
}

/// Serves HTTP/2 in place of an owner.
fn serve(
    listener: TcpListener,
    respond: impl Fn(&HeaderMap) -> Response<Body> + Clone + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let respond = respond.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(request.headers());
                async move { Ok::<_, Infallible>(response) }
            });
            let builder = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    })
}

/// Replaces the only owner by a server that answers with `respond`.
async fn replace_owner(
    cluster: &mut Cluster,
    respond: impl Fn(&HeaderMap) -> Response<Body> + Clone + Send + 'static,
) -> JoinHandle<()> {
    serve(take_over_port(cluster).await, respond)
}

// An owner's answer with another exchange number must not reach the caller; the outcome is "unknown".
#[test_case(&[("laburnum-outcome", "ran"), ("laburnum-request", "7")] ; "the number of another exchange")]
#[test_case(&[("laburnum-outcome", "ran")] ; "no number")]
#[test_case(&[("laburnum-outcome", "not-run"), ("laburnum-reason", "draining"), ("laburnum-request", "7")] ; "another's refusal")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request_is_dropped(fields: &'static [(&'static str, &'static str)]) {
    let fake = Fake::start(|_| answer("own draft")).await;
    let mut cluster = cluster(&[&fake]).await;
    let server = replace_owner(&mut cluster, move |_| {
        let mut response = Response::builder();
        for (name, value) in fields {
            response = response.header(*name, *value);
        }
        let response = response.body(Body::from("another family's draft"));
        response.expect("an answer")
    })
    .await;
    let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let got = send(filing, "filing").await;
    assert_eq!(got.head.status, 502);
    assert_eq!(got.field("laburnum-outcome"), "unknown");
    assert_eq!(got.field("laburnum-reason"), "crossed");
    let body = got.body.expect("a whole body");
    assert!(!String::from_utf8_lossy(&body).contains("family"));
    server.abort();
    cluster.close().await;
}

// An owner's answer without a known outcome counts as "unknown".
#[test_case("" ; "no outcome")]
#[test_case("perhaps" ; "an outcome of a later version")]
#[tokio::test(flavor = "multi_thread")]
async fn missing_outcome_counts_as_unknown(outcome: &'static str) {
    let fake = Fake::start(|_| answer("own draft")).await;
    let mut cluster = cluster(&[&fake]).await;
    let server = replace_owner(&mut cluster, move |asked| {
        let mut response = Response::new(Body::from("draft"));
        let headers = response.headers_mut();
        headers.insert("laburnum-request", asked["laburnum-request"].clone());
        if !outcome.is_empty() {
            headers.insert("laburnum-outcome", outcome.parse().expect("a value"));
        }
        response
    })
    .await;
    let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let got = send(filing, "filing").await;
    assert_eq!(got.field("laburnum-outcome"), "unknown");
    assert!(got.head.status.is_server_error());
    server.abort();
    cluster.close().await;
}

// Guards against an owner's answer that reaches the caller although its header does not say surely where the body ends, or
// its status cannot end a request. The outcome is "unknown", and a later request uses another connection.
#[test_case(200, &["2x"] ; "a length with a letter")]
#[test_case(200, &["5", "3"] ; "two lengths")]
#[test_case(200, &["3"] ; "a length below that of the body")]
#[test_case(200, &["9"] ; "a length above that of the body")]
#[test_case(600, &[] ; "status 600")]
#[test_case(999, &["5"] ; "status 999")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_spoilt_header_is_dropped(status: u16, lengths: &'static [&'static str]) {
    let fake = Fake::start(|_| answer("own draft")).await;
    let mut cluster = cluster(&[&fake]).await;
    let spoilt = Arc::new(AtomicBool::new(true));
    let is_spoilt = spoilt.clone();
    let server = replace_owner(&mut cluster, move |asked| {
        let mut response = Response::new(Body::from("filed"));
        if is_spoilt.load(Ordering::SeqCst) {
            *response.status_mut() = StatusCode::from_u16(status).expect("a status");
            for it in lengths {
                let value = HeaderValue::from_static(it);
                response.headers_mut().append("content-length", value);
            }
        }
        let headers = response.headers_mut();
        headers.insert("laburnum-request", asked["laburnum-request"].clone());
        headers.insert("laburnum-outcome", HeaderValue::from_static("ran"));
        response
    })
    .await;
    let caller = cluster.caller();
    let file = |key: &'static str| {
        let filing = request("POST", caller, "/filings").header("idempotency-key", key);
        try_send(filing, "filing")
    };
    // A body that differs from the length is noticed only when its header has been passed on.
    match file("k1").await {
        Some(got) if got.head.status == 200 => assert_eq!(got.body, None),
        Some(got) => {
            assert_eq!(got.head.status, 502);
            assert_eq!(got.field("laburnum-outcome"), "unknown", "{got:?}");
        }
        None => {}
    }
    spoilt.store(false, Ordering::SeqCst);
    let got = file("k2").await.expect("an answer");
    assert_eq!(got.field("laburnum-outcome"), "ran");
    assert_eq!(got.body.as_deref(), Some(&b"filed"[..]));
    server.abort();
    cluster.close().await;
}

// Requests for an owner whose process has ended are "not run" at once, because nothing was sent.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_ended_node_is_not_run() {
    let fake = Fake::start(|_| answer("own draft")).await;
    let mut cluster = cluster(&[&fake]).await;
    let server = replace_owner(&mut cluster, |_| Response::new(Body::empty())).await;
    server.abort();
    let _ = server.await;
    let filing = request("POST", cluster.caller(), "/filings").header("idempotency-key", "k1");
    let got = send(filing, "filing").await;
    assert_eq!(got.field("laburnum-outcome"), "not-run");
    assert!(fake.seen().is_empty());
    cluster.close().await;
}

// A connection between nodes that died silently is detected by pings. The request on it is "unknown" and not
// sent again; the next one uses a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn silent_node_connection_is_replaced() {
    let fake = Fake::start(|_| answer("unused")).await;
    let document = DOCUMENT.replace("6s", "30s");
    let mut cluster = cluster_of(&[&fake], |_| (), &document).await;
    let keys: Arc<Mutex<Vec<HeaderValue>>> = Arc::default();
    let recorded = keys.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("an address");
    let server = serve(listener, move |asked| {
        let key = asked["idempotency-key"].clone();
        recorded.lock().expect("no panic").push(key);
        let mut response = Response::new(Body::from("filed"));
        let headers = response.headers_mut();
        headers.insert("laburnum-request", asked["laburnum-request"].clone());
        headers.insert("laburnum-outcome", HeaderValue::from_static("ran"));
        response
    });
    let forwarder = Forwarder::start(take_over_port(&mut cluster).await, target);
    let caller = cluster.caller();
    let file = |key: &'static str| {
        let filing = request("POST", caller, "/filings").header("idempotency-key", key);
        send(filing, "filing")
    };
    assert_eq!(file("k1").await.field("laburnum-outcome"), "ran");
    forwarder.silence();
    let lost = file("k2").await;
    assert_eq!(lost.field("laburnum-outcome"), "unknown");
    assert_eq!(lost.field("laburnum-reason"), "node-lost");
    assert_eq!(file("k3").await.field("laburnum-outcome"), "ran");
    assert_eq!(forwarder.connections(), 2);
    assert_eq!(*keys.lock().expect("no panic"), ["k1", "k3"]);
    server.abort();
    cluster.close().await;
}
