//! A stand-in upstream: slots, cold start, drain, load shedding, crashes and misbehaviour.
//!
//! Every path but those of [`work`] is a request to run; its answer repeats what it was asked. Requests
//! are tied to the [`Ledger`] by their headers [`work::REQUEST_ID`] and [`work::IDEMPOTENCY_KEY`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use laburnum_edge::{Token, api::AnnounceBody};
use laburnum_kernel::Name;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore, watch},
    task::{JoinHandle, JoinSet},
};

use crate::{
    server::{Conn, Conns, Server},
    upstream::announce::Lease,
};

pub mod announce;
pub mod behaviour;
pub mod ledger;
pub mod work;

pub use crate::upstream::{
    behaviour::{Behaviour, Failing, Replies},
    ledger::Ledger,
};

/// How an upstream is made.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Where it listens; port zero picks a free one. Default: 127.0.0.1:0.
    pub listen: SocketAddr,
    /// The service it serves. Default: drafting-desk.
    pub service: Name,
    /// Admin address of the node beside it, to announce itself to. Default: none.
    pub node: Option<SocketAddr>,
    /// Token that the node accepts from other hosts. Default: none.
    pub token: Option<Token>,
    /// Requests that it runs at once. Default: 6.
    pub slots: u16,
    /// Requests that wait for a slot before others are shed. Default: 0.
    pub queue: u16,
    /// Least service time, in milliseconds. Default: 0.
    pub run: u64,
    /// Most milliseconds added to it, evenly spread. Default: 0.
    pub spread: u64,
    /// Milliseconds from a start until it is ready. Default: 0.
    pub cold: u64,
    /// Milliseconds from a crash until it listens again. Default: 500.
    pub restart: u64,
    /// Milliseconds between two announcements. Default: 1000.
    pub heartbeat: u64,
    /// Fixes its random choices. Default: 1.
    pub seed: u64,
}

impl Default for UpstreamSettings {
    fn default() -> UpstreamSettings {
        UpstreamSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: "drafting-desk".parse().expect("a name"),
            node: None,
            token: None,
            slots: 6,
            queue: 0,
            run: 0,
            spread: 0,
            cold: 0,
            restart: 500,
            heartbeat: 1_000,
            seed: 1,
        }
    }
}

impl From<SocketAddr> for UpstreamSettings {
    fn from(listen: SocketAddr) -> UpstreamSettings {
        UpstreamSettings {
            listen,
            ..UpstreamSettings::default()
        }
    }
}

/// Where an upstream stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Its cold start is not over; it refuses requests.
    Warming,
    /// It runs requests.
    Ready,
    /// It refuses new requests and completes those in progress.
    Draining,
}

/// What the health endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether it takes requests.
    pub phase: Phase,
    /// Slots in use.
    pub busy: u16,
    /// Slots in all.
    pub slots: u16,
}

/// A running upstream. Must be made inside a tokio runtime.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// What every connection of an upstream shares.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: UpstreamSettings,
    phase: watch::Sender<Phase>,
    slots: Arc<Semaphore>,
    queue: Semaphore,
    conns: Conns,
    crash: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    ledger: Ledger,
    rng: ChaCha8Rng,
    /// Requests that run at present.
    runs: JoinSet<()>,
    /// The newest silent connection.
    silent: Conn,
}

/// Milliseconds between two tries to listen again after a crash.
const REBIND_MS: u64 = 20;

/// How one life of an upstream ended.
enum End {
    Crashed,
    Stopped,
}

