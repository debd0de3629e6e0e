//! Failure detection by probes: each node pings one member per second, and asks other members to ping
//! it too if it doesn't answer.

use std::collections::BTreeMap;

use rand::{Rng, seq::SliceRandom};

use super::{
    Members, Phase, Propagation, Reach,
    record::{Packet, Update},
    suspect,
};
use crate::{clock::Ms, event::Action, id::NodeId, kernel::Context};

/// Mean time between two probes that a node sends, in ms.
pub const PROBE_MS: u64 = 1_000;

/// Timeout of a direct probe in ms, after which indirect probes are requested.
pub const ACK_MS: u64 = 300;

/// Most bytes of updates in one datagram; with the link's frame it stays under 1,200 bytes.
pub const PACKET_MAX: usize = 1_100;

/// Members asked to ping a member that doesn't answer.
const INDIRECT_PROBES: usize = 3;

/// Members that each push is sent to.
const PUSH_FANOUT: usize = 3;

/// Least time between two pushes, in ms.
const PUSH_INTERVAL_MS: u64 = 100;

/// Every this many probes, an unreachable member is probed in addition.
const RECOVERY_EVERY: u64 = 2;

/// Most indirect probes in flight for other nodes.
const INDIRECT_MAX: usize = 64;

#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sent: Ms,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Only this node pinged the target.
    Direct,
    /// Other members were asked to ping the target.
    Indirect,
    /// A probe of an unreachable member; no answer has no effect.
    Recovery,
}

/// A ping sent on request of another node.
#[derive(Debug)]
struct IndirectPing {
    requester: NodeId,
    number: u64,
    sent: Ms,
}

/// State of the probes in flight.
#[derive(Debug, Default)]
pub(super) struct Prober {
    /// Time of the next probe.
    next: Ms,
    /// Time of the last push.
    pushed: Ms,
    number: u64,
    rounds: u64,
    /// Members still to be probed before each one has had its turn.
    order: Vec<NodeId>,
    pending: BTreeMap<u64, PendingProbe>,
    indirect: BTreeMap<u64, IndirectPing>,
}

