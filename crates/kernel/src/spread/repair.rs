//! Repair of lost pushes: a node compares its position with peers and pulls what it lacks.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::IteratorRandom};

use super::{
    Kind, Message, Standing, Turn, Want, apply_range,
    history::{Accepts, Refusal},
    readiness, relay, send,
    wire::{Range, UNPACKED_MAX},
    witness,
};
use crate::{
    clock::Ms,
    id::{NodeId, Seq},
    kernel::{Context, State},
    members::Record,
    settings::SpreadMode,
    utils::backoff,
};

/// Timeout of a pull that got no answer yet, in ms.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Timeout of a pull whose peer began to send parts, in ms.
const PART_TIMEOUT_MS: u64 = 10_000;

/// Longest delay in ms before a pull of entries that a peer reported, since a push may bring them.
const JITTER_MS: u64 = 300;

/// First and longest back-off after a failed pull, in ms.
const RETRY_MS: u64 = 250;
const RETRY_MAX_MS: u64 = 8_000;

/// Failed pulls from which on peers of any zone are asked.
const ZONE_ATTEMPTS: u32 = 4;

/// Failed pulls after which the table is read as well.
const PEER_ATTEMPTS: u32 = 8;

/// One comparison in this many is with a peer in another zone.
const REMOTE_RATIO: u32 = 4;

/// Peers in the own zone, and in other zones, that a node compares with.
const LOCAL_PARTNERS: usize = 6;
const REMOTE_PARTNERS: usize = 3;

/// One comparison in this many replaces a partner by another peer.
const REPLACE_RATIO: u32 = 16;

/// State of comparisons and pulls.
#[derive(Debug, Default)]
pub struct Repair {
    /// Highest position reported by peers or the table.
    heard: Seq,
    /// Peer to pull from first: it reported `heard`, or holds a state to replace the own one.
    holder: Option<NodeId>,
    fetch: Fetch,
    attempts: u32,
    want: Want,
    /// Time of the next comparison.
    due: Ms,
    votes: DigestVotes,
    /// Peers to compare with, in the own zone and in other zones.
    local: Vec<NodeId>,
    remote: Vec<NodeId>,
}

/// Whether a peer is in the own zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Locality {
    Local,
    Remote,
}

impl Locality {
    fn other(self) -> Locality {
        match self {
            Locality::Local => Locality::Remote,
            Locality::Remote => Locality::Local,
        }
    }
}

/// State of the current pull.
#[derive(Debug, Default)]
enum Fetch {
    /// Nothing is known to be lacking.
    #[default]
    Idle,
    /// A pull is sent at this time.
    Due(Ms),
    /// A pull was sent.
    Waiting {
        peer: NodeId,
        since: Ms,
        blob: Vec<u8>,
        parts: u32,
    },
}

/// Digests reported by peers at this node's own position.
#[derive(Debug, Default)]
struct DigestVotes {
    seq: Seq,
    by_peer: BTreeMap<NodeId, u64>,
}

/// Most votes kept.
const VOTES_MAX: usize = 8;

impl Repair {
    /// Returns the highest position reported by peers or the table.
    pub fn heard(&self) -> Seq {
        self.heard
    }
}

/// Sends comparisons and pulls that are due, and handles pulls that timed out.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    if cx.settings.spread.mode == SpreadMode::Poll {
        return;
    }
    if cx.now >= state.spread.repair.due {
        compare_with_peer(cx, state);
    }
    match state.spread.repair.fetch {
        Fetch::Due(at) if cx.now >= at => send_pull(cx, state),
        Fetch::Waiting { since, parts, .. } if cx.now.since(since) > pull_timeout(parts) => {
            schedule_retry(cx, state, 0);
        }
        Fetch::Idle | Fetch::Due(_) | Fetch::Waiting { .. } => {}
    }
}

