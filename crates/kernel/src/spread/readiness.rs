//! Readiness: a new process doesn't serve before it has caught up.

use std::collections::BTreeSet;

use rand::Rng;

use super::{Standing, relay, repair};
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

/// How far a new process is with catching up.
#[derive(Debug)]
pub enum Start {
    /// It may hold less than others do.
    New {
        /// When it begins to read the table.
        table_at: Ms,
        /// Peers that are ready and told their position.
        votes: BTreeSet<NodeId>,
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
            votes: BTreeSet::new(),
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
    if let Start::New { table_at, .. } = &mut state.spread.start {
        *table_at = cx.now + wait;
    }
}

/// A peer that is itself not ready has nothing to vouch for: a herd that starts together would agree on
/// an empty configuration and serve it.
pub fn vote(state: &mut State, from: NodeId, standing: &Standing) {
    if let Start::New { votes, .. } = &mut state.spread.start
        && standing.ready
        && votes.len() < VOTES
    {
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
    let own = cx.settings.node;
    let others = state.members.alive().filter(|it| it.id != own).count();
    let Start::New {
        table_at,
        votes,
        table,
    } = &state.spread.start
    else {
        return;
    };
    let voted = others > 0 && votes.len() >= VOTES.min(others);
    let seq = state.spread.history.seq();
    if (voted || *table == Table::Read) && seq >= state.spread.heard() {
        state.spread.start = Start::Ready;
        cx.log("spread.ready", vec![("seq", seq.to_string())]);
        return cx.raise(Notice::Ready);
    }
    if cx.now >= *table_at && *table == Table::Unread {
        relay::retry_head(cx, state);
    }
    let soon = cx.rng.random_range(ASK_MS / 2..=2 * ASK_MS);
    repair::compare_by(cx, state, soon);
}
