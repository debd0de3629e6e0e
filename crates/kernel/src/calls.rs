//! Calls of running requests: recognises a request that an upstream sends while it runs another one.
//!
//! A failed call fails its run, so a call inherits the urgency of its run. [`Runs`] holds the requests that run at
//! one upstream, by id. A call is recognised by a hierarchical id: the id of its run, a dot and a suffix.

mod learned;

use std::collections::HashMap;

use crate::{admission::kinds::Kind, clock::Ms, id::Name};

pub use self::learned::{CALLED_MAX, CalledService, KINDS_MAX, KindCalls, Learned};

/// Maximum number of runs in the table.
pub const RUNS_MAX: usize = 1_024;
/// Maximum number of calls that are recognised for one run. It bounds what a forged id gains.
pub const CALLS_MAX: u32 = 16;
/// Maximum length of the id of a run in the table, in bytes. It bounds the memory that callers' ids occupy.
pub const ID_MAX_BYTES: usize = 256;

/// A request that runs at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Kind of the request.
    pub kind: Kind,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Latency goal.
    pub goal: Ms,
    /// Time after which the request no longer runs.
    pub deadline: Ms,
}

/// Identifies a run in [`Runs`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey {
    slot: u32,
    generation: u32,
}

/// The run that a call belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRun {
    /// Key of the run.
    pub key: RunKey,
    /// The run.
    pub run: Run,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The upstream answered, and its answer is no server error.
    Answered,
    /// The upstream answered with a server error.
    Failed,
    /// No complete answer arrived.
    Lost,
    /// The upstream did not run the request.
    NotRun,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was answered without a server error.
    Answered,
    /// It was not run, by a decision of the system.
    Refused,
    /// It was not run, by a decision of the called upstream.
    Shed,
    /// It failed, or its outcome is unknown.
    Failed,
}

impl CallEnd {
    /// All ends, in the order of [`Totals::calls`].
    pub const ALL: [CallEnd; 4] = [
        CallEnd::Answered,
        CallEnd::Refused,
        CallEnd::Shed,
        CallEnd::Failed,
    ];

    /// Returns the stable name.
    pub fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Refused => "refused",
            CallEnd::Shed => "shed",
            CallEnd::Failed => "failed",
        }
    }
}

/// Counts since the table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls that ended, in the order of [`CallEnd::ALL`].
    pub calls: [u64; CallEnd::ALL.len()],
    /// Runs that failed after one of their calls had failed.
    pub runs_failed_calls: u64,
}

/// The requests that run at one upstream, by id.
#[derive(Debug, Default)]
pub struct Runs {
    slots: Vec<Slot>,
    free: Vec<u32>,
    keys: HashMap<Box<str>, RunKey>,
    learned: Learned,
    totals: Totals,
}

#[derive(Debug)]
struct Slot {
    generation: u32,
    entry: Option<Entry>,
}

#[derive(Debug)]
struct Entry {
    id: Box<str>,
    run: Run,
    /// Number of recognised calls.
    calls: u32,
    /// Whether a call failed.
    has_failed_call: bool,
}

impl RunKey {
    /// Key of a run that is not in the table.
    const UNTRACKED: RunKey = RunKey {
        slot: u32::MAX,
        generation: 0,
    };
}

impl Runs {
    /// Adds a run. It is not tracked, and its calls are ordinary requests, if its id is empty, too long or the id
    /// of another run, or if the table is full of runs before their deadline.
    ///
    /// The id of another run is refused because callers choose the ids: a second request of the same id would
    /// otherwise determine the urgency of the first one's calls.
    pub fn begin(&mut self, now: Ms, id: &str, run: Run) -> RunKey {
        if id.is_empty() || id.len() > ID_MAX_BYTES {
            return RunKey::UNTRACKED;
        }
        if let Some(key) = self.keys.get(id).copied() {
            if !self.is_expired(now, key) {
                return RunKey::UNTRACKED;
            }
            self.remove(key);
        }
        if self.keys.len() >= RUNS_MAX {
            self.remove_expired(now);
        }
        let Some(key) = self.allocate() else {
            return RunKey::UNTRACKED;
        };
        self.slots[key.slot as usize].entry = Some(Entry {
            id: id.into(),
            run,
            calls: 0,
            has_failed_call: false,
        });
        self.keys.insert(id.into(), key);
        key
    }

