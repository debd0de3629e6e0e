//! Repair: whatever was lost on its way is fetched from a peer, and a new node catches up.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::IteratorRandom};

use super::{
    Kind, Message, Standing, Turn, Want,
    history::{Accepts, Refusal},
    relay, send, size, take,
    wire::{RANGE_MAX, Range, UNPACKED_MAX},
};
use crate::{
    clock::Ms,
    event::{self, Notice},
    id::{NodeId, Seq},
    kernel::{Context, State},
    members::Record,
    settings::{SpreadForm, SpreadMode},
    utils::backoff,
};

/// A peer that stays silent for this long is given up, in ms.
const SILENT_MS: u64 = 3_000;

/// Longest pause before a pull on hearing of news; a push may be about to bring it.
const JITTER_MS: u64 = 300;

/// First and longest wait after a pull that failed, in ms.
const RETRY_MS: u64 = 250;
const RETRY_MAX_MS: u64 = 8_000;

/// Pulls from peers of the zone, then from any, before the table is read as well.
const ZONE_TRIES: u32 = 4;
const PEER_TRIES: u32 = 8;

/// One comparison in this many is with a peer of another zone.
const ABROAD: u32 = 4;

/// Peers that have to confirm a position before a new node counts as caught up.
const VOTES: usize = 3;

/// Time between two questions of a node that is not ready, in ms.
const ASK_MS: u64 = 200;

/// How long a new node asks peers only; then it also reads the table, at a random moment.
const PEERS_ONLY_MS: u64 = 4_000;

/// A catch-up whose asker stays silent for this long is given up, in ms.
const SLOT_MS: u64 = 10_000;

/// Time after which a refused asker may come back, for each catch-up under way, in ms.
const SLOT_WAIT_MS: u64 = 500;

/// State of repair in both roles.
#[derive(Debug, Default)]
pub struct Repair {
    heard: Seq,
    holder: Option<NodeId>,
    fetch: Fetch,
    tries: u32,
    want: Want,
    due: Ms,
    start: Start,
    ballot: Ballot,
    slots: BTreeMap<NodeId, Slot>,
}

/// The present pull.
#[derive(Debug, Default)]
enum Fetch {
    /// Nothing is known to be lacking.
    #[default]
    Idle,
    /// A pull leaves at this time.
    Due(Ms),
    /// A peer was asked.
    Waiting {
        peer: NodeId,
        since: Ms,
        blob: Vec<u8>,
        parts: u32,
    },
}

/// How far a new process is with catching up.
#[derive(Debug)]
enum Start {
    /// Peers that are ready and told their position; whether the table told its own.
    New {
        table_at: Ms,
        votes: BTreeSet<NodeId>,
        table: Table,
    },
    Ready,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Table {
    Unread,
    Read,
}

impl Default for Start {
    fn default() -> Start {
        Start::New {
            table_at: Ms(0),
            votes: BTreeSet::new(),
            table: Table::Unread,
        }
    }
}

/// Digests that peers at this node's own position told.
#[derive(Debug, Default)]
struct Ballot {
    seq: Seq,
    votes: BTreeMap<NodeId, u64>,
}

/// Most votes kept.
const BALLOT_MAX: usize = 8;

/// A catch-up being served: an encoded [`Range`] in parts.
#[derive(Debug)]
struct Slot {
    blob: Vec<u8>,
    used: Ms,
    asked: Option<u32>,
}

impl Repair {
    /// Whether this process has caught up since it started.
    pub fn ready(&self) -> bool {
        matches!(self.start, Start::Ready)
    }

    /// The highest position heard of.
    pub fn heard(&self) -> Seq {
        self.heard
    }

