//! Operations of the platform's table and object store, and their answers.

use serde::{Deserialize, Serialize};

/// Generation of the platform's store. Increases each time that the store is restored from an older copy. Versions of
/// rows are then issued again, so versions of different eras cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl std::fmt::Display for Era {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// One row of the table. Versions start at 1 and increase with each write of the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key; rows are ordered by its bytes.
    pub key: String,
    /// Version of this value; [`ABSENT`] never appears in a row.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Version of a key that has no row.
pub const ABSENT: u64 = 0;

/// Maximum number of checks and writes in one [`TableOp::Commit`].
pub const COMMIT_MAX: usize = 100;

/// Maximum size of a value in the table, in bytes; larger ones belong in the object store.
pub const VALUE_MAX: usize = 256 * 1024;

/// An atomic operation on the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableOp {
    /// Reads the rows of `keys`; the answer omits absent ones.
    Get { keys: Vec<String> },
    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in order.
    Scan {
        prefix: String,
        after: String,
        limit: u32,
    },
    /// Executes all writes if all checks hold, and otherwise none.
    Commit {
        checks: Vec<Check>,
        writes: Vec<Write>,
    },
}

/// A condition of a commit: `key` is at `version`, or has no row for [`ABSENT`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    pub key: String,
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Stores `value` under `key`.
    Put { key: String, value: Vec<u8> },
    /// Removes the row of `key`. Versions of the key continue to increase if it is written again.
    Delete { key: String },
}

/// The table's answer to a [`TableOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableAnswer {
    /// The rows read.
    Rows(Vec<Row>),
    /// All writes took effect.
    Committed,
    /// Checks failed and nothing was written. Contains the current rows of the failed keys.
    Conflict(Vec<Row>),
    /// The operation failed.
    Failed(Fault),
}

/// An operation on the object store. Objects are immutable by convention: each name is written once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectOp {
    /// Stores `bytes` under `name`, replacing an existing object.
    Put { name: String, bytes: Vec<u8> },
    /// Reads `name`.
    Get { name: String },
    /// Removes `name`; removing an absent one succeeds.
    Delete { name: String },
}

/// The object store's answer to an [`ObjectOp`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectAnswer {
    /// The put or delete took effect.
    Done,
    /// Contents of the object.
    Bytes(Vec<u8>),
    /// No object has that name.
    Absent,
    /// The operation failed.
    Failed(Fault),
}

/// Why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// The operation had no effect and may be retried.
    #[error("the platform is unavailable; try again later")]
    Unavailable,
    /// The rate limit was reached and the operation had no effect.
    #[error("the platform's rate limit was reached; retry after {after} ms")]
    Throttled { after: u64 },
    /// The answer was lost: a write may or may not have taken effect.
    #[error("the platform's answer was lost; read back before trying again")]
    Unknown,
    /// The operation is not valid and will never succeed.
    #[error("the platform refused the operation: {0}")]
    Invalid(String),
}
