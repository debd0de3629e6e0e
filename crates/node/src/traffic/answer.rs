//! Owner side: receives the upstream's answer and determines the outcome of the request.

use std::sync::atomic::Ordering;

use axum::body::Body;
use bytes::Bytes;
use http::{Response, StatusCode, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use laburnum_edge::answer::BadHead;
use laburnum_kernel::{
    Ms,
    admission::Finish,
    document::Repeat,
    guard::{self, Fingerprint},
    refusal::{Reason, Refusal},
    rollout::{self, Ending},
    settings::Origin,
    utils::parse_thousandths,
};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::upstream::Run;

use super::{
    Traffic,
    body::{self, BodyFault, End},
    calls::TrackedRun,
    denial::{self, Denial},
    gate::Slot,
    headers::{self, OUTCOME, RAN, RETRY_AFTER_MS},
    owner::{Job, Payload},
    pool::{Execution, Lease},
};

/// Largest answer that is read whole before any of it is forwarded, in bytes.
const WHOLE_MAX: u64 = 64 * 1024;

/// Answer of the upstream.
pub(super) enum Answer {
    /// Read whole.
    Whole(http::response::Parts, Bytes),
    /// Still arriving.
    Streamed(Response<Body>),
}

/// A request that is running at the upstream.
pub(super) struct RunningRequest {
    pub(super) started: Ms,
    pub(super) run: Run,
    pub(super) slot: Slot,
    pub(super) suspect: Option<Suspect>,
    /// Entry in the table by which its calls are recognised, once it was sent.
    pub(super) tracked: Option<TrackedRun>,
}

/// A request that was in flight when an upstream crashed.
pub(super) struct Suspect {
    pub(super) fingerprint: Fingerprint,
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Traffic {
    /// Receives the answer of `job`, whole or as a stream.
    pub(super) async fn receive_answer(
        &self,
        job: &Job,
        run: RunningRequest,
        mut lease: Lease,
        answer: Response<Incoming>,
        limit: Instant,
    ) -> Result<Answer, Denial> {
        let execution = match self.0.dialect.is_not_run(answer.status(), answer.headers()) {
            true => Execution::Rejected,
            false => Execution::Ran,
        };
        let echo = self.0.dialect.echo(&job.headers, answer.headers());
        if !echo.is_some_and(|it| lease.accepts(it, execution)) {
            // Dropping the lease closes the connection; further bytes on it cannot be assigned to a request.
            run.slot.finish(Finish::Failed);
            let why = "the upstream sent the answer of another request, which was dropped; this request may have been run";
            return Err(Denial::unknown("crossed", why));
        }
        if answer.status() != StatusCode::MISDIRECTED_REQUEST {
            self.observe_statement(&job.upstream, run.started, answer.headers());
        }
        if execution == Execution::Rejected {
            return Err(self.rejected_by_upstream(run, lease, answer));
        }
        let now = self.now();
        let observed = rollout::Answer {
            priority: job.ranked.priority,
            ending: ending(answer.status()),
            millis: now.since(run.started),
        };
        self.0.trial.observe(now, observed);
        let length = answer.body().size_hint();
        let chunked = answer.headers().contains_key(header::TRANSFER_ENCODING);
        let framed = length.exact().is_some() || chunked;
        if !framed && self.0.origin == Origin::Submitted {
            // Such a body ends with its connection, so a truncated one would look whole.
            run.slot.finish(Finish::Failed);
            let why = "the upstream's answer has neither Content-Length nor chunked encoding and was dropped; the upstream must send one of them";
            return Err(Denial::unknown("unframed-answer", why));
        }
        if length.lower() > job.limit {
            run.slot.finish(Finish::Answered);
            return Err(answer_too_long());
        }
        let (mut parts, incoming) = answer.into_parts();
        headers::strip_hop(&mut parts.headers);
        headers::strip_internal(&mut parts.headers);
        parts.headers.insert(OUTCOME, RAN);
        parts.version = Version::HTTP_11;
        let whole = job.repeat == Repeat::Never || length.upper().is_some_and(|it| it <= WHOLE_MAX);
        if whole {
            let bytes = body::collect(incoming, job.limit, limit).await;
            return match bytes {
                Ok(bytes) => {
                    self.complete(run, lease, parts.status);
                    Ok(Answer::Whole(parts, bytes))
                }
                Err(fault) => Err(self.incomplete(run, fault)),
            };
        }
        let traffic = self.clone();
        let status = parts.status;
        let buffer = self.0.answer_buffer.clone();
        let body = body::pump(incoming, job.limit, limit, buffer, move |end| match end {
            End::Whole(_) => traffic.complete(run, lease, status),
            End::Failed(fault) => drop(traffic.incomplete(run, fault)),
            End::Dropped => drop((run, lease)),
        });
        Ok(Answer::Streamed(Response::from_parts(parts, body)))
    }

    /// Handles an answer by which the upstream rejects the request without running it.
    fn rejected_by_upstream(
        &self,
        run: RunningRequest,
        lease: Lease,
        answer: Response<Incoming>,
    ) -> Denial {
        if let Some(tracked) = run.tracked {
            tracked.rejected();
        }
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            // Another process listens at the address: nothing is sent there until the next announcement.
            run.slot.finish(Finish::Failed);
            self.0.upstream.withdraw_replaced();
            return Denial::Refused(Refusal::after(Reason::NotReady, 0));
        }
        run.slot.finish(Finish::Overloaded);
        if answer.body().is_end_stream() {
            lease.put_back();
        }
        Denial::Refused(shed_refusal(&answer))
    }

    fn complete(&self, run: RunningRequest, lease: Lease, status: StatusCode) {
        if let Some(tracked) = run.tracked {
            tracked.answered(status);
        }
        lease.put_back();
        run.slot.finish(Finish::Answered);
        self.0.upstream.observe_answer();
        self.0.upstream.remember_answered(run.run.fingerprint());
        if let Some(suspect) = run.suspect {
            let survived = guard::Call::Survived {
                print: suspect.fingerprint,
            };
            self.0.upstream.notify_guard(survived);
        }
    }

    /// Returns the denial for an answer that began but did not arrive whole.
    fn incomplete(&self, run: RunningRequest, fault: BodyFault) -> Denial {
        match fault {
            BodyFault::TooLong => {
                run.slot.finish(Finish::Answered);
                answer_too_long()
            }
            BodyFault::Late => deadline_missed(run.slot),
            BodyFault::Cut => {
                run.slot.finish(Finish::Failed);
                run.run.lost();
                Denial::unknown(
                    "answer-cut",
                    "the upstream's answer ended early and was dropped; the request may have been run",
                )
            }
        }
    }

    /// Returns the denial for an answer whose header cannot be trusted.
    pub(super) fn answer_broken(&self, run: RunningRequest, fault: BadHead) -> Denial {
        run.slot.finish(Finish::Failed);
        run.run.lost();
        Denial::from_bad_head(fault)
    }

    /// Returns the denial for a connection that broke before the answer.
    pub(super) fn connection_lost(&self, payload: &Payload, run: RunningRequest) -> Denial {
        run.slot.finish(Finish::Failed);
        if let Payload::Streamed(_, broken) = payload
            && broken.load(Ordering::SeqCst)
        {
            // The request's body failed first, which is no fault of the upstream.
            return Denial::unknown(
                "body-cut",
                "the request body ended early; send the request again with its whole body",
            );
        }
        run.run.lost();
        let why =
            "the upstream closed the connection before it answered; the request may have been run";
        Denial::unknown("upstream-lost", why)
    }
}

/// Returns how a request ended that an upstream answered with `status`.
pub(super) fn ending(status: StatusCode) -> Ending {
    match status.is_server_error() {
        true => Ending::Failed,
        false => Ending::Answered,
    }
}

/// Returns the refusal for a request that the upstream shed, with its retry delay.
fn shed_refusal(answer: &Response<Incoming>) -> Refusal {
    let headers = answer.headers();
    let after = headers::number(headers, &RETRY_AFTER_MS).ok().flatten();
    let seconds = headers.get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|it| parse_thousandths(it.to_str().ok()?));
    let after = after.or(seconds);
    Refusal::after(Reason::Shed, after.unwrap_or(0))
}

pub(super) fn deadline_missed(slot: Slot) -> Denial {
    slot.finish(Finish::Overloaded);
    let why = "no complete answer by the deadline; the request may have been run";
    Denial::unknown(denial::DEADLINE, why)
}

fn answer_too_long() -> Denial {
    let why = "the upstream's answer is longer than limits.body of the service's document; raise that limit";
    Denial::Undeliverable {
        why: why.to_owned(),
    }
}
