//! Which process is the upstream beside this node, told from heartbeats that may arrive late or out of order.
//!
//! Each start of an upstream has its own instance id, or the id of an earlier start and a later time of birth. A heartbeat
//! that the network held up may arrive after its sender died and a successor announced itself at the same address: taken
//! at its word, requests would name the dead instance and be turned away by the living one. And a successor under the
//! same id counts its heartbeats anew: measured by the count of the one before, all it says would pass for late.

use std::{collections::VecDeque, sync::Arc};

use crate::clock::Ms;

/// Instances that left or were replaced and are remembered, newest last.
const RETIRED_MAX: usize = 16;

/// Silence of the present instance after which a retired one is believed again, in ms.
///
/// An upstream sends a heartbeat every 1.5 s. A single late heartbeat of a dead instance wins this way only for
/// as long as the living one takes to send its next two.
pub const SILENCE_MS: u64 = 1_900;

/// What a heartbeat or a deregistration means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It comes from the present instance: take it.
    Present,
    /// It comes from an instance that was not known: take it, and give up the one before.
    Successor,
    /// It is late, repeated, or comes from an instance that was replaced: acknowledge and forget it.
    Stale,
}

/// The instances that announced themselves to this node.
#[derive(Debug, Default)]
pub struct Instances {
    present: Option<Present>,
    retired: VecDeque<Start>,
}

/// One start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Its instance id.
    pub id: Arc<str>,
    /// Unix ms of its birth; zero if it does not tell.
    pub born: u64,
}

#[derive(Debug)]
struct Present {
    start: Start,
    sequence: u64,
    heard: Ms,
}

impl Instances {
    /// Judges a heartbeat of `start`; `sequence` grows with each call of one start.
    pub fn heartbeat(&mut self, now: Ms, start: &Start, sequence: u64) -> Verdict {
        let retired = self.retired(start);
        let Some(it) = &mut self.present else {
            if retired {
                return Verdict::Stale;
            }
            self.replace(now, start, sequence);
            return Verdict::Successor;
        };
        if it.start == *start {
            if sequence <= it.sequence {
                return Verdict::Stale;
            }
            (it.sequence, it.heard) = (sequence, now);
            return Verdict::Present;
        }
        let earlier = it.start.id == start.id && start.born < it.start.born;
        if earlier || retired && now.since(it.heard) < SILENCE_MS {
            return Verdict::Stale;
        }
        self.replace(now, start, sequence);
        Verdict::Successor
    }

    /// Judges the deregistration of `start`; one that does not tell its birth stands for the present one of its id.
    pub fn leave(&mut self, start: &Start) -> Verdict {
        let leaves = |it: &Start| it.id == start.id && (start.born == 0 || it.born <= start.born);
        match self.present.take_if(|it| leaves(&it.start)) {
            Some(it) => {
                self.retire(it.start);
                Verdict::Present
            }
            None => {
                self.retire(start.clone());
                Verdict::Stale
            }
        }
    }

    /// Whether this start, or a later one of its id, left or was replaced.
    fn retired(&self, start: &Start) -> bool {
        let mut retired = self.retired.iter();
        retired.any(|it| it.id == start.id && start.born <= it.born)
    }

    fn replace(&mut self, now: Ms, start: &Start, sequence: u64) {
        self.retired.retain(|it| it != start);
        let before = self.present.replace(Present {
            start: start.clone(),
            sequence,
            heard: now,
        });
        if let Some(before) = before {
            self.retire(before.start);
        }
    }

    fn retire(&mut self, start: Start) {
        if self.retired.contains(&start) {
            return;
        }
        if self.retired.len() == RETIRED_MAX {
            self.retired.pop_front();
        }
        self.retired.push_back(start);
    }
}
