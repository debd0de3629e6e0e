//! HTTP/2 connections to other nodes, one to each.

use std::{
    collections::HashMap,
    error::Error,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    serve::{CONNECTION_WINDOW, PING_INTERVAL, PING_TIMEOUT, STREAM_WINDOW},
    socket,
};

/// Longest time in which a connection to another node must open.
const CONNECT: Duration = Duration::from_millis(500);
/// Connections unused for so long are closed.
const IDLE: Duration = Duration::from_secs(60);

/// What became of a request given to another node.
#[derive(Debug)]
pub enum Sent {
    /// The header of the answer arrived.
    Answered(Response<Incoming>),
    /// No connection, or the node refused the stream unread: not run.
    Unsent,
    /// The connection broke or nothing arrived in time: it may have been run.
    Lost,
}

/// Connections to other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    peers: RwLock<HashMap<SocketAddr, Arc<Peer>>>,
}

#[derive(Debug)]
struct Peer {
    connection: Mutex<Option<Connection>>,
    /// Held while one request opens a connection, so that others wait for that one; holds when an attempt
    /// last failed.
    opening: tokio::sync::Mutex<Option<Instant>>,
    /// When the connection was last used, in ms since `epoch`.
    used: AtomicU64,
    epoch: Instant,
}

#[derive(Clone, Debug)]
struct Connection {
    sender: http2::SendRequest<Body>,
    /// When anything was last heard on it, in ms since the peer's epoch.
    heard: Arc<AtomicU64>,
}

impl Peers {
    /// Sends `request` to the node at `address` and waits for the header of its answer until `deadline`.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Sent {
        let peer = self.peer(address);
        peer.used.store(peer.now(), Ordering::Relaxed);
        let Some(mut connection) = peer.connect(address, deadline).await else {
            return Sent::Unsent;
        };
        let sent_at = peer.now();
        let sending = connection.sender.try_send_request(request);
        let Ok(sent) = timeout_at(deadline, sending).await else {
            // Nothing at all was heard since: the path may have lost the connection. New requests open
            // another one; those still on this one may yet be answered.
            if connection.heard.load(Ordering::Relaxed) < sent_at {
                peer.forget(&connection);
            }
            return Sent::Lost;
        };
        match sent {
            Ok(answer) => {
                connection.heard.store(peer.now(), Ordering::Relaxed);
                Sent::Answered(answer)
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some() || refused(error.error());
                match unsent {
                    true => Sent::Unsent,
                    false => Sent::Lost,
                }
            }
        }
    }

    /// Closes connections that nobody used of late.
    pub fn prune(&self) {
        let longest = IDLE.as_millis() as u64;
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|_, it| it.now() - it.used.load(Ordering::Relaxed) < longest);
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = peers.get(&address) {
            return it.clone();
        }
        drop(peers);
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.entry(address).or_default().clone()
    }
}

impl Default for Peer {
    fn default() -> Peer {
        Peer {
            connection: Mutex::default(),
            opening: tokio::sync::Mutex::default(),
            used: AtomicU64::new(0),
            epoch: Instant::now(),
        }
    }
}

impl Peer {
    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<Connection> {
        if let Some(it) = self.current() {
            return Some(it);
        }
        let asked = Instant::now();
        let mut failed = timeout_at(deadline, self.opening.lock()).await.ok()?;
        if let Some(it) = self.current() {
            return Some(it);
        }
        // A node that is cut off does not answer: were each waiting request to try anew, one after the other, the
        // tenth would be told after five seconds that its request was not sent.
        if failed.is_some_and(|it| it >= asked) {
            return None;
        }
        let Some(sender) = timeout(CONNECT, open(address)).await.ok().flatten() else {
            *failed = Some(Instant::now());
            return None;
        };
        let connection = Connection {
            sender,
            heard: Arc::new(AtomicU64::new(self.now())),
        };
        *self.lock() = Some(connection.clone());
        Some(connection)
    }

    fn current(&self) -> Option<Connection> {
        let connection = self.lock();
        connection
            .as_ref()
            .filter(|it| !it.sender.is_closed())
            .cloned()
    }

    fn forget(&self, connection: &Connection) {
        let mut current = self.lock();
        if current
            .as_ref()
            .is_some_and(|it| Arc::ptr_eq(&it.heard, &connection.heard))
        {
            *current = None;
        }
    }

    fn now(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Option<Connection>> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr) -> Option<http2::SendRequest<Body>> {
    let stream = socket::connect(address).await.ok()?;
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(false)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

/// Whether the other node refused the stream, which by HTTP/2 means that it did not look at the request.
fn refused(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<h2::Error>());
    cause.is_some_and(|it| it.is_remote() && it.reason() == Some(h2::Reason::REFUSED_STREAM))
}
