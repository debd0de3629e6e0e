//! The entry: picks an owner for a request that has a [`Plan`], forwards, and retries what may be retried.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri, uri::PathAndQuery};
use http_body::Body as _;
use hyper::body::Incoming;
use laburnum_kernel::{
    Ms, NodeId,
    admission::ranks::Queue,
    document::Repeat,
    pick::{Choice, Outcome},
    refusal::{Reason, Refusal},
    retry::{Counted, Failure, Next, Retry, Tree, Untried},
    settings::Origin,
    view::Endpoint,
};
use tokio::time::sleep;

use super::{
    Traffic,
    body::{self, BodyFault, Bounded, End, Intact, Share},
    denial::{Denial, UNPROVEN},
    headers::{
        self, ATTEMPT, BUDGET, DEADLINE, GOAL, KIND, NEVER, NOT_RUN, OUTCOME, PRIORITY, QUEUE, RAN,
        REPEAT, REQUEST, SERVICE, SHORT, UNKNOWN,
    },
    peers,
    plan::Plan,
    report::{Attempted, Decided, Ended},
    services::Flight,
};

/// An owner does not take this node for one of its fleet.
const UNPROVEN_VALUE: HeaderValue = HeaderValue::from_static(UNPROVEN);
/// Bodies of up to this many bytes are held so that the request can be sent again.
const HELD_MAX: u64 = 64 * 1024;
/// Largest share of the time left, as its divisor, that is kept back for the way home.
const MARGIN_SHARE: u64 = 10;
/// Most time kept back for the way home, in ms.
const MARGIN_MAX: u64 = 10;

/// A request's way so far, for the log.
struct Way {
    id: Option<HeaderValue>,
    started: Ms,
    decided: Option<Decided>,
    tried: Vec<NodeId>,
}

/// The request's body, as far as it can be sent again.
enum Payload {
    /// All of it is here; `_share` is what it takes of the node's budget.
    Held { bytes: Bytes, _share: Share },
    /// It is passed on as it arrives; what breaks it is noted.
    Streamed(Intact, Arc<OnceLock<BodyFault>>),
}

/// What the attempts so far say of the request; one under way counts as unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Past {
    NotRun,
    Unknown,
}

/// How one attempt ended.
enum Attempt {
    Answered(Response<Body>),
    Failed(Failure, Response<Body>),
    /// The owner gave an answer that no retry can better.
    Final(Response<Body>),
}

