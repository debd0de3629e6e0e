//! Notices callers that close their connection while the HTTP library reads nothing from it.
//!
//! The library sees the end of a connection only when it reads, and it stops reading while further requests, or a body
//! that nobody takes, stand before that end. The request in progress would be worked on for nobody, and the next ones
//! would be started after their caller left. A caller that closes its sending direction counts as gone, as it does to
//! the library.

use std::{
    collections::VecDeque,
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BufMut, BytesMut};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tokio::{
    io::{AsyncRead, Interest, ReadBuf},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Sleep, sleep},
};

use super::body::{Budget, Share};

/// What the kernel reports of a connection that its peer has closed or reset.
const GONE: PollFlags = PollFlags::RDHUP.union(PollFlags::HUP).union(PollFlags::ERR);
/// Time for which bytes may stand unread before they are read ahead: longer than the library takes to read them itself,
/// and short beside the half second within which work for a caller that left must end.
const UNREAD_TIME: Duration = Duration::from_millis(100);
/// Maximum number of bytes read ahead on one connection: the longest body and the requests behind it.
const AHEAD_MAX: usize = 2 * 1024 * 1024;
/// Size of the buffers for bytes read ahead.
const CHUNK_BYTES: usize = 16 * 1024;

/// Returns whether the peer has closed or reset the connection of `socket`.
///
/// Requests that were read late may have been given up long before, and none of them may reach an upstream. The
/// kernel is asked, because the runtime may not have heard of the close when the request is read.
pub fn has_left(socket: &OwnedWriteHalf) -> bool {
    let socket: &TcpStream = socket.as_ref();
    let mut asked = [PollFd::new(socket, PollFlags::RDHUP)];
    let at_once = Timespec::default();
    // An error says nothing of the caller; the request is then served.
    let _ = poll(&mut asked, Some(&at_once));
    asked[0].revents().intersects(GONE)
}

/// Returns the reader of a caller's connection for the HTTP library, and the watch for the caller's departure.
///
/// `budget` is the memory for bytes that are read ahead, shared by all connections.
pub fn watch(
    reader: OwnedReadHalf,
    writer: Arc<OwnedWriteHalf>,
    budget: Budget,
) -> (WatchedReader, Departure) {
    let ahead = Arc::new(ReadAhead::new(budget));
    let departure = Departure {
        closed: Box::pin(wait_for_close(writer.clone())),
        socket: writer,
        ahead: ahead.clone(),
        timer: None,
    };
    (WatchedReader { reader, ahead }, departure)
}

/// Completes when the peer has closed or reset the connection, whatever stands unread before.
async fn wait_for_close(socket: Arc<OwnedWriteHalf>) {
    loop {
        // The priority interest includes the closed state and, unlike the readable one, no unread bytes.
        match socket.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
            Ok(_) | Err(_) => return,
        }
    }
}

/// Reader of a caller's connection: first what was read ahead, then the socket.
#[derive(Debug)]
pub struct WatchedReader {
    reader: OwnedReadHalf,
    ahead: Arc<ReadAhead>,
}

/// Watch for the departure of a caller.
pub struct Departure {
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
    socket: Arc<OwnedWriteHalf>,
    ahead: Arc<ReadAhead>,
    /// Runs while bytes stand unread.
    timer: Option<Pin<Box<Sleep>>>,
}

/// Bytes that were read before the HTTP library asked for them.
#[derive(Debug)]
struct ReadAhead {
    budget: Budget,
    chunks: Mutex<VecDeque<Chunk>>,
}

#[derive(Debug)]
struct Chunk {
    bytes: BytesMut,
    /// Part of the budget that it takes until it is read.
    _share: Share,
}

/// Result of reading ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fill {
    /// Bytes were read.
    Read,
    /// No bytes stand unread.
    Nothing,
    /// There is no room for more.
    Full,
    /// The connection has ended.
    Ended,
}

impl Departure {
    /// Completes when the caller has left. To be polled after the HTTP library, by the same task.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.closed.as_mut().poll(cx).is_ready() {
            self.closed = Box::pin(std::future::ready(()));
            return Poll::Ready(());
        }
        self.poll_ahead(cx)
    }

    /// Ends the watch. Unless the library still holds the connection, it is closed without being shut down first, which
    /// would cost another system call.
    pub fn close(self) {
        let Departure { closed, socket, .. } = self;
        drop(closed);
        if let Some(socket) = Arc::into_inner(socket) {
            socket.forget();
        }
    }

    /// Reads what stands unread for long.
    ///
    /// While bytes fill the socket's buffer, the end of the connection cannot arrive behind them.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let socket: &TcpStream = (*self.socket).as_ref();
        loop {
            if !socket.poll_read_ready(cx).is_ready() {
                if self.ahead.is_empty() {
                    self.timer = None;
                }
                return Poll::Pending;
            }
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(sleep(UNREAD_TIME)));
            ready!(timer.as_mut().poll(cx));
            match self.ahead.fill(socket) {
                // The library may have looked for bytes just before.
                Fill::Read => cx.waker().wake_by_ref(),
                Fill::Nothing => {}
                Fill::Full => self.timer = None,
                Fill::Ended => return Poll::Ready(()),
            }
        }
    }
}

impl ReadAhead {
    fn new(budget: Budget) -> ReadAhead {
        ReadAhead {
            budget,
            chunks: Mutex::default(),
        }
    }

    fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Reads from `socket` once.
    fn fill(&self, socket: &TcpStream) -> Fill {
        let mut chunks = self.lock();
        let has_room = chunks
            .back()
            .is_some_and(|it| it.bytes.len() < it.bytes.capacity());
        if !has_room {
            if chunks.len() * CHUNK_BYTES >= AHEAD_MAX {
                return Fill::Full;
            }
            let Some(share) = self.budget.take(CHUNK_BYTES as u64) else {
                return Fill::Full;
            };
            chunks.push_back(Chunk {
                bytes: BytesMut::with_capacity(CHUNK_BYTES),
                _share: share,
            });
        }
        let Some(last) = chunks.back_mut() else {
            return Fill::Full;
        };
        let room = last.bytes.capacity() - last.bytes.len();
        let read = socket.try_read_buf(&mut (&mut last.bytes).limit(room));
        if last.bytes.is_empty() {
            chunks.pop_back();
        }
        match read {
            Ok(0) => Fill::Ended,
            Ok(_) => Fill::Read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Fill::Nothing,
            Err(_) => Fill::Ended,
        }
    }

    /// Moves bytes to `buffer`; false if there are none.
    fn take(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut chunks = self.lock();
        let Some(first) = chunks.front_mut() else {
            return false;
        };
        let length = first.bytes.len().min(buffer.remaining());
        buffer.put_slice(&first.bytes[..length]);
        first.bytes.advance(length);
        if first.bytes.is_empty() {
            chunks.pop_front();
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Chunk>> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for WatchedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ahead.take(buffer) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.reader).poll_read(cx, buffer)
    }
}
