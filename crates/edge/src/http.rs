//! Client of the platform's HTTP service.
//!
//! Each call is sent at most once. A failed write is reported as [`Fault::Unavailable`] if it certainly had no
//! effect (the kernel may retry it), and as [`Fault::Unknown`] if it may have had one (the kernel reads back).

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
    answer::{self, SendError},
    http::wire::{
        BytesBody, CommitBody, DoneBody, Effect, ErrorBody, GetBody, NameBody, ObjectBody,
        RowsBody, ScanBody,
    },
    platform::{AnswerFuture, Platform},
};

pub mod wire;

/// Address and limits of the connection to the platform.
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// Address of the platform's HTTP service. Default: 127.0.0.1:7200.
    pub address: SocketAddr,
    /// Connect timeout in milliseconds. Default: 500.
    pub connect: u64,
    /// Timeout of a whole call, in milliseconds. Default: 2000.
    pub timeout: u64,
    /// Maximum number of calls in flight. Default: 16.
    pub concurrency: usize,
    /// Maximum number of calls that wait until they may be sent. Default: 256.
    pub queue: usize,
    /// Maximum length of one answer in bytes. Default: 16 MiB.
    pub answer_max: usize,
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 7200)),
            connect: 500,
            timeout: 2_000,
            concurrency: 16,
            queue: 256,
            answer_max: 16 * 1024 * 1024,
        }
    }
}

/// A client of the platform's HTTP service. Calls must be made inside a tokio runtime.
#[derive(Debug)]
pub struct HttpPlatform {
    settings: HttpSettings,
    client: Client<HttpConnector, Full<Bytes>>,
    /// Permits for calls in flight or waiting.
    admission: Semaphore,
    /// Permits for calls in flight.
    in_flight: Semaphore,
}

/// Time after which the client closes an idle connection, in ms.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// Delay before a retry if a 429 response states none, in ms.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of characters of the platform's error message that a fault repeats.
const MESSAGE_MAX: usize = 200;

/// Whether an operation can change the platform's data.
#[derive(Clone, Copy)]
enum Access {
    Read,
    Write,
}

/// Progress of a call.
#[derive(Clone, Copy)]
enum Stage {
    /// Waiting for a permit; nothing was sent.
    Waiting,
    /// The request may have been sent, in part or whole.
    Sent,
}

/// A response with its complete body.
struct Received {
    status: StatusCode,
    headers: HeaderMap,
    bytes: Bytes,
}

