//! Suspicion: who went unanswered, who is removed for it, and when this node doubts itself instead.

use std::collections::{BTreeMap, VecDeque};

use super::{
    Learned, Members, Reach, Stamp, log2,
    queue::Pace,
    record::{Head, Packet, Topic, Update},
};
use crate::{clock::Ms, event::Action, id::NodeId, kernel::Context};

/// Losses within this time count as lost at once, in ms.
pub const LOSS_MS: u64 = 10_000;

/// Ms that an unreachable member is kept before it is removed.
pub const KEEP_MS: u64 = 3_600_000;

/// Ms that a tombstone is kept.
pub const TOMB_MS: u64 = 600_000;

/// Losing more than one in so many members at once means that this node may be cut off.
pub(super) const LOSS_SHARE: usize = 3;

/// Ms after the last large loss during which nobody is removed.
const CUT_OFF_MS: u64 = 120_000;

/// Least lost members that count as a large loss.
const LOSS_MIN: usize = 2;

/// Most tombstones; the oldest goes first.
const TOMBS_MAX: usize = 8_192;

/// Least ms that a suspect has to refute.
const SUSPICION_MIN: u64 = 3_000;

/// Acknowledgements after which a view is trusted again.
const TRUST_ACKS: u8 = 2;

/// Ms that a suspect has to refute before it is removed; grows with the logarithm of the fleet, as the
/// time that news needs to reach everyone does.
pub fn suspicion(members: usize) -> u64 {
    SUSPICION_MIN + 750 * u64::from(log2(members))
}

/// Whether the view is fresh.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Trust {
    /// Nothing speaks against it.
    #[default]
    Fresh,
    /// The process was paused; so many answers came since.
    Checking { acks: u8 },
}

/// Heads of members that left or died.
#[derive(Debug, Default)]
pub(super) struct Tombs {
    heads: BTreeMap<NodeId, Stamp>,
    order: VecDeque<(Ms, Head)>,
}

impl Tombs {
    pub(super) fn insert(&mut self, now: Ms, head: Head) {
        self.heads.insert(head.id, head.stamp);
        self.order.push_back((now, head));
        if self.order.len() > TOMBS_MAX {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, id: NodeId) {
        self.heads.remove(&id);
    }

    /// Whether `head` is no newer than the tombstone of its node.
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
            .is_some_and(|(since, _)| now.since(*since) >= TOMB_MS)
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

/// What was lost lately, and whether it is too much to believe.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// Suspects and when their time to refute ends.
    deadlines: BTreeMap<NodeId, Ms>,
    /// Members lost within [`LOSS_MS`].
    recent: VecDeque<(Ms, NodeId)>,
    /// Outcomes of this node's own probes within [`LOSS_MS`].
    probes: VecDeque<(Ms, NodeId, Outcome)>,
    cut_off: Option<Ms>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Unanswered,
}

impl Losses {
    pub(super) fn cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// `id` is a suspect no more.
    pub(super) fn settle(&mut self, id: NodeId) {
        self.deadlines.remove(&id);
    }

    /// `id` is there, or gone by its own word: it was no loss.
    pub(super) fn forget(&mut self, id: NodeId) {
        self.deadlines.remove(&id);
        self.recent.retain(|(_, it)| *it != id);
    }

    /// Members lost within [`LOSS_MS`].
    pub(super) fn recent(&self) -> impl Iterator<Item = NodeId> {
        self.recent.iter().map(|(_, it)| *it)
    }

    fn expire(&mut self, now: Ms) {
        let old = |at: Ms| now.since(at) >= LOSS_MS;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
        while self.probes.front().is_some_and(|(at, ..)| old(*at)) {
            self.probes.pop_front();
        }
    }

    fn large(&self, others: usize) -> bool {
        let much = |lost: usize, of: usize| lost >= LOSS_MIN && lost * LOSS_SHARE > of;
        let failed = self
            .probes
            .iter()
            .filter(|(.., it)| *it == Outcome::Unanswered);
        much(self.recent.len(), others) || much(failed.count(), self.probes.len())
    }
}

impl Members {
    pub(super) fn learn_suspect(&mut self, now: Ms, head: Head) -> Learned {
        if head.id == self.own.id {
            if head.stamp >= self.own.stamp() {
                self.refute(now, head.stamp);
            }
            return Learned::Known;
        }
        let known = self.others.get(&head.id);
        let doubted =
            known.is_some_and(|it| it.reach == Reach::Reachable && it.record.stamp() <= head.stamp);
        if !doubted {
            return Learned::Known;
        }
        self.suspect(now, head);
        Learned::New
    }

    pub(super) fn learn_dead(&mut self, now: Ms, head: Head) -> Learned {
        if head.id == self.own.id {
            return self.learn_suspect(now, head);
        }
        match self.others.get(&head.id) {
            None if self.tombs.covers(head) => Learned::Known,
            None => {
                self.tombs.insert(now, head);
                Learned::Known
            }
            Some(it) if it.record.stamp() > head.stamp => Learned::Known,
            // Who lost a third of the fleet may be hearing the other third's mistake.
            Some(_) if self.cut_off() => {
                self.set_reach(now, head.id, Reach::Unreachable);
                Learned::New
            }
            Some(_) => {
                self.bury(now, head);
                Learned::New
            }
        }
    }

    fn suspect(&mut self, now: Ms, head: Head) {
        self.set_reach(now, head.id, Reach::Suspect);
        let deadline = now + suspicion(self.others.len());
        self.losses.deadlines.insert(head.id, deadline);
        self.losses.recent.push_back((now, head.id));
        self.queue.push(now, Update::Suspect(head), Pace::Piggyback);
        self.check_loss(now);
        self.check_zone(now, head.id);
    }

