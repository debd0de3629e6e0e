//! The platform over HTTP.
//!
//! One call is one request: nothing is ever sent twice from here. Whether a write that went wrong may have
//! taken effect is told apart as exactly as the connection allows, because the kernel reads back after
//! [`Fault::Unknown`] and may simply try again after [`Fault::Unavailable`].

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use laburnum_kernel::platform::{Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Semaphore;

use crate::{
    http::wire::{
        BytesBody, CommitBody, DoneBody, Effect, ErrorBody, GetBody, NameBody, ObjectBody,
        RowsBody, ScanBody,
    },
    platform::{Answer, Platform},
};

pub mod wire;

/// How the platform is reached.
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// Address of the platform's HTTP service. Default: 127.0.0.1:7200.
    pub address: SocketAddr,
    /// Longest wait for a connection, in milliseconds. Default: 500.
    pub connect: u64,
    /// Longest wait for a whole answer, in milliseconds. Default: 2000.
    pub timeout: u64,
    /// Most calls in progress. Default: 16.
    pub concurrency: usize,
    /// Most calls that wait for one of those places. Default: 256.
    pub queue: usize,
    /// Most bytes of one answer. Default: 16 MiB.
    pub answer: usize,
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 7200)),
            connect: 500,
            timeout: 2_000,
            concurrency: 16,
            queue: 256,
            answer: 16 * 1024 * 1024,
        }
    }
}

/// The platform's HTTP service. Calls must be made inside a tokio runtime.
#[derive(Debug)]
pub struct HttpPlatform {
    settings: HttpSettings,
    client: Client<HttpConnector, Full<Bytes>>,
    /// Calls in progress or waiting.
    places: Semaphore,
    /// Calls in progress.
    slots: Semaphore,
}

/// Milliseconds after which an idle connection is closed from this side.
const IDLE_MS: u64 = 10_000;
/// Milliseconds to wait after a 429 that does not say how long.
const RETRY_MS: u64 = 1_000;
/// Most characters of the platform's own words that a fault repeats.
const WORDS_MAX: usize = 200;

/// What an operation does to the platform.
#[derive(Clone, Copy)]
enum Kind {
    Read,
    Write,
}

/// How far a call came.
#[derive(Clone, Copy)]
enum Stage {
    /// Nothing was sent.
    Waiting,
    /// Some of the request may have been sent.
    Sent,
}

/// A whole answer.
struct Received {
    status: StatusCode,
    headers: HeaderMap,
    bytes: Bytes,
}

