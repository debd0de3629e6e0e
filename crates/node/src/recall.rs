//! Keeps in the platform's table what the node's next process must know of the upstream beside it.
//!
//! One row for each start of the upstream that leaves: an acknowledgement must outlive the process that gave it. And
//! one row with the last heartbeat of a ready upstream, so that a restarted node can use its upstream at once instead of
//! waiting for the next heartbeat. Rows are written when something changes or the store was restored, not for each
//! heartbeat.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use laburnum_edge::{Clock, Platform};
use laburnum_kernel::{
    Ms, NodeId,
    id::Build,
    instance::Start,
    members::Phase,
    platform::{ABSENT, Check, Era, Row, TableAnswer, TableOp, Write},
    utils::hash64,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch::{self, error::RecvError},
    time::{sleep, timeout},
};

use crate::{
    logs,
    upstream::{Announcement, Heartbeat, LEAVING_MAX, Saved, Upstream, WeakUpstream},
};

/// Prefix of the key of a ready upstream's row, followed by the node's control address.
pub const PREFIX: &str = "upstream/";
/// Prefix of the keys of starts that leave, followed by the node's control address and a hash of the start.
pub const LEAVING_PREFIX: &str = "upstream-leaving/";
/// Shortest and longest retry delay of a failed call. An upstream that leaves waits for the write.
const RETRY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Interval at which to check whether the store was restored to an older copy, which may lack rows.
const RESTORE_CHECK: Duration = Duration::from_secs(1);
/// Longest delay before rows are written again after a restore.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);
/// Maximum number of rows read at a start.
const ROWS_MAX: u32 = 100;

/// What is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The starts that leave, and the last heartbeat of a ready upstream.
    Everything,
    /// The starts that leave.
    Leaving,
}

/// Value of the row of a ready upstream.
#[derive(Debug, Serialize, Deserialize)]
struct SavedHeartbeat {
    service: String,
    address: SocketAddr,
    slots: u16,
    id: String,
    born: u64,
    sequence: u64,
    /// Era of the store when the row was written. A row of another era may be outdated, for example because the
    /// upstream has started to drain since.
    era: Option<Era>,
    /// Version of the upstream's software.
    build: Build,
}

/// Value of the row of a start that leaves.
#[derive(Debug, Serialize, Deserialize)]
struct SavedStart {
    id: String,
    born: u64,
    /// When it said that it leaves.
    at: Ms,
}

/// Contents of the row of a ready upstream, as far as known.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReadyRow {
    /// A write was not confirmed, or the row was not read yet.
    Unknown,
    /// The row of an earlier process, which was not taken up.
    Earlier,
    Absent,
    Holds(Heartbeat),
}

/// What to do next.
#[derive(Debug)]
enum Next {
    /// Everything is kept.
    Wait,
    /// Read which starts left.
    Read,
    /// Take up the ready upstream of the earlier process.
    Recall,
    /// Record that these starts leave.
    Leave(Vec<Start>),
    /// Save the heartbeat of a ready upstream.
    Save(Heartbeat),
    /// Delete the row of an upstream that is not ready any more.
    Forget,
}

/// Why a step did not succeed.
#[derive(Debug)]
struct Failed;

/// Keeps the rows of one node up to date.
pub struct Keeper {
    platform: Arc<dyn Platform>,
    clock: Clock,
    /// Key of the ready upstream's row.
    key: String,
    /// Prefix of the keys of starts that leave.
    leaving: String,
    upstream: WeakUpstream,
    kept: Kept,
    /// Whether the rows of starts that left have been read.
    is_read: bool,
    /// Whether the row of a ready upstream has been read, if one is kept.
    is_recalled: bool,
    ready: ReadyRow,
    /// Starts whose leaving is in the table, oldest first.
    recorded: Vec<Start>,
    /// Era of the store when a call last succeeded or rows were written again; `None` before the first call.
    era: Option<Option<Era>>,
}

