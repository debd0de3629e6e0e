//! Answers that a node generates itself: refusals and lost answers.

use axum::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use laburnum_edge::answer::BadHead;
use laburnum_kernel::refusal::{Reason, Refusal};

use super::{
    body::BodyFault,
    headers::{NOT_RUN, OUTCOME, RAN, REASON, RETRY_AFTER_MS, UNKNOWN},
};

/// Reason why a caller gets no answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request was not run and would be rejected again if sent unchanged.
    Bad {
        /// HTTP status.
        status: StatusCode,
        /// Stable name of the fault.
        reason: &'static str,
        /// What happened and what to do about it.
        why: String,
    },
    /// The request was not run and may be sent again.
    Refused(Refusal),
    /// Another run of the same idempotency key is in progress; this one was not run.
    Busy {
        /// Time until a retry, in ms.
        after: u64,
    },
    /// The request may or may not have been run.
    Unknown {
        /// Stable name of the fault.
        reason: &'static str,
        /// What happened and what to do about it.
        why: String,
    },
    /// The request was run, but its answer cannot be forwarded.
    Undeliverable {
        /// What happened and what to do about it.
        why: String,
    },
}

impl Denial {
    /// Creates the denial of an invalid request.
    pub fn bad(status: StatusCode, reason: &'static str, why: impl Into<String>) -> Denial {
        let why = why.into();
        Denial::Bad {
            status,
            reason,
            why,
        }
    }

    /// Creates the denial for a request of unknown outcome.
    pub fn unknown(reason: &'static str, why: impl Into<String>) -> Denial {
        let why = why.into();
        Denial::Unknown { reason, why }
    }

    /// Creates the denial for a request whose answer has a header that cannot be trusted.
    pub fn from_bad_head(fault: BadHead) -> Denial {
        let why = format!(
            "the answer was dropped, as its header cannot be trusted: {fault}; mend the upstream; the request may have been run"
        );
        Denial::unknown(BAD_ANSWER, why)
    }

    /// Creates the denial of a request whose body did not arrive whole and was not forwarded.
    pub fn from_body_fault(fault: BodyFault) -> Denial {
        let reason = match fault {
            BodyFault::TooLong => BODY_TOO_LONG,
            BodyFault::Cut => BODY_CUT,
            BodyFault::Late => BODY_LATE,
        };
        Denial::bad(status_of(reason), reason, fault.to_string())
    }

    /// Returns the denial if an earlier attempt of the same request may have run.
    ///
    /// The outcome "not run" would only be true of the last attempt, and the caller could run the request
    /// twice.
    pub fn after_unknown_attempt(self) -> Denial {
        match self {
            Denial::Bad { .. } | Denial::Refused(_) | Denial::Busy { .. } => Denial::unknown(
                EARLIER_ATTEMPT,
                "an earlier attempt may have been run and later ones were rejected; retry if that is safe",
            ),
            Denial::Unknown { .. } | Denial::Undeliverable { .. } => self,
        }
    }

    /// Returns whether no endpoint ran the request.
    pub fn is_not_run(&self) -> bool {
        self.outcome() == NOT_RUN
    }

    /// Returns the stable name used in headers, logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Denial::Bad { reason, .. } | Denial::Unknown { reason, .. } => reason,
            Denial::Refused(refusal) => refusal.reason.as_str(),
            Denial::Busy { .. } => "in-progress",
            Denial::Undeliverable { .. } => "answer-too-long",
        }
    }

    /// Returns the answer to the caller.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(format!("{}\n", self.text())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, self.outcome());
        headers.insert(REASON, HeaderValue::from_static(self.reason()));
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(after) = self.after() {
            headers.insert(RETRY_AFTER_MS, HeaderValue::from(after));
            headers.insert(header::RETRY_AFTER, HeaderValue::from(after.div_ceil(1000)));
        }
        response
    }

    fn outcome(&self) -> HeaderValue {
        match self {
            Denial::Bad { .. } | Denial::Refused(_) | Denial::Busy { .. } => NOT_RUN,
            Denial::Unknown { .. } => UNKNOWN,
            Denial::Undeliverable { .. } => RAN,
        }
    }

    fn after(&self) -> Option<u64> {
        match self {
            Denial::Refused(refusal) => Some(refusal.after),
            Denial::Busy { after } => Some(*after),
            Denial::Bad { .. } | Denial::Unknown { .. } | Denial::Undeliverable { .. } => None,
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Denial::Bad { status, .. } => *status,
            Denial::Refused(refusal) => match refusal.reason {
                Reason::Limited => StatusCode::TOO_MANY_REQUESTS,
                Reason::Expired => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
            Denial::Busy { .. } => StatusCode::CONFLICT,
            Denial::Unknown { reason, .. } => status_of(reason),
            Denial::Undeliverable { .. } => StatusCode::BAD_GATEWAY,
        }
    }

    fn text(&self) -> String {
        match self {
            Denial::Bad { why, .. }
            | Denial::Unknown { why, .. }
            | Denial::Undeliverable { why } => why.clone(),
            Denial::Refused(refusal) => {
                format!("not run ({}); {}", refusal.reason, remedy(refusal))
            }
            Denial::Busy { after } => format!(
                "not run: another request with this Idempotency-Key is in progress; retry in {after} ms"
            ),
        }
    }
}

/// Reason of a request on the port for nodes without a valid proof.
pub const UNPROVEN: &str = "unproven";
/// Reason of a request whose answer did not arrive by the deadline.
pub const DEADLINE: &str = "deadline";
/// Reason of a request whose answer has a header that cannot be trusted.
pub const BAD_ANSWER: &str = "bad-answer";
/// Reason of a request that was rejected after an attempt that may have run.
pub const EARLIER_ATTEMPT: &str = "earlier-attempt-unknown";
/// Reason of an idempotency key whose earlier run may have taken effect.
pub const CLAIMED: &str = "earlier-run-unknown";

const BODY_TOO_LONG: &str = "body-too-long";
const BODY_CUT: &str = "body-cut";
const BODY_LATE: &str = "body-late";

/// Returns the HTTP status for a fault's stable name.
fn status_of(reason: &str) -> StatusCode {
    match reason {
        DEADLINE => StatusCode::GATEWAY_TIMEOUT,
        CLAIMED => StatusCode::CONFLICT,
        BODY_TOO_LONG => StatusCode::PAYLOAD_TOO_LARGE,
        BODY_CUT => StatusCode::BAD_REQUEST,
        BODY_LATE => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn remedy(refusal: &Refusal) -> String {
    use laburnum_kernel::refusal::Remedy;
    match refusal.reason.remedy() {
        Remedy::Elsewhere | Remedy::Later => format!("retry in {} ms", refusal.after),
        Remedy::Never => "the caller no longer waits for the answer".to_owned(),
    }
}
