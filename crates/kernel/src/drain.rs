//! Drain: leaving without cutting a request in progress.
//!
//! [`Event::Stop`] announces phase `Draining` at once: the node leaves [`Members::ready`], and with it
//! every role that is chosen among ready members. It then waits for [`Event::Idle`], announces `Gone`
//! and lets the driver exit with [`Action::Exit`]. Outcomes of claims that are not kept yet hold `Gone` back
//! as long as the grace allows: a claim whose holder left is of unknown outcome for good.
//!
//! Only entries that may still send to this node need the notice, so a node that had no upstream in the last
//! [`NOTICE_MS`], or that knows no other member, does without it.
//!
//! [`Members::ready`]: crate::members::Members::ready

use crate::{
    clock::Ms,
    event::{Action, Event},
    kernel::{Context, Plugin, Scope, State},
    members::{self, Phase},
};

inventory::submit! { Plugin { name: "drain", order: 80, scope: Scope::Any, handle } }

/// Usual shortest time from the stop to the exit: entries that have not heard of the drain yet are answered
/// with a refusal rather than a closed port.
pub const NOTICE_MS: u64 = 2_000;

/// Longest time to wait for requests in progress where no document says `drain.grace`.
pub const GRACE_MS: u64 = 30_000;

/// Time that the record `Gone` is given to spread before the exit.
pub const FAREWELL_MS: u64 = 500;

/// The same for a node to which nobody sends requests: the others go on passing its record on, and one that
/// misses it only probes a closed port until the node counts as lost.
pub const QUIET_FAREWELL_MS: u64 = 200;

/// Where the node stands on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Nobody asked it to leave. At `offered` it last had an upstream.
    Serving { offered: Ms },
    /// Takes no new work; requests are in progress and have `grace` ms from `since` on.
    Waiting {
        since: Ms,
        grace: u64,
        senders: Senders,
    },
    /// No request is in progress.
    Idle {
        since: Ms,
        grace: u64,
        senders: Senders,
    },
    /// The record `Gone` spreads.
    Gone { since: Ms, senders: Senders },
    /// The driver was told to exit.
    Exited,
}

/// Whether entries may still send requests to the upstream beside this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Senders {
    /// It had an upstream of late.
    Some,
    /// It had none for [`NOTICE_MS`]: every entry knows.
    None,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain::Serving { offered: Ms(0) }
    }
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
    note_offer(cx, state);
    let Drain::Serving { offered } = state.drain else {
        return;
    };
    state.drain = Drain::Waiting {
        since: cx.now,
        grace: grace(state),
        senders: match cx.now.since(offered) < NOTICE_MS {
            true => Senders::Some,
            false => Senders::None,
        },
    };
    members::leave(cx, state, Phase::Draining);
    cx.log("drain", vec![("state", "draining".to_owned())]);
}

/// Remembers until when the node had an upstream: entries hear only later that it was withdrawn.
fn note_offer(cx: &Context<'_>, state: &mut State) {
    if let Drain::Serving { offered } = &mut state.drain
        && state.members.own().offer.is_some()
    {
        *offered = cx.now;
    }
}

/// The grace that the document of the upstream's service gives.
fn grace(state: &State) -> u64 {
    let offer = state.members.own().offer.as_ref();
    let service = offer.and_then(|it| state.log.services().get(&it.service));
    service.map_or(GRACE_MS, |it| it.document.drain.grace)
}

fn idle(state: &mut State) {
    if let Drain::Waiting {
        since,
        grace,
        senders,
    } = state.drain
    {
        state.drain = Drain::Idle {
            since,
            grace,
            senders,
        };
    }
}

fn tick(cx: &mut Context<'_>, state: &mut State) {
    match state.drain {
        Drain::Serving { .. } => note_offer(cx, state),
        Drain::Waiting {
            since,
            grace,
            senders,
        }
        | Drain::Idle {
            since,
            grace,
            senders,
        } if cx.now.since(since) >= grace => {
            cx.log("drain", vec![("state", "grace-over".to_owned())]);
            gone(cx, state, senders);
        }
        Drain::Idle { since, senders, .. } => {
            let noticed = cx.now.since(since) >= notice(cx, state, senders);
            if noticed && state.once.unsettled() == 0 {
                gone(cx, state, senders);
            }
        }
        Drain::Gone { since, senders } if cx.now.since(since) >= farewell(state, senders) => {
            state.drain = Drain::Exited;
            cx.act(Action::Exit);
        }
        _ => {}
    }
}

fn notice(cx: &Context<'_>, state: &State, senders: Senders) -> u64 {
    match senders {
        Senders::Some if !alone(state) => cx.settings.notice,
        _ => 0,
    }
}

fn farewell(state: &State, senders: Senders) -> u64 {
    match senders {
        _ if alone(state) => 0,
        Senders::Some => FAREWELL_MS,
        Senders::None => QUIET_FAREWELL_MS,
    }
}

/// Whether no other member is left to tell; members that cannot be reached just now count as there.
fn alone(state: &State) -> bool {
    let own = state.members.own().id;
    state.members.alive().all(|it| it.id == own)
}

fn gone(cx: &mut Context<'_>, state: &mut State, senders: Senders) {
    state.drain = Drain::Gone {
        since: cx.now,
        senders,
    };
    members::leave(cx, state, Phase::Gone);
    cx.log("drain", vec![("state", "gone".to_owned())]);
}
