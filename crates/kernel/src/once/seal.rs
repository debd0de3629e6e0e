//! Settled claims move out of a bucket's row into objects, so that the row stays small.
//!
//! A row of more than [`SEAL_BYTES`] gives up its older settled claims to a segment, an object that is written
//! before the row names it. Every [`FAN_IN`] segments of one level become one of the next. The owner keeps
//! 8 bytes of memory for each sealed claim, to know which segment to read for a repeated key.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use crate::{
    id::CallId,
    kernel::Context,
    once::{
        Key,
        ledger::{Entry, Kept, Ledger, Phase, Segment},
    },
    platform::{ObjectAnswer, ObjectOp},
};

/// A row of more bytes is sealed.
const SEAL_BYTES: usize = 12 * 1024;

/// Segments that are merged into one.
const FAN_IN: usize = 16;

/// Segments of this level are not merged any more.
const LEVEL_MAX: u8 = 2;

/// Moves settled claims of one bucket into objects, one job at a time.
#[derive(Debug, Default)]
pub(super) struct Sealer {
    /// Sorted key hashes of each segment that the row names.
    index: BTreeMap<String, Vec<u64>>,
    job: Option<Job>,
    /// Segments that the row no longer names, being read for the answers to remove.
    purging: BTreeMap<CallId, String>,
}

#[derive(Debug)]
struct Job {
    stage: Stage,
    /// Segments to merge; none when claims of the row are sealed.
    sources: Vec<String>,
    entries: Vec<Entry>,
    segment: Segment,
}

#[derive(Debug)]
enum Stage {
    /// Reading sources; the rest is still to be read.
    Reading(CallId, VecDeque<String>),
    Storing(CallId),
    /// The object is written; the row does not name it yet.
    Stored,
    /// A write of the row that names it is in flight.
    Writing,
}

impl Sealer {
    /// Number of sealed claims.
    pub(super) fn keys(&self) -> usize {
        self.index.values().map(Vec::len).sum()
    }

    /// Bytes of memory, roughly.
    pub(super) fn footprint(&self) -> usize {
        self.keys() * size_of::<u64>()
    }

    /// Whether a stored segment waits for the row to name it.
    pub(super) fn stored(&self) -> bool {
        matches!(&self.job, Some(job) if matches!(job.stage, Stage::Stored))
    }

    /// A segment of the row whose keys are not known yet. Forgets those that the row no longer names.
    pub(super) fn missing(&mut self, ledger: &Ledger) -> Option<String> {
        let named = |name: &String| ledger.segments.iter().any(|it| it.name == *name);
        self.index.retain(|name, _| named(name));
        let mut names = ledger.segments.iter().map(|it| &it.name);
        names.find(|it| !self.index.contains_key(*it)).cloned()
    }

    /// Takes in the keys of segment `name`; false if `answer` does not hold them.
    pub(super) fn index(&mut self, name: String, answer: &ObjectAnswer) -> bool {
        let Some(entries) = entries(answer) else {
            return false;
        };
        self.index.insert(name, hashes(&entries));
        true
    }

    /// The segment that holds `key`, if one does.
    pub(super) fn find(&self, key: &Key) -> Option<String> {
        let hash = key.hash();
        let mut found = self.index.iter();
        found
            .find(|(_, it)| it.binary_search(&hash).is_ok())
            .map(|(name, _)| name.clone())
    }

    /// Starts a job if the row needs one.
    pub(super) fn consider(&mut self, cx: &mut Context<'_>, id: u16, ledger: &Ledger, size: usize) {
        if self.job.is_some() {
            return;
        }
        let name = format!(
            "claim/{id:04x}/{:016x}-{:016x}",
            cx.now.0,
            cx.rng.random::<u64>()
        );
        let full = (0..LEVEL_MAX).find_map(|it| sources(ledger, it));
        if let Some((level, sources)) = full {
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
            self.seal(cx, name, ledger);
        }
    }

