//! Rate of writes to a bucket's row.

use rand::Rng;

use crate::once::WRITE_INTERVAL_MS;

/// Maximum time between two writes of a contended row, in ms.
const WRITE_INTERVAL_MAX_MS: u64 = 800;

/// Time between two writes, in ms. It doubles with each conflict or throttled write and shrinks with each
/// success.
///
/// A bucket has several owners while the nodes' views differ or regions are partitioned. An owner with
/// conflicting writes waits longer, with jitter, and reads the row right before it writes; otherwise most writes
/// would conflict and use up the table's rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace(u64);

impl Default for Pace {
    fn default() -> Pace {
        Pace(WRITE_INTERVAL_MS)
    }
}

impl Pace {
    /// Returns the pace after a conflict or a throttled write.
    pub(super) fn slower(self) -> Pace {
        Pace((self.0 * 2).min(WRITE_INTERVAL_MAX_MS))
    }

    /// Returns the pace after a successful write.
    pub(super) fn faster(self) -> Pace {
        Pace((self.0 - self.0 / 8).max(WRITE_INTERVAL_MS))
    }

    pub(super) fn contended(self) -> Contended {
        match self.0 > WRITE_INTERVAL_MS {
            true => Contended::Yes,
            false => Contended::No,
        }
    }

    /// Returns the time until the next write, in ms.
    pub(super) fn wait(self, rng: &mut impl Rng) -> u64 {
        match self.contended() {
            Contended::Yes => rng.random_range(self.0 / 2..self.0 * 3 / 2),
            Contended::No => self.0,
        }
    }
}

/// Whether recent writes conflicted or were throttled, mostly because other nodes write the same row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contended {
    Yes,
    No,
}
