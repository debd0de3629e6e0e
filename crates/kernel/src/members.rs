//! Membership: the nodes of the fleet, the phase of each and whether it can be reached.
//!
//! Each node owns its [`Record`]. Other nodes receive it by gossip (`probe`, `queue`), at a join
//! (`join`) or by anti-entropy (`sync`). `suspect` and `zone_loss` detect failures.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::Ms,
    event::{self, Event, Notice},
    id::{Name, NodeId},
    import::Source,
    kernel::{Context, Plugin, Scope, State},
    settings::Settings,
};

mod contact;
mod digest;
mod join;
mod probe;
mod queue;
mod record;
mod suspect;
mod sync;
mod upstream;
mod zone_loss;

use self::{
    contact::Contacts,
    digest::Digest,
    join::Join,
    probe::Prober,
    queue::{Delivery, Queue},
    suspect::{Freshness, Losses, Tombstones},
    sync::Sync,
    zone_loss::Zones,
};
pub use self::{
    contact::{CONTACT_PREFIX, CONTACT_SLOTS, Contact, contact_key},
    join::Discovery,
    probe::{ACK_MS, PACKET_MAX, PROBE_MS},
    queue::{GOSSIP_BURST, GOSSIP_RATE},
    record::{
        BadPhase, Evidence, Exposure, Head, Message, Offer, Packet, Phase, Reach, Record, Stamp,
        Update, ZoneState,
    },
    suspect::{LOSS_WINDOW_MS, TOMBSTONE_TTL_MS, UNREACHABLE_TTL_MS, suspicion_timeout_ms},
    sync::{CHUNK_MAX, SYNC_MS},
    upstream::{LEASE_MS, leave, set_evidence, set_exposure},
};

inventory::submit! { Plugin { name: "members", order: 10, scope: Scope::Any, handle } }

#[derive(Debug)]
struct Member {
    record: Record,
    reach: Reach,
    reach_since: Ms,
}

/// Whether an update changed the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Applied {
    Changed,
    /// The update was known, older than what is known, or about this node itself.
    Unchanged,
}

/// Whether an update that changed the view is passed on to other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Propagation {
    /// Other members may lack it too.
    Gossip,
    /// Only this node lacked it.
    Local,
}

/// The view of the fleet that this node holds.
#[derive(Debug)]
pub struct Members {
    own: Record,
    others: BTreeMap<NodeId, Member>,
    /// The keys of `others`, for choosing members at random.
    ids: Vec<NodeId>,
    unreachable: BTreeSet<NodeId>,
    /// One shared copy of each name.
    names: BTreeSet<Name>,
    tombstones: Tombstones,
    zones: Zones,
    losses: Losses,
    freshness: Freshness,
    digest: Digest,
    queue: Queue,
    prober: Prober,
    join: Join,
    sync: Sync,
    contacts: Contacts,
    /// Last heartbeat of the upstream.
    heartbeat: Ms,
    /// The whole node leaves, not only its upstream.
    is_leaving: bool,
    /// The view changed since the last tick.
    changed: bool,
}

impl Members {
    /// Creates a view that holds only this node.
    pub fn new(settings: &Settings) -> Members {
        let own = Record {
            id: settings.node,
            incarnation: settings.incarnation,
            version: 0,
            phase: Phase::Warming,
            traffic: settings.traffic,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            offer: None,
        };
        let mut digest = Digest::default();
        digest.toggle(own.head());
        Members {
            own,
            digest,
            others: BTreeMap::new(),
            ids: Vec::new(),
            unreachable: BTreeSet::new(),
            names: BTreeSet::new(),
            tombstones: Tombstones::default(),
            zones: Zones::default(),
            losses: Losses::default(),
            freshness: Freshness::default(),
            queue: Queue::default(),
            prober: Prober::default(),
            join: Join::default(),
            sync: Sync::default(),
            contacts: Contacts::default(),
            heartbeat: Ms(0),
            is_leaving: false,
            changed: false,
        }
    }

