//! Keeps the starts of requests within the rate limit that the upstream names: a token bucket.
//!
//! All requests for an upstream pass the one node beside it, so a count there holds for the whole fleet, however the
//! requests reach it, and costs no message.

use crate::{clock::Ms, standing::Rate};

/// Capacity of the bucket, as the time in which the limit fills it, in ms. Requests arrive in clusters; without it a part
/// of the limit would go unused.
const BURST_MS: f64 = 100.0;
/// Minimum capacity of the bucket, in requests.
const BURST_MIN: f64 = 2.0;
/// Lowest rate at which requests start, per ms: one in two seconds. The end of a limit shows only in answers, so that an
/// upstream that takes none would never be heard again without it.
const TRIAL_RATE: f64 = 0.5 / 1_000.0;

/// Token bucket of an upstream's starts; unlimited unless the upstream names a limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    bucket: Option<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens per ms.
    rate: f64,
    level: f64,
    filled: Ms,
    basis: Basis,
}

/// Who named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The upstream, in an answer.
    Answer,
    /// Another node, which may remember an older and much higher limit: until an answer names one, requests start one at a
    /// time.
    Memory,
}

impl Pace {
    /// Sets the limit. A new one begins without a token: the upstream has just had a request, and others may still run.
    pub(super) fn set(&mut self, now: Ms, limit: Option<Rate>, basis: Basis) {
        self.bucket = limit.map(|limit| {
            let rate = limit.per_ms().max(TRIAL_RATE);
            let level = self.bucket.map_or(0.0, |it| it.level(now));
            Bucket {
                rate,
                level: level.min(capacity(rate)),
                filled: now,
                basis,
            }
        });
    }

    /// Returns the tokens per ms; `None` without a limit.
    pub(super) fn rate(&self) -> Option<f64> {
        self.bucket.map(|it| it.rate)
    }

    /// Returns whether a request may start beside `running` others.
    pub(super) fn has_room(&self, now: Ms, running: usize) -> bool {
        self.bucket.is_none_or(|it| {
            let alone = it.basis == Basis::Answer || running == 0;
            alone && it.level(now) >= 1.0
        })
    }

    /// Returns the number of requests that may start at once; `None` without a limit.
    pub(super) fn free(&self, now: Ms) -> Option<f64> {
        self.bucket.map(|it| it.level(now).floor())
    }

    /// Spends a token for a start.
    pub(super) fn take(&mut self, now: Ms) {
        self.add(now, -1.0);
    }

    /// Returns the token of a start of which nothing was sent.
    pub(super) fn give_back(&mut self, now: Ms) {
        self.add(now, 1.0);
    }

    /// Returns the time until a request may start behind `ahead` others, in ms.
    pub(super) fn wait(&self, now: Ms, ahead: f64) -> u64 {
        let Some(it) = self.bucket else {
            return 0;
        };
        let missing = (ahead + 1.0 - it.level(now)).max(0.0);
        (missing / it.rate).ceil() as u64
    }

    fn add(&mut self, now: Ms, tokens: f64) {
        if let Some(it) = &mut self.bucket {
            it.level = (it.level(now) + tokens).min(capacity(it.rate));
            it.filled = it.filled.max(now);
        }
    }
}

impl Bucket {
    fn level(&self, now: Ms) -> f64 {
        let added = now.since(self.filled) as f64 * self.rate;
        (self.level + added).min(capacity(self.rate))
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_MS).max(BURST_MIN)
}
