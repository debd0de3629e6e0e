//! At-most-once execution: claims on requests that must not be repeated.
//!
//! A node claims such a request with [`Call::Claim`], a conditional write to the platform's table, and runs it
//! only after [`Reply::Granted`]; [`Call::Settle`] stores the outcome afterwards. Keys hash to [`BUCKETS`]
//! buckets with one table row each, and the current owner of a bucket commits all its waiting claims together.

mod bucket;
mod holder;
mod ledger;
mod seal;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    event::{self, Event, Notice},
    guard::Fingerprint,
    id::{CallId, Name, NodeId, Token},
    kernel::{Context, Plugin, Scope, State},
    utils::hash64,
};

pub use ledger::{Entry, Ledger, Outcome, Phase, Segment, StoredAnswer};

inventory::submit! { Plugin { name: "once", order: 50, scope: Scope::Submitted, handle } }

/// Number of buckets. A constant and not a setting, because all nodes must agree on it.
pub const BUCKETS: u16 = 16;

/// Minimum time between two writes of one bucket's row, in ms. Keeps the writes of all [`BUCKETS`] rows below
/// the platform's rate limit.
pub const WRITE_INTERVAL_MS: u64 = 50;

/// Time after the claim was requested for which a grant may be used, in ms.
pub const GRANT_TIMEOUT_MS: u64 = 3_000;

/// Time after which an unanswered claim is also sent to the deputy owner, in ms.
pub const FORWARD_TIMEOUT_MS: u64 = 800;

/// Time after which the outcome of an open claim counts as unknown although its holder is alive, in ms.
pub const OPEN_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// Time after which the outcome of a claim counts as unknown if its holder is not a member, in ms. Before that,
/// a recently started node may not know the holder yet.
pub const ABSENT_GRACE_MS: u64 = 15_000;

/// Maximum length of an idempotency key, in bytes.
pub const KEY_MAX: usize = 128;

/// Maximum size of an answer that is stored in the claim itself, in bytes; larger ones become an object.
pub const INLINE_MAX: usize = 512;

/// Returns the key of the table row of `bucket`.
pub fn row_key(bucket: u16) -> String {
    format!("claim/{bucket:04x}")
}

/// Identifies a claimed request: the service and the caller's `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The called service.
    pub service: Name,
    /// Value of the header, 1 to [`KEY_MAX`] bytes.
    pub text: String,
}

impl Key {
    /// Returns the bucket that holds the key.
    pub fn bucket(&self) -> u16 {
        (self.hash() % u64::from(BUCKETS)) as u16
    }

    /// Returns a hash for indexes; equal keys have equal hashes.
    pub fn hash(&self) -> u64 {
        hash64(&[self.service.as_str().as_bytes(), self.text.as_bytes()])
    }
}

/// Identifies one attempt at running a request; chosen at random by the node that runs it, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

/// The answer of an upstream, as stored for replay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to replay.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Outcome of a granted request, as its holder reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The upstream ran the request and answered.
    Ran(Answer),
    /// Nothing reached the upstream, or it reported that it did not run the request. The key may be claimed
    /// again.
    NotRun,
    /// The upstream failed or its answer was lost.
    Unknown,
}

/// An operator's decision on a claim with an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// The request ran; it must never run again.
    Ran,
    /// The request certainly did not run; the key may be claimed again.
    Rerun,
}

/// A call from a traffic thread or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Requests permission to run a request.
    Claim {
        key: Key,
        attempt: AttemptId,
        print: Fingerprint,
    },
    /// Reports the end of a granted request; [`Ended::NotRun`] if the grant was not used.
    Settle {
        key: Key,
        attempt: AttemptId,
        ended: Ended,
    },
    /// Lists the claims with an unknown outcome.
    List,
    /// Decides on a claim with an unknown outcome. The decision is stored with the claim and logged.
    Resolve {
        key: Key,
        resolution: Resolution,
        author: String,
        note: String,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request may start until `until`; a grant that was not used by then must be settled as not run.
    Granted { until: Ms },
    /// The request ran before; replay this answer.
    Replay(Answer),
    /// Another attempt is in progress and this one was not run; retry after `after` ms.
    Busy { after: u64 },
    /// An earlier attempt may have run and its answer is not available; the request must not run again.
    Unknown { why: String },
    /// Refused: the key was used for another request.
    Mismatch,
    /// No claim was written and the request was not run; retry after `after` ms.
    Unavailable { after: u64, why: String },
    /// Answers [`Call::Settle`]: the outcome is stored.
    Settled,
    /// Answers [`Call::List`].
    Listed(Vec<Entry>),
    /// Answers [`Call::Resolve`]: the decision is stored.
    Resolved,
    /// Answers [`Call::Resolve`] or [`Call::List`]: the call failed, and why.
    Refused { why: String },
}

