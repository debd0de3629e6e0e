//! HTTP servers whose callers cannot hold more than their share.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
    service::TowerToHyperService,
};
use laburnum_kernel::routing::Limits;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use tower::{ServiceExt, service_fn};

use super::{
    faults::Faults,
    lines::{Lines, Open},
    stall::Stall,
};

/// What one socket lets a caller hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections open at once. Default: 1024.
    pub connections: usize,
    /// Bytes of one request's header. Default: 16 KiB.
    pub header_bytes: usize,
    /// Fields of one request's header. Default: 64.
    pub header_fields: usize,
    /// Longest time in which a request's header must arrive, and which a connection may idle, in ms. Default: 10 s.
    pub header_time: u64,
    /// Longest time for which a reader may take no byte while an answer waits, in ms. Default: 10 s.
    pub stall_time: u64,
    /// Requests open at once on one HTTP/2 connection. Default: 256.
    pub streams: u32,
    /// Bytes of one HTTP/2 request's body that may be on their way unread. Default: 64 KiB.
    pub window: u32,
}

impl Bounds {
    /// These bounds, widened to what the configuration lets callers do.
    ///
    /// A request that the configuration allows and the socket refuses would be an error of ours. Time between two
    /// requests is twice what the configuration says: operators shorten it while callers count on the longer one.
    pub fn widened(&self, limits: Limits) -> Bounds {
        Bounds {
            header_bytes: self.header_bytes.max(limits.header + HEADER_SPARE),
            header_time: self.header_time.max(2 * limits.idle),
            ..self.clone()
        }
    }
}

/// Room for the request line beside the header's fields, in bytes.
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
        }
    }
}

/// Which HTTP a socket speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speech {
    /// HTTP/1.1, and HTTP/2 with prior knowledge.
    Both,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// One listening socket.
pub struct Server {
    /// The socket.
    pub listener: TcpListener,
    /// What it speaks.
    pub speech: Speech,
    /// What its callers may hold; asked for each new connection.
    pub bounds: Box<dyn Fn() -> Bounds + Send + Sync>,
    /// Its open connections.
    pub lines: Lines,
    /// Where refused connections are counted.
    pub faults: Arc<Faults>,
}

/// Smallest buffer that the HTTP library accepts for one connection.
const BUFFER_MIN: usize = 8192;
/// Pause after the operating system refused a connection, for want of descriptors perhaps.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval of pings on a connection between nodes with work outstanding.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A connection whose ping is not answered for so long is closed.
pub const PING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Window of one HTTP/2 stream: what a reader that stalls may make a node hold.
pub const STREAM_WINDOW: u32 = 64 * 1024;
/// Window of one HTTP/2 connection.
pub const CONNECTION_WINDOW: u32 = 1024 * 1024;

impl Server {
    /// Serves until `stop` turns true, then until every request in progress has its answer.
    ///
    /// Dropping the future cuts every connection.
    pub async fn run<S, F>(self, mut stop: watch::Receiver<bool>, make: F)
    where
        S: tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send,
        F: Fn(SocketAddr) -> S,
    {
        let mut bounds = (self.bounds)();
        let mut builder = Arc::new(builder(self.speech, &bounds));
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
            let Some(open) = self.lines.enter(peer) else {
                self.faults.count("too-many-connections", Some(peer));
                continue;
            };
            let present = (self.bounds)();
            if present != bounds {
                builder = Arc::new(self::builder(self.speech, &present));
                bounds = present;
            }
            let connection = Connection {
                builder: builder.clone(),
                peer,
                open,
                header_time: Duration::from_millis(bounds.header_time),
                stall_time: Duration::from_millis(bounds.stall_time),
                faults: self.faults.clone(),
                stop: stopped.clone(),
            };
            tasks.spawn(connection.run(stream, make(peer)));
        }
        drop(self.listener);
        while tasks.join_next().await.is_some() {}
    }
}

fn builder(speech: Speech, bounds: &Bounds) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if speech == Speech::Http2 {
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
    open: Open,
    header_time: Duration,
    stall_time: Duration,
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
        // Answers are written whole; waiting for more bytes only adds latency.
        let _ = stream.set_nodelay(true);
        let line = Line::default();
        let open = Arc::new(self.open);
        let service = service_fn({
            let (line, open) = (line.clone(), open.clone());
            move |mut request: Request<Incoming>| {
                let busy = open.begin();
                line.0.heard.store(true, Ordering::Relaxed);
                request.extensions_mut().insert(line.clone());
                let answer = service.clone().oneshot(request);
                async move {
                    let answer = answer.await;
                    drop(busy);
                    answer
                }
            }
        });
        let io = TokioIo::new(Stall::new(stream, self.stall_time));
        let serving = self
            .builder
            .serve_connection(io, TowerToHyperService::new(service));
        let mut serving = pin!(serving);
        // The library waits without end for the bytes by which it tells HTTP/1.1 from HTTP/2, so a caller
        // that sends none would keep its place for good. Later headers fall under its own timeout.
        let mut first = pin!(sleep_until(Instant::now() + self.header_time));
        let mut watching = true;
        let mut closing = false;
        let mut refused = false;
        loop {
            tokio::select! {
                ended = serving.as_mut() => {
                    if let Err(error) = ended {
                        self.faults.count(kind(error.as_ref()), Some(self.peer));
                    }
                    break;
                }
                () = first.as_mut(), if watching => {
                    watching = false;
                    if !line.0.heard.load(Ordering::Relaxed) {
                        self.faults.count("slow-header", Some(self.peer));
                        break;
                    }
                    if refused && !line.0.admitted.load(Ordering::Relaxed) {
                        self.faults.count("refused-lingers", Some(self.peer));
                        break;
                    }
                }
                () = line.0.refused.notified(), if !refused => {
                    refused = true;
                    watching = true;
                    first.as_mut().reset(Instant::now() + self.header_time);
                    serving.as_mut().graceful_shutdown();
                }
                () = open.ending(), if !closing => {
                    closing = true;
                    serving.as_mut().graceful_shutdown();
                }
                _ = self.stop.wait_for(|it| *it), if !closing => {
                    closing = true;
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
        drop(open);
    }
}

/// A stable name of what broke a connection.
fn kind(error: &(dyn std::error::Error + Send + Sync + 'static)) -> &'static str {
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

/// What is known of the other end of one connection; each request carries it as an extension.
///
/// A stranger that keeps the connection open on which it was refused would hold a place for good, and a few
/// thousand such connections would shut other nodes out. So the connection takes nothing more, and is cut if
/// it does not end by itself and nobody with a proof or token ever used it.
#[derive(Clone, Debug, Default)]
pub struct Line(Arc<LineState>);

#[derive(Debug, Default)]
struct LineState {
    heard: AtomicBool,
    admitted: AtomicBool,
    refused: Notify,
}

impl Line {
    /// Notes that the request came from somebody whom the socket is for.
    pub fn admit<B>(request: &Request<B>) {
        if let Some(Line(it)) = request.extensions().get() {
            it.admitted.store(true, Ordering::Relaxed);
        }
    }

    /// Ends the connection once its requests in progress are answered.
    pub fn refuse<B>(request: &Request<B>) {
        if let Some(Line(it)) = request.extensions().get() {
            it.refused.notify_one();
        }
    }
}
