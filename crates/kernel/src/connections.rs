//! Connections that callers hold open at one socket, and which of them makes room for a new one.
//!
//! A caller that is refused tries again on a new connection and leaves the old one open and idle, for longer than it
//! takes an overload to fill every place: 100 refusals a second fill 1,024 places in ten seconds. Were new connections
//! closed then, idle ones would shut out all callers that open one for each request, and the upstream's own calls with
//! them, while its slots are free. So the connection that has idled longest gives way: its caller loses a round trip
//! at most, and what arrives on it meanwhile was not read, which lets the caller send it again.

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
    /// Whether it was told to end.
    ending: bool,
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
    /// It is served, and an idle one is to end in its place.
    Replace {
        /// The new connection.
        new: Key,
        /// The one that has idled longest.
        idle: Key,
    },
    /// It is closed: every place has a request in progress or was in use a moment ago.
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

/// Shortest time for which a connection idles before it gives way, in ms: callers send on a new one within a round trip
/// or two, and those that keep theirs for the next request use it about twice a second. A node of a fifth of a core
/// takes far fewer new connections in that time than it has places.
pub const IDLE_MIN: u64 = 1_000;

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
        if self.open() < self.places {
            return Entry::Open(self.hold(now));
        }
        let Some(idle) = self.idlest(now) else {
            return Entry::Full;
        };
        if let Some(it) = self.held(idle) {
            it.ending = true;
        }
        let new = self.hold(now);
        Entry::Replace { new, idle }
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

    /// The connection that has idled longest, if one has for [`IDLE_MIN`]. It looks at every place, for less than the
    /// system calls of a new connection cost, and only while none is free.
    fn idlest(&self, now: Ms) -> Option<Key> {
        let idle = self.slots.iter().enumerate().filter_map(|(idx, slot)| {
            let held = slot.held.filter(|it| it.requests == 0 && !it.ending)?;
            let key = Key {
                slot: idx as u32,
                reuse: slot.reuse,
            };
            Some((held.since, key))
        });
        let (since, key) = idle.min_by_key(|it| it.0)?;
        (now.since(since) >= IDLE_MIN).then_some(key)
    }

    fn open(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    fn hold(&mut self, now: Ms) -> Key {
        let held = Some(Held {
            ending: false,
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
