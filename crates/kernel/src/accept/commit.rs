//! The committer: it gathers submissions and puts them into the table, one transaction at a time.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    accept::{
        Origin, QUEUE_BYTES, QUEUE_MAX, Verdict, WINDOW_MAX, accepted,
        decide::{self, Checked, Draft, Fate},
        follow,
        rows::{self, HEAD_KEY, ServiceRow, log_key, service_key},
    },
    clock::Ms,
    event::Notice,
    id::{CallId, Seq, SubmitId},
    kernel::{Context, State},
    log::{Batch, Change, Edit},
    platform::{ABSENT, Check, Fault, TableAnswer, TableOp, Write},
    utils::backoff,
};

/// Submissions that wait for a transaction of this node, and that transaction.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    bytes: usize,
    stage: Stage,
    /// When the next transaction begins.
    due: Ms,
    /// When the last finished reading of the table's log began.
    read: Ms,
    failures: u32,
    /// Why the last attempt failed.
    why: String,
    /// The last batch that this node committed.
    committed: Seq,
}

#[derive(Debug)]
struct Waiting {
    checked: Checked,
    origins: Vec<Origin>,
    /// When it came, or was last in doubt: a log read earlier says nothing of it.
    since: Ms,
    deadline: Ms,
    trace: Trace,
}

/// Where a submission may already be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trace {
    /// Nowhere.
    Clean,
    /// In the batch of this number, unless the log holds another one there.
    Slot(Seq),
    /// Another node may be committing it.
    Elsewhere,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    Committing {
        call: CallId,
        batch: Arc<Batch>,
    },
    Reading,
    Backoff(Ms),
}

/// Version of an entry of the log: it is written once.
const WRITTEN: u64 = 1;

/// Failures in a row after which the table counts as down.
///
/// Held until their deadline, submissions surely not written would be answered so late that the node that
/// forwarded them has long taken them back in doubt: its operator would hear «unknown» of what was never
/// tried. Their backoff adds up to 1.6 s at most, less than
/// [`super::FORWARD_TIMEOUT`].
const DOWN_FAILURES: u32 = 5;

const BACKOFF: u64 = 25;
const BACKOFF_MAX: u64 = 2_000;

impl Queue {
    /// Adds `origin` to those who wait for `id`, if it is here.
    pub fn join(&mut self, id: SubmitId, origin: Origin) -> bool {
        let Some(it) = self.waiting.iter_mut().find(|it| it.id() == id) else {
            return false;
        };
        if !it.origins.contains(&origin) {
            it.origins.push(origin);
        }
        true
    }

    /// Submissions that wait here.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The last batch that this node committed.
    pub fn committed(&self) -> Seq {
        self.committed
    }

    /// Another node says that `id` was accepted: returns who waits for it here.
    pub fn release(&mut self, id: SubmitId) -> Vec<Origin> {
        let found = self.waiting.iter_mut().find(|it| it.id() == id);
        found.map_or_else(Vec::new, |it| std::mem::take(&mut it.origins))
    }

    fn in_flight(&self, id: SubmitId) -> bool {
        match &self.stage {
            Stage::Committing { batch, .. } => batch.changes.iter().any(|it| it.id == id),
            Stage::Idle | Stage::Reading | Stage::Backoff(_) => false,
        }
    }

    /// Removes those that `gone` holds for.
    fn take(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let all = std::mem::take(&mut self.waiting);
        let (out, rest): (Vec<Waiting>, Vec<Waiting>) = all.into_iter().partition(|it| gone(it));
        self.bytes -= out.iter().map(|it| it.checked.len()).sum::<usize>();
        self.waiting = rest.into();
        out
    }

    /// Waits before the next attempt, at least `least` ms.
    ///
    /// Committers that collide would collide again if they waited equally long; full jitter spreads them.
    fn back_off(&mut self, cx: &mut Context<'_>, least: u64) {
        self.failures += 1;
        let wait = backoff(cx.rng, BACKOFF, BACKOFF_MAX, self.failures);
        self.stage = Stage::Backoff(cx.now + least + wait);
    }
}

impl Waiting {
    fn id(&self) -> SubmitId {
        self.checked.submission.id
    }

