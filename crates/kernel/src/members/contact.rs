//! Contact rows in the platform's table, by which starting nodes find the fleet: a few rows per zone,
//! each written by a member of the zone.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{Members, Stamp, join};
use crate::{
    clock::Ms,
    id::{CallId, Name, NodeId},
    kernel::Context,
    platform::{ABSENT, Check, Row, TableAnswer, TableOp, Write},
    utils::rendezvous,
};

/// Key prefix of contact rows.
pub const CONTACT_PREFIX: &str = "contact/";

/// Number of contact rows per zone.
pub const CONTACT_SLOTS: usize = 3;

/// Interval in ms at which a node checks whether it has to write a row.
const CHECK_MS: u64 = 10_000;

/// Time in ms from the first scan of a starting node to its next check. Joins are over by then, and a
/// fleet that split in two, where one half overwrote the rows of the other, merges before it serves.
const FIRST_CHECK_MS: u64 = 2_000;

/// Longest delay in ms before a node that found no contact writes a row.
const FIRST_WRITE_MAX_MS: u64 = 600;

/// Average number of nodes per zone that send a join to contacts in other zones although they found
/// one in their own zone.
const REMOTE_JOINS: u32 = 4;

/// Interval in ms at which an unchanged row is written again.
const REFRESH_MS: u64 = 60_000;

/// Time in ms after which a row that did not change counts as that of a dead node: a living one has refreshed it.
const STALE_MS: u64 = REFRESH_MS + 2 * CHECK_MS;

/// Most rows read by one scan.
const SCAN_MAX: u32 = 200;

/// Value of a contact row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// A member of the zone.
    pub id: NodeId,
    /// Its stamp at the time of the write.
    pub stamp: Stamp,
}

/// Returns the key of a contact row.
pub fn contact_key(zone: &Name, slot: usize) -> String {
    format!("{CONTACT_PREFIX}{zone}/{slot}")
}

/// Decodes a row, unless it is damaged or names an address that no node has.
fn decode(row: &Row) -> Option<Contact> {
    let contact: Contact = postcard::from_bytes(&row.value).ok()?;
    contact.id.is_valid().then_some(contact)
}

/// State of reading and writing contact rows.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// Scan in flight.
    scan: Option<CallId>,
    /// Write in flight.
    write: Option<CallId>,
    /// When a scan was answered first.
    read_at: Option<Ms>,
    /// The rows as they were read last, by key.
    rows: BTreeMap<String, ReadRow>,
    /// Time of the last check.
    checked: Ms,
    written: Option<WrittenRow>,
    /// Contacts in other zones, kept until another node has sent its view to this process.
    remote: Vec<NodeId>,
}

impl Contacts {
    /// Returns when the rows were read first, if ever.
    pub(super) fn read_at(&self) -> Option<Ms> {
        self.read_at
    }

    /// Returns the number of nodes besides `own` that the rows name, without those that refresh their rows no more.
    pub(super) fn count_others(&self, now: Ms, own: NodeId) -> usize {
        let living = self.rows.values();
        let living = living.filter(|it| now.since(it.since) < STALE_MS);
        let named = living.filter_map(|it| it.id);
        named.filter(|it| *it != own).collect::<BTreeSet<_>>().len()
    }

    /// Records the rows that a scan found. A row that names no node still occupies its slot.
    fn record(&mut self, now: Ms, rows: &[Row]) {
        let before = std::mem::take(&mut self.rows);
        for row in rows {
            let known = before.get(&row.key);
            let unchanged = known.filter(|it| it.version == row.version);
            let read = ReadRow {
                id: decode(row).map(|it| it.id),
                version: row.version,
                since: unchanged.map_or(now, |it| it.since),
            };
            self.rows.insert(row.key.clone(), read);
        }
    }

    /// Returns the version of the row of `slot` when it was read last.
    fn version(&self, zone: &Name, slot: usize) -> u64 {
        let row = self.rows.get(&contact_key(zone, slot));
        row.map_or(ABSENT, |it| it.version)
    }

