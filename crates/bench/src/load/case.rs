//! The cases: offered load and service time of each.

use std::{fmt, str::FromStr};

use super::{
    arrivals::{Flow, Kind},
    preset::{Preset, Service},
};

/// One experiment, run with the nodes and with the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Instant upstreams at a moderate rate: the latency that the nodes add.
    Added,
    /// Only interactive requests at 0.4 of capacity.
    Unloaded,
    /// The mix at half of capacity.
    Half,
    /// The mix at capacity.
    Full,
    /// The mix at twice the capacity.
    Double,
    /// The mix at four times the capacity.
    Quadruple,
    /// Like [`Case::Unloaded`], with background requests at twice the capacity.
    Flood,
    /// The mix at half of capacity; every third upstream takes four times as long.
    Slow,
    /// The mix at half of capacity; upstreams crash on schedule and by poison requests.
    Crash,
    /// The mix at half of capacity; an upstream repeatedly stops answering on its open connections.
    Silent,
    /// The mix at half of capacity; one upstream of each service drains and leaves.
    Drain,
    /// The mix at half of capacity; the table rejects every call for a third of the time.
    Table,
    /// Reads and filings at half of capacity, one filing in ten sent twice; upstreams crash and the table
    /// loses answers.
    Filings,
    /// The mix at half of capacity with every fault in turn.
    Faults,
}

/// The error of a text that names no case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "not one of all, added, unloaded, half, full, double, quadruple, flood, slow, crash, silent, drain, table, filings, faults"
)]
pub struct BadCase;

/// A list of cases, or `all`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cases(pub Vec<Case>);

/// Offered load of each class, as a share of the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Reads.
    pub interactive: f64,
    /// Filings, excluding repetitions.
    pub exact: f64,
    /// Archive lookups.
    pub background: f64,
}

/// Service time of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceTime {
    /// The preset's service time and slots.
    Preset,
    /// No service time.
    Instant,
}

/// Rate of requests that crash their upstream, per second.
const POISON_RATE: f64 = 1.0;

impl Case {
    /// All cases, in the order in which they run.
    pub const ALL: [Case; 14] = [
        Case::Added,
        Case::Unloaded,
        Case::Half,
        Case::Full,
        Case::Double,
        Case::Quadruple,
        Case::Flood,
        Case::Slow,
        Case::Crash,
        Case::Silent,
        Case::Drain,
        Case::Table,
        Case::Filings,
        Case::Faults,
    ];

    /// Returns the offered load.
    pub fn mix(self) -> Mix {
        match self {
            Case::Added | Case::Unloaded => interactive_only(0.4),
            Case::Full => mixed(1.0),
            Case::Double => mixed(2.0),
            Case::Quadruple => mixed(4.0),
            Case::Flood => Mix {
                background: 2.0,
                ..interactive_only(0.4)
            },
            Case::Filings => Mix {
                exact: 0.25,
                ..interactive_only(0.25)
            },
            Case::Half
            | Case::Slow
            | Case::Crash
            | Case::Silent
            | Case::Drain
            | Case::Table
            | Case::Faults => mixed(0.5),
        }
    }

    /// Returns the service time of the upstreams.
    pub fn service_time(self) -> ServiceTime {
        match self {
            Case::Added => ServiceTime::Instant,
            _ => ServiceTime::Preset,
        }
    }

    /// Returns the flows of requests.
    pub fn flows(self, preset: Preset) -> Vec<Flow> {
        let services = preset.services();
        let mut flows: Vec<Flow> = services
            .iter()
            .enumerate()
            .flat_map(|(idx, it)| self.service_flows(preset, idx, it))
            .collect();
        if self.has_poison() {
            flows.push(Flow {
                service: 0,
                kind: Kind::Poison,
                rate: POISON_RATE,
            });
        }
        flows
    }

    fn service_flows(self, preset: Preset, service: usize, it: &Service) -> [Flow; 3] {
        let capacity = preset.capacity(it);
        let mix = self.mix();
        [
            (Kind::Interactive, mix.interactive),
            (Kind::Exact, mix.exact),
            (Kind::Background, mix.background),
        ]
        .map(|(kind, share)| Flow {
            service,
            kind,
            rate: share * capacity,
        })
    }

    fn has_poison(self) -> bool {
        matches!(self, Case::Crash | Case::Filings | Case::Faults)
    }
}

fn interactive_only(interactive: f64) -> Mix {
    Mix {
        interactive,
        exact: 0.0,
        background: 0.0,
    }
}

fn mixed(load: f64) -> Mix {
    Mix {
        interactive: 0.7 * load,
        exact: 0.1 * load,
        background: 0.2 * load,
    }
}

impl FromStr for Cases {
    type Err = BadCase;

    fn from_str(text: &str) -> Result<Cases, BadCase> {
        if text == "all" {
            return Ok(Cases(Case::ALL.to_vec()));
        }
        let cases = text.split(',').map(|word| {
            let named = |it: &Case| it.to_string() == word;
            Case::ALL.into_iter().find(named).ok_or(BadCase)
        });
        Ok(Cases(cases.collect::<Result<_, _>>()?))
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Case::Added => "added",
            Case::Unloaded => "unloaded",
            Case::Half => "half",
            Case::Full => "full",
            Case::Double => "double",
            Case::Quadruple => "quadruple",
            Case::Flood => "flood",
            Case::Slow => "slow",
            Case::Crash => "crash",
            Case::Silent => "silent",
            Case::Drain => "drain",
            Case::Table => "table",
            Case::Filings => "filings",
            Case::Faults => "faults",
        })
    }
}
