//! Who tells this node of new versions, and whom it tells.
//!
//! Versions come from nodes that the source answers. A node asks one of them now and then, which also puts it on that
//! node's list: it is told of each change at once until it no longer asks. A node that the source turns away finds one that
//! it answers, also abroad, by asking around: whoever is asked names one that it knows. What it is told it passes
//! on to those that ask it. Only the own word of a node tells how it learns, and a question without an answer ends the
//! belief in it, so no two nodes can go on relying on each other after both have lost the source.

use std::collections::BTreeMap;

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};
use serde::{Deserialize, Serialize};

use super::{
    Message, Source, Statement, Turn, Watch,
    confirmation::{self, LOOK_MS, Need},
};
use crate::{
    clock::Ms,
    event::{self, Notice},
    id::NodeId,
    kernel::{Context, State},
    members::{Reach, Record},
    utils::rendezvous,
};

/// Mean time between two questions of a node that somebody tells, in ms.
///
/// It bounds how long a node stays behind whose access has ended unnoticed; a question takes about 100 bytes.
pub const ASK_MS: u64 = 1_000;
/// The same for a watcher that the source answers: its watch checks itself.
pub const ASK_HELD_MS: u64 = 2_000;
/// The same for a node that nobody tells, in ms.
pub const ASK_UNINFORMED_MS: u64 = 250;
/// Time in which a question is answered, in ms: several round trips and the ticks of a busy node.
pub const ANSWER_MS: u64 = 700;
/// Age at which the word of a node counts for nothing, in ms: it was asked for a newer one several times since.
const STALE_MS: u64 = 4_500;
/// How long a node that asked is told of changes, in ms: one of its questions may be lost.
const SUBSCRIBED_MS: u64 = 2_500;
/// How long one that did not answer is not asked again, in ms, while there are others.
const SILENT_MS: u64 = 2_000;
/// How long a node that nobody tells waits before it watches by itself, in ms: two rounds of questions.
const UNINFORMED_MS: u64 = 400;
/// The same for a new process without a version. Where a whole fleet starts, it knows all of its zone after two seconds.
pub const WATCH_FIRST_MS: u64 = 2_500;
/// Nodes of a zone that take the place of its watchers at a time: one may be turned away as well.
const STANDBYS: usize = 2;
/// Time after which the next ones try, in ms: a read of the source takes less.
const NEXT_MS: u64 = 500;
/// Nodes of a zone that ever take the place of watchers, beside those that nobody answers. Where the source answers none of
/// so many it answers nobody, and every further one would only ask it in vain for as long as that lasts.
const STANDBYS_MAX: usize = 6;
/// Silence of all others after which a node takes itself to be cut off, and does not wait for its turn, in ms.
const ALONE_MS: u64 = 1_000;
/// One question in this many goes to a peer abroad, since a zone may be behind as a whole.
const ABROAD: u32 = 8;
/// The same for a node that watches the source.
const ABROAD_WATCHING: u32 = 2;
/// A watcher that the source answers asks another node than the first of them once in this many times.
const EXPLORE: u32 = 4;
/// Share of the time without a confirmation between two rounds of questions.
const LOOK_SHARE: u64 = 8;
/// Peers that a node asks without knowing how they learn of versions, in its own zone and abroad. They are the same few each time: a
/// first message to a node opens a connection, which takes ten times the bytes.
const PARTNERS: usize = 2;

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
struct Publisher {
    access: Access,
    watch: Watch,
    heard: Ms,
    /// When the version it knows of was the newest.
    newest: Ms,
}

impl Publisher {
    /// Whether it has not heard that its version is the newest for longer than it should.
    fn stale(&self, now: Ms) -> bool {
        now.since(self.newest) > LOOK_MS + ASK_MS
    }
}

