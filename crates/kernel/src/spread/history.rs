//! The accepted texts that this node holds, and recent ones, from which ranges are made and applied.
//!
//! Unlike the log's services these include documents that this build had to refuse: a node passes on
//! what was accepted even where it can't put it in force.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use super::wire::{self, Form, NetChange, Range};
use crate::{
    clock::Ms,
    id::{Name, Revision, Seq, SubmitId},
    log::{Batch, Change, Edit, Log},
    settings::SpreadForm,
    utils::hash64,
};

/// Most bytes of replaced texts kept as bases of deltas.
const PAST_MAX: usize = 1024 * 1024;

/// Most deletions remembered; peers that lag behind the oldest are sent the whole state.
const DELETED_MAX: usize = 4096;

/// Accepted texts up to one position of the log.
#[derive(Debug, Default)]
pub struct History {
    seq: Seq,
    digest: u64,
    held: BTreeMap<Name, Held>,
    past: VecDeque<Past>,
    past_bytes: usize,
    deleted: VecDeque<(Seq, Name, Revision)>,
    floor: Seq,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    revision: Revision,
    made: Seq,
    text: Arc<str>,
}

/// A text that was replaced.
#[derive(Debug)]
struct Past {
    service: Name,
    made: Seq,
    until: Seq,
    text: Arc<str>,
}

/// Why a range was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log already reaches its end.
    Old,
    /// Changes before its start are missing.
    Gap,
    /// The base of a delta is not held: ask for full texts.
    Base,
    /// The result's digest is not the sender's: ask for the whole state.
    Digest,
    /// It does not decode.
    Bad,
}

impl History {
    /// The position that the texts stand for.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Digest of every service, revision and text; equal for equal states however they were reached.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Peers that hold less than this need the whole state.
    pub fn floor(&self) -> Seq {
        self.floor
    }

    /// Accepted revisions that `log` doesn't have in force.
    pub fn refused(&self, log: &Log) -> impl Iterator<Item = (Name, Revision)> {
        let held = self.held.iter().filter(|(service, it)| {
            let used = log.services().get(*service);
            used.is_none_or(|used| used.revision != it.revision)
        });
        held.map(|(service, it)| (service.clone(), it.revision))
    }

    /// Takes over what the log applied without this module.
    pub fn follow(&mut self, log: &Log) {
        if log.seq() <= self.seq {
            return;
        }
        match log.after(self.seq) {
            Some(batches) if batches.len() as u64 == log.seq().0 - self.seq.0 => {
                batches.iter().for_each(|it| self.absorb(it));
            }
            _ => self.rebuild(log),
        }
    }

    /// The net change after `from`, or nothing if `from` is ahead of this node.
    pub fn range(&self, from: Seq, form: SpreadForm) -> Option<Range> {
        if from > self.seq {
            return None;
        }
        let from = match from < self.floor {
            true => Seq(0),
            false => from,
        };
        let deleted = self.deleted.iter().filter(|it| from.0 > 0 && it.0 > from);
        let deleted = deleted.map(|(made, service, revision)| NetChange {
            service: service.clone(),
            revision: *revision,
            made: *made,
            form: Form::Deleted,
        });
        let held = self.held.iter().filter(|(_, it)| it.made > from);
        let held = held.map(|(service, it)| NetChange {
            service: service.clone(),
            revision: it.revision,
            made: it.made,
            form: self.form(service, it, from, form),
        });
        let changes: Vec<NetChange> = deleted.chain(held).collect();
        Some(Range {
            from,
            to: self.seq,
            digest: self.digest,
            body: wire::pack(&changes),
        })
    }

    /// Applies a range whole or not at all; returns the changes that it made.
    pub fn apply(&mut self, range: &Range) -> Result<Vec<Change>, Refusal> {
        if range.to <= self.seq {
            return Err(Refusal::Old);
        }
        if range.from > self.seq {
            return Err(Refusal::Gap);
        }
        self.replace(range)
    }

    /// Like [`History::apply`], and also replaces a state at the range's own end.
    pub fn replace(&mut self, range: &Range) -> Result<Vec<Change>, Refusal> {
        if range.to < self.seq {
            return Err(Refusal::Old);
        }
        let changes = wire::unpack(&range.body).map_err(|_| Refusal::Bad)?;
        let mut staged = BTreeMap::new();
        if range.from == Seq(0) {
            let lost = self.held.keys().cloned();
            staged.extend(lost.map(|it| (it, Staged::Deleted(range.to, Revision(0)))));
        }
        for change in changes {
            if let Some(it) = self.stage(&change, range)? {
                staged.insert(change.service, it);
            }
        }
        staged.retain(|service, it| self.differs(service, it));
        if self.digest_with(&staged) != range.digest {
            return Err(Refusal::Digest);
        }
        let made = staged.iter().map(|(service, it)| change(service, it));
        let made = made.collect();
        staged.into_iter().for_each(|(service, it)| match it {
            Staged::Put(held) => self.put(service, held),
            Staged::Deleted(at, revision) => self.delete(service, at, revision),
        });
        self.seq = range.to;
        if range.from == Seq(0) {
            self.floor = range.to;
        }
        Ok(made)
    }

