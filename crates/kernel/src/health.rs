//! Health of the upstream beside this node: what it reports against what the node sees for itself.
//!
//! Reports can lag or mislead. So a report alone makes an upstream ready only while the node's own requests
//! agree, and a late report alone never takes down an upstream that answers requests.

use crate::{clock::Ms, event::UpstreamEvent, members::Phase};

/// A sign of life, or the lack of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The upstream reported its phase.
    Report(Phase),
    /// It answered the question for its health with something else than a phase.
    Unclear,
    /// It did not answer the question for its health in time.
    Late,
    /// Nothing listens on its address.
    Refused,
    /// It answered a request.
    Served,
    /// A connection broke while a request was in progress.
    Lost,
}

/// What the node holds the upstream for.
#[derive(Clone, Debug)]
pub struct Health {
    phase: Phase,
    reported: Phase,
    /// Last time that the upstream showed life.
    alive: Ms,
    /// Late reports in a row.
    late: u32,
    /// Requests lost in a row.
    lost: u32,
    /// Not ready before this time, whatever is reported.
    held: Ms,
    /// Length of the next hold, in ms.
    hold: u64,
}

/// Late reports in a row after which an upstream that serves nothing counts as not ready.
pub const LATE_MAX: u32 = 3;
/// Lost requests in a row after which reports are not believed for a while.
pub const LOST_MAX: u32 = 3;
/// An upstream without any sign of life for so long counts as gone, in ms.
pub const GONE_MS: u64 = 30_000;
/// An upstream that served a request so lately is alive, however late its reports, in ms.
const SERVED_MS: u64 = 5_000;
/// First and longest time for which reports are not believed, in ms.
const HOLD: (u64, u64) = (1_000, 30_000);

impl Health {
    /// An upstream that announced itself in `phase`.
    pub fn new(now: Ms, phase: Phase) -> Health {
        Health {
            phase,
            reported: phase,
            alive: now,
            late: 0,
            lost: 0,
            held: now,
            hold: HOLD.0,
        }
    }

    /// What the node holds it for.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes one sign; returns the event that the other parts must hear of, if the phase changed.
    pub fn observe(&mut self, now: Ms, sign: Sign) -> Option<UpstreamEvent> {
        match sign {
            Sign::Report(phase) => self.report(now, phase),
            Sign::Unclear => self.report(now, self.reported),
            Sign::Served => self.served(now),
            Sign::Late => self.late += 1,
            Sign::Lost => self.lose(now),
            Sign::Refused => self.suspend(now),
        }
        let phase = self.judge(now);
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
        self.alive = now;
        self.late = 0;
        self.reported = phase;
    }

    fn served(&mut self, now: Ms) {
        self.alive = now;
        self.lost = 0;
        self.hold = HOLD.0;
    }

    /// An upstream that reports to be ready and loses every request would draw work for ever: after a few
    /// losses its reports are not believed for a while, longer each time.
    fn lose(&mut self, now: Ms) {
        self.lost += 1;
        if self.lost >= LOST_MAX {
            self.lost = 0;
            self.suspend(now);
        }
    }

    fn suspend(&mut self, now: Ms) {
        if now < self.held {
            return;
        }
        self.held = now + self.hold;
        self.hold = (2 * self.hold).min(HOLD.1);
    }

    fn judge(&self, now: Ms) -> Phase {
        let quiet = now.since(self.alive);
        if quiet >= GONE_MS {
            return Phase::Gone;
        }
        let silent = self.late >= LATE_MAX && quiet >= SERVED_MS;
        match self.reported {
            Phase::Ready if now < self.held || silent => Phase::Warming,
            it => it,
        }
    }
}
