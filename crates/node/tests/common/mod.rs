//! Test fixture: nodes on loopback sockets with scripted upstreams.

#![allow(dead_code, reason = "each test file uses its own part")]

pub use laburnum_standin::ports::free_address;
use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use bytes::Bytes;
use http::{Request, Response, header, request};
use http_body_util::BodyExt;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_edge::{Clock, MemoryPlatform};
use laburnum_kernel::{
    Call, Reply, Revision, SubmitId,
    accept::{self, Submission, Verdict},
    id::Build,
    log::Edit,
    members::Phase,
};
use laburnum_node::{
    Config, Node,
    upstream::{Announcement, Upstream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// The document of service `desk`.
pub const DOCUMENT: &str = include_str!("../data/desk.toml");

/// Maximum number of polls in [`until`]: at least a minute.
const POLLS_MAX: usize = 12_000;
/// Maximum number of attempts of a test that repeats a request.
pub const ATTEMPTS_MAX: usize = 5_000;
/// Interval of a scripted upstream's announcements.
const ANNOUNCE: Duration = Duration::from_millis(500);
/// Timeout for one answer; ten times the longest deadline of a route.
const ANSWER_MAX: Duration = Duration::from_secs(60);

/// Polls `ready` until it returns true. Panics instead of hanging if it never does.
#[track_caller]
pub fn until(ready: impl FnMut() -> bool) -> impl Future<Output = ()> {
    until_or(ready, String::new)
}

/// As [`until`]; `state` describes the state for the panic message.
#[track_caller]
pub fn until_or(
    mut ready: impl FnMut() -> bool,
    state: impl FnOnce() -> String,
) -> impl Future<Output = ()> {
    let place = std::panic::Location::caller();
    async move {
        for _ in 0..POLLS_MAX {
            if ready() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!(
            "the condition at {place} did not come true in {POLLS_MAX} polls\n{}",
            state()
        );
    }
}

/// Describes each node's view of the service.
pub fn views(nodes: &[Running]) -> String {
    let lines = nodes.iter().map(|it| {
        let view = it.node.control().view();
        let (ready, own) = (view.ready, &view.own);
        let endpoints: Vec<_> = view.services.values().map(|it| &it.endpoints).collect();
        let control = it.config.control;
        format!("{control}: ready {ready}, own {own:?}, endpoints {endpoints:?}\n")
    });
    lines.collect()
}

/// Returns the phase of the only upstream in the entry's view.
pub fn phase(cluster: &Cluster) -> Option<Phase> {
    let view = cluster.nodes[0].node.control().view();
    let name = "desk".parse().expect("a name");
    let service = view.services.get(&name)?;
    service.endpoints.first().map(|it| it.phase)
}

/// Action of a scripted upstream on a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits until [`Fake::release`] is called.
    Hold,
    /// Waits until the node closes the connection.
    Wait,
    /// Closes the connection.
    Close,
    /// Closes the connection and stops listening, like a process that crashes.
    Crash,
}

/// A request that the upstream received.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Request line and fields.
    pub head: String,
    /// The whole body.
    pub body: Vec<u8>,
    /// Number of the connection, from 0.
    pub connection: usize,
}

/// A scripted upstream.
pub struct Fake {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

type Script = Box<dyn Fn(&Seen) -> Vec<Step> + Send + Sync>;

struct Shared {
    script: Script,
    seen: Mutex<Vec<Seen>>,
    /// Number of exchanges in which the node closed the connection before the answer was complete.
    cancelled: AtomicUsize,
    released: watch::Sender<bool>,
    /// Whether it has stopped announcing itself.
    silent: AtomicBool,
    /// Phase that it reports.
    phase: Mutex<&'static str>,
    /// Sent in place of its reports, if not empty.
    raw_report: Mutex<&'static str>,
    /// Number of health checks that were answered.
    checks: AtomicUsize,
    crashed: watch::Sender<bool>,
}

/// Returns the steps of a complete answer with this body.
pub fn answer(body: &str) -> Vec<Step> {
    let text = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    vec![Step::Write(text.into_bytes())]
}

impl Fake {
    /// Starts an upstream that answers health checks itself and other requests by `script`.
    pub async fn start(script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            script: Box::new(script),
            seen: Mutex::default(),
            cancelled: AtomicUsize::new(0),
            released: watch::Sender::new(false),
            silent: AtomicBool::new(false),
            phase: Mutex::new("ready"),
            raw_report: Mutex::new(""),
            checks: AtomicUsize::new(0),
            crashed: watch::Sender::new(false),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Fake {
            address,
            shared,
            task,
        }
    }

    /// Returns the requests received so far, without health checks.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().expect("no panic").clone()
    }

    /// Returns the number of exchanges that the node closed early.
    pub fn cancelled(&self) -> usize {
        self.shared.cancelled.load(Ordering::SeqCst)
    }

    /// Announces itself as ready until it crashes, reports a phase or is dropped. Repeated, because a node
    /// withdraws an upstream that is silent for 5 s, and a cluster may take longer to form.
    fn announce(&self, upstream: Upstream) {
        let announcement = Announcement {
            service: "desk".parse().expect("a name"),
            address: self.address,
            slots: 6,
            build: Build::default(),
            phase: Phase::Ready,
        };
        let shared = Arc::downgrade(&self.shared);
        tokio::spawn(async move {
            while let Some(shared) = shared.upgrade() {
                let silent = shared.silent.load(Ordering::SeqCst) || *shared.crashed.borrow();
                if silent || upstream.announce(announcement.clone()).is_err() {
                    return;
                }
                drop(shared);
                tokio::time::sleep(ANNOUNCE).await;
            }
        });
    }

    /// Reports `phase` to health checks from now on, and stops announcing itself.
    pub fn report(&self, phase: &'static str) {
        self.shared.silent.store(true, Ordering::SeqCst);
        *self.shared.phase.lock().expect("no panic") = phase;
    }

    /// Answers health checks with this text from now on.
    pub fn report_raw(&self, text: &'static str) {
        *self.shared.raw_report.lock().expect("no panic") = text;
    }

    /// Returns the number of health checks that were answered.
    pub fn checks(&self) -> usize {
        self.shared.checks.load(Ordering::SeqCst)
    }

    /// Lets every [`Step::Hold`] continue.
    pub fn release(&self) {
        self.shared.released.send_replace(true);
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut crashed = shared.crashed.subscribe();
    let mut count = 0;
    loop {
        let stream = tokio::select! {
            _ = crashed.wait_for(|it| *it) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => return,
            },
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let mut crashed = shared.crashed.subscribe();
            tokio::select! {
                _ = crashed.wait_for(|it| *it) => {}
                _ = connection(stream, count, &shared) => {}
            }
        });
        count += 1;
    }
}

