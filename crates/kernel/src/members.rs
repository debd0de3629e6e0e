//! Members: who is there, in which phase, and whether they can be reached.
//!
//! Each node owns its [`Record`]; the others learn it from datagrams (`probe`, `queue`), at a join
//! (`join`) or by comparing digests (`sync`). Losses are judged in `suspect` and `zone_loss`.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::Ms,
    event::{self, Event, Notice},
    id::{Name, NodeId},
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
    queue::{Pace, Queue},
    suspect::{Losses, Tombs, Trust},
    sync::Sync,
    zone_loss::Zones,
};
pub use self::{
    contact::{CONTACT_PREFIX, CONTACT_SLOTS, Contact, contact_key},
    probe::{ACK_MS, PACKET_MAX, PROBE_MS},
    queue::{NEWS_BURST, NEWS_RATE},
    record::{
        BadPhase, Head, Message, Offer, Packet, Phase, Reach, Record, Stamp, Update, ZoneState,
    },
    suspect::{KEEP_MS, LOSS_MS, TOMB_MS, suspicion},
    sync::{CHUNK_MAX, SYNC_MS},
    upstream::{LEASE_MS, leave},
};

inventory::submit! { Plugin { name: "members", order: 10, scope: Scope::Any, handle } }

#[derive(Debug)]
struct Member {
    record: Record,
    reach: Reach,
    /// When `reach` changed last.
    since: Ms,
}

/// Whether a change came to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Learned {
    /// The view changed.
    New,
    /// It was known already, or is older than what is known.
    Known,
}

/// Whether news is passed on by probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relay {
    /// Others may lack it too.
    Pass,
    /// Only this node lacked it.
    Keep,
}

/// Who is there.
#[derive(Debug)]
pub struct Members {
    own: Record,
    others: BTreeMap<NodeId, Member>,
    /// The keys of `others`, for random choices.
    ids: Vec<NodeId>,
    unreachable: BTreeSet<NodeId>,
    /// One shared copy of each name.
    names: BTreeSet<Name>,
    tombs: Tombs,
    zones: Zones,
    losses: Losses,
    trust: Trust,
    digest: Digest,
    queue: Queue,
    prober: Prober,
    join: Join,
    sync: Sync,
    contacts: Contacts,
    heartbeat: Ms,
    /// The whole node leaves, not only its upstream.
    leaving: bool,
    /// Somebody told this process whom it knows.
    joined: bool,
    changed: bool,
}