/// A claim as sent to the owner of its bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: Key,
    /// The attempt that makes the claim.
    pub attempt: AttemptId,
    /// Digest of the request.
    pub print: Fingerprint,
    /// The node that will run the request.
    pub holder: NodeId,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
}

/// An outcome as sent to the owner of its bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Key of the claim.
    pub key: Key,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The outcome.
    pub outcome: Outcome,
}

/// Messages between the holder of a claim and the owner of its bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests that the owner commits this claim.
    Claim(Claim),
    /// Answers [`Message::Claim`].
    Verdict {
        attempt: AttemptId,
        verdict: Verdict,
    },
    /// Requests that the owner stores this outcome.
    Settle(Settlement),
    /// Answers [`Message::Settle`]: the outcome is stored.
    Settled { attempt: AttemptId },
}

/// An owner's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is written.
    Granted,
    /// The request ran before.
    Ran(StoredAnswer),
    /// Another attempt is open and its holder is alive.
    Busy,
    /// Another attempt may have run.
    Unknown { why: String },
    /// The key was used for another request.
    Mismatch,
    /// Nothing was written.
    Unavailable { after: u64, why: String },
    /// The write may or may not have taken effect; the holder must not run the request.
    Doubt { after: u64 },
}

/// Settings for claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// Time for which answers are stored and repeated keys are recognised, in ms. Default: 24 h.
    pub retention: u64,
}

impl Default for OnceSettings {
    fn default() -> OnceSettings {
        OnceSettings {
            retention: 24 * 3_600 * 1_000,
        }
    }
}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Once {
    buckets: BTreeMap<u16, bucket::Bucket>,
    holder: holder::Holder,
    lists: BTreeMap<CallId, Token>,
}

impl Once {
    /// Returns the number of outcomes that are not stored yet; a node that drains waits for them.
    pub fn unsettled(&self) -> usize {
        self.holder.unsettled()
    }

    /// Returns the approximate memory used by the claims of this node's buckets, in bytes.
    pub fn footprint(&self) -> usize {
        self.buckets.values().map(bucket::Bucket::footprint).sum()
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: event::Call::Once(call),
        } => handle_call(cx, state, *token, call),
        Event::Message {
            from,
            message: event::Message::Once(message),
        } => handle_message(cx, state, *from, message),
        Event::Table { call, answer } => match state.once.lists.remove(call) {
            Some(token) => bucket::reply_list(cx, state, token, answer),
            None => bucket::handle_table_answer(cx, state, *call, answer),
        },
        Event::Object { call, answer } => {
            holder::handle_object_answer(cx, state, *call, answer);
            bucket::handle_object_answer(cx, state, *call, answer);
        }
        Event::Tick => {
            holder::tick(cx, state);
            bucket::tick(cx, state);
        }
        Event::Notice(Notice::Paused { .. }) => holder::handle_pause(cx, state),
        Event::Notice(Notice::Members | Notice::Own) => holder::clear_targets(state),
        _ => {}
    }
}

fn handle_call(cx: &mut Context<'_>, state: &mut State, token: Token, call: &Call) {
    match call {
        Call::Claim {
            key,
            attempt,
            print,
        } => holder::claim(cx, state, token, key, *attempt, *print),
        Call::Settle {
            key,
            attempt,
            ended,
        } => holder::settle(cx, state, token, key, *attempt, ended),
        Call::List => {
            let call = bucket::list(cx);
            state.once.lists.insert(call, token);
        }
        Call::Resolve {
            key,
            resolution,
            author,
            note,
        } => {
            let decision = ledger::Decision {
                key: key.clone(),
                resolution: *resolution,
                author: author.clone(),
                note: note.clone(),
            };
            bucket::resolve(cx, state, token, decision);
        }
    }
}

fn handle_message(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Claim(claim) => bucket::claim(cx, state, from, claim.clone()),
        Message::Settle(it) => bucket::settle(cx, state, from, it.clone()),
        Message::Verdict { attempt, verdict } => {
            holder::handle_verdict(cx, state, *attempt, verdict)
        }
        Message::Settled { attempt } => holder::handle_settled(cx, state, *attempt),
    }
}

fn reply(cx: &mut Context<'_>, token: Token, reply: Reply) {
    cx.reply(token, event::Reply::Once(reply));
}
