//! Queue of updates to gossip, with the limits on how often and in how many bytes they are sent.

use std::{cmp::Reverse, collections::BTreeMap};

use super::record::{Topic, Update};
use crate::clock::Ms;

/// Bytes of non-urgent updates that a node may send per second on average.
pub const GOSSIP_RATE: u64 = 160;

/// Bytes of non-urgent updates that may be sent in a burst.
pub const GOSSIP_BURST: u64 = 16 * 1024;

/// Rate in bytes per second and burst in bytes for urgent updates. They have a budget of their own,
/// because a starting fleet exhausts the other, and a node that leaves would then be sent work until
/// probes to it fail.
pub const URGENT_RATE: u64 = 480;
pub const URGENT_BURST: u64 = 16 * 1024;

/// Queue length above which each update is sent a third as often, so that new updates don't wait
/// behind old ones. Anti-entropy covers the nodes that are missed.
const CROWDED_LEN: usize = 64;

/// Time in ms after which an update is dropped; nodes that missed it get it by anti-entropy. Without
/// this bound, the start of a whole fleet would fill the queue for a long time.
const UPDATE_TTL_MS: u64 = 30_000;

#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    size: usize,
    times_sent: u32,
    pushes_left: u32,
    delivery: Delivery,
    queued: Ms,
}

/// How an update is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// On probes only.
    Piggyback,
    /// Also pushed once, mostly by the origin of the update.
    Origin,
    /// Also pushed twice by its origin and by every node that receives it, out of a budget of its own.
    Urgent,
}

impl Delivery {
    fn pushes(self) -> u32 {
        match self {
            Delivery::Piggyback => 0,
            Delivery::Origin => 1,
            Delivery::Urgent => 2,
        }
    }
}

/// Updates that this node still sends.
#[derive(Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<Topic, QueuedUpdate>,
    regular: ByteBudget,
    urgent: ByteBudget,
}

/// Bytes that may be sent now, refilled over time.
#[derive(Debug, Default)]
struct ByteBudget {
    left: u64,
    refilled: Ms,
}

impl ByteBudget {
    /// Refills the budget at `rate` bytes per second, up to `burst`.
    fn refill(&mut self, now: Ms, rate: u64, burst: u64) {
        if self.refilled == Ms(0) {
            self.left = burst;
            self.refilled = now;
        }
        let bytes = now.since(self.refilled) * rate / 1_000;
        if bytes > 0 {
            self.refilled = now;
            self.left = (self.left + bytes).min(burst);
        }
    }

    /// Takes `bytes` out of the budget. Returns false, and takes nothing, if fewer are left.
    fn try_spend(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let enough = bytes <= self.left;
        if enough {
            self.left -= bytes;
        }
        enough
    }
}

impl Queue {
    /// Adds `update` in place of an older one on the same topic.
    pub(super) fn push(&mut self, now: Ms, update: Update, delivery: Delivery) {
        let item = QueuedUpdate {
            size: update.size(),
            times_sent: 0,
            pushes_left: delivery.pushes(),
            delivery,
            queued: now,
            update,
        };
        self.items.insert(item.update.topic(), item);
    }

    /// Removes the update on `topic`.
    pub(super) fn remove(&mut self, topic: &Topic) {
        self.items.remove(topic);
    }

    /// Removes the update on `topic` if it is a suspicion.
    pub(super) fn remove_suspicion(&mut self, topic: &Topic) {
        if let Some(item) = self.items.get(topic)
            && matches!(item.update, Update::Suspect(_))
        {
            self.items.remove(topic);
        }
    }

    /// Removes every suspicion.
    pub(super) fn clear_suspicions(&mut self) {
        self.items
            .retain(|_, it| !matches!(it.update, Update::Suspect(_)));
    }

    /// Takes the updates for one datagram with `room` bytes left, least sent and newest first. An
    /// update that was sent `limit` times leaves the queue; if urgent or crowded, after a third of that.
    pub(super) fn take_piggybacked(&mut self, now: Ms, room: usize, limit: u32) -> Vec<Update> {
        self.refill(now);
        self.items
            .retain(|_, it| now.since(it.queued) < UPDATE_TTL_MS);
        let mut topics: Vec<(u32, Reverse<Ms>, &Topic)> = self
            .items
            .iter()
            .map(|(topic, it)| (it.times_sent, Reverse(it.queued), topic))
            .collect();
        topics.sort_unstable();
        let topics: Vec<Topic> = topics.into_iter().map(|(.., it)| it.clone()).collect();
        self.collect(topics, room, limit)
    }

    /// Takes the updates to push to `copies` nodes.
    pub(super) fn take_pushes(&mut self, now: Ms, room: usize, copies: usize) -> Vec<Update> {
        let waiting = |it: &&QueuedUpdate| it.pushes_left > 0;
        if !self.items.values().any(|it| waiting(&it)) {
            return Vec::new();
        }
        self.refill(now);
        let mut room = room;
        let mut updates = Vec::new();
        for item in self.items.values_mut().filter(|it| it.pushes_left > 0) {
            let budget = match item.delivery {
                Delivery::Urgent => &mut self.urgent,
                Delivery::Origin | Delivery::Piggyback => &mut self.regular,
            };
            if item.size > room || !budget.try_spend(item.size * copies) {
                continue;
            }
            room -= item.size;
            item.pushes_left -= 1;
            updates.push(item.update.clone());
        }
        updates
    }

    fn collect(&mut self, topics: Vec<Topic>, mut room: usize, limit: u32) -> Vec<Update> {
        let crowded = self.items.len() > CROWDED_LEN;
        let mut updates = Vec::new();
        for topic in topics {
            let Some(item) = self.items.get_mut(&topic) else {
                continue;
            };
            let budget = match item.delivery {
                Delivery::Urgent => &mut self.urgent,
                Delivery::Origin | Delivery::Piggyback => &mut self.regular,
            };
            if item.size > room || !budget.try_spend(item.size) {
                continue;
            }
            room -= item.size;
            item.times_sent += 1;
            updates.push(item.update.clone());
            // Pushes by every receiver have reached most nodes before the first probe.
            let fewer = crowded || item.delivery == Delivery::Urgent;
            if item.times_sent >= if fewer { limit.div_ceil(3) } else { limit } {
                self.items.remove(&topic);
            }
        }
        updates
    }

    fn refill(&mut self, now: Ms) {
        self.regular.refill(now, GOSSIP_RATE, GOSSIP_BURST);
        self.urgent.refill(now, URGENT_RATE, URGENT_BURST);
    }
}
