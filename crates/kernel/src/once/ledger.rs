//! A bucket's row: its claims and what is allowed to happen to them.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    guard::Fingerprint,
    id::NodeId,
    once::{ABSENT_MS, Answer, AttemptId, Claim, Key, OPEN_MS, Resolution, Settlement, Verdict},
};

/// The value of a bucket's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Objects that hold older settled claims, oldest first.
    pub segments: Vec<Segment>,
    /// Open claims and the newest settled ones, oldest first.
    pub entries: Vec<Entry>,
}

/// An object that holds settled claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Name of the object.
    pub name: String,
    /// How often its claims were merged with others.
    pub level: u8,
    /// When its newest claim was made; it is kept for the retention from then on.
    pub last: Ms,
    /// Number of its claims.
    pub count: u32,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What is claimed.
    pub key: Key,
    /// The attempt that holds it.
    pub attempt: AttemptId,
    /// The node that runs it.
    pub holder: NodeId,
    /// The process of the holder.
    pub incarnation: u64,
    /// Digest of the request.
    pub print: Fingerprint,
    /// When it was claimed, by the clock of the bucket's owner.
    pub time: Ms,
    /// What became of it.
    pub phase: Phase,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Its holder may be running it.
    Open,
    /// Its holder told that the outcome is unknown.
    Unknown,
    /// It ran.
    Ran(Kept),
    /// An operator said that it ran.
    Resolved { author: String, note: String },
    /// An operator allowed another run; the entry stays as a record until then.
    Released { author: String, note: String },
}

/// How an answer is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kept {
    /// Within the claim.
    Inline(Answer),
    /// As an object of this name.
    Object { name: String },
    /// Not at all: it could not be stored in time.
    Lost,
}

/// An outcome, with its answer already stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran.
    Ran(Kept),
    /// It surely did not run and never will under this attempt.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An operator's decision on one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Decision {
    pub key: Key,
    pub resolution: Resolution,
    pub author: String,
    pub note: String,
}

/// The process that holds a claim, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Process {
    /// It is a member.
    Lives,
    /// Another process runs in its place.
    Restarted,
    /// Its node is no member: it is gone, or not known yet.
    Absent,
}

/// What a settlement or decision did to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// The ledger changed and must be written.
    Changed,
    /// It already stands so.
    Same,
    /// No claim fits.
    Missing,
    /// The claim does not allow it.
    Refused(&'static str),
}

