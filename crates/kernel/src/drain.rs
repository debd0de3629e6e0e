//! Drain: stops the node without interrupting requests in progress.
//!
//! [`Event::Stop`] announces phase `Draining`, which removes the node from [`Members::ready`] and its roles. The node
//! then waits for [`Event::Idle`] and for unsettled claims, whose outcomes would otherwise stay unknown, announces
//! `Gone` and exits with [`Action::Exit`]. The grace period bounds the wait.
//!
//! A node without an upstream in the last [`NOTICE_MS`] or without other members skips the notice to the entries.
//!
//! [`Members::ready`]: crate::members::Members::ready

use crate::{
    clock::Ms,
    event::{Action, Event},
    kernel::{Context, Plugin, Scope, State},
    members::{self, Phase},
};

inventory::submit! { Plugin { name: "drain", order: 80, scope: Scope::Any, handle } }

/// Default minimum time from the stop to the exit, in ms. Entries that have not received the `Draining` record yet get
/// a refusal instead of a closed port.
pub const NOTICE_MS: u64 = 2_000;

/// Default grace period for requests in progress if no document sets `drain.grace`, in ms.
pub const GRACE_MS: u64 = 30_000;

/// Time for the `Gone` record to spread before the exit, in ms.
pub const LEAVE_SPREAD_MS: u64 = 500;

/// Time for the `Gone` record to spread before the exit of a node to which no entry sends requests, in ms.
pub const IDLE_LEAVE_SPREAD_MS: u64 = 200;

/// Progress of the node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// The node serves. At `offered` it last had an upstream.
    Serving { offered: Ms },
    /// The node refuses new requests; those in progress have `grace` ms from `since`.
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
    /// The `Gone` record spreads.
    Gone { since: Ms, senders: Senders },
    /// The driver was told to exit.
    Exited,
}

/// Whether entries may still send requests to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Senders {
    /// The node had an upstream in the last [`NOTICE_MS`].
    Some,
    /// The node had none, and all entries have received its withdrawal.
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
    record_offer(cx, state);
    let Drain::Serving { offered } = state.drain else {
        return;
    };
    state.drain = Drain::Waiting {
        since: cx.now,
        grace: grace_period(state),
        senders: match cx.now.since(offered) < NOTICE_MS {
            true => Senders::Some,
            false => Senders::None,
        },
    };
    members::leave(cx, state, Phase::Draining);
    cx.log("drain", vec![("state", "draining".to_owned())]);
}

/// Records the last time that the node had an upstream.
fn record_offer(cx: &Context<'_>, state: &mut State) {
    if let Drain::Serving { offered } = &mut state.drain
        && state.members.own().offer.is_some()
    {
        *offered = cx.now;
    }
}

/// Returns the grace period set by the document of the upstream's service, in ms.
fn grace_period(state: &State) -> u64 {
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
        Drain::Serving { .. } => record_offer(cx, state),
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
            announce_gone(cx, state, senders);
        }
        Drain::Idle { since, senders, .. } => {
            let noticed = cx.now.since(since) >= notice_period(cx, state, senders);
            if noticed && state.once.unsettled() == 0 {
                announce_gone(cx, state, senders);
            }
        }
        Drain::Gone { since, senders }
            if cx.now.since(since) >= leave_spread_time(state, senders) =>
        {
            state.drain = Drain::Exited;
            cx.act(Action::Exit);
        }
        _ => {}
    }
}

fn notice_period(cx: &Context<'_>, state: &State, senders: Senders) -> u64 {
    match senders {
        Senders::Some if !is_alone(state) => cx.settings.notice,
        _ => 0,
    }
}

fn leave_spread_time(state: &State, senders: Senders) -> u64 {
    match senders {
        _ if is_alone(state) => 0,
        Senders::Some => LEAVE_SPREAD_MS,
        Senders::None => IDLE_LEAVE_SPREAD_MS,
    }
}

/// Returns whether there is no other member, including unreachable ones.
fn is_alone(state: &State) -> bool {
    let own = state.members.own().id;
    state.members.alive().all(|it| it.id == own)
}

fn announce_gone(cx: &mut Context<'_>, state: &mut State, senders: Senders) {
    state.drain = Drain::Gone {
        since: cx.now,
        senders,
    };
    members::leave(cx, state, Phase::Gone);
    cx.log("drain", vec![("state", "gone".to_owned())]);
}
