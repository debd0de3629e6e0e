//! The door to the upstream: admission shared by the traffic threads.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    admission::{Admission, AdmissionSettings, Finish, Load, Offer, Permit, Request, Ticket, Wake},
    members::Phase,
    refusal::Refusal,
};
use tokio::sync::oneshot;

/// Admits requests to the upstream beside this node; cheap to clone.
#[derive(Clone, Debug)]
pub struct Gate {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    standing: Standing,
}

type Verdict = Result<Permit, Refusal>;

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
    pub fn new(clock: Clock) -> Gate {
        let standing = Standing {
            phase: Phase::Warming,
            slots: 1,
            queue: AdmissionSettings::default().queue,
        };
        let state = State {
            admission: admission(standing),
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
        let idle = state.admission.running() == 0 && state.admission.waiting() == 0;
        let mut followed = standing;
        match (standing.queue == state.standing.queue, idle) {
            (true, _) => {}
            (false, true) => state.admission = admission(standing),
            // A new length waits for a quiet moment: permits belong to the admission that gave them.
            (false, false) => followed.queue = state.standing.queue,
        }
        state.admission.set_slots(now, standing.slots, &mut wakes);
        state.admission.set_phase(now, standing.phase, &mut wakes);
        state.standing = followed;
        state.deliver(now, wakes);
    }

    /// Waits until `request` may run or is refused. Dropping the future cancels the wait.
    pub async fn enter(&self, request: Request) -> Result<Slot, Refusal> {
        let mut wait = {
            let mut state = self.lock();
            match state.admission.offer(self.clock.now(), request) {
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

    /// Refuses and starts what is due.
    pub fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.admission.due().is_none_or(|it| it > now) {
            return;
        }
        let mut wakes = Vec::new();
        state.admission.tick(now, &mut wakes);
        state.deliver(now, wakes);
    }

    /// The load to send back with an answer.
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    /// What runs, what waits in every class, and the most that may run.
    pub fn gauges(&self) -> Gauges {
        let admission = &self.lock().admission;
        Gauges {
            running: admission.running(),
            waiting: admission.waiting(),
            limit: usize::from(admission.load().limit),
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
        state.admission.done(now, permit, finish, &mut wakes);
        state.deliver(now, wakes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
                self.admission
                    .done(now, permit, Finish::Cancelled, &mut wakes);
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
        state.admission.cancel(self.ticket);
        // Verdicts are sent under the lock, so one that crossed with the cancellation is here by now.
        if let Ok(Ok(permit)) = self.verdict.try_recv() {
            let now = self.gate.clock.now();
            let mut wakes = Vec::new();
            state
                .admission
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
