//! The committer: gathers submissions and writes them to the table, one transaction at a time.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    accept::{
        Origin, QUEUE_BYTES, QUEUE_MAX, Verdict, WINDOW_MAX, accepted,
        decide::{self, Checked, Decision, Draft},
        read_log,
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

/// Submissions that wait to be committed by this node, and the transaction in flight.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    bytes: usize,
    stage: Stage,
    /// Start time of the next transaction.
    due: Ms,
    /// Start time of the last completed read of the table's log.
    last_read: Ms,
    failures: u32,
    /// Reason of the last failure.
    why: String,
    /// Position of the last batch that this node committed.
    committed: Seq,
}

#[derive(Debug)]
struct Waiting {
    checked: Checked,
    origins: Vec<Origin>,
    /// Time of arrival, or at which the outcome of the last write was found to be unknown. Only a read of the log that
    /// started later shows what was committed before.
    since: Ms,
    deadline: Ms,
    prior_write: PriorWrite,
}

/// Whether and where a submission may already be in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorWrite {
    /// It was not written.
    None,
    /// It may be in the batch at this position, unless the log holds another one there.
    At(Seq),
    /// Another node may commit it.
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

/// Version of the rows of log entries, which are written once.
const WRITTEN: u64 = 1;

/// Number of consecutive failures after which waiting submissions are rejected.
///
/// The back-off until then (at most 1.6 s) is shorter than [`super::FORWARD_TIMEOUT`], so that a node that
/// forwarded a submission learns that it was not written before it has to report an unknown outcome.
const FAILURES_MAX: u32 = 5;

/// Initial and maximum back-off after a failure, in ms.
const BACKOFF: u64 = 25;
const BACKOFF_MAX: u64 = 2_000;

impl Queue {
    /// Adds `origin` to the receivers of the verdict on `id`. Returns whether the submission waits here.
    pub fn add_origin(&mut self, id: SubmitId, origin: Origin) -> bool {
        let Some(it) = self.waiting.iter_mut().find(|it| it.id() == id) else {
            return false;
        };
        if !it.origins.contains(&origin) {
            it.origins.push(origin);
        }
        true
    }

    /// Returns the number of waiting submissions.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the position of the last batch that this node committed.
    pub fn committed(&self) -> Seq {
        self.committed
    }

    /// Removes and returns the receivers of the verdict on `id`.
    pub fn take_origins(&mut self, id: SubmitId) -> Vec<Origin> {
        let found = self.waiting.iter_mut().find(|it| it.id() == id);
        found.map_or_else(Vec::new, |it| std::mem::take(&mut it.origins))
    }

    fn is_in_flight(&self, id: SubmitId) -> bool {
        match &self.stage {
            Stage::Committing { batch, .. } => batch.changes.iter().any(|it| it.id == id),
            Stage::Idle | Stage::Reading | Stage::Backoff(_) => false,
        }
    }

    /// Removes and returns the submissions that `wanted` accepts.
    fn remove_where(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let all = std::mem::take(&mut self.waiting);
        let (out, rest): (Vec<Waiting>, Vec<Waiting>) = all.into_iter().partition(|it| wanted(it));
        self.bytes -= out.iter().map(|it| it.checked.len()).sum::<usize>();
        self.waiting = rest.into();
        out
    }

    /// Delays the next attempt by at least `least` ms. Full jitter keeps committers from conflicting again.
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

    /// Returns the verdict on a submission that is given up.
    fn fallback_verdict(&self, why: &str) -> Verdict {
        match self.prior_write {
            PriorWrite::None => Verdict::Unavailable {
                why: why.to_owned(),
            },
            PriorWrite::At(_) | PriorWrite::Elsewhere => Verdict::Unknown { id: self.id() },
        }
    }
}

/// Adds a submission to the queue of this node, or rejects it if the queue is full.
pub(super) fn enqueue(
    cx: &mut Context<'_>,
    state: &mut State,
    checked: Checked,
    origins: Vec<Origin>,
    prior_write: PriorWrite,
    deadline: Ms,
) {
    let queue = &mut state.accept.queue;
    let waiting = Waiting {
        checked,
        origins,
        since: cx.now,
        deadline,
        prior_write,
    };
    let bytes = queue.bytes + waiting.checked.len();
    if queue.len() >= QUEUE_MAX || bytes > QUEUE_BYTES {
        let count = queue.len();
        let why = format!("{count} submissions already wait on this node; submit again later");
        let verdict = waiting.fallback_verdict(&why);
        return waiting.answer(cx, &verdict);
    }
    if queue.waiting.is_empty() {
        queue.due = cx.now + cx.settings.accept.window.min(WINDOW_MAX);
    }
    queue.bytes = bytes;
    queue.waiting.push_back(waiting);
}

