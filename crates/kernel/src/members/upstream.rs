//! The upstream beside this node: its phase, its offer and the lease that keeps the offer up.

use super::{Members, Offer, Phase, queue::Pace};
use crate::{
    clock::Ms,
    event::{Notice, UpstreamEvent},
    kernel::{Context, State},
};

/// Ms without a heartbeat after which the upstream's offer is withdrawn.
pub const LEASE_MS: u64 = 5_000;

/// Takes what the upstream says of itself. Each event is a heartbeat.
pub(super) fn changed(cx: &mut Context<'_>, members: &mut Members, event: &UpstreamEvent) {
    members.heartbeat = cx.now;
    match event {
        UpstreamEvent::Announced { service, slots } => {
            let offer = Offer {
                service: service.clone(),
                slots: *slots,
            };
            announced(cx, members, offer);
        }
        UpstreamEvent::Ready => change_phase(cx, members, Phase::Ready, Pace::Origin),
        UpstreamEvent::Warming => change_phase(cx, members, Phase::Warming, Pace::Origin),
        UpstreamEvent::Draining => change_phase(cx, members, Phase::Draining, Pace::Urgent),
        UpstreamEvent::Gone => gone(cx, members),
    }
}

/// Withdraws the offer of an upstream that went silent.
pub(super) fn tick(cx: &mut Context<'_>, members: &mut Members) {
    if members.heartbeat == Ms(0) {
        members.heartbeat = cx.now;
    }
    if members.own.offer.is_some() && cx.now.since(members.heartbeat) >= LEASE_MS {
        cx.log("upstream", vec![("state", "lapsed".to_owned())]);
        // A heartbeat after the lapse brings the same upstream back in its phase. One that drained is
        // over: left at Draining, the node would refuse the next upstream on its host for ever.
        let phase = match (members.leaving, members.own.phase) {
            (false, Phase::Draining) => Phase::Warming,
            (_, phase) => phase,
        };
        let change = |it: &mut super::Record| {
            it.offer = None;
            it.phase = phase;
        };
        members.change_own(cx.now, change, Pace::Urgent);
        cx.raise(Notice::Own);
    }
}

/// Moves the whole node to `phase` for good: it leaves.
pub fn leave(cx: &mut Context<'_>, state: &mut State, phase: Phase) {
    state.members.leaving = true;
    change_phase(cx, &mut state.members, phase, Pace::Urgent);
}

fn announced(cx: &mut Context<'_>, members: &mut Members, offer: Offer) {
    if members.leaving || members.own.offer.as_ref() == Some(&offer) {
        return;
    }
    members.change_own(cx.now, |it| it.offer = Some(offer), Pace::Origin);
    cx.raise(Notice::Own);
}

fn gone(cx: &mut Context<'_>, members: &mut Members) {
    if members.own.offer.is_none() {
        return;
    }
    // The next upstream on this host starts anew, unless the whole node leaves.
    let phase = match members.leaving {
        true => members.own.phase,
        false => Phase::Warming,
    };
    let change = |it: &mut super::Record| {
        it.offer = None;
        it.phase = phase;
    };
    members.change_own(cx.now, change, Pace::Urgent);
    cx.raise(Notice::Own);
}

fn change_phase(cx: &mut Context<'_>, members: &mut Members, phase: Phase, pace: Pace) {
    if members.own.phase == phase {
        return;
    }
    match members.own.phase.change(phase) {
        Ok(phase) => {
            members.change_own(cx.now, |it| it.phase = phase, pace);
            cx.raise(Notice::Own);
        }
        Err(error) => cx.log("phase-refused", vec![("why", error.to_string())]),
    }
}
