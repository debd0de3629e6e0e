//! Suspicion and removal of members that don't answer, tombstones of removed members, and detection of
//! a partition of this node from the fleet.

use std::collections::{BTreeMap, VecDeque};

use super::{
    Applied, Members, Reach, Stamp, log2,
    queue::Delivery,
    record::{Head, Packet, Topic, Update},
};
use crate::{clock::Ms, event::Action, id::NodeId, kernel::Context};

/// Time in ms within which losses count as one event.
pub const LOSS_WINDOW_MS: u64 = 10_000;

/// Time in ms after which an unreachable member is removed.
pub const UNREACHABLE_TTL_MS: u64 = 3_600_000;

/// Time in ms that a tombstone is kept.
pub const TOMBSTONE_TTL_MS: u64 = 600_000;

/// A loss of more than one in this many members at once is a mass loss.
pub(super) const LOSS_RATIO: usize = 3;

/// Time in ms after the last mass loss during which no member is removed as dead.
const PARTITION_MS: u64 = 120_000;

/// Least number of lost members that count as a mass loss.
const LOSS_MIN: usize = 2;

/// Most tombstones kept; the oldest is evicted first.
const TOMBSTONES_MAX: usize = 8_192;

/// Least time in ms that a suspect has to refute.
const SUSPICION_MIN_MS: u64 = 3_000;

/// Answers after which a view is fresh again.
const FRESH_ACKS: u8 = 2;

/// Returns the time in ms that a suspect has to refute before it counts as dead. It grows with the
/// logarithm of the fleet's size, as the time that gossip takes to reach every member does.
pub fn suspicion_timeout_ms(members: usize) -> u64 {
    SUSPICION_MIN_MS + 750 * u64::from(log2(members))
}

/// Whether the view is fresh enough to act on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Freshness {
    /// The process was not paused, or enough members answered since.
    #[default]
    Fresh,
    /// The process was paused; `acks` answers came since.
    Checking { acks: u8 },
}

/// Tombstones: heads of members that left or died.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    heads: BTreeMap<NodeId, Stamp>,
    order: VecDeque<(Ms, Head)>,
}

impl Tombstones {
    pub(super) fn insert(&mut self, now: Ms, head: Head) {
        self.heads.insert(head.id, head.stamp);
        self.order.push_back((now, head));
        if self.order.len() > TOMBSTONES_MAX {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, id: NodeId) {
        self.heads.remove(&id);
    }

    /// Returns whether `head` is no newer than the tombstone of its node.
    pub(super) fn covers(&self, head: Head) -> bool {
        self.heads.get(&head.id).is_some_and(|it| *it >= head.stamp)
    }

    pub(super) fn get(&self, id: NodeId) -> Option<Head> {
        let stamp = *self.heads.get(&id)?;
        Some(Head { id, stamp })
    }

    fn expire(&mut self, now: Ms) {
        while self
            .order
            .front()
            .is_some_and(|(since, _)| now.since(*since) >= TOMBSTONE_TTL_MS)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, head)) = self.order.pop_front()
            && self.heads.get(&head.id) == Some(&head.stamp)
        {
            self.heads.remove(&head.id);
        }
    }
}

/// Recent losses, and whether they amount to a partition of this node.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// Suspects and the times by which they have to refute.
    deadlines: BTreeMap<NodeId, Ms>,
    /// Members lost within [`LOSS_WINDOW_MS`].
    recent: VecDeque<(Ms, NodeId)>,
    /// Outcomes of this node's own probes within [`LOSS_WINDOW_MS`].
    probes: VecDeque<(Ms, NodeId, Outcome)>,
    /// Time of the last mass loss, unless the partition has ended.
    partitioned: Option<Ms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Unanswered,
}

impl Losses {
    pub(super) fn is_partitioned(&self) -> bool {
        self.partitioned.is_some()
    }

    /// Ends the suspicion of `id`.
    pub(super) fn end_suspicion(&mut self, id: NodeId) {
        self.deadlines.remove(&id);
    }

    /// Ends the suspicion of `id` and removes it from the recent losses: it is reachable, was removed, or
    /// is lost with its zone.
    pub(super) fn retract(&mut self, id: NodeId) {
        self.deadlines.remove(&id);
        self.recent.retain(|(_, it)| *it != id);
    }

    /// Returns the members lost within [`LOSS_WINDOW_MS`].
    pub(super) fn recent(&self) -> impl Iterator<Item = NodeId> {
        self.recent.iter().map(|(_, it)| *it)
    }

