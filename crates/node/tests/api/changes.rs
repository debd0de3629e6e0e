//! Tests of changes through the API: accepted, rejected, queried by id and audited.

use http::StatusCode;
use laburnum_edge::api::VerdictBody;
use laburnum_kernel::Revision;
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{REGISTRY, TestNode, put_body};

const DRAFTING: &str = include_str!("../../../../examples/nile/drafting-desk.toml");
const PROFILES: &str = include_str!("../../../../examples/cascadia/profiles.toml");

/// Starts a node where both services are in force; also returns the revision of court-registry.
async fn with_services() -> (TestNode, Revision) {
    let node = TestNode::with_defaults().await;
    let registry = node
        .submit(&put_body("1", "court-registry", 0, REGISTRY))
        .await;
    let drafting = node
        .submit(&put_body("2", "drafting-desk", 0, DRAFTING))
        .await;
    assert_eq!(drafting.status, StatusCode::OK);
    // The control thread answers this request, so it has published the view by then.
    node.get("/v1/status").await;
    match registry.verdict() {
        VerdictBody::Accepted { revision, .. } => (node, revision),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn submitted_documents_are_listed_and_read_back() {
    let (node, revision) = with_services().await;
    let list = node.get("/v1/services").await.json();
    let drafting = &list["services"][1]["revision"];
    let expected = json!([
        {"service": "court-registry", "revision": revision, "owner": "registry team", "routes": 3, "upstreams": 0},
        {"service": "drafting-desk", "revision": drafting, "owner": "drafting team", "routes": 5, "upstreams": 0},
    ]);
    assert_eq!(list["services"], expected);
    let service = node.get("/v1/services/court-registry").await.json();
    assert_eq!(service["text"], REGISTRY);
    assert_eq!(service["revision"], json!(revision));
    assert_eq!(service["seq"], list["seq"]);
    node.close().await;
}

/// Guards against rejected changes that are answered with the wrong status or verdict, or that change a service.
#[test_case("drafting-desk", 9, json!("delete"), 409, "conflict"; "stale delete")]
#[test_case("court-registry", 0, json!({"put": {"text": REGISTRY}}), 409, "conflict"; "stale put")]
#[test_case("court-registry", 1, json!("delete"), 422, "refused"; "delete of a service in use")]
#[test_case("tunings", 0, json!({"put": {"text": REGISTRY}}), 422, "refused"; "document of another service")]
#[test_case("profiles", 0, json!({"put": {"text": PROFILES}}), 422, "refused"; "route to a service that is not there")]
#[tokio::test(flavor = "multi_thread")]
async fn rejected_change_has_no_effect(
    service: &str,
    base: u64,
    edit: Value,
    status: u16,
    verdict: &str,
) {
    let (node, _) = with_services().await;
    let before = node.get("/v1/services").await.json();
    let mut body = put_body("3", service, base, "");
    body["edit"] = edit;
    let answer = node.submit(&body).await;
    assert_eq!(answer.status, status, "{}", answer.json());
    assert_eq!(answer.json()["verdict"], verdict);
    assert_eq!(node.get("/v1/services").await.json(), before);
    node.close().await;
}

/// Guards against a second change in the log, or another verdict, if a submission is queried or repeated by its id.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_submission_has_one_outcome() {
    let (node, revision) = with_services().await;
    let outcome = node.get("/v1/submissions/1").await;
    assert_eq!(outcome.status, StatusCode::OK);
    let again = node
        .submit(&put_body("1", "court-registry", 0, REGISTRY))
        .await;
    assert_eq!(again.verdict(), outcome.verdict());
    let VerdictBody::Accepted {
        revision: found, ..
    } = outcome.verdict()
    else {
        panic!("{:?}", outcome.verdict());
    };
    assert_eq!(found, revision);

    let absent = node.get("/v1/submissions/99").await;
    assert_eq!(absent.status, StatusCode::NOT_FOUND);
    assert_eq!(absent.verdict(), VerdictBody::Absent);
    let audit = node.get("/v1/audit").await.json();
    assert_eq!(audit["changes"].as_array().map(Vec::len), Some(2));
    node.close().await;
}

#[test_case("", &["court-registry", "drafting-desk"], Value::Null; "whole log")]
#[test_case("?service=drafting-desk", &["drafting-desk"], Value::Null; "one service")]
#[test_case("?after=1", &["drafting-desk"], Value::Null; "after a position")]
#[test_case("?limit=1", &["court-registry"], json!(1); "a page")]
#[tokio::test(flavor = "multi_thread")]
async fn audit_is_filtered_and_paged(query: &str, services: &[&str], next: Value) {
    let (node, _) = with_services().await;
    let audit = node.get(&format!("/v1/audit{query}")).await.json();
    let changes = audit["changes"].as_array().expect("a list");
    let found: Vec<&Value> = changes.iter().map(|it| &it["service"]).collect();
    assert_eq!(json!(found), json!(services));
    assert_eq!(audit["next"], next);
    for change in changes {
        assert_eq!(change["author"], "amal");
        assert!(
            change["diff"]
                .as_str()
                .is_some_and(|it| it.contains("+schema = 1"))
        );
    }
    node.close().await;
}
