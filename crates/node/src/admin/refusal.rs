//! Why the API refuses a request.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use laburnum_edge::api::{AUDIT_MAX, BadSubmission, ErrorBody};
use laburnum_kernel::{Name, id::BadName};

use crate::control::Closed;

/// A refusal; its message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No such path.
    #[error(
        "no such path; the paths are /v1/submissions, /v1/services, /v1/audit, /v1/status, /v1/quarantines, \
         /v1/unknown and /v1/upstream"
    )]
    Path,
    /// The path exists, but not with this method.
    #[error(
        "the path has no such method; GET to read, POST to change, and delete a service by a submission"
    )]
    Method,
    /// No token, or none in force.
    #[error(
        "not authorized; send an admin key of this node: laburnum-ctl --token, or the variable LABURNUM_TOKEN"
    )]
    Unauthorized,
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
    #[error("{0}; write it like ?service=archive&after=7&limit=100")]
    Query(String),
    /// The limit of the audit is out of bounds.
    #[error("limit is out of bounds; choose 1 to {AUDIT_MAX}")]
    Limit,
    /// The submission is not valid.
    #[error(transparent)]
    Submission(#[from] BadSubmission),
    /// The name is not valid.
    #[error(transparent)]
    Name(#[from] BadName),
    /// No such service at this node.
    #[error("no service {0}; list the services with GET /v1/services")]
    NoService(Name),
    /// The fingerprint is not valid.
    #[error("the fingerprint is not valid; use the 16 hexadecimal digits of GET /v1/quarantines")]
    Print,
    /// No such quarantine at this node.
    #[error("no such quarantine; list them with GET /v1/quarantines")]
    NoQuarantine,
    /// The claim cannot be resolved so.
    #[error("{0}; list the requests of unknown outcome with GET /v1/unknown")]
    Resolve(String),
    /// The platform gave no answer.
    #[error("{0}; nothing was changed, try again")]
    Unavailable(String),
    /// The node has not caught up with the configuration yet.
    #[error("catching up with the configuration; ask again soon")]
    Unready,
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
            Refusal::Path | Refusal::NoService(_) | Refusal::NoQuarantine => StatusCode::NOT_FOUND,
            Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::Type => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Refusal::Long { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Slow { .. } => StatusCode::REQUEST_TIMEOUT,
            Refusal::Broken
            | Refusal::Json(_)
            | Refusal::Segment
            | Refusal::Query(_)
            | Refusal::Limit
            | Refusal::Print
            | Refusal::Submission(_)
            | Refusal::Name(_) => StatusCode::BAD_REQUEST,
            Refusal::Resolve(_) => StatusCode::CONFLICT,
            Refusal::Closed(_) | Refusal::Unavailable(_) | Refusal::Unready => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Unexpected => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let error = self.to_string();
        let mut response = (self.status(), Json(ErrorBody { error })).into_response();
        if self == Refusal::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}
