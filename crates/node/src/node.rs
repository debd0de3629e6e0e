//! Assembles and runs a node: its threads and sockets.

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
    recall::{Keeper, Kept},
    traffic::{
        Closing, Parts, Traffic,
        connections::OpenConnections,
        counts::Counts,
        faults::Faults,
        proof::Proofs,
        serve::{Bounds, Protocols, Server},
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
    /// The metrics cannot be registered.
    #[error("cannot register the metrics: {0}; update the node")]
    Metrics(#[from] OTelSdkError),
    /// The settings would expose a socket to unauthenticated peers.
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
    /// Servers of callers and operators.
    callers: Servers,
    /// Server of other nodes.
    nodes: Servers,
}

/// Servers that stop together.
struct Servers {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Interval at which a draining node checks for requests in progress.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Part of the grace period, as its divisor, that is reserved for answering requests that are still pending and
/// for notifying other nodes.
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
            quota: config.quota,
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
        if config.origin == Origin::Imported {
            // The saved heartbeat costs a write per start of the upstream. Nodes that leave the source to watchers do
            // without, to reduce the load on the store.
            let kept = match config.watch {
                Watch::Always => Kept::Everything,
                Watch::Fallback => Kept::Leaving,
            };
            upstream.await_records();
            let keeper = Keeper::new(platform, clock.clone(), node, &upstream, kept);
            tokio::spawn(keeper.run(upstream.saved()));
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
            revoke: config.revoke,
            retries: config.retries,
        });
        let entry_connections = OpenConnections::new(clock.clone(), config.callers.connections);
        let owner_connections = OpenConnections::new(clock.clone(), config.nodes.connections);
        metrics.register(Source {
            control: handle.clone(),
            traffic: path.clone(),
            callers: entry_connections.clone(),
            nodes: owner_connections.clone(),
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
                protocols: Protocols::Both,
                bounds: current_bounds(&config.callers, config.origin, handle.clone()),
                connections: entry_connections,
                faults: faults.clone(),
            },
            move |peer| entry.entry(peer),
        );
        let router = api.router();
        callers.serve(
            Server {
                listener: admin,
                protocols: Protocols::Both,
                connections: OpenConnections::new(clock, config.callers.connections),
                bounds: Box::new(move || config.callers.clone()),
                faults: faults.clone(),
            },
            move |peer| operator_service(router.clone(), peer),
        );
        let owner = path.clone();
        nodes.serve(
            Server {
                listener: traffic,
                protocols: Protocols::Http2,
                bounds: current_bounds(&config.nodes, config.origin, handle),
                connections: owner_connections,
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

    /// Returns the handle of the control thread.
    pub fn control(&self) -> &Control {
        self.control.control()
    }

    /// Returns the node's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the upstream beside the node.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the counters of invalid input from callers, operators and nodes.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the number of retries of callers' requests so far.
    pub fn retries(&self) -> u64 {
        self.traffic.retries()
    }

    /// Returns the number of callers' requests in progress.
    pub fn in_progress(&self) -> usize {
        self.traffic.in_progress()
    }

    /// Returns the number of requests for the upstream beside the node that are in progress, waiting ones included.
    pub fn owned(&self) -> usize {
        self.traffic.owned()
    }

    /// Drains and stops the node: the upstream gets no new requests, and every request in progress is answered.
    ///
    /// Requests that are still pending shortly before the grace period ends get an answer that says so;
    /// connections that remain open after it are closed. Dropping the future stops at once.
    pub async fn close(self) {
        let end = Instant::now() + self.grace;
        let answers_due = end - self.grace / LAST_SHARE;
        // Until other nodes have noticed, requests are still accepted for callers and for the upstream, which
        // may keep running: rejecting them early would leave upstreams idle when nodes are stopped in turn.
        let notice = self.notice.min(self.linger);
        sleep(self.linger - notice).await;
        // A closed control thread has already stopped.
        let _ = self.control.control().send_event(Event::Stop);
        self.traffic.drain();
        sleep(notice).await;
        // Requests at the upstream may call other services through this node, so callers are served until the
        // last of them is done, with what is sure to end in time.
        self.traffic.refuse_long_requests(Closing {
            answers: answers_due,
            end,
        });
        let _ = timeout_at(answers_due, upstream_idle(&self.traffic)).await;
        let mut callers = pin!(self.callers.close());
        if timeout_at(answers_due, &mut callers).await.is_err() {
            self.traffic.answer_pending();
            let _ = timeout_at(end, callers).await;
        }
        // Callers' requests may have used this node's own upstream until now.
        let _ = timeout_at(end, upstream_idle(&self.traffic)).await;
        // The kernel notifies the other nodes. Until then an entry gets a refusal from this node instead of a
        // closed port, which would cost it a retry per request.
        let _ = self.control.control().send_event(Event::Idle);
        let _ = timeout_at(end, control_exited(&self.control)).await;
        let _ = timeout_at(end, self.nodes.close()).await;
        self.control.close();
    }

    /// Stops at once, like a killed process: requests in progress are cut, and no other node is notified.
    pub async fn kill(self) {
        let Node {
            control,
            callers,
            nodes,
            ..
        } = self;
        // Waits until aborted tasks have closed their sockets, so that another node can bind the addresses.
        let (mut callers, mut nodes) = (callers.tasks, nodes.tasks);
        callers.shutdown().await;
        nodes.shutdown().await;
        control.close();
    }
}

/// Returns the limits of a socket: the settings, raised to what an imported configuration grants.
fn current_bounds(
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

async fn control_exited(control: &ControlThread) {
    while !control.exited() {
        sleep(DRAIN_POLL).await;
    }
}

async fn upstream_idle(traffic: &Traffic) {
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
    fn serve<S, F>(&mut self, server: Server, make_service: F)
    where
        S: tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send,
        F: Fn(SocketAddr) -> S + Send + 'static,
    {
        self.tasks
            .spawn(server.run(self.stop.subscribe(), make_service));
    }

    /// Accepts no new connections and waits until every request in progress is answered.
    async fn close(mut self) {
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

fn operator_service(
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