    /// Catch-ups being served.
    pub fn serving(&self) -> usize {
        self.slots.len()
    }
}

/// Sets the moment from which a node without news from peers reads the table.
pub fn start(cx: &mut Context<'_>, state: &mut State) {
    let alone = cx.settings.peers.is_empty();
    let wait = match (alone, cx.settings.spread.mode) {
        (true, _) | (_, SpreadMode::Poll) => 0,
        // A herd that starts together reads the table spread over this long, not at once.
        (false, SpreadMode::Relays) => cx.rng.random_range(PEERS_ONLY_MS..=2 * PEERS_ONLY_MS),
    };
    if let Start::New { table_at, .. } = &mut state.spread.repair.start {
        *table_at = cx.now + wait;
    }
}

/// Compares, pulls, serves parts and gives up on what is silent, each when it is due.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    serve_parts(cx, state);
    starting(cx, state);
    if cx.settings.spread.mode == SpreadMode::Poll {
        return;
    }
    if cx.now >= state.spread.repair.due {
        compare(cx, state);
    }
    match state.spread.repair.fetch {
        Fetch::Due(at) if cx.now >= at => pull(cx, state),
        Fetch::Waiting { since, parts, .. } if cx.now.since(since) > patience(parts) => {
            failed(cx, state, 0);
        }
        Fetch::Idle | Fetch::Due(_) | Fetch::Waiting { .. } => {}
    }
}

/// A peer holds the log up to `seq`.
pub fn hear(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq) {
    let jitter = cx.rng.random_range(0..=JITTER_MS);
    let own = state.spread.history.seq();
    let it = &mut state.spread.repair;
    if seq > it.heard {
        it.heard = seq;
        it.holder = Some(from);
    }
    if seq > own && matches!(it.fetch, Fetch::Idle) {
        it.fetch = Fetch::Due(cx.now + jitter);
    }
}

/// The table's head is at `seq`.
pub fn table_head(state: &mut State, seq: Seq) {
    let it = &mut state.spread.repair;
    it.heard = it.heard.max(seq);
    if let Start::New { table, .. } = &mut it.start {
        *table = Table::Read;
    }
}

/// The log grew: a pull under way is over if nothing more is known to be lacking.
pub fn advanced(cx: &Context<'_>, state: &mut State) {
    let own = state.spread.history.seq();
    let it = &mut state.spread.repair;
    it.tries = 0;
    it.want = Want::Delta;
    it.ballot = Ballot::default();
    it.fetch = match own < it.heard {
        true => Fetch::Due(cx.now + JITTER_MS),
        false => Fetch::Idle,
    };
}

/// A range from `from` could not be applied.
pub fn lacking(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    range: &Range,
    refusal: Refusal,
) {
    let stats = &mut state.spread.stats;
    let it = &mut state.spread.repair;
    it.heard = it.heard.max(range.to);
    it.holder = Some(from);
    it.want = match refusal {
        Refusal::Old => return,
        Refusal::Gap => it.want,
        // A wrong digest stays wrong by any delta and by full texts of what changed: only the whole
        // state, checked against its own digest, gets the node out of it.
        Refusal::Digest | Refusal::Bad if it.want != Want::Delta => Want::Whole,
        Refusal::Base | Refusal::Digest | Refusal::Bad => Want::Full,
    };
    if refusal != Refusal::Gap {
        stats.mismatches += 1;
        let why = format!("{refusal:?}").to_lowercase();
        let pairs = vec![("from", from.to_string()), ("why", why)];
        cx.log("spread.mismatch", pairs);
    }
    match it.fetch {
        Fetch::Waiting { peer, .. } if peer != from => {}
        _ if it.want == Want::Whole => failed(cx, state, 0),
        _ => it.fetch = Fetch::Due(cx.now),
    }
}

/// A peer told where it is.
pub fn compared(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    standing: &Standing,
    turn: Turn,
) {
    if turn == Turn::Question {
        let answer = Message::Compare {
            standing: state.spread.standing(),
            turn: Turn::Answer,
        };
        send(cx, state, Kind::Repair, from, answer);
    }
    hear(cx, state, from, standing.seq);
    vote(state, from, standing);
    dispute(cx, state, from, standing);
    answered_empty(cx, state, from, standing.seq);
}

