//! Connections that callers hold open at one socket.
//!
//! A caller may keep a connection open between requests for as long as the configuration allows, and open a new one
//! for each try meanwhile. So connections in number say nothing about load: most may be idle.

use crate::clock::Ms;

/// An open connection. Keys of connections that have ended match nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    slot: u32,
    /// Tells a connection from those that had the slot before: requests may outlive their connection.
    reuse: u32,
}

/// The open connections of one socket, at most a fixed number of them.
#[derive(Debug)]
pub struct Connections {
    places: usize,
    slots: Vec<Slot>,
    free: Vec<u32>,
}

#[derive(Debug)]
struct Slot {
    reuse: u32,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    /// Requests in progress.
    requests: u32,
    /// When the connection was opened or its last request ended.
    since: Ms,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It is served.
    Open(Key),
    /// It is closed: no place is free.
    Full,
}

/// Open connections at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// With a request in progress.
    pub busy: usize,
    /// Without one.
    pub idle: usize,
    /// The longest time for which one of them has idled, in ms.
    pub longest: u64,
}

impl Connections {
    /// None yet, and `places` for them.
    pub fn new(places: usize) -> Connections {
        Connections {
            places,
            slots: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Decides on a new connection.
    pub fn enter(&mut self, now: Ms) -> Entry {
        if self.open() >= self.places {
            return Entry::Full;
        }
        Entry::Open(self.hold(now))
    }

    /// Notes that a request has begun.
    pub fn begin(&mut self, key: Key) {
        if let Some(it) = self.held(key) {
            it.requests += 1;
        }
    }

    /// Notes that a request has its answer or was given up.
    pub fn end(&mut self, key: Key, now: Ms) {
        if let Some(it) = self.held(key) {
            it.requests = it.requests.saturating_sub(1);
            it.since = now;
        }
    }

    /// Notes that the connection has ended.
    pub fn leave(&mut self, key: Key) {
        if self.held(key).is_none() {
            return;
        }
        let slot = &mut self.slots[key.slot as usize];
        slot.held = None;
        slot.reuse = slot.reuse.wrapping_add(1);
        self.free.push(key.slot);
    }

    /// How many are open, busy and idle.
    pub fn gauges(&self, now: Ms) -> Gauges {
        let mut gauges = Gauges::default();
        for held in self.slots.iter().filter_map(|it| it.held) {
            if held.requests > 0 {
                gauges.busy += 1;
                continue;
            }
            gauges.idle += 1;
            gauges.longest = gauges.longest.max(now.since(held.since));
        }
        gauges
    }

    fn open(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    fn hold(&mut self, now: Ms) -> Key {
        let held = Some(Held {
            requests: 0,
            since: now,
        });
        let Some(slot) = self.free.pop() else {
            let slot = self.slots.len() as u32;
            self.slots.push(Slot { reuse: 0, held });
            return Key { slot, reuse: 0 };
        };
        let it = &mut self.slots[slot as usize];
        it.held = held;
        Key {
            slot,
            reuse: it.reuse,
        }
    }

    fn held(&mut self, key: Key) -> Option<&mut Held> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        if slot.reuse != key.reuse {
            return None;
        }
        slot.held.as_mut()
    }
}
