//! What one transaction makes of the submissions that wait.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use similar::TextDiff;

use crate::{
    accept::{
        AUTHOR_MAX, BATCH_MAX, CHANGES_MAX, DIFF_MAX, Entry, REASON_MAX, Submission,
        VERDICT_DIFF_MAX, Verdict, accepted,
    },
    clock::Ms,
    document::{Document, check_uses},
    id::{Name, Revision, Seq},
    log::{Batch, Change, Edit, Log},
    platform::VALUE_MAX,
};

/// A submission whose document was checked.
#[derive(Clone, Debug)]
pub(super) struct Checked {
    pub submission: Submission,
    /// Absent for a deletion.
    document: Option<Arc<Document>>,
}

/// What becomes of one submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It is part of the batch.
    Chosen,
    /// It is decided after the batch.
    Later,
    /// Its verdict holds whatever the table's log has more than this one.
    Final(Verdict),
    /// Its verdict holds if the table's log has no more than this one.
    Doubtful(Verdict),
}

/// A batch and the fates of the submissions that it was made from.
#[derive(Debug)]
pub(super) struct Draft {
    pub entry: Entry,
    pub fates: Vec<Fate>,
}

/// Room that a row's value leaves for what is not counted submission by submission.
const ROW_SPARE: usize = 4 * 1024;

/// Bytes of a change beside its texts, and of a diff beside its lines.
const CHANGE_SPARE: usize = 160;

/// What some submissions add to a transaction.
#[derive(Clone, Copy, Debug, Default)]
struct Weight {
    changes: usize,
    batch: usize,
    row: usize,
}

impl Weight {
    fn plus(self, other: Weight) -> Weight {
        Weight {
            changes: self.changes + other.changes,
            batch: self.batch + other.batch,
            row: self.row + other.row,
        }
    }

    fn fits(self) -> bool {
        self.changes <= CHANGES_MAX && self.batch <= BATCH_MAX && self.row <= VALUE_MAX - ROW_SPARE
    }
}

impl Checked {
    /// Checks everything that needs no other service. The error names the remedy.
    pub fn new(submission: &Submission) -> Result<Checked, String> {
        let (author, reason) = (submission.author.len(), submission.reason.len());
        if author == 0 || author > AUTHOR_MAX {
            return Err(format!("name an author in 1 to {AUTHOR_MAX} bytes"));
        }
        if reason > REASON_MAX {
            return Err(format!("shorten the reason to {REASON_MAX} bytes"));
        }
        let document = match &submission.edit {
            Edit::Put { text } => Some(Arc::new(check_text(&submission.service, text)?)),
            Edit::Delete => None,
        };
        Ok(Checked {
            submission: submission.clone(),
            document,
        })
    }

    /// Upper bound of the bytes that it adds to a batch and to its row.
    fn weight(&self, log: &Log) -> Weight {
        let it = &self.submission;
        let batch = self.len() + it.author.len() + it.reason.len() + CHANGE_SPARE;
        let old = log.latest().get(&it.service);
        let diff = 2 * (self.len() + old.map_or(0, |it| it.text.len())) + CHANGE_SPARE;
        Weight {
            changes: 1,
            batch,
            row: batch + diff.min(DIFF_MAX),
        }
    }

    /// Bytes of the document.
    pub fn len(&self) -> usize {
        match &self.submission.edit {
            Edit::Put { text } => text.len(),
            Edit::Delete => 0,
        }
    }

    /// Which of its routes name a service that does not exist, and where in the text.
    fn dangling(&self, exists: impl Fn(&Name) -> bool) -> Option<String> {
        match &self.submission.edit {
            Edit::Put { text } => Some(check_uses(text, exists).err()?.to_string()),
            Edit::Delete => None,
        }
    }

    fn uses(&self) -> impl Iterator<Item = &Name> {
        self.document.iter().flat_map(|it| it.uses())
    }
}

fn check_text(service: &Name, text: &str) -> Result<Document, String> {
    let document = Document::parse(text).map_err(|it| it.to_string())?;
    if document.service != *service {
        let found = &document.service;
        return Err(format!(
            "the document describes {found}; submit it as that service"
        ));
    }
    Ok(document)
}

