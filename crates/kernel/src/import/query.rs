//! Chooses the peers that a node queries for newer versions, and when.
//!
//! While its version is confirmed, a node queries its publisher, which keeps it subscribed.
//! Otherwise it queries several peers.

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};

use super::{
    Message, Turn,
    confirmation::Need,
    subscription::{
        Access, Publisher, QUERY_MS, Subscriptions, access, earlier_watchers, own_status,
    },
    turn::{STANDBYS_PER_STEP, queries_remote, standbys},
};
use crate::{
    event,
    id::NodeId,
    kernel::{Context, State},
    members::Record,
    utils::rendezvous,
};

/// Time between two queries of a watcher that the source answers, in ms; up to a quarter less by
/// jitter.
const QUERY_DIRECT_MS: u64 = 2_000;
/// The same for a node without a publisher or a recent confirmation, in ms.
const QUERY_UNINFORMED_MS: u64 = 250;
/// One query in this many goes to a peer in another zone, since a whole zone may be behind.
const REMOTE_RATIO: u32 = 8;
/// The same for a node that watches the source.
const REMOTE_RATIO_WATCHING: u32 = 2;
/// A watcher that the source answers queries another node besides the first watcher once in this
/// many times.
const EXPLORE_RATIO: u32 = 4;
/// Divisor of the time without a confirmation that gives the time between two rounds of queries.
const QUERY_AGE_DIVISOR: u64 = 8;
/// Number of peers, in its own zone and in others, that a node queries without knowing how they
/// receive versions. They stay the same, since a first message to a node opens a connection.
const FIXED_PEERS: usize = 2;

/// Queries peers if a query is due.
pub(super) fn query_if_due(cx: &mut Context<'_>, state: &mut State) {
    let held = state.import.table.version();
    let need = state.import.freshness.need(cx.now, held);
    let gap = match (need, access(state)) {
        // Back off with the age, or a whole fleet without the source would keep querying itself.
        (Need::Confirmation | Need::Version(_), _) => {
            let age = state.import.freshness.age(cx.now);
            (age / QUERY_AGE_DIVISOR).clamp(QUERY_UNINFORMED_MS, QUERY_MS)
        }
        // No peer has compared versions yet, and the node is not ready before.
        _ if !state.import.subscriptions.has_answer() => QUERY_UNINFORMED_MS,
        (_, Access::Direct) => QUERY_DIRECT_MS,
        (_, Access::Relayed) => QUERY_MS,
        (_, Access::None)
            if !state.import.subscriptions.publishers.is_empty()
                && state.import.turn == Turn::Rest =>
        {
            QUERY_MS
        }
        (_, Access::None) => QUERY_UNINFORMED_MS,
    };
    if cx.now.since(state.import.subscriptions.queried_at) < gap {
        return;
    }
    // Jitter, so that nodes that started together don't query at the same time.
    state.import.subscriptions.queried_at = cx.now - cx.rng.random_range(0..=gap / 4);
    let peers = match need {
        Need::Nothing => choose_peers_when_fresh(cx, state),
        // Only one, because each peer would send the whole version.
        Need::Version(from) if from != cx.settings.node => vec![from],
        Need::Confirmation | Need::Version(_) => choose_peers_when_stale(cx, state),
    };
    for peer in peers {
        state.import.freshness.record_query(peer);
        query(cx, state, peer);
    }
}

/// Queries `peer` for a newer version.
pub(super) fn query(cx: &mut Context<'_>, state: &mut State, peer: NodeId) {
    state
        .import
        .subscriptions
        .pending
        .entry(peer)
        .or_insert(cx.now);
    let version = state.import.table.version();
    let message = Message::Ask {
        version,
        status: own_status(cx, state),
        // A node without a version does not know whether there are customers.
        sent: (version == 0 || state.import.table.has_customers()).then_some(cx.now),
    };
    cx.send(peer, event::Message::Import(message));
}

