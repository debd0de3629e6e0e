//! The side that owns buckets: commits the claims that wait for one row together.
//!
//! One write of a row is in flight at a time, on the condition that the row is unchanged since it was read.
//! Two owners at once therefore collide, read the row again and decide again; neither grants a claim that
//! the other has granted.

mod answer;
mod decide;
mod pace;

use std::collections::{BTreeMap, VecDeque};

use self::{
    answer::{confirm, fail, looked},
    decide::decide,
    pace::{Contended, Pace},
};
use crate::{
    clock::Ms,
    id::{CallId, NodeId, Token},
    kernel::{Context, State},
    members::Members,
    once::{
        BUCKETS, Claim, GRANT_MS, PACE_MS, Reply, Settlement, holder,
        ledger::{Decision, Entry, Ledger, Process},
        reply, row_key,
        seal::Sealer,
    },
    platform::{ABSENT, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write},
};

/// Most requests that wait for one bucket; more are refused.
const QUEUE_MAX: usize = 1_024;

/// Most requests that one write of a row carries.
const BATCH_MAX: usize = 128;

/// A row of more bytes takes no new claims: too many are open or of unknown outcome.
const ROW_MAX: usize = 128 * 1024;

/// A bucket with more sealed claims within the retention takes no new ones: 8 bytes of memory each.
const INDEX_MAX: usize = 1_000_000;

/// From this share on a bucket that fills up is logged, every so often.
const WARN_PERCENT: usize = 70;

const WARN_MS: u64 = 60_000;

/// One bucket that this node commits for.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    row: Known,
    size: usize,
    queue: VecDeque<Ask>,
    /// Number of the newest request.
    newest: u64,
    flight: Option<Flight>,
    /// When a bucket that fills up was last logged.
    warned: Ms,
    /// When the next write may begin.
    due: Ms,
    pace: Pace,
    /// Until when the table counts as down.
    down: Ms,
    sealer: Sealer,
    lookups: BTreeMap<CallId, Ask>,
}

/// What this node knows of the row.
#[derive(Debug, Default)]
enum Known {
    #[default]
    Nothing,
    /// At this version, as of the moment that the request with number `read` was the newest.
    Row {
        version: u64,
        ledger: Ledger,
        read: u64,
    },
}

#[derive(Debug)]
struct Ask {
    work: Work,
    since: Ms,
    /// Counts the bucket's requests.
    number: u64,
    written: Written,
}

/// Whether a write that holds the request may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    No,
    Perhaps,
}

#[derive(Debug)]
enum Work {
    Claim(NodeId, Claim),
    Settle(NodeId, Settlement),
    Resolve(Token, Decision),
}

#[derive(Debug)]
enum Flight {
    Read {
        call: CallId,
        read: u64,
    },
    Write {
        call: CallId,
        version: u64,
        read: u64,
        ledger: Ledger,
        size: usize,
        asks: Vec<Ask>,
        dropped: Vec<String>,
    },
    /// Reads the keys of a segment.
    Index(CallId, String),
}

impl Bucket {
    pub(super) fn footprint(&self) -> usize {
        self.size + self.sealer.footprint()
    }

    /// Whether the bucket takes no new claims. Operators are told well before that.
    fn full(&mut self, cx: &mut Context<'_>, id: u16) -> bool {
        let used = (self.size * 100 / ROW_MAX).max(self.sealer.keys() * 100 / INDEX_MAX);
        if used >= WARN_PERCENT && cx.now.since(self.warned) > WARN_MS {
            self.warned = cx.now;
            let pairs = vec![
                ("row", row_key(id)),
                ("percent", used.to_string()),
                ("row_bytes", self.size.to_string()),
                ("kept", self.sealer.keys().to_string()),
            ];
            cx.log("claims-filling", pairs);
        }
        used >= 100
    }

    fn call(&self) -> Option<CallId> {
        match self.flight.as_ref()? {
            Flight::Read { call, .. } | Flight::Write { call, .. } | Flight::Index(call, _) => {
                Some(*call)
            }
        }
    }
}

pub(super) fn claim(cx: &mut Context<'_>, state: &mut State, from: NodeId, claim: Claim) {
    let id = claim.key.bucket();
    push(cx, state, id, Work::Claim(from, claim));
}

pub(super) fn settle(cx: &mut Context<'_>, state: &mut State, from: NodeId, it: Settlement) {
    let id = it.key.bucket();
    push(cx, state, id, Work::Settle(from, it));
}

pub(super) fn resolve(cx: &mut Context<'_>, state: &mut State, token: Token, it: Decision) {
    let id = it.key.bucket();
    push(cx, state, id, Work::Resolve(token, it));
}

/// Reads every bucket's row, for [`listed`].
pub(super) fn list(cx: &mut Context<'_>) -> CallId {
    cx.table(TableOp::Get {
        keys: (0..BUCKETS).map(row_key).collect(),
    })
}

