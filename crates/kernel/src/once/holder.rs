//! The holder's side of claims: requests grants from the owners of buckets and reports outcomes to them.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::Ms,
    event,
    guard::Fingerprint,
    id::{CallId, NodeId, Token},
    kernel::{Context, State},
    members::Record,
    once::{
        Answer, AttemptId, Claim, Ended, FORWARD_TIMEOUT_MS, GRANT_TIMEOUT_MS, INLINE_MAX, KEY_MAX,
        Key, Message, Outcome, Reply, Settlement, StoredAnswer, Verdict, bucket, reply, row_key,
    },
    platform::{Fault, ObjectAnswer, ObjectOp},
    utils::rendezvous,
};

/// Initial time until an unacknowledged outcome is sent again, in ms; it doubles with each of the first three resends.
const RESEND_MS: u64 = 700;

/// Maximum time until an unacknowledged outcome is sent again, in ms.
const RESEND_MAX_MS: u64 = 8_000;

/// One in this many attempts to send an outcome goes to the deputy. Rare, because a second writer of a row
/// would slow a slow table further.
const DEPUTY_EVERY: u32 = 3;

/// Maximum number of claims that wait for a verdict; more are refused.
const CLAIMS_MAX: usize = 4_096;

/// Maximum number of outcomes that wait to be stored; beyond it new claims are refused.
const SETTLEMENTS_MAX: usize = 4_096;

/// Maximum size of all answers that wait to be stored, in bytes; beyond it an answer is not stored.
const ANSWERS_MAX: usize = 4 * 1024 * 1024;

/// Maximum number of abandoned attempts that are remembered.
const ABANDONED_MAX: usize = 4_096;

/// Minimum time after which callers should retry, in ms.
const RETRY_MS: u64 = 250;

/// Claims without a verdict and outcomes that are not stored yet.
#[derive(Debug, Default)]
pub(super) struct Holder {
    pending: BTreeMap<AttemptId, PendingClaim>,
    settlements: BTreeMap<AttemptId, PendingSettlement>,
    answer_reads: BTreeMap<CallId, Token>,
    answer_writes: BTreeMap<CallId, AttemptId>,
    /// Attempts that were reported to the caller as not run. A grant that still arrives for one is released;
    /// a grant for an unlisted attempt is ignored, so entries may be forgotten.
    abandoned: VecDeque<(AttemptId, Key)>,
    /// Cache of the owners by bucket until the members change, because a ranking hashes every member.
    targets: BTreeMap<(u16, Recipient), NodeId>,
}

#[derive(Debug)]
struct PendingClaim {
    token: Token,
    claim: Claim,
    since: Ms,
    recipient: Recipient,
}

/// The node that a claim or outcome is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Recipient {
    Owner,
    Deputy,
}

#[derive(Debug)]
struct PendingSettlement {
    token: Option<Token>,
    settlement: Settlement,
    sent: Ms,
    attempts: u32,
    answer_state: AnswerState,
}

impl PendingSettlement {
    fn recipient(&self) -> Recipient {
        match self.attempts % DEPUTY_EVERY {
            2 => Recipient::Deputy,
            _ => Recipient::Owner,
        }
    }

    fn due(&self) -> Ms {
        self.sent + (RESEND_MS << self.attempts.min(3)).min(RESEND_MAX_MS)
    }
}

/// Whether a large answer is stored as an object.
#[derive(Debug)]
enum AnswerState {
    Stored,
    Unstored(Vec<u8>),
}

impl Holder {
    pub(super) fn unsettled(&self) -> usize {
        self.settlements.len()
    }

    fn unstored_bytes(&self) -> usize {
        let size = |it: &PendingSettlement| match &it.answer_state {
            AnswerState::Unstored(bytes) => bytes.len(),
            AnswerState::Stored => 0,
        };
        self.settlements.values().map(size).sum()
    }

