//! A request's way through an upstream.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::Rng;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::{
    body::{self, Body, Cut},
    server::Conn,
    upstream::{
        Behaviour, Failing, Health, Phase, Replies, Shared,
        ledger::{Run, RunState},
    },
};

/// Reads [`Health`].
pub const HEALTH: &str = "/health";
/// Reads the [`crate::Ledger`].
pub const LEDGER: &str = "/ledger";
/// Reads and replaces the [`Behaviour`].
pub const FAULTS: &str = "/faults";
/// Begins to drain.
pub const DRAIN: &str = "/drain";
/// Silences the connections open at present.
pub const SILENCE: &str = "/silence";

/// Ties a run to its caller's request.
pub const REQUEST_ID: &str = "x-request-id";
/// Ties a run to whatever must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Crashes the upstream once the request starts to run, if its value is `1`.
pub const CRASH: &str = "x-crash";
/// Milliseconds that are left for the request; one that still waits by then is refused as not run.
pub const DEADLINE: &str = "laburnum-deadline";
/// Says `not-run` on refusals.
pub const OUTCOME: &str = "laburnum-outcome";

/// Most bytes of a request's body.
const REQUEST_MAX: usize = 16 * 1024 * 1024;

/// Why a request is refused whose deadline is over.
const EXPIRED: &str = "the deadline is over; send it again with more time";
/// A day.
const NO_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

type Answered = Result<Response<Body>, Cut>;

/// Whether a request may run.
enum Admission {
    Run(OwnedSemaphorePermit),
    Shed(&'static str),
    Fail,
}

/// Counts a request whose caller hangs up before it runs: its handler is dropped then.
struct Arrival<'a> {
    shared: &'a Shared,
    decided: bool,
}

/// Handles one request of the connection `conn`.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    conn: Conn,
    request: Request<Incoming>,
) -> Answered {
    if shared.silent(conn) {
        return shared.hush().await;
    }
    let (parts, incoming) = request.into_parts();
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, HEALTH) => Ok(body::json(StatusCode::OK, &shared.health())),
        (&Method::GET, LEDGER) => Ok(body::json(StatusCode::OK, &shared.ledger())),
        (&Method::GET, FAULTS) => Ok(body::json(StatusCode::OK, &shared.behaviour())),
        (&Method::PUT, FAULTS) => Ok(behave(&shared, read(incoming).await?)),
        (&Method::POST, DRAIN) => {
            shared.phase.send_replace(Phase::Draining);
            Ok(body::json(StatusCode::OK, &shared.health()))
        }
        (&Method::POST, SILENCE) => {
            shared.silence();
            Ok(body::json(StatusCode::OK, &shared.health()))
        }
        _ => work(&shared, conn, parts, incoming).await,
    }
}

fn behave(shared: &Shared, bytes: Bytes) -> Response<Body> {
    match serde_json::from_slice::<Behaviour>(&bytes) {
        Ok(behaviour) => {
            shared.set(behaviour);
            body::json(StatusCode::OK, &behaviour)
        }
        Err(error) => body::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

async fn work(shared: &Arc<Shared>, conn: Conn, parts: Parts, incoming: Incoming) -> Answered {
    let mut arrival = Arrival {
        shared,
        decided: false,
    };
    let bytes = read(incoming).await?;
    let admission = admit_in_time(shared, deadline(&parts.headers)).await;
    arrival.decided = true;
    let permit = match admission {
        Admission::Run(permit) => permit,
        Admission::Shed(why) => return Ok(shed(shared, why)),
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
    let done = start(shared, &parts, permit);
    // Without a sender the upstream crashed, and this connection ends with it.
    if done.await.is_err() {
        return Err(Cut);
    }
    let behaviour = shared.behaviour();
    sleep(behaviour.late).await;
    if shared.silent(conn) {
        return shared.hush().await;
    }
    let response = body::text(StatusCode::OK, answer);
    Ok(match behaviour.replies {
        Replies::Whole => response,
        Replies::Cut => body::cut(response),
    })
}

async fn read(incoming: Incoming) -> Result<Bytes, Cut> {
    let body = Limited::new(incoming, REQUEST_MAX).collect().await;
    body.map(|it| it.to_bytes()).map_err(|_| Cut)
}

async fn admit_in_time(shared: &Shared, left: u64) -> Admission {
    if left == 0 {
        return Admission::Shed(EXPIRED);
    }
    let admission = tokio::time::timeout(Duration::from_millis(left), admit(shared)).await;
    admission.unwrap_or(Admission::Shed(EXPIRED))
}

/// A caller without a deadline gets one that no run lasts for.
fn deadline(headers: &HeaderMap) -> u64 {
    text(headers, DEADLINE)
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
    let Ok(_place) = shared.queue.try_acquire() else {
        return Admission::Shed("every slot is busy; retry elsewhere or later");
    };
    match shared.slots.clone().acquire_owned().await {
        Ok(permit) => Admission::Run(permit),
        Err(_) => Admission::Shed("the upstream is stopping; retry elsewhere"),
    }
}

/// Starts the run as a task of its own: once started it goes on even if its caller hangs up, and keeps
/// its slot until then.
fn start(
    shared: &Arc<Shared>,
    parts: &Parts,
    permit: OwnedSemaphorePermit,
) -> oneshot::Receiver<()> {
    let (sender, done) = oneshot::channel();
    let mut state = shared.lock();
    let key = state.ledger.start(Run {
        request: text(&parts.headers, REQUEST_ID),
        key: text(&parts.headers, IDEMPOTENCY_KEY),
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
        // The caller may have hung up.
        let _ = sender.send(());
    });
    done
}

fn shed(shared: &Shared, why: &str) -> Response<Body> {
    shared.lock().ledger.shed += 1;
    let mut response = body::text(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n"));
    let outcome = HeaderValue::from_static("not-run");
    response.headers_mut().insert(OUTCOME, outcome);
    response
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

async fn sleep(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        if !self.decided {
            self.shared.lock().ledger.cancelled += 1;
        }
    }
}

impl Shared {
    /// What the health endpoint says, true or not.
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

    /// Never answers, until the upstream leaves.
    async fn hush(&self) -> Answered {
        let mut phases = self.phase.subscribe();
        // The sender lives in `self`, so it only ends by that phase.
        let _ = phases.wait_for(|it| *it == Phase::Draining).await;
        Err(Cut)
    }
}
