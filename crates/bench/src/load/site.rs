//! The nodes and upstreams of a case, on loopback sockets of this process.

use std::net::SocketAddr;

use laburnum_kernel::{Name, Revision, SubmitId, View, members::Phase};
use laburnum_standin::{Faults, FaultyPlatform, Ledger, Upstream, UpstreamSettings};

use super::{
    case::ServiceTime,
    preset::{Preset, Service},
};
use crate::fleet::{Change, Fleet, FleetError, Layout};

/// Upstreams of one service.
pub type Group = Vec<Upstream>;

/// The upstreams of the baseline, without nodes.
pub struct BaselineSite {
    /// Upstreams by service of the preset.
    pub groups: Vec<Group>,
}

/// Upstreams with a node beside each, and entry nodes.
pub struct Site {
    /// Upstreams by service of the preset.
    pub groups: Vec<Group>,
    /// Caller addresses of the entry nodes.
    pub entries: Vec<SocketAddr>,
    fleet: Fleet,
}

/// Number of entry nodes, which have no upstream.
const ENTRY_NODES: usize = 2;
/// Maximum wait until every node knows every upstream, in ms.
const READY_MS: u64 = 30_000;
/// Delay of the platform's answers, in ms.
const PLATFORM_MS: u64 = 5;
/// Queue length of the baseline's upstreams: long enough that deadlines expire in the queue, and short enough
/// for the process's limit of open files.
const BASELINE_QUEUE: u16 = 400;
/// Slots of an upstream without service time.
const INSTANT_SLOTS: u16 = 64;

impl BaselineSite {
    /// Starts the upstreams.
    pub async fn start(
        preset: Preset,
        service_time: ServiceTime,
        seed: u64,
    ) -> Result<BaselineSite, FleetError> {
        let mut groups = Vec::new();
        for service in preset.services() {
            let mut group = Group::new();
            for idx in 0..service.endpoints {
                let settings =
                    upstream_settings(preset, service_time, service.name, seed + idx as u64);
                let settings = UpstreamSettings {
                    queue: BASELINE_QUEUE,
                    ..settings
                };
                let upstream = Upstream::start(settings).await;
                group.push(upstream.map_err(|source| FleetError::Upstream { node: idx, source })?);
            }
            groups.push(group);
        }
        Ok(BaselineSite { groups })
    }

    /// Stops every upstream.
    pub fn close(self) {
        self.groups.into_iter().flatten().for_each(Upstream::close);
    }
}

impl Site {
    /// Starts the nodes and upstreams and waits until every node knows every upstream.
    pub async fn start(
        preset: Preset,
        service_time: ServiceTime,
        seed: u64,
    ) -> Result<Site, FleetError> {
        let services = preset.services();
        let endpoints: usize = services.iter().map(|it| it.endpoints).sum();
        let layout = Layout {
            nodes: ENTRY_NODES + endpoints,
            zones: 1,
            faults: Faults {
                slow: PLATFORM_MS,
                ..Faults::default()
            },
            ..Layout::default()
        };
        let fleet = Fleet::start(&layout).await?;
        fleet
            .wait_until("readiness", READY_MS, |it| it.ready)
            .await?;
        for (idx, service) in services.iter().enumerate() {
            let change = Change {
                id: SubmitId(idx as u128 + 1),
                service: name(service.name),
                base: Revision(0),
                text: preset.document(service),
            };
            fleet.submit_accepted(0, change).await?;
        }
        let mut groups = Vec::new();
        let mut node = ENTRY_NODES;
        for service in services {
            let mut group = Group::new();
            for idx in 0..service.endpoints {
                let settings =
                    upstream_settings(preset, service_time, service.name, seed + idx as u64);
                group.push(fleet.start_upstream(node, settings).await?);
                node += 1;
            }
            groups.push(group);
        }
        let what = "every upstream in every view";
        let is_known = |it: &View| has_all_endpoints(it, &services);
        fleet.wait_until(what, READY_MS, is_known).await?;
        Ok(Site {
            groups,
            entries: (0..ENTRY_NODES).map(|it| fleet.config(it).caller).collect(),
            fleet,
        })
    }

    /// Returns the platform, for fault injection.
    pub fn platform(&self) -> &FaultyPlatform {
        self.fleet.platform()
    }

    /// Returns the number of retries made by all nodes.
    pub fn retries(&self) -> u64 {
        let nodes = (0..self.fleet.len()).filter_map(|it| self.fleet.node(it));
        nodes.map(laburnum_node::Node::retries).sum()
    }

    /// Stops everything without a drain; in-flight requests are aborted.
    pub async fn close(self) {
        self.groups.into_iter().flatten().for_each(Upstream::close);
        self.fleet.close().await;
    }
}

/// Returns the merged ledger of all upstreams.
pub fn ledger(groups: &[Group]) -> Ledger {
    let mut sum = Ledger::default();
    groups
        .iter()
        .flatten()
        .for_each(|it| sum.merge(it.ledger()));
    sum
}

/// Returns whether the view holds every upstream as ready.
fn has_all_endpoints(view: &View, services: &[Service]) -> bool {
    services.iter().all(|service| {
        let found = view.services.get(&name(service.name));
        let ready = found.map_or(0, |it| {
            let ready = it.endpoints.iter().filter(|it| it.phase == Phase::Ready);
            ready.count()
        });
        ready == service.endpoints
    })
}

fn upstream_settings(
    preset: Preset,
    service_time: ServiceTime,
    service: &str,
    seed: u64,
) -> UpstreamSettings {
    let mean = preset.mean_service_ms();
    let settings = UpstreamSettings {
        service: name(service),
        seed,
        ..UpstreamSettings::default()
    };
    match service_time {
        // Uniform between 3/4 and 5/4 of the mean.
        ServiceTime::Preset => UpstreamSettings {
            slots: preset.slots(),
            run: mean * 3 / 4,
            spread: mean / 2,
            ..settings
        },
        ServiceTime::Instant => UpstreamSettings {
            slots: INSTANT_SLOTS,
            ..settings
        },
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("the preset's names are valid")
}