    fn answer(self, cx: &mut Context<'_>, verdict: &Verdict) {
        let id = self.id();
        for origin in self.origins {
            origin.answer(cx, id, verdict.clone());
        }
    }

    /// The verdict for want of a better one.
    fn give_up(&self, why: &str) -> Verdict {
        match self.trace {
            Trace::Clean => Verdict::Unavailable {
                why: why.to_owned(),
            },
            Trace::Slot(_) | Trace::Elsewhere => Verdict::Unknown { id: self.id() },
        }
    }
}

/// Takes in a submission that this node is to commit.
pub(super) fn enqueue(
    cx: &mut Context<'_>,
    state: &mut State,
    checked: Checked,
    origins: Vec<Origin>,
    trace: Trace,
    deadline: Ms,
) {
    let queue = &mut state.accept.queue;
    let waiting = Waiting {
        checked,
        origins,
        since: cx.now,
        deadline,
        trace,
    };
    let bytes = queue.bytes + waiting.checked.len();
    if queue.len() >= QUEUE_MAX || bytes > QUEUE_BYTES {
        let count = queue.len();
        let why = format!("{count} submissions wait on this node already; submit again soon");
        let verdict = waiting.give_up(&why);
        return waiting.answer(cx, &verdict);
    }
    if queue.waiting.is_empty() {
        queue.due = cx.now + cx.settings.accept.window.min(WINDOW_MAX);
    }
    queue.bytes = bytes;
    queue.waiting.push_back(waiting);
}

/// Begins what is due.
pub(super) fn advance(cx: &mut Context<'_>, state: &mut State) {
    let queue = &mut state.accept.queue;
    if matches!(queue.stage, Stage::Backoff(until) if until <= cx.now) {
        queue.stage = Stage::Idle;
    }
    if !matches!(queue.stage, Stage::Idle) || queue.waiting.is_empty() || queue.due > cx.now {
        return;
    }
    let unread = |it: &Waiting| it.trace != Trace::Clean && it.since > queue.read;
    if queue.waiting.iter().any(unread) {
        return begin_read(cx, state);
    }
    attempt(cx, state);
}

/// Gives a verdict to those whose time is up.
pub(super) fn expire(cx: &mut Context<'_>, state: &mut State) {
    let queue = &mut state.accept.queue;
    let late: BTreeSet<SubmitId> = queue
        .waiting
        .iter()
        .filter(|it| it.deadline <= cx.now)
        .map(Waiting::id)
        .collect();
    for id in late
        .iter()
        .filter(|id| queue.in_flight(**id))
        .copied()
        .collect::<Vec<_>>()
    {
        for origin in queue.release(id) {
            origin.answer(cx, id, Verdict::Unknown { id });
        }
    }
    let flying: BTreeSet<SubmitId> = late
        .iter()
        .filter(|it| queue.in_flight(**it))
        .copied()
        .collect();
    let gone = queue.take(|it| late.contains(&it.id()) && !flying.contains(&it.id()));
    let why = match queue.why.is_empty() {
        true => "no time was left to commit it; submit again soon".to_owned(),
        false => queue.why.clone(),
    };
    for it in gone {
        let verdict = it.give_up(&why);
        it.answer(cx, &verdict);
    }
}

/// The table answered; `call` may be anybody's.
pub(super) fn answered(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    let queue = &mut state.accept.queue;
    let batch = match &queue.stage {
        Stage::Committing { call: own, batch } if *own == call => batch.clone(),
        _ => return,
    };
    queue.stage = Stage::Idle;
    match answer {
        TableAnswer::Committed => committed(cx, state, batch),
        TableAnswer::Conflict(_) => {
            queue.why = "other committers came first; submit again soon".to_owned();
            queue.failures += 1;
            begin_read(cx, state);
        }
        TableAnswer::Failed(Fault::Unavailable) => {
            failed(cx, queue, &Fault::Unavailable, 0);
            give_up_if_down(cx, state);
        }
        TableAnswer::Failed(fault @ Fault::Throttled { after }) => failed(cx, queue, fault, *after),
        TableAnswer::Failed(fault @ Fault::Invalid(_)) => rejected(cx, queue, &batch, fault),
        TableAnswer::Failed(Fault::Unknown) | TableAnswer::Rows(_) => {
            lost(cx, queue, &batch);
            failed(cx, queue, &Fault::Unknown, 0);
        }
    }
}

