//! Tests of quarantines and of requests of unknown outcome through the API.

use http::{Method, StatusCode};
use laburnum_kernel::{
    Call, Reply,
    guard::{self, Fingerprint},
    once::{self, AttemptId, Ended},
};
use serde_json::json;

use crate::support::TestNode;

const ANNOUNCED: &str =
    r#"{"service":"court-registry","address":"127.0.0.1:1","slots":6,"ready":true}"#;

/// Guards against a quarantine that is not listed, or still in force after it was lifted.
#[tokio::test(flavor = "multi_thread")]
async fn quarantines_are_listed_and_lifted() {
    let node = TestNode::with_defaults().await;
    let announced = node.send(Method::PUT, "/v1/upstream", ANNOUNCED.to_owned());
    assert_eq!(announced.await.status, StatusCode::NO_CONTENT);
    let mut found = json!([]);
    // Two crashes within one millisecond count as one, so more may be needed.
    while found == json!([]) {
        let prints = vec![Fingerprint(0xff)];
        let crashed = Call::Guard(guard::Call::Crashed { prints });
        node.node.control().call(crashed).await.expect("a reply");
        found = node.get("/v1/quarantines").await.json()["quarantines"].clone();
    }
    assert_eq!(found[0]["print"], "00000000000000ff");
    assert_eq!(found[0]["service"], "court-registry");
    assert_eq!(found[0]["held"], true);

    let act = json!({"author": "amal", "reason": "fixed in 1.3"}).to_string();
    let lift = node.send(Method::POST, "/v1/quarantines/00000000000000ff/lift", act);
    assert_eq!(lift.await.status, StatusCode::NO_CONTENT);
    let lifted = node.get("/v1/quarantines").await.json();
    assert_eq!(lifted["quarantines"][0]["held"], false);
    node.close().await;
}

/// Guards against a request of unknown outcome that is not listed, or still listed after it was resolved.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcomes_are_listed_and_resolved() {
    let node = TestNode::with_defaults().await;
    let announced = node.send(Method::PUT, "/v1/upstream", ANNOUNCED.to_owned());
    assert_eq!(announced.await.status, StatusCode::NO_CONTENT);
    let key = once::Key {
        service: "court-registry".parse().expect("a name"),
        text: "filing-7".to_owned(),
    };
    let attempt = AttemptId(7);
    let claim = once::Call::Claim {
        key: key.clone(),
        attempt,
        print: Fingerprint(1),
    };
    let granted = node.node.control().call(Call::Once(claim)).await;
    let granted = granted.expect("a reply");
    assert!(
        matches!(granted, Reply::Once(once::Reply::Granted { .. })),
        "{granted:?}"
    );
    let settle = once::Call::Settle {
        key,
        attempt,
        ended: Ended::Unknown,
    };
    let settled = node.node.control().call(Call::Once(settle)).await;
    assert_eq!(settled.expect("a reply"), Reply::Once(once::Reply::Settled));

    let list = node.get("/v1/unknown").await.json();
    assert_eq!(list["unknown"][0]["service"], "court-registry");
    assert_eq!(list["unknown"][0]["key"], "filing-7");
    let act = json!({
        "service": "court-registry", "key": "filing-7", "found": "ran", "author": "amal",
        "reason": "found in the register",
    });
    let resolve = node.send(Method::POST, "/v1/unknown/resolve", act.to_string());
    assert_eq!(resolve.await.status, StatusCode::NO_CONTENT);
    assert_eq!(node.get("/v1/unknown").await.json(), json!({"unknown": []}));
    node.close().await;
}
