//! Bodies of answers that are handed to connections at the pace of the host's link.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use axum::{BoxError, body::Body};
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    admission::{
        link::UNGATED_MAX_BYTES,
        pacer::{Pacer, Take, Turn},
    },
};
use tokio::time::{Sleep, sleep};

/// Paces the answers of one host; cheap to clone.
#[derive(Clone, Debug)]
pub struct LinkPacer(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    pacer: Mutex<Pacer>,
    turns: AtomicU64,
}

impl LinkPacer {
    /// Creates the pacer of a link of `mbps` Mbit/s; zero if its speed is unknown, which paces nothing.
    pub fn new(clock: Clock, mbps: f64) -> LinkPacer {
        LinkPacer(Arc::new(Shared {
            clock,
            pacer: Mutex::new(Pacer::new(mbps)),
            turns: AtomicU64::new(0),
        }))
    }

    /// Returns `body` paced; among long answers, the one with the earliest `due` goes first.
    pub fn pace(&self, body: Body, due: Ms) -> Body {
        let Some(part) = self.lock().part_bytes() else {
            return body;
        };
        let length = body.size_hint().exact();
        Body::new(Paced {
            pacer: self.clone(),
            turn: Turn {
                due,
                number: self.0.turns.fetch_add(1, Ordering::Relaxed),
            },
            part,
            length: length.unwrap_or_default(),
            inner: body,
            unsent: Bytes::new(),
            wait: None,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Pacer> {
        self.0.pacer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body whose bytes draw from the link's tokens.
struct Paced {
    pacer: LinkPacer,
    turn: Turn,
    /// Largest part that is handed over at once, in bytes.
    part: usize,
    /// Declared length, or the number of bytes so far if that is more.
    length: u64,
    inner: Body,
    /// Bytes read from `inner` that were not handed over yet.
    unsent: Bytes,
    /// Timer until the next request for tokens.
    wait: Option<Pin<Box<Sleep>>>,
}

impl Paced {
    /// Waits for the tokens of the next part of a long answer, and returns the part.
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        let length = self.unsent.len().min(self.part);
        loop {
            if let Some(wait) = &mut self.wait {
                ready!(wait.as_mut().poll(cx));
                self.wait = None;
            }
            let now = self.pacer.0.clock.now();
            let taken = self.pacer.lock().take(now, self.turn, length as u64);
            match taken {
                Take::Send => return Poll::Ready(self.unsent.split_to(length)),
                Take::Wait(millis) => {
                    self.wait = Some(Box::pin(sleep(Duration::from_millis(millis))));
                }
            }
        }
    }

    fn is_long(&self) -> bool {
        self.length > UNGATED_MAX_BYTES
    }
}

impl HttpBody for Paced {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.unsent.is_empty() {
            let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                other => return Poll::Ready(other.map(|it| it.map_err(BoxError::from))),
            };
            let data = match frame.into_data() {
                Ok(data) => data,
                Err(frame) => return Poll::Ready(Some(Ok(frame))),
            };
            let has_length = self.inner.size_hint().exact().is_some();
            if !has_length {
                self.length += data.len() as u64;
            }
            if !self.is_long() {
                let now = self.pacer.0.clock.now();
                self.pacer.lock().draw(now, data.len() as u64);
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            self.unsent = data;
            if self.unsent.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(Bytes::new()))));
            }
        }
        let part = ready!(self.poll_part(cx));
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let unsent = self.unsent.len() as u64;
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + unsent);
        }
        hint.set_lower(inner.lower() + unsent);
        hint
    }
}

impl Drop for Paced {
    fn drop(&mut self) {
        self.pacer.lock().leave(self.turn);
    }
}