impl Prober {
    /// Drops the probes in flight, whose answers may be lost, and makes the next one due.
    pub(super) fn reset(&mut self, now: Ms) {
        self.pending.clear();
        self.indirect.clear();
        self.next = now;
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

/// Handles probes that timed out and sends the next probe if it is due.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    expire_probes(cx, members);
    if members.prober.next == Ms(0) {
        // A random start, so that nodes that start together don't all probe at once.
        members.prober.next = cx.now + cx.rng.random_range(1..=PROBE_MS);
    }
    if cx.now < members.prober.next {
        return;
    }
    members.prober.next = cx.now + cx.rng.random_range(PROBE_MS * 9 / 10..=PROBE_MS * 11 / 10);
    members.prober.rounds += 1;
    let target = next_target(cx, members);
    if target.is_none() || members.prober.rounds.is_multiple_of(RECOVERY_EVERY) {
        probe_unreachable(cx, members);
    }
    if let Some(target) = target {
        ping(cx, members, target, Stage::Direct);
    }
}

/// Pushes the updates that don't wait for a probe to a few members.
pub(super) fn push_updates(cx: &mut Context<'_>, members: &mut Members) {
    if cx.now.since(members.prober.pushed) < PUSH_INTERVAL_MS {
        return;
    }
    let updates = members.queue.take_pushes(cx.now, PACKET_MAX, PUSH_FANOUT);
    if updates.is_empty() {
        return;
    }
    members.prober.pushed = cx.now;
    for to in reachable_peers(cx, members, PUSH_FANOUT, members.own.id) {
        let updates = updates.clone();
        send(cx, to, Packet::News { updates });
    }
}

/// Handles one datagram.
pub(super) fn handle_packet(
    cx: &mut Context<'_>,
    members: &mut Members,
    from: NodeId,
    packet: &Packet,
) {
    if from == members.own.id {
        return;
    }
    match packet {
        Packet::Ping { number, updates } => {
            apply_updates(cx, members, updates);
            send_ack(cx, members, from, *number);
        }
        Packet::Ack { number, updates } => {
            apply_updates(cx, members, updates);
            handle_ack(cx, members, from, *number);
        }
        Packet::PingReq { number, target } => {
            send_indirect_ping(cx, members, from, *number, *target)
        }
        Packet::News { updates } => apply_updates(cx, members, updates),
    }
}

/// Returns up to `count` random reachable members other than `except`.
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

fn apply_updates(cx: &mut Context<'_>, members: &mut Members, updates: &[Update]) {
    for update in updates {
        members.apply_update(cx.now, update, Propagation::Gossip);
        if let Update::Suspect(head) | Update::Dead(head) = update
            && head.id == members.own.id
        {
            suspect::resend_own_record(cx.now, members, *head);
        }
    }
}

fn send_ack(cx: &mut Context<'_>, members: &mut Members, from: NodeId, number: u64) {
    if members.own.phase == Phase::Gone {
        return;
    }
    let updates = updates_for(cx, members, from);
    send(cx, from, Packet::Ack { number, updates });
}

fn handle_ack(cx: &mut Context<'_>, members: &mut Members, from: NodeId, number: u64) {
    if let Some(it) = members.prober.indirect.remove(&number) {
        let updates = Vec::new();
        let ack = Packet::Ack {
            number: it.number,
            updates,
        };
        return send(cx, it.requester, ack);
    }
    let Some(pending) = members.prober.pending.remove(&number) else {
        return;
    };
    // An ack from another node than the target counts only after indirect probes were requested.
    if pending.target != from && pending.stage != Stage::Indirect {
        members.prober.pending.insert(number, pending);
        return;
    }
    suspect::record_answer(cx, members, pending.target);
}

fn send_indirect_ping(
    cx: &mut Context<'_>,
    members: &mut Members,
    from: NodeId,
    number: u64,
    target: NodeId,
) {
    // Only members are pinged, otherwise anyone could direct the fleet's pings at any address.
    if !members.others.contains_key(&target) || members.prober.indirect.len() >= INDIRECT_MAX {
        return;
    }
    let own = members.prober.next_number();
    let it = IndirectPing {
        requester: from,
        number,
        sent: cx.now,
    };
    members.prober.indirect.insert(own, it);
    let updates = Vec::new();
    let ping = Packet::Ping {
        number: own,
        updates,
    };
    send(cx, target, ping);
}

fn expire_probes(cx: &mut Context<'_>, members: &mut Members) {
    let now = cx.now;
    let prober = &mut members.prober;
    prober
        .indirect
        .retain(|_, it| now.since(it.sent) < PROBE_MS);
    let mut requests = Vec::new();
    let mut failed = Vec::new();
    for (number, it) in &mut prober.pending {
        let age = now.since(it.sent);
        if age >= PROBE_MS {
            failed.push((*number, it.target, it.stage));
        } else if age >= ACK_MS && it.stage == Stage::Direct {
            it.stage = Stage::Indirect;
            requests.push((*number, it.target));
        }
    }
    for (number, target) in requests {
        for helper in reachable_peers(cx, members, INDIRECT_PROBES, target) {
            send(cx, helper, Packet::PingReq { number, target });
        }
    }
    for (number, target, stage) in failed {
        members.prober.pending.remove(&number);
        if stage != Stage::Recovery {
            suspect::record_missed_probe(cx, members, target);
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

fn probe_unreachable(cx: &mut Context<'_>, members: &mut Members) {
    let count = members.unreachable.len();
    if count == 0 {
        return;
    }
    let idx = cx.rng.random_range(0..count);
    if let Some(target) = members.unreachable.iter().nth(idx).copied() {
        ping(cx, members, target, Stage::Recovery);
    }
}

fn ping(cx: &mut Context<'_>, members: &mut Members, target: NodeId, stage: Stage) {
    let number = members.prober.next_number();
    let pending = PendingProbe {
        target,
        sent: cx.now,
        stage,
    };
    members.prober.pending.insert(number, pending);
    let updates = updates_for(cx, members, target);
    send(cx, target, Packet::Ping { number, updates });
}

/// Returns the updates to piggyback for `to`: first claims about `to` itself, which it may refute,
/// then queued updates.
fn updates_for(cx: &mut Context<'_>, members: &mut Members, to: NodeId) -> Vec<Update> {
    let mut updates = suspect::claims_about(members, to);
    let used: usize = updates.iter().map(Update::size).sum();
    let limit = members.transmit_limit();
    let room = PACKET_MAX.saturating_sub(used);
    updates.extend(members.queue.take_piggybacked(cx.now, room, limit));
    updates
}

fn send(cx: &mut Context<'_>, to: NodeId, packet: Packet) {
    cx.act(Action::Probe { to, packet });
}
