//! JSON bodies of a node's HTTP API for operators and upstreams.
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
//! A node with admin keys requires `authorization: Bearer <token>` ([`crate::Token`]) on every path, except on
//! `/v1/upstream` for requests from its own host.
//!
//! Errors are answered with an [`ErrorBody`], or a [`SubmitAnswer`] for the outcome of a submission.

use std::net::SocketAddr;

use laburnum_kernel::{
    Ms,
    accept::{Page, Submission, Verdict},
    guard,
    id::{BadSubmitId, Build, Name, NodeId, Revision, Seq, SubmitId},
    log::{Change, Edit},
    once,
    spread::Status,
};
use serde::{Deserialize, Serialize};

/// Maximum length of a request body in bytes; holds the longest document with every second character escaped.
pub const BODY_MAX: usize = 256 * 1024;
/// Maximum length of an author in bytes.
pub const AUTHOR_MAX: usize = 128;
/// Maximum length of a reason in bytes.
pub const REASON_MAX: usize = 1024;
/// Maximum `limit` of a request for an [`AuditBody`], in log entries.
pub const AUDIT_MAX: u32 = 500;

/// Body of `POST /v1/submissions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Id chosen by the submitter, up to 32 hexadecimal digits.
    pub id: String,
    /// The service to change.
    pub service: Name,
    /// The revision that the change is based on; zero for a new service.
    pub base: Revision,
    /// The change to the service's document.
    pub edit: Edit,
    /// Who submits it.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
}

/// A field of a [`SubmitBody`] or of an operator's decision is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSubmission {
    /// The id.
    #[error(transparent)]
    Id(#[from] BadSubmitId),
    /// A text that is empty, too long, or could forge a line of the audit.
    #[error("{field} is not valid; use 1 to {max} bytes without control characters")]
    Text { field: &'static str, max: usize },
}

impl TryFrom<SubmitBody> for Submission {
    type Error = BadSubmission;

    fn try_from(body: SubmitBody) -> Result<Submission, BadSubmission> {
        check_attribution(&body.author, &body.reason)?;
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

fn check_text(field: &'static str, text: &str, max: usize) -> Result<(), BadSubmission> {
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
    /// Its outcome.
    #[serde(flatten)]
    pub verdict: VerdictBody,
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum VerdictBody {
    /// 200: it is part of the log and is never reverted.
    Accepted { seq: Seq, revision: Revision },
    /// 409: another submission came first; nothing was changed.
    Conflict {
        /// The service's current revision.
        revision: Revision,
        /// Author of that revision.
        author: String,
        /// What that revision changed, as a unified diff.
        diff: String,
    },
    /// 422: the submission is not valid; nothing was changed.
    Refused { why: String },
    /// 503: the platform did not answer; nothing was changed.
    Unavailable { why: String },
    /// 504: it may or may not be accepted. Query it by its id, or submit it again under the same id.
    Unknown,
    /// 404: the log holds no submission with this id so far; submitting it again under the same id is safe.
    Absent,
}

impl SubmitAnswer {
    /// Creates the answer for the submission `id`.
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
    /// The log position of the node that answers.
    pub seq: Seq,
    /// Every service in force on that node, ordered by name.
    pub services: Vec<ListItem>,
}

/// One service of a [`ListBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListItem {
    /// The service.
    pub service: Name,
    /// Its revision in force.
    pub revision: Revision,
    /// Team responsible for it.
    pub owner: String,
    /// Number of its routes.
    pub routes: usize,
    /// Number of its upstreams known to the node that answers.
    pub upstreams: usize,
}

/// Answer to `GET /v1/services/<name>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBody {
    /// The service.
    pub service: Name,
    /// Its revision in force on the node that answers.
    pub revision: Revision,
    /// The log position of that node.
    pub seq: Seq,
    /// The document's text.
    pub text: String,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The log position of the node that answers.
    pub seq: Seq,
    /// The highest log position reported to that node.
    pub heard: Seq,
    /// Number of nodes alive, as seen by that node.
    pub nodes: usize,
    /// Number of those nodes whose log position it knows.
    pub reported: usize,
    /// Whether every node alive reported the position `heard`.
    pub everywhere: bool,
    /// Some of the nodes known to lag, those furthest behind.
    pub behind: Vec<LaggingNode>,
    /// Some of the accepted versions that a node cannot read.
    pub bad: Vec<UnreadableVersion>,
}

/// An accepted version that a node cannot read; the node keeps the previous version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableVersion {
    /// The service.
    pub service: Name,
    /// The revision that is not applied.
    pub revision: Revision,
    /// A node that does not apply it.
    pub node: NodeId,
}

/// A node that lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// The node.
    pub node: NodeId,
    /// Its log position.
    pub seq: Seq,
}

