//! Whom a node asks for newer versions, and when.
//!
//! In calm it asks whom it relies on, which keeps it on that node's list. Without a young confirmation it asks around.

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};

use super::{
    Message, Turn,
    confirmation::Need,
    subscription::{ASK_MS, Access, Publisher, Subscriptions, access, before, status},
    turn::{STANDBYS, is_scout, standbys},
};
use crate::{
    event,
    id::NodeId,
    kernel::{Context, State},
    members::Record,
    utils::rendezvous,
};

/// Mean time between two questions of a watcher that the source answers, in ms.
const ASK_HELD_MS: u64 = 2_000;
/// The same for a node that nobody tells or vouches to, in ms.
const ASK_UNINFORMED_MS: u64 = 250;
/// One question in this many goes to a peer abroad, since a zone may be behind as a whole.
const ABROAD: u32 = 8;
/// The same for a node that watches the source.
const ABROAD_WATCHING: u32 = 2;
/// A watcher that the source answers asks another node than the first of them once in this many times.
const EXPLORE: u32 = 4;
/// Share of the time without a confirmation between two rounds of questions.
const LOOK_SHARE: u64 = 8;
/// Peers that a node asks without knowing how they learn of versions, in its own zone and abroad. They are the same few each time: a
/// first message to a node opens a connection, which takes ten times the bytes.
const PARTNERS: usize = 2;

/// Asks if it is time to.
pub(super) fn ask_somebody(cx: &mut Context<'_>, state: &mut State) {
    let held = state.import.table.version();
    let need = state.import.confirmation.need(cx.now, held);
    let gap = match (need, access(state)) {
        // Where a whole fleet is without the source, each of them asks the less often the longer it lasts.
        (Need::Statement | Need::Version(_), _) => {
            let age = state.import.confirmation.age(cx.now);
            (age / LOOK_SHARE).clamp(ASK_UNINFORMED_MS, ASK_MS)
        }
        // Nobody has compared versions with it yet, and it is not ready before.
        _ if !state.import.subscriptions.answered() => ASK_UNINFORMED_MS,
        (_, Access::Direct) => ASK_HELD_MS,
        (_, Access::Relayed) => ASK_MS,
        (_, Access::None)
            if !state.import.subscriptions.publishers.is_empty()
                && state.import.turn == Turn::Rest =>
        {
            ASK_MS
        }
        (_, Access::None) => ASK_UNINFORMED_MS,
    };
    if cx.now.since(state.import.subscriptions.asked) < gap {
        return;
    }
    // Jitter, so that a herd that started together does not ask in step.
    state.import.subscriptions.asked = cx.now - cx.rng.random_range(0..=gap / 4);
    let peers = match need {
        Need::Nothing => whom_to_ask_in_calm(cx, state),
        // Several would all send the whole version.
        Need::Version(from) if from != cx.settings.node => vec![from],
        Need::Statement | Need::Version(_) => whom_to_ask_around(cx, state),
    };
    for peer in peers {
        state.import.confirmation.tried(peer);
        ask(cx, state, peer);
    }
}

/// Asks `peer` for a newer version.
pub(super) fn ask(cx: &mut Context<'_>, state: &mut State, peer: NodeId) {
    state
        .import
        .subscriptions
        .open
        .entry(peer)
        .or_insert(cx.now);
    let message = Message::Ask {
        version: state.import.table.version(),
        status: status(cx, state),
    };
    cx.send(peer, event::Message::Import(message));
}

/// Whom to ask for a newer version: one that tells this node, if there is one, else somebody who may know one.
fn whom_to_ask(cx: &mut Context<'_>, state: &mut State) -> Option<NodeId> {
    let own = cx.settings.node;
    if let Some(hinted) = state.import.subscriptions.hinted.take() {
        return Some(hinted);
    }
    let access = access(state);
    let subscriptions = &state.import.subscriptions;
    let heard = |id| !subscriptions.silent.contains_key(&id);
    let (near, abroad) = peers(cx, state, heard);
    let uninformed = subscriptions.publishers.is_empty() && access != Access::Direct;
    // Those who watch meet across zones, so that only one of them all asks the source.
    let every = match state.import.turn {
        Turn::Follow => ABROAD_WATCHING,
        Turn::Rest => ABROAD,
    };
    if !uninformed && access != Access::Direct {
        return best(cx, subscriptions, &near);
    }
    if cx.rng.random_ratio(1, every) || near.is_empty() {
        // Two that are always the same may both belong to zones that lost the source as well.
        let found = match uninformed {
            true => abroad.choose(cx.rng).map(|it| it.id),
            false => partners(own, &abroad).choose(cx.rng).copied(),
        };
        if found.is_some() {
            return found;
        }
    }
    let mut near = partners(own, &near);
    if uninformed {
        let first = standbys(cx, state).into_iter().filter(|it| *it != own);
        near.extend(first.take(STANDBYS));
    }
    near.choose(cx.rng).copied()
}

/// Whom to ask if the version held is the newest as far as is known. A watcher that the source answers stays with the first of
/// them all, which vouches for its version, and looks now and then whether there is another one before it.
fn whom_to_ask_in_calm(cx: &mut Context<'_>, state: &mut State) -> Vec<NodeId> {
    let first = match access(state) {
        Access::Direct => before(cx, state).min().map(|(_, id)| id),
        Access::Relayed | Access::None => None,
    };
    let mut whom = Vec::from_iter(first);
    if first.is_none() || cx.rng.random_ratio(1, EXPLORE) {
        whom.extend(whom_to_ask(cx, state));
    }
    whom
}

/// Whom to ask if nobody vouches for the version held, however those that tell this node see themselves: whom it relies on, one
/// more nearby, and one abroad if it is among those that look there for their zone.
fn whom_to_ask_around(cx: &mut Context<'_>, state: &mut State) -> Vec<NodeId> {
    let hinted = state.import.subscriptions.hinted.take();
    let own = cx.settings.node;
    let looks_abroad = state.import.turn == Turn::Follow || is_scout(cx, state);
    let subscriptions = &state.import.subscriptions;
    // While one that was asked may still answer, another one is of more use.
    let (near, abroad) = peers(cx, state, |id| subscriptions.answers(id, own));
    let mut whom = Vec::from_iter(hinted);
    // Those that it relies on should have vouched by now: whether they are still there tells whether others are to watch.
    let sources = subscriptions.sources().map(|(_, id)| id);
    whom.extend(sources.filter(|it| subscriptions.answers(*it, own)));
    whom.extend(near.choose(cx.rng).map(|it| it.id));
    if looks_abroad || near.is_empty() {
        whom.extend(abroad.choose(cx.rng).map(|it| it.id));
    }
    whom.sort_unstable();
    whom.dedup();
    whom
}

/// One of those that tell this node: near ones before others, and nodes that the source answers before those that are told.
fn best(cx: &mut Context<'_>, subscriptions: &Subscriptions, near: &[&Record]) -> Option<NodeId> {
    let now = cx.now;
    let rank = |id: &NodeId, it: &Publisher| {
        let abroad = !near.iter().any(|it| it.id == *id);
        (it.stale(now), it.access != Access::Direct, abroad)
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

/// The peers that `wanted` holds for, in the own zone and abroad.
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

/// The peers that `own` asks, among those given, without knowing more of them.
fn partners(own: NodeId, peers: &[&Record]) -> Vec<NodeId> {
    let mut ranked = rendezvous(&format!("import/{own}"), peers.iter().map(|it| it.id));
    ranked.truncate(PARTNERS);
    ranked
}
