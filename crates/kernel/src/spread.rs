//! Distribution of accepted configuration to every node.
//!
//! A few relays in each availability zone get new log entries from the committer or the table and push
//! them down a tree of bounded degree. Every node compares its position with a random peer's at
//! intervals and pulls what it lacks. See `docs/design/spread.md`.

pub mod catchup;
pub mod history;
pub mod pacing;
pub mod readiness;
pub mod relay;
pub mod repair;
pub mod status;
pub mod tree;
pub mod wire;
pub mod witness;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::status::Status;
use self::{
    catchup::Slots,
    history::{Accepts, History, Refusal},
    pacing::TokenBucket,
    readiness::Start,
    relay::Relay,
    repair::Repair,
    status::{Reports, Summary},
    tree::Trees,
    wire::Range,
    witness::Proposals,
};
use crate::{
    event::{self, Event, Notice},
    id::{NodeId, Seq},
    kernel::{Context, Plugin, Scope, State},
    settings::Settings,
};

inventory::submit! { Plugin { name: "spread", order: 30, scope: Scope::Submitted, handle } }

/// Messages between nodes that distribute configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// New entries, pushed down the tree below `root`.
    Push { root: NodeId, range: Range },
    /// Asks for what follows `seq`, up to which the sender holds the log.
    Pull { seq: Seq, want: Want },
    /// Answers [`Message::Pull`].
    Fill { range: Range },
    /// The sender's position. A question asks the receiver for its own.
    Compare { standing: Standing, turn: Turn },
    /// One part of an answer to [`Message::Pull`] that is too long for one message.
    Part { idx: u32, of: u32, bytes: Vec<u8> },
    /// Asks for this part.
    Next { idx: u32 },
    /// Too busy to answer [`Message::Pull`]. The receiver may ask another peer, or retry after this
    /// many ms.
    Refused { after: u64 },
    /// Positions of the sender and of the nodes that report to it.
    Report { summary: Summary },
    /// Asks for the reports of every zone.
    Ask { number: u64 },
    /// Answers [`Message::Ask`].
    Told { number: u64, summary: Summary },
    /// The sender is about to commit this position; the receiver is one of its witnesses.
    Proposed { seq: Seq },
}

/// Position of a node and the digest of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Last batch applied.
    pub seq: Seq,
    /// Digest of the node's whole configuration.
    pub digest: u64,
    /// Whether the node has caught up since it started.
    pub ready: bool,
    /// Highest position that the receiver, or the process that it replaces, was about to commit, as
    /// far as the sender knows.
    pub proposed: Seq,
}

/// Whether a [`Message::Compare`] wants an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    Question,
    Answer,
}

/// Form in which a node wants the changes that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Want {
    /// Deltas where possible.
    #[default]
    Delta,
    /// Full texts of changed services.
    Full,
    /// Every service, whatever the requester holds.
    Whole,
}

/// Purpose of a message, by which bytes are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Pushes down the trees, and proposals.
    Push,
    /// Comparisons, pulls and refusals.
    Repair,
    /// Answers to pulls.
    CatchUp,
    /// Status reports and queries.
    Report,
}

/// Counters since the process started, and current queue lengths.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Bytes of messages sent, without the link's overhead.
    pub sent: BTreeMap<Kind, u64>,
    /// Messages sent.
    pub messages: BTreeMap<Kind, u64>,
    /// Catch-ups in parts that were served completely.
    pub served: u64,
    /// Catch-ups refused because too many were being served or the budget was spent.
    pub refused: u64,
    /// Catch-ups in parts that are in progress.
    pub serving: usize,
    /// Pushes delayed because the budget was spent.
    pub delayed: u64,
    /// Pushes waiting to be sent.
    pub queued: usize,
    /// Ranges that failed to decode or whose base text or digest didn't match.
    pub mismatches: u64,
    /// Pulls that failed, for instance without an answer or by a refusal.
    pub failures: u64,
    /// Whether this node is currently a relay of its zone.
    pub relay: bool,
}

/// State of the distribution of configuration.
#[derive(Debug)]
pub struct Spread {
    history: History,
    digest: u64,
    trees: Trees,
    relay: Relay,
    repair: Repair,
    start: Start,
    proposals: Proposals,
    slots: Slots,
    reports: Reports,
    /// Byte budget for all messages but catch-ups.
    control: TokenBucket,
    /// Byte budget for catch-ups.
    catchup: TokenBucket,
    stats: Stats,
}

impl Spread {
    /// Creates an empty state that is not ready.
    pub fn new(settings: &Settings) -> Spread {
        Spread {
            history: History::default(),
            digest: 0,
            trees: Trees::default(),
            relay: Relay::default(),
            repair: Repair::default(),
            start: Start::default(),
            proposals: Proposals::default(),
            slots: Slots::new(),
            reports: Reports::default(),
            control: TokenBucket::new(settings.spread.budget),
            catchup: TokenBucket::new(settings.spread.catchup),
            stats: Stats::default(),
        }
    }

