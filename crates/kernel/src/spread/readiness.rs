//! Readiness: a new process doesn't serve before it has caught up with its peers or the table.

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

/// Ready peers that must report their position before a new node counts as caught up.
const CONFIRMATIONS: usize = 3;

/// Base time between two comparisons of a node that is not ready, in ms.
const COMPARE_MS: u64 = 200;

/// Least time in ms that a new node asks only peers. It reads the table at a random time after that.
const PEERS_ONLY_MS: u64 = 4_000;

/// A relay that is not ready reads the table after the time of other nodes divided by this.
const RELAY_DIVISOR: u64 = 4;

/// Progress of a new process with catching up.
#[derive(Debug)]
pub enum Start {
    /// The process may hold less than its peers.
    New {
        /// Time from which the process reads the table.
        table_at: Ms,
        /// The same if it is a relay.
        relay_at: Ms,
        /// Ready peers that reported their position.
        confirmations: BTreeSet<NodeId>,
        /// Peers that reported their position, ready or not.
        answered: BTreeSet<NodeId>,
        /// Highest position that the process before this one was about to commit, as reported by
        /// witnesses.
        proposed: Seq,
        table: Table,
    },
    /// The process reached the highest position reported.
    Ready,
}

/// Whether the table's head was read since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    Unread,
    Read,
}

impl Default for Start {
    fn default() -> Start {
        Start::New {
            table_at: Ms(0),
            relay_at: Ms(0),
            confirmations: BTreeSet::new(),
            answered: BTreeSet::new(),
            proposed: Seq::default(),
            table: Table::Unread,
        }
    }
}

/// Sets the time from which a node that is not ready reads the table.
pub fn start(cx: &mut Context<'_>, state: &mut State) {
    let alone = cx.settings.peers.is_empty();
    let wait = match (alone, cx.settings.spread.mode) {
        (true, _) | (_, SpreadMode::Poll) => 0,
        // Random, so that nodes that start together don't all read the table at once.
        (false, SpreadMode::Relays) => cx.rng.random_range(PEERS_ONLY_MS..=2 * PEERS_ONLY_MS),
    };
    if let Start::New {
        table_at, relay_at, ..
    } = &mut state.spread.start
    {
        *table_at = cx.now + wait;
        *relay_at = cx.now + wait / RELAY_DIVISOR;
    }
}

/// Returns whether a relay may read the table.
///
/// A process that has just started knows few members and so takes itself for a relay of its zone. The
/// delay keeps a fleet that starts together from reading the whole log from the table on every node.
/// Relays still read some seconds before other nodes.
pub fn relay_may_read(cx: &Context<'_>, state: &State) -> bool {
    match &state.spread.start {
        Start::New { relay_at, .. } => cx.now >= *relay_at,
        Start::Ready => true,
    }
}

/// Records that a peer reported its position, and the position that it knows as proposed.
///
/// Only ready peers count as a confirmation. Otherwise a fleet that starts together would agree on an
/// empty configuration and serve it.
pub fn record_standing(state: &mut State, from: NodeId, standing: &Standing) {
    let Start::New {
        confirmations,
        answered,
        proposed,
        ..
    } = &mut state.spread.start
    else {
        return;
    };
    answered.insert(from);
    *proposed = standing.proposed.max(*proposed);
    if standing.ready {
        confirmations.insert(from);
    }
}

/// Records that the table's head is at `seq`.
pub fn record_table_head(state: &mut State, seq: Seq) {
    repair::note_table_position(state, seq);
    if let Start::New { table, .. } = &mut state.spread.start {
        *table = Table::Read;
    }
}

/// Compares with peers and reads the table until either confirms the position of this process.
pub fn tick(cx: &mut Context<'_>, state: &mut State) {
    let Start::New {
        table_at, table, ..
    } = state.spread.start
    else {
        return;
    };
    let seq = state.spread.history.seq();
    let confirmed = table == Table::Read || is_confirmed_by_peers(cx, state);
    if confirmed && seq >= state.spread.heard() {
        state.spread.start = Start::Ready;
        cx.log("spread-ready", vec![("seq", seq.to_string())]);
        return cx.raise(Notice::Ready);
    }
    if cx.now >= table_at && table == Table::Unread {
        relay::read_head_if_due(cx, state);
    }
    let soon = cx.rng.random_range(COMPARE_MS / 2..=2 * COMPARE_MS);
    repair::compare_by(cx, state, soon);
}

/// Returns whether peers confirmed the position of this process without the table.
///
/// Any peer knows the positions that were distributed. Only the witnesses know the position that the
/// process before this one was about to commit, so most of them must have answered as well.
fn is_confirmed_by_peers(cx: &Context<'_>, state: &State) -> bool {
    let Start::New {
        confirmations,
        answered,
        proposed,
        ..
    } = &state.spread.start
    else {
        return true;
    };
    let own = cx.settings.node;
    let others = state.members.alive().filter(|it| it.id != own).count();
    if others == 0
        || confirmations.len() < CONFIRMATIONS.min(others)
        || state.spread.history.seq() < *proposed
    {
        return false;
    }
    // Checked last, because it ranks every member.
    let witnesses = witness::witnesses_of(state, own);
    let count = witnesses.iter().filter(|it| answered.contains(it)).count();
    count >= witness::REQUIRED.min(witnesses.len())
}
