//! The owner's side of claims: commits all claims that wait for one bucket's row together.
//!
//! One write of a row is in flight at a time, conditional on the row being unchanged since it was read. If two
//! nodes act as owner, one write fails; that node reads the row and decides again, so no claim is granted twice.

mod answer;
mod decide;
mod pace;

use std::collections::{BTreeMap, VecDeque};

use self::{
    answer::{handle_lookup, respond_failed, respond_written},
    decide::decide,
    pace::{Contended, Pace},
};
use crate::{
    clock::Ms,
    id::{CallId, NodeId, Token},
    kernel::{Context, State},
    members::Members,
    once::{
        BUCKETS, Claim, GRANT_TIMEOUT_MS, Reply, Settlement, WRITE_INTERVAL_MS, holder,
        ledger::{Decision, Entry, HolderState, Ledger, Unneeded},
        reply, row_key,
        seal::Sealer,
    },
    platform::{ABSENT, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write},
};

/// Maximum number of requests that wait for one bucket; more are refused.
const QUEUE_MAX: usize = 1_024;

/// Maximum number of requests in one write of a row.
const BATCH_MAX: usize = 128;

/// Row size from which new claims are refused, in bytes. Reached if too many claims are open or unknown.
const ROW_MAX: usize = 128 * 1024;

/// Number of sealed claims from which new claims are refused. Each takes 8 bytes of memory.
const INDEX_MAX: usize = 1_000_000;

/// Fill level from which a bucket is logged, in percent.
const WARN_PERCENT: usize = 70;

/// Minimum time between two such log lines of a bucket, in ms.
const WARN_MS: u64 = 60_000;

/// One bucket that this node owns.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    row: RowState,
    size: usize,
    queue: VecDeque<Request>,
    /// Number of the last request that arrived.
    last_number: u64,
    in_flight: Option<InFlight>,
    /// When the fill level was last logged.
    last_warning: Ms,
    /// Earliest time of the next write.
    next_write: Ms,
    pace: Pace,
    /// Time until which requests are refused because the table failed.
    down_until: Ms,
    sealer: Sealer,
    /// Claims that wait for the segment that may hold their key.
    lookups: BTreeMap<CallId, Request>,
}

/// This node's copy of the row.
#[derive(Debug, Default)]
enum RowState {
    #[default]
    Unknown,
    /// The row at `version`, read or written when `read_number` was the number of the last request.
    Loaded {
        version: u64,
        ledger: Ledger,
        read_number: u64,
    },
}

#[derive(Debug)]
struct Request {
    work: Work,
    since: Ms,
    /// Position in the order of the bucket's requests.
    number: u64,
    written: Written,
}

/// Whether an earlier write that contains the request may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    No,
    Maybe,
}

#[derive(Debug)]
enum Work {
    Claim(NodeId, Claim),
    Settle(NodeId, Settlement),
    Resolve(Token, Decision),
}

#[derive(Debug)]
enum InFlight {
    Read {
        call: CallId,
        read_number: u64,
    },
    Write {
        call: CallId,
        version: u64,
        read_number: u64,
        ledger: Ledger,
        size: usize,
        requests: Vec<Request>,
        unneeded: Vec<Unneeded>,
    },
    /// Reads a segment for its keys.
    Index(CallId, String),
}

impl Bucket {
    pub(super) fn footprint(&self) -> usize {
        self.size + self.sealer.footprint()
    }

    /// Returns whether the bucket takes no new claims. Logs the fill level from [`WARN_PERCENT`] on.
    fn is_full(&mut self, cx: &mut Context<'_>, id: u16) -> bool {
        let used = (self.size * 100 / ROW_MAX).max(self.sealer.key_count() * 100 / INDEX_MAX);
        if used >= WARN_PERCENT && cx.now.since(self.last_warning) > WARN_MS {
            self.last_warning = cx.now;
            let pairs = vec![
                ("row", row_key(id)),
                ("percent", used.to_string()),
                ("row_bytes", self.size.to_string()),
                ("kept", self.sealer.key_count().to_string()),
            ];
            cx.log("claims-filling", pairs);
        }
        used >= 100
    }

