//! Invariants that are checked after every step of a run with faults.

use std::collections::{BTreeMap, BTreeSet};

use laburnum_edge::MemoryPlatform;
use laburnum_kernel::{
    Kernel, Ms, Name, Revision, Seq, SubmitId, View,
    accept::{Entry, Verdict, rows},
    log::{Batch, Change, Edit},
    members::{Phase, Reach},
    platform::{ABSENT, Check, TableAnswer, TableOp, Write},
};

/// Revision and text of each service.
type Texts = BTreeMap<Name, (Revision, String)>;

/// Document of a newer schema, which this build cannot read.
const NEWER_TEXT: &str = "schema = 2\nservice = \"s5\"\nshape = { kind = \"mesh\" }\n";
const NEWER_ID: SubmitId = SubmitId(u128::MAX);

/// Log, verdicts and positions so far, against which each step is checked.
pub struct Invariants {
    log: Vec<Batch>,
    /// Configuration after each entry of the log, starting with the empty one.
    prefixes: Vec<Texts>,
    applied: BTreeMap<SubmitId, Seq>,
    accepted: BTreeMap<SubmitId, Seq>,
    /// Number of submissions of each id, and the ids whose operator got a verdict that nothing changed.
    submitted: BTreeMap<SubmitId, usize>,
    denied: BTreeSet<SubmitId>,
    ready: Vec<Seq>,
    /// Generation of each process and its last position in the log.
    held: Vec<(u64, Seq)>,
}

impl Invariants {
    pub fn new(nodes: usize) -> Invariants {
        Invariants {
            log: Vec::new(),
            prefixes: vec![Texts::new()],
            applied: BTreeMap::new(),
            accepted: BTreeMap::new(),
            submitted: BTreeMap::new(),
            denied: BTreeSet::new(),
            ready: vec![Seq(0); nodes],
            held: vec![(0, Seq(0)); nodes],
        }
    }

    /// Checks that the log in the table only grows, and holds no submission twice and none that was
    /// denied.
    pub fn check_log(&mut self, table: &MemoryPlatform) {
        let entries = entries(table);
        assert!(entries.len() >= self.log.len(), "the log became shorter");
        for (idx, entry) in entries.into_iter().enumerate() {
            assert_eq!(entry.batch.seq, Seq(idx as u64 + 1), "a gap in the log");
            match self.log.get(idx) {
                Some(before) => assert_eq!(*before, entry.batch, "the log was rewritten"),
                None => self.append(entry.batch),
            }
        }
    }

    fn append(&mut self, batch: Batch) {
        let mut texts = self.prefixes.last().expect("the empty one").clone();
        for it in &batch.changes {
            let before = self.applied.insert(it.id, batch.seq);
            assert_eq!(before, None, "{:?} is applied twice", it.id);
            assert!(!self.is_denied(it.id), "{:?} was denied", it.id);
            match &it.edit {
                Edit::Put { text } => texts.insert(it.service.clone(), (it.revision, text.clone())),
                Edit::Delete => texts.remove(&it.service),
            };
        }
        self.prefixes.push(texts);
        self.log.push(batch);
    }

    pub fn record_submission(&mut self, id: SubmitId) {
        *self.submitted.entry(id).or_default() += 1;
    }

    /// Returns whether the operator of `id` got a verdict that nothing changed. Not if the submission
    /// was repeated, since a repetition may be accepted after a denial.
    fn is_denied(&self, id: SubmitId) -> bool {
        self.denied.contains(&id) && self.submitted.get(&id) == Some(&1)
    }

    /// Checks a verdict other than `unknown` against the log, now and later.
    pub fn check_verdict(&mut self, id: SubmitId, verdict: &Verdict) {
        if let Verdict::Accepted { seq, revision } = verdict {
            assert_eq!(self.applied.get(&id), Some(seq), "{id:?} is not in the log");
            assert_eq!(revision.0, seq.0);
            self.accepted.insert(id, *seq);
            return;
        }
        self.denied.insert(id);
        let in_log = self.applied.contains_key(&id);
        assert!(
            !(self.is_denied(id) && in_log),
            "{id:?}: {verdict:?}, yet in the log"
        );
    }

    /// Checks that a process never moves back in the log, nor past its end.
    pub fn check_step(&mut self, node: usize, generation: u64, kernel: &Kernel) {
        let now = (generation, kernel.state().log.seq());
        let before = std::mem::replace(&mut self.held[node], now);
        assert!(now >= before, "node {node} moved back: {before:?}, {now:?}");
        assert!(
            now.1.0 as usize <= self.log.len(),
            "node {node} is past the log's end: {now:?}"
        );
    }

    /// Checks a published view by itself and against the log.
    pub fn check_view(&mut self, node: usize, view: &View, kernel: &Kernel) {
        if view.ready {
            let before = std::mem::replace(&mut self.ready[node], view.seq);
            assert!(
                view.seq >= before,
                "node {node} is ready at {:?}, was at {before:?}",
                view.seq
            );
        }
        for (name, it) in &view.services {
            let mut uses = it.document.uses().into_iter();
            let absent = uses.find(|it| !view.services.contains_key(*it));
            assert_eq!(absent, None, "node {node}: {name} routes to it");
        }
        self.check_services(node, view, kernel);
    }

