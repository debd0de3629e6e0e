//! What operators read and decide through the API.

use http::{Method, StatusCode};
use laburnum_kernel::{
    Call, Reply,
    guard::{self, Fingerprint},
    once::{self, AttemptId, Ended},
};
use serde_json::json;

use crate::support::Served;

const ANNOUNCED: &str =
    r#"{"service":"court-registry","address":"127.0.0.1:1","slots":6,"ready":true}"#;

/// What the operator sees: a request that was in flight in two crashes of its upstream, and after lifting it,
/// the same request as no longer held.
#[tokio::test(flavor = "multi_thread")]
async fn quarantines_are_listed_and_lifted() {
    let served = Served::plain().await;
    let announced = served.send(Method::PUT, "/v1/upstream", ANNOUNCED.to_owned());
    assert_eq!(announced.await.status, StatusCode::NO_CONTENT);
    let mut found = json!([]);
    // Two crashes within one millisecond are one, so there may be a third.
    while found == json!([]) {
        let prints = vec![Fingerprint(0xff)];
        let crashed = Call::Guard(guard::Call::Crashed { prints });
        served.node.control().call(crashed).await.expect("a reply");
        found = served.get("/v1/quarantines").await.json()["quarantines"].clone();
    }
    assert_eq!(found[0]["print"], "00000000000000ff");
    assert_eq!(found[0]["service"], "court-registry");
    assert_eq!(found[0]["held"], true);

    let act = json!({"author": "amal", "reason": "fixed in 1.3"}).to_string();
    let lift = served.send(Method::POST, "/v1/quarantines/00000000000000ff/lift", act);
    assert_eq!(lift.await.status, StatusCode::NO_CONTENT);
    let lifted = served.get("/v1/quarantines").await.json();
    assert_eq!(lifted["quarantines"][0]["held"], false);
    served.close().await;
}

/// What the operator sees: a filing whose upstream died, until he says what he found out about it.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcomes_are_listed_and_resolved() {
    let served = Served::plain().await;
    let announced = served.send(Method::PUT, "/v1/upstream", ANNOUNCED.to_owned());
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
    let granted = served.node.control().call(Call::Once(claim)).await;
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
    let settled = served.node.control().call(Call::Once(settle)).await;
    assert_eq!(settled.expect("a reply"), Reply::Once(once::Reply::Settled));

    let list = served.get("/v1/unknown").await.json();
    assert_eq!(list["unknown"][0]["service"], "court-registry");
    assert_eq!(list["unknown"][0]["key"], "filing-7");
    let act = json!({
        "service": "court-registry", "key": "filing-7", "found": "ran", "author": "amal",
        "reason": "found in the register",
    });
    let resolve = served.send(Method::POST, "/v1/unknown/resolve", act.to_string());
    assert_eq!(resolve.await.status, StatusCode::NO_CONTENT);
    assert_eq!(
        served.get("/v1/unknown").await.json(),
        json!({"unknown": []})
    );
    served.close().await;
}
