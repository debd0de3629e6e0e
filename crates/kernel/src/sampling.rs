//! Rate limit for the log lines of requests.
//!
//! Failures and successes have separate limits. Each line that is written states how many of its kind were omitted
//! since the previous one.

use crate::clock::Ms;

/// Maximum number of lines per second for requests that were not served.
pub const FAILURES_MAX: u32 = 40;
/// Maximum number of lines per second for requests that were served.
pub const SUCCESSES_MAX: u32 = 2;
/// Length of a window, in ms.
const WINDOW_MS: u64 = 1_000;

/// Kind of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request was not served.
    Failure,
    /// The request was served.
    Success,
}

/// Decision on a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written; `omitted` lines of its kind were left out since the last one.
    Write { omitted: u32 },
    /// The line is omitted.
    Omit,
}

/// Rate limiter for the lines of both kinds.
#[derive(Debug, Default)]
pub struct Sampler {
    failures: Window,
    successes: Window,
}

#[derive(Debug, Default)]
struct Window {
    start: Ms,
    written: u32,
    omitted: u32,
}

impl Sampler {
    /// Decides whether one line is written.
    pub fn admit(&mut self, now: Ms, kind: Kind) -> Verdict {
        match kind {
            Kind::Failure => self.failures.admit(now, FAILURES_MAX),
            Kind::Success => self.successes.admit(now, SUCCESSES_MAX),
        }
    }
}

impl Window {
    fn admit(&mut self, now: Ms, max: u32) -> Verdict {
        if now.since(self.start) >= WINDOW_MS {
            self.start = now;
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
