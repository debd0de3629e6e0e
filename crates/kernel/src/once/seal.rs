//! Moves settled claims from a bucket's row into objects, so that the row stays small.
//!
//! When a row exceeds [`SEAL_BYTES`], its older settled claims move to a segment, an object that is written
//! before the row names it. [`FAN_IN`] segments of one level are merged into one of the next. The owner indexes
//! sealed claims by key hash (8 bytes each) to find the segment of a repeated key.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use crate::{
    id::CallId,
    kernel::Context,
    once::{
        Key,
        ledger::{Entry, Ledger, Phase, Segment, StoredAnswer, Unneeded},
    },
    platform::{ObjectAnswer, ObjectOp},
};

/// Row size from which settled claims are sealed, in bytes.
const SEAL_BYTES: usize = 12 * 1024;

/// Number of segments that are merged into one.
const FAN_IN: usize = 16;

/// Level from which segments are no longer merged.
const LEVEL_MAX: u8 = 2;

/// Seals the settled claims of one bucket, one job at a time.
#[derive(Debug, Default)]
pub(super) struct Sealer {
    /// Sorted key hashes of each segment that the row names.
    index: BTreeMap<String, Vec<u64>>,
    job: Option<Job>,
    /// Expired segments that are being read for the answers to delete.
    purges: BTreeMap<CallId, String>,
}

#[derive(Debug)]
struct Job {
    stage: Stage,
    /// Segments to merge; empty if the job seals claims of the row.
    sources: Vec<String>,
    entries: Vec<Entry>,
    segment: Segment,
}

#[derive(Debug)]
enum Stage {
    /// A source is being read; the queue holds those still to be read.
    Reading(CallId, VecDeque<String>),
    Storing(CallId),
    /// The object is written but the row does not name it yet.
    Stored,
    /// A write of the row that names it is in flight.
    Writing,
}

impl Sealer {
    /// Returns the number of sealed claims.
    pub(super) fn key_count(&self) -> usize {
        self.index.values().map(Vec::len).sum()
    }

    /// Returns the approximate memory use, in bytes.
    pub(super) fn footprint(&self) -> usize {
        self.key_count() * size_of::<u64>()
    }

    /// Returns whether a stored segment waits for the row to name it.
    pub(super) fn has_stored_segment(&self) -> bool {
        matches!(&self.job, Some(job) if matches!(job.stage, Stage::Stored))
    }

    /// Returns a segment of the row that is not indexed yet. Drops the index of those no longer in the row.
    pub(super) fn unindexed_segment(&mut self, ledger: &Ledger) -> Option<String> {
        let is_named = |name: &String| ledger.segments.iter().any(|it| it.name == *name);
        self.index.retain(|name, _| is_named(name));
        let mut names = ledger.segments.iter().map(|it| &it.name);
        names.find(|it| !self.index.contains_key(*it)).cloned()
    }

    /// Indexes the keys of segment `name`. Returns false if `answer` does not hold the segment.
    pub(super) fn index_segment(&mut self, name: String, answer: &ObjectAnswer) -> bool {
        let Some(entries) = decode_entries(answer) else {
            return false;
        };
        self.index.insert(name, key_hashes(&entries));
        true
    }

    /// Returns the segment that may hold `key`, if any.
    pub(super) fn find_segment(&self, key: &Key) -> Option<String> {
        let hash = key.hash();
        let mut found = self.index.iter();
        found
            .find(|(_, it)| it.binary_search(&hash).is_ok())
            .map(|(name, _)| name.clone())
    }

    /// Starts a job if segments need merging or the row needs sealing.
    pub(super) fn start_job(
        &mut self,
        cx: &mut Context<'_>,
        id: u16,
        ledger: &Ledger,
        size: usize,
    ) {
        if self.job.is_some() {
            return;
        }
        let name = format!(
            "claim/{id:04x}/{:016x}-{:016x}",
            cx.now.0,
            cx.rng.random::<u64>()
        );
        let mergeable = (0..LEVEL_MAX).find_map(|it| merge_sources(ledger, it));
        if let Some((level, sources)) = mergeable {
            let mut rest: VecDeque<String> = sources.iter().cloned().collect();
            let Some(first) = rest.pop_front() else {
                return;
            };
            let call = cx.object(ObjectOp::Get { name: first });
            self.job = Some(Job {
                stage: Stage::Reading(call, rest),
                sources,
                entries: Vec::new(),
                segment: Segment {
                    name,
                    level,
                    ..Segment::default()
                },
            });
        } else if size > SEAL_BYTES {
            self.start_sealing(cx, name, ledger);
        }
    }

    fn start_sealing(&mut self, cx: &mut Context<'_>, name: String, ledger: &Ledger) {
        let settled: Vec<&Entry> = ledger.entries.iter().filter(|it| it.is_settled()).collect();
        // The newer half stays in the row, because most repeats come soon.
        let count = settled.len() / 2;
        if count == 0 {
            return;
        }
        let mut job = Job {
            stage: Stage::Stored,
            sources: Vec::new(),
            entries: settled[..count].iter().map(|it| (*it).clone()).collect(),
            segment: Segment {
                name,
                ..Segment::default()
            },
        };
        job.store(cx);
        self.job = Some(job);
    }

