//! Kinds of requests at one upstream: the mean service time of each and the mean number of slots that it holds.

use super::ranks::RANKS;
use crate::{clock::Ms, utils::hash64};

/// Identifies requests of similar service time: those of one route. Zero if the entry did not send a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kind(pub u32);

impl Kind {
    /// Returns the kind of the requests of the route `name`.
    pub fn of(name: &str) -> Kind {
        Kind((hash64(&[name.as_bytes()]) as u32).max(1))
    }
}

/// Index of a kind in [`Kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key(u16);

/// Statistics of the kinds of one upstream. The first [`RANKS`] are those of whole ranks.
#[derive(Debug)]
pub(super) struct Kinds {
    stats: Vec<KindStats>,
}

#[derive(Clone, Copy, Debug)]
struct KindStats {
    kind: Kind,
    rank: usize,
    /// Mean time that a request holds a slot, in ms.
    service: f64,
    /// Weight of the last sample in `service`.
    gain: f64,
    /// Time of the last sample.
    sampled: Option<Ms>,
    running: usize,
    /// Moving average of the number of slots held.
    mean_slots: f64,
    last_used: Ms,
}

/// Maximum number of kinds besides whole ranks.
const KINDS_MAX: usize = 32;
/// Weight of a new sample in the mean service time: some thirty samples count, half a second of a busy upstream, so that a
/// slowed upstream is noticed within a second. The first samples of a new kind weigh more, so that it soon departs from
/// the mean of its rank.
const SERVICE_GAIN: f64 = 0.03;
/// Time without a request from which the mean service time loses weight, in ms. An upstream that was slow and gets hardly
/// any requests since would else look slow for tens of answers after it has recovered.
const FRESH_MS: u64 = 1_000;
/// Half-life of the weight of the mean service time from then on, in ms.
const STALE_HALF_LIFE_MS: f64 = 2_000.0;
/// Service time assumed before the first sample, in ms.
const INITIAL_SERVICE_MS: f64 = 50.0;

impl Kinds {
    /// Creates statistics for the ranks only.
    pub(super) fn new() -> Kinds {
        let stats = (0..RANKS).map(|rank| KindStats {
            gain: SERVICE_GAIN,
            ..KindStats::new(Kind(0), rank, INITIAL_SERVICE_MS)
        });
        Kinds {
            stats: stats.collect(),
        }
    }

    /// Returns the key of `kind` in `rank`, or that of its rank if `kind` is zero or there is no room for it.
    pub(super) fn key(&mut self, now: Ms, kind: Kind, rank: usize) -> Key {
        if kind == Kind(0) {
            return Key(rank as u16);
        }
        let found = self.stats[RANKS..]
            .iter()
            .position(|it| it.kind == kind && it.rank == rank);
        let idx = match found {
            Some(it) => RANKS + it,
            None => match self.allocate(kind, rank) {
                Some(it) => it,
                None => return Key(rank as u16),
            },
        };
        self.stats[idx].last_used = now;
        Key(idx as u16)
    }

    /// Returns the mean service time of `key`, in ms.
    pub(super) fn service(&self, key: Key) -> f64 {
        self.stats[usize::from(key.0)].service
    }

    /// Returns the mean service time of all requests of `rank`, in ms.
    pub(super) fn rank_service(&self, rank: usize) -> f64 {
        self.stats[rank].service
    }

    /// Returns the number of running requests.
    pub(super) fn running(&self) -> usize {
        self.stats.iter().map(|it| it.running).sum()
    }

    /// Returns the mean number of slots held by the kinds whose rank and mean service time match `predicate`.
    pub(super) fn mean_slots(&self, predicate: impl Fn(usize, f64) -> bool) -> f64 {
        self.matching(predicate).map(|it| it.mean_slots).sum()
    }

    /// Returns the mean rate of starts of the kinds whose rank and mean service time match `predicate`, per ms.
    pub(super) fn start_rate(&self, predicate: impl Fn(usize, f64) -> bool) -> f64 {
        // Little's law: a kind that holds `mean_slots` slots starts `mean_slots / service` requests per ms.
        let rates = self.matching(predicate);
        rates.map(|it| it.mean_slots / it.service.max(1.0)).sum()
    }

    /// Returns the mean service time over all kinds, weighted by their request rates, in ms.
    pub(super) fn mean_service(&self) -> f64 {
        let held = self.mean_slots(|_, _| true);
        if held < 0.1 {
            return INITIAL_SERVICE_MS;
        }
        held / self.start_rate(|_, _| true)
    }

    /// Records the start of a request.
    pub(super) fn started(&mut self, key: Key) {
        self.stats[usize::from(key.0)].running += 1;
    }

    /// Records the end of a request; `took` is its service time, if it counts as a sample.
    pub(super) fn ended(&mut self, now: Ms, key: Key, took: Option<u64>) {
        let state = &mut self.stats[usize::from(key.0)];
        state.running -= 1;
        let rank = state.rank;
        let Some(took) = took else {
            return;
        };
        state.add_sample(now, took as f64);
        if usize::from(key.0) != rank {
            self.stats[rank].add_sample(now, took as f64);
        }
    }

    /// Updates the mean numbers of held slots; the present numbers weigh `gain`.
    pub(super) fn observe(&mut self, gain: f64) {
        for it in &mut self.stats {
            it.mean_slots += gain * (it.running as f64 - it.mean_slots);
        }
    }

    fn matching(&self, predicate: impl Fn(usize, f64) -> bool) -> impl Iterator<Item = &KindStats> {
        let stats = self.stats.iter();
        stats.filter(move |it| predicate(it.rank, it.service))
    }

    /// Returns the index for a new kind. At the maximum it replaces the least recently used kind without running
    /// requests.
    fn allocate(&mut self, kind: Kind, rank: usize) -> Option<usize> {
        let state = KindStats::new(kind, rank, self.stats[rank].service);
        if self.stats.len() < RANKS + KINDS_MAX {
            self.stats.push(state);
            return Some(self.stats.len() - 1);
        }
        let idle = self.stats.iter().enumerate().skip(RANKS);
        let idle = idle.filter(|(_, it)| it.running == 0);
        let (idx, _) = idle.min_by_key(|(_, it)| it.last_used)?;
        self.stats[idx] = state;
        Some(idx)
    }
}

impl KindStats {
    fn new(kind: Kind, rank: usize, service: f64) -> KindStats {
        KindStats {
            kind,
            rank,
            service,
            gain: 1.0,
            sampled: None,
            running: 0,
            mean_slots: 0.0,
            last_used: Ms(0),
        }
    }

    fn add_sample(&mut self, now: Ms, took: f64) {
        // The time of the request itself is not idle.
        let idle = self
            .sampled
            .map_or(0, |it| now.since(it).saturating_sub(took as u64));
        let stale = idle.saturating_sub(FRESH_MS) as f64;
        let aged = 1.0 - 0.5f64.powf(stale / STALE_HALF_LIFE_MS);
        self.gain = (self.gain / (1.0 + self.gain)).max(SERVICE_GAIN);
        self.sampled = Some(now);
        self.service += self.gain.max(aged) * (took - self.service);
    }
}
