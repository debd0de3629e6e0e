//! Statistics that an entry keeps of one endpoint: failures, ejection, refusals, latency and load.

use crate::{
    admission::{Load, kinds::Kind},
    clock::Ms,
    document::Class,
    pick::Outcome,
    refusal::Reason,
};

/// Number of consecutive failures after which an endpoint is ejected.
const EJECT_FAILURES: u32 = 3;
/// First and longest ejection, in ms.
const EJECTION_MS: (u64, u64) = (1_000, 30_000);
/// Age from which a reported load is ignored, in ms.
const LOAD_MAX_AGE_MS: f64 = 1_000.0;
/// Half-life of the relative latency while it is not measured, in ms, so that a slow endpoint is tried again.
const LATENCY_HALF_LIFE_MS: f64 = 3_000.0;
/// Weight of a new sample in the relative latency.
const LATENCY_GAIN: f64 = 0.1;
/// Time after which a request without a recorded end no longer counts as in flight, in ms.
const LOST_MS: u64 = 30_000;
/// Smallest share of its work for an endpoint during warm-up.
const MIN_RAMP_SHARE: f64 = 0.1;
/// Longest hold after a refusal, in ms, whatever time the refusal states: its sender may be wrong.
const HOLD_MAX_MS: u64 = 1_000;
/// Hold after a refusal by an endpoint that is not ready or drains, in ms; by then its phase has spread.
const PHASE_HOLD_MS: u64 = 500;

/// Maximum share of ejected endpoints, in percent. A fault on this node's side makes all endpoints fail alike; without
/// this bound it would refuse all requests.
const EJECTED_MAX_PERCENT: usize = 50;

/// Returns whether one more endpoint may be ejected.
///
/// Without this bound, a fault on this node's side would eject all endpoints although they are healthy.
pub fn may_eject<'a>(now: Ms, all: impl ExactSizeIterator<Item = &'a EndpointStats>) -> bool {
    let count = all.len();
    let ejected = all.filter(|it| it.is_ejected(now)).count();
    (ejected + 1) * 100 <= count * EJECTED_MAX_PERCENT
}

/// Ejection state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not ejected.
    Open,
    /// Half-open after an ejection: one request at a time is sent.
    Probing,
    /// Not chosen.
    Ejected,
}

/// Scope of a refusal: the requests that a hold after a refusal applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests of one class.
    Class(Class),
    /// Requests of one kind, where entries send kinds. A refused long request must not hold back short ones.
    Kind(Kind),
}

impl Lane {
    /// Returns the lane of requests of `class` and `kind`.
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

/// Statistics of one endpoint at one entry.
#[derive(Debug, Default)]
pub struct EndpointStats {
    inflight: u32,
    last_sent: Ms,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Ms>,
    /// End of the hold for all requests.
    closed_until: Ms,
    /// Ends of the holds by lane.
    holds: Vec<(Lane, Ms)>,
    /// Time of the last sample and mean latency relative to all endpoints.
    latency: Option<(Ms, f64)>,
    load: Option<(Ms, Load)>,
    /// Start of the warm-up.
    started_at: Option<Ms>,
}

impl EndpointStats {
    /// Creates statistics of an endpoint without a warm-up.
    pub fn warm() -> EndpointStats {
        EndpointStats::default()
    }

    /// Creates statistics of an endpoint whose warm-up starts now.
    pub fn cold(now: Ms) -> EndpointStats {
        EndpointStats {
            started_at: Some(now),
            ..EndpointStats::default()
        }
    }

    /// Returns the time of the last request, zero if there was none.
    pub fn last_sent(&self) -> Ms {
        self.last_sent
    }

    pub fn started(&mut self, now: Ms) {
        self.last_sent = now;
        self.inflight += 1;
    }

