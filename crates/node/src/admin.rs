//! HTTP API of a node for operators and for the upstream beside it; [`laburnum_edge::api`] lists its paths.

mod body;
mod operators;
mod refusal;
mod requests;
mod upstream;

use std::time::Duration;

use axum::{
    Router,
    extract::{Path, Request, State, rejection::PathRejection},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use http::{StatusCode, header};
use laburnum_edge::api;
use laburnum_kernel::{Call, Reply};
use tower::limit::GlobalConcurrencyLimitLayer;

pub use self::refusal::Refusal;
use crate::{
    auth::{Guard, Peer, Unauthorized},
    control::Control,
    metrics::Metrics,
    traffic::serve::ConnectionPeer,
    upstream::Upstream,
};

/// The API with what it depends on.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Handle to the control thread.
    pub control: Control,
    /// The upstream beside this node.
    pub upstream: Upstream,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// Limits on requests.
    pub bounds: Bounds,
    /// Authorization of requests. Default: everything is allowed.
    pub guard: Guard,
}

/// Limits on the API's requests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum length of a request body in bytes. Default: [`api::BODY_MAX`].
    pub max_body: usize,
    /// Timeout for receiving a request body. Default: 10 s.
    pub body_timeout: Duration,
    /// Timeout for a reply of the control thread. Default: 15 s.
    pub reply_timeout: Duration,
    /// Maximum number of concurrent operators' requests; further ones wait. Default: 64.
    pub max_requests: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            max_body: api::BODY_MAX,
            body_timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(15),
            max_requests: 64,
        }
    }
}

impl Admin {
    /// Creates an API with the default limits and no authorization.
    pub fn new(control: Control, upstream: Upstream, metrics: Metrics) -> Admin {
        let bounds = Bounds::default();
        Admin {
            control,
            upstream,
            metrics,
            bounds,
            guard: Guard::default(),
        }
    }

    /// Returns the router that serves the API.
    pub fn router(self) -> Router {
        // Bounds the request bodies in memory. The limit does not cover the upstream and the host's probes, so that
        // operators cannot starve them.
        let limit = GlobalConcurrencyLimitLayer::new(self.bounds.max_requests);
        Router::new()
            .route("/v1/submissions", post(operators::submit))
            .route("/v1/submissions/{id}", get(operators::outcome))
            .route("/v1/audit", get(operators::audit))
            .route("/v1/services", get(operators::list))
            .route("/v1/services/{name}", get(operators::service))
            .route("/v1/status", get(operators::status))
            .route("/v1/quarantines", get(requests::quarantines))
            .route("/v1/quarantines/{print}/lift", post(requests::lift))
            .route("/v1/unknown", get(requests::unknown))
            .route("/v1/unknown/resolve", post(requests::resolve))
            .layer(limit)
            .route("/livez", get(|| async { "ok\n" }))
            .route("/readyz", get(ready))
            .route("/metrics", get(metrics))
            .route(
                "/v1/upstream",
                put(upstream::announce).delete(upstream::withdraw),
            )
            .fallback(|| async { Refusal::UnknownPath })
            .method_not_allowed_fallback(|| async { Refusal::UnknownMethod })
            // Outermost and on every path: an unauthorized request takes no permit, and its body is not read.
            .layer(from_fn_with_state(self.guard.clone(), authorize))
            .with_state(self)
    }

    /// Sends a call to the kernel and waits for the reply.
    async fn call(&self, call: Call) -> Result<Reply, Refusal> {
        let reply = tokio::time::timeout(self.bounds.reply_timeout, self.control.call(call));
        Ok(reply.await.map_err(|_| Refusal::ReplyTimeout)??)
    }
}

async fn authorize(State(guard): State<Guard>, request: Request, next: Next) -> Response {
    let peer = request.extensions().get::<Peer>().copied();
    match guard.admit(request.uri().path(), request.headers(), peer) {
        Ok(()) => {
            ConnectionPeer::admit(&request);
            next.run(request).await
        }
        Err(Unauthorized) => {
            ConnectionPeer::refuse(&request);
            Refusal::Unauthorized.into_response()
        }
    }
}

async fn ready(State(admin): State<Admin>) -> Response {
    let view = admin.control.view();
    match view.ready {
        true => format!("ok seq={}\n", view.seq).into_response(),
        false => Refusal::NotReady.into_response(),
    }
}

async fn metrics(State(admin): State<Admin>) -> Response {
    let content = [(header::CONTENT_TYPE, prometheus::TEXT_FORMAT)];
    match admin.metrics.text() {
        Ok(text) => (content, text).into_response(),
        Err(error) => {
            let text = format!("cannot encode the metrics: {error}; retry, or update the node\n");
            (StatusCode::INTERNAL_SERVER_ERROR, text).into_response()
        }
    }
}

/// The variable segment of a path.
type Segment = Result<Path<String>, PathRejection>;

fn segment(path: Segment) -> Result<String, Refusal> {
    path.map(|Path(it)| it).map_err(|_| Refusal::InvalidPath)
}
