//! The upstream beside this node: its phase, its offer and the lease of the offer.

use super::{Evidence, Exposure, Members, Offer, Phase, queue::Delivery};
use crate::{
    clock::Ms,
    event::{Notice, UpstreamEvent},
    kernel::{Context, State},
    rollout,
};

/// Time in ms without a heartbeat after which the upstream's offer is withdrawn.
pub const LEASE_MS: u64 = 5_000;

/// Applies an event of the upstream to the own record. Each event counts as a heartbeat.
pub(super) fn handle_event(cx: &mut Context<'_>, state: &mut State, event: &UpstreamEvent) {
    state.members.heartbeat = cx.now;
    let members = &mut state.members;
    match event {
        UpstreamEvent::Announced {
            service,
            slots,
            build,
            phase,
        } => {
            let offer = Offer {
                service: service.clone(),
                slots: *slots,
                build: build.clone(),
                exposure: rollout::first_exposure(cx, state, service, build),
                evidence: Evidence::Unknown,
            };
            set_offer(cx, &mut state.members, offer, *phase);
        }
        // Handled by the roll-out.
        UpstreamEvent::Judged(_) | UpstreamEvent::Retired => {}
        UpstreamEvent::Ready => change_phase(cx, members, Phase::Ready, Delivery::Origin),
        UpstreamEvent::Warming => change_phase(cx, members, Phase::Warming, Delivery::Origin),
        UpstreamEvent::Draining => change_phase(cx, members, Phase::Draining, Delivery::Urgent),
        UpstreamEvent::Gone => withdraw_offer(cx, members),
    }
}

/// Withdraws the offer when the lease expires.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    if members.heartbeat == Ms(0) {
        members.heartbeat = cx.now;
    }
    if members.own.offer.is_some() && cx.now.since(members.heartbeat) >= LEASE_MS {
        cx.log("upstream", vec![("state", "lapsed".to_owned())]);
        // A later heartbeat brings the upstream back in its phase, except after a drain: a node that
        // stayed in `Draining` would refuse every later upstream on its host.
        let phase = match (members.is_leaving, members.own.phase) {
            (false, Phase::Draining) => Phase::Warming,
            (_, phase) => phase,
        };
        let change = |it: &mut super::Record| {
            it.offer = None;
            it.phase = phase;
        };
        members.change_own(cx.now, change, Delivery::Urgent);
        cx.raise(Notice::Own);
    }
}

/// Moves the whole node to `phase` for good, as it leaves the fleet.
pub fn leave(cx: &mut Context<'_>, state: &mut State, phase: Phase) {
    state.members.is_leaving = true;
    change_phase(cx, &mut state.members, phase, Delivery::Urgent);
}

/// Sets a new offer together with its phase. If they were published one after the other, entries would refuse
/// requests in between, because the only endpoint they know is not ready.
fn set_offer(cx: &mut Context<'_>, members: &mut Members, offer: Offer, phase: Phase) {
    let is_same = |it: &Offer| {
        (&it.service, it.slots, &it.build) == (&offer.service, offer.slots, &offer.build)
    };
    if members.is_leaving || members.own.offer.as_ref().is_some_and(is_same) {
        return;
    }
    let phase = members.own.phase.change(phase).unwrap_or_else(|error| {
        cx.log("phase-refused", vec![("why", error.to_string())]);
        members.own.phase
    });
    let change = |it: &mut super::Record| {
        it.offer = Some(offer);
        it.phase = phase;
    };
    members.change_own(cx.now, change, Delivery::Origin);
    cx.raise(Notice::Own);
}

/// Sets which requests the own upstream takes.
pub fn set_exposure(cx: &mut Context<'_>, state: &mut State, exposure: Exposure) {
    let delivery = match exposure {
        Exposure::Full | Exposure::Canary => Delivery::Origin,
        // Entries that still send requests to it would only be refused.
        Exposure::Held => Delivery::Urgent,
        // All nodes know it from the stage of the roll-out.
        Exposure::Retiring | Exposure::Retired => Delivery::Piggyback,
    };
    change_offer(cx, state, delivery, |it| it.exposure = exposure);
}

/// Sets what the answers of the own upstream show.
pub fn set_evidence(cx: &mut Context<'_>, state: &mut State, evidence: Evidence) {
    change_offer(cx, state, Delivery::Urgent, |it| it.evidence = evidence);
}

fn change_offer(
    cx: &mut Context<'_>,
    state: &mut State,
    delivery: Delivery,
    change: impl FnOnce(&mut Offer),
) {
    let members = &mut state.members;
    let change = |it: &mut super::Record| {
        if let Some(offer) = &mut it.offer {
            change(offer);
        }
    };
    members.change_own(cx.now, change, delivery);
    cx.raise(Notice::Own);
}

fn withdraw_offer(cx: &mut Context<'_>, members: &mut Members) {
    if members.own.offer.is_none() {
        return;
    }
    // The next upstream on this host starts anew, unless the whole node leaves.
    let phase = match members.is_leaving {
        true => members.own.phase,
        false => Phase::Warming,
    };
    let change = |it: &mut super::Record| {
        it.offer = None;
        it.phase = phase;
    };
    members.change_own(cx.now, change, Delivery::Urgent);
    cx.raise(Notice::Own);
}

fn change_phase(cx: &mut Context<'_>, members: &mut Members, phase: Phase, delivery: Delivery) {
    if members.own.phase == phase {
        return;
    }
    match members.own.phase.change(phase) {
        Ok(phase) => {
            members.change_own(cx.now, |it| it.phase = phase, delivery);
            cx.raise(Notice::Own);
        }
        Err(error) => cx.log("phase-refused", vec![("why", error.to_string())]),
    }
}
