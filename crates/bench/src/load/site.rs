//! The nodes and upstreams that a case runs against, on loopback sockets of this process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use laburnum_edge::{Clock, Memory};
use laburnum_kernel::{
    Call, Name, Reply, Revision, SubmitId,
    accept::{self, Submission, Verdict},
    log::Edit,
    members::Phase,
};
use laburnum_node::{Config, Node, node::StartError};
use laburnum_standin::{Faults, Faulty, Ledger, Upstream, UpstreamSettings};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

use super::{case::Work, preset::Preset};

/// The site cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// No port is free, or an upstream cannot listen.
    #[error("cannot listen on loopback: {0}; end other runs that hold its ports")]
    Listen(#[from] std::io::Error),
    /// A node does not start.
    #[error(transparent)]
    Node(#[from] StartError),
    /// A document was refused.
    #[error("the document of {0} was not accepted: {1}; mend the preset")]
    Document(&'static str, String),
    /// The nodes do not know every upstream in time.
    #[error("the nodes were not ready within {READY_MAX:?}; run fewer things at once")]
    Late,
}

/// Upstreams of one service.
pub type Group = Vec<Upstream>;

/// The upstreams alone, as the baseline has them.
pub struct Bare {
    /// By service of the preset.
    pub groups: Vec<Group>,
}

/// Upstreams with a node beside each, and entry nodes.
pub struct Site {
    /// By service of the preset.
    pub groups: Vec<Group>,
    /// Where callers send requests.
    pub entries: Vec<SocketAddr>,
    /// The platform, to break it.
    pub platform: Faulty,
    nodes: Vec<Node>,
}

/// Entry nodes without an upstream.
const ENTRIES: usize = 2;
/// Longest wait until every node knows every upstream.
const READY_MAX: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(20);
/// Delay of the platform's answers in ms.
const PLATFORM_MS: u64 = 5;
/// Queue of the baseline's upstreams, which nothing bounds.
const UNBOUNDED: u16 = u16::MAX;
/// Slots of an upstream that serves at once.
const INSTANT_SLOTS: u16 = 64;

impl Bare {
    /// Starts the upstreams.
    pub async fn start(preset: Preset, work: Work, seed: u64) -> Result<Bare, SiteError> {
        let mut groups = Vec::new();
        for service in preset.services() {
            let mut group = Group::new();
            for idx in 0..service.endpoints {
                let settings = upstream(preset, work, service.name, seed + idx as u64);
                let settings = UpstreamSettings {
                    queue: UNBOUNDED,
                    ..settings
                };
                group.push(Upstream::start(settings).await?);
            }
            groups.push(group);
        }
        Ok(Bare { groups })
    }

    /// Ends every upstream.
    pub fn close(self) {
        self.groups.into_iter().flatten().for_each(Upstream::close);
    }
}

impl Site {
    /// Starts everything and waits until every node knows every upstream.
    pub async fn start(preset: Preset, work: Work, seed: u64) -> Result<Site, SiteError> {
        let platform = Faulty::new(Arc::new(Memory::default()), Clock::system(), seed);
        let faults = Faults {
            slow: PLATFORM_MS,
            ..Faults::default()
        };
        platform.set(faults);
        let mut site = Site {
            groups: Vec::new(),
            entries: Vec::new(),
            platform,
            nodes: Vec::new(),
        };
        let mut peers = Vec::new();
        for _ in 0..ENTRIES {
            let config = site.node(&mut peers).await?;
            site.entries.push(config.caller);
        }
        for service in preset.services() {
            let mut group = Group::new();
            for idx in 0..service.endpoints {
                let config = site.node(&mut peers).await?;
                let settings = upstream(preset, work, service.name, seed + idx as u64);
                let settings = UpstreamSettings {
                    node: Some(config.admin),
                    ..settings
                };
                group.push(Upstream::start(settings).await?);
            }
            site.groups.push(group);
        }
        site.submit(preset).await?;
        site.ready(preset).await?;
        Ok(site)
    }

    /// Attempts beyond each request's first, at all entries.
    pub fn retries(&self) -> u64 {
        self.nodes.iter().map(Node::retries).sum()
    }

    /// Ends everything; what is in progress is cut.
    pub async fn close(self) {
        self.groups.into_iter().flatten().for_each(Upstream::close);
        let closing: Vec<_> = self
            .nodes
            .into_iter()
            .map(|it| tokio::spawn(it.close()))
            .collect();
        for it in closing {
            // It can only fail by a panic, which was reported by then.
            let _ = it.await;
        }
    }

    async fn node(&mut self, peers: &mut Vec<SocketAddr>) -> Result<Config, SiteError> {
        let config = Config {
            caller: free().await?,
            control: free().await?,
            traffic: free().await?,
            admin: free().await?,
            peers: peers.iter().copied().take(ENTRIES).collect(),
            grace: 500,
            ..Config::default()
        };
        let platform = Arc::new(self.platform.clone());
        let node = Node::start(config.clone(), Clock::system(), platform).await?;
        self.nodes.push(node);
        peers.push(config.control);
        Ok(config)
    }

    async fn submit(&self, preset: Preset) -> Result<(), SiteError> {
        for (idx, service) in preset.services().iter().enumerate() {
            let text = preset.document(service);
            let submission = Submission {
                id: SubmitId(idx as u128 + 1),
                service: name(service.name),
                base: Revision(0),
                edit: Edit::Put { text },
                author: "bench".to_owned(),
                reason: "load".to_owned(),
            };
            let call = Call::Accept(accept::Call::Submit(submission));
            match self.nodes[0].control().call(call).await {
                Ok(Reply::Accept(accept::Reply::Verdict(Verdict::Accepted { .. }))) => {}
                other => return Err(SiteError::Document(service.name, format!("{other:?}"))),
            }
        }
        Ok(())
    }

    async fn ready(&self, preset: Preset) -> Result<(), SiteError> {
        let end = Instant::now() + READY_MAX;
        while !self.nodes.iter().all(|it| knows_all(it, preset)) {
            if Instant::now() > end {
                return Err(SiteError::Late);
            }
            sleep(READY_POLL).await;
        }
        Ok(())
    }
}

/// What all upstreams ran and refused.
pub fn ledger(groups: &[Group]) -> Ledger {
    let mut sum = Ledger::default();
    groups
        .iter()
        .flatten()
        .for_each(|it| sum.merge(it.ledger()));
    sum
}

fn knows_all(node: &Node, preset: Preset) -> bool {
    let view = node.control().view();
    let known = |service: &super::preset::Service| {
        let found = view.services.get(&name(service.name));
        let ready = found.map_or(0, |it| {
            let ready = it.endpoints.iter().filter(|it| it.phase == Phase::Ready);
            ready.count()
        });
        ready == service.endpoints
    };
    view.ready && preset.services().iter().all(known)
}

fn upstream(preset: Preset, work: Work, service: &str, seed: u64) -> UpstreamSettings {
    let mean = preset.mean();
    let settings = UpstreamSettings {
        service: name(service),
        seed,
        ..UpstreamSettings::default()
    };
    match work {
        // Three quarters of the mean are fixed, the rest is spread evenly around its end.
        Work::Usual => UpstreamSettings {
            slots: preset.slots(),
            run: mean * 3 / 4,
            spread: mean / 2,
            ..settings
        },
        Work::Instant => UpstreamSettings {
            slots: INSTANT_SLOTS,
            ..settings
        },
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("the preset's names are valid")
}

async fn free() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    listener.local_addr()
}
