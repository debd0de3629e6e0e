//! Queue of the waiting requests of one class, earliest deadline first.

use std::collections::BTreeSet;

use crate::{admission::Ticket, clock::Ms, document::Class};

pub const CLASSES: usize = 3;

/// Returns the index of a class in arrays by class.
pub fn index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Exact => 1,
        Class::Background => 2,
    }
}

/// A waiting request. Ordered by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    pub deadline: Ms,
    pub ticket: Ticket,
}

/// Queue of one class. The caller bounds its length.
#[derive(Debug, Default)]
pub struct Queue {
    entries: BTreeSet<Entry>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn push(&mut self, entry: Entry) {
        self.entries.insert(entry);
    }

    pub fn first(&self) -> Option<&Entry> {
        self.entries.first()
    }

    pub fn pop(&mut self) -> Option<Entry> {
        self.entries.pop_first()
    }

    /// Returns the number of entries that run before one with `deadline`.
    pub fn count_before(&self, deadline: Ms) -> usize {
        self.entries
            .iter()
            .take_while(|it| it.deadline <= deadline)
            .count()
    }

    /// Removes `ticket`; returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.entries.iter().find(|it| it.ticket == ticket).copied();
        found.is_some_and(|it| self.entries.remove(&it))
    }

    /// Removes and returns the entries with deadlines up to `until`.
    pub fn take_until(&mut self, until: Ms) -> Vec<Entry> {
        let mut taken = Vec::new();
        while let Some(entry) = self.entries.first().copied() {
            if entry.deadline > until {
                break;
            }
            self.entries.pop_first();
            taken.push(entry);
        }
        taken
    }

    /// Removes and returns the entries that match `predicate`, which is called in order.
    pub fn take_if(&mut self, mut predicate: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let (taken, kept) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|it| predicate(it));
        self.entries = BTreeSet::from_iter::<Vec<Entry>>(kept);
        taken
    }

    /// Removes and returns every entry.
    pub fn drain(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.entries).into_iter().collect()
    }
}
