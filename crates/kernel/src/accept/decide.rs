//! Decides which waiting submissions form the next transaction, and on the verdicts of the others.

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

/// A submission with a valid document.
#[derive(Clone, Debug)]
pub(super) struct Checked {
    pub submission: Submission,
    /// `None` for a deletion.
    document: Option<Arc<Document>>,
}

/// Decision on one submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The submission is part of the batch.
    Chosen,
    /// The submission is decided after the batch.
    Later,
    /// The verdict is independent of entries of the table's log that this node lacks.
    Final(Verdict),
    /// The verdict holds only if this node has the whole log of the table.
    Provisional(Verdict),
}

/// A batch and the decisions on the submissions that it was drafted from.
#[derive(Debug)]
pub(super) struct Draft {
    pub entry: Entry,
    pub decisions: Vec<Decision>,
}

/// Bytes of a row's value that are reserved for fields that are not counted per submission.
const ROW_RESERVE: usize = 4 * 1024;

/// Maximum bytes of a change without its texts, and of a diff without its lines.
const CHANGE_OVERHEAD: usize = 160;

/// Size that submissions add to a transaction.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    changes: usize,
    batch: usize,
    row: usize,
}

impl Size {
    fn plus(self, other: Size) -> Size {
        Size {
            changes: self.changes + other.changes,
            batch: self.batch + other.batch,
            row: self.row + other.row,
        }
    }

    fn fits(self) -> bool {
        self.changes <= CHANGES_MAX
            && self.batch <= BATCH_MAX
            && self.row <= VALUE_MAX - ROW_RESERVE
    }
}

impl Checked {
    /// Checks everything that does not depend on other services. The error says how to fix the submission.
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

    /// Returns an upper bound of what the submission adds to a batch and its row.
    fn size(&self, log: &Log) -> Size {
        let it = &self.submission;
        let batch = self.len() + it.author.len() + it.reason.len() + CHANGE_OVERHEAD;
        let old = log.latest().get(&it.service);
        let diff = 2 * (self.len() + old.map_or(0, |it| it.text.len())) + CHANGE_OVERHEAD;
        Size {
            changes: 1,
            batch,
            row: batch + diff.min(DIFF_MAX),
        }
    }

    /// Returns the size of the document in bytes.
    pub fn len(&self) -> usize {
        match &self.submission.edit {
            Edit::Put { text } => text.len(),
            Edit::Delete => 0,
        }
    }

    /// Describes the routes that use a service that does not exist, with their places in the text.
    fn unresolved_uses(&self, exists: impl Fn(&Name) -> bool) -> Option<String> {
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

/// Selects the submissions for the next transaction: the first ones and all that they depend on.
///
/// New services that route to each other must be created in one transaction; split over two, the first would be
/// refused.
pub(super) fn select_next(log: &Log, waiting: &[&Checked]) -> BTreeSet<usize> {
    let mut first: BTreeMap<&Name, usize> = BTreeMap::new();
    for (index, it) in waiting.iter().enumerate() {
        first.entry(&it.submission.service).or_insert(index);
    }
    let mut selected = BTreeSet::new();
    let mut size = Size::default();
    for index in 0..waiting.len() {
        let group = dependency_group(log, waiting, &first, index, &selected);
        let group_size = group.iter().map(|it| waiting[*it].size(log));
        let sum = group_size.fold(size, Size::plus);
        if sum.fits() {
            size = sum;
            selected.extend(group);
        } else if selected.is_empty() {
            // The group does not fit into one transaction, so its first submission is decided alone.
            return BTreeSet::from([index]);
        } else {
            break;
        }
    }
    selected
}

/// Returns `index` and, transitively, the submissions of new services that it routes to, except those in
/// `selected`.
fn dependency_group(
    log: &Log,
    waiting: &[&Checked],
    first: &BTreeMap<&Name, usize>,
    index: usize,
    selected: &BTreeSet<usize>,
) -> BTreeSet<usize> {
    let mut group = BTreeSet::new();
    let mut pending = vec![index];
    while let Some(index) = pending.pop() {
        if selected.contains(&index) || !group.insert(index) {
            continue;
        }
        let uses = waiting[index].uses();
        let missing = uses.filter(|it| !log.latest().contains_key(*it));
        pending.extend(missing.filter_map(|it| first.get(it)));
    }
    group
}

/// Drafts the next batch from `waiting`, in order, on top of `log`.
pub(super) fn draft(log: &Log, waiting: &[&Checked], now: Ms) -> Draft {
    let mut plan = Plan::new(log, waiting);
    plan.refuse_unresolved();
    let chosen = plan.heads().into_values().collect::<Vec<usize>>();
    let mut decisions = plan.decisions;
    for it in &chosen {
        decisions[*it] = Decision::Chosen;
    }
    let seq = Seq(log.seq().0 + 1);
    let submissions = chosen.iter().map(|it| &waiting[*it].submission);
    let changes: Vec<Change> = submissions.map(|it| change(it, seq, now)).collect();
    let diffs = changes.iter().map(|it| diff(log, it)).collect();
    let batch = Batch { seq, changes };
    Draft {
        entry: Entry { batch, diffs },
        decisions,
    }
}

/// The submissions that may still be chosen, by service and in order of arrival.
struct Plan<'a> {
    log: &'a Log,
    waiting: &'a [&'a Checked],
    queues: BTreeMap<&'a Name, VecDeque<usize>>,
    decisions: Vec<Decision>,
}