/// Tells a peer where this node is, so that it fetches what it lacks.
pub fn announce(cx: &mut Context<'_>, state: &mut State, to: NodeId) {
    let message = Message::Compare {
        standing: state.spread.standing(),
        turn: Turn::Answer,
    };
    send(cx, state, Kind::Repair, to, message);
}

/// A peer asks for what it lacks.
pub fn serve(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq, want: Want) {
    let form = match want {
        Want::Delta => cx.settings.spread.form,
        Want::Full | Want::Whole => SpreadForm::Full,
    };
    let (start, lacks) = match want {
        Want::Whole => (Seq(0), state.spread.history.seq() >= seq),
        Want::Delta | Want::Full => (seq, state.spread.history.seq() > seq),
    };
    let range = match lacks {
        true => state.spread.history.range(&state.log, start, form),
        false => None,
    };
    let Some(range) = range else {
        return announce(cx, state, from);
    };
    let blob = postcard::to_stdvec(&range).expect("a range encodes");
    if blob.len() > RANGE_MAX {
        return open_slot(cx, state, from, blob);
    }
    let message = Message::Fill { range };
    let bytes = size(&event::Message::Spread(message.clone()));
    match state.spread.catchup.allows(cx.now, bytes) {
        true => send(cx, state, Kind::CatchUp, from, message),
        false => refuse(cx, state, from),
    }
}

/// A peer wants the next part of its catch-up.
pub fn next(cx: &mut Context<'_>, state: &mut State, from: NodeId, idx: u32) {
    match state.spread.repair.slots.get_mut(&from) {
        Some(slot) => {
            slot.asked = Some(idx);
            slot.used = cx.now;
            serve_parts(cx, state);
        }
        None => refuse(cx, state, from),
    }
}

/// A peer sent what this node lacked.
pub fn filled(cx: &mut Context<'_>, state: &mut State, from: NodeId, range: &Range) {
    end_wait(state, from);
    let whole = state.spread.repair.want == Want::Whole && range.from == Seq(0);
    let accepts = match whole {
        true => Accepts::Same,
        false => Accepts::Newer,
    };
    take(cx, state, from, range, accepts);
}

/// A part of a catch-up arrived.
pub fn part(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    (idx, of): (u32, u32),
    bytes: &[u8],
) {
    let Fetch::Waiting {
        peer,
        since,
        blob,
        parts,
    } = &mut state.spread.repair.fetch
    else {
        return;
    };
    if *peer != from || *parts != idx || blob.len() + bytes.len() > UNPACKED_MAX {
        return;
    }
    blob.extend_from_slice(bytes);
    *parts += 1;
    *since = cx.now;
    if *parts < of {
        let next = Message::Next { idx: *parts };
        return send(cx, state, Kind::Repair, from, next);
    }
    let blob = std::mem::take(blob);
    match postcard::from_bytes::<Range>(&blob) {
        Ok(range) => filled(cx, state, from, &range),
        Err(_) => failed(cx, state, 0),
    }
}

/// A peer is too busy.
pub fn refused(cx: &mut Context<'_>, state: &mut State, from: NodeId, after: u64) {
    if waits_for(state, from) {
        failed(cx, state, after.min(RETRY_MAX_MS));
    }
}

fn compare(cx: &mut Context<'_>, state: &mut State) {
    let period = cx.settings.spread.repair.max(2);
    let jitter = cx.rng.random_range(period / 2..=period * 3 / 2);
    state.spread.repair.due = cx.now + jitter;
    let abroad = cx.rng.random_ratio(1, ABROAD);
    let zone = &cx.settings.zone;
    let peer = match abroad {
        true => peer_where(cx, state, |it| it.zone != *zone),
        false => peer_where(cx, state, |it| it.zone == *zone),
    };
    if let Some(to) = peer.or_else(|| peer_where(cx, state, |_| true)) {
        question(cx, state, to);
    }
}