/// Answers [`super::Call::List`].
pub(super) fn listed(cx: &mut Context<'_>, state: &mut State, token: Token, answer: &TableAnswer) {
    let TableAnswer::Rows(rows) = answer else {
        let why = "the table gave no answer; retry later".to_owned();
        return reply(cx, token, Reply::Refused { why });
    };
    let ledgers = rows.iter().map(|it| Ledger::decode(&it.value));
    let Ok(ledgers) = ledgers.collect::<Result<Vec<Ledger>, _>>() else {
        let why = "a claim row is damaged; upgrade this node".to_owned();
        return reply(cx, token, Reply::Refused { why });
    };
    let members = &state.members;
    let found = ledgers
        .into_iter()
        .flat_map(|it| it.entries)
        .filter(|it| it.unknown(cx.now, |it| process(members, it)))
        .collect();
    reply(cx, token, Reply::Listed(found));
}

pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    let waiting: Vec<u16> = state
        .once
        .buckets
        .iter()
        .filter(|(_, it)| it.flight.is_none() && (!it.queue.is_empty() || it.sealer.stored()))
        .map(|(id, _)| *id)
        .collect();
    for id in waiting {
        pump(cx, state, id);
    }
}

pub(super) fn table(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &TableAnswer) {
    let found = state.once.buckets.iter_mut();
    let Some((id, bucket)) = found
        .map(|(id, it)| (*id, it))
        .find(|(_, it)| it.call() == Some(call))
    else {
        return;
    };
    match bucket.flight.take() {
        Some(Flight::Write {
            version,
            read,
            ledger,
            size,
            asks,
            dropped,
            ..
        }) => {
            if *answer == TableAnswer::Committed {
                bucket.row = Known::Row {
                    version: version + 1,
                    ledger,
                    read,
                };
                bucket.size = size;
                if bucket.pace.contended() == Contended::Yes {
                    bucket.row = Known::Nothing;
                }
                bucket.pace = bucket.pace.faster();
                bucket.sealer.written(cx, &dropped);
                asks.into_iter().for_each(|it| confirm(cx, state, it));
            } else {
                failed_write(cx, state, id, asks, answer);
            }
        }
        Some(Flight::Read { read, .. }) => loaded(cx, state, id, read, answer),
        other => bucket.flight = other,
    }
    pump(cx, state, id);
}

pub(super) fn object(cx: &mut Context<'_>, state: &mut State, call: CallId, answer: &ObjectAnswer) {
    let ids: Vec<u16> = state.once.buckets.keys().copied().collect();
    for id in ids {
        let Some(bucket) = state.once.buckets.get_mut(&id) else {
            continue;
        };
        if let Some(ask) = bucket.lookups.remove(&call) {
            return looked(cx, state, ask, answer);
        }
        if bucket.call() == Some(call) {
            if let Some(Flight::Index(_, name)) = bucket.flight.take() {
                indexed(cx, state, id, name, answer);
            }
            return pump(cx, state, id);
        }
        if bucket.sealer.object(cx, call, answer) {
            return;
        }
    }
}

fn push(cx: &mut Context<'_>, state: &mut State, id: u16, work: Work) {
    let bucket = state.once.buckets.entry(id).or_default();
    bucket.newest += 1;
    let ask = Ask {
        work,
        since: cx.now,
        number: bucket.newest,
        written: Written::No,
    };
    if cx.now < bucket.down {
        let after = bucket.down.since(cx.now);
        return fail(cx, state, ask, after, "the table is down; retry later");
    }
    if bucket.queue.len() >= QUEUE_MAX {
        return fail(cx, state, ask, PACE_MS, "too many claims wait; retry later");
    }
    bucket.queue.push_back(ask);
    pump(cx, state, id);
}

/// Starts the next operation of a bucket, if it has something to do and nothing in flight.
fn pump(cx: &mut Context<'_>, state: &mut State, id: u16) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    let idle = bucket.queue.is_empty() && !bucket.sealer.stored();
    let early = cx.now < bucket.due.max(bucket.down);
    if bucket.flight.is_some() || idle || early {
        return;
    }
    let Known::Row { ledger, .. } = &bucket.row else {
        let keys = vec![row_key(id)];
        bucket.flight = Some(Flight::Read {
            call: cx.table(TableOp::Get { keys }),
            read: bucket.newest,
        });
        return;
    };
    if let Some(name) = bucket.sealer.missing(ledger) {
        let call = cx.object(ObjectOp::Get { name: name.clone() });
        bucket.flight = Some(Flight::Index(call, name));
        return;
    }
    decide(cx, state, id);
}

