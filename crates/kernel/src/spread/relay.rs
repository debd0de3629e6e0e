//! Relays: they learn of news from the committer or the table and push it down their zone's trees.

use std::collections::BTreeMap;

use rand::Rng;

use super::{
    Kind, Message, readiness, repair, send, size, tree,
    wire::{self, RANGE_MAX, Range},
};
use crate::{
    accept::HEAD_KEY,
    clock::Ms,
    event,
    id::{CallId, NodeId, Seq},
    kernel::{Context, State},
    platform::{Fault, Row, TableAnswer, TableOp},
    settings::SpreadMode,
    utils::backoff,
};

/// Mean time between two reads of the table's head by a relay, in ms.
pub const POLL_MS: u64 = 1_000;

/// Longest wait between two reads while the table fails, in ms.
const POLL_MAX_MS: u64 = 8_000;

/// A read that is not answered for this long is given up, in ms.
const ANSWER_MS: u64 = 5_000;

/// A node that lags by more batches than this reads a snapshot first.
const SNAPSHOT_LAG: u64 = 64;

/// How much longer a relay that read the table waits for the committer or another relay to push, in ms.
const PATIENCE_MS: u64 = 500;

/// Pushes that may wait at once; each is for another tree.
const QUEUE_MAX: usize = 16;

/// What a relay, or any node inside a tree, has yet to pass on.
#[derive(Debug, Default)]
pub struct Relay {
    due: Ms,
    failures: u32,
    reading: Option<Reading>,
    queue: BTreeMap<Target, Waiting>,
    /// Highest position passed on down the trees below each root.
    ///
    /// By root, because two roots may push the same news: were a node to pass on only the first it hears, two
    /// trees that overlap would each count on the other, and nodes would be left out by both.
    passed: BTreeMap<NodeId, Seq>,
    /// Position up to which this node, as a relay, has seen to its zone.
    rooted: Seq,
}

/// Where a push goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Target {
    /// One relay of every zone.
    Zones,
    /// This node's children in the trees below a root.
    Tree(NodeId),
}

/// A push that waits for its window, for the budget or for what it is about.
///
/// Newest wins: while it waits it covers whatever is applied meanwhile, from the same start, so a burst
/// costs one net change a service and no receiver misses an entry.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    from: Seq,
    due: Ms,
    held: Held,
}

/// Whether a push has been counted as held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    No,
    Yes,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    call: CallId,
    since: Ms,
}

impl Relay {
    /// Pushes that wait to leave.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn pass(&mut self, root: NodeId, seq: Seq) {
        if self.passed.len() >= QUEUE_MAX && !self.passed.contains_key(&root) {
            self.passed.clear();
        }
        self.passed.insert(root, seq);
    }

    fn enqueue(&mut self, target: Target, from: Seq, due: Ms) {
        if self.queue.len() >= QUEUE_MAX && !self.queue.contains_key(&target) {
            return;
        }
        let held = Held::No;
        let waiting = self
            .queue
            .entry(target)
            .or_insert(Waiting { from, due, held });
        waiting.from = waiting.from.min(from);
        waiting.due = waiting.due.min(due);
    }
}

/// Polls the table if this node has to, and notices news that reached a relay otherwise than by push.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    let relay = tree::is_relay(state, cx.settings);
    state.spread.stats.relay = relay;
    let polls = match cx.settings.spread.mode {
        SpreadMode::Poll => true,
        SpreadMode::Relays => relay,
    };
    if polls {
        retry_head(cx, state);
    }
    root(cx, state, relay);
}

/// A relay pushes whatever it applied and no tree brought it, however it learned of it.
fn root(cx: &mut Context<'_>, state: &mut State, relay: bool) {
    let ready = state.spread.ready();
    let seq = state.spread.history.seq();
    let it = &mut state.spread.relay;
    if !it.queue.is_empty() {
        return;
    }
    let passed = it.passed.values().max().copied().unwrap_or_default();
    let from = it.rooted.max(passed);
    it.rooted = seq;
    let pushes = relay && ready && cx.settings.spread.mode == SpreadMode::Relays;
    if pushes && seq > from {
        let due = cx.now + cx.settings.spread.window + PATIENCE_MS;
        it.enqueue(Target::Tree(cx.settings.node), from, due);
    }
}

/// This node committed: it tells one relay of every zone once the window is over.
pub fn accepted(cx: &mut Context<'_>, state: &mut State, seq: Seq) {
    if cx.settings.spread.mode == SpreadMode::Relays {
        let due = cx.now + cx.settings.spread.window;
        let from = Seq(seq.0.saturating_sub(1));
        state.spread.relay.enqueue(Target::Zones, from, due);
    }
}

/// A push arrived: it goes on to this node's children unless news as new from that root went there before.
pub fn pushed(cx: &mut Context<'_>, state: &mut State, root: NodeId, range: &Range) {
    let own = cx.settings.node;
    let seq = state.spread.history.seq();
    let it = &mut state.spread.relay;
    let passed = it.passed.get(&root).copied().unwrap_or_default();
    if range.to <= passed {
        return;
    }
    // Another root sees to the zone.
    if root != own && range.to >= seq {
        it.queue.remove(&Target::Tree(own));
    }
    it.enqueue(Target::Tree(root), range.from, cx.now);
}