impl HttpPlatform {
    /// A client of the service at `settings.address`; connects with the first call.
    pub fn new(settings: HttpSettings) -> HttpPlatform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect)));
        let client = Client::builder(TokioExecutor::new())
            // The client would otherwise send again what a closing connection gave back; what to do
            // about a write that failed is the kernel's decision alone.
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_MS))
            .pool_max_idle_per_host(settings.concurrency)
            .build(connector);
        HttpPlatform {
            client,
            places: Semaphore::new(settings.concurrency + settings.queue),
            slots: Semaphore::new(settings.concurrency),
            settings,
        }
    }

    async fn get(&self, keys: Vec<String>) -> Result<TableAnswer, Fault> {
        let body = GetBody { keys };
        let received = self.call(wire::TABLE_GET, &body, Kind::Read).await?;
        let rows = rows(&received)?;
        let asked: HashSet<&str> = body.keys.iter().map(String::as_str).collect();
        match rows.iter().all(|it| asked.contains(it.key.as_str())) {
            true => Ok(TableAnswer::Rows(rows)),
            // An answer to somebody else's question; taking it would show rows as absent that exist.
            false => Err(Kind::Read.lost()),
        }
    }

    async fn scan(&self, body: ScanBody) -> Result<TableAnswer, Fault> {
        let received = self.call(wire::TABLE_SCAN, &body, Kind::Read).await?;
        let rows = rows(&received)?;
        let inside = |it: &Row| it.key.starts_with(&body.prefix) && it.key > body.after;
        let ordered = rows.is_sorted_by(|lhs, rhs| lhs.key < rhs.key);
        let few = rows.len() <= body.limit as usize;
        match ordered && few && rows.iter().all(inside) {
            true => Ok(TableAnswer::Rows(rows)),
            false => Err(Kind::Read.lost()),
        }
    }

    async fn commit(&self, body: CommitBody) -> Result<TableAnswer, Fault> {
        let received = self.call(wire::TABLE_COMMIT, &body, Kind::Write).await?;
        if received.status == StatusCode::CONFLICT {
            return conflict(&received, &body.checks);
        }
        done(&received)?;
        Ok(TableAnswer::Committed)
    }

    async fn object_op(&self, op: ObjectOp) -> Result<ObjectAnswer, Fault> {
        match op {
            ObjectOp::Put { name, bytes } => {
                let bytes = wire::Base64(bytes);
                let body = ObjectBody { name, bytes };
                let received = self.call(wire::OBJECT_PUT, &body, Kind::Write).await?;
                done(&received).map(|()| ObjectAnswer::Done)
            }
            ObjectOp::Get { name } => {
                let body = NameBody { name };
                let received = self.call(wire::OBJECT_GET, &body, Kind::Read).await?;
                object(&received, &body.name)
            }
            ObjectOp::Delete { name } => {
                let body = NameBody { name };
                let received = self.call(wire::OBJECT_DELETE, &body, Kind::Write).await?;
                done(&received).map(|()| ObjectAnswer::Done)
            }
        }
    }

    /// Sends one request and receives its whole answer, or says what that it went wrong means.
    async fn call(&self, path: &str, body: &impl Serialize, kind: Kind) -> Result<Received, Fault> {
        // A bounded queue: while the platform is down, memory does not grow with what waits for it.
        let _place = self.places.try_acquire().map_err(|_| Fault::Unavailable)?;
        let request = self.request(path, body)?;
        let mut stage = Stage::Waiting;
        let exchange = async {
            let _slot = self.slots.acquire().await.map_err(|_| Fault::Unavailable)?;
            stage = Stage::Sent;
            self.exchange(request, kind).await
        };
        let limit = Duration::from_millis(self.settings.timeout);
        let timed = tokio::time::timeout(limit, exchange).await;
        let received = match (timed, stage) {
            (Ok(received), _) => received?,
            (Err(_), Stage::Waiting) => return Err(Fault::Unavailable),
            (Err(_), Stage::Sent) => return Err(kind.lost()),
        };
        judge(received, kind)
    }

    fn request(&self, path: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, Fault> {
        let invalid = |why: String| Fault::Invalid(shorten(&why));
        let bytes = serde_json::to_vec(body).map_err(|it| invalid(it.to_string()))?;
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.settings.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|it| invalid(it.to_string()))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, kind: Kind) -> Result<Received, Fault> {
        let response =
            self.client
                .request(request)
                .await
                .map_err(|error| match error.is_connect() {
                    // Without a connection no byte was sent. Every other failure counts as sent: a kept
                    // connection may close just as the request goes out, and nobody can say which came first.
                    true => Fault::Unavailable,
                    false => kind.lost(),
                })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.settings.answer).collect().await;
        let body = body.map_err(|error| match (kind, error.is::<LengthLimitError>()) {
            (Kind::Read, true) => too_long(self.settings.answer),
            _ => kind.lost(),
        })?;
        Ok(Received {
            status: parts.status,
            headers: parts.headers,
            bytes: body.to_bytes(),
        })
    }
}

impl Kind {
    /// The answer is lost: a write may have taken effect, a read may simply be tried again.
    fn lost(self) -> Fault {
        match self {
            Kind::Read => Fault::Unavailable,
            Kind::Write => Fault::Unknown,
        }
    }
}

