//! The side that runs requests: asks a bucket's owner for grants and tells it outcomes.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::Ms,
    event,
    guard::Fingerprint,
    id::{CallId, NodeId, Token},
    kernel::{Context, State},
    members::Record,
    once::{
        Answer, AttemptId, Claim, Ended, FORWARD_MS, GRANT_MS, INLINE_MAX, KEY_MAX, Kept, Key,
        Message, Outcome, Reply, Settlement, Verdict, bucket, reply, row_key,
    },
    platform::{Fault, ObjectAnswer, ObjectOp},
    utils::rendezvous,
};

/// An outcome that is not acknowledged is sent again after this long, in ms, and then after ever longer.
const RESEND_MS: u64 = 700;

/// The longest time until an outcome is sent again, in ms.
const RESEND_MAX_MS: u64 = 8_000;

/// Every so many times an outcome is sent to another owner than the first choice. It is seldom: when the
/// table is slow, second writers of a row would only slow it further.
const DEPUTY_TURNS: u32 = 3;

/// Most claims that wait for a verdict; more are refused.
const ASKING_MAX: usize = 4_096;

/// Most outcomes that wait to be kept; beyond it new claims are refused.
const SETTLING_MAX: usize = 4_096;

/// Most bytes of answers that wait to be kept; beyond it an answer is not kept.
const ANSWERS_MAX: usize = 4 * 1024 * 1024;

/// Most given-up attempts that are remembered.
const ABANDONED_MAX: usize = 4_096;

/// Hint to callers when the fault gives none, in ms.
const RETRY_MS: u64 = 250;

/// Claims asked for and outcomes not kept yet.
#[derive(Debug, Default)]
pub(super) struct Holder {
    asking: BTreeMap<AttemptId, Asking>,
    settling: BTreeMap<AttemptId, Settling>,
    reading: BTreeMap<CallId, Token>,
    storing: BTreeMap<CallId, AttemptId>,
    /// Attempts of which a caller was told that they were not run. A grant that still arrives for one is
    /// given back; a grant for an attempt that is not here is left alone, so that forgetting is safe.
    abandoned: VecDeque<(AttemptId, Key)>,
    /// Owners by bucket, until the members change: a ranking hashes every member, which for each claim would
    /// cost more than the claim.
    targets: BTreeMap<(u16, Turn), NodeId>,
}

#[derive(Debug)]
struct Asking {
    token: Token,
    claim: Claim,
    asked: Ms,
    turn: Turn,
}

/// Whom the claim was sent to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    Owner,
    Deputy,
}

#[derive(Debug)]
struct Settling {
    token: Option<Token>,
    settlement: Settlement,
    sent: Ms,
    turns: u32,
    store: Store,
}

impl Settling {
    fn turn(&self) -> Turn {
        match self.turns % DEPUTY_TURNS {
            2 => Turn::Deputy,
            _ => Turn::Owner,
        }
    }

    fn due(&self) -> Ms {
        self.sent + (RESEND_MS << self.turns.min(3)).min(RESEND_MAX_MS)
    }
}

/// Whether a large answer is an object yet.
#[derive(Debug)]
enum Store {
    Done,
    Waiting(Vec<u8>),
}

impl Holder {
    pub(super) fn unsettled(&self) -> usize {
        self.settling.len()
    }

    fn answers(&self) -> usize {
        let size = |it: &Settling| match &it.store {
            Store::Waiting(bytes) => bytes.len(),
            Store::Done => 0,
        };
        self.settling.values().map(size).sum()
    }