/// Starts the next transaction or read of the log if it is due.
pub(super) fn start_due(cx: &mut Context<'_>, state: &mut State) {
    let queue = &mut state.accept.queue;
    if matches!(queue.stage, Stage::Backoff(until) if until <= cx.now) {
        queue.stage = Stage::Idle;
    }
    if !matches!(queue.stage, Stage::Idle) || queue.waiting.is_empty() || queue.due > cx.now {
        return;
    }
    let needs_read =
        |it: &Waiting| it.prior_write != PriorWrite::None && it.since > queue.last_read;
    if queue.waiting.iter().any(needs_read) {
        return start_read(cx, state);
    }
    try_commit(cx, state);
}

/// Answers the submissions whose deadline has passed.
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
        .filter(|id| queue.is_in_flight(**id))
        .copied()
        .collect::<Vec<_>>()
    {
        for origin in queue.take_origins(id) {
            origin.answer(cx, id, Verdict::Unknown { id });
        }
    }
    let in_flight: BTreeSet<SubmitId> = late
        .iter()
        .filter(|it| queue.is_in_flight(**it))
        .copied()
        .collect();
    let expired = queue.remove_where(|it| late.contains(&it.id()) && !in_flight.contains(&it.id()));
    let why = match queue.why.is_empty() {
        true => "the submission was not committed in time; submit it again".to_owned(),
        false => queue.why.clone(),
    };
    for it in expired {
        let verdict = it.fallback_verdict(&why);
        it.answer(cx, &verdict);
    }
}

/// Handles an answer of the table; `call` may belong to another operation.
pub(super) fn handle_table_answer(
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
        TableAnswer::Committed => handle_committed(cx, state, batch),
        TableAnswer::Conflict(_) => {
            queue.why = "other committers wrote to the log first; submit again".to_owned();
            queue.failures += 1;
            start_read(cx, state);
        }
        TableAnswer::Failed(Fault::Unavailable) => {
            record_failure(cx, queue, &Fault::Unavailable, 0);
            reject_if_down(cx, state);
        }
        TableAnswer::Failed(fault @ Fault::Throttled { after }) => {
            record_failure(cx, queue, fault, *after)
        }
        TableAnswer::Failed(fault @ Fault::Invalid(_)) => reject_batch(cx, queue, &batch, fault),
        TableAnswer::Failed(Fault::Unknown) | TableAnswer::Rows(_) => {
            mark_uncertain(cx, queue, &batch);
            record_failure(cx, queue, &Fault::Unknown, 0);
        }
    }
}

/// Handles a completed read of the table's log.
pub(super) fn handle_log_read(cx: &mut Context<'_>, state: &mut State) {
    answer_accepted(cx, state);
    let held = state.log.seq();
    let queue = &mut state.accept.queue;
    queue.last_read = state.accept.reader.started_at();
    for it in &mut queue.waiting {
        // The log holds another batch at that position, so the earlier write had no effect.
        if matches!(it.prior_write, PriorWrite::At(seq) if seq <= held) {
            it.prior_write = PriorWrite::None;
        }
    }
    if matches!(queue.stage, Stage::Reading) {
        queue.stage = Stage::Idle;
        if queue.failures > 0 {
            queue.back_off(cx, 0);
        }
    }
}

/// Handles a failed read of the table's log.
pub(super) fn handle_read_failure(cx: &mut Context<'_>, state: &mut State) {
    let queue = &mut state.accept.queue;
    if !matches!(queue.stage, Stage::Reading) {
        return;
    }
    record_failure(cx, queue, &Fault::Unavailable, 0);
    if queue.failures >= FAILURES_MAX {
        reject_unwritten(cx, queue);
    }
}

fn start_read(cx: &mut Context<'_>, state: &mut State) {
    state.accept.queue.stage = Stage::Reading;
    read_log(cx, state);
}

fn try_commit(cx: &mut Context<'_>, state: &mut State) {
    while !state.accept.queue.waiting.is_empty() {
        let count = move_selected_first(state);
        let queue = &state.accept.queue;
        let waiting = queue.waiting.iter().map(|it| &it.checked).take(count);
        let waiting: Vec<&Checked> = waiting.collect();
        let draft = decide::draft(&state.log, &waiting, cx.now);
        let decisions = queue.waiting.iter().zip(&draft.decisions);
        let needs_read = |(it, decision): (&Waiting, &Decision)| {
            matches!(decision, Decision::Provisional(_)) && it.since > queue.last_read
        };
        // Another committer may have changed what the refusal is based on; read the log first.
        if decisions.into_iter().any(needs_read) {
            return start_read(cx, state);
        }
        let Draft { entry, decisions } = draft;
        answer_decided(cx, &mut state.accept.queue, decisions);
        if !entry.batch.changes.is_empty() {
            return start_commit(cx, &mut state.accept.queue, entry);
        }
    }
}

/// Moves the submissions for the next transaction to the front, in order, and returns their number.
fn move_selected_first(state: &mut State) -> usize {
    let queue = &mut state.accept.queue;
    let waiting: Vec<&Checked> = queue.waiting.iter().map(|it| &it.checked).collect();
    let selected = decide::select_next(&state.log, &waiting);
    let all = std::mem::take(&mut queue.waiting).into_iter().enumerate();
    let (front, rest): (Vec<_>, Vec<_>) = all.partition(|it| selected.contains(&it.0));
    queue.waiting = front.into_iter().chain(rest).map(|it| it.1).collect();
    selected.len()
}

