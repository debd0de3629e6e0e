//! The platform inside the process, with faults.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use laburnum_edge::{Clock, HttpSettings, Memory, Platform, platform::Answer};
use laburnum_kernel::platform::{Fault, ObjectAnswer, ObjectOp, TableAnswer, TableOp};

use crate::faults::{Answers, Fate, Faults, Injector, Kind, Plan, Stats};

/// [`Memory`] behind faults. Answers as the HTTP adapter does, so that tests and benches need no sockets.
/// Clones share everything.
#[derive(Clone, Debug)]
pub struct Faulty {
    shared: Arc<Shared>,
    timeout: u64,
}

#[derive(Debug)]
struct Shared {
    memory: Arc<Memory>,
    clock: Clock,
    injector: Mutex<Injector>,
}

/// What reaches the caller's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Served<A> {
    /// The whole answer.
    Whole(A),
    /// The start of the answer.
    Truncated(A),
    /// Something that is no answer.
    Malformed,
    /// The operation was refused and had no effect.
    Refused(Fault),
    /// The connection ended.
    Cut,
    /// Nothing, for ever.
    Never,
}

impl Faulty {
    /// Shows no faults at first; `seed` fixes which answers are lost later. Callers wait as long as
    /// [`HttpSettings`] has it by default.
    pub fn new(memory: Arc<Memory>, clock: Clock, seed: u64) -> Faulty {
        let timeout = HttpSettings::default().timeout;
        Faulty::with_timeout(memory, clock, seed, timeout)
    }

    /// Like [`Faulty::new`], with callers that wait `timeout` ms for an answer.
    pub fn with_timeout(memory: Arc<Memory>, clock: Clock, seed: u64, timeout: u64) -> Faulty {
        let injector = Mutex::new(Injector::new(seed));
        let shared = Arc::new(Shared {
            memory,
            clock,
            injector,
        });
        Faulty { shared, timeout }
    }

    /// Shows these faults from now on.
    pub fn set(&self, faults: Faults) {
        self.shared.lock().set(self.shared.clock.now(), faults);
    }

    /// The faults shown at present.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults()
    }

    /// What was served so far.
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats()
    }

    /// The platform without faults, to look at what really took effect.
    pub fn memory(&self) -> &Memory {
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
        let (late, slow, fate) = match plan {
            Plan::Run { late, slow, fate } => (late, slow, fate),
            Plan::Refuse(fault) => return Served::Refused(fault),
            Plan::Hang => return Served::Never,
        };
        let Some(answer) = run_late(late, run).await else {
            return Served::Cut;
        };
        sleep(slow).await;
        match fate {
            Fate::Lost => Served::Cut,
            Fate::Sent(Answers::Whole) => Served::Whole(answer),
            Fate::Sent(Answers::Truncated) => Served::Truncated(answer),
            Fate::Sent(Answers::Malformed) => Served::Malformed,
        }
    }

    /// What a caller that waits `timeout` ms makes of it.
    async fn wait<A>(
        &self,
        kind: Kind,
        served: impl Future<Output = Served<A>>,
    ) -> Result<A, Fault> {
        let limit = Duration::from_millis(self.timeout);
        match tokio::time::timeout(limit, served).await {
            Ok(Served::Whole(answer)) => Ok(answer),
            Ok(Served::Refused(fault)) => Err(fault),
            Ok(Served::Truncated(_) | Served::Malformed | Served::Cut) => Err(lost(kind)),
            Ok(Served::Never) => {
                sleep(self.timeout).await;
                Err(lost(kind))
            }
            Err(_) => Err(lost(kind)),
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

impl Platform for Faulty {
    fn table(&self, op: TableOp) -> Answer<'_, TableAnswer> {
        Box::pin(async move {
            let kind = table_kind(&op);
            let answer = self.wait(kind, self.serve_table(op)).await;
            answer.unwrap_or_else(TableAnswer::Failed)
        })
    }

    fn object(&self, op: ObjectOp) -> Answer<'_, ObjectAnswer> {
        Box::pin(async move {
            let kind = object_kind(&op);
            let answer = self.wait(kind, self.serve_object(op)).await;
            answer.unwrap_or_else(ObjectAnswer::Failed)
        })
    }
}

/// Runs it after `late` ms even if the caller is gone by then; nothing if the runtime is shutting down.
async fn run_late<A, F>(late: u64, run: F) -> Option<A>
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

fn lost(kind: Kind) -> Fault {
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
