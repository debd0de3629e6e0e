//! The row of a bucket: its claims and their state transitions.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    guard::Fingerprint,
    id::NodeId,
    once::{
        ABSENT_GRACE_MS, Answer, AttemptId, Claim, Key, OPEN_TIMEOUT_MS, Resolution, Settlement,
        Verdict,
    },
};

/// The value of a bucket's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Objects that hold the older settled claims, oldest first.
    pub segments: Vec<Segment>,
    /// Open claims and the most recent settled ones, oldest first.
    pub entries: Vec<Entry>,
}

/// An object that holds settled claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Name of the object.
    pub name: String,
    /// Number of merges that its claims went through.
    pub level: u8,
    /// Time of its newest claim; the retention counts from it.
    pub last: Ms,
    /// Number of its claims.
    pub count: u32,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The claimed key.
    pub key: Key,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The node that runs the request.
    pub holder: NodeId,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Digest of the request.
    pub print: Fingerprint,
    /// Time of the claim by the clock of the bucket's owner.
    pub time: Ms,
    /// State of the claim.
    pub phase: Phase,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The holder may be running the request.
    Open,
    /// The holder reported an unknown outcome.
    Unknown,
    /// The request ran.
    Ran(StoredAnswer),
    /// An operator decided that the request ran.
    Resolved { author: String, note: String },
    /// An operator allowed another run; the entry remains as a record until then.
    Released { author: String, note: String },
}

/// Where an answer is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// In the claim itself.
    Inline(Answer),
    /// In the object of this name.
    Object { name: String },
    /// Nowhere; it could not be stored in time.
    Lost,
}

/// Outcome of a request. An answer in an object is stored before the outcome is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran.
    Ran(StoredAnswer),
    /// The request did not run and never will under this attempt.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// An operator's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Decision {
    pub key: Key,
    pub resolution: Resolution,
    pub author: String,
    pub note: String,
}

/// State of the process that holds a claim, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HolderState {
    /// The process is a member.
    Alive,
    /// A newer process of the node is a member.
    Restarted,
    /// The node is not a member: it left or is not known yet.
    Absent,
}

/// Effect of a claim, settlement or decision on the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// The ledger changed and must be written.
    Changed,
    /// The ledger already reflects it.
    Same,
    /// No claim matches.
    Missing,
    /// The state of the claim does not allow it.
    Refused(&'static str),
}

/// An object that the row no longer names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Unneeded {
    /// An answer, or a segment whose claims are elsewhere in the row with their answers.
    Object(String),
    /// A segment of expired claims, whose answers are not needed either.
    Expired(String),
}

impl Ledger {
    /// Decodes the value of a row.
    pub fn decode(bytes: &[u8]) -> Result<Ledger, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Encodes the value of the row.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a ledger encodes")
    }

    /// Returns the claim of `key`, if the row itself holds one.
    pub fn find(&self, key: &Key) -> Option<&Entry> {
        self.entries.iter().find(|it| it.key == *key)
    }

    /// Adds an open claim unless the key has one. `holder_state` returns the state of a claim's holder.
    pub(super) fn claim(
        &mut self,
        now: Ms,
        claim: &Claim,
        holder_state: impl Fn(&Entry) -> HolderState,
    ) -> (Verdict, Effect) {
        let entry = self.entries.iter().position(|it| it.key == claim.key);
        if let Some(idx) = entry {
            if !matches!(self.entries[idx].phase, Phase::Released { .. }) {
                return (
                    existing_verdict(now, &self.entries[idx], claim, holder_state),
                    Effect::Same,
                );
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

    /// Stores an outcome of the attempt that holds the claim. An answer may follow an unknown outcome or a decision.
    pub(super) fn settle(&mut self, settlement: &Settlement) -> Effect {
        let matches_attempt =
            |it: &Entry| it.key == settlement.key && it.attempt == settlement.attempt;
        let Some(idx) = self.entries.iter().position(matches_attempt) else {
            return Effect::Missing;
        };
        let entry = &mut self.entries[idx];
        match (&entry.phase, &settlement.outcome) {
            // The holder's report takes precedence over an operator's decision.
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

    /// Applies an operator's decision on a claim with an unknown outcome.
    pub(super) fn resolve(
        &mut self,
        now: Ms,
        decision: &Decision,
        holder_state: impl Fn(&Entry) -> HolderState,
    ) -> Effect {
        let Some(entry) = self.entries.iter_mut().find(|it| it.key == decision.key) else {
            return Effect::Missing;
        };
        let (author, note) = (decision.author.clone(), decision.note.clone());
        let phase = match decision.resolution {
            Resolution::Ran => Phase::Resolved { author, note },
            Resolution::Rerun => Phase::Released { author, note },
        };
        // The decision was sent again, or its own write was read.
        if entry.phase == phase {
            return Effect::Same;
        }
        if !entry.is_unknown(now, holder_state) {
            return Effect::Refused(
                "the outcome of this claim is not unknown; list the unknown claims",
            );
        }
        entry.phase = phase;
        Effect::Changed
    }

    /// Drops settled and released claims and segments older than the retention. Returns the objects that are no longer
    /// needed.
    pub(super) fn expire(&mut self, now: Ms, retention: u64) -> Vec<Unneeded> {
        let is_old = |time: Ms| now.since(time) > retention;
        let mut unneeded = Vec::new();
        self.entries.retain(|it| {
            let done = it.is_settled() || matches!(it.phase, Phase::Released { .. });
            let keep = !done || !is_old(it.time);
            if let (false, Phase::Ran(StoredAnswer::Object { name })) = (keep, &it.phase) {
                unneeded.push(Unneeded::Object(name.clone()));
            }
            keep
        });
        self.segments.retain(|it| {
            let keep = !is_old(it.last);
            if !keep {
                unneeded.push(Unneeded::Expired(it.name.clone()));
            }
            keep
        });
        unneeded
    }
}

impl Entry {
    /// Returns whether the outcome is final.
    pub fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Ran(_) | Phase::Resolved { .. })
    }

    /// Returns whether the outcome is unknown and needs an operator's decision.
    pub(super) fn is_unknown(&self, now: Ms, holder_state: impl Fn(&Entry) -> HolderState) -> bool {
        match self.phase {
            Phase::Unknown => true,
            Phase::Open => {
                let age = now.since(self.time);
                match holder_state(self) {
                    HolderState::Alive => age > OPEN_TIMEOUT_MS,
                    HolderState::Absent => age > ABSENT_GRACE_MS,
                    HolderState::Restarted => true,
                }
            }
            _ => false,
        }
    }
}

/// Returns the verdict on `claim` if `entry` already holds its key.
pub(super) fn existing_verdict(
    now: Ms,
    entry: &Entry,
    claim: &Claim,
    holder_state: impl Fn(&Entry) -> HolderState,
) -> Verdict {
    // The claim was sent again, or its own write was read.
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
        Phase::Resolved { .. } => {
            unknown("an operator decided that the request ran; its answer is not stored")
        }
        Phase::Unknown => unknown("an earlier attempt may have run; an operator has to resolve it"),
        Phase::Open if entry.is_unknown(now, holder_state) => {
            unknown("the node that ran the request is gone; an operator has to resolve it")
        }
        Phase::Open | Phase::Released { .. } => Verdict::Busy,
    }
}
