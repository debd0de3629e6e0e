//! First contacts in the platform's table: a few rows a zone, kept by a few of its members.

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Members, Stamp, join};
use crate::{
    clock::Ms,
    id::{CallId, Name, NodeId},
    kernel::Context,
    platform::{TableAnswer, TableOp, Write},
    utils::rendezvous,
};

/// Prefix of the keys of contact rows.
pub const CONTACT_PREFIX: &str = "contact/";

/// Rows that each zone keeps.
pub const CONTACT_SLOTS: usize = 3;

/// Ms between two looks at who keeps the rows.
const CHECK_MS: u64 = 10_000;

/// The same from the first answer of the table on: joins are over by then, and two halves of a fleet that started together,
/// where one overwrote the rows of the other, find each other before they serve.
const FIRST_CHECK_MS: u64 = 2_000;

/// Longest time until a node that found nobody keeps a row, in ms; joins are tried again after about half of that.
const LONE_MS: u64 = 600;

/// Nodes of a zone that ask contacts abroad, on average, although they found one in their own zone.
const SCOUTS: u32 = 4;

/// Ms after which a row is written again though nothing changed.
const REFRESH_MS: u64 = 60_000;

/// Most rows read at a time.
const SCAN_MAX: u32 = 200;

/// The value of a contact row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// A member of the zone.
    pub id: NodeId,
    /// Its stamp as of the write.
    pub stamp: Stamp,
}

/// The key of one contact row.
pub fn contact_key(zone: &Name, slot: usize) -> String {
    format!("{CONTACT_PREFIX}{zone}/{slot}")
}

/// Contact rows read and kept.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    scan: Option<CallId>,
    checked: Ms,
    written: Option<Written>,
    /// Contacts of other zones, kept until somebody has told this process whom it knows.
    abroad: Vec<NodeId>,
}

/// The row that this node keeps.
#[derive(Clone, Copy, Debug)]
struct Written {
    slot: usize,
    time: Ms,
    /// Whether this node knew nobody then: others that started at the same time may have overwritten the row unread.
    alone: bool,
}

/// Reads the rows of every zone; what is found is asked to let this node join.
pub(super) fn scan(cx: &mut Context<'_>, members: &mut Members) {
    let op = TableOp::Scan {
        prefix: CONTACT_PREFIX.to_owned(),
        after: String::new(),
        limit: SCAN_MAX,
    };
    members.contacts.scan = Some(cx.table(op));
}

/// Takes the answer to a scan; any other is somebody else's.
pub(super) fn answered(
    cx: &mut Context<'_>,
    members: &mut Members,
    call: CallId,
    answer: &TableAnswer,
) {
    if members.contacts.scan != Some(call) {
        return;
    }
    members.contacts.scan = None;
    let TableAnswer::Rows(rows) = answer else {
        return;
    };
    let prefix = contact_key(&members.own.zone, 0);
    let prefix = prefix.trim_end_matches('0');
    // Members that are known already have nothing to tell that the comparisons do not.
    let alone = members.others.len() == members.unreachable.len();
    let found = |near: bool| -> Vec<NodeId> {
        rows.iter()
            .filter(|it| it.key.starts_with(prefix) == near)
            .filter_map(|it| postcard::from_bytes::<Contact>(&it.value).ok())
            .map(|it| it.id)
            .filter(|it| *it != members.own.id)
            .filter(|it| alone || !members.others.contains_key(it))
            .collect()
    };
    // Those nearby mostly know the others, and each answer is the whole view, whose bytes cost most between zones.
    let (near, abroad) = (found(true), found(false));
    join::ask(cx, members, &near);
    match near.is_empty() {
        true => join::ask(cx, members, &abroad),
        false => members.contacts.abroad = abroad,
    }
    // Whoever finds nobody must be found and keeps a row of its own soon, but not in step with all others that start now:
    // each would overwrite the row of the one before, and be found by nobody in turn. The others know too few yet to
    // tell who is to keep the rows.
    let found = !rows.is_empty() && members.join.first();
    let pause = match alone && !found {
        true => cx.rng.random_range(0..LONE_MS),
        false => FIRST_CHECK_MS,
    };
    let first = check_after(cx.now, pause);
    members.contacts.checked = members.contacts.checked.max(first);
}

/// Asks contacts abroad that nobody has told of, once somebody has told this process whom it knows. Where a whole fleet starts,
/// those nearby know as little, and a host whose zone lacks a service would refuse its callers until comparisons get there.
pub(super) fn look_abroad(cx: &mut Context<'_>, members: &mut Members) {
    let mut unknown = std::mem::take(&mut members.contacts.abroad);
    unknown.retain(|it| !members.others.contains_key(it));
    if unknown.is_empty() {
        return;
    }
    let near = members.ready_in(&members.own.zone).count() as u32;
    if cx.rng.random_ratio(SCOUTS.min(near.max(1)), near.max(1)) {
        join::ask(cx, members, &unknown);
    }
}

/// The table was put back to an older copy: this node's row may be gone, and it is written again if it falls to this node.
pub(super) fn restored(cx: &mut Context<'_>, members: &mut Members) {
    let contacts = &mut members.contacts;
    contacts.written = None;
    // Jitter, so that the keepers of all rows do not write in step with everybody else who lost theirs.
    let pause = cx.rng.random_range(0..FIRST_CHECK_MS);
    contacts.checked = check_after(cx.now, pause);
}

/// What stands for the last look, so that the next one comes after `pause` ms.
fn check_after(now: Ms, pause: u64) -> Ms {
    now + pause - CHECK_MS
}

/// Keeps this node's row, if one falls to it.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    let alone = members.others.is_empty();
    if members.contacts.scan.is_some() && alone {
        return;
    }
    let checked = members.contacts.checked;
    if checked != Ms(0) && cx.now.since(checked) < CHECK_MS {
        return;
    }
    members.contacts.checked = cx.now;
    if !members.trusted() || members.cut_off() {
        return;
    }
    let slot = match alone {
        true => Some(cx.rng.random_range(0..CONTACT_SLOTS)),
        false => place(members),
    };
    let Some(slot) = slot else {
        members.contacts.written = None;
        return;
    };
    let fresh = |it: Written| {
        let same = it.alone == alone && (alone || it.slot == slot);
        same && cx.now.since(it.time) < REFRESH_MS
    };
    if members.contacts.written.is_some_and(fresh) {
        return;
    }
    if alone {
        // The first few that find each other look again soon.
        members.contacts.checked = check_after(cx.now, FIRST_CHECK_MS);
    }
    members.contacts.written = Some(Written {
        slot,
        time: cx.now,
        alone,
    });
    write(cx, members, slot);
    // A fleet split into two that never heard of one another finds itself by these rows.
    scan(cx, members);
}

/// The row of its zone that falls to this node, if one does.
fn place(members: &Members) -> Option<usize> {
    let near = members.ready_in(&members.own.zone);
    let ranked = rendezvous(CONTACT_PREFIX, near.map(|it| it.id));
    let mut first = ranked.iter().take(CONTACT_SLOTS);
    first.position(|it| *it == members.own.id)
}

fn write(cx: &mut Context<'_>, members: &Members, slot: usize) {
    let contact = Contact {
        id: members.own.id,
        stamp: members.own.stamp(),
    };
    let Ok(value) = postcard::to_stdvec(&contact) else {
        return;
    };
    let key = contact_key(&members.own.zone, slot);
    // No check: two views that differ only overwrite one good contact by another.
    cx.table(TableOp::Commit {
        checks: Vec::new(),
        writes: vec![Write::Put { key, value }],
    });
}
