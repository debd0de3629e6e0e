//! Builds ranges from the log and recently replaced texts, and applies received ranges to the log.

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
const REPLACED_MAX: usize = 1024 * 1024;

/// Most deletions kept; peers that lag behind the oldest are sent the whole state.
const DELETED_MAX: usize = 4096;

/// Packed ranges kept, since delayed pushes and nodes that catch up together need the same range again.
const PACKED_MAX: usize = 4;

/// Most submission ids in a range, the newest. Older submissions are rejected by their base revision.
const IDS_MAX: usize = 256;

/// Recently replaced texts and deleted services.
///
/// A service's revision is the position of the log that made it, so the changes after a position follow
/// from the log's latest versions. Only deltas need the replaced texts.
#[derive(Debug, Default)]
pub struct History {
    seq: Seq,
    held: BTreeMap<Name, (Revision, Arc<str>)>,
    replaced: VecDeque<ReplacedText>,
    replaced_bytes: usize,
    deleted: VecDeque<(Seq, Name)>,
    /// Position below which deletions are unknown.
    floor: Seq,
    packed: VecDeque<(SpreadForm, Range)>,
}

/// A text that was replaced or deleted.
#[derive(Debug)]
struct ReplacedText {
    service: Name,
    /// Position that made it.
    made: Seq,
    /// Position that replaced or deleted it.
    until: Seq,
    text: Arc<str>,
}

/// Why a range was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log already reaches the end of the range.
    Old,
    /// The log doesn't reach the start of the range.
    Gap,
    /// The base of a delta is missing; full texts are needed.
    Base,
    /// The digest of the result differs from the sender's; the whole state is needed.
    Digest,
    /// The range doesn't decode.
    Bad,
}

/// Which ranges are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepts {
    /// Ranges that end after the current position.
    Newer,
    /// Also the whole state at the current position, to replace one that peers contradict.
    Same,
}

impl History {
    /// Returns the position of the log that was recorded last.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Returns the position below which peers need the whole state.
    pub fn floor(&self) -> Seq {
        self.floor
    }

    /// Records what `log` replaced or deleted since the last call.
    pub fn follow(&mut self, log: &Log) {
        // Deletions before the first state are unknown.
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
            self.retire(service, until);
        }
        for (service, it) in log.latest() {
            if !self.held.contains_key(service) {
                let held = (it.revision, it.text.clone());
                self.held.insert(service.clone(), held);
                self.deleted.retain(|it| it.1 != *service);
            }
        }
    }

    /// Returns the net change after `from`, or `None` if `from` is ahead of the log.
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
                // Many short, similar texts compress better together than as deltas.
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

    /// Applies a range completely or not at all.
    pub fn apply(&self, log: &mut Log, range: &Range, accepts: Accepts) -> Result<(), Refusal> {
        match accepts {
            Accepts::Newer if range.to <= log.seq() => return Err(Refusal::Old),
            Accepts::Same if range.to < log.seq() => return Err(Refusal::Old),
            _ if range.from > log.seq() => return Err(Refusal::Gap),
            Accepts::Newer | Accepts::Same => {}
        }
        let mut changes = BTreeMap::new();
        if range.from == Seq(0) {
            let held = log.latest().keys();
            changes.extend(held.map(|it| (it.clone(), deletion(it, range.to))));
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
        // This node may be past the start of the range and hold the change already.
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
        let replaced = self
            .replaced
            .iter()
            .rev()
            .filter(|it| it.service == *service);
        let known = known.into_iter().map(|it| &it.text);
        known
            .chain(replaced.map(|it| &it.text))
            .find(|it| wire::text_hash(it) == hash)
            .cloned()
    }

    fn form(&self, service: &Name, latest: &Latest, from: Seq, form: SpreadForm) -> Form {
        let base = self
            .replaced
            .iter()
            .find(|it| it.service == *service && it.made <= from && it.until > from);
        match (form, base) {
            (SpreadForm::Delta, Some(it)) => wire::diff(&it.text, &latest.text),
            _ => Form::Full(latest.text.as_ref().to_owned()),
        }
    }

    /// Moves a service's text to the replaced ones. It was deleted unless `until` is given.
    fn retire(&mut self, service: Name, until: Option<Seq>) {
        let Some((revision, text)) = self.held.remove(&service) else {
            return;
        };
        if until.is_none() {
            self.deleted.push_back((self.seq, service.clone()));
        }
        self.replaced_bytes += text.len();
        self.replaced.push_back(ReplacedText {
            service,
            made: Seq(revision.0),
            until: until.unwrap_or(self.seq),
            text,
        });
        while self.replaced_bytes > REPLACED_MAX
            && let Some(it) = self.replaced.pop_front()
        {
            self.replaced_bytes -= it.text.len();
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

/// Converts a net change for the log. Reasons and times aren't sent; the table's log rows hold them.
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
