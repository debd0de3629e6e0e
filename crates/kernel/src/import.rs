//! Import: the configuration comes from an external source, whole, version by version.
//!
//! A node with a fast link watches the source by itself ([`Event::Imported`]) and passes what changed on to those in
//! its availability zone that do not. A node with a slow link watches only while no watcher answers it: a
//! configuration of thousands of routes takes such a link for the better part of a second, a difference for a
//! millisecond. A node that the source turns away learns from its peers as well: it asks one after the other for
//! a newer version. Versions only grow, so whichever way a version comes, a node never moves back within one
//! incarnation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{
    Rng,
    seq::{IndexedRandom, IteratorRandom},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    clock::Ms,
    event::{self, Event, Notice},
    id::{Name, NodeId},
    kernel::{Context, Plugin, Scope, State},
    members::{Phase, Reach, Record},
    routing::{Difference, Spec, Table},
    utils::rendezvous,
};

inventory::submit! { Plugin { name: "import", order: 16, scope: Scope::Imported, handle } }

/// Mean time between two questions to a random peer while the source answers, in ms.
///
/// It only bounds how long a node whose watch hangs unnoticed stays behind; a question takes about 100 bytes.
pub const ASK_MS: u64 = 2_000;
/// The same while the source does not answer, in ms. With two thirds of the peers ahead, four questions a
/// second bring a version within a second in 99 of 100 cases.
pub const ASK_LOST_MS: u64 = 250;
/// Longest time that a new process waits until it knows an endpoint of each service, in ms.
///
/// A process that is ready before it knows them refuses its callers' requests, which others would carry. Peers
/// answer a join within a few round trips; where everything starts at once, upstreams announce themselves within
/// 1.5 s. After twice that, some service has none.
pub const SETTLE_MS: u64 = 3_000;
/// One question in this many goes to a peer abroad; the others to watchers or peers of the own zone.
const ABROAD: u32 = 8;
/// The same for a node that is to watch and can't: the source may turn the whole zone away, and then it is the one that
/// has to bring a version in. Two questions abroad a second bring it within 1.5 s in 9 of 10 cases by one such node.
const ABROAD_LOST: u32 = 2;
/// Peers of the own zone, and of others, that a node asks: one that hangs leaves others.
const NEAR_PARTNERS: usize = 2;
const ABROAD_PARTNERS: usize = 2;
/// Most bytes of a version in one message; under the longest frame of the link.
pub const PART_MAX: usize = 48 * 1024;
/// Most parts that are taken of one version: 4 MiB, some hundred times the largest configuration expected.
const PARTS_MAX: u16 = 85;
/// Compression level: the fastest; a version is packed once per question.
const LEVEL: i32 = 1;

/// Silence of all watchers after which a node with a slow link watches by itself, in ms: two of its questions went
/// unanswered, and a version is due within twice that.
pub const WATCH_MS: u64 = 2_500;
/// The same for a new process without a version: its peers answer within a few round trips, if there are any.
pub const WATCH_FIRST_MS: u64 = 1_500;

/// Whether a node watches the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watch {
    /// Always.
    #[default]
    Always,
    /// While no watcher answers.
    Fallback,
}

/// Whether this node is to watch the source now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Turn {
    /// It is.
    #[default]
    Follow,
    /// Others do it for this node.
    Rest,
}

/// What nodes tell one another of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I hold `version`: send me a newer one if you have it.
    Ask { version: u64 },
    /// The source answers `watcher`: the sender, or one that the sender heard so from.
    Watching { watcher: NodeId },
    /// What changed, compressed; sent by a watcher to those that do not watch.
    Changed { version: u64, bytes: Vec<u8> },
    /// One of the `parts` parts of `version`, compressed.
    Part {
        version: u64,
        part: u16,
        parts: u16,
        bytes: Vec<u8>,
    },
}

/// What the watch on the source says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// Not asked yet, or it does not answer.
    #[default]
    Lost,
    /// It answers.
    Held,
}

/// The imported configuration.
#[derive(Debug, Default)]
pub struct Import {
    table: Arc<Table>,
    source: Source,
    /// When the source last answered.
    answered: Ms,
    /// Times that it stopped answering.
    losses: u64,
    started: Ms,
    asked: Ms,
    ready: bool,
    /// Nodes that said that the source answers them, and when.
    watchers: BTreeMap<NodeId, Ms>,
    /// A node that watches, as another one said; it is asked next.
    hinted: Option<NodeId>,
    turn: Turn,
    arriving: Arriving,
}

