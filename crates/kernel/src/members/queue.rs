//! News on its way out: what is piggybacked on probes, how often and in how many bytes.

use std::{cmp::Reverse, collections::BTreeMap};

use super::record::{Topic, Update};
use crate::clock::Ms;

/// Bytes of piggybacked news that a node may send each second on average.
pub const NEWS_RATE: u64 = 160;

/// Bytes of news that may be sent at once after a quiet time.
pub const NEWS_BURST: u64 = 16 * 1024;

/// With more news than this in the queue, each piece is sent a third as often: anti-entropy finds the
/// few nodes that it misses, and new pieces do not wait behind old ones.
const CROWDED: usize = 64;

/// Ms after which news is old: everybody has it, or finds it by anti-entropy. A herd that starts would
/// fill the queue for an hour otherwise.
const NEWS_MS: u64 = 30_000;

#[derive(Debug)]
struct Item {
    update: Update,
    size: usize,
    sent: u32,
    eager: u32,
    pace: Pace,
    born: Ms,
}

/// How fast a piece of news travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// On the probes alone.
    Piggyback,
    /// Also pushed at once by its origin.
    Origin,
    /// Also pushed at once by everyone who hears it.
    Urgent,
}

impl Pace {
    fn pushes(self) -> u32 {
        match self {
            Pace::Piggyback => 0,
            Pace::Origin => 1,
            Pace::Urgent => 2,
        }
    }
}

/// The news that this node still passes on.
#[derive(Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<Topic, Item>,
    tokens: u64,
    filled: Ms,
}

impl Queue {
    /// Adds `update` in place of older news on the same topic.
    pub(super) fn push(&mut self, now: Ms, update: Update, pace: Pace) {
        let item = Item {
            size: update.size(),
            sent: 0,
            eager: pace.pushes(),
            pace,
            born: now,
            update,
        };
        self.items.insert(item.update.topic(), item);
    }

    /// Forgets the news on `topic`.
    pub(super) fn remove(&mut self, topic: &Topic) {
        self.items.remove(topic);
    }

    /// Forgets the news on `topic` if it is a suspicion.
    pub(super) fn remove_suspicion(&mut self, topic: &Topic) {
        if let Some(item) = self.items.get(topic)
            && matches!(item.update, Update::Suspect(_))
        {
            self.items.remove(topic);
        }
    }

    /// Forgets every suspicion.
    pub(super) fn clear_suspicions(&mut self) {
        self.items
            .retain(|_, it| !matches!(it.update, Update::Suspect(_)));
    }

    /// The news for one datagram with `room` bytes left, least sent and newest first. News that was sent `times`
    /// leaves the queue.
    pub(super) fn take(&mut self, now: Ms, room: usize, times: u32) -> Vec<Update> {
        let room = room.min(self.refill(now));
        self.items.retain(|_, it| now.since(it.born) < NEWS_MS);
        let mut topics: Vec<(u32, Reverse<Ms>, &Topic)> = self
            .items
            .iter()
            .map(|(topic, it)| (it.sent, Reverse(it.born), topic))
            .collect();
        topics.sort_unstable();
        let topics: Vec<Topic> = topics.into_iter().map(|(.., it)| it.clone()).collect();
        self.collect(topics, room, times)
    }

    /// The news to push to `copies` nodes at once, if any.
    pub(super) fn take_eager(&mut self, now: Ms, room: usize, copies: usize) -> Vec<Update> {
        let waiting = |it: &&Item| it.eager > 0;
        if !self.items.values().any(|it| waiting(&it)) {
            return Vec::new();
        }
        let mut room = room.min(self.refill(now) / copies.max(1));
        let mut updates = Vec::new();
        for item in self.items.values_mut().filter(|it| it.eager > 0) {
            if item.size > room {
                continue;
            }
            room -= item.size;
            item.eager -= 1;
            updates.push(item.update.clone());
            self.tokens = self.tokens.saturating_sub((item.size * copies) as u64);
        }
        updates
    }

    fn collect(&mut self, topics: Vec<Topic>, mut room: usize, times: u32) -> Vec<Update> {
        let crowded = self.items.len() > CROWDED;
        let mut updates = Vec::new();
        for topic in topics {
            let Some(item) = self.items.get_mut(&topic) else {
                continue;
            };
            if item.size > room {
                break;
            }
            room -= item.size;
            self.tokens = self.tokens.saturating_sub(item.size as u64);
            item.sent += 1;
            updates.push(item.update.clone());
            // What everybody pushes has reached almost everybody before the first probe.
            let fewer = crowded || item.pace == Pace::Urgent;
            if item.sent >= if fewer { times.div_ceil(3) } else { times } {
                self.items.remove(&topic);
            }
        }
        updates
    }

    fn refill(&mut self, now: Ms) -> usize {
        if self.filled == Ms(0) {
            self.tokens = NEWS_BURST;
            self.filled = now;
        }
        let bytes = now.since(self.filled) * NEWS_RATE / 1_000;
        if bytes > 0 {
            self.filled = now;
            self.tokens = (self.tokens + bytes).min(NEWS_BURST);
        }
        self.tokens as usize
    }
}
