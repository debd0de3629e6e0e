//! Acceptance: commits submissions as batches of the log in the platform's table.
//!
//! Rows: `head` holds the last [`Seq`], `log/<seq>` an [`Entry`], `service/<name>` the newest document and
//! `snapshot` the name of the newest snapshot. One transaction writes a whole batch, on the condition that
//! `log/<seq>` is absent and the entry before it exists. All writers of rows but `snapshot` check this condition, so
//! a committer has read and decided on everything before its position.

mod audit;
mod commit;
mod decide;
mod forward;
pub mod rows;
mod snapshots;

use serde::{Deserialize, Serialize};

use crate::{
    event::{self, Event},
    id::{Name, NodeId, Revision, Seq, SubmitId, Token},
    kernel::{Context, Plugin, Scope, State},
    log::{Batch, Edit, Progress, Recovery},
    platform::COMMIT_MAX,
};

use self::{audit::Audits, commit::Queue, forward::Forwards, snapshots::Snapshots};

pub use self::rows::{HEAD_KEY, log_key, service_key};

inventory::submit! { Plugin { name: "accept", order: 20, scope: Scope::Submitted, handle } }

/// A change submitted by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the submitter; the same id is never applied twice.
    pub id: SubmitId,
    /// The service to change.
    pub service: Name,
    /// The revision that the submitter read last; zero for a new service.
    pub base: Revision,
    /// The change itself.
    pub edit: Edit,
    /// Who submits it.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The submission is part of the log for good.
    Accepted { seq: Seq, revision: Revision },
    /// Another submission changed the service first; nothing was changed.
    Conflict {
        revision: Revision,
        author: String,
        diff: String,
    },
    /// The submission is not valid; nothing was changed.
    Refused { why: String },
    /// The submission could not be committed; nothing was changed.
    Unavailable { why: String },
    /// The submission may or may not be accepted; query its outcome by id.
    Unknown { id: SubmitId },
    /// Answers [`Call::Outcome`]: none of the last [`crate::log::IDS_MAX`] accepted submissions has this id.
    /// Submitting again under the same id is safe.
    Absent { id: SubmitId },
}

/// A call from an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Submits a change.
    Submit(Submission),
    /// Queries the outcome of submission `id`.
    Outcome { id: SubmitId },
    /// Reads at most `limit` entries of the log after `after`, oldest first.
    Audit {
        /// Restricts the result to changes of this service.
        service: Option<Name>,
        after: Seq,
        limit: u32,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answers [`Call::Submit`] and [`Call::Outcome`].
    Verdict(Verdict),
    /// Answers [`Call::Audit`].
    Audit(Page),
    /// Answers [`Call::Audit`]: the log could not be read.
    Unavailable { why: String },
}

/// One entry of the log as stored in the table: who changed what, when, why and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The changes of one transaction.
    pub batch: Batch,
    /// Unified diff of each change against the document it replaced, in order.
    pub diffs: Vec<String>,
}

/// One page of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Entries, oldest first.
    pub entries: Vec<Entry>,
    /// Position to continue after; `None` at the end of the log.
    pub next: Option<Seq>,
}

/// Messages between a node that received a submission and the committer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests that the committer commits this submission.
    Forward {
        submission: Submission,
        /// Identifies this message: the same in a duplicate, different if the submission is sent again.
        attempt: u64,
    },
    /// Reports the outcome of a forwarded submission.
    Verdict { id: SubmitId, verdict: Verdict },
}

/// Maximum number of changes in one transaction. Each writes one row, next to two checks, `head` and the entry.
pub const CHANGES_MAX: usize = COMMIT_MAX - 4;

/// Maximum size of a batch in bytes; it must fit into one link frame. Diffs are stored only in the table.
pub const BATCH_MAX: usize = 56 * 1024;

/// Maximum size of a diff in the log, in bytes. A longer one is omitted; the log holds both texts.
pub const DIFF_MAX: usize = 64 * 1024;

/// Maximum size of a diff in a verdict, in bytes; the verdict must fit into one link frame.
pub const VERDICT_DIFF_MAX: usize = 32 * 1024;

/// Maximum length of an author's name, in bytes.
pub const AUTHOR_MAX: usize = 128;

/// Maximum length of a reason, in bytes.
pub const REASON_MAX: usize = 2048;

/// Maximum number of submissions that wait on one node.
pub const QUEUE_MAX: usize = 4096;

/// Maximum size of all submissions that wait on one node, in bytes.
pub const QUEUE_BYTES: usize = 8 << 20;

