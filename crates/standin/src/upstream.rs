//! Stand-in upstream with slots, cold start, drain, load shedding, crashes and faults.
//!
//! Requests to any path other than the control paths of [`work`] are run; the answer echoes the request. The [`Ledger`]
//! records runs by the header fields [`work::REQUEST_ID`] and [`work::IDEMPOTENCY_KEY`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use laburnum_edge::{Token, api::AnnounceBody};
use laburnum_kernel::{Name, id::Build};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore, watch},
    task::{JoinHandle, JoinSet},
};

use crate::{
    server::{ConnCounter, ConnId, Server},
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

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Listen address; port zero selects a free port. Default: 127.0.0.1:0.
    pub listen: SocketAddr,
    /// Service of the upstream. Default: drafting-desk.
    pub service: Name,
    /// Admin address of the node that receives the announcements. Default: none.
    pub node: Option<SocketAddr>,
    /// Token that the node accepts from other hosts. Default: none.
    pub token: Option<Token>,
    /// Number of requests that run at once. Default: 6.
    pub slots: u16,
    /// Number of requests that may wait for a slot; further ones are shed. Default: 0.
    pub queue: u16,
    /// Least service time, in ms. Default: 0.
    pub run: u64,
    /// Upper bound of the uniform random time added to it, in ms. Default: 0.
    pub spread: u64,
    /// Warm-up time after a start, in ms. Default: 0.
    pub cold: u64,
    /// Time from a crash to the next start, in ms. Default: 500.
    pub restart: u64,
    /// Interval between announcements, in ms. Default: 1000.
    pub heartbeat: u64,
    /// Seed of random choices. Default: 1.
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

/// Phase of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The upstream warms up and refuses requests.
    Warming,
    /// The upstream runs requests.
    Ready,
    /// The upstream refuses new requests and completes those in progress.
    Draining,
}

/// Answer of the health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Reported phase.
    pub phase: Phase,
    /// Slots in use.
    pub busy: u16,
    /// Total number of slots.
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

/// State shared by the connections of an upstream.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: UpstreamSettings,
    phase: watch::Sender<Phase>,
    slots: Arc<Semaphore>,
    queue: Semaphore,
    conns: ConnCounter,
    crash: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    ledger: Ledger,
    rng: ChaCha8Rng,
    /// Running requests.
    runs: JoinSet<()>,
    /// Newest connection that is never answered, as are all older ones.
    silent_until: ConnId,
}

/// Interval between attempts to bind the address after a crash, in ms.
const REBIND_MS: u64 = 20;

/// Why an upstream's server ended.
enum StopReason {
    Crashed,
    Stopped,
}

impl Upstream {
    /// Starts to listen and, if a node is set, announces the upstream to it.
    pub async fn start(settings: impl Into<UpstreamSettings>) -> std::io::Result<Upstream> {
        let settings = settings.into();
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(settings));
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(supervise(shared.clone(), listener, address, stopped));
        Ok(Upstream {
            address,
            shared,
            stop,
            task,
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies `behaviour` from now on.
    pub fn set(&self, behaviour: Behaviour) {
        self.shared.set(behaviour);
    }

    /// Stops answering on the connections that are open now; new ones work.
    pub fn silence(&self) {
        self.shared.silence();
    }

    /// Simulates a crash and a start after the restart delay. An upstream that is down crashes again when it starts.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// Returns the answer of the health endpoint.
    pub fn health(&self) -> Health {
        self.shared.health()
    }

    /// Returns the ledger of the requests so far.
    pub fn ledger(&self) -> Ledger {
        self.shared.ledger()
    }

    /// Refuses new requests from now on and withdraws the announcement.
    pub fn leave(&self) {
        self.shared.phase.send_replace(Phase::Draining);
    }

    /// Leaves, completes every request in progress and stops.
    pub async fn drain(self) {
        self.leave();
        self.stop.send_replace(true);
        // The task fails only by a panic, which is reported by then.
        let _ = self.task.await;
    }

    /// Stops at once, as a killed process does: without a withdrawal, completions or answers.
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
            conns: ConnCounter::default(),
            crash: Notify::new(),
            state: Mutex::new(State {
                behaviour: Behaviour::default(),
                ledger: Ledger::default(),
                rng: ChaCha8Rng::seed_from_u64(settings.seed),
                runs: JoinSet::new(),
                silent_until: ConnId::default(),
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
        self.lock().silent_until = self.conns.newest();
    }

    fn is_silent(&self, conn: ConnId) -> bool {
        conn <= self.lock().silent_until
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
                build: Build::default(),
            },
        })
    }
}

/// Runs the upstream and restarts it after each crash, until it is stopped.
async fn supervise(
    shared: Arc<Shared>,
    listener: TcpListener,
    address: SocketAddr,
    mut stopped: watch::Receiver<bool>,
) {
    let mut listener = listener;
    loop {
        match run_until_end(&shared, listener, address, &mut stopped).await {
            StopReason::Stopped => return,
            StopReason::Crashed => {}
        }
        tokio::time::sleep(Duration::from_millis(shared.settings.restart)).await;
        shared.phase.send_replace(Phase::Warming);
        listener = rebind(address).await;
    }
}

async fn run_until_end(
    shared: &Arc<Shared>,
    listener: TcpListener,
    address: SocketAddr,
    stopped: &mut watch::Receiver<bool>,
) -> StopReason {
    let handler_shared = shared.clone();
    let handler = move |conn, request| work::handle(handler_shared.clone(), conn, request);
    let Ok(server) = Server::start(listener, shared.conns.clone(), handler) else {
        return StopReason::Crashed;
    };
    let mut tasks = JoinSet::new();
    let warming = tasks.spawn(warm_up(shared.clone()));
    if let Some(lease) = shared.lease(address) {
        tasks.spawn(announce::run(lease, shared.phase.subscribe()));
    }
    let end = tokio::select! {
        () = shared.crash.notified() => StopReason::Crashed,
        _ = stopped.wait_for(|it| *it) => StopReason::Stopped,
    };
    match end {
        StopReason::Crashed => {
            tasks.abort_all();
            let mut runs = std::mem::take(&mut shared.lock().runs);
            runs.shutdown().await;
            server.close_and_wait().await;
            shared.lock().ledger.crash();
            // A second request may have triggered the same crash; that must not crash the restarted upstream.
            let _ = tokio::time::timeout(Duration::ZERO, shared.crash.notified()).await;
        }
        StopReason::Stopped => {
            warming.abort();
            server.drain().await;
            // The announcing task ends once it has sent the withdrawal.
            while tasks.join_next().await.is_some() {}
        }
    }
    end
}

async fn warm_up(shared: Arc<Shared>) {
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
            // Another program may use the port for a moment.
            Err(_) => tokio::time::sleep(Duration::from_millis(REBIND_MS)).await,
        }
    }
}
