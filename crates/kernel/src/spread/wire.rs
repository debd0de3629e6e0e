//! Wire format of configuration: the net changes over a range of the log, compressed.
//!
//! A delta is the new text compressed by zstd with the old text as its dictionary.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Name, Revision, Seq},
    platform::VALUE_MAX,
    utils::hash64,
};

/// Common keys and values of documents: the compression dictionary of lists of changes.
pub const TEMPLATE: &str = include_str!("template.toml");

/// Most bytes of a packed range in one message. Leaves room in the link's 64 KiB frame.
pub const RANGE_MAX: usize = 56 * 1024;

/// Most bytes of an unpacked range.
pub const UNPACKED_MAX: usize = 16 * 1024 * 1024;

const ZSTD_LEVEL: i32 = 9;

/// Net change of the configuration over a range of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Position that the receiver must hold at least; zero if the range is the whole state.
    pub from: Seq,
    /// Position after the range is applied.
    pub to: Seq,
    /// Digest of the whole configuration at `to`.
    pub digest: u64,
    /// Packed list of [`NetChange`].
    pub body: Vec<u8>,
    /// Submissions accepted in the range, by which a committer recognises repeated ones.
    pub ids: Vec<(Seq, Vec<IdBytes>)>,
}

/// A [`crate::SubmitId`] on the wire. Fixed length, since a random number as a varint is longer.
pub type IdBytes = [u8; 16];

/// Latest change of one service within a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NetChange {
    /// The service.
    pub service: Name,
    /// Its revision at the end of the range, which is the position of the log that made it.
    pub revision: Revision,
    /// Author of the change, named in the answer to a conflicting submission.
    pub author: String,
    /// Its document.
    pub form: Form,
}

/// Wire form of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// The whole text.
    Full(String),
    /// The difference to the text whose hash is `base`.
    Delta { base: u32, patch: Vec<u8> },
    /// The service was deleted.
    Deleted,
}

/// A range that doesn't decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the range received from a peer does not decode; check that both nodes run the same version"
)]
pub struct BadRange;

/// Returns the hash that identifies a base text on the wire.
pub fn text_hash(text: &str) -> u32 {
    hash64(&[text.as_bytes()]) as u32
}

/// Returns the bytes of a range on the wire.
pub fn len(range: &Range) -> usize {
    postcard::experimental::serialized_size(range).expect("a range encodes")
}

/// Packs a list of changes.
pub fn pack(changes: &[NetChange]) -> Vec<u8> {
    let raw = postcard::to_stdvec(changes).expect("changes encode");
    compress(TEMPLATE.as_bytes(), &raw)
}

/// Unpacks a list of changes.
pub fn unpack(body: &[u8]) -> Result<Vec<NetChange>, BadRange> {
    let raw = decompress(TEMPLATE.as_bytes(), body, UNPACKED_MAX)?;
    postcard::from_bytes(&raw).map_err(|_| BadRange)
}

/// Returns the delta from `old` to `new`.
pub fn diff(old: &str, new: &str) -> Form {
    Form::Delta {
        base: text_hash(old),
        patch: compress(old.as_bytes(), new.as_bytes()),
    }
}

/// Applies the patch of a [`Form::Delta`] to its base.
pub fn patch(old: &str, patch: &[u8]) -> Result<String, BadRange> {
    let bytes = decompress(old.as_bytes(), patch, VALUE_MAX)?;
    String::from_utf8(bytes).map_err(|_| BadRange)
}

const PLAIN: u8 = 0;
const ZSTD: u8 = 1;

/// Compresses `raw` if that is shorter. The first byte of the result states the form.
fn compress(dictionary: &[u8], raw: &[u8]) -> Vec<u8> {
    let packed = zstd::bulk::Compressor::with_dictionary(ZSTD_LEVEL, dictionary)
        .and_then(|mut it| it.compress(raw));
    match packed {
        Ok(packed) if packed.len() < raw.len() => prefixed(ZSTD, &packed),
        _ => prefixed(PLAIN, raw),
    }
}

fn decompress(dictionary: &[u8], bytes: &[u8], max: usize) -> Result<Vec<u8>, BadRange> {
    match bytes.split_first() {
        Some((&PLAIN, raw)) if raw.len() <= max => Ok(raw.to_vec()),
        Some((&ZSTD, packed)) => {
            // Keeps a short message from expanding until the process runs out of memory.
            let len = zstd::zstd_safe::get_frame_content_size(packed);
            let len = len.ok().flatten().ok_or(BadRange)?;
            let len = usize::try_from(len).map_err(|_| BadRange)?;
            if len > max {
                return Err(BadRange);
            }
            let unpacked = zstd::bulk::Decompressor::with_dictionary(dictionary)
                .and_then(|mut it| it.decompress(packed, len));
            unpacked.map_err(|_| BadRange)
        }
        _ => Err(BadRange),
    }
}

fn prefixed(form: u8, bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + 1);
    out.push(form);
    out.extend_from_slice(bytes);
    out
}
