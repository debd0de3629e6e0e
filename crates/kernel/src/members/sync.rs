//! Bulk exchange over the link: whole views for joins, differences for anti-entropy.

use std::collections::{BTreeSet, VecDeque};

use rand::{Rng, seq::SliceRandom};

use super::{
    Learned, Members, Message, Relay, contact, digest, join, probe,
    record::{Head, Update},
    suspect,
};
use crate::{clock::Ms, event, id::NodeId, kernel::Context};

/// Most bytes of updates in one message; the link drops frames above 64 KiB.
pub const CHUNK_MAX: usize = 48 * 1024;

/// Mean ms between two comparisons that a node begins.
pub const SYNC_MS: u64 = 10_000;

/// The same while the process is young, and how long it is, in ms. Where a whole fleet starts, whom a node asked first knew
/// few itself, and callers are refused for want of endpoints that are there.
const SYNC_YOUNG_MS: u64 = 1_000;
const YOUNG_MS: u64 = 8_000;

/// Members among which a partner of the own zone is looked for, and how many comparisons begin with any of them.
const DRAWN: usize = 8;
const ABROAD: u32 = 4;

/// Most joins and pulls served at a time.
const SERVED_MAX: usize = 8;

/// Members named to a node that is turned away.
const REFERRED: usize = 4;

/// About the most heads in one message; the rest follows with the next comparison.
const HEADS_MAX: usize = 1_500;

/// More updates than this in one message are a whole view rather than news.
const NEWS_MAX: usize = 16;

/// What is still to be sent to one node.
#[derive(Debug)]
struct Outgoing {
    to: NodeId,
    ids: Vec<NodeId>,
}

/// Bulk exchanges on their way.
#[derive(Debug, Default)]
pub(super) struct Sync {
    started: Ms,
    next: Ms,
    outgoing: VecDeque<Outgoing>,
}

impl Sync {
    /// Compares at the next tick.
    pub(super) fn hurry(&mut self, now: Ms) {
        self.next = now;
    }
}

/// Sends one chunk and begins a comparison if one is due.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    send_chunk(cx, members);
    if members.sync.started == Ms(0) {
        members.sync.started = cx.now;
        members.sync.next = cx.now + cx.rng.random_range(0..SYNC_YOUNG_MS);
    }
    if cx.now < members.sync.next {
        return;
    }
    let mean = match cx.now.since(members.sync.started) < YOUNG_MS {
        true => SYNC_YOUNG_MS,
        false => SYNC_MS,
    };
    members.sync.next = cx.now + cx.rng.random_range(mean / 2..=mean * 3 / 2);
    if let Some(to) = partner(cx, members) {
        let root = members.digest.root();
        send(cx, to, Message::Compare { root });
    }
}

/// Whom to compare with: mostly one of the own zone, since what is found to differ costs most between zones.
fn partner(cx: &mut Context<'_>, members: &Members) -> Option<NodeId> {
    let own = members.own.id;
    let near = |id: &NodeId| {
        let member = members.others.get(id);
        member.is_some_and(|it| it.record.zone == members.own.zone)
    };
    let drawn = probe::reachable_peers(cx, members, DRAWN, own);
    let near = drawn.iter().find(|it| near(it));
    match near {
        Some(it) if !cx.rng.random_ratio(1, ABROAD) => Some(*it),
        _ => drawn.first().copied(),
    }
}

/// Handles one bulk message.
pub(super) fn received(
    cx: &mut Context<'_>,
    members: &mut Members,
    from: NodeId,
    message: &Message,
) {
    match message {
        Message::Join { record } => {
            let known: Vec<NodeId> = members.ids.clone();
            members.learn(cx.now, &Update::Record(record.clone()), Relay::Pass);
            serve(cx, members, from, known);
        }
        Message::Records { updates } => records(cx, members, updates),
        Message::Busy { others } => {
            if members.others.is_empty() {
                join::ask(cx, members, others);
            }
        }
        Message::Compare { root } => compare(cx, members, from, *root),
        // A peer that knows just what this node knows has told it as much as one that sent its view.
        Message::Same => {
            members.joined = true;
            suspect::refreshed(members);
        }
        Message::Buckets { digests } => buckets(cx, members, from, digests),
        Message::Heads {
            buckets,
            heads,
            zones,
        } => {
            for it in zones {
                members.learn(cx.now, &Update::Zone(it.clone()), Relay::Pass);
            }
            differences(cx, members, from, buckets, heads);
        }
        Message::Pull { ids } => {
            let ids: Vec<NodeId> = ids
                .iter()
                .copied()
                .filter(|it| members.others.contains_key(it))
                .collect();
            serve(cx, members, from, ids);
        }
    }
}

fn records(cx: &mut Context<'_>, members: &mut Members, updates: &[Update]) {
    // What one comparison finds, others may lack too; a whole view is old news to them.
    let relay = match updates.len() <= NEWS_MAX {
        true => Relay::Pass,
        false => Relay::Keep,
    };
    let alone = members.others.is_empty();
    let mut learned = false;
    for it in updates {
        learned |= members.learn(cx.now, it, relay) == Learned::New;
    }
    members.joined = true;
    contact::look_abroad(cx, members);
    suspect::refreshed(members);
    if alone && learned {
        members.change_own(cx.now, |_| {}, super::Pace::Origin);
    }
}

fn compare(cx: &mut Context<'_>, members: &mut Members, from: NodeId, root: u64) {
    let same = root == members.digest.root();
    members.joined |= same;
    let message = match same {
        true => Message::Same,
        false => Message::Buckets {
            digests: members.digest.buckets().to_vec(),
        },
    };
    send(cx, from, message);
}

fn buckets(cx: &mut Context<'_>, members: &mut Members, from: NodeId, digests: &[u32]) {
    let own = members.digest.buckets();
    let mut differ: Vec<u8> = own
        .iter()
        .zip(digests)
        .enumerate()
        .filter(|(_, (lhs, rhs))| lhs != rhs)
        .map(|(idx, _)| idx as u8)
        .collect();
    // So much differs in a herd that starts, or after a cut; a single change is on its way by probes.
    if differ.len() > digest::BUCKETS / 2 {
        let soon = cx.now + cx.rng.random_range(SYNC_MS / 10..=SYNC_MS / 5);
        members.sync.next = members.sync.next.min(soon);
    }
    // The first buckets must not hide the others for ever behind the bound.
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

/// Sends what `from` lacks and asks for what this node lacks.
fn differences(
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
        if let Some(tomb) = members
            .tombs
            .get(head.id)
            .filter(|_| members.tombs.covers(*head))
        {
            dead.push(Update::Dead(tomb));
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
    let updates: Vec<Update> = zones.chain(dead).take(SCRAPS_MAX).collect();
    send(cx, from, Message::Records { updates });
    if !pull.is_empty() {
        send(cx, from, Message::Pull { ids: pull });
    }
    if !push.is_empty() {
        serve(cx, members, from, push);
    }
}

/// Most tombstones and zones in one message, to stay below [`CHUNK_MAX`].
const SCRAPS_MAX: usize = 512;

fn heads_in(members: &Members, buckets: &[u8]) -> Vec<Head> {
    members
        .alive()
        .map(|it| it.head())
        .filter(|it| buckets.contains(&digest::bucket(it.id)))
        .collect()
}

/// Sends the records of `ids` and this node's own to `to`, one chunk a tick.
fn serve(cx: &mut Context<'_>, members: &mut Members, to: NodeId, ids: Vec<NodeId>) {
    if members.sync.outgoing.len() >= SERVED_MAX {
        let others = probe::reachable_peers(cx, members, REFERRED, to);
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