/// Who tells this node, and whom it tells.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    publishers: BTreeMap<NodeId, Publisher>,
    /// Questions without an answer, by whom was asked and when first.
    open: BTreeMap<NodeId, Ms>,
    /// Nodes that did not answer, and when that was noticed.
    silent: BTreeMap<NodeId, Ms>,
    /// Nodes that asked, and when last.
    subscribers: BTreeMap<NodeId, Ms>,
    /// One that the source answers, as another said; it is asked next.
    hinted: Option<NodeId>,
    asked: Ms,
    /// When anybody last answered.
    answered: Option<Ms>,
    /// When somebody last told this node.
    informed: Ms,
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
    fn answers(&self, peer: NodeId, own: NodeId) -> bool {
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
    fn source(&self) -> Option<NodeId> {
        self.sources().min().map(|(_, id)| id)
    }

    /// One that has vouched for its version of late.
    fn vouching(&self, now: Ms) -> Option<NodeId> {
        let ids = self.sources().map(|(_, id)| id);
        ids.filter(|id| !self.publishers[id].stale(now)).min()
    }

    /// The nodes that the source answers, in the order in which they ask it. One that watches for good goes first, for a
    /// standby rests again soon.
    fn sources(&self) -> impl Iterator<Item = (Watch, NodeId)> {
        let direct = |it: &&Publisher| it.access == Access::Direct;
        let publishers = self.publishers.iter();
        publishers
            .filter(move |(_, it)| direct(it))
            .map(|(id, it)| (it.watch, *id))
    }
}

