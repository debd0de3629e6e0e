//! The door to the upstream: admission shared by the traffic threads.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    admission::{
        Admission, AdmissionSettings, Finish, Offer, Permit, Request, Ticket, Wake,
        ranks::{Order, Ranks},
    },
    document::Class,
    members::Phase,
    refusal::Refusal,
    settings::Origin,
};
use tokio::sync::oneshot;

use super::services::Told;

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
    standing: Standing,
}

type Verdict = Result<Permit, Refusal>;

/// Who runs, waits and is refused.
#[derive(Debug)]
enum Policy {
    /// Classes share the upstream by weight.
    Shares(Box<Admission>),
    /// Priorities and goals decide.
    Ranks(Ranks),
}

/// A request that asks for a slot: shares go by its class and deadline, ranks by its order.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its class.
    pub class: Class,
    /// Its priority, goal and deadline.
    pub order: Order,
}

/// What the gate follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Phase of the upstream.
    pub phase: Phase,
    /// Requests that it handles at once.
    pub slots: u16,
    /// Most requests of one class that wait.
    pub queue: usize,
}

/// The gate at one moment, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gauges {
    /// At the upstream.
    pub running: usize,
    /// Waiting, of every class.
    pub waiting: usize,
    /// Most that may run.
    pub limit: usize,
}

/// A slot of the upstream. Dropping it frees the slot as cancelled; [`Slot::finish`] says otherwise.
#[derive(Debug)]
pub struct Slot {
    gate: Gate,
    permit: Option<Permit>,
}

impl Gate {
    /// A gate that is closed until [`Gate::follow`] opens it.
    pub fn new(clock: Clock, origin: Origin) -> Gate {
        let standing = Standing {
            phase: Phase::Warming,
            slots: 1,
            queue: AdmissionSettings::default().queue,
        };
        let state = State {
            policy: match origin {
                Origin::Submitted => Policy::Shares(Box::new(admission(standing))),
                Origin::Imported => Policy::Ranks(Ranks::new(standing.slots)),
            },
            waiting: HashMap::new(),
            standing,
        };
        Gate {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Follows the upstream's phase and slots and the document's queue.
    pub fn follow(&self, standing: Standing) {
        let mut state = self.lock();
        if state.standing == standing {
            return;
        }
        let now = self.clock.now();
        let mut wakes = Vec::new();
        let before = state.standing;
        let followed = state.policy.follow(now, before, standing, &mut wakes);
        state.standing = followed;
        state.deliver(now, wakes);
    }

    /// Waits until `request` may run or is refused. Dropping the future cancels the wait.
    pub async fn enter(&self, ask: Ask) -> Result<Slot, Refusal> {
        let mut wait = {
            let mut state = self.lock();
            match state.policy.offer(self.clock.now(), ask) {
                Offer::Run(permit) => return Ok(self.slot(permit)),
                Offer::Refuse(refusal) => return Err(refusal),
                Offer::Wait(ticket) => {
                    let (sender, verdict) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Wait {
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

    /// Whether a request with `order` would be let in now, where ranks decide.
    pub fn check(&self, order: Order) -> Result<(), Refusal> {
        match &mut self.lock().policy {
            Policy::Shares(_) => Ok(()),
            Policy::Ranks(it) => it.check(self.clock.now(), order),
        }
    }

    /// Refuses and starts what is due.
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

    /// What to tell with an answer.
    pub fn told(&self) -> Told {
        match &self.lock().policy {
            Policy::Shares(it) => Told::Load(it.load()),
            Policy::Ranks(it) => Told::Outlook(it.outlook()),
        }
    }

    /// What runs, what waits in every class, and the most that may run.
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

    fn done(&self, permit: Permit, finish: Finish) {
        let mut state = self.lock();
        let now = self.clock.now();
        let mut wakes = Vec::new();
        state.policy.done(now, permit, finish, &mut wakes);
        state.deliver(now, wakes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Policy {
    /// Follows `to`; returns what holds from now on.
    fn follow(&mut self, now: Ms, from: Standing, to: Standing, out: &mut Vec<Wake>) -> Standing {
        match self {
            Policy::Shares(it) => {
                let idle = it.running() == 0 && it.waiting() == 0;
                let mut followed = to;
                match (to.queue == from.queue, idle) {
                    (true, _) => {}
                    (false, true) => **it = admission(to),
                    // A new length waits for a quiet moment: permits belong to the admission that gave them.
                    (false, false) => followed.queue = from.queue,
                }
                it.set_slots(now, to.slots, out);
                it.set_phase(now, to.phase, out);
                followed
            }
            Policy::Ranks(it) => {
                it.set_slots(now, to.slots, out);
                it.set_phase(now, to.phase, out);
                to
            }
        }
    }

    fn offer(&mut self, now: Ms, ask: Ask) -> Offer {
        match self {
            Policy::Shares(it) => {
                let request = Request {
                    class: ask.class,
                    deadline: ask.order.deadline,
                };
                it.offer(now, request)
            }
            Policy::Ranks(it) => it.offer(now, ask.order),
        }
    }

    fn done(&mut self, now: Ms, permit: Permit, finish: Finish, out: &mut Vec<Wake>) {
        match self {
            Policy::Shares(it) => it.done(now, permit, finish, out),
            Policy::Ranks(it) => it.done(now, permit, finish, out),
        }
    }

    fn cancel(&mut self, ticket: Ticket) {
        match self {
            // Whether it still waited makes no difference here: a permit on its way is given back by the caller.
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
    fn deliver(&mut self, now: Ms, mut wakes: Vec<Wake>) {
        while let Some(wake) = wakes.pop() {
            let (ticket, verdict) = match wake {
                Wake::Run(ticket, permit) => (ticket, Ok(permit)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let unheard = match self.waiting.remove(&ticket) {
                Some(sender) => sender.send(verdict).err(),
                None => Some(verdict),
            };
            // A permit that nobody takes would hold its slot for good.
            if let Some(Ok(permit)) = unheard {
                self.policy.done(now, permit, Finish::Cancelled, &mut wakes);
            }
        }
    }
}

impl Slot {
    /// Frees the slot and says how the run ended.
    pub fn finish(mut self, finish: Finish) {
        if let Some(permit) = self.permit.take() {
            self.gate.done(permit, finish);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.gate.done(permit, Finish::Cancelled);
        }
    }
}

struct Wait<'a> {
    gate: &'a Gate,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.waiting.remove(&self.ticket);
        state.policy.cancel(self.ticket);
        // Verdicts are sent under the lock, so one that crossed with the cancellation is here by now.
        if let Ok(Ok(permit)) = self.verdict.try_recv() {
            let now = self.gate.clock.now();
            let mut wakes = Vec::new();
            state
                .policy
                .done(now, permit, Finish::Cancelled, &mut wakes);
            state.deliver(now, wakes);
        }
    }
}

fn admission(standing: Standing) -> Admission {
    let settings = AdmissionSettings {
        queue: standing.queue,
        ..AdmissionSettings::default()
    };
    Admission::new(settings, standing.slots)
}
