//! One node's calls to the platform, with their bytes counted.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use laburnum_edge::{Platform, platform::Answer};
use laburnum_kernel::platform::{ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write};
use laburnum_standin::Faulty;

/// The platform as one node sees it. Bytes are those of keys, values and object contents, both ways; what an
/// HTTP adapter adds around them is not counted, so a real platform's figures are higher.
#[derive(Clone, Debug)]
pub struct Metered {
    inner: Faulty,
    counts: Arc<Counts>,
}

/// Bytes by what they were for.
#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    written: AtomicU64,
}

/// Which counter an operation belongs to; its answer counts there too.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Read,
    Write,
}

impl Metered {
    /// Counts from zero.
    pub fn new(inner: Faulty) -> Metered {
        Metered {
            inner,
            counts: Arc::default(),
        }
    }

    /// Bytes of reads so far.
    pub fn read(&self) -> u64 {
        self.counts.read.load(Ordering::Relaxed)
    }

    /// Bytes of writes so far, those that conflicted included.
    pub fn written(&self) -> u64 {
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
    fn table(&self, op: TableOp) -> Answer<'_, TableAnswer> {
        Box::pin(async move {
            let kind = match op {
                TableOp::Get { .. } | TableOp::Scan { .. } => Kind::Read,
                TableOp::Commit { .. } => Kind::Write,
            };
            self.add(kind, table_op(&op));
            let answer = self.inner.table(op).await;
            self.add(kind, table_answer(&answer));
            answer
        })
    }

    fn object(&self, op: ObjectOp) -> Answer<'_, ObjectAnswer> {
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

fn table_op(op: &TableOp) -> usize {
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

fn table_answer(answer: &TableAnswer) -> usize {
    let row = |it: &Row| it.key.len() + it.value.len();
    match answer {
        TableAnswer::Rows(rows) | TableAnswer::Conflict(rows) => rows.iter().map(row).sum(),
        TableAnswer::Committed | TableAnswer::Failed(_) => 0,
    }
}
