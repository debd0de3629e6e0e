//! What is offered and what breaks, case by case.

use std::{fmt, str::FromStr};

use super::{
    arrivals::{Flow, Kind},
    preset::{Preset, Service},
};

/// One experiment, offered in turn to the nodes and to the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Instant upstreams at a moderate rate: what the path itself adds.
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
    /// Unloaded, with background requests at twice the capacity besides.
    Flood,
    /// The mix at half of capacity; every third upstream takes four times as long.
    Slow,
    /// The mix at half of capacity; upstreams crash, by themselves and by a request.
    Crash,
    /// The mix at half of capacity; an upstream stops answering on its open connections, again and again.
    Silent,
    /// The mix at half of capacity; an upstream of each service leaves.
    Drain,
    /// The mix at half of capacity; the table refuses every call for a third of the time.
    Table,
    /// Half filings, one in ten sent twice, at half of capacity; upstreams crash and the table loses answers.
    Filings,
    /// The mix at half of capacity with every fault in turn.
    Faults,
}

/// A text is no case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "not one of all, added, unloaded, half, full, double, quadruple, flood, slow, crash, silent, drain, table, filings, faults"
)]
pub struct BadCase;

/// Cases to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cases(pub Vec<Case>);

/// Shares of the capacity that each class is offered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Reads.
    pub interactive: f64,
    /// Filings, without their repetitions.
    pub exact: f64,
    /// Archive lookups.
    pub background: f64,
}

/// How the upstreams serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// For the preset's service time, on its slots.
    Usual,
    /// At once.
    Instant,
}

/// Reads that crash their upstream, a second.
const POISON_RATE: f64 = 1.0;

impl Case {
    /// Every case, in the order in which they run.
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

    /// What is offered.
    pub fn mix(self) -> Mix {
        match self {
            Case::Added | Case::Unloaded => only(0.4),
            Case::Full => mix(1.0),
            Case::Double => mix(2.0),
            Case::Quadruple => mix(4.0),
            Case::Flood => Mix {
                background: 2.0,
                ..only(0.4)
            },
            Case::Filings => Mix {
                exact: 0.25,
                ..only(0.25)
            },
            Case::Half
            | Case::Slow
            | Case::Crash
            | Case::Silent
            | Case::Drain
            | Case::Table
            | Case::Faults => mix(0.5),
        }
    }

    /// How the upstreams serve.
    pub fn work(self) -> Work {
        match self {
            Case::Added => Work::Instant,
            _ => Work::Usual,
        }
    }

    /// What arrives.
    pub fn flows(self, preset: Preset) -> Vec<Flow> {
        let services = preset.services();
        let mut flows: Vec<Flow> = services
            .iter()
            .enumerate()
            .flat_map(|(idx, it)| self.flows_of(preset, idx, it))
            .collect();
        if self.poisoned() {
            flows.push(Flow {
                service: 0,
                kind: Kind::Poison,
                rate: POISON_RATE,
            });
        }
        flows
    }

    fn flows_of(self, preset: Preset, service: usize, it: &Service) -> [Flow; 3] {
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

    fn poisoned(self) -> bool {
        matches!(self, Case::Crash | Case::Filings | Case::Faults)
    }
}

fn only(interactive: f64) -> Mix {
    Mix {
        interactive,
        exact: 0.0,
        background: 0.0,
    }
}

fn mix(load: f64) -> Mix {
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
