//! Witnesses: a few peers that a committer notifies of a position before it asks the table to accept it.
//!
//! If a committer crashes after it served a position and before it pushed it, and restarts while the
//! table is down, no peer holds that position. The witnesses report it to the new process, which waits
//! for the table instead of serving older configuration, unless most of them are lost as well.

use std::collections::BTreeMap;

use super::{Kind, Message, send};
use crate::{
    id::{NodeId, Seq},
    kernel::{Context, State},
    utils::rendezvous,
};

/// The position that each committer proposed last, unless this node holds it already.
#[derive(Debug, Default)]
pub struct Proposals(BTreeMap<NodeId, Seq>);

impl Proposals {
    /// Returns the position that `committer` proposed, or zero.
    pub fn position(&self, committer: NodeId) -> Seq {
        self.0.get(&committer).copied().unwrap_or_default()
    }
}

/// Number of witnesses of a committer. One may be down and one message lost.
const WITNESSES: usize = 3;

/// Witnesses that must answer a new process; the third may be down.
pub const REQUIRED: usize = 2;

/// Returns the witnesses of `node` among the members that are ready.
pub fn witnesses_of(state: &State, node: NodeId) -> Vec<NodeId> {
    let others = state.members.ready().map(|it| it.id);
    let others = others.filter(|it| *it != node);
    let mut witnesses = rendezvous(&format!("witness/{node}"), others);
    witnesses.truncate(WITNESSES);
    witnesses
}

/// Notifies the witnesses that this node is about to commit `seq`.
pub fn notify_witnesses(cx: &mut Context<'_>, state: &mut State, seq: Seq) {
    for to in witnesses_of(state, cx.settings.node) {
        send(cx, state, Kind::Push, to, Message::Proposed { seq });
    }
}

/// Records that the committer `from` is about to commit `seq`.
pub fn record_proposal(state: &mut State, from: NodeId, seq: Seq) {
    let held = state.spread.history.seq();
    let proposed = &mut state.spread.proposals.0;
    // Positions that this node holds are covered by its own position.
    proposed.retain(|_, it| *it > held);
    proposed.insert(from, seq);
}
