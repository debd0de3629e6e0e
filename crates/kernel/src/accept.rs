//! Acceptance: submissions become batches of the log in the platform's table.
//!
//! Rows: `head` holds the last [`Seq`]; `log/<seq>` holds a [`Batch`]; `service/<name>` holds the
//! revision and the document. One transaction checks `head` and writes them all.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    document::Document,
    event::{self, Event, Notice},
    id::{CallId, Name, NodeId, Revision, Seq, SubmitId, Token},
    kernel::{Context, Plugin, State},
    log::{Batch, Change, Edit},
    platform::{ABSENT, Check, TableAnswer, TableOp, Write},
};

inventory::submit! { Plugin { name: "accept", order: 20, handle } }

/// Key of the row that holds the last sequence number.
pub const HEAD_KEY: &str = "head";

/// Key of the row that holds the batch at `seq`; keys sort by sequence number.
pub fn log_key(seq: Seq) -> String {
    format!("log/{:016x}", seq.0)
}

/// Key of the row that holds the newest revision of `service`.
pub fn service_key(service: &Name) -> String {
    format!("service/{service}")
}

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
#[serde(rename_all = "kebab-case", tag = "verdict")]
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
    /// Asked by its id: the log holds no such submission so far. Submitting it again under the same id
    /// is safe.
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
    Forward { submission: Submission },
    /// What became of it.
    Verdict { id: SubmitId, verdict: Verdict },
}

/// Submissions on their way into the table.
#[derive(Debug, Default)]
pub struct Accept {
    commits: BTreeMap<CallId, (Arc<Batch>, Token)>,
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: event::Call::Accept(Call::Submit(submission)),
        } => submit(cx, state, *token, submission),
        Event::Call {
            token,
            call: event::Call::Accept(Call::Outcome { id }),
        } => reply(cx, *token, Verdict::Unknown { id: *id }),
        Event::Call {
            token,
            call: event::Call::Accept(Call::Audit { .. }),
        } => {
            let why = "the audit is not readable on this node yet".to_owned();
            cx.reply(*token, event::Reply::Accept(Reply::Unavailable { why }));
        }
        Event::Table { call, answer } => answered(cx, state, *call, answer),
        _ => {}
    }
}

fn submit(cx: &mut Context<'_>, state: &mut State, token: Token, submission: &Submission) {
    if let Edit::Put { text } = &submission.edit
        && let Err(error) = Document::parse(text)
    {
        let why = error.to_string();
        return reply(cx, token, Verdict::Refused { why });
    }
    let seq = Seq(state.log.seq().0 + 1);
    let change = Change {
        id: submission.id,
        service: submission.service.clone(),
        base: submission.base,
        revision: Revision(submission.base.0 + 1),
        edit: submission.edit.clone(),
        author: submission.author.clone(),
        reason: submission.reason.clone(),
        time: cx.now,
    };
    let batch = Arc::new(Batch {
        seq,
        changes: vec![change],
    });
    let value = postcard::to_stdvec(&*batch).expect("a batch encodes");
    let op = TableOp::Commit {
        checks: vec![Check {
            key: log_key(seq),
            version: ABSENT,
        }],
        writes: vec![
            Write::Put {
                key: log_key(seq),
                value,
            },
            Write::Put {
                key: HEAD_KEY.to_owned(),
                value: seq.0.to_le_bytes().to_vec(),
            },
        ],
    };
    let call = cx.table(op);
    state.accept.commits.insert(call, (batch, token));
}

fn answered(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &TableAnswer) {
    let Some((batch, token)) = state.accept.commits.remove(&call) else {
        return;
    };
    let verdict = match answer {
        TableAnswer::Committed => Verdict::Accepted {
            seq: batch.seq,
            revision: batch.changes[0].revision,
        },
        TableAnswer::Failed(fault) => Verdict::Unavailable {
            why: fault.to_string(),
        },
        TableAnswer::Conflict(_) | TableAnswer::Rows(_) => Verdict::Conflict {
            revision: batch.changes[0].revision,
            author: String::new(),
            diff: String::new(),
        },
    };
    if let Verdict::Accepted { seq, .. } = verdict {
        state.log.apply(batch);
        cx.raise(Notice::Applied { seq });
        cx.raise(Notice::Accepted { seq });
    }
    reply(cx, token, verdict);
}

fn reply(cx: &mut Context<'_>, token: Token, verdict: Verdict) {
    cx.reply(token, event::Reply::Accept(Reply::Verdict(verdict)));
}

/// The node that commits for a region at present, if any member is ready.
pub fn committer(state: &State, region: &Name) -> Option<NodeId> {
    let ready = state.members.ready().filter(|it| it.region == *region);
    crate::utils::rendezvous("committer", ready.map(|it| it.id))
        .first()
        .copied()
}
