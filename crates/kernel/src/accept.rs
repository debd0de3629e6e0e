//! Acceptance: submissions become batches of the log in the platform's table.
//!
//! Rows: `head` holds the last [`Seq`]; `log/<seq>` holds an [`Entry`]; `service/<name>` holds the newest
//! document; `snapshot` names the newest snapshot. One transaction writes a whole batch, on the condition
//! that `log/<seq>` is absent and the entry before it is there. Every writer of these rows fulfils the same
//! condition, so it stands for the versions of them all, and whoever commits at a position has read, and
//! decided on, everything before it.

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

/// A change that somebody wants made.
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
    /// Why.
    pub reason: String,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is part of the log and never reverts.
    Accepted { seq: Seq, revision: Revision },
    /// Another submission came first; nothing was changed.
    Conflict {
        revision: Revision,
        author: String,
        diff: String,
    },
    /// The submission is wrong in itself; nothing was changed.
    Refused { why: String },
    /// The platform gave no answer and nothing was changed.
    Unavailable { why: String },
    /// It may or may not be accepted: ask again by its id.
    Unknown { id: SubmitId },
    /// Asked by its id: none of the last [`crate::log::IDS_MAX`] accepted submissions has it so far.
    /// Submitting it again under the same id is safe.
    Absent { id: SubmitId },
}

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Make a change.
    Submit(Submission),
    /// What became of the submission `id`?
    Outcome { id: SubmitId },
    /// The log after `after`, oldest first, at most `limit` entries.
    Audit {
        /// Only entries that changed this service.
        service: Option<Name>,
        after: Seq,
        limit: u32,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Call::Submit`] and [`Call::Outcome`].
    Verdict(Verdict),
    /// To [`Call::Audit`].
    Audit(Page),
    /// The table gave no answer to a [`Call::Audit`].
    Unavailable { why: String },
}

/// One entry of the log as the table keeps it: who changed what, when, why, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The changes.
    pub batch: Batch,
    /// For each change, in order, the unified diff from the document it replaced.
    pub diffs: Vec<String>,
}

/// Part of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest first.
    pub entries: Vec<Entry>,
    /// Ask again after this one; nothing when the end of the log was reached.
    pub next: Option<Seq>,
}

/// Between a node that took a submission and a committer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Please commit this.
    Forward {
        submission: Submission,
        /// Stands for this message: a copy of it has the same one, a submission sent again has not.
        attempt: u64,
    },
    /// What became of it.
    Verdict { id: SubmitId, verdict: Verdict },
}

/// Most changes in one transaction: each writes one row, beside two checks, `head` and the entry.
pub const CHANGES_MAX: usize = COMMIT_MAX - 4;

/// Most bytes of a batch, which so fits one frame of the link; its diffs are only in the table.
pub const BATCH_MAX: usize = 56 * 1024;

/// Most bytes of a diff in the log; a longer one is left out, and both texts are in the log anyway.
pub const DIFF_MAX: usize = 64 * 1024;

/// Most bytes of a diff in a verdict, which so fits one frame of the link.
pub const VERDICT_DIFF_MAX: usize = 32 * 1024;

/// Most bytes of an author's name.
pub const AUTHOR_MAX: usize = 128;

/// Most bytes of a reason.
pub const REASON_MAX: usize = 2048;

/// Most submissions that wait on one node.
pub const QUEUE_MAX: usize = 4096;

/// Most bytes of submissions that wait on one node.
pub const QUEUE_BYTES: usize = 8 << 20;

/// Longest time that a committer gathers submissions, in ms; a longer window counts as this one, so that a
/// node that forwarded one does not take the committer for silent.
pub const WINDOW_MAX: u64 = 500;

/// Longest time until a submission has a verdict, in ms.
pub const VERDICT_TIMEOUT: u64 = 6_000;

/// Longest time that a committer in another node has for a verdict, in ms.
pub const FORWARD_TIMEOUT: u64 = 2_000;

/// Submissions on their way into the table.
#[derive(Debug, Default)]
pub struct Accept {
    queue: Queue,
    forwards: Forwards,
    reader: Recovery,
    asks: Vec<(SubmitId, Origin)>,
    audits: Audits,
    snapshots: Snapshots,
}

impl Accept {
    /// Submissions that wait here to be committed.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}

/// Who waits for a verdict.
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
        } => called(cx, state, *token, call),
        Event::Message {
            from,
            message: event::Message::Accept(message),
        } => forward::received(cx, state, *from, message),
        Event::Tick => {
            forward::expire(cx, state);
            commit::expire(cx, state);
            snapshots::begin(cx, state);
        }
        Event::Table { call, answer } => {
            commit::answered(cx, state, *call, answer);
            audit::answered(cx, state, *call, answer);
            snapshots::table(cx, state, *call, answer);
        }
        Event::Object { call, answer } => snapshots::object(cx, state, *call, answer),
        _ => return,
    }
    match state.accept.reader.answer(cx, &mut state.log, event) {
        Progress::Done => read(cx, state),
        Progress::Failed => unread(cx, state),
        Progress::Same | Progress::Busy => {}
    }
    commit::advance(cx, state);
}

fn called(cx: &mut Context<'_>, state: &mut State, token: Token, call: &Call) {
    let origin = Origin::Call(token);
    match call {
        Call::Submit(submission) => forward::submit(cx, state, origin, submission),
        Call::Outcome { id } => ask(cx, state, origin, *id),
        Call::Audit {
            service,
            after,
            limit,
        } => audit::begin(cx, state, token, service.clone(), *after, *limit),
    }
}

/// Answers from what is known here, or else from the table.
fn ask(cx: &mut Context<'_>, state: &mut State, origin: Origin, id: SubmitId) {
    if let Some(seq) = state.log.accepted(id) {
        return origin.answer(cx, id, accepted(seq));
    }
    if state.accept.queue.join(id, origin) || state.accept.forwards.join(id, origin) {
        return;
    }
    state.accept.asks.push((id, origin));
    follow(cx, state);
}

/// Reads what the table's log has more than this node's.
fn follow(cx: &mut Context<'_>, state: &mut State) {
    let State { accept, log, .. } = state;
    match log.seq() {
        Seq(0) => accept.reader.start(cx),
        _ => accept.reader.follow(cx, log),
    }
}

fn read(cx: &mut Context<'_>, state: &mut State) {
    for (id, origin) in std::mem::take(&mut state.accept.asks) {
        let verdict = state
            .log
            .accepted(id)
            .map_or(Verdict::Absent { id }, accepted);
        origin.answer(cx, id, verdict);
    }
    commit::read(cx, state);
}

fn unread(cx: &mut Context<'_>, state: &mut State) {
    for (id, origin) in std::mem::take(&mut state.accept.asks) {
        origin.answer(cx, id, Verdict::Unknown { id });
    }
    commit::unread(cx, state);
}

fn accepted(seq: Seq) -> Verdict {
    let revision = Revision(seq.0);
    Verdict::Accepted { seq, revision }
}

/// The node that commits for a region at present, if any member is ready.
pub fn committer(state: &State, region: &Name) -> Option<NodeId> {
    let ready = state.members.ready().filter(|it| it.region == *region);
    crate::utils::rendezvous("committer", ready.map(|it| it.id))
        .first()
        .copied()
}
