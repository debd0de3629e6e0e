//! Message bodies with limits on size and time, a memory budget for buffered bodies, and bodies that can be
//! reclaimed while unread.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use axum::{BoxError, body::Body};
use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, Sleep, timeout_at},
};

/// Reason why a body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// Longer than the document allows.
    #[error(
        "the body is longer than limits.body of the service's document; send a shorter body or raise that limit"
    )]
    TooLong,
    /// Ended early: short of its declared length, or because its connection broke.
    #[error("the body ended early; send the request again with its whole body")]
    Cut,
    /// Not complete at the deadline.
    #[error(
        "the body was not complete at the deadline; send it faster or raise the route's deadline"
    )]
    Late,
}

/// Reads a whole body of at most `limit` bytes, until `deadline`.
pub async fn collect<B>(body: B, limit: u64, deadline: Instant) -> Result<Bytes, BodyFault>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    if hint.lower() > limit {
        return Err(BodyFault::TooLong);
    }
    match timeout_at(deadline, read_frames(body, limit)).await {
        Ok(result) => result,
        Err(_) => Err(BodyFault::Late),
    }
}

async fn read_frames<B>(mut body: B, limit: u64) -> Result<Bytes, BodyFault>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let expected = body.size_hint().exact();
    let mut whole = Bytes::new();
    let mut parts = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Cut)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + parts.len() + data.len()) as u64 > limit {
            return Err(BodyFault::TooLong);
        }
        // A body of one frame, the common case, is not copied.
        match whole.is_empty() && parts.is_empty() {
            true => whole = data,
            false => {
                parts.extend_from_slice(&std::mem::take(&mut whole));
                parts.extend_from_slice(&data);
            }
        }
    }
    let bytes = match parts.is_empty() {
        true => whole,
        false => parts.freeze(),
    };
    match expected {
        Some(it) if it != bytes.len() as u64 => Err(BodyFault::Cut),
        _ => Ok(bytes),
    }
}

/// Memory budget shared by all buffered bodies; cheap to clone.
///
/// The limit for each body alone does not bound the memory that many simultaneous callers take.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Semaphore>);

/// Part of a [`Budget`], returned when dropped.
#[derive(Debug)]
pub struct Share {
    _permit: OwnedSemaphorePermit,
}

impl Budget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Budget {
        Budget(Arc::new(Semaphore::new(bytes)))
    }

    /// Takes `bytes` from the budget; `None` if fewer are left.
    pub fn take(&self, bytes: u64) -> Option<Share> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = self.0.clone().try_acquire_many_owned(bytes);
        permit.ok().map(|it| Share { _permit: it })
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Read whole; its length, in bytes.
    Whole(u64),
    /// Failed.
    Failed(BodyFault),
    /// Dropped by its reader.
    Dropped,
}

/// A body that fails at the size limit, at the deadline, or if it ends short of its declared length. Calls
/// `ended` once with the result.
pub struct Bounded<B, F: FnOnce(End)> {
    inner: B,
    limit: u64,
    /// Bytes that have arrived.
    read: u64,
    /// Declared bytes that have not arrived yet.
    missing: Option<u64>,
    timer: Pin<Box<Sleep>>,
    ended: Option<F>,
}

impl<B: HttpBody, F: FnOnce(End)> Bounded<B, F> {
    /// Limits `inner` to `limit` bytes until `deadline`.
    pub fn new(inner: B, limit: u64, deadline: Instant, ended: F) -> Bounded<B, F> {
        Bounded {
            missing: inner.size_hint().exact(),
            inner,
            limit,
            read: 0,
            timer: Box::pin(tokio::time::sleep_until(deadline)),
            ended: Some(ended),
        }
    }
}

