//! A change on its way: submitted until its outcome is known.

use std::time::{Duration, Instant};

use laburnum_edge::api::{SubmitBody, VerdictBody};
use laburnum_kernel::SubmitId;
use rand::Rng;

use crate::client::{Client, ClientError};

/// What is known of a change in the end.
#[derive(Debug)]
pub enum Settled {
    /// The node told.
    Told(VerdictBody),
    /// Nothing was submitted: no node could be reached.
    Failed(ClientError),
    /// It was sent and its outcome cannot be learned for now.
    Unknown,
}

/// Waits between two attempts.
const PAUSE_MIN: Duration = Duration::from_millis(200);
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Submits `body` again and again under its one id until its outcome is known or `patience` is over.
///
/// An answer may be lost after the change was accepted; a program that then said "failed" would make its
/// operator submit it twice and meet a conflict with himself. The id makes another attempt safe: the log
/// never holds two changes of one id.
pub async fn settle(
    client: &Client,
    id: SubmitId,
    body: &SubmitBody,
    patience: Duration,
) -> Settled {
    let start = Instant::now();
    let mut pause = PAUSE_MIN;
    let mut sent = false;
    loop {
        let error = match attempt(client, id, body, sent).await {
            Next::Settled(settled) => return settled,
            Next::Again => {
                sent = true;
                None
            }
            Next::Unsent(error) => Some(error),
        };
        if start.elapsed() + pause > patience {
            return match error {
                Some(error) if !sent => Settled::Failed(error),
                _ => Settled::Unknown,
            };
        }
        tokio::time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        pause = PAUSE_MAX.min(pause * 2);
    }
}

/// What to do after one attempt.
enum Next {
    Settled(Settled),
    /// The change may be in.
    Again,
    /// The node was not reached.
    Unsent(ClientError),
}

async fn attempt(client: &Client, id: SubmitId, body: &SubmitBody, sent: bool) -> Next {
    // Asking is cheaper than submitting and never makes a conflict.
    if sent
        && let Ok(answer) = client.outcome(id).await
        && let VerdictBody::Accepted { .. } = answer.verdict
    {
        return Next::Settled(Settled::Told(answer.verdict));
    }
    match client.submit(body).await {
        Ok(answer) => match answer.verdict {
            VerdictBody::Unknown | VerdictBody::Absent => Next::Again,
            told => Next::Settled(Settled::Told(told)),
        },
        Err(error) if error.unsent() => Next::Unsent(error),
        Err(ClientError::Refused { status, error }) if status.is_client_error() => {
            Next::Settled(Settled::Told(VerdictBody::Refused { why: error }))
        }
        // Whatever answered, it is no node, and waiting does not make it one.
        Err(error @ ClientError::Strange { .. }) if !sent => Next::Settled(Settled::Failed(error)),
        Err(_) => Next::Again,
    }
}
