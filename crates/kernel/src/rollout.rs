//! Roll-outs: move the requests of a service from the endpoints of one build to those of another.
//!
//! The node beside an endpoint decides on its [`Exposure`] and publishes it with the offer, so entries need no knowledge
//! of roll-outs and a host that learns of an endpoint before the order does not treat it as an ordinary one. The order
//! and its stage spread between nodes that exchange configuration versions. A change of stage is one conditional write
//! of the service's row, made by the first node of a common order; only a fault takes effect before it is written.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    event::{self, Event, Notice, UpstreamEvent},
    id::{Build, Name, NodeId},
    import,
    kernel::{Context, Plugin, Scope, State},
    members::{self, Evidence, Exposure, Offer, Phase, Update},
    platform::Era,
    settings::Origin,
    utils::rendezvous,
};

mod judge;
mod stage;
mod writer;

use self::stage::{
    Arrival, Census, SETTLE_MS, Selected, next_stage, other_exposure, target_exposure,
};
pub use self::{
    judge::{Answer, Ending, Judge},
    stage::Stage,
    writer::{ROW_PREFIX, row_key},
};

inventory::submit! { Plugin { name: "rollout", order: 40, scope: Scope::Imported, handle } }

/// Share of the requests that all canaries of a service get together, in percent.
pub const CANARY_PERCENT: u32 = 7;
/// Time after which a node that has sent nothing is no longer notified of changes, in ms.
const PEER_EXPIRY_MS: u64 = 3_000;
/// Time for which the view was compared before this node decides for the fleet, in ms: until then it may know a part of
/// the service's endpoints only, and a build would seem to be in service, absent, idle or faulty everywhere.
const VIEW_SETTLE_MS: u64 = 1_500;
/// Interval at which the state is sent again to a peer that has it already, in ms.
const RESEND_MS: u64 = 10_000;

/// An operator's order to move a service to a build.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order; a later one is greater.
    pub id: OrderId,
    /// The service.
    pub service: Name,
    /// The build to move to.
    pub target: Build,
    /// Time for the roll-out, in ms.
    pub within: u64,
}

impl Order {
    /// Returns whether this is `other` under another id, which a restored source gives it.
    fn repeats(&self, other: &Order) -> bool {
        let same_text = self.target == other.target && self.within == other.within;
        same_text && self.id.era != other.id.era
    }
}

/// Position of an order in the source's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId {
    /// Era of the source.
    pub era: Option<Era>,
    /// Version of the order's row.
    pub version: u64,
}

/// An order and how far it was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// Its stage.
    pub stage: Stage,
    /// Whether the target's answers show a fault; its endpoints then take no requests.
    pub is_faulty: bool,
}

/// Message between nodes: the roll-outs that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message(pub Vec<Report>);

/// A roll-out as a node reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The roll-out.
    pub rollout: Rollout,
    /// Time since the order, in ms.
    pub age: u64,
}

/// The roll-outs that this node knows.
#[derive(Debug, Default)]
pub struct Rollouts {
    known: BTreeMap<Name, Known>,
    /// Number of changes of the known roll-outs.
    revision: u64,
    /// Nodes that exchange configuration versions with this one.
    peers: BTreeMap<NodeId, Peer>,
}

/// A roll-out with the times of this process.
#[derive(Debug)]
struct Known {
    rollout: Rollout,
    ordered: Ms,
    entered: Ms,
    /// Number of the target's endpoints that this node knows, and since when.
    targets: (usize, Ms),
    writer: writer::Writer,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    heard: Ms,
    /// Revision of the state that it has, and since when.
    sent: Option<(u64, Ms)>,
}

impl Rollouts {
    /// Returns the newest roll-out of `service`.
    pub fn get(&self, service: &Name) -> Option<&Rollout> {
        self.known.get(service).map(|it| &it.rollout)
    }

    /// Returns whether `offer` is of a build that is being rolled out.
    pub fn is_on_trial(&self, offer: &Offer) -> bool {
        self.get(&offer.service)
            .is_some_and(|it| it.order.target == offer.build && !it.stage.is_final())
    }