    fn expire(&mut self, now: Ms) {
        let old = |at: Ms| now.since(at) >= LOSS_WINDOW_MS;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
        while self.probes.front().is_some_and(|(at, ..)| old(*at)) {
            self.probes.pop_front();
        }
    }

    /// Returns whether too many of `others` members, or of the own probes, were lost at once.
    fn is_mass_loss(&self, others: usize) -> bool {
        let exceeds = |lost: usize, of: usize| lost >= LOSS_MIN && lost * LOSS_RATIO > of;
        let failed = self
            .probes
            .iter()
            .filter(|(.., it)| *it == Outcome::Unanswered);
        exceeds(self.recent.len(), others) || exceeds(failed.count(), self.probes.len())
    }
}

impl Members {
    pub(super) fn apply_suspect(&mut self, now: Ms, head: Head) -> Applied {
        if head.id == self.own.id {
            if head.stamp >= self.own.stamp() {
                self.refute(now, head.stamp);
            }
            return Applied::Unchanged;
        }
        let known = self.others.get(&head.id);
        let applies =
            known.is_some_and(|it| it.reach == Reach::Reachable && it.record.stamp() <= head.stamp);
        if !applies {
            return Applied::Unchanged;
        }
        self.mark_suspect(now, head);
        Applied::Changed
    }

    pub(super) fn apply_dead(&mut self, now: Ms, head: Head) -> Applied {
        if head.id == self.own.id {
            return self.apply_suspect(now, head);
        }
        match self.others.get(&head.id) {
            None if self.tombstones.covers(head) => Applied::Unchanged,
            None => {
                self.tombstones.insert(now, head);
                Applied::Unchanged
            }
            Some(it) if it.record.stamp() > head.stamp => Applied::Unchanged,
            // While this node may be partitioned, it removes no member on the word of others.
            Some(_) if self.is_partitioned() => {
                self.set_reach(now, head.id, Reach::Unreachable);
                Applied::Changed
            }
            Some(_) => {
                self.remove_with_tombstone(now, head);
                Applied::Changed
            }
        }
    }

    fn mark_suspect(&mut self, now: Ms, head: Head) {
        self.set_reach(now, head.id, Reach::Suspect);
        let deadline = now + suspicion_timeout_ms(self.others.len());
        self.losses.deadlines.insert(head.id, deadline);
        self.losses.recent.push_back((now, head.id));
        self.queue
            .push(now, Update::Suspect(head), Delivery::Piggyback);
        self.check_partition(now);
        self.check_zone_loss(now, head.id);
    }

    fn check_partition(&mut self, now: Ms) {
        if self.losses.is_mass_loss(self.others.len()) {
            self.losses.partitioned = Some(now);
        }
    }

    /// Removes a suspect whose time to refute is over, or marks it unreachable during a partition.
    fn expire_suspicion(&mut self, now: Ms, id: NodeId) {
        self.losses.deadlines.remove(&id);
        let Some(head) = self.others.get(&id).map(|it| it.record.head()) else {
            return;
        };
        self.queue.remove(&Topic::Node(id));
        match self.is_partitioned() {
            true => self.set_reach(now, id, Reach::Unreachable),
            false => self.remove_with_tombstone(now, head),
        }
    }

    /// Ends a partition after a lost member answered.
    ///
    /// Suspicions date from the partition, so every member outside lost zones counts as reachable
    /// until new probes fail.
    fn end_partition(&mut self, now: Ms) {
        self.losses.partitioned = None;
        self.losses.recent.clear();
        self.losses.probes.clear();
        self.queue.clear_suspicions();
        let suspects: Vec<NodeId> = self
            .others
            .values()
            .filter(|it| it.reach != Reach::Reachable)
            .filter(|it| !self.zones.state(&it.record.zone).lost())
            .map(|it| it.record.id)
            .collect();
        for id in suspects {
            self.set_reach(now, id, Reach::Reachable);
        }
    }
}

/// Expires suspicions, tombstones, the partition and members that were unreachable for too long.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    let now = cx.now;
    members.losses.expire(now);
    members.tombstones.expire(now);
    if let Some(since) = members.losses.partitioned
        && now.since(since) >= PARTITION_MS
    {
        members.losses.partitioned = None;
    }
    let due: Vec<NodeId> = members
        .losses
        .deadlines
        .iter()
        .filter(|(_, deadline)| **deadline <= now)
        .map(|(id, _)| *id)
        .collect();
    for id in due {
        members.expire_suspicion(now, id);
        let text = match members.reach(id) {
            Some(_) => "unreachable",
            None => "dead",
        };
        cx.log(
            "member",
            vec![("node", id.to_string()), ("state", text.to_owned())],
        );
    }
    let expired: Vec<Head> = members
        .unreachable
        .iter()
        .filter_map(|id| members.others.get(id))
        .filter(|it| now.since(it.reach_since) >= UNREACHABLE_TTL_MS)
        .map(|it| it.record.head())
        .collect();
    for head in expired {
        members.remove_with_tombstone(now, head);
    }
}

