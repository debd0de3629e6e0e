//! How often a bucket's row is written.

use rand::Rng;

use crate::once::PACE_MS;

/// The longest time between two writes of a row whose writes collide, in ms.
const PACE_MAX_MS: u64 = 800;

/// Time between two writes, in ms. It doubles with each collision or throttled write and shrinks with each
/// success.
///
/// While views differ, or regions have lost each other, a bucket has several owners. At full pace each, with
/// the row as they wrote it last, nearly every write would collide and the table's rate would go into
/// collisions. So an owner that met one waits longer, at random, and reads the row right before it writes:
/// only writes within one round trip of each other still collide, and the batches grow instead.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace(u64);

impl Default for Pace {
    fn default() -> Pace {
        Pace(PACE_MS)
    }
}

impl Pace {
    pub(super) fn slower(self) -> Pace {
        Pace((self.0 * 2).min(PACE_MAX_MS))
    }

    pub(super) fn faster(self) -> Pace {
        Pace((self.0 - self.0 / 8).max(PACE_MS))
    }

    pub(super) fn contended(self) -> Contended {
        match self.0 > PACE_MS {
            true => Contended::Yes,
            false => Contended::No,
        }
    }

    /// Time until the next write.
    pub(super) fn wait(self, rng: &mut impl Rng) -> u64 {
        match self.contended() {
            Contended::Yes => rng.random_range(self.0 / 2..self.0 * 3 / 2),
            Contended::No => self.0,
        }
    }
}

/// Whether other nodes write the row too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contended {
    Yes,
    No,
}
