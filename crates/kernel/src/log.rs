//! The configuration applied on this node: a prefix of the log in the platform's table.

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
    /// Changes, at most one per service.
    pub changes: Vec<Change>,
}

/// One accepted change of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the submission.
    pub id: SubmitId,
    /// The changed service.
    pub service: Name,
    /// The revision that the submitter had read; zero for a new service.
    pub base: Revision,
    /// The new revision: the number of the batch, so that a service that is deleted and created again never reuses
    /// a revision.
    pub revision: Revision,
    /// The change of the document.
    pub edit: Edit,
    /// Who submitted it.
    pub author: String,
    /// Reason given by the submitter.
    pub reason: String,
    /// Time of the commit by the committer's clock.
    pub time: Ms,
}

/// Change of a service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Creates or replaces the document with this text (TOML).
    Put { text: String },
    /// Deletes the service.
    Delete,
}

/// A service in force on this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Revision in force on this node.
    pub revision: Revision,
    /// Text of the document.
    pub text: Arc<str>,
    /// The parsed document.
    pub document: Arc<Document>,
}

/// The newest accepted version of a service, whether or not this node can use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Latest {
    /// The accepted revision.
    pub revision: Revision,
    /// Text of the document.
    pub text: Arc<str>,
    /// Who submitted it.
    pub author: Arc<str>,
    /// The parsed document, or why this node refuses it.
    pub document: Result<Arc<Document>, Arc<str>>,
}

/// Result of applying a batch or snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It was applied.
    Yes,
    /// The log already contains it.
    Old,
    /// Batches before it are missing.
    Gap,
}

/// The applied configuration and the recent batches that led to it.
///
/// `latest` is the accepted configuration, `services` the one in force on this node. They differ only in the
/// services in `held`.
#[derive(Debug, Default)]
pub struct Log {
    seq: Seq,
    latest: BTreeMap<Name, Latest>,
    services: BTreeMap<Name, Service>,
    held: BTreeMap<Name, Held>,
    reports: Vec<Held>,
    accepted: BTreeMap<SubmitId, Seq>,
    id_order: VecDeque<(Seq, Vec<SubmitId>)>,
    hash_sum: u64,
    tail: VecDeque<Arc<Batch>>,
    tail_bytes: usize,
}

/// Maximum number of batches that are retained, for the diff and the author in the verdict on a conflict.
pub const TAIL_MAX: usize = 1024;

/// Maximum size of the documents in the retained batches, in bytes.
pub const TAIL_BYTES: usize = 4 << 20;

/// Maximum number of submission ids that are retained to recognise repeated submissions; the oldest are dropped.
///
/// A repeated submission with a dropped id is refused because its base revision is outdated, unless it creates a
/// service that was deleted in the meantime.
pub const IDS_MAX: usize = 4096;

impl Log {
    /// Returns the position of the last applied batch.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Returns the services in force on this node.
    pub fn services(&self) -> &BTreeMap<Name, Service> {
        &self.services
    }

    /// Returns the accepted configuration, including versions that this node refuses.
    pub fn latest(&self) -> &BTreeMap<Name, Latest> {
        &self.latest
    }

    /// Returns the services whose accepted version is not in force on this node.
    pub fn held(&self) -> &BTreeMap<Name, Held> {
        &self.held
    }

    /// Returns the position at which submission `id` was accepted, among the last [`IDS_MAX`] submissions.
    pub fn accepted_at(&self, id: SubmitId) -> Option<Seq> {
        self.accepted.get(&id).copied()
    }

    /// Returns a digest of the accepted configuration at [`Log::seq`].
    pub fn digest(&self) -> u64 {
        hash64(&[&self.seq.0.to_le_bytes(), &self.hash_sum.to_le_bytes()])
    }

    /// Returns the text of `service` at `revision`, if a retained batch contains it.
    pub fn text_at(&self, service: &Name, revision: Revision) -> Option<&str> {
        let changes = self.tail.iter().rev().flat_map(|it| &it.changes);
        let mut made = changes.filter(|it| it.service == *service && it.revision == revision);
        match &made.next()?.edit {
            Edit::Put { text } => Some(text),
            Edit::Delete => Some(""),
        }
    }

    /// Returns the author of the last change of `service` in a retained batch, or an empty string.
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
            self.apply_change(change);
        }
        self.seq = batch.seq;
        let ids = batch.changes.iter().map(|it| it.id).collect();
        self.record_ids(batch.seq, ids);
        let changed = batch.changes.iter().map(|it| it.service.clone()).collect();
        self.update_in_force(changed);
        self.retain_batch(batch);
        Applied::Yes
    }

    /// Returns the accepted configuration as one value.
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
            ids: self.id_order.iter().cloned().collect(),
        }
    }

    /// Replaces the configuration by `snapshot` if it is ahead of the log.
    pub fn install(&mut self, snapshot: &Snapshot) -> Applied {
        if snapshot.seq <= self.seq {
            return Applied::Old;
        }
        let mut changed: BTreeSet<Name> = self.latest.keys().cloned().collect();
        self.latest.clear();
        self.hash_sum = 0;
        for it in &snapshot.services {
            changed.insert(it.name.clone());
            self.insert(&it.name, it.revision, &it.text, &it.author);
        }
        self.seq = snapshot.seq;
        self.accepted.clear();
        self.id_order.clear();
        for (seq, ids) in &snapshot.ids {
            self.record_ids(*seq, ids.clone());
        }
        self.update_in_force(changed);
        self.tail.clear();
        self.tail_bytes = 0;
        Applied::Yes
    }

    fn apply_change(&mut self, change: &Change) {
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
        self.hash_sum =
            self.hash_sum
                .wrapping_add(service_hash(name, latest.revision, &latest.text));
        self.latest.insert(name.clone(), latest);
    }

    fn remove(&mut self, name: &Name) {
        if let Some(latest) = self.latest.remove(name) {
            self.hash_sum =
                self.hash_sum
                    .wrapping_sub(service_hash(name, latest.revision, &latest.text));
        }
    }

    fn record_ids(&mut self, seq: Seq, ids: Vec<SubmitId>) {
        self.accepted.extend(ids.iter().map(|id| (*id, seq)));
        self.id_order.push_back((seq, ids));
        while self.accepted.len() > IDS_MAX
            && let Some((_, ids)) = self.id_order.pop_front()
        {
            for id in ids {
                self.accepted.remove(&id);
            }
        }
    }

    fn retain_batch(&mut self, batch: Arc<Batch>) {
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
    /// Returns the size of the documents in bytes.
    pub fn len(&self) -> usize {
        self.changes.iter().map(Change::len).sum()
    }

    /// Returns whether the batch contains no document.
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

/// Returns a service's part of the digest. The parts are summed, so that a change costs one hash.
fn service_hash(name: &Name, revision: Revision, text: &str) -> u64 {
    let revision = revision.0.to_le_bytes();
    hash64(&[name.as_str().as_bytes(), &revision, text.as_bytes()])
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    state.recovery.handle_event(cx, &mut state.log, event);
    if let Event::Notice(Notice::Applied { .. }) = event {
        for held in state.log.take_reports() {
            held.write_log(cx);
        }
    }
}
