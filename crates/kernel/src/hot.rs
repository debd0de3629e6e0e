//! Rate limit per caller, in fixed memory.
//!
//! Token buckets in a set-associative table of fixed size. The example `hot_callers` compares it with halving counters.

use crate::{
    clock::Ms,
    refusal::{Reason, Refusal},
};

/// Number of sets in the table; a caller's hash selects one.
const SETS: usize = 1_024;
/// Number of buckets per set.
const WAYS: usize = 4;
/// Capacity of a bucket as the time in which it refills, in us.
const REFILL_US: u64 = 1_000_000;

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller is within its rate.
    Admit,
    /// The caller exceeds its rate.
    Refuse(Refusal),
}

/// Rate limiter for all callers.
#[derive(Debug)]
pub struct Limiter {
    buckets: Vec<Bucket>,
}

/// Token bucket of one caller, stored as the time at which it is full again.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    caller: u64,
    /// Time at which it is full, in us; empty if that is [`REFILL_US`] from now.
    full_at: u64,
}

impl Default for Limiter {
    fn default() -> Limiter {
        Limiter {
            buckets: vec![Bucket::default(); SETS * WAYS],
        }
    }
}

impl Limiter {
    /// Counts a request of `caller`, a uniform hash, and admits or refuses it.
    ///
    /// `limit` is in requests per second; zero means no limit.
    pub fn admit(&mut self, now: Ms, caller: u64, limit: u32) -> Verdict {
        if limit == 0 {
            return Verdict::Admit;
        }
        let now = now.0.saturating_mul(1_000);
        let cost = REFILL_US / u64::from(limit);
        let bucket = self.bucket(now, caller);
        let full_at = bucket.full_at.max(now).saturating_add(cost);
        let used = full_at - now;
        if used > REFILL_US.max(cost) {
            let after = (used - REFILL_US.max(cost)).div_ceil(1_000);
            return Verdict::Refuse(Refusal::after(Reason::Limited, after));
        }
        bucket.full_at = full_at;
        Verdict::Admit
    }

    /// Returns the caller's bucket. A new caller evicts the fullest bucket of its set, so that a caller at its limit
    /// can't reset its bucket by sending under many names.
    fn bucket(&mut self, now: u64, caller: u64) -> &mut Bucket {
        let first = (caller as usize % SETS) * WAYS;
        let set = &mut self.buckets[first..first + WAYS];
        let found = set.iter().position(|it| it.caller == caller);
        let idx = found.unwrap_or_else(|| {
            let fullest = (0..WAYS).min_by_key(|it| set[*it].full_at).unwrap_or(0);
            set[fullest] = Bucket {
                caller,
                full_at: now,
            };
            fullest
        });
        &mut set[idx]
    }
}
