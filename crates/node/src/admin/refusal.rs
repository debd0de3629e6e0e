//! Errors of the API, with their HTTP status.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use laburnum_edge::api::{AUDIT_MAX, BadSubmission, ErrorBody};
use laburnum_kernel::{Name, id::BadName};

use crate::control::Closed;

/// Why a request was refused; the message says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The path does not exist.
    #[error(
        "no such path; the paths are /v1/submissions, /v1/services, /v1/audit, /v1/status, /v1/quarantines, \
         /v1/unknown and /v1/upstream"
    )]
    UnknownPath,
    /// The path does not support the method.
    #[error(
        "the path does not support this method; use GET to read, POST to change, and delete a service by a submission"
    )]
    UnknownMethod,
    /// The request carries no valid token.
    #[error(
        "not authorized; send an admin key of this node: laburnum-ctl --token, or the variable LABURNUM_TOKEN"
    )]
    Unauthorized,
    /// The body is not declared as JSON.
    #[error("the body must be JSON; send it with content-type: application/json")]
    ContentType,
    /// The body is longer than the limit.
    #[error("the body is longer than {max} bytes; shorten it")]
    BodyTooLong { max: usize },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {millis} ms; send it at once")]
    BodyTimeout { millis: u128 },
    /// The body ended early, such as by a broken connection.
    #[error("the body ended early; send all of it")]
    BodyTruncated,
    /// The body is not the expected JSON.
    #[error("the body is not valid: {0}; correct the JSON there")]
    InvalidJson(String),
    /// The path is not valid UTF-8.
    #[error("the path is not valid; encode it as UTF-8 with '%'")]
    InvalidPath,
    /// The query string is not valid.
    #[error("{0}; write it like ?service=archive&after=7&limit=100")]
    InvalidQuery(String),
    /// The `limit` of an audit query is out of range.
    #[error("limit is out of bounds; choose 1 to {AUDIT_MAX}")]
    LimitOutOfRange,
    /// The submission or decision is not valid.
    #[error(transparent)]
    Submission(#[from] BadSubmission),
    /// The name is not valid.
    #[error(transparent)]
    Name(#[from] BadName),
    /// The service does not exist on this node.
    #[error("no service {0}; list the services with GET /v1/services")]
    NoService(Name),
    /// The fingerprint is not valid.
    #[error("the fingerprint is not valid; use the 16 hexadecimal digits of GET /v1/quarantines")]
    InvalidFingerprint,
    /// The quarantine does not exist on this node.
    #[error("no such quarantine; list them with GET /v1/quarantines")]
    NoQuarantine,
    /// The request's outcome cannot be set.
    #[error("{0}; list the requests of unknown outcome with GET /v1/unknown")]
    NotResolvable(String),
    /// The platform did not answer.
    #[error("{0}; nothing was changed, try again")]
    Unavailable(String),
    /// The node has not caught up with the configuration yet.
    #[error("the node is catching up with the configuration; retry soon")]
    NotReady,
    /// The node is shutting down.
    #[error(transparent)]
    Closed(#[from] Closed),
    /// The control thread did not answer in time.
    #[error("the node did not answer in time; retry, or query a submission by its id")]
    ReplyTimeout,
    /// The kernel's reply does not belong to the call.
    #[error("the node gave an unexpected reply; report this fault with the node's log")]
    UnexpectedReply,
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::UnknownPath | Refusal::NoService(_) | Refusal::NoQuarantine => {
                StatusCode::NOT_FOUND
            }
            Refusal::UnknownMethod => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::ContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Refusal::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyTimeout { .. } => StatusCode::REQUEST_TIMEOUT,
            Refusal::BodyTruncated
            | Refusal::InvalidJson(_)
            | Refusal::InvalidPath
            | Refusal::InvalidQuery(_)
            | Refusal::LimitOutOfRange
            | Refusal::InvalidFingerprint
            | Refusal::Submission(_)
            | Refusal::Name(_) => StatusCode::BAD_REQUEST,
            Refusal::NotResolvable(_) => StatusCode::CONFLICT,
            Refusal::Closed(_) | Refusal::Unavailable(_) | Refusal::NotReady => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::ReplyTimeout => StatusCode::GATEWAY_TIMEOUT,
            Refusal::UnexpectedReply => StatusCode::INTERNAL_SERVER_ERROR,
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
