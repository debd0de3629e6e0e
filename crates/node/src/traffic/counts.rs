//! What the request path counted since the process started.

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
    claims: [AtomicU64; Claimed::ALL.len()],
    retries: AtomicU64,
    latency: Histogram<f64>,
}

/// What a caller can be told of its request, in the order of the counters.
static OUTCOMES: [HeaderValue; 3] = [RAN, NOT_RUN, UNKNOWN];

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The request may run.
    Granted,
    /// It ran before, and its kept answer was given.
    Replayed,
    /// Neither: it was not run, or nobody knows.
    Refused,
}

impl Claimed {
    /// Each of them, in the order of the counters.
    const ALL: [Claimed; 3] = [Claimed::Granted, Claimed::Replayed, Claimed::Refused];

    fn name(self) -> &'static str {
        match self {
            Claimed::Granted => "granted",
            Claimed::Replayed => "replayed",
            Claimed::Refused => "refused",
        }
    }
}

impl Counts {
    /// Nothing counted yet; latencies go to `latency` in seconds.
    pub fn new(latency: Histogram<f64>) -> Counts {
        Counts {
            outcomes: Default::default(),
            reasons: Default::default(),
            claims: Default::default(),
            retries: AtomicU64::new(0),
            latency,
        }
    }

    /// A caller got an answer with these headers.
    pub fn answered(&self, headers: &HeaderMap) {
        let outcome = headers.get(OUTCOME);
        count(
            &self.outcomes,
            OUTCOMES.iter().position(|it| Some(it) == outcome),
        );
        if outcome != Some(&NOT_RUN) {
            return;
        }
        let reason = headers.get(REASON);
        let reason = reason.and_then(|it| it.to_str().ok());
        count(
            &self.reasons,
            REASONS.iter().position(|it| Some(it.as_str()) == reason),
        );
    }

    /// The head of an answer to a request of `class` went out `took` ms after the request's came in.
    pub fn took(&self, class: Class, took: u64) {
        let class = KeyValue::new("class", class_name(class));
        // Times are far below 2^52 ms, up to which the conversion is exact.
        self.latency.record(took as f64 / 1_000.0, &[class]);
    }

    /// A request is sent once more.
    pub fn retried(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// A claim ended.
    pub fn claimed(&self, claimed: Claimed) {
        count(
            &self.claims,
            Claimed::ALL.iter().position(|it| *it == claimed),
        );
    }

    /// Answers by outcome.
    pub fn outcomes(&self) -> Vec<(&'static str, u64)> {
        let names = ["ran", "not-run", "unknown"];
        names.into_iter().zip(read(&self.outcomes)).collect()
    }

    /// Refusals by reason.
    pub fn reasons(&self) -> Vec<(&'static str, u64)> {
        let names = REASONS.map(Reason::as_str);
        names.into_iter().zip(read(&self.reasons)).collect()
    }

    /// Claims by what became of them.
    pub fn claims(&self) -> Vec<(&'static str, u64)> {
        let names = Claimed::ALL.map(Claimed::name);
        names.into_iter().zip(read(&self.claims)).collect()
    }

    /// Requests sent once more.
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }
}

fn count(counters: &[AtomicU64], idx: Option<usize>) {
    if let Some(counter) = idx.and_then(|it| counters.get(it)) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

fn read(counters: &[AtomicU64]) -> impl Iterator<Item = u64> {
    counters.iter().map(|it| it.load(Ordering::Relaxed))
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Exact => "exact",
        Class::Background => "background",
    }
}
