//! Retry policy of the entry: deadline propagation, retry budgets, and which failures may be retried.

mod budget;

use std::{fmt, str::FromStr};

use rand::Rng;

use crate::{
    clock::Ms,
    document::{self, Repeat},
    refusal::{Reason, Refusal, Remedy},
};

pub use budget::{Bound, Budget, Entries};

/// Call depth from which requests are not retried.
pub const MAX_DEPTH: u8 = 10;
/// Retries for the whole call tree of a request that arrives without a [`Tree`].
const TREE_RETRIES: u8 = 2;
/// Least time left with which a retry is sent, in ms. An entry gives owners a few ms less than it has itself, so that one
/// that missed the deadline would else be followed by another attempt that cannot be answered.
pub const LEAST_LEFT_MS: u64 = 20;
/// First and longest back-off, in ms.
const BACKOFF_MS: (u64, u64) = (5, 200);

/// Time from which an answer is of no use to its caller.
///
/// Processes send each other the time left, so that their clocks need not agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Ms);

impl Deadline {
    /// Returns the deadline `left` ms from `now`.
    pub fn after(now: Ms, left: u64) -> Deadline {
        Deadline(now + left)
    }

    /// Returns the deadline as a time.
    pub fn at(self) -> Ms {
        self.0
    }

    /// Returns the time left in ms; this value is sent to the next hop.
    pub fn left(self, now: Ms) -> u64 {
        self.0.since(now)
    }

    /// Returns the deadline for the next hop: earlier by `margin` ms, the time for its answer to travel back.
    pub fn shrink(self, margin: u64) -> Deadline {
        Deadline(Ms(self.0.0.saturating_sub(margin)))
    }

    /// Returns the earlier of two deadlines, such as the caller's and the route's.
    pub fn min(self, other: Deadline) -> Deadline {
        Deadline(self.0.min(other.0))
    }
}

/// Retries left in a request's call tree, sent along with the request.
///
/// Each attempt takes its share from its parent, so that all levels together never exceed the retries of the root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tree {
    /// Retries left for this call and all calls below it.
    pub retries: u8,
    /// Number of calls above this one.
    pub depth: u8,
}

impl Default for Tree {
    fn default() -> Tree {
        Tree {
            retries: TREE_RETRIES,
            depth: 0,
        }
    }
}

impl Tree {
    /// Splits off the retries for the calls below an attempt; the rest stays with this call.
    pub fn split(&mut self) -> Tree {
        let below = self.retries / 2;
        self.retries -= below;
        let depth = self.depth.saturating_add(1);
        let retries = if depth < MAX_DEPTH { below } else { 0 };
        Tree { retries, depth }
    }
}

/// The text is not a valid [`Tree`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("retry tree {0:?} is not valid: pass on the header as received, such as 2/0")]
pub struct BadTree(pub String);

impl fmt::Display for Tree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.retries, self.depth)
    }
}

impl FromStr for Tree {
    type Err = BadTree;

    fn from_str(text: &str) -> Result<Tree, BadTree> {
        let parse = || {
            let (retries, depth) = text.split_once('/')?;
            let tree = Tree {
                retries: retries.parse::<u8>().ok()?.min(TREE_RETRIES),
                depth: depth.parse().ok()?,
            };
            Some(tree)
        };
        parse().ok_or_else(|| BadTree(text.chars().take(40).collect()))
    }
}

/// Kind of failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown,
}

/// Whether there are endpoints that this request has not tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Untried {
    /// At least one.
    Some,
    /// All endpoints were tried.
    None,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry the request.
    Retry {
        /// Delay in ms; zero means at once.
        after: u64,
    },
    /// Answer the caller with the failure.
    GiveUp(GiveUp),
}

/// Reason for which no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The failure can't be retried.
    Final,
    /// The attempts of the request or the retries of its call tree are used up.
    Attempts,
    /// The service's retry budget is used up.
    Budget,
    /// The deadline is before the next possible attempt.
    Deadline,
}

/// Retry state of one request at the entry.
#[derive(Clone, Debug)]
pub struct Retry {
    repeat: Repeat,
    deadline: Deadline,
    tree: Tree,
    attempts_left: u32,
    backoffs: u32,
    counted: Counted,
    node_refusals: u32,
}