    /// Returns this node's record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns every member that has not left, this node first, reachable or not.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        self.alive_with_reach().map(|(it, _)| it)
    }

    /// Returns every member that has not left, this node first, with its reachability.
    pub fn alive_with_reach(&self) -> impl Iterator<Item = (&Record, Reach)> {
        let others = self.others.values().map(|it| (&it.record, it.reach));
        std::iter::once((&self.own, Reach::Reachable))
            .chain(others)
            .filter(|(it, _)| it.phase != Phase::Gone)
    }

    /// Returns the members that may serve others: as relay, committer or holder of buckets.
    pub fn ready(&self) -> impl Iterator<Item = &Record> {
        self.alive_with_reach()
            .filter(|(it, reach)| it.phase != Phase::Draining && *reach != Reach::Unreachable)
            .map(|(it, _)| it)
    }

    /// Returns the members of `zone` that may serve others.
    pub fn ready_in(&self, zone: &Name) -> impl Iterator<Item = &Record> {
        self.ready().filter(move |it| it.zone == *zone)
    }

    /// Returns whether `id` can be reached, or `None` if it is not a member.
    pub fn reach(&self, id: NodeId) -> Option<Reach> {
        if id == self.own.id {
            return Some(Reach::Reachable);
        }
        self.others.get(&id).map(|it| it.reach)
    }

    /// Returns whether another node has sent records to this process, or a digest equal to its own.
    pub fn joined(&self) -> bool {
        matches!(self.discovery(), Discovery::Joined { .. })
    }

    /// Returns whether this process has found the fleet.
    pub fn discovery(&self) -> Discovery {
        self.join.discovery()
    }

    /// Returns whether the view is fresh enough to act on as a relay or committer: false after a
    /// pause of the process until other members have answered again.
    pub fn is_fresh(&self) -> bool {
        self.others.is_empty() || self.freshness == Freshness::Fresh
    }

    /// Returns whether so many members were lost at once that this node itself may be partitioned
    /// from the fleet. No member is removed as dead while that holds.
    pub fn is_partitioned(&self) -> bool {
        self.losses.is_partitioned()
    }

    /// Returns the state of `zone` as a whole.
    pub fn zone(&self, zone: &Name) -> ZoneState {
        self.zones.state(zone)
    }

    /// Returns the digest of the whole view; equal views have equal digests.
    pub fn root(&self) -> u64 {
        self.digest.root()
    }

    /// Applies one update to the view.
    fn apply_update(&mut self, now: Ms, update: &Update, propagation: Propagation) -> Applied {
        match update {
            Update::Record(it) => self.apply_record(now, it, propagation),
            Update::Leaving { head, phase } => self.apply_leaving(now, *head, *phase, propagation),
            Update::Suspect(it) => self.apply_suspect(now, *it),
            Update::Dead(it) => self.apply_dead(now, *it),
            Update::Zone(it) => self.apply_zone(now, it),
        }
    }

    fn apply_record(&mut self, now: Ms, record: &Record, propagation: Propagation) -> Applied {
        if record.id == self.own.id {
            self.check_own_stamp(now, record.stamp());
            return Applied::Unchanged;
        }
        if self.tombstones.covers(record.head()) || self.stamp(record.id) >= Some(record.stamp()) {
            return Applied::Unchanged;
        }
        let urgent = self.withdraws_work(record) || self.refutes_suspicion(record);
        if record.phase == Phase::Gone {
            self.remove_with_tombstone(now, record.head());
        } else {
            self.insert(now, record);
        }
        if propagation == Propagation::Gossip {
            let delivery = match urgent {
                true => Delivery::Urgent,
                false => Delivery::Piggyback,
            };
            self.queue.push(now, update_of(record), delivery);
        }
        Applied::Changed
    }

    /// Returns whether `record` announces that a known member takes no more new work.
    fn withdraws_work(&self, record: &Record) -> bool {
        self.others.get(&record.id).is_some_and(|it| {
            let takes_requests = |it: &Record| {
                let offer = it.offer.as_ref();
                offer.is_some_and(|it| it.exposure.takes_requests())
            };
            let withdrawn = takes_requests(&it.record) && !takes_requests(record);
            withdrawn || (record.phase >= Phase::Draining && it.record.phase < record.phase)
        })
    }

    /// Returns whether `record` refutes a suspicion of its node.
    fn refutes_suspicion(&self, record: &Record) -> bool {
        let reach = self.others.get(&record.id).map(|it| it.reach);
        reach == Some(Reach::Suspect)
    }

    fn apply_leaving(
        &mut self,
        now: Ms,
        head: Head,
        phase: Phase,
        propagation: Propagation,
    ) -> Applied {
        if head.id == self.own.id {
            self.check_own_stamp(now, head.stamp);
            return Applied::Unchanged;
        }
        if self.tombstones.covers(head) || self.stamp(head.id) >= Some(head.stamp) {
            return Applied::Unchanged;
        }
        match self.others.get(&head.id) {
            // The drain of an unknown node needs no update; its record comes by anti-entropy.
            None if phase != Phase::Gone => return Applied::Unchanged,
            Some(member) if phase != Phase::Gone => {
                let mut record = member.record.clone();
                (record.incarnation, record.version) = (head.stamp.incarnation, head.stamp.version);
                record.phase = phase;
                self.insert(now, &record);
            }
            _ => self.remove_with_tombstone(now, head),
        }
        if propagation == Propagation::Gossip {
            self.queue
                .push(now, Update::Leaving { head, phase }, Delivery::Urgent);
        }
        Applied::Changed
    }

    /// Compares the stamp that another node holds for this node with the own one.
    ///
    /// A higher stamp comes from an earlier process on this address whose clock was ahead. It would
    /// win over the own record on every node, so the own stamp is raised above it.
    fn check_own_stamp(&mut self, now: Ms, stamp: Stamp) {
        if stamp > self.own.stamp() {
            self.refute(now, stamp);
        }
    }

    /// Raises the own stamp above `stamp` and sends the own record.
    fn refute(&mut self, now: Ms, stamp: Stamp) {
        if self.own.phase == Phase::Gone {
            return;
        }
        self.digest.toggle(self.own.head());
        if stamp.incarnation > self.own.incarnation {
            self.own.incarnation = stamp.incarnation.saturating_add(1);
        } else {
            self.own.version = self.own.version.max(stamp.version).saturating_add(1);
        }
        self.digest.toggle(self.own.head());
        self.changed = true;
        self.queue
            .push(now, Update::Record(self.own.clone()), Delivery::Origin);
    }

    /// Changes the own record and sends it.
    fn change_own(&mut self, now: Ms, change: impl FnOnce(&mut Record), delivery: Delivery) {
        if self.own.phase == Phase::Gone {
            return;
        }
        self.digest.toggle(self.own.head());
        change(&mut self.own);
        self.own.version = self.own.version.saturating_add(1);
        if self.own.phase != Phase::Gone {
            self.digest.toggle(self.own.head());
        }
        self.changed = true;
        self.queue.push(now, update_of(&self.own), delivery);
    }

    /// Inserts a newer record. Its owner wrote it, so a member known before is reachable.
    fn insert(&mut self, now: Ms, record: &Record) {
        let mut record = record.clone();
        record.region = self.intern(record.region);
        record.zone = self.intern(record.zone);
        if let Some(offer) = &mut record.offer {
            offer.service = self.intern(offer.service.clone());
        }
        let known = self.remove(record.id);
        // The record of an unknown member may be older than the loss of its zone; a newer record of
        // a known member is not.
        let reach = match known.is_none() && self.zones.state(&record.zone).lost() {
            true => Reach::Unreachable,
            false => Reach::Reachable,
        };
        let id = record.id;
        self.tombstones.remove(id);
        self.digest.toggle(record.head());
        self.zones.add_member(&record.zone);
        if known.is_none() {
            self.ids.push(id);
        }
        if reach == Reach::Unreachable {
            self.unreachable.insert(id);
        }
        let member = Member {
            record,
            reach,
            reach_since: now,
        };
        self.others.insert(id, member);
        self.changed = true;
    }

    /// Removes a member and keeps a tombstone, so that a late update cannot add it again.
    fn remove_with_tombstone(&mut self, now: Ms, head: Head) {
        if self.remove(head.id).is_some() {
            self.ids.retain(|it| *it != head.id);
        }
        self.tombstones.insert(now, head);
        self.changed = true;
    }

    fn remove(&mut self, id: NodeId) -> Option<Member> {
        let member = self.others.remove(&id)?;
        self.digest.toggle(member.record.head());
        self.zones.remove_member(&member.record.zone);
        self.losses.retract(id);
        self.unreachable.remove(&id);
        Some(member)
    }

    fn set_reach(&mut self, now: Ms, id: NodeId, reach: Reach) {
        let Some(member) = self.others.get_mut(&id) else {
            return;
        };
        if member.reach == reach {
            return;
        }
        member.reach = reach;
        member.reach_since = now;
        if reach != Reach::Suspect {
            self.losses.end_suspicion(id);
        }
        if reach == Reach::Reachable {
            self.losses.retract(id);
        }
        match reach {
            Reach::Unreachable => self.unreachable.insert(id),
            Reach::Reachable | Reach::Suspect => self.unreachable.remove(&id),
        };
        self.changed = true;
    }

    fn stamp(&self, id: NodeId) -> Option<Stamp> {
        self.others.get(&id).map(|it| it.record.stamp())
    }

    fn intern(&mut self, name: Name) -> Name {
        match self.names.get(&name) {
            Some(known) => known.clone(),
            None => {
                self.names.insert(name.clone());
                name
            }
        }
    }

    /// Returns how many times each update is sent: about three times the binary logarithm of the
    /// fleet's size.
    fn transmit_limit(&self) -> u32 {
        3 * log2(self.others.len() + 1)
    }
}

