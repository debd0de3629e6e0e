//! Protection against replayed frames.

use std::collections::HashMap;

use laburnum_kernel::{Ms, NodeId};

/// Result of [`ReplayFilter::check`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The frame is new and can be processed.
    New,
    /// The frame was received before, is older than the window, or comes from an earlier start of its sender.
    Replayed,
}

/// Number of the latest counters of a sender that are tracked; a frame that is delayed by more is rejected.
pub const WINDOW: u64 = 64;

/// Time after its last accepted frame until a sender is forgotten, in ms.
///
/// A host that restarts with its clock set back looks like a replay: its frames are rejected until peers forget it.
pub const SENDER_EXPIRY_MS: u64 = 60_000;

/// Tracks the frames received from each sender on one channel.
///
/// Rejects recorded frames that are sent again, such as an old probe answer of a dead node, and accepts reordered
/// ones. Must be given authenticated frames only, so that senders without the key cannot fill the table.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    senders: HashMap<NodeId, Window>,
    last_sweep: Ms,
}

#[derive(Debug)]
struct Window {
    started: u64,
    highest: u64,
    /// Bit n is set if the counter `highest - n` was received.
    seen: u64,
    last_accepted: Ms,
}

impl ReplayFilter {
    /// Checks one frame and records it.
    pub fn check(&mut self, now: Ms, from: NodeId, started: u64, counter: u64) -> Freshness {
        self.evict_expired(now);
        let initial = Window {
            started,
            highest: counter,
            seen: 1,
            last_accepted: now,
        };
        let Some(window) = self.senders.get_mut(&from) else {
            self.senders.insert(from, initial);
            return Freshness::New;
        };
        if started > window.started {
            *window = initial;
            return Freshness::New;
        }
        if started < window.started {
            return Freshness::Replayed;
        }
        window.record(now, counter)
    }

    /// Returns the number of senders tracked.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender is tracked.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn evict_expired(&mut self, now: Ms) {
        if now.since(self.last_sweep) < SENDER_EXPIRY_MS / 4 {
            return;
        }
        self.last_sweep = now;
        self.senders
            .retain(|_, it| now.since(it.last_accepted) < SENDER_EXPIRY_MS);
    }
}

impl Window {
    fn record(&mut self, now: Ms, counter: u64) -> Freshness {
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = match ahead < WINDOW {
                true => self.seen << ahead,
                false => 0,
            };
            self.seen |= 1;
            self.highest = counter;
            self.last_accepted = now;
            return Freshness::New;
        }
        let behind = self.highest - counter;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return Freshness::Replayed;
        }
        self.seen |= 1 << behind;
        self.last_accepted = now;
        Freshness::New
    }
}