    fn check_loss(&mut self, now: Ms) {
        if self.losses.large(self.others.len()) {
            self.losses.cut_off = Some(now);
        }
    }

    /// The suspect's time is over.
    fn condemn(&mut self, now: Ms, id: NodeId) {
        self.losses.deadlines.remove(&id);
        let Some(head) = self.others.get(&id).map(|it| it.record.head()) else {
            return;
        };
        self.queue.remove(&Topic::Node(id));
        match self.cut_off() {
            true => self.set_reach(now, id, Reach::Unreachable),
            false => self.bury(now, head),
        }
    }

    /// A member answers that was taken for lost: this node is not cut off any more. What it holds
    /// against the others is from the time when it was, so the probes begin anew for all but lost
    /// zones. Those that are dead indeed are suspected and removed by that.
    fn rejoin(&mut self, now: Ms) {
        self.losses.cut_off = None;
        self.losses.recent.clear();
        self.losses.probes.clear();
        self.queue.clear_suspicions();
        let doubted: Vec<NodeId> = self
            .others
            .values()
            .filter(|it| it.reach != Reach::Reachable)
            .filter(|it| !self.zones.state(&it.record.zone).lost())
            .map(|it| it.record.id)
            .collect();
        for id in doubted {
            self.set_reach(now, id, Reach::Reachable);
        }
    }
}

/// Ends suspicions, tombstones and long absences that are due.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    let now = cx.now;
    members.losses.expire(now);
    members.tombs.expire(now);
    if let Some(since) = members.losses.cut_off
        && now.since(since) >= CUT_OFF_MS
    {
        members.losses.cut_off = None;
    }
    let due: Vec<NodeId> = members
        .losses
        .deadlines
        .iter()
        .filter(|(_, deadline)| **deadline <= now)
        .map(|(id, _)| *id)
        .collect();
    for id in due {
        members.condemn(now, id);
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
        .filter(|it| now.since(it.since) >= KEEP_MS)
        .map(|it| it.record.head())
        .collect();
    for head in expired {
        members.bury(now, head);
    }
}

/// The process slept for `lost` ms. Acks came and went meanwhile, so every suspicion starts anew and
/// nobody is declared dead because this node did not listen; the view is not trusted until others
/// answer.
pub(super) fn paused(cx: &mut Context<'_>, members: &mut Members, lost: u64) {
    let now = cx.now;
    members.trust = Trust::Checking { acks: 0 };
    members.heartbeat = now;
    members.prober.reset(now);
    members.sync.hurry(now);
    members.losses.recent.clear();
    members.losses.probes.clear();
    let deadline = now + suspicion(members.others.len());
    for it in members.losses.deadlines.values_mut() {
        *it = deadline;
    }
    // The news of a suspicion may have gone stale in the queue meanwhile. A suspect that never hears of it
    // cannot refute it and would be removed although it is there.
    let suspects: Vec<NodeId> = members.losses.deadlines.keys().copied().collect();
    for id in suspects {
        tell_suspect(cx, members, id);
    }
    cx.log("paused", vec![("lost", lost.to_string())]);
}

/// `id` answered a probe of this node.
pub(super) fn answered(cx: &mut Context<'_>, members: &mut Members, id: NodeId) {
    let now = cx.now;
    members
        .losses
        .probes
        .push_back((now, id, Outcome::Answered));
    refreshed(members);
    let back = match members.reach(id) {
        Some(Reach::Unreachable) => true,
        Some(Reach::Suspect) => members.cut_off(),
        Some(Reach::Reachable) | None => false,
    };
    if back {
        members.rejoin(now);
        members.prober.reset(now);
        members.sync.hurry(now);
    }
    members.set_reach(now, id, Reach::Reachable);
    let few = members.unreachable.len() * LOSS_SHARE <= members.others.len();
    if few && !members.losses.large(members.others.len()) {
        members.losses.cut_off = None;
    }
}

/// `id` answered neither this node nor its helpers.
pub(super) fn unanswered(cx: &mut Context<'_>, members: &mut Members, id: NodeId) {
    let now = cx.now;
    members
        .losses
        .probes
        .push_back((now, id, Outcome::Unanswered));
    members.check_loss(now);
    if let Some(head) = members.others.get(&id).map(|it| it.record.head()) {
        members.learn_suspect(now, head);
        tell_suspect(cx, members, id);
    }
}

/// Tells `id` that it is a suspect: the sooner it hears, the sooner it refutes.
fn tell_suspect(cx: &mut Context<'_>, members: &Members, id: NodeId) {
    if let Some(head) = members.others.get(&id).map(|it| it.record.head()) {
        let updates = vec![Update::Suspect(head)];
        let packet = Packet::News { updates };
        cx.act(Action::Probe { to: id, packet });
    }
}

/// Somebody answered: one step towards a trusted view.
pub(super) fn refreshed(members: &mut Members) {
    if let Trust::Checking { acks } = members.trust {
        let reachable = members.others.len() - members.unreachable.len();
        let enough = usize::from(TRUST_ACKS).min(reachable.max(1));
        members.trust = match usize::from(acks) + 1 >= enough {
            true => Trust::Fresh,
            false => Trust::Checking { acks: acks + 1 },
        };
    }
}

/// What `to` should hear of itself and may refute.
pub(super) fn claims_about(members: &Members, to: NodeId) -> Vec<Update> {
    if let Some(head) = members.tombs.get(to) {
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

/// Somebody who pinged this node suspects it by a stamp that is outdone already: tell it again.
pub(super) fn contradict(now: Ms, members: &mut Members, head: Head) {
    if head.stamp < members.own.stamp() && members.own.phase != super::Phase::Gone {
        let update = Update::Record(members.own.clone());
        members.queue.push(now, update, Pace::Piggyback);
    }
}
