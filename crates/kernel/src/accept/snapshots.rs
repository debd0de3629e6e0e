//! Writing snapshots of the configuration to the object store.

use crate::{
    accept::rows::{self, SNAPSHOT_KEY, SnapshotRow},
    clock::Ms,
    id::{CallId, Seq},
    kernel::{Context, State},
    platform::{ABSENT, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write},
};

/// A snapshot on its way into the object store.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    stage: Stage,
    /// The newest snapshot known.
    newest: Seq,
    /// No attempt before this.
    retry: Ms,
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
    /// The object that nobody needs any more once the row is replaced.
    unused: Option<String>,
}

/// Batches from one snapshot to the next.
pub const SNAPSHOT_EVERY: u64 = 32;

const RETRY: u64 = 10_000;

/// Begins a snapshot if this node committed far enough past the newest one.
pub(super) fn begin(cx: &mut Context<'_>, state: &mut State) {
    let committed = state.accept.queue.committed();
    let it = &mut state.accept.snapshots;
    let due = committed.0 >= it.newest.0 + SNAPSHOT_EVERY && it.retry <= cx.now;
    if due && matches!(it.stage, Stage::Idle) {
        let keys = vec![SNAPSHOT_KEY.to_owned()];
        it.stage = Stage::Row(cx.table(TableOp::Get { keys }));
    }
}

/// The table answered; `call` may be anybody's.
pub(super) fn table(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &TableAnswer) {
    match std::mem::take(&mut state.accept.snapshots.stage) {
        Stage::Row(own) if own == call => row(cx, state, answer),
        Stage::Commit(own, plan) if own == call => committed(cx, state, plan, answer),
        other => state.accept.snapshots.stage = other,
    }
}

/// The object store answered; `call` may be anybody's.
pub(super) fn object(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &ObjectAnswer) {
    match std::mem::take(&mut state.accept.snapshots.stage) {
        Stage::Object(own, plan) if own == call => stored(cx, state, plan, answer),
        other => state.accept.snapshots.stage = other,
    }
}

fn row(cx: &mut Context<'_>, state: &mut State, answer: &TableAnswer) {
    let TableAnswer::Rows(found) = answer else {
        return later(cx, state);
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

fn stored(cx: &mut Context<'_>, state: &mut State, plan: Plan, answer: &ObjectAnswer) {
    if *answer != ObjectAnswer::Done {
        return later(cx, state);
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

fn committed(cx: &mut Context<'_>, state: &mut State, plan: Plan, answer: &TableAnswer) {
    match answer {
        TableAnswer::Committed => {
            state.accept.snapshots.newest = plan.row.seq;
            remove(cx, plan.unused);
        }
        TableAnswer::Conflict(found) => {
            if !found.iter().any(|it| names(it, &plan.row.object)) {
                remove(cx, Some(plan.row.object));
            }
            later(cx, state);
        }
        TableAnswer::Failed(Fault::Unavailable | Fault::Throttled { .. } | Fault::Invalid(_)) => {
            remove(cx, Some(plan.row.object));
            later(cx, state);
        }
        // The row may name the object: it has to stay. At worst one object a lost answer is left over.
        TableAnswer::Failed(Fault::Unknown) | TableAnswer::Rows(_) => later(cx, state),
    }
}

/// Whether the row names `object`, which two committers at one position name alike.
fn names(row: &Row, object: &str) -> bool {
    rows::read_snapshot(row)
        .is_ok_and(|it| it.object == object || it.older.as_deref() == Some(object))
}

fn remove(cx: &mut Context<'_>, object: Option<String>) {
    if let Some(name) = object {
        cx.object(ObjectOp::Delete { name });
    }
}

fn later(cx: &mut Context<'_>, state: &mut State) {
    state.accept.snapshots.retry = cx.now + RETRY;
}
