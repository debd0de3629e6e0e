//! Bulk exchange over the link: whole views for joins and differences for anti-entropy.

use std::collections::{BTreeSet, VecDeque};

use rand::{Rng, seq::SliceRandom};

use super::{
    Applied, Members, Message, Propagation, contact, digest, join, probe,
    record::{Head, Update},
    suspect,
};
use crate::{clock::Ms, event, id::NodeId, kernel::Context};

/// Approximate limit of the bytes of updates in one message; the link drops frames above 64 KiB.
pub const CHUNK_MAX: usize = 48 * 1024;

/// Mean time between two comparisons that a node begins, in ms.
pub const SYNC_MS: u64 = 10_000;

/// The same after the start of the process, and for how long it holds, in ms. When a whole fleet
/// starts, the first view received is incomplete and requests would be refused for lack of endpoints.
const STARTUP_SYNC_MS: u64 = 1_000;
const STARTUP_MS: u64 = 8_000;

/// Random members among which a partner in the own zone is preferred.
const CANDIDATES: usize = 8;

/// One comparison in this many is with a member of any zone.
const ANY_ZONE_RATIO: u32 = 4;

/// Most joins and pulls served at a time.
const OUTGOING_MAX: usize = 8;

/// Other members named to a node whose join or pull is not served.
const REFERRALS: usize = 4;

/// Approximate limit of heads in one message; the rest follows with the next comparison.
const HEADS_MAX: usize = 1_500;

/// Messages with more updates than this are treated as whole views and not gossiped further.
const GOSSIPED_MAX: usize = 16;

/// Records still to be sent to one node.
#[derive(Debug)]
struct Outgoing {
    to: NodeId,
    ids: Vec<NodeId>,
}

/// State of the bulk exchanges.
#[derive(Debug, Default)]
pub(super) struct Sync {
    started: Ms,
    next: Ms,
    outgoing: VecDeque<Outgoing>,
}

impl Sync {
    /// Makes the next comparison due at the next tick.
    pub(super) fn compare_now(&mut self, now: Ms) {
        self.next = now;
    }
}

/// Sends one chunk and begins a comparison if one is due.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    send_chunk(cx, members);
    if members.sync.started == Ms(0) {
        members.sync.started = cx.now;
        members.sync.next = cx.now + cx.rng.random_range(0..STARTUP_SYNC_MS);
    }
    if cx.now < members.sync.next {
        return;
    }
    let mean = match cx.now.since(members.sync.started) < STARTUP_MS {
        true => STARTUP_SYNC_MS,
        false => SYNC_MS,
    };
    members.sync.next = cx.now + cx.rng.random_range(mean / 2..=mean * 3 / 2);
    if let Some(to) = choose_partner(cx, members) {
        let root = members.digest.root();
        send(cx, to, Message::Compare { root });
    }
}

/// Returns a random member to compare with, mostly of the own zone, since traffic between zones costs
/// most.
fn choose_partner(cx: &mut Context<'_>, members: &Members) -> Option<NodeId> {
    let own = members.own.id;
    let is_local = |id: &NodeId| {
        let member = members.others.get(id);
        member.is_some_and(|it| it.record.zone == members.own.zone)
    };
    let candidates = probe::reachable_peers(cx, members, CANDIDATES, own);
    let local = candidates.iter().find(|it| is_local(it));
    match local {
        Some(it) if !cx.rng.random_ratio(1, ANY_ZONE_RATIO) => Some(*it),
        _ => candidates.first().copied(),
    }
}

/// Handles one bulk message.
pub(super) fn handle_message(
    cx: &mut Context<'_>,
    members: &mut Members,
    from: NodeId,
    message: &Message,
) {
    match message {
        Message::Join { record } => {
            let known: Vec<NodeId> = members.ids.clone();
            members.apply_update(cx.now, &Update::Record(record.clone()), Propagation::Gossip);
            serve_records(cx, members, from, known);
        }
        Message::Records { updates } => apply_records(cx, members, updates),
        Message::Busy { others } => {
            if members.others.is_empty() {
                join::send_joins(cx, members, others);
            }
        }
        Message::Compare { root } => answer_compare(cx, members, from, *root),
        // An equal digest is as good as the peer's whole view.
        Message::Same => {
            join::record_joined(cx, members);
            suspect::count_answer(members);
        }
        Message::Buckets { digests } => send_heads(cx, members, from, digests),
        Message::Heads {
            buckets,
            heads,
            zones,
        } => {
            for it in zones {
                members.apply_update(cx.now, &Update::Zone(it.clone()), Propagation::Gossip);
            }
            exchange_records(cx, members, from, buckets, heads);
        }
        Message::Pull { ids } => {
            let ids: Vec<NodeId> = ids
                .iter()
                .copied()
                .filter(|it| members.others.contains_key(it))
                .collect();
            serve_records(cx, members, from, ids);
        }
    }
}

fn apply_records(cx: &mut Context<'_>, members: &mut Members, updates: &[Update]) {
    // Other members may lack a few differences too, but not a whole view.
    let propagation = match updates.len() <= GOSSIPED_MAX {
        true => Propagation::Gossip,
        false => Propagation::Local,
    };
    let alone = members.others.is_empty();
    let mut changed = false;
    for it in updates {
        changed |= members.apply_update(cx.now, it, propagation) == Applied::Changed;
    }
    join::record_joined(cx, members);
    contact::join_remote_contacts(cx, members);
    suspect::count_answer(members);
    // Sends the own record by gossip now that other members are known.
    if alone && changed {
        members.change_own(cx.now, |_| {}, super::Delivery::Origin);
    }
}

