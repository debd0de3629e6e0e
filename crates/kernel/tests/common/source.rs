//! A fleet and the source of its versions, which can lose contact with hosts in several ways.
//!
//! Simulates the watch beside each kernel: a feed while the source answers, checks of the feed, and
//! reads after a loss.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use laburnum_kernel::{
    Event, Message, Ms,
    customer::CustomerSpec,
    import::{Source, Turn},
};

use super::{
    driver::{Delivery, Driver},
    imported::{imported_fleet, table_with},
};

/// Longest time from a version's acknowledgement until it is in force on each host, in ms.
pub const IN_FORCE_MS: u64 = 2_000;
/// How long a host is exempt from that limit after a fault, in ms.
pub const RECOVERY_MS: u64 = 3_000;
/// Number of routes of a version.
const ROUTES: usize = 20;
/// Duration of a simulation step, in ms.
const STEP_MS: u64 = 10;
/// Duration of a read of the whole configuration, in ms.
const READ_MS: u64 = 100;
/// Timeout of a check, in ms.
const CHECK_TIMEOUT_MS: u64 = 1_000;
/// Pause before a watch retries after the source refused it, in ms.
const RETRY_MS: u64 = 500;

/// How the source responds to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceMode {
    Serves,
    /// Refuses at once.
    Refuses,
    /// Sends no more answers and nothing on open feeds.
    Silent,
}

/// State of a host's watch.
#[derive(Clone, Copy, Debug)]
enum WatchState {
    /// The host does not watch.
    Idle,
    /// A read or retry that ends at `until`, successfully if the source serves the host.
    Reading { until: Ms },
    /// A feed is open; a dead one delivers nothing more.
    Open { dead: bool },
    /// A check of the feed is in progress.
    Checking { since: Ms, dead: bool },
}

/// A simulated fleet.
pub struct Fleet {
    pub driver: Driver,
    pub modes: Vec<SourceMode>,
    /// Hosts cut off from all others.
    pub cut: Rc<RefCell<BTreeSet<usize>>>,
    /// Number of messages between zones.
    pub cross_zone: Rc<RefCell<usize>>,
    watches: Vec<WatchState>,
    /// Hosts exempt from the time limit, and until when.
    exempt_until: BTreeMap<usize, Ms>,
    pub newest: u64,
    /// Customers of each version.
    pub customers: Vec<CustomerSpec>,
    /// Versions and the time of their acknowledgement.
    pub acked: Vec<(u64, Ms)>,
    /// Time, host, version held and version due of each violation of the time limit.
    pub violations: Vec<(Ms, usize, u64, u64)>,
    /// Number of calls to the source.
    pub calls: u64,
}

impl Fleet {
    /// Creates `count` hosts spread over `zones`; the first `watchers` watch the source.
    pub fn new(seed: u64, count: usize, watchers: usize, zones: &[&str]) -> Fleet {
        let mut driver = imported_fleet(seed, count, watchers, zones);
        driver.checks = Some(Vec::new());
        let cut: Rc<RefCell<BTreeSet<usize>>> = Rc::default();
        let lost = cut.clone();
        let cross_zone: Rc<RefCell<usize>> = Rc::default();
        let (crossed, zones) = (cross_zone.clone(), zones.len());
        driver.tap = Some(Box::new(move |_, from, to, message| {
            let import = matches!(message, Message::Import(_));
            *crossed.borrow_mut() += usize::from(import && from % zones != to % zones);
            let lost = lost.borrow();
            match lost.contains(&from) || lost.contains(&to) {
                true => Delivery::Lost,
                false => Delivery::Arrives,
            }
        }));
        Fleet {
            cut,
            cross_zone,
            driver,
            modes: vec![SourceMode::Serves; count],
            watches: vec![WatchState::Idle; count],
            exempt_until: BTreeMap::new(),
            newest: 1,
            customers: Vec::new(),
            acked: Vec::new(),
            violations: Vec::new(),
            calls: 0,
        }
    }

    /// Accepts a new version, which open feeds deliver at once.
    pub fn publish(&mut self) {
        self.newest += 1;
        self.acked.push((self.newest, self.driver.now));
        for index in 0..self.modes.len() {
            if let WatchState::Open { dead: false } | WatchState::Checking { dead: false, .. } =
                self.watches[index]
            {
                self.deliver_version(index);
            }
        }
    }

    /// Sets how the source responds to a host.
    pub fn set_mode(&mut self, index: usize, mode: SourceMode) {
        self.modes[index] = mode;
        if mode == SourceMode::Serves {
            return;
        }
        match &mut self.watches[index] {
            WatchState::Open { dead } | WatchState::Checking { dead, .. } => *dead = true,
            WatchState::Idle | WatchState::Reading { .. } => {}
        }
        if mode == SourceMode::Refuses {
            self.lose_source(index);
        }
    }

