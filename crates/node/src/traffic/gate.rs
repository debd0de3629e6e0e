//! Admission to the upstream, shared by the traffic threads.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    admission::{
        Admission, AdmissionSettings, Basis, Finish, Offer, Permit, Request, Ticket, Wake,
        ranks::{RankedRequest, Ranks},
    },
    document::Class,
    members::Phase,
    refusal::Refusal,
    settings::Origin,
    standing::{Observed, Rate, Report, Standing, StartTag, Statement},
};
use tokio::sync::oneshot;

use super::services::Feedback;

/// Admits requests to the upstream beside this node; cheap to clone.
#[derive(Clone, Debug)]
pub struct Gate {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    policy: Policy,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    upstream: UpstreamState,
    observed: Observed,
}

type Verdict = Result<Permit, Refusal>;

/// Decides which requests run, wait or are rejected.
#[derive(Debug)]
enum Policy {
    /// Classes share the upstream by weight; used with submitted documents.
    Shares(Box<Admission>),
    /// Orders requests by priority and latency goal; used with an imported configuration.
    Ranks(Ranks),
}

/// Request for a slot. Submitted documents use the class and the deadline, an imported configuration `ranked`.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Traffic class.
    pub class: Class,
    /// Priority, latency goal and deadline.
    pub ranked: RankedRequest,
}

/// State of the upstream that admission depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamState {
    /// Phase of the upstream.
    pub phase: Phase,
    /// Number of requests that it handles at once.
    pub slots: u16,
    /// Maximum number of waiting requests per class.
    pub queue: usize,
    /// The present start of the upstream, if it reports an instance.
    pub start: Option<StartTag>,
}

/// What an owner sends along with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateStatus {
    /// Load of the upstream.
    pub feedback: Feedback,
    /// What the upstream says about itself, with its start; `None` if the upstream is gone or reports no instance.
    pub report: Option<Report>,
}

/// Admission counters at one moment, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gauges {
    /// Requests running at the upstream.
    pub running: usize,
    /// Requests waiting, over all classes.
    pub waiting: usize,
    /// Maximum number of running requests.
    pub limit: usize,
}

/// A slot of the upstream. Dropping it frees the slot as cancelled; use [`Slot::finish`] to report another
/// result.
#[derive(Debug)]
pub struct Slot {
    gate: Gate,
    permit: Option<Permit>,
}

