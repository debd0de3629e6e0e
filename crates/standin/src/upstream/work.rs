//! Request handling of an upstream: control paths, admission, runs and answers.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::Rng;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::{
    body::{self, Body, ConnectionCut},
    server::ConnId,
    upstream::{
        Behaviour, Failing, Health, Phase, Replies, Shared,
        ledger::{Run, RunState},
    },
};

/// Path of [`Health`].
pub const HEALTH: &str = "/health";
/// Path of the [`crate::Ledger`].
pub const LEDGER: &str = "/ledger";
/// Path at which the [`Behaviour`] is read and replaced.
pub const FAULTS: &str = "/faults";
/// Path that starts the drain.
pub const DRAIN: &str = "/drain";
/// Path that silences the connections that are open now.
pub const SILENCE: &str = "/silence";

/// Header field with the id of the caller's request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header field with the key of an operation that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header field that crashes the upstream at the start of the run if its value is `1`.
pub const CRASH: &str = "x-crash";
/// Header field with the time left for the request, in ms; a request that waits longer is refused as not run.
pub const DEADLINE: &str = "laburnum-deadline";
/// Header field that is `not-run` in refusals.
pub const OUTCOME: &str = "laburnum-outcome";

/// Longest body of a request, in bytes.
const REQUEST_MAX: usize = 16 * 1024 * 1024;

/// Text of the refusal of an expired request.
const EXPIRED: &str = "the deadline has passed; send the request again with a later one";
/// Deadline of requests without one, in ms: a day.
const NO_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

type HandlerResult = Result<Response<Body>, ConnectionCut>;

/// Admission decision.
enum Admission {
    Run(OwnedSemaphorePermit),
    Shed(&'static str),
    Fail,
}

/// Counts the request as cancelled if its handler is dropped before the admission decision, as when its caller
/// disconnects.
struct CancellationGuard<'a> {
    shared: &'a Shared,
    decided: bool,
}

/// Handles one request on the connection `conn`.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    conn: ConnId,
    request: Request<Incoming>,
) -> HandlerResult {
    if shared.is_silent(conn) {
        return shared.hold_unanswered().await;
    }
    let (parts, incoming) = request.into_parts();
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, HEALTH) => Ok(body::json(StatusCode::OK, &shared.health())),
        (&Method::GET, LEDGER) => Ok(body::json(StatusCode::OK, &shared.ledger())),
        (&Method::GET, FAULTS) => Ok(body::json(StatusCode::OK, &shared.behaviour())),
        (&Method::PUT, FAULTS) => Ok(set_behaviour(&shared, read_body(incoming).await?)),
        (&Method::POST, DRAIN) => {
            shared.phase.send_replace(Phase::Draining);
            Ok(body::json(StatusCode::OK, &shared.health()))
        }
        (&Method::POST, SILENCE) => {
            shared.silence();
            Ok(body::json(StatusCode::OK, &shared.health()))
        }
        _ => run(&shared, conn, parts, incoming).await,
    }
}