    fn seal(&mut self, cx: &mut Context<'_>, name: String, ledger: &Ledger) {
        let settled: Vec<&Entry> = ledger.entries.iter().filter(|it| it.settled()).collect();
        // The newer half stays, for repeats come soon; a row of open claims alone has nothing to seal.
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

    /// An answer of the object store; whether it was for this bucket's sealing.
    pub(super) fn object(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        answer: &ObjectAnswer,
    ) -> bool {
        if let Some(name) = self.purging.remove(&call) {
            purge(cx, name, answer);
            return true;
        }
        let Some(mut job) = self.job.take() else {
            return false;
        };
        match &mut job.stage {
            Stage::Reading(it, rest) if *it == call => {
                let Some(found) = entries(answer) else {
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

    /// Lets `ledger` name a stored segment in place of what it holds; returns objects no longer needed.
    pub(super) fn apply(&mut self, ledger: &mut Ledger) -> Vec<String> {
        let Some(job) = self
            .job
            .as_mut()
            .filter(|it| matches!(it.stage, Stage::Stored))
        else {
            return Vec::new();
        };
        // A write whose answer was lost took effect: the row names the segment already.
        if ledger.segments.iter().any(|it| it.name == job.segment.name) {
            self.job = None;
            return Vec::new();
        }
        if !job.fits(ledger) {
            // Another owner sealed or merged the same claims first. The object is removed only after this
            // row's next write, when no write of ours that names it can take effect any more.
            let name = job.segment.name.clone();
            self.job = None;
            return vec![name];
        }
        job.stage = Stage::Writing;
        ledger.segments.retain(|it| !job.sources.contains(&it.name));
        if job.sources.is_empty() {
            let sealed = |it: &Entry| job.entries.iter().any(|e| e.attempt == it.attempt);
            ledger.entries.retain(|it| !sealed(it));
        }
        ledger.segments.push(job.segment.clone());
        job.sources.clone()
    }

    /// A write of the row took effect, after which the objects in `dropped` are not needed.
    pub(super) fn written(&mut self, cx: &mut Context<'_>, dropped: &[String]) {
        let mut merged = Vec::new();
        if let Some(job) = self.job.take_if(|it| matches!(it.stage, Stage::Writing)) {
            self.index.insert(job.segment.name, hashes(&job.entries));
            merged = job.sources;
        }
        for name in dropped {
            self.index.remove(name);
            let expired = name.starts_with("claim/") && !merged.contains(name);
            if expired {
                let call = cx.object(ObjectOp::Get { name: name.clone() });
                self.purging.insert(call, name.clone());
            } else {
                cx.object(ObjectOp::Delete { name: name.clone() });
            }
        }
    }

    /// A write of the row may not have taken effect.
    pub(super) fn unwritten(&mut self) {
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

    fn fits(&self, ledger: &Ledger) -> bool {
        if self.sources.is_empty() {
            let held = |it: &Entry| ledger.entries.contains(it);
            return self.entries.iter().all(held);
        }
        let named = |name: &String| ledger.segments.iter().any(|it| it.name == *name);
        self.sources.iter().all(named)
    }
}

fn sources(ledger: &Ledger, level: u8) -> Option<(u8, Vec<String>)> {
    let names: Vec<String> = ledger
        .segments
        .iter()
        .filter(|it| it.level == level)
        .take(FAN_IN)
        .map(|it| it.name.clone())
        .collect();
    (names.len() == FAN_IN).then_some((level + 1, names))
}

/// Removes an expired segment and the answers that only it names.
fn purge(cx: &mut Context<'_>, name: String, answer: &ObjectAnswer) {
    for entry in entries(answer).unwrap_or_default() {
        if let Phase::Ran(Kept::Object { name }) = entry.phase {
            cx.object(ObjectOp::Delete { name });
        }
    }
    cx.object(ObjectOp::Delete { name });
}

fn entries(answer: &ObjectAnswer) -> Option<Vec<Entry>> {
    match answer {
        ObjectAnswer::Bytes(bytes) => postcard::from_bytes(bytes).ok(),
        _ => None,
    }
}

fn hashes(entries: &[Entry]) -> Vec<u64> {
    let mut hashes: Vec<u64> = entries.iter().map(|it| it.key.hash()).collect();
    hashes.sort_unstable();
    hashes
}
