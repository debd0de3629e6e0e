//! The operators' and upstreams' HTTP API of a node: the JSON bodies that travel.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `POST /v1/submissions` | [`SubmitBody`] | [`SubmitAnswer`] |
//! | `GET /v1/submissions/<id>` | | [`SubmitAnswer`] |
//! | `GET /v1/services` | | [`ListBody`] |
//! | `GET /v1/services/<name>` | | [`ServiceBody`] |
//! | `GET /v1/audit?service=&after=&limit=` | | [`AuditBody`] |
//! | `GET /v1/status` | | [`StatusBody`] |
//! | `GET /v1/quarantines` | | [`QuarantinesBody`] |
//! | `POST /v1/quarantines/<print>/lift` | [`LiftBody`] | |
//! | `GET /v1/unknown` | | [`UnknownBody`] |
//! | `POST /v1/unknown/resolve` | [`ResolveBody`] | |
//! | `PUT /v1/upstream` | [`AnnounceBody`] | |
//! | `DELETE /v1/upstream` | | |
//!
//! Any refusal but a [`SubmitAnswer`] is an [`ErrorBody`].

use std::net::SocketAddr;

use laburnum_kernel::{
    Ms,
    accept::{Page, Submission, Verdict},
    guard,
    id::{BadSubmitId, Name, NodeId, Revision, Seq, SubmitId},
    log::{Change, Edit},
    once,
    spread::Status,
};
use serde::{Deserialize, Serialize};

/// Longest request body, in bytes: a document at its bound, every second character escaped, and its envelope.
pub const BODY_MAX: usize = 256 * 1024;
/// Longest author of a submission, in bytes.
pub const AUTHOR_MAX: usize = 128;
/// Longest reason of a submission, in bytes.
pub const REASON_MAX: usize = 1024;
/// Most changes in one [`AuditBody`].
pub const AUDIT_MAX: u32 = 500;

/// Body of `POST /v1/submissions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Chosen by the submitter, up to 32 hexadecimal digits.
    pub id: String,
    /// The service to change.
    pub service: Name,
    /// The revision read last; zero for a new service.
    pub base: Revision,
    /// The change.
    pub edit: Edit,
    /// Who submits it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// A [`SubmitBody`] that can be no submission.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSubmission {
    /// Its id.
    #[error(transparent)]
    Id(#[from] BadSubmitId),
    /// A text that would be unreadable in the audit, or forge a line of it.
    #[error("{field} is not valid; use 1 to {max} bytes without control characters")]
    Text { field: &'static str, max: usize },
}

impl TryFrom<SubmitBody> for Submission {
    type Error = BadSubmission;

    fn try_from(body: SubmitBody) -> Result<Submission, BadSubmission> {
        check_act(&body.author, &body.reason)?;
        Ok(Submission {
            id: body.id.parse()?,
            service: body.service,
            base: body.base,
            edit: body.edit,
            author: body.author,
            reason: body.reason,
        })
    }
}

fn line(field: &'static str, text: &str, max: usize) -> Result<(), BadSubmission> {
    let empty = text.trim().is_empty();
    if empty || text.len() > max || text.chars().any(char::is_control) {
        return Err(BadSubmission::Text { field, max });
    }
    Ok(())
}

/// Answer to `POST /v1/submissions` and `GET /v1/submissions/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// The submission's id.
    pub id: String,
    /// What became of it.
    #[serde(flatten)]
    pub verdict: VerdictBody,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum VerdictBody {
    /// 200: it is part of the log and never reverts.
    Accepted { seq: Seq, revision: Revision },
    /// 409: another submission came first; nothing was changed.
    Conflict {
        /// The service's revision now.
        revision: Revision,
        /// Who made it.
        author: String,
        /// What it changed, as a unified diff.
        diff: String,
    },
    /// 422: the submission is wrong in itself; nothing was changed.
    Refused { why: String },
    /// 503: the platform gave no answer; nothing was changed.
    Unavailable { why: String },
    /// 504: it may or may not be accepted: ask again by its id, or submit it again under the same id.
    Unknown,
    /// 404: asked by its id, and the log holds no such submission so far; submitting it again under the same
    /// id is safe.
    Absent,
}

impl SubmitAnswer {
    /// The answer about the submission `id`.
    pub fn new(id: SubmitId, verdict: Verdict) -> SubmitAnswer {
        let verdict = match verdict {
            Verdict::Accepted { seq, revision } => VerdictBody::Accepted { seq, revision },
            Verdict::Conflict {
                revision,
                author,
                diff,
            } => VerdictBody::Conflict {
                revision,
                author,
                diff,
            },
            Verdict::Refused { why } => VerdictBody::Refused { why },
            Verdict::Unavailable { why } => VerdictBody::Unavailable { why },
            Verdict::Unknown { .. } => VerdictBody::Unknown,
            Verdict::Absent { .. } => VerdictBody::Absent,
        };
        let id = id.to_string();
        SubmitAnswer { id, verdict }
    }
}

/// Answer to `GET /v1/services`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListBody {
    /// The log position of the node asked.
    pub seq: Seq,
    /// Every service in force there, by name.
    pub services: Vec<ListItem>,
}

