//! Health of the upstream beside this node, from its own reports and from the results of requests.
//!
//! Reports can be late or wrong: lost requests override a ready report for a while, and late reports do not take down
//! an upstream that answers requests.

use crate::{clock::Ms, event::UpstreamEvent, members::Phase};

/// An observation of the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The upstream reported its phase.
    Report(Phase),
    /// The upstream answered a health check with something other than a phase.
    Unclear,
    /// The upstream did not answer a health check in time.
    Late,
    /// The connection was refused: nothing listens on its address.
    Refused,
    /// The upstream answered a request.
    Served,
    /// The connection broke while a request was in progress.
    Lost,
}

/// Health state of the upstream, as judged by the node.
#[derive(Clone, Debug)]
pub struct Health {
    phase: Phase,
    reported: Phase,
    /// Time of the last report or answered request.
    last_alive: Ms,
    /// Number of consecutive late reports.
    late_reports: u32,
    /// Number of consecutive lost requests.
    lost_requests: u32,
    /// Time before which a ready report is ignored.
    held_until: Ms,
    /// Duration of the next hold, in ms.
    next_hold: u64,
}

/// Number of consecutive late reports after which an upstream that answers no requests counts as not ready.
pub const LATE_MAX: u32 = 3;
/// Number of consecutive lost requests after which ready reports are ignored for a while.
pub const LOST_MAX: u32 = 3;
/// Time without a report or an answer after which an upstream counts as gone, in ms.
pub const GONE_MS: u64 = 30_000;
/// Time after an answered request during which late reports are ignored, in ms.
const SERVED_MS: u64 = 5_000;
/// First and longest time for which ready reports are ignored, in ms.
const HOLD_MS: (u64, u64) = (1_000, 30_000);

impl Health {
    /// Creates the state of an upstream that announced itself in `phase`.
    pub fn new(now: Ms, phase: Phase) -> Health {
        Health {
            phase,
            reported: phase,
            last_alive: now,
            late_reports: 0,
            lost_requests: 0,
            held_until: now,
            next_hold: HOLD_MS.0,
        }
    }

    /// Returns the phase that the node attributes to the upstream.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Applies one observation; returns the event for the other plug-ins if the phase changed.
    pub fn observe(&mut self, now: Ms, observation: Observation) -> Option<UpstreamEvent> {
        match observation {
            Observation::Report(phase) => self.report(now, phase),
            Observation::Unclear => self.report(now, self.reported),
            Observation::Served => self.served(now),
            Observation::Late => self.late_reports += 1,
            Observation::Lost => self.record_loss(now),
            Observation::Refused => self.suspend(now),
        }
        let phase = self.evaluate(now);
        if phase == self.phase {
            return None;
        }
        self.phase = phase;
        Some(match phase {
            Phase::Warming => UpstreamEvent::Warming,
            Phase::Ready => UpstreamEvent::Ready,
            Phase::Draining => UpstreamEvent::Draining,
            Phase::Gone => UpstreamEvent::Gone,
        })
    }

    fn report(&mut self, now: Ms, phase: Phase) {
        self.last_alive = now;
        self.late_reports = 0;
        self.reported = phase;
    }

    fn served(&mut self, now: Ms) {
        self.last_alive = now;
        self.lost_requests = 0;
        self.next_hold = HOLD_MS.0;
    }

    /// Counts a lost request; after [`LOST_MAX`] in a row, ready reports are ignored for a while, longer each time.
    fn record_loss(&mut self, now: Ms) {
        self.lost_requests += 1;
        if self.lost_requests >= LOST_MAX {
            self.lost_requests = 0;
            self.suspend(now);
        }
    }

    fn suspend(&mut self, now: Ms) {
        if now < self.held_until {
            return;
        }
        self.held_until = now + self.next_hold;
        self.next_hold = (2 * self.next_hold).min(HOLD_MS.1);
    }

    fn evaluate(&self, now: Ms) -> Phase {
        let silence = now.since(self.last_alive);
        if silence >= GONE_MS {
            return Phase::Gone;
        }
        let silent = self.late_reports >= LATE_MAX && silence >= SERVED_MS;
        match self.reported {
            Phase::Ready if now < self.held_until || silent => Phase::Warming,
            it => it,
        }
    }
}
