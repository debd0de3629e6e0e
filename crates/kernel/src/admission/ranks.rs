//! Admission by rank and goal, for routes that give a priority and a latency goal.
//!
//! An upstream has few slots, and a request that starts too late to reach its goal takes as long as one that
//! reaches it but is worth a third to its caller. First come first served answers everything late once more
//! arrives than fits: each request waits behind others that are late already. So the order is:
//!
//! 1. by priority, strictly;
//! 2. within one, those that can still reach their goal, earliest goal first;
//! 3. then those that can only be late, earliest deadline first.
//!
//! Requests of one priority differ in how long they hold a slot, so each is held against the mean of its own kind,
//! learned here: with one mean for all, long requests queue up to their goals and shut out the short ones.
//!
//! What could not be served in time by its place in that order is refused at once, as long as it can go
//! elsewhere or come back. A lower priority is never shut out for longer than [`STARVED_MS`].

use std::{collections::BTreeSet, fmt, str::FromStr};

use super::{
    Finish, Offer, Permit, Ticket, Wake,
    kinds::{Key, Kind, Kinds},
};
use crate::{
    clock::Ms,
    members::Phase,
    refusal::{Reason, Refusal},
    routing,
};

/// Priorities told apart; higher numbers count as the last.
pub const RANKS: usize = 4;
/// Longest time without a start that a waiting request's priority endures while others start, in ms: with slots
/// held for some hundred ms, one start in this time keeps it at a few in a hundred of the upstream.
pub const STARVED_MS: u64 = 500;
/// Time that must be left to the goal at the start, as a multiple of the mean hold time, for a request to count as
/// timely. With the mean alone two of five runs take too long, and an overloaded upstream starts nearly all at
/// that point; measured over the loads of `tests/ranks.rs`, a quarter more serves the most in time.
const NEEDED: f64 = 1.25;
/// Time over which the work of more urgent priorities is averaged, in ms.
const MEMORY_MS: f64 = 1_000.0;
/// Largest share of the time left that a request which can only be late may wait, as its divisor. A caller
/// that is refused later than that has no time left to come back.
const LATE_SHARE: u64 = 16;
/// Least time left with which a caller that is refused can come back, in mean hold times: it has to hear of the
/// refusal, wait for a slot and run. With less, a request waits for as long as it can still be answered: short calls
/// of runs, whose refusal fails the run. On a recorded load where lookups crowd such calls, 10 in 100 reads failed for
/// it instead of 29.
const RETURN_HOLDS: f64 = 4.0;
/// Largest share of the time to its goal that a request with other endpoints to ask may wait, as its divisor: many
/// times what a hop to another endpoint of the zone takes. With no wait at all the most urgent requests would pass by
/// an endpoint whose next free slot is theirs in some ms.
const SHORT_SHARE: u64 = 12;
/// Time after which waiting requests are looked at again, in ms.
const REVIEW_MS: u64 = 20;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// Zero is the most urgent.
    pub priority: u8,
    /// Until then the answer is of full use.
    pub goal: Ms,
    /// From then on it is of none.
    pub deadline: Ms,
    /// How long it may wait for a slot.
    pub queue: Queue,
    /// Its kind, if the entry says it.
    pub kind: Kind,
}

/// How long a request may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// As long as it is of use.
    Full,
    /// A small part of the time to its goal: another endpoint may have a free slot.
    Short,
}

/// What a request that arrives now can expect, by rank; sent back with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Slots that nobody holds.
    pub free: u16,
    /// All slots.
    pub slots: u16,
    /// Expected wait for a slot, in ms.
    pub wait: [u16; RANKS],
    /// Mean time that a request holds its slot, in ms.
    pub service: [u16; RANKS],
}

/// Admits work to one upstream.
#[derive(Debug)]
pub struct Ranks {
    phase: Phase,
    slots: usize,
    kinds: Kinds,
    waiting: BTreeSet<Entry>,
    observed: Ms,
    /// When each rank last started a request, or began to wait.
    progress: [Ms; RANKS],
    tickets: u64,
}

