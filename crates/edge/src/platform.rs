//! Interface of the platform: a transactional table and an object store.

use std::{future::Future, pin::Pin};

use laburnum_kernel::platform::{Era, ObjectAnswer, ObjectOp, TableAnswer, TableOp};

/// The future of an answer from the platform.
pub type AnswerFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's transactional table and its object store.
///
/// Every call completes: adapters report a lost connection or a timeout as a
/// [`laburnum_kernel::platform::Fault`].
pub trait Platform: Send + Sync + 'static {
    /// Executes one operation on the table.
    fn table(&self, op: TableOp) -> AnswerFuture<'_, TableAnswer>;

    /// Executes one operation on the object store.
    fn object(&self, op: ObjectOp) -> AnswerFuture<'_, ObjectAnswer>;

    /// Returns the newest era seen in an answer; `None` before the first answer, and for platforms that do not report
    /// an era.
    fn era(&self) -> Option<Era> {
        None
    }
}
