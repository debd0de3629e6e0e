//! Open connections of one listening socket, shared by the connection tasks.

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

use super::faults::LogThrottle;
use crate::logs;

/// Open connections of one listening socket; cheap to clone.
#[derive(Clone, Debug)]
pub struct OpenConnections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Signals that make a connection close.
    close_signals: HashMap<Key, Arc<Notify>>,
    /// Number of idle connections closed in favour of new ones.
    replaced: u64,
    throttle: LogThrottle,
}

/// An open connection. Dropping it frees its place.
#[derive(Debug)]
pub struct OpenConnection {
    table: OpenConnections,
    key: Key,
    close_signal: Arc<Notify>,
}

/// A request in progress on a connection. Dropped when the head of its answer is ready or the request is
/// abandoned; a connection that is closing still sends the rest of the answer.
#[derive(Debug)]
pub struct ActiveRequest {
    table: OpenConnections,
    key: Key,
}

impl OpenConnections {
    /// Creates a table with places for `places` connections.
    pub fn new(clock: Clock, places: usize) -> OpenConnections {
        let state = Mutex::new(State {
            connections: Connections::new(places),
            close_signals: HashMap::new(),
            replaced: 0,
            throttle: LogThrottle::default(),
        });
        OpenConnections(Arc::new(Shared { clock, state }))
    }

    /// Takes a place for the connection of `peer`, closing an idle connection if needed; `None` if all are
    /// busy.
    pub fn enter(&self, peer: SocketAddr) -> Option<OpenConnection> {
        let now = self.0.clock.now();
        let mut state = self.lock();
        let key = match state.connections.enter(now) {
            Entry::Open(key) => key,
            Entry::Replace { new, idle } => {
                state.log_full(now, peer);
                state.close_idle(idle);
                new
            }
            Entry::Full => {
                state.log_full(now, peer);
                return None;
            }
        };
        let close_signal = Arc::new(Notify::new());
        state.close_signals.insert(key, close_signal.clone());
        Some(OpenConnection {
            table: self.clone(),
            key,
            close_signal,
        })
    }

    /// Returns the number of idle connections closed in favour of new ones.
    pub fn replaced(&self) -> u64 {
        self.lock().replaced
    }

    /// Returns the numbers of open, busy and idle connections.
    pub fn gauges(&self) -> Gauges {
        self.lock().connections.gauges(self.0.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close_idle(&mut self, key: Key) {
        if let Some(it) = self.close_signals.get(&key) {
            self.replaced += 1;
            it.notify_one();
        }
    }

    /// Logs the use of the places while none is free.
    fn log_full(&mut self, now: Ms, peer: SocketAddr) {
        let Some(count) = self.throttle.count(now) else {
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

impl OpenConnection {
    /// Marks the connection as busy with a request.
    pub fn begin_request(&self) -> ActiveRequest {
        self.table.lock().connections.begin(self.key);
        ActiveRequest {
            table: self.table.clone(),
            key: self.key,
        }
    }

    /// Waits until the connection is to be closed in favour of a new one.
    pub async fn closing(&self) {
        self.close_signal.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        state.close_signals.remove(&self.key);
        state.connections.leave(self.key);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let now = self.table.0.clock.now();
        self.table.lock().connections.end(self.key, now);
    }
}