/// The log was read from the table.
pub(super) fn read(cx: &mut Context<'_>, state: &mut State) {
    answer_accepted(cx, state);
    let held = state.log.seq();
    let queue = &mut state.accept.queue;
    queue.read = state.accept.reader.began();
    for it in &mut queue.waiting {
        // The log holds that batch, and it is not the one that this submission was in.
        if matches!(it.trace, Trace::Slot(seq) if seq <= held) {
            it.trace = Trace::Clean;
        }
    }
    if matches!(queue.stage, Stage::Reading) {
        queue.stage = Stage::Idle;
        if queue.failures > 0 {
            queue.back_off(cx, 0);
        }
    }
}

/// The log could not be read from the table.
pub(super) fn unread(cx: &mut Context<'_>, state: &mut State) {
    let queue = &mut state.accept.queue;
    if !matches!(queue.stage, Stage::Reading) {
        return;
    }
    failed(cx, queue, &Fault::Unavailable, 0);
    if queue.failures >= DOWN_FAILURES {
        give_up(cx, queue);
    }
}

fn begin_read(cx: &mut Context<'_>, state: &mut State) {
    state.accept.queue.stage = Stage::Reading;
    follow(cx, state);
}

fn attempt(cx: &mut Context<'_>, state: &mut State) {
    while !state.accept.queue.waiting.is_empty() {
        let count = bring_forward(state);
        let queue = &state.accept.queue;
        let waiting = queue.waiting.iter().map(|it| &it.checked).take(count);
        let waiting: Vec<&Checked> = waiting.collect();
        let draft = decide::draft(&state.log, &waiting, cx.now);
        let fates = queue.waiting.iter().zip(&draft.fates);
        let unread = |(it, fate): (&Waiting, &Fate)| {
            matches!(fate, Fate::Doubtful(_)) && it.since > queue.read
        };
        // Refused for what another committer may have changed meanwhile: look before saying so.
        if fates.into_iter().any(unread) {
            return begin_read(cx, state);
        }
        let Draft { entry, fates } = draft;
        decided(cx, &mut state.accept.queue, fates);
        if !entry.batch.changes.is_empty() {
            return commit(cx, &mut state.accept.queue, entry);
        }
    }
}

/// Moves those that go into the next transaction to the front, in their order, and counts them.
fn bring_forward(state: &mut State) -> usize {
    let queue = &mut state.accept.queue;
    let waiting: Vec<&Checked> = queue.waiting.iter().map(|it| &it.checked).collect();
    let picked = decide::fitting(&state.log, &waiting);
    let all = std::mem::take(&mut queue.waiting).into_iter().enumerate();
    let (front, rest): (Vec<_>, Vec<_>) = all.partition(|it| picked.contains(&it.0));
    queue.waiting = front.into_iter().chain(rest).map(|it| it.1).collect();
    picked.len()
}

/// Answers those of the first `fates.len()` that have a verdict.
fn decided(cx: &mut Context<'_>, queue: &mut Queue, fates: Vec<Fate>) {
    let mut rest = VecDeque::new();
    for fate in fates {
        let Some(it) = queue.waiting.pop_front() else {
            break;
        };
        let verdict = match (fate, it.trace) {
            (Fate::Chosen | Fate::Later, _) => {
                rest.push_back(it);
                continue;
            }
            (Fate::Final(verdict), _) | (Fate::Doubtful(verdict), Trace::Clean) => verdict,
            // It is refused here, but a write that is still on its way may put it into the log.
            (Fate::Doubtful(_), Trace::Slot(_) | Trace::Elsewhere) => {
                Verdict::Unknown { id: it.id() }
            }
        };
        queue.bytes -= it.checked.len();
        it.answer(cx, &verdict);
    }
    rest.append(&mut queue.waiting);
    queue.waiting = rest;
}

