//! Fault injection of the platform stand-in: decides per call, deterministically by a seed and without I/O.

use std::{fmt, str::FromStr};

use laburnum_kernel::{Ms, platform::Fault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Injected faults. The default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Faults {
    /// Outage of the platform. Default: none.
    pub outage: Outage,
    /// Delay from the operation's effect to its answer, in ms. Default: 0.
    pub slow: u64,
    /// Delay until the operation takes effect, in ms, even if its caller has timed out. Default: 0.
    pub late: u64,
    /// Share of writes whose answer is lost after they took effect. Default: 0.
    pub lost: Share,
    /// How answers are sent. Default: whole.
    pub answers: Answers,
    /// Limit of rows written per second; 0 for no limit. Default: 0.
    pub writes: u64,
    /// Limit of rows read per second; 0 for no limit. Default: 0.
    pub reads: u64,
}

/// Kind of outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Calls are answered.
    #[default]
    None,
    /// Calls are refused at once and have no effect.
    Refuse,
    /// Calls are never answered and have no effect.
    Hang,
}

/// How answers are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answers {
    /// The answer is complete.
    #[default]
    Whole,
    /// The connection ends within the body.
    Truncated,
    /// The body is not JSON.
    Malformed,
}

/// A share between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

/// Error for a text that is not one of the words of its type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not one of {0}")]
pub struct BadWord(&'static str);

/// Error for a number that is not a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a number between 0 and 1")]
pub struct BadShare;

/// Counters of the calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads carried out.
    pub reads: u64,
    /// Writes carried out, conflicts included.
    pub writes: u64,
    /// Rows and objects read.
    pub read_rows: u64,
    /// Rows and objects written.
    pub write_rows: u64,
    /// Calls refused by a rate limit.
    pub throttled: u64,
    /// Calls refused or left unanswered in an outage.
    pub refused: u64,
    /// Answers lost after the write took effect.
    pub lost: u64,
}

/// Kind of operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The operation changes nothing.
    Read,
    /// The operation changes rows or objects.
    Write,
}

/// Decision on one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Carry it out after `late` ms, wait `slow` ms, then deliver its answer.
    Run {
        late: u64,
        slow: u64,
        delivery: Delivery,
    },
    /// Refuse it; it has no effect.
    Refuse(Fault),
    /// Never answer it; it has no effect.
    Hang,
}

/// Delivery of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Sent as [`Answers`] says.
    Sent(Answers),
    /// Not sent; the connection is closed instead.
    Lost,
}

/// Decides how each call is served.
#[derive(Debug)]
pub struct Injector {
    faults: Faults,
    rng: ChaCha8Rng,
    reads: Bucket,
    writes: Bucket,
    stats: Stats,
}

/// Token bucket with the capacity of one second that admits a call while a whole row is left. Its level may become
/// negative, as the rows of a call are known only afterwards.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Rows per second; 0 for no limit.
    rate: u64,
    /// Remaining rows, in thousandths.
    level: i64,
    filled: Ms,
}

impl Injector {
    /// Returns an injector without faults; `seed` makes its random choices reproducible.
    pub fn new(seed: u64) -> Injector {
        Injector {
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            reads: Bucket::default(),
            writes: Bucket::default(),
            stats: Stats::default(),
        }
    }

    /// Injects `faults` from `now` on.
    pub fn set(&mut self, now: Ms, faults: Faults) {
        if faults.reads != self.faults.reads {
            self.reads = Bucket::full(now, faults.reads);
        }
        if faults.writes != self.faults.writes {
            self.writes = Bucket::full(now, faults.writes);
        }
        self.faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.faults
    }