/// A waiting request. The order is by rank, then by goal, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    rank: usize,
    lane: Lane,
    due: Ms,
    ticket: Ticket,
    deadline: Ms,
    kind: Key,
}

/// Where a request that is not refused goes.
#[derive(Clone, Copy, Debug)]
enum Place {
    /// To a free slot: nobody goes first.
    Slot(Entry),
    /// Behind others.
    Queue(Entry),
}

/// Whether a request can still reach its goal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    /// It can.
    Timely,
    /// It can only be late.
    Late,
}

impl Ranks {
    /// Admission to an upstream that handles `slots` requests at once. It starts [`Phase::Warming`].
    pub fn new(slots: u16) -> Ranks {
        Ranks {
            phase: Phase::Warming,
            slots: usize::from(slots.max(1)),
            kinds: Kinds::new(),
            waiting: BTreeSet::new(),
            observed: Ms(0),
            progress: [Ms(0); RANKS],
            tickets: 0,
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Ms, order: Order) -> Offer {
        let entry = match self.judge(now, order) {
            Ok(Place::Slot(it)) => return Offer::Run(self.start(now, it)),
            Ok(Place::Queue(it)) => it,
            Err(refusal) => return Offer::Refuse(refusal),
        };
        let rank = entry.rank;
        if !self.waiting.iter().any(|it| it.rank == rank) {
            self.progress[rank] = now;
        }
        self.waiting.insert(entry);
        Offer::Wait(entry.ticket)
    }

    /// Whether a request would be let in now. One with a long body is asked about before the body is read.
    pub fn check(&mut self, now: Ms, order: Order) -> Result<(), Refusal> {
        self.judge(now, order).map(drop)
    }

    /// Takes a permit back and fills the slot that it frees.
    pub fn done(&mut self, now: Ms, permit: Permit, finish: Finish, out: &mut Vec<Wake>) {
        self.observe(now);
        let took = match finish {
            Finish::Answered => Some(now.since(permit.started)),
            _ => None,
        };
        self.kinds.ended(permit.kind, took);
        self.dispatch(now, out);
    }

    /// Forgets a waiting request whose caller gave up; tells whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let found = self.waiting.iter().find(|it| it.ticket == ticket).copied();
        found.is_some_and(|it| self.waiting.remove(&it))
    }

