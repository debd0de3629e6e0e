//! An HTTP/1.1 server whose connections can be cut, drained and told apart.

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

use crate::body::{Body, Cut};

/// A connection, counted from 1 in the order of acceptance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Conn(pub u64);

/// Counts connections over several lives of one server.
#[derive(Clone, Debug, Default)]
pub struct Conns(Arc<AtomicU64>);

/// A running server. Dropping it is like [`Server::close`], so that whoever owns it may be aborted.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Milliseconds between two tries to accept while the process has no free descriptor.
const ACCEPT_RETRY_MS: u64 = 10;

impl Conns {
    /// The newest connection.
    pub fn last(&self) -> Conn {
        Conn(self.0.load(Ordering::SeqCst))
    }

    fn next(&self) -> Conn {
        Conn(self.0.fetch_add(1, Ordering::SeqCst) + 1)
    }
}

impl Server {
    /// Serves `listener`. A handler that answers [`Cut`] ends its connection; a handler is dropped when
    /// its caller hangs up.
    pub fn start<F, A>(listener: TcpListener, conns: Conns, handler: F) -> std::io::Result<Server>
    where
        F: Fn(Conn, Request<Incoming>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, conns, stopped, handler));
        Ok(Server {
            address,
            stop,
            tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and ends every connection, as a process that dies does.
    pub fn close(mut self) {
        self.tasks.abort_all();
    }

    /// Like [`Server::close`], and returns once the address is free again.
    pub async fn free(mut self) {
        self.tasks.shutdown().await;
    }

    /// Stops listening and returns once every request in progress is answered.
    pub async fn drain(mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn accept<F, A>(
    listener: TcpListener,
    conns: Conns,
    mut stopped: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Conn, Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    // Dropped with this task, and every connection with it.
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
        let conn = conns.next();
        connections.spawn(serve(stream, conn, stopped.clone(), handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve<F, A>(stream: TcpStream, conn: Conn, mut stopped: watch::Receiver<bool>, handler: F)
where
    F: Fn(Conn, Request<Incoming>) -> A,
    A: Future<Output = Result<Response<Body>, Cut>>,
{
    // Latency only; an error shows up with the first byte.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handler(conn, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Serving ends with an error whenever the stand-in or the caller cuts the connection.
    tokio::select! {
        _ = &mut connection => return,
        _ = stopped.wait_for(|it| *it) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
