//! Counts, goodput and latencies of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use laburnum_kernel::document::Class;
use serde::Serialize;

use super::judge::{Outcome, Verdict};

/// Outcome and times of one request, in microseconds from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Class of the request.
    pub class: Class,
    /// When the request was due.
    pub due: u64,
    /// When its answer was complete.
    pub done: u64,
    /// Deadline of its route, as a duration.
    pub deadline: u64,
    /// Outcome that the answer states.
    pub outcome: Outcome,
}

/// Goodput of the time from `begin` to `end`, and counts and latencies of the requests due from `begin` on. Times are
/// in microseconds from the start of the run.
#[derive(Debug)]
pub struct Tally {
    begin: u64,
    end: u64,
    in_time: u64,
    latencies: BTreeMap<&'static str, Histogram<u64>>,
    counts: Counts,
}

/// Numbers of requests due after the warm-up, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All requests.
    pub sent: u64,
    /// Run and answered within the deadline.
    pub in_time: u64,
    /// Run and answered after the deadline.
    pub late: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Of unknown outcome.
    pub unknown: u64,
    /// Without an answer.
    pub missing: u64,
}

/// Reported figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Goodput as a share of the upstreams' capacity; `None` if they have no service time.
    pub goodput_share: Option<f64>,
    /// Violations; all must be zero.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Retries per request sent.
    pub retry_share: f64,
    /// 99th percentile of each class's latency in ms, of requests that ran and were answered.
    pub class_p99_ms: BTreeMap<&'static str, f64>,
    /// Median of each class's latency in ms, of requests that ran and were answered.
    pub class_p50_ms: BTreeMap<&'static str, f64>,
    /// Interactive p99 minus that of the baseline in the same case, in ms.
    pub added_p99_ms: Option<f64>,
    /// All requests, including those before the measured time.
    pub requests: u64,
    /// Requests due after the warm-up, by outcome.
    pub counts: Counts,
}

/// Maximum recorded latency, in microseconds; longer ones are clamped.
const LATENCY_MAX: u64 = 120_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

impl Tally {
    /// Returns an empty tally of the time from `begin` to `end`.
    pub fn new(begin: u64, end: u64) -> Tally {
        Tally {
            begin,
            end,
            in_time: 0,
            latencies: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Adds one request.
    pub fn add(&mut self, sample: Sample) {
        let latency = sample.done.saturating_sub(sample.due);
        let in_time = sample.outcome == Outcome::Ran && latency <= sample.deadline;
        // Goodput counts requests completed in the measured time, even if due before it.
        if in_time && (self.begin..self.end).contains(&sample.done) {
            self.in_time += 1;
        }
        if sample.due < self.begin {
            return;
        }
        self.counts.sent += 1;
        match sample.outcome {
            Outcome::Ran => {
                if in_time {
                    self.counts.in_time += 1;
                } else {
                    self.counts.late += 1;
                }
                self.record_latency(sample.class, latency);
            }
            Outcome::NotRun => self.counts.refused += 1,
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::Missing => self.counts.missing += 1,
        }
    }

    /// Returns the answers within the deadline per second.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 * 1e6 / (self.end - self.begin) as f64
    }

    /// Returns the counts of requests due from `begin` on.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the `share` quantile of the latency in ms, of every class with requests that ran.
    pub fn quantiles(&self, share: f64) -> BTreeMap<&'static str, f64> {
        let value = |it: &Histogram<u64>| it.value_at_quantile(share) as f64 / 1e3;
        self.latencies
            .iter()
            .map(|(class, it)| (*class, value(it)))
            .collect()
    }

    fn record_latency(&mut self, class: Class, latency: u64) {
        let histogram = self.latencies.entry(class_name(class)).or_insert_with(|| {
            Histogram::new_with_max(LATENCY_MAX, DIGITS).expect("the bounds are valid")
        });
        histogram.saturating_record(latency);
    }
}

/// Returns the name of a class as in documents.
pub fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Exact => "exact",
        Class::Background => "background",
    }
}
