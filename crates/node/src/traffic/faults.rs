//! Faults of callers, logged once per kind and interval.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use laburnum_edge::Clock;
use laburnum_kernel::Ms;

use crate::logs;

/// Counts faults and logs each kind at most once an interval.
///
/// A caller that sends nothing but bad requests would otherwise fill the log, and hide in it what others
/// need to see there.
#[derive(Debug)]
pub struct Faults {
    clock: Clock,
    kinds: Mutex<HashMap<&'static str, Kind>>,
}

#[derive(Debug, Default)]
struct Kind {
    lines: Sparse,
    total: u64,
}

/// Bounds the log lines of something that may happen often.
#[derive(Debug, Default)]
pub struct Sparse {
    logged: Option<Ms>,
    unlogged: u64,
}

/// Shortest time between two such lines, in ms.
const LOG_INTERVAL: u64 = 10_000;

impl Sparse {
    /// Counts that it happened; tells how often since the last line if one is due.
    pub fn count(&mut self, now: Ms) -> Option<u64> {
        self.unlogged += 1;
        if self.logged.is_some_and(|it| now.since(it) < LOG_INTERVAL) {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

impl Faults {
    /// Counts by `clock`.
    pub fn new(clock: Clock) -> Faults {
        Faults {
            clock,
            kinds: Mutex::default(),
        }
    }

    /// Counts one fault of `kind`, and logs it with the count since the last line if one is due.
    pub fn count(&self, kind: &'static str, peer: Option<SocketAddr>) {
        let now = self.clock.now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = kinds.entry(kind).or_default();
        entry.total += 1;
        let Some(count) = entry.lines.count(now) else {
            return;
        };
        drop(kinds);
        let peer = peer.map_or_else(|| "none".to_owned(), |it| it.to_string());
        let pairs = [
            ("kind", kind.to_owned()),
            ("count", count.to_string()),
            ("peer", peer),
        ];
        logs::event("traffic-fault", &pairs);
    }

    /// Faults of every kind since the start.
    pub fn totals(&self) -> Vec<(&'static str, u64)> {
        let kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        kinds.iter().map(|(kind, it)| (*kind, it.total)).collect()
    }

    /// Faults of `kind` since the start.
    pub fn total(&self, kind: &str) -> u64 {
        let kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        kinds.get(kind).map_or(0, |it| it.total)
    }
}
