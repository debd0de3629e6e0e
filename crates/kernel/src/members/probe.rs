//! Probes: one member a second is pinged, by others too if it does not answer.

use std::collections::BTreeMap;

use rand::{Rng, seq::SliceRandom};

use super::{
    Members, Phase, Reach, Relay,
    record::{Packet, Update},
    suspect,
};
use crate::{clock::Ms, event::Action, id::NodeId, kernel::Context};

/// Time between two probes of a node, in ms.
pub const PROBE_MS: u64 = 1_000;

/// Time that a direct answer may take before others are asked to probe, in ms.
pub const ACK_MS: u64 = 300;

/// Most bytes of updates in one datagram; with the link's frame it stays under 1,200 bytes.
pub const PACKET_MAX: usize = 1_100;

/// Members asked to probe one that does not answer.
const HELPERS: usize = 3;

/// Members to whom urgent news is pushed at once.
const PUSH: usize = 3;

/// Ms between two pushes of urgent news.
const PUSH_MS: u64 = 100;

/// Every so many probes an unreachable member is probed besides.
const HEAL_EVERY: u64 = 2;

/// Most pings passed on for others at a time.
const RELAYED_MAX: usize = 64;

#[derive(Debug)]
struct Pending {
    target: NodeId,
    sent: Ms,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Asked by this node alone.
    Direct,
    /// Others were asked to ping the target.
    Indirect,
    /// A probe of an unreachable member: no answer is no news.
    Heal,
}

/// A ping made for another node.
#[derive(Debug)]
struct Relayed {
    to: NodeId,
    number: u64,
    sent: Ms,
}

/// Probes on their way.
#[derive(Debug, Default)]
pub(super) struct Prober {
    next: Ms,
    pushed: Ms,
    number: u64,
    rounds: u64,
    order: Vec<NodeId>,
    pending: BTreeMap<u64, Pending>,
    relayed: BTreeMap<u64, Relayed>,
}