    /// Returns a slot of `zone` for a node that knows no other member: a free one, or that of a contact which did
    /// not answer.
    fn choose_slot(&self, zone: &Name, rng: &mut impl Rng) -> usize {
        let free: Vec<usize> = (0..CONTACT_SLOTS)
            .filter(|it| self.version(zone, *it) == ABSENT)
            .collect();
        match free.choose(rng) {
            Some(it) => *it,
            None => rng.random_range(0..CONTACT_SLOTS),
        }
    }
}

/// A row as it was read.
#[derive(Clone, Copy, Debug)]
struct ReadRow {
    /// The node that it names, if it is intact.
    id: Option<NodeId>,
    version: u64,
    /// When this version was read first.
    since: Ms,
}

/// The row that this node wrote last.
#[derive(Clone, Copy, Debug)]
struct WrittenRow {
    slot: usize,
    time: Ms,
    /// Whether this node knew no other member then. Nodes that started at the same time may have
    /// overwritten such a row before any node read it.
    alone: bool,
}

/// Reads the contact rows of every zone. Joins are sent when the rows arrive.
pub(super) fn scan(cx: &mut Context<'_>, members: &mut Members) {
    let op = TableOp::Scan {
        prefix: CONTACT_PREFIX.to_owned(),
        after: String::new(),
        limit: SCAN_MAX,
    };
    members.contacts.scan = Some(cx.table(op));
}

/// Sends joins to the contacts that a scan found. Ignores answers to calls of other modules.
pub(super) fn handle_table_answer(
    cx: &mut Context<'_>,
    members: &mut Members,
    call: CallId,
    answer: &TableAnswer,
) {
    if members.contacts.write == Some(call) {
        members.contacts.write = None;
        if *answer != TableAnswer::Committed {
            // Another node may have taken the slot, or the table is down: the row is written at a later check.
            members.contacts.written = None;
        }
        return;
    }
    if members.contacts.scan != Some(call) {
        return;
    }
    members.contacts.scan = None;
    let TableAnswer::Rows(rows) = answer else {
        return;
    };
    members.contacts.read_at.get_or_insert(cx.now);
    members.contacts.record(cx.now, rows);
    let prefix = contact_key(&members.own.zone, 0);
    let prefix = prefix.trim_end_matches('0');
    // Known members are skipped unless none is reachable: anti-entropy compares with them anyway.
    let alone = members.others.len() == members.unreachable.len();
    let found = |local: bool| -> Vec<NodeId> {
        // A node that several rows name is asked like the others, or a few rows of a dead one would hide them.
        let mut seen = BTreeSet::new();
        rows.iter()
            .filter(|it| it.key.starts_with(prefix) == local)
            .filter_map(decode)
            .map(|it| it.id)
            .filter(|it| *it != members.own.id)
            .filter(|it| alone || !members.others.contains_key(it))
            .filter(|it| seen.insert(*it))
            .collect()
    };
    // Contacts in the own zone mostly know the other zones. Each answer is a whole view, which costs
    // most between zones.
    let (local, remote) = (found(true), found(false));
    join::send_joins(cx, members, &local);
    // The contacts of the own zone may all be dead.
    match local.is_empty() || (alone && !members.join.is_first()) {
        true => join::send_joins(cx, members, &remote),
        false => members.contacts.remote = remote,
    }
    // A node that found no contact, or whose first joins had no answer, writes a row soon so that others
    // find it. The random delay keeps nodes that start together from overwriting each other's rows unread.
    let awaits_answer = !rows.is_empty() && members.join.is_first();
    let pause = match alone && !awaits_answer {
        true => cx.rng.random_range(0..FIRST_WRITE_MAX_MS),
        false => FIRST_CHECK_MS,
    };
    let first = last_check_for(cx.now, pause);
    members.contacts.checked = members.contacts.checked.max(first);
}