    /// Returns whether this process has reached the highest position that several peers or the table
    /// reported.
    ///
    /// Before that it may hold less than the process that it replaced, and serving would be a step back
    /// to older configuration.
    pub fn ready(&self) -> bool {
        matches!(self.start, Start::Ready)
    }

    /// Returns the highest known position, whether held or only reported by others.
    pub fn heard(&self) -> Seq {
        self.repair.heard().max(self.history.seq())
    }

    /// Returns the digest of the configuration held.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns counters and queue lengths.
    pub fn stats(&self) -> Stats {
        Stats {
            serving: self.slots.len(),
            queued: self.relay.queued(),
            ..self.stats.clone()
        }
    }

    fn standing(&self, to: NodeId) -> Standing {
        Standing {
            seq: self.history.seq(),
            digest: self.digest,
            ready: self.ready(),
            proposed: self.proposals.position(to),
        }
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    follow_log(cx, state);
    match event {
        Event::Start => readiness::start(cx, state),
        Event::Message {
            from,
            message: event::Message::Spread(message),
        } => handle_message(cx, state, *from, message),
        Event::Table { call, answer } => relay::handle_table_answer(cx, state, *call, answer),
        Event::Notice(Notice::Proposed { seq }) => witness::notify_witnesses(cx, state, *seq),
        Event::Notice(Notice::Accepted { seq }) => relay::push_committed(cx, state, *seq),
        Event::Notice(Notice::Members) => state.spread.trees.clear(),
        Event::Call {
            token,
            call: event::Call::Status,
        } => status::query(cx, state, *token),
        Event::Tick => {
            readiness::tick(cx, state);
            catchup::serve_parts(cx, state);
            repair::tick(cx, state);
            relay::tick(cx, state);
            status::tick(cx, state);
        }
        _ => return,
    }
    relay::flush(cx, state);
}

fn handle_message(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Push { root, range } => {
            apply_range(cx, state, from, range, Accepts::Newer);
            relay::forward_push(cx, state, *root, range);
        }
        Message::Fill { range } => repair::handle_fill(cx, state, from, range),
        Message::Pull { seq, want } => catchup::serve_pull(cx, state, from, *seq, *want),
        Message::Compare { standing, turn } => {
            repair::handle_compare(cx, state, from, standing, *turn)
        }
        Message::Part { idx, of, bytes } => {
            repair::handle_part(cx, state, from, (*idx, *of), bytes)
        }
        Message::Next { idx } => catchup::handle_next(cx, state, from, *idx),
        Message::Refused { after } => repair::handle_refusal(cx, state, from, *after),
        Message::Report { summary } => status::handle_report(cx, state, from, summary),
        Message::Ask { number } => status::handle_ask(cx, state, from, *number),
        Message::Told { number, summary } => status::handle_told(cx, state, *number, summary),
        Message::Proposed { seq } => witness::record_proposal(state, from, *seq),
    }
}

/// Applies a range that a peer sent, or schedules a pull if that fails.
fn apply_range(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    range: &Range,
    accepts: Accepts,
) {
    let State { spread, log, .. } = state;
    match spread.history.apply(log, range, accepts) {
        Ok(()) => {
            follow_log(cx, state);
            cx.raise(Notice::Applied { seq: range.to });
        }
        Err(Refusal::Old) => {}
        Err(refusal) => repair::handle_refused_range(cx, state, from, range, refusal),
    }
}

/// Records the batches that the log applied since the last call.
fn follow_log(cx: &mut Context<'_>, state: &mut State) {
    let State { spread, log, .. } = state;
    let digest = log.digest();
    if digest != spread.digest {
        spread.digest = digest;
        spread.history.follow(log);
        repair::handle_progress(cx, state);
    }
}

/// Sends a message and counts its bytes.
fn send(cx: &mut Context<'_>, state: &mut State, kind: Kind, to: NodeId, message: Message) {
    let message = event::Message::Spread(message);
    let bytes = size(&message);
    let spread = &mut state.spread;
    *spread.stats.sent.entry(kind).or_default() += bytes as u64;
    *spread.stats.messages.entry(kind).or_default() += 1;
    match kind {
        Kind::CatchUp => spread.catchup.spend(cx.now, bytes),
        Kind::Push | Kind::Repair | Kind::Report => spread.control.spend(cx.now, bytes),
    }
    cx.send(to, message);
}

/// Returns the bytes of a message on the wire, without the link's overhead.
fn size(message: &event::Message) -> usize {
    postcard::experimental::serialized_size(message).expect("a message encodes")
}
