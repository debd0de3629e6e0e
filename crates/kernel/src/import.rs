//! Configuration imported from an external source as complete, versioned tables.
//!
//! Some nodes always watch the source ([`Event::Imported`]) and send each change to their subscribers
//! (`subscription`); the others watch it only while they have no publisher ([`Watch`]). Versions only
//! grow, so a process never returns to an older one.

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
mod knowledge;
mod parts;
mod query;
mod subscription;
mod turn;

pub use self::{
    confirmation::Confirmation,
    knowledge::Dated,
    parts::PART_MAX,
    subscription::{Access, Status},
    turn::WATCH_FIRST_MS,
};
use self::{
    confirmation::Freshness,
    knowledge::Knowledge,
    parts::{PARTS_MAX, PartialVersion, pack, unpack},
    subscription::Subscriptions,
};

inventory::submit! { Plugin { name: "import", order: 16, scope: Scope::Imported, handle } }

/// Longest time that a new process that holds a version waits for its peers and for an endpoint of
/// each service before it becomes ready, in ms.
///
/// A process that becomes ready too early rejects requests that other nodes could have carried.
pub const READY_TIMEOUT_MS: u64 = 3_000;

/// When a node watches the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Watch {
    /// Always.
    #[default]
    Always,
    /// Only while the node has no publisher.
    Fallback,
}

/// Whether this node has to watch the source now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Turn {
    /// It has to.
    Follow,
    /// It has a publisher, waits for its turn as a standby, or has not started yet.
    #[default]
    Rest,
}

/// Messages between nodes about versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a version newer than `version`, which the sender holds, and subscribes the sender
    /// to later changes for a while. With customers, `sent` is the sender's clock, to be returned.
    Ask {
        version: u64,
        status: Status,
        sent: Option<Ms>,
    },
    /// How the sender receives versions and its latest confirmation. Answers each `Ask`, and is
    /// also sent to recent subscribers when a newer confirmation arrives. With customers, it is dated.
    Status {
        status: Status,
        dated: Option<Dated>,
    },
    /// A compressed [`Difference`] that leads to `version`; sent to recent subscribers.
    Changed { version: u64, bytes: Vec<u8> },
    /// One of the `parts` parts of the compressed `version`.
    Part {
        version: u64,
        part: u16,
        parts: u16,
        bytes: Vec<u8>,
    },
}

/// State of the watch on the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// The source was not asked yet or does not answer.
    #[default]
    Lost,
    /// The source answers.
    Held,
}

/// The imported configuration.
#[derive(Debug, Default)]
pub struct Import {
    table: Arc<Table>,
    source: Source,
    /// When the source last answered.
    answered_at: Ms,
    /// Number of times that the source stopped answering.
    losses: u64,
    started: Ms,
    ready: bool,
    turn: Turn,
    subscriptions: Subscriptions,
    freshness: Freshness,
    knowledge: Knowledge,
    partial: PartialVersion,
}

impl Import {
    /// Returns the version in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns whether the source answers this node.
    pub fn source(&self) -> Source {
        self.source
    }

    /// Returns the time since the source last answered this process, or since the start if it never
    /// did, in ms.
    pub fn silence(&self, now: Ms) -> u64 {
        now.since(self.answered_at.max(self.started))
    }

    /// Returns the time since the newest known version was last confirmed as the newest, in ms. Until
    /// that version arrives, an older one is in force.
    pub fn age(&self, now: Ms) -> u64 {
        self.freshness.age(now)
    }

    /// Returns the latest time at which the version in force was surely the newest; zero if never.
    ///
    /// Unlike [`Import::age`], neither late messages nor a pause of this process can make it too late.
    pub fn known_since(&self) -> Ms {
        self.knowledge.since()
    }

    /// Returns the time for which the version in force was not surely the newest, or since the start if it never
    /// was, in ms.
    pub fn unknown(&self, now: Ms) -> u64 {
        now.since(self.known_since().max(self.started))
    }

    /// Returns how often the source stopped answering since the process started.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Returns whether this node has to watch the source now.
    pub fn turn(&self) -> Turn {
        self.turn
    }

    /// Returns whether this process holds a configuration and either has joined, compared versions
    /// with a peer and found an endpoint of each service, or waited [`READY_TIMEOUT_MS`].
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
        Event::Imported(table) => apply_version(cx, state, table, "source"),
        Event::Source(source) => record_source_state(cx, state, *source),
        Event::Confirmed { version, asked } => {
            confirmation::handle_confirmed(cx, state, *version, *asked)
        }
        Event::Message {
            from,
            message: event::Message::Import(message),
        } => handle_message(cx, state, *from, message),
        Event::Tick => {
            update_readiness(cx, state);
            subscription::tick(cx, state);
        }
        _ => {}
    }
}

