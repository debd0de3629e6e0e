//! How an upstream misbehaves at present.

use serde::{Deserialize, Serialize};

/// How an upstream misbehaves at present. The default is a healthy one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Milliseconds added to each service time. Default: 0.
    pub slow: u64,
    /// Milliseconds from a run's end, its slot free again, to its answer. Default: 0.
    pub late: u64,
    /// Whether requests fail without being run. Default: no.
    pub failing: Failing,
    /// What becomes of answers. Default: whole.
    pub replies: Replies,
}

/// Whether requests fail without being run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failing {
    /// They do not.
    #[default]
    No,
    /// They do, and the health says so.
    Open,
    /// They do, and the health still says ready.
    Lying,
}

/// What becomes of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Replies {
    /// They arrive.
    #[default]
    Whole,
    /// The connection ends within the body.
    Cut,
}
