//! Relays, which get new entries from the committer or the table and push them down their zone's trees.

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

/// Longest back-off after a failed read, and longest wait that a throttling table adds to it, in ms.
const POLL_MAX_MS: u64 = 8_000;

/// Timeout of a read of the table, in ms.
const READ_TIMEOUT_MS: u64 = 5_000;

/// A node that lags by more batches than this reads a snapshot first.
const SNAPSHOT_LAG: u64 = 64;

/// Additional time in ms that a relay waits for a push of the committer or another relay before it
/// pushes what it read from the table.
const ROOT_DELAY_MS: u64 = 500;

/// Most queued pushes, each for another tree.
const QUEUE_MAX: usize = 16;

/// Queued pushes of a relay, or of any inner node of a tree, and reads of the table's head.
#[derive(Debug, Default)]
pub struct Relay {
    /// Time of the next read.
    due: Ms,
    failures: u32,
    reading: Option<HeadRead>,
    queue: BTreeMap<Target, QueuedPush>,
    /// Highest position forwarded down the trees below each root.
    ///
    /// Kept per root, because the trees of two roots that push the same entries overlap. If a node
    /// forwarded only the first push, some nodes would get neither.
    forwarded: BTreeMap<NodeId, Seq>,
    /// Position up to which the zone needs no push from this node as a root.
    covered: Seq,
}

/// Receivers of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Target {
    /// One relay of every zone.
    Zones,
    /// This node's children in the trees below a root.
    Tree(NodeId),
}

/// A push that waits for its window, for the budget or for its entries.
///
/// It covers whatever is applied until it is sent, so a burst costs one net change per service and no
/// receiver misses an entry.
#[derive(Clone, Copy, Debug)]
struct QueuedPush {
    from: Seq,
    due: Ms,
    delayed: Delayed,
}

/// Whether a push has been counted as delayed by the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delayed {
    No,
    Yes,
}

#[derive(Clone, Copy, Debug)]
struct HeadRead {
    call: CallId,
    since: Ms,
}

impl Relay {
    /// Returns the number of queued pushes.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn mark_forwarded(&mut self, root: NodeId, seq: Seq) {
        if self.forwarded.len() >= QUEUE_MAX && !self.forwarded.contains_key(&root) {
            self.forwarded.clear();
        }
        self.forwarded.insert(root, seq);
    }

    fn enqueue(&mut self, target: Target, from: Seq, due: Ms) {
        if self.queue.len() >= QUEUE_MAX && !self.queue.contains_key(&target) {
            return;
        }
        let delayed = Delayed::No;
        let push = self
            .queue
            .entry(target)
            .or_insert(QueuedPush { from, due, delayed });
        push.from = push.from.min(from);
        push.due = push.due.min(due);
    }
}

/// Reads the table's head if this node has to, and queues a push of entries that a relay got otherwise
/// than by a push.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    let relay = tree::is_relay(state, cx.settings);
    state.spread.stats.relay = relay;
    let polls = match cx.settings.spread.mode {
        SpreadMode::Poll => true,
        SpreadMode::Relays => relay && readiness::relay_may_read(cx, state),
    };
    if polls {
        read_head_if_due(cx, state);
    }
    push_as_root(cx, state, relay);
}

/// Queues a push of the entries that this relay applied and that no tree brought.
fn push_as_root(cx: &mut Context<'_>, state: &mut State, relay: bool) {
    let ready = state.spread.ready();
    let seq = state.spread.history.seq();
    let it = &mut state.spread.relay;
    if !it.queue.is_empty() {
        return;
    }
    let forwarded = it.forwarded.values().max().copied().unwrap_or_default();
    let from = it.covered.max(forwarded);
    it.covered = seq;
    let pushes = relay && ready && cx.settings.spread.mode == SpreadMode::Relays;
    if pushes && seq > from {
        let due = cx.now + cx.settings.spread.window + ROOT_DELAY_MS;
        it.enqueue(Target::Tree(cx.settings.node), from, due);
    }
}

/// Queues a push of a position that this node committed to one relay of every zone.
pub fn push_committed(cx: &mut Context<'_>, state: &mut State, seq: Seq) {
    if cx.settings.spread.mode == SpreadMode::Relays {
        let due = cx.now + cx.settings.spread.window;
        let from = Seq(seq.0.saturating_sub(1));
        state.spread.relay.enqueue(Target::Zones, from, due);
    }
}

/// Queues a received push for this node's children, unless as much from that root was forwarded before.
pub fn forward_push(cx: &mut Context<'_>, state: &mut State, root: NodeId, range: &Range) {
    let own = cx.settings.node;
    let seq = state.spread.history.seq();
    let it = &mut state.spread.relay;
    let forwarded = it.forwarded.get(&root).copied().unwrap_or_default();
    if range.to <= forwarded {
        return;
    }
    // Another root pushes the same entries to the zone.
    if root != own && range.to >= seq {
        it.queue.remove(&Target::Tree(own));
    }
    it.enqueue(Target::Tree(root), range.from, cx.now);
}