    /// Refuses what waits in vain and starts what may run. Due at [`Ranks::due`].
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.observe(now);
        self.review(now, out);
        self.dispatch(now, out);
    }

    /// When [`Ranks::tick`] is next needed, if anything waits.
    pub fn due(&self) -> Option<Ms> {
        (!self.waiting.is_empty()).then_some(self.observed + REVIEW_MS)
    }

    /// Follows the upstream's phase. Leaving [`Phase::Ready`] refuses every waiting request at once.
    pub fn set_phase(&mut self, now: Ms, phase: Phase, out: &mut Vec<Wake>) {
        self.phase = phase;
        let Some(reason) = closed(phase) else {
            return self.dispatch(now, out);
        };
        let waiting = std::mem::take(&mut self.waiting);
        out.extend(
            waiting
                .into_iter()
                .map(|it| Wake::Refuse(it.ticket, Refusal::new(reason))),
        );
    }

    /// Follows the number of slots that the upstream announces.
    pub fn set_slots(&mut self, now: Ms, slots: u16, out: &mut Vec<Wake>) {
        self.slots = usize::from(slots.max(1));
        self.dispatch(now, out);
    }

    /// What a request that arrives now can expect.
    pub fn outlook(&self) -> Outlook {
        let mut outlook = Outlook {
            free: clamp(
                self.slots
                    .saturating_sub(self.running() + self.waiting.len()) as f64,
            ),
            slots: clamp(self.slots as f64),
            ..Outlook::default()
        };
        for rank in 0..RANKS {
            let ahead = self.waiting.iter().filter(|it| it.rank <= rank).count();
            let wait = match self.running() + ahead < self.slots {
                true => 0,
                false => self.wait(
                    rank,
                    self.kinds.rank_service(rank),
                    self.waiting.iter().filter(|it| it.rank <= rank),
                ),
            };
            outlook.wait[rank] = clamp(wait as f64);
            outlook.service[rank] = clamp(self.kinds.rank_service(rank));
        }
        outlook
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.kinds.running()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that may run at once.
    pub fn slots(&self) -> usize {
        self.slots
    }

    fn entry(&mut self, now: Ms, order: Order) -> Entry {
        self.tickets += 1;
        let rank = rank_of(order.priority);
        let kind = self.kinds.key(now, order.kind, rank);
        let mut entry = Entry {
            rank,
            lane: Lane::Timely,
            due: order.goal,
            ticket: Ticket(self.tickets),
            deadline: order.deadline,
            kind,
        };
        self.age(now, &mut entry);
        entry
    }

    /// Moves what can no longer reach its goal behind what can.
    fn age(&self, now: Ms, entry: &mut Entry) {
        let needed = needed(self.kinds.service(entry.kind));
        if entry.lane == Lane::Timely && entry.due.since(now) < needed {
            entry.lane = Lane::Late;
            entry.due = entry.deadline;
        }
    }

    /// A request's place, or why it has none.
    fn judge(&mut self, now: Ms, order: Order) -> Result<Place, Refusal> {
        if let Some(reason) = closed(self.phase) {
            return Err(Refusal::new(reason));
        }
        if order.deadline <= now {
            return Err(Refusal::new(Reason::Expired));
        }
        self.observe(now);
        let entry = self.entry(now, order);
        if self.startable(&entry) {
            return Ok(Place::Slot(entry));
        }
        let service = self.kinds.service(entry.kind);
        let wait = self.wait(entry.rank, service, self.waiting.range(..&entry));
        let longest = self.longest(now, order, service);
        match wait > longest {
            true => Err(Refusal::after(Reason::Overloaded, wait - longest)),
            false => Ok(Place::Queue(entry)),
        }
    }

    /// Whether a slot is free and nobody goes first.
    fn startable(&self, entry: &Entry) -> bool {
        self.running() < self.slots && self.waiting.range(..entry).next().is_none()
    }

    /// Expected wait of a request of `rank` that holds a slot for `service` behind `ahead`, in ms.
    ///
    /// All slots are taken: one comes free each mean hold time divided by the slots. Those of higher rank that wait
    /// take the first of them; of the rest, requests still to arrive that go first take their usual part: those of
    /// higher rank, and much shorter ones of the same.
    fn wait<'a>(&self, rank: usize, service: f64, ahead: impl Iterator<Item = &'a Entry>) -> u64 {
        let first =
            |other: usize, held: f64| other < rank || (other == rank && held * 2.0 < service);
        let usual = self.kinds.held(first);
        // The least that a rank is given: one start in STARVED_MS.
        let hold = self.kinds.mean();
        let least = hold / STARVED_MS as f64;
        let slots = (self.slots as f64 - usual).max(least);
        let (mut urgent, mut own) = (0.0, hold);
        for it in ahead {
            let held = self.kinds.service(it.kind);
            match first(it.rank, held) {
                true => urgent += held,
                false => own += held,
            }
        }
        (urgent / self.slots as f64 + own / slots) as u64
    }

    /// Longest wait that leaves the request of use, in ms.
    fn longest(&self, now: Ms, order: Order, service: f64) -> u64 {
        let timely = order.goal.since(now).saturating_sub(needed(service));
        let left = order.deadline.since(now);
        let answerable = left.saturating_sub(service as u64);
        let late = match (left as f64) < RETURN_HOLDS * self.kinds.mean() {
            true => answerable,
            false => answerable.min(left / LATE_SHARE),
        };
        match order.queue {
            Queue::Full => timely.max(late),
            Queue::Short => timely.min(order.goal.since(now) / SHORT_SHARE),
        }
    }

    fn start(&mut self, now: Ms, entry: Entry) -> Permit {
        self.kinds.started(entry.kind);
        self.progress[entry.rank] = now;
        Permit {
            class: routing::class_of(entry.rank as u8),
            kind: entry.kind,
            started: now,
        }
    }

    fn dispatch(&mut self, now: Ms, out: &mut Vec<Wake>) {
        while self.running() < self.slots {
            let Some(entry) = self.next(now) else {
                return;
            };
            self.waiting.remove(&entry);
            if entry.deadline <= now {
                out.push(Wake::Refuse(entry.ticket, Refusal::new(Reason::Expired)));
                continue;
            }
            let permit = self.start(now, entry);
            out.push(Wake::Run(entry.ticket, permit));
        }
    }

    /// The request that runs next: a rank that was shut out for too long, else the first in order.
    fn next(&self, now: Ms) -> Option<Entry> {
        let first = self.waiting.first()?;
        let starved = self
            .waiting
            .iter()
            .find(|it| it.rank > first.rank && now.since(self.progress[it.rank]) >= STARVED_MS);
        Some(*starved.unwrap_or(first))
    }

    /// Looks at what waits again, and refuses what waits in vain.
    fn review(&mut self, now: Ms, out: &mut Vec<Wake>) {
        let waiting = std::mem::take(&mut self.waiting);
        for mut entry in waiting {
            let service = self.kinds.service(entry.kind);
            self.age(now, &mut entry);
            // Half the mean: a run may be shorter than most, but less time than that is hardly ever enough.
            let hopeless = entry.deadline.since(now) <= (service / 2.0) as u64;
            if hopeless {
                let after = self.wait(entry.rank, service, std::iter::empty());
                let refusal = Refusal::after(Reason::Overloaded, after);
                out.push(Wake::Refuse(entry.ticket, refusal));
                continue;
            }
            self.waiting.insert(entry);
        }
    }

    fn observe(&mut self, now: Ms) {
        let elapsed = now.since(self.observed) as f64 / MEMORY_MS;
        let gain = 1.0 - (-elapsed).exp();
        self.kinds.observe(gain);
        self.observed = self.observed.max(now);
    }
}