/// Notes that a peer holds the log up to `seq`, and schedules a pull if this node lacks entries.
pub fn note_position(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq) {
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

/// Brings the next comparison forward if it is further away than twice `wait`.
pub fn compare_by(cx: &Context<'_>, state: &mut State, wait: u64) {
    let due = &mut state.spread.repair.due;
    if *due > cx.now + 2 * wait {
        *due = cx.now + wait;
    }
}

/// Notes that the table holds the log up to `seq`.
pub fn note_table_position(state: &mut State, seq: Seq) {
    let it = &mut state.spread.repair;
    it.heard = it.heard.max(seq);
}

/// Handles progress of the log: ends the current pull unless more entries are lacking.
pub fn handle_progress(cx: &Context<'_>, state: &mut State) {
    let own = state.spread.history.seq();
    let it = &mut state.spread.repair;
    it.attempts = 0;
    it.want = Want::Delta;
    it.votes = DigestVotes::default();
    match it.fetch {
        _ if own >= it.heard => it.fetch = Fetch::Idle,
        Fetch::Waiting { .. } => {}
        Fetch::Idle | Fetch::Due(_) => it.fetch = Fetch::Due(cx.now + JITTER_MS),
    }
}

/// Handles a range from `from` that could not be applied.
pub fn handle_refused_range(
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
        // Full texts of the changes didn't help, so the own state differs elsewhere: only the whole
        // state, checked against its own digest, repairs it.
        Refusal::Digest | Refusal::Bad if it.want != Want::Delta => Want::Whole,
        Refusal::Base | Refusal::Digest | Refusal::Bad => Want::Full,
    };
    if refusal != Refusal::Gap {
        stats.mismatches += 1;
        let why = format!("{refusal:?}").to_lowercase();
        let pairs = vec![("from", from.to_string()), ("why", why)];
        cx.log("spread-mismatch", pairs);
    }
    // A pull in progress is kept, so that the parts already received are not lost.
    if matches!(it.fetch, Fetch::Idle) {
        match it.want {
            Want::Whole => schedule_retry(cx, state, 0),
            Want::Delta | Want::Full => it.fetch = Fetch::Due(cx.now),
        }
    }
}

/// Handles a comparison: answers a question and evaluates the peer's position and digest.
pub fn handle_compare(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    standing: &Standing,
    turn: Turn,
) {
    if turn == Turn::Question {
        let answer = Message::Compare {
            standing: state.spread.standing(from),
            turn: Turn::Answer,
        };
        send(cx, state, Kind::Repair, from, answer);
    }
    note_position(cx, state, from, standing.seq);
    readiness::record_standing(state, from, standing);
    check_digest(cx, state, from, standing);
    handle_empty_answer(cx, state, from, standing.seq);
}

/// Sends a peer this node's position, so that it pulls what it lacks.
pub fn send_standing(cx: &mut Context<'_>, state: &mut State, to: NodeId) {
    let message = Message::Compare {
        standing: state.spread.standing(to),
        turn: Turn::Answer,
    };
    send(cx, state, Kind::Repair, to, message);
}

/// Applies the answer to a pull.
pub fn handle_fill(cx: &mut Context<'_>, state: &mut State, from: NodeId, range: &Range) {
    end_pull(state, from);
    let whole = state.spread.repair.want == Want::Whole && range.from == Seq(0);
    let accepts = match whole {
        true => Accepts::Same,
        false => Accepts::Newer,
    };
    apply_range(cx, state, from, range, accepts);
}

/// Adds a received part of a catch-up, and requests the next one or applies the whole range.
pub fn handle_part(
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
        Ok(range) => handle_fill(cx, state, from, &range),
        Err(_) => schedule_retry(cx, state, 0),
    }
}

/// Schedules a retry after a peer refused a pull.
pub fn handle_refusal(cx: &mut Context<'_>, state: &mut State, from: NodeId, after: u64) {
    if is_pulling_from(state, from) {
        schedule_retry(cx, state, after.min(RETRY_MAX_MS));
    }
}

fn compare_with_peer(cx: &mut Context<'_>, state: &mut State) {
    let period = cx.settings.spread.repair.max(2);
    let jitter = cx.rng.random_range(period / 2..=period * 3 / 2);
    state.spread.repair.due = cx.now + jitter;
    // A node that is not ready also asks its witnesses, which may know of a proposed position.
    if !state.spread.ready() {
        let peer = random_peer(cx, state, |_| true);
        let witnesses = witness::witnesses_of(state, cx.settings.node);
        for to in witnesses.into_iter().chain(peer) {
            send_question(cx, state, to);
        }
        return;
    }
    let locality = match cx.rng.random_ratio(1, REMOTE_RATIO) {
        true => Locality::Remote,
        false => Locality::Local,
    };
    let peer = choose_partner(cx, state, locality);
    let other = locality.other();
    if let Some(to) = peer.or_else(|| choose_partner(cx, state, other)) {
        send_question(cx, state, to);
    }
}

/// Returns a random one of the few peers that this node compares with.
///
/// The partners are kept, because a new peer for every comparison would open many connections. One is
/// replaced at times, so that no group of nodes compares only within itself.
fn choose_partner(cx: &mut Context<'_>, state: &mut State, locality: Locality) -> Option<NodeId> {
    let State {
        members, spread, ..
    } = state;
    let (own, zone) = (cx.settings.node, &cx.settings.zone);
    let suits = |it: &&Record| it.id != own && (it.zone == *zone) == (locality == Locality::Local);
    let alive: BTreeSet<NodeId> = members.alive().filter(suits).map(|it| it.id).collect();
    let (partners, most) = match locality {
        Locality::Local => (&mut spread.repair.local, LOCAL_PARTNERS),
        Locality::Remote => (&mut spread.repair.remote, REMOTE_PARTNERS),
    };
    partners.retain(|it| alive.contains(it));
    if partners.len() == most && cx.rng.random_ratio(1, REPLACE_RATIO) {
        partners.remove(cx.rng.random_range(0..most));
    }
    if partners.len() < most {
        let others = alive.iter().filter(|it| !partners.contains(it));
        let drawn = others
            .copied()
            .choose_multiple(cx.rng, most - partners.len());
        partners.extend(drawn);
    }
    partners.iter().copied().choose(cx.rng)
}