impl HttpPlatform {
    /// Creates a client of the service at `settings.address`; the first call opens the connection.
    pub fn new(settings: HttpSettings) -> HttpPlatform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(settings.connect)));
        let client = Client::builder(TokioExecutor::new())
            // By default the client resends a request if the connection closes early; only the kernel may decide
            // to repeat a write.
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .pool_max_idle_per_host(settings.concurrency)
            .build(connector);
        HttpPlatform {
            client,
            admission: Semaphore::new(settings.concurrency + settings.queue),
            in_flight: Semaphore::new(settings.concurrency),
            settings,
        }
    }

    async fn get(&self, keys: Vec<String>) -> Result<TableAnswer, Fault> {
        let body = GetBody { keys };
        let received = self.call(wire::TABLE_GET, &body, Access::Read).await?;
        let rows = parse_rows(&received)?;
        let requested: HashSet<&str> = body.keys.iter().map(String::as_str).collect();
        match rows.iter().all(|it| requested.contains(it.key.as_str())) {
            true => Ok(TableAnswer::Rows(rows)),
            // The response belongs to another request; accepting it would report existing rows as absent.
            false => Err(Access::Read.lost_answer()),
        }
    }

    async fn scan(&self, body: ScanBody) -> Result<TableAnswer, Fault> {
        let received = self.call(wire::TABLE_SCAN, &body, Access::Read).await?;
        let rows = parse_rows(&received)?;
        let in_range = |it: &Row| it.key.starts_with(&body.prefix) && it.key > body.after;
        let ordered = rows.is_sorted_by(|lhs, rhs| lhs.key < rhs.key);
        let within_limit = rows.len() <= body.limit as usize;
        match ordered && within_limit && rows.iter().all(in_range) {
            true => Ok(TableAnswer::Rows(rows)),
            false => Err(Access::Read.lost_answer()),
        }
    }

    async fn commit(&self, body: CommitBody) -> Result<TableAnswer, Fault> {
        let received = self.call(wire::TABLE_COMMIT, &body, Access::Write).await?;
        if received.status == StatusCode::CONFLICT {
            return parse_conflict(&received, &body.checks);
        }
        parse_done(&received)?;
        Ok(TableAnswer::Committed)
    }

    async fn object_op(&self, op: ObjectOp) -> Result<ObjectAnswer, Fault> {
        match op {
            ObjectOp::Put { name, bytes } => {
                let bytes = wire::Base64(bytes);
                let body = ObjectBody { name, bytes };
                let received = self.call(wire::OBJECT_PUT, &body, Access::Write).await?;
                parse_done(&received).map(|()| ObjectAnswer::Done)
            }
            ObjectOp::Get { name } => {
                let body = NameBody { name };
                let received = self.call(wire::OBJECT_GET, &body, Access::Read).await?;
                parse_object(&received, &body.name)
            }
            ObjectOp::Delete { name } => {
                let body = NameBody { name };
                let received = self.call(wire::OBJECT_DELETE, &body, Access::Write).await?;
                parse_done(&received).map(|()| ObjectAnswer::Done)
            }
        }
    }

    /// Sends one request and returns the complete response, or the fault to report.
    async fn call(
        &self,
        path: &str,
        body: &impl Serialize,
        access: Access,
    ) -> Result<Received, Fault> {
        // Bounds the calls that wait, and so memory, while the platform is down.
        let _admission = self
            .admission
            .try_acquire()
            .map_err(|_| Fault::Unavailable)?;
        let request = self.request(path, body)?;
        let mut stage = Stage::Waiting;
        let exchange = async {
            let _permit = self
                .in_flight
                .acquire()
                .await
                .map_err(|_| Fault::Unavailable)?;
            stage = Stage::Sent;
            self.exchange(request, access).await
        };
        let limit = Duration::from_millis(self.settings.timeout);
        let timed = tokio::time::timeout(limit, exchange).await;
        let received = match (timed, stage) {
            (Ok(received), _) => received?,
            (Err(_), Stage::Waiting) => return Err(Fault::Unavailable),
            (Err(_), Stage::Sent) => return Err(access.lost_answer()),
        };
        check_status(received, access)
    }

    fn request(&self, path: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, Fault> {
        let invalid = |why: String| Fault::Invalid(truncate(&why));
        let bytes = serde_json::to_vec(body).map_err(|it| invalid(it.to_string()))?;
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.settings.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|it| invalid(it.to_string()))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        access: Access,
    ) -> Result<Received, Fault> {
        let response = answer::send(&self.client, request).await;
        let response = response.map_err(|error| match error {
            // Without a connection nothing was sent. Any other failure counts as sent: a pooled connection may close
            // while the request is being written.
            SendError::Connect(_) => Fault::Unavailable,
            SendError::Lost(_) | SendError::Head(_) => access.lost_answer(),
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, self.settings.answer_max).collect().await;
        let body = body.map_err(|error| match (access, error.is::<LengthLimitError>()) {
            (Access::Read, true) => answer_too_long(self.settings.answer_max),
            _ => access.lost_answer(),
        })?;
        Ok(Received {
            status: parts.status,
            headers: parts.headers,
            bytes: body.to_bytes(),
        })
    }
}

impl Access {
    /// Returns the fault for a call that was sent and got no valid answer: a write may have taken effect, a read is
    /// safe to retry.
    fn lost_answer(self) -> Fault {
        match self {
            Access::Read => Fault::Unavailable,
            Access::Write => Fault::Unknown,
        }
    }
}

