//! Which log lines on requests are written, when there are more than anybody reads.
//!
//! Under overload thousands of requests a second are refused; a line for each would take more time than the
//! refusal. Failures go first, successes are sampled, both are bounded by a rate, and each line written tells how
//! many of its kind were left out since the one before.

use crate::clock::Ms;

/// Most lines a second on requests that were not served: about a fortieth of a core at some 40 us a line.
pub const FAILURES_MAX: u32 = 40;
/// Most lines a second on requests that were served: enough to see what is usual.
pub const SUCCESSES_MAX: u32 = 2;
/// Length of a window, in ms.
const WINDOW_MS: u64 = 1_000;

/// Kinds of lines, each with a rate of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request was not served.
    Failure,
    /// It was.
    Success,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Yes; so many of its kind were left out since the last one that was.
    Write { omitted: u32 },
    /// No.
    Omit,
}

/// Bounds the lines of both kinds.
#[derive(Debug, Default)]
pub struct Sampler {
    failures: Window,
    successes: Window,
}

#[derive(Debug, Default)]
struct Window {
    since: Ms,
    written: u32,
    omitted: u32,
}

impl Sampler {
    /// Decides on one line.
    pub fn admit(&mut self, now: Ms, kind: Kind) -> Verdict {
        match kind {
            Kind::Failure => self.failures.admit(now, FAILURES_MAX),
            Kind::Success => self.successes.admit(now, SUCCESSES_MAX),
        }
    }
}

impl Window {
    fn admit(&mut self, now: Ms, max: u32) -> Verdict {
        if now.since(self.since) >= WINDOW_MS {
            self.since = now;
            self.written = 0;
        }
        if self.written >= max {
            self.omitted += 1;
            return Verdict::Omit;
        }
        self.written += 1;
        Verdict::Write {
            omitted: std::mem::take(&mut self.omitted),
        }
    }
}
