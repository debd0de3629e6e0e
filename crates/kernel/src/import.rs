//! Import: the configuration comes from an external source, whole, version by version.
//!
//! Each node watches the source by itself ([`Event::Imported`]). A node that the source turns away learns from
//! its peers instead: it asks one after the other for a newer version. Versions only grow, so whichever way a
//! version comes, a node never moves back within one incarnation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    event::{self, Event, Notice},
    id::{Name, NodeId},
    kernel::{Context, Plugin, Scope, State},
    members::Phase,
    routing::{Spec, Table},
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
/// Most bytes of a version in one message; under the longest frame of the link.
pub const PART_MAX: usize = 48 * 1024;
/// Most parts that are taken of one version: 4 MiB, some hundred times the largest configuration expected.
const PARTS_MAX: u16 = 85;
/// Compression level: the fastest; a version is packed once per question.
const LEVEL: i32 = 1;

/// What nodes tell one another of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I hold `version`: send me a newer one if you have it.
    Ask { version: u64 },
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
    started: Ms,
    asked: Ms,
    ready: bool,
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

    /// Whether this process holds a configuration and knows who serves it, or has looked for them long enough.
    pub fn ready(&self) -> bool {
        self.ready
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Start => state.import.started = cx.now,
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

fn adopt(cx: &mut Context<'_>, state: &mut State, table: &Arc<Table>, from: &'static str) {
    let held = state.import.table.version();
    if table.version() <= held {
        return;
    }
    state.import.table = table.clone();
    state.import.arriving = Arriving::default();
    let pairs = vec![
        ("version", table.version().to_string()),
        ("before", held.to_string()),
        ("routes", table.spec().routes.len().to_string()),
        ("from", from.to_owned()),
    ];
    cx.log("config-applied", pairs);
    cx.raise(Notice::Imported);
}

fn follow(cx: &mut Context<'_>, state: &mut State, source: Source) {
    if state.import.source == source {
        return;
    }
    state.import.source = source;
    let what = match source {
        Source::Lost => "lost",
        Source::Held => "held",
    };
    cx.log("config-source", vec![("state", what.to_owned())]);
}

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Ask { version } if *version < state.import.table.version() => {
            tell(cx, state, from)
        }
        Message::Ask { .. } => {}
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
        Some(unpack(&packed, version))
    }
}

fn pack(spec: &Spec) -> Result<Vec<u8>, String> {
    let bytes = postcard::to_stdvec(spec).map_err(|it| it.to_string())?;
    zstd::bulk::compress(&bytes, LEVEL).map_err(|it| it.to_string())
}

fn unpack(packed: &[u8], version: u64) -> Result<Table, String> {
    let longest = PART_MAX * usize::from(PARTS_MAX);
    let bytes = zstd::bulk::decompress(packed, longest).map_err(|it| it.to_string())?;
    let spec: Spec = postcard::from_bytes(&bytes).map_err(|it| it.to_string())?;
    if spec.version != version {
        return Err(format!("its parts hold version {}", spec.version));
    }
    Table::new(spec).map_err(|it| it.to_string())
}

fn tick(cx: &mut Context<'_>, state: &mut State) {
    settle(cx, state);
    let gap = match state.import.source {
        Source::Held => ASK_MS,
        Source::Lost => ASK_LOST_MS,
    };
    if cx.now.since(state.import.asked) < gap {
        return;
    }
    // Jitter, so that a herd that started together does not ask in step.
    state.import.asked = Ms(cx.now.0.saturating_sub(cx.rng.random_range(0..=gap / 4)));
    let own = cx.settings.node;
    let peers = state
        .members
        .ready()
        .map(|it| it.id)
        .filter(|it| *it != own);
    let Some(peer) = peers.choose(cx.rng) else {
        return;
    };
    let version = state.import.table.version();
    cx.send(peer, event::Message::Import(Message::Ask { version }));
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