/// Which of `waiting` go into the next transaction: the first ones, with all that they need.
///
/// Services that route to each other can only be created together. Were the bound to fall between them,
/// one would be refused for want of the other, which waits right behind it.
pub(super) fn fitting(log: &Log, waiting: &[&Checked]) -> BTreeSet<usize> {
    let mut first: BTreeMap<&Name, usize> = BTreeMap::new();
    for (index, it) in waiting.iter().enumerate() {
        first.entry(&it.submission.service).or_insert(index);
    }
    let mut picked = BTreeSet::new();
    let mut weight = Weight::default();
    for index in 0..waiting.len() {
        let group = needed(log, waiting, &first, index, &picked);
        let group_weight = group.iter().map(|it| waiting[*it].weight(log));
        let sum = group_weight.fold(weight, Weight::plus);
        if sum.fits() {
            weight = sum;
            picked.extend(group);
        } else if picked.is_empty() {
            // Too many that need each other: each gets its verdict alone.
            return BTreeSet::from([index]);
        } else {
            break;
        }
    }
    picked
}

/// `index` and the submissions of services that do not exist yet and that it routes to, over any number of
/// steps; without those in `picked`.
fn needed(
    log: &Log,
    waiting: &[&Checked],
    first: &BTreeMap<&Name, usize>,
    index: usize,
    picked: &BTreeSet<usize>,
) -> BTreeSet<usize> {
    let mut group = BTreeSet::new();
    let mut open = vec![index];
    while let Some(index) = open.pop() {
        if picked.contains(&index) || !group.insert(index) {
            continue;
        }
        let uses = waiting[index].uses();
        let lacking = uses.filter(|it| !log.latest().contains_key(*it));
        open.extend(lacking.filter_map(|it| first.get(it)));
    }
    group
}

/// Decides `waiting`, in order, on top of `log`.
pub(super) fn draft(log: &Log, waiting: &[&Checked], now: Ms) -> Draft {
    let mut plan = Plan::new(log, waiting);
    plan.settle();
    let chosen = plan.heads().into_values().collect::<Vec<usize>>();
    let mut fates = plan.fates;
    for it in &chosen {
        fates[*it] = Fate::Chosen;
    }
    let seq = Seq(log.seq().0 + 1);
    let submissions = chosen.iter().map(|it| &waiting[*it].submission);
    let changes: Vec<Change> = submissions.map(|it| change(it, seq, now)).collect();
    let diffs = changes.iter().map(|it| diff(log, it)).collect();
    let batch = Batch { seq, changes };
    Draft {
        entry: Entry { batch, diffs },
        fates,
    }
}

/// The submissions that may still be chosen, for each service in order of arrival.
struct Plan<'a> {
    log: &'a Log,
    waiting: &'a [&'a Checked],
    lanes: BTreeMap<&'a Name, VecDeque<usize>>,
    fates: Vec<Fate>,
}

