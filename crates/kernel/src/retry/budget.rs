//! Retry budgets: how many retries an entry may send to one service.

use rand::Rng;

use crate::clock::Ms;

/// Cost of one retry in tokens, so that a success earns its percentage in whole tokens.
const RETRY_COST: f64 = 100.0;
/// Maximum number of tokens of a budget that grows with successes.
const CAP: f64 = 10.0 * RETRY_COST;
/// Interval at which a budget that grows with successes is refilled to at least one retry, in ms.
const REFILL_MS: u64 = 2_000;
/// Share of the bounded ratio that the entries use. Calls of a request that runs twice arrive as retries too, unseen by
/// the budget of the service that they go to.
const RATIO_SHARE: f64 = 0.75;
/// Share of the bounded extra that refills the budgets over a window. The other half is the most that they hold together when
/// it begins.
const EXTRA_SHARE: f64 = 0.5;

/// Bound on the retries that all nodes together send to one service: in any window at most `ratio` times its requests and
/// `extra`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window, in ms.
    pub window: u64,
    /// Retries per window besides.
    pub extra: f64,
}

/// Retry budget of one service at one entry: a token bucket.
#[derive(Clone, Debug)]
pub struct Budget {
    growth: Growth,
    tokens: f64,
    refilled: Ms,
}

/// What fills a budget.
#[derive(Clone, Copy, Debug)]
enum Growth {
    /// Successes: tokens for each.
    Successes { tokens: f64 },
    /// Requests, within a bound that all of the entries keep together. When an upstream sheds most of what it gets, successes
    /// are few just when retries are needed.
    Requests {
        bound: Bound,
        entries: Entries,
        /// Time at which there were as many entries last.
        counted: Ms,
    },
}

/// Entries that share a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entries {
    /// Not known: this process has not found the fleet yet.
    Unknown,
    /// This many, this one included.
    Count(usize),
}

impl Entries {
    /// Returns the share of one entry in `whole`.
    fn share(self, whole: f64) -> f64 {
        match self {
            // The whole, taken by each process that knows only itself, would be many times the bound.
            Entries::Unknown => 0.0,
            Entries::Count(it) => whole / it.max(1) as f64,
        }
    }

    /// Returns whether a budget that had `before` entries takes this number at once. A smaller number counts later: entries
    /// that are only out of sight hold their shares.
    fn counts_at_once(self, before: Entries) -> bool {
        match (before, self) {
            (Entries::Count(before), Entries::Count(now)) => now >= before,
            (Entries::Unknown, _) | (_, Entries::Unknown) => true,
        }
    }
}

impl Budget {
    /// Creates a budget of `percent` retries per hundred successes. It starts with one retry unless `percent` is zero.
    pub fn new(now: Ms, percent: u32) -> Budget {
        let tokens = f64::from(percent);
        Budget {
            growth: Growth::Successes { tokens },
            tokens: if percent > 0 { RETRY_COST } else { 0.0 },
            refilled: now,
        }
    }

    /// Creates an empty budget with this entry's share of `bound`, as one of `entries`.
    pub fn bounded(now: Ms, bound: Bound, entries: Entries) -> Budget {
        Budget {
            growth: Growth::Requests {
                bound,
                entries,
                counted: now,
            },
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Sets the number of retries per hundred successes, for a budget that grows with them.
    pub fn set_percent(&mut self, percent: u32) {
        if let Growth::Successes { tokens } = &mut self.growth {
            *tokens = f64::from(percent);
        }
    }

    /// Sets the number of entries that share the bound, for a budget that has one. A smaller number counts after a window.
    pub fn set_entries(&mut self, now: Ms, count: Entries) {
        self.refill(now);
        if let Growth::Requests {
            bound,
            entries,
            counted,
        } = &mut self.growth
            && (count.counts_at_once(*entries) || now.since(*counted) > bound.window)
        {
            (*entries, *counted) = (count, now);
        }
    }

    /// Records a request, before its first attempt.
    pub fn requested(&mut self) {
        if let Growth::Requests { bound, .. } = self.growth {
            self.add(bound.ratio * RATIO_SHARE * RETRY_COST);
        }
    }

    /// Records a success.
    pub fn success(&mut self) {
        if let Growth::Successes { tokens } = self.growth {
            self.add(tokens);
        }
    }

    /// Spends one retry, if there is one; returns whether it did.
    ///
    /// Where the share of an entry is less than a retry, a part of one is a chance: if each entry could save up a whole one,
    /// all of them together would pass the bound.
    pub(super) fn spend(&mut self, now: Ms, rng: &mut impl Rng) -> bool {
        self.refill(now);
        if self.tokens >= RETRY_COST {
            self.tokens -= RETRY_COST;
            return true;
        }
        match self.growth {
            Growth::Successes { .. } => false,
            Growth::Requests { .. } => {
                let chance = std::mem::take(&mut self.tokens) / RETRY_COST;
                rng.random::<f64>() < chance
            }
        }
    }

    /// Adds what accrues with time, so that services with little traffic get retries too.
    fn refill(&mut self, now: Ms) {
        let elapsed = now.since(self.refilled);
        match self.growth {
            Growth::Successes { tokens } if elapsed >= REFILL_MS => {
                self.refilled = now;
                if tokens > 0.0 {
                    self.tokens = self.tokens.max(RETRY_COST);
                }
            }
            Growth::Successes { .. } => {}
            Growth::Requests { bound, entries, .. } => {
                self.refilled = now;
                let share = elapsed as f64 / bound.window.max(1) as f64;
                self.add(entries.share(bound.extra * EXTRA_SHARE * RETRY_COST) * share);
            }
        }
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.cap());
    }

    fn cap(&self) -> f64 {
        match self.growth {
            Growth::Successes { .. } => CAP,
            Growth::Requests { bound, entries, .. } => {
                entries.share(bound.extra * (1.0 - EXTRA_SHARE) * RETRY_COST)
            }
        }
    }
}