/// Sends a join to contacts in other zones that are still unknown after the first view arrived, on about
/// [`REMOTE_JOINS`] nodes of each zone.
///
/// When a whole fleet starts, members of the own zone know little of other zones. Without this, a host
/// whose zone lacks a service would refuse requests for it until anti-entropy reaches the other zones.
pub(super) fn join_remote_contacts(cx: &mut Context<'_>, members: &mut Members) {
    let mut unknown = std::mem::take(&mut members.contacts.remote);
    unknown.retain(|it| !members.others.contains_key(it));
    if unknown.is_empty() {
        return;
    }
    let local = members.ready_in(&members.own.zone).count() as u32;
    if cx
        .rng
        .random_ratio(REMOTE_JOINS.min(local.max(1)), local.max(1))
    {
        join::send_joins(cx, members, &unknown);
    }
}

/// Schedules a check after the table was restored from an older copy, which may lack this node's row.
pub(super) fn handle_restored_table(cx: &mut Context<'_>, members: &mut Members) {
    let contacts = &mut members.contacts;
    contacts.written = None;
    // Jitter, so that the nodes don't all write at once.
    let pause = cx.rng.random_range(0..FIRST_CHECK_MS);
    contacts.checked = last_check_for(cx.now, pause);
}

/// Returns the time of the last check that makes the next one due `pause` ms after `now`.
fn last_check_for(now: Ms, pause: u64) -> Ms {
    now + pause - CHECK_MS
}

/// Writes this node's contact row if a check is due and the last write is too old or for another slot.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    let alone = members.others.is_empty();
    // A node that has not read the rows would overwrite those of a fleet that it does not know.
    let is_unread = members.contacts.read_at.is_none();
    if alone && (members.contacts.scan.is_some() || is_unread) {
        return;
    }
    let checked = members.contacts.checked;
    if checked != Ms(0) && cx.now.since(checked) < CHECK_MS {
        return;
    }
    members.contacts.checked = cx.now;
    if !members.is_fresh() || members.is_partitioned() {
        return;
    }
    let slot = match alone {
        true => Some(members.contacts.choose_slot(&members.own.zone, cx.rng)),
        false => own_slot(members),
    };
    let Some(slot) = slot else {
        members.contacts.written = None;
        return;
    };
    let is_current = |it: WrittenRow| {
        let same = it.alone == alone && (alone || it.slot == slot);
        same && cx.now.since(it.time) < REFRESH_MS
    };
    if members.contacts.written.is_some_and(is_current) {
        return;
    }
    if alone {
        // Checks again soon, since other starting nodes may overwrite the row.
        members.contacts.checked = last_check_for(cx.now, FIRST_CHECK_MS);
    }
    members.contacts.written = Some(WrittenRow {
        slot,
        time: cx.now,
        alone,
    });
    let checks = match alone {
        true => vec![Check {
            key: contact_key(&members.own.zone, slot),
            version: members.contacts.version(&members.own.zone, slot),
        }],
        // Nodes whose views differ only replace one valid contact by another.
        false => Vec::new(),
    };
    write_row(cx, members, slot, checks);
    // Two halves of a fleet that don't know each other find each other by these rows.
    scan(cx, members);
}

/// Returns the slot of its zone that is assigned to this node, if any.
fn own_slot(members: &Members) -> Option<usize> {
    let local = members.ready_in(&members.own.zone);
    let ranked = rendezvous(CONTACT_PREFIX, local.map(|it| it.id));
    let mut first = ranked.iter().take(CONTACT_SLOTS);
    first.position(|it| *it == members.own.id)
}

fn write_row(cx: &mut Context<'_>, members: &mut Members, slot: usize, checks: Vec<Check>) {
    let contact = Contact {
        id: members.own.id,
        stamp: members.own.stamp(),
    };
    let Ok(value) = postcard::to_stdvec(&contact) else {
        return;
    };
    let key = contact_key(&members.own.zone, slot);
    members.contacts.write = Some(cx.table(TableOp::Commit {
        checks,
        writes: vec![Write::Put { key, value }],
    }));
}
