//! The request path: caller, entry node, owner node, upstream.

use std::{
    net::SocketAddr,
    sync::{Arc, RwLock},
};

use axum::{
    Router,
    body::Body,
    extract::{Request, State},
    http::{HeaderValue, StatusCode, Uri, Version, header},
    response::{IntoResponse, Response},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_kernel::{Name, members::Phase, pick};

use crate::control::Control;

/// Says whether the request was run: [`RAN`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME: &str = "laburnum-outcome";
/// The upstream ran the request and this is its whole answer.
pub const RAN: &str = "ran";
/// No byte of the request reached an upstream.
pub const NOT_RUN: &str = "not-run";
/// The request may or may not have been run.
pub const UNKNOWN: &str = "unknown";
/// The service that a request between nodes is for.
const SERVICE: &str = "laburnum-service";

/// Where the upstream beside this node listens.
pub type UpstreamAddress = Arc<RwLock<Option<SocketAddr>>>;

/// What the request path needs.
#[derive(Clone)]
pub struct Traffic {
    control: Control,
    upstream: UpstreamAddress,
    nodes: Client<HttpConnector, Body>,
    upstreams: Client<HttpConnector, Body>,
}

impl Traffic {
    /// A request path that reads views from `control`.
    pub fn new(control: Control, upstream: UpstreamAddress) -> Traffic {
        let mut nodes = Client::builder(TokioExecutor::new());
        nodes.http2_only(true);
        Traffic {
            control,
            upstream,
            nodes: nodes.build(HttpConnector::new()),
            upstreams: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }

    /// Serves callers.
    pub fn entry(self) -> Router {
        Router::new().fallback(entry).with_state(self)
    }

    /// Serves other nodes.
    pub fn owner(self) -> Router {
        Router::new().fallback(owner).with_state(self)
    }
}

async fn entry(State(traffic): State<Traffic>, mut request: Request) -> Response {
    let Some(service) = service_of(&request) else {
        let why = "name the service in the Host header";
        return refuse(StatusCode::BAD_REQUEST, why);
    };
    let view = traffic.control.view();
    // A restarted process may hold less than it did before: serving now would be a step back.
    if !view.ready {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "catching up with the configuration; retry elsewhere",
        );
    }
    let Some(found) = view.services.get(&service) else {
        return refuse(
            StatusCode::NOT_FOUND,
            "no such service; submit its document first",
        );
    };
    let (method, path) = (request.method().as_str(), request.uri().path());
    if found.document.route(method, path).is_none() {
        return refuse(StatusCode::NOT_FOUND, "no route for this method and path");
    }
    let Some(endpoint) = pick::pick(&mut rand::rng(), &found.endpoints) else {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "no upstream is ready; retry later",
        );
    };
    let value = HeaderValue::from_str(service.as_str());
    if let Ok(value) = value {
        request.headers_mut().insert(SERVICE, value);
    }
    forward(&traffic.nodes, endpoint.traffic, request, Version::HTTP_2).await
}

async fn owner(State(traffic): State<Traffic>, request: Request) -> Response {
    let view = traffic.control.view();
    let wanted = request.headers().get(SERVICE).map(HeaderValue::as_bytes);
    let own = view.own.as_ref().filter(|_| view.ready);
    let ready = own.is_some_and(|it| {
        it.phase == Phase::Ready && wanted == Some(it.service.as_str().as_bytes())
    });
    let address = traffic.upstream.read().ok().and_then(|it| *it);
    match address {
        Some(address) if ready => {
            forward(&traffic.upstreams, address, request, Version::HTTP_11).await
        }
        _ => refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the upstream is not ready; retry elsewhere",
        ),
    }
}

async fn forward(
    client: &Client<HttpConnector, Body>,
    address: SocketAddr,
    mut request: Request,
    version: Version,
) -> Response {
    let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
    let Ok(uri) = format!("http://{address}{path}").parse::<Uri>() else {
        return refuse(StatusCode::BAD_REQUEST, "the request's path is not valid");
    };
    *request.uri_mut() = uri;
    *request.version_mut() = version;
    request.headers_mut().remove(header::HOST);
    request.headers_mut().remove(header::CONNECTION);
    match client.request(request).await {
        Ok(response) => {
            let mut response = response.into_response();
            let headers = response.headers_mut();
            headers
                .entry(OUTCOME)
                .or_insert(HeaderValue::from_static(RAN));
            response
        }
        Err(error) if error.is_connect() => refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the upstream cannot be reached; retry",
        ),
        Err(_) => outcome(
            StatusCode::BAD_GATEWAY,
            UNKNOWN,
            "the answer was lost on its way",
        ),
    }
}

fn service_of(request: &Request) -> Option<Name> {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|it| it.to_str().ok())
        .or_else(|| request.uri().authority().map(|it| it.as_str()))?;
    host.split(':').next()?.parse().ok()
}

fn refuse(status: StatusCode, why: &str) -> Response {
    outcome(status, NOT_RUN, why)
}

fn outcome(status: StatusCode, outcome: &'static str, why: &str) -> Response {
    (status, [(OUTCOME, outcome)], format!("{why}\n")).into_response()
}