impl Keeper {
    /// Creates the keeper of `node`.
    pub fn new(
        platform: Arc<dyn Platform>,
        clock: Clock,
        node: NodeId,
        upstream: &Upstream,
        kept: Kept,
    ) -> Keeper {
        Keeper {
            platform,
            clock,
            key: format!("{PREFIX}{node}"),
            leaving: format!("{LEAVING_PREFIX}{node}/"),
            upstream: upstream.downgrade(),
            kept,
            is_read: false,
            is_recalled: kept == Kept::Leaving,
            ready: ReadyRow::Unknown,
            recorded: Vec::new(),
            era: None,
        }
    }

    /// Keeps the rows up to date until the last handle of the upstream is dropped.
    pub async fn run(mut self, mut saved: watch::Receiver<Saved>) {
        let mut delay = RETRY.0;
        loop {
            let newest = saved.borrow_and_update().clone();
            let done = match self.next(&newest) {
                Next::Wait => match self.wait(&mut saved).await {
                    Ok(()) => Ok(()),
                    Err(_) => return,
                },
                Next::Read => self.read().await,
                Next::Recall => self.recall().await,
                Next::Leave(starts) => self.record(&newest, starts).await,
                Next::Save(it) => self.save(it).await,
                Next::Forget => self.forget().await,
            };
            match done {
                Ok(()) => delay = RETRY.0,
                Err(Failed) => {
                    let jitter = rand::rng().random_range(0.5..1.5);
                    // A call of the upstream makes the retry due at once.
                    match timeout(delay.mul_f64(jitter), saved.changed()).await {
                        Ok(Err(_)) => return,
                        Ok(Ok(())) | Err(_) => delay = (2 * delay).min(RETRY.1),
                    }
                }
            }
        }
    }

    /// Returns the next step towards `saved`. Upstreams wait for the record of their leaving, so that it comes first.
    fn next(&mut self, saved: &Saved) -> Next {
        if self.is_restored() {
            // Rows that a restored store lacks are written again. One that it holds again is ignored for its era, so
            // that it need not be deleted.
            self.era = Some(self.platform.era());
            self.recorded.clear();
            self.ready = ReadyRow::Absent;
        }
        let unrecorded = |it: &&Start| !self.recorded.contains(it);
        let starts: Vec<Start> = saved.leaving.iter().filter(unrecorded).cloned().collect();
        if !starts.is_empty() {
            return Next::Leave(starts);
        }
        if saved.is_asked && !self.is_read {
            return Next::Read;
        }
        if !self.is_recalled {
            return Next::Recall;
        }
        match (&saved.ready, &self.ready, self.kept) {
            (_, _, Kept::Leaving) | (None, ReadyRow::Absent | ReadyRow::Earlier, _) => Next::Wait,
            (Some(it), ReadyRow::Holds(row), _) if it.content() == row.content() => Next::Wait,
            (Some(it), _, _) => Next::Save(it.clone()),
            (None, _, _) => Next::Forget,
        }
    }

    /// Waits until something may have to be written.
    async fn wait(&self, saved: &mut watch::Receiver<Saved>) -> Result<(), RecvError> {
        loop {
            match timeout(RESTORE_CHECK, saved.changed()).await {
                Ok(changed) => return changed,
                Err(_) if self.is_restored() => {
                    // All nodes lost their rows at the same time, so the writes are spread out.
                    let jitter = RESTORE_SPREAD.mul_f64(rand::rng().random());
                    sleep(jitter).await;
                    return Ok(());
                }
                Err(_) => {}
            }
        }
    }

    /// Returns whether the store was restored since the last call that succeeded.
    fn is_restored(&self) -> bool {
        self.era.is_some_and(|it| it != self.platform.era())
    }

    /// Reads which starts of the upstream left.
    async fn read(&mut self) -> Result<(), Failed> {
        let op = TableOp::Scan {
            prefix: self.leaving.clone(),
            after: String::new(),
            limit: ROWS_MAX,
        };
        let left = match self.platform.table(op).await {
            TableAnswer::Rows(it) => it,
            answer => return Err(failure("read", &answer)),
        };
        let left = left.iter().filter_map(|it| decode_start(&it.value));
        let mut left: Vec<(Ms, Start)> = left.collect();
        left.sort_by_key(|it| it.0);
        let left: Vec<Start> = left.into_iter().map(|it| it.1).collect();
        if let Some(upstream) = self.upstream.upgrade() {
            // A closed control thread needs no update.
            let _ = upstream.apply_records(&left);
        }
        self.is_read = true;
        self.era.get_or_insert(self.platform.era());
        let left = left.into_iter().filter(|it| !self.recorded.contains(it));
        let left: Vec<Start> = left.collect();
        self.recorded.splice(0..0, left);
        Ok(())
    }

