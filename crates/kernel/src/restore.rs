//! Detects that the platform's store was restored from an older copy of itself.
//!
//! Acknowledged writes since that copy are lost, and versions are issued again. The store reports this by its [`Era`].
//! A node that notices a new era gossips it, so that nodes with few or failing calls to the store learn of it too.

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::{
    event::{self, Event, Notice},
    id::NodeId,
    kernel::{Context, Plugin, Scope, State},
    platform::Era,
};

inventory::submit! { Plugin { name: "restore", order: 5, scope: Scope::Any, handle } }

/// Number of nodes that each node notifies. Three reach most of the fleet; the others learn of it with their next call
/// to the store.
const FANOUT: usize = 3;

/// Notifies a node of a restore.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The newest era that the sender knows.
    pub era: Era,
}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Restore {
    era: Option<Era>,
    restores: u64,
}

impl Restore {
    /// Returns the newest known era, if any.
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns the number of restores that this process has noticed.
    pub fn restores(&self) -> u64 {
        self.restores
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Era(era) => update_era(cx, state, *era),
        Event::Message {
            message: event::Message::Restore(message),
            ..
        } => update_era(cx, state, message.era),
        _ => {}
    }
}

fn update_era(cx: &mut Context<'_>, state: &mut State, era: Era) {
    let Some(before) = state.restore.era else {
        // The first era of a process is not a restore, because the process holds no older data.
        state.restore.era = Some(era);
        return;
    };
    if era <= before {
        return;
    }
    state.restore.era = Some(era);
    state.restore.restores += 1;
    let pairs = vec![("before", before.to_string()), ("era", era.to_string())];
    cx.log("store-restored", pairs);
    let own = cx.settings.node;
    let peers = state
        .members
        .ready()
        .map(|it| it.id)
        .filter(|it| *it != own);
    let targets: Vec<NodeId> = peers.choose_multiple(cx.rng, FANOUT);
    for to in targets {
        cx.send(to, event::Message::Restore(Message { era }));
    }
    cx.raise(Notice::Restored);
    // Watchers that read the source for this node take the era from its view.
    cx.raise(Notice::Own);
}
