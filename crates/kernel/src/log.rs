//! The applied configuration: a prefix of the log in the platform's table.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    document::Document,
    id::{Name, Revision, Seq, SubmitId},
};

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
    /// The revision that the change makes.
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
#[derive(Debug, Default)]
pub struct Log {
    seq: Seq,
    services: BTreeMap<Name, Service>,
    tail: VecDeque<Arc<Batch>>,
}

/// Batches kept for peers that lag.
pub const TAIL_MAX: usize = 1024;

impl Log {
    /// The last batch applied.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Every service in force here.
    pub fn services(&self) -> &BTreeMap<Name, Service> {
        &self.services
    }

    /// The batches after `seq`, in order, or nothing if the oldest of them is no longer kept.
    pub fn after(&self, seq: Seq) -> Option<Vec<Arc<Batch>>> {
        let first = self.tail.front().map_or(self.seq.0 + 1, |it| it.seq.0);
        if seq.0 + 1 < first {
            return None;
        }
        let lacking = self.tail.iter().filter(|it| it.seq > seq);
        Some(lacking.cloned().collect())
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
        self.tail.push_back(batch);
        if self.tail.len() > TAIL_MAX {
            self.tail.pop_front();
        }
        Applied::Yes
    }

    fn apply_change(&mut self, change: &Change) {
        let Edit::Put { text } = &change.edit else {
            self.services.remove(&change.service);
            return;
        };
        let Ok(document) = Document::parse(text) else {
            return;
        };
        let service = Service {
            revision: change.revision,
            text: Arc::from(text.as_str()),
            document: Arc::new(document),
        };
        self.services.insert(change.service.clone(), service);
    }
}
