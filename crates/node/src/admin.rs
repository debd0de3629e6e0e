//! The operators' and the upstream's API of a node; [`laburnum_edge::api`] lists it.

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
    upstream::Upstream,
};

/// What the API needs.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The control thread.
    pub control: Control,
    /// The upstream beside this node.
    pub upstream: Upstream,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// Bounds on requests.
    pub bounds: Bounds,
    /// Who may ask for what. Default: anybody.
    pub guard: Guard,
}

/// Bounds on the API's requests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest request body in bytes. Default: [`api::BODY_MAX`].
    pub body: usize,
    /// Longest time that a request body may take to arrive. Default: 10 s.
    pub arrival: Duration,
    /// Longest time that the control thread may take to answer. Default: 15 s.
    pub answer: Duration,
    /// Most operators' requests at once; more wait. Default: 64.
    pub requests: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            body: api::BODY_MAX,
            arrival: Duration::from_secs(10),
            answer: Duration::from_secs(15),
            requests: 64,
        }
    }
}

impl Admin {
    /// An API with the default bounds.
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

    /// Serves the API.
    pub fn router(self) -> Router {
        // Without a bound, a script that submits a quarter's changes at once holds a body each in memory.
        // The upstream and the probes of the node's host stay outside, so that operators cannot starve them.
        let limit = GlobalConcurrencyLimitLayer::new(self.bounds.requests);
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
            .fallback(|| async { Refusal::Path })
            .method_not_allowed_fallback(|| async { Refusal::Method })
            // Outermost and over every path: no body is read for a stranger, and none of the places above taken.
            .layer(from_fn_with_state(self.guard.clone(), authorize))
            .with_state(self)
    }

    /// Asks the kernel.
    async fn ask(&self, call: Call) -> Result<Reply, Refusal> {
        let answer = tokio::time::timeout(self.bounds.answer, self.control.call(call));
        Ok(answer.await.map_err(|_| Refusal::Late)??)
    }
}

async fn authorize(State(guard): State<Guard>, request: Request, next: Next) -> Response {
    let peer = request.extensions().get::<Peer>().copied();
    match guard.admit(request.uri().path(), request.headers(), peer) {
        Ok(()) => next.run(request).await,
        Err(Unauthorized) => Refusal::Unauthorized.into_response(),
    }
}

async fn ready(State(admin): State<Admin>) -> Response {
    let view = admin.control.view();
    match view.ready {
        true => format!("ok seq={}\n", view.seq).into_response(),
        false => Refusal::Unready.into_response(),
    }
}

async fn metrics(State(admin): State<Admin>) -> Response {
    let content = [(header::CONTENT_TYPE, prometheus::TEXT_FORMAT)];
    match admin.metrics.text() {
        Ok(text) => (content, text).into_response(),
        Err(error) => {
            let text =
                format!("cannot write the metrics: {error}; ask again, or update the node\n");
            (StatusCode::INTERNAL_SERVER_ERROR, text).into_response()
        }
    }
}

/// The variable segment of a path.
type Segment = Result<Path<String>, PathRejection>;

fn segment(path: Segment) -> Result<String, Refusal> {
    path.map(|Path(it)| it).map_err(|_| Refusal::Segment)
}
