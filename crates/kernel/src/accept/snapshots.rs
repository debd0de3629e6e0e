//! Writes snapshots of the configuration to the object store.

use crate::{
    accept::rows::{self, SNAPSHOT_KEY, SnapshotRow},
    clock::Ms,
    id::{CallId, Seq},
    kernel::{Context, State},
    platform::{ABSENT, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write},
};

/// State of the snapshot that is being written.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    stage: Stage,
    /// Position of the newest known snapshot.
    newest: Seq,
    /// Earliest time of the next attempt.
    next_attempt: Ms,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    Row(CallId),
    Object(CallId, Plan),
    Commit(CallId, Plan),
}

#[derive(Clone, Debug)]
struct Plan {
    row: SnapshotRow,
    /// Version of the row that it replaces.
    version: u64,
    /// Object to delete once the row is replaced.
    unused: Option<String>,
}

/// Number of batches between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 32;

/// Time until a retry, in ms.
const RETRY: u64 = 10_000;

/// Starts a snapshot if the last batch that this node committed is [`SNAPSHOT_EVERY`] positions after the newest one.
pub(super) fn start_if_due(cx: &mut Context<'_>, state: &mut State) {
    let committed = state.accept.queue.committed();
    let it = &mut state.accept.snapshots;
    let due = committed.0 >= it.newest.0 + SNAPSHOT_EVERY && it.next_attempt <= cx.now;
    if due && matches!(it.stage, Stage::Idle) {
        let keys = vec![SNAPSHOT_KEY.to_owned()];
        it.stage = Stage::Row(cx.table(TableOp::Get { keys }));
    }
}

/// Handles an answer of the table; `call` may belong to another operation.
pub(super) fn handle_table_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    match std::mem::take(&mut state.accept.snapshots.stage) {
        Stage::Row(own) if own == call => handle_row(cx, state, answer),
        Stage::Commit(own, plan) if own == call => handle_committed(cx, state, plan, answer),
        other => state.accept.snapshots.stage = other,
    }
}

/// Handles an answer of the object store; `call` may belong to another operation.
pub(super) fn handle_object_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &ObjectAnswer,
) {
    match std::mem::take(&mut state.accept.snapshots.stage) {
        Stage::Object(own, plan) if own == call => handle_stored(cx, state, plan, answer),
        other => state.accept.snapshots.stage = other,
    }
}

fn handle_row(cx: &mut Context<'_>, state: &mut State, answer: &TableAnswer) {
    let TableAnswer::Rows(found) = answer else {
        return schedule_retry(cx, state);
    };
    let (version, old) = match found.first() {
        Some(row) => (row.version, rows::read_snapshot(row).ok()),
        None => (ABSENT, None),
    };
    let it = &mut state.accept.snapshots;
    it.newest = old.as_ref().map_or(it.newest, |it| it.seq);
    if state.log.seq().0 < it.newest.0 + SNAPSHOT_EVERY {
        return;
    }
    let snapshot = state.log.snapshot();
    let name = format!("snapshot/{:016x}-{:016x}", snapshot.seq.0, snapshot.digest);
    let (older, unused) = old.map_or((None, None), |it| (Some(it.object), it.older));
    let plan = Plan {
        row: SnapshotRow {
            seq: snapshot.seq,
            object: name.clone(),
            older,
        },
        version,
        unused,
    };
    let bytes = snapshot.encode();
    it.stage = Stage::Object(cx.object(ObjectOp::Put { name, bytes }), plan);
}

fn handle_stored(cx: &mut Context<'_>, state: &mut State, plan: Plan, answer: &ObjectAnswer) {
    if *answer != ObjectAnswer::Done {
        return schedule_retry(cx, state);
    }
    let key = SNAPSHOT_KEY.to_owned();
    let check = Check {
        key: key.clone(),
        version: plan.version,
    };
    let value = rows::value(&plan.row);
    let call = cx.table(TableOp::Commit {
        checks: vec![check],
        writes: vec![Write::Put { key, value }],
    });
    state.accept.snapshots.stage = Stage::Commit(call, plan);
}

fn handle_committed(cx: &mut Context<'_>, state: &mut State, plan: Plan, answer: &TableAnswer) {
    match answer {
        TableAnswer::Committed => {
            state.accept.snapshots.newest = plan.row.seq;
            delete_object(cx, plan.unused);
        }
        TableAnswer::Conflict(found) => {
            if !found.iter().any(|it| names_object(it, &plan.row.object)) {
                delete_object(cx, Some(plan.row.object));
            }
            schedule_retry(cx, state);
        }
        TableAnswer::Failed(Fault::Unavailable | Fault::Throttled { .. } | Fault::Invalid(_)) => {
            delete_object(cx, Some(plan.row.object));
            schedule_retry(cx, state);
        }
        // The row may name the object, so it must stay; at worst it is left over.
        TableAnswer::Failed(Fault::Unknown) | TableAnswer::Rows(_) => schedule_retry(cx, state),
    }
}

/// Returns whether the row names `object`. Two committers at one position use the same name.
fn names_object(row: &Row, object: &str) -> bool {
    rows::read_snapshot(row)
        .is_ok_and(|it| it.object == object || it.older.as_deref() == Some(object))
}

fn delete_object(cx: &mut Context<'_>, object: Option<String>) {
    if let Some(name) = object {
        cx.object(ObjectOp::Delete { name });
    }
}

fn schedule_retry(cx: &mut Context<'_>, state: &mut State) {
    state.accept.snapshots.next_attempt = cx.now + RETRY;
}
