//! Reading the log back: who changed what, when, why, and how.

use std::collections::BTreeMap;

use crate::{
    accept::{
        Entry, Page, Reply,
        rows::{self, LOG_PREFIX, log_key},
    },
    event,
    id::{CallId, Name, Seq, Token},
    kernel::{Context, State},
    log::Batch,
    platform::{Row, TableAnswer, TableOp},
};

/// Audits in progress.
pub(super) type Audits = BTreeMap<CallId, Reading>;

/// One audit in progress.
#[derive(Debug)]
pub(super) struct Reading {
    token: Token,
    service: Option<Name>,
    limit: usize,
    entries: Vec<Entry>,
    /// Rows of the log read so far.
    rows: usize,
}

/// Most entries of one page.
pub const PAGE_MAX: u32 = 256;

/// Rows read at once; 4 MiB at most.
const SCAN: u32 = 16;

/// Rows read for one page; an audit of one service goes on from there when asked again.
const ROWS_MAX: usize = 512;

/// Audits that one node reads at a time, so that they leave reads to the others.
const AUDITS_MAX: usize = 4;

pub(super) fn begin(
    cx: &mut Context<'_>,
    state: &mut State,
    token: Token,
    service: Option<Name>,
    after: Seq,
    limit: u32,
) {
    if state.accept.audits.len() >= AUDITS_MAX {
        return refuse(
            cx,
            token,
            format!("{AUDITS_MAX} audits are being read; ask again soon"),
        );
    }
    let reading = Reading {
        token,
        service,
        limit: limit.clamp(1, PAGE_MAX) as usize,
        entries: Vec::new(),
        rows: 0,
    };
    scan(cx, state, reading, after);
}

pub(super) fn answered(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    let Some(mut reading) = state.accept.audits.remove(&call) else {
        return;
    };
    let found = match answer {
        TableAnswer::Rows(found) => found,
        TableAnswer::Failed(fault) => return refuse(cx, reading.token, fault.to_string()),
        TableAnswer::Committed | TableAnswer::Conflict(_) => {
            let why = "the table gave no rows; ask again".to_owned();
            return refuse(cx, reading.token, why);
        }
    };
    match reading.take(found) {
        Ok(Next::Scan(after)) => scan(cx, state, reading, after),
        Ok(Next::Reply(next)) => {
            let entries = reading.entries;
            let page = Page { entries, next };
            cx.reply(reading.token, event::Reply::Accept(Reply::Audit(page)));
        }
        Err(error) => refuse(cx, reading.token, error.to_string()),
    }
}

enum Next {
    Scan(Seq),
    Reply(Option<Seq>),
}

impl Reading {
    fn take(&mut self, found: &[Row]) -> Result<Next, rows::BadRow> {
        let mut last = Seq(0);
        for row in found {
            let entry = rows::read_entry(row)?;
            last = entry.batch.seq;
            self.rows += 1;
            self.entries.extend(self.keep(entry));
            if self.entries.len() >= self.limit || self.rows >= ROWS_MAX {
                return Ok(Next::Reply(Some(last)));
            }
        }
        match found.len() < SCAN as usize {
            true => Ok(Next::Reply(None)),
            false => Ok(Next::Scan(last)),
        }
    }

    /// The part of `entry` that is asked for.
    fn keep(&self, entry: Entry) -> Option<Entry> {
        let Some(service) = &self.service else {
            return Some(entry);
        };
        let Batch { seq, changes } = entry.batch;
        let pairs = changes.into_iter().zip(entry.diffs);
        let (changes, diffs): (Vec<_>, Vec<_>) = pairs
            .filter(|(change, _)| change.service == *service)
            .unzip();
        let batch = Batch { seq, changes };
        (!diffs.is_empty()).then_some(Entry { batch, diffs })
    }
}

fn scan(cx: &mut Context<'_>, state: &mut State, reading: Reading, after: Seq) {
    let call = cx.table(TableOp::Scan {
        prefix: LOG_PREFIX.to_owned(),
        after: log_key(after),
        limit: SCAN,
    });
    state.accept.audits.insert(call, reading);
}

fn refuse(cx: &mut Context<'_>, token: Token, why: String) {
    cx.reply(token, event::Reply::Accept(Reply::Unavailable { why }));
}
