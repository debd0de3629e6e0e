//! Membership records and the messages that carry them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Build, Name, NodeId};

/// State that a node publishes about itself. Only the node itself changes it; a higher [`Stamp`] wins.
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
    /// Address to which other nodes send requests.
    pub traffic: SocketAddr,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Service of the upstream beside it, if one announced itself.
    pub offer: Option<Offer>,
}

impl Record {
    /// Returns the incarnation and version.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// Returns the node and its stamp.
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
    /// Start of the process in ms since the epoch.
    pub incarnation: u64,
    /// Number of changes within the incarnation.
    pub version: u64,
}

/// Identifies one version of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The node.
    pub id: NodeId,
    /// Stamp of the record.
    pub stamp: Stamp,
}

/// Service that the upstream beside a node provides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The service.
    pub service: Name,
    /// Number of requests that the upstream handles at once.
    pub slots: u16,
    /// Version of its software.
    pub build: Build,
    /// Which requests it takes.
    pub exposure: Exposure,
    /// What its answers show while its build is rolled out.
    pub evidence: Evidence,
}

/// Which requests an upstream takes, by the roll-out of its build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exposure {
    /// None: its build is not in service.
    Held,
    /// A small share, together with the other canaries of its service.
    Canary,
    /// All.
    Full,
    /// No new ones: its build goes out of service.
    Retiring,
    /// None, and all earlier ones are answered.
    Retired,
}

impl Exposure {
    /// Returns whether the upstream takes new requests.
    pub fn takes_requests(self) -> bool {
        matches!(self, Exposure::Canary | Exposure::Full)
    }
}

/// What the answers of an upstream show about its build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// Too little.
    #[default]
    Unknown,
    /// No fault in enough answers.
    Sound,
    /// A fault that the build before does not have.
    Faulty,
}

/// Phase of the upstream beside a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Not ready for requests yet.
    Warming,
    /// Takes requests.
    Ready,
    /// Takes no new requests.
    Draining,
    /// Has left the fleet.
    Gone,
}

/// A change of phase that is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("phase {from:?} cannot become {to:?}: announce a new upstream or restart the node")]
pub struct BadPhase {
    /// Current phase.
    pub from: Phase,
    /// Requested phase.
    pub to: Phase,
}

impl Phase {
    /// Returns the phase after a change to `to`, or an error if this phase doesn't allow it.
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

/// Whether this node can reach another one, independent of the phase that the other publishes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Reach {
    /// It answers probes, or no node suspects it.
    #[default]
    Reachable,
    /// A probe went unanswered; the member may refute the suspicion.
    Suspect,
    /// It doesn't answer, but may be running: this node or its zone may be partitioned.
    Unreachable,
}

/// Whether a whole availability zone is lost. Odd epochs mean lost, even ones found. The higher epoch
/// wins, so any member of the zone refutes its loss with the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// The availability zone.
    pub zone: Name,
    /// Zero at first, odd while the zone is lost.
    pub epoch: u64,
}

impl ZoneState {
    /// Returns whether the zone is lost.
    pub fn lost(&self) -> bool {
        self.epoch % 2 == 1
    }
}

/// A membership update, as sent in datagrams and bulk messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A whole record.
    Record(Record),
    /// A known member drains or left. Shorter than its record.
    Leaving { head: Head, phase: Phase },
    /// The member is suspected to have failed; a higher stamp refutes it.
    Suspect(Head),
    /// The member left or was declared dead; a higher stamp refutes it.
    Dead(Head),
    /// A zone was lost or found.
    Zone(ZoneState),
}

/// Subject of an update; the queue holds one update per topic.
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

    /// Returns the encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |it| it.len())
    }
}

/// A probe datagram. `updates` is bounded by [`super::PACKET_MAX`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Asks the receiver for an ack.
    Ping { number: u64, updates: Vec<Update> },
    /// Answers a ping, or a [`Packet::PingReq`] whose target answered.
    Ack { number: u64, updates: Vec<Update> },
    /// Asks the receiver to ping `target`, which didn't answer the sender, and to forward its ack.
    PingReq { number: u64, target: NodeId },
    /// Updates that don't wait for the next probe.
    News { updates: Vec<Update> },
}

/// Bulk exchange of member records over the link; each message has at most about
/// [`super::CHUNK_MAX`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces a new node and asks for the receiver's view.
    Join { record: Record },
    /// Records and other updates.
    Records { updates: Vec<Update> },
    /// The sender serves too many joins and pulls at present; the receiver may join by one of `others`.
    Busy { others: Vec<NodeId> },
    /// The digest of the sender's view.
    Compare { root: u64 },
    /// Answers [`Message::Compare`]: the digests are equal.
    Same,
    /// Answers [`Message::Compare`]: the digests differ; `digests` are those of the sender's buckets.
    Buckets { digests: Vec<u32> },
    /// The heads of the sender's records in `buckets`, which differ, and the states of all zones.
    Heads {
        buckets: Vec<u8>,
        heads: Vec<Head>,
        zones: Vec<ZoneState>,
    },
    /// Asks for the records of these nodes.
    Pull { ids: Vec<NodeId> },
}