fn write(
    cx: &mut Context<'_>,
    bucket: &mut Bucket,
    id: u16,
    version: u64,
    ledger: Ledger,
    asks: Vec<Ask>,
    dropped: Vec<String>,
) {
    let value = ledger.encode();
    let size = value.len();
    // Of several owners that seal the same claims only one succeeds; they leave it until it is pressing.
    if bucket.pace.contended() == Contended::No || size > ROW_MAX / 2 {
        bucket.sealer.consider(cx, id, &ledger, size);
    }
    let key = row_key(id);
    let read = bucket.newest;
    let call = cx.table(TableOp::Commit {
        checks: vec![Check {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put { key, value }],
    });
    bucket.due = cx.now + bucket.pace.wait(cx.rng);
    bucket.flight = Some(Flight::Write {
        call,
        version,
        read,
        ledger,
        size,
        asks,
        dropped,
    });
}

/// A write that did not surely take effect.
fn failed_write(
    cx: &mut Context<'_>,
    state: &mut State,
    id: u16,
    mut asks: Vec<Ask>,
    answer: &TableAnswer,
) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    bucket.sealer.unwritten();
    match answer {
        TableAnswer::Failed(Fault::Unknown) => {
            // The row is read back: a claim that is in it meets its own attempt id and is granted.
            asks.iter_mut().for_each(|it| it.written = Written::Perhaps);
            bucket.row = Known::Nothing;
            requeue(bucket, asks);
        }
        TableAnswer::Failed(fault) => {
            let after = holder::hint(fault);
            bucket.down = cx.now + after;
            if matches!(fault, Fault::Throttled { .. }) {
                bucket.pace = bucket.pace.slower();
            }
            let why = fault.to_string();
            asks.extend(std::mem::take(&mut bucket.queue));
            asks.into_iter()
                .for_each(|it| fail(cx, state, it, after, &why));
        }
        // Another owner wrote first.
        TableAnswer::Conflict(_) => {
            bucket.pace = bucket.pace.slower();
            bucket.due = cx.now + bucket.pace.wait(cx.rng);
            bucket.row = Known::Nothing;
            requeue(bucket, asks);
        }
        TableAnswer::Committed | TableAnswer::Rows(_) => requeue(bucket, asks),
    }
}

/// A read of the row came back.
fn loaded(cx: &mut Context<'_>, state: &mut State, id: u16, read: u64, answer: &TableAnswer) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    let (after, why) = match answer {
        TableAnswer::Rows(rows) => {
            load(cx, bucket, id, read, rows);
            if !matches!(bucket.row, Known::Nothing) {
                return;
            }
            let why = "this bucket's row is damaged; upgrade this node";
            (GRANT_MS, why.to_owned())
        }
        TableAnswer::Failed(fault) => (holder::hint(fault), fault.to_string()),
        _ => (
            GRANT_MS,
            "the table gave an answer of another kind".to_owned(),
        ),
    };
    bucket.down = cx.now + after;
    for ask in std::mem::take(&mut bucket.queue) {
        fail(cx, state, ask, after, &why);
    }
}

fn load(cx: &mut Context<'_>, bucket: &mut Bucket, id: u16, read: u64, rows: &[Row]) {
    let key = row_key(id);
    let found = rows.iter().find(|it| it.key == key);
    bucket.size = found.map_or(0, |it| it.value.len());
    let known = |version, ledger| Known::Row {
        version,
        ledger,
        read,
    };
    bucket.row = match found.map(|it| (it.version, Ledger::decode(&it.value))) {
        None => known(ABSENT, Ledger::default()),
        Some((version, Ok(ledger))) => known(version, ledger),
        Some((_, Err(error))) => {
            cx.log(
                "claims-damaged",
                vec![("row", key), ("error", error.to_string())],
            );
            Known::Nothing
        }
    };
}

fn requeue(bucket: &mut Bucket, asks: Vec<Ask>) {
    asks.into_iter()
        .rev()
        .for_each(|it| bucket.queue.push_front(it));
}

/// The keys of a segment came.
fn indexed(cx: &mut Context<'_>, state: &mut State, id: u16, name: String, answer: &ObjectAnswer) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    if bucket.sealer.index(name, answer) {
        return;
    }
    // The segment may have been merged or dropped by another owner meanwhile.
    bucket.row = Known::Nothing;
    bucket.down = cx.now + PACE_MS;
    for ask in std::mem::take(&mut bucket.queue) {
        fail(
            cx,
            state,
            ask,
            PACE_MS,
            "older claims cannot be read; retry later",
        );
    }
}

/// How the process that holds `entry` is, as far as this node knows.
fn process(members: &Members, entry: &Entry) -> Process {
    let mut alive = members.alive();
    match alive.find(|it| it.id == entry.holder) {
        Some(it) if it.incarnation > entry.incarnation => Process::Restarted,
        Some(_) => Process::Lives,
        None => Process::Absent,
    }
}