/// Parts of a newer version that have arrived.
#[derive(Debug, Default)]
struct Arriving {
    version: u64,
    parts: BTreeMap<u16, Vec<u8>>,
}

impl Import {
    /// The version in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Whether the source answered last.
    pub fn source(&self) -> Source {
        self.source
    }

    /// How often the source stopped answering since the process started.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Whether this node is to watch the source now.
    pub fn turn(&self) -> Turn {
        self.turn
    }

    /// Whether this process holds a configuration and knows who serves it, or has looked for them long enough.
    pub fn ready(&self) -> bool {
        self.ready
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Start => {
            state.import.started = cx.now;
            if cx.settings.watch == Watch::Fallback {
                state.import.turn = Turn::Rest;
            }
        }
        Event::Imported(table) => adopt(cx, state, table, "source"),
        Event::Source(source) => follow(cx, state, *source),
        Event::Message {
            from,
            message: event::Message::Import(message),
        } => received(cx, state, *from, message),
        Event::Tick => tick(cx, state),
        _ => {}
    }
}

/// A node that watches passes what changed on to those of its zone that do not, also if it had to learn it from a peer:
/// where the source turns all watchers of a zone away, nobody else there would ask for it in time.
fn pass_on(cx: &mut Context<'_>, state: &State, before: &Table) {
    let table = &state.import.table;
    if before.version() == 0 || cx.settings.watch == Watch::Fallback {
        return;
    }
    let own = state.members.own();
    let near: Vec<NodeId> = state
        .members
        .ready()
        .filter(|it| it.zone == own.zone && it.id != own.id)
        .map(|it| it.id)
        .filter(|it| !state.import.watchers.contains_key(it))
        .collect();
    // Where everybody watches, a difference of thousands of routes would be made for nobody.
    if near.is_empty() {
        return;
    }
    let difference = Difference::between(before.spec(), table.spec());
    let bytes = match pack(&difference) {
        Ok(it) => it,
        Err(why) => return refuse(cx, cx.settings.node, table.version(), why),
    };
    if bytes.len() > PART_MAX {
        // Those who lack it ask, and get it in parts.
        return;
    }
    for to in near {
        let message = Message::Changed {
            version: table.version(),
            bytes: bytes.clone(),
        };
        cx.send(to, event::Message::Import(message));
    }
}

fn adopt(cx: &mut Context<'_>, state: &mut State, table: &Arc<Table>, from: &'static str) {
    let held = state.import.table.version();
    if table.version() <= held {
        return;
    }
    let before = std::mem::replace(&mut state.import.table, table.clone());
    state.import.arriving = Arriving::default();
    let pairs = vec![
        ("version", table.version().to_string()),
        ("before", held.to_string()),
        ("routes", table.spec().routes.len().to_string()),
        ("from", from.to_owned()),
    ];
    cx.log("config-applied", pairs);
    cx.raise(Notice::Imported);
    pass_on(cx, state, &before);
}

fn follow(cx: &mut Context<'_>, state: &mut State, source: Source) {
    let import = &mut state.import;
    let silent = cx.now.since(import.answered.max(import.started));
    if source == Source::Held {
        import.answered = cx.now;
    }
    if import.source == source {
        return;
    }
    import.source = source;
    import.losses += u64::from(source == Source::Lost);
    let what = match source {
        Source::Lost => "lost",
        Source::Held => "held",
    };
    let pairs = vec![
        ("state", what.to_owned()),
        ("version", import.table.version().to_string()),
        ("silent_ms", silent.to_string()),
    ];
    cx.log("config-source", pairs);
}

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Ask { version } if *version < state.import.table.version() => {
            tell(cx, state, from)
        }
        Message::Ask { .. } => {
            if let Some(watcher) = watcher(cx, state).filter(|it| *it != from) {
                cx.send(from, event::Message::Import(Message::Watching { watcher }));
            }
        }
        Message::Watching { watcher } if *watcher == from => {
            state.import.watchers.insert(from, cx.now);
            state.import.hinted = None;
        }
        Message::Watching { watcher } => {
            let own = &cx.settings.zone;
            let ready = state.members.ready().find(|it| it.id == *watcher);
            let known = ready.is_some_and(|it| it.zone == *own);
            if known && state.import.watchers.is_empty() {
                state.import.hinted = Some(*watcher);
            }
        }
        Message::Changed { version, bytes } => {
            state.import.watchers.insert(from, cx.now);
            changed(cx, state, from, *version, bytes);
        }
        Message::Part {
            version,
            part,
            parts,
            bytes,
        } => {
            if *version <= state.import.table.version() || *parts > PARTS_MAX || part >= parts {
                return;
            }
            if let Some(table) = state.import.arriving.take(*version, *part, *parts, bytes) {
                match table {
                    Ok(table) => adopt(cx, state, &Arc::new(table), "peer"),
                    Err(why) => refuse(cx, from, *version, why),
                }
            }
        }
    }
}

