//! End-to-end test over real sockets: a document submitted at one node carries requests through another.

use laburnum_standin::ports::free_address;
use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::body::Body;
use http::{Request, header};
use http_body_util::BodyExt;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_edge::{Clock, MemoryPlatform};
use laburnum_kernel::{
    Call, Event, Reply, Revision, SubmitId,
    accept::{self, Submission, Verdict},
    event::UpstreamEvent,
    log::Edit,
    members::Phase,
    view::ServiceView,
};
use laburnum_node::{Config, Node};
use laburnum_standin::upstream::Upstream;

const DRAFTING: &str = include_str!("../../../examples/nile/drafting-desk.toml");
const REGISTRY: &str = include_str!("../../../examples/nile/court-registry.toml");

/// Maximum number of polls in [`until`]: at least a minute.
const POLLS_MAX: usize = 12_000;

/// Polls `ready` until it returns true. Panics instead of hanging if it never does.
async fn until(mut ready: impl FnMut() -> bool) {
    for _ in 0..POLLS_MAX {
        if ready() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("a condition did not come true in {POLLS_MAX} polls");
}

async fn node(peers: Vec<SocketAddr>, platform: Arc<MemoryPlatform>) -> (Node, Config) {
    let config = Config {
        caller: free_address(),
        control: free_address(),
        traffic: free_address(),
        admin: free_address(),
        peers,
        ..Config::default()
    };
    let node = Node::start(config.clone(), Clock::system(), platform).await;
    (node.expect("the node starts"), config)
}

fn submission(id: u128, service: &str, text: &str) -> Submission {
    Submission {
        id: SubmitId(id),
        service: service.parse().expect("a name"),
        base: Revision(0),
        edit: Edit::Put {
            text: text.to_owned(),
        },
        author: "amal".to_owned(),
        reason: "first".to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn submitted_document_routes_through_other_node() {
    let platform = Arc::new(MemoryPlatform::default());
    let (owner, owner_config) = node(Vec::new(), platform.clone()).await;
    let (entry, entry_config) = node(vec![owner_config.control], platform).await;
    let upstream = Upstream::start(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("the upstream starts");
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let announce = format!(
        r#"{{"service":"drafting-desk","address":"{}","slots":6,"ready":true}}"#,
        upstream.address()
    );
    let request = Request::put(format!("http://{}/v1/upstream", owner_config.admin))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(announce))
        .expect("a request");
    let answer = client.request(request).await.expect("an answer");
    assert_eq!(answer.status(), 204);

    // The drafting desk routes to the registry, which must exist first.
    for submission in [
        submission(1, "court-registry", REGISTRY),
        submission(2, "drafting-desk", DRAFTING),
    ] {
        let call = Call::Accept(accept::Call::Submit(submission));
        let reply = owner.control().call(call).await.expect("a reply");
        assert!(matches!(
            reply,
            Reply::Accept(accept::Reply::Verdict(Verdict::Accepted { .. }))
        ));
    }
    let name = "drafting-desk".parse().expect("a name");
    // A node serves requests only after its catch-up; the endpoint is known before it is ready.
    for node in [&entry, &owner] {
        until(|| {
            let view = node.control().view();
            let service = view.services.get(&name);
            let ready = |it: &ServiceView| it.endpoints.iter().any(|it| it.phase == Phase::Ready);
            view.ready && service.is_some_and(ready)
        })
        .await;
    }

    let request = Request::get(format!("http://{}/drafts/7", entry_config.caller))
        .header(header::HOST, "drafting-desk")
        .body(Body::empty())
        .expect("a request");
    let answer = client.request(request).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["laburnum-outcome"], "ran");
    let body = answer.into_body().collect().await.expect("a whole body");
    assert_eq!(body.to_bytes(), "GET /drafts/7 \n");

    entry
        .control()
        .send_event(Event::Upstream(UpstreamEvent::Gone))
        .expect("running");
    upstream.close();
    entry.close().await;
    owner.close().await;
}
