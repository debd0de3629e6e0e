//! HTTP/1.1 server whose connections are numbered and can be cut or drained.

use std::{
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use crate::body::{Body, ConnectionCut};

/// Number of a connection, from 1 in the order of acceptance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Counter of connections, shared by consecutive servers of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct ConnCounter(Arc<AtomicU64>);

/// A running server. Dropping it has the effect of [`Server::close`], so its owner may be aborted.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Pause before the next accept after a failed one, in ms, as when the process has no free descriptor.
const ACCEPT_RETRY_MS: u64 = 10;

impl ConnCounter {
    /// Returns the newest connection.
    pub fn newest(&self) -> ConnId {
        ConnId(self.0.load(Ordering::SeqCst))
    }

    fn next(&self) -> ConnId {
        ConnId(self.0.fetch_add(1, Ordering::SeqCst) + 1)
    }
}

impl Server {
    /// Serves `listener`. A handler that returns [`ConnectionCut`] closes its connection; a handler is dropped when its
    /// caller disconnects.
    pub fn start<F, A>(
        listener: TcpListener,
        counter: ConnCounter,
        handler: F,
    ) -> std::io::Result<Server>
    where
        F: Fn(ConnId, Request<Incoming>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<Response<Body>, ConnectionCut>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, counter, stopped, handler));
        Ok(Server {
            address,
            stop,
            tasks,
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes every connection, as a killed process does.
    pub fn close(mut self) {
        self.tasks.abort_all();
    }

    /// Like [`Server::close`], and waits until the address is free again.
    pub async fn close_and_wait(mut self) {
        self.tasks.shutdown().await;
    }

    /// Stops listening and waits until every request in progress is answered.
    pub async fn drain(mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn accept<F, A>(
    listener: TcpListener,
    counter: ConnCounter,
    mut stopped: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(ConnId, Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<Body>, ConnectionCut>> + Send + 'static,
{
    // Aborts every connection when this task is dropped.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|it| *it) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let conn = counter.next();
        connections.spawn(serve(stream, conn, stopped.clone(), handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve<F, A>(
    stream: TcpStream,
    conn: ConnId,
    mut stopped: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(ConnId, Request<Incoming>) -> A,
    A: Future<Output = Result<Response<Body>, ConnectionCut>>,
{
    // Affects only latency; an error of the connection shows at the first read.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handler(conn, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors are ignored: they occur whenever the stand-in or the caller closes the connection.
    tokio::select! {
        _ = &mut connection => return,
        _ = stopped.wait_for(|it| *it) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
