//! Injected faults of an upstream.

use serde::{Deserialize, Serialize};

/// Injected faults of an upstream. The default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Time added to each service time, in ms. Default: 0.
    pub slow: u64,
    /// Delay from the end of a run, when its slot is released, to its answer, in ms. Default: 0.
    pub late: u64,
    /// Whether requests fail without being run. Default: no.
    pub failing: Failing,
    /// How answers are sent. Default: whole.
    pub replies: Replies,
}

/// Whether requests fail without being run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failing {
    /// Requests are run.
    #[default]
    No,
    /// Requests fail, and the health endpoint reports the upstream as not ready.
    Open,
    /// Requests fail, but the health endpoint still reports the upstream as ready.
    Lying,
}

/// How answers are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Replies {
    /// The answer is complete.
    #[default]
    Whole,
    /// The connection ends within the body.
    Cut,
}
