//! Decides whether this node watches the source in place of its zone's permanent watchers.

use super::{Source, Turn, Watch, confirmation::QUERY_AGE_MS, subscription::Access};
use crate::{
    event::Notice,
    id::NodeId,
    kernel::{Context, State},
    utils::rendezvous,
};

/// How long a node without a publisher waits before it watches the source, in ms: two rounds of
/// queries.
const UNINFORMED_MS: u64 = 400;
/// The same for a new process without a version, in ms. When a whole fleet starts, a node knows its
/// zone after about two seconds.
pub const WATCH_FIRST_MS: u64 = 2_500;
/// Standbys of a zone that start to watch at a time; more than one, because the source may reject
/// one as well.
pub(super) const STANDBYS_PER_STEP: usize = 2;
/// Time until the next standbys start to watch, in ms; longer than a read of the source.
const STANDBY_STEP_MS: u64 = 500;
/// Maximum number of standbys in a zone that watch, isolated nodes aside. If the source answers
/// none of them, it is down, and more requests would only add load.
const STANDBYS_MAX: usize = 6;
/// Time without any answer from a peer after which a node takes itself to be isolated and doesn't
/// wait for its turn, in ms.
const ISOLATED_MS: u64 = 1_000;

/// Returns whether this node has a publisher, or would have one if it stopped watching.
fn has_publisher(cx: &Context<'_>, state: &State) -> bool {
    let import = &state.import;
    let watches = import.turn == Turn::Follow && import.source == Source::Held;
    if !watches {
        // Publishers that still believe in a silent source answer; only the age of the last confirmation shows it.
        let starting = import.table.version() == 0;
        let confirmed = starting || import.freshness.age(cx.now) <= QUERY_AGE_MS;
        return confirmed && !import.subscriptions.publishers.is_empty();
    }
    // Only an earlier standby counts, or two standbys would both stop in favor of each other.
    let order = standbys(cx, state);
    let before: Vec<NodeId> = order
        .into_iter()
        .take_while(|it| *it != cx.settings.node)
        .collect();
    import.subscriptions.publishers.iter().any(|(id, it)| {
        it.access == Access::Direct && (it.watch == Watch::Always || before.contains(id))
    })
}

/// Returns the nodes of the own zone in the order in which they replace its watchers; the order is
/// the same on every node.
pub(super) fn standbys(cx: &Context<'_>, state: &State) -> Vec<NodeId> {
    let near = state.members.ready_in(&cx.settings.zone);
    rendezvous("import/standbys", near.map(|it| it.id))
}

/// Returns this node's position among the standbys.
fn standby_rank(cx: &Context<'_>, state: &State) -> usize {
    let standbys = standbys(cx, state);
    let rank = standbys.iter().position(|it| *it == cx.settings.node);
    rank.unwrap_or(standbys.len())
}

/// Returns whether this node queries peers in other zones while no node of its zone has a recent
/// confirmation: the first standbys that answer do.
pub(super) fn queries_remote(cx: &Context<'_>, state: &State) -> bool {
    let own = cx.settings.node;
    let subscriptions = &state.import.subscriptions;
    let responsive = |it: &NodeId| *it == own || subscriptions.is_responsive(*it, own);
    let standbys = standbys(cx, state).into_iter().filter(responsive);
    standbys.take(STANDBYS_PER_STEP).any(|it| it == own)
}

/// Starts or stops watching the source as needed.
pub(super) fn update_turn(cx: &mut Context<'_>, state: &mut State) {
    if cx.settings.watch == Watch::Always {
        return;
    }
    let now = cx.now;
    let turn = match has_publisher(cx, state) {
        true => {
            state.import.subscriptions.record_informed(now);
            Turn::Rest
        }
        false if state.import.turn == Turn::Follow => Turn::Follow,
        false if has_waited(cx, state) => Turn::Follow,
        false => Turn::Rest,
    };
    if turn == state.import.turn {
        return;
    }
    state.import.turn = turn;
    if turn == Turn::Rest {
        state.import.source = Source::Lost;
    }
    let what = format!("{turn:?}").to_lowercase();
    cx.log("config-source", vec![("state", what)]);
    cx.raise(Notice::Own);
}

/// Returns whether this node, which has no publisher, has waited long enough to watch the source.
fn has_waited(cx: &Context<'_>, state: &State) -> bool {
    let import = &state.import;
    let waited = cx
        .now
        .since(import.subscriptions.informed_at.max(import.started));
    let least = match import.table.version() {
        0 => WATCH_FIRST_MS,
        _ => UNINFORMED_MS,
    };
    // An isolated node has no other standbys to wait for.
    let answered_at = import.subscriptions.answered_at.unwrap_or(import.started);
    if cx.now.since(answered_at) >= ISOLATED_MS {
        return waited >= least;
    }
    let rank = standby_rank(cx, state);
    rank < STANDBYS_MAX && waited >= least + (rank / STANDBYS_PER_STEP) as u64 * STANDBY_STEP_MS
}
