//! Who tells this node of new versions, and whom it tells.
//!
//! Versions come from nodes that the source answers. A node asks one of them now and then, which also puts it on that
//! node's list: it is told of each change at once until it no longer asks. A node that the source turns away finds one that
//! it answers, also abroad, by asking around: whoever is asked names one that it knows. What it is told it passes
//! on to those that ask it. Only the own word of a node tells how it learns, and a question without an answer ends the
//! belief in it, so no two nodes can go on relying on each other after both have lost the source.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    Message, Source, Statement, Turn, Watch,
    confirmation::{self, LOOK_MS},
    question, turn,
};
use crate::{
    clock::Ms,
    event,
    id::NodeId,
    kernel::{Context, State},
    members::Reach,
};

/// Mean time between two questions of a node that somebody tells, in ms.
///
/// It bounds how long a node stays behind whose access has ended unnoticed; a question takes about 100 bytes.
pub(super) const ASK_MS: u64 = 1_000;
/// Time in which a question is answered, in ms: several round trips and the ticks of a busy node.
const ANSWER_MS: u64 = 700;
/// Age at which the word of a node counts for nothing, in ms: it was asked for a newer one several times since.
const STALE_MS: u64 = 4_500;
/// How long a node that asked is told of changes, in ms: one of its questions may be lost.
const SUBSCRIBED_MS: u64 = 2_500;
/// How long one that did not answer is not asked again, in ms, while there are others.
const SILENT_MS: u64 = 2_000;

/// How a node learns of new versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Nobody tells it.
    #[default]
    None,
    /// A node that the source answers tells it.
    Relayed,
    /// The source answers it.
    Direct,
}

/// What a node says of itself with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How it learns of versions.
    pub access: Access,
    /// Whether it watches the source for good.
    pub watch: Watch,
    /// A node that the source answers, if it knows one: the first in the order in which watchers ask the source.
    pub source: Option<NodeId>,
    /// What it knows of the newest version.
    pub newest: Statement,
}

/// A node that tells this one, by its own last word.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publisher {
    pub access: Access,
    pub watch: Watch,
    heard: Ms,
    /// When the version it knows of was the newest.
    newest: Ms,
}

impl Publisher {
    /// Whether it has not heard that its version is the newest for longer than it should.
    pub(super) fn stale(&self, now: Ms) -> bool {
        now.since(self.newest) > LOOK_MS + ASK_MS
    }
}

/// Who tells this node, and whom it tells.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    pub publishers: BTreeMap<NodeId, Publisher>,
    /// Questions without an answer, by whom was asked and when first.
    pub open: BTreeMap<NodeId, Ms>,
    /// Nodes that did not answer, and when that was noticed.
    pub silent: BTreeMap<NodeId, Ms>,
    /// Nodes that asked, and when last.
    subscribers: BTreeMap<NodeId, Ms>,
    /// One that the source answers, as another said; it is asked next.
    pub hinted: Option<NodeId>,
    pub asked: Ms,
    /// When anybody last answered.
    pub answered: Option<Ms>,
    /// When somebody last told this node.
    pub informed: Ms,
}

impl Subscriptions {
    /// Whether anybody has answered this process yet.
    pub(super) fn answered(&self) -> bool {
        self.answered.is_some()
    }

    /// All that asked of late.
    fn askers(&self) -> Vec<NodeId> {
        self.subscribers.keys().copied().collect()
    }

    /// Those to be told of a change: they asked of late, and the source does not answer them.
    pub(super) fn subscribers(&self) -> Vec<NodeId> {
        let held = |id: &NodeId| {
            self.publishers
                .get(id)
                .is_some_and(|it| it.access == Access::Direct)
        };
        self.subscribers
            .keys()
            .copied()
            .filter(|it| !held(it))
            .collect()
    }

    /// Whether `peer`, which `own` is not, answered what it was asked.
    pub(super) fn answers(&self, peer: NodeId, own: NodeId) -> bool {
        peer != own && !self.open.contains_key(&peer) && !self.silent.contains_key(&peer)
    }

    /// Notes that somebody told this node something new.
    pub(super) fn informed(&mut self, now: Ms) {
        self.informed = now;
    }

    /// Notes an answer of `from`.
    pub(super) fn answered_by(&mut self, now: Ms, from: NodeId) {
        self.open.remove(&from);
        self.silent.remove(&from);
        self.answered = Some(now);
    }

    /// Forgets whoever did not answer in time, is stale, or cannot be reached.
    fn expire(&mut self, now: Ms, reach: impl Fn(NodeId) -> Option<Reach>) {
        let late: Vec<NodeId> = self
            .open
            .iter()
            .filter(|(_, since)| now.since(**since) >= ANSWER_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.open.remove(&id);
            self.publishers.remove(&id);
            self.silent.insert(id, now);
        }
        // One that has left would be asked in vain for as long as it is remembered, in place of those who are there.
        let there = |id| matches!(reach(id), Some(it) if it != Reach::Unreachable);
        self.publishers
            .retain(|id, it| now.since(it.heard) < STALE_MS && there(*id));
        self.silent.retain(|_, since| now.since(*since) < SILENT_MS);
        self.subscribers
            .retain(|id, since| now.since(*since) < SUBSCRIBED_MS && there(*id));
    }

