//! Admission at the owner: slots, classes, deadlines and shedding.
//!
//! The node beside an upstream is the only one that admits work to it. Each request is answered in one of
//! three ways: it runs now, it waits for a slot, or it is refused as not run. A waiting request is
//! answered exactly once, by a [`Wake`], unless its caller cancels it first.

pub mod kinds;
mod limit;
pub mod link;
mod load;
mod queue;
pub mod ranks;

use crate::{
    clock::Ms,
    document::Class,
    members::Phase,
    refusal::{Reason, Refusal},
};

pub use load::{BadLoad, Load};

use limit::Limit;
pub(crate) use queue::{CLASSES, index as class_index};
use queue::{Entry, Queue, index};

/// Settings of one [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Most requests of one class that wait for a slot. Default: 64.
    pub queue: usize,
    /// Weights by which the classes share the slots while all of them wait. Default: 60, 30 and 10.
    pub weights: [f64; CLASSES],
    /// Longest useful wait of each class as a multiple of its service time. Default: 2, 8 and none.
    pub patience: [f64; CLASSES],
    /// Longest time without a start that background work endures while it waits, in ms. Default: 2000.
    pub aging: u64,
    /// Time over which the demand of the other classes is averaged, to hold slots back for them, in ms.
    /// Default: 1000.
    pub memory: u64,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            queue: 64,
            weights: [60.0, 30.0, 10.0],
            patience: [2.0, 8.0, f64::INFINITY],
            aging: 2_000,
            memory: 1_000,
        }
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// When its answer is worthless.
    pub deadline: Ms,
}

/// The answer to [`Admission::offer`].
#[derive(Debug)]
#[must_use]
pub enum Offer {
    /// Run it now and hand the permit back through [`Admission::done`].
    Run(Permit),
    /// It waits; a [`Wake`] or [`Admission::cancel`] ends the wait.
    Wait(Ticket),
    /// It is not run.
    Refuse(Refusal),
}

/// The right to run one request. Losing it loses a slot: it always goes back through [`Admission::done`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    class: Class,
    kind: kinds::Key,
    started: Ms,
}

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The end of a wait.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Wake {
    /// Run it now.
    Run(Ticket, Permit),
    /// It is not run.
    Refuse(Ticket, Refusal),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The upstream answered; the time it took is a sample of its service time.
    Answered,
    /// The upstream shed the request or timed out: it has less room than its slots say.
    Overloaded,
    /// The upstream failed; says nothing about its room.
    Failed,
    /// The caller gave up.
    Cancelled,
}

/// What a cancellation met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancel {
    /// The request was waiting and is forgotten: it was not run.
    Forgotten,
    /// The request was answered before; if it was told to run, its permit must still come back.
    Answered,
}

/// Admits work to one upstream.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    phase: Phase,
    limit: Limit,
    running: [usize; CLASSES],
    queues: [Queue; CLASSES],
    /// Slot time consumed by each class divided by its weight.
    consumed: [f64; CLASSES],
    /// Highest consumption at which a run started.
    level: f64,
    /// Mean number of foreground requests running and waiting, and when it was last brought up to date.
    demand: f64,
    observed: Ms,
    /// When background work last started, or began to wait after none did.
    progress: Ms,
    tickets: u64,
}

impl Admission {
    /// Admission to an upstream that handles `slots` requests at once. It starts [`Phase::Warming`].
    pub fn new(settings: AdmissionSettings, slots: u16) -> Admission {
        Admission {
            settings,
            phase: Phase::Warming,
            limit: Limit::new(slots),
            running: [0; CLASSES],
            queues: Default::default(),
            consumed: [0.0; CLASSES],
            level: 0.0,
            demand: 0.0,
            observed: Ms(0),
            progress: Ms(0),
            tickets: 0,
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Ms, request: Request) -> Offer {
        if let Some(reason) = self.closed() {
            return Offer::Refuse(Refusal::new(reason));
        }
        if request.deadline <= now {
            return Offer::Refuse(Refusal::new(Reason::Expired));
        }
        let class = request.class;
        let late = request.deadline.since(now) < self.limit.service(class);
        if late && !self.must_probe(class) {
            return Offer::Refuse(Refusal::new(Reason::Expired));
        }
        self.observe(now);
        if self.queues[index(class)].is_empty() && self.has_room(class) {
            return Offer::Run(self.start(now, class));
        }
        if self.queues[index(class)].len() >= self.settings.queue {
            let after = self.wait_of(class, self.queues[index(class)].len());
            return Offer::Refuse(Refusal::after(Reason::QueueFull, after));
        }
        if let Some(refusal) = self.hopeless(now, request) {
            return Offer::Refuse(refusal);
        }
        Offer::Wait(self.enqueue(now, request))
    }

    /// Takes a permit back and fills the slot that it frees.
    pub fn done(&mut self, now: Ms, permit: Permit, finish: Finish, out: &mut Vec<Wake>) {
        let class = permit.class;
        let took = now.since(permit.started);
        self.observe(now);
        self.running[index(class)] -= 1;
        self.consumed[index(class)] += took.max(1) as f64 / self.settings.weights[index(class)];
        match finish {
            Finish::Answered => self.limit.answered(now, class, took),
            Finish::Overloaded => self.limit.overloaded(now),
            Finish::Failed | Finish::Cancelled => {}
        }
        self.dispatch(now, out);
    }

    /// Forgets a waiting request whose caller gave up.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancel {
        let found = self.queues.iter_mut().any(|it| it.remove(ticket));
        if found {
            return Cancel::Forgotten;
        }
        Cancel::Answered
    }