/// How this node learns of versions.
fn access(state: &State) -> Access {
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
fn before(cx: &Context<'_>, state: &State) -> impl Iterator<Item = (Watch, NodeId)> {
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
    let zone = &cx.settings.zone;
    state
        .members
        .ready()
        .any(|it| it.id == id && it.zone == *zone)
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
            newest: Ms(cx.now.0.saturating_sub(status.newest.age)),
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
    take_turn(cx, state);
    let before = before(cx, state).count();
    confirmation::tick(cx, state, before);
    ask_somebody(cx, state);
}

/// Whether somebody tells this node, or would if it stopped watching.
fn relied_on(cx: &Context<'_>, state: &State) -> bool {
    let import = &state.import;
    let watches = import.turn == Turn::Follow && import.source == Source::Held;
    if !watches {
        return !import.subscriptions.publishers.is_empty();
    }
    // Two standbys must not both rest in favour of each other.
    let order = standbys(cx, state);
    let before: Vec<NodeId> = order
        .into_iter()
        .take_while(|it| *it != cx.settings.node)
        .collect();
    import.subscriptions.publishers.iter().any(|(id, it)| {
        it.access == Access::Direct && (it.watch == Watch::Always || before.contains(id))
    })
}

/// The nodes of the own zone in the order in which they take the place of watchers; every node knows the same.
fn standbys(cx: &Context<'_>, state: &State) -> Vec<NodeId> {
    let near = state
        .members
        .ready()
        .filter(|it| it.zone == cx.settings.zone);
    rendezvous("import/standbys", near.map(|it| it.id))
}

/// This node's place in that order.
fn place(cx: &Context<'_>, state: &State) -> usize {
    let standbys = standbys(cx, state);
    let place = standbys.iter().position(|it| *it == cx.settings.node);
    place.unwrap_or(standbys.len())
}

/// Whether this node looks abroad for its zone while nobody in it knows the newest version: a standby does, and whoever
/// comes after those that do not answer.
fn is_scout(cx: &Context<'_>, state: &State) -> bool {
    let own = cx.settings.node;
    let subscriptions = &state.import.subscriptions;
    let there = |it: &NodeId| *it == own || subscriptions.answers(*it, own);
    let mut standbys = standbys(cx, state).into_iter().filter(there);
    standbys.by_ref().take(STANDBYS).any(|it| it == own)
}

/// Decides whether this node watches the source.
fn take_turn(cx: &mut Context<'_>, state: &mut State) {
    if cx.settings.watch == Watch::Always {
        return;
    }
    let now = cx.now;
    let turn = match relied_on(cx, state) {
        true => {
            state.import.subscriptions.informed(now);
            Turn::Rest
        }
        false if state.import.turn == Turn::Follow => Turn::Follow,
        false if waited_enough(cx, state) => Turn::Follow,
        false => Turn::Rest,
    };
    if turn == state.import.turn {
        return;
    }
    state.import.turn = turn;
    if turn == Turn::Rest {
        state.import.source = Source::Lost;
    }
    let what = format!("{turn:?}").to_lowercase();
    cx.log("config-source", vec![("state", what)]);
    cx.raise(Notice::Own);
}

/// Whether this node, which nobody tells, has waited long enough to watch by itself.
fn waited_enough(cx: &Context<'_>, state: &State) -> bool {
    let import = &state.import;
    let waited = cx
        .now
        .since(import.subscriptions.informed.max(import.started));
    let least = match import.table.version() {
        0 => WATCH_FIRST_MS,
        _ => UNINFORMED_MS,
    };
    // One that is cut off from all others can wait for nobody.
    let heard = import.subscriptions.answered.unwrap_or(import.started);
    if cx.now.since(heard) >= ALONE_MS {
        return waited >= least;
    }
    let place = place(cx, state);
    place < STANDBYS_MAX && waited >= least + (place / STANDBYS) as u64 * NEXT_MS
}

fn ask_somebody(cx: &mut Context<'_>, state: &mut State) {
    let held = state.import.table.version();
    let need = state.import.confirmation.need(cx.now, held);
    let gap = match (need, access(state)) {
        // Where a whole fleet is without the source, each of them asks the less often the longer it lasts.
        (Need::Statement | Need::Version(_), _) => {
            let age = state.import.confirmation.age(cx.now);
            (age / LOOK_SHARE).clamp(ASK_UNINFORMED_MS, ASK_MS)
        }
        // Nobody has compared versions with it yet, and it is not ready before.
        _ if !state.import.subscriptions.answered() => ASK_UNINFORMED_MS,
        (_, Access::Direct) => ASK_HELD_MS,
        (_, Access::Relayed) => ASK_MS,
        (_, Access::None)
            if !state.import.subscriptions.publishers.is_empty()
                && state.import.turn == Turn::Rest =>
        {
            ASK_MS
        }
        (_, Access::None) => ASK_UNINFORMED_MS,
    };
    if cx.now.since(state.import.subscriptions.asked) < gap {
        return;
    }
    // Jitter, so that a herd that started together does not ask in step.
    state.import.subscriptions.asked =
        Ms(cx.now.0.saturating_sub(cx.rng.random_range(0..=gap / 4)));
    let peers = match need {
        Need::Nothing => whom_to_ask_in_calm(cx, state),
        // Several would all send the whole version.
        Need::Version(from) if from != cx.settings.node => vec![from],
        Need::Statement | Need::Version(_) => whom_to_ask_besides(cx, state),
    };
    for peer in peers {
        state.import.confirmation.tried(peer);
        ask(cx, state, peer);
    }
}

/// Asks `peer` for a newer version.
pub(super) fn ask(cx: &mut Context<'_>, state: &mut State, peer: NodeId) {
    state
        .import
        .subscriptions
        .open
        .entry(peer)
        .or_insert(cx.now);
    let message = Message::Ask {
        version: state.import.table.version(),
        status: status(cx, state),
    };
    cx.send(peer, event::Message::Import(message));
}

/// Whom to ask for a newer version: one that tells this node, if there is one, else somebody who may know one.
fn whom_to_ask(cx: &mut Context<'_>, state: &mut State) -> Option<NodeId> {
    let own = cx.settings.node;
    if let Some(hinted) = state.import.subscriptions.hinted.take() {
        return Some(hinted);
    }
    let access = access(state);
    let subscriptions = &state.import.subscriptions;
    let peers = state.members.ready().filter(|it| it.id != own);
    let heard = peers.filter(|it| !subscriptions.silent.contains_key(&it.id));
    let (near, abroad): (Vec<&Record>, Vec<&Record>) =
        heard.partition(|it| it.zone == cx.settings.zone);
    let uninformed = subscriptions.publishers.is_empty() && access != Access::Direct;
    // Those who watch meet across zones, so that only one of them all asks the source.
    let every = match state.import.turn {
        Turn::Follow => ABROAD_WATCHING,
        Turn::Rest => ABROAD,
    };
    if !uninformed && access != Access::Direct {
        return best(cx, subscriptions, &near);
    }
    if cx.rng.random_ratio(1, every) || near.is_empty() {
        // Two that are always the same may both belong to zones that lost the source as well.
        let found = match uninformed {
            true => abroad.choose(cx.rng).map(|it| it.id),
            false => partners(own, &abroad).choose(cx.rng).copied(),
        };
        if found.is_some() {
            return found;
        }
    }
    let mut near = partners(own, &near);
    if uninformed {
        let first = standbys(cx, state).into_iter().filter(|it| *it != own);
        near.extend(first.take(STANDBYS));
    }
    near.choose(cx.rng).copied()
}

/// Whom to ask if the version held is the newest as far as is known. A watcher that the source answers stays with the first of
/// them all, which vouches for its version, and looks now and then whether there is another one before it.
fn whom_to_ask_in_calm(cx: &mut Context<'_>, state: &mut State) -> Vec<NodeId> {
    let first = match access(state) {
        Access::Direct => before(cx, state).min().map(|(_, id)| id),
        Access::Relayed | Access::None => None,
    };
    let mut whom = Vec::from_iter(first);
    if first.is_none() || cx.rng.random_ratio(1, EXPLORE) {
        whom.extend(whom_to_ask(cx, state));
    }
    whom
}

/// Whom to ask if nobody vouches for the version held, however those that tell this node see themselves: whom it relies on, one
/// more nearby, and one abroad if it is among those that look there for their zone.
fn whom_to_ask_besides(cx: &mut Context<'_>, state: &mut State) -> Vec<NodeId> {
    let hinted = state.import.subscriptions.hinted.take();
    let own = cx.settings.node;
    let zone = &cx.settings.zone;
    let looks_abroad = state.import.turn == Turn::Follow || is_scout(cx, state);
    let subscriptions = &state.import.subscriptions;
    let peers = state.members.ready();
    // While one that was asked may still answer, another one is of more use.
    let peers = peers.filter(|it| subscriptions.answers(it.id, own));
    let (near, abroad): (Vec<&Record>, Vec<&Record>) = peers.partition(|it| it.zone == *zone);
    let mut whom = Vec::from_iter(hinted);
    // Those that it relies on should have vouched by now: whether they are still there tells whether others are to watch.
    let sources = subscriptions.sources().map(|(_, id)| id);
    whom.extend(sources.filter(|it| subscriptions.answers(*it, own)));
    whom.extend(near.choose(cx.rng).map(|it| it.id));
    if looks_abroad || near.is_empty() {
        whom.extend(abroad.choose(cx.rng).map(|it| it.id));
    }
    whom.sort_unstable();
    whom.dedup();
    whom
}

/// One of those that tell this node: near ones before others, and nodes that the source answers before those that are told.
fn best(cx: &mut Context<'_>, subscriptions: &Subscriptions, near: &[&Record]) -> Option<NodeId> {
    let now = cx.now;
    let rank = |id: &NodeId, it: &Publisher| {
        let abroad = !near.iter().any(|it| it.id == *id);
        (it.stale(now), it.access != Access::Direct, abroad)
    };
    let least = subscriptions
        .publishers
        .iter()
        .map(|(id, it)| rank(id, it))
        .min()?;
    let best = subscriptions
        .publishers
        .iter()
        .filter(|(id, it)| rank(id, it) == least);
    best.map(|(id, _)| *id).choose(cx.rng)
}

/// The peers that `own` asks, among those given, without knowing more of them.
fn partners(own: NodeId, peers: &[&Record]) -> Vec<NodeId> {
    let mut ranked = rendezvous(&format!("import/{own}"), peers.iter().map(|it| it.id));
    ranked.truncate(PARTNERS);
    ranked
}
