//! The kernel's whole interface: what goes in and what comes out.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    accept, guard,
    id::{CallId, Name, NodeId, Seq, Token},
    import, members, once,
    platform::{Era, ObjectAnswer, ObjectOp, TableAnswer, TableOp},
    restore,
    routing::Table,
    spread,
    view::View,
};

/// Something that happened; the input of [`crate::Kernel::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The process started; always the first event.
    Start,
    /// Time passed. The driver sends one every [`TICK_MS`] or sooner.
    Tick,
    /// A message arrived over the link (TCP, ordered per peer while the connection lasts).
    Message { from: NodeId, message: Message },
    /// A probe arrived (UDP: may be lost, doubled or reordered).
    Probe {
        from: NodeId,
        packet: members::Packet,
    },
    /// The table answered.
    Table { call: CallId, answer: TableAnswer },
    /// The object store answered.
    Object { call: CallId, answer: ObjectAnswer },
    /// An operator or a traffic thread asks for something; answered by one [`Action::Reply`].
    Call { token: Token, call: Call },
    /// The upstream beside this node announced itself or changed.
    Upstream(UpstreamEvent),
    /// The external source of the configuration gave a version.
    Imported(Arc<Table>),
    /// The external source answers, or no longer does.
    Source(import::Source),
    /// To [`Action::CheckSource`]: the source held nothing newer than `version` when it was asked, `age` ms ago or less.
    Confirmed { version: u64, age: u64 },
    /// The platform's store answered in this era.
    Era(Era),
    /// The process was told to stop: begin draining.
    Stop,
    /// After [`Event::Stop`]: no request is in progress any more.
    Idle,
    /// Raised by one plug-in for the others, within the same step.
    Notice(Notice),
}

/// Longest time between two [`Event::Tick`]s, in milliseconds.
pub const TICK_MS: u64 = 50;

/// What became of the upstream beside this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// It announced itself as serving `service` with `slots` concurrent requests.
    Announced { service: Name, slots: u16 },
    /// It is ready for work: its cold start is over.
    Ready,
    /// It is alive but not ready for work.
    Warming,
    /// It asked to be drained.
    Draining,
    /// It left, or its announcement lapsed.
    Gone,
}

/// A message between two nodes over the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Submissions on their way to a committer.
    Accept(accept::Message),
    /// Configuration on its way to the nodes.
    Spread(spread::Message),
    /// Member records exchanged in bulk.
    Members(members::Message),
    /// Claims on their way to a bucket's owner.
    Once(once::Message),
    /// Fingerprints of crashing requests.
    Guard(guard::Message),
    /// Versions of an external source.
    Import(import::Message),
    /// The platform's store was put back to an older copy.
    Restore(restore::Message),
}

/// What an operator or a traffic thread asks of the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Submissions and reads of the configuration.
    Accept(accept::Call),
    /// Claims of requests that may run at most once.
    Once(once::Call),
    /// Crashes and quarantines.
    Guard(guard::Call),
    /// Who holds which sequence number.
    Status,
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Call::Accept`].
    Accept(accept::Reply),
    /// To [`Call::Once`].
    Once(once::Reply),
    /// To [`Call::Guard`].
    Guard(guard::Reply),
    /// To [`Call::Status`].
    Status(spread::Status),
}

/// Something for the driver to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send over the link; the driver may drop it if the peer cannot be reached.
    Send { to: NodeId, message: Message },
    /// Send as one UDP datagram.
    Probe { to: NodeId, packet: members::Packet },
    /// Ask the table; answered by [`Event::Table`].
    Table { call: CallId, op: TableOp },
    /// Ask the object store; answered by [`Event::Object`].
    Object { call: CallId, op: ObjectOp },
    /// Ask the external source whether it holds a newer version, beside the feed that is open.
    ///
    /// Answered by [`Event::Confirmed`] or [`Event::Imported`], or by [`Event::Source`] if it does not answer.
    CheckSource,
    /// Answer a call.
    Reply { token: Token, reply: Reply },
    /// Make this view the one that traffic threads read.
    Publish(Arc<View>),
    /// The node has left: close every socket and end the process.
    Exit,
    /// Write one log line: a stable event name and its key=value pairs.
    Log {
        event: &'static str,
        pairs: Vec<(&'static str, String)>,
    },
}

/// What one plug-in tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The configuration log was applied up to this sequence number.
    Applied { seq: Seq },
    /// A newer version of the external source is in force.
    Imported,
    /// This node, a committer, asks the table to accept this sequence number.
    Proposed { seq: Seq },
    /// A committer accepted up to this sequence number.
    Accepted { seq: Seq },
    /// The configuration caught up with what other nodes or the table hold; once in a process.
    Ready,
    /// The set of members or their phases changed.
    Members,
    /// This node's own record changed.
    Own,
    /// The quarantined fingerprints changed.
    Quarantine,
    /// The platform's store was put back to an older copy: what was written there of late is gone.
    Restored,
    /// The node was paused for `lost` ms: leases and views may be out of date.
    Paused { lost: u64 },
}
