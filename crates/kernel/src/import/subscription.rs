//! Publishers that send new versions to this node, and subscribers that it sends them to.
//!
//! A query to a publisher also subscribes the node: until the subscription expires, it is sent each
//! change at once and sends it on to its own subscribers. A node learns how a publisher receives
//! versions only from that publisher's own status, and an unanswered query removes the publisher, so
//! two nodes that have both lost the source don't keep relying on each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    Confirmation, Dated, Message, Source, Turn, Watch,
    confirmation::{self, QUERY_AGE_MS},
    query, turn,
};
use crate::{
    clock::Ms,
    event,
    id::NodeId,
    kernel::{Context, State},
    members::Reach,
};

/// Time between two queries of a node with a publisher, in ms; up to a quarter less by jitter.
///
/// Bounds how long a node stays behind after its publisher lost the source unnoticed.
pub(super) const QUERY_MS: u64 = 1_000;
/// Time within which a query is answered, in ms: several round trips and the ticks of a busy node.
const ANSWER_TIMEOUT_MS: u64 = 700;
/// Age at which a publisher's status expires, in ms; several queries fit into it.
const PUBLISHER_EXPIRY_MS: u64 = 4_500;
/// How long a subscription lasts after a query, in ms; one lost query does not end it.
const SUBSCRIPTION_MS: u64 = 2_500;
/// How long a peer that did not answer is not queried while there are others, in ms.
const UNRESPONSIVE_MS: u64 = 2_000;

/// How a node receives new versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// It has no publisher that the source answers.
    #[default]
    None,
    /// From a watcher that the source answers.
    Relayed,
    /// From the source itself.
    Direct,
}

/// Status of a node, sent with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How it receives versions.
    pub access: Access,
    /// When it watches the source.
    pub watch: Watch,
    /// A watcher that the source answers, if it knows one: the first in the order in which watchers
    /// ask the source.
    pub source: Option<NodeId>,
    /// Its latest confirmation.
    pub newest: Confirmation,
}

/// A node that sends versions to this one, by its own last status.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publisher {
    pub access: Access,
    pub watch: Watch,
    reported_at: Ms,
    /// When its version was last confirmed as the newest.
    confirmed_at: Ms,
}

impl Publisher {
    /// Returns whether its last confirmation is older than that of a working publisher gets.
    pub(super) fn is_stale(&self, now: Ms) -> bool {
        now.since(self.confirmed_at) > QUERY_AGE_MS + QUERY_MS
    }
}

/// Publishers and subscribers of this node.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    pub publishers: BTreeMap<NodeId, Publisher>,
    /// Unanswered queries: the peer and when it was first queried.
    pub pending: BTreeMap<NodeId, Ms>,
    /// Peers that did not answer in time, and when that was noticed.
    pub unresponsive: BTreeMap<NodeId, Ms>,
    /// Subscribers and the time of their last query.
    subscribers: BTreeMap<NodeId, Ms>,
    /// A watcher that a peer named; queried next.
    pub hint: Option<NodeId>,
    pub queried_at: Ms,
    /// When a peer last answered.
    pub answered_at: Option<Ms>,
    /// When this node last had a publisher or received a version.
    pub informed_at: Ms,
}

impl Subscriptions {
    /// Returns whether a peer has answered this process yet.
    pub(super) fn has_answer(&self) -> bool {
        self.answered_at.is_some()
    }

    fn all_subscribers(&self) -> Vec<NodeId> {
        self.subscribers.keys().copied().collect()
    }

    /// Returns the subscribers to send a change to: those that the source does not answer.
    pub(super) fn push_targets(&self) -> Vec<NodeId> {
        let is_direct = |id: &NodeId| {
            self.publishers
                .get(id)
                .is_some_and(|it| it.access == Access::Direct)
        };
        self.subscribers
            .keys()
            .copied()
            .filter(|it| !is_direct(it))
            .collect()
    }

    /// Returns whether `peer` is another node than `own` and no query to it is pending or timed
    /// out.
    pub(super) fn is_responsive(&self, peer: NodeId, own: NodeId) -> bool {
        peer != own && !self.pending.contains_key(&peer) && !self.unresponsive.contains_key(&peer)
    }

    /// Records that this node has a publisher or received a version.
    pub(super) fn record_informed(&mut self, now: Ms) {
        self.informed_at = now;
    }

    /// Records an answer of `from`.
    pub(super) fn record_answer(&mut self, now: Ms, from: NodeId) {
        self.pending.remove(&from);
        self.unresponsive.remove(&from);
        self.answered_at = Some(now);
    }

    /// Removes peers that did not answer in time, are expired, or cannot be reached.
    fn expire(&mut self, now: Ms, reach: impl Fn(NodeId) -> Option<Reach>) {
        let timed_out: Vec<NodeId> = self
            .pending
            .iter()
            .filter(|(_, since)| now.since(**since) >= ANSWER_TIMEOUT_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.pending.remove(&id);
            self.publishers.remove(&id);
            self.unresponsive.insert(id, now);
        }
        // A node that has left would be queried in vain until its entry expires.
        let is_reachable = |id| matches!(reach(id), Some(it) if it != Reach::Unreachable);
        self.publishers
            .retain(|id, it| now.since(it.reported_at) < PUBLISHER_EXPIRY_MS && is_reachable(*id));
        self.unresponsive
            .retain(|_, since| now.since(*since) < UNRESPONSIVE_MS);
        self.subscribers
            .retain(|id, since| now.since(*since) < SUBSCRIPTION_MS && is_reachable(*id));
    }

    /// Returns the first watcher that the source answers.
    pub(super) fn first_source(&self) -> Option<NodeId> {
        self.sources().min().map(|(_, id)| id)
    }