fn answer_compare(cx: &mut Context<'_>, members: &mut Members, from: NodeId, root: u64) {
    let same = root == members.digest.root();
    if same {
        join::record_joined(cx, members);
    }
    let message = match same {
        true => Message::Same,
        false => Message::Buckets {
            digests: members.digest.buckets().to_vec(),
        },
    };
    send(cx, from, message);
}

fn send_heads(cx: &mut Context<'_>, members: &mut Members, from: NodeId, digests: &[u32]) {
    let own = members.digest.buckets();
    let mut differ: Vec<u8> = own
        .iter()
        .zip(digests)
        .enumerate()
        .filter(|(_, (lhs, rhs))| lhs != rhs)
        .map(|(idx, _)| idx as u8)
        .collect();
    // Large differences appear after the start of a whole fleet or a partition; compare again soon.
    if differ.len() > digest::BUCKETS / 2 {
        let soon = cx.now + cx.rng.random_range(SYNC_MS / 10..=SYNC_MS / 5);
        members.sync.next = members.sync.next.min(soon);
    }
    // A random order, so that the limit doesn't always leave out the same buckets.
    differ.shuffle(cx.rng);
    let each = members.others.len().div_ceil(digest::BUCKETS).max(1);
    differ.truncate((HEADS_MAX / each).max(1));
    let heads = heads_in(members, &differ);
    let zones = members.zones.states();
    send(
        cx,
        from,
        Message::Heads {
            buckets: differ,
            heads,
            zones,
        },
    );
}

/// Sends the records that `from` lacks and pulls those that this node lacks.
fn exchange_records(
    cx: &mut Context<'_>,
    members: &mut Members,
    from: NodeId,
    buckets: &[u8],
    heads: &[Head],
) {
    let mut pull = Vec::new();
    let mut dead = Vec::new();
    let mut current = BTreeSet::new();
    for head in heads {
        let own = match head.id == members.own.id {
            true => Some(members.own.stamp()),
            false => members.stamp(head.id),
        };
        if let Some(tombstone) = members
            .tombstones
            .get(head.id)
            .filter(|_| members.tombstones.covers(*head))
        {
            dead.push(Update::Dead(tombstone));
        } else if own < Some(head.stamp) {
            pull.push(head.id);
        } else if own == Some(head.stamp) {
            current.insert(head.id);
        }
    }
    let push: Vec<NodeId> = heads_in(members, buckets)
        .into_iter()
        .map(|it| it.id)
        .filter(|it| !current.contains(it) && !pull.contains(it))
        .collect();
    let zones = members.zones.states().into_iter().map(Update::Zone);
    let updates: Vec<Update> = zones.chain(dead).take(TOMBSTONES_SENT_MAX).collect();
    send(cx, from, Message::Records { updates });
    if !pull.is_empty() {
        send(cx, from, Message::Pull { ids: pull });
    }
    if !push.is_empty() {
        serve_records(cx, members, from, push);
    }
}

/// Most tombstones and zone states in one message, to stay below the link's frame size.
const TOMBSTONES_SENT_MAX: usize = 512;

fn heads_in(members: &Members, buckets: &[u8]) -> Vec<Head> {
    members
        .alive()
        .map(|it| it.head())
        .filter(|it| buckets.contains(&digest::bucket_of(it.id)))
        .collect()
}

/// Sends the records of `ids` and this node's own to `to`, one chunk per tick.
fn serve_records(cx: &mut Context<'_>, members: &mut Members, to: NodeId, ids: Vec<NodeId>) {
    if members.sync.outgoing.len() >= OUTGOING_MAX {
        let others = probe::reachable_peers(cx, members, REFERRALS, to);
        return send(cx, to, Message::Busy { others });
    }
    members.sync.outgoing.retain(|it| it.to != to);
    members.sync.outgoing.push_back(Outgoing { to, ids });
    if members.sync.outgoing.len() == 1 {
        send_chunk(cx, members);
    }
}

fn send_chunk(cx: &mut Context<'_>, members: &mut Members) {
    let Some(mut outgoing) = members.sync.outgoing.pop_front() else {
        return;
    };
    let zones = members.zones.states().into_iter().map(Update::Zone);
    let mut updates: Vec<Update> = zones.collect();
    updates.push(Update::Record(members.own.clone()));
    let mut size: usize = updates.iter().map(Update::size).sum();
    while let Some(id) = outgoing.ids.pop() {
        let Some(member) = members.others.get(&id) else {
            continue;
        };
        let update = Update::Record(member.record.clone());
        size += update.size();
        updates.push(update);
        if size >= CHUNK_MAX {
            break;
        }
    }
    send(cx, outgoing.to, Message::Records { updates });
    if !outgoing.ids.is_empty() {
        members.sync.outgoing.push_back(outgoing);
    }
}

fn send(cx: &mut Context<'_>, to: NodeId, message: Message) {
    cx.send(to, event::Message::Members(message));
}