impl Traffic {
    /// Carries one request of a caller.
    pub(super) async fn enter(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<Body> {
        let started = self.now();
        let (parts, incoming) = request.into_parts();
        let id = self.0.dialect.id(&parts.headers);
        let mut way = Way {
            id: id.clone(),
            started,
            decided: None,
            tried: Vec::new(),
        };
        let (class, result) = match self.plan(parts, peer) {
            Ok(mut plan) => {
                way.decided = plan.decided.take();
                (Some(plan.class), self.carry(plan, incoming, &mut way).await)
            }
            Err(denial) => (None, Err(denial)),
        };
        let response = result.unwrap_or_else(|denial| {
            if let Denial::Bad { reason, .. } = denial {
                self.0.faults.count(reason, Some(peer));
            }
            denial.response()
        });
        self.0.counts.answered(response.headers());
        if let Some(class) = class {
            self.0.counts.took(class, self.now().since(started));
        }
        if self.0.origin == Origin::Imported {
            self.tell_end(&way, &response);
        }
        self.0.dialect.answer(response, id)
    }

    fn tell_end(&self, way: &Way, response: &Response<Body>) {
        let now = self.now();
        let ended = Ended {
            id: way.id.as_ref(),
            decided: way.decided.as_ref(),
            tried: &way.tried,
            took: now.since(way.started),
            status: response.status(),
            headers: response.headers(),
        };
        self.0.reports.ended(now, &ended);
    }

    fn tell_attempt(&self, way: &Way, number: u32, response: &Response<Body>, next: Next) {
        let (Some(node), Origin::Imported) = (way.tried.last(), self.0.origin) else {
            return;
        };
        let now = self.now();
        let attempted = Attempted {
            id: way.id.as_ref(),
            number,
            node: *node,
            next,
            took: now.since(way.started),
            headers: response.headers(),
        };
        self.0.reports.attempted(now, &attempted);
    }

    async fn carry(
        &self,
        plan: Plan,
        incoming: Incoming,
        way: &mut Way,
    ) -> Result<Response<Body>, Denial> {
        let mut past = Past::NotRun;
        let mut closing = self.0.closing.subscribe();
        let result = tokio::select! {
            biased;
            it = self.serve_caller(&plan, incoming, &mut past, way) => it,
            // The last moment at which an answer still reaches the caller; without one it would see its
            // connection cut, and could not tell whether a request that was never handed on was run.
            _ = closing.wait_for(|it| *it) => Err(stopping(&past)),
        };
        match (past, result) {
            (Past::NotRun, result) => result,
            (Past::Unknown, Err(denial)) => Err(denial.doubted()),
            (Past::Unknown, Ok(response)) if response.headers().get(OUTCOME) == Some(&NOT_RUN) => {
                Err(Denial::Refused(Refusal::new(Reason::Expired)).doubted())
            }
            (Past::Unknown, Ok(response)) => Ok(response),
        }
    }

    async fn serve_caller(
        &self,
        plan: &Plan,
        incoming: Incoming,
        past: &mut Past,
        way: &mut Way,
    ) -> Result<Response<Body>, Denial> {
        let payload = self.payload(plan, incoming).await?;
        self.attempts(plan, payload, past, way).await
    }

    /// Tries one endpoint after another, and notes in `past` whether one of them may have run the request.
    async fn attempts(
        &self,
        plan: &Plan,
        mut payload: Payload,
        past: &mut Past,
        way: &mut Way,
    ) -> Result<Response<Body>, Denial> {
        let counted = match self.0.origin {
            Origin::Submitted => Counted::All,
            Origin::Imported => Counted::Reached,
        };
        let policy = &plan.retry;
        let mut retry = Retry::counting(counted, policy, plan.repeat, plan.deadline, plan.tree);
        let mut tried: Vec<NodeId> = Vec::new();
        for number in 1_u32.. {
            let now = self.now();
            let choice = {
                let state = plan.service.lock();
                state.chooser.choose(now, plan.class, plan.order(), &tried)
            };
            let (endpoint, queue) = match choice {
                Choice::Send(endpoint) => (endpoint, Queue::Full),
                Choice::Probe(endpoint) => (endpoint, Queue::Short),
                Choice::Refuse(refusal) => return Err(Denial::Refused(refusal)),
            };
            tried.push(endpoint.node);
            way.tried.push(endpoint.node);
            let tree = retry.attempt();
            let mut request = self.request(plan, &payload, tree, number);
            if queue == Queue::Short {
                request.headers_mut().insert(QUEUE, SHORT);
            }
            let before = std::mem::replace(past, Past::Unknown);
            let attempt = self.attempt(plan, &endpoint, request).await;
            let fault = payload.fault();
            let unknown = matches!(attempt, Attempt::Failed(Failure::Unknown, _));
            // A body that broke says itself whether an upstream may have run what it began with.
            if !unknown || fault.is_some() {
                *past = before;
            }
            if let (true, Some(fault)) = (unknown, fault) {
                return Err(broken(plan.repeat, fault));
            }
            let (failure, response) = match attempt {
                Attempt::Answered(response) | Attempt::Final(response) => return Ok(response),
                Attempt::Failed(failure, response) => (failure, response),
            };
            let next = self.next(plan, &mut retry, &mut tried, failure);
            self.tell_attempt(way, number, &response, next);
            let Next::Retry { after } = next else {
                return Ok(response);
            };
            let Some(again) = payload.again() else {
                return Ok(response);
            };
            payload = again;
            self.0.counts.retried();
            if after > 0 {
                sleep(Duration::from_millis(after)).await;
            }
        }
        Err(Denial::Refused(Refusal::new(Reason::Expired)))
    }

    async fn payload(&self, plan: &Plan, incoming: Incoming) -> Result<Payload, Denial> {
        let limit = plan.document.limits.body;
        let hint = incoming.size_hint();
        if hint.lower() > limit {
            return Err(Denial::of_body(BodyFault::TooLong));
        }
        let deadline = self.instant(plan.deadline);
        let short = hint.exact().filter(|it| *it <= HELD_MAX);
        // Beyond the budget a body passes through unheld: a retry is worth less than the node's memory.
        if let Some(share) = short.and_then(|it| self.0.held.take(it)) {
            let bytes = body::collect(incoming, limit, deadline).await;
            return Ok(Payload::Held {
                bytes: bytes.map_err(Denial::of_body)?,
                _share: share,
            });
        }
        let fault = Arc::new(OnceLock::new());
        let noted = fault.clone();
        let bounded = Bounded::new(incoming, limit, deadline, move |end| {
            if let End::Failed(fault) = end {
                // Only the first fault can be noted, and there is only one.
                let _ = noted.set(fault);
            }
        });
        Ok(Payload::Streamed(Intact::new(Body::new(bounded)), fault))
    }

    fn next(
        &self,
        plan: &Plan,
        retry: &mut Retry,
        tried: &mut Vec<NodeId>,
        failure: Failure,
    ) -> Next {
        let now = self.now();
        let mut state = plan.service.lock();
        let untried = match tried.len() < state.chooser.count() {
            true => Untried::Some,
            false => Untried::None,
        };
        if untried == Untried::None {
            tried.clear();
        }
        retry.next(now, &mut rand::rng(), &mut state.budget, failure, untried)
    }

    fn request(&self, plan: &Plan, payload: &Payload, tree: Tree, number: u32) -> Request<Body> {
        let mut request = Request::new(payload.body());
        *request.method_mut() = plan.method.clone();
        *request.uri_mut() = uri(&plan.authority, &plan.path);
        let left = plan.deadline.left(self.now());
        let left = left - (left / MARGIN_SHARE).min(MARGIN_MAX);
        let headers = request.headers_mut();
        *headers = plan.headers.clone();
        headers::insert_text(headers, SERVICE, plan.name.as_str());
        headers::insert_text(headers, BUDGET, &tree.to_string());
        headers.insert(DEADLINE, HeaderValue::from(left));
        headers.insert(ATTEMPT, HeaderValue::from(number));
        headers.insert(REQUEST, HeaderValue::from(rand::random::<u64>()));
        if plan.repeat == Repeat::Never {
            headers.insert(REPEAT, NEVER);
        }
        if let Some(priority) = plan.priority {
            headers.insert(PRIORITY, HeaderValue::from(u16::from(priority)));
            headers.insert(GOAL, HeaderValue::from(plan.goal.since(self.now())));
            headers.insert(KIND, HeaderValue::from(plan.kind.0));
        }
        request
    }

    async fn attempt(
        &self,
        plan: &Plan,
        endpoint: &Endpoint,
        mut request: Request<Body>,
    ) -> Attempt {
        let number = request.headers().get(REQUEST).cloned();
        let service = plan.service.clone();
        let mut flight =
            Flight::start(&self.0.clock, service, endpoint.node, plan.class, plan.kind);
        let deadline = self.instant(plan.deadline);
        let response = match endpoint.node == self.0.node {
            true => self.own(request).await,
            false => {
                self.0.proofs.prove(&mut request, endpoint.traffic);
                match self.0.peers.send(endpoint.traffic, request, deadline).await {
                    peers::Sent::Answered(response) => response.map(Body::new),
                    peers::Sent::Unsent => {
                        flight.ended(Outcome::Failed);
                        let refusal = Refusal::new(Reason::NotReady);
                        let response = Denial::Refused(refusal).response();
                        return Attempt::Failed(Failure::NotRun(refusal), response);
                    }
                    peers::Sent::Lost => {
                        flight.ended(Outcome::Failed);
                        return lost(self.lost_denial(plan));
                    }
                }
            }
        };
        if response.headers().get(REQUEST) != number.as_ref() {
            // An answer to another request would show one family's draft to another.
            self.0
                .faults
                .count("crossed-answer", Some(endpoint.traffic));
            flight.ended(Outcome::Failed);
            let why =
                "the answer belonged to another request and was dropped; ask again if you may";
            return lost(Denial::unknown("crossed", why));
        }
        flight.told(headers::told(response.headers()));
        self.judge(plan, flight, response)
    }

    fn judge(&self, plan: &Plan, flight: Flight, response: Response<Body>) -> Attempt {
        let outcome = response.headers().get(OUTCOME).cloned();
        let refusal = headers::refusal(response.headers());
        if outcome == Some(RAN) {
            return Attempt::Answered(self.hand_on(plan, flight, response));
        }
        if outcome == Some(UNKNOWN) {
            flight.ended(Outcome::Failed);
            return Attempt::Failed(Failure::Unknown, headers::clean(response));
        }
        if outcome != Some(NOT_RUN) {
            flight.ended(Outcome::Failed);
            let why = "the other node does not say whether it was run: update both to one version";
            return lost(Denial::unknown("no-outcome", why));
        }
        if response.headers().get(headers::REASON) == Some(&UNPROVEN_VALUE) {
            // Two nodes differ in their keys or clocks, which is no fault of the caller's: it may be served
            // elsewhere, and a 401 would send it looking for a password.
            self.0.faults.count("node-refused-proof", None);
            let refusal = Refusal::new(Reason::NotReady);
            flight.ended(Outcome::Failed);
            let response = Denial::Refused(refusal).response();
            return Attempt::Failed(Failure::NotRun(refusal), response);
        }
        match refusal {
            Some(refusal) => {
                flight.ended(Outcome::Refused(refusal));
                Attempt::Failed(Failure::NotRun(refusal), headers::clean(response))
            }
            None => {
                flight.answered();
                Attempt::Final(headers::clean(response))
            }
        }
    }

    /// Streams an answer to the caller and notes how it ended.
    fn hand_on(&self, plan: &Plan, flight: Flight, response: Response<Body>) -> Response<Body> {
        let limit = plan.document.limits.body;
        let deadline = self.instant(plan.deadline);
        let (parts, body) = headers::clean(response).into_parts();
        if body.is_end_stream() {
            flight.answered();
            return Response::from_parts(parts, body);
        }
        let body = Bounded::new(body, limit, deadline, move |end| match end {
            End::Whole => flight.answered(),
            End::Failed(_) => flight.ended(Outcome::Failed),
            End::Dropped => drop(flight),
        });
        Response::from_parts(parts, Body::new(body))
    }

    fn lost_denial(&self, plan: &Plan) -> Denial {
        match plan.deadline.left(self.now()) {
            0 => Denial::unknown(
                super::denial::DEADLINE,
                "no answer by the deadline: the request may have been run",
            ),
            _ => Denial::unknown(
                "node-lost",
                "the connection broke: the request may have been run",
            ),
        }
    }
}

impl Payload {
    fn body(&self) -> Body {
        match self {
            Payload::Held { bytes, .. } => Body::from(bytes.clone()),
            Payload::Streamed(intact, _) => Body::new(intact.clone()),
        }
    }

