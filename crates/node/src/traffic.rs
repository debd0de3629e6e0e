//! Forwards requests: caller, entry node, owner node, upstream.
//!
//! Any node can be the entry: it looks up the service and the route, picks an endpoint and forwards the request
//! to the node beside that endpoint, the owner. Only the owner admits requests to its upstream and knows
//! whether they ran; every answer states this in [`headers::OUTCOME`]. The decisions are made by the kernel
//! ([`laburnum_kernel::pick`], [`laburnum_kernel::retry`], [`laburnum_kernel::admission`],
//! [`laburnum_kernel::once`]); the modules here do the I/O.

mod answer;
mod answer_link;
pub mod body;
mod calls;
pub mod connections;
pub mod counts;
mod customers;
pub mod denial;
mod departure;
pub mod dialect;
mod entry;
pub mod faults;
pub mod gate;
mod head_limit;
pub mod headers;
mod link_budget;
mod once;
mod owner;
mod paced;
pub mod peers;
mod plan;
pub mod pool;
pub mod proof;
mod quota;
pub mod report;
pub mod serve;
pub mod services;
mod socket;
mod stall;
mod standing;
mod trial;

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use laburnum_edge::Clock;
use laburnum_kernel::{
    Event, Ms, Name, NodeId, View,
    event::UpstreamEvent,
    hot::Limiter,
    members::Exposure,
    pick::Place,
    refusal::{Reason, Refusal},
    retry::{Bound, Deadline},
    settings::Origin,
    standing::Standing,
};
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{control::Control, upstream::Upstream};

use answer_link::AnswerBudget;
use body::Budget;
use calls::Calls;
use counts::Counts;
use denial::Denial;
use dialect::Dialect;
use faults::Faults;
use gate::{Gate, Gauges};
use headers::REQUEST;
use link_budget::LinkBudget;
use peers::Peers;
use plan::Plan;
use proof::{Proofs, Unproven};
use quota::Purses;
use report::RequestLog;
use serve::ConnectionPeer;
use services::Services;
use standing::StandingLog;
use trial::Trial;

/// The request path of one node; cheap to clone.
#[derive(Clone)]
pub struct Traffic(Arc<Shared>);

struct Shared {
    node: NodeId,
    control: Control,
    clock: Clock,
    upstream: Upstream,
    gate: Gate,
    /// Admits large request bodies at the rate of the host's link.
    link: LinkBudget,
    /// Admits requests with large answers at the rate of the host's link.
    answers: AnswerBudget,
    /// Requests that run at the upstream, by which their calls are recognised.
    calls: Calls,
    peers: Peers,
    proofs: Proofs,
    services: Services,
    trial: Trial,
    purses: Purses,
    faults: Arc<Faults>,
    counts: Counts,
    limiter: Mutex<Limiter>,
    request_log: RequestLog,
    standing_log: StandingLog,
    /// Memory budget for request bodies that the entry buffers for retries.
    buffered: Budget,
    /// Memory budget for answers that wait for the link.
    answer_buffer: Budget,
    origin: Origin,
    dialect: Dialect,
    /// Service of the upstream beside this node.
    service: Option<Name>,
    /// Longest time for which a key works after it was taken away, in ms.
    revoke: Option<u64>,
    /// Whether requests with keys are refused because the configuration is unconfirmed.
    keys_refused: AtomicBool,
    draining: AtomicBool,
    /// Becomes true when pending requests must be answered at once because the node stops.
    stopping: watch::Sender<bool>,
    /// When this node ends, once callers have had the time to notice that it stops.
    closing: OnceLock<Closing>,
    /// Permit of the one suspect request that may run at a time.
    suspects: Arc<Semaphore>,
    /// Permits of claim requests in flight.
    claims: Arc<Semaphore>,
    /// Requests that this node handles as owner, and settlements in flight.
    owned: AtomicUsize,
}

/// Last part of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Closing {
    /// When pending requests are answered, whether or not they are served.
    pub answers: Instant,
    /// When the process ends at the latest.
    pub end: Instant,
}

/// Interval at which the admission queue and the upstream's phase are updated.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two prunings of idle connections, and two log entries of what was learned of calls.
const SLOW_TICKS: u64 = 1_000;
/// Bandwidth of a link that is not known, in Mbit/s.
const UNKNOWN_LINK: f64 = 0.0;
/// Maximum number of claim requests in flight; each may cost a write to the platform's table.
const CLAIMS_MAX: usize = 64;
/// Maximum total size of the request bodies that the entry buffers for retries, in bytes.
const BUFFERED_TOTAL: usize = 8 * 1024 * 1024;

/// Maximum total size of the answers buffered for the link, in bytes: more than the promises of a slow link.
const ANSWERS_TOTAL: usize = 4 * 1024 * 1024;

