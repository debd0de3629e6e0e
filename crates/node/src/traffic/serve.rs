//! HTTP servers with limits on what each caller can occupy.

use std::{
    convert::Infallible,
    future::{pending, poll_fn},
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::Poll,
    time::Duration,
};

use axum::body::Body;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
    service::TowerToHyperService,
};
use laburnum_kernel::routing::Limits;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use tower::{ServiceExt, service_fn};

use super::{
    body::Budget,
    connections::{OpenConnection, OpenConnections},
    departure::{self, Departure},
    faults::Faults,
    stall::StallTimeout,
};

/// Limits of one socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of open connections. Default: 1024.
    pub connections: usize,
    /// Maximum size of a request's header, in bytes. Default: 16 KiB.
    pub header_bytes: usize,
    /// Maximum number of fields of a request's header. Default: 64.
    pub header_fields: usize,
    /// Time limit for a request's header to arrive, and for idle connections, in ms. Default: 10 s.
    pub header_time: u64,
    /// Time limit for a reader that takes no byte of a pending answer, in ms. Default: 10 s.
    pub stall_time: u64,
    /// Maximum number of concurrent requests on one HTTP/2 connection. Default: 256.
    pub streams: u32,
    /// HTTP/2 stream window for request bodies, in bytes. Default: 64 KiB.
    pub window: u32,
    /// Maximum of the bytes that a connection's socket holds unsent, so that short answers overtake long ones. Default:
    /// unlimited.
    pub unsent: u32,
}

impl Bounds {
    /// Returns these bounds, raised to what the configuration grants callers.
    ///
    /// Otherwise the socket would reject requests that the configuration allows. The idle time is doubled,
    /// because callers may still rely on a longer time after it was shortened.
    pub fn widened(&self, limits: Limits) -> Bounds {
        Bounds {
            header_bytes: self
                .header_bytes
                .max(limits.header.saturating_add(HEADER_SPARE))
                .min(HEADER_MAX),
            header_time: self
                .header_time
                .max(limits.idle.saturating_mul(2))
                .min(HEADER_TIME_MAX),
            ..self.clone()
        }
    }
}

/// Largest header that a configuration can grant, in bytes: more than any caller sends.
const HEADER_MAX: usize = 16 * 1024 * 1024;
/// Longest idle time that a configuration can grant, in ms: a day.
const HEADER_TIME_MAX: u64 = 24 * 60 * 60 * 1_000;
/// Allowance for the request line, in bytes.
const HEADER_SPARE: usize = 1024;

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            connections: 1024,
            header_bytes: 16 * 1024,
            header_fields: 64,
            header_time: 10_000,
            stall_time: 10_000,
            streams: 256,
            window: STREAM_WINDOW,
            unsent: u32::MAX,
        }
    }
}

/// HTTP versions that a socket accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocols {
    /// HTTP/1.1, and HTTP/2 with prior knowledge.
    Both,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// One listening socket.
pub struct Server {
    /// Listening socket.
    pub listener: TcpListener,
    /// Accepted HTTP versions.
    pub protocols: Protocols,
    /// Limits; read for each new connection.
    pub bounds: Box<dyn Fn() -> Bounds + Send + Sync>,
    /// Open connections of the socket.
    pub connections: OpenConnections,
    /// Counter of rejected connections and broken requests.
    pub faults: Arc<Faults>,
}

/// Minimum buffer size that the HTTP library accepts, in bytes.
const BUFFER_MIN: usize = 8192;
/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between the answer of a rejected request and the shutdown of its connection, in ms.
///
/// HTTP/2 clients may report a request as failed if the shutdown overtakes its answer or arrives while they
/// still write the request.
const REFUSED_LINGER_MS: u64 = 250;
/// Interval of pings on a connection between nodes with requests in flight.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which the connection is closed.
pub const PING_TIMEOUT: Duration = Duration::from_millis(1500);
/// HTTP/2 stream window in bytes, which bounds the memory that a stalled reader takes.
pub const STREAM_WINDOW: u32 = 64 * 1024;
/// Maximum total size of what is read ahead on the connections of one socket, in bytes.
const AHEAD_TOTAL: usize = 8 * 1024 * 1024;
/// HTTP/2 connection window, in bytes.
const CONNECTION_WINDOW: u32 = 1024 * 1024;