    /// Checks that each service is at its version in the log's prefix, or is held back at an
    /// earlier accepted one.
    fn check_services(&self, node: usize, view: &View, kernel: &Kernel) {
        let prefix = &self.prefixes[view.seq.0 as usize];
        let newer = prefix.values().any(|it| it.1 == NEWER_TEXT);
        let held = kernel.state().log.held();
        assert!(
            newer || held.is_empty(),
            "node {node} holds {held:?} back without cause"
        );
        for (name, it) in &view.services {
            assert_ne!(
                &*it.text, NEWER_TEXT,
                "node {node} put a version in force that it cannot read"
            );
            let shown = (it.revision, it.text.to_string());
            let mut versions = self.prefixes[..=view.seq.0 as usize].iter();
            let accepted = versions.any(|it| it.get(name) == Some(&shown));
            assert!(accepted, "node {node}: {name} {shown:?} was never accepted");
        }
        let names: BTreeSet<&Name> = prefix.keys().chain(view.services.keys()).collect();
        for name in names.into_iter().filter(|it| !held.contains_key(*it)) {
            let shown = view
                .services
                .get(name)
                .map(|it| (it.revision, it.text.to_string()));
            assert_eq!(
                shown.as_ref(),
                prefix.get(name),
                "node {node}: {name} at {:?}",
                view.seq
            );
        }
    }

    /// Returns what `kernel` and its view lack to be consistent after all faults.
    pub fn incomplete(&self, kernel: &Kernel, view: &View, nodes: usize) -> Option<String> {
        let head = Seq(self.log.len() as u64);
        if !view.ready || view.seq != head {
            return Some(format!(
                "ready {} at {:?} of {head:?}",
                view.ready, view.seq
            ));
        }
        let alive = kernel.state().members.alive_with_reach();
        let reached = alive.filter(|(it, reach)| {
            it.phase == Phase::Ready && it.offer.is_some() && *reach == Reach::Reachable
        });
        let reached = reached.count();
        if reached != nodes {
            return Some(format!("{reached} members"));
        }
        // Each of the first three services has two upstreams, the others have none.
        let lacking = view.services.iter().find(|(name, it)| {
            let expected = if name.as_str() < "s3" { nodes / 3 } else { 0 };
            let ready = |it: &&laburnum_kernel::view::Endpoint| {
                it.phase == Phase::Ready && it.reach == Reach::Reachable
            };
            it.endpoints.iter().filter(ready).count() != expected
        });
        lacking.map(|(name, it)| format!("{name} has {:?}", it.endpoints))
    }

    /// Checks that every accepted change is in the log.
    pub fn finish(&mut self, table: &MemoryPlatform) {
        self.check_log(table);
        for (id, seq) in &self.accepted {
            assert_eq!(self.applied.get(id), Some(seq), "{id:?} is lost");
        }
    }

    /// Commits a document of a newer schema, as a node of a newer build would.
    pub fn write_newer(&mut self, table: &MemoryPlatform, now: Ms) {
        let seq = Seq(self.log.len() as u64 + 1);
        let Some(before) = self.log.last() else {
            return;
        };
        let service: Name = "s5".parse().expect("a name");
        let base = self.prefixes[self.log.len()].get(&service);
        let change = Change {
            id: NEWER_ID,
            base: base.map_or(Revision(0), |it| it.0),
            service,
            revision: Revision(seq.0),
            edit: Edit::Put {
                text: NEWER_TEXT.to_owned(),
            },
            author: "newer".to_owned(),
            reason: "test".to_owned(),
            time: now,
        };
        let batch = Batch {
            seq,
            changes: vec![change],
        };
        let entry = Entry {
            batch,
            diffs: vec![String::new()],
        };
        let put = |key: String, value: Vec<u8>| Write::Put { key, value };
        let value = postcard::to_stdvec(&entry).expect("it encodes");
        let head = seq.0.to_le_bytes().to_vec();
        let check = |key, version| Check { key, version };
        let op = TableOp::Commit {
            checks: vec![
                check(rows::log_key(before.seq), 1),
                check(rows::log_key(seq), ABSENT),
            ],
            writes: vec![
                put(rows::log_key(seq), value),
                put(rows::HEAD_KEY.to_owned(), head),
            ],
        };
        assert_eq!(table.table_now(&op), TableAnswer::Committed);
        self.check_log(table);
    }
}

fn entries(table: &MemoryPlatform) -> Vec<Entry> {
    let op = TableOp::Scan {
        prefix: rows::LOG_PREFIX.to_owned(),
        after: String::new(),
        limit: u32::MAX,
    };
    let TableAnswer::Rows(rows) = table.table_now(&op) else {
        panic!("memory always answers");
    };
    rows.iter()
        .map(|it| rows::read_entry(it).expect("an entry"))
        .collect()
}