/// Handles a pause of the process of `lost` ms.
///
/// Acks may have been lost meanwhile, so every suspicion starts anew and no member is declared dead
/// because of the pause. The view isn't fresh until other members answer.
pub(super) fn handle_pause(cx: &mut Context<'_>, members: &mut Members, lost: u64) {
    let now = cx.now;
    members.freshness = Freshness::Checking { acks: 0 };
    members.heartbeat = now;
    members.prober.reset(now);
    members.sync.compare_now(now);
    members.losses.recent.clear();
    members.losses.probes.clear();
    let deadline = now + suspicion_timeout_ms(members.others.len());
    for it in members.losses.deadlines.values_mut() {
        *it = deadline;
    }
    // The queued suspicions may have expired meanwhile. A suspect that isn't notified can't refute and
    // would be removed although it is running.
    let suspects: Vec<NodeId> = members.losses.deadlines.keys().copied().collect();
    for id in suspects {
        notify_suspect(cx, members, id);
    }
    cx.log("paused", vec![("lost", lost.to_string())]);
}

/// Records that `id` answered a probe of this node.
pub(super) fn record_answer(cx: &mut Context<'_>, members: &mut Members, id: NodeId) {
    let now = cx.now;
    members
        .losses
        .probes
        .push_back((now, id, Outcome::Answered));
    count_answer(members);
    let has_returned = match members.reach(id) {
        Some(Reach::Unreachable) => true,
        Some(Reach::Suspect) => members.is_partitioned(),
        Some(Reach::Reachable) | None => false,
    };
    if has_returned {
        members.end_partition(now);
        members.prober.reset(now);
        members.sync.compare_now(now);
    }
    members.set_reach(now, id, Reach::Reachable);
    let few = members.unreachable.len() * LOSS_RATIO <= members.others.len();
    if few && !members.losses.is_mass_loss(members.others.len()) {
        members.losses.partitioned = None;
    }
}

/// Records that `id` answered neither a direct nor an indirect probe, and suspects it.
pub(super) fn record_missed_probe(cx: &mut Context<'_>, members: &mut Members, id: NodeId) {
    let now = cx.now;
    members
        .losses
        .probes
        .push_back((now, id, Outcome::Unanswered));
    members.check_partition(now);
    if let Some(head) = members.others.get(&id).map(|it| it.record.head()) {
        members.apply_suspect(now, head);
        notify_suspect(cx, members, id);
    }
}

/// Notifies `id` that it is a suspect, so that it can refute.
fn notify_suspect(cx: &mut Context<'_>, members: &Members, id: NodeId) {
    if let Some(head) = members.others.get(&id).map(|it| it.record.head()) {
        let updates = vec![Update::Suspect(head)];
        let packet = Packet::News { updates };
        cx.act(Action::Probe { to: id, packet });
    }
}

/// Counts an answer of another member towards a fresh view.
pub(super) fn count_answer(members: &mut Members) {
    if let Freshness::Checking { acks } = members.freshness {
        let reachable = members.others.len() - members.unreachable.len();
        let enough = usize::from(FRESH_ACKS).min(reachable.max(1));
        members.freshness = match usize::from(acks) + 1 >= enough {
            true => Freshness::Fresh,
            false => Freshness::Checking { acks: acks + 1 },
        };
    }
}

/// Returns the claims about `to` that it may refute.
pub(super) fn claims_about(members: &Members, to: NodeId) -> Vec<Update> {
    if let Some(head) = members.tombstones.get(to) {
        return vec![Update::Dead(head)];
    }
    let Some(member) = members.others.get(&to) else {
        return Vec::new();
    };
    let state = members.zones.state(&member.record.zone);
    if state.lost() {
        return vec![Update::Zone(state)];
    }
    match member.reach {
        Reach::Reachable => Vec::new(),
        Reach::Suspect | Reach::Unreachable => vec![Update::Suspect(member.record.head())],
    }
}

/// Sends the own record again if a peer takes this node for suspect or dead by an older stamp.
pub(super) fn resend_own_record(now: Ms, members: &mut Members, head: Head) {
    if head.stamp < members.own.stamp() && members.own.phase != super::Phase::Gone {
        let update = Update::Record(members.own.clone());
        members.queue.push(now, update, Delivery::Piggyback);
    }
}
