//! Answers to the requests that waited for a bucket.

use super::{Ask, Work, Written, process};
use crate::{
    event,
    kernel::{Context, State},
    once::{
        Message, PACE_MS, Reply, Verdict, holder,
        ledger::{Decision, Entry, judge},
        reply,
    },
    platform::ObjectAnswer,
};

pub(super) enum Said {
    Verdict(Verdict),
    Settled,
    Resolved,
    Refused(String),
}

impl Said {
    /// Whether it tells that something is written.
    pub(super) fn promises(&self) -> bool {
        matches!(
            self,
            Said::Verdict(Verdict::Granted) | Said::Settled | Said::Resolved
        )
    }
}

/// A segment that may hold a claim's key came.
pub(super) fn looked(cx: &mut Context<'_>, state: &mut State, ask: Ask, answer: &ObjectAnswer) {
    let Work::Claim(_, claim) = &ask.work else {
        return;
    };
    let entries = match answer {
        ObjectAnswer::Bytes(bytes) => postcard::from_bytes::<Vec<Entry>>(bytes).ok(),
        _ => None,
    };
    let Some(entries) = entries else {
        return fail(
            cx,
            state,
            ask,
            PACE_MS,
            "the kept answer cannot be read; retry later",
        );
    };
    let verdict = match entries.iter().find(|it| it.key == claim.key) {
        Some(it) => judge(cx.now, it, claim, |it| process(&state.members, it)),
        // Another key has the same hash. Refusing is safe, and at 64 bits it all but never happens.
        None => Verdict::Mismatch,
    };
    say(cx, state, ask, Said::Verdict(verdict));
}

/// Answers a request whose write took effect.
pub(super) fn confirm(cx: &mut Context<'_>, state: &mut State, ask: Ask) {
    let said = match &ask.work {
        Work::Claim(..) => Said::Verdict(Verdict::Granted),
        Work::Settle(..) => Said::Settled,
        Work::Resolve(..) => Said::Resolved,
    };
    say(cx, state, ask, said);
}

/// Answers a request for which nothing, or nothing for sure, was written.
pub(super) fn fail(cx: &mut Context<'_>, state: &mut State, ask: Ask, after: u64, why: &str) {
    match (&ask.work, ask.written) {
        (Work::Claim(..), Written::Perhaps) => {
            say(cx, state, ask, Said::Verdict(Verdict::Doubt { after }));
        }
        (Work::Claim(..), Written::No) => say(cx, state, ask, unavailable(after, why)),
        // Its holder sends it again until it is kept.
        (Work::Settle(..), _) => {}
        (Work::Resolve(..), _) => say(cx, state, ask, Said::Refused(why.to_owned())),
    }
}

pub(super) fn unavailable(after: u64, why: &str) -> Said {
    let why = why.to_owned();
    Said::Verdict(Verdict::Unavailable { after, why })
}

pub(super) fn say(cx: &mut Context<'_>, state: &mut State, ask: Ask, said: Said) {
    match (ask.work, said) {
        (Work::Claim(from, claim), Said::Verdict(verdict)) => {
            let attempt = claim.attempt;
            if from == cx.settings.node {
                return holder::verdict(cx, state, attempt, &verdict);
            }
            let message = Message::Verdict { attempt, verdict };
            cx.send(from, event::Message::Once(message));
        }
        (Work::Settle(from, it), _) => {
            let attempt = it.attempt;
            if from == cx.settings.node {
                return holder::settled(cx, state, attempt);
            }
            cx.send(from, event::Message::Once(Message::Settled { attempt }));
        }
        (Work::Resolve(token, _), Said::Refused(why)) => reply(cx, token, Reply::Refused { why }),
        (Work::Resolve(token, it), _) => {
            audit(cx, &it);
            reply(cx, token, Reply::Resolved);
        }
        (Work::Claim(..), _) => {}
    }
}

/// Logs an operator's decision.
fn audit(cx: &mut Context<'_>, decision: &Decision) {
    let pairs = vec![
        ("service", decision.key.service.to_string()),
        ("key", decision.key.text.clone()),
        ("resolution", format!("{:?}", decision.resolution)),
        ("author", decision.author.clone()),
        ("note", decision.note.clone()),
    ];
    cx.log("claim-resolved", pairs);
}
