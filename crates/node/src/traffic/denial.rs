//! Answers of the system itself: refusals and lost answers.

use axum::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use laburnum_kernel::refusal::{Reason, Refusal};

use super::{
    body::BodyFault,
    headers::{NOT_RUN, OUTCOME, RAN, REASON, RETRY_AFTER_MS, UNKNOWN},
};

/// Why a caller gets no answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request was not run and would be refused again unchanged.
    Bad {
        /// HTTP status.
        status: StatusCode,
        /// Stable name of the fault.
        reason: &'static str,
        /// What to do about it.
        why: String,
    },
    /// The request was not run and may be sent again.
    Refused(Refusal),
    /// Another run of the same idempotency key is in progress; this one was not run.
    Busy {
        /// When to come back, in ms.
        after: u64,
    },
    /// The request may or may not have been run.
    Unknown {
        /// Stable name of the fault.
        reason: &'static str,
        /// What happened.
        why: String,
    },
    /// The request was run and its answer cannot be handed on.
    Unfit {
        /// What to do about it.
        why: String,
    },
}

impl Denial {
    /// A request that is faulty in itself.
    pub fn bad(status: StatusCode, reason: &'static str, why: impl Into<String>) -> Denial {
        let why = why.into();
        Denial::Bad {
            status,
            reason,
            why,
        }
    }

    /// A lost answer.
    pub fn unknown(reason: &'static str, why: impl Into<String>) -> Denial {
        let why = why.into();
        Denial::Unknown { reason, why }
    }

    /// A request whose body did not arrive whole; nothing of it was passed on.
    pub fn of_body(fault: BodyFault) -> Denial {
        let reason = match fault {
            BodyFault::TooLong => BODY_TOO_LONG,
            BodyFault::Cut => BODY_CUT,
            BodyFault::Late => BODY_LATE,
        };
        Denial::bad(status_of(reason), reason, fault.to_string())
    }

    /// What is left to say if an earlier attempt of the same request may have run.
    ///
    /// "Not run" is then true of the last attempt alone: a caller that trusts it would run the request twice.
    pub fn doubted(self) -> Denial {
        match self {
            Denial::Bad { .. } | Denial::Refused(_) | Denial::Busy { .. } => Denial::unknown(
                EARLIER_ATTEMPT,
                "an earlier attempt may have been run and later ones were refused; ask again if you may",
            ),
            Denial::Unknown { .. } | Denial::Unfit { .. } => self,
        }
    }

    /// Stable name, used in headers, logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Denial::Bad { reason, .. } | Denial::Unknown { reason, .. } => reason,
            Denial::Refused(refusal) => refusal.reason.as_str(),
            Denial::Busy { .. } => "in-progress",
            Denial::Unfit { .. } => "answer-too-long",
        }
    }

    /// The answer to the caller.
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
            Denial::Unfit { .. } => RAN,
        }
    }

    fn after(&self) -> Option<u64> {
        match self {
            Denial::Refused(refusal) => Some(refusal.after),
            Denial::Busy { after } => Some(*after),
            Denial::Bad { .. } | Denial::Unknown { .. } | Denial::Unfit { .. } => None,
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
            Denial::Unfit { .. } => StatusCode::BAD_GATEWAY,
        }
    }

    fn text(&self) -> String {
        match self {
            Denial::Bad { why, .. } | Denial::Unknown { why, .. } | Denial::Unfit { why } => {
                why.clone()
            }
            Denial::Refused(refusal) => {
                format!("not run ({}); {}", refusal.reason, remedy(refusal))
            }
            Denial::Busy { after } => format!(
                "not run: another request with this Idempotency-Key is in progress; come back in {after} ms"
            ),
        }
    }
}

/// Reason of a request at the port for nodes that proves no key.
pub const UNPROVEN: &str = "unproven";
/// Reason of an answer that did not arrive by the deadline.
pub const DEADLINE: &str = "deadline";
/// Reason of a request that was refused after an attempt that may have run.
pub const EARLIER_ATTEMPT: &str = "earlier-attempt-unknown";
/// Reason of a key whose earlier run may have taken effect.
pub const CLAIMED: &str = "earlier-run-unknown";

const BODY_TOO_LONG: &str = "body-too-long";
const BODY_CUT: &str = "body-cut";
const BODY_LATE: &str = "body-late";

/// The status that tells of a fault by its stable name.
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
        Remedy::Elsewhere | Remedy::Later => format!("come back in {} ms", refusal.after),
        Remedy::Never => "nobody waits for the answer any more".to_owned(),
    }
}