/// One service of a [`ListBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListItem {
    /// The service.
    pub service: Name,
    /// Its revision in force.
    pub revision: Revision,
    /// Team that answers for it.
    pub owner: String,
    /// Number of its routes.
    pub routes: usize,
    /// Number of its upstreams that the node asked knows.
    pub upstreams: usize,
}

/// Answer to `GET /v1/services/<name>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBody {
    /// The service.
    pub service: Name,
    /// Its revision in force at the node asked.
    pub revision: Revision,
    /// The log position of that node.
    pub seq: Seq,
    /// The document's text.
    pub text: String,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The log position of the node asked.
    pub seq: Seq,
    /// The highest position that the node asked has heard of.
    pub heard: Seq,
    /// Nodes alive, in the view of the node asked.
    pub nodes: usize,
    /// Nodes whose position the node asked knows.
    pub reported: usize,
    /// Whether every node alive reported that it has in force all that was heard of.
    pub everywhere: bool,
    /// Nodes known to lag, the worst few.
    pub behind: Vec<BehindBody>,
    /// Accepted versions that some node cannot read, a few of them.
    pub bad: Vec<BadBody>,
}

/// An accepted version that a node cannot read: it keeps the version before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadBody {
    /// The service.
    pub service: Name,
    /// The revision held back.
    pub revision: Revision,
    /// A node that holds it back.
    pub node: NodeId,
}

/// A node that lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BehindBody {
    /// The node.
    pub node: NodeId,
    /// Its log position.
    pub seq: Seq,
}

impl From<Status> for StatusBody {
    fn from(status: Status) -> StatusBody {
        let behind = status.behind.into_iter();
        let bad = status.bad.into_iter().map(|it| BadBody {
            service: it.service,
            revision: it.revision,
            node: it.node,
        });
        StatusBody {
            seq: status.seq,
            heard: status.heard,
            nodes: status.nodes,
            reported: status.reported,
            everywhere: status.everywhere,
            bad: bad.collect(),
            behind: behind.map(|(node, seq)| BehindBody { node, seq }).collect(),
        }
    }
}

/// Answer to `GET /v1/audit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Oldest first.
    pub changes: Vec<AuditChange>,
    /// Ask again with `after` set to this; absent at the end of the log.
    pub next: Option<Seq>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditChange {
    /// Position in the log.
    pub seq: Seq,
    /// When the committer took it, in ms since the Unix epoch.
    pub time: Ms,
    /// The submission that made it.
    pub id: String,
    /// The service changed.
    pub service: Name,
    /// The revision that the submitter had read.
    pub base: Revision,
    /// The revision that the change made.
    pub revision: Revision,
    /// Whether the document was put or deleted.
    pub action: AuditAction,
    /// Who submitted it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// The unified diff from the document before.
    pub diff: String,
}