fn question(cx: &mut Context<'_>, state: &mut State, to: NodeId) {
    let message = Message::Compare {
        standing: state.spread.standing(),
        turn: Turn::Question,
    };
    send(cx, state, Kind::Repair, to, message);
}

fn pull(cx: &mut Context<'_>, state: &mut State) {
    let seq = state.spread.history.seq();
    let it = &state.spread.repair;
    if it.heard <= seq && it.want != Want::Whole {
        state.spread.repair.fetch = Fetch::Idle;
        return;
    }
    let (tries, want) = (it.tries, it.want);
    if tries >= PEER_TRIES {
        relay::retry_head(cx, state);
    }
    let Some(peer) = source(cx, state, tries) else {
        return failed(cx, state, 0);
    };
    state.spread.repair.fetch = Fetch::Waiting {
        peer,
        since: cx.now,
        blob: Vec::new(),
        parts: 0,
    };
    send(cx, state, Kind::Repair, peer, Message::Pull { seq, want });
}

/// Whom to ask: who told of the news first, then peers of the zone, then any peer.
fn source(cx: &mut Context<'_>, state: &State, tries: u32) -> Option<NodeId> {
    let own = cx.settings.node;
    let holder = state.spread.repair.holder.filter(|it| *it != own);
    if tries == 0 && holder.is_some() {
        return holder;
    }
    let zone = &cx.settings.zone;
    let near = match tries < ZONE_TRIES {
        true => peer_where(cx, state, |it| it.zone == *zone),
        false => None,
    };
    near.or_else(|| peer_where(cx, state, |_| true))
}

fn peer_where(
    cx: &mut Context<'_>,
    state: &State,
    suits: impl Fn(&Record) -> bool,
) -> Option<NodeId> {
    let own = cx.settings.node;
    let suiting = state.members.alive().filter(|it| it.id != own && suits(it));
    suiting.map(|it| it.id).choose(cx.rng)
}

fn failed(cx: &mut Context<'_>, state: &mut State, after: u64) {
    let it = &mut state.spread.repair;
    it.tries = it.tries.saturating_add(1);
    let wait = backoff(cx.rng, RETRY_MS, RETRY_MAX_MS, it.tries);
    it.fetch = Fetch::Due(cx.now + after + wait);
    state.spread.stats.failures += 1;
}

/// A peer that began to send parts paces them; it is given more time than one that said nothing.
fn patience(parts: u32) -> u64 {
    match parts {
        0 => SILENT_MS,
        _ => SLOT_MS,
    }
}

fn waits_for(state: &State, from: NodeId) -> bool {
    matches!(state.spread.repair.fetch, Fetch::Waiting { peer, .. } if peer == from)
}

fn end_wait(state: &mut State, from: NodeId) {
    if waits_for(state, from) {
        state.spread.repair.fetch = Fetch::Idle;
    }
}

/// The peer that was asked turns out to hold no more than this node.
fn answered_empty(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq) {
    let own = state.spread.history.seq();
    if waits_for(state, from) && seq <= own {
        failed(cx, state, 0);
    }
}

/// A peer that is itself not ready has nothing to vouch for: a herd that starts together would agree on
/// an empty configuration and serve it.
fn vote(state: &mut State, from: NodeId, standing: &Standing) {
    if let Start::New { votes, .. } = &mut state.spread.repair.start
        && standing.ready
        && votes.len() < VOTES
    {
        votes.insert(from);
    }
}

