//! Admission control by priority and latency goal, for routes that set both.
//!
//! Waiting requests run by priority; within one, first those that can still reach their goal, earliest goal first, then
//! the late ones, earliest deadline first. A request that starts too late for its goal takes as long as one in time but is
//! worth less to its caller: first come, first served would answer everything late once more arrives than fits.
//!
//! Service times are averaged per kind of request: with one mean for all, long requests queue up to their goals and shut
//! out the short ones. A request that would wait too long is refused at once, and a lower priority gets at least one start
//! every [`STARVATION_MS`] while it waits.

use std::{collections::BTreeSet, fmt, str::FromStr};

use super::{
    Finish, Offer, Permit, Ticket, Wake,
    kinds::{Key, Kind, Kinds},
    pace::{Basis, Pace},
};
use crate::{
    clock::Ms,
    members::Phase,
    refusal::{Reason, Refusal},
    routing,
    standing::Rate,
};

/// Number of ranks; higher priority numbers belong to the last rank.
pub const RANKS: usize = 4;
/// Maximum time without a start for a rank with waiting requests while other ranks start some, in ms. With service times
/// of some hundred ms this leaves it a few in a hundred of the upstream.
pub const STARVATION_MS: u64 = 500;
/// Time left to the goal that a request needs to count as timely, as a multiple of the mean service time. With the mean
/// itself two of five requests would take too long, and an overloaded upstream starts nearly all of them at that point.
const TIMELY_FACTOR: f64 = 1.25;
/// Averaging time of the slots held by each kind, in ms.
const AVERAGING_MS: f64 = 1_000.0;
/// Divisor of the time left to the deadline that gives the maximum wait of a late request. A caller that is refused
/// later has no time left to retry.
const LATE_WAIT_DIVISOR: u64 = 16;
/// Minimum time left to the deadline with which a refused caller can retry, in mean service times: it has to receive the
/// refusal, wait for a slot and run. With less, a request waits as long as it can still be answered; most of these are
/// short calls of other requests, which fail with them.
const RETRY_FACTOR: f64 = 4.0;
/// Divisor of the time left to the goal that gives the maximum wait with [`WaitLimit::Short`]: many times what a hop to
/// another endpoint of the zone takes. Without any wait, the most urgent requests would pass by an endpoint whose next
/// free slot is theirs within some ms.
const SHORT_WAIT_DIVISOR: u64 = 12;
/// Least share of the rate limit that a rank gets beside more urgent ones.
const STARVED_SHARE: f64 = 0.125;
/// Interval of the check of waiting requests, in ms.
const REVIEW_INTERVAL_MS: u64 = 20;

/// A request offered for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedRequest {
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Time up to which the answer is in time.
    pub goal: Ms,
    /// Time from which the answer is of no use.
    pub deadline: Ms,
    /// Limit of the wait for a slot.
    pub queue: WaitLimit,
    /// Kind of the request, if the entry sent it.
    pub kind: Kind,
}

/// Limit of a request's wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitLimit {
    /// As long as the answer is of use.
    Full,
    /// A small part of the time left to the goal, as another endpoint may have a free slot.
    Short,
}

/// Expected wait and service time of a new request by rank; sent back with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Number of free slots.
    pub free: u16,
    /// Number of slots.
    pub slots: u16,
    /// Expected wait for a slot, in ms.
    pub wait: [u16; RANKS],
    /// Mean service time, in ms.
    pub service: [u16; RANKS],
    /// State of the host's link; nodes send it apart from the rest.
    pub link: LinkOutlook,
}

/// Expected time of large answers on a host's link; sent back with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkOutlook {
    /// Time until the answers promised before are through, in ms.
    pub pending: u16,
    /// Bandwidth for answers, in bytes per ms; zero if unknown, as with nodes that do not send it.
    pub rate: u32,
}