/// Serves one connection; returns `None` when it ends.
async fn connection(mut stream: TcpStream, number: usize, shared: &Shared) -> Option<()> {
    loop {
        let seen = read(&mut stream, number).await?;
        if seen.head.starts_with("GET /health ") {
            let phase = *shared.phase.lock().expect("no panic");
            let report = format!(r#"{{"phase":"{phase}","busy":0,"slots":6}}"#);
            let raw = *shared.raw_report.lock().expect("no panic");
            let text = match raw {
                "" => format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{report}",
                    report.len()
                ),
                _ => raw.to_owned(),
            };
            stream.write_all(text.as_bytes()).await.ok()?;
            shared.checks.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        let steps = (shared.script)(&seen);
        shared.seen.lock().expect("no panic").push(seen);
        for step in steps {
            perform(&mut stream, step, shared).await?;
        }
    }
}

async fn perform(stream: &mut TcpStream, step: Step, shared: &Shared) -> Option<()> {
    match step {
        Step::Write(bytes) => stream.write_all(&bytes).await.ok(),
        Step::Close => None,
        Step::Crash => {
            shared.crashed.send_replace(true);
            None
        }
        Step::Hold => {
            let mut released = shared.released.subscribe();
            tokio::select! {
                _ = released.wait_for(|it| *it) => Some(()),
                () = closed(stream) => {
                    shared.cancelled.fetch_add(1, Ordering::SeqCst);
                    None
                }
            }
        }
        Step::Wait => {
            closed(stream).await;
            shared.cancelled.fetch_add(1, Ordering::SeqCst);
            None
        }
    }
}

async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    while !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn read(stream: &mut TcpStream, connection: usize) -> Option<Seen> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|it| it.strip_prefix("content-length: "))
        .and_then(|it| it.trim().parse::<usize>().ok());
    let chunked = head.contains("transfer-encoding: chunked");
    let mut body = bytes.split_off(end);
    let whole = |body: &[u8]| match length {
        Some(length) => body.len() >= length,
        None => !chunked || body.ends_with(b"0\r\n\r\n"),
    };
    while !whole(&body) {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    // The node sends field names in lower case; methods and paths keep their case.
    Some(Seen {
        head,
        body,
        connection,
    })
}

/// Forwards TCP connections and can silence them: they stay open, but nothing arrives and no error is reported.
pub struct Forwarder {
    connections: Arc<AtomicUsize>,
    /// Connections with a lower number are silent.
    silent: watch::Sender<usize>,
    task: JoinHandle<()>,
}

impl Forwarder {
    /// Forwards the connections that `listener` accepts to `target`.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Forwarder {
        let connections = Arc::new(AtomicUsize::new(0));
        let silent = watch::Sender::new(0);
        let (count, receiver) = (connections.clone(), silent.subscribe());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(forward(stream, target, number, receiver.clone()));
            }
        });
        Forwarder {
            connections,
            silent,
            task,
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Silences all connections accepted so far; later ones work.
    pub fn silence(&self) {
        self.silent.send_replace(self.connections());
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    mut near: TcpStream,
    target: SocketAddr,
    number: usize,
    mut silent: watch::Receiver<usize>,
) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let silenced = tokio::select! {
        silenced = silent.wait_for(|it| number < *it) => silenced.is_ok(),
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
    };
    if silenced {
        // Both sockets stay open until the forwarder is dropped.
        while silent.changed().await.is_ok() {}
    }
}