    /// Takes up the ready upstream that the earlier process saved, if any.
    async fn recall(&mut self) -> Result<(), Failed> {
        let op = TableOp::Get {
            keys: vec![self.key.clone()],
        };
        let rows = match self.platform.table(op).await {
            TableAnswer::Rows(it) => it,
            // The next heartbeat brings the same information later.
            answer => return Err(failure("read", &answer)),
        };
        self.is_recalled = true;
        self.era.get_or_insert(self.platform.era());
        let Some(row) = rows.first() else {
            self.ready = ReadyRow::Absent;
            return Ok(());
        };
        self.ready = ReadyRow::Earlier;
        self.take_up(row).await;
        Ok(())
    }

    /// Takes up the upstream of `row`, if the row is of this era and still there: reads may be stale by seconds.
    async fn take_up(&mut self, row: &Row) {
        let is_current = |it: &(Option<Era>, Heartbeat)| Some(it.0) == self.era;
        let Some((era, it)) = decode(&row.value).filter(is_current) else {
            return;
        };
        let op = TableOp::Commit {
            checks: vec![
                Check {
                    key: self.key.clone(),
                    version: row.version,
                },
                self.not_left(&it.start),
            ],
            writes: vec![Write::Put {
                key: self.key.clone(),
                value: row.value.clone(),
            }],
        };
        match self.platform.table(op).await {
            TableAnswer::Committed if self.platform.era() == era => {
                self.ready = ReadyRow::Holds(it.clone());
                if let Some(upstream) = self.upstream.upgrade() {
                    // A closed control thread needs no update.
                    let _ = upstream.recall(it);
                }
            }
            TableAnswer::Committed | TableAnswer::Conflict(_) => {}
            // The next heartbeat brings the same information later.
            answer => drop(failure("recall", &answer)),
        }
    }

    /// Records that `starts` leave. The row of a ready upstream goes in the same transaction.
    async fn record(&mut self, saved: &Saved, starts: Vec<Start>) -> Result<(), Failed> {
        let mut writes = Vec::new();
        for it in &starts {
            let value = SavedStart {
                id: it.id.to_string(),
                born: it.born,
                at: self.clock.now(),
            };
            match postcard::to_stdvec(&value) {
                Ok(value) => writes.push(Write::Put {
                    key: self.key_of(it),
                    value,
                }),
                Err(error) => {
                    logs::event("recall-failed", &[("why", error.to_string())]);
                    return Err(Failed);
                }
            }
        }
        let ready = saved.ready.as_ref().map(Heartbeat::content);
        let is_current = match &self.ready {
            ReadyRow::Absent => true,
            ReadyRow::Holds(it) => Some(it.content()) == ready,
            ReadyRow::Unknown | ReadyRow::Earlier => false,
        };
        if !is_current {
            writes.push(self.delete());
        }
        let surplus = (self.recorded.len() + starts.len()).saturating_sub(LEAVING_MAX);
        let oldest = self.recorded.iter().take(surplus);
        writes.extend(oldest.map(|it| Write::Delete {
            key: self.key_of(it),
        }));
        self.write(writes).await?;
        self.recorded.drain(..surplus.min(self.recorded.len()));
        if !is_current {
            self.ready = ReadyRow::Absent;
        }
        if let Some(upstream) = self.upstream.upgrade() {
            upstream.note_recorded(&starts);
        }
        self.recorded.extend(starts);
        Ok(())
    }

