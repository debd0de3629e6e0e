//! Digests of a view, by which two nodes find the records in which they differ.

use super::record::{Head, ZoneState};
use crate::{id::NodeId, utils::hash64};

/// Number of buckets that the records of a view are split into.
pub const BUCKETS: usize = 64;

/// One digest per bucket, updated with each change of the view.
#[derive(Clone, Debug)]
pub(super) struct Digest {
    buckets: [u64; BUCKETS],
    zones: u64,
}

impl Default for Digest {
    fn default() -> Digest {
        Digest {
            buckets: [0; BUCKETS],
            zones: 0,
        }
    }
}

impl Digest {
    /// Adds a head, or removes it if it was added before.
    pub(super) fn toggle(&mut self, head: Head) {
        let hash = hash64(&[
            &id_bytes(head.id),
            &head.stamp.incarnation.to_le_bytes(),
            &head.stamp.version.to_le_bytes(),
        ]);
        self.buckets[usize::from(bucket_of(head.id))] ^= hash;
    }

    /// Adds the state of a zone, or removes it if it was added before. Epoch zero adds nothing.
    pub(super) fn toggle_zone(&mut self, state: &ZoneState) {
        if state.epoch > 0 {
            self.zones ^= hash64(&[state.zone.as_str().as_bytes(), &state.epoch.to_le_bytes()]);
        }
    }

    /// Returns the digest of the whole view.
    pub(super) fn root(&self) -> u64 {
        let bytes: Vec<u8> = self
            .buckets
            .iter()
            .flat_map(|it| it.to_le_bytes())
            .collect();
        hash64(&[&bytes, &self.zones.to_le_bytes()])
    }

    /// Returns the digests of all buckets, truncated for the wire.
    pub(super) fn buckets(&self) -> [u32; BUCKETS] {
        self.buckets.map(|it| it as u32)
    }
}

/// Returns the bucket of a node.
pub(super) fn bucket_of(id: NodeId) -> u8 {
    (hash64(&[&id_bytes(id)]) % BUCKETS as u64) as u8
}

fn id_bytes(id: NodeId) -> Vec<u8> {
    let mut bytes = match id.0.ip() {
        std::net::IpAddr::V4(it) => it.octets().to_vec(),
        std::net::IpAddr::V6(it) => it.octets().to_vec(),
    };
    bytes.extend(id.0.port().to_le_bytes());
    bytes
}