impl Members {
    /// Knows only this node.
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
            tombs: Tombs::default(),
            zones: Zones::default(),
            losses: Losses::default(),
            trust: Trust::default(),
            queue: Queue::default(),
            prober: Prober::default(),
            join: Join::default(),
            sync: Sync::default(),
            contacts: Contacts::default(),
            heartbeat: Ms(0),
            leaving: false,
            joined: false,
            changed: false,
        }
    }

    /// This node's record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Every member that has not left, this node first, reachable or not.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        self.alive_with_reach().map(|(it, _)| it)
    }

    /// Every member that has not left, this node first, with its reachability.
    pub fn alive_with_reach(&self) -> impl Iterator<Item = (&Record, Reach)> {
        let others = self.others.values().map(|it| (&it.record, it.reach));
        std::iter::once((&self.own, Reach::Reachable))
            .chain(others)
            .filter(|(it, _)| it.phase != Phase::Gone)
    }

    /// Members that may do work for others: relay, commit, own buckets.
    pub fn ready(&self) -> impl Iterator<Item = &Record> {
        self.alive_with_reach()
            .filter(|(it, reach)| it.phase != Phase::Draining && *reach != Reach::Unreachable)
            .map(|(it, _)| it)
    }

    /// Those of one availability zone.
    pub fn ready_in(&self, zone: &Name) -> impl Iterator<Item = &Record> {
        self.ready().filter(move |it| it.zone == *zone)
    }

    /// Whether `id` can be reached; `None` if it is no member.
    pub fn reach(&self, id: NodeId) -> Option<Reach> {
        if id == self.own.id {
            return Some(Reach::Reachable);
        }
        self.others.get(&id).map(|it| it.reach)
    }

    /// Whether somebody has told this process whom it knows since the start.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Whether the view is fresh enough to relay or commit by it. False after a pause of the process,
    /// until others have answered again.
    pub fn trusted(&self) -> bool {
        self.others.is_empty() || self.trust == Trust::Fresh
    }

    /// Whether so much was lost at once that this node itself may be cut off. Nobody is removed
    /// meanwhile.
    pub fn cut_off(&self) -> bool {
        self.losses.cut_off()
    }

    /// What is known of `zone` as a whole.
    pub fn zone(&self, zone: &Name) -> ZoneState {
        self.zones.state(zone)
    }

    /// A digest of the whole view; equal views have equal digests.
    pub fn root(&self) -> u64 {
        self.digest.root()
    }

    /// Learns one piece of news.
    fn learn(&mut self, now: Ms, update: &Update, relay: Relay) -> Learned {
        match update {
            Update::Record(it) => self.learn_record(now, it, relay),
            Update::Leaving { head, phase } => self.learn_leaving(now, *head, *phase, relay),
            Update::Suspect(it) => self.learn_suspect(now, *it),
            Update::Dead(it) => self.learn_dead(now, *it),
            Update::Zone(it) => self.learn_zone(now, it),
        }
    }

    fn learn_record(&mut self, now: Ms, record: &Record, relay: Relay) -> Learned {
        if record.id == self.own.id {
            self.heard_of_self(now, record.stamp());
            return Learned::Known;
        }
        if self.tombs.covers(record.head()) || self.stamp(record.id) >= Some(record.stamp()) {
            return Learned::Known;
        }
        let urgent = self.leaves(record) || self.refutes(record);
        if record.phase == Phase::Gone {
            self.bury(now, record.head());
        } else {
            self.insert(now, record);
        }
        if relay == Relay::Pass {
            let pace = match urgent {
                true => Pace::Urgent,
                false => Pace::Piggyback,
            };
            self.queue.push(now, update_of(record), pace);
        }
        Learned::New
    }

    /// Whether `record` takes from a known member the work that it could take until now.
    fn leaves(&self, record: &Record) -> bool {
        self.others.get(&record.id).is_some_and(|it| {
            let withdrawn = it.record.offer.is_some() && record.offer.is_none();
            withdrawn || (record.phase >= Phase::Draining && it.record.phase < record.phase)
        })
    }

    /// Whether `record` speaks against a suspicion, whose time is running.
    fn refutes(&self, record: &Record) -> bool {
        let reach = self.others.get(&record.id).map(|it| it.reach);
        reach == Some(Reach::Suspect)
    }

    fn learn_leaving(&mut self, now: Ms, head: Head, phase: Phase, relay: Relay) -> Learned {
        if head.id == self.own.id {
            self.heard_of_self(now, head.stamp);
            return Learned::Known;
        }
        if self.tombs.covers(head) || self.stamp(head.id) >= Some(head.stamp) {
            return Learned::Known;
        }
        match self.others.get(&head.id) {
            // A drain of a node never heard of is no news; its record comes by anti-entropy.
            None if phase != Phase::Gone => return Learned::Known,
            Some(member) if phase != Phase::Gone => {
                let mut record = member.record.clone();
                (record.incarnation, record.version) = (head.stamp.incarnation, head.stamp.version);
                record.phase = phase;
                self.insert(now, &record);
            }
            _ => self.bury(now, head),
        }
        if relay == Relay::Pass {
            self.queue
                .push(now, Update::Leaving { head, phase }, Pace::Urgent);
        }
        Learned::New
    }

    /// Somebody holds a record of this node. One that this incarnation never wrote is from a life
    /// before it with a clock ahead of ours: without a higher stamp, ours would lose to it everywhere.
    fn heard_of_self(&mut self, now: Ms, stamp: Stamp) {
        if stamp > self.own.stamp() {
            self.refute(now, stamp);
        }
    }

    /// Outdoes `stamp`, which somebody says is this node's last.
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
            .push(now, Update::Record(self.own.clone()), Pace::Origin);
    }

    /// Changes the own record and tells it.
    fn change_own(&mut self, now: Ms, change: impl FnOnce(&mut Record), pace: Pace) {
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
        self.queue.push(now, update_of(&self.own), pace);
    }

    /// Takes in a newer record: its owner wrote it, so a member known before is there.
    fn insert(&mut self, now: Ms, record: &Record) {
        let mut record = record.clone();
        record.region = self.intern(record.region);
        record.zone = self.intern(record.zone);
        if let Some(offer) = &mut record.offer {
            offer.service = self.intern(offer.service.clone());
        }
        let known = self.remove(record.id);
        // A stranger's record may be as old as the loss of its zone; a known member's newer one is not.
        let reach = match known.is_none() && self.zones.state(&record.zone).lost() {
            true => Reach::Unreachable,
            false => Reach::Reachable,
        };
        let id = record.id;
        self.tombs.remove(id);
        self.digest.toggle(record.head());
        self.zones.joined(&record.zone);
        if known.is_none() {
            self.ids.push(id);
        }
        if reach == Reach::Unreachable {
            self.unreachable.insert(id);
        }
        let member = Member {
            record,
            reach,
            since: now,
        };
        self.others.insert(id, member);
        self.changed = true;
    }

    /// Removes a member and keeps a tombstone, so that late news cannot bring it back.
    fn bury(&mut self, now: Ms, head: Head) {
        if self.remove(head.id).is_some() {
            self.ids.retain(|it| *it != head.id);
        }
        self.tombs.insert(now, head);
        self.changed = true;
    }

    fn remove(&mut self, id: NodeId) -> Option<Member> {
        let member = self.others.remove(&id)?;
        self.digest.toggle(member.record.head());
        self.zones.left(&member.record.zone);
        self.losses.forget(id);
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
        member.since = now;
        if reach != Reach::Suspect {
            self.losses.settle(id);
        }
        if reach == Reach::Reachable {
            self.losses.forget(id);
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

    /// How often each piece of news is sent: about three times the binary logarithm of the fleet.
    fn times(&self) -> u32 {
        3 * log2(self.others.len() + 1)
    }
}

/// The binary logarithm of `count`, rounded up, at least one.
fn log2(count: usize) -> u32 {
    (usize::BITS - count.leading_zeros()).max(1)
}

/// The shortest news that tells `record` to those who know its node. A member that drains is of no use
/// to those who do not.
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
    let members = &mut state.members;
    match event {
        Event::Start => join::start(cx, members),
        Event::Tick => tick(cx, members),
        Event::Probe { from, packet } => probe::received(cx, members, *from, packet),
        Event::Message {
            from,
            message: event::Message::Members(message),
        } => sync::received(cx, members, *from, message),
        Event::Table { call, answer } => contact::answered(cx, members, *call, answer),
        Event::Upstream(it) => upstream::changed(cx, members, it),
        Event::Notice(Notice::Paused { lost }) => suspect::paused(cx, members, *lost),
        Event::Notice(Notice::Restored) => contact::restored(cx, members),
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
    probe::push(cx, members);
    members.zones.log(cx);
    // Many small changes within one tick are told as one.
    if std::mem::take(&mut members.changed) {
        cx.raise(Notice::Members);
    }
}
