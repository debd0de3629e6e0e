//! Entry side: picks an owner for a request that has a [`Plan`], forwards the request, and retries it where
//! that is safe.

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
    admission::ranks::WaitLimit,
    document::Repeat,
    pick::{Choice, Outcome},
    refusal::{Reason, Refusal},
    retry::{Counted, Failure, Next, Retry, Tree, Untried},
    rollout,
    settings::Origin,
    view::Endpoint,
};
use tokio::time::sleep;

use super::{
    Traffic,
    answer::ending,
    body::{self, BodyFault, Bounded, End, ReclaimableBody, Share},
    denial::{Denial, UNPROVEN},
    headers::{
        self, ATTEMPT, BUDGET, DEADLINE, GOAL, KIND, NEVER, NOT_RUN, OUTCOME, PRIORITY, QUEUE, RAN,
        REPEAT, REQUEST, SERVICE, SHORT, STANDING, UNKNOWN,
    },
    peers,
    plan::Plan,
    report::{AbandonedRequest, EndedRequest, FailedAttempt, RouteDecision},
    services::InFlight,
};

/// Reason that an owner gives when it rejects this node's proof.
const UNPROVEN_VALUE: HeaderValue = HeaderValue::from_static(UNPROVEN);
/// Largest body that is buffered for a retry, in bytes.
const BUFFERED_MAX: u64 = 64 * 1024;
/// Part of the remaining time, as its divisor, that is reserved for the answer's way back.
const MARGIN_SHARE: u64 = 10;
/// Maximum of the reserved time, in ms.
const MARGIN_MAX: u64 = 10;

/// State of a request that is written to the log. Dropped before the end of the request when its caller leaves.
struct Trace {
    traffic: Traffic,
    id: Option<HeaderValue>,
    started: Ms,
    decision: Option<RouteDecision>,
    tried: Vec<NodeId>,
    progress: Progress,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    Ended,
}

/// Body of the request.
enum Payload {
    /// Buffered whole; `_share` is its part of the node's memory budget.
    Buffered { bytes: Bytes, _share: Share },
    /// Forwarded as it arrives; the cell holds the fault that broke it, if any.
    Streamed(ReclaimableBody, Arc<OnceLock<BodyFault>>),
}

/// Outcome of the attempts so far; an attempt in progress counts as unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PriorOutcome {
    NotRun,
    Unknown,
}

/// Result of one attempt.
enum Attempt {
    Answered(Response<Body>),
    Failed(Failure, Response<Body>),
    /// The owner rejected the request for a reason that no retry changes.
    Final(Response<Body>),
}

