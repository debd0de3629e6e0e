//! How crashes and quarantines reach other nodes: gossip on news, and periodic repair for what was lost.

use rand::seq::IndexedRandom;

use crate::{
    clock::Ms,
    event::{self, Notice},
    guard::{Crash, Message, Record},
    id::{Name, NodeId},
    kernel::{Context, State},
    members,
    utils::hash64,
};

/// Nodes that a quarantine is passed on to by each node that learns of it.
const FANOUT: usize = 4;

/// Nodes of a service that hear of a crash at once; repair tells the others.
const REPORT_MAX: usize = 16;

/// Time between two repairs, in ms.
const REPAIR_MS: u64 = 5_000;

/// Crashes that one repair carries, the newest first: at most a few hundred bytes a second.
const REPAIR_CRASHES: usize = 8;

/// When the last repair was.
#[derive(Debug, Default)]
pub(super) struct Spread {
    repaired: Ms,
}

/// Sends `message` to nodes of `service`.
pub(super) fn tell_service(cx: &mut Context<'_>, state: &State, service: &Name, message: &Message) {
    let peers = peers(cx, state, |it| serves(it, service));
    for to in some(cx, &peers, REPORT_MAX) {
        cx.send(to, event::Message::Guard(message.clone()));
    }
}

/// Passes news on to a few nodes. Each passes on a record once, so a quarantine costs a node a few messages.
pub(super) fn pass_on(cx: &mut Context<'_>, state: &State, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    cx.raise(Notice::Quarantine);
    let peers = peers(cx, state, |_| true);
    for to in some(cx, &peers, FANOUT) {
        let records = records.clone();
        cx.send(to, event::Message::Guard(Message::Records { records }));
    }
}

/// Compares with one random node, so that a lost message delays but never loses.
///
/// Digests are also sent when there is nothing to tell: that is how a new node learns of quarantines.
pub(super) fn repair(cx: &mut Context<'_>, state: &mut State) {
    if cx.now.since(state.guard.spread.repaired) < REPAIR_MS {
        return;
    }
    state.guard.spread.repaired = cx.now;
    let peers = peers(cx, state, |_| true);
    if let Some(to) = peers.choose(cx.rng).copied() {
        let digest = digest(state);
        cx.send(to, event::Message::Guard(Message::Digest { digest }));
    }
    let Some(service) = state.guard.service.clone() else {
        return;
    };
    let newest = state.guard.crashes.iter().rev().take(REPAIR_CRASHES);
    let crashes: Vec<Crash> = newest
        .map(|((time, node), prints)| Crash {
            node: *node,
            time: *time,
            prints: prints.clone(),
        })
        .collect();
    if crashes.is_empty() {
        return;
    }
    let near = self::peers(cx, state, |it| serves(it, &service));
    if let Some(to) = near.choose(cx.rng).copied() {
        let message = Message::Crashes { service, crashes };
        cx.send(to, event::Message::Guard(message));
    }
}

/// Answers a digest that differs with all records; the sender answers in kind if it still differs.
pub(super) fn compare(cx: &mut Context<'_>, state: &State, from: NodeId, other: u64) {
    if other == digest(state) {
        return;
    }
    let records: Vec<Record> = state.guard.records.values().cloned().collect();
    if records.is_empty() {
        // The other side has some: ask for them.
        let digest = digest(state);
        return cx.send(from, event::Message::Guard(Message::Digest { digest }));
    }
    cx.send(from, event::Message::Guard(Message::Records { records }));
}

/// Up to `count` random ones of `peers`, in order.
fn some(cx: &mut Context<'_>, peers: &[NodeId], count: usize) -> Vec<NodeId> {
    let mut some: Vec<NodeId> = peers.choose_multiple(cx.rng, count).copied().collect();
    some.sort_unstable();
    some
}

fn digest(state: &State) -> u64 {
    let records: Vec<&Record> = state.guard.records.values().collect();
    let bytes = postcard::to_stdvec(&records).expect("records encode");
    hash64(&[&bytes])
}

fn serves(record: &members::Record, service: &Name) -> bool {
    let offer = record.offer.as_ref();
    offer.is_some_and(|it| it.service == *service)
}

fn peers(
    cx: &Context<'_>,
    state: &State,
    wanted: impl Fn(&members::Record) -> bool,
) -> Vec<NodeId> {
    let ready = state.members.alive();
    ready
        .filter(|it| it.id != cx.settings.node && wanted(it))
        .map(|it| it.id)
        .collect()
}
