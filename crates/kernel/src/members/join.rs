//! Joins: a node that reaches no other member asks configured peers or contact rows for the fleet.
//!
//! Until another node has answered, this one can't tell a fleet of one from a fleet that it has not found
//! ([`Discovery`]). What it decides for the fleet waits for that.

use rand::{Rng, seq::IndexedRandom};

use super::{Members, Message, contact};
use crate::{clock::Ms, event, id::NodeId, kernel::Context};

/// Contacts asked per attempt.
const CONTACTS_ASKED: usize = 2;

/// Base and longest time between two attempts, in ms.
const RETRY_MS: u64 = 500;
const RETRY_MAX_MS: u64 = 30_000;

/// Longest time between two attempts until the contact rows were read once, in ms: the table is back at any moment.
const UNREAD_RETRY_MAX_MS: u64 = 2_000;

/// Longest delay of the attempt that follows the return of the table, in ms; all nodes that wait for it make one.
const RETURN_JITTER_MS: u64 = 100;

/// Time in ms after the contact rows were read, after which a node that no other one has answered gives up the search.
/// Several attempts fall into it.
const ALONE_MS: u64 = 2_000;

/// Whether this process has found the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// It has not: no other node has answered, and the contact rows were not read or their nodes may still answer.
    #[default]
    Searching,
    /// There is no other node.
    Alone,
    /// The contact rows name other nodes, and none has answered: they are dead, or this one is cut off from them.
    Unanswered {
        /// Number of these nodes, which the fleet has at least.
        contacts: usize,
    },
    /// Another node has sent its view, or a digest equal to the own one.
    Joined {
        /// Time of the first one.
        since: Ms,
    },
}

impl Discovery {
    /// Returns whether nothing is gained by waiting: this node serves with the view that it has.
    pub fn has_ended(self) -> bool {
        self != Discovery::Searching
    }

    /// Returns whether the view is that of the fleet, so that a node that is missing in it is no member.
    pub fn is_complete(self) -> bool {
        matches!(self, Discovery::Alone | Discovery::Joined { .. })
    }

    /// Returns whether the view is that of the fleet and has been compared for `settle` ms since the first one arrived,
    /// which may have come from a node that had just started too.
    pub fn has_settled(self, now: Ms, settle: u64) -> bool {
        match self {
            Discovery::Searching | Discovery::Unanswered { .. } => false,
            Discovery::Alone => true,
            Discovery::Joined { since } => now.since(since) >= settle,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Discovery::Searching => "searching",
            Discovery::Alone => "alone",
            Discovery::Unanswered { .. } => "unanswered",
            Discovery::Joined { .. } => "joined",
        }
    }
}

/// State of the join attempts.
#[derive(Debug, Default)]
pub(super) struct Join {
    attempts: u32,
    next: Ms,
    started: Ms,
    discovery: Discovery,
}

impl Join {
    /// Returns whether the current attempt is the first.
    pub(super) fn is_first(&self) -> bool {
        self.attempts <= 1
    }

    /// Returns whether this process has found the fleet.
    pub(super) fn discovery(&self) -> Discovery {
        self.discovery
    }
}

/// Makes the first attempt.
pub(super) fn start(cx: &mut Context<'_>, members: &mut Members) {
    members.join.started = cx.now;
    attempt_join(cx, members);
}

/// Makes an attempt soon if the table answers again and the contact rows were never read.
pub(super) fn handle_source(cx: &mut Context<'_>, members: &mut Members) {
    if members.join.discovery.has_ended() || members.contacts.read_at().is_some() {
        return;
    }
    members.join.attempts = 0;
    let soon = cx.now + cx.rng.random_range(0..=RETURN_JITTER_MS);
    members.join.next = members.join.next.min(soon);
}

/// Records that another node has sent its view, or a digest equal to the own one.
pub(super) fn record_joined(cx: &mut Context<'_>, members: &mut Members) {
    if !matches!(members.join.discovery, Discovery::Joined { .. }) {
        enter(cx, members, Discovery::Joined { since: cx.now });
    }
}

fn enter(cx: &mut Context<'_>, members: &mut Members, discovery: Discovery) {
    members.join.discovery = discovery;
    // What waits for it is looked at again.
    members.changed = true;
    let pairs = vec![
        ("state", discovery.as_str().to_owned()),
        ("after_ms", cx.now.since(members.join.started).to_string()),
        ("known", members.others.len().to_string()),
    ];
    cx.log("discovery", pairs);
}

/// Repeats the attempt while no other member is reachable.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    let alone = members.others.len() == members.unreachable.len();
    if !alone {
        members.join.attempts = 0;
    } else if cx.now >= members.join.next {
        attempt_join(cx, members);
    }
    give_up_search(cx, members);
}

/// Ends the search of a node that no other one has answered in time.
fn give_up_search(cx: &mut Context<'_>, members: &mut Members) {
    let read = members.contacts.read_at();
    let is_over = read.is_some_and(|it| cx.now.since(it) >= ALONE_MS);
    if !is_over || matches!(members.join.discovery, Discovery::Joined { .. }) {
        return;
    }
    let discovery = match members.contacts.count_others(cx.now, members.own.id) {
        0 => Discovery::Alone,
        contacts => Discovery::Unanswered { contacts },
    };
    if members.join.discovery != discovery {
        enter(cx, members, discovery);
    }
}

/// Sends a join to a few random nodes out of `contacts`.
pub(super) fn send_joins(cx: &mut Context<'_>, members: &Members, contacts: &[NodeId]) {
    let own = members.own.id;
    let contacts: Vec<NodeId> = contacts.iter().copied().filter(|it| *it != own).collect();
    for to in contacts.choose_multiple(cx.rng, CONTACTS_ASKED) {
        let record = members.own.clone();
        cx.send(*to, event::Message::Members(Message::Join { record }));
    }
}

fn attempt_join(cx: &mut Context<'_>, members: &mut Members) {
    let most = match members.contacts.read_at() {
        Some(_) => RETRY_MAX_MS,
        None => UNREAD_RETRY_MAX_MS,
    };
    let longest = (RETRY_MS << members.join.attempts.min(6)).min(most);
    members.join.next = cx.now + cx.rng.random_range(RETRY_MS / 2..=longest);
    members.join.attempts += 1;
    let peers = cx.settings.peers.clone();
    send_joins(cx, members, &peers);
    // The configured peers may all have been replaced since the settings were written.
    if peers.is_empty() || members.join.attempts > 2 {
        contact::scan(cx, members);
    }
}
