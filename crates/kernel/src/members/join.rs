//! Joins: a node that reaches no other member asks configured peers or contact rows for the fleet.

use rand::{Rng, seq::IndexedRandom};

use super::{Members, Message, contact};
use crate::{clock::Ms, event, id::NodeId, kernel::Context};

/// Contacts asked per attempt.
const CONTACTS_ASKED: usize = 2;

/// Base and longest time between two attempts, in ms.
const RETRY_MS: u64 = 500;
const RETRY_MAX_MS: u64 = 30_000;

/// State of the join attempts.
#[derive(Debug, Default)]
pub(super) struct Join {
    attempts: u32,
    next: Ms,
}

impl Join {
    /// Returns whether the current attempt is the first.
    pub(super) fn is_first(&self) -> bool {
        self.attempts <= 1
    }
}

/// Makes the first attempt.
pub(super) fn start(cx: &mut Context<'_>, members: &mut Members) {
    attempt_join(cx, members);
}

/// Repeats the attempt while no other member is reachable.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    let alone = members.others.len() == members.unreachable.len();
    if !alone {
        members.join.attempts = 0;
    } else if cx.now >= members.join.next {
        attempt_join(cx, members);
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
    let longest = (RETRY_MS << members.join.attempts.min(6)).min(RETRY_MAX_MS);
    members.join.next = cx.now + cx.rng.random_range(RETRY_MS / 2..=longest);
    members.join.attempts += 1;
    let peers = cx.settings.peers.clone();
    send_joins(cx, members, &peers);
    // The configured peers may all have been replaced since the settings were written.
    if peers.is_empty() || members.join.attempts > 2 {
        contact::scan(cx, members);
    }
}
