//! Why the API refuses a request.

use axum::{
    Json,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use laburnum_edge::api::{BadSubmission, ErrorBody};
use laburnum_kernel::{Name, id::BadName};

use crate::control::Closed;

/// A refusal; its message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No such path.
    #[error(
        "no such path; the paths are /v1/submissions, /v1/services, /v1/audit, /v1/status and /v1/upstream"
    )]
    Path,
    /// The path exists, but not with this method.
    #[error("the path has no such method; POST submissions, PUT the upstream, GET everything else")]
    Method,
    /// The body is not declared as JSON.
    #[error("the body must be JSON; send it with content-type: application/json")]
    Type,
    /// The body is longer than the bound.
    #[error("the body is longer than {max} bytes; shorten it")]
    Long { max: usize },
    /// The body did not arrive in time.
    #[error("the body took longer than {millis} ms; send it at once")]
    Slow { millis: u128 },
    /// The body ended before its declared length.
    #[error("the body broke off; send it whole")]
    Broken,
    /// The body is not the JSON expected.
    #[error("the body is not valid: {0}; correct the JSON there")]
    Json(String),
    /// The path is not valid UTF-8.
    #[error("the path is not valid; encode it as UTF-8 with '%'")]
    Segment,
    /// The query string is not valid.
    #[error("the query is not valid: {0}; write it like {1}")]
    Query(String, &'static str),
    /// The submission is not valid.
    #[error(transparent)]
    Submission(#[from] BadSubmission),
    /// The name is not valid.
    #[error(transparent)]
    Name(#[from] BadName),
    /// No such service at this node.
    #[error("no service {0}; list the services with GET /v1/services")]
    NoService(Name),
    /// The node is shutting down.
    #[error(transparent)]
    Closed(#[from] Closed),
    /// The control thread did not answer in time.
    #[error("the node did not answer in time; ask again, a submission by its id")]
    Late,
    /// The kernel answered another question.
    #[error("the node answered something else; report this fault with its log")]
    Unexpected,
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::Path | Refusal::NoService(_) => StatusCode::NOT_FOUND,
            Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::Type => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Refusal::Long { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Slow { .. } => StatusCode::REQUEST_TIMEOUT,
            Refusal::Broken
            | Refusal::Json(_)
            | Refusal::Segment
            | Refusal::Query(..)
            | Refusal::Submission(_)
            | Refusal::Name(_) => StatusCode::BAD_REQUEST,
            Refusal::Closed(_) => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Unexpected => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let error = self.to_string();
        (self.status(), Json(ErrorBody { error })).into_response()
    }
}