    /// Returns which requests the upstream of `offer` takes, by the stage that this node knows. That of its own node may
    /// arrive later than the stage.
    pub fn exposure(&self, offer: &Offer) -> Exposure {
        let published = offer.exposure;
        match self.get(&offer.service) {
            None => published,
            Some(it) if it.order.target == offer.build => {
                let selected = match published {
                    Exposure::Canary => Selected::Yes,
                    _ => Selected::No,
                };
                target_exposure(it, published, offer.evidence, selected)
            }
            // Its node does not know the fleet yet.
            Some(_) if published == Exposure::Held => Exposure::Held,
            Some(it) => other_exposure(it, published),
        }
    }

    fn rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.known.values().map(|it| &it.rollout)
    }

    fn message(&self, now: Ms) -> event::Message {
        let reports = self.known.values().map(|it| Report {
            rollout: it.rollout.clone(),
            age: now.since(it.ordered),
        });
        event::Message::Rollout(Message(reports.collect()))
    }
}

/// Returns the exposure of an upstream that announces itself now.
pub fn first_exposure(cx: &Context<'_>, state: &State, service: &Name, build: &Build) -> Exposure {
    if cx.settings.origin == Origin::Submitted {
        return Exposure::Full;
    }
    wanted_exposure(cx, state, service, build, Exposure::Held, Evidence::Unknown)
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Ordered(order) => {
            let rollout = Rollout {
                order: order.clone(),
                stage: Stage::Canary,
                is_faulty: false,
            };
            merge(cx, state, rollout, 0);
        }
        Event::Message {
            from,
            message: event::Message::Rollout(Message(reports)),
        } => {
            for it in reports {
                merge(cx, state, it.rollout.clone(), it.age);
            }
            let reported = reports.iter().map(|it| &it.rollout);
            if state.rollouts.rollouts().eq(reported) {
                note_sent(cx, state, *from);
            }
        }
        Event::Message {
            from,
            message: event::Message::Import(message),
        } => notify(cx, state, *from, message),
        Event::Table { call, answer } => writer::handle_answer(cx, state, *call, answer),
        Event::Upstream(UpstreamEvent::Judged(evidence)) => judged(cx, state, *evidence),
        Event::Upstream(UpstreamEvent::Retired) => retired(cx, state),
        Event::Notice(Notice::Restored) => {
            let known = state.rollouts.known.values_mut();
            known.for_each(|it| it.writer.forget_row());
        }
        Event::Notice(Notice::Members | Notice::Ready) => update_exposure(cx, state),
        Event::Tick => tick(cx, state),
        _ => {}
    }
}

fn tick(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    let peers = &mut state.rollouts.peers;
    peers.retain(|_, it| now.since(it.heard) < PEER_EXPIRY_MS);
    let services: Vec<Name> = state.rollouts.known.keys().cloned().collect();
    for service in services {
        detect_fault(cx, state, &service);
        writer::step(cx, state, &service);
    }
}

/// Takes over what is newer in `rollout`, which was ordered `age` ms ago.
fn merge(cx: &mut Context<'_>, state: &mut State, rollout: Rollout, age: u64) {
    let ordered = cx.now - age;
    let service = rollout.order.service.clone();
    let Some(known) = state.rollouts.known.get_mut(&service) else {
        return insert(cx, state, rollout, ordered);
    };
    let own = &known.rollout.order;
    if rollout.order.id < own.id {
        return;
    }
    if rollout.order.id > own.id && !rollout.order.repeats(own) {
        return insert(cx, state, rollout, ordered);
    }
    let before = known.rollout.clone();
    known.ordered = known.ordered.min(ordered);
    known.rollout.order.id = rollout.order.id;
    known.rollout.is_faulty |= rollout.is_faulty;
    // Both ends are final: the first one that this node knows stays.
    if !before.stage.is_final() && rollout.stage > before.stage {
        known.rollout.stage = rollout.stage;
        known.entered = cx.now;
    }
    if known.rollout != before {
        changed(cx, state, &service);
    }
}