/// Maximum time for which a committer gathers submissions, in ms. Longer windows in the settings are cut to it,
/// so that forwarded submissions do not time out.
pub const WINDOW_MAX: u64 = 500;

/// Timeout of a submission, in ms.
pub const VERDICT_TIMEOUT: u64 = 6_000;

/// Timeout of a submission that was forwarded to another node, in ms.
pub const FORWARD_TIMEOUT: u64 = 2_000;

/// State of the plug-in: submissions that are not committed yet, audits and snapshots.
#[derive(Debug, Default)]
pub struct Accept {
    queue: Queue,
    forwards: Forwards,
    reader: Recovery,
    outcome_queries: Vec<(SubmitId, Origin)>,
    audits: Audits,
    snapshots: Snapshots,
}

impl Accept {
    /// Returns the number of submissions that wait to be committed by this node.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}

/// Receiver of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Call(Token),
    Node(NodeId),
}

impl Origin {
    fn answer(self, cx: &mut Context<'_>, id: SubmitId, verdict: Verdict) {
        match self {
            Origin::Call(token) => {
                cx.reply(token, event::Reply::Accept(Reply::Verdict(verdict)));
            }
            Origin::Node(to) => {
                cx.send(to, event::Message::Accept(Message::Verdict { id, verdict }));
            }
        }
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: event::Call::Accept(call),
        } => handle_call(cx, state, *token, call),
        Event::Message {
            from,
            message: event::Message::Accept(message),
        } => forward::handle_message(cx, state, *from, message),
        Event::Tick => {
            forward::expire(cx, state);
            commit::expire(cx, state);
            snapshots::start_if_due(cx, state);
        }
        Event::Table { call, answer } => {
            commit::handle_table_answer(cx, state, *call, answer);
            audit::handle_table_answer(cx, state, *call, answer);
            snapshots::handle_table_answer(cx, state, *call, answer);
        }
        Event::Object { call, answer } => snapshots::handle_object_answer(cx, state, *call, answer),
        _ => return,
    }
    match state.accept.reader.handle_answer(cx, &mut state.log, event) {
        Progress::Done => handle_log_read(cx, state),
        Progress::Failed => handle_read_failure(cx, state),
        Progress::Unrelated | Progress::Busy => {}
    }
    commit::start_due(cx, state);
}

fn handle_call(cx: &mut Context<'_>, state: &mut State, token: Token, call: &Call) {
    let origin = Origin::Call(token);
    match call {
        Call::Submit(submission) => forward::submit(cx, state, origin, submission),
        Call::Outcome { id } => query_outcome(cx, state, origin, *id),
        Call::Audit {
            service,
            after,
            limit,
        } => audit::start(cx, state, token, service.clone(), *after, *limit),
    }
}

/// Answers [`Call::Outcome`] from this node's state or, if that is not enough, from the table's log.
fn query_outcome(cx: &mut Context<'_>, state: &mut State, origin: Origin, id: SubmitId) {
    if let Some(seq) = state.log.accepted_at(id) {
        return origin.answer(cx, id, accepted(seq));
    }
    if state.accept.queue.add_origin(id, origin) || state.accept.forwards.add_origin(id, origin) {
        return;
    }
    state.accept.outcome_queries.push((id, origin));
    read_log(cx, state);
}

/// Reads the entries of the table's log that this node lacks.
fn read_log(cx: &mut Context<'_>, state: &mut State) {
    let State { accept, log, .. } = state;
    match log.seq() {
        Seq(0) => accept.reader.start(cx),
        _ => accept.reader.start_tail(cx, log),
    }
}

fn handle_log_read(cx: &mut Context<'_>, state: &mut State) {
    for (id, origin) in std::mem::take(&mut state.accept.outcome_queries) {
        let verdict = state
            .log
            .accepted_at(id)
            .map_or(Verdict::Absent { id }, accepted);
        origin.answer(cx, id, verdict);
    }
    commit::handle_log_read(cx, state);
}

fn handle_read_failure(cx: &mut Context<'_>, state: &mut State) {
    for (id, origin) in std::mem::take(&mut state.accept.outcome_queries) {
        origin.answer(cx, id, Verdict::Unknown { id });
    }
    commit::handle_read_failure(cx, state);
}

fn accepted(seq: Seq) -> Verdict {
    let revision = Revision(seq.0);
    Verdict::Accepted { seq, revision }
}

/// Returns the node that currently commits for a region, if any member is ready.
pub fn committer(state: &State, region: &Name) -> Option<NodeId> {
    let ready = state.members.ready().filter(|it| it.region == *region);
    crate::utils::rendezvous("committer", ready.map(|it| it.id))
        .first()
        .copied()
}
