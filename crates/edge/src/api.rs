//! The operators' and upstreams' HTTP API of a node: the JSON bodies that travel.

use std::net::SocketAddr;

use laburnum_kernel::{
    accept::Verdict,
    id::{Name, Revision, Seq, SubmitId},
    log::Edit,
};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/submissions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Chosen by the submitter, 32 hexadecimal digits.
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

/// Answer to `POST /v1/submissions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// The submission's id.
    pub id: String,
    /// What became of it.
    pub verdict: Verdict,
}

/// Answer to `GET /v1/services/<name>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
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

/// Body of `PUT /v1/upstream`: an upstream announces itself to the node beside it.
#[derive(Clone, Debug, Serialize, Deserialize)]
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
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and what to do about it.
    pub error: String,
}

impl SubmitBody {
    /// Reads the submission's id.
    pub fn submit_id(&self) -> Result<SubmitId, laburnum_kernel::id::BadSubmitId> {
        self.id.parse()
    }
}
