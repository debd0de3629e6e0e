//! Answers to pulls: one message if the range fits, otherwise parts that the requester asks for one by
//! one.

use std::collections::BTreeMap;

use super::{Kind, Message, Want, repair::send_standing, send, size, wire::RANGE_MAX};
use crate::{
    clock::Ms,
    event,
    id::{NodeId, Seq},
    kernel::{Context, State},
    settings::SpreadForm,
};

/// Time in ms without a request after which a catch-up is dropped.
const SLOT_TIMEOUT_MS: u64 = 10_000;

/// Time in ms per catch-up in progress after which a refused requester may retry.
const SLOT_WAIT_MS: u64 = 500;

/// Most bytes of one part. Well below a frame, so that the requester receives a part every few seconds
/// even at a low rate.
const PART_MAX: usize = 16 * 1024;

/// Catch-ups in progress, by requester.
pub type Slots = BTreeMap<NodeId, Slot>;

/// A catch-up in progress: an encoded range, sent in parts.
#[derive(Debug)]
pub struct Slot {
    blob: Vec<u8>,
    used: Ms,
    /// Part to send next, if one was asked for.
    asked: Option<u32>,
}

/// Answers a pull of a peer.
pub fn serve_pull(cx: &mut Context<'_>, state: &mut State, from: NodeId, seq: Seq, want: Want) {
    let form = match want {
        Want::Delta => cx.settings.spread.form,
        Want::Full | Want::Whole => SpreadForm::Full,
    };
    let (start, lacks) = match want {
        Want::Whole => (Seq(0), state.spread.history.seq() >= seq),
        Want::Delta | Want::Full => (seq, state.spread.history.seq() > seq),
    };
    let range = match lacks {
        true => state.spread.history.range(&state.log, start, form),
        false => None,
    };
    let Some(range) = range else {
        return send_standing(cx, state, from);
    };
    let blob = postcard::to_stdvec(&range).expect("a range encodes");
    if blob.len() > RANGE_MAX {
        return open_slot(cx, state, from, blob);
    }
    let message = Message::Fill { range };
    let bytes = size(&event::Message::Spread(message.clone()));
    match state.spread.catchup.allows(cx.now, bytes) {
        true => send(cx, state, Kind::CatchUp, from, message),
        false => refuse(cx, state, from),
    }
}

/// Handles the request for the next part of a catch-up.
pub fn handle_next(cx: &mut Context<'_>, state: &mut State, from: NodeId, idx: u32) {
    match state.spread.slots.get_mut(&from) {
        Some(slot) => {
            slot.asked = Some(idx);
            slot.used = cx.now;
            serve_parts(cx, state);
        }
        None => refuse(cx, state, from),
    }
}

fn open_slot(cx: &mut Context<'_>, state: &mut State, from: NodeId, blob: Vec<u8>) {
    let slots = &mut state.spread.slots;
    if slots.len() >= cx.settings.spread.slots.max(1) && !slots.contains_key(&from) {
        return refuse(cx, state, from);
    }
    let slot = Slot {
        blob,
        used: cx.now,
        asked: Some(0),
    };
    slots.insert(from, slot);
    serve_parts(cx, state);
}

fn refuse(cx: &mut Context<'_>, state: &mut State, from: NodeId) {
    state.spread.stats.refused += 1;
    let busy = state.spread.slots.len() as u64;
    let after = SLOT_WAIT_MS * (busy + 1);
    send(cx, state, Kind::Repair, from, Message::Refused { after });
}

/// Sends the requested parts, as far as the budget for catch-ups allows.
pub fn serve_parts(cx: &mut Context<'_>, state: &mut State) {
    let slots = &mut state.spread.slots;
    slots.retain(|_, it| cx.now.since(it.used) <= SLOT_TIMEOUT_MS);
    let asked = slots.iter().filter_map(|(to, it)| Some((*to, it.asked?)));
    let asked: Vec<(NodeId, u32)> = asked.collect();
    for (to, idx) in asked {
        serve_part(cx, state, to, idx);
    }
}

fn serve_part(cx: &mut Context<'_>, state: &mut State, to: NodeId, idx: u32) {
    let Some(slot) = state.spread.slots.get_mut(&to) else {
        return;
    };
    let of = slot.blob.len().div_ceil(PART_MAX) as u32;
    let Some(bytes) = slot.blob.chunks(PART_MAX).nth(idx as usize) else {
        slot.asked = None;
        return;
    };
    if !state.spread.catchup.allows(cx.now, bytes.len()) {
        return;
    }
    let bytes = bytes.to_vec();
    slot.asked = None;
    slot.used = cx.now;
    if idx + 1 == of {
        state.spread.slots.remove(&to);
        state.spread.stats.served += 1;
    }
    send(
        cx,
        state,
        Kind::CatchUp,
        to,
        Message::Part { idx, of, bytes },
    );
}
