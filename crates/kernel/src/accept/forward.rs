//! Forwards submissions to the region's committer.
//!
//! Forwarding gathers the submissions of a region into few transactions. Safety does not depend on it: a node that
//! commits in place of the committer reads the log first, where it finds what others have committed.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    accept::{
        FORWARD_TIMEOUT, Message, Origin, QUEUE_MAX, Submission, VERDICT_TIMEOUT, Verdict,
        accepted,
        commit::{self, PriorWrite},
        committer,
        decide::Checked,
    },
    clock::Ms,
    event,
    id::{NodeId, SubmitId},
    kernel::{Context, State},
    utils::take_due,
};

/// Submissions that were forwarded to other nodes, and messages received from them.
#[derive(Debug, Default)]
pub(super) struct Forwards {
    pending: BTreeMap<SubmitId, Forward>,
    /// Number of messages sent.
    sent: u64,
    /// The last [`QUEUE_MAX`] messages received, by sender and attempt. A duplicate that arrives after the verdict
    /// must be ignored, or a refused submission could be accepted later.
    received: VecDeque<(NodeId, u64)>,
    /// The last [`QUEUE_MAX`] submissions forwarded. A verdict names its submission only, so one that is submitted again
    /// must not be forwarded again: a late verdict on the first forward would be taken for that on the second.
    forwarded: VecDeque<SubmitId>,
}

#[derive(Debug)]
struct Forward {
    checked: Checked,
    origins: Vec<Origin>,
    to: NodeId,
    /// Time after which this node commits the submission itself.
    fallback_at: Ms,
    deadline: Ms,
}

impl Forwards {
    /// Adds `origin` to the receivers of the verdict on `id`. Returns whether the submission is pending.
    pub fn add_origin(&mut self, id: SubmitId, origin: Origin) -> bool {
        let Some(it) = self.pending.get_mut(&id) else {
            return false;
        };
        if !it.origins.contains(&origin) {
            it.origins.push(origin);
        }
        true
    }

    /// Records a message. Returns whether it is the first from `from` with this attempt.
    fn is_first(&mut self, from: NodeId, attempt: u64) -> bool {
        if self.received.contains(&(from, attempt)) {
            return false;
        }
        if self.received.len() >= QUEUE_MAX {
            self.received.pop_front();
        }
        self.received.push_back((from, attempt));
        true
    }

    /// Records that `id` is forwarded. Returns whether it was not forwarded before.
    fn is_first_forward(&mut self, id: SubmitId) -> bool {
        if self.forwarded.contains(&id) {
            return false;
        }
        if self.forwarded.len() >= QUEUE_MAX {
            self.forwarded.pop_front();
        }
        self.forwarded.push_back(id);
        true
    }

    /// Returns a number that no other message of this node has, including earlier processes.
    fn next_attempt(&mut self, incarnation: u64) -> u64 {
        self.sent += 1;
        (incarnation << ATTEMPT_BITS).wrapping_add(self.sent)
    }
}

/// Low bits of an attempt that count messages; the incarnation takes the other bits.
const ATTEMPT_BITS: u32 = 20;

/// Handles a submission from an operator.
pub(super) fn submit(
    cx: &mut Context<'_>,
    state: &mut State,
    origin: Origin,
    submission: &Submission,
) {
    let id = submission.id;
    if let Some(checked) = check_submission(cx, state, origin, submission)
        && !state.accept.forwards.add_origin(id, origin)
    {
        forward(cx, state, origin, checked);
    }
}

/// Handles a message from another node.
pub(super) fn handle_message(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    message: &Message,
) {
    match message {
        Message::Forward {
            submission,
            attempt,
        } => {
            if state.accept.forwards.is_first(from, *attempt) {
                accept_forwarded(cx, state, from, submission);
            }
        }
        Message::Verdict { id, verdict } => handle_verdict(cx, state, from, *id, verdict),
    }
}

/// Commits on this node what other nodes did not answer in time.
pub(super) fn expire(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    for (_, it) in take_due(&mut state.accept.forwards.pending, |_, it| {
        it.fallback_at <= now
    }) {
        commit::enqueue(
            cx,
            state,
            it.checked,
            it.origins,
            PriorWrite::Elsewhere,
            it.deadline,
        );
    }
}

/// Answers a submission that needs no commit; otherwise returns it checked.
fn check_submission(
    cx: &mut Context<'_>,
    state: &mut State,
    origin: Origin,
    submission: &Submission,
) -> Option<Checked> {
    let id = submission.id;
    if let Some(seq) = state.log.accepted_at(id) {
        origin.answer(cx, id, accepted(seq));
        return None;
    }
    if state.accept.queue.add_origin(id, origin) {
        return None;
    }
    match Checked::new(submission) {
        Ok(checked) => Some(checked),
        Err(why) => {
            origin.answer(cx, id, Verdict::Refused { why });
            None
        }
    }
}

fn forward(cx: &mut Context<'_>, state: &mut State, origin: Origin, checked: Checked) {
    let deadline = cx.now + VERDICT_TIMEOUT;
    let own = cx.settings.node;
    let to = match committer(state, &cx.settings.region) {
        Some(to) if to != own => to,
        _ => return commit::enqueue(cx, state, checked, vec![origin], PriorWrite::None, deadline),
    };
    let count = state.accept.forwards.pending.len();
    let submission = checked.submission.clone();
    let id = submission.id;
    if count >= QUEUE_MAX {
        let why = format!("{count} submissions already wait on this node; submit again later");
        return origin.answer(cx, id, Verdict::Unavailable { why });
    }
    if !state.accept.forwards.is_first_forward(id) {
        let origins = vec![origin];
        return commit::enqueue(cx, state, checked, origins, PriorWrite::Elsewhere, deadline);
    }
    let attempt = state.accept.forwards.next_attempt(cx.settings.incarnation);
    let message = Message::Forward {
        submission,
        attempt,
    };
    cx.send(to, event::Message::Accept(message));
    let forward = Forward {
        checked,
        origins: vec![origin],
        to,
        fallback_at: cx.now + FORWARD_TIMEOUT,
        deadline,
    };
    state.accept.forwards.pending.insert(id, forward);
}

/// Commits a submission forwarded by another node. Never forwards it again, so that there are no loops.
fn accept_forwarded(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    submission: &Submission,
) {
    let origin = Origin::Node(from);
    let Some(checked) = check_submission(cx, state, origin, submission) else {
        return;
    };
    let mut origins = vec![origin];
    let mut prior_write = PriorWrite::None;
    if let Some(forward) = state.accept.forwards.pending.remove(&submission.id) {
        origins.extend(forward.origins);
        prior_write = PriorWrite::Elsewhere;
    }
    let deadline = cx.now + VERDICT_TIMEOUT;
    commit::enqueue(cx, state, checked, origins, prior_write, deadline);
}

fn handle_verdict(
    cx: &mut Context<'_>,
    state: &mut State,
    from: NodeId,
    id: SubmitId,
    verdict: &Verdict,
) {
    let pending = &mut state.accept.forwards.pending;
    let mut origins = Vec::new();
    if pending.get(&id).is_some_and(|it| it.to == from) {
        origins.extend(pending.remove(&id).into_iter().flat_map(|it| it.origins));
    } else if matches!(verdict, Verdict::Accepted { .. }) {
        origins = state.accept.queue.take_origins(id);
    }
    for origin in origins {
        origin.answer(cx, id, verdict.clone());
    }
}