    /// Handles an answer of the object store. Returns whether it was for this sealer.
    pub(super) fn handle_object_answer(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        answer: &ObjectAnswer,
    ) -> bool {
        if let Some(name) = self.purges.remove(&call) {
            delete_segment(cx, name, answer);
            return true;
        }
        let Some(mut job) = self.job.take() else {
            return false;
        };
        match &mut job.stage {
            Stage::Reading(it, rest) if *it == call => {
                let Some(found) = decode_entries(answer) else {
                    return true;
                };
                job.entries.extend(found);
                match rest.pop_front() {
                    Some(name) => *it = cx.object(ObjectOp::Get { name }),
                    None => job.store(cx),
                }
            }
            Stage::Storing(it) if *it == call => {
                if *answer != ObjectAnswer::Done {
                    return true;
                }
                job.stage = Stage::Stored;
            }
            _ => {
                self.job = Some(job);
                return false;
            }
        }
        self.job = Some(job);
        true
    }

    /// Replaces what a stored segment holds by the segment's name. Returns the objects no longer needed.
    pub(super) fn apply_job(&mut self, ledger: &mut Ledger) -> Vec<Unneeded> {
        let Some(job) = self
            .job
            .as_mut()
            .filter(|it| matches!(it.stage, Stage::Stored))
        else {
            return Vec::new();
        };
        // A write whose answer was lost took effect; the row already names the segment.
        if ledger.segments.iter().any(|it| it.name == job.segment.name) {
            self.job = None;
            return Vec::new();
        }
        if !job.is_applicable(ledger) {
            // Another owner sealed or merged the same claims first, and its segment names their answers. The object
            // is deleted after the next write of the row, when no earlier write that names it can still take effect.
            let name = job.segment.name.clone();
            self.job = None;
            return vec![Unneeded::Object(name)];
        }
        job.stage = Stage::Writing;
        ledger.segments.retain(|it| !job.sources.contains(&it.name));
        if job.sources.is_empty() {
            let is_sealed = |it: &Entry| job.entries.iter().any(|e| e.attempt == it.attempt);
            ledger.entries.retain(|it| !is_sealed(it));
        }
        ledger.segments.push(job.segment.clone());
        let sources = job.sources.iter().cloned();
        sources.map(Unneeded::Object).collect()
    }

    /// Handles a successful write of the row, after which the objects in `unneeded` are not needed.
    pub(super) fn handle_written(&mut self, cx: &mut Context<'_>, unneeded: Vec<Unneeded>) {
        if let Some(job) = self.job.take_if(|it| matches!(it.stage, Stage::Writing)) {
            self.index
                .insert(job.segment.name, key_hashes(&job.entries));
        }
        for it in unneeded {
            match it {
                Unneeded::Object(name) => {
                    self.index.remove(&name);
                    cx.object(ObjectOp::Delete { name });
                }
                Unneeded::Expired(name) => {
                    self.index.remove(&name);
                    let call = cx.object(ObjectOp::Get { name: name.clone() });
                    self.purges.insert(call, name);
                }
            }
        }
    }

    /// Handles a write of the row that failed or whose outcome is unknown.
    pub(super) fn handle_unwritten(&mut self) {
        if let Some(job) = &mut self.job
            && matches!(job.stage, Stage::Writing)
        {
            job.stage = Stage::Stored;
        }
    }
}

impl Job {
    fn store(&mut self, cx: &mut Context<'_>) {
        self.segment.count = self.entries.len() as u32;
        self.segment.last = self
            .entries
            .iter()
            .map(|it| it.time)
            .max()
            .unwrap_or_default();
        let name = self.segment.name.clone();
        let bytes = postcard::to_stdvec(&self.entries).expect("claims encode");
        self.stage = Stage::Storing(cx.object(ObjectOp::Put { name, bytes }));
    }

    fn is_applicable(&self, ledger: &Ledger) -> bool {
        if self.sources.is_empty() {
            let is_held = |it: &Entry| ledger.entries.contains(it);
            return self.entries.iter().all(is_held);
        }
        let is_named = |name: &String| ledger.segments.iter().any(|it| it.name == *name);
        self.sources.iter().all(is_named)
    }
}

fn merge_sources(ledger: &Ledger, level: u8) -> Option<(u8, Vec<String>)> {
    let names: Vec<String> = ledger
        .segments
        .iter()
        .filter(|it| it.level == level)
        .take(FAN_IN)
        .map(|it| it.name.clone())
        .collect();
    (names.len() == FAN_IN).then_some((level + 1, names))
}

/// Deletes an expired segment and the answers that only it names.
fn delete_segment(cx: &mut Context<'_>, name: String, answer: &ObjectAnswer) {
    for entry in decode_entries(answer).unwrap_or_default() {
        if let Phase::Ran(StoredAnswer::Object { name }) = entry.phase {
            cx.object(ObjectOp::Delete { name });
        }
    }
    cx.object(ObjectOp::Delete { name });
}

fn decode_entries(answer: &ObjectAnswer) -> Option<Vec<Entry>> {
    match answer {
        ObjectAnswer::Bytes(bytes) => postcard::from_bytes(bytes).ok(),
        _ => None,
    }
}

fn key_hashes(entries: &[Entry]) -> Vec<u64> {
    let mut hashes: Vec<u64> = entries.iter().map(|it| it.key.hash()).collect();
    hashes.sort_unstable();
    hashes
}
