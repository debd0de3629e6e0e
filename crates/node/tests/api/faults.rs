//! Tests of requests that the API refuses, and of its limits on length and time.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{self, Poll},
    time::Duration,
};

use axum::body::{Body, Bytes};
use futures_core::Stream;
use http::{Method, Request, StatusCode, header};
use laburnum_edge::{
    MemoryPlatform, Platform,
    api::{BODY_MAX, VerdictBody},
    platform::AnswerFuture,
};
use laburnum_kernel::platform::{ObjectAnswer, ObjectOp, TableAnswer, TableOp};
use laburnum_node::admin::Bounds;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::sync::oneshot;
use tower::ServiceExt;

use crate::support::{REGISTRY, SUBMISSIONS, TestNode, put_body};

/// Returns the body of a submission with one field replaced.
fn put_body_with(field: &str, value: Value) -> String {
    let mut body = put_body("1", "court-registry", 0, REGISTRY);
    body[field] = value;
    body.to_string()
}

#[test_case(String::new(), "the body is not valid: EOF"; "empty")]
#[test_case("{\"id\": ".to_owned(), "line 1 column 7; correct the JSON there"; "cut")]
#[test_case("[1]".to_owned(), "the body is not valid: invalid"; "list")]
#[test_case(put_body_with("color", json!("red")), "unknown field `color`"; "unknown field")]
#[test_case(put_body_with("base", json!("latest")), "expected u64"; "base as text")]
#[test_case(put_body_with("base", json!(-1)), "expected u64"; "negative base")]
#[test_case(put_body_with("edit", json!("rename")), "unknown variant `rename`, expected `put` or `delete`"; "edit")]
#[test_case(put_body_with("service", json!("Court Registry")), "use 1 to 63 of a-z"; "service")]
#[test_case(put_body_with("id", json!("xyz")), "use up to 32 hexadecimal digits"; "id")]
#[test_case(put_body_with("id", json!("")), "use up to 32 hexadecimal digits"; "no id")]
#[test_case(put_body_with("author", json!(" ")), "author is not valid; use 1 to 128 bytes"; "author")]
#[test_case(put_body_with("reason", json!("a\nevent=accepted")), "reason is not valid"; "forged log line")]
#[test_case(put_body_with("reason", json!("x".repeat(1025))), "use 1 to 1024 bytes"; "long reason")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_submission_is_rejected(body: String, remedy: &str) {
    let node = TestNode::with_defaults().await;
    let answer = node.send(Method::POST, SUBMISSIONS, body).await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert!(answer.error().contains(remedy), "{}", answer.error());
    assert_eq!(node.get("/v1/status").await.json()["seq"], 0);
    node.close().await;
}

#[test_case("GET", "/v1/service", 404, "the paths are /v1/submissions"; "unknown path")]
#[test_case("GET", "/v1/submissions", 405, "delete a service by a submission"; "unknown method")]
#[test_case("DELETE", "/v1/services/archive", 405, "delete a service by a submission"; "delete is a submission")]
#[test_case("GET", "/v1/services/archive", 404, "no service archive; list the services"; "unknown service")]
#[test_case("GET", "/v1/services/Archive", 400, "use 1 to 63 of a-z"; "bad name")]
#[test_case("GET", "/v1/services/%ff", 400, "encode it as UTF-8"; "bad encoding")]
#[test_case("GET", "/v1/submissions/xyz", 400, "use up to 32 hexadecimal digits"; "bad id")]
#[test_case("GET", "/v1/audit?after=first", 400, "write it like ?service=archive&after=7"; "audit after text")]
#[test_case("GET", "/v1/audit?limit=0", 400, "choose 1 to 500"; "audit of nothing")]
#[test_case("GET", "/v1/audit?limit=501", 400, "choose 1 to 500"; "audit too long")]
#[test_case("GET", "/v1/audit?service=A", 400, "use 1 to 63 of a-z"; "audit of a bad name")]
#[test_case("GET", "/v1/audit?from=7", 400, "unknown field `from`"; "audit unknown key")]
#[test_case("POST", "/v1/quarantines/0/lift", 415, "content-type: application/json"; "lift without content type")]
#[test_case("POST", "/v1/submissions", 415, "content-type: application/json"; "no content type")]
#[test_case("PUT", "/v1/upstream", 415, "content-type: application/json"; "upstream without content type")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_is_rejected(method: &str, path: &str, status: u16, remedy: &str) {
    let node = TestNode::with_defaults().await;
    let method = method.parse().expect("a method");
    let answer = node.send_request(node.request(method, path), "").await;
    assert_eq!(answer.status, status);
    assert!(answer.error().contains(remedy), "{}", answer.error());
    node.close().await;
}

#[test_case("schema = 1", "line 1, column 1: the document lacks \"owner\""; "incomplete")]
#[test_case("schema = 2", "upgrade the nodes first"; "newer schema")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_document_is_refused_with_faults(text: &str, fault: &str) {
    let node = TestNode::with_defaults().await;
    let answer = node.submit(&put_body("1", "court-registry", 0, text)).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    let VerdictBody::Refused { why } = answer.verdict() else {
        panic!("{:?}", answer.verdict());
    };
    assert!(why.contains(fault), "{why}");
    node.close().await;
}

