//! What holds after every step, whatever went wrong.

use std::collections::{BTreeMap, BTreeSet};

use laburnum_edge::Memory;
use laburnum_kernel::{
    Kernel, Ms, Name, Revision, Seq, SubmitId, View,
    accept::{Entry, Verdict, rows},
    log::{Batch, Change, Edit},
    members::{Phase, Reach},
    platform::{ABSENT, Check, TableAnswer, TableOp, Write},
};

/// What an operator wrote of a service, and at which revision.
type Texts = BTreeMap<Name, (Revision, String)>;

/// The service that a newer build writes, in a schema that this one cannot read.
const NEWER: &str = "schema = 2\nservice = \"s5\"\nshape = { kind = \"mesh\" }\n";
const NEWER_ID: SubmitId = SubmitId(u128::MAX);

/// Everything promised so far.
pub struct Promises {
    log: Vec<Batch>,
    /// The configuration after each entry of the log, the empty one first.
    prefixes: Vec<Texts>,
    applied: BTreeMap<SubmitId, Seq>,
    accepted: BTreeMap<SubmitId, Seq>,
    /// How often each id was submitted, and those told that nothing was changed.
    submitted: BTreeMap<SubmitId, usize>,
    denied: BTreeSet<SubmitId>,
    ready: Vec<Seq>,
    /// Life of each process and the position that it held last.
    held: Vec<(u64, Seq)>,
}

impl Promises {
    pub fn new(nodes: usize) -> Promises {
        Promises {
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

    /// The table changed: its log only grows, and holds no submission twice nor one that was denied.
    pub fn read(&mut self, table: &Memory) {
        let entries = entries(table);
        assert!(entries.len() >= self.log.len(), "the log became shorter");
        for (idx, entry) in entries.into_iter().enumerate() {
            assert_eq!(entry.batch.seq, Seq(idx as u64 + 1), "a gap in the log");
            match self.log.get(idx) {
                Some(before) => assert_eq!(*before, entry.batch, "the log was rewritten"),
                None => self.grow(entry.batch),
            }
        }
    }

    fn grow(&mut self, batch: Batch) {
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

    pub fn submitted(&mut self, id: SubmitId) {
        *self.submitted.entry(id).or_default() += 1;
    }

    /// Of one that was submitted again, a denial holds only for the time it was given.
    fn is_denied(&self, id: SubmitId) -> bool {
        self.denied.contains(&id) && self.submitted.get(&id) == Some(&1)
    }

    /// A verdict other than `unknown`: the log shows it, now and for good.
    pub fn decided(&mut self, id: SubmitId, verdict: &Verdict) {
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

    /// A process never moves back in the log, and never beyond it.
    pub fn stepped(&mut self, node: usize, life: u64, kernel: &Kernel) {
        let now = (life, kernel.state().log.seq());
        let before = std::mem::replace(&mut self.held[node], now);
        assert!(now >= before, "node {node} moved back: {before:?}, {now:?}");
        assert!(
            now.1.0 as usize <= self.log.len(),
            "node {node} made up {now:?}"
        );
    }

    /// Checks a published view on its own and against the log.
    pub fn published(&mut self, node: usize, view: &View, kernel: &Kernel) {
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
        self.compare(node, view, kernel);
    }

    /// Every service is at its version of the log's prefix, or is held at an earlier one that was accepted.
    fn compare(&self, node: usize, view: &View, kernel: &Kernel) {
        let prefix = &self.prefixes[view.seq.0 as usize];
        let newer = prefix.values().any(|it| it.1 == NEWER);
        let held = kernel.state().log.held();
        assert!(
            newer || held.is_empty(),
            "node {node} holds {held:?} back without cause"
        );
        for (name, it) in &view.services {
            assert_ne!(
                &*it.text, NEWER,
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

    /// What `kernel` and its view lack to be whole, now that nothing goes wrong.
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
        // Two upstreams a service; only the first three services have any.
        let lacking = view.services.iter().find(|(name, it)| {
            let expected = if name.as_str() < "s3" { nodes / 3 } else { 0 };
            let ready = |it: &&laburnum_kernel::view::Endpoint| {
                it.phase == Phase::Ready && it.reach == Reach::Reachable
            };
            it.endpoints.iter().filter(ready).count() != expected
        });
        lacking.map(|(name, it)| format!("{name} has {:?}", it.endpoints))
    }

    /// Everything that was accepted is there.
    pub fn finish(&mut self, table: &Memory) {
        self.read(table);
        for (id, seq) in &self.accepted {
            assert_eq!(self.applied.get(id), Some(seq), "{id:?} is lost");
        }
    }

    /// A node of a newer build commits a document of a schema that nobody else can read.
    pub fn write_newer(&mut self, table: &Memory, now: Ms) {
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
                text: NEWER.to_owned(),
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
        self.read(table);
    }
}

fn entries(table: &Memory) -> Vec<Entry> {
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
