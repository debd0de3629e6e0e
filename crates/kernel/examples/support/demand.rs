//! Demand of callers at the entries of a fleet, and the windows in which it is judged.

use std::collections::VecDeque;

use laburnum_kernel::Ms;
use rand::Rng;

/// Interval of the simulation, in ms.
pub const STEP_MS: u64 = 10;
/// Length of the simulation, in ms.
pub const RUN_MS: u64 = 60_000;

/// How requests reach the entries.
#[derive(Clone, Copy, Debug)]
pub enum Pattern {
    /// Spread over all entries, at 0.6 of what is allowed.
    Even,
    /// All at one entry, another one every two seconds, at 0.6 of what is allowed.
    Moving,
    /// Spread over all entries, at a multiple of what is allowed.
    Hot,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Pattern; 3] = [Pattern::Even, Pattern::Moving, Pattern::Hot];
}

/// Demand of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// How it reaches the entries.
    pub pattern: Pattern,
    /// Number of entries.
    pub hosts: usize,
    /// What is allowed, in requests per second.
    pub rate: f64,
    /// Multiple of the rate that [`Pattern::Hot`] asks for.
    pub hot: f64,
}

impl Demand {
    /// Draws the number of requests that reach the entry `host` in the step that begins at `now`.
    pub fn arrivals(&self, rng: &mut impl Rng, now: Ms, host: usize) -> u64 {
        let expected = self.at(now, host) * STEP_MS as f64 / 1_000.0;
        let certain = expected as u64;
        certain + u64::from(rng.random_bool(expected - certain as f64))
    }

    /// Returns the requests per second at the entry `host`.
    fn at(&self, now: Ms, host: usize) -> f64 {
        match self.pattern {
            Pattern::Even => 0.6 * self.rate / self.hosts as f64,
            Pattern::Hot => self.hot * self.rate / self.hosts as f64,
            Pattern::Moving => {
                let chosen = (now.0 / 2_000 * 7) as usize % self.hosts;
                if host == chosen { 0.6 * self.rate } else { 0.0 }
            }
        }
    }
}

/// Returns the largest number of requests in any window of `window` ms.
pub fn busiest_window(ran: &VecDeque<Ms>, window: u64) -> usize {
    let (mut first, mut most) = (0, 0);
    for (last, at) in ran.iter().enumerate() {
        while at.since(ran[first]) >= window {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}
