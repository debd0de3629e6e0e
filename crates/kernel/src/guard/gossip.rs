//! Spread of crashes and quarantine records: gossip of updates, and periodic anti-entropy for lost messages.

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

/// Number of nodes to which a node forwards a new record.
const GOSSIP_FANOUT: usize = 4;

/// Number of nodes of a service that receive a crash report directly; the others receive it by anti-entropy.
const REPORT_FANOUT: usize = 16;

/// Interval of anti-entropy, in ms.
const ANTI_ENTROPY_MS: u64 = 5_000;

/// Maximum number of crashes per anti-entropy message, newest first.
const ANTI_ENTROPY_CRASHES: usize = 8;

/// Time of the last anti-entropy round.
#[derive(Debug, Default)]
pub(super) struct GossipState {
    last_round: Ms,
}

/// Sends `message` to random nodes of `service`.
pub(super) fn send_to_service(
    cx: &mut Context<'_>,
    state: &State,
    service: &Name,
    message: &Message,
) {
    let peers = peers(cx, state, |it| serves(it, service));
    for to in sample_peers(cx, &peers, REPORT_FANOUT) {
        cx.send(to, event::Message::Guard(message.clone()));
    }
}

/// Forwards new records to a few random nodes. Each node forwards a record once.
pub(super) fn gossip_records(cx: &mut Context<'_>, state: &State, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    cx.raise(Notice::Quarantine);
    let peers = peers(cx, state, |_| true);
    for to in sample_peers(cx, &peers, GOSSIP_FANOUT) {
        let records = records.clone();
        cx.send(to, event::Message::Guard(Message::Records { records }));
    }
}

/// Sends the digest of all records to one random node and the newest crashes to one node of the own service.
///
/// The digest is sent even without records, so that a new node receives the existing quarantines.
pub(super) fn run_anti_entropy(cx: &mut Context<'_>, state: &mut State) {
    if cx.now.since(state.guard.gossip.last_round) < ANTI_ENTROPY_MS {
        return;
    }
    state.guard.gossip.last_round = cx.now;
    let peers = peers(cx, state, |_| true);
    if let Some(to) = peers.choose(cx.rng).copied() {
        let digest = digest(state);
        cx.send(to, event::Message::Guard(Message::Digest { digest }));
    }
    let Some(service) = state.guard.service.clone() else {
        return;
    };
    let newest = state.guard.crashes.iter().rev().take(ANTI_ENTROPY_CRASHES);
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
    let service_peers = self::peers(cx, state, |it| serves(it, &service));
    if let Some(to) = service_peers.choose(cx.rng).copied() {
        let message = Message::Crashes { service, crashes };
        cx.send(to, event::Message::Guard(message));
    }
}

/// Answers a different digest with all records, or with the own digest if there are none.
pub(super) fn compare_digest(cx: &mut Context<'_>, state: &State, from: NodeId, other: u64) {
    if other == digest(state) {
        return;
    }
    let records: Vec<Record> = state.guard.records.values().cloned().collect();
    if records.is_empty() {
        // The peer has records: the own digest requests them.
        let digest = digest(state);
        return cx.send(from, event::Message::Guard(Message::Digest { digest }));
    }
    cx.send(from, event::Message::Guard(Message::Records { records }));
}

/// Returns up to `count` random peers, sorted.
fn sample_peers(cx: &mut Context<'_>, peers: &[NodeId], count: usize) -> Vec<NodeId> {
    let mut sample: Vec<NodeId> = peers.choose_multiple(cx.rng, count).copied().collect();
    sample.sort_unstable();
    sample
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
    predicate: impl Fn(&members::Record) -> bool,
) -> Vec<NodeId> {
    let alive = state.members.alive();
    alive
        .filter(|it| it.id != cx.settings.node && predicate(it))
        .map(|it| it.id)
        .collect()
}