fn insert(cx: &mut Context<'_>, state: &mut State, rollout: Rollout, ordered: Ms) {
    let service = rollout.order.service.clone();
    let known = Known {
        rollout,
        ordered,
        entered: cx.now,
        targets: (0, cx.now),
        writer: writer::Writer::default(),
    };
    state.rollouts.known.insert(service.clone(), known);
    changed(cx, state, &service);
}

/// Logs a changed roll-out, applies it to the own upstream and notifies the peers.
fn changed(cx: &mut Context<'_>, state: &mut State, service: &Name) {
    state.rollouts.revision += 1;
    let Some(known) = state.rollouts.known.get(service) else {
        return;
    };
    let rollout = &known.rollout;
    let census = Census::of(rollout, state.members.alive_with_reach());
    let pairs = vec![
        ("service", service.to_string()),
        ("target", rollout.order.target.to_string()),
        ("stage", rollout.stage.as_str().to_owned()),
        ("faulty", rollout.is_faulty.to_string()),
        ("elapsed_ms", cx.now.since(known.ordered).to_string()),
        ("within_ms", rollout.order.within.to_string()),
        ("new", census.new.to_string()),
        ("sound", census.sound.to_string()),
        ("bad", census.faulty.to_string()),
        ("old", census.old.to_string()),
        ("busy", census.busy.to_string()),
    ];
    cx.log("rollout-stage", pairs);
    update_exposure(cx, state);
    // The traffic threads judge the upstream only while it is on trial.
    cx.raise(Notice::Own);
    let message = state.rollouts.message(cx.now);
    let sent = Some((state.rollouts.revision, cx.now));
    for (to, peer) in &mut state.rollouts.peers {
        cx.send(*to, message.clone());
        peer.sent = sent;
    }
}

/// Sends the state to a peer that has asked for versions or answered, unless it has it.
fn notify(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &import::Message) {
    let now = cx.now;
    let peer = state.rollouts.peers.entry(from).or_insert(Peer {
        heard: now,
        sent: None,
    });
    peer.heard = now;
    // A new process knows nothing yet.
    if let import::Message::Ask { version: 0, .. } = message {
        peer.sent = None;
    }
    let sent = peer.sent;
    if state.rollouts.known.is_empty() {
        return;
    }
    let revision = state.rollouts.revision;
    let has_it = sent.is_some_and(|(it, at)| it == revision && now.since(at) < RESEND_MS);
    if !has_it {
        let message = state.rollouts.message(now);
        cx.send(from, message);
        note_sent(cx, state, from);
    }
}

/// Records that `peer` has the present state.
fn note_sent(cx: &Context<'_>, state: &mut State, peer: NodeId) {
    let revision = state.rollouts.revision;
    if let Some(it) = state.rollouts.peers.get_mut(&peer) {
        it.sent = Some((revision, cx.now));
    }
}

/// Returns whether this node knows enough of the fleet to decide on a roll-out by the members that it knows.
fn may_decide(cx: &Context<'_>, state: &State) -> bool {
    let discovery = state.members.discovery();
    state.import.ready()
        && state.members.is_fresh()
        && discovery.has_settled(cx.now, VIEW_SETTLE_MS)
}

/// Marks a roll-out as faulty once enough endpoints of the target are.
fn detect_fault(cx: &mut Context<'_>, state: &mut State, service: &Name) {
    if !may_decide(cx, state) {
        return;
    }
    let Some(known) = state.rollouts.known.get_mut(service) else {
        return;
    };
    if known.rollout.stage.is_final() || known.rollout.is_faulty {
        return;
    }
    let census = Census::of(&known.rollout, state.members.alive_with_reach());
    if census.new != known.targets.0 {
        known.targets = (census.new, cx.now);
    }
    let arrival = match cx.now.since(known.targets.1) < SETTLE_MS {
        true => Arrival::Going,
        false => Arrival::Over,
    };
    if census.shows_fault(arrival) {
        known.rollout.is_faulty = true;
        changed(cx, state, service);
    }
}