    /// Saves the heartbeat of a ready upstream, unless the upstream has left.
    async fn save(&mut self, it: Heartbeat) -> Result<(), Failed> {
        let value = match postcard::to_stdvec(&saved_heartbeat(&it, self.platform.era())) {
            Ok(value) => value,
            // Without a row the next process waits for a heartbeat.
            Err(error) => {
                logs::event("recall-failed", &[("why", error.to_string())]);
                return self.forget().await;
            }
        };
        let write = Write::Put {
            key: self.key.clone(),
            value,
        };
        match self
            .commit(vec![self.not_left(&it.start)], vec![write])
            .await?
        {
            Outcome::Written => self.ready = ReadyRow::Holds(it),
            // An earlier process acknowledged its leaving, and this one read the table before that.
            Outcome::Refused => {
                if let Some(upstream) = self.upstream.upgrade() {
                    let _ = upstream.apply_records(std::slice::from_ref(&it.start));
                }
                self.recorded.push(it.start);
            }
        }
        Ok(())
    }

    async fn forget(&mut self) -> Result<(), Failed> {
        self.write(vec![self.delete()]).await?;
        self.ready = ReadyRow::Absent;
        Ok(())
    }

    /// Writes without a condition.
    async fn write(&mut self, writes: Vec<Write>) -> Result<(), Failed> {
        match self.commit(Vec::new(), writes).await? {
            Outcome::Written => Ok(()),
            Outcome::Refused => Err(Failed),
        }
    }

    async fn commit(&mut self, checks: Vec<Check>, writes: Vec<Write>) -> Result<Outcome, Failed> {
        match self
            .platform
            .table(TableOp::Commit { checks, writes })
            .await
        {
            TableAnswer::Committed => {
                self.era.get_or_insert(self.platform.era());
                Ok(Outcome::Written)
            }
            TableAnswer::Conflict(_) => Ok(Outcome::Refused),
            answer => {
                // The write may have taken effect, or may do so later.
                self.ready = ReadyRow::Unknown;
                Err(failure("write", &answer))
            }
        }
    }

    /// Returns the key of the row that says that `start` leaves.
    fn key_of(&self, start: &Start) -> String {
        let hash = hash64(&[start.id.as_bytes(), &start.born.to_le_bytes()]);
        format!("{}{hash:016x}", self.leaving)
    }

    /// Returns the condition that `start` has not left. A write that the store carries out late cannot bring it back.
    fn not_left(&self, start: &Start) -> Check {
        Check {
            key: self.key_of(start),
            version: ABSENT,
        }
    }

    fn delete(&self) -> Write {
        Write::Delete {
            key: self.key.clone(),
        }
    }
}

/// Effect of a commit.
enum Outcome {
    Written,
    /// Its conditions did not hold.
    Refused,
}

/// Logs a failed call.
fn failure(what: &'static str, answer: &TableAnswer) -> Failed {
    let pairs = [("what", what.to_owned()), ("why", format!("{answer:?}"))];
    logs::event("recall-failed", &pairs);
    Failed
}

fn saved_heartbeat(it: &Heartbeat, era: Option<Era>) -> SavedHeartbeat {
    SavedHeartbeat {
        service: it.announcement.service.to_string(),
        address: it.announcement.address,
        slots: it.announcement.slots,
        id: it.start.id.to_string(),
        born: it.start.born,
        sequence: it.sequence,
        era,
        build: it.announcement.build.clone(),
    }
}

fn decode_start(bytes: &[u8]) -> Option<(Ms, Start)> {
    let saved: SavedStart = postcard::from_bytes(bytes).ok()?;
    let start = Start {
        id: saved.id.into(),
        born: saved.born,
    };
    Some((saved.at, start))
}

/// Decodes a row. A row of an incompatible version is ignored.
fn decode(bytes: &[u8]) -> Option<(Option<Era>, Heartbeat)> {
    let saved: SavedHeartbeat = postcard::from_bytes(bytes).ok()?;
    let heartbeat = Heartbeat {
        start: Start {
            id: saved.id.into(),
            born: saved.born,
        },
        sequence: saved.sequence,
        announcement: Announcement {
            service: saved.service.parse().ok()?,
            address: saved.address,
            slots: saved.slots,
            build: saved.build,
            phase: Phase::Ready,
        },
    };
    Some((saved.era, heartbeat))
}
