//! The immutable view of configuration and members that traffic threads read.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    clock::Ms,
    document::Document,
    event::{Action, Event, Notice, TICK_MS},
    guard::Quarantined,
    id::{Build, Name, NodeId, Revision, Seq},
    import::Turn,
    kernel::{Context, Plugin, Scope, State},
    members::{Discovery, Exposure, Phase, Reach, Record},
    platform::Era,
    routing::Table,
    settings::Origin,
};

inventory::submit! { Plugin { name: "view", order: 90, scope: Scope::Any, handle } }

/// Configuration and members at one moment. A route in it never names a service that it lacks.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Position in the configuration log that the services correspond to.
    pub seq: Seq,
    /// Whether this process has caught up since its start and may serve.
    pub ready: bool,
    /// Whether this process has found the fleet.
    pub discovery: Discovery,
    /// All services by name.
    pub services: BTreeMap<Name, ServiceView>,
    /// The upstream beside this node, if it has announced itself.
    pub own: Option<OwnView>,
    /// Whether this node has to watch the external source now.
    pub turn: Turn,
    /// The newest era of the platform's store known to this node.
    pub era: Option<Era>,
    /// Routes imported from an external source; empty where documents are submitted.
    pub table: Arc<Table>,
    /// Fingerprints of requests that crash their upstream: refused, or run one at a time.
    pub quarantined: Arc<Quarantined>,
}

/// A service in a view.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Revision in force.
    pub revision: Revision,
    /// Its document.
    pub document: Arc<Document>,
    /// The document's text, as submitted.
    pub text: Arc<str>,
    /// Nodes beside the upstreams that serve it.
    pub endpoints: Vec<Endpoint>,
}

/// A node beside an upstream, to which requests are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// Incarnation of the node; a restarted node is a new endpoint.
    pub incarnation: u64,
    /// Address to send requests to.
    pub traffic: SocketAddr,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Phase of the upstream.
    pub phase: Phase,
    /// Whether the node can be reached; reachable nodes are preferred.
    pub reach: Reach,
    /// Number of requests that the upstream handles at once.
    pub slots: u16,
    /// Version of the upstream's software.
    pub build: Build,
    /// Which requests it takes.
    pub exposure: Exposure,
}

/// The upstream beside this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnView {
    /// Its service.
    pub service: Name,
    /// Its phase.
    pub phase: Phase,
    /// Its slots.
    pub slots: u16,
    /// Version of its software.
    pub build: Build,
    /// Which requests it takes.
    pub exposure: Exposure,
    /// Whether its build is being rolled out, so that its answers are judged.
    pub on_trial: bool,
}

/// Publishes a new view when something in it changed, at most one in [`TICK_MS`], since a build
/// visits every member.
///
/// Rare changes are published at once: the node's own, so that a draining node refuses requests;
/// quarantines, whose request is about to be sent again; imported versions; and versions that this
/// node committed, which the submitter may read back.
#[derive(Debug, Default)]
pub struct Publisher {
    stale: bool,
    published: Ms,
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Notice(Notice::Applied { .. } | Notice::Ready | Notice::Members) => {
            state.publisher.stale = true
        }
        Event::Start
        | Event::Notice(
            Notice::Accepted { .. } | Notice::Imported | Notice::Own | Notice::Quarantine,
        ) => {
            return publish(cx, state);
        }
        Event::Tick => {}
        _ => return,
    }
    if state.publisher.stale && cx.now.since(state.publisher.published) >= TICK_MS {
        publish(cx, state);
    }
}

fn publish(cx: &mut Context<'_>, state: &mut State) {
    state.publisher.stale = false;
    state.publisher.published = cx.now;
    let view = Arc::new(build(state, cx.settings.origin));
    cx.act(Action::Publish(view));
}

/// Builds the view of `state`.
pub fn build(state: &State, origin: Origin) -> View {
    let mut endpoints: BTreeMap<Name, Vec<Endpoint>> = BTreeMap::new();
    for (record, reach) in state.members.alive_with_reach() {
        if let Some((service, endpoint)) = endpoint(state, record, reach) {
            endpoints.entry(service).or_default().push(endpoint);
        }
    }
    let mut services: BTreeMap<Name, ServiceView> = match origin {
        Origin::Submitted => submitted_services(state),
        Origin::Imported => imported_services(state),
    };
    for (name, it) in &mut services {
        it.endpoints = endpoints.remove(name).unwrap_or_default();
    }
    let own = state.members.own();
    View {
        seq: state.log.seq(),
        ready: match origin {
            Origin::Submitted => state.spread.ready(),
            Origin::Imported => state.import.ready(),
        },
        discovery: state.members.discovery(),
        services,
        own: own.offer.as_ref().map(|it| OwnView {
            service: it.service.clone(),
            phase: effective_phase(own.phase, it.exposure),
            slots: it.slots,
            build: it.build.clone(),
            exposure: it.exposure,
            on_trial: state.rollouts.is_on_trial(it),
        }),
        turn: state.import.turn(),
        era: state.restore.era(),
        table: state.import.table().clone(),
        quarantined: state.guard.quarantined(),
    }
}

fn submitted_services(state: &State) -> BTreeMap<Name, ServiceView> {
    let services = state.log.services().iter().map(|(name, it)| {
        let view = ServiceView {
            revision: it.revision,
            document: it.document.clone(),
            text: it.text.clone(),
            endpoints: Vec::new(),
        };
        (name.clone(), view)
    });
    services.collect()
}

fn imported_services(state: &State) -> BTreeMap<Name, ServiceView> {
    let table = state.import.table();
    let services = table.documents().iter().map(|document| {
        let view = ServiceView {
            revision: Revision(table.version()),
            text: Arc::from(""),
            endpoints: Vec::new(),
            document: document.clone(),
        };
        (document.service.clone(), view)
    });
    services.collect()
}

/// Returns the phase that requests meet: an upstream that takes none for its build counts as not ready.
fn effective_phase(phase: Phase, exposure: Exposure) -> Phase {
    match phase {
        Phase::Ready if !exposure.takes_requests() => Phase::Warming,
        it => it,
    }
}

fn endpoint(state: &State, record: &Record, reach: Reach) -> Option<(Name, Endpoint)> {
    let offer = record.offer.as_ref()?;
    let exposure = state.rollouts.exposure(offer);
    let endpoint = Endpoint {
        node: record.id,
        incarnation: record.incarnation,
        traffic: record.traffic,
        region: record.region.clone(),
        zone: record.zone.clone(),
        phase: effective_phase(record.phase, exposure),
        reach,
        slots: offer.slots,
        build: offer.build.clone(),
        exposure,
    };
    Some((offer.service.clone(), endpoint))
}
