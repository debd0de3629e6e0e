//! Bandwidth of the host's link for answers: promises for large ones, and a count of all that are sent.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use axum::{BoxError, body::Body};
use bytes::Bytes;
use http::Response;
use http_body::{Body as HttpBody, Frame, SizeHint};
use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    admission::{
        answers::{AnswerLink, AnswerRequest, Promise},
        kinds::Kind,
        ranks::LinkOutlook,
    },
    refusal::Refusal,
};

use super::paced::LinkPacer;

/// Account of the link's bandwidth for answers, shared by the traffic threads; cheap to clone.
#[derive(Clone, Debug)]
pub struct AnswerBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    link: Mutex<AnswerLink>,
    pacer: LinkPacer,
    refused: AtomicU64,
}

/// Bandwidth promised to one answer. Dropping it releases what was not sent.
#[derive(Debug)]
pub struct Promised {
    budget: AnswerBudget,
    kind: Kind,
    /// Time up to which the answer is in time.
    due: Ms,
    promise: Promise,
}

impl AnswerBudget {
    /// Creates the account of a link of `mbps` Mbit/s; zero if its speed is unknown.
    pub fn new(clock: Clock, mbps: f64) -> AnswerBudget {
        AnswerBudget(Arc::new(Shared {
            pacer: LinkPacer::new(clock.clone(), mbps),
            clock,
            link: Mutex::new(AnswerLink::new(mbps)),
            refused: AtomicU64::new(0),
        }))
    }

    /// Returns whether answers to requests of `kind` are large, as far as is known.
    pub fn is_large(&self, kind: Kind) -> bool {
        self.lock().is_large(kind)
    }

    /// Promises bandwidth for the answer of `request`, or refuses the request if the link cannot send it in time.
    pub fn promise(&self, request: AnswerRequest) -> Result<Promised, Refusal> {
        let admitted = self.lock().admit(self.0.clock.now(), request);
        match admitted {
            Ok(promise) => Ok(Promised {
                budget: self.clone(),
                kind: request.kind,
                due: request.goal,
                promise,
            }),
            Err(refusal) => {
                self.0.refused.fetch_add(1, Ordering::Relaxed);
                Err(refusal)
            }
        }
    }

    /// Returns `body` paced, so that its bytes count as sent on the link when they are read. For answers of other nodes
    /// that this node forwards to callers, who have use for them until `due`.
    pub fn forwarded(&self, body: Body, due: Ms) -> Body {
        Body::new(Counted {
            inner: self.0.pacer.pace(body, due),
            account: Account::Forwarded(self.clone()),
        })
    }

    /// Returns the state of the link.
    pub fn outlook(&self) -> LinkOutlook {
        let now = self.0.clock.now();
        let mut link = self.lock();
        LinkOutlook {
            pending: u16::try_from(link.pending_ms(now)).unwrap_or(u16::MAX),
            rate: link.rate() as u32,
        }
    }

    /// Returns the time until all promised answers are through, in ms.
    pub fn pending_ms(&self) -> u64 {
        self.lock().pending_ms(self.0.clock.now())
    }

    /// Returns the number of bytes of answers that are promised or under way on the link.
    pub fn pending_bytes(&self) -> u64 {
        self.lock().pending_bytes(self.0.clock.now())
    }

    /// Returns the number of requests refused because the link had no room for their answers.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, AnswerLink> {
        self.0.link.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Promised {
    /// Sets the promise to the length of `answer`, which releases it as it is sent.
    pub fn attach(mut self, answer: Response<Body>) -> Response<Body> {
        // The upstream's failures are short, and a few of them would make a kind with large answers count as small.
        let teaches = answer.status().is_success();
        let length = answer.body().size_hint().exact();
        if let Some(length) = length {
            let now = self.budget.0.clock.now();
            let mut link = self.budget.lock();
            link.resize(&mut self.promise, length);
            if teaches {
                link.record(now, self.kind, length);
            }
        }
        let measured = match length {
            None if teaches => Measured::Bytes(0),
            _ => Measured::Done,
        };
        answer.map(|inner| {
            Body::new(Counted {
                inner: self.budget.0.pacer.pace(inner, self.due),
                account: Account::Promised(self, measured),
            })
        })
    }

    fn sent(&mut self, bytes: u64) {
        let now = self.budget.0.clock.now();
        self.budget.lock().sent(now, &mut self.promise, bytes);
    }
}

impl Drop for Promised {
    fn drop(&mut self) {
        let promise = std::mem::take(&mut self.promise);
        self.budget.lock().release(promise);
    }
}

/// A body whose bytes are counted as sent when they are read.
struct Counted {
    inner: Body,
    account: Account,
}

/// What the bytes of a body are counted against.
enum Account {
    Promised(Promised, Measured),
    Forwarded(AnswerBudget),
    /// The body ended.
    Closed,
}

/// How the size of an answer is learned.
enum Measured {
    /// Not at all, or it was learned from the header.
    Done,
    /// By counting; the number of bytes so far.
    Bytes(u64),
}

impl Account {
    fn sent(&mut self, bytes: u64) {
        match self {
            Account::Promised(promised, measured) => {
                promised.sent(bytes);
                if let Measured::Bytes(count) = measured {
                    *count += bytes;
                }
            }
            Account::Forwarded(budget) => {
                let now = budget.0.clock.now();
                budget.lock().sent_unpromised(now, bytes);
            }
            Account::Closed => {}
        }
    }

    /// Releases the promise of a whole answer and learns its size.
    fn close(&mut self) {
        if let Account::Promised(promised, Measured::Bytes(count)) = self {
            let now = promised.budget.0.clock.now();
            let mut link = promised.budget.lock();
            link.record(now, promised.kind, *count);
        }
        *self = Account::Closed;
    }
}

impl HttpBody for Counted {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        match &frame {
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, |it| it.len() as u64);
                self.account.sent(length);
            }
            Poll::Ready(None) => self.account.close(),
            Poll::Ready(Some(Err(_))) => self.account = Account::Closed,
            Poll::Pending => {}
        }
        frame.map_err(BoxError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