impl<'a> Plan<'a> {
    fn new(log: &'a Log, waiting: &'a [&'a Checked]) -> Plan<'a> {
        let mut plan = Plan {
            log,
            waiting,
            lanes: BTreeMap::new(),
            fates: vec![Fate::Later; waiting.len()],
        };
        for (index, it) in waiting.iter().enumerate() {
            match check_base(log, &it.submission) {
                Some(fate) => plan.fates[index] = fate,
                None => {
                    let lane = plan.lanes.entry(&it.submission.service).or_default();
                    lane.push_back(index);
                }
            }
        }
        plan
    }

    /// Takes out every submission whose result would not resolve, until all do.
    ///
    /// The result must not depend on the order of arrival between services, or a wrong submission could
    /// make a right one fail. So puts are settled as if nothing were deleted, and deletions after them:
    /// either step only takes out, which has one outcome.
    fn settle(&mut self) {
        while let Some((index, why)) = self.dangling_put().or_else(|| self.dangling_delete()) {
            self.fates[index] = Fate::Doubtful(Verdict::Refused { why });
            let service = &self.waiting[index].submission.service;
            if let Some(lane) = self.lanes.get_mut(service) {
                lane.pop_front();
            }
        }
    }

    /// The first of each lane.
    fn heads(&self) -> BTreeMap<&'a Name, usize> {
        let heads = self.lanes.iter();
        heads
            .filter_map(|(name, lane)| Some((*name, *lane.front()?)))
            .collect()
    }

    fn dangling_put(&self) -> Option<(usize, String)> {
        let heads = self.heads();
        let put = |it: &Name| {
            heads
                .get(it)
                .is_some_and(|it| self.waiting[*it].document.is_some())
        };
        let exists = |it: &Name| put(it) || self.log.latest().contains_key(it);
        heads.values().find_map(|index| {
            let it = self.waiting[*index];
            let lacking = it.uses().find(|it| !exists(it))?;
            let why = it.dangling(exists);
            Some((
                *index,
                why.unwrap_or_else(|| format!("{lacking} does not exist; submit it first")),
            ))
        })
    }

    fn dangling_delete(&self) -> Option<(usize, String)> {
        let heads = self.heads();
        let mut deletes = heads
            .iter()
            .filter(|it| self.waiting[*it.1].document.is_none());
        deletes.find_map(|(name, index)| Some((*index, self.user(name, &heads)?)))
    }

    /// Why `name` cannot be deleted.
    fn user(&self, name: &Name, heads: &BTreeMap<&Name, usize>) -> Option<String> {
        let submitted = heads.iter().find(|(user, index)| {
            **user != name && self.waiting[**index].uses().any(|it| it == name)
        });
        if let Some((user, _)) = submitted {
            return Some(in_use(user));
        }
        let mut rest = self
            .log
            .latest()
            .iter()
            .filter(|it| !heads.contains_key(it.0));
        rest.find_map(|(user, latest)| match &latest.document {
            Ok(document) => document.uses().contains(name).then(|| in_use(user)),
            Err(_) => Some(format!(
                "this node cannot read {user}, which may route to it; submit through an upgraded node"
            )),
        })
    }
}

fn in_use(user: &Name) -> String {
    format!("{user} routes to it; change {user} first")
}

/// Decides what needs no other submission.
fn check_base(log: &Log, submission: &Submission) -> Option<Fate> {
    if let Some(seq) = log.accepted(submission.id) {
        return Some(Fate::Final(accepted(seq)));
    }
    let latest = log.latest().get(&submission.service);
    let current = latest.map_or(Revision(0), |it| it.revision);
    if submission.base == current {
        let why = "no such service; there is nothing to delete".to_owned();
        let void = current == Revision(0) && submission.edit == Edit::Delete;
        return void.then_some(Fate::Doubtful(Verdict::Refused { why }));
    }
    let verdict = conflict(log, submission);
    match submission.base < current && submission.base != Revision(0) {
        // Revisions only grow: the base has passed for good. Not that of a creation: once the service is
        // deleted, a copy of the submission on its way to another committer would create it again.
        true => Some(Fate::Final(verdict)),
        false => Some(Fate::Doubtful(verdict)),
    }
}

/// Names who came first, and what changed from the submitter's base as far as it is still known.
fn conflict(log: &Log, submission: &Submission) -> Verdict {
    let service = &submission.service;
    let base = log.text_at(service, submission.base).unwrap_or_default();
    let (revision, author, text) = match log.latest().get(service) {
        Some(it) => (it.revision, it.author.to_string(), &*it.text),
        None => (Revision(0), log.last_author(service), ""),
    };
    let revisions = (submission.base, revision);
    let diff = unified(base, text, revisions, VERDICT_DIFF_MAX);
    Verdict::Conflict {
        revision,
        author,
        diff,
    }
}

fn change(submission: &Submission, seq: Seq, now: Ms) -> Change {
    Change {
        id: submission.id,
        service: submission.service.clone(),
        base: submission.base,
        revision: Revision(seq.0),
        edit: submission.edit.clone(),
        author: submission.author.clone(),
        reason: submission.reason.clone(),
        time: now,
    }
}

fn diff(log: &Log, change: &Change) -> String {
    let old = log.latest().get(&change.service);
    let new = match &change.edit {
        Edit::Put { text } => text,
        Edit::Delete => "",
    };
    let revisions = (change.base, change.revision);
    unified(old.map_or("", |it| &it.text), new, revisions, DIFF_MAX)
}

fn unified(old: &str, new: &str, revisions: (Revision, Revision), most: usize) -> String {
    let old_name = format!("revision {}", revisions.0);
    let new_name = format!("revision {}", revisions.1);
    let diff = TextDiff::from_lines(old, new);
    let mut diff = diff.unified_diff();
    let text = diff.header(&old_name, &new_name).to_string();
    match text.len() <= most {
        true => text,
        false => format!("{} bytes; compare {old_name} with {new_name}\n", text.len()),
    }
}
