//! At most once: a run is claimed before the first byte goes out and settled after the last came in.

use std::time::Duration;

use axum::body::Body;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, response};
use laburnum_kernel::{
    Call, Ms, Reply,
    once::{self, Answer as Kept, AttemptId, Ended, KEY_MAX, Key},
    refusal::{Reason, Refusal},
};
use tokio::time::timeout_at;

use super::{
    Traffic,
    answer::Answer,
    counts::Claimed,
    denial::{self, Denial},
    headers::{IDEMPOTENCY_KEY, OUTCOME, RAN, REPLAYED},
    owner::{Job, Window},
};

/// How long a run goes on after its deadline, so that its outcome is known to those who ask again.
const OVERTIME: Duration = Duration::from_secs(10);
/// When to come back if too many claims are on their way, in ms.
const CLAIMS_MS: u64 = 100;

/// Reads the caller's idempotency key.
pub(super) fn key_of(headers: &HeaderMap) -> Result<&str, Denial> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let key = values.next().and_then(|it| it.to_str().ok());
    match (key, values.next()) {
        (Some(key), None) if (1..=KEY_MAX).contains(&key.len()) => Ok(key),
        _ => {
            let why = format!(
                "this route runs at most once: send one Idempotency-Key of 1 to {KEY_MAX} characters"
            );
            Err(Denial::bad(StatusCode::BAD_REQUEST, "idempotency-key", why))
        }
    }
}

/// What a claim met.
enum Claim {
    /// Run it before `until`.
    Granted { until: Ms },
    /// It ran before.
    Replay(Kept),
}

impl Traffic {
    /// Runs `job` at most once. The run goes on when its caller leaves, so that its answer is kept.
    pub(super) async fn run_once(&self, job: Job) -> Result<Response<Body>, Denial> {
        let key = Key {
            service: job.present.service.clone(),
            text: key_of(&job.headers)?.to_owned(),
        };
        let deadline = self.instant(job.deadline);
        let traffic = self.clone();
        let owned = self.owned_guard();
        let run = tokio::spawn(async move {
            let result = traffic.claimed(job, key).await;
            drop(owned);
            result
        });
        match timeout_at(deadline, run).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Denial::unknown(
                "node-fault",
                "the run failed; ask again with the same key",
            )),
            Err(_) => {
                let why = "no answer by the deadline: ask again with the same Idempotency-Key";
                Err(Denial::unknown(denial::DEADLINE, why))
            }
        }
    }

    async fn claimed(&self, job: Job, key: Key) -> Result<Response<Body>, Denial> {
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
            end: self.instant(job.deadline) + OVERTIME,
        };
        let result = self.exchange(job, slot, window).await;
        let ended = match &result {
            Ok(Answer::Whole(parts, bytes)) => Ended::Ran(kept(parts, bytes)),
            Ok(Answer::Streamed(_)) | Err(Denial::Unknown { .. }) => Ended::Unknown,
            Err(Denial::Refused(_) | Denial::Busy { .. } | Denial::Bad { .. }) => Ended::NotRun,
            Err(denial @ Denial::Unfit { .. }) => {
                let (parts, _) = denial.response().into_parts();
                Ended::Ran(kept(&parts, &[]))
            }
        };
        self.settle(key, attempt, ended);
        match result? {
            Answer::Whole(parts, bytes) => Ok(Response::from_parts(parts, Body::from(bytes))),
            Answer::Streamed(response) => Ok(response),
        }
    }

    /// Asks for the right to run.
    async fn claim(&self, job: &Job, key: &Key, attempt: AttemptId) -> Result<Claim, Denial> {
        let claim = self.ask_claim(job, key, attempt).await;
        self.0.counts.claimed(match claim {
            Ok(Claim::Granted { .. }) => Claimed::Granted,
            Ok(Claim::Replay(_)) => Claimed::Replayed,
            Err(_) => Claimed::Refused,
        });
        claim
    }

    async fn ask_claim(&self, job: &Job, key: &Key, attempt: AttemptId) -> Result<Claim, Denial> {
        let Ok(_place) = self.0.claims.clone().try_acquire_owned() else {
            return Err(no_claim(CLAIMS_MS));
        };
        let call = once::Call::Claim {
            key: key.clone(),
            attempt,
            print: job.print,
        };
        let reply = self.0.control.call(Call::Once(call)).await;
        let Ok(Reply::Once(reply)) = reply else {
            return Err(no_claim(CLAIMS_MS));
        };
        match reply {
            once::Reply::Granted { until } => Ok(Claim::Granted { until }),
            once::Reply::Replay(answer) => Ok(Claim::Replay(answer)),
            once::Reply::Busy { after } => Err(Denial::Busy { after }),
            once::Reply::Unknown { why } => Err(Denial::unknown(denial::CLAIMED, why)),
            once::Reply::Unavailable { after, .. } => Err(no_claim(after)),
            once::Reply::Mismatch => {
                let why = "this Idempotency-Key was used for another request: choose a new one";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                Err(Denial::bad(status, "key-mismatch", why))
            }
            _ => Err(no_claim(CLAIMS_MS)),
        }
    }

    /// Has the outcome kept, in the background; a node that leaves waits for it.
    fn settle(&self, key: Key, attempt: AttemptId, ended: Ended) {
        let owned = self.owned_guard();
        let control = self.0.control.clone();
        tokio::spawn(async move {
            let call = once::Call::Settle {
                key,
                attempt,
                ended,
            };
            // Without a control thread the claim's holder is gone, and the claim becomes unknown by itself.
            let _ = control.call(Call::Once(call)).await;
            drop(owned);
        });
    }
}

fn no_claim(after: u64) -> Denial {
    Denial::Refused(Refusal::after(Reason::NoClaim, after))
}

fn kept(parts: &response::Parts, body: &[u8]) -> Kept {
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some((name.as_str().to_owned(), value))
    });
    Kept {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: body.to_vec(),
    }
}

fn replay(kept: &Kept) -> Response<Body> {
    let mut response = Response::new(Body::from(kept.body.clone()));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in &kept.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(OUTCOME, RAN);
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
