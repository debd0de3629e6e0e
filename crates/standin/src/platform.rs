//! Stand-in for the platform's HTTP service (see `docs/PLATFORM.md`), with fault injection.
//!
//! Beside the platform's own paths it answers `GET /faults`, `PUT /faults` (both [`Faults`]) and
//! `GET /stats` ([`crate::Stats`]).

use std::{future::pending, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use laburnum_edge::http::wire::{
    self, Base64, BytesBody, CommitBody, DoneBody, Effect, ErrorBody, GetBody, NameBody,
    ObjectBody, RowsBody, ScanBody,
};
use laburnum_kernel::platform::{Fault, ObjectAnswer, ObjectOp, TableAnswer, TableOp};
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::{
    body::{self, Body, ConnectionCut},
    faults::Faults,
    faulty::{FaultyPlatform, Served},
    server::{ConnCounter, Server},
};

/// Path at which the faults are read and replaced.
pub const FAULTS: &str = "/faults";
/// Path of the counters of calls.
pub const STATS: &str = "/stats";

/// Longest body of a request, in bytes: a full commit of the largest values, encoded in base64.
const REQUEST_MAX: usize = 40 * 1024 * 1024;

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct PlatformServer {
    server: Server,
}

impl PlatformServer {
    /// Serves `faulty` on `address`; port zero selects a free port.
    pub async fn start(
        address: SocketAddr,
        faulty: FaultyPlatform,
    ) -> std::io::Result<PlatformServer> {
        let listener = TcpListener::bind(address).await?;
        let handler = move |_, request| handle(faulty.clone(), request);
        let server = Server::start(listener, ConnCounter::default(), handler)?;
        Ok(PlatformServer { server })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the server and closes every connection; its [`FaultyPlatform`] keeps the stored data.
    pub fn close(self) {
        self.server.close();
    }
}

type HandlerResult = Result<Response<Body>, ConnectionCut>;

/// Why a request is rejected.
enum Refusal {
    TooLong,
    Malformed(String),
    Cut,
}

async fn handle(faulty: FaultyPlatform, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let answered = match Limited::new(body, REQUEST_MAX).collect().await {
        Ok(body) => route(&faulty, &parts.method, parts.uri.path(), body.to_bytes()).await,
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLong),
        Err(_) => Err(Refusal::Cut),
    };
    match answered {
        Ok(response) => Ok(response),
        Err(Refusal::Cut) => Err(ConnectionCut),
        Err(Refusal::TooLong) => {
            let why = format!("the request exceeds {REQUEST_MAX} bytes; split it");
            Ok(error_response(StatusCode::PAYLOAD_TOO_LARGE, why))
        }
        Err(Refusal::Malformed(why)) => Ok(error_response(StatusCode::BAD_REQUEST, why)),
    }
}

async fn route(
    faulty: &FaultyPlatform,
    method: &Method,
    path: &str,
    bytes: Bytes,
) -> Result<Response<Body>, Refusal> {
    match (method, path) {
        (&Method::GET, STATS) => Ok(body::json(StatusCode::OK, &faulty.stats())),
        (&Method::GET, FAULTS) => Ok(body::json(StatusCode::OK, &faulty.faults())),
        (&Method::PUT, FAULTS) => {
            let faults: Faults = parse(&bytes)?;
            faulty.set(faults);
            Ok(body::json(StatusCode::OK, &faults))
        }
        (&Method::POST, wire::TABLE_GET) => {
            let GetBody { keys } = parse(&bytes)?;
            table(faulty, TableOp::Get { keys }).await
        }
        (&Method::POST, wire::TABLE_SCAN) => {
            let scan: ScanBody = parse(&bytes)?;
            let op = TableOp::Scan {
                prefix: scan.prefix,
                after: scan.after,
                limit: scan.limit,
            };
            table(faulty, op).await
        }
        (&Method::POST, wire::TABLE_COMMIT) => {
            let CommitBody { checks, writes } = parse(&bytes)?;
            let writes = writes.into_iter().map(Into::into).collect();
            table(faulty, TableOp::Commit { checks, writes }).await
        }
        (&Method::POST, wire::OBJECT_PUT) => {
            let ObjectBody { name, bytes } = parse(&bytes)?;
            let bytes = bytes.0;
            object(faulty, &name.clone(), ObjectOp::Put { name, bytes }).await
        }
        (&Method::POST, wire::OBJECT_GET) => {
            let NameBody { name } = parse(&bytes)?;
            object(faulty, &name.clone(), ObjectOp::Get { name }).await
        }
        (&Method::POST, wire::OBJECT_DELETE) => {
            let NameBody { name } = parse(&bytes)?;
            object(faulty, &name.clone(), ObjectOp::Delete { name }).await
        }
        _ => {
            let why = format!("unknown call {method} {path}; see docs/PLATFORM.md");
            Ok(error_response(StatusCode::NOT_FOUND, why))
        }
    }
}

async fn table(faulty: &FaultyPlatform, op: TableOp) -> Result<Response<Body>, Refusal> {
    let served = faulty.serve_table(op).await;
    send(served, |answer| match answer {
        TableAnswer::Rows(rows) => body::json(StatusCode::OK, &RowsBody::from(rows)),
        TableAnswer::Conflict(rows) => body::json(StatusCode::CONFLICT, &RowsBody::from(rows)),
        TableAnswer::Committed => body::json(StatusCode::OK, &DoneBody { done: true }),
        TableAnswer::Failed(fault) => fault_response(fault),
    })
    .await
}

async fn object(
    faulty: &FaultyPlatform,
    name: &str,
    op: ObjectOp,
) -> Result<Response<Body>, Refusal> {
    let served = faulty.serve_object(op).await;
    let found = |status, bytes| {
        let name = name.to_owned();
        body::json(status, &BytesBody { name, bytes })
    };
    send(served, |answer| match answer {
        ObjectAnswer::Done => body::json(StatusCode::OK, &DoneBody { done: true }),
        ObjectAnswer::Bytes(bytes) => found(StatusCode::OK, Some(Base64(bytes))),
        ObjectAnswer::Absent => found(StatusCode::NOT_FOUND, None),
        ObjectAnswer::Failed(fault) => fault_response(fault),
    })
    .await
}

async fn send<A>(
    served: Served<A>,
    encode: impl FnOnce(A) -> Response<Body>,
) -> Result<Response<Body>, Refusal> {
    match served {
        Served::Whole(answer) => Ok(encode(answer)),
        Served::Truncated(answer) => Ok(body::truncate(encode(answer))),
        Served::Malformed => Ok(body::text(StatusCode::OK, "<html>\n".to_owned())),
        Served::Refused(fault) => Ok(fault_response(fault)),
        Served::Cut => Err(Refusal::Cut),
        // The server drops this future when the caller disconnects.
        Served::Never => pending().await,
    }
}

fn fault_response(fault: Fault) -> Response<Body> {
    let why = fault.to_string();
    match fault {
        Fault::Throttled { after } => {
            let body = ErrorBody {
                error: why,
                after: Some(after),
                effect: Effect::None,
            };
            let mut response = body::json(StatusCode::TOO_MANY_REQUESTS, &body);
            let seconds = HeaderValue::from(after.div_ceil(1000));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
            response
        }
        Fault::Unavailable => {
            let body = ErrorBody {
                error: why,
                after: None,
                effect: Effect::None,
            };
            body::json(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
        Fault::Unknown => error_response(StatusCode::INTERNAL_SERVER_ERROR, why),
        Fault::Invalid(why) => error_response(StatusCode::BAD_REQUEST, why),
    }
}

fn error_response(status: StatusCode, error: String) -> Response<Body> {
    let body = ErrorBody {
        error,
        ..ErrorBody::default()
    };
    body::json(status, &body)
}

fn parse<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|it| Refusal::Malformed(it.to_string()))
}
