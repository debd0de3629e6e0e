//! Status of the fleet: the position of every node, aggregated up the trees and queried by operators.
//!
//! A node reports to its parent in one tree of its zone, and the root of each zone to one status node.
//! Reports have a bounded size: they count nodes and name only those with the lowest positions.

use std::collections::BTreeMap;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Kind, Message, send, tree};
use crate::{
    clock::Ms,
    event,
    id::{Name, NodeId, Revision, Seq, Token},
    kernel::{Context, State},
    utils::take_due,
};

/// Mean time between two reports while something changes, in ms.
pub const REPORT_MS: u64 = 1_000;

/// Mean time between two reports while nothing changes, in ms.
const IDLE_REPORT_MS: u64 = 10_000;

/// Age in ms from which a report is stale and no longer counted.
const STALE_MS: u64 = 3 * IDLE_REPORT_MS;

/// Timeout of a query to the status node, in ms.
const QUERY_TIMEOUT_MS: u64 = 1_000;

/// Most nodes and versions named in a report.
const NAMED_MAX: usize = 8;

/// Most reports kept, and most queries in flight.
const KEPT_MAX: usize = 256;

/// Answer to a status query: which nodes hold the highest known position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Last batch applied by the queried node.
    pub seq: Seq,
    /// Highest position known to the queried node.
    pub heard: Seq,
    /// Number of nodes alive in the view of the queried node.
    pub nodes: usize,
    /// Number of nodes that reported their position.
    pub reported: usize,
    /// The nodes that lag most, with their positions.
    pub behind: Vec<(NodeId, Seq)>,
    /// Some of the accepted versions that a node had to refuse.
    pub bad: Vec<BadVersion>,
    /// Whether every node alive reported that it holds the highest known position and has it in force.
    pub everywhere: bool,
}

/// An accepted version that a node had to refuse.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BadVersion {
    /// The service.
    pub service: Name,
    /// The refused revision.
    pub revision: Revision,
    /// A node that refused it.
    pub node: NodeId,
}

/// Aggregated report of a node and those that report to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    nodes: u32,
    lowest: Vec<(Seq, NodeId)>,
    bad: Vec<BadVersion>,
}

impl Summary {
    fn merge(&mut self, other: &Summary) {
        self.nodes = self.nodes.saturating_add(other.nodes);
        self.lowest.extend(&other.lowest);
        self.lowest.sort_unstable();
        self.lowest.truncate(NAMED_MAX);
        self.bad.extend(other.bad.iter().cloned());
        self.bad.sort_unstable();
        self.bad.truncate(NAMED_MAX);
    }
}

/// Reports received and queries in flight.
#[derive(Debug, Default)]
pub struct Reports {
    received: BTreeMap<NodeId, (Ms, Summary)>,
    /// Last report sent, and its receiver.
    sent: Option<(NodeId, Summary)>,
    due: Ms,
    /// Time from which an unchanged report is sent again.
    repeat: Ms,
    number: u64,
    queries: BTreeMap<u64, (Ms, Token)>,
}

/// Answers queries that timed out from the own reports, and sends a report if one is due.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    let queries = &mut state.spread.reports.queries;
    for (_, (_, token)) in take_due(queries, |_, it| now.since(it.0) > QUERY_TIMEOUT_MS) {
        let own = subtree(cx, state);
        reply(cx, state, token, &own);
    }
    if now >= state.spread.reports.due {
        send_report(cx, state);
    }
}

/// Handles a status query of an operator: forwards it to the status node, or answers it on that node.
pub fn query(cx: &mut Context<'_>, state: &mut State, token: Token) {
    let status = tree::status_node(state);
    match status.filter(|it| *it != cx.settings.node) {
        Some(to) if state.spread.reports.queries.len() < KEPT_MAX => {
            let reports = &mut state.spread.reports;
            reports.number += 1;
            let number = reports.number;
            reports.queries.insert(number, (cx.now, token));
            send(cx, state, Kind::Report, to, Message::Ask { number });
        }
        _ => {
            let summary = all_zones(cx, state);
            reply(cx, state, token, &summary);
        }
    }
}