    fn abandon(&mut self, claim: &Claim) {
        if self.abandoned.len() >= ABANDONED_MAX {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((claim.attempt, claim.key.clone()));
    }

    fn abandoned_key(&self, attempt: AttemptId) -> Option<Key> {
        let mut found = self.abandoned.iter().filter(|it| it.0 == attempt);
        found.next().map(|it| it.1.clone())
    }
}

pub(super) fn claim(
    cx: &mut Context<'_>,
    state: &mut State,
    token: Token,
    key: &Key,
    attempt: AttemptId,
    print: Fingerprint,
) {
    let holder = &mut state.once.holder;
    if key.text.is_empty() || key.text.len() > KEY_MAX {
        let why = format!("the Idempotency-Key must have 1 to {KEY_MAX} bytes");
        return reply(cx, token, Reply::Unavailable { after: 0, why });
    }
    if holder.pending.len() >= CLAIMS_MAX || holder.settlements.len() >= SETTLEMENTS_MAX {
        let why = "too many claims are waiting on this node; retry later".to_owned();
        let after = RETRY_MS;
        return reply(cx, token, Reply::Unavailable { after, why });
    }
    let claim = Claim {
        key: key.clone(),
        attempt,
        print,
        holder: cx.settings.node,
        incarnation: state.members.own().incarnation,
    };
    let pending = PendingClaim {
        token,
        claim: claim.clone(),
        since: cx.now,
        recipient: Recipient::Owner,
    };
    // An attempt that is claimed twice would be granted twice.
    if holder.pending.contains_key(&attempt) || holder.abandoned_key(attempt).is_some() {
        let why = "this attempt id was used before; use a new one".to_owned();
        return reply(cx, token, Reply::Unavailable { after: 0, why });
    }
    holder.pending.insert(attempt, pending);
    send_claim(cx, state, claim, Recipient::Owner);
}

pub(super) fn handle_verdict(
    cx: &mut Context<'_>,
    state: &mut State,
    attempt: AttemptId,
    verdict: &Verdict,
) {
    let Some(pending) = state.once.holder.pending.remove(&attempt) else {
        if *verdict == Verdict::Granted {
            release_grant(cx, state, attempt);
        }
        return;
    };
    let until = pending.since + GRANT_TIMEOUT_MS;
    let token = pending.token;
    if *verdict != Verdict::Granted {
        // The claim may have been sent to another owner before, whose grant may still arrive.
        state.once.holder.abandon(&pending.claim);
    }
    match verdict {
        Verdict::Granted if cx.now <= until => reply(cx, token, Reply::Granted { until }),
        Verdict::Granted => abandon_claim(cx, state, pending, "the grant arrived too late; retry"),
        Verdict::Doubt { .. } => {
            abandon_claim(
                cx,
                state,
                pending,
                "the table's answer was lost; retry later",
            );
        }
        Verdict::Ran(StoredAnswer::Inline(answer)) => {
            reply(cx, token, Reply::Replay(answer.clone()))
        }
        Verdict::Ran(StoredAnswer::Object { name }) => {
            let call = cx.object(ObjectOp::Get { name: name.clone() });
            state.once.holder.answer_reads.insert(call, token);
        }
        Verdict::Ran(StoredAnswer::Lost) => {
            let why = "the request ran, but its answer could not be stored".to_owned();
            reply(cx, token, Reply::Unknown { why });
        }
        Verdict::Busy => reply(cx, token, Reply::Busy { after: RETRY_MS }),
        Verdict::Unknown { why } => reply(cx, token, Reply::Unknown { why: why.clone() }),
        Verdict::Mismatch => reply(cx, token, Reply::Mismatch),
        Verdict::Unavailable { after, why } => {
            let (after, why) = (*after, why.clone());
            reply(cx, token, Reply::Unavailable { after, why });
        }
    }
}

pub(super) fn settle(
    cx: &mut Context<'_>,
    state: &mut State,
    token: Token,
    key: &Key,
    attempt: AttemptId,
    ended: &Ended,
) {
    let (outcome, answer_state) = match ended {
        Ended::NotRun => (Outcome::NotRun, AnswerState::Stored),
        Ended::Unknown => (Outcome::Unknown, AnswerState::Stored),
        Ended::Ran(answer) => prepare_answer(&state.once.holder, attempt, answer),
    };
    let pending = PendingSettlement {
        token: Some(token),
        settlement: Settlement {
            key: key.clone(),
            attempt,
            outcome,
        },
        sent: cx.now,
        attempts: 0,
        answer_state,
    };
    state.once.holder.settlements.insert(attempt, pending);
    send_settlement(cx, state, attempt);
}

pub(super) fn handle_settled(cx: &mut Context<'_>, state: &mut State, attempt: AttemptId) {
    if let Some(it) = state.once.holder.settlements.remove(&attempt)
        && let Some(token) = it.token
    {
        reply(cx, token, Reply::Settled);
    }
}

pub(super) fn handle_object_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &ObjectAnswer,
) {
    let holder = &mut state.once.holder;
    if let Some(token) = holder.answer_reads.remove(&call) {
        return reply_with_answer(cx, token, answer);
    }
    let Some(attempt) = holder.answer_writes.remove(&call) else {
        return;
    };
    if *answer == ObjectAnswer::Done {
        if let Some(it) = holder.settlements.get_mut(&attempt) {
            it.answer_state = AnswerState::Stored;
        }
        send_settlement(cx, state, attempt);
    }
}

pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    let holder = &mut state.once.holder;
    let is_late = |it: &PendingClaim| now.since(it.since) > GRANT_TIMEOUT_MS;
    let expired = crate::utils::take_due(&mut holder.pending, |_, it| is_late(it));
    let mut to_deputy = Vec::new();
    for it in holder.pending.values_mut() {
        if it.recipient == Recipient::Owner && now.since(it.since) > FORWARD_TIMEOUT_MS {
            it.recipient = Recipient::Deputy;
            to_deputy.push(it.claim.clone());
        }
    }
    let mut resend = Vec::new();
    for (attempt, it) in &mut holder.settlements {
        if now > it.due() {
            it.sent = now;
            it.attempts += 1;
            resend.push(*attempt);
        }
    }
    for (_, it) in expired {
        abandon_claim(
            cx,
            state,
            it,
            "no owner of the bucket answered in time; retry later",
        );
    }
    for it in to_deputy {
        // If this node is the owner, it waits for the table, which a second writer would slow further.
        if target(cx, state, &it.key, Recipient::Owner) != cx.settings.node {
            send_claim(cx, state, it, Recipient::Deputy);
        }
    }
    for it in resend {
        send_settlement(cx, state, it);
    }
}

/// Abandons all pending claims after a pause of this process, because their grants may be as old as the pause.
/// The callers learn that nothing was run, and late grants are released.
pub(super) fn handle_pause(cx: &mut Context<'_>, state: &mut State) {
    for (_, it) in std::mem::take(&mut state.once.holder.pending) {
        abandon_claim(cx, state, it, "this node was paused; retry");
    }
}

fn abandon_claim(cx: &mut Context<'_>, state: &mut State, pending: PendingClaim, why: &str) {
    let attempt = pending.claim.attempt;
    let (after, why) = (RETRY_MS, why.to_owned());
    reply(cx, pending.token, Reply::Unavailable { after, why });
    state.once.holder.abandon(&pending.claim);
    release_claim(cx, state, pending.claim.key, attempt);
}

/// Releases a grant for an abandoned attempt. Its request never ran, because its caller received a refusal.
fn release_grant(cx: &mut Context<'_>, state: &mut State, attempt: AttemptId) {
    if let Some(key) = state.once.holder.abandoned_key(attempt) {
        release_claim(cx, state, key, attempt);
    }
}

fn release_claim(cx: &mut Context<'_>, state: &mut State, key: Key, attempt: AttemptId) {
    let pending = PendingSettlement {
        token: None,
        settlement: Settlement {
            key,
            attempt,
            outcome: Outcome::NotRun,
        },
        sent: cx.now,
        attempts: 0,
        answer_state: AnswerState::Stored,
    };
    state.once.holder.settlements.insert(attempt, pending);
    send_settlement(cx, state, attempt);
}