impl Platform for HttpPlatform {
    fn table(&self, op: TableOp) -> AnswerFuture<'_, TableAnswer> {
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

    fn object(&self, op: ObjectOp) -> AnswerFuture<'_, ObjectAnswer> {
        Box::pin(async move {
            let answer = self.object_op(op).await;
            answer.unwrap_or_else(ObjectAnswer::Failed)
        })
    }
}

/// Passes on responses that answer the operation; turns every other status into a fault.
fn check_status(received: Received, access: Access) -> Result<Received, Fault> {
    match received.status {
        StatusCode::OK | StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(received),
        StatusCode::TOO_MANY_REQUESTS => Err(Fault::Throttled {
            after: retry_after(&received),
        }),
        StatusCode::REQUEST_TIMEOUT => Err(access.lost_answer()),
        // The platform's own 503 states in its body that nothing was done. A 503 from a proxy may come after the
        // write, so the status alone is not enough.
        StatusCode::SERVICE_UNAVAILABLE => match error_body(&received).effect {
            Effect::None => Err(Fault::Unavailable),
            Effect::Unknown => Err(access.lost_answer()),
        },
        status if status.is_client_error() => {
            let message = error_body(&received).error;
            Err(Fault::Invalid(format!("{status}: {}", truncate(&message))))
        }
        _ => Err(access.lost_answer()),
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
        .unwrap_or(RETRY_AFTER_MS)
}

fn error_body(received: &Received) -> ErrorBody {
    serde_json::from_slice(&received.bytes).unwrap_or_default()
}

fn parse_rows(received: &Received) -> Result<Vec<Row>, Fault> {
    let body: RowsBody = decode(received, StatusCode::OK, Access::Read)?;
    body.try_into().map_err(|_| Access::Read.lost_answer())
}

fn parse_done(received: &Received) -> Result<(), Fault> {
    let body: DoneBody = decode(received, StatusCode::OK, Access::Write)?;
    match body.done {
        true => Ok(()),
        false => Err(Access::Write.lost_answer()),
    }
}

/// Reads a conflict. A response with rows that the commit did not check belongs to another request.
fn parse_conflict(received: &Received, checks: &[Check]) -> Result<TableAnswer, Fault> {
    let body: RowsBody = decode(received, StatusCode::CONFLICT, Access::Write)?;
    let rows: Vec<Row> = body.try_into().map_err(|_| Access::Write.lost_answer())?;
    let checked = |row: &Row| checks.iter().any(|it| it.key == row.key);
    match rows.iter().all(checked) {
        true => Ok(TableAnswer::Conflict(rows)),
        false => Err(Access::Write.lost_answer()),
    }
}

fn parse_object(received: &Received, name: &str) -> Result<ObjectAnswer, Fault> {
    let body: BytesBody = decode(received, received.status, Access::Read)?;
    match (received.status, body.bytes) {
        _ if body.name != name => Err(Access::Read.lost_answer()),
        (StatusCode::OK, Some(bytes)) => Ok(ObjectAnswer::Bytes(bytes.0)),
        (StatusCode::NOT_FOUND, None) => Ok(ObjectAnswer::Absent),
        _ => Err(Access::Read.lost_answer()),
    }
}

fn decode<T: DeserializeOwned>(
    received: &Received,
    status: StatusCode,
    access: Access,
) -> Result<T, Fault> {
    if received.status != status {
        return Err(access.lost_answer());
    }
    serde_json::from_slice(&received.bytes).map_err(|_| access.lost_answer())
}

fn answer_too_long(limit: usize) -> Fault {
    let why = format!("the answer exceeds {limit} bytes; read fewer rows or smaller objects");
    Fault::Invalid(why)
}

fn truncate(text: &str) -> String {
    text.chars().take(MESSAGE_MAX).collect()
}
