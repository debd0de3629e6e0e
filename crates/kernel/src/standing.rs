//! What an upstream says about itself in its answers: the requests per second that it takes, and that it leaves.
//!
//! The node beside the upstream learns this from every answer. Entries remember what owners report and tell it to an
//! owner whose process has restarted since ([`Standings`]), so that a restart does not lift a limit.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    str::FromStr,
};

use crate::{
    clock::Ms,
    id::NodeId,
    instance::Start,
    utils::{hash64, parse_thousandths},
};

/// A number of requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u64);

/// Units of [`Rate`] in one request per second.
const PER_REQUEST: u64 = 1_000;

/// The text is not a [`Rate`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("rate {0:?} is not valid: use a decimal number of requests per second, such as 12.5")]
pub struct BadRate(pub String);

impl Rate {
    /// Creates a rate of `millis` thousandths of a request per second.
    pub const fn from_millis(millis: u64) -> Rate {
        Rate(millis)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per ms.
    pub fn per_ms(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / PER_REQUEST, self.0 % PER_REQUEST)
    }
}

impl FromStr for Rate {
    type Err = BadRate;

    /// Reads digits with an optional fraction. Signs, exponents and words such as `inf` are no rates.
    fn from_str(text: &str) -> Result<Rate, BadRate> {
        let bad = || BadRate(text.chars().take(32).collect());
        parse_thousandths(text).map(Rate).ok_or_else(bad)
    }
}

/// Identifies one start of an upstream between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartTag(pub u32);

impl From<&Start> for StartTag {
    fn from(it: &Start) -> StartTag {
        StartTag(hash64(&[it.id.as_bytes(), &it.born.to_le_bytes()]) as u32)
    }
}

/// What one answer says about the rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedLimit {
    /// Nothing: there is none.
    Absent,
    /// The upstream takes so many requests per second from all nodes together.
    Rate(Rate),
    /// Something that is no rate, which changes nothing.
    Invalid,
}

/// What one answer of an upstream says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The rate limit.
    pub limit: NamedLimit,
    /// Whether the upstream leaves.
    pub leaving: bool,
}

/// What is known of an upstream from its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Requests per second that it takes from all nodes together; `None` if it does not limit them.
    pub limit: Option<Rate>,
    /// Whether it leaves, which it never takes back.
    pub leaving: bool,
}

/// The standing of the upstream beside this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    standing: Standing,
    /// Time of the last answer that named a limit.
    named: Ms,
    /// Whether an answer has arrived since the start of the upstream or of this process.
    answered: bool,
}

impl Observed {
    /// Returns the standing.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Applies an answer to a request that was sent at `sent`. Returns the standing if it changed, or if this is the first
    /// answer and confirms a limit that another node remembered.
    ///
    /// A limit ends with an answer that names none, unless its request was sent before the limit was named: answers
    /// that were on their way together may arrive in any order.
    pub fn observe(&mut self, now: Ms, sent: Ms, it: Statement) -> Option<Standing> {
        let is_first = !std::mem::replace(&mut self.answered, true);
        let before = self.standing;
        self.standing.leaving |= it.leaving;
        match it.limit {
            NamedLimit::Rate(rate) => {
                self.standing.limit = Some(rate);
                self.named = now;
            }
            NamedLimit::Absent if sent >= self.named => self.standing.limit = None,
            NamedLimit::Absent | NamedLimit::Invalid => {}
        }
        let confirmed = is_first && self.standing.limit.is_some();
        (confirmed || self.standing != before).then_some(self.standing)
    }

    /// Applies what another node remembers, unless an answer has told better. Returns the standing if it changed.
    ///
    /// Of several limits the lowest holds: the others may be older, and the next answer tells which is right. Whatever it
    /// tells is newer than any memory.
    pub fn adopt(&mut self, it: Standing) -> Option<Standing> {
        let before = self.standing;
        self.standing.leaving |= it.leaving;
        let lowest = [before.limit, it.limit].into_iter().flatten().min();
        if !self.answered && lowest != before.limit {
            self.standing.limit = lowest;
        }
        (self.standing != before).then_some(self.standing)
    }
}

/// Standing of one start of an upstream, as nodes tell it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The start that it is about.
    pub start: StartTag,
    /// The standing.
    pub standing: Standing,
}

/// The text is not a valid [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "standing {0:?} is not valid: use start/limit/leaving, such as 1f/12.500/0; update both nodes"
)]
pub struct BadReport(pub String);

/// Text in place of the rate where there is no limit.
const UNLIMITED: &str = "-";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = u8::from(self.standing.leaving);
        match self.standing.limit {
            Some(limit) => write!(f, "{:x}/{limit}/{leaving}", self.start.0),
            None => write!(f, "{:x}/{UNLIMITED}/{leaving}", self.start.0),
        }
    }
}

impl FromStr for Report {
    type Err = BadReport;

    fn from_str(text: &str) -> Result<Report, BadReport> {
        let bad = || BadReport(text.chars().take(80).collect());
        let parts: Vec<&str> = text.split('/').collect();
        let [start, limit, leaving] = parts.as_slice() else {
            return Err(bad());
        };
        let limit = match *limit {
            UNLIMITED => None,
            it => Some(it.parse().map_err(|_| bad())?),
        };
        let leaving = match *leaving {
            "0" => false,
            "1" => true,
            _ => return Err(bad()),
        };
        Ok(Report {
            start: StartTag(u32::from_str_radix(start, 16).map_err(|_| bad())?),
            standing: Standing { limit, leaving },
        })
    }
}

/// What an entry remembers of upstreams that limit their requests or leave, by owner.
#[derive(Debug, Default)]
pub struct Standings {
    reports: BTreeMap<NodeId, Report>,
    /// The owners in `reports`, the oldest first.
    order: VecDeque<NodeId>,
}

/// Maximum number of remembered reports; each is a few tens of bytes.
const REPORTS_MAX: usize = 1_024;

impl Standings {
    /// Records what `owner` reported.
    pub fn record(&mut self, owner: NodeId, it: Report) {
        if it.standing == Standing::default() {
            if self.reports.remove(&owner).is_some() {
                self.order.retain(|other| *other != owner);
            }
            return;
        }
        if self.reports.insert(owner, it).is_some() {
            return;
        }
        self.order.push_back(owner);
        if self.order.len() > REPORTS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.reports.remove(&oldest);
        }
    }

    /// Returns the last report of `owner` that says more than that all is well.
    pub fn of(&self, owner: NodeId) -> Option<Report> {
        self.reports.get(&owner).copied()
    }
}
