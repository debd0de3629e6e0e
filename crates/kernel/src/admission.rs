//! Admission control at the owner: slots, weighted classes, deadlines and load shedding.
//!
//! Each request runs at once, waits for a slot, or is refused as not run. A waiting request gets exactly one
//! [`Wake`], unless its caller cancels it first.

pub mod answers;
pub mod kinds;
mod limit;
pub mod link;
mod load;
mod pace;
pub mod pacer;
mod queue;
pub mod ranks;
pub mod sizes;

use crate::{
    clock::Ms,
    document::Class,
    members::Phase,
    refusal::{Reason, Refusal},
    standing::Rate,
};

pub use load::{BadLoad, Load};

use limit::Limit;
pub use pace::Basis;

use pace::Pace;
pub(crate) use queue::{CLASSES, index as class_index};
use queue::{Entry, Queue, index};

/// Settings of one [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests per class. Default: 64.
    pub queue: usize,
    /// Weights by which the classes share the slots when all of them have requests waiting. Default: 60, 30 and 10.
    pub weights: [f64; CLASSES],
    /// Maximum wait of each class as a multiple of its service time. Default: 2, 8 and unlimited.
    pub wait_factors: [f64; CLASSES],
    /// Longest time that waiting background work can go without a start, in ms. Default: 2000.
    pub aging: u64,
    /// Averaging time of the foreground demand, for which slots are reserved, in ms. Default: 1000.
    pub demand_window: u64,
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            queue: 64,
            weights: [60.0, 30.0, 10.0],
            wait_factors: [2.0, 8.0, f64::INFINITY],
            aging: 2_000,
            demand_window: 1_000,
        }
    }
}

/// A request offered for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Class that sets its queue and its share of the slots.
    pub class: Class,
    /// Time from which its answer is of no use.
    pub deadline: Ms,
}

/// Result of [`Admission::offer`].
#[derive(Debug)]
#[must_use]
pub enum Offer {
    /// The request runs now; the permit must be returned through [`Admission::done`].
    Run(Permit),
    /// The request waits until a [`Wake`] or [`Admission::cancel`].
    Wait(Ticket),
    /// The request is not run.
    Refuse(Refusal),
}

/// Permission to run one request. It must be returned through [`Admission::done`], or its slot is lost.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    class: Class,
    kind: kinds::Key,
    started: Ms,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// End of a request's wait.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Wake {
    /// The request runs now.
    Run(Ticket, Permit),
    /// The request is not run.
    Refuse(Ticket, Refusal),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The upstream answered; its duration is a service time sample.
    Answered,
    /// The upstream shed the request or timed out, which lowers the concurrency limit.
    Overloaded,
    /// The upstream failed; not counted as overload.
    Failed,
    /// The caller gave up.
    Cancelled,
    /// Nothing of the request was sent.
    Unsent,
}

/// Result of [`Admission::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancel {
    /// The request was waiting and is removed; it was not run.
    Removed,
    /// The request no longer waits. If it runs, its permit must still be returned.
    Answered,
}

/// Admission control of one upstream.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    phase: Phase,
    limit: Limit,
    pace: Pace,
    running: [usize; CLASSES],
    queues: [Queue; CLASSES],
    /// Slot time consumed by each class, divided by its weight.
    consumed: [f64; CLASSES],
    /// Virtual time of the fair queueing: the highest charge at which a request started.
    virtual_time: f64,
    /// Mean number of foreground requests that run or wait.
    demand: f64,
    /// Time of the last update of `demand`.
    observed: Ms,
    /// Time at which background work last started, or began to wait in an empty queue.
    background_progress: Ms,
    last_ticket: u64,
}

impl Admission {
    /// Creates the admission control of an upstream with `slots` slots, in [`Phase::Warming`].
    pub fn new(settings: AdmissionSettings, slots: u16) -> Admission {
        Admission {
            settings,
            phase: Phase::Warming,
            limit: Limit::new(slots),
            pace: Pace::default(),
            running: [0; CLASSES],
            queues: Default::default(),
            consumed: [0.0; CLASSES],
            virtual_time: 0.0,
            demand: 0.0,
            observed: Ms(0),
            background_progress: Ms(0),
            last_ticket: 0,
        }
    }

