//! Frames authenticated by a keyed hash; they are not encrypted.
//!
//! A frame is the postcard encoding of [`Frame`] followed by a tag: the first [`TAG_LEN`] bytes of the keyed BLAKE3
//! hash over the channel, the receiver's address and the encoding. The receiver's address is hashed but not sent, so
//! that a frame recorded on its way to one node is rejected by another.

use laburnum_kernel::NodeId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::key::{Key, Keys};

/// Maximum length of a frame in bytes; a longer one closes its connection.
///
/// libzmq enforces it on the length in the frame's header, before it allocates memory for the content.
pub const FRAME_MAX: usize = 64 * 1024;

/// Maximum length of a datagram in bytes; fits an Ethernet frame.
pub const PROBE_MAX: usize = 1400;

/// Length of the tag in bytes.
pub const TAG_LEN: usize = 16;

/// The channel that a frame belongs to; a frame of one is rejected on the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// Messages over TCP.
    Message,
    /// Probes over UDP.
    Probe,
}

impl Channel {
    /// Returns the maximum length of a frame in bytes.
    pub fn max(self) -> usize {
        match self {
            Channel::Message => FRAME_MAX,
            Channel::Probe => PROBE_MAX,
        }
    }

    fn label(self) -> u8 {
        match self {
            Channel::Message => 1,
            Channel::Probe => 2,
        }
    }
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The sender.
    pub from: NodeId,
    /// When the sender's process started, in ms.
    pub started: u64,
    /// Number of the frame; increases with each frame of that process on this channel.
    pub counter: u64,
    /// Content.
    pub body: T,
}

/// A frame cannot be sealed or opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It is larger than its channel allows.
    #[error("the frame is too large; split its content")]
    TooLarge,
    /// Its tag is missing or does not match any accepted key.
    #[error("the frame's tag matches no accepted key; give both nodes the same --link-key")]
    BadTag,
    /// The tag matches but the body cannot be decoded: the sender runs another version.
    #[error("the frame's body cannot be decoded; run the same version on both nodes")]
    Malformed,
}

/// Encodes `frame` and appends its tag for the receiver `to`.
pub fn seal<T: Serialize>(
    keys: &Keys,
    channel: Channel,
    to: NodeId,
    frame: &Frame<T>,
) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_stdvec(frame).map_err(|_| FrameError::Malformed)?;
    if bytes.len() + TAG_LEN > channel.max() {
        return Err(FrameError::TooLarge);
    }
    let tag = tag(keys.sealing_key(), channel, to, &bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
    Ok(bytes)
}

/// Verifies and decodes a frame received by the node `receiver`. Nothing is decoded before the tag is verified.
pub fn open<T: DeserializeOwned>(
    keys: &Keys,
    channel: Channel,
    receiver: NodeId,
    bytes: &[u8],
) -> Result<Frame<T>, FrameError> {
    let Some(len) = bytes.len().checked_sub(TAG_LEN) else {
        return Err(FrameError::BadTag);
    };
    let (encoded, given) = bytes.split_at(len);
    if !keys
        .all()
        .any(|it| has_tag(it, channel, receiver, encoded, given))
    {
        return Err(FrameError::BadTag);
    }
    match postcard::take_from_bytes(encoded) {
        Ok((frame, [])) => Ok(frame),
        _ => Err(FrameError::Malformed),
    }
}

fn has_tag(key: &Key, channel: Channel, receiver: NodeId, encoded: &[u8], given: &[u8]) -> bool {
    let tag = tag(key, channel, receiver, encoded);
    // In constant time, so that the response time reveals nothing about a guessed tag.
    let difference = tag.as_bytes()[..TAG_LEN]
        .iter()
        .zip(given)
        .fold(0, |sum, (lhs, rhs)| sum | (lhs ^ rhs));
    difference == 0
}

fn tag(key: &Key, channel: Channel, to: NodeId, encoded: &[u8]) -> blake3::Hash {
    let address = to.to_string();
    blake3::Hasher::new_keyed(key.bytes())
        .update(&[channel.label(), address.len() as u8])
        .update(address.as_bytes())
        .update(encoded)
        .finalize()
}