impl Traffic {
    /// Handles one request of a caller and always returns an answer.
    pub(super) async fn handle_caller(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<Body> {
        let started = self.now();
        let (parts, incoming) = request.into_parts();
        let id = self.0.dialect.id(&parts.headers);
        let mut trace = Trace {
            traffic: self.clone(),
            id: id.clone(),
            started,
            decision: None,
            tried: Vec::new(),
            progress: Progress::Pending,
        };
        let (plan, result) = match self.plan(parts, peer) {
            Ok(mut plan) => {
                trace.decision = plan.decision.take();
                let result = self.forward_until_stop(&plan, incoming, &mut trace).await;
                (Some(plan), result)
            }
            Err(denial) => (None, Err(denial)),
        };
        let response = result.unwrap_or_else(|denial| {
            if let Denial::Bad { reason, .. } = denial {
                self.0.faults.count(reason, Some(peer));
            }
            denial.response()
        });
        self.0.counts.count_answer(response.headers());
        if let Some(plan) = plan {
            let took = self.now().since(started);
            self.0.counts.record_latency(plan.class, took);
            if let Some(call) = plan.call {
                call.close(&response);
            }
        }
        trace.close(&response);
        self.0.dialect.translate_answer(response, id)
    }

    fn log_attempt(&self, trace: &Trace, number: u32, response: &Response<Body>, next: Next) {
        let (Some(node), Origin::Imported) = (trace.tried.last(), self.0.origin) else {
            return;
        };
        let now = self.now();
        let failed = FailedAttempt {
            id: trace.id.as_ref(),
            number,
            node: *node,
            next,
            took: now.since(trace.started),
            headers: response.headers(),
        };
        self.0.request_log.log_attempt(now, &failed);
    }

    async fn forward_until_stop(
        &self,
        plan: &Plan,
        incoming: Incoming,
        trace: &mut Trace,
    ) -> Result<Response<Body>, Denial> {
        // Before the body is read, which a refused request would send for nothing.
        self.check_closing(plan)?;
        let mut prior = PriorOutcome::NotRun;
        let mut stopping = self.0.stopping.subscribe();
        if let Some(customer) = &plan.customer {
            self.charge(customer).await?;
        }
        let result = tokio::select! {
            biased;
            it = self.forward(plan, incoming, &mut prior, trace) => it,
            // Shortly before the node exits an answer can still reach the caller. A cut connection would leave
            // the caller unsure whether the request ran.
            _ = stopping.wait_for(|it| *it) => Err(shutdown_denial(&prior)),
        };
        let result = match (prior, result) {
            (PriorOutcome::NotRun, result) => result,
            (PriorOutcome::Unknown, Err(denial)) => Err(denial.after_unknown_attempt()),
            (PriorOutcome::Unknown, Ok(response))
                if response.headers().get(OUTCOME) == Some(&NOT_RUN) =>
            {
                Err(Denial::Refused(Refusal::new(Reason::Expired)).after_unknown_attempt())
            }
            (PriorOutcome::Unknown, Ok(response)) => Ok(response),
        };
        if let Some(customer) = plan.customer.as_ref().filter(|_| was_not_run(&result)) {
            self.give_back(customer);
        }
        result
    }

    async fn forward(
        &self,
        plan: &Plan,
        incoming: Incoming,
        prior: &mut PriorOutcome,
        trace: &mut Trace,
    ) -> Result<Response<Body>, Denial> {
        let payload = self.read_payload(plan, incoming).await?;
        // A body that arrives slowly may end after the node has begun to stop.
        self.check_closing(plan)?;
        self.try_endpoints(plan, payload, prior, trace).await
    }

    /// Sends the request to one endpoint after another and records in `prior` whether one of them may have run
    /// it.
    async fn try_endpoints(
        &self,
        plan: &Plan,
        mut payload: Payload,
        prior: &mut PriorOutcome,
        trace: &mut Trace,
    ) -> Result<Response<Body>, Denial> {
        let counted = match self.0.origin {
            Origin::Submitted => Counted::All,
            Origin::Imported => Counted::Reached,
        };
        let policy = &plan.retry;
        let mut retry = Retry::counting(counted, policy, plan.repeat, plan.deadline, plan.tree);
        let mut tried: Vec<NodeId> = Vec::new();
        for number in 1_u32.. {
            if let Some(customer) = plan.customer.as_ref().filter(|_| number > 1) {
                self.check_key(customer)?;
            }
            let now = self.now();
            let choice = {
                let mut state = plan.service.lock();
                if number == 1 {
                    state.budget.requested();
                }
                state.chooser.choose(now, plan.class, plan.ranked(), &tried)
            };
            let (endpoint, queue) = match choice {
                Choice::Send(endpoint) => (endpoint, WaitLimit::Full),
                Choice::Probe(endpoint) => (endpoint, WaitLimit::Short),
                Choice::Refuse(refusal) => return Err(Denial::Refused(refusal)),
            };
            tried.push(endpoint.node);
            trace.tried.push(endpoint.node);
            let tree = retry.attempt();
            let mut request = self.build_request(plan, &payload, tree, number);
            if let Some(report) = self.0.services.standing(endpoint.node) {
                headers::insert_text(request.headers_mut(), STANDING, &report.to_string());
            }
            if queue == WaitLimit::Short {
                request.headers_mut().insert(QUEUE, SHORT);
            }
            let before = std::mem::replace(prior, PriorOutcome::Unknown);
            let attempt = self.send_attempt(plan, &endpoint, request).await;
            let fault = payload.fault();
            let unknown = matches!(attempt, Attempt::Failed(Failure::Unknown, _));
            // A broken body determines the outcome itself: it says whether an upstream may have run the part it
            // got.
            if !unknown || fault.is_some() {
                *prior = before;
            }
            if let (true, Some(fault)) = (unknown, fault) {
                return Err(broken_body(plan.repeat, fault));
            }
            let (failure, response) = match attempt {
                Attempt::Answered(response) | Attempt::Final(response) => return Ok(response),
                Attempt::Failed(failure, response) => (failure, response),
            };
            let next = self.decide_retry(plan, &mut retry, &mut tried, failure);
            self.log_attempt(trace, number, &response, next);
            let Next::Retry { after } = next else {
                return Ok(response);
            };
            let Some(retried) = payload.into_retry() else {
                return Ok(response);
            };
            payload = retried;
            self.0.counts.count_retry();
            if after > 0 {
                sleep(Duration::from_millis(after)).await;
            }
        }
        Err(Denial::Refused(Refusal::new(Reason::Expired)))
    }

    async fn read_payload(&self, plan: &Plan, incoming: Incoming) -> Result<Payload, Denial> {
        let limit = plan.document.limits.body;
        let hint = incoming.size_hint();
        if hint.lower() > limit {
            return Err(Denial::from_body_fault(BodyFault::TooLong));
        }
        let deadline = self.instant(plan.deadline);
        let short = hint.exact().filter(|it| *it <= BUFFERED_MAX);
        // Other bodies, and short ones for which no budget is left, are streamed: once a part is read, the
        // request cannot be retried.
        if let Some(share) = short.and_then(|it| self.0.buffered.take(it)) {
            let bytes = body::collect(incoming, limit, deadline).await;
            return Ok(Payload::Buffered {
                bytes: bytes.map_err(Denial::from_body_fault)?,
                _share: share,
            });
        }
        let fault = Arc::new(OnceLock::new());
        let recorded = fault.clone();
        let bounded = Bounded::new(incoming, limit, deadline, move |end| {
            if let End::Failed(fault) = end {
                // `Bounded` calls this closure at most once, so the cell is empty.
                let _ = recorded.set(fault);
            }
        });
        Ok(Payload::Streamed(
            ReclaimableBody::new(Body::new(bounded)),
            fault,
        ))
    }

    fn decide_retry(
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

    fn build_request(
        &self,
        plan: &Plan,
        payload: &Payload,
        tree: Tree,
        number: u32,
    ) -> Request<Body> {
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

    async fn send_attempt(
        &self,
        plan: &Plan,
        endpoint: &Endpoint,
        mut request: Request<Body>,
    ) -> Attempt {
        let number = request.headers().get(REQUEST).cloned();
        let sent = self.now();
        let service = plan.service.clone();
        let mut flight =
            InFlight::start(&self.0.clock, service, endpoint.node, plan.class, plan.kind);
        let deadline = self.instant(plan.deadline);
        let response = match endpoint.node == self.0.node {
            true => self.handle_forwarded(request).await,
            false => {
                self.0.proofs.prove(&mut request, endpoint.traffic);
                match self.0.peers.send(endpoint.traffic, request, deadline).await {
                    peers::Sent::Answered(response) => {
                        response.map(|it| self.0.answers.forwarded(Body::new(it), plan.goal))
                    }
                    peers::Sent::Unsent => {
                        flight.ended(Outcome::Failed);
                        let refusal = Refusal::new(Reason::NotReady);
                        let response = Denial::Refused(refusal).response();
                        return Attempt::Failed(Failure::NotRun(refusal), response);
                    }
                    peers::Sent::Broken(fault) => {
                        flight.ended(Outcome::Failed);
                        return lost_attempt(Denial::from_bad_head(fault));
                    }
                    peers::Sent::Lost => {
                        flight.ended(Outcome::Failed);
                        return lost_attempt(self.no_answer_denial(plan));
                    }
                }
            }
        };
        if response.headers().get(REQUEST) != number.as_ref() {
            // Forwarding it would disclose another caller's data.
            self.0
                .faults
                .count("crossed-answer", Some(endpoint.traffic));
            flight.ended(Outcome::Failed);
            let why = "the owner's answer carries the number of another request and was dropped; the request may have been run: retry it if that is safe";
            return lost_attempt(Denial::unknown("crossed", why));
        }
        flight.set_feedback(headers::owner_feedback(response.headers()));
        if let Some(report) = headers::standing(response.headers()) {
            self.0.services.record_standing(endpoint.node, report);
            let mut state = plan.service.lock();
            let (now, standing) = (self.now(), report.standing);
            state.chooser.record_standing(now, endpoint.node, standing);
        }
        self.observe_baseline(plan, endpoint, sent, &response);
        self.classify_answer(plan, flight, response)
    }

    /// Records an answer with which the upstream beside this node is compared while its build is rolled out.
    fn observe_baseline(
        &self,
        plan: &Plan,
        endpoint: &Endpoint,
        sent: Ms,
        response: &Response<Body>,
    ) {
        let view = self.view();
        let is_compared = view
            .own
            .as_ref()
            .is_some_and(|it| it.on_trial && it.service == plan.name && it.build != endpoint.build);
        if !is_compared || response.headers().get(OUTCOME) != Some(&RAN) {
            return;
        }
        let now = self.now();
        let observed = rollout::Answer {
            priority: plan.ranked().priority,
            ending: ending(response.status()),
            millis: now.since(sent),
        };
        self.0.trial.observe_baseline(now, observed);
    }

    fn classify_answer(&self, plan: &Plan, flight: InFlight, response: Response<Body>) -> Attempt {
        let outcome = response.headers().get(OUTCOME).cloned();
        let refusal = headers::refusal(response.headers());
        if outcome == Some(RAN) {
            return Attempt::Answered(self.stream_answer(plan, flight, response));
        }
        if outcome == Some(UNKNOWN) {
            flight.ended(Outcome::Failed);
            return Attempt::Failed(Failure::Unknown, headers::strip_node_fields(response));
        }
        if outcome != Some(NOT_RUN) {
            flight.ended(Outcome::Failed);
            let why = "the owner's answer does not say whether the request was run: update both nodes to the same version";
            return lost_attempt(Denial::unknown("no-outcome", why));
        }
        if response.headers().get(headers::REASON) == Some(&UNPROVEN_VALUE) {
            // The nodes' keys or clocks differ, which the caller cannot fix: another node may serve the
            // request, and a 401 would make the caller look for credentials.
            self.0.faults.count("node-refused-proof", None);
            let refusal = Refusal::new(Reason::NotReady);
            flight.ended(Outcome::Failed);
            let response = Denial::Refused(refusal).response();
            return Attempt::Failed(Failure::NotRun(refusal), response);
        }
        match refusal {
            Some(refusal) => {
                flight.ended(Outcome::Refused(refusal));
                Attempt::Failed(
                    Failure::NotRun(refusal),
                    headers::strip_node_fields(response),
                )
            }
            None => {
                flight.answered();
                Attempt::Final(headers::strip_node_fields(response))
            }
        }
    }

    /// Streams an answer to the caller and reports to the endpoint statistics how it ended.
    fn stream_answer(
        &self,
        plan: &Plan,
        flight: InFlight,
        response: Response<Body>,
    ) -> Response<Body> {
        let limit = plan.document.limits.body;
        let deadline = self.instant(plan.deadline);
        let (parts, body) = headers::strip_node_fields(response).into_parts();
        if body.is_end_stream() {
            flight.answered();
            return Response::from_parts(parts, body);
        }
        let teaches = parts.status.is_success();
        let body = Bounded::new(body, limit, deadline, move |end| match end {
            End::Whole(length) => {
                if teaches {
                    flight.record_size(length);
                }
                flight.answered();
            }
            End::Failed(_) => flight.ended(Outcome::Failed),
            End::Dropped => drop(flight),
        });
        Response::from_parts(parts, Body::new(body))
    }

    fn no_answer_denial(&self, plan: &Plan) -> Denial {
        match plan.deadline.left(self.now()) {
            0 => Denial::unknown(
                super::denial::DEADLINE,
                "no answer from the owner by the deadline; the request may have been run",
            ),
            _ => Denial::unknown(
                "node-lost",
                "the connection to the owner broke; the request may have been run",
            ),
        }
    }
}

impl Trace {
    /// Logs the end of the request.
    fn close(mut self, response: &Response<Body>) {
        self.progress = Progress::Ended;
        if self.traffic.0.origin == Origin::Submitted {
            return;
        }
        let now = self.traffic.now();
        let ended = EndedRequest {
            id: self.id.as_ref(),
            decision: self.decision.as_ref(),
            tried: &self.tried,
            took: now.since(self.started),
            status: response.status(),
            headers: response.headers(),
        };
        self.traffic.0.request_log.log_request(now, &ended);
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let shared = &self.traffic.0;
        if self.progress == Progress::Ended || shared.origin == Origin::Submitted {
            return;
        }
        let now = shared.clock.now();
        let abandoned = AbandonedRequest {
            id: self.id.as_ref(),
            decision: self.decision.as_ref(),
            tried: &self.tried,
            took: now.since(self.started),
        };
        shared.request_log.log_abandoned(now, &abandoned);
    }
}

impl Payload {
    fn body(&self) -> Body {
        match self {
            Payload::Buffered { bytes, .. } => Body::from(bytes.clone()),
            Payload::Streamed(body, _) => Body::new(body.clone()),
        }
    }

    /// Returns the payload for another attempt, unless part of it was already read.
    fn into_retry(self) -> Option<Payload> {
        match self {
            Payload::Buffered { .. } => Some(self),
            Payload::Streamed(body, fault) => {
                let body = body.reclaim()?;
                Some(Payload::Streamed(ReclaimableBody::new(body), fault))
            }
        }
    }

    /// Returns the fault that broke the body, if any.
    fn fault(&self) -> Option<BodyFault> {
        match self {
            Payload::Buffered { .. } => None,
            Payload::Streamed(_, fault) => fault.get().copied(),
        }
    }
}

/// Returns the denial for a request whose body broke while it was forwarded.
///
/// An owner runs a request that runs at most once only when it has the whole body. For other requests the
/// upstream may have processed the beginning.
fn broken_body(repeat: Repeat, fault: BodyFault) -> Denial {
    match (repeat, Denial::from_body_fault(fault)) {
        (Repeat::Idempotent, Denial::Bad { reason, why, .. }) => Denial::Unknown { reason, why },
        (_, denial) => denial,
    }
}

/// Returns whether no endpoint ran the request.
fn was_not_run(result: &Result<Response<Body>, Denial>) -> bool {
    match result {
        Ok(response) => response.headers().get(OUTCOME) == Some(&NOT_RUN),
        Err(denial) => denial.is_not_run(),
    }
}

/// Returns the denial for a request that is pending when the node stops.
fn shutdown_denial(prior: &PriorOutcome) -> Denial {
    match prior {
        PriorOutcome::NotRun => Denial::Refused(Refusal::new(Reason::Draining)),
        PriorOutcome::Unknown => Denial::unknown(
            "stopping",
            "this node stopped before the answer arrived; the request may have been run: retry it if that is safe",
        ),
    }
}

fn lost_attempt(denial: Denial) -> Attempt {
    Attempt::Failed(Failure::Unknown, denial.response())
}

fn uri(authority: &str, path: &PathAndQuery) -> Uri {
    let uri = Uri::builder()
        .scheme("http")
        .authority(authority)
        .path_and_query(path.clone())
        .build();
    // Cannot fail: a service's name is a valid authority, and the caller's host and path are already parsed.
    uri.unwrap_or_default()
}
