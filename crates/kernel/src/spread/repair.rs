//! Repair: whatever was lost on its way is fetched from a peer.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::IteratorRandom};

use super::{
    Kind, Message, Standing, Turn, Want,
    history::{Accepts, Refusal},
    readiness, relay, send, take,
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

/// A peer that stays silent for this long is given up, in ms.
const SILENT_MS: u64 = 3_000;

/// The same for a peer that began to send parts, in ms.
const PARTS_MS: u64 = 10_000;

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

/// Peers of the zone, and of other zones, that a node compares with.
const NEAR_MAX: usize = 6;
const ABROAD_MAX: usize = 3;

/// Every this many comparisons a node takes another peer to compare with.
const REPLACED: u32 = 16;

/// What this node knows to be lacking, and how it fetches it.
#[derive(Debug, Default)]
pub struct Repair {
    heard: Seq,
    holder: Option<NodeId>,
    fetch: Fetch,
    tries: u32,
    want: Want,
    due: Ms,
    ballot: Ballot,
    near: Vec<NodeId>,
    abroad: Vec<NodeId>,
}

/// Which peers are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// Those of this node's zone.
    Near,
    /// Those of other zones.
    Abroad,
}

impl Reach {
    fn other(self) -> Reach {
        match self {
            Reach::Near => Reach::Abroad,
            Reach::Abroad => Reach::Near,
        }
    }
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

/// Digests that peers at this node's own position told.
#[derive(Debug, Default)]
struct Ballot {
    seq: Seq,
    votes: BTreeMap<NodeId, u64>,
}

/// Most votes kept.
const BALLOT_MAX: usize = 8;

impl Repair {
    /// The highest position heard of.
    pub fn heard(&self) -> Seq {
        self.heard
    }
}

/// Compares, pulls and gives up on what is silent, each when it is due.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
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

/// Brings the next comparison forward if it is further away than twice `wait`.
pub fn compare_by(cx: &Context<'_>, state: &mut State, wait: u64) {
    let due = &mut state.spread.repair.due;
    if *due > cx.now + 2 * wait {
        *due = cx.now + wait;
    }
}

/// The table holds the log up to `seq`.
pub fn hear_table(state: &mut State, seq: Seq) {
    let it = &mut state.spread.repair;
    it.heard = it.heard.max(seq);
}

/// The log grew: a pull under way is over if nothing more is known to be lacking.
pub fn advanced(cx: &Context<'_>, state: &mut State) {
    let own = state.spread.history.seq();
    let it = &mut state.spread.repair;
    it.tries = 0;
    it.want = Want::Delta;
    it.ballot = Ballot::default();
    match it.fetch {
        _ if own >= it.heard => it.fetch = Fetch::Idle,
        Fetch::Waiting { .. } => {}
        Fetch::Idle | Fetch::Due(_) => it.fetch = Fetch::Due(cx.now + JITTER_MS),
    }
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
        cx.log("spread-mismatch", pairs);
    }
    // A pull under way or due brings what lacks; starting anew would lose the parts that came already.
    if matches!(it.fetch, Fetch::Idle) {
        match it.want {
            Want::Whole => failed(cx, state, 0),
            Want::Delta | Want::Full => it.fetch = Fetch::Due(cx.now),
        }
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
            standing: state.spread.standing(from),
            turn: Turn::Answer,
        };
        send(cx, state, Kind::Repair, from, answer);
    }
    hear(cx, state, from, standing.seq);
    readiness::vote(state, from, standing);
    dispute(cx, state, from, standing);
    answered_empty(cx, state, from, standing.seq);
}

/// Tells a peer where this node is, so that it fetches what it lacks.
pub fn announce(cx: &mut Context<'_>, state: &mut State, to: NodeId) {
    let message = Message::Compare {
        standing: state.spread.standing(to),
        turn: Turn::Answer,
    };
    send(cx, state, Kind::Repair, to, message);
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
    // A new node has to find peers that are ready, which may be few.
    if !state.spread.ready() {
        let peer = peer_where(cx, state, |_| true);
        let witnesses = witness::of(state, cx.settings.node);
        for to in witnesses.into_iter().chain(peer) {
            question(cx, state, to);
        }
        return;
    }
    let reach = match cx.rng.random_ratio(1, ABROAD) {
        true => Reach::Abroad,
        false => Reach::Near,
    };
    let peer = partner(cx, state, reach);
    let other = reach.other();
    if let Some(to) = peer.or_else(|| partner(cx, state, other)) {
        question(cx, state, to);
    }
}

/// A random one of the few peers that this node compares with.
///
/// Were it any peer, every comparison would open a connection; so a node keeps some, and replaces one now
/// and then, so that no group of nodes only ever compares within itself.
fn partner(cx: &mut Context<'_>, state: &mut State, reach: Reach) -> Option<NodeId> {
    let State {
        members, spread, ..
    } = state;
    let (own, zone) = (cx.settings.node, &cx.settings.zone);
    let suits = |it: &&Record| it.id != own && (it.zone == *zone) == (reach == Reach::Near);
    let alive: BTreeSet<NodeId> = members.alive().filter(suits).map(|it| it.id).collect();
    let (partners, most) = match reach {
        Reach::Near => (&mut spread.repair.near, NEAR_MAX),
        Reach::Abroad => (&mut spread.repair.abroad, ABROAD_MAX),
    };
    partners.retain(|it| alive.contains(it));
    if partners.len() == most && cx.rng.random_ratio(1, REPLACED) {
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

fn question(cx: &mut Context<'_>, state: &mut State, to: NodeId) {
    let message = Message::Compare {
        standing: state.spread.standing(to),
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
        _ => PARTS_MS,
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

/// Counts digests at equal positions; a node that several peers contradict fetches the whole state.
fn dispute(cx: &mut Context<'_>, state: &mut State, from: NodeId, standing: &Standing) {
    let own = state.spread.standing(from);
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
        cx.log("spread-dispute", vec![("seq", own.seq.to_string())]);
    }
}