impl Server {
    /// Serves until `stop` becomes true, then until every request in progress is answered.
    ///
    /// Dropping the future closes every connection at once.
    pub async fn run<S, F>(self, mut stop: watch::Receiver<bool>, make_service: F)
    where
        S: tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send,
        F: Fn(SocketAddr) -> S,
    {
        let mut bounds = (self.bounds)();
        let mut builder = Arc::new(builder(self.protocols, &bounds));
        let ahead = Budget::new(AHEAD_TOTAL);
        let mut tasks = JoinSet::new();
        let stopped = stop.clone();
        let mut stopping = pin!(async move {
            let _ = stop.wait_for(|it| *it).await;
        });
        loop {
            let accepted = tokio::select! {
                () = &mut stopping => break,
                accepted = self.listener.accept() => accepted,
                Some(_) = tasks.join_next() => continue,
            };
            let Ok((stream, peer)) = accepted else {
                self.faults.count("accept", None);
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Some(open) = self.connections.enter(peer) else {
                self.faults.count("too-many-connections", Some(peer));
                continue;
            };
            let current = (self.bounds)();
            if current != bounds {
                builder = Arc::new(self::builder(self.protocols, &current));
                bounds = current;
            }
            let connection = Connection {
                builder: builder.clone(),
                peer,
                open,
                header_time: Duration::from_millis(bounds.header_time),
                stall_time: Duration::from_millis(bounds.stall_time),
                unsent: bounds.unsent,
                ahead: ahead.clone(),
                faults: self.faults.clone(),
                stop: stopped.clone(),
            };
            tasks.spawn(connection.run(stream, make_service(peer)));
        }
        drop(self.listener);
        while tasks.join_next().await.is_some() {}
    }
}

fn builder(protocols: Protocols, bounds: &Bounds) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if protocols == Protocols::Http2 {
        builder = builder.http2_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.header_time))
        .max_headers(bounds.header_fields)
        .max_buf_size(bounds.header_bytes.max(BUFFER_MIN));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(bounds.header_bytes as u32)
        .max_concurrent_streams(bounds.streams)
        .initial_stream_window_size(bounds.window)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_INTERVAL * 10)
        .keep_alive_timeout(PING_TIMEOUT * 4);
    builder
}

struct Connection {
    builder: Arc<auto::Builder<TokioExecutor>>,
    peer: SocketAddr,
    open: OpenConnection,
    header_time: Duration,
    stall_time: Duration,
    unsent: u32,
    ahead: Budget,
    faults: Arc<Faults>,
    stop: watch::Receiver<bool>,
}

