//! The owner's second half: takes the upstream's answer and says what became of the request.

use std::sync::atomic::Ordering;

use axum::body::Body;
use bytes::Bytes;
use http::{Response, StatusCode, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use laburnum_kernel::{
    admission::Finish,
    document::Repeat,
    guard::{self, Fingerprint},
    refusal::{Reason, Refusal},
    settings::Origin,
};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::upstream::Run;

use super::{
    Traffic,
    body::{self, BodyFault, End},
    denial::{self, Denial},
    gate::Slot,
    headers::{self, OUTCOME, RAN, RETRY_AFTER_MS},
    owner::{Job, Payload},
    pool::Lease,
};

/// Answers of up to this many bytes are read whole before any of it goes on to the caller.
const WHOLE_MAX: u64 = 64 * 1024;

/// What the upstream gave.
pub(super) enum Answer {
    /// It was read whole.
    Whole(http::response::Parts, Bytes),
    /// It is still arriving.
    Streamed(Response<Body>),
}

/// A request at the upstream.
pub(super) struct Running {
    pub(super) run: Run,
    pub(super) slot: Slot,
    pub(super) suspect: Option<Suspect>,
}

/// A request that was in flight in one crash.
pub(super) struct Suspect {
    pub(super) print: Fingerprint,
    pub(super) _turn: OwnedSemaphorePermit,
}

impl Traffic {
    /// Takes the answer of `job`, whole or as it arrives.
    pub(super) async fn answer(
        &self,
        job: &Job,
        run: Running,
        lease: Lease,
        answer: Response<Incoming>,
        limit: Instant,
    ) -> Result<Answer, Denial> {
        if !self.0.dialect.belongs(&job.headers, answer.headers()) {
            // Dropping the lease closes the connection: what else arrives on it belongs to nobody.
            run.slot.finish(Finish::Failed);
            let why =
                "the upstream sent the answer to another request: the request may have been run";
            return Err(Denial::unknown("crossed", why));
        }
        if self.0.dialect.unrun(answer.status(), answer.headers()) {
            return Err(self.unrun(run, lease, answer));
        }
        let length = answer.body().size_hint();
        let chunked = answer.headers().contains_key(header::TRANSFER_ENCODING);
        let framed = length.exact().is_some() || chunked;
        if !framed && self.0.origin == Origin::Submitted {
            // Such a body ends when its connection does: one cut by a crash would look whole.
            run.slot.finish(Finish::Failed);
            let why = "the upstream's answer has no length: send Content-Length or chunks";
            return Err(Denial::unknown("unframed-answer", why));
        }
        if length.lower() > job.limit {
            run.slot.finish(Finish::Answered);
            return Err(unfit());
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
                    self.whole(run, lease);
                    Ok(Answer::Whole(parts, bytes))
                }
                Err(fault) => Err(self.cut(run, fault)),
            };
        }
        let traffic = self.clone();
        let body = body::pump(incoming, job.limit, limit, move |end| match end {
            End::Whole => traffic.whole(run, lease),
            End::Failed(fault) => drop(traffic.cut(run, fault)),
            End::Dropped => drop((run, lease)),
        });
        Ok(Answer::Streamed(Response::from_parts(parts, body)))
    }

    /// The upstream says that it did not run the request.
    fn unrun(&self, run: Running, lease: Lease, answer: Response<Incoming>) -> Denial {
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            // Another process has the address: nothing more goes there before the next announcement.
            run.slot.finish(Finish::Failed);
            self.0.upstream.replaced();
            return Denial::Refused(Refusal::after(Reason::NotReady, 0));
        }
        run.slot.finish(Finish::Overloaded);
        if answer.body().is_end_stream() {
            lease.put_back();
        }
        Denial::Refused(shed(&answer))
    }

    fn whole(&self, run: Running, lease: Lease) {
        lease.put_back();
        run.slot.finish(Finish::Answered);
        self.0.upstream.served();
        self.0.upstream.answered(run.run.print());
        if let Some(suspect) = run.suspect {
            let survived = guard::Call::Survived {
                print: suspect.print,
            };
            self.0.upstream.tell(survived);
        }
    }

    /// The answer began and did not arrive whole.
    fn cut(&self, run: Running, fault: BodyFault) -> Denial {
        match fault {
            BodyFault::TooLong => {
                run.slot.finish(Finish::Answered);
                unfit()
            }
            BodyFault::Late => late(run.slot),
            BodyFault::Cut => {
                run.slot.finish(Finish::Failed);
                run.run.lost();
                Denial::unknown(
                    "answer-cut",
                    "the upstream's answer ended early and was dropped",
                )
            }
        }
    }

    /// The connection broke before an answer.
    pub(super) fn lost(&self, payload: &Payload, run: Running) -> Denial {
        run.slot.finish(Finish::Failed);
        if let Payload::Streamed(_, broken) = payload
            && broken.load(Ordering::SeqCst)
        {
            // Its caller cut the request, not the upstream the connection.
            return Denial::unknown("body-cut", "the body ended early: send it again whole");
        }
        run.run.lost();
        let why = "the upstream broke the connection: the request may have been run";
        Denial::unknown("upstream-lost", why)
    }
}

/// When an upstream that shed a request wants it again.
fn shed(answer: &Response<Incoming>) -> Refusal {
    let headers = answer.headers();
    let after = headers::number(headers, &RETRY_AFTER_MS).ok().flatten();
    let seconds = headers::number(headers, &header::RETRY_AFTER)
        .ok()
        .flatten();
    let after = after.or(seconds.map(|it| it.saturating_mul(1000)));
    Refusal::after(Reason::Shed, after.unwrap_or(0))
}

pub(super) fn late(slot: Slot) -> Denial {
    slot.finish(Finish::Overloaded);
    let why = "no whole answer by the deadline: the request may have been run";
    Denial::unknown(denial::DEADLINE, why)
}

fn unfit() -> Denial {
    let why =
        "the upstream's answer is longer than limits.body of the service's document; raise it";
    Denial::Unfit {
        why: why.to_owned(),
    }
}
