//! Hot callers: a limit on the request rate of each caller, in fixed memory.
//!
//! A token bucket a caller, in a table of fixed size with a few places for each hash. The halving counters that
//! it was measured against live in the example `hot_callers`; `docs/design/hot-callers.md` has the figures.

use crate::{
    clock::Ms,
    refusal::{Reason, Refusal},
};

/// Sets of the table; a caller's hash selects one.
const SETS: usize = 1_024;
/// Callers that a set remembers.
const WAYS: usize = 4;
/// Time's worth of the limit that a bucket holds, in us.
const DEPTH: u64 = 1_000_000;

/// Whether a caller stays within its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It does.
    Admit,
    /// It does not.
    Refuse(Refusal),
}

/// Limits each caller to a rate.
#[derive(Debug)]
pub struct Limiter {
    buckets: Vec<Bucket>,
}

/// The bucket of one caller, kept as the moment at which it is full again, in us.
///
/// A bucket that is full again after a whole [`DEPTH`] is empty now.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    caller: u64,
    full: u64,
}

impl Default for Limiter {
    fn default() -> Limiter {
        Limiter {
            buckets: vec![Bucket::default(); SETS * WAYS],
        }
    }
}

impl Limiter {
    /// Counts a request of `caller`, a uniform hash, and decides on it.
    ///
    /// `limit` is in requests a second; zero means no limit.
    pub fn admit(&mut self, now: Ms, caller: u64, limit: u32) -> Verdict {
        if limit == 0 {
            return Verdict::Admit;
        }
        let now = now.0.saturating_mul(1_000);
        let cost = DEPTH / u64::from(limit);
        let bucket = self.bucket(now, caller);
        let full = bucket.full.max(now).saturating_add(cost);
        let lack = full - now;
        if lack > DEPTH.max(cost) {
            let after = (lack - DEPTH.max(cost)).div_ceil(1_000);
            return Verdict::Refuse(Refusal::after(Reason::Limited, after));
        }
        bucket.full = full;
        Verdict::Admit
    }

    /// The caller's bucket. A new caller takes the place of the fullest bucket of its set.
    ///
    /// Dropping the fullest forgets the least: a caller at its limit keeps its empty bucket, however many
    /// new names show up.
    fn bucket(&mut self, now: u64, caller: u64) -> &mut Bucket {
        let first = (caller as usize % SETS) * WAYS;
        let set = &mut self.buckets[first..first + WAYS];
        let found = set.iter().position(|it| it.caller == caller);
        let at = found.unwrap_or_else(|| {
            let fullest = (0..WAYS).min_by_key(|it| set[*it].full).unwrap_or(0);
            set[fullest] = Bucket { caller, full: now };
            fullest
        });
        &mut set[at]
    }
}