impl Ledger {
    /// Reads a row's value.
    pub fn decode(bytes: &[u8]) -> Result<Ledger, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// The row's value.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a ledger encodes")
    }

    /// The claim of `key`, if the row itself holds one.
    pub fn find(&self, key: &Key) -> Option<&Entry> {
        self.entries.iter().find(|it| it.key == *key)
    }

    /// Adds an open claim unless the key has one; `process` tells how a claim's holder is.
    pub(super) fn claim(
        &mut self,
        now: Ms,
        claim: &Claim,
        process: impl Fn(&Entry) -> Process,
    ) -> (Verdict, Effect) {
        let entry = self.entries.iter().position(|it| it.key == claim.key);
        if let Some(idx) = entry {
            if !matches!(self.entries[idx].phase, Phase::Released { .. }) {
                return (judge(now, &self.entries[idx], claim, process), Effect::Same);
            }
            self.entries.remove(idx);
        }
        self.entries.push(Entry {
            key: claim.key.clone(),
            attempt: claim.attempt,
            holder: claim.holder,
            incarnation: claim.incarnation,
            print: claim.print,
            time: now,
            phase: Phase::Open,
        });
        (Verdict::Granted, Effect::Changed)
    }

    /// Keeps an outcome. Only the attempt that holds the claim changes it, and only once.
    pub(super) fn settle(&mut self, settlement: &Settlement) -> Effect {
        let held = |it: &Entry| it.key == settlement.key && it.attempt == settlement.attempt;
        let Some(idx) = self.entries.iter().position(held) else {
            return Effect::Missing;
        };
        let entry = &mut self.entries[idx];
        match (&entry.phase, &settlement.outcome) {
            // Its holder knows better than an operator's guess.
            (
                Phase::Open | Phase::Unknown | Phase::Resolved { .. } | Phase::Released { .. },
                Outcome::Ran(kept),
            ) => {
                entry.phase = Phase::Ran(kept.clone());
            }
            (Phase::Open, Outcome::Unknown) => entry.phase = Phase::Unknown,
            (Phase::Open, Outcome::NotRun) => {
                self.entries.remove(idx);
            }
            _ => return Effect::Same,
        }
        Effect::Changed
    }

    /// Carries out an operator's decision on a claim of unknown outcome.
    pub(super) fn resolve(
        &mut self,
        now: Ms,
        decision: &Decision,
        process: impl Fn(&Entry) -> Process,
    ) -> Effect {
        let Some(entry) = self.entries.iter_mut().find(|it| it.key == decision.key) else {
            return Effect::Missing;
        };
        let (author, note) = (decision.author.clone(), decision.note.clone());
        let phase = match decision.resolution {
            Resolution::Ran => Phase::Resolved { author, note },
            Resolution::Rerun => Phase::Released { author, note },
        };
        // The decision is asked for again, or its own write was read back.
        if entry.phase == phase {
            return Effect::Same;
        }
        if !entry.unknown(now, process) {
            return Effect::Refused(
                "its outcome is not unknown; ask for the list of those that are",
            );
        }
        entry.phase = phase;
        Effect::Changed
    }

    /// Drops what is older than the retention; returns the names of objects that are no longer needed.
    pub(super) fn expire(&mut self, now: Ms, retention: u64) -> Vec<String> {
        let old = |time: Ms| now.since(time) > retention;
        let mut names = Vec::new();
        self.entries.retain(|it| {
            let done = it.settled() || matches!(it.phase, Phase::Released { .. });
            let keep = !done || !old(it.time);
            if let (false, Phase::Ran(Kept::Object { name })) = (keep, &it.phase) {
                names.push(name.clone());
            }
            keep
        });
        self.segments.retain(|it| {
            let keep = !old(it.last);
            if !keep {
                names.push(it.name.clone());
            }
            keep
        });
        names
    }
}

impl Entry {
    /// Whether the outcome is settled for good.
    pub fn settled(&self) -> bool {
        matches!(self.phase, Phase::Ran(_) | Phase::Resolved { .. })
    }

    /// Whether nobody can tell any more what became of it.
    pub(super) fn unknown(&self, now: Ms, process: impl Fn(&Entry) -> Process) -> bool {
        match self.phase {
            Phase::Unknown => true,
            Phase::Open => {
                let age = now.since(self.time);
                match process(self) {
                    Process::Lives => age > OPEN_MS,
                    Process::Absent => age > ABSENT_MS,
                    Process::Restarted => true,
                }
            }
            _ => false,
        }
    }
}

/// What to say of `claim` when `entry` already holds its key.
pub(super) fn judge(
    now: Ms,
    entry: &Entry,
    claim: &Claim,
    process: impl Fn(&Entry) -> Process,
) -> Verdict {
    // A claim that is sent again, or whose write was read back, meets its own entry.
    if entry.attempt == claim.attempt && entry.phase == Phase::Open {
        return Verdict::Granted;
    }
    if entry.print != claim.print {
        return Verdict::Mismatch;
    }
    let unknown = |why: &str| Verdict::Unknown {
        why: why.to_owned(),
    };
    match &entry.phase {
        Phase::Ran(kept) => Verdict::Ran(kept.clone()),
        Phase::Resolved { .. } => unknown("an operator found that it ran; its answer is not kept"),
        Phase::Unknown => unknown("an earlier attempt may have run; an operator has to resolve it"),
        Phase::Open if entry.unknown(now, process) => {
            unknown("the node that ran it is gone; an operator has to resolve it")
        }
        Phase::Open | Phase::Released { .. } => Verdict::Busy,
    }
}
