//! The kernel's interface: input events and output actions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    accept,
    clock::Ms,
    guard,
    id::{Build, CallId, Name, NodeId, Seq, Token},
    import, members, once,
    platform::{Era, ObjectAnswer, ObjectOp, TableAnswer, TableOp},
    quota, restore, rollout,
    routing::Table,
    spread,
    view::View,
};

/// An input of [`crate::Kernel::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The process started; always the first event.
    Start,
    /// Time has passed. The driver sends one at least every [`TICK_MS`].
    Tick,
    /// A message arrived over the link (TCP, ordered per peer while the connection lasts).
    Message { from: NodeId, message: Message },
    /// A probe arrived (UDP: may be lost, duplicated or reordered).
    Probe {
        from: NodeId,
        packet: members::Packet,
    },
    /// The table answered.
    Table { call: CallId, answer: TableAnswer },
    /// The object store answered.
    Object { call: CallId, answer: ObjectAnswer },
    /// A call of an operator or a traffic thread; answered by one [`Action::Reply`].
    Call { token: Token, call: Call },
    /// The state of the upstream beside this node changed.
    Upstream(UpstreamEvent),
    /// The external source sent a version.
    Imported(Arc<Table>),
    /// The external source started or stopped answering.
    Source(import::Source),
    /// Answers [`Action::CheckSource`], or came with a read: the source held nothing newer than
    /// `version` at some time after `asked`.
    Confirmed { version: u64, asked: Ms },
    /// The external source holds an order to move a service to another build.
    Ordered(rollout::Order),
    /// The platform's store answered in this era.
    Era(Era),
    /// The process has to stop: begin draining.
    Stop,
    /// No request is in progress any more; sent after [`Event::Stop`].
    Idle,
    /// A notice raised by a plug-in within the same step.
    Notice(Notice),
}

/// Longest time between two [`Event::Tick`]s, in ms.
pub const TICK_MS: u64 = 50;

/// A state change of the upstream beside this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// It announced that it serves `service` with `slots` concurrent requests and is in `phase`.
    Announced {
        service: Name,
        slots: u16,
        build: Build,
        phase: members::Phase,
    },
    /// Its answers show this about its build.
    Judged(members::Evidence),
    /// It takes no new requests and has answered all others.
    Retired,
    /// It has warmed up and is ready.
    Ready,
    /// It is alive but not ready yet.
    Warming,
    /// It requested to be drained.
    Draining,
    /// It left, or its announcement expired.
    Gone,
}

/// A message between two nodes over the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Submissions forwarded to a committer.
    Accept(accept::Message),
    /// Distribution of configuration.
    Spread(spread::Message),
    /// Bulk exchange of member records.
    Members(members::Message),
    /// Claims sent to the owner of a bucket.
    Once(once::Message),
    /// Fingerprints of requests that crash their upstream.
    Guard(guard::Message),
    /// Versions of an external source.
    Import(import::Message),
    /// The platform's store was restored to an older copy.
    Restore(restore::Message),
    /// Roll-outs of builds.
    Rollout(rollout::Message),
    /// Quotas of customers.
    Quota(quota::Message),
}

/// A call of an operator or a traffic thread to the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Submissions and reads of the configuration.
    Accept(accept::Call),
    /// Claims of requests that may run at most once.
    Once(once::Call),
    /// Crashes and quarantines.
    Guard(guard::Call),
    /// Queries which nodes lack the newest configuration.
    Status,
    /// Asks for tokens of a customer's quota.
    Quota(quota::Ask),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answers [`Call::Accept`].
    Accept(accept::Reply),
    /// Answers [`Call::Once`].
    Once(once::Reply),
    /// Answers [`Call::Guard`].
    Guard(guard::Reply),
    /// Answers [`Call::Status`].
    Status(spread::Status),
    /// Answers [`Call::Quota`].
    Quota(quota::Answer),
}

/// An output of the kernel, carried out by the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a message over the link; the driver may drop it if the peer cannot be reached.
    Send { to: NodeId, message: Message },
    /// Sends one UDP datagram.
    Probe { to: NodeId, packet: members::Packet },
    /// Starts an operation on the table; answered by [`Event::Table`].
    Table { call: CallId, op: TableOp },
    /// Starts an operation on the object store; answered by [`Event::Object`].
    Object { call: CallId, op: ObjectOp },
    /// Asks the external source for a newer version, independently of the open feed.
    ///
    /// Answered by [`Event::Confirmed`] or [`Event::Imported`], or by [`Event::Source`] if the
    /// source does not answer.
    CheckSource,
    /// Answers a call.
    Reply { token: Token, reply: Reply },
    /// Publishes a view to the traffic threads.
    Publish(Arc<View>),
    /// Closes all sockets and ends the process, after the node has left.
    Exit,
    /// Writes a log line: a stable event name and its key=value pairs.
    Log {
        event: &'static str,
        pairs: Vec<(&'static str, String)>,
    },
}

/// A notification from one plug-in to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The configuration log was applied up to this sequence number.
    Applied { seq: Seq },
    /// A newer version of the external source is in force.
    Imported,
    /// This node, as a committer, proposes this sequence number to the table.
    Proposed { seq: Seq },
    /// The table holds changes that this node, as a committer, committed up to this sequence number.
    Accepted { seq: Seq },
    /// This process became ready to serve; raised once.
    Ready,
    /// The set of members, a member's record or its reachability changed.
    Members,
    /// This node's own record, its turn to watch the source, or the known era changed.
    Own,
    /// The set of quarantined fingerprints changed.
    Quarantine,
    /// The platform's store was restored to an older copy; recent writes are lost.
    Restored,
    /// The process was paused for `lost` ms: leases and views may have expired.
    Paused { lost: u64 },
}