fn send_question(cx: &mut Context<'_>, state: &mut State, to: NodeId) {
    let message = Message::Compare {
        standing: state.spread.standing(to),
        turn: Turn::Question,
    };
    send(cx, state, Kind::Repair, to, message);
}

fn send_pull(cx: &mut Context<'_>, state: &mut State) {
    let seq = state.spread.history.seq();
    let it = &state.spread.repair;
    if it.heard <= seq && it.want != Want::Whole {
        state.spread.repair.fetch = Fetch::Idle;
        return;
    }
    let (attempts, want) = (it.attempts, it.want);
    if attempts >= PEER_ATTEMPTS {
        relay::read_head_if_due(cx, state);
    }
    let Some(peer) = choose_source(cx, state, attempts) else {
        return schedule_retry(cx, state, 0);
    };
    state.spread.repair.fetch = Fetch::Waiting {
        peer,
        since: cx.now,
        blob: Vec::new(),
        parts: 0,
    };
    send(cx, state, Kind::Repair, peer, Message::Pull { seq, want });
}

/// Returns the peer to pull from: first the one that reported the position, then peers of the zone, then
/// any peer.
fn choose_source(cx: &mut Context<'_>, state: &State, attempts: u32) -> Option<NodeId> {
    let own = cx.settings.node;
    let holder = state.spread.repair.holder.filter(|it| *it != own);
    if attempts == 0 && holder.is_some() {
        return holder;
    }
    let zone = &cx.settings.zone;
    let local = match attempts < ZONE_ATTEMPTS {
        true => random_peer(cx, state, |it| it.zone == *zone),
        false => None,
    };
    local.or_else(|| random_peer(cx, state, |_| true))
}

fn random_peer(
    cx: &mut Context<'_>,
    state: &State,
    suits: impl Fn(&Record) -> bool,
) -> Option<NodeId> {
    let own = cx.settings.node;
    let suiting = state.members.alive().filter(|it| it.id != own && suits(it));
    suiting.map(|it| it.id).choose(cx.rng)
}

/// Counts a failed pull and schedules the next one after `after` ms and a back-off.
fn schedule_retry(cx: &mut Context<'_>, state: &mut State, after: u64) {
    let it = &mut state.spread.repair;
    it.attempts = it.attempts.saturating_add(1);
    let wait = backoff(cx.rng, RETRY_MS, RETRY_MAX_MS, it.attempts);
    it.fetch = Fetch::Due(cx.now + after + wait);
    state.spread.stats.failures += 1;
}

/// Returns the timeout of a pull in ms. It is longer once parts arrive, since the peer limits their rate.
fn pull_timeout(parts: u32) -> u64 {
    match parts {
        0 => ANSWER_TIMEOUT_MS,
        _ => PART_TIMEOUT_MS,
    }
}

fn is_pulling_from(state: &State, from: NodeId) -> bool {
    matches!(state.spread.repair.fetch, Fetch::Waiting { peer, .. } if peer == from)
}

fn end_pull(state: &mut State, from: NodeId) {
    if is_pulling_from(state, from) {
        state.spread.repair.fetch = Fetch::Idle;
    }
}

/// Schedules a retry if the peer asked by a pull holds no more than this node.
fn handle_empty_answer(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq) {
    let own = state.spread.history.seq();
    if is_pulling_from(state, from) && seq <= own {
        schedule_retry(cx, state, 0);
    }
}

/// Counts the digests of peers at the own position. If several contradict this node, it pulls the whole
/// state.
fn check_digest(cx: &mut Context<'_>, state: &mut State, from: NodeId, standing: &Standing) {
    let own = state.spread.standing(from);
    if standing.seq != own.seq || !standing.ready {
        return;
    }
    let it = &mut state.spread.repair;
    if it.votes.seq != own.seq || it.votes.by_peer.len() >= VOTES_MAX {
        it.votes = DigestVotes {
            seq: own.seq,
            by_peer: BTreeMap::new(),
        };
    }
    it.votes.by_peer.insert(from, standing.digest);
    let count = |digest| {
        it.votes
            .by_peer
            .values()
            .filter(|it| **it == digest)
            .count()
    };
    let against = count(standing.digest);
    if standing.digest != own.digest && against >= 2 && against > count(own.digest) {
        it.holder = Some(from);
        it.want = Want::Whole;
        it.fetch = Fetch::Due(cx.now);
        cx.log("spread-dispute", vec![("seq", own.seq.to_string())]);
    }
}