    /// The payload for another attempt, if it is still whole.
    fn again(self) -> Option<Payload> {
        match self {
            Payload::Held { .. } => Some(self),
            Payload::Streamed(intact, fault) => {
                let body = intact.reclaim()?;
                Some(Payload::Streamed(Intact::new(body), fault))
            }
        }
    }

    /// What broke the body on its way, if anything.
    fn fault(&self) -> Option<BodyFault> {
        match self {
            Payload::Held { .. } => None,
            Payload::Streamed(_, fault) => fault.get().copied(),
        }
    }
}

/// The caller's own body broke while it was passed on.
///
/// An owner runs nothing of a request that runs at most once before its body is whole. Of others the upstream
/// may have seen the beginning.
fn broken(repeat: Repeat, fault: BodyFault) -> Denial {
    match (repeat, Denial::of_body(fault)) {
        (Repeat::Idempotent, Denial::Bad { reason, why, .. }) => Denial::Unknown { reason, why },
        (_, denial) => denial,
    }
}

/// What a request is told whose answer did not come while this node could wait.
fn stopping(past: &Past) -> Denial {
    match past {
        Past::NotRun => Denial::Refused(Refusal::new(Reason::Draining)),
        Past::Unknown => Denial::unknown(
            "stopping",
            "this node stopped before the answer came: the request may have been run; ask again if you may",
        ),
    }
}

fn lost(denial: Denial) -> Attempt {
    Attempt::Failed(Failure::Unknown, denial.response())
}

fn uri(authority: &str, path: &PathAndQuery) -> Uri {
    let uri = Uri::builder()
        .scheme("http")
        .authority(authority)
        .path_and_query(path.clone())
        .build();
    // A service's name is always a valid authority; a caller's own host and the path were parsed before.
    uri.unwrap_or_default()
}