/// Time that a request needs to be in time more often than not, in ms.
fn needed(service: f64) -> u64 {
    (NEEDED * service) as u64
}

/// The rank of a priority.
pub fn rank_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

fn closed(phase: Phase) -> Option<Reason> {
    match phase {
        Phase::Ready => None,
        Phase::Warming => Some(Reason::NotReady),
        Phase::Draining | Phase::Gone => Some(Reason::Draining),
    }
}

fn clamp(it: f64) -> u16 {
    it.round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// The text is not a valid [`Outlook`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "outlook {0:?} is not valid: use free/slots, then a wait and a hold time a rank; update both nodes"
)]
pub struct BadOutlook(pub String);

impl fmt::Display for Outlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.free, self.slots)?;
        let pairs = self.wait.iter().chain(&self.service);
        for it in pairs {
            write!(f, "/{it}")?;
        }
        Ok(())
    }
}

impl FromStr for Outlook {
    type Err = BadOutlook;

    fn from_str(text: &str) -> Result<Outlook, BadOutlook> {
        let bad = || BadOutlook(text.chars().take(80).collect());
        let parts: Result<Vec<u16>, _> = text.split('/').map(str::parse).collect();
        let parts = parts.map_err(|_| bad())?;
        let [free, slots, rest @ ..] = parts.as_slice() else {
            return Err(bad());
        };
        let (wait, service) = rest.split_at_checked(RANKS).ok_or_else(bad)?;
        Ok(Outlook {
            free: *free,
            slots: *slots,
            wait: wait.try_into().map_err(|_| bad())?,
            service: service.try_into().map_err(|_| bad())?,
        })
    }
}