impl<'a> Plan<'a> {
    fn new(log: &'a Log, waiting: &'a [&'a Checked]) -> Plan<'a> {
        let mut plan = Plan {
            log,
            waiting,
            queues: BTreeMap::new(),
            decisions: vec![Decision::Later; waiting.len()],
        };
        for (index, it) in waiting.iter().enumerate() {
            match check_base(log, &it.submission) {
                Some(decision) => plan.decisions[index] = decision,
                None => {
                    let queue = plan.queues.entry(&it.submission.service).or_default();
                    queue.push_back(index);
                }
            }
        }
        plan
    }

    /// Refuses submissions until all references of the result resolve.
    ///
    /// Puts are checked first, as if nothing were deleted, then deletions. Both steps only remove submissions, so
    /// the result does not depend on the order of arrival between services.
    fn refuse_unresolved(&mut self) {
        while let Some((index, why)) = self.unresolved_put().or_else(|| self.unresolved_delete()) {
            self.decisions[index] = Decision::Provisional(Verdict::Refused { why });
            let service = &self.waiting[index].submission.service;
            if let Some(queue) = self.queues.get_mut(service) {
                queue.pop_front();
            }
        }
    }

    /// Returns the first submission of each service.
    fn heads(&self) -> BTreeMap<&'a Name, usize> {
        let heads = self.queues.iter();
        heads
            .filter_map(|(name, queue)| Some((*name, *queue.front()?)))
            .collect()
    }

    fn unresolved_put(&self) -> Option<(usize, String)> {
        let heads = self.heads();
        let put = |it: &Name| {
            heads
                .get(it)
                .is_some_and(|it| self.waiting[*it].document.is_some())
        };
        let exists = |it: &Name| put(it) || self.log.latest().contains_key(it);
        heads.values().find_map(|index| {
            let it = self.waiting[*index];
            let missing = it.uses().find(|it| !exists(it))?;
            let why = it.unresolved_uses(exists);
            Some((
                *index,
                why.unwrap_or_else(|| format!("{missing} does not exist; submit it first")),
            ))
        })
    }

    fn unresolved_delete(&self) -> Option<(usize, String)> {
        let heads = self.heads();
        let mut deletes = heads
            .iter()
            .filter(|it| self.waiting[*it.1].document.is_none());
        deletes.find_map(|(name, index)| Some((*index, self.deletion_obstacle(name, &heads)?)))
    }

    /// Returns why `name` cannot be deleted, if it cannot.
    fn deletion_obstacle(&self, name: &Name, heads: &BTreeMap<&Name, usize>) -> Option<String> {
        let submitted = heads.iter().find(|(user, index)| {
            **user != name && self.waiting[**index].uses().any(|it| it == name)
        });
        if let Some((user, _)) = submitted {
            return Some(in_use_message(user));
        }
        let mut rest = self
            .log
            .latest()
            .iter()
            .filter(|it| !heads.contains_key(it.0));
        rest.find_map(|(user, latest)| match &latest.document {
            Ok(document) => document.uses().contains(name).then(|| in_use_message(user)),
            Err(_) => Some(format!(
                "this node cannot read {user}, which may route to it; submit through an upgraded node"
            )),
        })
    }
}

fn in_use_message(user: &Name) -> String {
    format!("{user} routes to it; change {user} first")
}

/// Decides on a submission whose verdict does not depend on other submissions, if possible.
fn check_base(log: &Log, submission: &Submission) -> Option<Decision> {
    if let Some(seq) = log.accepted_at(submission.id) {
        return Some(Decision::Final(accepted(seq)));
    }
    let latest = log.latest().get(&submission.service);
    let current = latest.map_or(Revision(0), |it| it.revision);
    if submission.base == current {
        let why = "no such service; there is nothing to delete".to_owned();
        let deletes_nothing = current == Revision(0) && submission.edit == Edit::Delete;
        return deletes_nothing.then_some(Decision::Provisional(Verdict::Refused { why }));
    }
    let verdict = conflict(log, submission);
    match submission.base < current && submission.base != Revision(0) {
        // Revisions only grow, so the base stays outdated. Base zero does not: once the service is deleted, a copy
        // of the submission at another committer could still create it.
        true => Some(Decision::Final(verdict)),
        false => Some(Decision::Provisional(verdict)),
    }
}

/// Returns a conflict with the last author and the diff from the submission's base, as far as still known.
fn conflict(log: &Log, submission: &Submission) -> Verdict {
    let service = &submission.service;
    let base = log.text_at(service, submission.base).unwrap_or_default();
    let (revision, author, text) = match log.latest().get(service) {
        Some(it) => (it.revision, it.author.to_string(), &*it.text),
        None => (Revision(0), log.last_author(service), ""),
    };
    let revisions = (submission.base, revision);
    let diff = unified_diff(base, text, revisions, VERDICT_DIFF_MAX);
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
    unified_diff(old.map_or("", |it| &it.text), new, revisions, DIFF_MAX)
}

fn unified_diff(old: &str, new: &str, revisions: (Revision, Revision), max_len: usize) -> String {
    let old_name = format!("revision {}", revisions.0);
    let new_name = format!("revision {}", revisions.1);
    let diff = TextDiff::from_lines(old, new);
    let mut diff = diff.unified_diff();
    let text = diff.header(&old_name, &new_name).to_string();
    match text.len() <= max_len {
        true => text,
        false => format!("{} bytes; compare {old_name} with {new_name}\n", text.len()),
    }
}