/// Returns the number of binary digits of `count`, about its binary logarithm; at least one.
fn log2(count: usize) -> u32 {
    (usize::BITS - count.leading_zeros()).max(1)
}

/// Returns the shortest update that conveys `record` to nodes that know its member. Nodes that don't
/// know a draining member don't need it.
fn update_of(record: &Record) -> Update {
    match record.phase {
        Phase::Warming | Phase::Ready => Update::Record(record.clone()),
        Phase::Draining | Phase::Gone => Update::Leaving {
            head: record.head(),
            phase: record.phase,
        },
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    if let Event::Upstream(it) = event {
        return upstream::handle_event(cx, state, it);
    }
    let members = &mut state.members;
    match event {
        Event::Start => join::start(cx, members),
        Event::Tick => tick(cx, members),
        Event::Probe { from, packet } => probe::handle_packet(cx, members, *from, packet),
        Event::Message {
            from,
            message: event::Message::Members(message),
        } => sync::handle_message(cx, members, *from, message),
        Event::Table { call, answer } => contact::handle_table_answer(cx, members, *call, answer),
        Event::Source(Source::Held) => join::handle_source(cx, members),
        Event::Notice(Notice::Paused { lost }) => suspect::handle_pause(cx, members, *lost),
        Event::Notice(Notice::Restored) => contact::handle_restored_table(cx, members),
        _ => {}
    }
}

fn tick(cx: &mut Context<'_>, members: &mut Members) {
    upstream::tick(cx, members);
    if members.own.phase != Phase::Gone {
        suspect::tick(cx, members);
        probe::tick(cx, members);
        join::tick(cx, members);
        sync::tick(cx, members);
        contact::tick(cx, members);
    }
    probe::push_updates(cx, members);
    members.zones.log_changes(cx);
    // All changes within one tick raise one notice.
    if std::mem::take(&mut members.changed) {
        cx.raise(Notice::Members);
    }
}
