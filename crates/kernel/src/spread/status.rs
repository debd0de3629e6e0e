//! Status: what every node holds, gathered up the trees and told to whoever asks.
//!
//! A node reports to its parent in one tree of its zone, the root of each zone to one status node. A
//! report is of bounded size: it counts nodes and names only those that hold least.

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
const KEEP_MS: u64 = 10_000;

/// A report older than this counts no more, in ms.
const STALE_MS: u64 = 3 * KEEP_MS;

/// How long an asker waits for the status node, in ms.
const ANSWER_MS: u64 = 1_000;

/// Nodes and versions named in a report.
const NAMED_MAX: usize = 8;

/// Reports kept, and askers waiting at once.
const KEPT_MAX: usize = 256;

/// Who holds which sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Last batch applied by the node asked.
    pub seq: Seq,
    /// The highest position that the node asked has heard of.
    pub heard: Seq,
    /// Nodes alive, in the view of the node asked.
    pub nodes: usize,
    /// Nodes that reported what they hold.
    pub reported: usize,
    /// Nodes known to lag, with what they hold; the worst few only.
    pub behind: Vec<(NodeId, Seq)>,
    /// Accepted versions that a node had to refuse; a few only.
    pub bad: Vec<BadVersion>,
    /// Whether every node alive reported that it holds, and has in force, all that was heard of.
    pub everywhere: bool,
}

/// An accepted version that a node had to refuse.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BadVersion {
    /// The service.
    pub service: Name,
    /// The revision refused.
    pub revision: Revision,
    /// A node that refused it.
    pub node: NodeId,
}

/// What a node and those that report to it hold.
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

/// Reports received and questions under way.
#[derive(Debug, Default)]
pub struct Reports {
    received: BTreeMap<NodeId, (Ms, Summary)>,
    sent: Option<(NodeId, Summary)>,
    due: Ms,
    keep: Ms,
    number: u64,
    asking: BTreeMap<u64, (Ms, Token)>,
}

/// Reports what changed and answers those who waited for too long.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    let asking = &mut state.spread.reports.asking;
    for (_, (_, token)) in take_due(asking, |_, it| now.since(it.0) > ANSWER_MS) {
        let own = subtree(cx, state);
        answer(cx, state, token, &own);
    }
    if now >= state.spread.reports.due {
        report(cx, state);
    }
}

/// An operator asks.
pub fn ask(cx: &mut Context<'_>, state: &mut State, token: Token) {
    let status = tree::status_node(state);
    match status.filter(|it| *it != cx.settings.node) {
        Some(to) if state.spread.reports.asking.len() < KEPT_MAX => {
            let reports = &mut state.spread.reports;
            reports.number += 1;
            let number = reports.number;
            reports.asking.insert(number, (cx.now, token));
            send(cx, state, Kind::Report, to, Message::Ask { number });
        }
        _ => {
            let summary = everything(cx, state);
            answer(cx, state, token, &summary);
        }
    }
}

/// Another node asks this one, the status node in its view.
pub fn asked(cx: &mut Context<'_>, state: &mut State, from: NodeId, number: u64) {
    let summary = everything(cx, state);
    let message = Message::Told { number, summary };
    send(cx, state, Kind::Report, from, message);
}

/// The status node answered.
pub fn told(cx: &mut Context<'_>, state: &mut State, number: u64, summary: &Summary) {
    if let Some((_, token)) = state.spread.reports.asking.remove(&number) {
        answer(cx, state, token, summary);
    }
}

/// A node below this one, or the root of a zone, reported.
pub fn reported(cx: &mut Context<'_>, state: &mut State, from: NodeId, summary: &Summary) {
    let received = &mut state.spread.reports.received;
    if received.len() < KEPT_MAX || received.contains_key(&from) {
        received.insert(from, (cx.now, summary.clone()));
    }
}

fn answer(cx: &mut Context<'_>, state: &mut State, token: Token, summary: &Summary) {
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

fn report(cx: &mut Context<'_>, state: &mut State) {
    let jitter = cx.rng.random_range(REPORT_MS / 2..=REPORT_MS * 3 / 2);
    state.spread.reports.due = cx.now + jitter;
    let now = cx.now;
    let received = &mut state.spread.reports.received;
    received.retain(|_, it| now.since(it.0) <= STALE_MS);
    let parent = tree::reports_to(state, cx.settings);
    let Some(to) = parent.filter(|it| *it != cx.settings.node) else {
        return;
    };
    let summary = subtree(cx, state);
    let news = Some((to, summary.clone()));
    let reports = &mut state.spread.reports;
    if reports.sent == news && now < reports.keep {
        return;
    }
    reports.sent = news;
    reports.keep = now + KEEP_MS + jitter;
    send(cx, state, Kind::Report, to, Message::Report { summary });
}

/// This node and those below it in the zone's report tree.
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
    // Only present children count: one that moved to another parent would be counted twice and could
    // hide one that reported nowhere.
    for child in tree::reporters(state, cx.settings) {
        if let Some((_, it)) = state.spread.reports.received.get(&child) {
            summary.merge(it);
        }
    }
    summary
}

/// Every zone's report, as far as they reached this node.
fn everything(cx: &Context<'_>, state: &mut State) -> Summary {
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