/// Sends the change since `before` to the subscribers that the source does not answer. Versions
/// received from peers are sent on too: if the source rejects all watchers of a zone, its nodes have
/// no other publisher.
fn push_difference(cx: &mut Context<'_>, state: &State, before: &Table) {
    let table = &state.import.table;
    let targets = state.import.subscriptions.push_targets();
    // Without subscribers, don't compute a difference of possibly thousands of routes.
    if before.version() == 0 || targets.is_empty() {
        return;
    }
    let difference = Difference::between(before.spec(), table.spec());
    let bytes = match pack(&difference) {
        Ok(it) => it,
        Err(why) => return log_refusal(cx, cx.settings.node, table.version(), why),
    };
    if bytes.len() > PART_MAX {
        // Subscribers that lack the version ask for it and get it in parts.
        return;
    }
    for to in targets {
        let message = Message::Changed {
            version: table.version(),
            bytes: bytes.clone(),
        };
        cx.send(to, event::Message::Import(message));
    }
}

fn apply_version(cx: &mut Context<'_>, state: &mut State, table: &Arc<Table>, from: &'static str) {
    let held = state.import.table.version();
    if table.version() <= held {
        return;
    }
    let before = std::mem::replace(&mut state.import.table, table.clone());
    state.import.partial = PartialVersion::default();
    state.import.subscriptions.record_informed(cx.now);
    let freshness = &mut state.import.freshness;
    freshness.record_applied(cx.now, table.version(), held == 0);
    state.import.knowledge.record_applied(table.version());
    let pairs = vec![
        ("version", table.version().to_string()),
        ("before", held.to_string()),
        ("routes", table.spec().routes.len().to_string()),
        ("from", from.to_owned()),
    ];
    cx.log("config-applied", pairs);
    cx.raise(Notice::Imported);
    push_difference(cx, state, &before);
}

fn record_source_state(cx: &mut Context<'_>, state: &mut State, source: Source) {
    let import = &mut state.import;
    let silent = import.silence(cx.now);
    if source == Source::Held {
        import.answered_at = cx.now;
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

fn handle_message(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Ask {
            version,
            status,
            sent,
        } => {
            subscription::add_subscriber(cx, state, from);
            subscription::handle_status(cx, state, from, *status);
            if *version < state.import.table.version() {
                send_version(cx, state, from);
            }
            let status = subscription::status_message(cx, state, *sent);
            cx.send(from, event::Message::Import(status));
        }
        Message::Status { status, dated } => {
            state.import.subscriptions.record_answer(cx.now, from);
            subscription::handle_status(cx, state, from, *status);
            if let Some(dated) = dated {
                state.import.knowledge.record_peer(from, dated);
            }
            confirmation::handle_confirmation(cx, state, from, status.newest);
        }
        Message::Changed { version, bytes } => apply_difference(cx, state, from, *version, bytes),
        Message::Part {
            version,
            part,
            parts,
            bytes,
        } => {
            if *version <= state.import.table.version() || *parts > PARTS_MAX || part >= parts {
                return;
            }
            if let Some(table) = state.import.partial.add(*version, *part, *parts, bytes) {
                match table {
                    Ok(table) => apply_version(cx, state, &Arc::new(table), "peer"),
                    Err(why) => log_refusal(cx, from, *version, why),
                }
            }
        }
    }
}

/// Applies a difference, or asks for the whole version if the difference starts from another
/// version than the one held.
fn apply_difference(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    version: u64,
    bytes: &[u8],
) {
    let held = state.import.table.version();
    if version <= held {
        return;
    }
    let difference: Difference = match unpack(bytes) {
        Ok(it) => it,
        Err(why) => return log_refusal(cx, from, version, why),
    };
    let Some(spec) = difference.apply(state.import.table.spec()) else {
        return query::query(cx, state, from);
    };
    match Table::new(spec) {
        Ok(table) => apply_version(cx, state, &Arc::new(table), "peer"),
        Err(error) => log_refusal(cx, from, version, error.to_string()),
    }
}

fn log_refusal(cx: &mut Context<'_>, from: NodeId, version: u64, why: String) {
    let pairs = vec![
        ("version", version.to_string()),
        ("from", from.to_string()),
        ("why", why),
    ];
    cx.log("config-refused", pairs);
}

fn send_version(cx: &mut Context<'_>, state: &State, to: NodeId) {
    let table = &state.import.table;
    let packed = match pack(table.spec()) {
        Ok(it) => it,
        Err(why) => return log_refusal(cx, cx.settings.node, table.version(), why),
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

/// Makes the process ready, once, when it holds a version and knows the endpoints or timed out.
fn update_readiness(cx: &mut Context<'_>, state: &mut State) {
    if state.import.ready || state.import.table.version() == 0 {
        return;
    }
    // The source may answer from an older copy than the peers hold, so compare with a peer first.
    let compared = state.import.subscriptions.has_answer();
    let known = state.members.joined() && compared && all_services_served(state);
    if known || cx.now.since(state.import.started) >= READY_TIMEOUT_MS {
        state.import.ready = true;
        cx.log(
            "ready",
            vec![("version", state.import.table.version().to_string())],
        );
        cx.raise(Notice::Ready);
    }
}

/// Returns whether at least one ready endpoint of each service is known.
fn all_services_served(state: &State) -> bool {
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
