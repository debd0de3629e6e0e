//! A running node: its threads and sockets.

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use axum::{Router, body::Body};
use http::{Request, Response};
use hyper::body::Incoming;
use laburnum_edge::{Clock, LinkError, Platform};
use laburnum_kernel::{
    Event, NodeId, Settings,
    id::BadName,
    import::Watch,
    once::OnceSettings,
    pick::Place,
    settings::{AcceptSettings, Origin},
};
use opentelemetry_sdk::error::OTelSdkError;
use tokio::{
    net::TcpListener,
    runtime::Handle,
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout_at},
};
use tower::ServiceExt;

use crate::{
    admin::Admin,
    auth::{self, Exposed, Guard, Peer},
    config::Config,
    control::{Control, ControlThread},
    metrics::{Metrics, Source},
    recall,
    traffic::{
        Parts, Traffic,
        counts::Counts,
        faults::Faults,
        lines::Lines,
        proof::Proofs,
        serve::{Bounds, Server, Speech},
    },
    upstream::Upstream,
};

/// The node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The region or availability zone is not a name.
    #[error(transparent)]
    Name(#[from] BadName),
    /// The link's sockets cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The registry of metrics refuses them.
    #[error("cannot register the metrics: {0}; update the node")]
    Metrics(#[from] OTelSdkError),
    /// The settings would leave a socket open to strangers.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Exposed(Vec<Exposed>),
    /// An HTTP socket cannot be bound.
    #[error("cannot bind {address}: {source}; choose a free address with --{flag}")]
    Bind {
        flag: &'static str,
        address: SocketAddr,
        source: std::io::Error,
    },
}

/// A running node.
pub struct Node {
    control: ControlThread,
    traffic: Traffic,
    upstream: Upstream,
    metrics: Metrics,
    faults: Arc<Faults>,
    grace: Duration,
    linger: Duration,
    notice: Duration,
    /// Ends the sockets of callers and operators.
    callers: Servers,
    /// Ends the socket of other nodes.
    nodes: Servers,
}

/// Servers that stop together.
struct Servers {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Interval in which a draining node looks for requests in progress.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// The part of the grace, as its divisor, that is kept for the last answers and for telling the other nodes:
/// 0.37 s of 5.5 s, many times what a few hundred short answers take on a slow link.
const LAST_SHARE: u32 = 15;

impl Node {
    /// Opens every socket and starts the threads. Must be called inside a tokio runtime.
    pub async fn start(
        config: Config,
        clock: Clock,
        platform: Arc<dyn Platform>,
    ) -> Result<Node, StartError> {
        auth::check(&config).map_err(StartError::Exposed)?;
        let settings = Settings {
            node: NodeId(config.control),
            incarnation: clock.now().0,
            traffic: config.traffic,
            region: config.region.parse()?,
            zone: config.zone.parse()?,
            peers: config.peers.iter().copied().map(NodeId).collect(),
            origin: config.origin,
            watch: config.watch,
            accept: AcceptSettings::default(),
            spread: config.spread.clone(),
            once: OnceSettings {
                retention: config.retention,
            },
            notice: config.notice,
        };
        let node = settings.node;
        let place = Place {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let caller = bind("caller", config.caller).await?;
        let traffic = bind("traffic", config.traffic).await?;
        let admin = bind("admin", config.admin).await?;
        let control = ControlThread::start(
            settings,
            config.keys.clone(),
            clock.clone(),
            platform.clone(),
            Handle::current(),
        )?;
        let handle = control.control().clone();
        let faults = Arc::new(Faults::new(clock.clone()));
        let metrics = Metrics::new()?;
        let guard = Guard::new(&config, faults.clone());
        let upstream = Upstream::start(handle.clone(), clock.clone(), config.pool, config.polling);
        // A row a node is a write a start of its upstream and a read a start of the node. Fleets whose nodes leave the
        // source to a few of them, to spare the store, do without: 75 such nodes made 1,000 more calls a day.
        if config.origin == Origin::Imported && config.watch == Watch::Always {
            tokio::spawn(recall::run(platform, node, upstream.clone()));
        }
        let path = Traffic::start(Parts {
            node,
            place,
            control: handle.clone(),
            clock: clock.clone(),
            upstream: upstream.clone(),
            faults: faults.clone(),
            proofs: Proofs::new(config.traffic, &config.keys, clock.clone()),
            counts: Counts::new(metrics.latency()),
            origin: config.origin,
            dialect: config.dialect,
            service: config.service,
            link: config.link,
        });
        let entry_lines = Lines::new(clock.clone(), config.callers.connections);
        let owner_lines = Lines::new(clock.clone(), config.nodes.connections);
        metrics.follow(Source {
            control: handle.clone(),
            traffic: path.clone(),
            callers: entry_lines.clone(),
            nodes: owner_lines.clone(),
        });
        let api = Admin {
            guard,
            ..Admin::new(handle.clone(), upstream.clone(), metrics.clone())
        };
        let (mut callers, mut nodes) = (Servers::default(), Servers::default());
        let entry = path.clone();
        callers.serve(
            Server {
                listener: caller,
                speech: Speech::Both,
                bounds: followed(&config.callers, config.origin, handle.clone()),
                lines: entry_lines,
                faults: faults.clone(),
            },
            move |peer| entry.entry(peer),
        );
        let router = api.router();
        callers.serve(
            Server {
                listener: admin,
                speech: Speech::Both,
                lines: Lines::new(clock, config.callers.connections),
                bounds: Box::new(move || config.callers.clone()),
                faults: faults.clone(),
            },
            move |peer| operators(router.clone(), peer),
        );
        let owner = path.clone();
        nodes.serve(
            Server {
                listener: traffic,
                speech: Speech::Http2,
                bounds: followed(&config.nodes, config.origin, handle),
                lines: owner_lines,
                faults: faults.clone(),
            },
            move |peer| owner.owner(peer),
        );
        Ok(Node {
            control,
            traffic: path,
            upstream,
            metrics,
            faults,
            grace: Duration::from_millis(config.grace),
            linger: Duration::from_millis(config.linger),
            notice: Duration::from_millis(config.notice),
            callers,
            nodes,
        })
    }

    /// The control thread, for callers inside the process.
    pub fn control(&self) -> &Control {
        self.control.control()
    }

    /// The node's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The upstream beside the node.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Faults of callers, operators and nodes so far.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Attempts beyond each request's first that callers' requests took at this node so far.
    pub fn retries(&self) -> u64 {
        self.traffic.retries()
    }

    /// Requests of callers in progress.
    pub fn carried(&self) -> usize {
        self.traffic.carried()
    }

    /// Drains and stops: the upstream takes no new work, and every request in progress gets its answer.
    ///
    /// A caller whose answer has not come shortly before the grace ends is told so; what takes even longer is cut.
    /// Dropping the future stops at once.
    pub async fn close(self) {
        let end = Instant::now() + self.grace;
        let last = end - self.grace / LAST_SHARE;
        // Callers that have not noticed yet are served like any other, and so is the upstream, which may live on: were
        // its slots left idle for all that time, nodes that stop in turn would leave many upstreams idle at once.
        let notice = self.notice.min(self.linger);
        sleep(self.linger - notice).await;
        // A closed control thread has nobody left to tell.
        let _ = self.control.control().tell(Event::Stop);
        self.traffic.drain();
        sleep(notice).await;
        // The upstream's requests in progress may call other services through this node: callers are
        // served until the last of them is done.
        let _ = timeout_at(last, owned(&self.traffic)).await;
        let mut callers = pin!(self.callers.close());
        if timeout_at(last, &mut callers).await.is_err() {
            self.traffic.give_up();
            let _ = timeout_at(end, callers).await;
        }
        // Callers of this node may have been the last to need its upstream.
        let _ = timeout_at(end, owned(&self.traffic)).await;
        // The kernel tells the other nodes. An entry that has not heard yet meets a refusal here, and keeps
        // off, rather than a closed port, which would cost it a retry each time.
        let _ = self.control.control().tell(Event::Idle);
        let _ = timeout_at(end, exited(&self.control)).await;
        let _ = timeout_at(end, self.nodes.close()).await;
        self.control.close();
    }

    /// Stops at once, as a process that is killed: requests in progress are cut, and no other node is told.
    pub async fn kill(self) {
        let Node {
            control,
            callers,
            nodes,
            ..
        } = self;
        // Aborted tasks drop their sockets; only then may another node take the addresses.
        let (mut callers, mut nodes) = (callers.tasks, nodes.tasks);
        callers.shutdown().await;
        nodes.shutdown().await;
        control.close();
    }
}

/// What a socket lets others hold: the settings, and what an imported configuration grants beyond them.
fn followed(
    bounds: &Bounds,
    origin: Origin,
    control: Control,
) -> Box<dyn Fn() -> Bounds + Send + Sync> {
    let bounds = bounds.clone();
    match origin {
        Origin::Submitted => Box::new(move || bounds.clone()),
        Origin::Imported => Box::new(move || bounds.widened(control.view().table.spec().limits)),
    }
}

async fn exited(control: &ControlThread) {
    while !control.exited() {
        sleep(DRAIN_POLL).await;
    }
}

async fn owned(traffic: &Traffic) {
    while traffic.owned() > 0 {
        sleep(DRAIN_POLL).await;
    }
}

impl Default for Servers {
    fn default() -> Servers {
        Servers {
            stop: watch::Sender::new(false),
            tasks: JoinSet::new(),
        }
    }
}

impl Servers {
    fn serve<S, F>(&mut self, server: Server, make: F)
    where
        S: tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send,
        F: Fn(SocketAddr) -> S + Send + 'static,
    {
        self.tasks.spawn(server.run(self.stop.subscribe(), make));
    }

    /// Takes no new connections and waits until every request in progress has its answer.
    async fn close(mut self) {
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

fn operators(
    router: Router,
    peer: SocketAddr,
) -> impl tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send>
+ Clone
+ Send {
    tower::service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(Peer(peer));
        router.clone().oneshot(request.map(Body::new))
    })
}

async fn bind(flag: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Bind {
            flag,
            address,
            source,
        })
}