impl Prober {
    /// Forgets what is on its way: answers may have come and gone while the process slept.
    pub(super) fn reset(&mut self, now: Ms) {
        self.pending.clear();
        self.relayed.clear();
        self.next = now;
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

/// Sends what is due and judges what went unanswered.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    unanswered(cx, members);
    if members.prober.next == Ms(0) {
        // A herd that starts together must not probe in step.
        members.prober.next = cx.now + cx.rng.random_range(1..=PROBE_MS);
    }
    if cx.now < members.prober.next {
        return;
    }
    members.prober.next = cx.now + cx.rng.random_range(PROBE_MS * 9 / 10..=PROBE_MS * 11 / 10);
    members.prober.rounds += 1;
    let target = next_target(cx, members);
    if target.is_none() || members.prober.rounds.is_multiple_of(HEAL_EVERY) {
        heal(cx, members);
    }
    if let Some(target) = target {
        ping(cx, members, target, Stage::Direct);
    }
}

/// Pushes urgent news to a few members at once.
pub(super) fn push(cx: &mut Context<'_>, members: &mut Members) {
    if cx.now.since(members.prober.pushed) < PUSH_MS {
        return;
    }
    let updates = members.queue.take_eager(cx.now, PACKET_MAX, PUSH);
    if updates.is_empty() {
        return;
    }
    members.prober.pushed = cx.now;
    for to in reachable_peers(cx, members, PUSH, members.own.id) {
        let updates = updates.clone();
        send(cx, to, Packet::News { updates });
    }
}

/// Handles one datagram.
pub(super) fn received(cx: &mut Context<'_>, members: &mut Members, from: NodeId, packet: &Packet) {
    if from == members.own.id {
        return;
    }
    match packet {
        Packet::Ping { number, updates } => {
            learn(cx, members, updates);
            answer(cx, members, from, *number);
        }
        Packet::Ack { number, updates } => {
            learn(cx, members, updates);
            acked(cx, members, from, *number);
        }
        Packet::PingReq { number, target } => relay(cx, members, from, *number, *target),
        Packet::News { updates } => learn(cx, members, updates),
    }
}

/// Up to `count` random reachable members other than `except`.
pub(super) fn reachable_peers(
    cx: &mut Context<'_>,
    members: &Members,
    count: usize,
    except: NodeId,
) -> Vec<NodeId> {
    let mut chosen = Vec::with_capacity(count);
    if members.ids.is_empty() {
        return chosen;
    }
    for _ in 0..count * 8 {
        let id = members.ids[cx.rng.random_range(0..members.ids.len())];
        let fits = id != except && members.reach(id) == Some(Reach::Reachable);
        if fits && !chosen.contains(&id) {
            chosen.push(id);
        }
        if chosen.len() == count {
            break;
        }
    }
    chosen
}

fn learn(cx: &mut Context<'_>, members: &mut Members, updates: &[Update]) {
    for update in updates {
        members.learn(cx.now, update, Relay::Pass);
        if let Update::Suspect(head) | Update::Dead(head) = update
            && head.id == members.own.id
        {
            suspect::contradict(cx.now, members, *head);
        }
    }
}

fn answer(cx: &mut Context<'_>, members: &mut Members, from: NodeId, number: u64) {
    if members.own.phase == Phase::Gone {
        return;
    }
    let updates = news_for(cx, members, from);
    send(cx, from, Packet::Ack { number, updates });
}

fn acked(cx: &mut Context<'_>, members: &mut Members, from: NodeId, number: u64) {
    if let Some(it) = members.prober.relayed.remove(&number) {
        let updates = Vec::new();
        let ack = Packet::Ack {
            number: it.number,
            updates,
        };
        return send(cx, it.to, ack);
    }
    let Some(pending) = members.prober.pending.remove(&number) else {
        return;
    };
    // Only a helper that was asked may answer in the target's place.
    if pending.target != from && pending.stage != Stage::Indirect {
        members.prober.pending.insert(number, pending);
        return;
    }
    suspect::answered(cx, members, pending.target);
}

fn relay(cx: &mut Context<'_>, members: &mut Members, from: NodeId, number: u64, target: NodeId) {
    // Only members are pinged, or strangers could aim the fleet at any address.
    if !members.others.contains_key(&target) || members.prober.relayed.len() >= RELAYED_MAX {
        return;
    }
    let own = members.prober.next_number();
    let it = Relayed {
        to: from,
        number,
        sent: cx.now,
    };
    members.prober.relayed.insert(own, it);
    let updates = Vec::new();
    let ping = Packet::Ping {
        number: own,
        updates,
    };
    send(cx, target, ping);
}

fn unanswered(cx: &mut Context<'_>, members: &mut Members) {
    let now = cx.now;
    let prober = &mut members.prober;
    prober.relayed.retain(|_, it| now.since(it.sent) < PROBE_MS);
    let mut ask = Vec::new();
    let mut failed = Vec::new();
    for (number, it) in &mut prober.pending {
        let age = now.since(it.sent);
        if age >= PROBE_MS {
            failed.push((*number, it.target, it.stage));
        } else if age >= ACK_MS && it.stage == Stage::Direct {
            it.stage = Stage::Indirect;
            ask.push((*number, it.target));
        }
    }
    for (number, target) in ask {
        for helper in reachable_peers(cx, members, HELPERS, target) {
            send(cx, helper, Packet::PingReq { number, target });
        }
    }
    for (number, target, stage) in failed {
        members.prober.pending.remove(&number);
        if stage != Stage::Heal {
            suspect::unanswered(cx, members, target);
        }
    }
}

fn next_target(cx: &mut Context<'_>, members: &mut Members) -> Option<NodeId> {
    for _ in 0..2 {
        while let Some(id) = members.prober.order.pop() {
            if matches!(members.reach(id), Some(Reach::Reachable | Reach::Suspect)) {
                return Some(id);
            }
        }
        members.prober.order.clone_from(&members.ids);
        members.prober.order.shuffle(cx.rng);
    }
    None
}

fn heal(cx: &mut Context<'_>, members: &mut Members) {
    let count = members.unreachable.len();
    if count == 0 {
        return;
    }
    let idx = cx.rng.random_range(0..count);
    if let Some(target) = members.unreachable.iter().nth(idx).copied() {
        ping(cx, members, target, Stage::Heal);
    }
}

fn ping(cx: &mut Context<'_>, members: &mut Members, target: NodeId, stage: Stage) {
    let number = members.prober.next_number();
    let pending = Pending {
        target,
        sent: cx.now,
        stage,
    };
    members.prober.pending.insert(number, pending);
    let updates = news_for(cx, members, target);
    send(cx, target, Packet::Ping { number, updates });
}

/// What concerns `to` itself, so that it can refute it, then the news of the day.
fn news_for(cx: &mut Context<'_>, members: &mut Members, to: NodeId) -> Vec<Update> {
    let mut updates = suspect::claims_about(members, to);
    let used: usize = updates.iter().map(Update::size).sum();
    let times = members.times();
    let room = PACKET_MAX.saturating_sub(used);
    updates.extend(members.queue.take(cx.now, room, times));
    updates
}

fn send(cx: &mut Context<'_>, to: NodeId, packet: Packet) {
    cx.act(Action::Probe { to, packet });
}