/// Chooses a peer to query: a publisher if there is one, else a peer that may know one.
fn choose_peer(cx: &mut Context<'_>, state: &mut State) -> Option<NodeId> {
    let own = cx.settings.node;
    if let Some(hint) = state.import.subscriptions.hint.take() {
        return Some(hint);
    }
    let access = access(state);
    let subscriptions = &state.import.subscriptions;
    let responsive = |id| !subscriptions.unresponsive.contains_key(&id);
    let (near, remote) = peers(cx, state, responsive);
    let uninformed = subscriptions.publishers.is_empty() && access != Access::Direct;
    // Watchers find one another across zones, so that only one of them asks the source.
    let ratio = match state.import.turn {
        Turn::Follow => REMOTE_RATIO_WATCHING,
        Turn::Rest => REMOTE_RATIO,
    };
    if !uninformed && access != Access::Direct {
        return choose_publisher(cx, subscriptions, &near);
    }
    if cx.rng.random_ratio(1, ratio) || near.is_empty() {
        // The fixed peers may all belong to zones that lost the source as well.
        let found = match uninformed {
            true => remote.choose(cx.rng).map(|it| it.id),
            false => fixed_peers(own, &remote).choose(cx.rng).copied(),
        };
        if found.is_some() {
            return found;
        }
    }
    let mut near = fixed_peers(own, &near);
    if uninformed {
        let first = standbys(cx, state).into_iter().filter(|it| *it != own);
        near.extend(first.take(STANDBYS_PER_STEP));
    }
    near.choose(cx.rng).copied()
}

/// Chooses the peers to query while the version held is confirmed. A watcher that the source
/// answers queries the first watcher, whose confirmations it uses, and sometimes looks for an
/// earlier one.
fn choose_peers_when_fresh(cx: &mut Context<'_>, state: &mut State) -> Vec<NodeId> {
    let first = match access(state) {
        Access::Direct => earlier_watchers(cx, state).min().map(|(_, id)| id),
        Access::Relayed | Access::None => None,
    };
    let mut chosen = Vec::from_iter(first);
    if first.is_none() || cx.rng.random_ratio(1, EXPLORE_RATIO) {
        chosen.extend(choose_peer(cx, state));
    }
    chosen
}

/// Chooses the peers to query without a recent confirmation: the watchers known, one more peer in
/// this zone, and one in another zone if this node watches the source or queries for its zone.
fn choose_peers_when_stale(cx: &mut Context<'_>, state: &mut State) -> Vec<NodeId> {
    let hint = state.import.subscriptions.hint.take();
    let own = cx.settings.node;
    let includes_remote = state.import.turn == Turn::Follow || queries_remote(cx, state);
    let subscriptions = &state.import.subscriptions;
    // Skips peers that have a pending query or did not answer the last one.
    let (near, remote) = peers(cx, state, |id| subscriptions.is_responsive(id, own));
    let mut chosen = Vec::from_iter(hint);
    // The watchers should have sent a confirmation by now. Whether they still answer decides if
    // standbys take over.
    let sources = subscriptions.sources().map(|(_, id)| id);
    chosen.extend(sources.filter(|it| subscriptions.is_responsive(*it, own)));
    chosen.extend(near.choose(cx.rng).map(|it| it.id));
    if includes_remote || near.is_empty() {
        chosen.extend(remote.choose(cx.rng).map(|it| it.id));
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// Chooses a publisher: recently confirmed ones first, then watchers that the source answers, then
/// those in this zone.
fn choose_publisher(
    cx: &mut Context<'_>,
    subscriptions: &Subscriptions,
    near: &[&Record],
) -> Option<NodeId> {
    let now = cx.now;
    let rank = |id: &NodeId, it: &Publisher| {
        let remote = !near.iter().any(|it| it.id == *id);
        (it.is_stale(now), it.access != Access::Direct, remote)
    };
    let least = subscriptions
        .publishers
        .iter()
        .map(|(id, it)| rank(id, it))
        .min()?;
    let best = subscriptions
        .publishers
        .iter()
        .filter(|(id, it)| rank(id, it) == least);
    best.map(|(id, _)| *id).choose(cx.rng)
}

/// Returns the peers that `wanted` holds for, in this zone and in other zones.
fn peers<'a>(
    cx: &Context<'_>,
    state: &'a State,
    wanted: impl Fn(NodeId) -> bool,
) -> (Vec<&'a Record>, Vec<&'a Record>) {
    let own = cx.settings.node;
    let peers = state.members.ready();
    let peers = peers.filter(|it| it.id != own && wanted(it.id));
    peers.partition(|it| it.zone == cx.settings.zone)
}

/// Returns the few of `peers` that `own` always queries.
fn fixed_peers(own: NodeId, peers: &[&Record]) -> Vec<NodeId> {
    let mut ranked = rendezvous(&format!("import/{own}"), peers.iter().map(|it| it.id));
    ranked.truncate(FIXED_PEERS);
    ranked
}