impl From<Status> for StatusBody {
    fn from(status: Status) -> StatusBody {
        let behind = status.behind.into_iter();
        let bad = status.bad.into_iter().map(|it| UnreadableVersion {
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
            behind: behind
                .map(|(node, seq)| LaggingNode { node, seq })
                .collect(),
        }
    }
}

/// Answer to `GET /v1/audit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditBody {
    /// Changes, oldest first.
    pub changes: Vec<AuditChange>,
    /// Value of `after` for the next page; absent at the end of the log.
    pub next: Option<Seq>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditChange {
    /// Position in the log.
    pub seq: Seq,
    /// When the committer accepted it, in ms since the Unix epoch.
    pub time: Ms,
    /// The submission that made it.
    pub id: String,
    /// The service changed.
    pub service: Name,
    /// The revision that the change is based on.
    pub base: Revision,
    /// The revision that the change created.
    pub revision: Revision,
    /// Whether the document was put or deleted.
    pub action: AuditAction,
    /// Who submitted it.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Unified diff from the previous document.
    pub diff: String,
}

/// Effect of a change on a service's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// The document has a new text.
    Put,
    /// The service was deleted.
    Delete,
}

impl AuditBody {
    /// Creates the answer for `page`. Keeps only the changes of `service`, if given: an entry of the log may also hold
    /// changes of other services.
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
    /// Quarantines in force and recently lifted, as known to the node that answers.
    pub quarantines: Vec<QuarantineBody>,
}

/// A quarantine: a fingerprint whose requests crash their upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineBody {
    /// Fingerprint of the request, 16 hexadecimal digits.
    pub print: String,
    /// The service that the requests crash.
    pub service: Name,
    /// Whether the requests are currently refused.
    pub held: bool,
    /// When it was quarantined or lifted, in ms since the Unix epoch.
    pub time: Ms,
}

impl From<guard::Record> for QuarantineBody {
    fn from(record: guard::Record) -> QuarantineBody {
        QuarantineBody {
            print: format!("{:016x}", record.print.0),
            service: record.service,
            held: record.state == guard::QuarantineState::Held,
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
    /// Reason for the decision.
    pub reason: String,
}

/// Answer to `GET /v1/unknown`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownBody {
    /// Requests that may have run and whose answer is lost.
    pub unknown: Vec<UnknownItem>,
}

/// A request of unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownItem {
    /// The service.
    pub service: Name,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// The node that held the claim, and so may have run it.
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
    /// Whether the request ran.
    pub found: Found,
    /// Who decides.
    pub author: String,
    /// Reason for the decision.
    pub reason: String,
}

/// Whether a request of unknown outcome ran, as found out by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Found {
    /// It ran and must not run again.
    Ran,
    /// It did not run; the same key may be used again.
    NotRun,
}

/// Checks the author and the reason of a submission or an operator's decision.
pub fn check_attribution(author: &str, reason: &str) -> Result<(), BadSubmission> {
    check_author(author)?;
    check_reason(reason)
}

/// Checks an author.
pub fn check_author(text: &str) -> Result<(), BadSubmission> {
    check_text("author", text, AUTHOR_MAX)
}

/// Checks a reason.
pub fn check_reason(text: &str) -> Result<(), BadSubmission> {
    check_text("reason", text, REASON_MAX)
}

/// Body of `PUT /v1/upstream`, by which an upstream announces itself to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// The service it serves.
    pub service: Name,
    /// Where the node sends requests to.
    pub address: SocketAddr,
    /// Number of requests that it handles concurrently.
    pub slots: u16,
    /// Whether its warm-up is complete.
    pub ready: bool,
    /// Version of its software.
    #[serde(default)]
    pub build: Build,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and how to correct it.
    pub error: String,
}
