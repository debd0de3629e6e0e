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
//! | `PUT /v1/upstream` | [`AnnounceBody`] | |
//!
//! Any refusal but a [`SubmitAnswer`] is an [`ErrorBody`].

use std::net::SocketAddr;

use laburnum_kernel::{
    accept::{Submission, Verdict},
    id::{BadSubmitId, Name, NodeId, Revision, Seq, SubmitId},
    log::Edit,
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
        line("author", &body.author, AUTHOR_MAX)?;
        line("reason", &body.reason, REASON_MAX)?;
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
    /// Nodes alive, in the view of the node asked.
    pub nodes: usize,
    /// Nodes known to lag.
    pub behind: Vec<BehindBody>,
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
        StatusBody {
            seq: status.seq,
            nodes: status.nodes,
            behind: behind.map(|(node, seq)| BehindBody { node, seq }).collect(),
        }
    }
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
