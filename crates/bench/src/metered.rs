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
    bytes: Arc<AtomicU64>,
}

impl Metered {
    /// Counts from zero.
    pub fn new(inner: Faulty) -> Metered {
        Metered {
            inner,
            bytes: Arc::default(),
        }
    }

    /// Bytes so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Platform for Metered {
    fn table(&self, op: TableOp) -> Answer<'_, TableAnswer> {
        Box::pin(async move {
            self.add(table_op(&op));
            let answer = self.inner.table(op).await;
            self.add(table_answer(&answer));
            answer
        })
    }

    fn object(&self, op: ObjectOp) -> Answer<'_, ObjectAnswer> {
        Box::pin(async move {
            self.add(match &op {
                ObjectOp::Put { name, bytes } => name.len() + bytes.len(),
                ObjectOp::Get { name } | ObjectOp::Delete { name } => name.len(),
            });
            let answer = self.inner.object(op).await;
            if let ObjectAnswer::Bytes(bytes) = &answer {
                self.add(bytes.len());
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
