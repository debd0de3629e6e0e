//! Audits: reads pages of the log for operators.

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
pub(super) type Audits = BTreeMap<CallId, AuditRead>;

/// One audit in progress.
#[derive(Debug)]
pub(super) struct AuditRead {
    token: Token,
    service: Option<Name>,
    limit: usize,
    entries: Vec<Entry>,
    /// Number of rows read so far.
    rows: usize,
}

/// Maximum number of entries in one page.
pub const PAGE_MAX: u32 = 256;

/// Number of rows read at once; at most 4 MiB.
const SCAN_ROWS: u32 = 16;

/// Maximum number of rows read for one page; an audit of one service may end early and continue with the next.
const ROWS_MAX: usize = 512;

/// Maximum number of concurrent audits on one node, so that they do not use up the table's read rate.
const AUDITS_MAX: usize = 4;

pub(super) fn start(
    cx: &mut Context<'_>,
    state: &mut State,
    token: Token,
    service: Option<Name>,
    after: Seq,
    limit: u32,
) {
    if state.accept.audits.len() >= AUDITS_MAX {
        return reply_unavailable(
            cx,
            token,
            format!("{AUDITS_MAX} audits are in progress on this node; retry later"),
        );
    }
    let audit = AuditRead {
        token,
        service,
        limit: limit.clamp(1, PAGE_MAX) as usize,
        entries: Vec::new(),
        rows: 0,
    };
    start_scan(cx, state, audit, after);
}

pub(super) fn handle_table_answer(
    cx: &mut Context<'_>,
    state: &mut State,
    call: CallId,
    answer: &TableAnswer,
) {
    let Some(mut audit) = state.accept.audits.remove(&call) else {
        return;
    };
    let found = match answer {
        TableAnswer::Rows(found) => found,
        TableAnswer::Failed(fault) => return reply_unavailable(cx, audit.token, fault.to_string()),
        TableAnswer::Committed | TableAnswer::Conflict(_) => {
            let why = "the table gave an answer of the wrong type; retry later".to_owned();
            return reply_unavailable(cx, audit.token, why);
        }
    };
    match audit.add_rows(found) {
        Ok(Next::Scan(after)) => start_scan(cx, state, audit, after),
        Ok(Next::Reply(next)) => {
            let entries = audit.entries;
            let page = Page { entries, next };
            cx.reply(audit.token, event::Reply::Accept(Reply::Audit(page)));
        }
        Err(error) => reply_unavailable(cx, audit.token, error.to_string()),
    }
}

enum Next {
    Scan(Seq),
    Reply(Option<Seq>),
}

impl AuditRead {
    fn add_rows(&mut self, found: &[Row]) -> Result<Next, rows::BadRow> {
        let mut last = Seq(0);
        for row in found {
            let entry = rows::read_entry(row)?;
            last = entry.batch.seq;
            self.rows += 1;
            self.entries.extend(self.filter_entry(entry));
            if self.entries.len() >= self.limit || self.rows >= ROWS_MAX {
                return Ok(Next::Reply(Some(last)));
            }
        }
        match found.len() < SCAN_ROWS as usize {
            true => Ok(Next::Reply(None)),
            false => Ok(Next::Scan(last)),
        }
    }

    /// Returns the changes of `entry` that the audit asks for, if any.
    fn filter_entry(&self, entry: Entry) -> Option<Entry> {
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

fn start_scan(cx: &mut Context<'_>, state: &mut State, audit: AuditRead, after: Seq) {
    let call = cx.table(TableOp::Scan {
        prefix: LOG_PREFIX.to_owned(),
        after: log_key(after),
        limit: SCAN_ROWS,
    });
    state.accept.audits.insert(call, audit);
}

fn reply_unavailable(cx: &mut Context<'_>, token: Token, why: String) {
    cx.reply(token, event::Reply::Accept(Reply::Unavailable { why }));
}
