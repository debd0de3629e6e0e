//! Loss of a whole availability zone, sent as one [`ZoneState`] instead of one update per member.
//!
//! Any member of the zone that receives it refutes it.

use std::collections::BTreeMap;

use super::{
    Applied, Members, Reach,
    queue::Delivery,
    record::{Topic, Update, ZoneState},
    suspect::LOSS_RATIO,
};
use crate::{
    clock::Ms,
    id::{Name, NodeId},
    kernel::Context,
};

/// Least number of lost members that count as the loss of a zone.
const ZONE_LOSS_MIN: usize = 3;

/// Time in ms after a zone was found during which it is not declared lost again. Part of the zone is
/// reachable, so its dead members are removed one by one.
const HOLDOFF_MS: u64 = 60_000;

/// Number of zones from which on states of unknown zones are ignored, so that made-up names can't exhaust
/// the memory.
const ZONES_MAX: usize = 512;

#[derive(Debug, Default)]
struct Zone {
    members: usize,
    epoch: u64,
    /// When the zone was found last.
    found: Option<Ms>,
}

/// State of each zone.
#[derive(Debug, Default)]
pub(super) struct Zones {
    zones: BTreeMap<Name, Zone>,
    /// Changes not logged yet.
    changes: Vec<ZoneState>,
}

impl Zones {
    pub(super) fn state(&self, zone: &Name) -> ZoneState {
        ZoneState {
            zone: zone.clone(),
            epoch: self.zones.get(zone).map_or(0, |it| it.epoch),
        }
    }

    pub(super) fn add_member(&mut self, zone: &Name) {
        self.zones.entry(zone.clone()).or_default().members += 1;
    }

    pub(super) fn remove_member(&mut self, zone: &Name) {
        if let Some(it) = self.zones.get_mut(zone) {
            it.members -= 1;
        }
    }

    /// Returns the states of all zones that were ever lost.
    pub(super) fn states(&self) -> Vec<ZoneState> {
        self.zones
            .keys()
            .map(|it| self.state(it))
            .filter(|it| it.epoch > 0)
            .collect()
    }

    /// Logs the changes since the last call.
    pub(super) fn log_changes(&mut self, cx: &mut Context<'_>) {
        for it in self.changes.drain(..) {
            let state = match it.lost() {
                true => "lost",
                false => "found",
            };
            let pairs = vec![
                ("zone", it.zone.to_string()),
                ("state", state.to_owned()),
                ("epoch", it.epoch.to_string()),
            ];
            cx.log("zone", pairs);
        }
    }

    fn may_be_lost(&self, now: Ms, zone: &Name, lost: usize) -> bool {
        self.zones.get(zone).is_some_and(|it| {
            let quiet = it.found.is_none_or(|at| now.since(at) >= HOLDOFF_MS);
            quiet && it.epoch.is_multiple_of(2) && lost * LOSS_RATIO > it.members
        })
    }
}

impl Members {
    pub(super) fn apply_zone(&mut self, now: Ms, state: &ZoneState) -> Applied {
        if state.epoch <= self.zones.state(&state.zone).epoch {
            return Applied::Unchanged;
        }
        if self.zones.zones.len() >= ZONES_MAX && !self.zones.zones.contains_key(&state.zone) {
            return Applied::Unchanged;
        }
        // This node is a member of the zone and running, so the zone is not lost.
        let refuted = state.lost() && state.zone == self.own.zone;
        let state = ZoneState {
            zone: self.intern(state.zone.clone()),
            epoch: state.epoch.saturating_add(u64::from(refuted)),
        };
        self.set_zone(now, &state);
        let delivery = match state.lost() {
            true => Delivery::Piggyback,
            false => Delivery::Origin,
        };
        self.queue.push(now, Update::Zone(state), delivery);
        Applied::Changed
    }

    /// Declares the zone of the suspect `id` lost if too many of its members were lost at once.
    pub(super) fn check_zone_loss(&mut self, now: Ms, id: NodeId) {
        let Some(zone) = self.others.get(&id).map(|it| it.record.zone.clone()) else {
            return;
        };
        if zone == self.own.zone {
            return;
        }
        let lost = self
            .losses
            .recent()
            .filter(|it| self.others.get(it).is_some_and(|it| it.record.zone == zone))
            .count();
        if lost >= ZONE_LOSS_MIN && self.zones.may_be_lost(now, &zone, lost) {
            let epoch = self.zones.state(&zone).epoch + 1;
            self.apply_zone(now, &ZoneState { zone, epoch });
        }
    }

    fn set_zone(&mut self, now: Ms, state: &ZoneState) {
        let before = self.zones.state(&state.zone);
        self.zones.changes.push(state.clone());
        self.digest.toggle_zone(&before);
        self.digest.toggle_zone(state);
        let zone = self.zones.zones.entry(state.zone.clone()).or_default();
        zone.epoch = state.epoch;
        if !state.lost() {
            zone.found = Some(now);
        }
        let reach = match state.lost() {
            true => Reach::Unreachable,
            false => Reach::Reachable,
        };
        for id in self.members_in_zone(&state.zone) {
            self.set_reach(now, id, reach);
            self.losses.retract(id);
            if state.lost() {
                self.drop_suspicion(id);
            }
        }
        self.changed = true;
    }

    /// Removes the queued suspicion of `id`, which the state of its zone covers.
    fn drop_suspicion(&mut self, id: NodeId) {
        self.queue.remove_suspicion(&Topic::Node(id));
    }

    fn members_in_zone(&self, zone: &Name) -> Vec<NodeId> {
        self.others
            .values()
            .filter(|it| it.record.zone == *zone)
            .map(|it| it.record.id)
            .collect()
    }
}
