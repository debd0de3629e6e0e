//! The applied configuration: a prefix of the log in the platform's table.

mod advance;
mod hold;
mod recovery;
mod snapshot;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    document::Document,
    event::{Event, Notice},
    id::{Name, Revision, Seq, SubmitId},
    kernel::{Context, Plugin, Scope, State},
    utils::hash64,
};

pub use self::{
    advance::{Advance, Diverged},
    hold::Held,
    recovery::{Progress, Recovery},
    snapshot::{BadSnapshot, SNAPSHOT_MAX, Snapshot, SnapshotService},
};

inventory::submit! { Plugin { name: "log", order: 15, scope: Scope::Submitted, handle } }

/// The changes of one transaction, at one position of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Position in the log.
    pub seq: Seq,
    /// At most one change a service.
    pub changes: Vec<Change>,
}

/// One accepted change of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The submission that made it.
    pub id: SubmitId,
    /// The service changed.
    pub service: Name,
    /// The revision that the submitter had read; zero for a new service.
    pub base: Revision,
    /// The revision that the change makes: the number of its batch, so that a service that is deleted
    /// and made anew never has a revision twice.
    pub revision: Revision,
    /// What became of the document.
    pub edit: Edit,
    /// Who submitted it.
    pub author: String,
    /// Why, in the submitter's words.
    pub reason: String,
    /// When the committer took it.
    pub time: Ms,
}

/// What a change does to a service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// The document now reads so (TOML).
    Put { text: String },
    /// The service is gone.
    Delete,
}

/// One service as this node holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Revision in force here.
    pub revision: Revision,
    /// The document's text.
    pub text: Arc<str>,
    /// The document, checked.
    pub document: Arc<Document>,
}

/// The newest accepted version of a service, whether or not this node can use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Latest {
    /// Its revision.
    pub revision: Revision,
    /// The document's text.
    pub text: Arc<str>,
    /// Who submitted it.
    pub author: Arc<str>,
    /// The document, or why this node refuses it.
    pub document: Result<Arc<Document>, Arc<str>>,
}

/// Whether a batch was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The log grew by this batch.
    Yes,
    /// The batch is already part of the log.
    Old,
    /// Batches before it are missing.
    Gap,
}

/// The applied configuration and the batches that led to it.
///
/// `latest` is the accepted configuration; `services` is what is in force on this node. They differ only
/// by the services in `held`.
#[derive(Debug, Default)]
pub struct Log {
    seq: Seq,
    latest: BTreeMap<Name, Latest>,
    services: BTreeMap<Name, Service>,
    held: BTreeMap<Name, Held>,
    reports: Vec<Held>,
    accepted: BTreeMap<SubmitId, Seq>,
    order: VecDeque<(Seq, Vec<SubmitId>)>,
    sum: u64,
    tail: VecDeque<Arc<Batch>>,
    tail_bytes: usize,
}

/// Batches kept for peers that lag.
pub const TAIL_MAX: usize = 1024;

/// Bytes of documents in the batches kept for peers that lag.
pub const TAIL_BYTES: usize = 4 << 20;

/// Submission ids kept to recognise a submission that is sent again; the oldest batches' go first.
///
/// At 1,300 changes a day this is three days. A node without the id of a submission that old would take it
/// as new; its base revision has passed by then, so it is refused, unless the service was deleted
/// meanwhile and the submission is one that creates it.
pub const IDS_MAX: usize = 4096;

impl Log {
    /// The last batch applied.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Every service in force here.
    pub fn services(&self) -> &BTreeMap<Name, Service> {
        &self.services
    }

    /// The accepted configuration, with the versions that this node refuses.
    pub fn latest(&self) -> &BTreeMap<Name, Latest> {
        &self.latest
    }

    /// The services of which an older version stays in force here than the accepted one.
    pub fn held(&self) -> &BTreeMap<Name, Held> {
        &self.held
    }

    /// Where the submission `id` was accepted, as far back as [`IDS_MAX`] reaches.
    pub fn accepted(&self, id: SubmitId) -> Option<Seq> {
        self.accepted.get(&id).copied()
    }

    /// Stands for the accepted configuration at [`Log::seq`]: equal on two nodes that hold the same.
    pub fn digest(&self) -> u64 {
        hash64(&[&self.seq.0.to_le_bytes(), &self.sum.to_le_bytes()])
    }

    /// The batches after `seq`, in order, or nothing if the oldest of them is no longer kept.
    pub fn after(&self, seq: Seq) -> Option<Vec<Arc<Batch>>> {
        let first = self.tail.front().map_or(self.seq.0 + 1, |it| it.seq.0);
        if seq.0.saturating_add(1) < first {
            return None;
        }
        let lacking = self.tail.iter().filter(|it| it.seq > seq);
        Some(lacking.cloned().collect())
    }

    /// The text of `service` at `revision`, if a recent batch made it.
    pub fn text_at(&self, service: &Name, revision: Revision) -> Option<&str> {
        let changes = self.tail.iter().rev().flat_map(|it| &it.changes);
        let mut made = changes.filter(|it| it.service == *service && it.revision == revision);
        match &made.next()?.edit {
            Edit::Put { text } => Some(text),
            Edit::Delete => Some(""),
        }
    }