fn commit(cx: &mut Context<'_>, queue: &mut Queue, entry: super::Entry) {
    let seq = entry.batch.seq;
    let before = match seq {
        Seq(1) => Check {
            key: HEAD_KEY.to_owned(),
            version: ABSENT,
        },
        Seq(it) => Check {
            key: log_key(Seq(it - 1)),
            version: WRITTEN,
        },
    };
    let absent = Check {
        key: log_key(seq),
        version: ABSENT,
    };
    let mut writes = vec![
        put(log_key(seq), rows::value(&entry)),
        put(HEAD_KEY.to_owned(), seq.0.to_le_bytes().to_vec()),
    ];
    writes.extend(entry.batch.changes.iter().map(service_write));
    let checks = vec![before, absent];
    // Raised first: the witnesses' messages are under way before the table can answer.
    cx.raise(Notice::Proposed { seq });
    let call = cx.table(TableOp::Commit { checks, writes });
    let batch = Arc::new(entry.batch);
    queue.stage = Stage::Committing { call, batch };
}

fn service_write(change: &Change) -> Write {
    let key = service_key(&change.service);
    match &change.edit {
        Edit::Put { text } => {
            let row = ServiceRow {
                revision: change.revision,
                author: change.author.clone(),
                text: text.clone(),
            };
            put(key, rows::value(&row))
        }
        Edit::Delete => Write::Delete { key },
    }
}

fn put(key: String, value: Vec<u8>) -> Write {
    Write::Put { key, value }
}

fn committed(cx: &mut Context<'_>, state: &mut State, batch: Arc<Batch>) {
    let seq = batch.seq;
    // Another node may have read the batch from the table and sent it here before the answer came.
    state.log.apply(batch);
    let queue = &mut state.accept.queue;
    queue.failures = 0;
    queue.why.clear();
    queue.committed = seq;
    cx.raise(Notice::Applied { seq });
    cx.raise(Notice::Accepted { seq });
    answer_accepted(cx, state);
}

/// Answers every submission that the log holds.
fn answer_accepted(cx: &mut Context<'_>, state: &mut State) {
    let State { accept, log, .. } = state;
    for it in accept.queue.take(|it| log.accepted(it.id()).is_some()) {
        let Some(seq) = log.accepted(it.id()) else {
            continue;
        };
        if matches!(it.trace, Trace::Slot(_)) {
            cx.raise(Notice::Accepted { seq });
        }
        it.answer(cx, &accepted(seq));
    }
}

fn failed(cx: &mut Context<'_>, queue: &mut Queue, fault: &Fault, least: u64) {
    queue.why = fault.to_string();
    queue.back_off(cx, least);
}

/// Refuses what was surely not written once the table counts as down.
///
/// A submission may be here for the second time, its first copy accepted through another node: the log is
/// read before it is told that nothing was changed, if the table lets itself be read.
fn give_up_if_down(cx: &mut Context<'_>, state: &mut State) {
    let queue = &state.accept.queue;
    if queue.failures < DOWN_FAILURES {
        return;
    }
    let unread = |it: &Waiting| it.trace == Trace::Clean && it.since > queue.read;
    match queue.waiting.iter().any(unread) {
        true => begin_read(cx, state),
        false => give_up(cx, &mut state.accept.queue),
    }
}

fn give_up(cx: &mut Context<'_>, queue: &mut Queue) {
    for it in queue.take(|it| it.trace == Trace::Clean) {
        let verdict = it.give_up(&queue.why);
        it.answer(cx, &verdict);
    }
}

/// The answer was lost, so the batch may be in the table.
///
/// The table keeps no list of writes under way: one that seems absent now may still arrive. So the
/// submissions stay marked until the log holds a batch at that position, theirs or another; a second
/// attempt at the position excludes the first.
fn lost(cx: &Context<'_>, queue: &mut Queue, batch: &Batch) {
    let ids: BTreeSet<SubmitId> = batch.changes.iter().map(|it| it.id).collect();
    for it in queue.waiting.iter_mut().filter(|it| ids.contains(&it.id())) {
        it.since = cx.now;
        if it.trace == Trace::Clean {
            it.trace = Trace::Slot(batch.seq);
        }
    }
}

/// The table will never take this transaction.
fn rejected(cx: &mut Context<'_>, queue: &mut Queue, batch: &Batch, fault: &Fault) {
    let ids: BTreeSet<SubmitId> = batch.changes.iter().map(|it| it.id).collect();
    for it in queue.take(|it| ids.contains(&it.id())) {
        let verdict = it.give_up(&fault.to_string());
        it.answer(cx, &verdict);
    }
}
