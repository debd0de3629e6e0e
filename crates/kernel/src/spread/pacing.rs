//! Pacing: how many control bytes may leave, averaged over a minute.

use crate::clock::Ms;

/// A token bucket that holds a minute's worth of its rate.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: u64,
    /// Thousandths of a byte, so that short times at low rates are not rounded away; below zero in debt.
    level: i64,
    at: Ms,
}

/// Seconds over which the rate is an average.
const AVERAGE_S: u64 = 60;

impl Bucket {
    /// A full bucket that refills at `rate` bytes a second.
    pub fn new(rate: u64) -> Bucket {
        Bucket {
            rate,
            level: full(rate),
            at: Ms(0),
        }
    }

    /// Whether `bytes` may leave now. More than a full bucket may leave when it is full.
    pub fn allows(&mut self, now: Ms, bytes: usize) -> bool {
        self.refill(now);
        self.level >= thousandths(bytes).min(full(self.rate))
    }

    /// Counts `bytes` that left.
    pub fn spend(&mut self, now: Ms, bytes: usize) {
        self.refill(now);
        self.level = self.level.saturating_sub(thousandths(bytes));
    }

    fn refill(&mut self, now: Ms) {
        let gained = now.since(self.at).saturating_mul(self.rate);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(gained).min(full(self.rate));
        self.at = self.at.max(now);
    }
}

fn full(rate: u64) -> i64 {
    thousandths(usize::try_from(rate.saturating_mul(AVERAGE_S)).unwrap_or(usize::MAX))
}

fn thousandths(bytes: usize) -> i64 {
    i64::try_from(bytes).map_or(i64::MAX, |it| it.saturating_mul(1000))
}