fn prepare_answer(holder: &Holder, attempt: AttemptId, answer: &Answer) -> (Outcome, AnswerState) {
    let bytes = postcard::to_stdvec(answer).expect("an answer encodes");
    if bytes.len() <= INLINE_MAX {
        return (
            Outcome::Ran(StoredAnswer::Inline(answer.clone())),
            AnswerState::Stored,
        );
    }
    if holder.unstored_bytes() + bytes.len() > ANSWERS_MAX {
        return (Outcome::Ran(StoredAnswer::Lost), AnswerState::Stored);
    }
    let name = format!("answer/{:032x}", attempt.0);
    (
        Outcome::Ran(StoredAnswer::Object { name }),
        AnswerState::Unstored(bytes),
    )
}

/// Stores the answer of a settlement first, or sends the settlement if its answer is stored.
fn send_settlement(cx: &mut Context<'_>, state: &mut State, attempt: AttemptId) {
    let Some(it) = state.once.holder.settlements.get(&attempt) else {
        return;
    };
    if let (AnswerState::Unstored(bytes), Outcome::Ran(StoredAnswer::Object { name })) =
        (&it.answer_state, &it.settlement.outcome)
    {
        let (name, bytes) = (name.clone(), bytes.clone());
        let call = cx.object(ObjectOp::Put { name, bytes });
        state.once.holder.answer_writes.insert(call, attempt);
        return;
    }
    let (settlement, recipient) = (it.settlement.clone(), it.recipient());
    match target(cx, state, &settlement.key, recipient) {
        to if to == cx.settings.node => bucket::settle(cx, state, to, settlement),
        to => cx.send(to, event::Message::Once(Message::Settle(settlement))),
    }
}

fn send_claim(cx: &mut Context<'_>, state: &mut State, claim: Claim, recipient: Recipient) {
    match target(cx, state, &claim.key, recipient) {
        to if to == cx.settings.node => bucket::claim(cx, state, to, claim),
        to => cx.send(to, event::Message::Once(Message::Claim(claim))),
    }
}

/// Clears the cached owners after a change of the members.
pub(super) fn clear_targets(state: &mut State) {
    state.once.holder.targets.clear();
}

/// Returns the node that commits for a bucket. All nodes choose the same owner, so that a row has one writer;
/// the deputy is a node of this region, for a partition between regions.
fn target(cx: &Context<'_>, state: &mut State, key: &Key, recipient: Recipient) -> NodeId {
    let cache_key = (key.bucket(), recipient);
    if let Some(known) = state.once.holder.targets.get(&cache_key) {
        return *known;
    }
    let row = row_key(cache_key.0);
    let found = match recipient {
        Recipient::Owner => {
            let ready = state.members.ready().map(|it| it.id);
            rendezvous(&row, ready).first().copied()
        }
        Recipient::Deputy => {
            let owner = target(cx, state, key, Recipient::Owner);
            let near = |it: &&Record| it.region == cx.settings.region && it.id != owner;
            let ready = state.members.ready().filter(near).map(|it| it.id);
            rendezvous(&row, ready).first().copied()
        }
    };
    let node = found.unwrap_or(cx.settings.node);
    state.once.holder.targets.insert(cache_key, node);
    node
}

fn reply_with_answer(cx: &mut Context<'_>, token: Token, answer: &ObjectAnswer) {
    let response = match answer {
        ObjectAnswer::Bytes(bytes) => match postcard::from_bytes(bytes) {
            Ok(answer) => Reply::Replay(answer),
            Err(_) => Reply::Unknown {
                why: "the request ran, but its stored answer cannot be decoded".to_owned(),
            },
        },
        ObjectAnswer::Failed(fault) => Reply::Unavailable {
            after: retry_after(fault),
            why: fault.to_string(),
        },
        ObjectAnswer::Absent | ObjectAnswer::Done => Reply::Unknown {
            why: "the request ran, but its answer is no longer stored".to_owned(),
        },
    };
    reply(cx, token, response);
}

/// Returns the time to wait before a retry after `fault`, in ms.
pub(super) fn retry_after(fault: &Fault) -> u64 {
    match fault {
        Fault::Throttled { after } => (*after).max(RETRY_MS),
        _ => RETRY_MS,
    }
}