/// Admission control of one upstream by priority and goal.
#[derive(Debug)]
pub struct Ranks {
    phase: Phase,
    slots: usize,
    kinds: Kinds,
    pace: Pace,
    waiting: BTreeSet<Entry>,
    observed: Ms,
    /// Time at which each rank last started a request, or began to wait in an empty queue.
    progress: [Ms; RANKS],
    last_ticket: u64,
}

/// A waiting request. Ordered by rank, then by goal, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    rank: usize,
    timeliness: Timeliness,
    due: Ms,
    ticket: Ticket,
    deadline: Ms,
    kind: Key,
}

/// Result of the decision on a request that is not refused.
#[derive(Clone, Copy, Debug)]
enum Decision {
    /// Starts in a free slot.
    Slot(Entry),
    /// Waits behind other requests.
    Wait(Entry),
}

/// Whether a request can still reach its goal. Timely requests sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    Timely,
    Late,
}

impl Ranks {
    /// Creates the admission control of an upstream with `slots` slots, in [`Phase::Warming`].
    pub fn new(slots: u16) -> Ranks {
        Ranks {
            phase: Phase::Warming,
            slots: usize::from(slots.max(1)),
            kinds: Kinds::new(),
            pace: Pace::default(),
            waiting: BTreeSet::new(),
            observed: Ms(0),
            progress: [Ms(0); RANKS],
            last_ticket: 0,
        }
    }

    /// Runs, queues or refuses a request.
    pub fn offer(&mut self, now: Ms, request: RankedRequest) -> Offer {
        let entry = match self.decide(now, request) {
            Ok(Decision::Slot(it)) => return Offer::Run(self.start(now, it)),
            Ok(Decision::Wait(it)) => it,
            Err(refusal) => return Offer::Refuse(refusal),
        };
        let rank = entry.rank;
        let is_first = !self.waiting.iter().any(|it| it.rank == rank);
        if is_first && !self.has_next_turn(now, rank) {
            self.progress[rank] = now;
        }
        self.waiting.insert(entry);
        Offer::Wait(entry.ticket)
    }

    /// Returns the refusal that `offer` would give now. Used before a long body is read.
    pub fn check(&mut self, now: Ms, request: RankedRequest) -> Result<(), Refusal> {
        self.decide(now, request).map(drop)
    }

    /// Returns the expected time from now to the end of a request, in ms: its wait for a slot and its service time.
    pub fn expected_run(&mut self, now: Ms, request: RankedRequest) -> u64 {
        self.observe(now);
        let rank = rank_of(request.priority);
        let kind = self.kinds.key(now, request.kind, rank);
        let service = self.kinds.service(kind);
        let ahead = self.waiting.iter().filter(|it| it.rank <= rank);
        self.expected_wait(now, rank, service, ahead) + service as u64
    }

    /// Takes back a permit and starts waiting requests in the freed slot.
    pub fn done(&mut self, now: Ms, permit: Permit, finish: Finish, out: &mut Vec<Wake>) {
        self.observe(now);
        let took = match finish {
            Finish::Answered => Some(now.since(permit.started)),
            _ => None,
        };
        if finish == Finish::Unsent {
            self.pace.give_back(now);
        }
        self.kinds.ended(now, permit.kind, took);
        self.dispatch(now, out);
    }

