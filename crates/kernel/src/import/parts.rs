//! Compression of versions and differences, and their transfer in parts of one message each.

use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};

use crate::routing::{Spec, Table};

/// Maximum length of a part in bytes; shorter than the longest frame of the link.
pub const PART_MAX: usize = 48 * 1024;
/// Maximum number of parts of one version: 4 MiB in total.
pub(super) const PARTS_MAX: u16 = 85;
/// Compression level of zstd: the fastest, because a version is compressed once per query.
const ZSTD_LEVEL: i32 = 1;

/// Parts received of a newer version.
#[derive(Debug, Default)]
pub(super) struct PartialVersion {
    version: u64,
    parts: BTreeMap<u16, Vec<u8>>,
}

impl PartialVersion {
    /// Adds one part. Returns the table once all parts are here, or why they make no valid table.
    pub(super) fn add(
        &mut self,
        version: u64,
        part: u16,
        parts: u16,
        bytes: &[u8],
    ) -> Option<Result<Table, String>> {
        if self.version != version {
            *self = PartialVersion {
                version,
                parts: BTreeMap::new(),
            };
        }
        self.parts.insert(part, bytes.to_vec());
        if self.parts.len() < usize::from(parts) {
            return None;
        }
        let packed: Vec<u8> = std::mem::take(&mut self.parts)
            .into_values()
            .flatten()
            .collect();
        Some(assemble(&packed, version))
    }
}

/// Serializes and compresses `it`.
pub(super) fn pack<T: Serialize>(it: &T) -> Result<Vec<u8>, String> {
    let bytes = postcard::to_stdvec(it).map_err(|it| it.to_string())?;
    zstd::bulk::compress(&bytes, ZSTD_LEVEL).map_err(|it| it.to_string())
}

/// Reads what [`pack`] has written.
pub(super) fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, String> {
    let longest = PART_MAX * usize::from(PARTS_MAX);
    let bytes = zstd::bulk::decompress(packed, longest).map_err(|it| it.to_string())?;
    postcard::from_bytes(&bytes).map_err(|it| it.to_string())
}

fn assemble(packed: &[u8], version: u64) -> Result<Table, String> {
    let spec: Spec = unpack(packed)?;
    if spec.version != version {
        return Err(format!(
            "the parts of version {version} hold version {}: send it again",
            spec.version
        ));
    }
    Table::new(spec).map_err(|it| it.to_string())
}