fn set_behaviour(shared: &Shared, bytes: Bytes) -> Response<Body> {
    match serde_json::from_slice::<Behaviour>(&bytes) {
        Ok(behaviour) => {
            shared.set(behaviour);
            body::json(StatusCode::OK, &behaviour)
        }
        Err(error) => body::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

async fn run(
    shared: &Arc<Shared>,
    conn: ConnId,
    parts: Parts,
    incoming: Incoming,
) -> HandlerResult {
    let mut guard = CancellationGuard {
        shared,
        decided: false,
    };
    let bytes = read_body(incoming).await?;
    let admission = admit_before_deadline(shared, time_left(&parts.headers)).await;
    guard.decided = true;
    let permit = match admission {
        Admission::Run(permit) => permit,
        Admission::Shed(why) => return Ok(shed_response(shared, why)),
        Admission::Fail => {
            shared.lock().ledger.failed += 1;
            let why = "the upstream fails every request\n".to_owned();
            return Ok(body::text(StatusCode::INTERNAL_SERVER_ERROR, why));
        }
    };
    let answer = format!(
        "{} {} {}\n",
        parts.method,
        parts.uri,
        String::from_utf8_lossy(&bytes)
    );
    let done = start_run(shared, &parts, permit);
    // The sender is dropped only if the upstream crashes, which also closes this connection.
    if done.await.is_err() {
        return Err(ConnectionCut);
    }
    let behaviour = shared.behaviour();
    sleep(behaviour.late).await;
    if shared.is_silent(conn) {
        return shared.hold_unanswered().await;
    }
    let response = body::text(StatusCode::OK, answer);
    Ok(match behaviour.replies {
        Replies::Whole => response,
        Replies::Cut => body::truncate(response),
    })
}

async fn read_body(incoming: Incoming) -> Result<Bytes, ConnectionCut> {
    let body = Limited::new(incoming, REQUEST_MAX).collect().await;
    body.map(|it| it.to_bytes()).map_err(|_| ConnectionCut)
}

async fn admit_before_deadline(shared: &Shared, left: u64) -> Admission {
    if left == 0 {
        return Admission::Shed(EXPIRED);
    }
    let admission = tokio::time::timeout(Duration::from_millis(left), admit(shared)).await;
    admission.unwrap_or(Admission::Shed(EXPIRED))
}

/// Returns the time left for the request, in ms, or [`NO_DEADLINE_MS`] if it has no deadline.
fn time_left(headers: &HeaderMap) -> u64 {
    header_text(headers, DEADLINE)
        .and_then(|it| it.parse().ok())
        .unwrap_or(NO_DEADLINE_MS)
}

async fn admit(shared: &Shared) -> Admission {
    match *shared.phase.borrow() {
        Phase::Warming => return Admission::Shed("the upstream is warming up; retry elsewhere"),
        Phase::Draining => return Admission::Shed("the upstream is leaving; retry elsewhere"),
        Phase::Ready => {}
    }
    if shared.behaviour().failing != Failing::No {
        return Admission::Fail;
    }
    if let Ok(permit) = shared.slots.clone().try_acquire_owned() {
        return Admission::Run(permit);
    }
    let Ok(_queue_permit) = shared.queue.try_acquire() else {
        return Admission::Shed("every slot is busy; retry elsewhere or later");
    };
    match shared.slots.clone().acquire_owned().await {
        Ok(permit) => Admission::Run(permit),
        Err(_) => Admission::Shed("the upstream is stopping; retry elsewhere"),
    }
}

/// Starts the run as a task of its own, which completes and holds its slot even if the caller disconnects.
fn start_run(
    shared: &Arc<Shared>,
    parts: &Parts,
    permit: OwnedSemaphorePermit,
) -> oneshot::Receiver<()> {
    let (sender, done) = oneshot::channel();
    let mut state = shared.lock();
    let key = state.ledger.start(Run {
        request: header_text(&parts.headers, REQUEST_ID),
        key: header_text(&parts.headers, IDEMPOTENCY_KEY),
        line: format!("{} {}", parts.method, parts.uri.path()),
        state: RunState::Started,
    });
    let spread = state.rng.random_range(0..=shared.settings.spread);
    let millis = shared.settings.run + spread + state.behaviour.slow;
    let crash = parts.headers.get(CRASH).map(HeaderValue::as_bytes) == Some(b"1");
    let task_shared = shared.clone();
    while state.runs.try_join_next().is_some() {}
    state.runs.spawn(async move {
        if crash {
            task_shared.crash.notify_one();
            pending::<()>().await;
        }
        sleep(millis).await;
        task_shared.lock().ledger.finish(key);
        drop(permit);
        // Sending fails if the caller has disconnected.
        let _ = sender.send(());
    });
    done
}

fn shed_response(shared: &Shared, why: &str) -> Response<Body> {
    shared.lock().ledger.shed += 1;
    let mut response = body::text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n"));
    let outcome = HeaderValue::from_static("not-run");
    response.headers_mut().insert(OUTCOME, outcome);
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

async fn sleep(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if !self.decided {
            self.shared.lock().ledger.cancelled += 1;
        }
    }
}

impl Shared {
    /// Returns the answer of the health endpoint, which is wrong if [`Failing::Lying`] is set.
    pub(crate) fn health(&self) -> Health {
        let phase = match (self.behaviour().failing, *self.phase.borrow()) {
            (Failing::Open, Phase::Ready) => Phase::Warming,
            (_, phase) => phase,
        };
        let slots = self.settings.slots;
        let free = self.slots.available_permits();
        Health {
            phase,
            busy: usize::from(slots).saturating_sub(free) as u16,
            slots,
        }
    }

    /// Holds the request unanswered until the upstream drains, then closes the connection.
    async fn hold_unanswered(&self) -> HandlerResult {
        let mut phases = self.phase.subscribe();
        // Waiting cannot fail, as `self` owns the sender.
        let _ = phases.wait_for(|it| *it == Phase::Draining).await;
        Err(ConnectionCut)
    }
}