impl<B, F> HttpBody for Bounded<B, F>
where
    B: HttpBody<Data = Bytes> + Unpin,
    F: FnOnce(End) + Unpin,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending if self.timer.as_mut().poll(cx).is_pending() => return Poll::Pending,
            Poll::Pending => return self.fail(BodyFault::Late),
        };
        match frame {
            Some(Ok(frame)) => match self.count(&frame) {
                Ok(()) => Poll::Ready(Some(Ok(frame))),
                Err(fault) => self.fail(fault),
            },
            Some(Err(_)) => self.fail(BodyFault::Cut),
            None if self.missing.is_some_and(|it| it > 0) => self.fail(BodyFault::Cut),
            None => {
                let read = self.read;
                self.end(End::Whole(read));
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // True only after `ended` was called, since a reader that sees true does not poll again.
        self.ended.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B, F: FnOnce(End)> Bounded<B, F> {
    fn count(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyFault> {
        let length = frame.data_ref().map_or(0, |it| it.len() as u64);
        self.read += length;
        if self.read > self.limit {
            return Err(BodyFault::TooLong);
        }
        if let Some(missing) = &mut self.missing {
            *missing = missing.checked_sub(length).ok_or(BodyFault::Cut)?;
        }
        Ok(())
    }

    fn fail(&mut self, fault: BodyFault) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.end(End::Failed(fault));
        Poll::Ready(Some(Err(fault.into())))
    }

    fn end(&mut self, end: End) {
        if let Some(ended) = self.ended.take() {
            ended(end);
        }
    }
}

impl<B, F: FnOnce(End)> Drop for Bounded<B, F> {
    fn drop(&mut self) {
        // Many readers stop at the last declared byte without polling for the end.
        let end = match self.missing {
            Some(0) => End::Whole(self.read),
            _ => End::Dropped,
        };
        self.end(end);
    }
}

/// A request body that can be reclaimed as long as none of its bytes were read.
///
/// A request that was not run may be sent to another upstream only with its whole body.
#[derive(Clone)]
pub struct ReclaimableBody(Arc<Mutex<Reading>>);

enum Reading {
    Untouched(Body),
    Started(Body),
    Taken,
}

impl ReclaimableBody {
    /// Wraps `body`; clones share it.
    pub fn new(body: Body) -> ReclaimableBody {
        ReclaimableBody(Arc::new(Mutex::new(Reading::Untouched(body))))
    }

    /// Takes the body back if nothing was read, or else drops it; reading from other clones then fails.
    pub fn reclaim(&self) -> Option<Body> {
        let mut reading = self.lock();
        match std::mem::replace(&mut *reading, Reading::Taken) {
            Reading::Untouched(body) => Some(body),
            Reading::Started(_) | Reading::Taken => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Reading> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HttpBody for ReclaimableBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut reading = self.lock();
        match &mut *reading {
            Reading::Started(body) => Pin::new(body).poll_frame(cx).map_err(BoxError::from),
            Reading::Taken => Poll::Ready(Some(Err(BodyFault::Cut.into()))),
            Reading::Untouched(body) => {
                let frame = Pin::new(body).poll_frame(cx);
                if frame.is_ready()
                    && let Reading::Untouched(body) =
                        std::mem::replace(&mut *reading, Reading::Taken)
                {
                    *reading = Reading::Started(body);
                }
                frame.map_err(BoxError::from)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &*self.lock() {
            Reading::Untouched(body) | Reading::Started(body) => body.is_end_stream(),
            Reading::Taken => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &*self.lock() {
            Reading::Untouched(body) | Reading::Started(body) => body.size_hint(),
            Reading::Taken => SizeHint::default(),
        }
    }
}

/// Number of frames buffered between an upstream and a slow reader without taking a share of the budget.
const PUMP_FRAMES: usize = 4;
/// Maximum number of frames buffered with shares of the budget.
const PUMP_FRAMES_MAX: usize = 64;

/// Returns a body that is read by a separate task, so that `ended` is called by the deadline even if the reader
/// stalls.
///
/// HTTP/2 flow control stops polling the body of a stalled reader, so its own timer would not run and the
/// reader would occupy a slot of the upstream. For the same reason frames that wait for the link are buffered as far as
/// `budget` allows.
pub fn pump<B, F>(inner: B, limit: u64, deadline: Instant, budget: Budget, ended: F) -> Body
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    F: FnOnce(End) + Unpin + Send + 'static,
{
    let hint = inner.size_hint();
    let mut body = Bounded::new(inner, limit, deadline, ended);
    let (sender, frames) = mpsc::channel(PUMP_FRAMES_MAX);
    tokio::spawn(async move {
        let work = async {
            while let Some(frame) = body.frame().await {
                let last = frame.is_err();
                let share = buffer_share(&sender, &budget, &frame).await;
                let item = PumpItem::Frame {
                    frame,
                    _share: share,
                };
                if sender.send(item).await.is_err() || last {
                    return;
                }
            }
            // The end is sent explicitly: a closed channel alone counts as a truncated body.
            let _ = sender.send(PumpItem::End).await;
        };
        tokio::select! {
            () = work => {}
            // The reader is gone: drop the upstream's answer at once rather than at its next byte.
            () = sender.closed() => {}
            () = tokio::time::sleep_until(deadline + Duration::from_millis(1)) => {}
        }
    });
    Body::new(PumpedBody { frames, hint })
}

/// Takes a share of the budget for `frame` if [`PUMP_FRAMES`] are buffered, or waits until fewer are.
async fn buffer_share(
    sender: &mpsc::Sender<PumpItem>,
    budget: &Budget,
    frame: &Result<Frame<Bytes>, BoxError>,
) -> Option<Share> {
    let free = PUMP_FRAMES_MAX - PUMP_FRAMES + 1;
    if sender.capacity() >= free {
        return None;
    }
    let data = frame.as_ref().ok().and_then(Frame::data_ref);
    let share = budget.take(data.map_or(0, |it| it.len() as u64));
    if share.is_none() {
        // Fails only if the reader is gone, which the next send reports.
        let _ = sender.reserve_many(free).await;
    }
    share
}

struct PumpedBody {
    frames: mpsc::Receiver<PumpItem>,
    hint: SizeHint,
}

enum PumpItem {
    Frame {
        frame: Result<Frame<Bytes>, BoxError>,
        /// Part of the budget that it takes until it is read.
        _share: Option<Share>,
    },
    End,
}

impl HttpBody for PumpedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.frames.poll_recv(cx).map(|it| match it {
            Some(PumpItem::Frame { frame, .. }) => Some(frame),
            Some(PumpItem::End) => None,
            None => Some(Err(BodyFault::Cut.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.hint
    }
}
