//! What becomes of the requests that wait for a bucket.

use super::{
    Ask, BATCH_MAX, Known, Work, Written,
    answer::{Said, say, unavailable},
    process, pump, write,
};
use crate::{
    kernel::{Context, State},
    members::Members,
    once::{
        GRANT_MS, PACE_MS, Verdict,
        ledger::{Effect, Entry, Ledger},
        seal::Sealer,
    },
    platform::ObjectOp,
};

/// What to do with one request.
enum Next {
    /// Answer it now.
    Say(Said),
    /// Answer it once the row is written.
    Write,
    /// Read the row again first.
    Reread,
    /// Look into this segment.
    Lookup(String),
    /// Nobody waits for it any more.
    Drop,
}

/// Decides on the waiting requests and writes the row if it changes.
pub(super) fn decide(cx: &mut Context<'_>, state: &mut State, id: u16) {
    let Some(bucket) = state.once.buckets.get_mut(&id) else {
        return;
    };
    let Known::Row {
        version,
        ledger: before,
        read,
    } = std::mem::take(&mut bucket.row)
    else {
        return;
    };
    let mut after = before.clone();
    let mut dropped = after.expire(cx.now, cx.settings.once.retention);
    dropped.extend(bucket.sealer.apply(&mut after));
    let count = bucket.queue.len().min(BATCH_MAX);
    let batch: Vec<Ask> = bucket.queue.drain(..count).collect();
    let full = bucket.full(cx, id);
    let (mut asks, mut says, mut again) = (Vec::new(), Vec::new(), Vec::new());
    for ask in batch {
        let claims = matches!(ask.work, Work::Claim(..));
        if full && claims && ask.written == Written::No {
            let why = "this bucket is full: resolve unknown claims or shorten the retention";
            says.push((ask, unavailable(PACE_MS, why)));
            continue;
        }
        match judge_ask(cx, &state.members, &bucket.sealer, &mut after, read, &ask) {
            // A request that is sent twice meets its own change, which is not written yet: to say so now
            // would grant a claim whose write may still collide.
            Next::Say(said) if said.promises() && after != before => asks.push(ask),
            Next::Say(said) => says.push((ask, said)),
            Next::Write => asks.push(ask),
            Next::Reread => again.push(ask),
            Next::Lookup(name) => {
                let call = cx.object(ObjectOp::Get { name });
                bucket.lookups.insert(call, ask);
            }
            Next::Drop => {}
        }
    }
    let reread = !again.is_empty();
    again
        .into_iter()
        .rev()
        .for_each(|it| bucket.queue.push_front(it));
    if after != before {
        write(cx, bucket, id, version, after, asks, dropped);
    }
    if !reread || bucket.flight.is_some() {
        bucket.row = Known::Row {
            version,
            ledger: before,
            read,
        };
    }
    for (ask, said) in says {
        say(cx, state, ask, said);
    }
    pump(cx, state, id);
}

fn judge_ask(
    cx: &Context<'_>,
    members: &Members,
    sealer: &Sealer,
    ledger: &mut Ledger,
    read: u64,
    ask: &Ask,
) -> Next {
    let process = |it: &Entry| process(members, it);
    let stale = ask.number > read;
    match &ask.work {
        // Its holder has given up by now: a claim that is written for it would stay open for nothing.
        Work::Claim(..) if cx.now.since(ask.since) > GRANT_MS => Next::Drop,
        Work::Claim(_, claim) => {
            let sealed = ledger.find(&claim.key).is_none();
            if sealed && let Some(name) = sealer.find(&claim.key) {
                return Next::Lookup(name);
            }
            match ledger.claim(cx.now, claim, process) {
                (_, Effect::Changed) => Next::Write,
                // What an older row says may have been settled, released or resolved through another node.
                (Verdict::Busy | Verdict::Unknown { .. } | Verdict::Mismatch, _) if stale => {
                    Next::Reread
                }
                (verdict, _) => Next::Say(Said::Verdict(verdict)),
            }
        }
        Work::Settle(_, it) => match ledger.settle(it) {
            Effect::Changed => Next::Write,
            // The claim may have been written by another owner since the row was read.
            Effect::Missing if stale && sealer.find(&it.key).is_none() => Next::Reread,
            _ => Next::Say(Said::Settled),
        },
        Work::Resolve(_, it) => match ledger.resolve(cx.now, it, process) {
            Effect::Changed => Next::Write,
            _ if stale => Next::Reread,
            Effect::Same => Next::Say(Said::Resolved),
            Effect::Refused(why) => Next::Say(Said::Refused(why.to_owned())),
            Effect::Missing => Next::Say(Said::Refused("no open claim has this key".to_owned())),
        },
    }
}
