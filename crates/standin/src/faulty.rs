//! In-process platform with fault injection.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use laburnum_edge::{Clock, HttpSettings, MemoryPlatform, Platform, platform::AnswerFuture};
use laburnum_kernel::platform::{Fault, ObjectAnswer, ObjectOp, TableAnswer, TableOp};

use crate::faults::{Answers, Delivery, Faults, Injector, Kind, Plan, Stats};

/// [`MemoryPlatform`] with injected faults. Callers see the same answers as through the HTTP adapter, without sockets.
/// Clones share all state.
#[derive(Clone, Debug)]
pub struct FaultyPlatform {
    shared: Arc<Shared>,
    timeout: u64,
}

#[derive(Debug)]
struct Shared {
    memory: Arc<MemoryPlatform>,
    clock: Clock,
    injector: Mutex<Injector>,
}

/// Result of one call at the caller's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Served<A> {
    /// The complete answer.
    Whole(A),
    /// Only the start of the answer.
    Truncated(A),
    /// A malformed answer.
    Malformed,
    /// The operation was refused and had no effect.
    Refused(Fault),
    /// No answer; the connection was closed.
    Cut,
    /// No answer, and the connection stays open.
    Never,
}

impl FaultyPlatform {
    /// Returns a platform without faults and with the default timeout of [`HttpSettings`]. `seed` determines which
    /// answers are lost once such a fault is set.
    pub fn new(memory: Arc<MemoryPlatform>, clock: Clock, seed: u64) -> FaultyPlatform {
        let timeout = HttpSettings::default().timeout;
        FaultyPlatform::with_timeout(memory, clock, seed, timeout)
    }

    /// Like [`FaultyPlatform::new`], with a timeout of `timeout` ms.
    pub fn with_timeout(
        memory: Arc<MemoryPlatform>,
        clock: Clock,
        seed: u64,
        timeout: u64,
    ) -> FaultyPlatform {
        let injector = Mutex::new(Injector::new(seed));
        let shared = Arc::new(Shared {
            memory,
            clock,
            injector,
        });
        FaultyPlatform { shared, timeout }
    }

    /// Injects `faults` from now on.
    pub fn set(&self, faults: Faults) {
        self.shared.lock().set(self.shared.clock.now(), faults);
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults()
    }

    /// Returns the counters of the calls so far.
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats()
    }

    /// Returns the platform behind the faults, which shows what took effect.
    pub fn memory(&self) -> &MemoryPlatform {
        &self.shared.memory
    }

    /// Carries out one operation on the table, without the caller's timeout.
    pub async fn serve_table(&self, op: TableOp) -> Served<TableAnswer> {
        let shared = self.shared.clone();
        let kind = table_kind(&op);
        self.serve(kind, move || shared.run_table(&op)).await
    }

    /// Carries out one operation on the object store, without the caller's timeout.
    pub async fn serve_object(&self, op: ObjectOp) -> Served<ObjectAnswer> {
        let shared = self.shared.clone();
        let kind = object_kind(&op);
        self.serve(kind, move || shared.run_object(op)).await
    }

    async fn serve<A, F>(&self, kind: Kind, run: F) -> Served<A>
    where
        A: Send + 'static,
        F: FnOnce() -> A + Send + 'static,
    {
        let plan = self.shared.lock().plan(self.shared.clock.now(), kind);
        let (late, slow, delivery) = match plan {
            Plan::Run {
                late,
                slow,
                delivery,
            } => (late, slow, delivery),
            Plan::Refuse(fault) => return Served::Refused(fault),
            Plan::Hang => return Served::Never,
        };
        let Some(answer) = run_delayed(late, run).await else {
            return Served::Cut;
        };
        sleep(slow).await;
        match delivery {
            Delivery::Lost => Served::Cut,
            Delivery::Sent(Answers::Whole) => Served::Whole(answer),
            Delivery::Sent(Answers::Truncated) => Served::Truncated(answer),
            Delivery::Sent(Answers::Malformed) => Served::Malformed,
        }
    }

    /// Returns what a caller with the timeout sees of `served`.
    async fn apply_timeout<A>(
        &self,
        kind: Kind,
        served: impl Future<Output = Served<A>>,
    ) -> Result<A, Fault> {
        let limit = Duration::from_millis(self.timeout);
        match tokio::time::timeout(limit, served).await {
            Ok(Served::Whole(answer)) => Ok(answer),
            Ok(Served::Refused(fault)) => Err(fault),
            Ok(Served::Truncated(_) | Served::Malformed | Served::Cut) => {
                Err(fault_without_answer(kind))
            }
            Ok(Served::Never) => {
                sleep(self.timeout).await;
                Err(fault_without_answer(kind))
            }
            Err(_) => Err(fault_without_answer(kind)),
        }
    }
}

impl Shared {
    fn run_table(&self, op: &TableOp) -> TableAnswer {
        let answer = self.memory.table_now(op);
        let rows = match (op, &answer) {
            (TableOp::Get { keys }, _) => keys.len(),
            (_, TableAnswer::Rows(rows)) => rows.len(),
            (TableOp::Commit { writes, .. }, TableAnswer::Committed) => writes.len(),
            _ => 1,
        };
        self.lock().charge(self.clock.now(), table_kind(op), rows);
        answer
    }

    fn run_object(&self, op: ObjectOp) -> ObjectAnswer {
        let kind = object_kind(&op);
        let answer = self.memory.object_now(op);
        self.lock().charge(self.clock.now(), kind, 1);
        answer
    }

    fn lock(&self) -> MutexGuard<'_, Injector> {
        self.injector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform for FaultyPlatform {
    fn table(&self, op: TableOp) -> AnswerFuture<'_, TableAnswer> {
        Box::pin(async move {
            let kind = table_kind(&op);
            let answer = self.apply_timeout(kind, self.serve_table(op)).await;
            answer.unwrap_or_else(TableAnswer::Failed)
        })
    }

    fn object(&self, op: ObjectOp) -> AnswerFuture<'_, ObjectAnswer> {
        Box::pin(async move {
            let kind = object_kind(&op);
            let answer = self.apply_timeout(kind, self.serve_object(op)).await;
            answer.unwrap_or_else(ObjectAnswer::Failed)
        })
    }
}

/// Calls `run` after `late` ms, even if the caller has left by then; returns `None` if the runtime shuts down.
async fn run_delayed<A, F>(late: u64, run: F) -> Option<A>
where
    A: Send + 'static,
    F: FnOnce() -> A + Send + 'static,
{
    if late == 0 {
        return Some(run());
    }
    let task = tokio::spawn(async move {
        sleep(late).await;
        run()
    });
    task.await.ok()
}

async fn sleep(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

fn fault_without_answer(kind: Kind) -> Fault {
    match kind {
        Kind::Read => Fault::Unavailable,
        Kind::Write => Fault::Unknown,
    }
}

fn table_kind(op: &TableOp) -> Kind {
    match op {
        TableOp::Get { .. } | TableOp::Scan { .. } => Kind::Read,
        TableOp::Commit { .. } => Kind::Write,
    }
}

fn object_kind(op: &ObjectOp) -> Kind {
    match op {
        ObjectOp::Get { .. } => Kind::Read,
        ObjectOp::Put { .. } | ObjectOp::Delete { .. } => Kind::Write,
    }
}
