//! What a run measured.

/// What was measured after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub offered: [u64; 3],
    pub good: [u64; 3],
    /// Latency of good answers, in us.
    pub latency: [Vec<u64>; 3],
    /// Time until a request that was not answered well was told so, in us.
    pub given_up: Vec<u64>,
    /// Work in good answers, in us of an uncrowded, ordinary slot.
    pub useful: f64,
    /// Work that the upstreams can do at best, in the same unit.
    pub capacity: f64,
    /// Attempts that reached an owner or upstream.
    pub attempts: u64,
    /// Requests that reached one at least once.
    pub reached: u64,
}

impl Report {
    /// Share of the capacity that went into answers in time.
    pub fn goodput(&self) -> f64 {
        self.useful / self.capacity
    }

    /// Attempts beyond the first as a share of the requests that were sent at all.
    pub fn retries(&self) -> f64 {
        (self.attempts - self.reached) as f64 / self.reached.max(1) as f64
    }
}

/// The value below which `share` of `values` lie, in ms.
pub fn quantile(values: &[u64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * share) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .map_or(f64::NAN, |it| *it as f64 / 1_000.0)
}
