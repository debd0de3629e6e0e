//! Measurements of a simulation.

/// Measurements after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub offered: [u64; 3],
    /// Number of answers in time.
    pub good: [u64; 3],
    /// Latency of answers in time, in us.
    pub latency: [Vec<u64>; 3],
    /// Time until the caller of a request without an answer in time got its result, in us.
    pub given_up: Vec<u64>,
    /// Work of answers in time, in us of an ordinary slot without contention.
    pub useful: f64,
    /// Maximum work of all upstreams, in the same unit.
    pub capacity: f64,
    /// Number of attempts sent to an owner or upstream.
    pub attempts: u64,
    /// Number of requests with at least one attempt.
    pub reached: u64,
}

impl Report {
    /// Returns the share of the capacity used for answers in time.
    pub fn goodput(&self) -> f64 {
        self.useful / self.capacity
    }

    /// Returns the number of retries relative to the requests that were sent.
    pub fn retries(&self) -> f64 {
        (self.attempts - self.reached) as f64 / self.reached.max(1) as f64
    }
}

/// Returns the quantile `share` of `values`, in ms.
pub fn quantile(values: &[u64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let idx = (sorted.len() as f64 * share) as usize;
    sorted
        .get(idx.min(sorted.len().saturating_sub(1)))
        .map_or(f64::NAN, |it| *it as f64 / 1_000.0)
}
