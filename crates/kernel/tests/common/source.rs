//! A fleet and the store that its versions come from, which loses sight of hosts in every way that a store can.
//!
//! It plays the watch that runs beside each kernel: a feed while the store answers, checks of it, reads after a loss.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use laburnum_kernel::{
    Event, Message, Ms,
    import::{Source, Turn},
};

use super::{
    driver::{Driver, Fate},
    imported::{table, watched_from},
};

/// Time from a version's acknowledgement until it is in force at each host, in ms; the shortest that a deployment asks for.
pub const IN_FORCE_MS: u64 = 2_000;
/// Time for which a host and the way to it must be undisturbed before it is held to that, in ms.
pub const CONTACT_MS: u64 = 3_000;
/// Routes of a version.
const ROUTES: usize = 20;
/// Time of a step, in ms.
const STEP_MS: u64 = 10;
/// Time of a read of the whole configuration, in ms.
const READ_MS: u64 = 100;
/// Time after which the watch gives a check up, in ms.
const PATIENCE_MS: u64 = 1_000;
/// Pause of a watch that the store refuses, in ms.
const PAUSE_MS: u64 = 500;

/// How the store treats a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Serves,
    /// It answers at once that it does not serve.
    Refuses,
    /// It answers nothing any more, and sends nothing on feeds that are open.
    Silent,
}

/// What the watch of a host does.
#[derive(Clone, Copy, Debug)]
enum Watching {
    /// Not charged with watching.
    Rests,
    /// Asks again or reads, and is through then if the store serves it.
    Reads { until: Ms },
    /// Holds a feed; a dead one brings nothing more.
    Holds { dead: bool },
    /// A check of it is on its way.
    Checks { since: Ms, dead: bool },
}

/// The fleet.
pub struct Fleet {
    pub driver: Driver,
    pub ways: Vec<Way>,
    /// Hosts whose messages to and from others are lost.
    pub cut: Rc<RefCell<BTreeSet<usize>>>,
    /// Messages between zones.
    pub abroad: Rc<RefCell<usize>>,
    watching: Vec<Watching>,
    /// Hosts that were disturbed, and until when.
    disturbed: BTreeMap<usize, Ms>,
    newest: u64,
    /// Versions and when each was acknowledged.
    acked: Vec<(u64, Ms)>,
    /// Hosts that were behind, with the version they held and the one due.
    pub behind: Vec<(Ms, usize, u64, u64)>,
    /// Calls to the store.
    pub calls: u64,
}

impl Fleet {
    /// `count` hosts dealt out over `zones`; the first `watchers` have fast links.
    pub fn new(seed: u64, count: usize, watchers: usize, zones: &[&str]) -> Fleet {
        let mut driver = watched_from(seed, count, watchers, zones);
        driver.checks = Some(Vec::new());
        let cut: Rc<RefCell<BTreeSet<usize>>> = Rc::default();
        let lost = cut.clone();
        let abroad: Rc<RefCell<usize>> = Rc::default();
        let (crossed, zones) = (abroad.clone(), zones.len());
        driver.tap = Some(Box::new(move |_, from, to, message| {
            let import = matches!(message, Message::Import(_));
            *crossed.borrow_mut() += usize::from(import && from % zones != to % zones);
            let lost = lost.borrow();
            match lost.contains(&from) || lost.contains(&to) {
                true => Fate::Lost,
                false => Fate::Arrives,
            }
        }));
        Fleet {
            cut,
            abroad,
            driver,
            ways: vec![Way::Serves; count],
            watching: vec![Watching::Rests; count],
            disturbed: BTreeMap::new(),
            newest: 1,
            acked: Vec::new(),
            behind: Vec::new(),
            calls: 0,
        }
    }

    /// The store accepts a version: open feeds bring it at once.
    pub fn publish(&mut self) {
        self.newest += 1;
        self.acked.push((self.newest, self.driver.now));
        for index in 0..self.ways.len() {
            if let Watching::Holds { dead: false } | Watching::Checks { dead: false, .. } =
                self.watching[index]
            {
                self.give(index);
            }
        }
    }

    /// From now on the store treats a host so.
    pub fn treat(&mut self, index: usize, way: Way) {
        self.ways[index] = way;
        if way == Way::Serves {
            return;
        }
        match &mut self.watching[index] {
            Watching::Holds { dead } | Watching::Checks { dead, .. } => *dead = true,
            Watching::Rests | Watching::Reads { .. } => {}
        }
        if way == Way::Refuses {
            self.lose(index);
        }
    }