    /// Returns the watcher with the lowest id that the source answers and whose confirmation is recent. A standby may
    /// come first: it has just read the source.
    pub(super) fn fresh_source(&self, now: Ms) -> Option<NodeId> {
        let ids = self.sources().map(|(_, id)| id);
        ids.filter(|id| !self.publishers[id].is_stale(now)).min()
    }

    /// Returns the watchers that the source answers, by id. They ask the source in the order of these
    /// pairs: permanent watchers first, since standbys soon stop.
    pub(super) fn sources(&self) -> impl Iterator<Item = (Watch, NodeId)> {
        let direct = |it: &&Publisher| it.access == Access::Direct;
        let publishers = self.publishers.iter();
        publishers
            .filter(move |(_, it)| direct(it))
            .map(|(id, it)| (it.watch, *id))
    }
}

/// Returns how this node receives versions.
pub(super) fn access(state: &State) -> Access {
    let import = &state.import;
    if import.turn == Turn::Follow && import.source == Source::Held {
        return Access::Direct;
    }
    match import.subscriptions.first_source() {
        Some(_) => Access::Relayed,
        None => Access::None,
    }
}

/// Returns the status that this node sends to others.
pub(super) fn own_status(cx: &Context<'_>, state: &State) -> Status {
    let access = access(state);
    let import = &state.import;
    let first = match access {
        Access::Direct => earlier_watchers(cx, state).min().map(|(_, id)| id),
        Access::Relayed | Access::None => import.subscriptions.fresh_source(cx.now),
    };
    Status {
        access,
        watch: cx.settings.watch,
        source: match access {
            Access::Direct => Some(first.unwrap_or(cx.settings.node)),
            Access::Relayed | Access::None => first.or(import.subscriptions.first_source()),
        },
        newest: import.freshness.latest(cx.now),
    }
}

/// Returns the message with this node's status, in answer to a query that was sent at `query` if it is one. It is dated
/// if requests carry keys.
pub(super) fn status_message(cx: &Context<'_>, state: &State, query: Option<Ms>) -> Message {
    let import = &state.import;
    let dated = import.table.has_customers().then(|| Dated {
        clock: cx.now,
        process: cx.settings.incarnation,
        query,
        known: import.knowledge.latest(cx.now),
    });
    Message::Status {
        status: own_status(cx, state),
        dated,
    }
}

/// Returns the watchers that ask the source before this one.
pub(super) fn earlier_watchers(
    cx: &Context<'_>,
    state: &State,
) -> impl Iterator<Item = (Watch, NodeId)> {
    let own = (cx.settings.watch, cx.settings.node);
    let sources = state.import.subscriptions.sources();
    sources.filter(move |it| *it < own)
}

/// Sends this node's status to all subscribers except `from`, which it comes from.
pub(super) fn send_status(cx: &mut Context<'_>, state: &State, from: NodeId) {
    let status = status_message(cx, state, None);
    for to in state.import.subscriptions.all_subscribers() {
        if to != from {
            cx.send(to, event::Message::Import(status.clone()));
        }
    }
}

/// Subscribes `from` after its query.
pub(super) fn add_subscriber(cx: &Context<'_>, state: &mut State, from: NodeId) {
    // Only nodes that the source answers subscribe peers of other zones. Otherwise each change would
    // be sent between the zones many times.
    if access(state) == Access::Direct || is_in_zone(cx, state, from) {
        state.import.subscriptions.subscribers.insert(from, cx.now);
    }
}

fn is_in_zone(cx: &Context<'_>, state: &State, id: NodeId) -> bool {
    let mut near = state.members.ready_in(&cx.settings.zone);
    near.any(|it| it.id == id)
}

/// Handles the status of `from`.
pub(super) fn handle_status(cx: &Context<'_>, state: &mut State, from: NodeId, status: Status) {
    // Only watchers use a publisher in another zone, or each change would cross zones once per
    // node.
    let watches = state.import.turn == Turn::Follow;
    let near = is_in_zone(cx, state, from);
    let useful = match status.access {
        Access::None => false,
        // A relay in another zone is one hop further from the source than the watcher it names. A
        // relay in this zone, beside a known watcher, would hide for seconds that all watchers are
        // gone.
        Access::Relayed => {
            near && state
                .import
                .subscriptions
                .first_source()
                .is_none_or(|it| it == from)
        }
        Access::Direct => near || watches,
    };
    let hint = status.source.filter(|it| {
        let known = state.members.reach(*it).is_some() && *it != cx.settings.node;
        known && (watches || is_in_zone(cx, state, *it))
    });
    let subscriptions = &mut state.import.subscriptions;
    if useful {
        let publisher = Publisher {
            access: status.access,
            watch: status.watch,
            reported_at: cx.now,
            confirmed_at: cx.now - status.newest.age,
        };
        subscriptions.publishers.insert(from, publisher);
    } else {
        subscriptions.publishers.remove(&from);
    }
    let known = match watches {
        // Watchers look for the first of all watchers.
        true => subscriptions.first_source(),
        false => subscriptions.fresh_source(cx.now),
    };
    if known.is_none_or(|it| watches && hint.is_some_and(|hint| hint < it)) {
        subscriptions.hint = hint.or(subscriptions.hint);
    }
}

/// Expires peers, decides whether this node watches, and queries if a query is due.
pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    let reach = |id| state.members.reach(id);
    state.import.subscriptions.expire(cx.now, reach);
    turn::update_turn(cx, state);
    let earlier = earlier_watchers(cx, state).count();
    confirmation::tick(cx, state, earlier);
    query::query_if_due(cx, state);
}
