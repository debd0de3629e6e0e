//! Figures of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use laburnum_kernel::document::Class;
use serde::Serialize;

use super::judge::{Outcome, Verdict};

/// What became of one request, with its times in microseconds from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Its class.
    pub class: Class,
    /// When it was due.
    pub due: u64,
    /// When its answer was whole.
    pub done: u64,
    /// Its route's deadline.
    pub deadline: u64,
    /// What the answer says.
    pub outcome: Outcome,
}

/// Counts and latencies from `begin` on, in microseconds from the start of the run.
#[derive(Debug)]
pub struct Tally {
    begin: u64,
    end: u64,
    useful: u64,
    latencies: BTreeMap<&'static str, Histogram<u64>>,
    counts: Counts,
}

/// Requests that were due in the measured time, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All of them.
    pub sent: u64,
    /// Answered within the deadline.
    pub in_time: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Perhaps run.
    pub unknown: u64,
    /// Without any answer.
    pub missing: u64,
}

/// What is reported of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Answers in time, as a share of what the upstreams can do; none if they have no service time.
    pub goodput_share: Option<f64>,
    /// What must be zero.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Attempts beyond each request's first, per request sent.
    pub retry_share: f64,
    /// 99th percentile of each class's latency, of answers only.
    pub class_p99_ms: BTreeMap<&'static str, f64>,
    /// Median of each class's latency, of answers only.
    pub class_p50_ms: BTreeMap<&'static str, f64>,
    /// Interactive p99 above that of the baseline in the same case.
    pub added_p99_ms: Option<f64>,
    /// Requests in all, with those before the measured time.
    pub requests: u64,
    /// Requests of the measured time by their end.
    pub counts: Counts,
}

/// Longest latency told apart, in microseconds.
const LATENCY_MAX: u64 = 120_000_000;
/// Significant digits of latencies.
const DIGITS: u8 = 3;

impl Tally {
    /// Measures from `begin` until `end`.
    pub fn new(begin: u64, end: u64) -> Tally {
        Tally {
            begin,
            end,
            useful: 0,
            latencies: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Takes in one request.
    pub fn add(&mut self, sample: Sample) {
        let latency = sample.done.saturating_sub(sample.due);
        let in_time = sample.outcome == Outcome::Ran && latency <= sample.deadline;
        // Goodput counts work that ends in the measured time, whenever it was due.
        if in_time && (self.begin..self.end).contains(&sample.done) {
            self.useful += 1;
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
                self.latency(sample.class, latency);
            }
            Outcome::NotRun => self.counts.refused += 1,
            Outcome::Unknown => self.counts.unknown += 1,
            Outcome::Missing => self.counts.missing += 1,
        }
    }

    /// Answers in time per second.
    pub fn goodput(&self) -> f64 {
        self.useful as f64 * 1e6 / (self.end - self.begin) as f64
    }

    /// Requests due in the measured time.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The `share` quantile of every class that has answers.
    pub fn quantiles(&self, share: f64) -> BTreeMap<&'static str, f64> {
        let value = |it: &Histogram<u64>| it.value_at_quantile(share) as f64 / 1e3;
        self.latencies
            .iter()
            .map(|(class, it)| (*class, value(it)))
            .collect()
    }

    fn latency(&mut self, class: Class, latency: u64) {
        let histogram = self.latencies.entry(word(class)).or_insert_with(|| {
            Histogram::new_with_max(LATENCY_MAX, DIGITS).expect("the bounds are valid")
        });
        histogram.saturating_record(latency);
    }
}

/// A class as documents name it.
pub fn word(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Exact => "exact",
        Class::Background => "background",
    }
}
