//! Witnesses: a few peers hear of a position before its committer asks the table to accept it.
//!
//! A committer serves what it accepted before it has told anyone else. If it crashes then, and is restarted while
//! the table is down, no peer holds that position, and the new process would serve older configuration than the
//! old one did. The witnesses remember that the position may exist and tell the new process, which waits for the
//! table if it doesn't hold it. This costs three short messages a commit and no time: they leave
//! together with the call to the table, whose answer takes longer. It fails where most witnesses are lost together
//! with the committer, or where membership changed so much meanwhile that others have their places.

use std::collections::BTreeMap;

use super::{Kind, Message, send};
use crate::{
    id::{NodeId, Seq},
    kernel::{Context, State},
    utils::rendezvous,
};

/// The highest position that each committer told to be about to commit, unless it is held already.
#[derive(Debug, Default)]
pub struct Proposals(BTreeMap<NodeId, Seq>);

impl Proposals {
    /// What `committer` told; zero if nothing.
    pub fn of(&self, committer: NodeId) -> Seq {
        self.0.get(&committer).copied().unwrap_or_default()
    }
}

/// Witnesses of a committer: one may be gone and one message lost, and the third still tells.
const COUNT: usize = 3;

/// Witnesses that a new process has to hear; the third may be down.
pub const QUORUM: usize = 2;

/// The witnesses of `node` among the members that are ready.
pub fn of(state: &State, node: NodeId) -> Vec<NodeId> {
    let others = state.members.ready().map(|it| it.id);
    let others = others.filter(|it| *it != node);
    let mut witnesses = rendezvous(&format!("witness/{node}"), others);
    witnesses.truncate(COUNT);
    witnesses
}

/// This node is about to commit `seq`.
pub fn proposed(cx: &mut Context<'_>, state: &mut State, seq: Seq) {
    for to in of(state, cx.settings.node) {
        send(cx, state, Kind::Push, to, Message::Proposed { seq });
    }
}

/// The committer `from` is about to commit `seq`.
pub fn told(state: &mut State, from: NodeId, seq: Seq) {
    let held = state.spread.history.seq();
    let proposed = &mut state.spread.proposals.0;
    // What this node holds itself is told by its own position.
    proposed.retain(|_, it| *it > held);
    proposed.insert(from, seq);
}
