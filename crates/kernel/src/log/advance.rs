//! Applies the net difference of several batches at once.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    id::{Name, Seq, SubmitId},
    log::{Batch, Change, Edit, Log, service_hash},
    utils::hash64,
};

/// Net difference between two positions of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advance {
    /// Position after the changes.
    pub to: Seq,
    /// [`Log::digest`] after the changes.
    pub digest: u64,
    /// The last change of each changed service.
    pub changes: Vec<Change>,
    /// Submissions of the batches up to the position.
    pub ids: Vec<(Seq, Vec<SubmitId>)>,
}

/// The result of an [`Advance`] does not match its digest; the log is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the changes do not match their digest; fetch the whole configuration")]
pub struct Diverged;

impl Log {
    /// Applies `next`. Fails without a change if its position is behind the log or its digest does not match.
    pub fn advance(&mut self, next: Advance) -> Result<(), Diverged> {
        let sum = next.changes.iter().fold(self.hash_sum, |sum, change| {
            let old = self.latest.get(&change.service);
            let old = old.map_or(0, |it| service_hash(&change.service, it.revision, &it.text));
            sum.wrapping_sub(old).wrapping_add(changed_hash(change))
        });
        let digest = hash64(&[&next.to.0.to_le_bytes(), &sum.to_le_bytes()]);
        if next.to < self.seq || digest != next.digest {
            return Err(Diverged);
        }
        next.changes.iter().for_each(|it| self.apply_change(it));
        for (seq, ids) in next.ids {
            if seq > self.seq {
                self.record_ids(seq, ids);
            }
        }
        self.seq = next.to;
        let changed: BTreeSet<Name> = next.changes.iter().map(|it| it.service.clone()).collect();
        self.update_in_force(changed);
        self.retain_batch(Arc::new(Batch {
            seq: next.to,
            changes: next.changes,
        }));
        Ok(())
    }

    /// Returns the retained submissions of the batches after `seq`, oldest first.
    pub fn ids_after(&self, seq: Seq) -> impl Iterator<Item = &(Seq, Vec<SubmitId>)> {
        self.id_order.iter().filter(move |it| it.0 > seq)
    }
}

fn changed_hash(change: &Change) -> u64 {
    match &change.edit {
        Edit::Put { text } => service_hash(&change.service, change.revision, text),
        Edit::Delete => 0,
    }
}