    /// Refuses what can no longer finish in time and starts what may run. Due at [`Admission::due`].
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.observe(now);
        self.dispatch(now, out);
        self.review(now, out);
    }

    /// When [`Admission::tick`] is next needed, if anything waits.
    pub fn due(&self) -> Option<Ms> {
        let review = (self.waiting() > 0).then_some(self.observed + REVIEW);
        let expiry = CLASS_ORDER.into_iter().filter_map(|class| {
            let deadline = self.queue(class).first()?.deadline;
            Some(deadline - self.limit.service(class))
        });
        expiry.chain(review).min()
    }

    /// Follows the upstream's phase. Leaving [`Phase::Ready`] refuses every waiting request at once.
    pub fn set_phase(&mut self, now: Ms, phase: Phase, out: &mut Vec<Wake>) {
        self.phase = phase;
        let Some(reason) = self.closed() else {
            return self.dispatch(now, out);
        };
        let waiting = self.queues.iter_mut().flat_map(Queue::drain);
        out.extend(waiting.map(|it| Wake::Refuse(it.ticket, Refusal::new(reason))));
    }

    /// Starts to drain: refuses all new and waiting work; what runs goes on.
    pub fn drain(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.set_phase(now, Phase::Draining, out);
    }

    /// Follows the number of slots that the upstream announces.
    pub fn set_slots(&mut self, now: Ms, slots: u16, out: &mut Vec<Wake>) {
        self.limit.set_slots(slots);
        self.dispatch(now, out);
    }

    /// Follows the document's `limits.queue`. What already waits stays, also beyond a shorter queue.
    pub fn set_queue(&mut self, queue: usize) {
        self.settings.queue = queue;
    }

    /// The load to send back with an answer.
    pub fn load(&self) -> Load {
        let waiting = self.queue(Class::Interactive).len() + self.queue(Class::Exact).len();
        Load {
            running: clamp(self.running()),
            waiting: clamp(waiting),
            limit: clamp(self.limit.get()),
        }
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running.iter().sum()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    fn closed(&self) -> Option<Reason> {
        match self.phase {
            Phase::Ready => None,
            Phase::Warming => Some(Reason::NotReady),
            Phase::Draining | Phase::Gone => Some(Reason::Draining),
        }
    }

    fn queue(&self, class: Class) -> &Queue {
        &self.queues[index(class)]
    }

    fn has_room(&self, class: Class) -> bool {
        let free = self.running() < self.limit.get();
        match class {
            Class::Interactive | Class::Exact => free,
            Class::Background => free && self.running[index(class)] < self.background_room(),
        }
    }

    /// Slots that background work may hold: those that the usual demand of the other classes leaves.
    ///
    /// A run cannot be interrupted. Without the reserve, long background runs fill every slot in a
    /// quiet moment, and the next interactive request waits for one of them to end.
    fn background_room(&self) -> usize {
        let reserve = self.demand.max(1.0);
        let room = self.limit.get() as f64 - reserve;
        (room.round().max(1.0)) as usize
    }

    /// Brings the mean foreground demand up to `now`; called before each change of it.
    fn observe(&mut self, now: Ms) {
        let elapsed = now.since(self.observed) as f64 / self.settings.memory as f64;
        let held = |it: Class| self.running[index(it)] + self.queue(it).len();
        let current = (held(Class::Interactive) + held(Class::Exact)) as f64;
        self.demand += (1.0 - (-elapsed).exp()) * (current - self.demand);
        self.observed = self.observed.max(now);
    }

    /// Refuses a request that would wait too long to be of use, with the time until it would not.
    fn hopeless(&self, now: Ms, request: Request) -> Option<Refusal> {
        let class = request.class;
        let service = self.limit.service(class);
        let wait = self.wait_of(class, self.queue(class).before(request.deadline) + 1);
        let patience = service as f64 * self.settings.patience[index(class)];
        let spare = request.deadline.since(now).saturating_sub(service);
        let longest = if patience < spare as f64 {
            patience as u64
        } else {
            spare
        };
        if wait <= longest || self.must_probe(class) {
            return None;
        }
        Some(Refusal::after(Reason::Overloaded, wait - longest))
    }

    /// Whether a run of `class` is needed to learn its service time.
    ///
    /// An estimate that once grew past every deadline would refuse all work of the class, and with no
    /// run nothing would ever correct it. So one at a time may always run.
    fn must_probe(&self, class: Class) -> bool {
        self.running[index(class)] == 0 && self.queue(class).is_empty()
    }

    /// Estimated wait of the request of `class` at `place`, counted from one, in its queue, in ms.
    fn wait_of(&self, class: Class, place: usize) -> u64 {
        let service = self.limit.service(class) as f64;
        (place as f64 * service / self.entitled(class)) as u64
    }

    /// Slots that a class can count on: its share, and for background work what the others usually leave.
    fn entitled(&self, class: Class) -> f64 {
        let limit = self.limit.get() as f64;
        let weight = |it: Class| self.settings.weights[index(it)];
        let rivals = CLASS_ORDER
            .into_iter()
            .filter(|it| *it == class || !self.queue(*it).is_empty());
        let share = limit * weight(class) / rivals.map(weight).sum::<f64>();
        match class {
            Class::Interactive | Class::Exact => share,
            Class::Background => {
                let all = CLASS_ORDER.into_iter().map(weight).sum::<f64>();
                let spare = (limit - self.demand).min(self.background_room() as f64);
                spare.max(limit * weight(class) / all)
            }
        }
    }

    fn enqueue(&mut self, now: Ms, request: Request) -> Ticket {
        let class = request.class;
        if self.queue(class).is_empty() {
            self.join(now, class);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.queues[index(class)].push(Entry {
            deadline: request.deadline,
            ticket,
        });
        ticket
    }

    /// Brings a class that begins to wait level with the work under way, so that idling earns no credit.
    ///
    /// The level is that at which the last run started, not that of the other classes: a background run
    /// counts six times as much as an interactive one, and a class that waits behind it must not pay for it.
    fn join(&mut self, now: Ms, class: Class) {
        let consumed = &mut self.consumed[index(class)];
        *consumed = consumed.max(self.level);
        if class == Class::Background {
            self.progress = self.progress.max(now);
        }
    }

    fn start(&mut self, now: Ms, class: Class) -> Permit {
        self.level = self.level.max(self.charge(class));
        self.running[index(class)] += 1;
        self.limit.started(self.running());
        if class == Class::Background {
            self.progress = now;
        }
        Permit {
            class,
            kind: kinds::Key::default(),
            started: now,
        }
    }

    fn dispatch(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.expire(now, out);
        while let Some(class) = self.next_class(now) {
            let Some(entry) = self.queues[index(class)].pop() else {
                return;
            };
            let permit = self.start(now, class);
            out.push(Wake::Run(entry.ticket, permit));
        }
    }

    /// Refuses waiting work that can no longer finish, so that its caller learns it at once.
    fn expire(&mut self, now: Ms, out: &mut Vec<Wake>) {
        for class in CLASS_ORDER {
            let service = self.limit.service(class);
            let idle = self.running[index(class)] == 0;
            let needed = if idle { 0 } else { service };
            let late = self.queues[index(class)].take_until(now + needed);
            out.extend(
                late.into_iter()
                    .map(|it| Wake::Refuse(it.ticket, Refusal::new(Reason::Expired))),
            );
        }
    }

    /// Refuses waiting work that would expire in its place in the queue.
    ///
    /// It was offered when there was more room. Left to wait, its caller would learn only near the deadline
    /// that nothing came of it, too late to go elsewhere.
    fn review(&mut self, now: Ms, out: &mut Vec<Wake>) {
        for class in CLASS_ORDER {
            let entitled = self.entitled(class);
            let service = self.limit.service(class) as f64;
            let mut place = 0.0;
            let late = self.queues[index(class)].take_if(|it| {
                place += 1.0;
                let spare = it.deadline.since(now) as f64 - service;
                let late = place > 1.0 && place * service / entitled > spare;
                place -= f64::from(u8::from(late));
                late
            });
            let after = self.wait_of(class, 1);
            let refusal = Refusal::after(Reason::Overloaded, after);
            out.extend(late.into_iter().map(|it| Wake::Refuse(it.ticket, refusal)));
        }
    }

    /// The class whose first request runs next, if a slot is free for any.
    fn next_class(&self, now: Ms) -> Option<Class> {
        let ready = |it: &Class| !self.queue(*it).is_empty() && self.has_room(*it);
        if ready(&Class::Background) && now.since(self.progress) >= self.settings.aging {
            return Some(Class::Background);
        }
        CLASS_ORDER
            .into_iter()
            .filter(ready)
            .min_by(|lhs, rhs| self.charge(*lhs).total_cmp(&self.charge(*rhs)))
    }

    /// Slot time consumed by a class, with what its running requests are expected to consume.
    fn charge(&self, class: Class) -> f64 {
        let running = self.running[index(class)] as f64 * self.limit.service(class).max(1) as f64;
        self.consumed[index(class)] + running / self.settings.weights[index(class)]
    }
}

/// Time after which the chances of waiting work are looked at again, in ms.
const REVIEW: u64 = 100;
const CLASS_ORDER: [Class; CLASSES] = [Class::Interactive, Class::Exact, Class::Background];

fn clamp(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