#[test_case("/v1/quarantines/xyz/lift", json!({"author": "a", "reason": "r"}), 400, "16 hexadecimal digits"; "print")]
#[test_case("/v1/quarantines/1f/lift", json!({"author": "", "reason": "r"}), 400, "author is not valid"; "author")]
#[test_case("/v1/quarantines/1f/lift", json!({"author": "a", "reason": "r"}), 404, "no such quarantine"; "no quarantine")]
#[test_case("/v1/quarantines/1f/lift", json!({"author": "a"}), 400, "missing field `reason`"; "no reason")]
#[test_case("/v1/unknown/resolve", json!({"service": "a", "key": "k", "found": "maybe", "author": "a", "reason": "r"}), 400, "unknown variant `maybe`"; "found")]
#[test_case("/v1/unknown/resolve", json!({"service": "a", "key": "k", "found": "ran", "author": "a", "reason": "\u{7}"}), 400, "reason is not valid"; "reason")]
#[test_case("/v1/unknown/resolve", json!({"service": "a", "key": "k", "found": "ran", "author": "a", "reason": "r"}), 409, "GET /v1/unknown"; "no claim")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_decision_is_rejected(path: &str, body: Value, status: u16, remedy: &str) {
    let node = TestNode::with_defaults().await;
    let answer = node.send(Method::POST, path, body.to_string()).await;
    assert_eq!(answer.status, status);
    assert!(answer.error().contains(remedy), "{}", answer.error());
    node.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_node_lists_nothing() {
    let node = TestNode::with_defaults().await;
    let quarantines = node.get("/v1/quarantines").await.json();
    assert_eq!(quarantines, json!({"quarantines": []}));
    let unknown = node.get("/v1/unknown").await.json();
    assert_eq!(unknown, json!({"unknown": []}));
    let list = node.get("/v1/services").await.json();
    assert_eq!(list, json!({"seq": 0, "services": []}));
    node.close().await;
}

/// An endless body without a declared length.
struct Endless;

impl Stream for Endless {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(self: Pin<&mut Self>, _: &mut task::Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(Some(Ok(Bytes::from_static(&[b' '; 1024]))))
    }
}

/// Guards against a node that buffers bodies above the limit, with a declared length or without one.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_rejected() {
    let node = TestNode::with_defaults().await;
    let head = "POST /v1/submissions HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n";
    let declared = format!("{head}content-length: {}\r\n\r\n", BODY_MAX + 1);
    let answer = node.send_raw(&declared, "shorten it").await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");

    // Without a socket, which could be reset while the rest of the body is being sent.
    let request = Request::post(SUBMISSIONS)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from_stream(Endless))
        .expect("a request");
    let answer = node.admin.clone().router().oneshot(request).await;
    let status = answer.expect("infallible").status();
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    node.close().await;
}

/// Guards against callers that never complete a body and hold all request permits of the API.
#[tokio::test(flavor = "multi_thread")]
async fn slow_body_releases_its_permit() {
    let bounds = Bounds {
        body_timeout: Duration::from_millis(50),
        max_requests: 1,
        ..Bounds::default()
    };
    let node = TestNode::start(Arc::new(MemoryPlatform::default()), bounds).await;
    let head = "POST /v1/submissions HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n";
    let slow = format!("{head}content-length: 9\r\n\r\n{{");
    let answer = node.send_raw(&slow, "send it at once").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_eq!(node.get("/v1/status").await.status, StatusCode::OK);
    node.close().await;
}

/// A platform that never answers until it is dropped.
#[derive(Default)]
struct Silent {
    waiting: Mutex<Vec<oneshot::Sender<()>>>,
}

impl Silent {
    fn wait<T: Send + 'static>(&self, answer: T) -> AnswerFuture<'_, T> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.push(sender);
        Box::pin(async move {
            let _ = receiver.await;
            answer
        })
    }
}

impl Platform for Silent {
    fn table(&self, _: TableOp) -> AnswerFuture<'_, TableAnswer> {
        self.wait(TableAnswer::Rows(Vec::new()))
    }

    fn object(&self, _: ObjectOp) -> AnswerFuture<'_, ObjectAnswer> {
        self.wait(ObjectAnswer::Absent)
    }
}

/// Guards against a timeout that is reported as a failure: the change may still be accepted, and the operator would
/// submit it a second time.
#[tokio::test(flavor = "multi_thread")]
async fn late_answer_is_reported_as_unknown() {
    let bounds = Bounds {
        reply_timeout: Duration::from_millis(50),
        ..Bounds::default()
    };
    let node = TestNode::start(Arc::new(Silent::default()), bounds).await;
    let answer = node
        .submit(&put_body("2a", "court-registry", 0, REGISTRY))
        .await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.verdict(), VerdictBody::Unknown);
    assert_eq!(answer.json()["id"], "0000000000000000000000000000002a");
    node.close().await;
}
