//! A fleet of real nodes on loopback in one process, around one platform with fault injection.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use laburnum_edge::{Clock, MemoryPlatform};
use laburnum_kernel::{
    Call, Name, Reply, Revision, Seq, SubmitId, View,
    accept::{self, Submission, Verdict},
    log::Edit,
    settings::SpreadSettings,
};
use laburnum_node::{
    Config, Node,
    control::{Closed, Control},
    node::StartError,
};
use laburnum_standin::{
    FaultyPlatform, Upstream,
    faults::{Faults, Outage},
    upstream::UpstreamSettings,
};

use crate::metered::Metered;

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of nodes. Default: 3.
    pub nodes: usize,
    /// Number of availability zones; nodes are assigned round robin. Default: 2.
    pub zones: usize,
    /// Number of regions; zones are assigned round robin. Default: 1.
    pub regions: usize,
    /// Settings of configuration distribution. Default: [`SpreadSettings::default`].
    pub spread: SpreadSettings,
    /// Platform faults from the start. Default: none.
    pub faults: Faults,
    /// Maximum wait for in-flight requests when a node closes, in ms. Default: 5 s.
    pub grace: u64,
}

/// Why an operation on a fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A node could not start.
    #[error("node {node} cannot start: {source}")]
    Start { node: usize, source: StartError },
    /// An upstream could not start.
    #[error("the upstream beside node {node} cannot start: {source}; check for free ports")]
    Upstream { node: usize, source: std::io::Error },
    /// No port is free.
    #[error(
        "no free port between {PORT_MIN} and {PORT_MAX} on 127.0.0.1; stop processes that listen there"
    )]
    NoPort,
    /// A condition did not hold within its time limit.
    #[error(
        "timed out after {limit} ms waiting for {what}; give the run more CPU or use fewer nodes"
    )]
    Timeout { what: &'static str, limit: u64 },
    /// The node is down.
    #[error("node {node}: {source}")]
    Closed { node: usize, source: Closed },
    /// A submission was not accepted.
    #[error("submission for {service} was not accepted: {verdict:?}")]
    Verdict { service: Name, verdict: Verdict },
    /// The node's reply was not a verdict.
    #[error("node {node} replied to a submission with something other than a verdict")]
    Reply { node: usize },
}

/// A running fleet; needs a multi-threaded tokio runtime.
pub struct Fleet {
    places: Vec<Place>,
    platform: FaultyPlatform,
    clock: Clock,
}

/// A place of the fleet: a fixed configuration, and its node unless that is down.
struct Place {
    config: Config,
    platform: Metered,
    node: Option<Node>,
}

/// Port range below Linux's ephemeral ports, so that no connection takes the port of a restarting node.
const PORT_MIN: u16 = 12_000;
const PORT_MAX: u16 = 32_000;

/// Maximum attempts to start a node; another process may take a port after it was found free.
const START_TRIES: usize = 5;

/// Pause before another attempt to start a node at its old addresses, in ms.
const RESTART_MS: u64 = 50;

/// Number of nodes given to every other node as its first peers.
const CONTACTS: usize = 3;

/// Interval of polling the views, in ms.
const POLL_MS: u64 = 1;

impl Default for Layout {
    fn default() -> Layout {
        Layout {
            nodes: 3,
            zones: 2,
            regions: 1,
            spread: SpreadSettings::default(),
            faults: Faults::default(),
            grace: 5_000,
        }
    }
}

impl Fleet {
    /// Starts every node; does not wait until they have joined each other.
    pub async fn start(layout: &Layout) -> Result<Fleet, FleetError> {
        let clock = Clock::system();
        let platform = FaultyPlatform::new(Arc::new(MemoryPlatform::default()), clock.clone(), 1);
        platform.set(layout.faults);
        let mut fleet = Fleet {
            places: Vec::new(),
            platform,
            clock,
        };
        for idx in 0..layout.nodes {
            let place = fleet.start_place(layout, idx).await?;
            fleet.places.push(place);
        }
        Ok(fleet)
    }

    /// Returns the number of places, including those whose node is down.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether the fleet has no places.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the platform that every node uses.
    pub fn platform(&self) -> &FaultyPlatform {
        &self.platform
    }

    /// Returns the settings of the node at `idx`, with its addresses.
    pub fn config(&self, idx: usize) -> &Config {
        &self.places[idx].config
    }

    /// Returns the node at `idx`, unless it is down.
    pub fn node(&self, idx: usize) -> Option<&Node> {
        self.places[idx].node.as_ref()
    }

    /// Returns the platform counters of the place `idx`, over all restarts of its node.
    pub fn metered(&self, idx: usize) -> &Metered {
        &self.places[idx].platform
    }

    /// Returns the places whose node runs, with the handle of its control thread.
    pub fn controls(&self) -> impl Iterator<Item = (usize, &Control)> {
        let places = self.places.iter().enumerate();
        places.filter_map(|(idx, it)| Some((idx, it.node.as_ref()?.control())))
    }

    /// Starts an upstream that registers with the node at `idx`.
    pub async fn start_upstream(
        &self,
        idx: usize,
        settings: UpstreamSettings,
    ) -> Result<Upstream, FleetError> {
        let settings = UpstreamSettings {
            node: Some(self.config(idx).admin),
            ..settings
        };
        let upstream = Upstream::start(settings).await;
        upstream.map_err(|source| FleetError::Upstream { node: idx, source })
    }