    /// Who changed `service` last, if a recent batch did.
    pub fn last_author(&self, service: &Name) -> String {
        let mut changes = self.tail.iter().rev().flat_map(|it| &it.changes);
        let last = changes.find(|it| it.service == *service);
        last.map_or_else(String::new, |it| it.author.clone())
    }

    /// Applies `batch` if it is the next one.
    pub fn apply(&mut self, batch: Arc<Batch>) -> Applied {
        if batch.seq <= self.seq {
            return Applied::Old;
        }
        if batch.seq.0 != self.seq.0 + 1 {
            return Applied::Gap;
        }
        for change in &batch.changes {
            self.learn(change);
        }
        self.seq = batch.seq;
        let ids = batch.changes.iter().map(|it| it.id).collect();
        self.remember(batch.seq, ids);
        let changed = batch.changes.iter().map(|it| it.service.clone()).collect();
        self.settle(changed);
        self.keep(batch);
        Applied::Yes
    }

    /// The accepted configuration as one value.
    pub fn snapshot(&self) -> Snapshot {
        let services = self.latest.iter().map(|(name, it)| SnapshotService {
            name: name.clone(),
            revision: it.revision,
            text: it.text.clone(),
            author: it.author.clone(),
        });
        Snapshot {
            seq: self.seq,
            digest: self.digest(),
            services: services.collect(),
            ids: self.order.iter().cloned().collect(),
        }
    }

    /// Takes over `snapshot` if it is ahead of the log; the log never moves back.
    pub fn install(&mut self, snapshot: &Snapshot) -> Applied {
        if snapshot.seq <= self.seq {
            return Applied::Old;
        }
        let mut changed: BTreeSet<Name> = self.latest.keys().cloned().collect();
        self.latest.clear();
        self.sum = 0;
        for it in &snapshot.services {
            changed.insert(it.name.clone());
            self.insert(&it.name, it.revision, &it.text, &it.author);
        }
        self.seq = snapshot.seq;
        self.accepted.clear();
        self.order.clear();
        for (seq, ids) in &snapshot.ids {
            self.remember(*seq, ids.clone());
        }
        self.settle(changed);
        self.tail.clear();
        self.tail_bytes = 0;
        Applied::Yes
    }

    fn learn(&mut self, change: &Change) {
        match &change.edit {
            Edit::Put { text } => {
                self.insert(&change.service, change.revision, text, &change.author);
            }
            Edit::Delete => self.remove(&change.service),
        }
    }

    fn insert(&mut self, name: &Name, revision: Revision, text: &str, author: &str) {
        self.remove(name);
        let document = match Document::parse(text) {
            Ok(document) if document.service == *name => Ok(Arc::new(document)),
            Ok(document) => Err(format!("it describes {}", document.service).into()),
            Err(error) => Err(error.to_string().into()),
        };
        let latest = Latest {
            revision,
            text: text.into(),
            author: author.into(),
            document,
        };
        self.sum = self
            .sum
            .wrapping_add(weight(name, latest.revision, &latest.text));
        self.latest.insert(name.clone(), latest);
    }

    fn remove(&mut self, name: &Name) {
        if let Some(latest) = self.latest.remove(name) {
            self.sum = self
                .sum
                .wrapping_sub(weight(name, latest.revision, &latest.text));
        }
    }

    fn remember(&mut self, seq: Seq, ids: Vec<SubmitId>) {
        self.accepted.extend(ids.iter().map(|id| (*id, seq)));
        self.order.push_back((seq, ids));
        while self.accepted.len() > IDS_MAX
            && let Some((_, ids)) = self.order.pop_front()
        {
            for id in ids {
                self.accepted.remove(&id);
            }
        }
    }

    fn keep(&mut self, batch: Arc<Batch>) {
        self.tail_bytes += batch.len();
        self.tail.push_back(batch);
        while (self.tail.len() > TAIL_MAX || self.tail_bytes > TAIL_BYTES)
            && let Some(oldest) = self.tail.pop_front()
        {
            self.tail_bytes -= oldest.len();
        }
    }
}

impl Batch {
    /// Bytes of the documents in it.
    pub fn len(&self) -> usize {
        self.changes.iter().map(Change::len).sum()
    }

    /// Whether it holds no document.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Change {
    fn len(&self) -> usize {
        match &self.edit {
            Edit::Put { text } => text.len(),
            Edit::Delete => 0,
        }
    }
}

/// A service's part of the digest; the parts are added, so a change costs one hash.
fn weight(name: &Name, revision: Revision, text: &str) -> u64 {
    let revision = revision.0.to_le_bytes();
    hash64(&[name.as_str().as_bytes(), &revision, text.as_bytes()])
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    state.recovery.drive(cx, &mut state.log, event);
    if let Event::Notice(Notice::Applied { .. }) = event {
        for held in state.log.take_reports() {
            held.log(cx);
        }
    }
}
