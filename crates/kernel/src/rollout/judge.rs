//! Judges one upstream of a new build by its answers, compared with those of the old build over the same seconds.
//!
//! The node beside the upstream sees each of its answers. As an entry it also sees a share of the answers of the old
//! build, so that faults that hit both, such as a callee that sheds, don't count against the new one.

use crate::{
    admission::ranks::{RANKS, rank_of},
    clock::Ms,
    members::Evidence,
};

/// Length of a window of answers, in ms; the present and the previous one count.
const WINDOW_MS: u64 = 2_000;
/// Share of bad answers, beyond that of the old build, that is still taken for chance.
const TOLERATED: f64 = 0.03;
/// Further share of bad answers of a faulty build.
const EXCESS: f64 = 0.25;
/// Log-likelihood ratio from which a build counts as faulty.
const FAULTY_LLR: f64 = 7.0;
/// Good answers that the old build is taken to have given before, while few of its answers are known.
const PRIOR_TOTAL: f64 = 10.0;
/// Bad answers that it is taken to have given.
const PRIOR_BAD: f64 = 0.5;
/// Standard errors by which the old build's share may be above the observed one.
const ERRORS: f64 = 1.5;
/// Largest share of bad answers of the old build with which a fault can still be told from it.
const USUAL_MAX: f64 = 0.7;
/// Number of answers without suspicion for [`Evidence::Sound`].
const SOUND_MIN: u32 = 20;
/// Time under observation before [`Evidence::Sound`], in ms.
const SOUND_AFTER_MS: u64 = 4_000;
/// Factor of the old build's mean time above which an answer is slow.
const SLOW_FACTOR: u64 = 3;
/// Time after the start in which slow answers don't count, in ms: caches are cold.
const COLD_MS: u64 = 4_000;
/// Minimum number of answers of the old build to compare with.
const BASELINE_MIN: u32 = 5;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream answered.
    Answered,
    /// The upstream answered that it failed.
    Failed,
}

/// An answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Priority of the request.
    pub priority: u8,
    /// How it ended.
    pub ending: Ending,
    /// Time that it took, in ms.
    pub millis: u64,
}

/// Observations of one upstream since it came under observation.
#[derive(Debug)]
pub struct Judge {
    since: Ms,
    answered: u32,
    /// Log-likelihood ratio by rank that the build is faulty, since it was last likelier that it is not.
    suspicion: [f64; RANKS],
    is_faulty: bool,
    baseline: [Windows; RANKS],
}

/// Answers of one rank over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Windows {
    start: Ms,
    present: Counts,
    previous: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    total: u32,
    bad: u32,
    millis: u64,
}

impl Judge {
    /// Starts the observation.
    pub fn new(now: Ms) -> Judge {
        Judge {
            since: now,
            answered: 0,
            suspicion: [0.0; RANKS],
            is_faulty: false,
            baseline: [Windows::default(); RANKS],
        }
    }

    /// Records an answer of the upstream.
    pub fn observe(&mut self, now: Ms, it: Answer) {
        let rank = rank_of(it.priority);
        let is_warm = now.since(self.since) >= COLD_MS;
        let is_bad = it.ending == Ending::Failed || is_warm && self.is_slow(now, rank, it.millis);
        self.answered = self.answered.saturating_add(1);
        let usual = self.baseline[rank].sum(now).usual_share();
        let suspicion = &mut self.suspicion[rank];
        *suspicion = (*suspicion + log_likelihood(usual, is_bad)).max(0.0);
        self.is_faulty |= *suspicion >= FAULTY_LLR;
    }

    /// Records an answer of the old build, as this node sees it as the entry.
    pub fn observe_baseline(&mut self, now: Ms, it: Answer) {
        let rank = rank_of(it.priority);
        let is_bad = it.ending == Ending::Failed || self.is_slow(now, rank, it.millis);
        self.baseline[rank].add(now, is_bad, it.millis);
    }

    /// Returns what the answers show.
    pub fn evidence(&self, now: Ms) -> Evidence {
        let observed = now.since(self.since) >= SOUND_AFTER_MS && self.answered >= SOUND_MIN;
        match (self.is_faulty, observed) {
            (true, _) => Evidence::Faulty,
            (false, true) => Evidence::Sound,
            (false, false) => Evidence::Unknown,
        }
    }

    /// Returns whether an answer after `millis` ms is slow for the old build.
    fn is_slow(&mut self, now: Ms, rank: usize, millis: u64) -> bool {
        let mean = self.baseline[rank].sum(now).mean();
        mean.is_some_and(|it| millis > SLOW_FACTOR * it)
    }
}

/// Returns the log-likelihood ratio of one answer: of a faulty build over one like the old build, `usual` of whose
/// answers are bad.
fn log_likelihood(usual: f64, is_bad: bool) -> f64 {
    let faulty = usual + EXCESS;
    match is_bad {
        true => (faulty / usual).ln(),
        false => ((1.0 - faulty) / (1.0 - usual)).ln(),
    }
}

impl Windows {
    fn add(&mut self, now: Ms, is_bad: bool, millis: u64) {
        self.shift(now);
        self.present.total += 1;
        self.present.bad += u32::from(is_bad);
        self.present.millis += millis;
    }

    fn sum(&mut self, now: Ms) -> Counts {
        self.shift(now);
        Counts {
            total: self.present.total + self.previous.total,
            bad: self.present.bad + self.previous.bad,
            millis: self.present.millis + self.previous.millis,
        }
    }

    fn shift(&mut self, now: Ms) {
        let age = now.since(self.start);
        if age < WINDOW_MS {
            return;
        }
        self.previous = match age < 2 * WINDOW_MS {
            true => self.present,
            false => Counts::default(),
        };
        self.present = Counts::default();
        self.start = now;
    }
}

impl Counts {
    /// Returns the mean time of an answer, in ms, if there are enough to compare with.
    fn mean(self) -> Option<u64> {
        (self.total >= BASELINE_MIN).then(|| self.millis / u64::from(self.total))
    }

    /// Returns the share of bad answers that is usual: somewhat above the observed one, which is known from few answers.
    fn usual_share(self) -> f64 {
        let total = f64::from(self.total) + PRIOR_TOTAL;
        let share = (f64::from(self.bad) + PRIOR_BAD) / total;
        let error = (share * (1.0 - share) / total).sqrt();
        (share + ERRORS * error + TOLERATED).min(USUAL_MAX)
    }
}
