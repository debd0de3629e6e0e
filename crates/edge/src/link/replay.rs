//! Frames seen before are refused.

use std::collections::HashMap;

use laburnum_kernel::{Ms, NodeId};

/// Whether a frame may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// First time.
    New,
    /// Seen before, too old to tell, or from an earlier start of its sender.
    Replayed,
}

/// How far frames of one sender may overtake one another.
pub const WINDOW: u64 = 64;

/// A sender unheard for so long is forgotten, in ms.
///
/// A host whose clock was set back restarts with an earlier start than its peers remember. Its frames are
/// refused, as a replay would be, until the peers forget it; so it is unreachable for at most this long.
pub const FORGET_MS: u64 = 60_000;

/// What was seen of each sender on one channel.
///
/// Without it, whoever records frames on the wire can send them again: an old probe answer would make a dead
/// node look alive. The receiver keeps a window of counters a sender, so reordered datagrams pass and
/// repeated ones do not. Only holders of the key get an entry, so strangers cannot fill the table.
#[derive(Debug, Default)]
pub struct Replay {
    senders: HashMap<NodeId, Window>,
    swept: Ms,
}

#[derive(Debug)]
struct Window {
    started: u64,
    highest: u64,
    /// Bit n stands for the counter `highest - n`.
    seen: u64,
    heard: Ms,
}

impl Replay {
    /// Takes note of one frame.
    pub fn check(&mut self, now: Ms, from: NodeId, started: u64, counter: u64) -> Seen {
        self.sweep(now);
        let fresh = Window {
            started,
            highest: counter,
            seen: 1,
            heard: now,
        };
        let Some(window) = self.senders.get_mut(&from) else {
            self.senders.insert(from, fresh);
            return Seen::New;
        };
        if started > window.started {
            *window = fresh;
            return Seen::New;
        }
        if started < window.started {
            return Seen::Replayed;
        }
        window.note(now, counter)
    }

    /// Senders remembered.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Whether no sender is remembered.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn sweep(&mut self, now: Ms) {
        if now.since(self.swept) < FORGET_MS / 4 {
            return;
        }
        self.swept = now;
        self.senders.retain(|_, it| now.since(it.heard) < FORGET_MS);
    }
}

impl Window {
    fn note(&mut self, now: Ms, counter: u64) -> Seen {
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = match ahead < WINDOW {
                true => self.seen << ahead,
                false => 0,
            };
            self.seen |= 1;
            self.highest = counter;
            self.heard = now;
            return Seen::New;
        }
        let behind = self.highest - counter;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return Seen::Replayed;
        }
        self.seen |= 1 << behind;
        self.heard = now;
        Seen::New
    }
}