    /// Runs, queues or refuses a request.
    pub fn offer(&mut self, now: Ms, request: Request) -> Offer {
        if let Some(reason) = self.phase_reason() {
            return Offer::Refuse(Refusal::new(reason));
        }
        if request.deadline <= now {
            return Offer::Refuse(Refusal::new(Reason::Expired));
        }
        let class = request.class;
        let is_late = request.deadline.since(now) < self.limit.service(class);
        if is_late && !self.must_probe(class) {
            return Offer::Refuse(Refusal::new(Reason::Expired));
        }
        self.observe(now);
        if self.queues[index(class)].is_empty() && self.has_slot(now, class) {
            return Offer::Run(self.start(now, class));
        }
        if self.queues[index(class)].len() >= self.settings.queue {
            let after = self.estimated_wait(class, self.queues[index(class)].len());
            return Offer::Refuse(Refusal::after(Reason::QueueFull, after));
        }
        if let Some(refusal) = self.wait_refusal(now, request) {
            return Offer::Refuse(refusal);
        }
        Offer::Wait(self.enqueue(now, request))
    }

    /// Takes back a permit and starts waiting requests in the freed slot.
    pub fn done(&mut self, now: Ms, permit: Permit, finish: Finish, out: &mut Vec<Wake>) {
        let class = permit.class;
        let took = now.since(permit.started);
        self.observe(now);
        self.running[index(class)] -= 1;
        self.consumed[index(class)] += took.max(1) as f64 / self.settings.weights[index(class)];
        match finish {
            Finish::Answered => self.limit.answered(now, class, took),
            Finish::Overloaded => self.limit.overloaded(now),
            Finish::Unsent => self.pace.give_back(now),
            Finish::Failed | Finish::Cancelled => {}
        }
        self.dispatch(now, out);
    }