/// Which failed attempts are charged to the attempts and the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// All failed attempts.
    All,
    /// Those that reached an upstream. After a refusal by a node the request is sent to the next one without a charge,
    /// up to `NODE_REFUSALS_MAX` refusals.
    Reached,
}

/// Number of refusals by nodes after which a request fails.
const NODE_REFUSALS_MAX: u32 = 3;

impl Retry {
    /// Creates the state of a request without attempts; all failed attempts are charged.
    pub fn new(policy: &document::Retry, repeat: Repeat, deadline: Deadline, tree: Tree) -> Retry {
        Retry::counting(Counted::All, policy, repeat, deadline, tree)
    }

    /// Creates the state of a request without attempts; the failed attempts in `counted` are charged.
    pub fn counting(
        counted: Counted,
        policy: &document::Retry,
        repeat: Repeat,
        deadline: Deadline,
        tree: Tree,
    ) -> Retry {
        Retry {
            repeat,
            deadline,
            tree,
            attempts_left: policy.attempts.saturating_sub(1),
            backoffs: 0,
            counted,
            node_refusals: 0,
        }
    }

    /// Returns the call tree to send along with the next attempt.
    pub fn attempt(&mut self) -> Tree {
        self.tree.split()
    }

    /// Decides on the next step after a failed attempt and charges the retry.
    pub fn next(
        &mut self,
        now: Ms,
        rng: &mut impl Rng,
        budget: &mut Budget,
        failure: Failure,
        untried: Untried,
    ) -> Next {
        if self.counted == Counted::Reached
            && let Failure::NotRun(refusal) = failure
            && refusal.reason != Reason::Shed
        {
            return self.next_node(refusal, untried);
        }
        let Some(hint) = self.hint(failure) else {
            return Next::GiveUp(GiveUp::Final);
        };
        if self.attempts_left == 0 || self.tree.retries == 0 {
            return Next::GiveUp(GiveUp::Attempts);
        }
        let after = match (untried, hint) {
            (Untried::Some, Hint::Elsewhere(_)) => 0,
            (Untried::None, Hint::Elsewhere(after)) | (_, Hint::Later(after)) => {
                after.max(self.backoff(rng))
            }
        };
        if after + LEAST_LEFT_MS > self.deadline.left(now) {
            return Next::GiveUp(GiveUp::Deadline);
        }
        if !budget.spend(now, rng) {
            return Next::GiveUp(GiveUp::Budget);
        }
        self.attempts_left -= 1;
        self.tree.retries -= 1;
        Next::Retry { after }
    }

    /// Decides on the next step after a refusal by a node, which costs the upstreams nothing.
    fn next_node(&mut self, refusal: Refusal, untried: Untried) -> Next {
        let elsewhere = refusal.reason.remedy() == Remedy::Elsewhere;
        if !elsewhere || untried == Untried::None {
            return Next::GiveUp(GiveUp::Final);
        }
        self.node_refusals += 1;
        match self.node_refusals < NODE_REFUSALS_MAX {
            true => Next::Retry { after: 0 },
            false => Next::GiveUp(GiveUp::Attempts),
        }
    }

    /// Returns where and when a retry is allowed, if at all.
    ///
    /// A request that may have run is only repeated if it is idempotent, so that nothing is executed twice.
    fn hint(&self, failure: Failure) -> Option<Hint> {
        match failure {
            Failure::Unknown if self.repeat == Repeat::Idempotent => Some(Hint::Elsewhere(0)),
            Failure::Unknown => None,
            Failure::NotRun(refusal) => match refusal.reason.remedy() {
                Remedy::Elsewhere => Some(Hint::Elsewhere(refusal.after)),
                Remedy::Later if refusal.reason == Reason::Quarantined => None,
                Remedy::Later => Some(Hint::Later(refusal.after)),
                Remedy::Never => None,
            },
        }
    }

    /// Returns the next delay: exponential back-off with full jitter.
    fn backoff(&mut self, rng: &mut impl Rng) -> u64 {
        let (first, longest) = BACKOFF_MS;
        let bound = (first << self.backoffs.min(10)).min(longest);
        self.backoffs += 1;
        rng.random_range(1..=bound)
    }
}

/// Endpoints that a retry may use: any other one, or any one after the delay, in ms.
enum Hint {
    Elsewhere(u64),
    Later(u64),
}
