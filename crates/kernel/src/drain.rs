//! Drain: leaving without cutting a request in progress.
//!
//! [`Event::Stop`] announces phase `Draining` at once: the node leaves [`Members::ready`], and with it
//! every role that is chosen among ready members. It then waits for [`Event::Idle`], announces `Gone`
//! and lets the driver exit with [`Action::Exit`].
//!
//! [`Members::ready`]: crate::members::Members::ready

use crate::{
    clock::Ms,
    event::{Action, Event},
    kernel::{Context, Plugin, State},
    members::{self, Phase},
};

inventory::submit! { Plugin { name: "drain", order: 80, handle } }

/// Shortest time from the stop to the exit: entries that have not heard of the drain yet are answered
/// with a refusal rather than a closed port.
pub const NOTICE_MS: u64 = 2_000;

/// Longest time to wait for requests in progress where no document says `drain.grace`.
pub const GRACE_MS: u64 = 30_000;

/// Time that the record `Gone` is given to spread before the exit.
pub const FAREWELL_MS: u64 = 500;

/// Where the node stands on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Drain {
    /// Nobody asked it to leave.
    #[default]
    Serving,
    /// Takes no new work; requests are in progress and have `grace` ms from `since` on.
    Waiting { since: Ms, grace: u64 },
    /// No request is in progress.
    Idle { since: Ms },
    /// The record `Gone` spreads.
    Gone { since: Ms },
    /// The driver was told to exit.
    Exited,
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Stop => stop(cx, state),
        Event::Idle => idle(state),
        Event::Tick => tick(cx, state),
        _ => {}
    }
}

fn stop(cx: &mut Context<'_>, state: &mut State) {
    if state.drain != Drain::Serving {
        return;
    }
    state.drain = Drain::Waiting {
        since: cx.now,
        grace: grace(state),
    };
    members::leave(cx, state, Phase::Draining);
    cx.log("drain", vec![("state", "draining".to_owned())]);
}

/// The grace that the document of the upstream's service gives.
fn grace(state: &State) -> u64 {
    let offer = state.members.own().offer.as_ref();
    let service = offer.and_then(|it| state.log.services().get(&it.service));
    service.map_or(GRACE_MS, |it| it.document.drain.grace)
}

fn idle(state: &mut State) {
    if let Drain::Waiting { since, .. } = state.drain {
        state.drain = Drain::Idle { since };
    }
}

fn tick(cx: &mut Context<'_>, state: &mut State) {
    match state.drain {
        Drain::Waiting { since, grace } if cx.now.since(since) >= grace => {
            cx.log("drain", vec![("state", "grace-over".to_owned())]);
            gone(cx, state);
        }
        Drain::Idle { since } if cx.now.since(since) >= NOTICE_MS => gone(cx, state),
        Drain::Gone { since } if cx.now.since(since) >= FAREWELL_MS => {
            state.drain = Drain::Exited;
            cx.act(Action::Exit);
        }
        _ => {}
    }
}

fn gone(cx: &mut Context<'_>, state: &mut State) {
    state.drain = Drain::Gone { since: cx.now };
    members::leave(cx, state, Phase::Gone);
    cx.log("drain", vec![("state", "gone".to_owned())]);
}