    /// Removes a waiting request whose caller gave up.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancel {
        let found = self.queues.iter_mut().any(|it| it.remove(ticket));
        if found {
            return Cancel::Removed;
        }
        Cancel::Answered
    }

    /// Refuses waiting requests that can no longer finish in time and starts others. Call it at [`Admission::due`].
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.observe(now);
        self.dispatch(now, out);
        self.refuse_unservable(now, out);
    }

    /// Returns the time of the next [`Admission::tick`], if any request waits.
    pub fn due(&self) -> Option<Ms> {
        let review = (self.waiting() > 0).then_some(self.observed + REVIEW_INTERVAL_MS);
        let expiry = CLASS_ORDER.into_iter().filter_map(|class| {
            let deadline = self.queue(class).first()?.deadline;
            Some(deadline - self.limit.service(class))
        });
        expiry.chain(review).min()
    }

    /// Sets the upstream's phase. Any phase but [`Phase::Ready`] refuses all waiting requests at once.
    pub fn set_phase(&mut self, now: Ms, phase: Phase, out: &mut Vec<Wake>) {
        self.phase = phase;
        let Some(reason) = self.phase_reason() else {
            return self.dispatch(now, out);
        };
        let waiting = self.queues.iter_mut().flat_map(Queue::drain);
        out.extend(waiting.map(|it| Wake::Refuse(it.ticket, Refusal::new(reason))));
    }

    /// Starts to drain: refuses all new and waiting requests; running ones go on.
    pub fn drain(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.set_phase(now, Phase::Draining, out);
    }

    /// Sets the number of slots that the upstream announced.
    pub fn set_slots(&mut self, now: Ms, slots: u16, out: &mut Vec<Wake>) {
        self.limit.set_slots(slots);
        self.dispatch(now, out);
    }

    /// Sets the rate limit that the upstream names.
    pub fn set_rate_limit(&mut self, now: Ms, limit: Option<Rate>, out: &mut Vec<Wake>) {
        self.pace.set(now, limit, Basis::Answer);
        self.dispatch(now, out);
    }

    /// Sets the maximum queue length, `limits.queue` of the document. Requests that already wait stay queued.
    pub fn set_queue(&mut self, queue: usize) {
        self.settings.queue = queue;
    }

    /// Returns the load to send back with an answer.
    pub fn load(&self) -> Load {
        let waiting = self.queue(Class::Interactive).len() + self.queue(Class::Exact).len();
        Load {
            running: clamp(self.running()),
            waiting: clamp(waiting),
            limit: clamp(self.limit.get()),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.iter().sum()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    fn phase_reason(&self) -> Option<Reason> {
        match self.phase {
            Phase::Ready => None,
            Phase::Warming => Some(Reason::NotReady),
            Phase::Draining | Phase::Gone => Some(Reason::Draining),
        }
    }

    fn queue(&self, class: Class) -> &Queue {
        &self.queues[index(class)]
    }

    fn has_slot(&self, now: Ms, class: Class) -> bool {
        let running = self.running();
        let free = running < self.limit.get() && self.pace.has_room(now, running);
        match class {
            Class::Interactive | Class::Exact => free,
            Class::Background => free && self.running[index(class)] < self.background_limit(),
        }
    }

    /// Returns the maximum number of slots for background work: those that the mean foreground demand leaves.
    ///
    /// Running requests are not preempted. Without this reserve, long background requests fill every idle slot and
    /// the next interactive request has to wait for one of them.
    fn background_limit(&self) -> usize {
        let reserve = self.demand.max(1.0);
        let room = self.limit.get() as f64 - reserve;
        (room.round().max(1.0)) as usize
    }

    /// Updates the mean foreground demand; called before each change of the running or waiting requests.
    fn observe(&mut self, now: Ms) {
        let elapsed = now.since(self.observed) as f64 / self.settings.demand_window as f64;
        let current_of = |it: Class| self.running[index(it)] + self.queue(it).len();
        let current = (current_of(Class::Interactive) + current_of(Class::Exact)) as f64;
        self.demand += (1.0 - (-elapsed).exp()) * (current - self.demand);
        self.observed = self.observed.max(now);
    }

    /// Returns a refusal, with the time to wait before a retry, if the request would wait too long.
    fn wait_refusal(&self, now: Ms, request: Request) -> Option<Refusal> {
        let class = request.class;
        let service = self.limit.service(class);
        let wait = self.estimated_wait(class, self.queue(class).count_before(request.deadline) + 1);
        let turn = self.pace.wait(now, self.waiting() as f64);
        let wait = wait.max(turn);
        let class_limit = service as f64 * self.settings.wait_factors[index(class)];
        let slack = request.deadline.since(now).saturating_sub(service);
        let max_wait = if class_limit < slack as f64 {
            class_limit as u64
        } else {
            slack
        };
        if wait <= max_wait || (turn <= max_wait && self.must_probe(class)) {
            return None;
        }
        Some(Refusal::after(Reason::Overloaded, wait - max_wait))
    }

    /// Returns whether a request of `class` must be admitted to measure its service time.
    ///
    /// An estimate above every deadline would otherwise refuse the whole class and never be corrected.
    fn must_probe(&self, class: Class) -> bool {
        self.running[index(class)] == 0 && self.queue(class).is_empty()
    }

    /// Returns the estimated wait of the request of `class` at `position` of its queue, counted from one, in ms.
    fn estimated_wait(&self, class: Class, position: usize) -> u64 {
        let service = self.limit.service(class) as f64;
        (position as f64 * service / self.expected_slots(class)) as u64
    }

    /// Returns the expected number of slots of a class: its weighted share, or what foreground demand leaves for
    /// background work.
    fn expected_slots(&self, class: Class) -> f64 {
        let limit = self.limit.get() as f64;
        let weight = |it: Class| self.settings.weights[index(it)];
        let competing = CLASS_ORDER
            .into_iter()
            .filter(|it| *it == class || !self.queue(*it).is_empty());
        let share = limit * weight(class) / competing.map(weight).sum::<f64>();
        match class {
            Class::Interactive | Class::Exact => share,
            Class::Background => {
                let all = CLASS_ORDER.into_iter().map(weight).sum::<f64>();
                let unused = (limit - self.demand).min(self.background_limit() as f64);
                unused.max(limit * weight(class) / all)
            }
        }
    }

    fn enqueue(&mut self, now: Ms, request: Request) -> Ticket {
        let class = request.class;
        if self.queue(class).is_empty() {
            self.activate(now, class);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.queues[index(class)].push(Entry {
            deadline: request.deadline,
            ticket,
        });
        ticket
    }

    /// Raises the consumption of a class that begins to wait to the virtual time, so that an idle class gains no
    /// credit.
    ///
    /// That is the level at which the last request started, not the consumption of the other classes: a background
    /// request counts six times as much as an interactive one, and a class that waits behind it must not pay for that.
    fn activate(&mut self, now: Ms, class: Class) {
        let consumed = &mut self.consumed[index(class)];
        *consumed = consumed.max(self.virtual_time);
        if class == Class::Background {
            self.background_progress = self.background_progress.max(now);
        }
    }

    fn start(&mut self, now: Ms, class: Class) -> Permit {
        self.pace.take(now);
        self.virtual_time = self.virtual_time.max(self.charge(class));
        self.running[index(class)] += 1;
        self.limit.started(self.running());
        if class == Class::Background {
            self.background_progress = now;
        }
        Permit {
            class,
            kind: kinds::Key::default(),
            started: now,
        }
    }

    fn dispatch(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.refuse_expired(now, out);
        while let Some(class) = self.next_class(now) {
            let Some(entry) = self.queues[index(class)].pop() else {
                return;
            };
            let permit = self.start(now, class);
            out.push(Wake::Run(entry.ticket, permit));
        }
    }

    /// Refuses waiting requests that can no longer finish before their deadline.
    fn refuse_expired(&mut self, now: Ms, out: &mut Vec<Wake>) {
        for class in CLASS_ORDER {
            let service = self.limit.service(class);
            let idle = self.running[index(class)] == 0;
            let required = if idle { 0 } else { service };
            let late = self.queues[index(class)].take_until(now + required);
            out.extend(
                late.into_iter()
                    .map(|it| Wake::Refuse(it.ticket, Refusal::new(Reason::Expired))),
            );
        }
    }

    /// Refuses waiting requests whose deadline would pass at their position in the queue, for example after the
    /// upstream lost slots, so that their callers have time to retry elsewhere.
    fn refuse_unservable(&mut self, now: Ms, out: &mut Vec<Wake>) {
        for class in CLASS_ORDER {
            let expected_slots = self.expected_slots(class);
            let service = self.limit.service(class) as f64;
            let (mut position, pace) = (0.0, self.pace);
            let late = self.queues[index(class)].take_if(|it| {
                position += 1.0;
                let slack = it.deadline.since(now) as f64 - service;
                let turn = pace.wait(now, position - 1.0) as f64;
                let no_slot = position > 1.0 && position * service / expected_slots > slack;
                let is_late = no_slot || turn > slack;
                position -= f64::from(u8::from(is_late));
                is_late
            });
            let after = self.estimated_wait(class, 1).max(self.pace.wait(now, 0.0));
            let refusal = Refusal::after(Reason::Overloaded, after);
            out.extend(late.into_iter().map(|it| Wake::Refuse(it.ticket, refusal)));
        }
    }

    /// Returns the class whose first request runs next, if a slot is free for any.
    fn next_class(&self, now: Ms) -> Option<Class> {
        let ready = |it: &Class| !self.queue(*it).is_empty() && self.has_slot(now, *it);
        if ready(&Class::Background) && now.since(self.background_progress) >= self.settings.aging {
            return Some(Class::Background);
        }
        CLASS_ORDER
            .into_iter()
            .filter(ready)
            .min_by(|lhs, rhs| self.charge(*lhs).total_cmp(&self.charge(*rhs)))
    }

    /// Returns the weighted slot time consumed by a class, including the expected time of its running requests.
    fn charge(&self, class: Class) -> f64 {
        let running = self.running[index(class)] as f64 * self.limit.service(class).max(1) as f64;
        self.consumed[index(class)] + running / self.settings.weights[index(class)]
    }
}

/// Interval of the check of waiting requests, in ms.
const REVIEW_INTERVAL_MS: u64 = 100;
const CLASS_ORDER: [Class; CLASSES] = [Class::Interactive, Class::Exact, Class::Background];

fn clamp(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