/// Answers a query of another node, in whose view this one is the status node.
pub fn handle_ask(cx: &mut Context<'_>, state: &mut State, from: NodeId, number: u64) {
    let summary = all_zones(cx, state);
    let message = Message::Told { number, summary };
    send(cx, state, Kind::Report, from, message);
}

/// Replies to the operator with the answer of the status node.
pub fn handle_told(cx: &mut Context<'_>, state: &mut State, number: u64, summary: &Summary) {
    if let Some((_, token)) = state.spread.reports.queries.remove(&number) {
        reply(cx, state, token, summary);
    }
}

/// Stores the report of a child of this node, or of the root of a zone.
pub fn handle_report(cx: &mut Context<'_>, state: &mut State, from: NodeId, summary: &Summary) {
    let received = &mut state.spread.reports.received;
    if received.len() < KEPT_MAX || received.contains_key(&from) {
        received.insert(from, (cx.now, summary.clone()));
    }
}

fn reply(cx: &mut Context<'_>, state: &mut State, token: Token, summary: &Summary) {
    let nodes = state.members.alive().count();
    let heard = state.spread.heard();
    let reported = summary.nodes as usize;
    let lagging = summary.lowest.iter().filter(|(seq, _)| *seq < heard);
    let behind: Vec<(NodeId, Seq)> = lagging.map(|(seq, node)| (*node, *seq)).collect();
    let status = Status {
        seq: state.spread.history.seq(),
        heard,
        nodes,
        reported,
        everywhere: reported >= nodes && behind.is_empty() && summary.bad.is_empty(),
        behind,
        bad: summary.bad.clone(),
    };
    cx.reply(token, event::Reply::Status(status));
}

fn send_report(cx: &mut Context<'_>, state: &mut State) {
    let jitter = cx.rng.random_range(REPORT_MS / 2..=REPORT_MS * 3 / 2);
    state.spread.reports.due = cx.now + jitter;
    let now = cx.now;
    let received = &mut state.spread.reports.received;
    received.retain(|_, it| now.since(it.0) <= STALE_MS);
    let parent = tree::report_parent(state, cx.settings);
    let Some(to) = parent.filter(|it| *it != cx.settings.node) else {
        return;
    };
    let summary = subtree(cx, state);
    let current = Some((to, summary.clone()));
    let reports = &mut state.spread.reports;
    if reports.sent == current && now < reports.repeat {
        return;
    }
    reports.sent = current;
    reports.repeat = now + IDLE_REPORT_MS + jitter;
    send(cx, state, Kind::Report, to, Message::Report { summary });
}

/// Returns the summary of this node and those below it in the zone's report tree.
fn subtree(cx: &Context<'_>, state: &mut State) -> Summary {
    let node = cx.settings.node;
    let held = state.log.held().values().take(NAMED_MAX);
    let bad = held.map(|it| BadVersion {
        service: it.service.clone(),
        revision: it.revision,
        node,
    });
    let mut summary = Summary {
        nodes: 1,
        lowest: vec![(state.spread.history.seq(), node)],
        bad: bad.collect(),
    };
    // Only current children count: a node that moved to another parent would be counted twice and could
    // hide one that didn't report.
    for child in tree::report_children(state, cx.settings) {
        if let Some((_, it)) = state.spread.reports.received.get(&child) {
            summary.merge(it);
        }
    }
    summary
}

/// Returns the summary of all zones whose reports reached this node.
fn all_zones(cx: &Context<'_>, state: &mut State) -> Summary {
    let zones = tree::zones(state);
    let roots = zones.iter().filter_map(|zone| {
        let relays = tree::relays(state, cx.settings, zone);
        relays.first().copied()
    });
    let roots: Vec<NodeId> = roots.collect();
    let mut all = Summary::default();
    for root in roots {
        if root == cx.settings.node {
            let own = subtree(cx, state);
            all.merge(&own);
        } else if let Some((_, it)) = state.spread.reports.received.get(&root) {
            all.merge(it);
        }
    }
    all
}