    fn in_flight_call(&self) -> Option<CallId> {
        match self.in_flight.as_ref()? {
            InFlight::Read { call, .. }
            | InFlight::Write { call, .. }
            | InFlight::Index(call, _) => Some(*call),
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

/// Reads the rows of all buckets, for [`reply_list`].
pub(super) fn list(cx: &mut Context<'_>) -> CallId {
    cx.table(TableOp::Get {
        keys: (0..BUCKETS).map(row_key).collect(),
    })
}

/// Answers [`super::Call::List`].
pub(super) fn reply_list(
    cx: &mut Context<'_>,
    state: &mut State,
    token: Token,
    answer: &TableAnswer,
) {
    let TableAnswer::Rows(rows) = answer else {
        let why = "the table gave no answer; retry later".to_owned();
        return reply(cx, token, Reply::Refused { why });
    };
    let ledgers = rows.iter().map(|it| Ledger::decode(&it.value));
    let Ok(ledgers) = ledgers.collect::<Result<Vec<Ledger>, _>>() else {
        let why = "a claim row cannot be decoded; upgrade this node".to_owned();
        return reply(cx, token, Reply::Refused { why });
    };
    let members = &state.members;
    let found = ledgers
        .into_iter()
        .flat_map(|it| it.entries)
        .filter(|it| it.is_unknown(cx.now, |it| holder_state(members, it)))
        .collect();
    reply(cx, token, Reply::Listed(found));
}

pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    let waiting: Vec<u16> = state
        .once
        .buckets
        .iter()
        .filter(|(_, it)| {
            it.in_flight.is_none() && (!it.queue.is_empty() || it.sealer.has_stored_segment())
        })
        .map(|(id, _)| *id)
        .collect();
    for id in waiting {
        start_next(cx, state, id);
    }
}

pub(super) fn handle_table_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    let found = state.once.buckets.iter_mut();
    let Some((id, bucket)) = found
        .map(|(id, it)| (*id, it))
        .find(|(_, it)| it.in_flight_call() == Some(call))
    else {
        return;
    };
    match bucket.in_flight.take() {
        Some(InFlight::Write {
            version,
            read_number,
            ledger,
            size,
            requests,
            unneeded,
            ..
        }) => {
            if *answer == TableAnswer::Committed {
                bucket.row = RowState::Loaded {
                    version: version + 1,
                    ledger,
                    read_number,
                };
                bucket.size = size;
                if bucket.pace.contended() == Contended::Yes {
                    bucket.row = RowState::Unknown;
                }
                bucket.pace = bucket.pace.faster();
                bucket.sealer.handle_written(cx, unneeded);
                requests
                    .into_iter()
                    .for_each(|it| respond_written(cx, state, it));
            } else {
                handle_failed_write(cx, state, id, requests, answer);
            }
        }
        Some(InFlight::Read { read_number, .. }) => handle_read(cx, state, id, read_number, answer),
        other => bucket.in_flight = other,
    }
    start_next(cx, state, id);
}

pub(super) fn handle_object_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &ObjectAnswer,
) {
    let ids: Vec<u16> = state.once.buckets.keys().copied().collect();
    for id in ids {
        let Some(bucket) = state.once.buckets.get_mut(&id) else {
            continue;
        };
        if let Some(request) = bucket.lookups.remove(&call) {
            return handle_lookup(cx, state, request, answer);
        }
        if bucket.in_flight_call() == Some(call) {
            if let Some(InFlight::Index(_, name)) = bucket.in_flight.take() {
                handle_index(cx, state, id, name, answer);
            }
            return start_next(cx, state, id);
        }
        if bucket.sealer.handle_object_answer(cx, call, answer) {
            return;
        }
    }
}

fn push(cx: &mut Context<'_>, state: &mut State, id: u16, work: Work) {
    let bucket = state.once.buckets.entry(id).or_default();
    bucket.last_number += 1;
    let request = Request {
        work,
        since: cx.now,
        number: bucket.last_number,
        written: Written::No,
    };
    if cx.now < bucket.down_until {
        let after = bucket.down_until.since(cx.now);
        return respond_failed(
            cx,
            state,
            request,
            after,
            "the table is unavailable; retry later",
        );
    }
    if bucket.queue.len() >= QUEUE_MAX {
        return respond_failed(
            cx,
            state,
            request,
            WRITE_INTERVAL_MS,
            "too many claims are waiting for this bucket; retry later",
        );
    }
    bucket.queue.push_back(request);
    start_next(cx, state, id);
}

