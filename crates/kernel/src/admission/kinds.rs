//! Kinds of requests at one upstream: how long each holds a slot, and how many slots each held of late.

use super::ranks::RANKS;
use crate::{clock::Ms, utils::hash64};

/// What entries call requests that take alike: the same for all of one route. Zero if an entry does not say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kind(pub u32);

impl Kind {
    /// The kind of requests of the route `name`.
    pub fn of(name: &str) -> Kind {
        Kind((hash64(&[name.as_bytes()]) as u32).max(1))
    }
}

/// A kind as [`Kinds`] knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key(u16);

/// The kinds of one upstream. The first [`RANKS`] stand for whole ranks.
#[derive(Debug)]
pub(super) struct Kinds {
    known: Vec<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    kind: Kind,
    rank: usize,
    /// Mean time that a request holds a slot, in ms.
    service: f64,
    /// Smallest share of the next sample in it.
    gain: f64,
    running: usize,
    /// Mean number of slots held of late.
    held: f64,
    used: Ms,
}

/// Most kinds told apart besides whole ranks: an upstream serves a few routes and is called by a few more.
const KINDS_MAX: usize = 32;
/// Share of a new sample in the mean time that a request holds a slot: some thirty samples, half a second of a busy
/// upstream, so a slowed upstream is noticed within a second. A new kind's first samples count for more, so that it is
/// not held against the mean of its rank for long.
const SERVICE_GAIN: f64 = 0.03;
/// Hold time assumed before the first sample, in ms.
const SERVICE_FIRST: f64 = 50.0;

impl Kinds {
    /// None but the ranks.
    pub(super) fn new() -> Kinds {
        let known = (0..RANKS).map(|rank| State {
            gain: SERVICE_GAIN,
            ..State::new(Kind(0), rank, SERVICE_FIRST)
        });
        Kinds {
            known: known.collect(),
        }
    }

    /// The key of `kind` in `rank`; that of its rank if it is not known and there is no room for it.
    pub(super) fn key(&mut self, now: Ms, kind: Kind, rank: usize) -> Key {
        if kind == Kind(0) {
            return Key(rank as u16);
        }
        let found = self.known[RANKS..]
            .iter()
            .position(|it| it.kind == kind && it.rank == rank);
        let at = match found {
            Some(it) => RANKS + it,
            None => match self.room(kind, rank) {
                Some(it) => it,
                None => return Key(rank as u16),
            },
        };
        self.known[at].used = now;
        Key(at as u16)
    }

    /// Mean time that a request of `key` holds a slot, in ms.
    pub(super) fn service(&self, key: Key) -> f64 {
        self.known[usize::from(key.0)].service
    }

    /// The same of a whole rank.
    pub(super) fn rank_service(&self, rank: usize) -> f64 {
        self.known[rank].service
    }

    /// Requests running.
    pub(super) fn running(&self) -> usize {
        self.known.iter().map(|it| it.running).sum()
    }

    /// Slots held of late by kinds for which `holds` is true of their rank and mean hold time.
    pub(super) fn held(&self, holds: impl Fn(usize, f64) -> bool) -> f64 {
        let kinds = self.known.iter().filter(|it| holds(it.rank, it.service));
        kinds.map(|it| it.held).sum()
    }

    /// Mean time that the running requests hold a slot, in ms.
    pub(super) fn mean(&self) -> f64 {
        let held: f64 = self.known.iter().map(|it| it.held).sum();
        if held < 0.1 {
            return SERVICE_FIRST;
        }
        // Slots held divided by holds begun a unit of time; a kind begins held/service of them.
        let begun: f64 = self
            .known
            .iter()
            .map(|it| it.held / it.service.max(1.0))
            .sum();
        held / begun
    }

    /// Notes that a request has started.
    pub(super) fn started(&mut self, key: Key) {
        self.known[usize::from(key.0)].running += 1;
    }

    /// Notes that a request has ended, and how long it held its slot if that says something.
    pub(super) fn ended(&mut self, key: Key, took: Option<u64>) {
        let state = &mut self.known[usize::from(key.0)];
        state.running -= 1;
        let rank = state.rank;
        let Some(took) = took else {
            return;
        };
        state.sample(took as f64);
        if usize::from(key.0) != rank {
            self.known[rank].sample(took as f64);
        }
    }

    /// Brings the slots held of late up to date: what runs now counts with `gain`.
    pub(super) fn observe(&mut self, gain: f64) {
        for it in &mut self.known {
            it.held += gain * (it.running as f64 - it.held);
        }
    }

    /// A place for a new kind: a free one, or that of the kind that was not asked for for longest and runs nothing.
    fn room(&mut self, kind: Kind, rank: usize) -> Option<usize> {
        let state = State::new(kind, rank, self.known[rank].service);
        if self.known.len() < RANKS + KINDS_MAX {
            self.known.push(state);
            return Some(self.known.len() - 1);
        }
        let idle = self.known.iter().enumerate().skip(RANKS);
        let idle = idle.filter(|(_, it)| it.running == 0);
        let (at, _) = idle.min_by_key(|(_, it)| it.used)?;
        self.known[at] = state;
        Some(at)
    }
}

impl State {
    fn new(kind: Kind, rank: usize, service: f64) -> State {
        State {
            kind,
            rank,
            service,
            gain: 1.0,
            running: 0,
            held: 0.0,
            used: Ms(0),
        }
    }

    fn sample(&mut self, took: f64) {
        self.gain = (self.gain / (1.0 + self.gain)).max(SERVICE_GAIN);
        self.service += self.gain * (took - self.service);
    }
}