/// A node and its settings.
pub struct Running {
    /// The node.
    pub node: Node,
    /// Its settings.
    pub config: Config,
}

/// Nodes that know one another and the document: an entry without upstream, then one node beside each upstream.
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<Running>,
}

/// Starts a cluster; `adjust` changes each node's settings first.
pub async fn cluster_with(fakes: &[&Fake], adjust: impl Fn(&mut Config)) -> Cluster {
    cluster_of(fakes, adjust, DOCUMENT).await
}

/// Starts a cluster with the given document.
pub async fn cluster_of(fakes: &[&Fake], adjust: impl Fn(&mut Config), document: &str) -> Cluster {
    let platform = Arc::new(MemoryPlatform::default());
    let mut nodes: Vec<Running> = Vec::new();
    for _ in 0..=fakes.len() {
        let mut config = Config {
            caller: free_address(),
            control: free_address(),
            traffic: free_address(),
            admin: free_address(),
            peers: nodes.iter().map(|it| it.config.control).collect(),
            grace: 5_000,
            ..Config::default()
        };
        adjust(&mut config);
        let node = Node::start(config.clone(), Clock::system(), platform.clone()).await;
        let node = node.expect("the node starts");
        nodes.push(Running { node, config });
    }
    for (running, fake) in nodes[1..].iter().zip(fakes) {
        fake.announce(running.node.upstream().clone());
    }
    submit(&nodes[0].node, document).await;
    let name = "desk".parse().expect("a name");
    for it in &nodes {
        let ready = || {
            let view = it.node.control().view();
            let service = view.services.get(&name);
            view.ready
                && service.is_some_and(|it| {
                    let ready = it.endpoints.iter().filter(|it| it.phase == Phase::Ready);
                    ready.count() == fakes.len()
                })
        };
        until_or(ready, || views(&nodes)).await;
    }
    Cluster { nodes }
}

/// Starts a cluster.
pub async fn cluster(fakes: &[&Fake]) -> Cluster {
    cluster_with(fakes, |_| ()).await
}

async fn submit(node: &Node, document: &str) {
    let submission = Submission {
        id: SubmitId(1),
        service: "desk".parse().expect("a name"),
        base: Revision(0),
        edit: Edit::Put {
            text: document.to_owned(),
        },
        author: "amal".to_owned(),
        reason: "first".to_owned(),
    };
    let call = Call::Accept(accept::Call::Submit(submission));
    let reply = node.control().call(call).await.expect("a reply");
    let Reply::Accept(accept::Reply::Verdict(Verdict::Accepted { .. })) = reply else {
        panic!("the document is accepted, not {reply:?}");
    };
}

impl Cluster {
    /// Returns the entry's address for callers.
    pub fn caller(&self) -> SocketAddr {
        self.nodes[0].config.caller
    }

    /// Drains every node.
    pub async fn close(self) {
        let closing = self
            .nodes
            .into_iter()
            .map(|it| tokio::spawn(it.node.close()));
        let closing: Vec<_> = closing.collect();
        for it in closing {
            it.await.expect("the node closes");
        }
    }
}

/// An answer as the caller received it.
#[derive(Debug)]
pub struct Got {
    /// Status and fields.
    pub head: http::response::Parts,
    /// The body; `None` if it was truncated.
    pub body: Option<Bytes>,
}

impl Got {
    /// Returns a field as text, empty if absent.
    pub fn field(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value.and_then(|it| it.to_str().ok()).unwrap_or_default()
    }
}

/// Creates a caller's HTTP client.
pub fn client() -> Client<HttpConnector, Body> {
    Client::builder(TokioExecutor::new()).build(HttpConnector::new())
}

/// Builds a request for the service.
pub fn request(method: &str, caller: SocketAddr, path: &str) -> request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{caller}{path}"))
        .header(header::HOST, "desk")
}

/// Sends a request and reads its answer.
pub async fn send(request: request::Builder, body: impl Into<Body>) -> Got {
    try_send(request, body).await.expect("an answer")
}

/// Sends a request and reads its answer; `None` if the connection ended before the answer's header.
pub async fn try_send(request: request::Builder, body: impl Into<Body>) -> Option<Got> {
    let request = request.body(body.into()).expect("a request");
    let asked = request.uri().clone();
    let exchange = async {
        let answer: Response<_> = client().request(request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok().map(|it| it.to_bytes());
        Some(Got { head, body })
    };
    match tokio::time::timeout(ANSWER_MAX, exchange).await {
        Ok(got) => got,
        Err(_) => panic!("neither an answer nor an end of the connection for {asked}"),
    }
}

/// Sends bytes on a new connection and reads until the node closes it.
pub async fn raw(caller: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(caller).await.expect("a connection");
    stream.write_all(bytes).await.expect("written");
    let mut got = Vec::new();
    // The connection may end with a reset after the answer.
    let _ = stream.read_to_end(&mut got).await;
    String::from_utf8_lossy(&got).into_owned()
}

/// Runs a future in the background.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> JoinHandle<T> {
    tokio::spawn(future)
}