/// Takes a difference over, or asks for the whole version if it starts from another than the one held.
fn changed(cx: &mut Context<'_>, state: &mut State, from: NodeId, version: u64, bytes: &[u8]) {
    let held = state.import.table.version();
    if version <= held {
        return;
    }
    let difference: Difference = match unpack(bytes) {
        Ok(it) => it,
        Err(why) => return refuse(cx, from, version, why),
    };
    let Some(spec) = difference.apply(state.import.table.spec()) else {
        let ask = Message::Ask { version: held };
        return cx.send(from, event::Message::Import(ask));
    };
    match Table::new(spec) {
        Ok(table) => adopt(cx, state, &Arc::new(table), "peer"),
        Err(error) => refuse(cx, from, version, error.to_string()),
    }
}

fn refuse(cx: &mut Context<'_>, from: NodeId, version: u64, why: String) {
    let pairs = vec![
        ("version", version.to_string()),
        ("from", from.to_string()),
        ("why", why),
    ];
    cx.log("config-refused", pairs);
}

fn tell(cx: &mut Context<'_>, state: &State, to: NodeId) {
    let table = &state.import.table;
    let packed = match pack(table.spec()) {
        Ok(it) => it,
        Err(why) => return refuse(cx, cx.settings.node, table.version(), why),
    };
    let parts = packed.len().div_ceil(PART_MAX) as u16;
    for (part, bytes) in (0..parts).zip(packed.chunks(PART_MAX)) {
        let message = Message::Part {
            version: table.version(),
            part,
            parts,
            bytes: bytes.to_vec(),
        };
        cx.send(to, event::Message::Import(message));
    }
}

impl Arriving {
    /// Takes one part; the table once all are here, or why they do not make one.
    fn take(
        &mut self,
        version: u64,
        part: u16,
        parts: u16,
        bytes: &[u8],
    ) -> Option<Result<Table, String>> {
        if self.version != version {
            *self = Arriving {
                version,
                parts: BTreeMap::new(),
            };
        }
        self.parts.insert(part, bytes.to_vec());
        if self.parts.len() < usize::from(parts) {
            return None;
        }
        let packed: Vec<u8> = std::mem::take(&mut self.parts)
            .into_values()
            .flatten()
            .collect();
        Some(whole(&packed, version))
    }
}

fn pack<T: Serialize>(it: &T) -> Result<Vec<u8>, String> {
    let bytes = postcard::to_stdvec(it).map_err(|it| it.to_string())?;
    zstd::bulk::compress(&bytes, LEVEL).map_err(|it| it.to_string())
}

fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, String> {
    let longest = PART_MAX * usize::from(PARTS_MAX);
    let bytes = zstd::bulk::decompress(packed, longest).map_err(|it| it.to_string())?;
    postcard::from_bytes(&bytes).map_err(|it| it.to_string())
}

fn whole(packed: &[u8], version: u64) -> Result<Table, String> {
    let spec: Spec = unpack(packed)?;
    if spec.version != version {
        return Err(format!("its parts hold version {}", spec.version));
    }
    Table::new(spec).map_err(|it| it.to_string())
}

fn tick(cx: &mut Context<'_>, state: &mut State) {
    settle(cx, state);
    take_turn(cx, state);
    // Who knows no watcher would soon go to the source although there may be one.
    let led = state.import.table.version() > 0 && !state.import.watchers.is_empty();
    let gap = match (state.import.turn, state.import.source) {
        (Turn::Rest, _) if led => ASK_MS,
        (Turn::Follow, Source::Held) => ASK_MS,
        _ => ASK_LOST_MS,
    };
    if cx.now.since(state.import.asked) < gap {
        return;
    }
    // Jitter, so that a herd that started together does not ask in step.
    state.import.asked = Ms(cx.now.0.saturating_sub(cx.rng.random_range(0..=gap / 4)));
    let Some(peer) = whom_to_ask(cx, state) else {
        return;
    };
    let version = state.import.table.version();
    cx.send(peer, event::Message::Import(Message::Ask { version }));
}