impl Gate {
    /// Creates a gate that admits nothing until [`Gate::update`] is called.
    pub fn new(clock: Clock, origin: Origin) -> Gate {
        let upstream = UpstreamState {
            phase: Phase::Warming,
            slots: 1,
            queue: AdmissionSettings::default().queue,
            start: None,
        };
        let state = State {
            policy: match origin {
                Origin::Submitted => Policy::Shares(Box::new(admission(upstream))),
                Origin::Imported => Policy::Ranks(Ranks::new(upstream.slots)),
            },
            waiting: HashMap::new(),
            upstream,
            observed: Observed::default(),
        };
        Gate {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Applies the upstream's phase and slots and the document's queue length.
    pub fn update(&self, upstream: UpstreamState) {
        let mut state = self.lock();
        if state.upstream == upstream {
            return;
        }
        let now = self.clock.now();
        let mut wakes = Vec::new();
        let mut before = state.upstream;
        if before.start != upstream.start {
            // Waiting requests are meant for the start that was replaced.
            let gone = UpstreamState {
                phase: Phase::Gone,
                ..before
            };
            before = state.policy.update(now, before, gone, &mut wakes);
        }
        if before.start != upstream.start || upstream.phase == Phase::Gone {
            state.observed = Observed::default();
            state.policy.set_limit(now, None, Basis::Answer, &mut wakes);
        }
        let leaving = state.observed.standing().leaving;
        let upstream = match leaving {
            true => UpstreamState {
                phase: Phase::Draining,
                ..upstream
            },
            false => upstream,
        };
        let applied = state.policy.update(now, before, upstream, &mut wakes);
        state.upstream = applied;
        state.deliver(now, wakes);
    }

    /// Applies what an answer says about the start `start` of the upstream; its request was sent at `sent`. Returns the
    /// standing if it changed.
    pub fn observe(
        &self,
        start: Option<StartTag>,
        sent: Ms,
        statement: Statement,
    ) -> Option<Standing> {
        let mut state = self.lock();
        if state.upstream.start != start {
            return None;
        }
        let now = self.clock.now();
        let changed = state.observed.observe(now, sent, statement)?;
        state.apply_standing(now, changed, Basis::Answer);
        Some(changed)
    }

    /// Applies what another node remembers of the upstream. Returns the standing if it changed.
    pub fn adopt(&self, report: Report) -> Option<Standing> {
        let mut state = self.lock();
        if state.upstream.start != Some(report.start) {
            return None;
        }
        let now = self.clock.now();
        let changed = state.observed.adopt(report.standing)?;
        state.apply_standing(now, changed, Basis::Memory);
        Some(changed)
    }

    /// Returns what is sent along with answers.
    pub fn status(&self) -> GateStatus {
        let state = self.lock();
        let standing = state.observed.standing();
        GateStatus {
            feedback: state.policy.feedback(),
            report: state.upstream.start.map(|start| Report { start, standing }),
        }
    }

    /// Returns what the upstream says about itself.
    pub fn standing(&self) -> Standing {
        self.lock().observed.standing()
    }

    /// Waits until `request` is admitted or rejected. Dropping the future cancels the wait.
    pub async fn acquire(&self, request: SlotRequest) -> Result<Slot, Refusal> {
        let mut wait = {
            let mut state = self.lock();
            match state.policy.offer(self.clock.now(), request) {
                Offer::Run(permit) => return Ok(self.slot(permit)),
                Offer::Refuse(refusal) => return Err(refusal),
                Offer::Wait(ticket) => {
                    let (sender, verdict) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    PendingWait {
                        gate: self,
                        ticket,
                        verdict,
                    }
                }
            }
        };
        match (&mut wait.verdict).await {
            Ok(Ok(permit)) => Ok(self.slot(permit)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new(laburnum_kernel::refusal::Reason::Cancelled)),
        }
    }

    /// Returns the refusal that a request with `ranked` would get now; `Ok` if it would run or wait. Always `Ok`
    /// with submitted documents.
    pub fn check(&self, ranked: RankedRequest) -> Result<(), Refusal> {
        match &mut self.lock().policy {
            Policy::Shares(_) => Ok(()),
            Policy::Ranks(it) => it.check(self.clock.now(), ranked),
        }
    }

    /// Returns the expected time from now to the end of a request with `ranked`, in ms. Zero with submitted documents.
    pub fn expected_run(&self, ranked: RankedRequest) -> u64 {
        match &mut self.lock().policy {
            Policy::Shares(_) => 0,
            Policy::Ranks(it) => it.expected_run(self.clock.now(), ranked),
        }
    }

    /// Rejects expired requests and starts those that are due.
    pub fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.policy.due().is_none_or(|it| it > now) {
            return;
        }
        let mut wakes = Vec::new();
        state.policy.tick(now, &mut wakes);
        state.deliver(now, wakes);
    }

    /// Returns the load information that is sent along with answers.
    pub fn feedback(&self) -> Feedback {
        self.lock().policy.feedback()
    }

    /// Returns the numbers of running and waiting requests and the limit.
    pub fn gauges(&self) -> Gauges {
        match &self.lock().policy {
            Policy::Shares(it) => Gauges {
                running: it.running(),
                waiting: it.waiting(),
                limit: usize::from(it.load().limit),
            },
            Policy::Ranks(it) => Gauges {
                running: it.running(),
                waiting: it.waiting(),
                limit: it.slots(),
            },
        }
    }

    fn slot(&self, permit: Permit) -> Slot {
        Slot {
            gate: self.clone(),
            permit: Some(permit),
        }
    }

    fn release(&self, permit: Permit, finish: Finish) {
        let mut state = self.lock();
        let now = self.clock.now();
        let mut wakes = Vec::new();
        state.policy.release(now, permit, finish, &mut wakes);
        state.deliver(now, wakes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Policy {
    fn feedback(&self) -> Feedback {
        match self {
            Policy::Shares(it) => Feedback::Load(it.load()),
            Policy::Ranks(it) => Feedback::Outlook(it.outlook()),
        }
    }

    /// Applies `to`; returns the state that is in force from now on.
    fn update(
        &mut self,
        now: Ms,
        from: UpstreamState,
        to: UpstreamState,
        out: &mut Vec<Wake>,
    ) -> UpstreamState {
        match self {
            Policy::Shares(it) => {
                let idle = it.running() == 0 && it.waiting() == 0;
                let mut applied = to;
                match (to.queue == from.queue, idle) {
                    (true, _) => {}
                    (false, true) => **it = admission(to),
                    // The queue length only changes while idle: permits belong to the admission that issued
                    // them.
                    (false, false) => applied.queue = from.queue,
                }
                it.set_slots(now, to.slots, out);
                it.set_phase(now, to.phase, out);
                applied
            }
            Policy::Ranks(it) => {
                it.set_slots(now, to.slots, out);
                it.set_phase(now, to.phase, out);
                to
            }
        }
    }

    fn set_limit(&mut self, now: Ms, limit: Option<Rate>, basis: Basis, out: &mut Vec<Wake>) {
        match self {
            // Upstreams of submitted documents report no instance, so that nothing is remembered of them.
            Policy::Shares(it) => it.set_rate_limit(now, limit, out),
            Policy::Ranks(it) => it.set_limit(now, limit, basis, out),
        }
    }

    fn offer(&mut self, now: Ms, request: SlotRequest) -> Offer {
        match self {
            Policy::Shares(it) => {
                let request = Request {
                    class: request.class,
                    deadline: request.ranked.deadline,
                };
                it.offer(now, request)
            }
            Policy::Ranks(it) => it.offer(now, request.ranked),
        }
    }

    fn release(&mut self, now: Ms, permit: Permit, finish: Finish, out: &mut Vec<Wake>) {
        match self {
            Policy::Shares(it) => it.done(now, permit, finish, out),
            Policy::Ranks(it) => it.done(now, permit, finish, out),
        }
    }

    fn cancel(&mut self, ticket: Ticket) {
        match self {
            // The result does not matter: `PendingWait::drop` returns a permit that was already sent.
            Policy::Shares(it) => drop(it.cancel(ticket)),
            Policy::Ranks(it) => drop(it.cancel(ticket)),
        }
    }

    fn due(&self) -> Option<Ms> {
        match self {
            Policy::Shares(it) => it.due(),
            Policy::Ranks(it) => it.due(),
        }
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Wake>) {
        match self {
            Policy::Shares(it) => it.tick(now, out),
            Policy::Ranks(it) => it.tick(now, out),
        }
    }
}

impl State {
    /// Applies the limit of the upstream, and drains it if it leaves.
    fn apply_standing(&mut self, now: Ms, it: Standing, basis: Basis) {
        let mut wakes = Vec::new();
        self.policy.set_limit(now, it.limit, basis, &mut wakes);
        if it.leaving {
            let before = self.upstream;
            self.upstream.phase = Phase::Draining;
            self.policy.update(now, before, self.upstream, &mut wakes);
        }
        self.deliver(now, wakes);
    }

    fn deliver(&mut self, now: Ms, mut wakes: Vec<Wake>) {
        while let Some(wake) = wakes.pop() {
            let (ticket, verdict) = match wake {
                Wake::Run(ticket, permit) => (ticket, Ok(permit)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let undelivered = match self.waiting.remove(&ticket) {
                Some(sender) => sender.send(verdict).err(),
                None => Some(verdict),
            };
            // A permit that cannot be delivered would occupy its slot forever.
            if let Some(Ok(permit)) = undelivered {
                self.policy.release(now, permit, Finish::Unsent, &mut wakes);
            }
        }
    }
}

impl Slot {
    /// Frees the slot and reports how the request ended.
    pub fn finish(mut self, finish: Finish) {
        if let Some(permit) = self.permit.take() {
            self.gate.release(permit, finish);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.gate.release(permit, Finish::Cancelled);
        }
    }
}

struct PendingWait<'a> {
    gate: &'a Gate,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
}

impl Drop for PendingWait<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.waiting.remove(&self.ticket);
        state.policy.cancel(self.ticket);
        // Verdicts are sent under the lock, so a permit sent before the cancellation is already in the channel.
        if let Ok(Ok(permit)) = self.verdict.try_recv() {
            let now = self.gate.clock.now();
            let mut wakes = Vec::new();
            state
                .policy
                .release(now, permit, Finish::Unsent, &mut wakes);
            state.deliver(now, wakes);
        }
    }
}

fn admission(upstream: UpstreamState) -> Admission {
    let settings = AdmissionSettings {
        queue: upstream.queue,
        ..AdmissionSettings::default()
    };
    Admission::new(settings, upstream.slots)
}
