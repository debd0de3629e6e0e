//! Sealed frames: who sent what to whom, under a keyed hash.
//!
//! A frame is the postcard encoding of (sender, start of its process, counter, body) followed by a tag: the
//! first [`TAG_LEN`] bytes of the keyed BLAKE3 hash over the channel, the receiver's address and the rest of
//! the frame. The receiver's address is hashed and not sent, so that a frame recorded on its way to one node
//! does not open at another. Frames are authentic, not confidential.

use laburnum_kernel::NodeId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::key::{Key, Keys};

/// The largest frame, in bytes. A larger one closes the connection that it comes from.
///
/// Without this bound a stranger's 9-byte header that names 2^40 bytes makes the process allocate
/// them and abort; libzmq refuses such a frame from its header alone.
pub const FRAME_MAX: usize = 64 * 1024;

/// The largest datagram, in bytes; fits an Ethernet frame.
pub const PROBE_MAX: usize = 1400;

/// Length of the tag in bytes.
pub const TAG_LEN: usize = 16;

/// The channel that a frame belongs to; a frame of one does not open on the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// Messages over TCP.
    Message,
    /// Probes over UDP.
    Probe,
}

impl Channel {
    /// Most bytes of one frame.
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

/// A frame that was opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The sender.
    pub from: NodeId,
    /// Start of the sender's process, in ms.
    pub started: u64,
    /// Grows with each frame of that process on this channel.
    pub counter: u64,
    /// What it says.
    pub body: T,
}

/// The frame is not one of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It cannot be sent: it is larger than its channel allows.
    #[error("the frame is too large; split what it carries")]
    TooLarge,
    /// Its tag does not fit any key in force.
    #[error("the frame's tag does not fit; give both nodes the same --link-key")]
    Strange,
    /// The tag fits but the body does not read: the sender runs another version.
    #[error("the frame's body does not read; run the same version on both nodes")]
    Malformed,
}

/// Seals `frame` for `to`.
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
    let tag = tag(keys.seal(), channel, to, &bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
    Ok(bytes)
}

/// Opens what arrived at `own`. The body is not read before the tag fits.
pub fn open<T: DeserializeOwned>(
    keys: &Keys,
    channel: Channel,
    own: NodeId,
    bytes: &[u8],
) -> Result<Frame<T>, FrameError> {
    let Some(len) = bytes.len().checked_sub(TAG_LEN) else {
        return Err(FrameError::Strange);
    };
    let (rest, given) = bytes.split_at(len);
    if !keys.all().any(|it| fits(it, channel, own, rest, given)) {
        return Err(FrameError::Strange);
    }
    match postcard::take_from_bytes(rest) {
        Ok((frame, [])) => Ok(frame),
        _ => Err(FrameError::Malformed),
    }
}

fn fits(key: &Key, channel: Channel, own: NodeId, rest: &[u8], given: &[u8]) -> bool {
    let tag = tag(key, channel, own, rest);
    // Compared as a whole: a comparison that stops at the first difference would tell a stranger by its
    // time how much of a guessed tag fits.
    let difference = tag.as_bytes()[..TAG_LEN]
        .iter()
        .zip(given)
        .fold(0, |sum, (lhs, rhs)| sum | (lhs ^ rhs));
    difference == 0
}

fn tag(key: &Key, channel: Channel, to: NodeId, rest: &[u8]) -> blake3::Hash {
    let address = to.to_string();
    blake3::Hasher::new_keyed(key.bytes())
        .update(&[channel.label(), address.len() as u8])
        .update(address.as_bytes())
        .update(rest)
        .finalize()
}
