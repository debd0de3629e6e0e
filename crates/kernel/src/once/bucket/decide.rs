//! Decides on the requests that wait for a bucket.

use super::{
    BATCH_MAX, Request, RowState, Work, Written,
    answer::{Response, respond, unavailable},
    holder_state, start_next, write,
};
use crate::{
    kernel::{Context, State},
    members::Members,
    once::{
        GRANT_TIMEOUT_MS, Verdict, WRITE_INTERVAL_MS,
        ledger::{Effect, Entry, Ledger},
        seal::Sealer,
    },
    platform::ObjectOp,
};

/// The next step for one request.
enum Action {
    /// Respond now.
    Respond(Response),
    /// Respond once the row is written.
    Write,
    /// Read the row again and decide then.
    Reread,
    /// Read this segment, which may hold the key.
    Lookup(String),
    /// Do nothing; the holder no longer waits for a response.
    Drop,
}

/// Decides on the waiting requests and writes the row if it changes.
pub(super) fn decide(cx: &mut Context<'_>, state: &mut State, id: u16) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    let RowState::Loaded {
        version,
        ledger: before,
        read_number,
    } = std::mem::take(&mut bucket.row)
    else {
        return;
    };
    let mut after = before.clone();
    let mut unneeded = after.expire(cx.now, cx.settings.once.retention);
    unneeded.extend(bucket.sealer.apply_job(&mut after));
    let batch_size = bucket.queue.len().min(BATCH_MAX);
    let batch: Vec<Request> = bucket.queue.drain(..batch_size).collect();
    let is_full = bucket.is_full(cx, id);
    let (mut requests, mut responses, mut rereads) = (Vec::new(), Vec::new(), Vec::new());
    for request in batch {
        let is_claim = matches!(request.work, Work::Claim(..));
        if is_full && is_claim && request.written == Written::No {
            let why = "this bucket is full: resolve unknown claims or shorten the retention";
            responses.push((request, unavailable(WRITE_INTERVAL_MS, why)));
            continue;
        }
        match decide_request(
            cx,
            &state.members,
            &bucket.sealer,
            &mut after,
            read_number,
            &request,
        ) {
            // A request that was sent twice finds its own change, which is not written yet. Confirming it now
            // could grant a claim whose write fails.
            Action::Respond(response) if response.confirms_write() && after != before => {
                requests.push(request)
            }
            Action::Respond(response) => responses.push((request, response)),
            Action::Write => requests.push(request),
            Action::Reread => rereads.push(request),
            Action::Lookup(name) => {
                let call = cx.object(ObjectOp::Get { name });
                bucket.lookups.insert(call, request);
            }
            Action::Drop => {}
        }
    }
    let must_reread = !rereads.is_empty();
    rereads
        .into_iter()
        .rev()
        .for_each(|it| bucket.queue.push_front(it));
    if after != before {
        write(cx, bucket, id, version, after, requests, unneeded);
    }
    if !must_reread || bucket.in_flight.is_some() {
        bucket.row = RowState::Loaded {
            version,
            ledger: before,
            read_number,
        };
    }
    for (request, response) in responses {
        respond(cx, state, request, response);
    }
    start_next(cx, state, id);
}

fn decide_request(
    cx: &Context<'_>,
    members: &Members,
    sealer: &Sealer,
    ledger: &mut Ledger,
    read_number: u64,
    request: &Request,
) -> Action {
    let holder_state = |it: &Entry| holder_state(members, it);
    let is_stale = request.number > read_number;
    match &request.work {
        // The holder has given up by now; a claim written for it would stay open.
        Work::Claim(..) if cx.now.since(request.since) > GRANT_TIMEOUT_MS => Action::Drop,
        Work::Claim(_, claim) => {
            let not_in_row = ledger.find(&claim.key).is_none();
            if not_in_row && let Some(name) = sealer.find_segment(&claim.key) {
                return Action::Lookup(name);
            }
            match ledger.claim(cx.now, claim, holder_state) {
                (_, Effect::Changed) => Action::Write,
                // The claim may have been settled, released or resolved through another node since the read.
                (Verdict::Busy | Verdict::Unknown { .. } | Verdict::Mismatch, _) if is_stale => {
                    Action::Reread
                }
                (verdict, _) => Action::Respond(Response::Verdict(verdict)),
            }
        }
        Work::Settle(_, it) => match ledger.settle(it) {
            Effect::Changed => Action::Write,
            // Another owner may have written the claim since the row was read.
            Effect::Missing if is_stale && sealer.find_segment(&it.key).is_none() => Action::Reread,
            _ => Action::Respond(Response::Settled),
        },
        Work::Resolve(_, it) => match ledger.resolve(cx.now, it, holder_state) {
            Effect::Changed => Action::Write,
            _ if is_stale => Action::Reread,
            Effect::Same => Action::Respond(Response::Resolved),
            Effect::Refused(why) => Action::Respond(Response::Refused(why.to_owned())),
            Effect::Missing => {
                Action::Respond(Response::Refused("no open claim has this key".to_owned()))
            }
        },
    }
}
