//! Real nodes on loopback, in this one process, around one platform with faults.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use laburnum_edge::{Clock, Memory};
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
    Faulty, Upstream,
    faults::{Faults, Outage},
    upstream::UpstreamSettings,
};

use crate::metered::Metered;

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Nodes. Default: 3.
    pub nodes: usize,
    /// Availability zones; nodes are dealt out to them in turn. Default: 2.
    pub zones: usize,
    /// Regions; zones are dealt out to them in turn. Default: 1.
    pub regions: usize,
    /// How configuration spreads. Default: [`SpreadSettings::default`].
    pub spread: SpreadSettings,
    /// Faults of the platform from the start. Default: none.
    pub faults: Faults,
    /// Longest wait for requests in progress when a node closes, in ms. Default: 5 s.
    pub grace: u64,
}

/// A fleet does not do what it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A node cannot start.
    #[error("node {node} cannot start: {source}")]
    Start { node: usize, source: StartError },
    /// An upstream cannot start.
    #[error("the upstream beside node {node} cannot start: {source}; free some ports")]
    Upstream { node: usize, source: std::io::Error },
    /// No port can be had.
    #[error("no free port between {PORT_MIN} and {PORT_MAX} on 127.0.0.1; end what listens there")]
    NoPort,
    /// Something did not come about in time.
    #[error(
        "{what} did not come about within {limit} ms; raise the machine's share or use fewer nodes"
    )]
    Late { what: &'static str, limit: u64 },
    /// The node is gone.
    #[error("node {node}: {source}")]
    Closed { node: usize, source: Closed },
    /// A submission was not accepted.
    #[error("submission for {service} was not accepted: {verdict:?}; see the verdict")]
    Verdict { service: Name, verdict: Verdict },
    /// The node answered something else than a verdict.
    #[error("node {node} gave no verdict; it is of another version")]
    Reply { node: usize },
}

/// A running fleet. Must be made inside a tokio runtime with several threads.
pub struct Fleet {
    members: Vec<Member>,
    platform: Faulty,
    clock: Clock,
}

/// A place of the fleet, with its node unless that is down.
struct Member {
    config: Config,
    platform: Metered,
    node: Option<Node>,
}

/// Ports below those that Linux hands out to connections, so that none takes a node's while it restarts.
const PORT_MIN: u16 = 12_000;
const PORT_MAX: u16 = 32_000;

/// Tries to start a node: another process may take a port between its choice and its use.
const START_TRIES: usize = 5;

/// Pause before another try to start a node at its old addresses, in ms.
const RESTART_MS: u64 = 50;

/// Nodes that every other node contacts first.
const CONTACTS: usize = 3;

