//! Age of the last confirmation of which version is the newest.
//!
//! A dead feed of the source looks like a feed without changes; only this age shows that a node may
//! be out of date. The first watcher in a common order asks the source, and its confirmations spread
//! from node to node with their age. A node without a recent one queries other peers.

use serde::{Deserialize, Serialize};

use super::{Source, Turn, subscription};
use crate::{
    clock::Ms,
    id::NodeId,
    kernel::{Context, State},
};

/// Age of the last confirmation at which the first watcher asks the source, in ms.
const CHECK_AGE_MS: u64 = 700;
/// How much later each further watcher asks, in ms; longer than the source takes to answer.
const CHECK_STEP_MS: u64 = 150;
/// Number of such steps; all further watchers ask at the same age.
const CHECK_STEPS_MAX: u64 = 4;
/// Time after which a watcher checks its own feed even if others confirm its version, in ms.
const SELF_CHECK_MS: u64 = 5_000;
/// Age of the last confirmation at which a node queries other peers, in ms. Leaves enough of
/// [`OVERDUE_MS`] to find a node with the newest version and to get it there.
pub(super) const QUERY_AGE_MS: u64 = 1_000;
/// Age of the last confirmation at which `config-unconfirmed` is logged, in ms: the shortest
/// propagation time that operators ask for.
const OVERDUE_MS: u64 = 2_000;
/// How long a node waits for a newer version that a peer reported before it queries for it, in ms.
const MISSING_GRACE_MS: u64 = 400;
/// How much younger than the last forwarded confirmation one must be to be forwarded, in ms. Also
/// ends loops between nodes.
const FORWARD_STEP_MS: u64 = 300;

/// Confirms that the source held nothing newer than `version` `age` ms ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The newest version.
    pub version: u64,
    /// Age of the confirmation, in ms.
    pub age: u64,
}

/// What a node has to query its peers for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// Nothing: the version held is the newest known, or a newer one is probably on its way.
    Nothing,
    /// A confirmation: the last one is too old.
    Confirmation,
    /// A newer version, which this peer reported and which has not arrived.
    Version(NodeId),
}

/// Whether a confirmation is forwarded to subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Forwarding {
    /// It is newer than the one that subscribers have.
    Forward,
    /// Subscribers have it, or a similar one.
    Skip,
}

/// A version that is known but not held.
#[derive(Clone, Copy, Debug)]
struct Missing {
    version: u64,
    since: Ms,
    /// The node that reported it, until that node was queried. It may not hold it either.
    reporter: Option<NodeId>,
}

/// The newest confirmation and the checks made since.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// The newest version known.
    version: u64,
    /// When it was confirmed to be the newest.
    confirmed_at: Ms,
    missing: Option<Missing>,
    /// When the last forwarded confirmation was made.
    forwarded_at: Ms,
    /// When the source last confirmed a version to this node itself.
    verified_at: Ms,
    /// When this node last asked the source.
    checked_at: Ms,
    /// Whether `config-unconfirmed` was logged and `config-confirmed` was not yet.
    is_unconfirmed: bool,
    /// Number of queries since the last recent confirmation.
    queries: u64,
}

impl Freshness {
    /// Returns the time since the newest known version was confirmed, in ms. It may not be held yet.
    pub(super) fn age(&self, now: Ms) -> u64 {
        now.since(self.confirmed_at)
    }

    /// Returns the newest confirmation with its present age.
    pub(super) fn latest(&self, now: Ms) -> Confirmation {
        Confirmation {
            version: self.version,
            age: self.age(now),
        }
    }

    /// Returns what this node, which holds version `held`, has to query its peers for.
    pub(super) fn need(&self, now: Ms, held: u64) -> Need {
        match self.missing {
            _ if held == 0 => Need::Nothing,
            Some(it) if now.since(it.since) >= MISSING_GRACE_MS => {
                it.reporter.map_or(Need::Confirmation, Need::Version)
            }
            _ if self.age(now) > QUERY_AGE_MS => Need::Confirmation,
            _ => Need::Nothing,
        }
    }

