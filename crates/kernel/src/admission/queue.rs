//! Waiting requests of one class, earliest deadline first.

use std::collections::BTreeSet;

use crate::{admission::Ticket, clock::Ms, document::Class};

/// Number of classes.
pub const CLASSES: usize = 3;

/// Place of a class in tables by class.
pub fn index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Exact => 1,
        Class::Background => 2,
    }
}

/// A waiting request. The order is by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    pub deadline: Ms,
    pub ticket: Ticket,
}

/// The queue of one class; its length is bounded by the caller.
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

    /// Entries that run before one with `deadline`.
    pub fn before(&self, deadline: Ms) -> usize {
        self.entries
            .iter()
            .take_while(|it| it.deadline <= deadline)
            .count()
    }

    /// Removes `ticket` and tells whether it was there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.entries.iter().find(|it| it.ticket == ticket).copied();
        found.is_some_and(|it| self.entries.remove(&it))
    }

    /// Removes and returns the entries whose deadline is not after `until`.
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

    /// Removes and returns the entries for which `gone` holds, asked in order.
    pub fn take_if(&mut self, mut gone: impl FnMut(&Entry) -> bool) -> Vec<Entry> {
        let (taken, kept) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|it| gone(it));
        self.entries = BTreeSet::from_iter::<Vec<Entry>>(kept);
        taken
    }

    /// Removes and returns every entry.
    pub fn drain(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.entries).into_iter().collect()
    }
}