/// Interval between two looks at the views, in ms.
const LOOK_MS: u64 = 1;

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
    /// Starts every node; they may not have found each other yet.
    pub async fn start(layout: &Layout) -> Result<Fleet, FleetError> {
        let clock = Clock::system();
        let platform = Faulty::new(Arc::new(Memory::default()), clock.clone(), 1);
        platform.set(layout.faults);
        let mut fleet = Fleet {
            members: Vec::new(),
            platform,
            clock,
        };
        for idx in 0..layout.nodes {
            let member = fleet.member(layout, idx).await?;
            fleet.members.push(member);
        }
        Ok(fleet)
    }

    /// Places, those whose node is down included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the fleet has no place.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The platform that every node uses.
    pub fn platform(&self) -> &Faulty {
        &self.platform
    }

    /// Settings of the node at `idx`, with its addresses.
    pub fn config(&self, idx: usize) -> &Config {
        &self.members[idx].config
    }

    /// The node at `idx`, unless it is down.
    pub fn node(&self, idx: usize) -> Option<&Node> {
        self.members[idx].node.as_ref()
    }

    /// The platform as the node at `idx` and its predecessors used it.
    pub fn metered(&self, idx: usize) -> &Metered {
        &self.members[idx].platform
    }

    /// Places whose node runs, with the handle of its control thread.
    pub fn controls(&self) -> impl Iterator<Item = (usize, &Control)> {
        let members = self.members.iter().enumerate();
        members.filter_map(|(idx, it)| Some((idx, it.node.as_ref()?.control())))
    }

    /// Starts an upstream beside the node at `idx`; it announces itself there.
    pub async fn upstream(
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

    /// Submits through the node at `idx` and waits for the verdict.
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

    /// Submits, and takes everything but acceptance for an error.
    pub async fn accept(&self, idx: usize, change: Change) -> Result<Accepted, FleetError> {
        let service = change.service.clone();
        match self.submit(idx, change).await? {
            Verdict::Accepted { seq, revision } => Ok(Accepted { seq, revision }),
            verdict => Err(FleetError::Verdict { service, verdict }),
        }
    }

    /// Waits until `holds` is true of every running node's view; returns the time that took.
    pub async fn until(
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
                return Err(FleetError::Late { what, limit });
            }
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Ends the node at `idx` as a process that is killed: it tells nobody.
    pub async fn kill(&mut self, idx: usize) {
        if let Some(node) = self.members[idx].node.take() {
            node.kill().await;
        }
    }

    /// Drains the node at `idx` and ends it.
    pub async fn drain(&mut self, idx: usize) {
        if let Some(node) = self.members[idx].node.take() {
            node.close().await;
        }
    }

    /// Starts the node at `idx` again at its old addresses, unless it runs.
    pub async fn restart(&mut self, idx: usize) -> Result<(), FleetError> {
        if self.members[idx].node.is_some() {
            return Ok(());
        }
        let mut tries = 0;
        loop {
            let member = &self.members[idx];
            tries += 1;
            match self.launch(&member.config, &member.platform).await {
                Ok(node) => {
                    self.members[idx].node = Some(node);
                    return Ok(());
                }
                // The sockets of the process before may take a moment to go.
                Err(_) if tries < START_TRIES => {
                    tokio::time::sleep(Duration::from_millis(RESTART_MS)).await;
                }
                Err(source) => return Err(FleetError::Start { node: idx, source }),
            }
        }
    }

    /// Shows these faults of the platform from now on, keeping its rates.
    pub fn outage(&self, outage: Outage) {
        let faults = self.platform.faults();
        self.platform.set(Faults { outage, ..faults });
    }

    /// Ends every node at once. A fleet under measurement has no caller left that a drain would serve.
    pub async fn close(mut self) {
        for idx in 0..self.len() {
            self.kill(idx).await;
        }
    }

    async fn member(&self, layout: &Layout, idx: usize) -> Result<Member, FleetError> {
        let mut tries = 0;
        loop {
            let config = self.place(layout, idx)?;
            tries += 1;
            let platform = Metered::new(self.platform.clone());
            match self.launch(&config, &platform).await {
                Ok(node) => {
                    return Ok(Member {
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

    fn place(&self, layout: &Layout, idx: usize) -> Result<Config, FleetError> {
        let zone = idx % layout.zones.max(1);
        let region = zone % layout.regions.max(1);
        let contacts = self.members.iter().take(CONTACTS);
        Ok(Config {
            caller: free()?,
            control: free()?,
            traffic: free()?,
            admin: free()?,
            region: format!("region-{region}"),
            zone: format!("region-{region}-zone-{zone}"),
            peers: contacts.map(|it| it.config.control).collect(),
            spread: layout.spread.clone(),
            grace: layout.grace,
            ..Config::default()
        })
    }

    async fn launch(&self, config: &Config, platform: &Metered) -> Result<Node, StartError> {
        let platform = Arc::new(platform.clone());
        Node::start(config.clone(), self.clock.clone(), platform).await
    }
}

/// A change to submit.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its id.
    pub id: SubmitId,
    /// The service.
    pub service: Name,
    /// The revision that it is based on.
    pub base: Revision,
    /// The new document.
    pub text: String,
}

/// What became of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Its position in the log.
    pub seq: Seq,
    /// The service's revision since.
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

/// A port of loopback that is free for TCP and UDP at present; each is handed out once a round.
fn free() -> Result<SocketAddr, FleetError> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = PORT_MAX - PORT_MIN;
    // Benches that run at the same time start at different ports.
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