    fn abandon(&mut self, claim: &Claim) {
        if self.abandoned.len() >= ABANDONED_MAX {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((claim.attempt, claim.key.clone()));
    }

    fn abandoned(&self, attempt: AttemptId) -> Option<Key> {
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
    if holder.asking.len() >= ASKING_MAX || holder.settling.len() >= SETTLING_MAX {
        let why = "too many claims wait for the table; retry later".to_owned();
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
    let asking = Asking {
        token,
        claim: claim.clone(),
        asked: cx.now,
        turn: Turn::Owner,
    };
    // The same attempt asked for twice would be granted twice.
    if holder.asking.contains_key(&attempt) || holder.abandoned(attempt).is_some() {
        let why = "this attempt was asked for already; use a new attempt id".to_owned();
        return reply(cx, token, Reply::Unavailable { after: 0, why });
    }
    holder.asking.insert(attempt, asking);
    send_claim(cx, state, claim, Turn::Owner);
}

pub(super) fn verdict(
    cx: &mut Context<'_>,
    state: &mut State,
    attempt: AttemptId,
    verdict: &Verdict,
) {
    let Some(asking) = state.once.holder.asking.remove(&attempt) else {
        if *verdict == Verdict::Granted {
            give_back(cx, state, attempt);
        }
        return;
    };
    let until = asking.asked + GRANT_MS;
    let token = asking.token;
    if *verdict != Verdict::Granted {
        // Another owner may have been asked before, and its grant may still be on the way.
        state.once.holder.abandon(&asking.claim);
    }
    match verdict {
        Verdict::Granted if cx.now <= until => reply(cx, token, Reply::Granted { until }),
        Verdict::Granted => give_up(cx, state, asking, "the grant came too late; retry"),
        Verdict::Doubt { .. } => {
            give_up(
                cx,
                state,
                asking,
                "the table's answer was lost; retry later",
            );
        }
        Verdict::Ran(Kept::Inline(answer)) => reply(cx, token, Reply::Replay(answer.clone())),
        Verdict::Ran(Kept::Object { name }) => {
            let call = cx.object(ObjectOp::Get { name: name.clone() });
            state.once.holder.reading.insert(call, token);
        }
        Verdict::Ran(Kept::Lost) => {
            let why = "it ran, but its answer could not be kept".to_owned();
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
    let (outcome, store) = match ended {
        Ended::NotRun => (Outcome::NotRun, Store::Done),
        Ended::Unknown => (Outcome::Unknown, Store::Done),
        Ended::Ran(answer) => keep(&state.once.holder, attempt, answer),
    };
    let settling = Settling {
        token: Some(token),
        settlement: Settlement {
            key: key.clone(),
            attempt,
            outcome,
        },
        sent: cx.now,
        turns: 0,
        store,
    };
    state.once.holder.settling.insert(attempt, settling);
    advance(cx, state, attempt);
}

pub(super) fn settled(cx: &mut Context<'_>, state: &mut State, attempt: AttemptId) {
    if let Some(it) = state.once.holder.settling.remove(&attempt)
        && let Some(token) = it.token
    {
        reply(cx, token, Reply::Settled);
    }
}

pub(super) fn object(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &ObjectAnswer) {
    let holder = &mut state.once.holder;
    if let Some(token) = holder.reading.remove(&call) {
        return replay(cx, token, answer);
    }
    let Some(attempt) = holder.storing.remove(&call) else {
        return;
    };
    if *answer == ObjectAnswer::Done {
        if let Some(it) = holder.settling.get_mut(&attempt) {
            it.store = Store::Done;
        }
        advance(cx, state, attempt);
    }
}

pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    let now = cx.now;
    let holder = &mut state.once.holder;
    let late = |it: &Asking| now.since(it.asked) > GRANT_MS;
    let expired = crate::utils::take_due(&mut holder.asking, |_, it| late(it));
    let mut again = Vec::new();
    for it in holder.asking.values_mut() {
        if it.turn == Turn::Owner && now.since(it.asked) > FORWARD_MS {
            it.turn = Turn::Deputy;
            again.push(it.claim.clone());
        }
    }
    let mut resend = Vec::new();
    for (attempt, it) in &mut holder.settling {
        if now > it.due() {
            it.sent = now;
            it.turns += 1;
            resend.push(*attempt);
        }
    }
    for (_, it) in expired {
        give_up(cx, state, it, "no owner answered in time; retry later");
    }
    for it in again {
        // A slow table would only be slowed further by a second writer.
        if target(cx, state, &it.key, Turn::Owner) != cx.settings.node {
            send_claim(cx, state, it, Turn::Deputy);
        }
    }
    for it in resend {
        advance(cx, state, it);
    }
}

/// A node that was paused has kept its callers waiting, and a grant that now lies in its queue may be as
/// old as the pause. The callers are told that nothing was run and the grants are given back.
pub(super) fn paused(cx: &mut Context<'_>, state: &mut State) {
    for (_, it) in std::mem::take(&mut state.once.holder.asking) {
        give_up(cx, state, it, "this node was paused; retry");
    }
}

fn give_up(cx: &mut Context<'_>, state: &mut State, asking: Asking, why: &str) {
    let attempt = asking.claim.attempt;
    let (after, why) = (RETRY_MS, why.to_owned());
    reply(cx, asking.token, Reply::Unavailable { after, why });
    state.once.holder.abandon(&asking.claim);
    release(cx, state, asking.claim.key, attempt);
}

/// A grant for an attempt that was given up. It surely never ran, because only the answer to its caller
/// lets it run and the caller was told that it did not.
fn give_back(cx: &mut Context<'_>, state: &mut State, attempt: AttemptId) {
    if let Some(key) = state.once.holder.abandoned(attempt) {
        release(cx, state, key, attempt);
    }
}

fn release(cx: &mut Context<'_>, state: &mut State, key: Key, attempt: AttemptId) {
    let settling = Settling {
        token: None,
        settlement: Settlement {
            key,
            attempt,
            outcome: Outcome::NotRun,
        },
        sent: cx.now,
        turns: 0,
        store: Store::Done,
    };
    state.once.holder.settling.insert(attempt, settling);
    advance(cx, state, attempt);
}

fn keep(holder: &Holder, attempt: AttemptId, answer: &Answer) -> (Outcome, Store) {
    let bytes = postcard::to_stdvec(answer).expect("an answer encodes");
    if bytes.len() <= INLINE_MAX {
        return (Outcome::Ran(Kept::Inline(answer.clone())), Store::Done);
    }
    if holder.answers() + bytes.len() > ANSWERS_MAX {
        return (Outcome::Ran(Kept::Lost), Store::Done);
    }
    let name = format!("answer/{:032x}", attempt.0);
    (Outcome::Ran(Kept::Object { name }), Store::Waiting(bytes))
}

/// Stores the answer of a settlement, or sends the settlement if that is done.
fn advance(cx: &mut Context<'_>, state: &mut State, attempt: AttemptId) {
    let Some(it) = state.once.holder.settling.get(&attempt) else {
        return;
    };
    if let (Store::Waiting(bytes), Outcome::Ran(Kept::Object { name })) =
        (&it.store, &it.settlement.outcome)
    {
        let (name, bytes) = (name.clone(), bytes.clone());
        let call = cx.object(ObjectOp::Put { name, bytes });
        state.once.holder.storing.insert(call, attempt);
        return;
    }
    let (settlement, turn) = (it.settlement.clone(), it.turn());
    match target(cx, state, &settlement.key, turn) {
        to if to == cx.settings.node => bucket::settle(cx, state, to, settlement),
        to => cx.send(to, event::Message::Once(Message::Settle(settlement))),
    }
}

fn send_claim(cx: &mut Context<'_>, state: &mut State, claim: Claim, turn: Turn) {
    match target(cx, state, &claim.key, turn) {
        to if to == cx.settings.node => bucket::claim(cx, state, to, claim),
        to => cx.send(to, event::Message::Once(Message::Claim(claim))),
    }
}

/// The members changed.
pub(super) fn forget_targets(state: &mut State) {
    state.once.holder.targets.clear();
}

/// The node to commit for a bucket. The first choice is the same for the whole fleet, so that a row has
/// one writer; the second is a node of this region, in case the regions have lost each other.
fn target(cx: &Context<'_>, state: &mut State, key: &Key, turn: Turn) -> NodeId {
    let place = (key.bucket(), turn);
    if let Some(known) = state.once.holder.targets.get(&place) {
        return *known;
    }
    let row = row_key(place.0);
    let found = match turn {
        Turn::Owner => {
            let ready = state.members.ready().map(|it| it.id);
            rendezvous(&row, ready).first().copied()
        }
        Turn::Deputy => {
            let owner = target(cx, state, key, Turn::Owner);
            let near = |it: &&Record| it.region == cx.settings.region && it.id != owner;
            let ready = state.members.ready().filter(near).map(|it| it.id);
            rendezvous(&row, ready).first().copied()
        }
    };
    let node = found.unwrap_or(cx.settings.node);
    state.once.holder.targets.insert(place, node);
    node
}

fn replay(cx: &mut Context<'_>, token: Token, answer: &ObjectAnswer) {
    let said = match answer {
        ObjectAnswer::Bytes(bytes) => match postcard::from_bytes(bytes) {
            Ok(answer) => Reply::Replay(answer),
            Err(_) => Reply::Unknown {
                why: "it ran, but its kept answer is damaged".to_owned(),
            },
        },
        ObjectAnswer::Failed(fault) => Reply::Unavailable {
            after: hint(fault),
            why: fault.to_string(),
        },
        ObjectAnswer::Absent | ObjectAnswer::Done => Reply::Unknown {
            why: "it ran, but its answer is no longer kept".to_owned(),
        },
    };
    reply(cx, token, said);
}

/// When to try again after `fault`, in ms.
pub(super) fn hint(fault: &Fault) -> u64 {
    match fault {
        Fault::Throttled { after } => (*after).max(RETRY_MS),
        _ => RETRY_MS,
    }
}
