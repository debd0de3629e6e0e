//! Counters of the request path since the process started.

use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, HeaderValue};
use laburnum_kernel::{
    document::Class,
    refusal::{REASONS, Reason},
};
use opentelemetry::{KeyValue, metrics::Histogram};

use super::headers::{NOT_RUN, OUTCOME, RAN, REASON, UNKNOWN};

/// Counters of one node.
#[derive(Debug)]
pub struct Counts {
    outcomes: [AtomicU64; 3],
    reasons: [AtomicU64; REASONS.len()],
    claims: [AtomicU64; ClaimResult::ALL.len()],
    retries: AtomicU64,
    sent: AtomicU64,
    latency: Histogram<f64>,
}

/// Outcomes of a request, in the order of the counters.
static OUTCOMES: [HeaderValue; 3] = [RAN, NOT_RUN, UNKNOWN];

/// Result of a claim request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request may run.
    Granted,
    /// The request ran before, and its stored answer was returned.
    Replayed,
    /// The request may not run, or its earlier outcome is unknown.
    Refused,
}

impl ClaimResult {
    /// All results, in the order of the counters.
    const ALL: [ClaimResult; 3] = [
        ClaimResult::Granted,
        ClaimResult::Replayed,
        ClaimResult::Refused,
    ];

    fn name(self) -> &'static str {
        match self {
            ClaimResult::Granted => "granted",
            ClaimResult::Replayed => "replayed",
            ClaimResult::Refused => "refused",
        }
    }
}

impl Counts {
    /// Creates zero counters; latencies are recorded in `latency`, in seconds.
    pub fn new(latency: Histogram<f64>) -> Counts {
        Counts {
            outcomes: Default::default(),
            reasons: Default::default(),
            claims: Default::default(),
            retries: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            latency,
        }
    }

    /// Counts an answer to a caller by its headers.
    pub fn count_answer(&self, headers: &HeaderMap) {
        let outcome = headers.get(OUTCOME);
        increment(
            &self.outcomes,
            OUTCOMES.iter().position(|it| Some(it) == outcome),
        );
        if outcome != Some(&NOT_RUN) {
            return;
        }
        let reason = headers.get(REASON);
        let reason = reason.and_then(|it| it.to_str().ok());
        increment(
            &self.reasons,
            REASONS.iter().position(|it| Some(it.as_str()) == reason),
        );
    }

    /// Records that the head of an answer to a request of `class` was sent `took` ms after the request's head
    /// arrived.
    pub fn record_latency(&self, class: Class, took: u64) {
        let class = KeyValue::new("class", class_name(class));
        // The conversion is exact up to 2^52 ms.
        self.latency.record(took as f64 / 1_000.0, &[class]);
    }

    /// Counts a retry.
    pub fn count_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request sent to the upstream beside this node.
    pub fn count_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests sent to the upstream beside this node.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Counts a claim request by its result.
    pub fn count_claim(&self, result: ClaimResult) {
        increment(
            &self.claims,
            ClaimResult::ALL.iter().position(|it| *it == result),
        );
    }

    /// Returns the number of answers by outcome.
    pub fn outcomes(&self) -> Vec<(&'static str, u64)> {
        let names = ["ran", "not-run", "unknown"];
        names.into_iter().zip(values(&self.outcomes)).collect()
    }

    /// Returns the number of refusals by reason.
    pub fn reasons(&self) -> Vec<(&'static str, u64)> {
        let names = REASONS.map(Reason::as_str);
        names.into_iter().zip(values(&self.reasons)).collect()
    }

    /// Returns the number of claim requests by result.
    pub fn claims(&self) -> Vec<(&'static str, u64)> {
        let names = ClaimResult::ALL.map(ClaimResult::name);
        names.into_iter().zip(values(&self.claims)).collect()
    }

    /// Returns the number of retries.
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }
}

fn increment(counters: &[AtomicU64], idx: Option<usize>) {
    if let Some(counter) = idx.and_then(|it| counters.get(it)) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

fn values(counters: &[AtomicU64]) -> impl Iterator<Item = u64> {
    counters.iter().map(|it| it.load(Ordering::Relaxed))
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Exact => "exact",
        Class::Background => "background",
    }
}
