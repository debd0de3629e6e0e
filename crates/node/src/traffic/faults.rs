//! Counters of invalid input, with rate-limited logging.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use laburnum_edge::Clock;
use laburnum_kernel::Ms;

use crate::logs;

/// Counts faults by kind and logs each kind at most once per interval, so that a faulty caller cannot flood the
/// log.
#[derive(Debug)]
pub struct Faults {
    clock: Clock,
    kinds: Mutex<HashMap<&'static str, Kind>>,
}

#[derive(Debug, Default)]
struct Kind {
    throttle: LogThrottle,
    total: u64,
}

/// Limits the rate of a log line.
#[derive(Debug, Default)]
pub struct LogThrottle {
    last_logged: Option<Ms>,
    unreported: u64,
}

/// Minimum time between two such lines, in ms.
const LOG_INTERVAL: u64 = 10_000;

impl LogThrottle {
    /// Counts an occurrence; returns the number since the last line if a new line is due.
    pub fn count(&mut self, now: Ms) -> Option<u64> {
        self.unreported += 1;
        if self
            .last_logged
            .is_some_and(|it| now.since(it) < LOG_INTERVAL)
        {
            return None;
        }
        self.last_logged = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}

impl Faults {
    /// Creates zero counters.
    pub fn new(clock: Clock) -> Faults {
        Faults {
            clock,
            kinds: Mutex::default(),
        }
    }

    /// Counts one fault of `kind` and, if a line is due, logs it with the count since the last line.
    pub fn count(&self, kind: &'static str, peer: Option<SocketAddr>) {
        let now = self.clock.now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = kinds.entry(kind).or_default();
        entry.total += 1;
        let Some(count) = entry.throttle.count(now) else {
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

    /// Returns the number of faults of each kind since the start.
    pub fn totals(&self) -> Vec<(&'static str, u64)> {
        let kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        kinds.iter().map(|(kind, it)| (*kind, it.total)).collect()
    }

    /// Returns the number of faults of `kind` since the start.
    pub fn total(&self, kind: &str) -> u64 {
        let kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        kinds.get(kind).map_or(0, |it| it.total)
    }
}