    /// Records that `version` was applied.
    pub(super) fn record_applied(&mut self, now: Ms, version: u64, first: bool) {
        if first {
            // The age of the first version is unknown; it counts from here.
            self.confirmed_at = self.confirmed_at.max(now);
        }
        let Some(missing) = self.missing.filter(|it| it.version <= version) else {
            return;
        };
        self.missing = (self.version > version).then_some(Missing {
            version: self.version,
            since: now,
            ..missing
        });
    }

    /// Records that `peer` was queried.
    pub(super) fn record_query(&mut self, peer: NodeId) {
        self.queries += 1;
        if let Some(missing) = &mut self.missing {
            missing.reporter = missing.reporter.filter(|it| *it != peer);
        }
    }

    fn record(
        &mut self,
        now: Ms,
        held: u64,
        from: NodeId,
        confirmation: Confirmation,
    ) -> Forwarding {
        let at = now - confirmation.age;
        // Ignores a source that was restored to an older copy and peers that are behind.
        let newer = (confirmation.version, at) > (self.version, self.confirmed_at);
        if !newer || confirmation.version == 0 {
            return Forwarding::Skip;
        }
        self.version = confirmation.version;
        self.confirmed_at = at;
        if confirmation.version > held && self.missing.is_none() {
            self.missing = Some(Missing {
                version: confirmation.version,
                since: now,
                reporter: Some(from),
            });
        }
        if at.since(self.forwarded_at) < FORWARD_STEP_MS {
            return Forwarding::Skip;
        }
        self.forwarded_at = at;
        Forwarding::Forward
    }
}

/// Handles the source's answer, to a question asked at `asked`, that it held nothing newer than `version`.
pub(super) fn handle_confirmed(cx: &mut Context<'_>, state: &mut State, version: u64, asked: Ms) {
    let age = cx.now.since(asked);
    state.import.knowledge.record_confirmed(asked, version);
    state.import.answered_at = cx.now;
    state.import.freshness.verified_at = cx.now;
    let own = cx.settings.node;
    handle_confirmation(cx, state, own, Confirmation { version, age });
}

/// Handles a confirmation sent by `from` and forwards it to subscribers if it is newer.
pub(super) fn handle_confirmation(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    confirmation: Confirmation,
) {
    let held = state.import.table.version();
    let freshness = &mut state.import.freshness;
    match freshness.record(cx.now, held, from, confirmation) {
        Forwarding::Skip => {}
        Forwarding::Forward => subscription::send_status(cx, state, from),
    }
}

/// Asks the source if a check is due, and logs when the newest version becomes unconfirmed or is
/// confirmed again.
///
/// `earlier` is the number of watchers that ask before this one.
pub(super) fn tick(cx: &mut Context<'_>, state: &mut State, earlier: usize) {
    check_source(cx, state, earlier);
    let held = state.import.table.version();
    let freshness = &mut state.import.freshness;
    let age = freshness.age(cx.now);
    let pairs = |queries: u64| {
        vec![
            ("version", held.to_string()),
            ("age_ms", age.to_string()),
            ("tried", queries.to_string()),
        ]
    };
    let was_unconfirmed = std::mem::take(&mut freshness.is_unconfirmed);
    if age < QUERY_AGE_MS {
        if was_unconfirmed {
            cx.log("config-confirmed", pairs(freshness.queries));
        }
        freshness.queries = 0;
        return;
    }
    freshness.is_unconfirmed = was_unconfirmed || held > 0 && age >= OVERDUE_MS;
    if freshness.is_unconfirmed && !was_unconfirmed {
        cx.log("config-unconfirmed", pairs(freshness.queries));
    }
}

fn check_source(cx: &mut Context<'_>, state: &mut State, earlier: usize) {
    let import = &mut state.import;
    if import.turn == Turn::Rest || import.source == Source::Lost {
        return;
    }
    let freshness = &mut import.freshness;
    let steps = CHECK_STEPS_MAX.min(earlier as u64);
    let due = freshness.age(cx.now) >= CHECK_AGE_MS + steps * CHECK_STEP_MS
        || cx.now.since(freshness.verified_at) >= SELF_CHECK_MS;
    if !due || cx.now.since(freshness.checked_at) < CHECK_AGE_MS {
        return;
    }
    freshness.checked_at = cx.now;
    cx.check_source();
}
