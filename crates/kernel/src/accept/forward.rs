//! Submissions on their way to the region's committer.
//!
//! Forwarding gathers a region's submissions into few transactions. It is not needed for safety: any node
//! may commit, and a submission that two nodes commit is held by the log that the second one has to read.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    accept::{
        FORWARD_TIMEOUT, Message, Origin, QUEUE_MAX, Submission, VERDICT_TIMEOUT, Verdict,
        accepted,
        commit::{self, Trace},
        committer,
        decide::Checked,
    },
    clock::Ms,
    event,
    id::{NodeId, SubmitId},
    kernel::{Context, State},
    utils::take_due,
};

/// Submissions that other nodes are to commit.
#[derive(Debug, Default)]
pub(super) struct Forwards {
    pending: BTreeMap<SubmitId, Forward>,
    /// Messages sent so far.
    sent: u64,
    /// The last [`QUEUE_MAX`] messages taken in, by sender and attempt.
    ///
    /// A copy that arrives after the verdict would be decided anew: an operator who was told `refused`
    /// would find the change made, once it fits. Copies come within seconds, as long as a connection is
    /// replaced; this many forwards take longer.
    taken: VecDeque<(NodeId, u64)>,
}

#[derive(Debug)]
struct Forward {
    checked: Checked,
    origins: Vec<Origin>,
    to: NodeId,
    /// When this node commits it by itself.
    until: Ms,
    deadline: Ms,
}

impl Forwards {
    /// Adds `origin` to those who wait for `id`, if it is here.
    pub fn join(&mut self, id: SubmitId, origin: Origin) -> bool {
        let Some(it) = self.pending.get_mut(&id) else {
            return false;
        };
        if !it.origins.contains(&origin) {
            it.origins.push(origin);
        }
        true
    }

    /// Whether this is the first message of `from` with this attempt.
    fn is_first(&mut self, from: NodeId, attempt: u64) -> bool {
        if self.taken.contains(&(from, attempt)) {
            return false;
        }
        if self.taken.len() >= QUEUE_MAX {
            self.taken.pop_front();
        }
        self.taken.push_back((from, attempt));
        true
    }

    /// A number that no other message of this node has, in this process or an earlier one.
    fn attempt(&mut self, incarnation: u64) -> u64 {
        self.sent += 1;
        (incarnation << ATTEMPT_BITS).wrapping_add(self.sent)
    }
}

/// Room for the messages sent within the millisecond of a start; incarnations take the other bits.
const ATTEMPT_BITS: u32 = 20;

/// Takes in a submission of an operator.
pub(super) fn submit(
    cx: &mut Context<'_>,
    state: &mut State,
    origin: Origin,
    submission: &Submission,
) {
    let id = submission.id;
    if let Some(checked) = intake(cx, state, origin, submission)
        && !state.accept.forwards.join(id, origin)
    {
        forward(cx, state, origin, checked);
    }
}

/// Takes in a message of another node.
pub(super) fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Forward {
            submission,
            attempt,
        } => {
            if state.accept.forwards.is_first(from, *attempt) {
                take_over(cx, state, from, submission);
            }
        }
        Message::Verdict { id, verdict } => learn(cx, state, from, *id, verdict),
    }
}

/// Takes back what other nodes did not answer in time.
pub(super) fn expire(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    for (_, it) in take_due(&mut state.accept.forwards.pending, |_, it| it.until <= now) {
        commit::enqueue(
            cx,
            state,
            it.checked,
            it.origins,
            Trace::Elsewhere,
            it.deadline,
        );
    }
}

/// Answers what can be answered at once; otherwise returns the checked submission.
fn intake(
    cx: &mut Context<'_>,
    state: &mut State,
    origin: Origin,
    submission: &Submission,
) -> Option<Checked> {
    let id = submission.id;
    if let Some(seq) = state.log.accepted(id) {
        origin.answer(cx, id, accepted(seq));
        return None;
    }
    if state.accept.queue.join(id, origin) {
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
        _ => return commit::enqueue(cx, state, checked, vec![origin], Trace::Clean, deadline),
    };
    let count = state.accept.forwards.pending.len();
    let submission = checked.submission.clone();
    let id = submission.id;
    if count >= QUEUE_MAX {
        let why = format!("{count} submissions wait on this node already; submit again soon");
        return origin.answer(cx, id, Verdict::Unavailable { why });
    }
    let attempt = state.accept.forwards.attempt(cx.settings.incarnation);
    let message = Message::Forward {
        submission,
        attempt,
    };
    cx.send(to, event::Message::Accept(message));
    let forward = Forward {
        checked,
        origins: vec![origin],
        to,
        until: cx.now + FORWARD_TIMEOUT,
        deadline,
    };
    state.accept.forwards.pending.insert(id, forward);
}

/// Commits what another node took in; never forwards it on, so views that differ make no circle.
fn take_over(cx: &mut Context<'_>, state: &mut State, from: NodeId, submission: &Submission) {
    let origin = Origin::Node(from);
    let Some(checked) = intake(cx, state, origin, submission) else {
        return;
    };
    let mut origins = vec![origin];
    let mut trace = Trace::Clean;
    if let Some(forward) = state.accept.forwards.pending.remove(&submission.id) {
        origins.extend(forward.origins);
        trace = Trace::Elsewhere;
    }
    let deadline = cx.now + VERDICT_TIMEOUT;
    commit::enqueue(cx, state, checked, origins, trace, deadline);
}

fn learn(cx: &mut Context<'_>, state: &mut State, from: NodeId, id: SubmitId, verdict: &Verdict) {
    let pending = &mut state.accept.forwards.pending;
    let mut origins = Vec::new();
    if pending.get(&id).is_some_and(|it| it.to == from) {
        origins.extend(pending.remove(&id).into_iter().flat_map(|it| it.origins));
    } else if matches!(verdict, Verdict::Accepted { .. }) {
        origins = state.accept.queue.release(id);
    }
    for origin in origins {
        origin.answer(cx, id, verdict.clone());
    }
}