/// Counts digests at equal positions; a node that several peers contradict fetches the whole state.
fn dispute(cx: &mut Context<'_>, state: &mut State, from: NodeId, standing: &Standing) {
    let own = state.spread.standing();
    if standing.seq != own.seq || !standing.ready {
        return;
    }
    let it = &mut state.spread.repair;
    if it.ballot.seq != own.seq || it.ballot.votes.len() >= BALLOT_MAX {
        it.ballot = Ballot {
            seq: own.seq,
            votes: BTreeMap::new(),
        };
    }
    it.ballot.votes.insert(from, standing.digest);
    let count = |digest| it.ballot.votes.values().filter(|it| **it == digest).count();
    let against = count(standing.digest);
    if standing.digest != own.digest && against >= 2 && against > count(own.digest) {
        it.holder = Some(from);
        it.want = Want::Whole;
        it.fetch = Fetch::Due(cx.now);
        cx.log("spread.dispute", vec![("seq", own.seq.to_string())]);
    }
}

/// Asks around until enough peers, or the table, confirmed what this process has reached.
fn starting(cx: &mut Context<'_>, state: &mut State) {
    let own = state.spread.history.seq();
    let others = state.members.alive().count() - 1;
    let it = &mut state.spread.repair;
    let Start::New {
        table_at,
        votes,
        table,
    } = &it.start
    else {
        return;
    };
    let voted = others > 0 && votes.len() >= VOTES.min(others);
    if (voted || *table == Table::Read) && own >= it.heard {
        it.start = Start::Ready;
        cx.log("spread.ready", vec![("seq", own.to_string())]);
        return cx.raise(Notice::Ready);
    }
    let reads = cx.now >= *table_at && *table == Table::Unread;
    if reads {
        relay::retry_head(cx, state);
    }
    let it = &mut state.spread.repair;
    if it.due > cx.now + 2 * ASK_MS {
        it.due = cx.now + cx.rng.random_range(ASK_MS / 2..=2 * ASK_MS);
    }
}

fn open_slot(cx: &mut Context<'_>, state: &mut State, from: NodeId, blob: Vec<u8>) {
    let slots = &mut state.spread.repair.slots;
    if slots.len() >= cx.settings.spread.slots.max(1) && !slots.contains_key(&from) {
        return refuse(cx, state, from);
    }
    let slot = Slot {
        blob,
        used: cx.now,
        asked: Some(0),
    };
    slots.insert(from, slot);
    serve_parts(cx, state);
}

fn refuse(cx: &mut Context<'_>, state: &mut State, from: NodeId) {
    state.spread.stats.refused += 1;
    let busy = state.spread.repair.slots.len() as u64;
    let after = SLOT_WAIT_MS * (busy + 1);
    send(cx, state, Kind::Repair, from, Message::Refused { after });
}

/// Sends the parts that were asked for, as far as the allowance for catch-ups goes.
fn serve_parts(cx: &mut Context<'_>, state: &mut State) {
    let slots = &mut state.spread.repair.slots;
    slots.retain(|_, it| cx.now.since(it.used) <= SLOT_MS);
    let asked = slots.iter().filter_map(|(to, it)| Some((*to, it.asked?)));
    let asked: Vec<(NodeId, u32)> = asked.collect();
    for (to, idx) in asked {
        serve_part(cx, state, to, idx);
    }
}

fn serve_part(cx: &mut Context<'_>, state: &mut State, to: NodeId, idx: u32) {
    let Some(slot) = state.spread.repair.slots.get_mut(&to) else {
        return;
    };
    let of = slot.blob.len().div_ceil(RANGE_MAX) as u32;
    let Some(bytes) = slot.blob.chunks(RANGE_MAX).nth(idx as usize) else {
        slot.asked = None;
        return;
    };
    if !state.spread.catchup.allows(cx.now, bytes.len()) {
        return;
    }
    let bytes = bytes.to_vec();
    slot.asked = None;
    slot.used = cx.now;
    if idx + 1 == of {
        state.spread.repair.slots.remove(&to);
        state.spread.stats.served += 1;
    }
    send(
        cx,
        state,
        Kind::CatchUp,
        to,
        Message::Part { idx, of, bytes },
    );
}
