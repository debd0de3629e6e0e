//! Moving the log over several batches at once, by their net difference.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    id::{Name, Seq, SubmitId},
    log::{Batch, Change, Edit, Log, weight},
    utils::hash64,
};

/// The net difference between two positions of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advance {
    /// The position that it leads to.
    pub to: Seq,
    /// [`Log::digest`] there.
    pub digest: u64,
    /// At most one change a service: its last.
    pub changes: Vec<Change>,
    /// Submissions of the batches on the way.
    pub ids: Vec<(Seq, Vec<SubmitId>)>,
}

/// An [`Advance`] leads to another configuration than its digest stands for; the log is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the changes do not lead to the configuration that they name; fetch the whole one")]
pub struct Diverged;

impl Log {
    /// Moves to `next.to`, or stays where it is if that is behind or the digest does not fit.
    pub fn advance(&mut self, next: Advance) -> Result<(), Diverged> {
        let sum = next.changes.iter().fold(self.sum, |sum, change| {
            let old = self.latest.get(&change.service);
            let old = old.map_or(0, |it| weight(&change.service, it.revision, &it.text));
            sum.wrapping_sub(old).wrapping_add(weight_after(change))
        });
        let digest = hash64(&[&next.to.0.to_le_bytes(), &sum.to_le_bytes()]);
        if next.to < self.seq || digest != next.digest {
            return Err(Diverged);
        }
        next.changes.iter().for_each(|it| self.learn(it));
        for (seq, ids) in next.ids {
            if seq > self.seq {
                self.remember(seq, ids);
            }
        }
        self.seq = next.to;
        let changed: BTreeSet<Name> = next.changes.iter().map(|it| it.service.clone()).collect();
        self.settle(changed);
        self.keep(Arc::new(Batch {
            seq: next.to,
            changes: next.changes,
        }));
        Ok(())
    }

    /// The submissions of the batches after `seq`, oldest first, as far back as they are kept.
    pub fn ids_after(&self, seq: Seq) -> impl Iterator<Item = &(Seq, Vec<SubmitId>)> {
        self.order.iter().filter(move |it| it.0 > seq)
    }
}

fn weight_after(change: &Change) -> u64 {
    match &change.edit {
        Edit::Put { text } => weight(&change.service, change.revision, text),
        Edit::Delete => 0,
    }
}