    /// Submits a change through the node at `idx` and returns the verdict.
    pub async fn submit(&self, idx: usize, change: Change) -> Result<Verdict, FleetError> {
        let node = idx;
        let Some(it) = self.node(idx) else {
            let source = Closed;
            return Err(FleetError::Closed { node, source });
        };
        let call = Call::Accept(accept::Call::Submit(change.submission()));
        match it.control().call(call).await {
            Ok(Reply::Accept(accept::Reply::Verdict(verdict))) => Ok(verdict),
            Ok(_) => Err(FleetError::Reply { node }),
            Err(source) => Err(FleetError::Closed { node, source }),
        }
    }

    /// Submits a change and returns an error unless it is accepted.
    pub async fn submit_accepted(
        &self,
        idx: usize,
        change: Change,
    ) -> Result<Accepted, FleetError> {
        let service = change.service.clone();
        match self.submit(idx, change).await? {
            Verdict::Accepted { seq, revision } => Ok(Accepted { seq, revision }),
            verdict => Err(FleetError::Verdict { service, verdict }),
        }
    }

    /// Waits until `holds` is true of every running node's view; returns the time waited.
    ///
    /// `what` names the condition in the error after `limit` ms.
    pub async fn wait_until(
        &self,
        what: &'static str,
        limit: u64,
        holds: impl Fn(&View) -> bool,
    ) -> Result<Duration, FleetError> {
        let start = Instant::now();
        loop {
            if self.controls().all(|(_, it)| holds(&it.view())) {
                return Ok(start.elapsed());
            }
            if start.elapsed() > Duration::from_millis(limit) {
                return Err(FleetError::Timeout { what, limit });
            }
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Stops the node at `idx` without notice to its peers, like a killed process.
    pub async fn kill(&mut self, idx: usize) {
        if let Some(node) = self.places[idx].node.take() {
            node.kill().await;
        }
    }

    /// Drains and stops the node at `idx`.
    pub async fn drain(&mut self, idx: usize) {
        if let Some(node) = self.places[idx].node.take() {
            node.close().await;
        }
    }

    /// Restarts the node at `idx` at its old addresses, unless it runs.
    pub async fn restart(&mut self, idx: usize) -> Result<(), FleetError> {
        if self.places[idx].node.is_some() {
            return Ok(());
        }
        let mut tries = 0;
        loop {
            let place = &self.places[idx];
            tries += 1;
            match self.start_node(&place.config, &place.platform).await {
                Ok(node) => {
                    self.places[idx].node = Some(node);
                    return Ok(());
                }
                // The sockets of the previous process may not be closed yet.
                Err(_) if tries < START_TRIES => {
                    tokio::time::sleep(Duration::from_millis(RESTART_MS)).await;
                }
                Err(source) => return Err(FleetError::Start { node: idx, source }),
            }
        }
    }

    /// Sets the outage of the platform; its other faults and rate limits stay.
    pub fn set_outage(&self, outage: Outage) {
        let faults = self.platform.faults();
        self.platform.set(Faults { outage, ..faults });
    }

    /// Stops every node without a drain, since no callers are left to serve.
    pub async fn close(mut self) {
        for idx in 0..self.len() {
            self.kill(idx).await;
        }
    }

    async fn start_place(&self, layout: &Layout, idx: usize) -> Result<Place, FleetError> {
        let mut tries = 0;
        loop {
            let config = self.config_of_place(layout, idx)?;
            tries += 1;
            let platform = Metered::new(self.platform.clone());
            match self.start_node(&config, &platform).await {
                Ok(node) => {
                    return Ok(Place {
                        config,
                        platform,
                        node: Some(node),
                    });
                }
                Err(_) if tries < START_TRIES => {}
                Err(source) => return Err(FleetError::Start { node: idx, source }),
            }
        }
    }

    fn config_of_place(&self, layout: &Layout, idx: usize) -> Result<Config, FleetError> {
        let zone = idx % layout.zones.max(1);
        let region = zone % layout.regions.max(1);
        let contacts = self.places.iter().take(CONTACTS);
        Ok(Config {
            caller: free_address()?,
            control: free_address()?,
            traffic: free_address()?,
            admin: free_address()?,
            region: format!("region-{region}"),
            zone: format!("region-{region}-zone-{zone}"),
            peers: contacts.map(|it| it.config.control).collect(),
            spread: layout.spread.clone(),
            grace: layout.grace,
            ..Config::default()
        })
    }

    async fn start_node(&self, config: &Config, platform: &Metered) -> Result<Node, StartError> {
        let platform = Arc::new(platform.clone());
        Node::start(config.clone(), self.clock.clone(), platform).await
    }
}

/// A change to submit.
#[derive(Clone, Debug)]
pub struct Change {
    /// Id of the submission.
    pub id: SubmitId,
    /// Name of the service.
    pub service: Name,
    /// Revision that the change is based on.
    pub base: Revision,
    /// New document.
    pub text: String,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Position in the log.
    pub seq: Seq,
    /// New revision of the service.
    pub revision: Revision,
}

impl Change {
    fn submission(self) -> Submission {
        Submission {
            id: self.id,
            service: self.service,
            base: self.base,
            edit: Edit::Put { text: self.text },
            author: "bench".to_owned(),
            reason: "measurement".to_owned(),
        }
    }
}

/// Returns a loopback address whose port is free for TCP and UDP; iterates through the port range.
fn free_address() -> Result<SocketAddr, FleetError> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = PORT_MAX - PORT_MIN;
    // Concurrent bench processes start at different ports.
    let offset = std::process::id().wrapping_mul(997) % u32::from(span);
    for _ in 0..span {
        let next = u32::from(NEXT.fetch_add(1, Ordering::Relaxed)) + offset;
        let port = PORT_MIN + u16::try_from(next % u32::from(span)).unwrap_or_default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(FleetError::NoPort)
}
