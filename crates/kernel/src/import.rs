//! Import: the configuration comes from an external source, whole, version by version.
//!
//! A node with a fast link watches the source by itself ([`Event::Imported`]) and passes what changed on to those that
//! rely on it (`subscription`). A node with a slow link watches only while nobody tells it: a configuration of thousands of
//! routes takes such a link for the better part of a second, a difference for a millisecond. Versions only grow, so
//! whichever way a version comes, a node never moves back within one incarnation.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    event::{self, Event, Notice},
    id::{Name, NodeId},
    kernel::{Context, Plugin, Scope, State},
    members::Phase,
    routing::{Difference, Table},
};

mod confirmation;
mod parts;
mod question;
mod subscription;
mod turn;

use self::{
    confirmation::Confirmation,
    parts::{Arriving, PARTS_MAX, pack, unpack},
    subscription::Subscriptions,
};
pub use self::{
    confirmation::Statement,
    parts::PART_MAX,
    subscription::{Access, Status},
    turn::WATCH_FIRST_MS,
};

inventory::submit! { Plugin { name: "import", order: 16, scope: Scope::Imported, handle } }

/// Longest time that a new process waits until it knows an endpoint of each service, in ms.
///
/// A process that is ready before it knows them refuses its callers' requests, which others would carry. Peers
/// answer a join within a few round trips; where everything starts at once, upstreams announce themselves within
/// 1.5 s. After twice that, some service has none.
pub const SETTLE_MS: u64 = 3_000;
/// Whether a node watches the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Watch {
    /// Always.
    #[default]
    Always,
    /// While nobody tells it of new versions.
    Fallback,
}

/// Whether this node is to watch the source now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Turn {
    /// It is.
    Follow,
    /// Others do it for this node, or it has not started yet.
    #[default]
    Rest,
}

/// What nodes tell one another of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I hold `version`: send me a newer one if you have it, and those that follow for a while.
    Ask { version: u64, status: Status },
    /// How the sender learns of versions and what it knows of the newest; answers each question, and is sent to those that
    /// asked of late when there is news of it.
    Status(Status),
    /// What changed, compressed; sent to those that asked of late.
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
    ready: bool,
    turn: Turn,
    subscriptions: Subscriptions,
    confirmation: Confirmation,
    arriving: Arriving,
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

    /// Time since the source last answered this process, in ms; since the start if it never did.
    pub fn silence(&self, now: Ms) -> u64 {
        now.since(self.answered.max(self.started))
    }

    /// Time since the version in force was known to be the newest, in ms.
    pub fn age(&self, now: Ms) -> u64 {
        self.confirmation.age(now)
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
            if cx.settings.watch == Watch::Always {
                state.import.turn = Turn::Follow;
            }
        }
        Event::Imported(table) => adopt(cx, state, table, "source"),
        Event::Source(source) => follow(cx, state, *source),
        Event::Confirmed { version, age } => confirmation::confirmed(cx, state, *version, *age),
        Event::Message {
            from,
            message: event::Message::Import(message),
        } => received(cx, state, *from, message),
        Event::Tick => {
            settle(cx, state);
            subscription::tick(cx, state);
        }
        _ => {}
    }
}

/// Tells those that rely on this node what changed, whichever way it came: where the source turns all watchers of a
/// zone away, nobody else there would learn it in time.
fn pass_on(cx: &mut Context<'_>, state: &State, before: &Table) {
    let table = &state.import.table;
    let subscribers = state.import.subscriptions.subscribers();
    // Where everybody watches, a difference of thousands of routes would be made for nobody.
    if before.version() == 0 || subscribers.is_empty() {
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
    for to in subscribers {
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
    state.import.subscriptions.informed(cx.now);
    let confirmation = &mut state.import.confirmation;
    confirmation.adopted(cx.now, table.version(), held == 0);
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
    let silent = import.silence(cx.now);
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
        Message::Ask { version, status } => {
            subscription::asked_by(cx, state, from);
            subscription::told(cx, state, from, *status);
            if *version < state.import.table.version() {
                tell(cx, state, from);
            }
            let status = Message::Status(subscription::status(cx, state));
            cx.send(from, event::Message::Import(status));
        }
        Message::Status(status) => {
            state.import.subscriptions.answered_by(cx.now, from);
            subscription::told(cx, state, from, *status);
            confirmation::heard(cx, state, from, status.newest);
        }
        Message::Changed { version, bytes } => changed(cx, state, from, *version, bytes),
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
        return question::ask(cx, state, from);
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

/// Makes the process ready, once, when it holds what it needs to serve.
fn settle(cx: &mut Context<'_>, state: &mut State) {
    if state.import.ready || state.import.table.version() == 0 {
        return;
    }
    // A source that was put back, or answers from an old copy, may hold less than the peers do.
    let compared = state.import.subscriptions.answered();
    let known = state.members.joined() && compared && served(state);
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
