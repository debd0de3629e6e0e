//! Responds to the requests that waited for a bucket.

use super::{Request, Work, Written, holder_state};
use crate::{
    event,
    kernel::{Context, State},
    once::{
        Message, Reply, Verdict, WRITE_INTERVAL_MS, holder,
        ledger::{Decision, Entry, existing_verdict},
        reply,
    },
    platform::ObjectAnswer,
};

/// The response to one request.
pub(super) enum Response {
    Verdict(Verdict),
    Settled,
    Resolved,
    Refused(String),
}

impl Response {
    /// Returns whether the response confirms a write.
    pub(super) fn confirms_write(&self) -> bool {
        matches!(
            self,
            Response::Verdict(Verdict::Granted) | Response::Settled | Response::Resolved
        )
    }
}

/// Decides on a claim with the segment that may hold its key.
pub(super) fn handle_lookup(
    cx: &mut Context<'_>,
    state: &mut State,
    request: Request,
    answer: &ObjectAnswer,
) {
    let Work::Claim(_, claim) = &request.work else {
        return;
    };
    let entries = match answer {
        ObjectAnswer::Bytes(bytes) => postcard::from_bytes::<Vec<Entry>>(bytes).ok(),
        _ => None,
    };
    let Some(entries) = entries else {
        return respond_failed(
            cx,
            state,
            request,
            WRITE_INTERVAL_MS,
            "older claims of this bucket cannot be read; retry later",
        );
    };
    let verdict = match entries.iter().find(|it| it.key == claim.key) {
        Some(it) => existing_verdict(cx.now, it, claim, |it| holder_state(&state.members, it)),
        // Another key has the same hash. Refusing is safe, and collisions of 64 bits are very rare.
        None => Verdict::Mismatch,
    };
    respond(cx, state, request, Response::Verdict(verdict));
}

/// Responds to a request whose write took effect.
pub(super) fn respond_written(cx: &mut Context<'_>, state: &mut State, request: Request) {
    let response = match &request.work {
        Work::Claim(..) => Response::Verdict(Verdict::Granted),
        Work::Settle(..) => Response::Settled,
        Work::Resolve(..) => Response::Resolved,
    };
    respond(cx, state, request, response);
}

/// Responds to a request that was not written, or not certainly.
pub(super) fn respond_failed(
    cx: &mut Context<'_>,
    state: &mut State,
    request: Request,
    after: u64,
    why: &str,
) {
    match (&request.work, request.written) {
        (Work::Claim(..), Written::Maybe) => {
            respond(
                cx,
                state,
                request,
                Response::Verdict(Verdict::Doubt { after }),
            );
        }
        (Work::Claim(..), Written::No) => respond(cx, state, request, unavailable(after, why)),
        // The holder sends it again until it is stored.
        (Work::Settle(..), _) => {}
        (Work::Resolve(..), _) => respond(cx, state, request, Response::Refused(why.to_owned())),
    }
}

pub(super) fn unavailable(after: u64, why: &str) -> Response {
    let why = why.to_owned();
    Response::Verdict(Verdict::Unavailable { after, why })
}

pub(super) fn respond(
    cx: &mut Context<'_>,
    state: &mut State,
    request: Request,
    response: Response,
) {
    match (request.work, response) {
        (Work::Claim(from, claim), Response::Verdict(verdict)) => {
            let attempt = claim.attempt;
            if from == cx.settings.node {
                return holder::handle_verdict(cx, state, attempt, &verdict);
            }
            let message = Message::Verdict { attempt, verdict };
            cx.send(from, event::Message::Once(message));
        }
        (Work::Settle(from, it), _) => {
            let attempt = it.attempt;
            if from == cx.settings.node {
                return holder::handle_settled(cx, state, attempt);
            }
            cx.send(from, event::Message::Once(Message::Settled { attempt }));
        }
        (Work::Resolve(token, _), Response::Refused(why)) => {
            reply(cx, token, Reply::Refused { why })
        }
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
