//! Quotas of customers, counted over the whole fleet.
//!
//! Each customer belongs to a bucket, and each bucket has one holder (`holders`), which counts the
//! requests of its customers (`bank`). An entry spends a token for each request (`purse`). It keeps
//! few, so that what all entries hold together stays within the overage that operators allow, and
//! asks the holder for more. A request costs a message only if its entry holds no token, and a host
//! that cannot reach a holder spends no more than its share of the quota.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    event::{self, Call, Event, Notice, Reply},
    id::{NodeId, Token},
    kernel::{Context, Plugin, Scope, State},
};

mod bank;
mod holders;
mod purse;

use self::{
    bank::Bank,
    holders::{Holders, bucket_of},
};
pub use self::{
    bank::{Account, Balance, Grant, Share},
    purse::{Purse, Take},
};

inventory::submit! { Plugin { name: "quota", order: 30, scope: Scope::Imported, handle } }

/// Time after which an ask without an answer has failed, in ms.
const ASK_TIMEOUT_MS: u64 = 200;
/// Pause of a process after which another node may have taken its buckets, in ms.
const PAUSE_LIMIT_MS: u64 = 1_000;
/// Time for which a granted token can be spent, in ms.
pub const TOKEN_TTL_MS: u64 = 5_000;

/// Tolerance of quotas: how far the requests of a customer may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Length of the sliding window in which requests are counted, in ms. Default: 5,000.
    pub window: u64,
    /// Tolerated excess, in thousandths of the quota in one window. Default: 100.
    pub overage: u64,
    /// Tolerated excess in one window besides, in requests. Default: 20.
    pub extra: u64,
}

impl Default for QuotaSettings {
    fn default() -> QuotaSettings {
        QuotaSettings {
            window: 5_000,
            overage: 100,
            extra: 20,
        }
    }
}

/// An entry's ask for tokens of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The customer.
    pub customer: Arc<str>,
    /// Tokens for requests that wait.
    pub need: u32,
    /// Further tokens for requests expected soon.
    pub spare: u32,
    /// Unspent tokens that the entry holds.
    pub stock: u32,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The holder granted this.
    Granted(Grant),
    /// No holder answered.
    Unknown,
}

/// Messages between nodes about quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the holder of the customer's bucket; `call` pairs the answer.
    Ask { call: u64, ask: Ask },
    /// An ask of `origin`, passed on by a node that is not the holder.
    Forwarded { origin: NodeId, call: u64, ask: Ask },
    /// Answers an ask.
    Granted { call: u64, grant: Grant },
    /// Answers an ask that reached no holder.
    Unheld { call: u64 },
    /// The sender takes over a bucket.
    Claim { bucket: u16 },
    /// Answers a claim by the former holder, with what it has counted.
    Yielded {
        bucket: u16,
        /// Time since which all that was granted is in the balances, in ms.
        counted: u64,
        balances: Vec<Balance>,
    },
    /// Answers a claim by a node that did not hold the bucket.
    NotHeld { bucket: u16 },
}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Quotas {
    holders: Holders,
    bank: Bank,
    /// Asks without an answer yet, by call.
    asks: BTreeMap<u64, PendingAsk>,
    last_call: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    token: Token,
    since: Ms,
}

impl Quotas {
    /// Returns how many buckets this node holds.
    pub fn held(&self) -> usize {
        self.holders.held()
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: Call::Quota(ask),
        } => start_ask(cx, state, *token, ask),
        Event::Message {
            from,
            message: event::Message::Quota(message),
        } => handle_message(cx, state, *from, message),
        Event::Tick => {
            expire_asks(cx, state);
            holders::tick(cx, state);
        }
        Event::Notice(Notice::Members) => state.quotas.holders.mark_stale(),
        Event::Notice(Notice::Imported) => {
            let table = state.import.table().clone();
            let is_known = |name: &str| table.customer_named(name).is_some();
            state.quotas.bank.retain(is_known);
        }
        Event::Notice(Notice::Paused { lost }) if *lost >= PAUSE_LIMIT_MS => {
            // Another node may have counted meanwhile. Claiming the buckets again returns what it counted.
            state.quotas.bank = Bank::default();
            state.quotas.holders.release();
        }
        _ => {}
    }
}