/// What a change did to a service's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// It has a new text.
    Put,
    /// The service is gone.
    Delete,
}

impl AuditBody {
    /// The page `page`, of `service` alone if it is named: one entry of the log may hold changes of others.
    pub fn new(page: Page, service: Option<&Name>) -> AuditBody {
        let changes = page.entries.into_iter().flat_map(|it| {
            let seq = it.batch.seq;
            let diffs = it.diffs.into_iter().chain(std::iter::repeat(String::new()));
            let changes = it.batch.changes.into_iter().zip(diffs);
            changes.map(move |(change, diff)| AuditChange::new(seq, change, diff))
        });
        let changes = changes.filter(|it| service.is_none_or(|name| it.service == *name));
        AuditBody {
            changes: changes.collect(),
            next: page.next,
        }
    }
}

impl AuditChange {
    fn new(seq: Seq, change: Change, diff: String) -> AuditChange {
        AuditChange {
            seq,
            time: change.time,
            id: change.id.to_string(),
            service: change.service,
            base: change.base,
            revision: change.revision,
            action: match change.edit {
                Edit::Put { .. } => AuditAction::Put,
                Edit::Delete => AuditAction::Delete,
            },
            author: change.author,
            reason: change.reason,
            diff,
        }
    }
}

/// Answer to `GET /v1/quarantines`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinesBody {
    /// Those in force and those lifted lately, as the node asked knows them.
    pub quarantines: Vec<QuarantineBody>,
}

/// A request that crashed its upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineBody {
    /// Fingerprint of the request, 16 hexadecimal digits.
    pub print: String,
    /// The service that it crashes.
    pub service: Name,
    /// Whether it is refused now.
    pub held: bool,
    /// When it was quarantined or lifted, in ms since the Unix epoch.
    pub time: Ms,
}

impl From<guard::Record> for QuarantineBody {
    fn from(record: guard::Record) -> QuarantineBody {
        QuarantineBody {
            print: format!("{:016x}", record.print.0),
            service: record.service,
            held: record.state == guard::Hold::Held,
            time: record.time,
        }
    }
}

/// Body of `POST /v1/quarantines/<print>/lift`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiftBody {
    /// Who lifts it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// Answer to `GET /v1/unknown`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownBody {
    /// Requests that may have run and whose answer cannot be had.
    pub unknown: Vec<UnknownItem>,
}

/// A request of unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownItem {
    /// The service.
    pub service: Name,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// The node that ran it, or was about to.
    pub holder: NodeId,
    /// When it was claimed, in ms since the Unix epoch.
    pub time: Ms,
}

impl From<once::Entry> for UnknownItem {
    fn from(entry: once::Entry) -> UnknownItem {
        UnknownItem {
            service: entry.key.service,
            key: entry.key.text,
            holder: entry.holder,
            time: entry.time,
        }
    }
}

/// Body of `POST /v1/unknown/resolve`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResolveBody {
    /// The service.
    pub service: Name,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// What the operator found out.
    pub found: Found,
    /// Who decides.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// What an operator found out about a request of unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Found {
    /// It ran: it must never run again.
    Ran,
    /// It surely did not run: the same key may be used again.
    NotRun,
}

/// Checks the author and the reason of an operator's act.
pub fn check_act(author: &str, reason: &str) -> Result<(), BadSubmission> {
    check_author(author)?;
    check_reason(reason)
}

/// Checks who acts.
pub fn check_author(text: &str) -> Result<(), BadSubmission> {
    line("author", text, AUTHOR_MAX)
}

/// Checks why.
pub fn check_reason(text: &str) -> Result<(), BadSubmission> {
    line("reason", text, REASON_MAX)
}

/// Body of `PUT /v1/upstream`: an upstream announces itself to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// The service it serves.
    pub service: Name,
    /// Where the node sends it requests.
    pub address: SocketAddr,
    /// Requests that it handles at once.
    pub slots: u16,
    /// Whether its cold start is over.
    pub ready: bool,
}

/// Any refusal of the API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and what to do about it.
    pub error: String,
}