/// Starts the next operation of a bucket if one is needed, due and none is in flight.
fn start_next(cx: &mut Context<'_>, state: &mut State, id: u16) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    let idle = bucket.queue.is_empty() && !bucket.sealer.has_stored_segment();
    let early = cx.now < bucket.next_write.max(bucket.down_until);
    if bucket.in_flight.is_some() || idle || early {
        return;
    }
    let RowState::Loaded { ledger, .. } = &bucket.row else {
        let keys = vec![row_key(id)];
        bucket.in_flight = Some(InFlight::Read {
            call: cx.table(TableOp::Get { keys }),
            read_number: bucket.last_number,
        });
        return;
    };
    if let Some(name) = bucket.sealer.unindexed_segment(ledger) {
        let call = cx.object(ObjectOp::Get { name: name.clone() });
        bucket.in_flight = Some(InFlight::Index(call, name));
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
    requests: Vec<Request>,
    unneeded: Vec<Unneeded>,
) {
    let value = ledger.encode();
    let size = value.len();
    // If several owners seal the same claims, only one succeeds; so a contended bucket seals only when it must.
    if bucket.pace.contended() == Contended::No || size > ROW_MAX / 2 {
        bucket.sealer.start_job(cx, id, &ledger, size);
    }
    let key = row_key(id);
    let read_number = bucket.last_number;
    let call = cx.table(TableOp::Commit {
        checks: vec![Check {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put { key, value }],
    });
    bucket.next_write = cx.now + bucket.pace.wait(cx.rng);
    bucket.in_flight = Some(InFlight::Write {
        call,
        version,
        read_number,
        ledger,
        size,
        requests,
        unneeded,
    });
}

/// Handles a write that failed or whose outcome is unknown.
fn handle_failed_write(
    cx: &mut Context<'_>,
    state: &mut State,
    id: u16,
    mut requests: Vec<Request>,
    answer: &TableAnswer,
) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    bucket.sealer.handle_unwritten();
    match answer {
        TableAnswer::Failed(Fault::Unknown) => {
            // The row is read again: a claim that was written finds its own attempt id and is granted.
            requests
                .iter_mut()
                .for_each(|it| it.written = Written::Maybe);
            bucket.row = RowState::Unknown;
            requeue(bucket, requests);
        }
        TableAnswer::Failed(fault) => {
            let after = holder::retry_after(fault);
            bucket.down_until = cx.now + after;
            if matches!(fault, Fault::Throttled { .. }) {
                bucket.pace = bucket.pace.slower();
            }
            let why = fault.to_string();
            requests.extend(std::mem::take(&mut bucket.queue));
            requests
                .into_iter()
                .for_each(|it| respond_failed(cx, state, it, after, &why));
        }
        // Another owner wrote the row first.
        TableAnswer::Conflict(_) => {
            bucket.pace = bucket.pace.slower();
            bucket.next_write = cx.now + bucket.pace.wait(cx.rng);
            bucket.row = RowState::Unknown;
            requeue(bucket, requests);
        }
        TableAnswer::Committed | TableAnswer::Rows(_) => requeue(bucket, requests),
    }
}

/// Handles the answer to a read of the row.
fn handle_read(
    cx: &mut Context<'_>,
    state: &mut State,
    id: u16,
    read_number: u64,
    answer: &TableAnswer,
) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    let (after, why) = match answer {
        TableAnswer::Rows(rows) => {
            load_row(cx, bucket, id, read_number, rows);
            if !matches!(bucket.row, RowState::Unknown) {
                return;
            }
            let why = "this bucket's row cannot be decoded; upgrade this node";
            (GRANT_TIMEOUT_MS, why.to_owned())
        }
        TableAnswer::Failed(fault) => (holder::retry_after(fault), fault.to_string()),
        _ => (
            GRANT_TIMEOUT_MS,
            "the table gave an answer of the wrong type; retry later".to_owned(),
        ),
    };
    bucket.down_until = cx.now + after;
    for request in std::mem::take(&mut bucket.queue) {
        respond_failed(cx, state, request, after, &why);
    }
}

fn load_row(cx: &mut Context<'_>, bucket: &mut Bucket, id: u16, read_number: u64, rows: &[Row]) {
    let key = row_key(id);
    let found = rows.iter().find(|it| it.key == key);
    bucket.size = found.map_or(0, |it| it.value.len());
    let loaded = |version, ledger| RowState::Loaded {
        version,
        ledger,
        read_number,
    };
    bucket.row = match found.map(|it| (it.version, Ledger::decode(&it.value))) {
        None => loaded(ABSENT, Ledger::default()),
        Some((version, Ok(ledger))) => loaded(version, ledger),
        Some((_, Err(error))) => {
            cx.log(
                "claims-damaged",
                vec![("row", key), ("error", error.to_string())],
            );
            RowState::Unknown
        }
    };
}

fn requeue(bucket: &mut Bucket, requests: Vec<Request>) {
    requests
        .into_iter()
        .rev()
        .for_each(|it| bucket.queue.push_front(it));
}

/// Handles the answer to a read of a segment's keys.
fn handle_index(
    cx: &mut Context<'_>,
    state: &mut State,
    id: u16,
    name: String,
    answer: &ObjectAnswer,
) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    if bucket.sealer.index_segment(name, answer) {
        return;
    }
    // Another owner may have merged or dropped the segment in the meantime.
    bucket.row = RowState::Unknown;
    bucket.down_until = cx.now + WRITE_INTERVAL_MS;
    for request in std::mem::take(&mut bucket.queue) {
        respond_failed(
            cx,
            state,
            request,
            WRITE_INTERVAL_MS,
            "the bucket's older claims cannot be read; retry later",
        );
    }
}

/// Returns the state of the process that holds `entry`, as far as this node knows.
fn holder_state(members: &Members, entry: &Entry) -> HolderState {
    let mut alive = members.alive();
    match alive.find(|it| it.id == entry.holder) {
        Some(it) if it.incarnation > entry.incarnation => HolderState::Restarted,
        Some(_) => HolderState::Alive,
        // A process that has not found the fleet knows no holder. Its own view would declare a request that runs as lost,
        // and let an operator have it run again.
        None if !members.discovery().is_complete() => HolderState::Alive,
        None => HolderState::Absent,
    }
}