    pub fn finished(&mut self, now: Ms, lane: Lane, outcome: Outcome, load: Option<Load>) {
        self.inflight = self.inflight.saturating_sub(1);
        if let Some(load) = load {
            self.load = Some((now, load));
        }
        match outcome {
            Outcome::Answered { .. } => self.reset_failures(),
            Outcome::Refused(refusal) => {
                self.reset_failures();
                match refusal.reason {
                    Reason::NotReady | Reason::Draining => {
                        self.closed_until = now + PHASE_HOLD_MS.max(refusal.after.min(HOLD_MAX_MS));
                    }
                    Reason::Overloaded | Reason::QueueFull | Reason::Shed | Reason::LinkFull => {
                        self.hold(now, lane, now + refusal.after.min(HOLD_MAX_MS));
                    }
                    _ => {}
                }
            }
            Outcome::Failed => self.failures += 1,
            Outcome::Cancelled => {}
        }
    }

    /// Holds all requests back until the endpoint's new phase has spread.
    pub fn close(&mut self, now: Ms) {
        self.closed_until = self.closed_until.max(now + PHASE_HOLD_MS);
    }

    /// Ejects the endpoint after too many consecutive failures, or one failure of a probe.
    pub fn eject(&mut self, now: Ms) {
        let probe_failed = self.ejections > 0 && self.failures > 0;
        if self.is_ejected(now) || (self.failures < EJECT_FAILURES && !probe_failed) {
            return;
        }
        let (first, longest) = EJECTION_MS;
        self.ejected_until = Some(now + (first << self.ejections.min(10)).min(longest));
        self.ejections += 1;
    }

    pub fn state(&self, now: Ms) -> State {
        match self.ejected_until {
            None => State::Open,
            Some(until) if until > now => State::Ejected,
            Some(_) => State::Probing,
        }
    }

    /// Returns whether a request of `lane` may be sent to the endpoint now.
    pub fn accepts(&self, now: Ms, lane: Lane) -> bool {
        let open = match self.state(now) {
            State::Open => true,
            State::Probing => !self.is_awaiting(now),
            State::Ejected => false,
        };
        open && self.hold_left(now, lane) == 0
    }

    pub fn is_ejected(&self, now: Ms) -> bool {
        self.state(now) == State::Ejected
    }

    /// Returns the time left of the hold for requests of `lane`, in ms.
    pub fn hold_left(&self, now: Ms, lane: Lane) -> u64 {
        let hold = self.holds.iter().find(|it| it.0 == lane);
        hold.map_or(self.closed_until, |it| it.1.max(self.closed_until))
            .since(now)
    }

    /// Returns whether an answer is still expected. A request without a recorded end must not block probes forever.
    pub fn is_awaiting(&self, now: Ms) -> bool {
        self.inflight > 0 && now.since(self.last_sent) < LOST_MS
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the mean latency relative to that of all endpoints; decays towards one while it is not measured.
    pub fn relative_latency(&self, now: Ms) -> f64 {
        let Some((at, latency)) = self.latency else {
            return 1.0;
        };
        let weight = 0.5f64.powf(now.since(at) as f64 / LATENCY_HALF_LIFE_MS);
        1.0 + weight * (latency - 1.0)
    }

    /// Records an answer that took `sample` times the mean latency.
    pub fn record_latency(&mut self, now: Ms, sample: f64) {
        let mean = self.relative_latency(now);
        self.latency = Some((now, mean + LATENCY_GAIN * (sample - mean)));
    }

    /// Returns the number of requests at the endpoint: those in flight from here, or the reported load if larger. The
    /// reported load loses weight with its age.
    pub fn load(&self, now: Ms) -> f64 {
        let own = f64::from(self.inflight);
        let Some((at, load)) = self.load else {
            return own;
        };
        let weight = (1.0 - now.since(at) as f64 / LOAD_MAX_AGE_MS).max(0.0);
        own.max(weight * (f64::from(load.running) + f64::from(load.waiting)))
    }

    /// Returns the share of its full work that the endpoint gets: rises from [`MIN_RAMP_SHARE`] to one over `ramp` ms.
    pub fn ramp_share(&self, now: Ms, ramp: u64) -> f64 {
        match self.started_at {
            Some(start) if now.since(start) < ramp => {
                (now.since(start) as f64 / ramp as f64).max(MIN_RAMP_SHARE)
            }
            _ => 1.0,
        }
    }

    fn hold(&mut self, now: Ms, lane: Lane, until: Ms) {
        self.holds.retain(|it| it.0 != lane && it.1 > now);
        self.holds.push((lane, until));
    }

    fn reset_failures(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }
}
