//! Snapshots of the whole configuration, for nodes that start or lag far behind.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Name, Revision, Seq, SubmitId},
    log::Log,
};

/// The accepted configuration at one position of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the log.
    pub seq: Seq,
    /// [`Log::digest`] at the position.
    pub digest: u64,
    /// All services.
    pub services: Vec<SnapshotService>,
    /// The submissions of recent batches, oldest first.
    pub ids: Vec<(Seq, Vec<SubmitId>)>,
}

/// One service in a [`Snapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotService {
    /// Name of the service.
    pub name: Name,
    /// The accepted revision.
    pub revision: Revision,
    /// Text of the document.
    pub text: Arc<str>,
    /// Who submitted it.
    pub author: Arc<str>,
}

/// The bytes are not a valid snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSnapshot {
    /// The snapshot is larger than [`SNAPSHOT_MAX`].
    #[error("the snapshot has {0} bytes, more than {SNAPSHOT_MAX}; fetch it from another node")]
    Oversized(usize),
    /// The bytes do not decode.
    #[error("the snapshot is damaged; fetch it again or from another node")]
    Malformed,
    /// The decoded configuration does not match its digest.
    #[error("the snapshot does not match its digest; fetch it again or from another node")]
    Digest,
}

/// Maximum size of an encoded snapshot, in bytes.
pub const SNAPSHOT_MAX: usize = 16 << 20;

impl Snapshot {
    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a snapshot encodes")
    }

    /// Decodes the bytes of [`Snapshot::encode`] and checks them against the digest.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, BadSnapshot> {
        if bytes.len() > SNAPSHOT_MAX {
            return Err(BadSnapshot::Oversized(bytes.len()));
        }
        let (snapshot, rest) =
            postcard::take_from_bytes::<Snapshot>(bytes).map_err(|_| BadSnapshot::Malformed)?;
        let names: BTreeSet<&Name> = snapshot.services.iter().map(|it| &it.name).collect();
        if !rest.is_empty() || names.len() != snapshot.services.len() {
            return Err(BadSnapshot::Malformed);
        }
        let mut log = Log::default();
        log.install(&snapshot);
        match log.digest() == snapshot.digest && log.seq() == snapshot.seq {
            true => Ok(snapshot),
            false => Err(BadSnapshot::Digest),
        }
    }
}
