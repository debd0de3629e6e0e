//! At-most-once execution: a request is claimed before its first byte is sent to the upstream, and settled with
//! its outcome after the last byte of the answer.

use std::time::Duration;

use axum::body::Body;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, response};
use laburnum_kernel::{
    Call, Ms, Reply,
    once::{self, Answer as StoredAnswer, AttemptId, Ended, KEY_MAX, Key},
    refusal::{Reason, Refusal},
};
use tokio::time::timeout_at;

use super::{
    Traffic,
    answer::Answer,
    counts::ClaimResult,
    denial::{self, Denial},
    headers::{IDEMPOTENCY_KEY, OUTCOME, RAN, REPLAYED},
    owner::{Job, Window},
};

/// Time for which a run may continue after its deadline, so that its outcome is known to later requests with
/// the same key.
const RUN_EXTENSION: Duration = Duration::from_secs(10);
/// Retry delay when too many claim requests are in flight, in ms.
const CLAIM_RETRY_MS: u64 = 100;

/// Returns the caller's idempotency key.
pub(super) fn key_of(headers: &HeaderMap) -> Result<&str, Denial> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let key = values.next().and_then(|it| it.to_str().ok());
    match (key, values.next()) {
        (Some(key), None) if (1..=KEY_MAX).contains(&key.len()) => Ok(key),
        _ => {
            let why = format!(
                "requests of this route run at most once; send exactly one Idempotency-Key header of 1 to {KEY_MAX} characters"
            );
            Err(Denial::bad(StatusCode::BAD_REQUEST, "idempotency-key", why))
        }
    }
}

/// Result of a claim.
enum Claim {
    /// The request may run if it starts before `until`.
    Granted { until: Ms },
    /// The request ran before; this is its stored answer.
    Replay(StoredAnswer),
}

impl Traffic {
    /// Runs `job` at most once. The run continues if its caller disconnects, so that its answer is stored.
    pub(super) async fn run_once(&self, job: Job) -> Result<Response<Body>, Denial> {
        let key = Key {
            service: job.upstream.service.clone(),
            text: key_of(&job.headers)?.to_owned(),
        };
        let deadline = self.instant(job.deadline);
        let traffic = self.clone();
        let owned = self.count_owned();
        let run = tokio::spawn(async move {
            let result = traffic.run_claimed(job, key).await;
            drop(owned);
            result
        });
        match timeout_at(deadline, run).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Denial::unknown(
                "node-fault",
                "an internal error of the node ended the run; retry with the same Idempotency-Key",
            )),
            Err(_) => {
                let why = "no answer by the deadline; retry with the same Idempotency-Key";
                Err(Denial::unknown(denial::DEADLINE, why))
            }
        }
    }

    async fn run_claimed(&self, job: Job, key: Key) -> Result<Response<Body>, Denial> {
        let attempt = AttemptId(rand::random());
        let until = match self.claim(&job, &key, attempt).await? {
            Claim::Granted { until } => until,
            Claim::Replay(answer) => return Ok(replay(&answer)),
        };
        let admitted = self.admit(&job).await;
        let slot = match admitted {
            Ok(slot) if self.now() < until => slot,
            Ok(_) => {
                self.settle(key, attempt, Ended::NotRun);
                return Err(no_claim(0));
            }
            Err(denial) => {
                self.settle(key, attempt, Ended::NotRun);
                return Err(denial);
            }
        };
        let window = Window {
            start: until.min(job.deadline.at()),
            end: self.instant(job.deadline) + RUN_EXTENSION,
        };
        let result = self.exchange(job, slot, window).await;
        let ended = match &result {
            Ok(Answer::Whole(parts, bytes)) => Ended::Ran(stored(parts, bytes)),
            Ok(Answer::Streamed(_)) | Err(Denial::Unknown { .. }) => Ended::Unknown,
            Err(Denial::Refused(_) | Denial::Busy { .. } | Denial::Bad { .. }) => Ended::NotRun,
            Err(denial @ Denial::Undeliverable { .. }) => {
                let (parts, _) = denial.response().into_parts();
                Ended::Ran(stored(&parts, &[]))
            }
        };
        self.settle(key, attempt, ended);
        match result? {
            Answer::Whole(parts, bytes) => Ok(Response::from_parts(parts, Body::from(bytes))),
            Answer::Streamed(response) => Ok(response),
        }
    }

    /// Requests a claim and counts its result.
    async fn claim(&self, job: &Job, key: &Key, attempt: AttemptId) -> Result<Claim, Denial> {
        let claim = self.request_claim(job, key, attempt).await;
        self.0.counts.count_claim(match claim {
            Ok(Claim::Granted { .. }) => ClaimResult::Granted,
            Ok(Claim::Replay(_)) => ClaimResult::Replayed,
            Err(_) => ClaimResult::Refused,
        });
        claim
    }

    async fn request_claim(
        &self,
        job: &Job,
        key: &Key,
        attempt: AttemptId,
    ) -> Result<Claim, Denial> {
        let Ok(_permit) = self.0.claims.clone().try_acquire_owned() else {
            return Err(no_claim(CLAIM_RETRY_MS));
        };
        let call = once::Call::Claim {
            key: key.clone(),
            attempt,
            print: job.fingerprint,
        };
        let reply = self.0.control.call(Call::Once(call)).await;
        let Ok(Reply::Once(reply)) = reply else {
            return Err(no_claim(CLAIM_RETRY_MS));
        };
        match reply {
            once::Reply::Granted { until } => Ok(Claim::Granted { until }),
            once::Reply::Replay(answer) => Ok(Claim::Replay(answer)),
            once::Reply::Busy { after } => Err(Denial::Busy { after }),
            once::Reply::Unknown { why } => Err(Denial::unknown(denial::CLAIMED, why)),
            once::Reply::Unavailable { after, .. } => Err(no_claim(after)),
            once::Reply::Mismatch => {
                let why = "this Idempotency-Key was already used for a different request; choose a new key";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                Err(Denial::bad(status, "key-mismatch", why))
            }
            _ => Err(no_claim(CLAIM_RETRY_MS)),
        }
    }

    /// Stores the outcome in the background; a node that stops waits for this.
    fn settle(&self, key: Key, attempt: AttemptId, ended: Ended) {
        let owned = self.count_owned();
        let control = self.0.control.clone();
        tokio::spawn(async move {
            let call = once::Call::Settle {
                key,
                attempt,
                ended,
            };
            // If the control thread has ended, the claim expires and its outcome becomes unknown.
            let _ = control.call(Call::Once(call)).await;
            drop(owned);
        });
    }
}

fn no_claim(after: u64) -> Denial {
    Denial::Refused(Refusal::after(Reason::NoClaim, after))
}

fn stored(parts: &response::Parts, body: &[u8]) -> StoredAnswer {
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some((name.as_str().to_owned(), value))
    });
    StoredAnswer {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: body.to_vec(),
    }
}

fn replay(stored: &StoredAnswer) -> Response<Body> {
    let mut response = Response::new(Body::from(stored.body.clone()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in &stored.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(OUTCOME, RAN);
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
