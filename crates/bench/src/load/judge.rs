//! Judges the answers of a run by what the upstreams' own ledgers say they ran.

use std::collections::HashSet;

use laburnum_standin::Ledger;
use serde::Serialize;

/// What an answer says became of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was run and this is its answer.
    Ran,
    /// It was not run.
    NotRun,
    /// It may have been run.
    Unknown,
    /// No answer came.
    Missing,
}

/// What the body of an answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Echo {
    /// The request that it answers.
    Own,
    /// Something else.
    Foreign,
    /// The answer is a refusal or an error; its body is not judged.
    None,
}

/// The end of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request's `x-request-id`.
    pub request: String,
    /// What the answer says.
    pub outcome: Outcome,
    /// What its body holds.
    pub echo: Echo,
}

/// What must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Runs of an idempotency key beyond its first.
    pub duplicates: u64,
    /// Requests answered as not run that an upstream ran.
    pub wrong_refusals: u64,
    /// Answers whose body is not that of their own request.
    pub mixed_answers: u64,
    /// Runs that the ledgers had no room for; more than zero means that the rest proves nothing.
    pub omitted: u64,
}

impl Verdict {
    /// Whether nothing is wrong and the ledgers are complete.
    pub fn clean(&self) -> bool {
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