/// The watcher to tell others of: this node, or one that it heard from.
fn watcher(cx: &Context<'_>, state: &State) -> Option<NodeId> {
    match (cx.settings.watch, state.import.source) {
        (Watch::Always, Source::Held) => Some(cx.settings.node),
        (Watch::Always, Source::Lost) => None,
        (Watch::Fallback, _) => state.import.watchers.keys().next().copied(),
    }
}

/// Whom to ask for a newer version: a watcher, if this node depends on them and knows one, else a peer.
///
/// Peers of the own zone come first, because a whole version is some ten KB and bytes between zones cost money; now
/// and then one abroad is asked, since the zone may be behind as a whole, or the watchers known of another time. They
/// are the same few each time: a first message to a node opens a connection, which takes ten times the bytes.
fn whom_to_ask(cx: &mut Context<'_>, state: &mut State) -> Option<NodeId> {
    if let Some(hinted) = state.import.hinted.take() {
        return Some(hinted);
    }
    let own = cx.settings.node;
    let peers = state.members.ready().filter(|it| it.id != own);
    let (near, abroad): (Vec<&Record>, Vec<&Record>) =
        peers.partition(|it| it.zone == cx.settings.zone);
    let every = match (state.import.turn, state.import.source) {
        (Turn::Follow, Source::Lost) => ABROAD_LOST,
        _ => ABROAD,
    };
    if cx.rng.random_ratio(1, every) || near.is_empty() {
        let abroad = partners(own, &abroad, ABROAD_PARTNERS);
        if let Some(it) = abroad.choose(cx.rng) {
            return Some(*it);
        }
    }
    if cx.settings.watch == Watch::Fallback {
        let watches = |it: &&NodeId| state.import.watchers.contains_key(it);
        let ids: Vec<NodeId> = near.iter().map(|it| it.id).collect();
        let watcher = ids.iter().filter(watches).choose(cx.rng);
        let watcher = watcher.or_else(|| state.import.watchers.keys().choose(cx.rng));
        if let Some(it) = watcher {
            return Some(*it);
        }
    }
    let near = partners(own, &near, NEAR_PARTNERS);
    near.choose(cx.rng).copied()
}

/// The peers that `own` asks, among those given.
fn partners(own: NodeId, peers: &[&Record], count: usize) -> Vec<NodeId> {
    let mut ranked = rendezvous(&format!("import/{own}"), peers.iter().map(|it| it.id));
    ranked.truncate(count);
    ranked
}

/// Decides whether this node watches the source.
fn take_turn(cx: &mut Context<'_>, state: &mut State) {
    let import = &mut state.import;
    if cx.settings.watch == Watch::Always {
        return;
    }
    let now = cx.now;
    // One that has left would be asked in vain for as long as it is remembered, in place of those who are there.
    let there = |id| matches!(state.members.reach(id), Some(it) if it != Reach::Unreachable);
    import
        .watchers
        .retain(|id, heard| now.since(*heard) < WATCH_MS + 2 * ASK_MS && there(*id));
    let heard = import.watchers.values().max().copied();
    let patience = match import.table.version() {
        0 => WATCH_FIRST_MS,
        _ => WATCH_MS + ASK_MS,
    };
    let turn = match now.since(heard.unwrap_or(import.started)) >= patience {
        true => Turn::Follow,
        false => Turn::Rest,
    };
    if turn == import.turn {
        return;
    }
    import.turn = turn;
    if turn == Turn::Rest {
        import.source = Source::Lost;
    }
    let what = format!("{turn:?}").to_lowercase();
    cx.log("config-source", vec![("state", what)]);
    cx.raise(Notice::Own);
}

/// Makes the process ready, once, when it holds what it needs to serve.
fn settle(cx: &mut Context<'_>, state: &mut State) {
    if state.import.ready || state.import.table.version() == 0 {
        return;
    }
    let known = state.members.joined() && served(state);
    if known || cx.now.since(state.import.started) >= SETTLE_MS {
        state.import.ready = true;
        cx.log(
            "ready",
            vec![("version", state.import.table.version().to_string())],
        );
        cx.raise(Notice::Ready);
    }
}

/// Whether an endpoint of each service is known.
fn served(state: &State) -> bool {
    let offered: BTreeSet<&Name> = state
        .members
        .alive()
        .filter(|it| it.phase == Phase::Ready)
        .filter_map(|it| it.offer.as_ref())
        .map(|it| &it.service)
        .collect();
    let mut services = state.import.table.spec().services.iter();
    services.all(|it| offered.contains(&it.name))
}