impl Connection {
    async fn run<S>(mut self, stream: TcpStream, service: S)
    where
        S: tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send,
    {
        // Disables Nagle's algorithm, which only adds latency here.
        let _ = stream.set_nodelay(true);
        if self.unsent < u32::MAX {
            // Without it the socket buffers more than a slow link carries in a second.
            let _ = SockRef::from(&stream).set_tcp_notsent_lowat(self.unsent);
        }
        let peer = ConnectionPeer::default();
        let open = Arc::new(self.open);
        let (reader, writer) = stream.into_split();
        let writer = Arc::new(writer);
        let service = service_fn({
            let (peer, open, socket) = (peer.clone(), open.clone(), writer.clone());
            move |mut request: Request<Incoming>| {
                let active = open.begin_request();
                peer.0.has_request.store(true, Ordering::Relaxed);
                request.extensions_mut().insert(peer.clone());
                let version = request.version();
                let answer = service.clone().oneshot(request);
                let peer = peer.clone();
                // Over HTTP/2 the library reads all the time, so that it notices the end itself.
                let is_watched = version < Version::HTTP_2;
                let has_left = is_watched && departure::has_left(&socket);
                peer.0.is_watched.store(is_watched, Ordering::Relaxed);
                peer.0.has_left.fetch_or(has_left, Ordering::Relaxed);
                async move {
                    if has_left {
                        // The connection is dropped as soon as the server has taken the request.
                        pending::<()>().await;
                    }
                    let mut answer = answer.await;
                    drop(active);
                    if let Ok(response) = &mut answer {
                        peer.announce_close(version, response);
                    }
                    answer
                }
            }
        });
        let (reader, mut departure) = departure::watch(reader, writer.clone(), self.ahead);
        let writer = StallTimeout::new(writer, self.stall_time);
        let io = TokioIo::new(tokio::io::join(reader, writer));
        let serving = self
            .builder
            .serve_connection(io, TowerToHyperService::new(service));
        let mut serving = Box::pin(serving);
        // The library has no timeout for the bytes that distinguish HTTP/1.1 from HTTP/2, so a caller that
        // sends nothing would keep its connection forever.
        let mut header_timeout = pin!(sleep_until(Instant::now() + self.header_time));
        let mut timeout_armed = true;
        let mut linger = pin!(sleep(Duration::from_millis(REFUSED_LINGER_MS)));
        let mut closing = false;
        let mut refused = false;
        loop {
            tokio::select! {
                // The server comes first: the others ask what it has left unread, and whether it had a request.
                biased;
                ended = serving.as_mut() => {
                    if let Err(error) = ended {
                        self.faults.count(error_kind(error.as_ref()), Some(self.peer));
                    }
                    break;
                }
                () = caller_left(&peer, &mut departure) => break,
                () = header_timeout.as_mut(), if timeout_armed => {
                    timeout_armed = false;
                    if !peer.0.has_request.load(Ordering::Relaxed) {
                        self.faults.count("slow-header", Some(self.peer));
                        break;
                    }
                    if refused && !peer.0.admitted.load(Ordering::Relaxed) {
                        self.faults.count("refused-lingers", Some(self.peer));
                        break;
                    }
                }
                () = peer.0.refusal_answered.notified(), if !refused => {
                    refused = true;
                    timeout_armed = true;
                    let now = Instant::now();
                    header_timeout.as_mut().reset(now + self.header_time);
                    linger.as_mut().reset(now + Duration::from_millis(REFUSED_LINGER_MS));
                }
                () = linger.as_mut(), if refused && !closing => {
                    closing = true;
                    serving.as_mut().graceful_shutdown();
                }
                () = open.closing(), if !closing => {
                    closing = true;
                    serving.as_mut().graceful_shutdown();
                }
                _ = self.stop.wait_for(|it| *it), if !closing => {
                    closing = true;
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
        drop(serving);
        departure.close();
        drop(open);
    }
}

/// Completes when a caller that has sent a request over HTTP/1 is gone. Dropping the server then ends its requests.
///
/// Before the first request the library reads all that arrives, and reports a connection that ends within a header.
async fn caller_left(peer: &ConnectionPeer, departure: &mut Departure) {
    poll_fn(|cx| {
        if peer.0.has_left.load(Ordering::Relaxed) {
            return Poll::Ready(());
        }
        match peer.0.is_watched.load(Ordering::Relaxed) {
            true => departure.poll(cx),
            false => Poll::Pending,
        }
    })
    .await;
}

/// Returns the stable name of the error that broke a connection.
fn error_kind(error: &(dyn std::error::Error + Send + Sync + 'static)) -> &'static str {
    let Some(error) = error.downcast_ref::<hyper::Error>() else {
        return "connection";
    };
    if error.is_timeout() {
        return "slow-header";
    }
    if error.is_parse_too_large() {
        return "header-too-large";
    }
    if error.is_parse() {
        return "malformed";
    }
    if error.is_incomplete_message() {
        return "truncated";
    }
    "connection"
}

/// State of the peer of one connection; each request carries it as an extension.
///
/// After a rejected request without proof or token the connection takes no further requests, and it is closed
/// after a timeout if no request on it was ever admitted, so that unauthenticated peers cannot occupy the
/// places of other nodes.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPeer(Arc<PeerFlags>);

#[derive(Debug, Default)]
struct PeerFlags {
    has_request: AtomicBool,
    /// Whether the connection has carried a request and its end is not noticed by the library alone.
    is_watched: AtomicBool,
    /// Whether the peer had closed the connection when a request on it was read.
    has_left: AtomicBool,
    admitted: AtomicBool,
    refused: AtomicBool,
    /// Notified when the answer of a rejected request is ready.
    refusal_answered: Notify,
}

impl ConnectionPeer {
    /// Records that a request on the connection was authenticated.
    pub fn admit<B>(request: &Request<B>) {
        if let Some(ConnectionPeer(it)) = request.extensions().get() {
            it.admitted.store(true, Ordering::Relaxed);
        }
    }

    /// Closes the connection soon after the answer of `request`, once its requests in progress are answered.
    pub fn refuse<B>(request: &Request<B>) {
        if let Some(ConnectionPeer(it)) = request.extensions().get() {
            it.refused.store(true, Ordering::Relaxed);
        }
    }

    /// Tells the peer with `response` that its connection will be closed, if it will be.
    fn announce_close(&self, version: Version, response: &mut Response<Body>) {
        if !self.0.refused.load(Ordering::Relaxed) {
            return;
        }
        self.0.refusal_answered.notify_one();
        // HTTP/2 has a frame for this, which the shutdown sends.
        if version < Version::HTTP_2 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}
