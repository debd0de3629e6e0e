//! Record of the requests that an upstream ran, from which tests detect duplicates and wrong refusals.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most recorded runs; later ones are only counted.
pub const RUNS_MAX: usize = 1_000_000;

/// Runs and refusals of an upstream. Survives the upstream's simulated crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs of requests that carried a request id or an idempotency key, in order of their start.
    pub runs: Vec<Run>,
    /// Runs beyond [`RUNS_MAX`]; if not zero, `runs` is incomplete.
    pub omitted: u64,
    /// Runs of requests that carried neither.
    pub plain: u64,
    /// Requests refused as not run.
    pub shed: u64,
    /// Requests whose caller disconnected before they ran.
    pub cancelled: u64,
    /// Requests answered with an error without being run.
    pub failed: u64,
}

/// Run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's id, from `x-request-id`.
    pub request: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Method and path.
    pub line: String,
    /// Progress of the run.
    pub state: RunState,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The run is in progress.
    Started,
    /// The run is complete, whether or not its answer arrived.
    Finished,
    /// The upstream crashed during the run.
    Crashed,
}

/// Index of a run in the ledger; `None` if it is only counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunIndex(Option<usize>);

impl Ledger {
    /// Records the start of a run.
    pub fn start(&mut self, run: Run) -> RunIndex {
        if run.request.is_none() && run.key.is_none() {
            self.plain += 1;
            return RunIndex(None);
        }
        if self.runs.len() == RUNS_MAX {
            self.omitted += 1;
            return RunIndex(None);
        }
        self.runs.push(run);
        RunIndex(Some(self.runs.len() - 1))
    }

    /// Records the end of a run.
    pub fn finish(&mut self, run: RunIndex) {
        if let Some(idx) = run.0 {
            self.runs[idx].state = RunState::Finished;
        }
    }

    /// Marks every run in progress as crashed.
    pub fn crash(&mut self) {
        let started = |it: &&mut Run| it.state == RunState::Started;
        for run in self.runs.iter_mut().filter(started) {
            run.state = RunState::Crashed;
        }
    }

    /// Returns whether a request with this id was run, completely or in part.
    pub fn ran(&self, request: &str) -> bool {
        let same = |it: &Run| it.request.as_deref() == Some(request);
        self.runs.iter().any(same)
    }

    /// Returns the idempotency keys that were run more than once, each with its number of runs.
    pub fn repeated(&self) -> Vec<(&str, usize)> {
        let mut counts = BTreeMap::new();
        for key in self.runs.iter().filter_map(|it| it.key.as_deref()) {
            *counts.entry(key).or_insert(0) += 1;
        }
        counts.into_iter().filter(|(_, count)| *count > 1).collect()
    }

    /// Adds the ledger of another upstream, such as one of the same service.
    pub fn merge(&mut self, other: Ledger) {
        self.runs.extend(other.runs);
        self.omitted += other.omitted;
        self.plain += other.plain;
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.failed += other.failed;
    }
}
