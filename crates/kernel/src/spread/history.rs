//! Making ranges from the log and recent texts, and turning ranges back into steps of the log.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use super::wire::{self, Form, IdBytes, NetChange, Range};
use crate::{
    clock::Ms,
    id::{Name, Revision, Seq, SubmitId},
    log::{Advance, Change, Edit, Latest, Log},
    settings::SpreadForm,
};

/// Most bytes of replaced texts kept as bases of deltas.
const PAST_MAX: usize = 1024 * 1024;

/// Most deletions remembered; peers that lag behind the oldest are sent the whole state.
const DELETED_MAX: usize = 4096;

/// Ranges kept packed: a push that waits for the budget and a herd that catches up ask for the same again.
const PACKED_MAX: usize = 4;

/// Most submission ids in a range, the newest. The base revision of an older submission has passed.
const IDS_MAX: usize = 256;

/// Texts and services that were replaced or deleted lately.
///
/// A service's revision is the position of the log that made it, so what changed after a position can be
/// told from the log's newest versions alone; only deltas need the texts before.
#[derive(Debug, Default)]
pub struct History {
    seq: Seq,
    held: BTreeMap<Name, (Revision, Arc<str>)>,
    past: VecDeque<Past>,
    past_bytes: usize,
    deleted: VecDeque<(Seq, Name)>,
    floor: Seq,
    packed: VecDeque<(SpreadForm, Range)>,
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

/// Which ranges are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepts {
    /// Those that lead further.
    Newer,
    /// Also the whole state at the present position, in place of one that peers contradict.
    Same,
}

impl History {
    /// The position that it stands for.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Peers that hold less than this need the whole state.
    pub fn floor(&self) -> Seq {
        self.floor
    }

    /// Remembers what `log` replaced since the last call.
    pub fn follow(&mut self, log: &Log) {
        // The first state has no past: which services were deleted before is not known.
        if self.seq == Seq(0) && log.seq().0 > 1 {
            self.floor = log.seq();
        }
        self.seq = log.seq();
        let replaced: Vec<Name> = self
            .held
            .iter()
            .filter(|(service, it)| {
                log.latest()
                    .get(*service)
                    .is_none_or(|new| new.revision != it.0)
            })
            .map(|(service, _)| service.clone())
            .collect();
        for service in replaced {
            let until = log.latest().get(&service).map(|it| Seq(it.revision.0));
            self.forget(service, until);
        }
        for (service, it) in log.latest() {
            if !self.held.contains_key(service) {
                let held = (it.revision, it.text.clone());
                self.held.insert(service.clone(), held);
                self.deleted.retain(|it| it.1 != *service);
            }
        }
    }

    /// The net change after `from`, or nothing if `from` is ahead of the log.
    pub fn range(&mut self, log: &Log, from: Seq, form: SpreadForm) -> Option<Range> {
        if from > self.seq {
            return None;
        }
        let from = match from < self.floor {
            true => Seq(0),
            false => from,
        };
        let packed = |it: &&(SpreadForm, Range)| {
            it.0 == form && it.1.from == from && it.1.digest == log.digest()
        };
        if let Some((_, range)) = self.packed.iter().find(packed) {
            return Some(range.clone());
        }
        let range = self.pack(log, from, form);
        self.packed.push_back((form, range.clone()));
        if self.packed.len() > PACKED_MAX {
            self.packed.pop_front();
        }
        Some(range)
    }

    fn pack(&self, log: &Log, from: Seq, form: SpreadForm) -> Range {
        let full = wire::pack(&self.changes(log, from, SpreadForm::Full));
        let body = match form {
            SpreadForm::Full => full,
            SpreadForm::Delta => {
                // Many short texts that resemble one another compress better together than their deltas.
                let deltas = wire::pack(&self.changes(log, from, SpreadForm::Delta));
                std::cmp::min_by_key(deltas, full, Vec::len)
            }
        };
        Range {
            from,
            to: self.seq,
            digest: log.digest(),
            body,
            ids: recent_ids(log, from),
        }
    }

    fn changes(&self, log: &Log, from: Seq, form: SpreadForm) -> Vec<NetChange> {
        let deleted = self.deleted.iter().filter(|it| from.0 > 0 && it.0 > from);
        let deleted = deleted.map(|(made, service)| NetChange {
            service: service.clone(),
            revision: Revision(made.0),
            author: String::new(),
            form: Form::Deleted,
        });
        let newer = log.latest().iter().filter(|it| it.1.revision.0 > from.0);
        let newer = newer.map(|(service, it)| NetChange {
            service: service.clone(),
            revision: it.revision,
            author: it.author.as_ref().to_owned(),
            form: self.form(service, it, from, form),
        });
        deleted.chain(newer).collect()
    }

