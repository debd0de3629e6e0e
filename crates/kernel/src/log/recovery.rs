//! Recovers the log from the platform's table.

use std::sync::Arc;

use rand::Rng;

use crate::{
    accept::rows::{self, LOG_PREFIX, SNAPSHOT_KEY, log_key},
    clock::Ms,
    event::{Event, Notice},
    id::CallId,
    kernel::Context,
    log::{Applied, Log, Snapshot},
    platform::{ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp},
    utils::backoff,
};

/// Reads the newest snapshot if it is far ahead, and the log after it. Ends with [`Notice::Applied`].
///
/// May be started at any time; batches that arrive from elsewhere in the meantime are skipped.
#[derive(Debug, Default)]
pub struct Recovery {
    stage: Stage,
    failures: u32,
    started_at: Ms,
}

/// Progress of a [`Recovery`] after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The event did not belong to the recovery.
    Unrelated,
    /// The recovery continues.
    Busy,
    /// The log contains all entries that the table held when it was read.
    Done,
    /// The platform gave no usable answer; the recovery ended.
    Failed,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    Waiting(Ms),
    SnapshotRow(CallId),
    Snapshot(CallId),
    Tail(CallId),
}

/// Number of rows of the log that are read at once; mostly enough for all entries after a snapshot.
pub const PAGE_ROWS: u32 = 40;

/// Maximum random delay of a starting node's first read, in ms. Peers may deliver the log before that, and the reads
/// of a whole fleet stay below the table's rate limit.
pub const START_JITTER: u64 = 4_000;

/// Number of failed attempts after which a starting node leaves recovery to its peers.
pub const ATTEMPTS_MAX: u32 = 8;

/// Initial and maximum back-off after a failure, in ms.
const BACKOFF: u64 = 500;
const BACKOFF_MAX: u64 = 15_000;

impl Recovery {
    /// Starts with the snapshot, unless a recovery is in progress.
    pub fn start(&mut self, cx: &mut Context<'_>) {
        if self.is_idle() {
            self.started_at = cx.now;
            let keys = vec![SNAPSHOT_KEY.to_owned()];
            self.stage = Stage::SnapshotRow(cx.table(TableOp::Get { keys }));
        }
    }

    /// Starts with the log after this node's position, unless a recovery is in progress. For short lags.
    pub fn start_tail(&mut self, cx: &mut Context<'_>, log: &Log) {
        if self.is_idle() {
            self.started_at = cx.now;
            self.read_tail(cx, log);
        }
    }

