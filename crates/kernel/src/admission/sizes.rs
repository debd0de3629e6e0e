//! Sizes of answers by kind of request.

use super::{kinds::Kind, link::UNGATED_MAX_BYTES};
use crate::{clock::Ms, utils::evict};

/// Maximum number of kinds with known sizes.
const KINDS_MAX: usize = 32;
/// Least weight of a new sample: ten samples of another size make nine tenths of the mean.
const SIZE_GAIN: f64 = 0.2;
/// Time without a sample after which the mean may no longer hold, in ms.
const STALE_MS: u64 = 10_000;
/// Time after which a stale mean is measured again if the last attempt gave no sample, in ms.
const REMEASURE_MS: u64 = 1_000;

/// Mean answer size and mean deviation of each kind; the least recently used kinds are dropped.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    stats: Vec<SizeStats>,
}

/// Expected size of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Unknown, or up to [`UNGATED_MAX_BYTES`].
    Small,
    /// Larger.
    Large {
        /// Mean size, in bytes.
        mean: u64,
        /// Mean deviation from it, in bytes.
        deviation: u64,
    },
    /// Larger, by a mean in bytes, but the last sample is old; returned for one request at a time, which is to measure the
    /// size again.
    Stale(u64),
}

#[derive(Clone, Copy, Debug)]
struct SizeStats {
    kind: Kind,
    /// In bytes.
    mean: f64,
    /// Mean absolute difference from the mean, in bytes.
    deviation: f64,
    /// Number of samples, as far as it matters to the weight of the next one.
    samples: u32,
    last_used: Ms,
    /// Time from which the mean is to be measured again.
    stale_from: Ms,
}

impl Sizes {
    /// Returns the expected size of an answer to a request of `kind` that is about to run.
    pub fn expect(&mut self, now: Ms, kind: Kind) -> Expected {
        let Some(it) = self.stats.iter_mut().find(|it| it.kind == kind) else {
            return Expected::Small;
        };
        it.last_used = now;
        let bytes = it.mean as u64;
        if bytes <= UNGATED_MAX_BYTES {
            return Expected::Small;
        }
        if now < it.stale_from {
            return Expected::Large {
                mean: bytes,
                deviation: it.deviation as u64,
            };
        }
        it.stale_from = now + REMEASURE_MS;
        Expected::Stale(bytes)
    }

    /// Returns the mean size of the answers to requests of `kind` if it is large, in bytes.
    pub fn large(&self, kind: Kind) -> Option<f64> {
        let it = self.stats.iter().find(|it| it.kind == kind)?;
        Some(it.mean).filter(|it| *it as u64 > UNGATED_MAX_BYTES)
    }

    /// Records an answer of `bytes` to a request of `kind`. Nothing is learned of requests without a kind.
    pub fn record(&mut self, now: Ms, kind: Kind, bytes: u64) {
        if kind == Kind::default() {
            return;
        }
        let it = self.find_or_insert(now, kind);
        let sample = bytes as f64;
        it.samples = it.samples.saturating_add(1);
        let gain = (1.0 / f64::from(it.samples)).max(SIZE_GAIN);
        if it.samples > 1 {
            it.deviation += gain * ((sample - it.mean).abs() - it.deviation);
        }
        it.mean += gain * (sample - it.mean);
        it.last_used = now;
        it.stale_from = now + STALE_MS;
    }

    fn find_or_insert(&mut self, now: Ms, kind: Kind) -> &mut SizeStats {
        let found = self.stats.iter().position(|it| it.kind == kind);
        let idx = match found {
            Some(it) => it,
            None => {
                evict(&mut self.stats, KINDS_MAX, |it| it.last_used);
                self.stats.push(SizeStats {
                    kind,
                    mean: 0.0,
                    deviation: 0.0,
                    samples: 0,
                    last_used: now,
                    stale_from: now,
                });
                self.stats.len() - 1
            }
        };
        &mut self.stats[idx]
    }
}
