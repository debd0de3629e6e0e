//! Which process is the upstream beside this node, told from heartbeats that may arrive late or out of order.
//!
//! Each start of an upstream has its own instance id. A heartbeat that the network held up may arrive after its
//! sender died and a successor announced itself at the same address: taken at its word, requests would name
//! the dead instance and be turned away by the living one.

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
    retired: VecDeque<Arc<str>>,
}

#[derive(Debug)]
struct Present {
    id: Arc<str>,
    sequence: u64,
    heard: Ms,
}

impl Instances {
    /// Judges a heartbeat of instance `id`; `sequence` grows with each call of one instance.
    pub fn heartbeat(&mut self, now: Ms, id: &Arc<str>, sequence: u64) -> Verdict {
        if let Some(it) = &mut self.present {
            if it.id == *id {
                if sequence <= it.sequence {
                    return Verdict::Stale;
                }
                (it.sequence, it.heard) = (sequence, now);
                return Verdict::Present;
            }
            if self.retired.contains(id) && now.since(it.heard) < SILENCE_MS {
                return Verdict::Stale;
            }
        } else if self.retired.contains(id) {
            return Verdict::Stale;
        }
        self.replace(now, id, sequence);
        Verdict::Successor
    }

    /// Judges the deregistration of instance `id`.
    pub fn leave(&mut self, id: &Arc<str>) -> Verdict {
        self.retire(id.clone());
        match self.present.take_if(|it| it.id == *id) {
            Some(_) => Verdict::Present,
            None => Verdict::Stale,
        }
    }

    fn replace(&mut self, now: Ms, id: &Arc<str>, sequence: u64) {
        self.retired.retain(|it| it != id);
        let before = self.present.replace(Present {
            id: id.clone(),
            sequence,
            heard: now,
        });
        if let Some(before) = before {
            self.retire(before.id);
        }
    }

    fn retire(&mut self, id: Arc<str>) {
        if self.retired.contains(&id) {
            return;
        }
        if self.retired.len() == RETIRED_MAX {
            self.retired.pop_front();
        }
        self.retired.push_back(id);
    }
}