    fn stage(&self, change: &NetChange, range: &Range) -> Result<Option<Staged>, Refusal> {
        // The sender's base is the text at the range's start; this node may be further along.
        let known = self.held.get(&change.service);
        if range.from != Seq(0) && known.is_some_and(|it| it.made >= change.made) {
            return Ok(None);
        }
        let text: Arc<str> = match &change.form {
            Form::Full(text) => Arc::from(text.as_str()),
            Form::Delta { base, patch } => {
                let base = self.base(&change.service, *base).ok_or(Refusal::Base)?;
                let text = wire::patch(&base, patch).map_err(|_| Refusal::Base)?;
                Arc::from(text)
            }
            Form::Deleted => return Ok(Some(Staged::Deleted(change.made, change.revision))),
        };
        Ok(Some(Staged::Put(Held {
            revision: change.revision,
            made: change.made,
            text,
        })))
    }

    fn differs(&self, service: &Name, staged: &Staged) -> bool {
        match (self.held.get(service), staged) {
            (Some(it), Staged::Put(new)) => it != new,
            (None, Staged::Deleted(..)) => false,
            _ => true,
        }
    }

    fn digest_with(&self, staged: &BTreeMap<Name, Staged>) -> u64 {
        staged.iter().fold(self.digest, |digest, (service, it)| {
            let old = self.held.get(service).map_or(0, |it| weight(service, it));
            let new = match it {
                Staged::Put(held) => weight(service, held),
                Staged::Deleted(..) => 0,
            };
            digest.wrapping_sub(old).wrapping_add(new)
        })
    }

    fn base(&self, service: &Name, hash: u32) -> Option<Arc<str>> {
        let held = self.held.get(service).map(|it| &it.text);
        let past = self.past.iter().rev().filter(|it| it.service == *service);
        held.into_iter()
            .chain(past.map(|it| &it.text))
            .find(|it| wire::text_hash(it) == hash)
            .cloned()
    }

    fn form(&self, service: &Name, held: &Held, from: Seq, form: SpreadForm) -> Form {
        let full = Form::Full(held.text.as_ref().to_owned());
        let base = self
            .past
            .iter()
            .find(|it| it.service == *service && it.made <= from && it.until > from);
        match (form, base) {
            (SpreadForm::Delta, Some(it)) => wire::diff(&it.text, &held.text),
            _ => full,
        }
    }

    fn absorb(&mut self, batch: &Batch) {
        for change in &batch.changes {
            let service = change.service.clone();
            match &change.edit {
                Edit::Put { text } => self.put(
                    service,
                    Held {
                        revision: change.revision,
                        made: batch.seq,
                        text: Arc::from(text.as_str()),
                    },
                ),
                Edit::Delete => self.delete(service, batch.seq, change.revision),
            }
        }
        self.seq = batch.seq;
    }

    fn rebuild(&mut self, log: &Log) {
        *self = History {
            seq: log.seq(),
            floor: log.seq(),
            ..History::default()
        };
        for (service, it) in log.services() {
            let held = Held {
                revision: it.revision,
                made: log.seq(),
                text: it.text.clone(),
            };
            self.put(service.clone(), held);
        }
    }

    fn put(&mut self, service: Name, held: Held) {
        self.digest = self.digest.wrapping_add(weight(&service, &held));
        let made = held.made;
        self.deleted.retain(|it| it.1 != service);
        if let Some(old) = self.held.insert(service.clone(), held) {
            self.forget(service, old, made);
        }
    }

    fn delete(&mut self, service: Name, at: Seq, revision: Revision) {
        let Some(old) = self.held.remove(&service) else {
            return;
        };
        self.forget(service.clone(), old, at);
        self.deleted.push_back((at, service, revision));
        if self.deleted.len() > DELETED_MAX
            && let Some((seq, ..)) = self.deleted.pop_front()
        {
            self.floor = self.floor.max(seq);
        }
    }

    fn forget(&mut self, service: Name, old: Held, until: Seq) {
        self.digest = self.digest.wrapping_sub(weight(&service, &old));
        self.past_bytes += old.text.len();
        self.past.push_back(Past {
            service,
            made: old.made,
            until,
            text: old.text,
        });
        while self.past_bytes > PAST_MAX
            && let Some(it) = self.past.pop_front()
        {
            self.past_bytes -= it.text.len();
        }
    }
}

enum Staged {
    Put(Held),
    Deleted(Seq, Revision),
}

fn weight(service: &Name, held: &Held) -> u64 {
    let revision = held.revision.0.to_le_bytes();
    hash64(&[service.as_str().as_bytes(), &revision, held.text.as_bytes()])
}

/// The change as the log takes it. Author and reason don't travel: the table's log rows hold them.
fn change(service: &Name, staged: &Staged) -> Change {
    let (revision, edit) = match staged {
        Staged::Put(held) => {
            let text = held.text.as_ref().to_owned();
            (held.revision, Edit::Put { text })
        }
        Staged::Deleted(_, revision) => (*revision, Edit::Delete),
    };
    Change {
        id: SubmitId(0),
        service: service.clone(),
        base: Revision(revision.0.saturating_sub(1)),
        revision,
        edit,
        author: String::new(),
        reason: String::new(),
        time: Ms(0),
    }
}
