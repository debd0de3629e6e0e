//! TCP stream that fails when too many bytes arrive before the header of an answer.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes before the end of an answer's header, interim answers included: above the longest header that
/// the HTTP library takes, 400 KiB, and what it reads ahead of the body.
const HEAD_MAX: usize = 1024 * 1024;
/// Value of a budget that is not limited.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that may arrive before the header of the next answer; cheap to clone.
#[derive(Clone, Debug)]
pub struct HeadBudget(Arc<AtomicUsize>);

impl Default for HeadBudget {
    fn default() -> HeadBudget {
        HeadBudget(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadBudget {
    /// Limits what arrives from now on.
    pub fn limit(&self) {
        self.0.store(HEAD_MAX, Ordering::Relaxed);
    }

    /// Ends the limit: the header has arrived.
    pub fn lift(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns whether more arrived than was allowed.
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let spend = |left| match left {
            UNLIMITED => None,
            left => Some(usize::saturating_sub(left, bytes)),
        };
        // An error means that there is no limit.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend);
        match self.is_exceeded() {
            true => Err(io::Error::other("the header of the answer has no end")),
            false => Ok(()),
        }
    }
}

/// Limits the bytes that are read before the header of an answer.
///
/// The HTTP library limits one header, but reads interim answers one after the other for as long as they come.
#[derive(Debug)]
pub struct HeadLimit {
    stream: TcpStream,
    budget: HeadBudget,
}

impl HeadLimit {
    /// Limits the reads of `stream` by `budget`.
    pub fn new(stream: TcpStream, budget: HeadBudget) -> HeadLimit {
        HeadLimit { stream, budget }
    }
}

impl AsyncRead for HeadLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.budget.spend(buffer.filled().len() - before))
    }
}

impl AsyncWrite for HeadLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
