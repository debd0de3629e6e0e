//! The link between nodes: authenticated frames over TCP for messages, and over UDP for probes.

pub mod frame;
pub mod key;
pub mod replay;
mod zmq;

use laburnum_kernel::{Message, NodeId, members::Packet};
use serde::{Deserialize, Serialize};

pub use self::{
    key::{Key, Keys},
    zmq::{IDLE_TIMEOUT_MS, PEERS_MAX, SWEEP_INTERVAL_MS, Waker, ZmqLink},
};

/// A message or probe from a sender that holds the link key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A message received over TCP.
    Message { from: NodeId, message: Message },
    /// A probe received over UDP.
    Probe { from: NodeId, packet: Packet },
}

/// Communication between nodes. Sends never block; a message that cannot be sent is dropped and counted.
pub trait Link {
    /// Sends a message; delivery is not guaranteed.
    fn send(&mut self, to: NodeId, message: &Message);

    /// Sends a probe; delivery is not guaranteed.
    fn probe(&mut self, to: NodeId, packet: &Packet);

    /// Waits up to `timeout` ms for a message, a probe or a wake-up, and returns what was received.
    fn wait(&mut self, timeout: u64) -> Vec<Incoming>;

    /// Returns the traffic counters.
    fn traffic(&self) -> &Traffic;
}

/// Kinds of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Probe datagrams.
    Probe,
    /// Bulk transfers of member records, and notices that the platform's store was restored.
    Members,
    /// Submissions forwarded to a committer.
    Accept,
    /// Configuration.
    Spread,
    /// Claims of idempotency keys.
    Once,
    /// Quarantined fingerprints.
    Guard,
    /// Versions and roll-outs of an external source.
    Import,
    /// Quotas of customers.
    Quota,
}

impl Kind {
    /// Every kind, in the order of [`Traffic`]'s counters.
    pub const ALL: [Kind; 8] = [
        Kind::Probe,
        Kind::Members,
        Kind::Accept,
        Kind::Spread,
        Kind::Once,
        Kind::Guard,
        Kind::Import,
        Kind::Quota,
    ];

    /// Returns the kind that `message` is counted as.
    pub fn of(message: &Message) -> Kind {
        match message {
            Message::Members(_) | Message::Restore(_) => Kind::Members,
            Message::Accept(_) => Kind::Accept,
            Message::Spread(_) => Kind::Spread,
            Message::Once(_) => Kind::Once,
            Message::Guard(_) => Kind::Guard,
            Message::Import(_) | Message::Rollout(_) => Kind::Import,
            Message::Quota(_) => Kind::Quota,
        }
    }

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Probe => "probe",
            Kind::Members => "members",
            Kind::Accept => "accept",
            Kind::Spread => "spread",
            Kind::Once => "once",
            Kind::Guard => "guard",
            Kind::Import => "import",
            Kind::Quota => "quota",
        }
    }
}

/// Counters since the process started.
///
/// Bytes include the frame's tag, plus [`FRAME_HEADER`] for a message or [`DATAGRAM_HEADER`] for a probe. TCP headers
/// and acknowledgements are not counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent, by kind.
    pub sent: [u64; Kind::ALL.len()],
    /// Bytes received and accepted, by kind.
    pub received: [u64; Kind::ALL.len()],
    /// Frames accepted.
    pub accepted: u64,
    /// Messages and probes dropped because they were too large or could not be sent, such as on a full queue.
    pub unsent: u64,
    /// Frames that failed authentication or could not be decoded.
    pub strange: u64,
    /// Frames rejected as replays: received before, older than the replay window, or from an earlier start of their
    /// sender.
    pub replayed: u64,
}

impl Traffic {
    /// Returns the bytes sent, over all kinds.
    pub fn sent_total(&self) -> u64 {
        self.sent.iter().sum()
    }

    /// Returns the bytes received and accepted, over all kinds.
    pub fn received_total(&self) -> u64 {
        self.received.iter().sum()
    }
}

/// Bytes that libzmq adds to a frame of more than 255 bytes; to a shorter one it adds 2.
pub const FRAME_HEADER: u64 = 9;

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const DATAGRAM_HEADER: u64 = 28;

/// The link could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The TCP socket could not be bound.
    #[error("cannot bind the control address {address} over TCP: {source}; choose a free address")]
    Bind {
        address: NodeId,
        source: ::zmq::Error,
    },
    /// The UDP socket could not be bound.
    #[error("cannot bind the control address {address} over UDP: {source}; choose a free address")]
    Probe {
        address: NodeId,
        source: std::io::Error,
    },
    /// A libzmq socket could not be created.
    #[error("cannot create a socket: {0}; raise the limit of open files")]
    Socket(#[from] ::zmq::Error),
    /// The wake-up socket or the control thread could not be created.
    #[error(
        "cannot create the wake-up socket or the control thread: {0}; raise the limit of open files"
    )]
    Wake(#[from] std::io::Error),
}
