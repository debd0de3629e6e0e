//! A platform in memory, for tests and for single nodes. Its content is lost when the process ends.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Mutex, MutexGuard, PoisonError},
};

use laburnum_kernel::platform::{
    COMMIT_MAX, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, VALUE_MAX, Write,
};

use crate::platform::{AnswerFuture, Platform};

/// A platform that keeps its table and objects in memory.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    store: Mutex<Store>,
}

#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<String, Row>,
    /// Last version of each deleted key; if the key is written again, its version continues from there.
    deleted: BTreeMap<String, u64>,
    objects: BTreeMap<String, Vec<u8>>,
}

impl MemoryPlatform {
    /// Executes one operation on the table synchronously.
    pub fn table_now(&self, op: &TableOp) -> TableAnswer {
        let mut store = self.lock();
        match op {
            TableOp::Get { keys } => {
                let rows = keys.iter().filter_map(|it| store.rows.get(it).cloned());
                TableAnswer::Rows(rows.collect())
            }
            TableOp::Scan {
                prefix,
                after,
                limit,
            } => TableAnswer::Rows(store.scan(prefix, after, *limit as usize)),
            TableOp::Commit { checks, writes } => store.commit(checks, writes),
        }
    }

    /// Executes one operation on the object store synchronously.
    pub fn object_now(&self, op: ObjectOp) -> ObjectAnswer {
        let mut store = self.lock();
        match op {
            ObjectOp::Put { name, bytes } => {
                store.objects.insert(name, bytes);
                ObjectAnswer::Done
            }
            ObjectOp::Get { name } => match store.objects.get(&name) {
                Some(bytes) => ObjectAnswer::Bytes(bytes.clone()),
                None => ObjectAnswer::Absent,
            },
            ObjectOp::Delete { name } => {
                store.objects.remove(&name);
                ObjectAnswer::Done
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = match after < prefix {
            true => Bound::Included(prefix),
            false => Bound::Excluded(after),
        };
        self.rows
            .range::<str, _>((from, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit)
            .cloned()
            .collect()
    }

    fn commit(&mut self, checks: &[Check], writes: &[Write]) -> TableAnswer {
        if let Err(why) = check_size(checks, writes) {
            return TableAnswer::Failed(Fault::Invalid(why));
        }
        let failed: Vec<&Check> = checks
            .iter()
            .filter(|it| self.version(&it.key) != it.version)
            .collect();
        if !failed.is_empty() {
            let rows = failed
                .iter()
                .filter_map(|it| self.rows.get(&it.key).cloned());
            return TableAnswer::Conflict(rows.collect());
        }
        for write in writes {
            self.write(write);
        }
        TableAnswer::Committed
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |it| it.version)
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let last = self.version(key).max(self.deleted.remove(key).unwrap_or(0));
                let row = Row {
                    key: key.clone(),
                    version: last + 1,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                if let Some(row) = self.rows.remove(key) {
                    self.deleted.insert(key.clone(), row.version);
                }
            }
        }
    }
}

/// Enforces the size limits of the real platform, so that tests fail on commits that it would reject.
fn check_size(checks: &[Check], writes: &[Write]) -> Result<(), String> {
    let items = checks.len() + writes.len();
    if items > COMMIT_MAX {
        let why = format!("a commit of {items} items exceeds {COMMIT_MAX}; split it");
        return Err(why);
    }
    let longest = writes.iter().filter_map(|it| match it {
        Write::Put { key, value } => Some((value.len(), key)),
        Write::Delete { .. } => None,
    });
    match longest.max() {
        Some((length, key)) if length > VALUE_MAX => Err(format!(
            "the value of {key:?} has {length} bytes and exceeds {VALUE_MAX}; keep it in an object"
        )),
        _ => Ok(()),
    }
}

impl Platform for MemoryPlatform {
    fn table(&self, op: TableOp) -> AnswerFuture<'_, TableAnswer> {
        Box::pin(async move { self.table_now(&op) })
    }

    fn object(&self, op: ObjectOp) -> AnswerFuture<'_, ObjectAnswer> {
        Box::pin(async move { self.object_now(op) })
    }
}
