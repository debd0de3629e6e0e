//! Pool of connections to the upstream beside this node.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use http::{HeaderMap, Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use laburnum_edge::answer::{self, BadHead};
use laburnum_kernel::utils::hash64;
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    task::AbortHandle,
    time::{Instant, sleep_until, timeout_at},
};

use super::{
    head_limit::{HeadBudget, HeadLimit},
    socket,
};

/// Settings of one [`Pool`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Maximum number of connections to the upstream. Default: 110.
    pub connections: usize,
    /// Timeout for opening a connection, in ms. Default: 500.
    pub connect: u64,
    /// Idle time after which a connection is not used again, in ms. Default: 5 s.
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
    permits: Arc<Semaphore>,
    /// Notified when a connection is returned.
    returned: Notify,
    /// Idle time after which a connection is not used again, in ms.
    idle_limit: AtomicU64,
    /// Decaying maximum of the time until the first byte of an answer, in microseconds.
    slowest: AtomicU64,
    /// The upstream has named the request in a rejection.
    names_rejections: AtomicBool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// One connection. Dropping it closes its socket, which cancels the request at the upstream.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Body>,
    task: AbortHandle,
    head: HeadBudget,
    usage: Usage,
    carried: Vec<Carried>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Connection {
    fn has_carried(&self, identity: Identity) -> bool {
        identity != Identity::Unnamed && self.carried.iter().any(|it| it.identity == identity)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether a connection has carried a request before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Just opened.
    Fresh,
    /// Has carried a request, and may have died since.
    Reused,
}

/// What identifies a request to the upstream and is echoed in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The header fields name nothing that is echoed.
    Unnamed,
    /// The hash of the attempt's id.
    Attempt(u64),
}

impl Identity {
    /// Returns the identity of the attempt with this id.
    pub fn of_attempt(id: &[u8]) -> Identity {
        Identity::Attempt(hash64(&[id]))
    }
}

/// A request that a connection has carried and that may be sent again until its deadline.
#[derive(Clone, Copy, Debug)]
struct Carried {
    identity: Identity,
    until: Instant,
}

/// Whether an answer names its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Echo {
    /// The answer named its request, or requests have no ids.
    Present,
    /// The answer named no request: a second copy of it would fit every later request on its connection.
    Absent,
}

/// What an answer says about the run of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It was run, or may have been.
    Ran,
    /// It was rejected without a run.
    Rejected,
}

/// Exclusive use of one connection for one exchange.
#[derive(Debug)]
pub struct Lease {
    connection: Connection,
    pool: Arc<Pool>,
    started: Instant,
    carried: Carried,
    echo: Echo,
}

/// Reason why no connection is available. No byte of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// The address refuses connections.
    #[error("the upstream refuses connections; start it, or withdraw its announcement")]
    Refused,
    /// No connection was returned or opened in time.
    #[error("no connection to the upstream became available in time; retry later")]
    Late,
}

/// Result of a request sent on a connection.
#[derive(Debug)]
pub enum Sent {
    /// The header of the answer arrived.
    Answered(Response<Incoming>),
    /// The header of the answer arrived and cannot be trusted.
    Broken(BadHead),
    /// The connection was closed before a byte of the request was written.
    Unsent(Request<Body>),
    /// The connection broke after bytes may have been written.
    Lost,
    /// No answer arrived within the waiting time.
    Silent,
}

