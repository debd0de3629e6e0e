//! A platform adapter that counts the bytes of one node's calls.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use laburnum_edge::{Platform, platform::AnswerFuture};
use laburnum_kernel::platform::{ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write};
use laburnum_standin::FaultyPlatform;

/// The platform of one node with byte counters.
///
/// Counts keys, values and object contents, both ways, without the overhead of HTTP.
#[derive(Clone, Debug)]
pub struct Metered {
    inner: FaultyPlatform,
    counts: Arc<Counts>,
}

/// Byte counters.
#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    written: AtomicU64,
}

/// Selects the counter of an operation and of its answer.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Read,
    Write,
}

impl Metered {
    /// Wraps `inner` with counters at zero.
    pub fn new(inner: FaultyPlatform) -> Metered {
        Metered {
            inner,
            counts: Arc::default(),
        }
    }

    /// Returns the bytes of reads so far.
    pub fn read_bytes(&self) -> u64 {
        self.counts.read.load(Ordering::Relaxed)
    }

    /// Returns the bytes of writes so far, including those that conflicted.
    pub fn written_bytes(&self) -> u64 {
        self.counts.written.load(Ordering::Relaxed)
    }

    fn add(&self, kind: Kind, bytes: usize) {
        let counter = match kind {
            Kind::Read => &self.counts.read,
            Kind::Write => &self.counts.written,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Platform for Metered {
    fn table(&self, op: TableOp) -> AnswerFuture<'_, TableAnswer> {
        Box::pin(async move {
            let kind = match op {
                TableOp::Get { .. } | TableOp::Scan { .. } => Kind::Read,
                TableOp::Commit { .. } => Kind::Write,
            };
            self.add(kind, op_bytes(&op));
            let answer = self.inner.table(op).await;
            self.add(kind, answer_bytes(&answer));
            answer
        })
    }

    fn object(&self, op: ObjectOp) -> AnswerFuture<'_, ObjectAnswer> {
        Box::pin(async move {
            let (kind, bytes) = match &op {
                ObjectOp::Put { name, bytes } => (Kind::Write, name.len() + bytes.len()),
                ObjectOp::Get { name } => (Kind::Read, name.len()),
                ObjectOp::Delete { name } => (Kind::Write, name.len()),
            };
            self.add(kind, bytes);
            let answer = self.inner.object(op).await;
            if let ObjectAnswer::Bytes(bytes) = &answer {
                self.add(kind, bytes.len());
            }
            answer
        })
    }
}

fn op_bytes(op: &TableOp) -> usize {
    match op {
        TableOp::Get { keys } => keys.iter().map(String::len).sum(),
        TableOp::Scan { prefix, after, .. } => prefix.len() + after.len(),
        TableOp::Commit { checks, writes } => {
            let checks: usize = checks.iter().map(|it| it.key.len()).sum();
            let writes = writes.iter().map(|it| match it {
                Write::Put { key, value } => key.len() + value.len(),
                Write::Delete { key } => key.len(),
            });
            checks + writes.sum::<usize>()
        }
    }
}

fn answer_bytes(answer: &TableAnswer) -> usize {
    let row = |it: &Row| it.key.len() + it.value.len();
    match answer {
        TableAnswer::Rows(rows) | TableAnswer::Conflict(rows) => rows.iter().map(row).sum(),
        TableAnswer::Committed | TableAnswer::Failed(_) => 0,
    }
}
