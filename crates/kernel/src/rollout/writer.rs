//! Writes the stages of a roll-out to the service's row in the table.
//!
//! All nodes see when a stage is due. The first node of a common order writes it; the others follow one after the other
//! if it does not. The write is conditional on the row, so two nodes never write two ends.

use super::{Census, Known, Rollout, Stage, changed, may_decide, next_stage};
use crate::{
    clock::Ms,
    id::{CallId, Name, NodeId},
    kernel::{Context, State},
    platform::{ABSENT, Check, Fault, Row, TableAnswer, TableOp, Write},
    utils::rendezvous,
};

/// Prefix of the keys of these rows, followed by the service.
pub const ROW_PREFIX: &str = "rollout/";
/// How much later each further node writes a stage that is due, in ms: longer than a read and a write take.
const STEP_MS: u64 = 500;
/// Number of nodes that may write a stage.
const WRITERS: usize = 6;
/// Interval at which a node looks whether the row lacks the stage while no other is due, in ms.
const CHECK_MS: u64 = 500;
/// Pause after a failed operation, in ms.
const RETRY_MS: u64 = 250;

/// Returns the key of the row of `service`.
pub fn row_key(service: &Name) -> String {
    format!("{ROW_PREFIX}{service}")
}

/// State of the writes of one roll-out.
#[derive(Debug, Default)]
pub(super) struct Writer {
    row: RowState,
    call: Option<(CallId, Operation)>,
    /// Stage that is due, and since when.
    due: Option<(Stage, Ms)>,
    /// When this node last looked whether the row lacks the stage.
    checked: Ms,
    retry: Ms,
}

/// What this node knows of the row.
#[derive(Debug, Default)]
enum RowState {
    #[default]
    Unknown,
    /// As read.
    Read {
        version: u64,
        rollout: Option<Rollout>,
    },
    /// As written by this node; its version is not known.
    Written(Rollout),
}

#[derive(Debug)]
enum Operation {
    Read,
    Write(Rollout),
}

impl Writer {
    /// Reads the row again before the next write, since the table may hold an older copy.
    pub(super) fn forget_row(&mut self) {
        self.row = RowState::Unknown;
    }
}

impl Rollout {
    /// Decodes the value of a row.
    pub fn decode(bytes: &[u8]) -> Result<Rollout, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Encodes the value of a row.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a roll-out encodes")
    }

    /// Returns whether this is at least as far as `other`.
    fn covers(&self, other: &Rollout) -> bool {
        (self.order.id, self.stage) >= (other.order.id, other.stage)
    }
}

/// Starts the next operation on the row of `service` if one is due.
pub(super) fn step(cx: &mut Context<'_>, state: &mut State, service: &Name) {
    let Some(known) = state.rollouts.known.get_mut(service) else {
        return;
    };
    let due = match known.rollout.stage.is_final() {
        true => None,
        false => {
            let census = Census::of(&known.rollout, state.members.alive_with_reach());
            let elapsed = cx.now.since(known.ordered);
            next_stage(&known.rollout, elapsed, cx.now.since(known.entered), census)
        }
    };
    let writer = &mut known.writer;
    writer.due = match (due, writer.due) {
        (Some(stage), Some((before, since))) if stage == before => Some((stage, since)),
        (Some(stage), _) => Some((stage, cx.now)),
        (None, _) => None,
    };
    let is_early = writer.due.is_none() && cx.now.since(writer.checked) < CHECK_MS;
    if writer.call.is_some() || cx.now < writer.retry || is_early {
        return;
    }
    writer.checked = cx.now;
    let may_decide = may_decide(cx, state);
    let Some(place) = place(cx, state, service) else {
        return;
    };
    let Some(known) = state.rollouts.known.get_mut(service) else {
        return;
    };
    let writer = &mut known.writer;
    let is_turn = match writer.due {
        Some((_, since)) => may_decide && cx.now.since(since) >= place as u64 * STEP_MS,
        // The order itself, or a row that was lost.
        None => place == 0,
    };
    if !is_turn {
        return;
    }
    let wanted = Rollout {
        stage: due.unwrap_or(known.rollout.stage),
        ..known.rollout.clone()
    };
    let key = row_key(service);
    match &writer.row {
        RowState::Written(it) if it.covers(&wanted) => {}
        RowState::Read {
            rollout: Some(it), ..
        } if it.covers(&wanted) => {}
        RowState::Unknown | RowState::Written(_) => {
            let call = cx.table(TableOp::Get { keys: vec![key] });
            writer.call = Some((call, Operation::Read));
        }
        RowState::Read { version, .. } => {
            let call = cx.table(TableOp::Commit {
                checks: vec![Check {
                    key: key.clone(),
                    version: *version,
                }],
                writes: vec![Write::Put {
                    key,
                    value: wanted.encode(),
                }],
            });
            writer.call = Some((call, Operation::Write(wanted)));
        }
    }
}