    /// Removes a run and learns from it. Does nothing if it is not in the table.
    pub fn end(&mut self, now: Ms, key: RunKey, end: RunEnd) {
        let Some(entry) = self.remove(key) else {
            return;
        };
        match end {
            RunEnd::NotRun => return,
            RunEnd::Answered => {}
            RunEnd::Failed | RunEnd::Lost => {
                self.totals.runs_failed_calls += u64::from(entry.has_failed_call);
            }
        }
        self.learned.record_run(now, entry.run.kind, entry.calls);
    }

    /// Returns the run that the id of a request for `service` names, and counts the request as its call.
    ///
    /// Returns `None` if the id names no run, or one past its deadline, or one that has made [`CALLS_MAX`] calls.
    pub fn call(&mut self, now: Ms, id: &str, service: &Name) -> Option<CallRun> {
        let (run_id, suffix) = id.rsplit_once('.')?;
        if suffix.is_empty() {
            return None;
        }
        let key = *self.keys.get(run_id)?;
        let entry = self.entry(key)?;
        if entry.run.deadline <= now || entry.calls >= CALLS_MAX {
            return None;
        }
        entry.calls += 1;
        let run = entry.run;
        self.learned.record_call(now, run.kind, service);
        Some(CallRun { key, run })
    }

    /// Records the end of a call to `service` that took `took` ms.
    ///
    /// If the run has ended before, only the totals count the call.
    pub fn called(&mut self, now: Ms, key: RunKey, service: &Name, end: CallEnd, took: u64) {
        self.totals.calls[end as usize] += 1;
        let Some(entry) = self.entry(key) else {
            return;
        };
        entry.has_failed_call |= end != CallEnd::Answered;
        let kind = entry.run.kind;
        self.learned.record_call_end(now, kind, service, end, took);
    }

    /// Returns the number of runs in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table has no runs.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the counts since the table was created.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns what was learned of the calls of each kind of run.
    pub fn learned(&self) -> &Learned {
        &self.learned
    }

    fn entry(&mut self, key: RunKey) -> Option<&mut Entry> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        slot.entry
            .as_mut()
            .filter(|_| slot.generation == key.generation)
    }

    fn is_expired(&mut self, now: Ms, key: RunKey) -> bool {
        self.entry(key).is_none_or(|it| it.run.deadline <= now)
    }

    /// Returns a key with an empty slot, unless the table is full.
    fn allocate(&mut self) -> Option<RunKey> {
        let slot = match self.free.pop() {
            Some(it) => it,
            None if self.slots.len() < RUNS_MAX => {
                self.slots.push(Slot {
                    generation: 0,
                    entry: None,
                });
                (self.slots.len() - 1) as u32
            }
            None => return None,
        };
        let generation = self.slots[slot as usize].generation;
        Some(RunKey { slot, generation })
    }

    fn remove(&mut self, key: RunKey) -> Option<Entry> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let entry = slot.entry.take()?;
        // A key of the removed run must not match the next run in the slot.
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.slot);
        self.keys.remove(&entry.id);
        Some(entry)
    }

    /// Removes the runs past their deadline, whose end was missed.
    fn remove_expired(&mut self, now: Ms) {
        let keys = self.keys.values().copied();
        let expired: Vec<RunKey> = keys
            .filter(|key| {
                let entry = self.slots[key.slot as usize].entry.as_ref();
                entry.is_none_or(|it| it.run.deadline <= now)
            })
            .collect();
        for key in expired {
            self.remove(key);
        }
    }
}

/// Returns the priority and latency goal of a call, from its run and from its route's `priority` and `goal`.
///
/// The goal is capped by that of the run, which the call delays, unless the run is late already: then no goal of the
/// call can make it timely.
pub fn inherit(now: Ms, run: &Run, priority: u8, goal: Ms) -> (u8, Ms) {
    let capped = match run.goal <= now {
        true => goal,
        false => goal.min(run.goal),
    };
    (priority.min(run.priority), capped)
}