    /// Pauses a host until it is resumed.
    pub fn pause(&mut self, index: usize) {
        self.driver.dead.insert(index);
        self.exempt(index, u64::MAX / 2);
    }

    pub fn resume(&mut self, index: usize) {
        self.driver.dead.remove(&index);
        self.exempt(index, RECOVERY_MS);
        // The feed's queued versions arrive now.
        if let WatchState::Open { dead: false } | WatchState::Checking { dead: false, .. } =
            self.watches[index]
        {
            self.deliver_version(index);
        }
    }

    /// Restarts a host's process.
    pub fn restart(&mut self, index: usize) {
        self.driver.restart(index);
        self.watches[index] = WatchState::Idle;
        self.exempt(index, RECOVERY_MS);
    }

    /// Exempts a host from the time limit for `millis` ms.
    pub fn exempt(&mut self, index: usize, millis: u64) {
        self.exempt_until.insert(index, self.driver.now + millis);
    }

    /// Runs the simulation for `millis` ms and records violations.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.driver.run(STEP_MS);
            for index in self.driver.checks.iter_mut().flat_map(std::mem::take) {
                if let WatchState::Open { dead } = self.watches[index] {
                    self.calls += 1;
                    let since = self.driver.now;
                    self.watches[index] = WatchState::Checking { since, dead };
                }
            }
            for index in 0..self.modes.len() {
                if !self.driver.dead.contains(&index) {
                    self.watch(index);
                }
            }
            self.record_violations();
        }
    }

    pub fn version(&self, index: usize) -> u64 {
        self.driver.kernels[index].state().import.table().version()
    }

    fn watch(&mut self, index: usize) {
        let now = self.driver.now;
        let follows = self.driver.kernels[index].state().import.turn() == Turn::Follow;
        let mode = self.modes[index];
        let next = match self.watches[index] {
            _ if !follows => WatchState::Idle,
            WatchState::Idle => {
                self.calls += 1;
                WatchState::Reading {
                    until: now + READ_MS,
                }
            }
            WatchState::Reading { until } if now < until => return,
            WatchState::Reading { .. } if mode == SourceMode::Serves => {
                self.driver.event(index, Event::Source(Source::Held));
                self.deliver_version(index);
                WatchState::Open { dead: false }
            }
            WatchState::Reading { .. } => {
                self.calls += 1;
                WatchState::Reading {
                    until: now + RETRY_MS,
                }
            }
            WatchState::Open { .. } => return,
            WatchState::Checking { dead, .. } if mode == SourceMode::Serves => {
                // A dead feed delivers nothing, but the check does.
                match dead {
                    true => self.deliver_version(index),
                    false => self.confirm(index),
                }
                WatchState::Open { dead: false }
            }
            WatchState::Checking { since, .. } if now.since(since) < CHECK_TIMEOUT_MS => return,
            WatchState::Checking { .. } => return self.lose_source(index),
        };
        self.watches[index] = next;
    }

    fn deliver_version(&mut self, index: usize) {
        let table = table_with(self.newest, ROUTES, self.customers.clone());
        self.driver.event(index, Event::Imported(table));
    }

    fn confirm(&mut self, index: usize) {
        let confirmed = Event::Confirmed {
            version: self.newest,
            asked: self.driver.now - STEP_MS,
        };
        self.driver.event(index, confirmed);
    }

    fn lose_source(&mut self, index: usize) {
        if matches!(self.watches[index], WatchState::Idle) {
            return;
        }
        self.driver.event(index, Event::Source(Source::Lost));
        self.watches[index] = WatchState::Reading {
            until: self.driver.now + RETRY_MS,
        };
    }

    fn record_violations(&mut self) {
        let now = self.driver.now;
        let due = self
            .acked
            .iter()
            .rfind(|(_, at)| now.since(*at) > IN_FORCE_MS);
        let Some((due, _)) = due.copied() else {
            return;
        };
        for index in 0..self.modes.len() {
            let in_scope = self.exempt_until.get(&index).is_none_or(|it| *it <= now);
            let held = self.version(index);
            // A host without a version is not ready and rejects requests.
            if in_scope && held > 0 && held < due {
                self.violations.push((now, index, held, due));
            }
        }
    }

    /// Returns the version held and the version due at the first violation of each host.
    pub fn late(&self) -> BTreeMap<usize, (u64, u64)> {
        let mut late = BTreeMap::new();
        for (_, index, held, due) in &self.violations {
            late.entry(*index).or_insert((*held, *due));
        }
        late
    }
}