    /// Returns the counters of the calls so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Decides one call.
    pub fn plan(&mut self, now: Ms, kind: Kind) -> Plan {
        match self.faults.outage {
            Outage::None => {}
            Outage::Refuse => {
                self.stats.refused += 1;
                return Plan::Refuse(Fault::Unavailable);
            }
            Outage::Hang => {
                self.stats.refused += 1;
                return Plan::Hang;
            }
        }
        if let Err(after) = self.bucket(kind).admit(now) {
            self.stats.throttled += 1;
            return Plan::Refuse(Fault::Throttled { after });
        }
        Plan::Run {
            late: self.faults.late,
            slow: self.faults.slow,
            delivery: self.delivery(kind),
        }
    }

    /// Counts a call that read or wrote `rows` rows, and charges them to the rate limit.
    pub fn charge(&mut self, now: Ms, kind: Kind, rows: usize) {
        let rows = rows.max(1) as u64;
        self.bucket(kind).take(now, rows);
        match kind {
            Kind::Read => {
                self.stats.reads += 1;
                self.stats.read_rows += rows;
            }
            Kind::Write => {
                self.stats.writes += 1;
                self.stats.write_rows += rows;
            }
        }
    }

    fn delivery(&mut self, kind: Kind) -> Delivery {
        let lost = kind == Kind::Write && self.rng.random_bool(self.faults.lost.0);
        if lost {
            self.stats.lost += 1;
            return Delivery::Lost;
        }
        Delivery::Sent(self.faults.answers)
    }

    fn bucket(&mut self, kind: Kind) -> &mut Bucket {
        match kind {
            Kind::Read => &mut self.reads,
            Kind::Write => &mut self.writes,
        }
    }
}

impl Bucket {
    fn full(now: Ms, rate: u64) -> Bucket {
        Bucket {
            rate,
            level: capacity(rate),
            filled: now,
        }
    }

    /// Admits a call, or returns the time until one is admitted, in ms.
    fn admit(&mut self, now: Ms) -> Result<(), u64> {
        self.fill(now);
        let missing = capacity(1).saturating_sub(self.level);
        if self.rate == 0 || missing <= 0 {
            return Ok(());
        }
        Err(missing.unsigned_abs().div_ceil(self.rate))
    }

    fn take(&mut self, now: Ms, rows: u64) {
        self.fill(now);
        if self.rate > 0 {
            self.level = self.level.saturating_sub(capacity(rows));
        }
    }

    fn fill(&mut self, now: Ms) {
        let gained = now.since(self.filled).saturating_mul(self.rate);
        let gained = i64::try_from(gained).unwrap_or(i64::MAX);
        self.level = self.level.saturating_add(gained).min(capacity(self.rate));
        self.filled = self.filled.max(now);
    }
}

/// Returns the level of `rows` rows, in thousandths of a row.
fn capacity(rows: u64) -> i64 {
    i64::try_from(rows.saturating_mul(1000)).unwrap_or(i64::MAX)
}

impl TryFrom<f64> for Share {
    type Error = BadShare;

    fn try_from(share: f64) -> Result<Share, BadShare> {
        match (0.0..=1.0).contains(&share) {
            true => Ok(Share(share)),
            false => Err(BadShare),
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> f64 {
        share.0
    }
}

impl FromStr for Share {
    type Err = BadShare;

    fn from_str(text: &str) -> Result<Share, BadShare> {
        let share: f64 = text.parse().map_err(|_| BadShare)?;
        share.try_into()
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Outage {
    type Err = BadWord;

    fn from_str(text: &str) -> Result<Outage, BadWord> {
        match text {
            "none" => Ok(Outage::None),
            "refuse" => Ok(Outage::Refuse),
            "hang" => Ok(Outage::Hang),
            _ => Err(BadWord("none, refuse, hang")),
        }
    }
}

impl FromStr for Answers {
    type Err = BadWord;

    fn from_str(text: &str) -> Result<Answers, BadWord> {
        match text {
            "whole" => Ok(Answers::Whole),
            "truncated" => Ok(Answers::Truncated),
            "malformed" => Ok(Answers::Malformed),
            _ => Err(BadWord("whole, truncated, malformed")),
        }
    }
}