/// Components and settings of [`Traffic`].
pub struct Parts {
    /// This node's id.
    pub node: NodeId,
    /// Region and availability zone of the node.
    pub place: Place,
    /// Handle of the control thread, which publishes the views.
    pub control: Control,
    /// Clock that all deadlines are based on.
    pub clock: Clock,
    /// The upstream beside the node.
    pub upstream: Upstream,
    /// Counter of invalid input.
    pub faults: Arc<Faults>,
    /// Signs and verifies requests between nodes.
    pub proofs: Proofs,
    /// Counters of answers, refusals and retries.
    pub counts: Counts,
    /// Where the configuration comes from.
    pub origin: Origin,
    /// Header names used with callers and upstreams.
    pub dialect: Dialect,
    /// Service of the upstream beside the node.
    pub service: Option<Name>,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link: f64,
    /// Longest time for which a key works after it was taken away, in ms.
    pub revoke: Option<u64>,
    /// Bound on the retries of all nodes together, if there is one.
    pub retries: Option<Bound>,
}

impl Traffic {
    /// Starts the request path and its maintenance task. Must be called inside a tokio runtime.
    pub fn start(parts: Parts) -> Traffic {
        let Parts {
            node,
            place,
            control,
            clock,
            upstream,
            faults,
            proofs,
            counts,
            origin,
            dialect,
            service,
            link,
            revoke,
            retries,
        } = parts;
        let traffic = Traffic(Arc::new(Shared {
            node,
            control,
            gate: Gate::new(clock.clone(), origin),
            link: LinkBudget::new(link),
            answers: match origin {
                Origin::Imported => AnswerBudget::new(clock.clone(), link),
                Origin::Submitted => AnswerBudget::new(clock.clone(), UNKNOWN_LINK),
            },
            calls: Calls::new(clock.clone()),
            clock,
            upstream,
            peers: Peers::default(),
            proofs,
            services: Services::new(node, place, origin, retries),
            trial: Trial::default(),
            purses: Purses::default(),
            faults,
            counts,
            origin,
            dialect,
            service,
            revoke,
            keys_refused: AtomicBool::new(false),
            limiter: Mutex::default(),
            request_log: RequestLog::default(),
            standing_log: StandingLog::default(),
            buffered: Budget::new(BUFFERED_TOTAL),
            answer_buffer: match origin {
                Origin::Imported => Budget::new(ANSWERS_TOTAL),
                Origin::Submitted => Budget::new(0),
            },
            draining: AtomicBool::new(false),
            stopping: watch::Sender::new(false),
            closing: OnceLock::new(),
            suspects: Arc::new(Semaphore::new(1)),
            claims: Arc::new(Semaphore::new(CLAIMS_MAX)),
            owned: AtomicUsize::new(0),
        }));
        let shared = Arc::downgrade(&traffic.0);
        tokio::spawn(async move {
            let mut ticks = interval(TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for count in 1_u64.. {
                ticks.tick().await;
                let Some(traffic) = shared.upgrade().map(Traffic) else {
                    return;
                };
                let view = traffic.view();
                traffic.update_gate(&view);
                traffic.0.gate.tick();
                traffic.update_rollout(&view);
                if count.is_multiple_of(SLOW_TICKS) {
                    traffic.0.peers.prune();
                    traffic.log_calls(&view);
                }
            }
        });
        traffic
    }

    /// Reports to the control thread what the roll-out of the upstream's build depends on.
    fn update_rollout(&self, view: &View) {
        let own = view.own.as_ref();
        let evidence = match own {
            Some(own) if own.on_trial => self.0.trial.run(self.now()),
            _ => {
                self.0.trial.end();
                None
            }
        };
        let retiring = own.is_some_and(|it| it.exposure == Exposure::Retiring);
        let retired = retiring && self.is_idle();
        let events = [
            evidence.map(UpstreamEvent::Judged),
            retired.then_some(UpstreamEvent::Retired),
        ];
        for it in events.into_iter().flatten() {
            // A closed control thread needs no update.
            let _ = self.0.control.send_event(Event::Upstream(it));
        }
    }

    /// Returns whether no request runs at the upstream or waits for it.
    fn is_idle(&self) -> bool {
        let gauges = self.0.gate.gauges();
        gauges.running + gauges.waiting + self.owned() == 0
    }

    /// Returns the service for one connection of a caller.
    pub fn entry(
        &self,
        peer: SocketAddr,
    ) -> impl tower::Service<
        Request<Incoming>,
        Response = Response<Body>,
        Error = Infallible,
        Future: Send,
    > + Clone
    + Send
    + use<> {
        let traffic = self.clone();
        tower::service_fn(move |request| {
            let traffic = traffic.clone();
            async move { Ok(traffic.handle_caller(request, peer).await) }
        })
    }

    /// Returns the service for one connection of another node. Requests without a valid proof are rejected
    /// before their body is read.
    pub fn owner(
        &self,
        peer: SocketAddr,
    ) -> impl tower::Service<
        Request<Incoming>,
        Response = Response<Body>,
        Error = Infallible,
        Future: Send,
    > + Clone
    + Send
    + use<> {
        let traffic = self.clone();
        tower::service_fn(move |request: Request<Incoming>| {
            let traffic = traffic.clone();
            async move {
                match traffic.0.proofs.check(&request) {
                    Ok(()) => {
                        ConnectionPeer::admit(&request);
                        Ok(traffic.handle_forwarded(request.map(Body::new)).await)
                    }
                    Err(unproven) => Ok(traffic.reject(&request, unproven, peer)),
                }
            }
        })
    }

    /// Rejects a request without a valid proof. The answer echoes the exchange number; without it the entry
    /// would report the outcome as unknown.
    fn reject(
        &self,
        request: &Request<Incoming>,
        unproven: Unproven,
        peer: SocketAddr,
    ) -> Response<Body> {
        self.0.faults.count(unproven.kind(), Some(peer));
        ConnectionPeer::refuse(request);
        let mut response = Denial::from(unproven).response();
        if let Some(number) = request.headers().get(REQUEST) {
            response.headers_mut().insert(REQUEST, number.clone());
        }
        response
    }

    /// Rejects new requests for the upstream beside this node from now on; the entry sends callers' requests to
    /// other nodes.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::SeqCst);
        self.update_gate(&self.view());
    }

