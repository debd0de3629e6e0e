//! Submission of a change with retries until its outcome is known.

use std::time::{Duration, Instant};

use laburnum_edge::api::{SubmitBody, VerdictBody};
use laburnum_kernel::SubmitId;
use rand::Rng;

use crate::client::{Client, ClientError};

/// Final result of a submission.
#[derive(Debug)]
pub enum Settled {
    /// The node returned a verdict.
    Verdict(VerdictBody),
    /// Nothing was submitted: the node was not reached, or the address is not a node's.
    Failed(ClientError),
    /// The change was sent, but its outcome is still unknown.
    Unknown,
}

/// Bounds of the back-off between two attempts.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Submits `body` with retries under the same id until its outcome is known or `retry_limit` has passed.
///
/// A lost answer does not mean that the change was not accepted. Retries are safe because the log never
/// holds two changes with the same id.
pub async fn submit_with_retries(
    client: &Client,
    id: SubmitId,
    body: &SubmitBody,
    retry_limit: Duration,
) -> Settled {
    let start = Instant::now();
    let mut backoff = BACKOFF_MIN;
    let mut sent = false;
    loop {
        let error = match attempt(client, id, body, sent).await {
            Next::Return(settled) => return settled,
            Next::Retry => {
                sent = true;
                None
            }
            Next::RetryUnsent(error) => Some(error),
        };
        if start.elapsed() + backoff > retry_limit {
            return match error {
                Some(error) if !sent => Settled::Failed(error),
                _ => Settled::Unknown,
            };
        }
        tokio::time::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        backoff = BACKOFF_MAX.min(backoff * 2);
    }
}

/// What to do after an attempt.
enum Next {
    /// Return the result.
    Return(Settled),
    /// Retry; the change may have been accepted.
    Retry,
    /// Retry; the node was not reached.
    RetryUnsent(ClientError),
}

async fn attempt(client: &Client, id: SubmitId, body: &SubmitBody, sent: bool) -> Next {
    // A query for the outcome is cheaper than a submission and cannot conflict.
    if sent
        && let Ok(answer) = client.outcome(id).await
        && let VerdictBody::Accepted { .. } = answer.verdict
    {
        return Next::Return(Settled::Verdict(answer.verdict));
    }
    match client.submit(body).await {
        Ok(answer) => match answer.verdict {
            VerdictBody::Unknown | VerdictBody::Absent => Next::Retry,
            verdict => Next::Return(Settled::Verdict(verdict)),
        },
        Err(error) if error.is_unsent() => Next::RetryUnsent(error),
        Err(ClientError::Refused { status, error }) if status.is_client_error() => {
            Next::Return(Settled::Verdict(VerdictBody::Refused { why: error }))
        }
        // The address is not a node's, so a retry cannot succeed.
        Err(error @ ClientError::UnexpectedAnswer { .. }) if !sent => {
            Next::Return(Settled::Failed(error))
        }
        Err(_) => Next::Retry,
    }
}
