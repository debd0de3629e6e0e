//! Checks the answers of a run against the upstreams' ledgers of the requests that they ran.

use std::collections::HashSet;

use laburnum_standin::Ledger;
use serde::Serialize;

/// Outcome of a request as its answer states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was run; this is its answer.
    Ran,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// No answer was received.
    Missing,
}

/// Content of an answer's body; upstreams echo the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Echo {
    /// Its own request.
    Own,
    /// Anything else.
    Foreign,
    /// Not checked, because the answer is a refusal or an error.
    None,
}

/// The answer to one request, as its caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request's `x-request-id`.
    pub request: String,
    /// Outcome that the answer states.
    pub outcome: Outcome,
    /// Content of its body.
    pub echo: Echo,
}

/// Numbers of violations; all must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Runs of an idempotency key beyond its first.
    pub duplicates: u64,
    /// Requests answered as not run although an upstream ran them.
    pub wrong_refusals: u64,
    /// Answers whose body is not that of their own request.
    pub mixed_answers: u64,
    /// Runs missing in the ledgers because they were full; if not zero, the other counts prove nothing.
    pub omitted: u64,
}

impl Verdict {
    /// Returns whether there are no violations and the ledgers are complete.
    pub fn is_clean(&self) -> bool {
        *self == Verdict::default()
    }
}

/// Compares the callers' answers with the merged ledgers of all upstreams.
pub fn judge<'a>(answers: impl IntoIterator<Item = &'a Answer>, ledger: &Ledger) -> Verdict {
    let ran: HashSet<&str> = ledger
        .runs
        .iter()
        .filter_map(|it| it.request.as_deref())
        .collect();
    let repeated = ledger.repeated();
    let mut verdict = Verdict {
        duplicates: repeated.iter().map(|(_, count)| *count as u64 - 1).sum(),
        omitted: ledger.omitted,
        ..Verdict::default()
    };
    for it in answers {
        if it.outcome == Outcome::NotRun && ran.contains(it.request.as_str()) {
            verdict.wrong_refusals += 1;
        }
        if it.echo == Echo::Foreign {
            verdict.mixed_answers += 1;
        }
    }
    verdict
}