    /// A node that the source answers.
    pub(super) fn source(&self) -> Option<NodeId> {
        self.sources().min().map(|(_, id)| id)
    }

    /// One that has vouched for its version of late.
    pub(super) fn vouching(&self, now: Ms) -> Option<NodeId> {
        let ids = self.sources().map(|(_, id)| id);
        ids.filter(|id| !self.publishers[id].stale(now)).min()
    }

    /// The nodes that the source answers, in the order in which they ask it. One that watches for good goes first, for a
    /// standby rests again soon.
    pub(super) fn sources(&self) -> impl Iterator<Item = (Watch, NodeId)> {
        let direct = |it: &&Publisher| it.access == Access::Direct;
        let publishers = self.publishers.iter();
        publishers
            .filter(move |(_, it)| direct(it))
            .map(|(id, it)| (it.watch, *id))
    }
}

/// How this node learns of versions.
pub(super) fn access(state: &State) -> Access {
    let import = &state.import;
    if import.turn == Turn::Follow && import.source == Source::Held {
        return Access::Direct;
    }
    match import.subscriptions.source() {
        Some(_) => Access::Relayed,
        None => Access::None,
    }
}

/// What this node says of itself.
pub(super) fn status(cx: &Context<'_>, state: &State) -> Status {
    let access = access(state);
    let import = &state.import;
    let first = match access {
        Access::Direct => before(cx, state).min().map(|(_, id)| id),
        Access::Relayed | Access::None => import.subscriptions.vouching(cx.now),
    };
    Status {
        access,
        watch: cx.settings.watch,
        source: match access {
            Access::Direct => Some(first.unwrap_or(cx.settings.node)),
            Access::Relayed | Access::None => first.or(import.subscriptions.source()),
        },
        newest: import.confirmation.statement(cx.now),
    }
}

/// The nodes that ask the source before this one.
pub(super) fn before(cx: &Context<'_>, state: &State) -> impl Iterator<Item = (Watch, NodeId)> {
    let own = (cx.settings.watch, cx.settings.node);
    let sources = state.import.subscriptions.sources();
    sources.filter(move |it| *it < own)
}

/// Tells all that asked of late how this node learns of versions, but for the one that it has it from.
pub(super) fn tell_status(cx: &mut Context<'_>, state: &State, from: NodeId) {
    let status = Message::Status(status(cx, state));
    for to in state.import.subscriptions.askers() {
        if to != from {
            cx.send(to, event::Message::Import(status.clone()));
        }
    }
}

/// Notes that `from` asked for a newer version.
pub(super) fn asked_by(cx: &Context<'_>, state: &mut State, from: NodeId) {
    // One abroad that asks around is only to be told whom to ask: were all that it asked to follow up, each change would
    // cross over many times.
    if access(state) == Access::Direct || is_near(cx, state, from) {
        state.import.subscriptions.subscribers.insert(from, cx.now);
    }
}

fn is_near(cx: &Context<'_>, state: &State, id: NodeId) -> bool {
    let mut near = state.members.ready_in(&cx.settings.zone);
    near.any(|it| it.id == id)
}

/// Takes in what `from` says of itself.
pub(super) fn told(cx: &Context<'_>, state: &mut State, from: NodeId, status: Status) {
    // Were all of a zone to rely on one abroad, each change would cross over once for each of them.
    let watches = state.import.turn == Turn::Follow;
    let near = is_near(cx, state, from);
    let useful = match status.access {
        Access::None => false,
        // A relay abroad is one step further from the source than a node that it names; so is one nearby where this node knows
        // such a one, and it would hide for seconds that all of those are gone.
        Access::Relayed => {
            near && state
                .import
                .subscriptions
                .source()
                .is_none_or(|it| it == from)
        }
        Access::Direct => near || watches,
    };
    let hinted = status.source.filter(|it| {
        let known = state.members.reach(*it).is_some() && *it != cx.settings.node;
        known && (watches || is_near(cx, state, *it))
    });
    let subscriptions = &mut state.import.subscriptions;
    if useful {
        let publisher = Publisher {
            access: status.access,
            watch: status.watch,
            heard: cx.now,
            newest: cx.now - status.newest.age,
        };
        subscriptions.publishers.insert(from, publisher);
    } else {
        subscriptions.publishers.remove(&from);
    }
    let known = match watches {
        // Watchers find the first of them all.
        true => subscriptions.source(),
        false => subscriptions.vouching(cx.now),
    };
    if known.is_none_or(|it| watches && hinted.is_some_and(|hinted| hinted < it)) {
        subscriptions.hinted = hinted.or(subscriptions.hinted);
    }
}

/// Looks who is still there, decides whether this node watches, and asks if it is time to.
pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    let reach = |id| state.members.reach(id);
    state.import.subscriptions.expire(cx.now, reach);
    turn::take(cx, state);
    let before = before(cx, state).count();
    confirmation::tick(cx, state, before);
    question::ask_somebody(cx, state);
}