    /// Returns whether no recovery is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle | Stage::Waiting(_))
    }

    /// Returns when the last recovery started.
    pub fn started_at(&self) -> Ms {
        self.started_at
    }

    /// Handles the platform's answers to the recovery's own operations.
    pub fn handle_answer(
        &mut self,
        cx: &mut Context<'_>,
        log: &mut Log,
        event: &Event,
    ) -> Progress {
        match (&self.stage, event) {
            (Stage::SnapshotRow(own), Event::Table { call, answer }) if own == call => {
                self.handle_snapshot_row(cx, log, answer)
            }
            (Stage::Snapshot(own), Event::Object { call, answer }) if own == call => {
                self.handle_snapshot(cx, log, answer)
            }
            (Stage::Tail(own), Event::Table { call, answer }) if own == call => {
                self.handle_tail(cx, log, answer)
            }
            _ => Progress::Unrelated,
        }
    }

    /// Recovers the log after the start of the process, with jitter and a limited number of retries.
    pub(super) fn handle_event(&mut self, cx: &mut Context<'_>, log: &mut Log, event: &Event) {
        match (event, &self.stage) {
            (Event::Start, _) if cx.settings.peers.is_empty() => self.start(cx),
            (Event::Start, _) => self.schedule(cx, START_JITTER),
            (Event::Tick, Stage::Waiting(due)) if *due <= cx.now => self.resume(cx, log),
            _ => match self.handle_answer(cx, log, event) {
                Progress::Done => self.failures = 0,
                Progress::Failed => self.retry(cx),
                Progress::Unrelated | Progress::Busy => {}
            },
        }
    }

    fn resume(&mut self, cx: &mut Context<'_>, log: &Log) {
        self.stage = Stage::Idle;
        // If peers have delivered a part, anti-entropy with them delivers the rest without the table.
        if log.seq().0 == 0 || self.failures > 0 {
            self.start(cx);
        }
    }

    fn schedule(&mut self, cx: &mut Context<'_>, max_wait: u64) {
        self.stage = Stage::Waiting(cx.now + cx.rng.random_range(0..=max_wait));
    }

    fn retry(&mut self, cx: &mut Context<'_>) {
        self.failures += 1;
        if self.failures < ATTEMPTS_MAX {
            let wait = backoff(cx.rng, BACKOFF, BACKOFF_MAX, self.failures);
            self.stage = Stage::Waiting(cx.now + wait);
            return;
        }
        self.failures = 0;
        let attempts = ATTEMPTS_MAX.to_string();
        cx.log("recovery-left-to-peers", vec![("attempts", attempts)]);
    }

    fn handle_snapshot_row(
        &mut self,
        cx: &mut Context<'_>,
        log: &Log,
        answer: &TableAnswer,
    ) -> Progress {
        let TableAnswer::Rows(found) = answer else {
            return self.fail();
        };
        match found.first().map(rows::read_snapshot) {
            Some(Ok(row)) if row.seq.0 > log.seq().0 + u64::from(PAGE_ROWS) => {
                let name = row.object;
                self.stage = Stage::Snapshot(cx.object(ObjectOp::Get { name }));
                Progress::Busy
            }
            Some(Err(error)) => {
                cx.log("snapshot-skipped", vec![("why", error.to_string())]);
                self.read_tail(cx, log)
            }
            Some(Ok(_)) | None => self.read_tail(cx, log),
        }
    }

    fn handle_snapshot(
        &mut self,
        cx: &mut Context<'_>,
        log: &mut Log,
        answer: &ObjectAnswer,
    ) -> Progress {
        let bytes = match answer {
            ObjectAnswer::Bytes(bytes) => bytes,
            // A newer snapshot replaced it, or its writer died; the log itself is complete.
            ObjectAnswer::Absent => return self.read_tail(cx, log),
            ObjectAnswer::Done | ObjectAnswer::Failed(_) => return self.fail(),
        };
        match Snapshot::decode(bytes) {
            Ok(snapshot) => {
                log.install(&snapshot);
            }
            // The log itself is complete but takes longer to read.
            Err(error) => cx.log("snapshot-skipped", vec![("why", error.to_string())]),
        }
        self.read_tail(cx, log)
    }

    fn read_tail(&mut self, cx: &mut Context<'_>, log: &Log) -> Progress {
        let call = cx.table(TableOp::Scan {
            prefix: LOG_PREFIX.to_owned(),
            after: log_key(log.seq()),
            limit: PAGE_ROWS,
        });
        self.stage = Stage::Tail(call);
        Progress::Busy
    }

    fn handle_tail(
        &mut self,
        cx: &mut Context<'_>,
        log: &mut Log,
        answer: &TableAnswer,
    ) -> Progress {
        let TableAnswer::Rows(found) = answer else {
            return self.fail();
        };
        for row in found {
            if let Err(why) = apply_row(log, row) {
                cx.log("log-row-refused", vec![("why", why)]);
                return self.fail();
            }
        }
        if found.len() >= PAGE_ROWS as usize {
            return self.read_tail(cx, log);
        }
        self.stage = Stage::Idle;
        cx.raise(Notice::Applied { seq: log.seq() });
        Progress::Done
    }

    fn fail(&mut self) -> Progress {
        self.stage = Stage::Idle;
        Progress::Failed
    }
}

fn apply_row(log: &mut Log, row: &Row) -> Result<(), String> {
    let entry = rows::read_entry(row).map_err(|it| it.to_string())?;
    let seq = entry.batch.seq;
    match log.apply(Arc::new(entry.batch)) {
        Applied::Yes | Applied::Old => Ok(()),
        Applied::Gap => Err(format!(
            "log entries between {} and {seq} are missing; restore the table's log",
            log.seq()
        )),
    }
}