    /// A host stands still until it is resumed.
    pub fn pause(&mut self, index: usize) {
        self.driver.dead.insert(index);
        self.disturb(index, u64::MAX / 2);
    }

    pub fn resume(&mut self, index: usize) {
        self.driver.dead.remove(&index);
        self.disturb(index, CONTACT_MS);
        // What its feed brought meanwhile waited for it.
        if let Watching::Holds { dead: false } | Watching::Checks { dead: false, .. } =
            self.watching[index]
        {
            self.give(index);
        }
    }

    /// A host's process ends and starts anew.
    pub fn restart(&mut self, index: usize) {
        self.driver.restart(index);
        self.watching[index] = Watching::Rests;
        self.disturb(index, CONTACT_MS);
    }

    /// Holds a host to nothing for `millis`.
    pub fn disturb(&mut self, index: usize, millis: u64) {
        self.disturbed.insert(index, self.driver.now + millis);
    }

    /// Lets `millis` pass and notes who is behind.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.driver.run(STEP_MS);
            for index in self.driver.checks.iter_mut().flat_map(std::mem::take) {
                if let Watching::Holds { dead } = self.watching[index] {
                    self.calls += 1;
                    let since = self.driver.now;
                    self.watching[index] = Watching::Checks { since, dead };
                }
            }
            for index in 0..self.ways.len() {
                if !self.driver.dead.contains(&index) {
                    self.watch(index);
                }
            }
            self.check();
        }
    }

    pub fn version(&self, index: usize) -> u64 {
        self.driver.kernels[index].state().import.table().version()
    }

    fn watch(&mut self, index: usize) {
        let now = self.driver.now;
        let follows = self.driver.kernels[index].state().import.turn() == Turn::Follow;
        let way = self.ways[index];
        let next = match self.watching[index] {
            _ if !follows => Watching::Rests,
            Watching::Rests => {
                self.calls += 1;
                Watching::Reads {
                    until: now + READ_MS,
                }
            }
            Watching::Reads { until } if now < until => return,
            Watching::Reads { .. } if way == Way::Serves => {
                self.driver.event(index, Event::Source(Source::Held));
                self.give(index);
                Watching::Holds { dead: false }
            }
            Watching::Reads { .. } => {
                self.calls += 1;
                Watching::Reads {
                    until: now + PAUSE_MS,
                }
            }
            Watching::Holds { .. } => return,
            Watching::Checks { dead, .. } if way == Way::Serves => {
                // A feed that died brings nothing; the check does.
                match dead {
                    true => self.give(index),
                    false => self.confirm(index),
                }
                Watching::Holds { dead: false }
            }
            Watching::Checks { since, .. } if now.since(since) < PATIENCE_MS => return,
            Watching::Checks { .. } => return self.lose(index),
        };
        self.watching[index] = next;
    }

    fn give(&mut self, index: usize) {
        self.driver
            .event(index, Event::Imported(table(self.newest, ROUTES)));
    }

    fn confirm(&mut self, index: usize) {
        let confirmed = Event::Confirmed {
            version: self.newest,
            age: STEP_MS,
        };
        self.driver.event(index, confirmed);
    }

    fn lose(&mut self, index: usize) {
        if matches!(self.watching[index], Watching::Rests) {
            return;
        }
        self.driver.event(index, Event::Source(Source::Lost));
        self.watching[index] = Watching::Reads {
            until: self.driver.now + PAUSE_MS,
        };
    }

    fn check(&mut self) {
        let now = self.driver.now;
        let due = self
            .acked
            .iter()
            .rfind(|(_, at)| now.since(*at) > IN_FORCE_MS);
        let Some((due, _)) = due.copied() else {
            return;
        };
        for index in 0..self.ways.len() {
            let calm = self.disturbed.get(&index).is_none_or(|it| *it <= now);
            let held = self.version(index);
            // One that holds none yet is not ready, and tells callers to come back.
            if calm && held > 0 && held < due {
                self.behind.push((now, index, held, due));
            }
        }
    }

    /// Each host that was ever behind, with the version held and the one due when it first was.
    pub fn late(&self) -> BTreeMap<usize, (u64, u64)> {
        let mut late = BTreeMap::new();
        for (_, index, held, due) in &self.behind {
            late.entry(*index).or_insert((*held, *due));
        }
        late
    }
}
