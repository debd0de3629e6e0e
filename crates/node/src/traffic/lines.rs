//! The open connections of one socket, shared by their tasks.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    connections::{Connections, Entry, Gauges, Key},
};
use tokio::sync::Notify;

use super::faults::Sparse;
use crate::logs;

/// The open connections of one socket; cheap to clone.
#[derive(Clone, Debug)]
pub struct Lines(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Tells a connection that it is to end.
    ends: HashMap<Key, Arc<Notify>>,
    /// Idle connections that gave way to new ones.
    replaced: u64,
    log: Sparse,
}

/// An open connection. Dropping it frees its place.
#[derive(Debug)]
pub struct Open {
    lines: Lines,
    key: Key,
    end: Arc<Notify>,
}

/// A request in progress on a connection. Dropping it says that the head of its answer is ready or that it was given up;
/// a connection that gives way sends the rest of an answer before it ends.
#[derive(Debug)]
pub struct Busy {
    lines: Lines,
    key: Key,
}

impl Lines {
    /// Room for `places` connections.
    pub fn new(clock: Clock, places: usize) -> Lines {
        let state = Mutex::new(State {
            connections: Connections::new(places),
            ends: HashMap::new(),
            replaced: 0,
            log: Sparse::default(),
        });
        Lines(Arc::new(Shared { clock, state }))
    }

    /// A place for the connection of `peer`, if there is one.
    pub fn enter(&self, peer: SocketAddr) -> Option<Open> {
        let now = self.0.clock.now();
        let mut state = self.lock();
        let key = match state.connections.enter(now) {
            Entry::Open(key) => key,
            Entry::Replace { new, idle } => {
                state.tell(now, peer);
                state.end(idle);
                new
            }
            Entry::Full => {
                state.tell(now, peer);
                return None;
            }
        };
        let end = Arc::new(Notify::new());
        state.ends.insert(key, end.clone());
        Some(Open {
            lines: self.clone(),
            key,
            end,
        })
    }

    /// Idle connections that gave way to new ones so far.
    pub fn replaced(&self) -> u64 {
        self.lock().replaced
    }

    /// How many are open, busy and idle.
    pub fn gauges(&self) -> Gauges {
        self.lock().connections.gauges(self.0.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn end(&mut self, key: Key) {
        if let Some(it) = self.ends.get(&key) {
            self.replaced += 1;
            it.notify_one();
        }
    }

    /// Logs who holds the places while none is free.
    fn tell(&mut self, now: Ms, peer: SocketAddr) {
        let Some(count) = self.log.count(now) else {
            return;
        };
        let gauges = self.connections.gauges(now);
        let pairs = [
            ("count", count.to_string()),
            ("peer", peer.to_string()),
            ("busy", gauges.busy.to_string()),
            ("idle", gauges.idle.to_string()),
            ("longest", gauges.longest.to_string()),
        ];
        logs::event("connections-full", &pairs);
    }
}

impl Open {
    /// Notes that a request has begun.
    pub fn begin(&self) -> Busy {
        self.lines.lock().connections.begin(self.key);
        Busy {
            lines: self.lines.clone(),
            key: self.key,
        }
    }

    /// Waits until the connection is to end in favour of a new one.
    pub async fn ending(&self) {
        self.end.notified().await;
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut state = self.lines.lock();
        state.ends.remove(&self.key);
        state.connections.leave(self.key);
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let now = self.lines.0.clock.now();
        self.lines.lock().connections.end(self.key, now);
    }
}
