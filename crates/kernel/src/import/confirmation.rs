//! How long ago a node that the source answers said that the version held here is the newest.
//!
//! A feed of the source that has died looks like one on which nothing happens, and so does a node that relies on it. Neither
//! how a node learns of versions nor how lately it was heard tells them apart; only the age of such a statement does. One
//! watcher of the fleet asks the source for it, in an order that watchers know of one another, and statements travel from node
//! to node with their age. Whoever has none that is young enough looks elsewhere, for whatever reason that is.

use serde::{Deserialize, Serialize};

use super::{Source, Turn, subscription};
use crate::{
    clock::Ms,
    id::NodeId,
    kernel::{Context, State},
};

/// Age at which the first watcher asks the source, in ms: over a third of the time in which a version is due.
const CHECK_MS: u64 = 700;
/// How much later than the one before it each further watcher asks, in ms: an answer of the source takes less.
const CHECK_STEP_MS: u64 = 150;
/// Watchers after which the others ask at the same age as the last of them.
const CHECK_STEPS: u64 = 4;
/// Time after which a watcher checks its own feed even if others vouch for its version, in ms.
const VERIFY_MS: u64 = 5_000;
/// Age at which a node looks elsewhere, in ms. What is left of the time in which a version is due is enough to be told of a
/// node that has it and to get it from there.
pub(super) const LOOK_MS: u64 = 1_000;
/// Age at which a version may be out of force, in ms: the shortest time in which operators want one to be in force.
const OVERDUE_MS: u64 = 2_000;
/// Time for which a node that knows of a newer version waits for it, in ms: it is mostly on its way.
const MISSING_MS: u64 = 400;
/// How much younger than the last one a statement must be to be passed on, in ms. It also ends circles.
const PASS_MS: u64 = 300;

/// Says that the source held nothing newer than `version` some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The newest version.
    pub version: u64,
    /// How long ago that was, in ms.
    pub age: u64,
}

/// Whether a node looks elsewhere for a newer version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// The version held is the newest as far as anybody knows, or is about to be.
    Nothing,
    /// Nobody has vouched for the version held of late.
    Statement,
    /// A newer one, which this node told of, does not come.
    Version(NodeId),
}

/// Whether a statement is to be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    /// Those that rely on this node may lack it.
    News,
    /// They have the like.
    Known,
}

/// A version that is known of and not held.
#[derive(Clone, Copy, Debug)]
struct Missing {
    version: u64,
    since: Ms,
    /// Who told of it, until that node was asked for it. It may lack it as well.
    from: Option<NodeId>,
}

/// The newest statement, and what became of it.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// The newest version, as said last.
    version: u64,
    /// When it was the newest.
    at: Ms,
    missing: Option<Missing>,
    /// Time of the statement that was passed on last.
    passed: Ms,
    /// When the source last confirmed a version to this node itself.
    verified: Ms,
    /// When this node last asked the source.
    checked: Ms,
    /// Whether it was logged that the version held may be out of force.
    overdue: bool,
    /// Nodes asked since the last young statement.
    tried: u64,
}

impl Confirmation {
    /// Time since the version held was known to be the newest, in ms.
    pub(super) fn age(&self, now: Ms) -> u64 {
        now.since(self.at)
    }

    /// What this node can tell others.
    pub(super) fn statement(&self, now: Ms) -> Statement {
        Statement {
            version: self.version,
            age: self.age(now),
        }
    }

    /// Whether this node, which holds `held`, looks elsewhere.
    pub(super) fn need(&self, now: Ms, held: u64) -> Need {
        match self.missing {
            _ if held == 0 => Need::Nothing,
            Some(it) if now.since(it.since) >= MISSING_MS => {
                it.from.map_or(Need::Statement, Need::Version)
            }
            _ if self.age(now) > LOOK_MS => Need::Statement,
            _ => Need::Nothing,
        }
    }

    /// Notes that a version was taken over.
    pub(super) fn adopted(&mut self, now: Ms, version: u64, first: bool) {
        if first {
            // Nothing is known of its age; it counts from here.
            self.at = self.at.max(now);
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

    /// Notes that `peer` was asked for a newer version.
    pub(super) fn tried(&mut self, peer: NodeId) {
        self.tried += 1;
        if let Some(missing) = &mut self.missing {
            missing.from = missing.from.filter(|it| *it != peer);
        }
    }

    fn hear(&mut self, now: Ms, held: u64, from: NodeId, statement: Statement) -> Heard {
        let at = now - statement.age;
        // What a source that was put back to an older copy, or a node that is behind, says is of no use here.
        let newer = (statement.version, at) > (self.version, self.at);
        if !newer || statement.version == 0 {
            return Heard::Known;
        }
        self.version = statement.version;
        self.at = at;
        if statement.version > held && self.missing.is_none() {
            self.missing = Some(Missing {
                version: statement.version,
                since: now,
                from: Some(from),
            });
        }
        if at.since(self.passed) < PASS_MS {
            return Heard::Known;
        }
        self.passed = at;
        Heard::News
    }
}

/// The source said, `age` ms ago, that it holds nothing newer than `version`.
pub(super) fn confirmed(cx: &mut Context<'_>, state: &mut State, version: u64, age: u64) {
    state.import.answered = cx.now;
    state.import.confirmation.verified = cx.now;
    let own = cx.settings.node;
    heard(cx, state, own, Statement { version, age });
}

/// Takes in what `from` says of the newest version, and tells those that rely on this node.
pub(super) fn heard(cx: &mut Context<'_>, state: &mut State, from: NodeId, statement: Statement) {
    let held = state.import.table.version();
    let confirmation = &mut state.import.confirmation;
    match confirmation.hear(cx.now, held, from, statement) {
        Heard::Known => {}
        Heard::News => subscription::tell_status(cx, state, from),
    }
}

/// Asks the source if it is time to, and logs whether the version held may be out of force.
///
/// `before` counts the watchers that ask before this one.
pub(super) fn tick(cx: &mut Context<'_>, state: &mut State, before: usize) {
    check(cx, state, before);
    let held = state.import.table.version();
    let confirmation = &mut state.import.confirmation;
    let age = confirmation.age(cx.now);
    let pairs = |tried: u64| {
        vec![
            ("version", held.to_string()),
            ("age_ms", age.to_string()),
            ("tried", tried.to_string()),
        ]
    };
    let overdue = std::mem::take(&mut confirmation.overdue);
    if age < LOOK_MS {
        if overdue {
            cx.log("config-confirmed", pairs(confirmation.tried));
        }
        confirmation.tried = 0;
        return;
    }
    confirmation.overdue = overdue || held > 0 && age >= OVERDUE_MS;
    if confirmation.overdue && !overdue {
        cx.log("config-unconfirmed", pairs(confirmation.tried));
    }
}

fn check(cx: &mut Context<'_>, state: &mut State, before: usize) {
    let import = &mut state.import;
    if import.turn == Turn::Rest || import.source == Source::Lost {
        return;
    }
    let confirmation = &mut import.confirmation;
    let steps = CHECK_STEPS.min(before as u64);
    let due = confirmation.age(cx.now) >= CHECK_MS + steps * CHECK_STEP_MS
        || cx.now.since(confirmation.verified) >= VERIFY_MS;
    if !due || cx.now.since(confirmation.checked) < CHECK_MS {
        return;
    }
    confirmation.checked = cx.now;
    cx.check_source();
}
