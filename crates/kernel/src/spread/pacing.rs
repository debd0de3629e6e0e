//! Rate limit for bytes sent, averaged over a minute.

use crate::clock::Ms;

/// A token bucket that holds a minute's worth of its rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Bytes per second.
    rate: u64,
    /// Thousandths of a byte, so that short times at low rates are not rounded to zero. Negative after
    /// an overdraft.
    level: i64,
    refilled: Ms,
}

/// Time in seconds over which the rate is averaged.
const AVERAGE_S: u64 = 60;

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` bytes per second.
    pub fn new(rate: u64) -> TokenBucket {
        TokenBucket {
            rate,
            level: full(rate),
            refilled: Ms(0),
        }
    }

    /// Returns whether `bytes` may be sent now. A full bucket allows any number of bytes.
    pub fn allows(&mut self, now: Ms, bytes: usize) -> bool {
        self.refill(now);
        self.level >= thousandths(bytes).min(full(self.rate))
    }

    /// Takes `bytes` that were sent out of the bucket.
    pub fn spend(&mut self, now: Ms, bytes: usize) {
        self.refill(now);
        self.level = self.level.saturating_sub(thousandths(bytes));
    }

    fn refill(&mut self, now: Ms) {
        let gained = now.since(self.refilled).saturating_mul(self.rate);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(gained).min(full(self.rate));
        self.refilled = self.refilled.max(now);
    }
}

fn full(rate: u64) -> i64 {
    thousandths(usize::try_from(rate.saturating_mul(AVERAGE_S)).unwrap_or(usize::MAX))
}

fn thousandths(bytes: usize) -> i64 {
    i64::try_from(bytes).map_or(i64::MAX, |it| it.saturating_mul(1000))
}
