//! Connections to the upstream beside this node.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    task::AbortHandle,
    time::{Instant, sleep_until, timeout_at},
};

use super::socket;

/// Settings of one [`Pool`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Most connections to the upstream. Default: 110.
    pub connections: usize,
    /// Longest time in which a connection must open, in ms. Default: 500.
    pub connect: u64,
    /// Connections that idled for longer are not used again, in ms. Default: 5 s.
    pub idle: u64,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings {
            connections: 110,
            connect: 500,
            idle: 5_000,
        }
    }
}

/// A bounded pool of HTTP/1.1 connections to one upstream process.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    settings: PoolSettings,
    idle: Mutex<VecDeque<Idle>>,
    places: Arc<Semaphore>,
    /// Told when a connection comes free.
    returned: Notify,
    /// Slowest first byte of late, in microseconds; decays with each faster one.
    slowest: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// One connection. Dropping it closes its socket, which is how an upstream learns of a cancellation.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Body>,
    task: AbortHandle,
    used: Usage,
    _place: Option<OwnedSemaphorePermit>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether a connection carried a request before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// It was just opened.
    Fresh,
    /// It carried a request before, and may have gone silent since.
    Reused,
}

/// The right to use one connection for one exchange.
#[derive(Debug)]
pub struct Lease {
    connection: Connection,
    pool: Arc<Pool>,
    started: Instant,
}

/// Why no connection could be had. No byte of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// Nothing listens, or the network refuses.
    #[error("the upstream refuses connections; start it or let its announcement lapse")]
    Refused,
    /// No connection came free or opened in time.
    #[error("no connection to the upstream in time; retry later")]
    Late,
}

/// What became of a request given to a connection.
#[derive(Debug)]
pub enum Sent {
    /// The header of the answer arrived.
    Answered(Response<Incoming>),
    /// The connection was closed before a byte of the request was written.
    Unsent(Request<Body>),
    /// The connection broke after bytes may have been written.
    Lost,
    /// Nothing arrived for as long as it was waited.
    Silent,
}

/// Smallest share of the time left, as its divisor, for which a reused connection is never suspect.
const SILENCE_SHARE: u32 = 3;
/// Silence that makes a reused connection suspect, as a multiple of the slowest answer of late.
const SILENCE_FACTOR: u64 = 4;

impl Pool {
    /// A pool without connections.
    pub fn new(address: SocketAddr, settings: PoolSettings) -> Pool {
        Pool {
            address,
            places: Arc::new(Semaphore::new(settings.connections)),
            settings,
            idle: Mutex::default(),
            returned: Notify::new(),
            slowest: AtomicU64::new(0),
        }
    }

    /// Where the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A connection: the one used last if one idles, else a new one, else the first that comes free.
    pub async fn lease(self: &Arc<Pool>, deadline: Instant) -> Result<Lease, Unavailable> {
        loop {
            if let Some(connection) = self.take_idle() {
                return Ok(self.lend(connection));
            }
            // An idle connection keeps its place: without the notice, whoever waits for a place would not see
            // it and be refused at its deadline. A notice without a waiter is kept for the next.
            let place = tokio::select! {
                biased;
                place = self.places.clone().acquire_owned() => place,
                () = self.returned.notified() => continue,
                () = sleep_until(deadline) => return Err(Unavailable::Late),
            };
            return self.open(deadline, place.ok()).await;
        }
    }

    /// A new connection.
    pub async fn lease_fresh(self: &Arc<Pool>, deadline: Instant) -> Result<Lease, Unavailable> {
        if self.places.available_permits() == 0 {
            // The oldest idle connection makes room.
            self.lock().pop_front();
        }
        let place = self.places.clone().acquire_owned();
        let Ok(Ok(place)) = timeout_at(deadline, place).await else {
            return Err(Unavailable::Late);
        };
        self.open(deadline, Some(place)).await
    }

    /// A new connection beyond the bound, for questions of health only.
    pub async fn open_aside(self: &Arc<Pool>) -> Result<Lease, Unavailable> {
        let limit = Instant::now() + Duration::from_millis(self.settings.connect);
        self.open(limit, None).await
    }

    async fn open(
        self: &Arc<Pool>,
        deadline: Instant,
        place: Option<OwnedSemaphorePermit>,
    ) -> Result<Lease, Unavailable> {
        let limit = Instant::now() + Duration::from_millis(self.settings.connect);
        let opening = timeout_at(limit.min(deadline), open(self.address));
        let (sender, task) = opening.await.map_err(|_| Unavailable::Late)??;
        Ok(self.lend(Connection {
            sender,
            task,
            used: Usage::Fresh,
            _place: place,
        }))
    }

    /// How long an exchange on a reused connection may be silent before it is suspect, out of `left`.
    ///
    /// Something between the two ends may have lost track of an idle connection: the request then vanishes
    /// without an error. Four times the slowest answer of late, and a third of the time left, leave slow
    /// upstreams alone.
    pub fn silence(&self, left: Duration) -> Duration {
        let slowest = self.slowest.load(Ordering::Relaxed);
        Duration::from_micros(SILENCE_FACTOR * slowest).max(left / SILENCE_SHARE)
    }

    /// Closes every idle connection.
    pub fn purge(&self) {
        self.lock().clear();
    }

    fn take_idle(&self) -> Option<Connection> {
        let longest = Duration::from_millis(self.settings.idle);
        let mut idle = self.lock();
        let now = Instant::now();
        // The oldest stand first, and only the newest is taken, so that those not needed age out.
        let aged = idle
            .iter()
            .take_while(|it| now - it.since > longest)
            .count();
        idle.drain(..aged);
        while let Some(it) = idle.pop_back() {
            if it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }

    fn lend(self: &Arc<Pool>, connection: Connection) -> Lease {
        Lease {
            connection,
            pool: self.clone(),
            started: Instant::now(),
        }
    }

    fn sample(&self, took: Duration) {
        let took = took.as_micros() as u64;
        let slowest = self.slowest.load(Ordering::Relaxed);
        let next = took.max(slowest - slowest / 128);
        self.slowest.store(next, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr) -> Result<(http1::SendRequest<Body>, AbortHandle), Unavailable> {
    let stream = socket::connect(address)
        .await
        .map_err(|_| Unavailable::Refused)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Unavailable::Refused)?;
    // An exchange hears of a broken connection through its own answer.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}

impl Lease {
    /// Whether the connection carried a request before.
    pub fn usage(&self) -> Usage {
        self.connection.used
    }

    /// Sends the request and waits for the header of its answer.
    pub async fn send(&mut self, request: Request<Body>) -> Sent {
        self.started = Instant::now();
        match self.connection.sender.try_send_request(request).await {
            Ok(answer) => {
                self.pool.sample(self.started.elapsed());
                Sent::Answered(answer)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Sent::Unsent(request),
                None => Sent::Lost,
            },
        }
    }

    /// Gives up a connection on which nothing was heard while the upstream answered on others.
    ///
    /// What lost track of this one may have lost the idle ones with it, so they go too. The silence counts
    /// as a slow answer, so that an upstream with rare slow answers is doubted less next time.
    pub fn suspect(self) {
        self.pool.sample(self.started.elapsed());
        self.pool.purge();
    }

    /// Gives the connection back without having used it.
    pub fn unused(self) {
        let idle = Idle {
            connection: self.connection,
            since: Instant::now(),
        };
        self.pool.lock().push_back(idle);
        self.pool.returned.notify_one();
    }

    /// Gives the connection back after its answer was read whole.
    pub fn put_back(mut self) {
        self.connection.used = Usage::Reused;
        self.unused();
    }
}