impl Platform for HttpPlatform {
    fn table(&self, op: TableOp) -> Answer<'_, TableAnswer> {
        Box::pin(async move {
            let answer = match op {
                TableOp::Get { keys } => self.get(keys).await,
                TableOp::Scan {
                    prefix,
                    after,
                    limit,
                } => {
                    self.scan(ScanBody {
                        prefix,
                        after,
                        limit,
                    })
                    .await
                }
                TableOp::Commit { checks, writes } => {
                    let writes = writes.into_iter().map(Into::into).collect();
                    self.commit(CommitBody { checks, writes }).await
                }
            };
            answer.unwrap_or_else(TableAnswer::Failed)
        })
    }

    fn object(&self, op: ObjectOp) -> Answer<'_, ObjectAnswer> {
        Box::pin(async move {
            let answer = self.object_op(op).await;
            answer.unwrap_or_else(ObjectAnswer::Failed)
        })
    }
}

/// Turns every status that is no answer to the operation into its fault.
fn judge(received: Received, kind: Kind) -> Result<Received, Fault> {
    match received.status {
        StatusCode::OK | StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(received),
        StatusCode::TOO_MANY_REQUESTS => Err(Fault::Throttled {
            after: retry_after(&received),
        }),
        StatusCode::REQUEST_TIMEOUT => Err(kind.lost()),
        // A 503 of the platform itself says that nothing was done; one from something in between may
        // come after the write, so only the body's word counts.
        StatusCode::SERVICE_UNAVAILABLE => match error_body(&received).effect {
            Effect::None => Err(Fault::Unavailable),
            Effect::Unknown => Err(kind.lost()),
        },
        status if status.is_client_error() => {
            let words = error_body(&received).error;
            Err(Fault::Invalid(format!("{status}: {}", shorten(&words))))
        }
        _ => Err(kind.lost()),
    }
}

fn retry_after(received: &Received) -> u64 {
    let header = || {
        let value = received.headers.get(header::RETRY_AFTER)?;
        let seconds: u64 = value.to_str().ok()?.parse().ok()?;
        Some(seconds.saturating_mul(1000))
    };
    error_body(received)
        .after
        .or_else(header)
        .unwrap_or(RETRY_MS)
}

fn error_body(received: &Received) -> ErrorBody {
    serde_json::from_slice(&received.bytes).unwrap_or_default()
}

fn rows(received: &Received) -> Result<Vec<Row>, Fault> {
    let body: RowsBody = decode(received, StatusCode::OK, Kind::Read)?;
    body.try_into().map_err(|_| Kind::Read.lost())
}

fn done(received: &Received) -> Result<(), Fault> {
    let body: DoneBody = decode(received, StatusCode::OK, Kind::Write)?;
    match body.done {
        true => Ok(()),
        false => Err(Kind::Write.lost()),
    }
}

/// Holds for the rows of the checks only: a foreign answer says nothing about this commit.
fn conflict(received: &Received, checks: &[Check]) -> Result<TableAnswer, Fault> {
    let body: RowsBody = decode(received, StatusCode::CONFLICT, Kind::Write)?;
    let rows: Vec<Row> = body.try_into().map_err(|_| Kind::Write.lost())?;
    let checked = |row: &Row| checks.iter().any(|it| it.key == row.key);
    match rows.iter().all(checked) {
        true => Ok(TableAnswer::Conflict(rows)),
        false => Err(Kind::Write.lost()),
    }
}

fn object(received: &Received, name: &str) -> Result<ObjectAnswer, Fault> {
    let body: BytesBody = decode(received, received.status, Kind::Read)?;
    match (received.status, body.bytes) {
        _ if body.name != name => Err(Kind::Read.lost()),
        (StatusCode::OK, Some(bytes)) => Ok(ObjectAnswer::Bytes(bytes.0)),
        (StatusCode::NOT_FOUND, None) => Ok(ObjectAnswer::Absent),
        _ => Err(Kind::Read.lost()),
    }
}

fn decode<T: DeserializeOwned>(
    received: &Received,
    status: StatusCode,
    kind: Kind,
) -> Result<T, Fault> {
    if received.status != status {
        return Err(kind.lost());
    }
    serde_json::from_slice(&received.bytes).map_err(|_| kind.lost())
}

fn too_long(limit: usize) -> Fault {
    let why = format!("the answer exceeds {limit} bytes; read fewer rows or smaller objects");
    Fault::Invalid(why)
}

fn shorten(words: &str) -> String {
    words.chars().take(WORDS_MAX).collect()
}