/// Sends every push that is due, as far as the budget allows.
pub fn flush(cx: &mut Context<'_>, state: &mut State) {
    let queue = &state.spread.relay.queue;
    let due: Vec<(Target, QueuedPush)> = queue
        .iter()
        .filter(|(_, it)| cx.now >= it.due)
        .map(|(target, it)| (*target, *it))
        .collect();
    for (target, queued) in due {
        // The entries to push may not have arrived here yet.
        if state.spread.history.seq() > queued.from {
            flush_one(cx, state, target, queued);
        }
    }
}

fn flush_one(cx: &mut Context<'_>, state: &mut State, target: Target, queued: QueuedPush) {
    let seq = state.spread.history.seq();
    let pushes = match target {
        Target::Zones => zone_relays(cx, state, seq),
        Target::Tree(root) => {
            let children = tree::children(state, cx.settings, root, seq);
            children.into_iter().map(|it| (it, root)).collect()
        }
    };
    // Receivers below the floor need the whole state, which they pull themselves.
    let from = queued.from.max(state.spread.history.floor());
    let form = cx.settings.spread.form;
    let Some(range) = state.spread.history.range(&state.log, from, form) else {
        return;
    };
    let bytes: usize = pushes.len() * (wire::len(&range) + PUSH_OVERHEAD);
    if !pushes.is_empty() && !state.spread.control.allows(cx.now, bytes) {
        return count_delay(state, target);
    }
    let spread = &mut state.spread;
    spread.relay.queue.remove(&target);
    match target {
        Target::Zones => spread.relay.covered = seq,
        Target::Tree(root) => spread.relay.mark_forwarded(root, seq),
    }
    for (to, root) in pushes {
        push(cx, state, to, root, &range);
    }
}

/// Approximate bytes of a push besides its body.
const PUSH_OVERHEAD: usize = 24;

fn push(cx: &mut Context<'_>, state: &mut State, to: NodeId, root: NodeId, range: &Range) {
    if to == cx.settings.node {
        let it = &mut state.spread.relay;
        return it.enqueue(Target::Tree(to), range.from, cx.now);
    }
    let range = range.clone();
    let message = Message::Push { root, range };
    // Too long for one message: the receiver is notified of the position and pulls it in parts.
    if size(&event::Message::Spread(message.clone())) > RANGE_MAX {
        return repair::send_standing(cx, state, to);
    }
    send(cx, state, Kind::Push, to, message);
}

fn count_delay(state: &mut State, target: Target) {
    let spread = &mut state.spread;
    if let Some(it) = spread.relay.queue.get_mut(&target)
        && it.delayed == Delayed::No
    {
        it.delayed = Delayed::Yes;
        spread.stats.delayed += 1;
    }
}

/// Returns one relay of each zone, each also as the root of its push.
///
/// The relays of a zone take turns by position, so a dead relay delays only its share of the pushes.
fn zone_relays(cx: &Context<'_>, state: &mut State, seq: Seq) -> Vec<(NodeId, NodeId)> {
    let zones = tree::zones(state);
    let relays = zones.iter().filter_map(|zone| {
        let relays = tree::relays(state, cx.settings, zone);
        relays.get(seq.0 as usize % relays.len().max(1)).copied()
    });
    relays.map(|it| (it, it)).collect()
}

/// Reads the table's head unless the interval or a back-off lasts.
pub fn read_head_if_due(cx: &mut Context<'_>, state: &mut State) {
    if cx.now >= state.spread.relay.due {
        read_head(cx, state);
    }
}

fn read_head(cx: &mut Context<'_>, state: &mut State) {
    let busy = state.spread.relay.reading;
    if busy.is_some_and(|it| cx.now.since(it.since) < READ_TIMEOUT_MS) {
        return;
    }
    let keys = vec![HEAD_KEY.to_owned()];
    let call = cx.table(TableOp::Get { keys });
    let since = cx.now;
    let jitter = cx.rng.random_range(POLL_MS / 2..=POLL_MS * 3 / 2);
    let relay = &mut state.spread.relay;
    relay.reading = Some(HeadRead { call, since });
    relay.due = cx.now + jitter;
}

/// Handles the answer to a read of the table's head. Ignores answers to calls of other modules.
pub fn handle_table_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    let relay = &mut state.spread.relay;
    if relay.reading.take_if(|it| it.call == call).is_none() {
        return;
    }
    match answer {
        TableAnswer::Rows(rows) => {
            relay.failures = 0;
            handle_head(cx, state, rows);
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

fn handle_head(cx: &mut Context<'_>, state: &mut State, rows: &[Row]) {
    let head = rows.first().map_or(Seq(0), |it| head_seq(&it.value));
    readiness::record_table_head(state, head);
    let lag = head.0.saturating_sub(state.log.seq().0);
    match lag {
        0 => {}
        1..=SNAPSHOT_LAG => state.recovery.start_tail(cx, &state.log),
        _ => state.recovery.start(cx),
    }
}

/// Decodes the value of the head row; zero if it doesn't decode.
fn head_seq(value: &[u8]) -> Seq {
    <[u8; 8]>::try_from(value).map_or(Seq(0), |it| Seq(u64::from_le_bytes(it)))
}
