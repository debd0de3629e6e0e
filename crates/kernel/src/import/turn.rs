//! Whose turn it is to watch the source for its zone, besides those that watch it for good.

use super::{Source, Turn, Watch, subscription::Access};
use crate::{
    event::Notice,
    id::NodeId,
    kernel::{Context, State},
    utils::rendezvous,
};

/// How long a node that nobody tells waits before it watches by itself, in ms: two rounds of questions.
const UNINFORMED_MS: u64 = 400;
/// The same for a new process without a version. Where a whole fleet starts, it knows all of its zone after two seconds.
pub const WATCH_FIRST_MS: u64 = 2_500;
/// Nodes of a zone that take the place of its watchers at a time: one may be turned away as well.
pub(super) const STANDBYS: usize = 2;
/// Time after which the next ones try, in ms: a read of the source takes less.
const NEXT_MS: u64 = 500;
/// Nodes of a zone that ever take the place of watchers, beside those that nobody answers. Where the source answers none of
/// so many it answers nobody, and every further one would only ask it in vain for as long as that lasts.
const STANDBYS_MAX: usize = 6;
/// Silence of all others after which a node takes itself to be cut off, and does not wait for its turn, in ms.
const ALONE_MS: u64 = 1_000;

/// Whether somebody tells this node, or would if it stopped watching.
fn relied_on(cx: &Context<'_>, state: &State) -> bool {
    let import = &state.import;
    let watches = import.turn == Turn::Follow && import.source == Source::Held;
    if !watches {
        return !import.subscriptions.publishers.is_empty();
    }
    // Two standbys must not both rest in favour of each other.
    let order = standbys(cx, state);
    let before: Vec<NodeId> = order
        .into_iter()
        .take_while(|it| *it != cx.settings.node)
        .collect();
    import.subscriptions.publishers.iter().any(|(id, it)| {
        it.access == Access::Direct && (it.watch == Watch::Always || before.contains(id))
    })
}

/// The nodes of the own zone in the order in which they take the place of watchers; every node knows the same.
pub(super) fn standbys(cx: &Context<'_>, state: &State) -> Vec<NodeId> {
    let near = state.members.ready_in(&cx.settings.zone);
    rendezvous("import/standbys", near.map(|it| it.id))
}

/// This node's place in that order.
fn place(cx: &Context<'_>, state: &State) -> usize {
    let standbys = standbys(cx, state);
    let place = standbys.iter().position(|it| *it == cx.settings.node);
    place.unwrap_or(standbys.len())
}

/// Whether this node looks abroad for its zone while nobody in it knows the newest version: a standby does, and whoever
/// comes after those that do not answer.
pub(super) fn is_scout(cx: &Context<'_>, state: &State) -> bool {
    let own = cx.settings.node;
    let subscriptions = &state.import.subscriptions;
    let there = |it: &NodeId| *it == own || subscriptions.answers(*it, own);
    let standbys = standbys(cx, state).into_iter().filter(there);
    standbys.take(STANDBYS).any(|it| it == own)
}

/// Decides whether this node watches the source.
pub(super) fn take(cx: &mut Context<'_>, state: &mut State) {
    if cx.settings.watch == Watch::Always {
        return;
    }
    let now = cx.now;
    let turn = match relied_on(cx, state) {
        true => {
            state.import.subscriptions.informed(now);
            Turn::Rest
        }
        false if state.import.turn == Turn::Follow => Turn::Follow,
        false if waited_enough(cx, state) => Turn::Follow,
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

/// Whether this node, which nobody tells, has waited long enough to watch by itself.
fn waited_enough(cx: &Context<'_>, state: &State) -> bool {
    let import = &state.import;
    let waited = cx
        .now
        .since(import.subscriptions.informed.max(import.started));
    let least = match import.table.version() {
        0 => WATCH_FIRST_MS,
        _ => UNINFORMED_MS,
    };
    // One that is cut off from all others can wait for nobody.
    let heard = import.subscriptions.answered.unwrap_or(import.started);
    if cx.now.since(heard) >= ALONE_MS {
        return waited >= least;
    }
    let place = place(cx, state);
    place < STANDBYS_MAX && waited >= least + (place / STANDBYS) as u64 * NEXT_MS
}
