//! What an entry has itself seen of one endpoint.

use crate::{
    admission::{Load, kinds::Kind},
    clock::Ms,
    document::Class,
    pick::Outcome,
    refusal::Reason,
};

/// Failures in a row after which an endpoint is ejected.
const FAILURES: u32 = 3;
/// Shortest and longest ejection, in ms.
const EJECTION: (u64, u64) = (1_000, 30_000);
/// Time after which a load that was told counts for nothing, in ms.
const LOAD_AGE: f64 = 1_000.0;
/// Time in which a pace that is not measured again loses half, in ms, so that a slow endpoint is tried again.
const PACE_AGE: f64 = 3_000.0;
/// Share of a new sample in the pace.
const PACE_GAIN: f64 = 0.1;
/// Time after which a request whose end was not told is given up on, in ms.
const LOST: u64 = 30_000;
/// Smallest share of work of an endpoint that has just started.
const COLD: f64 = 0.1;
/// Longest time for which a refusal keeps work away, in ms; its sender may be wrong.
const HOLD_MAX: u64 = 1_000;
/// How long an endpoint that is not ready or leaves is left alone, in ms; by then the members tell it.
const HOLD_PHASE: u64 = 500;

/// Largest share of the endpoints that may be ejected at once, in percent.
const EJECTED_SHARE: usize = 50;

/// Whether one more ejection leaves enough endpoints.
///
/// A fault on this node's side makes all endpoints fail alike. Without a bound it would refuse all work
/// though every upstream is well.
pub fn may_eject<'a>(now: Ms, all: impl ExactSizeIterator<Item = &'a Experience>) -> bool {
    let count = all.len();
    let ejected = all.filter(|it| it.ejected(now)).count();
    (ejected + 1) * 100 <= count * EJECTED_SHARE
}

/// Whether an endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// As usual.
    Open,
    /// After an ejection: one request at a time.
    Probing,
    /// Not at all.
    Ejected,
}

/// Requests that refusals keep away together: what an endpoint has no room for says little about room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Those of one class.
    Class(Class),
    /// Those of one kind, where entries tell kinds. A refused petition of 110 ms would otherwise keep away calls of
    /// 22 ms, which have room, and fail the runs that make them.
    Kind(Kind),
}

impl Lane {
    /// The lane of requests of `class` and `kind`.
    pub fn of(class: Class, kind: Kind) -> Lane {
        match kind {
            Kind(0) => Lane::Class(class),
            it => Lane::Kind(it),
        }
    }
}

impl From<Class> for Lane {
    fn from(class: Class) -> Lane {
        Lane::Class(class)
    }
}

/// What an entry has itself seen of one endpoint.
#[derive(Debug, Default)]
pub struct Experience {
    inflight: u32,
    sent: Ms,
    failures: u32,
    ejections: u32,
    ejected: Option<Ms>,
    /// Until when it wants no work at all.
    closed: Ms,
    /// Until when it wants no work of a lane; few at a time.
    held: Vec<(Lane, Ms)>,
    pace: Option<(Ms, f64)>,
    load: Option<(Ms, Load)>,
    born: Option<Ms>,
}

impl Experience {
    /// Of an endpoint that ran before this entry knew it.
    pub fn warm() -> Experience {
        Experience::default()
    }

    /// Of an endpoint that has just started.
    pub fn cold(now: Ms) -> Experience {
        Experience {
            born: Some(now),
            ..Experience::default()
        }
    }

    pub fn started(&mut self, now: Ms) {
        self.sent = now;
        self.inflight += 1;
    }

    pub fn finished(&mut self, now: Ms, lane: Lane, outcome: Outcome, load: Option<Load>) {
        self.inflight = self.inflight.saturating_sub(1);
        if let Some(load) = load {
            self.load = Some((now, load));
        }
        match outcome {
            Outcome::Answered { .. } => self.recover(),
            Outcome::Refused(refusal) => {
                self.recover();
                match refusal.reason {
                    Reason::NotReady | Reason::Draining => {
                        self.closed = now + HOLD_PHASE.max(refusal.after.min(HOLD_MAX));
                    }
                    Reason::Overloaded | Reason::QueueFull | Reason::Shed => {
                        self.hold(now, lane, now + refusal.after.min(HOLD_MAX));
                    }
                    _ => {}
                }
            }
            Outcome::Failed => self.failures += 1,
            Outcome::Cancelled => {}
        }
    }

    /// Ejects the endpoint if it failed too often in a row.
    pub fn eject(&mut self, now: Ms) {
        let again = self.ejections > 0 && self.failures > 0;
        if self.ejected(now) || (self.failures < FAILURES && !again) {
            return;
        }
        let (first, longest) = EJECTION;
        self.ejected = Some(now + (first << self.ejections.min(10)).min(longest));
        self.ejections += 1;
    }

    pub fn state(&self, now: Ms) -> State {
        match self.ejected {
            None => State::Open,
            Some(until) if until > now => State::Ejected,
            Some(_) => State::Probing,
        }
    }

    /// Whether a request of `lane` may be sent there now.
    pub fn takes(&self, now: Ms, lane: Lane) -> bool {
        let open = match self.state(now) {
            State::Open => true,
            State::Probing => !self.awaited(now),
            State::Ejected => false,
        };
        open && self.held(now, lane) == 0
    }

    pub fn ejected(&self, now: Ms) -> bool {
        self.state(now) == State::Ejected
    }

    /// Time for which the endpoint wants no work of `lane`, in ms.
    pub fn held(&self, now: Ms, lane: Lane) -> u64 {
        let held = self.held.iter().find(|it| it.0 == lane);
        held.map_or(self.closed, |it| it.1.max(self.closed))
            .since(now)
    }

    /// Whether an answer is still expected. A request whose end was never told must not stop all probes.
    pub fn awaited(&self, now: Ms) -> bool {
        self.inflight > 0 && now.since(self.sent) < LOST
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Mean latency relative to that of all endpoints; returns towards one while it is not measured.
    pub fn pace(&self, now: Ms) -> f64 {
        let Some((at, pace)) = self.pace else {
            return 1.0;
        };
        let fresh = 0.5f64.powf(now.since(at) as f64 / PACE_AGE);
        1.0 + fresh * (pace - 1.0)
    }

    /// Counts an answer that took `sample` times the mean latency.
    pub fn measure(&mut self, now: Ms, sample: f64) {
        let mean = self.pace(now);
        self.pace = Some((now, mean + PACE_GAIN * (sample - mean)));
    }

    /// Requests at the endpoint: the own ones, or those that it told of lately if they are more.
    pub fn load(&self, now: Ms) -> f64 {
        let own = f64::from(self.inflight);
        let Some((at, load)) = self.load else {
            return own;
        };
        let fresh = (1.0 - now.since(at) as f64 / LOAD_AGE).max(0.0);
        own.max(fresh * (f64::from(load.running) + f64::from(load.waiting)))
    }

    /// Share of its full work that the endpoint is given, from [`COLD`] to one over `ramp` ms.
    pub fn warmth(&self, now: Ms, ramp: u64) -> f64 {
        match self.born {
            Some(born) if now.since(born) < ramp => {
                (now.since(born) as f64 / ramp as f64).max(COLD)
            }
            _ => 1.0,
        }
    }

    fn hold(&mut self, now: Ms, lane: Lane, until: Ms) {
        self.held.retain(|it| it.0 != lane && it.1 > now);
        self.held.push((lane, until));
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected = None;
    }
}