    /// Removes a waiting request whose caller gave up; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let found = self.waiting.iter().find(|it| it.ticket == ticket).copied();
        found.is_some_and(|it| self.waiting.remove(&it))
    }

    /// Refuses unservable waiting requests and starts others. Call it at [`Ranks::due`].
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Wake>) {
        self.observe(now);
        self.refuse_unservable(now, out);
        self.dispatch(now, out);
    }

    /// Returns the time of the next [`Ranks::tick`], if any request waits.
    pub fn due(&self) -> Option<Ms> {
        (!self.waiting.is_empty()).then_some(self.observed + REVIEW_INTERVAL_MS)
    }

    /// Sets the upstream's phase. Any phase but [`Phase::Ready`] refuses all waiting requests at once.
    pub fn set_phase(&mut self, now: Ms, phase: Phase, out: &mut Vec<Wake>) {
        self.phase = phase;
        let Some(reason) = phase_reason(phase) else {
            return self.dispatch(now, out);
        };
        let waiting = std::mem::take(&mut self.waiting);
        out.extend(
            waiting
                .into_iter()
                .map(|it| Wake::Refuse(it.ticket, Refusal::new(reason))),
        );
    }

    /// Sets the number of slots that the upstream announced.
    pub fn set_slots(&mut self, now: Ms, slots: u16, out: &mut Vec<Wake>) {
        self.slots = usize::from(slots.max(1));
        self.dispatch(now, out);
    }

    /// Sets the rate limit of the upstream, as `basis` knows it.
    pub fn set_limit(&mut self, now: Ms, limit: Option<Rate>, basis: Basis, out: &mut Vec<Wake>) {
        self.pace.set(now, limit, basis);
        self.refuse_unservable(now, out);
        self.dispatch(now, out);
    }

    /// Returns the expected wait and service time of a new request by rank.
    pub fn outlook(&self) -> Outlook {
        let now = self.observed;
        let taken = self.running() + self.waiting.len();
        let free = self.slots.saturating_sub(taken) as f64;
        let starts = self.pace.free(now);
        let starts = starts.map(|it| (it - self.waiting.len() as f64).max(0.0));
        let mut outlook = Outlook {
            free: clamp(starts.map_or(free, |it| it.min(free))),
            slots: clamp(self.slots as f64),
            ..Outlook::default()
        };
        for rank in 0..RANKS {
            let ahead = self.waiting.iter().filter(|it| it.rank <= rank);
            let wait = self.expected_wait(now, rank, self.kinds.rank_service(rank), ahead);
            outlook.wait[rank] = clamp(wait as f64);
            outlook.service[rank] = clamp(self.kinds.rank_service(rank));
        }
        outlook
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.kinds.running()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    fn entry(&mut self, now: Ms, request: RankedRequest) -> Entry {
        self.last_ticket += 1;
        let rank = rank_of(request.priority);
        let kind = self.kinds.key(now, request.kind, rank);
        let mut entry = Entry {
            rank,
            timeliness: Timeliness::Timely,
            due: request.goal,
            ticket: Ticket(self.last_ticket),
            deadline: request.deadline,
            kind,
        };
        self.mark_late(now, &mut entry);
        entry
    }

    /// Marks an entry as late, which moves it behind the timely ones, if it can no longer reach its goal.
    fn mark_late(&self, now: Ms, entry: &mut Entry) {
        let required = required_time(self.kinds.service(entry.kind));
        if entry.timeliness == Timeliness::Timely && entry.due.since(now) < required {
            entry.timeliness = Timeliness::Late;
            entry.due = entry.deadline;
        }
    }

    /// Decides whether a request starts, waits or is refused.
    fn decide(&mut self, now: Ms, request: RankedRequest) -> Result<Decision, Refusal> {
        if let Some(reason) = phase_reason(self.phase) {
            return Err(Refusal::new(reason));
        }
        if request.deadline <= now {
            return Err(Refusal::new(Reason::Expired));
        }
        self.observe(now);
        let entry = self.entry(now, request);
        if self.can_start(now, &entry) {
            return Ok(Decision::Slot(entry));
        }
        let service = self.kinds.service(entry.kind);
        let ahead = self.waiting.range(..&entry);
        let wait = match self.has_next_turn(now, entry.rank) {
            true => self.pace.wait(now, 0.0),
            false => self.expected_wait(now, entry.rank, service, ahead),
        };
        let max_wait = self.max_wait(now, request, service);
        match wait > max_wait {
            true => Err(Refusal::after(Reason::Overloaded, wait - max_wait)),
            false => Ok(Decision::Wait(entry)),
        }
    }

    /// Returns whether a request may start and no waiting one goes first.
    fn can_start(&self, now: Ms, entry: &Entry) -> bool {
        self.has_room(now) && self.waiting.range(..entry).next().is_none()
    }

    /// Returns whether a slot is free and the rate limit leaves room for a start.
    fn has_room(&self, now: Ms) -> bool {
        let running = self.running();
        running < self.slots && self.pace.has_room(now, running)
    }

    /// Returns the expected wait of a request of `rank` and service time `service` behind the requests `ahead`, in ms:
    /// for a slot, or for its turn within the rate limit.
    fn expected_wait<'a>(
        &self,
        now: Ms,
        rank: usize,
        service: f64,
        ahead: impl Iterator<Item = &'a Entry> + Clone,
    ) -> u64 {
        let turn = self.turn_wait(now, rank, service, ahead.clone());
        match self.running() + ahead.clone().count() < self.slots {
            true => turn,
            false => turn.max(self.slot_wait(rank, service, ahead)),
        }
    }

    /// Returns the wait until the rate limit lets a request start, in ms. Requests that go first, waiting or still to
    /// arrive, take their part of the limit.
    fn turn_wait<'a>(
        &self,
        now: Ms,
        rank: usize,
        service: f64,
        ahead: impl Iterator<Item = &'a Entry>,
    ) -> u64 {
        let Some(rate) = self.pace.rate() else {
            return 0;
        };
        let wait = self.pace.wait(now, ahead.count() as f64);
        let goes_first = |other: usize, held: f64| goes_first(rank, service, other, held);
        let left = rate - self.kinds.start_rate(goes_first);
        (wait as f64 * rate / left.max(rate * STARVED_SHARE)) as u64
    }

    /// Returns the expected wait for a slot, in ms.
    ///
    /// All slots are taken. Waiting requests that go first get the next free slots, and those still to arrive hold
    /// their mean number of slots: requests of more urgent ranks, and much shorter ones of the same rank.
    fn slot_wait<'a>(
        &self,
        rank: usize,
        service: f64,
        ahead: impl Iterator<Item = &'a Entry>,
    ) -> u64 {
        let goes_first = |other: usize, held: f64| goes_first(rank, service, other, held);
        let reserved = self.kinds.mean_slots(goes_first);
        // Minimum of every rank: one start per STARVATION_MS.
        let mean = self.kinds.mean_service();
        let least = mean / STARVATION_MS as f64;
        let slots = (self.slots as f64 - reserved).max(least);
        let (mut urgent, mut own) = (0.0, mean);
        for it in ahead {
            let held = self.kinds.service(it.kind);
            match goes_first(it.rank, held) {
                true => urgent += held,
                false => own += held,
            }
        }
        (urgent / self.slots as f64 + own / slots) as u64
    }

    /// Returns the maximum wait of a request, in ms.
    fn max_wait(&self, now: Ms, request: RankedRequest, service: f64) -> u64 {
        let timely = request
            .goal
            .since(now)
            .saturating_sub(required_time(service));
        let left = request.deadline.since(now);
        let answerable = left.saturating_sub(service as u64);
        let late = match (left as f64) < RETRY_FACTOR * self.kinds.mean_service() {
            true => answerable,
            false => answerable.min(left / LATE_WAIT_DIVISOR),
        };
        match request.queue {
            WaitLimit::Full => timely.max(late),
            WaitLimit::Short => timely.min(request.goal.since(now) / SHORT_WAIT_DIVISOR),
        }
    }

    fn start(&mut self, now: Ms, entry: Entry) -> Permit {
        self.kinds.started(entry.kind);
        self.pace.take(now);
        self.progress[entry.rank] = now;
        Permit {
            class: routing::class_of(entry.rank as u8),
            kind: entry.kind,
            started: now,
        }
    }

    fn dispatch(&mut self, now: Ms, out: &mut Vec<Wake>) {
        while self.has_room(now) {
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

    /// Returns the request that runs next: the first of a starved rank, else the first in order.
    fn next(&self, now: Ms) -> Option<Entry> {
        let first = self.waiting.first()?;
        let longest = self.starvation_time();
        let starved = self
            .waiting
            .iter()
            .find(|it| it.rank > first.rank && now.since(self.progress[it.rank]) >= longest);
        Some(*starved.unwrap_or(first))
    }

    /// Returns whether the next turn within the rate limit is due to `rank`, of which none has started for long and none
    /// waits. Its expected wait behind more urgent ranks would refuse all of its requests, so that none could be starved.
    fn has_next_turn(&self, now: Ms, rank: usize) -> bool {
        self.pace.rate().is_some()
            && now.since(self.progress[rank]) >= self.starvation_time()
            && !self.waiting.iter().any(|it| it.rank == rank)
    }

    /// Returns the maximum time without a start for a rank with waiting requests, in ms. Within a small rate limit it is the
    /// time of several starts, or the least urgent rank would get most of them.
    fn starvation_time(&self) -> u64 {
        let share = self.pace.rate().map(|it| 1.0 / (it * STARVED_SHARE));
        STARVATION_MS.max(share.unwrap_or_default() as u64)
    }

    /// Marks waiting requests that became late and refuses those that can no longer be answered in time.
    fn refuse_unservable(&mut self, now: Ms, out: &mut Vec<Wake>) {
        let waiting = std::mem::take(&mut self.waiting);
        for mut entry in waiting {
            let service = self.kinds.service(entry.kind);
            self.mark_late(now, &mut entry);
            let turn = self.pace.wait(now, self.waiting.len() as f64);
            let left = entry.deadline.since(now);
            // Half the mean service time, as some requests are faster than the mean.
            let unservable = left <= turn + (service / 2.0) as u64;
            // Timely requests that arrive later take the turns of late ones; a caller that learns it soon can retry.
            let displaced = entry.timeliness == Timeliness::Late && turn > left / LATE_WAIT_DIVISOR;
            if unservable || displaced {
                let waiting = self.waiting.iter();
                let after = self.expected_wait(now, entry.rank, service, waiting);
                let refusal = Refusal::after(Reason::Overloaded, after);
                out.push(Wake::Refuse(entry.ticket, refusal));
                continue;
            }
            self.waiting.insert(entry);
        }
    }

    fn observe(&mut self, now: Ms) {
        let elapsed = now.since(self.observed) as f64 / AVERAGING_MS;
        let gain = 1.0 - (-elapsed).exp();
        self.kinds.observe(gain);
        self.observed = self.observed.max(now);
    }
}

/// Returns whether a request of rank `other` that holds its slot for `held` ms goes before one of `rank` and `service`: if
/// it is more urgent, or much shorter and of the same rank.
fn goes_first(rank: usize, service: f64, other: usize, held: f64) -> bool {
    other < rank || (other == rank && held * 2.0 < service)
}

/// Returns the time left to the goal that a request needs to count as timely, in ms.
fn required_time(service: f64) -> u64 {
    (TIMELY_FACTOR * service) as u64
}

/// Returns the rank of a priority.
pub fn rank_of(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

fn phase_reason(phase: Phase) -> Option<Reason> {
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
    "outlook {0:?} is not valid: use free/slots, then waits and service times by rank; update both nodes"
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
            link: LinkOutlook::default(),
        })
    }
}

/// The text is not a valid [`LinkOutlook`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("state of a link {0:?} is not valid: use pending/rate, such as 40/1137; update both nodes")]
pub struct BadLinkOutlook(pub String);

impl fmt::Display for LinkOutlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.pending, self.rate)
    }
}

impl FromStr for LinkOutlook {
    type Err = BadLinkOutlook;

    fn from_str(text: &str) -> Result<LinkOutlook, BadLinkOutlook> {
        let parse = || {
            let (pending, rate) = text.split_once('/')?;
            Some(LinkOutlook {
                pending: pending.parse().ok()?,
                rate: rate.parse().ok()?,
            })
        };
        parse().ok_or_else(|| BadLinkOutlook(text.chars().take(40).collect()))
    }
}
