//! Announces the upstream to the node beside it, and renews the announcement as a lease.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_edge::{Token, api::AnnounceBody};
use tokio::sync::watch;

use crate::upstream::Phase;

/// Path at which a node receives announcements.
pub const PATH: &str = "/v1/upstream";

/// Settings of the announcements.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Admin address of the node.
    pub node: SocketAddr,
    /// Token that the node accepts from other hosts.
    pub token: Option<Token>,
    /// Interval between heartbeats and timeout of each, in ms.
    pub heartbeat: u64,
    /// Announced body; `ready` is set from the phase.
    pub body: AnnounceBody,
}

/// Announces each change of the phase at once and renews the announcement until the upstream drains, then withdraws it.
pub async fn run(lease: Lease, mut phases: watch::Receiver<Phase>) {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let heartbeat = Duration::from_millis(lease.heartbeat);
    loop {
        let phase = *phases.borrow_and_update();
        let request = match phase {
            Phase::Draining => request(&lease, Method::DELETE, Bytes::new()),
            Phase::Warming | Phase::Ready => {
                request(&lease, Method::PUT, announcement_body(&lease, phase))
            }
        };
        if let Some(request) = request {
            // The next heartbeat replaces a lost one, and the lease's expiry a lost withdrawal.
            let _ = tokio::time::timeout(heartbeat, client.request(request)).await;
        }
        if phase == Phase::Draining {
            return;
        }
        tokio::select! {
            changed = phases.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(heartbeat) => {}
        }
    }
}

fn announcement_body(lease: &Lease, phase: Phase) -> Bytes {
    let ready = phase == Phase::Ready;
    let body = AnnounceBody {
        ready,
        ..lease.body.clone()
    };
    serde_json::to_vec(&body)
        .map(Bytes::from)
        .unwrap_or_default()
}

fn request(lease: &Lease, method: Method, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{}{PATH}", lease.node))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .ok()?;
    if let Some(token) = &lease.token {
        let value = token.authorization();
        request.headers_mut().insert(header::AUTHORIZATION, value);
    }
    Some(request)
}