/// Minimum silence before a reused connection becomes suspect, as a divisor of the remaining time.
const SILENCE_SHARE: u32 = 3;
/// Silence after which a reused connection becomes suspect, as a multiple of the slowest recent answer. Something between
/// the two ends may have lost track of an idle connection: the request then vanishes without an error.
const SILENCE_FACTOR: u64 = 4;
/// Maximum number of requests that a connection remembers; it is closed when it would have to remember more.
const CARRIED_MAX: usize = 64;
/// Time after its deadline for which a request is remembered: deadlines of two hosts differ by the time on the way.
const CARRIED_MARGIN: Duration = Duration::from_secs(1);

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, settings: PoolSettings) -> Pool {
        Pool {
            address,
            permits: Arc::new(Semaphore::new(settings.connections)),
            idle_limit: AtomicU64::new(settings.idle),
            settings,
            idle: Mutex::default(),
            returned: Notify::new(),
            slowest: AtomicU64::new(0),
            names_rejections: AtomicBool::new(false),
        }
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leases a connection for a request that may be sent until `deadline`: the most recently used idle one that has
    /// not carried it, else a new one, else the first that is returned.
    ///
    /// An upstream may send an answer a second time. On a connection that carries one attempt twice, a second copy of
    /// the first answer would be taken for the answer to the second send, since both name the same attempt.
    pub async fn lease(
        self: &Arc<Pool>,
        identity: Identity,
        deadline: Instant,
    ) -> Result<Lease, Unavailable> {
        let carried = Carried {
            identity,
            until: deadline + CARRIED_MARGIN,
        };
        loop {
            if let Some(connection) = self.take_idle(identity) {
                return Ok(self.new_lease(connection, carried));
            }
            self.free_permit();
            // An idle connection keeps its permit, so a caller that waits for a permit must also be notified of
            // returned connections. A notification without a waiter is kept for the next.
            let permit = tokio::select! {
                biased;
                permit = self.permits.clone().acquire_owned() => permit,
                () = self.returned.notified() => continue,
                () = sleep_until(deadline) => return Err(Unavailable::Late),
            };
            return self.open(carried, deadline, permit.ok()).await;
        }
    }

    /// Leases a new connection for a request that may be sent until `deadline`.
    pub async fn lease_fresh(
        self: &Arc<Pool>,
        identity: Identity,
        deadline: Instant,
    ) -> Result<Lease, Unavailable> {
        self.free_permit();
        let carried = Carried {
            identity,
            until: deadline + CARRIED_MARGIN,
        };
        let permit = self.permits.clone().acquire_owned();
        let Ok(Ok(permit)) = timeout_at(deadline, permit).await else {
            return Err(Unavailable::Late);
        };
        self.open(carried, deadline, Some(permit)).await
    }

    /// Opens a connection outside the limit of the pool, for health checks only.
    pub async fn open_unpooled(self: &Arc<Pool>) -> Result<Lease, Unavailable> {
        let limit = Instant::now() + Duration::from_millis(self.settings.connect);
        let carried = Carried {
            identity: Identity::Unnamed,
            until: limit,
        };
        self.open(carried, limit, None).await
    }

    async fn open(
        self: &Arc<Pool>,
        carried: Carried,
        deadline: Instant,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Lease, Unavailable> {
        let limit = Instant::now() + Duration::from_millis(self.settings.connect);
        let opening = timeout_at(limit.min(deadline), open(self.address));
        let (sender, task, head) = opening.await.map_err(|_| Unavailable::Late)??;
        let connection = Connection {
            sender,
            task,
            head,
            usage: Usage::Fresh,
            carried: Vec::new(),
            _permit: permit,
        };
        Ok(self.new_lease(connection, carried))
    }

    /// Returns how long an exchange on a reused connection may be silent, out of `left`, before the connection
    /// becomes suspect.
    ///
    /// A connection may die without an error while idle, and a request on it is then lost. The limit is well
    /// above recent answer times, so that a slow upstream is not affected.
    pub fn silence_limit(&self, left: Duration) -> Duration {
        let slowest = self.slowest.load(Ordering::Relaxed);
        Duration::from_micros(SILENCE_FACTOR * slowest).max(left / SILENCE_SHARE)
    }

    /// Closes every idle connection.
    pub fn purge(&self) {
        self.lock().clear();
    }

    /// Closes the oldest idle connection if there is no permit for another one.
    fn free_permit(&self) {
        if self.permits.available_permits() == 0 {
            self.lock().pop_front();
        }
    }

    fn take_idle(&self, identity: Identity) -> Option<Connection> {
        let longest = Duration::from_millis(self.idle_limit.load(Ordering::Relaxed));
        let mut idle = self.lock();
        let now = Instant::now();
        // The oldest are first, and only the newest is taken, so that surplus connections expire.
        let aged = idle
            .iter()
            .take_while(|it| now - it.since > longest)
            .count();
        idle.drain(..aged);
        for idx in (0..idle.len()).rev() {
            let connection = &idle[idx].connection;
            if !connection.sender.is_ready() {
                idle.remove(idx);
            } else if !connection.has_carried(identity) {
                return idle.remove(idx).map(|it| it.connection);
            }
        }
        None
    }

    fn new_lease(self: &Arc<Pool>, connection: Connection, carried: Carried) -> Lease {
        Lease {
            connection,
            pool: self.clone(),
            started: Instant::now(),
            carried,
            echo: Echo::Present,
        }
    }

    /// Adopts the idle time that the upstream states. A request on a connection that is just being closed would be lost.
    fn record_idle_timeout(&self, headers: &HeaderMap) {
        if let Some(stated) = idle_timeout(headers) {
            let limit = self.settings.idle.min(stated / 5 * 4);
            self.idle_limit.store(limit, Ordering::Relaxed);
        }
    }

    fn record_first_byte(&self, took: Duration) {
        let took = took.as_micros() as u64;
        let slowest = self.slowest.load(Ordering::Relaxed);
        let next = took.max(slowest - slowest / 128);
        self.slowest.store(next, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the field `keep-alive`: the time after which the sender closes an idle connection, in ms.
fn idle_timeout(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|it| it.split_once('='));
    let (_, seconds) = parameters.find(|it| it.0.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    seconds.checked_mul(1_000)
}

async fn open(
    address: SocketAddr,
) -> Result<(http1::SendRequest<Body>, AbortHandle, HeadBudget), Unavailable> {
    let stream = socket::connect(address)
        .await
        .map_err(|_| Unavailable::Refused)?;
    let head = HeadBudget::default();
    let stream = HeadLimit::new(stream, head.clone());
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Unavailable::Refused)?;
    // The exchange gets the error of a broken connection through its own answer.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle(), head))
}

impl Lease {
    /// Returns whether the connection has carried a request before.
    pub fn usage(&self) -> Usage {
        self.connection.usage
    }

    /// Sends the request and waits for the header of its answer.
    pub async fn send(&mut self, request: Request<Body>) -> Sent {
        self.started = Instant::now();
        let method = request.method().clone();
        self.connection.head.limit();
        match self.connection.sender.try_send_request(request).await {
            Ok(answer) => {
                self.connection.head.lift();
                self.pool.record_first_byte(self.started.elapsed());
                match answer::check(&method, answer) {
                    Ok(answer) => {
                        self.pool.record_idle_timeout(answer.headers());
                        Sent::Answered(answer)
                    }
                    Err(fault) => Sent::Broken(fault),
                }
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Sent::Unsent(request),
                None if error.error().is_parse() => Sent::Broken(BadHead::Malformed),
                None if self.connection.head.is_exceeded() => Sent::Broken(BadHead::Endless),
                None => Sent::Lost,
            },
        }
    }

    /// Abandons a silent connection while the upstream answers on others.
    ///
    /// Idle connections may have died with it and are closed too. The silence counts as a slow answer, which
    /// raises the limit for upstreams with rare slow answers.
    pub fn abandon(self) {
        self.pool.record_first_byte(self.started.elapsed());
        self.pool.purge();
    }

    /// Returns an unused connection to the pool.
    pub fn return_unused(self) {
        let idle = Idle {
            connection: self.connection,
            since: Instant::now(),
        };
        self.pool.lock().push_back(idle);
        self.pool.returned.notify_one();
    }

    /// Returns whether an answer belongs to the request that was sent last, by whether it names it.
    ///
    /// An answer that names no request is only taken on a new connection, where no earlier one can have led to it, for a
    /// request that has no name, and from upstreams that leave the name out of their rejections.
    pub fn accepts(&mut self, echo: Echo, execution: Execution) -> bool {
        self.echo = echo;
        let named = &self.pool.names_rejections;
        match (echo, execution) {
            (Echo::Present, Execution::Rejected) => {
                named.store(true, Ordering::Relaxed);
                true
            }
            (Echo::Present, Execution::Ran) => true,
            (Echo::Absent, _) if self.connection.usage == Usage::Fresh => true,
            // The earlier answers on this connection had names, so a second copy of one has a name too.
            (Echo::Absent, _) if self.carried.identity == Identity::Unnamed => true,
            (Echo::Absent, Execution::Rejected) => !named.load(Ordering::Relaxed),
            (Echo::Absent, Execution::Ran) => false,
        }
    }

    /// Returns the connection to the pool after its answer was read whole, or closes it if later answers on it could
    /// not be told apart from that one.
    pub fn put_back(mut self) {
        let carried = &mut self.connection.carried;
        if self.carried.identity != Identity::Unnamed {
            let now = Instant::now();
            carried.retain(|it| it.until > now);
            carried.push(self.carried);
        }
        if self.echo == Echo::Absent || carried.len() > CARRIED_MAX {
            return;
        }
        self.connection.usage = Usage::Reused;
        self.return_unused();
    }
}
