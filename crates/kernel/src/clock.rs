//! Points in time, in milliseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the Unix epoch by the driver's clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ms(pub u64);

impl Ms {
    /// Returns the milliseconds from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Ms) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Sub<u64> for Ms {
    type Output = Ms;

    fn sub(self, millis: u64) -> Ms {
        Ms(self.0.saturating_sub(millis))
    }
}

impl Add<u64> for Ms {
    type Output = Ms;

    fn add(self, millis: u64) -> Ms {
        Ms(self.0.saturating_add(millis))
    }
}
