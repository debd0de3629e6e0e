//! Spread: accepted configuration on its way to every node.
//!
//! A few relays in each availability zone learn of new log entries from the committer or the table and
//! push them down a tree of bounded degree; every node compares its position with a random peer's now
//! and then and fetches what it lacks. `docs/design/spread.md` tells why.

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
    pacing::Bucket,
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

/// Between nodes that spread configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// News on its way down the tree below `root`.
    Push { root: NodeId, range: Range },
    /// I hold the log up to `seq`: send what follows.
    Pull { seq: Seq, want: Want },
    /// Answers [`Message::Pull`].
    Fill { range: Range },
    /// Where I am; a question asks the receiver to tell the same.
    Compare { standing: Standing, turn: Turn },
    /// One part of an answer to [`Message::Pull`] that is too long for one message.
    Part { idx: u32, of: u32, bytes: Vec<u8> },
    /// Send this part next.
    Next { idx: u32 },
    /// Too busy to answer [`Message::Pull`]: ask somebody else, or again after this many ms.
    Refused { after: u64 },
    /// What the sender and the nodes that report to it hold.
    Report { summary: Summary },
    /// Tell me what every zone reported.
    Ask { number: u64 },
    /// Answers [`Message::Ask`].
    Told { number: u64, summary: Summary },
    /// The sender is about to commit this position; the receiver is one of its witnesses.
    Proposed { seq: Seq },
}

/// What a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Last batch applied.
    pub seq: Seq,
    /// Digest of its whole configuration.
    pub digest: u64,
    /// Whether it has caught up since it started.
    pub ready: bool,
    /// Highest position that the receiver, or the process that it replaces, was about to commit.
    pub proposed: Seq,
}

/// Whether a [`Message::Compare`] wants an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    Question,
    Answer,
}

/// The form in which a node wants what it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Want {
    /// Deltas where possible.
    #[default]
    Delta,
    /// Full texts of what changed.
    Full,
    /// Every service, whatever the asker holds.
    Whole,
}

/// What a message is sent for; bytes are counted by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Down the tree.
    Push,
    /// Comparisons, pulls and their short answers.
    Repair,
    /// Long answers to nodes that lag far behind.
    CatchUp,
    /// Who holds what.
    Report,
}

/// Counters since the process started, and present queue lengths.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Bytes of messages sent, without the link's own.
    pub sent: BTreeMap<Kind, u64>,
    /// Messages sent.
    pub messages: BTreeMap<Kind, u64>,
    /// Catch-ups served to the end.
    pub served: u64,
    /// Catch-ups refused because too many were being served.
    pub refused: u64,
    /// Catch-ups being served.
    pub serving: usize,
    /// Pushes held back because the budget was spent.
    pub delayed: u64,
    /// Pushes waiting to leave.
    pub queued: usize,
    /// Ranges whose base text or digest did not fit.
    pub mismatches: u64,
    /// Pulls that got no answer or a refusal.
    pub failures: u64,
    /// Whether this node is a relay of its zone at present.
    pub relay: bool,
}

/// Configuration on its way.
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
    paced: Bucket,
    catchup: Bucket,
    stats: Stats,
}

impl Spread {
    /// Holds nothing and is not ready.
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
            paced: Bucket::new(settings.spread.budget),
            catchup: Bucket::new(settings.spread.catchup),
            stats: Stats::default(),
        }
    }

    /// Whether this process has reached the highest position heard from several peers or the table.
    ///
    /// Before that it may hold less than the process that it replaced: were it to serve, a restart would
    /// be a step back to older configuration.
    pub fn ready(&self) -> bool {
        matches!(self.start, Start::Ready)
    }

    /// The highest position heard of.
    pub fn heard(&self) -> Seq {
        self.repair.heard().max(self.history.seq())
    }

    /// Digest of the configuration held.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Counters and queue lengths.
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
            proposed: self.proposals.of(to),
        }
    }
}

/// Tells the plug-in that `from` holds the log up to `seq`, as learned from any message.
pub fn hear(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq) {
    repair::hear(cx, state, from, seq);
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    follow(cx, state);
    match event {
        Event::Start => readiness::start(cx, state),
        Event::Message {
            from,
            message: event::Message::Spread(message),
        } => received(cx, state, *from, message),
        Event::Table { call, answer } => relay::answered(cx, state, *call, answer),
        Event::Notice(Notice::Proposed { seq }) => witness::proposed(cx, state, *seq),
        Event::Notice(Notice::Accepted { seq }) => relay::accepted(cx, state, *seq),
        Event::Notice(Notice::Members) => state.spread.trees.clear(),
        Event::Call {
            token,
            call: event::Call::Status,
        } => status::ask(cx, state, *token),
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

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Push { root, range } => {
            take(cx, state, from, range, Accepts::Newer);
            relay::pushed(cx, state, *root, range);
        }
        Message::Fill { range } => repair::filled(cx, state, from, range),
        Message::Pull { seq, want } => catchup::serve(cx, state, from, *seq, *want),
        Message::Compare { standing, turn } => repair::compared(cx, state, from, standing, *turn),
        Message::Part { idx, of, bytes } => repair::part(cx, state, from, (*idx, *of), bytes),
        Message::Next { idx } => catchup::next(cx, state, from, *idx),
        Message::Refused { after } => repair::refused(cx, state, from, *after),
        Message::Report { summary } => status::reported(cx, state, from, summary),
        Message::Ask { number } => status::asked(cx, state, from, *number),
        Message::Told { number, summary } => status::told(cx, state, *number, summary),
        Message::Proposed { seq } => witness::told(state, from, *seq),
    }
}

/// Applies a range that a peer sent, or sees to it that what it needs is fetched.
fn take(cx: &mut Context<'_>, state: &mut State, from: NodeId, range: &Range, accepts: Accepts) {
    let State { spread, log, .. } = state;
    match spread.history.apply(log, range, accepts) {
        Ok(()) => {
            follow(cx, state);
            cx.raise(Notice::Applied { seq: range.to });
        }
        Err(Refusal::Old) => {}
        Err(refusal) => repair::lacking(cx, state, from, range, refusal),
    }
}

/// Takes note of whatever the log applied.
fn follow(cx: &mut Context<'_>, state: &mut State) {
    let State { spread, log, .. } = state;
    let digest = log.digest();
    if digest != spread.digest {
        spread.digest = digest;
        spread.history.follow(log);
        repair::advanced(cx, state);
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
        Kind::Push | Kind::Repair | Kind::Report => spread.paced.spend(cx.now, bytes),
    }
    cx.send(to, message);
}

/// Bytes of a message on the wire, without the link's own.
fn size(message: &event::Message) -> usize {
    postcard::experimental::serialized_size(message).expect("a message encodes")
}
