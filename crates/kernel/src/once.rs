//! At most once: claims of requests that may not be repeated.
//!
//! The node that is about to run such a request asks its kernel for a claim ([`Call::Claim`]) and runs it
//! only after [`Reply::Granted`]. The claim is a conditional write in the platform's table before the run;
//! [`Call::Settle`] keeps the outcome afterwards. Keys hash to [`BUCKETS`] buckets with a row each, and
//! all waiting claims of a bucket are committed together by its present owner.

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

pub use ledger::{Entry, Kept, Ledger, Outcome, Phase, Segment};

inventory::submit! { Plugin { name: "once", order: 50, scope: Scope::Submitted, handle } }

/// Number of buckets. Every node must agree on it, so it is no setting.
pub const BUCKETS: u16 = 16;

/// Shortest time between two writes of one bucket's row, in ms: [`BUCKETS`] rows at this pace stay under
/// the several hundred writes a second that the platform takes.
pub const PACE_MS: u64 = 50;

/// A grant that arrives later than this after the claim was asked for is not used.
pub const GRANT_MS: u64 = 3_000;

/// An owner that has not answered after this long is passed over for another one.
pub const FORWARD_MS: u64 = 800;

/// A claim that is open for longer counts as of unknown outcome even while its holder lives.
pub const OPEN_MS: u64 = 10 * 60 * 1_000;

/// A claim whose holder is no member counts as of unknown outcome only after this long, in ms: a node that
/// started lately may not know the holder yet.
pub const ABSENT_MS: u64 = 15_000;

/// The longest idempotency key, in bytes.
pub const KEY_MAX: usize = 128;

/// Answers of up to this many bytes are kept in the claim itself, larger ones as an object.
pub const INLINE_MAX: usize = 512;

/// Key of the table row of `bucket`.
pub fn row_key(bucket: u16) -> String {
    format!("claim/{bucket:04x}")
}

/// What a claim is for: the service and the caller's `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Name,
    /// The text of the header, 1 to [`KEY_MAX`] bytes.
    pub text: String,
}

impl Key {
    /// The bucket that holds the key.
    pub fn bucket(&self) -> u16 {
        (self.hash() % u64::from(BUCKETS)) as u16
    }

    /// A hash for indexes; equal keys have equal hashes.
    pub fn hash(&self) -> u64 {
        hash64(&[self.service.as_str().as_bytes(), self.text.as_bytes()])
    }
}

/// One attempt at running a request; chosen at random by the node that runs it and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

/// The answer of an upstream, as kept for replay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to send again.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What became of a claimed request, as its holder tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The upstream ran it and answered.
    Ran(Answer),
    /// No byte reached the upstream, or it said so itself: the key may be claimed again.
    NotRun,
    /// The upstream died, or its answer was lost.
    Unknown,
}

/// An operator's decision on a claim of unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// The request ran; it must never run again.
    Ran,
    /// The request surely did not run; the key may be claimed again.
    Rerun,
}

/// What a traffic thread or an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// May this request run now?
    Claim {
        key: Key,
        attempt: AttemptId,
        print: Fingerprint,
    },
    /// A granted request ended, or the grant was not used ([`Ended::NotRun`]).
    Settle {
        key: Key,
        attempt: AttemptId,
        ended: Ended,
    },
    /// Which claims are of unknown outcome?
    List,
    /// Decides on a claim of unknown outcome. The decision is kept with the claim and logged.
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
    /// Run it now. After `until` the grant must not be used any more: settle it as not run instead.
    Granted { until: Ms },
    /// It ran before; send this answer again.
    Replay(Answer),
    /// Another attempt is in progress: this one was not run; retry after `after` ms.
    Busy { after: u64 },
    /// An earlier attempt may have run and its answer cannot be had: never run it again.
    Unknown { why: String },
    /// The key was used for another request: refused.
    Mismatch,
    /// No claim could be written, so the request was not run; retry after `after` ms.
    Unavailable { after: u64, why: String },
    /// To [`Call::Settle`]: the outcome is kept.
    Settled,
    /// To [`Call::List`].
    Listed(Vec<Entry>),
    /// To [`Call::Resolve`]: done.
    Resolved,
    /// To [`Call::Resolve`]: not possible, and why.
    Refused { why: String },
}

/// A claim on its way to a bucket's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: Key,
    /// The attempt.
    pub attempt: AttemptId,
    /// Digest of the request.
    pub print: Fingerprint,
    /// The node that will run it.
    pub holder: NodeId,
    /// The process of the holder.
    pub incarnation: u64,
}

/// An outcome on its way to a bucket's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The claim's key.
    pub key: Key,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: Outcome,
}

/// Between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Please commit this claim.
    Claim(Claim),
    /// To [`Message::Claim`].
    Verdict {
        attempt: AttemptId,
        verdict: Verdict,
    },
    /// Please keep this outcome.
    Settle(Settlement),
    /// To [`Message::Settle`]: it is kept.
    Settled { attempt: AttemptId },
}

/// What an owner says of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is written.
    Granted,
    /// It ran before.
    Ran(Kept),
    /// Another attempt is open and its holder lives.
    Busy,
    /// Another attempt may have run.
    Unknown { why: String },
    /// The key was used for another request.
    Mismatch,
    /// Nothing was written.
    Unavailable { after: u64, why: String },
    /// The write may or may not have taken effect; the holder must not run it.
    Doubt { after: u64 },
}

/// Settings of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceSettings {
    /// How long the answer of a key is kept and a repeat is recognised, in ms. Default: 24 h.
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
    /// Outcomes that are not kept yet; a node that leaves waits for them.
    pub fn unsettled(&self) -> usize {
        self.holder.unsettled()
    }

    /// Bytes of memory that the claims of this node's buckets take, roughly.
    pub fn footprint(&self) -> usize {
        self.buckets.values().map(bucket::Bucket::footprint).sum()
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: event::Call::Once(call),
        } => called(cx, state, *token, call),
        Event::Message {
            from,
            message: event::Message::Once(message),
        } => received(cx, state, *from, message),
        Event::Table { call, answer } => match state.once.lists.remove(call) {
            Some(token) => bucket::listed(cx, state, token, answer),
            None => bucket::table(cx, state, *call, answer),
        },
        Event::Object { call, answer } => {
            holder::object(cx, state, *call, answer);
            bucket::object(cx, state, *call, answer);
        }
        Event::Tick => {
            holder::tick(cx, state);
            bucket::tick(cx, state);
        }
        Event::Notice(Notice::Paused { .. }) => holder::paused(cx, state),
        Event::Notice(Notice::Members | Notice::Own) => holder::forget_targets(state),
        _ => {}
    }
}

fn called(cx: &mut Context<'_>, state: &mut State, token: Token, call: &Call) {
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

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Claim(claim) => bucket::claim(cx, state, from, claim.clone()),
        Message::Settle(it) => bucket::settle(cx, state, from, it.clone()),
        Message::Verdict { attempt, verdict } => holder::verdict(cx, state, *attempt, verdict),
        Message::Settled { attempt } => holder::settled(cx, state, *attempt),
    }
}

fn reply(cx: &mut Context<'_>, token: Token, reply: Reply) {
    cx.reply(token, event::Reply::Once(reply));
}