/// Returns this node's place among those that write for `service`.
fn place(cx: &Context<'_>, state: &State, service: &Name) -> Option<usize> {
    if !state.import.ready() {
        return None;
    }
    let writers = writers(state, service);
    writers.iter().position(|it| *it == cx.settings.node)
}

/// Returns the nodes that write the stages of `service`, in order.
pub(super) fn writers(state: &State, service: &Name) -> Vec<NodeId> {
    let ready = state.members.ready().map(|it| it.id);
    let mut order = rendezvous(&row_key(service), ready);
    order.truncate(WRITERS);
    order
}

/// Handles an answer of the table. Ignores answers to calls of other modules.
pub(super) fn handle_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    let is_own = |it: &Known| matches!(&it.writer.call, Some((own, _)) if *own == call);
    let found = state.rollouts.known.iter_mut().find(|(_, it)| is_own(it));
    let Some((service, known)) = found else {
        return;
    };
    let service = service.clone();
    let Some((_, operation)) = known.writer.call.take() else {
        return;
    };
    match (operation, answer) {
        (Operation::Read, TableAnswer::Rows(rows)) | (_, TableAnswer::Conflict(rows)) => {
            handle_row(cx, state, &service, rows);
        }
        (Operation::Write(rollout), TableAnswer::Committed) => {
            known.writer.row = RowState::Written(rollout.clone());
            enter(cx, state, &service, rollout.stage);
        }
        (_, TableAnswer::Failed(fault)) => {
            let pause = match fault {
                Fault::Throttled { after } => *after,
                _ => RETRY_MS,
            };
            known.writer.row = RowState::Unknown;
            known.writer.retry = cx.now + pause;
            let pairs = vec![("service", service.to_string()), ("why", fault.to_string())];
            cx.log("rollout-unwritten", pairs);
        }
        (_, TableAnswer::Rows(_) | TableAnswer::Committed) => known.writer.forget_row(),
    }
}

/// Takes over what the row holds.
fn handle_row(cx: &mut Context<'_>, state: &mut State, service: &Name, rows: &[Row]) {
    let Some(known) = state.rollouts.known.get_mut(service) else {
        return;
    };
    let key = row_key(service);
    let Some(row) = rows.iter().find(|it| it.key == key) else {
        known.writer.row = RowState::Read {
            version: ABSENT,
            rollout: None,
        };
        return;
    };
    match Rollout::decode(&row.value) {
        Ok(rollout) => {
            known.writer.row = RowState::Read {
                version: row.version,
                rollout: Some(rollout.clone()),
            };
            let own = &known.rollout.order;
            if rollout.order.id == own.id || rollout.order.repeats(own) {
                enter(cx, state, service, rollout.stage);
            }
        }
        Err(error) => {
            known.writer.row = RowState::Read {
                version: row.version,
                rollout: None,
            };
            let pairs = vec![("row", key), ("error", error.to_string())];
            cx.log("rollout-damaged", pairs);
        }
    }
}

/// Enters a stage that the table holds. What it holds as the end replaces what peers say.
fn enter(cx: &mut Context<'_>, state: &mut State, service: &Name, stage: Stage) {
    let Some(known) = state.rollouts.known.get_mut(service) else {
        return;
    };
    let differs = stage.is_final() && stage != known.rollout.stage;
    if stage <= known.rollout.stage && !differs {
        return;
    }
    known.rollout.stage = stage;
    known.entered = cx.now;
    changed(cx, state, service);
}
