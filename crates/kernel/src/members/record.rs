//! What nodes tell of themselves and of one another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Name, NodeId};

/// What one node tells of itself. Only its owner changes it; a higher [`Stamp`] wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub id: NodeId,
    /// Start of its process in ms since the epoch; grows with each restart.
    pub incarnation: u64,
    /// Grows with each change of the record and each refutation within an incarnation.
    pub version: u64,
    /// Phase of the upstream beside it.
    pub phase: Phase,
    /// Where other nodes send it requests.
    pub traffic: SocketAddr,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// The service of the upstream beside it, if one announced itself.
    pub offer: Option<Offer>,
}

impl Record {
    /// Incarnation and version.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// The node and its stamp.
    pub fn head(&self) -> Head {
        Head {
            id: self.id,
            stamp: self.stamp(),
        }
    }
}

/// Orders the records of one node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Start of the process.
    pub incarnation: u64,
    /// Changes within the incarnation.
    pub version: u64,
}

/// A record by name: which node, and how new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The node.
    pub id: NodeId,
    /// How new the record is.
    pub stamp: Stamp,
}

/// What the upstream beside a node serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The service.
    pub service: Name,
    /// Requests that it handles at once.
    pub slots: u16,
}

/// Phase of the upstream beside a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Not ready for work yet.
    Warming,
    /// Takes work.
    Ready,
    /// Takes no new work.
    Draining,
    /// Left.
    Gone,
}

/// A change of phase that does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("phase {from:?} cannot become {to:?}: announce a new upstream or restart the node")]
pub struct BadPhase {
    /// The present phase.
    pub from: Phase,
    /// The phase asked for.
    pub to: Phase,
}

impl Phase {
    /// The phase after a change to `to`, or an error if a node in this phase cannot go there.
    pub fn change(self, to: Phase) -> Result<Phase, BadPhase> {
        use Phase::{Draining, Gone, Ready, Warming};
        match (self, to) {
            (Warming | Ready, _) | (Draining, Draining | Gone) | (Gone, Gone) => Ok(to),
            (Draining, Warming | Ready) | (Gone, Warming | Ready | Draining) => {
                Err(BadPhase { from: self, to })
            }
        }
    }
}

/// Whether this node can reach another, apart from the phase that the other tells of itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Reach {
    /// It answers probes, or nobody says otherwise.
    #[default]
    Reachable,
    /// Some probe went unanswered; it may refute this.
    Suspect,
    /// Nobody here reaches it, yet it may still be there: this node or its zone may be cut off.
    Unreachable,
}

/// Whether a whole availability zone is cut off. Odd epochs say lost, even ones found; the higher
/// epoch wins, so any member of the zone refutes its loss with the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// The availability zone.
    pub zone: Name,
    /// Zero at first; odd while lost.
    pub epoch: u64,
}

impl ZoneState {
    /// Whether this epoch says that the zone is lost.
    pub fn lost(&self) -> bool {
        self.epoch % 2 == 1
    }
}

/// One piece of news, as it travels in datagrams and bulk messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A record, whole.
    Record(Record),
    /// A known member drains or left; a third of the size of its record.
    Leaving { head: Head, phase: Phase },
    /// The member went unanswered; a higher stamp refutes it.
    Suspect(Head),
    /// The member is taken for dead; a higher stamp refutes it.
    Dead(Head),
    /// A zone was lost or found.
    Zone(ZoneState),
}

/// What an update is about; the queue holds one update for each topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Topic {
    /// One node.
    Node(NodeId),
    /// One availability zone.
    Zone(Name),
}

impl Update {
    pub(super) fn topic(&self) -> Topic {
        match self {
            Update::Record(it) => Topic::Node(it.id),
            Update::Leaving { head, .. } | Update::Suspect(head) | Update::Dead(head) => {
                Topic::Node(head.id)
            }
            Update::Zone(it) => Topic::Zone(it.zone.clone()),
        }
    }

    /// Encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |it| it.len())
    }
}

/// A probe datagram. `updates` is bounded by [`super::PACKET_MAX`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Are you there?
    Ping { number: u64, updates: Vec<Update> },
    /// Yes; or, from the one asked by a [`Packet::PingReq`]: the target is.
    Ack { number: u64, updates: Vec<Update> },
    /// Please ping `target` and pass its answer on: it did not answer me.
    PingReq { number: u64, target: NodeId },
    /// News that does not wait for the next probe.
    News { updates: Vec<Update> },
}

/// Member records exchanged in bulk over the link; each message stays under [`super::CHUNK_MAX`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I am new: here is my record, send me what you know.
    Join { record: Record },
    /// Records and other news.
    Records { updates: Vec<Update> },
    /// I serve enough joins at present: ask one of these.
    Busy { others: Vec<NodeId> },
    /// My view has this digest.
    Compare { root: u64 },
    /// Mine is the same.
    Same,
    /// Mine differs; these are the digests of its buckets.
    Buckets { digests: Vec<u32> },
    /// The heads of all my records in `buckets`, which differ, and what I know of zones.
    Heads {
        buckets: Vec<u8>,
        heads: Vec<Head>,
        zones: Vec<ZoneState>,
    },
    /// Send me the records of these nodes.
    Pull { ids: Vec<NodeId> },
}
