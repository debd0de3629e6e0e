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
use laburnum_edge::answer::{self, BadHead};
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    serve::{PING_INTERVAL, PING_TIMEOUT, STREAM_WINDOW},
    socket,
};

/// Timeout for opening a connection to another node.
const CONNECT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed.
const IDLE: Duration = Duration::from_secs(60);

/// HTTP/2 connection window for answers, in bytes: that of 64 streams. Long answers that wait for this host's link are not
/// read meanwhile; with a smaller window, a few of them would hold up short ones of the same node.
const ANSWERS_WINDOW: u32 = 64 * STREAM_WINDOW;

/// Result of a request sent to another node.
#[derive(Debug)]
pub enum Sent {
    /// The header of the answer arrived.
    Answered(Response<Incoming>),
    /// The header of the answer arrived and cannot be trusted: may have been run.
    Broken(BadHead),
    /// No connection could be opened, or the node refused the stream unread: not run.
    Unsent,
    /// The connection broke or no answer arrived by the deadline: may have been run.
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
    /// Held while a request opens a connection, so that others wait for the same one; contains the time of the
    /// last failed attempt.
    opening: tokio::sync::Mutex<Option<Instant>>,
    /// Time of the last use, in ms since `epoch`.
    last_used: AtomicU64,
    epoch: Instant,
}

#[derive(Clone, Debug)]
struct Connection {
    sender: http2::SendRequest<Body>,
    /// Time of the last answer on it, in ms since the peer's epoch.
    last_received: Arc<AtomicU64>,
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
        peer.last_used.store(peer.now(), Ordering::Relaxed);
        let Some(mut connection) = peer.connect(address, deadline).await else {
            return Sent::Unsent;
        };
        let sent_at = peer.now();
        let method = request.method().clone();
        let sending = connection.sender.try_send_request(request);
        let Ok(sent) = timeout_at(deadline, sending).await else {
            // No answer arrived since the request was sent, so the connection may be dead. New requests open
            // another one; requests in flight on this one may still be answered.
            if connection.last_received.load(Ordering::Relaxed) < sent_at {
                peer.drop_connection(&connection);
            }
            return Sent::Lost;
        };
        match sent {
            Ok(answer) => {
                connection
                    .last_received
                    .store(peer.now(), Ordering::Relaxed);
                match answer::check(&method, answer) {
                    Ok(answer) => Sent::Answered(answer),
                    Err(fault) => {
                        peer.drop_connection(&connection);
                        Sent::Broken(fault)
                    }
                }
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some() || is_refused_stream(error.error());
                match unsent {
                    true => Sent::Unsent,
                    false => Sent::Lost,
                }
            }
        }
    }

    /// Closes connections that have been idle too long.
    pub fn prune(&self) {
        let longest = IDLE.as_millis() as u64;
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|_, it| it.now() - it.last_used.load(Ordering::Relaxed) < longest);
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
            last_used: AtomicU64::new(0),
            epoch: Instant::now(),
        }
    }
}

impl Peer {
    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<Connection> {
        if let Some(it) = self.current() {
            return Some(it);
        }
        let requested_at = Instant::now();
        let mut failed = timeout_at(deadline, self.opening.lock()).await.ok()?;
        if let Some(it) = self.current() {
            return Some(it);
        }
        // If each waiting request tried to connect to an unreachable node in turn, the last ones would wait for
        // many timeouts.
        if failed.is_some_and(|it| it >= requested_at) {
            return None;
        }
        let Some(sender) = timeout(CONNECT, open(address)).await.ok().flatten() else {
            *failed = Some(Instant::now());
            return None;
        };
        let connection = Connection {
            sender,
            last_received: Arc::new(AtomicU64::new(self.now())),
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

    fn drop_connection(&self, connection: &Connection) {
        let mut current = self.lock();
        if current
            .as_ref()
            .is_some_and(|it| Arc::ptr_eq(&it.last_received, &connection.last_received))
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
        .initial_connection_window_size(ANSWERS_WINDOW)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

/// Returns whether the other node refused the stream, which by HTTP/2 means that it did not process the
/// request.
fn is_refused_stream(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<h2::Error>());
    cause.is_some_and(|it| it.is_remote() && it.reason() == Some(h2::Reason::REFUSED_STREAM))
}
