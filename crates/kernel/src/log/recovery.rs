//! Catching up with the log in the platform's table.

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

/// Reads the newest snapshot, where it is far ahead, and the log after it.
///
/// It may be started at any time: batches that arrive from elsewhere meanwhile are skipped when it comes to
/// them. It ends with [`Notice::Applied`].
#[derive(Debug, Default)]
pub struct Recovery {
    stage: Stage,
    failures: u32,
    began: Ms,
}

/// How far a [`Recovery`] came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The event did not concern it.
    Same,
    /// It goes on.
    Busy,
    /// The log is as far as the table's was when it was read.
    Done,
    /// The platform gave no usable answer; nothing is in progress any more.
    Failed,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    Waiting(Ms),
    Row(CallId),
    Object(CallId),
    Tail(CallId),
}

/// Rows of the log read at once: with a snapshot every 32 entries, one reading mostly brings the rest.
pub const PAGE: u32 = 40;

/// Longest time that a starting node leaves to its peers before it asks the table, in ms.
///
/// 2,800 nodes that start at once and read the table twice each are 1,400 reads a second, within its 2,000.
pub const START_JITTER: u64 = 4_000;

/// Attempts of a starting node before it leaves recovery to its peers.
pub const ATTEMPTS_MAX: u32 = 8;

const BACKOFF: u64 = 500;
const BACKOFF_MAX: u64 = 15_000;

impl Recovery {
    /// Begins with the snapshot, unless it is under way already.
    pub fn start(&mut self, cx: &mut Context<'_>) {
        if self.is_idle() {
            self.began = cx.now;
            let keys = vec![SNAPSHOT_KEY.to_owned()];
            self.stage = Stage::Row(cx.table(TableOp::Get { keys }));
        }
    }

    /// Begins with the log's tail, unless it is under way already. For a node that can lag only a little.
    pub fn follow(&mut self, cx: &mut Context<'_>, log: &Log) {
        if self.is_idle() {
            self.began = cx.now;
            self.read_tail(cx, log);
        }
    }

    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle | Stage::Waiting(_))
    }

    /// When the last one began.
    pub fn began(&self) -> Ms {
        self.began
    }

    /// Takes the platform's answers to its own questions.
    pub fn answer(&mut self, cx: &mut Context<'_>, log: &mut Log, event: &Event) -> Progress {
        match (&self.stage, event) {
            (Stage::Row(own), Event::Table { call, answer }) if own == call => {
                self.row(cx, log, answer)
            }
            (Stage::Object(own), Event::Object { call, answer }) if own == call => {
                self.object(cx, log, answer)
            }
            (Stage::Tail(own), Event::Table { call, answer }) if own == call => {
                self.tail(cx, log, answer)
            }
            _ => Progress::Same,
        }
    }

    /// Recovers by itself from the start of the process on, with jitter and capped retries.
    pub(super) fn drive(&mut self, cx: &mut Context<'_>, log: &mut Log, event: &Event) {
        match (event, &self.stage) {
            (Event::Start, _) if cx.settings.peers.is_empty() => self.start(cx),
            (Event::Start, _) => self.wait(cx, START_JITTER),
            (Event::Tick, Stage::Waiting(due)) if *due <= cx.now => self.wake(cx, log),
            _ => match self.answer(cx, log, event) {
                Progress::Done => self.failures = 0,
                Progress::Failed => self.retry(cx),
                Progress::Same | Progress::Busy => {}
            },
        }
    }

    fn wake(&mut self, cx: &mut Context<'_>, log: &Log) {
        self.stage = Stage::Idle;
        // Where peers were first, repair among them brings the rest without the table.
        if log.seq().0 == 0 || self.failures > 0 {
            self.start(cx);
        }
    }

    fn wait(&mut self, cx: &mut Context<'_>, most: u64) {
        self.stage = Stage::Waiting(cx.now + cx.rng.random_range(0..=most));
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

    fn row(&mut self, cx: &mut Context<'_>, log: &Log, answer: &TableAnswer) -> Progress {
        let TableAnswer::Rows(found) = answer else {
            return self.fail();
        };
        match found.first().map(rows::read_snapshot) {
            Some(Ok(row)) if row.seq.0 > log.seq().0 + u64::from(PAGE) => {
                let name = row.object;
                self.stage = Stage::Object(cx.object(ObjectOp::Get { name }));
                Progress::Busy
            }
            Some(Err(error)) => {
                cx.log("snapshot-skipped", vec![("why", error.to_string())]);
                self.read_tail(cx, log)
            }
            Some(Ok(_)) | None => self.read_tail(cx, log),
        }
    }

    fn object(&mut self, cx: &mut Context<'_>, log: &mut Log, answer: &ObjectAnswer) -> Progress {
        let bytes = match answer {
            ObjectAnswer::Bytes(bytes) => bytes,
            // A newer snapshot took its place meanwhile, or its writer died: the log itself is whole.
            ObjectAnswer::Absent => return self.read_tail(cx, log),
            ObjectAnswer::Done | ObjectAnswer::Failed(_) => return self.fail(),
        };
        match Snapshot::decode(bytes) {
            Ok(snapshot) => {
                log.install(&snapshot);
            }
            // The log itself is whole, only longer to read.
            Err(error) => cx.log("snapshot-skipped", vec![("why", error.to_string())]),
        }
        self.read_tail(cx, log)
    }

    fn read_tail(&mut self, cx: &mut Context<'_>, log: &Log) -> Progress {
        let call = cx.table(TableOp::Scan {
            prefix: LOG_PREFIX.to_owned(),
            after: log_key(log.seq()),
            limit: PAGE,
        });
        self.stage = Stage::Tail(call);
        Progress::Busy
    }

    fn tail(&mut self, cx: &mut Context<'_>, log: &mut Log, answer: &TableAnswer) -> Progress {
        let TableAnswer::Rows(found) = answer else {
            return self.fail();
        };
        for row in found {
            if let Err(why) = apply(log, row) {
                cx.log("log-row-refused", vec![("why", why)]);
                return self.fail();
            }
        }
        if found.len() >= PAGE as usize {
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

fn apply(log: &mut Log, row: &Row) -> Result<(), String> {
    let entry = rows::read_entry(row).map_err(|it| it.to_string())?;
    let seq = entry.batch.seq;
    match log.apply(Arc::new(entry.batch)) {
        Applied::Yes | Applied::Old => Ok(()),
        Applied::Gap => Err(format!(
            "entries are missing between {} and {seq}; restore the table's log",
            log.seq()
        )),
    }
}