/// Sends every push that is due, as far as the budget allows.
pub fn flush(cx: &mut Context<'_>, state: &mut State) {
    let queue = &state.spread.relay.queue;
    let due: Vec<(Target, Waiting)> = queue
        .iter()
        .filter(|(_, it)| cx.now >= it.due)
        .map(|(target, it)| (*target, *it))
        .collect();
    for (target, waiting) in due {
        // What the push is about may itself still be on its way here.
        if state.spread.history.seq() > waiting.from {
            flush_one(cx, state, target, waiting);
        }
    }
}

fn flush_one(cx: &mut Context<'_>, state: &mut State, target: Target, waiting: Waiting) {
    let seq = state.spread.history.seq();
    let pushes = match target {
        Target::Zones => to_zones(cx, state, seq),
        Target::Tree(root) => {
            let children = tree::children(state, cx.settings, root, seq);
            children.into_iter().map(|it| (it, root)).collect()
        }
    };
    // Below the floor only the whole state would do; receivers that lag so far fetch it themselves.
    let from = waiting.from.max(state.spread.history.floor());
    let form = cx.settings.spread.form;
    let Some(range) = state.spread.history.range(&state.log, from, form) else {
        return;
    };
    let bytes: usize = pushes.len() * (wire::len(&range) + HEADER);
    if !pushes.is_empty() && !state.spread.paced.allows(cx.now, bytes) {
        return hold(state, target);
    }
    let spread = &mut state.spread;
    spread.relay.queue.remove(&target);
    match target {
        Target::Zones => spread.relay.rooted = seq,
        Target::Tree(root) => spread.relay.pass(root, seq),
    }
    for (to, root) in pushes {
        push(cx, state, to, root, &range);
    }
}

/// Bytes of a push besides its body, roughly.
const HEADER: usize = 24;

fn push(cx: &mut Context<'_>, state: &mut State, to: NodeId, root: NodeId, range: &Range) {
    if to == cx.settings.node {
        let it = &mut state.spread.relay;
        return it.enqueue(Target::Tree(to), range.from, cx.now);
    }
    let range = range.clone();
    let message = Message::Push { root, range };
    // Too long for one message: the receiver hears of it and fetches it in parts, at its own pace.
    if size(&event::Message::Spread(message.clone())) > RANGE_MAX {
        return repair::announce(cx, state, to);
    }
    send(cx, state, Kind::Push, to, message);
}

fn hold(state: &mut State, target: Target) {
    let spread = &mut state.spread;
    if let Some(it) = spread.relay.queue.get_mut(&target)
        && it.held == Held::No
    {
        it.held = Held::Yes;
        spread.stats.delayed += 1;
    }
}

/// One relay of each zone, a different one for each position: a dead relay delays every other push only.
///
/// The zones are few (17 at the size built for), so this is bounded whatever the number of nodes.
fn to_zones(cx: &Context<'_>, state: &mut State, seq: Seq) -> Vec<(NodeId, NodeId)> {
    let zones = tree::zones(state);
    let relays = zones.iter().filter_map(|zone| {
        let relays = tree::relays(state, cx.settings, zone);
        relays.get(seq.0 as usize % relays.len().max(1)).copied()
    });
    relays.map(|it| (it, it)).collect()
}

/// Reads the table's head unless an earlier failure asks to wait.
pub fn retry_head(cx: &mut Context<'_>, state: &mut State) {
    if cx.now >= state.spread.relay.due {
        read_head(cx, state);
    }
}

fn read_head(cx: &mut Context<'_>, state: &mut State) {
    let busy = state.spread.relay.reading;
    if busy.is_some_and(|it| cx.now.since(it.since) < ANSWER_MS) {
        return;
    }
    let keys = vec![HEAD_KEY.to_owned()];
    let call = cx.table(TableOp::Get { keys });
    let since = cx.now;
    let jitter = cx.rng.random_range(POLL_MS / 2..=POLL_MS * 3 / 2);
    let relay = &mut state.spread.relay;
    relay.reading = Some(Reading { call, since });
    relay.due = cx.now + jitter;
}

/// The table answered a read of this module, or of somebody else.
pub fn answered(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &TableAnswer) {
    let relay = &mut state.spread.relay;
    if relay.reading.take_if(|it| it.call == call).is_none() {
        return;
    }
    match answer {
        TableAnswer::Rows(rows) => {
            relay.failures = 0;
            head_read(cx, state, rows);
        }
        TableAnswer::Failed(fault) => {
            relay.failures += 1;
            let wait = backoff(cx.rng, POLL_MS, POLL_MAX_MS, relay.failures);
            let after = match fault {
                Fault::Throttled { after } => *after,
                Fault::Unavailable | Fault::Unknown | Fault::Invalid(_) => 0,
            };
            relay.due = cx.now + POLL_MS / 2 + wait + after.min(POLL_MAX_MS);
        }
        TableAnswer::Committed | TableAnswer::Conflict(_) => {}
    }
}

fn head_read(cx: &mut Context<'_>, state: &mut State, rows: &[Row]) {
    let head = rows.first().map_or(Seq(0), |it| head_seq(&it.value));
    readiness::table_head(state, head);
    let lag = head.0.saturating_sub(state.log.seq().0);
    match lag {
        0 => {}
        1..=SNAPSHOT_LAG => state.recovery.follow(cx, &state.log),
        _ => state.recovery.start(cx),
    }
}

/// Reads the value of the head row; a value that does not decode counts as nothing heard.
fn head_seq(value: &[u8]) -> Seq {
    <[u8; 8]>::try_from(value).map_or(Seq(0), |it| Seq(u64::from_le_bytes(it)))
}