/// Answers those of the first `decisions.len()` submissions that have a verdict.
fn answer_decided(cx: &mut Context<'_>, queue: &mut Queue, decisions: Vec<Decision>) {
    let mut rest = VecDeque::new();
    for decision in decisions {
        let Some(it) = queue.waiting.pop_front() else {
            break;
        };
        let verdict = match (decision, it.prior_write) {
            (Decision::Chosen | Decision::Later, _) => {
                rest.push_back(it);
                continue;
            }
            (Decision::Final(verdict), _) | (Decision::Provisional(verdict), PriorWrite::None) => {
                verdict
            }
            // The submission is refused, but an earlier write may still put it into the log.
            (Decision::Provisional(_), PriorWrite::At(_) | PriorWrite::Elsewhere) => {
                Verdict::Unknown { id: it.id() }
            }
        };
        queue.bytes -= it.checked.len();
        it.answer(cx, &verdict);
    }
    rest.append(&mut queue.waiting);
    queue.waiting = rest;
}

fn start_commit(cx: &mut Context<'_>, queue: &mut Queue, entry: super::Entry) {
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
        put_write(log_key(seq), rows::value(&entry)),
        put_write(HEAD_KEY.to_owned(), seq.0.to_le_bytes().to_vec()),
    ];
    writes.extend(entry.batch.changes.iter().map(service_write));
    let checks = vec![before, absent];
    // Raised before the write, so that other nodes learn of the position before the table can answer.
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
            put_write(key, rows::value(&row))
        }
        Edit::Delete => Write::Delete { key },
    }
}

fn put_write(key: String, value: Vec<u8>) -> Write {
    Write::Put { key, value }
}

fn handle_committed(cx: &mut Context<'_>, state: &mut State, batch: Arc<Batch>) {
    let seq = batch.seq;
    // No effect if another node has already read the batch from the table and sent it here.
    state.log.apply(batch);
    let queue = &mut state.accept.queue;
    queue.failures = 0;
    queue.why.clear();
    queue.committed = seq;
    cx.raise(Notice::Applied { seq });
    cx.raise(Notice::Accepted { seq });
    answer_accepted(cx, state);
}

/// Answers every waiting submission that the log holds.
fn answer_accepted(cx: &mut Context<'_>, state: &mut State) {
    let State { accept, log, .. } = state;
    for it in accept
        .queue
        .remove_where(|it| log.accepted_at(it.id()).is_some())
    {
        let Some(seq) = log.accepted_at(it.id()) else {
            continue;
        };
        if matches!(it.prior_write, PriorWrite::At(_)) {
            cx.raise(Notice::Accepted { seq });
        }
        it.answer(cx, &accepted(seq));
    }
}

fn record_failure(cx: &mut Context<'_>, queue: &mut Queue, fault: &Fault, least: u64) {
    queue.why = fault.to_string();
    queue.back_off(cx, least);
}

/// Rejects the submissions that were not written if the table failed too often.
///
/// An earlier copy of a submission may have been accepted through another node, so the log is read first.
fn reject_if_down(cx: &mut Context<'_>, state: &mut State) {
    let queue = &state.accept.queue;
    if queue.failures < FAILURES_MAX {
        return;
    }
    let needs_read =
        |it: &Waiting| it.prior_write == PriorWrite::None && it.since > queue.last_read;
    match queue.waiting.iter().any(needs_read) {
        true => start_read(cx, state),
        false => reject_unwritten(cx, &mut state.accept.queue),
    }
}

fn reject_unwritten(cx: &mut Context<'_>, queue: &mut Queue) {
    for it in queue.remove_where(|it| it.prior_write == PriorWrite::None) {
        let verdict = it.fallback_verdict(&queue.why);
        it.answer(cx, &verdict);
    }
}

/// Marks the submissions of a batch whose write has an unknown outcome.
///
/// The write may still take effect later, so they stay marked until the log holds a batch at that position.
fn mark_uncertain(cx: &Context<'_>, queue: &mut Queue, batch: &Batch) {
    let ids: BTreeSet<SubmitId> = batch.changes.iter().map(|it| it.id).collect();
    for it in queue.waiting.iter_mut().filter(|it| ids.contains(&it.id())) {
        it.since = cx.now;
        if it.prior_write == PriorWrite::None {
            it.prior_write = PriorWrite::At(batch.seq);
        }
    }
}

/// Answers the submissions of a transaction that the table refuses permanently.
fn reject_batch(cx: &mut Context<'_>, queue: &mut Queue, batch: &Batch, fault: &Fault) {
    let ids: BTreeSet<SubmitId> = batch.changes.iter().map(|it| it.id).collect();
    for it in queue.remove_where(|it| ids.contains(&it.id())) {
        let verdict = it.fallback_verdict(&fault.to_string());
        it.answer(cx, &verdict);
    }
}
