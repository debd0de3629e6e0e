//! The nodes and upstreams that a case runs against, on loopback sockets of this process.

use std::net::SocketAddr;

use laburnum_kernel::{Name, Revision, SubmitId, View, members::Phase};
use laburnum_standin::{Faults, Faulty, Ledger, Upstream, UpstreamSettings};

use super::{
    case::Work,
    preset::{Preset, Service},
};
use crate::fleet::{Change, Fleet, FleetError, Layout};

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
    fleet: Fleet,
}

/// Entry nodes without an upstream.
const ENTRIES: usize = 2;
/// Longest wait until every node knows every upstream, in ms.
const READY_MS: u64 = 30_000;
/// Delay of the platform's answers in ms.
const PLATFORM_MS: u64 = 5;
/// Queue of the baseline's upstreams, which nothing bounds.
const UNBOUNDED: u16 = u16::MAX;
/// Slots of an upstream that serves at once.
const INSTANT_SLOTS: u16 = 64;

impl Bare {
    /// Starts the upstreams.
    pub async fn start(preset: Preset, work: Work, seed: u64) -> Result<Bare, FleetError> {
        let mut groups = Vec::new();
        for service in preset.services() {
            let mut group = Group::new();
            for idx in 0..service.endpoints {
                let settings = upstream(preset, work, service.name, seed + idx as u64);
                let settings = UpstreamSettings {
                    queue: UNBOUNDED,
                    ..settings
                };
                let upstream = Upstream::start(settings).await;
                group.push(upstream.map_err(|source| FleetError::Upstream { node: idx, source })?);
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
    pub async fn start(preset: Preset, work: Work, seed: u64) -> Result<Site, FleetError> {
        let services = preset.services();
        let endpoints: usize = services.iter().map(|it| it.endpoints).sum();
        let layout = Layout {
            nodes: ENTRIES + endpoints,
            zones: 1,
            faults: Faults {
                slow: PLATFORM_MS,
                ..Faults::default()
            },
            ..Layout::default()
        };
        let fleet = Fleet::start(&layout).await?;
        fleet.until("readiness", READY_MS, |it| it.ready).await?;
        for (idx, service) in services.iter().enumerate() {
            let change = Change {
                id: SubmitId(idx as u128 + 1),
                service: name(service.name),
                base: Revision(0),
                text: preset.document(service),
            };
            fleet.accept(0, change).await?;
        }
        let mut groups = Vec::new();
        let mut node = ENTRIES;
        for service in services {
            let mut group = Group::new();
            for idx in 0..service.endpoints {
                let settings = upstream(preset, work, service.name, seed + idx as u64);
                group.push(fleet.upstream(node, settings).await?);
                node += 1;
            }
            groups.push(group);
        }
        let what = "every upstream in every view";
        let known = |it: &View| knows_all(it, &services);
        fleet.until(what, READY_MS, known).await?;
        Ok(Site {
            groups,
            entries: (0..ENTRIES).map(|it| fleet.config(it).caller).collect(),
            fleet,
        })
    }

    /// The platform, to break it.
    pub fn platform(&self) -> &Faulty {
        self.fleet.platform()
    }

    /// Attempts beyond each request's first, at all entries.
    pub fn retries(&self) -> u64 {
        let nodes = (0..self.fleet.len()).filter_map(|it| self.fleet.node(it));
        nodes.map(laburnum_node::Node::retries).sum()
    }

    /// Ends everything; what is in progress is cut.
    pub async fn close(self) {
        self.groups.into_iter().flatten().for_each(Upstream::close);
        self.fleet.close().await;
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

fn knows_all(view: &View, services: &[Service]) -> bool {
    services.iter().all(|service| {
        let found = view.services.get(&name(service.name));
        let ready = found.map_or(0, |it| {
            let ready = it.endpoints.iter().filter(|it| it.phase == Phase::Ready);
            ready.count()
        });
        ready == service.endpoints
    })
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