    /// Refuses callers' requests from now on that may last until pending ones are broken off. A later call has no effect.
    ///
    /// The caller of a refused request may send it again; one that is broken off at work may have run.
    pub fn refuse_long_requests(&self, closing: Closing) {
        // Fails only if it was called before.
        let _ = self.0.closing.set(closing);
    }

    /// Returns the denial for a request that may last longer than this process.
    fn check_closing(&self, plan: &Plan) -> Result<(), Denial> {
        match self.0.closing.get() {
            // The run that needs it is awaited.
            _ if plan.call.is_some() => Ok(()),
            Some(closing) if self.instant(plan.deadline) > closing.answers => {
                let left = closing.end.saturating_duration_since(Instant::now());
                let refusal = Refusal::after(Reason::Draining, left.as_millis() as u64);
                Err(Denial::Refused(refusal))
            }
            _ => Ok(()),
        }
    }

    /// Answers every pending request of a caller: "not run" if no attempt can have run it, else "unknown".
    pub fn answer_pending(&self) {
        self.0.stopping.send_replace(true);
    }

    /// Returns the number of callers' requests in progress at this entry.
    pub fn in_progress(&self) -> usize {
        self.0.stopping.receiver_count()
    }

    /// Returns the number of requests that this node handles as owner, waiting ones included, and of
    /// settlements in flight.
    pub fn owned(&self) -> usize {
        self.0.owned.load(Ordering::SeqCst)
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.0.counts
    }

    /// Returns the number of faults by kind since the start.
    pub fn faults(&self) -> Vec<(&'static str, u64)> {
        self.0.faults.totals()
    }

    /// Returns the number of claim requests in flight.
    pub fn claiming(&self) -> usize {
        CLAIMS_MAX.saturating_sub(self.0.claims.available_permits())
    }

    /// Returns the current state of admission to the upstream.
    pub fn admission(&self) -> Gauges {
        self.0.gate.gauges()
    }

    /// Returns the number of requests refused because the link had no room for their answers.
    pub fn answers_refused(&self) -> u64 {
        self.0.answers.refused()
    }

    /// Returns the number of bytes of answers that are promised or under way on the link.
    pub fn answer_bytes(&self) -> u64 {
        self.0.answers.pending_bytes()
    }

    /// Returns what the upstream beside this node says about itself.
    pub fn standing(&self) -> Standing {
        self.0.gate.standing()
    }

    /// Returns whether new requests for the upstream are rejected.
    pub fn draining(&self) -> bool {
        self.0.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of retries that this entry has made.
    pub fn retries(&self) -> u64 {
        self.0.counts.retries()
    }

    fn view(&self) -> Arc<View> {
        self.0.control.view()
    }

    fn now(&self) -> Ms {
        self.0.clock.now()
    }

    /// Converts `deadline` to an instant for tokio's timers.
    fn instant(&self, deadline: Deadline) -> Instant {
        Instant::now() + Duration::from_millis(deadline.left(self.now()))
    }
}