fn start_ask(cx: &mut Context<'_>, state: &mut State, token: Token, ask: &Ask) {
    let bucket = bucket_of(&ask.customer);
    let quotas = &mut state.quotas;
    // The numbers of an earlier process of this node are lower, so that its late answers match no call.
    quotas.last_call = quotas.last_call.max(cx.settings.incarnation) + 1;
    let call = quotas.last_call;
    let pending = PendingAsk {
        token,
        since: cx.now,
    };
    quotas.asks.insert(call, pending);
    let own = cx.settings.node;
    match quotas.holders.first(bucket) {
        Some(it) if it != own && !quotas.holders.is_holding(bucket) => {
            let ask = ask.clone();
            cx.send(it, event::Message::Quota(Message::Ask { call, ask }));
        }
        _ => handle_ask(cx, state, own, call, ask),
    }
}

/// Grants tokens, or passes the ask on to the node that probably holds the bucket.
fn handle_ask(cx: &mut Context<'_>, state: &mut State, origin: NodeId, call: u64, ask: &Ask) {
    let bucket = bucket_of(&ask.customer);
    if state.quotas.holders.is_holding(bucket) {
        return grant(cx, state, origin, call, ask);
    }
    match state.quotas.holders.successor(bucket, cx.settings.node) {
        Some(to) if to != origin => {
            let ask = ask.clone();
            let message = Message::Forwarded { origin, call, ask };
            cx.send(to, event::Message::Quota(message));
        }
        _ => reply(cx, state, origin, call, Answer::Unknown),
    }
}

fn grant(cx: &mut Context<'_>, state: &mut State, origin: NodeId, call: u64, ask: &Ask) {
    let quotas = &mut state.quotas;
    let customer = state.import.table().customer_named(&ask.customer);
    let counted = quotas.holders.counted(bucket_of(&ask.customer));
    let (Some(customer), Some(counted)) = (customer, counted) else {
        return reply(cx, state, origin, call, Answer::Unknown);
    };
    let share = quotas.holders.share();
    let limits = &cx.settings.quota;
    let account = quotas.bank.account(&ask.customer, counted);
    let grant = account.grant(cx.now, limits, customer.quota, share, origin, ask);
    reply(cx, state, origin, call, Answer::Granted(grant));
}

/// Sends an answer to the node that asked, which may be this one.
fn reply(cx: &mut Context<'_>, state: &mut State, origin: NodeId, call: u64, answer: Answer) {
    if origin == cx.settings.node {
        return handle_answer(cx, state, call, answer);
    }
    let message = match answer {
        Answer::Granted(grant) => Message::Granted { call, grant },
        Answer::Unknown => Message::Unheld { call },
    };
    cx.send(origin, event::Message::Quota(message));
}

fn handle_answer(cx: &mut Context<'_>, state: &mut State, call: u64, answer: Answer) {
    // A late answer has no call any more: its tokens are lost, which only costs the customer.
    if let Some(pending) = state.quotas.asks.remove(&call) {
        cx.reply(pending.token, Reply::Quota(answer));
    }
}

fn handle_message(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Ask { call, ask } => handle_ask(cx, state, from, *call, ask),
        Message::Forwarded { origin, call, ask } => {
            // Passed on once only, or two nodes could pass an ask to and fro.
            grant(cx, state, *origin, *call, ask);
        }
        Message::Granted { call, grant } => {
            handle_answer(cx, state, *call, Answer::Granted(*grant));
        }
        Message::Unheld { call } => handle_answer(cx, state, *call, Answer::Unknown),
        Message::Claim { bucket } => holders::handle_claim(cx, state, from, *bucket),
        Message::Yielded {
            bucket,
            counted,
            balances,
        } => {
            let (bucket, counted) = (usize::from(*bucket), cx.now - *counted);
            if state.quotas.holders.record_yield(bucket, counted) {
                state.quotas.bank.absorb(cx.now, balances);
            }
        }
        Message::NotHeld { bucket } => {
            let holders = &mut state.quotas.holders;
            holders.record_not_held(cx.now, usize::from(*bucket), from);
        }
    }
}

fn expire_asks(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    let is_due = |_: &u64, it: &PendingAsk| now.since(it.since) >= ASK_TIMEOUT_MS;
    for (_, pending) in crate::utils::take_due(&mut state.quotas.asks, is_due) {
        cx.reply(pending.token, Reply::Quota(Answer::Unknown));
    }
}
