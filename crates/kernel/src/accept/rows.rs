//! Rows of the accepted configuration in the platform's table.

use serde::{Deserialize, Serialize};

use crate::{
    accept::Entry,
    id::{Name, Revision, Seq},
    platform::Row,
};

/// Key of the row that holds the last sequence number.
pub const HEAD_KEY: &str = "head";

/// Key of the row that names the newest snapshot; see [`SnapshotRow`].
pub const SNAPSHOT_KEY: &str = "snapshot";

/// Prefix of the keys of the log's rows.
pub const LOG_PREFIX: &str = "log/";

/// Returns the key of the row that holds the batch at `seq`; keys sort by sequence number.
pub fn log_key(seq: Seq) -> String {
    format!("{LOG_PREFIX}{:016x}", seq.0)
}

/// Returns the key of the row that holds the newest revision of `service`.
pub fn service_key(service: &Name) -> String {
    format!("service/{service}")
}

/// Value of the row at [`service_key`]: the service as accepted, for readers other than nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The newest revision.
    pub revision: Revision,
    /// Who submitted it.
    pub author: String,
    /// Text of the document.
    pub text: String,
}

/// Value of the row at [`SNAPSHOT_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    /// Position of the snapshot in the log.
    pub seq: Seq,
    /// Name of the snapshot's object.
    pub object: String,
    /// Name of the previous snapshot's object, which remains for nodes that are fetching it.
    pub older: Option<String>,
}

/// A row of the table is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRow {
    /// The value does not decode.
    #[error("row {0} does not decode; upgrade this node, or restore the row")]
    Malformed(String),
    /// The row holds another entry than its key says.
    #[error("row {0} holds another entry than its key says; restore the row")]
    Misplaced(String),
}

/// Decodes a row whose key begins with [`LOG_PREFIX`].
pub fn read_entry(row: &Row) -> Result<Entry, BadRow> {
    let entry: Entry = read(row)?;
    match log_key(entry.batch.seq) == row.key {
        true => Ok(entry),
        false => Err(BadRow::Misplaced(row.key.clone())),
    }
}

/// Decodes the row at [`SNAPSHOT_KEY`].
pub fn read_snapshot(row: &Row) -> Result<SnapshotRow, BadRow> {
    read(row)
}

/// Encodes the value of a row.
pub(super) fn value<T: Serialize>(row: &T) -> Vec<u8> {
    postcard::to_stdvec(row).expect("a row encodes")
}

fn read<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, BadRow> {
    postcard::from_bytes(&row.value).map_err(|_| BadRow::Malformed(row.key.clone()))
}