/// Publishes what the answers of the own upstream show.
fn judged(cx: &mut Context<'_>, state: &mut State, evidence: Evidence) {
    let Some(offer) = state.members.own().offer.clone() else {
        return;
    };
    if offer.evidence == evidence || !state.rollouts.is_on_trial(&offer) {
        return;
    }
    let pairs = vec![
        ("service", offer.service.to_string()),
        ("build", offer.build.to_string()),
        ("shows", format!("{evidence:?}").to_lowercase()),
    ];
    cx.log("rollout-evidence", pairs);
    members::set_evidence(cx, state, evidence);
    update_exposure(cx, state);
    send_record_to_writers(cx, state, &offer.service);
}

/// Sends the own record to the nodes that write the stages, which wait for it.
fn send_record_to_writers(cx: &mut Context<'_>, state: &State, service: &Name) {
    for to in writer::writers(state, service) {
        if to != cx.settings.node {
            let updates = vec![Update::Record(state.members.own().clone())];
            let message = members::Message::Records { updates };
            cx.send(to, event::Message::Members(message));
        }
    }
}

/// The own upstream takes no requests any more and has answered all.
fn retired(cx: &mut Context<'_>, state: &mut State) {
    let Some(offer) = state.members.own().offer.clone() else {
        return;
    };
    if offer.exposure == Exposure::Retiring {
        members::set_exposure(cx, state, Exposure::Retired);
        send_record_to_writers(cx, state, &offer.service);
    }
}

fn update_exposure(cx: &mut Context<'_>, state: &mut State) {
    let Some(offer) = state.members.own().offer.as_ref() else {
        return;
    };
    let (before, evidence) = (offer.exposure, offer.evidence);
    let wanted = wanted_exposure(cx, state, &offer.service, &offer.build, before, evidence);
    if wanted != before {
        members::set_exposure(cx, state, wanted);
    }
}

fn wanted_exposure(
    cx: &Context<'_>,
    state: &State,
    service: &Name,
    build: &Build,
    before: Exposure,
    evidence: Evidence,
) -> Exposure {
    // Without a view of the fleet this node can't tell which build is in service.
    if !state.import.ready() {
        return before;
    }
    match state.rollouts.get(service) {
        Some(it) if it.order.target != *build => other_exposure(it, before),
        Some(it) => {
            let selected = match it.stage {
                Stage::Canary => select(cx, state, it),
                _ => Selected::No,
            };
            target_exposure(it, before, evidence, selected)
        }
        None if before == Exposure::Full => Exposure::Full,
        None => unordered_exposure(cx, state, service, build),
    }
}

/// Returns the exposure while no order for the service is known: an endpoint of another build than the one in service
/// waits for its order.
fn unordered_exposure(cx: &Context<'_>, state: &State, service: &Name, build: &Build) -> Exposure {
    if !state.members.discovery().has_ended() {
        return Exposure::Held;
    }
    let others = state.members.alive().filter(|it| it.id != cx.settings.node);
    let offers = others.filter_map(|it| it.offer.as_ref());
    let serving: Vec<&Build> = offers
        .filter(|it| it.service == *service && it.exposure == Exposure::Full)
        .map(|it| &it.build)
        .collect();
    match serving.is_empty() || serving.contains(&build) {
        true => Exposure::Full,
        false => Exposure::Held,
    }
}

/// Returns whether the own upstream is one of the canaries: the first sound ones in a common order.
fn select(cx: &Context<'_>, state: &State, rollout: &Rollout) -> Selected {
    if !state.members.discovery().has_ended() {
        return Selected::No;
    }
    let order = &rollout.order;
    let records = state.members.alive();
    let candidates = records.filter(|it| {
        let matches = |it: &Offer| {
            it.service == order.service
                && it.build == order.target
                && it.evidence != Evidence::Faulty
        };
        it.phase == Phase::Ready && it.offer.as_ref().is_some_and(matches)
    });
    let ranked = rendezvous("rollout/canaries", candidates.map(|it| it.id));
    let census = Census::of(rollout, state.members.alive_with_reach());
    let mut canaries = ranked.iter().take(census.canaries());
    match canaries.any(|it| *it == cx.settings.node) {
        true => Selected::Yes,
        false => Selected::No,
    }
}
