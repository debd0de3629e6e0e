//! Relays of a zone and the trees below them, along which pushes and reports are sent.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{Name, NodeId, Seq},
    kernel::State,
    settings::Settings,
    utils::rendezvous,
};

/// Number of trees below one root, which its pushes use in turn.
///
/// This shares the load of inner nodes, and a dead inner node cuts off different nodes each time.
const TURNS: u64 = 4;

/// Relays and trees of the current view, computed on first use.
#[derive(Debug, Default)]
pub struct Trees {
    relays: BTreeMap<Name, Vec<NodeId>>,
    status: Option<NodeId>,
    ranked: BTreeMap<(NodeId, u64), Vec<NodeId>>,
}

/// Most trees kept. A zone has few relays, so more roots come only from differing views.
const TREES_MAX: usize = 32;

impl Trees {
    /// Drops the relays and trees of an older view.
    pub fn clear(&mut self) {
        *self = Trees::default();
    }
}

/// Returns the zones that have ready members.
pub fn zones(state: &State) -> BTreeSet<Name> {
    state.members.ready().map(|it| it.zone.clone()).collect()
}

/// Returns the relays of a zone, at most `settings.spread.relays`.
///
/// Computed per zone, because the view changes often and most nodes only need their own zone.
pub fn relays<'a>(state: &'a mut State, settings: &Settings, zone: &Name) -> &'a [NodeId] {
    let State {
        members, spread, ..
    } = state;
    let relays = &mut spread.trees.relays;
    if !relays.contains_key(zone) {
        let near = members.ready_in(zone).map(|it| it.id);
        let mut nodes = rendezvous(&format!("relay/{zone}"), near);
        nodes.truncate(settings.spread.relays.max(1));
        nodes.shrink_to_fit();
        relays.insert(zone.clone(), nodes);
    }
    relays.get(zone).map_or(&[], Vec::as_slice)
}

/// Returns whether this node is a relay of its zone.
pub fn is_relay(state: &mut State, settings: &Settings) -> bool {
    relays(state, settings, &settings.zone).contains(&settings.node)
}

/// Returns the nodes that this one pushes to, in the tree below `root` that a push up to `seq` uses.
pub fn children(state: &mut State, settings: &Settings, root: NodeId, seq: Seq) -> Vec<NodeId> {
    let degree = settings.spread.degree.max(1);
    let ranked = ranked(state, settings, root, seq.0 % TURNS);
    let Some(idx) = ranked.iter().position(|it| *it == settings.node) else {
        return Vec::new();
    };
    let below = ranked.iter().skip(idx * degree + 1).take(degree);
    below.copied().collect()
}

/// Returns the nodes that report to this one within its zone.
pub fn report_children(state: &mut State, settings: &Settings) -> Vec<NodeId> {
    match relays(state, settings, &settings.zone).first().copied() {
        Some(root) => children(state, settings, root, Seq(0)),
        None => Vec::new(),
    }
}

/// Returns the node that this one reports to: its parent below the zone's first relay, or the status node
/// if this node is that relay.
pub fn report_parent(state: &mut State, settings: &Settings) -> Option<NodeId> {
    let degree = settings.spread.degree.max(1);
    let root = relays(state, settings, &settings.zone).first().copied()?;
    let ranked = ranked(state, settings, root, 0);
    match ranked.iter().position(|it| *it == settings.node)? {
        0 => status_node(state),
        idx => ranked.get((idx - 1) / degree).copied(),
    }
}

/// Returns the node that gathers the reports of every zone.
pub fn status_node(state: &mut State) -> Option<NodeId> {
    if state.spread.trees.status.is_none() {
        let ready = state.members.ready().map(|it| it.id);
        state.spread.trees.status = rendezvous("status", ready).first().copied();
    }
    state.spread.trees.status
}

/// Returns the nodes of a tree in the order of their places: the root, then the other members of this
/// node's zone.
fn ranked<'a>(
    state: &'a mut State,
    settings: &Settings,
    root: NodeId,
    turn: u64,
) -> &'a Vec<NodeId> {
    let State {
        members, spread, ..
    } = state;
    let trees = &mut spread.trees.ranked;
    if trees.len() >= TREES_MAX && !trees.contains_key(&(root, turn)) {
        trees.clear();
    }
    trees.entry((root, turn)).or_insert_with(|| {
        let zone = members.alive().filter(|it| it.zone == settings.zone);
        let others = zone.map(|it| it.id).filter(|it| *it != root);
        let mut ranked = vec![root];
        ranked.extend(rendezvous(&format!("tree/{root}/{turn}"), others));
        ranked
    })
}