impl Upstream {
    /// Listens and, if it has a node beside it, announces itself there.
    pub async fn start(settings: impl Into<UpstreamSettings>) -> std::io::Result<Upstream> {
        let settings = settings.into();
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(settings));
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(live(shared.clone(), listener, address, stopped));
        Ok(Upstream {
            address,
            shared,
            stop,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Misbehaves so from now on.
    pub fn set(&self, behaviour: Behaviour) {
        self.shared.set(behaviour);
    }

    /// Never answers on the connections open at present; new ones work.
    pub fn silence(&self) {
        self.shared.silence();
    }

    /// Dies as a process does and comes back after the restart delay; does nothing while it is down.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// What the health endpoint says.
    pub fn health(&self) -> Health {
        self.shared.health()
    }

    /// What it ran and refused so far.
    pub fn ledger(&self) -> Ledger {
        self.shared.ledger()
    }

    /// Refuses new requests from now on and withdraws its announcement.
    pub fn leave(&self) {
        self.shared.phase.send_replace(Phase::Draining);
    }

    /// Leaves, completes every request in progress and ends.
    pub async fn drain(self) {
        self.leave();
        self.stop.send_replace(true);
        // It can only fail by a panic, which was reported by then.
        let _ = self.task.await;
    }

    /// Ends at once, as a process that is killed: nothing is withdrawn, completed or answered.
    pub fn close(self) {
        self.task.abort();
        self.shared.lock().runs.abort_all();
    }
}

impl Shared {
    fn new(settings: UpstreamSettings) -> Shared {
        Shared {
            phase: watch::Sender::new(Phase::Warming),
            slots: Arc::new(Semaphore::new(settings.slots.into())),
            queue: Semaphore::new(settings.queue.into()),
            conns: Conns::default(),
            crash: Notify::new(),
            state: Mutex::new(State {
                behaviour: Behaviour::default(),
                ledger: Ledger::default(),
                rng: ChaCha8Rng::seed_from_u64(settings.seed),
                runs: JoinSet::new(),
                silent: Conn::default(),
            }),
            settings,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn behaviour(&self) -> Behaviour {
        self.lock().behaviour
    }

    fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    fn set(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    fn silence(&self) {
        self.lock().silent = self.conns.last();
    }

    fn silent(&self, conn: Conn) -> bool {
        conn <= self.lock().silent
    }

    fn lease(&self, address: SocketAddr) -> Option<Lease> {
        let node = self.settings.node?;
        Some(Lease {
            node,
            token: self.settings.token.clone(),
            heartbeat: self.settings.heartbeat,
            body: AnnounceBody {
                service: self.settings.service.clone(),
                address,
                slots: self.settings.slots,
                ready: false,
            },
        })
    }
}

/// One life after another until it is stopped.
async fn live(
    shared: Arc<Shared>,
    listener: TcpListener,
    address: SocketAddr,
    mut stopped: watch::Receiver<bool>,
) {
    let mut listener = listener;
    loop {
        match life(&shared, listener, address, &mut stopped).await {
            End::Stopped => return,
            End::Crashed => {}
        }
        tokio::time::sleep(Duration::from_millis(shared.settings.restart)).await;
        shared.phase.send_replace(Phase::Warming);
        listener = rebind(address).await;
    }
}

async fn life(
    shared: &Arc<Shared>,
    listener: TcpListener,
    address: SocketAddr,
    stopped: &mut watch::Receiver<bool>,
) -> End {
    let handler_shared = shared.clone();
    let handler = move |conn, request| work::handle(handler_shared.clone(), conn, request);
    let Ok(server) = Server::start(listener, shared.conns.clone(), handler) else {
        return End::Crashed;
    };
    let mut tasks = JoinSet::new();
    let warming = tasks.spawn(warm(shared.clone()));
    if let Some(lease) = shared.lease(address) {
        tasks.spawn(announce::run(lease, shared.phase.subscribe()));
    }
    let end = tokio::select! {
        () = shared.crash.notified() => End::Crashed,
        _ = stopped.wait_for(|it| *it) => End::Stopped,
    };
    match end {
        End::Crashed => {
            tasks.abort_all();
            let mut runs = std::mem::take(&mut shared.lock().runs);
            runs.shutdown().await;
            server.free().await;
            shared.lock().ledger.crash();
            // Two requests may have asked for this one crash; the second must not crash the next life.
            let _ = tokio::time::timeout(Duration::ZERO, shared.crash.notified()).await;
        }
        End::Stopped => {
            warming.abort();
            server.drain().await;
            // The announcement ends by itself once it is withdrawn.
            while tasks.join_next().await.is_some() {}
        }
    }
    end
}

async fn warm(shared: Arc<Shared>) {
    tokio::time::sleep(Duration::from_millis(shared.settings.cold)).await;
    shared.phase.send_if_modified(|it| {
        let warming = *it == Phase::Warming;
        if warming {
            *it = Phase::Ready;
        }
        warming
    });
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            // Somebody else holds the port for a moment; a supervisor would also try again.
            Err(_) => tokio::time::sleep(Duration::from_millis(REBIND_MS)).await,
        }
    }
}
