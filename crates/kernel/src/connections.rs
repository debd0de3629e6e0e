//! Bounded set of the open connections of one socket, with eviction of idle ones.
//!
//! Refused callers often retry on new connections and leave the old ones open. At the limit, a new connection replaces
//! the one that has been idle longest, so that idle connections do not shut out other callers.

use crate::clock::Ms;

/// Identifies an open connection. The key of a closed connection matches no other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    slot: u32,
    /// Number of earlier connections in the slot, so that a request that outlives its connection is not counted for a
    /// later one.
    generation: u32,
}

/// Open connections of one socket, up to a fixed number.
#[derive(Debug)]
pub struct Connections {
    capacity: usize,
    slots: Vec<Slot>,
    free: Vec<u32>,
}

#[derive(Debug)]
struct Slot {
    generation: u32,
    connection: Option<Connection>,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Whether it is being closed.
    ending: bool,
    /// Number of requests in progress.
    requests: u32,
    /// Time at which the connection was opened or its last request ended.
    idle_since: Ms,
}

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The connection is accepted.
    Open(Key),
    /// The connection is accepted, and an idle one must be closed.
    Replace {
        /// The new connection.
        new: Key,
        /// The connection that has been idle longest.
        idle: Key,
    },
    /// The connection is rejected: all others are busy or were used within [`IDLE_MIN_MS`].
    Full,
}

/// Numbers of open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Connections with a request in progress.
    pub busy: usize,
    /// Connections without a request in progress.
    pub idle: usize,
    /// Longest time for which a connection has been idle, in ms.
    pub longest: u64,
}

/// Minimum idle time of a connection before it can be replaced, in ms. Callers usually send the next request within it.
pub const IDLE_MIN_MS: u64 = 1_000;

impl Connections {
    /// Creates an empty set of at most `capacity` connections.
    pub fn new(capacity: usize) -> Connections {
        Connections {
            capacity,
            slots: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Accepts a new connection, in place of an idle one if the set is full, or rejects it.
    pub fn enter(&mut self, now: Ms) -> Entry {
        if self.open_count() < self.capacity {
            return Entry::Open(self.insert(now));
        }
        let Some(idle) = self.longest_idle(now) else {
            return Entry::Full;
        };
        if let Some(it) = self.get_mut(idle) {
            it.ending = true;
        }
        let new = self.insert(now);
        Entry::Replace { new, idle }
    }

    /// Records the start of a request.
    pub fn begin(&mut self, key: Key) {
        if let Some(it) = self.get_mut(key) {
            it.requests += 1;
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, key: Key, now: Ms) {
        if let Some(it) = self.get_mut(key) {
            it.requests = it.requests.saturating_sub(1);
            it.idle_since = now;
        }
    }

    /// Removes a closed connection.
    pub fn leave(&mut self, key: Key) {
        if self.get_mut(key).is_none() {
            return;
        }
        let slot = &mut self.slots[key.slot as usize];
        slot.connection = None;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.slot);
    }

    /// Returns the numbers of busy and idle connections.
    pub fn gauges(&self, now: Ms) -> Gauges {
        let mut gauges = Gauges::default();
        for connection in self.slots.iter().filter_map(|it| it.connection) {
            if connection.requests > 0 {
                gauges.busy += 1;
                continue;
            }
            gauges.idle += 1;
            gauges.longest = gauges.longest.max(now.since(connection.idle_since));
        }
        gauges
    }

    /// Returns the connection that has been idle longest, if for at least [`IDLE_MIN_MS`]. Scans all slots, but only
    /// when the set is full.
    fn longest_idle(&self, now: Ms) -> Option<Key> {
        let idle = self.slots.iter().enumerate().filter_map(|(idx, slot)| {
            let connection = slot
                .connection
                .filter(|it| it.requests == 0 && !it.ending)?;
            let key = Key {
                slot: idx as u32,
                generation: slot.generation,
            };
            Some((connection.idle_since, key))
        });
        let (since, key) = idle.min_by_key(|it| it.0)?;
        (now.since(since) >= IDLE_MIN_MS).then_some(key)
    }

    fn open_count(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    fn insert(&mut self, now: Ms) -> Key {
        let connection = Some(Connection {
            ending: false,
            requests: 0,
            idle_since: now,
        });
        let Some(slot) = self.free.pop() else {
            let slot = self.slots.len() as u32;
            self.slots.push(Slot {
                generation: 0,
                connection,
            });
            return Key {
                slot,
                generation: 0,
            };
        };
        let it = &mut self.slots[slot as usize];
        it.connection = connection;
        Key {
            slot,
            generation: it.generation,
        }
    }

    fn get_mut(&mut self, key: Key) -> Option<&mut Connection> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.connection.as_mut()
    }
}
