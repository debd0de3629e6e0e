//! Readiness: a new process doesn't serve before it has caught up.

use std::collections::BTreeSet;

use rand::Rng;

use super::{Standing, relay, repair, witness};
use crate::{
    clock::Ms,
    event::Notice,
    id::{NodeId, Seq},
    kernel::{Context, State},
    settings::SpreadMode,
};

/// Peers that have to confirm a position before a new node counts as caught up.
const VOTES: usize = 3;

/// Time between two questions of a node that is not ready, in ms.
const ASK_MS: u64 = 200;

/// How long a new node asks peers only; then it also reads the table, at a random moment.
const PEERS_ONLY_MS: u64 = 4_000;

/// A relay that is not ready waits this part of the time that others wait: 1 to 2 s.
const RELAY_PART: u64 = 4;

/// How far a new process is with catching up.
#[derive(Debug)]
pub enum Start {
    /// It may hold less than others do.
    New {
        /// When it begins to read the table.
        table_at: Ms,
        /// When it begins to, if it is a relay.
        relay_at: Ms,
        /// Peers that are ready and told their position.
        votes: BTreeSet<NodeId>,
        /// Peers that told anything, ready or not.
        told: BTreeSet<NodeId>,
        /// Highest position that the process before this one was about to commit, as far as told.
        proposed: Seq,
        /// Whether the table told its own position.
        table: Table,
    },
    /// It reached all that was heard of.
    Ready,
}

/// Whether the table's head was read since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Not yet.
    Unread,
    /// At least once.
    Read,
}

impl Default for Start {
    fn default() -> Start {
        Start::New {
            table_at: Ms(0),
            relay_at: Ms(0),
            votes: BTreeSet::new(),
            told: BTreeSet::new(),
            proposed: Seq::default(),
            table: Table::Unread,
        }
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
    if let Start::New {
        table_at, relay_at, ..
    } = &mut state.spread.start
    {
        *table_at = cx.now + wait;
        *relay_at = cx.now + wait / RELAY_PART;
    }
}

/// Whether a relay may read the table.
///
/// A process that has just started knows few members, and so seems to be a relay of its zone. If it read at
/// once, every node of a herd would read the whole log from the table although its peers hold it. After a second
/// it knows its zone, and its peers have mostly made it ready. Where all of a fleet starts anew, the true relays
/// still read some seconds before the others would.
pub fn relay_may_read(cx: &Context<'_>, state: &State) -> bool {
    match &state.spread.start {
        Start::New { relay_at, .. } => cx.now >= *relay_at,
        Start::Ready => true,
    }
}

/// A peer that is itself not ready has nothing to vouch for: a herd that starts together would agree on
/// an empty configuration and serve it.
pub fn vote(state: &mut State, from: NodeId, standing: &Standing) {
    let Start::New {
        votes,
        told,
        proposed,
        ..
    } = &mut state.spread.start
    else {
        return;
    };
    told.insert(from);
    *proposed = standing.proposed.max(*proposed);
    if standing.ready {
        votes.insert(from);
    }
}

/// The table's head is at `seq`.
pub fn table_head(state: &mut State, seq: Seq) {
    repair::hear_table(state, seq);
    if let Start::New { table, .. } = &mut state.spread.start {
        *table = Table::Read;
    }
}

/// Asks around until enough peers, or the table, confirmed what this process has reached.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    let Start::New {
        table_at, table, ..
    } = state.spread.start
    else {
        return;
    };
    let seq = state.spread.history.seq();
    let confirmed = table == Table::Read || vouched(cx, state);
    if confirmed && seq >= state.spread.heard() {
        state.spread.start = Start::Ready;
        cx.log("spread-ready", vec![("seq", seq.to_string())]);
        return cx.raise(Notice::Ready);
    }
    if cx.now >= table_at && table == Table::Unread {
        relay::retry_head(cx, state);
    }
    let soon = cx.rng.random_range(ASK_MS / 2..=2 * ASK_MS);
    repair::compare_by(cx, state, soon);
}

/// Whether peers confirmed this process's position without the table.
///
/// Any peers can tell what has spread. What the process before this one was about to commit is known to its
/// witnesses only, so most of them have to be among those who told; a witness that was itself restarted has
/// nothing to tell and isn't waited for.
fn vouched(cx: &Context<'_>, state: &State) -> bool {
    let Start::New {
        votes,
        told,
        proposed,
        ..
    } = &state.spread.start
    else {
        return true;
    };
    let own = cx.settings.node;
    let others = state.members.alive().filter(|it| it.id != own).count();
    if others == 0 || votes.len() < VOTES.min(others) || state.spread.history.seq() < *proposed {
        return false;
    }
    // Ranks every member, so only once all else holds.
    let witnesses = witness::of(state, own);
    let heard = witnesses.iter().filter(|it| told.contains(it)).count();
    heard >= witness::QUORUM.min(witnesses.len())
}
