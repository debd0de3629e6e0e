//! Writer of a socket whose writes fail when the reader takes no bytes for too long.

use std::{
    future::Future,
    io,
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::AsyncWrite,
    net::{TcpStream, tcp::OwnedWriteHalf},
    time::{Sleep, sleep},
};

/// Limits the time that a write may wait for the reader.
///
/// Otherwise a caller that stops reading in the middle of an answer would keep its connection and the buffered
/// bytes.
#[derive(Debug)]
pub struct StallTimeout {
    socket: Arc<OwnedWriteHalf>,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallTimeout {
    /// Limits the writes to `socket` to `limit` each.
    pub fn new(socket: Arc<OwnedWriteHalf>, limit: Duration) -> StallTimeout {
        StallTimeout {
            socket,
            limit,
            timer: None,
        }
    }

    fn socket(&self) -> &TcpStream {
        (*self.socket).as_ref()
    }

    fn poll_stalled<T>(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        let written = poll_write(self.socket(), cx, write);
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

fn poll_write<T>(
    socket: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(socket.poll_write_ready(cx))?;
        match write(socket) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

impl AsyncWrite for StallTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_stalled(cx, |it| it.try_write(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_stalled(cx, |it| it.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.socket()).shutdown(Shutdown::Write))
    }
}