    /// Applies a range whole or not at all.
    pub fn apply(&self, log: &mut Log, range: &Range, accepts: Accepts) -> Result<(), Refusal> {
        match accepts {
            Accepts::Newer if range.to <= log.seq() => return Err(Refusal::Old),
            Accepts::Same if range.to < log.seq() => return Err(Refusal::Old),
            _ if range.from > log.seq() => return Err(Refusal::Gap),
            Accepts::Newer | Accepts::Same => {}
        }
        let mut changes = BTreeMap::new();
        if range.from == Seq(0) {
            let lost = log.latest().keys();
            changes.extend(lost.map(|it| (it.clone(), deletion(it, range.to))));
        }
        for it in wire::unpack(&range.body).map_err(|_| Refusal::Bad)? {
            if let Some(change) = self.change(log, &it, range)? {
                changes.insert(it.service, change);
            }
        }
        let next = Advance {
            to: range.to,
            digest: range.digest,
            changes: changes.into_values().collect(),
            ids: range.ids.iter().map(submissions).collect(),
        };
        log.advance(next).map_err(|_| Refusal::Digest)
    }

    fn change(&self, log: &Log, net: &NetChange, range: &Range) -> Result<Option<Change>, Refusal> {
        // This node may be further along than the range's start and hold the change already.
        let known = log.latest().get(&net.service);
        if range.from != Seq(0) && known.is_some_and(|it| it.revision >= net.revision) {
            return Ok(None);
        }
        let edit = match &net.form {
            Form::Full(text) => Edit::Put { text: text.clone() },
            Form::Delta { base, patch } => {
                let base = self.base(&net.service, known, *base).ok_or(Refusal::Base)?;
                let text = wire::patch(&base, patch).map_err(|_| Refusal::Base)?;
                Edit::Put { text }
            }
            Form::Deleted => Edit::Delete,
        };
        Ok(Some(change(net, edit)))
    }

    fn base(&self, service: &Name, known: Option<&Latest>, hash: u32) -> Option<Arc<str>> {
        let past = self.past.iter().rev().filter(|it| it.service == *service);
        let known = known.into_iter().map(|it| &it.text);
        known
            .chain(past.map(|it| &it.text))
            .find(|it| wire::text_hash(it) == hash)
            .cloned()
    }

    fn form(&self, service: &Name, latest: &Latest, from: Seq, form: SpreadForm) -> Form {
        let base = self
            .past
            .iter()
            .find(|it| it.service == *service && it.made <= from && it.until > from);
        match (form, base) {
            (SpreadForm::Delta, Some(it)) => wire::diff(&it.text, &latest.text),
            _ => Form::Full(latest.text.as_ref().to_owned()),
        }
    }

    /// Moves a service's text to the past; without a position of its successor it was deleted.
    fn forget(&mut self, service: Name, until: Option<Seq>) {
        let Some((revision, text)) = self.held.remove(&service) else {
            return;
        };
        if until.is_none() {
            self.deleted.push_back((self.seq, service.clone()));
        }
        self.past_bytes += text.len();
        self.past.push_back(Past {
            service,
            made: Seq(revision.0),
            until: until.unwrap_or(self.seq),
            text,
        });
        while self.past_bytes > PAST_MAX
            && let Some(it) = self.past.pop_front()
        {
            self.past_bytes -= it.text.len();
        }
        if self.deleted.len() > DELETED_MAX
            && let Some((seq, _)) = self.deleted.pop_front()
        {
            self.floor = self.floor.max(seq);
        }
    }
}

fn submissions((seq, ids): &(Seq, Vec<IdBytes>)) -> (Seq, Vec<SubmitId>) {
    let ids = ids.iter().map(|it| SubmitId(u128::from_le_bytes(*it)));
    (*seq, ids.collect())
}

fn recent_ids(log: &Log, from: Seq) -> Vec<(Seq, Vec<IdBytes>)> {
    let batches: Vec<_> = log.ids_after(from).collect();
    let mut count = 0;
    let newest = batches.into_iter().rev().take_while(|it| {
        count += it.1.len();
        count <= IDS_MAX
    });
    let bytes = |it: &SubmitId| it.0.to_le_bytes();
    let newest = newest.map(|(seq, ids)| (*seq, ids.iter().map(bytes).collect()));
    let mut newest: Vec<_> = newest.collect();
    newest.reverse();
    newest
}

fn deletion(service: &Name, at: Seq) -> Change {
    let net = NetChange {
        service: service.clone(),
        revision: Revision(at.0),
        author: String::new(),
        form: Form::Deleted,
    };
    change(&net, Edit::Delete)
}

/// The change as the log takes it. Reasons and times don't travel: the table's log rows hold them.
fn change(net: &NetChange, edit: Edit) -> Change {
    Change {
        id: SubmitId(0),
        service: net.service.clone(),
        base: Revision(0),
        revision: net.revision,
        edit,
        author: net.author.clone(),
        reason: String::new(),
        time: Ms(0),
    }
}
