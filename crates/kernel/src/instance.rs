//! Tracks which instance is the upstream beside this node, from heartbeats that may arrive late or out of order.
//!
//! Each start of an upstream has its own instance id, or the same id and a later start time. Without the check, a
//! delayed heartbeat of a replaced instance would make requests name the wrong instance, and the sequence numbers of a
//! new start under the same id would look outdated.

use std::{collections::VecDeque, sync::Arc};

use crate::clock::Ms;

/// Maximum number of stored starts that were replaced.
const RETIRED_MAX: usize = 16;

/// Maximum number of stored starts that leave. Late heartbeats are seconds old, and an upstream is not replaced that often.
const LEAVING_MAX: usize = 32;

/// Time without a heartbeat of the present instance after which a retired one may replace it, and after which its own are
/// accepted whatever their sequence, in ms. It is longer than the heartbeat interval of 1.5 s, so that a live instance
/// recovers after a late heartbeat of a dead one.
pub const SILENCE_MS: u64 = 1_900;

/// Decision on a heartbeat or a deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Sent by the present instance; it applies.
    Present,
    /// Sent by a new instance, which replaces the present one; it applies.
    Successor,
    /// Late, repeated, or sent by a replaced instance; it must be acknowledged and ignored.
    Stale,
}

/// The present instance, those that were replaced and those that leave.
#[derive(Debug, Default)]
pub struct Instances {
    present: Option<Present>,
    /// Newest last.
    retired: VecDeque<Start>,
    /// Starts that said that they leave, newest last. Unlike a replaced start, none of them may come back: its node has
    /// promised that it gets no more requests.
    leaving: VecDeque<Start>,
}

/// One start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Instance id.
    pub id: Arc<str>,
    /// Start time in Unix ms; zero if unknown.
    pub born: u64,
}

#[derive(Debug)]
struct Present {
    start: Start,
    sequence: u64,
    last_heartbeat: Ms,
}

impl Instances {
    /// Decides on a heartbeat of `start`; `sequence` increases with each call of one start.
    pub fn heartbeat(&mut self, now: Ms, start: &Start, sequence: u64) -> Verdict {
        let is_leaving = self.is_leaving(start);
        let is_retired = covers(&self.retired, start);
        let Some(it) = &mut self.present else {
            if is_leaving || is_retired {
                return Verdict::Stale;
            }
            self.replace(now, start, sequence);
            return Verdict::Successor;
        };
        if it.start == *start {
            // One odd number must not make the node ignore all later heartbeats of a living instance.
            let is_silent = now.since(it.last_heartbeat) >= SILENCE_MS;
            if sequence <= it.sequence && !is_silent {
                return Verdict::Stale;
            }
            (it.sequence, it.last_heartbeat) = (sequence, now);
            return Verdict::Present;
        }
        let earlier = it.start.id == start.id && start.born < it.start.born;
        if earlier || is_leaving || is_retired && now.since(it.last_heartbeat) < SILENCE_MS {
            return Verdict::Stale;
        }
        self.replace(now, start, sequence);
        Verdict::Successor
    }

    /// Returns the start that a heartbeat of `start` is of: without a start time, the present one of its id.
    pub fn resolve(&self, start: Start) -> Start {
        match &self.present {
            Some(it) if start.born == 0 && it.start.id == start.id => it.start.clone(),
            _ => start,
        }
    }

    /// Decides on the deregistration of `start`; without a start time it applies to the present instance of its id.
    pub fn leave(&mut self, start: &Start) -> Verdict {
        let leaves = |it: &Start| it.id == start.id && (start.born == 0 || it.born <= start.born);
        match self.present.take_if(|it| leaves(&it.start)) {
            Some(it) => {
                self.mark_leaving(&it.start);
                self.mark_leaving(start);
                Verdict::Present
            }
            None => {
                self.mark_leaving(start);
                Verdict::Stale
            }
        }
    }

    /// Records that `start` leaves. It stays the present one if it is, as an upstream that drains still answers requests.
    pub fn mark_leaving(&mut self, start: &Start) {
        if self.is_leaving(start) {
            return;
        }
        if self.leaving.len() == LEAVING_MAX {
            self.leaving.pop_front();
        }
        self.leaving.push_back(start.clone());
    }

    /// Returns whether this start, or a later one of its id, said that it leaves.
    pub fn is_leaving(&self, start: &Start) -> bool {
        covers(&self.leaving, start)
    }

    /// Returns the present start.
    pub fn present(&self) -> Option<&Start> {
        self.present.as_ref().map(|it| &it.start)
    }

    fn replace(&mut self, now: Ms, start: &Start, sequence: u64) {
        self.retired.retain(|it| it != start);
        let previous = self.present.replace(Present {
            start: start.clone(),
            sequence,
            last_heartbeat: now,
        });
        if let Some(previous) = previous {
            self.retire(previous.start);
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

/// Returns whether `starts` has this start or a later one of its id.
fn covers(starts: &VecDeque<Start>, start: &Start) -> bool {
    starts
        .iter()
        .any(|it| it.id == start.id && start.born <= it.born)
}
