//! What an upstream ran, to judge duplicates and wrong refusals by.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most runs kept; later ones are only counted.
pub const RUNS_MAX: usize = 1_000_000;

/// What an upstream ran and what it refused. Survives the crashes that the stand-in plays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs of requests that carried a request id or an idempotency key, in order of their start.
    pub runs: Vec<Run>,
    /// Runs beyond [`RUNS_MAX`]; not zero means that `runs` proves nothing any more.
    pub omitted: u64,
    /// Runs of requests that carried neither.
    pub plain: u64,
    /// Requests refused as not run.
    pub shed: u64,
    /// Requests whose caller hung up before they ran.
    pub cancelled: u64,
    /// Requests answered by an error without being run.
    pub failed: u64,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's id, from `x-request-id`.
    pub request: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Method and path.
    pub line: String,
    /// How far it came.
    pub state: RunState,
}

/// How far a run came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It is in progress.
    Started,
    /// It was completed, whether or not its answer arrived.
    Finished,
    /// The upstream crashed before its end.
    Crashed,
}

/// A run in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunKey(Option<usize>);

impl Ledger {
    /// Notes that a run starts.
    pub fn start(&mut self, run: Run) -> RunKey {
        if run.request.is_none() && run.key.is_none() {
            self.plain += 1;
            return RunKey(None);
        }
        if self.runs.len() == RUNS_MAX {
            self.omitted += 1;
            return RunKey(None);
        }
        self.runs.push(run);
        RunKey(Some(self.runs.len() - 1))
    }

    /// Notes that a run is complete.
    pub fn finish(&mut self, run: RunKey) {
        if let Some(idx) = run.0 {
            self.runs[idx].state = RunState::Finished;
        }
    }

    /// Notes that everything in progress ended unfinished.
    pub fn crash(&mut self) {
        let started = |it: &&mut Run| it.state == RunState::Started;
        for run in self.runs.iter_mut().filter(started) {
            run.state = RunState::Crashed;
        }
    }

    /// Whether a request of this id was run, wholly or in part.
    pub fn ran(&self, request: &str) -> bool {
        let same = |it: &Run| it.request.as_deref() == Some(request);
        self.runs.iter().any(same)
    }

    /// Idempotency keys that were run more than once, with how often.
    pub fn repeated(&self) -> Vec<(&str, usize)> {
        let mut counts = BTreeMap::new();
        for key in self.runs.iter().filter_map(|it| it.key.as_deref()) {
            *counts.entry(key).or_insert(0) += 1;
        }
        counts.into_iter().filter(|(_, count)| *count > 1).collect()
    }

    /// Takes in the ledger of another upstream, to judge a whole service.
    pub fn merge(&mut self, other: Ledger) {
        self.runs.extend(other.runs);
        self.omitted += other.omitted;
        self.plain += other.plain;
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.failed += other.failed;
    }
}
