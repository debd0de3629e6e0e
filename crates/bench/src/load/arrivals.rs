//! Open-loop arrivals: when each request is due, fixed before the run by a seed.
//!
//! A request is sent when it is due, whether or not earlier ones were answered, and its latency counts from
//! then. A closed loop would slow down together with what it measures and hide the wait.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A read that somebody waits for.
    Interactive,
    /// A filing with an idempotency key.
    Exact,
    /// The same filing once more, with the same key.
    Again,
    /// An archive lookup.
    Background,
    /// A read that crashes its upstream.
    Poison,
}

/// A stream of like requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// Index of the service in the preset.
    pub service: usize,
    /// What they are for.
    pub kind: Kind,
    /// Requests a second, on average.
    pub rate: f64,
}

/// One request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is due, in microseconds from the start.
    pub due: u64,
    /// Index of the service in the preset.
    pub service: usize,
    /// What it is for.
    pub kind: Kind,
    /// Tells requests apart; [`Kind::Again`] has the number of its first.
    pub number: u64,
}

/// Share of filings that are sent twice.
const AGAIN_SHARE: f64 = 0.1;
/// Longest time from a filing to its repetition, in microseconds.
const AGAIN_MAX: u64 = 400_000;
const SECOND: f64 = 1e6;

/// Poisson arrivals of every flow over `millis`, in order of their time.
pub fn schedule(flows: &[Flow], millis: u64, seed: u64) -> Vec<Arrival> {
    let end = millis * 1_000;
    let mut arrivals = Vec::new();
    for (idx, flow) in flows.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(idx as u64);
        stream(&mut rng, *flow, end, &mut arrivals);
    }
    arrivals.sort_by_key(|it| (it.due, it.service, it.kind, it.number));
    arrivals
}

fn stream(rng: &mut ChaCha8Rng, flow: Flow, end: u64, arrivals: &mut Vec<Arrival>) {
    if flow.rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        // `1 - x` is never zero, so that the logarithm is finite.
        let gap = -(1.0 - rng.random::<f64>()).ln() / flow.rate;
        at += gap * SECOND;
        let due = at as u64;
        if due >= end {
            return;
        }
        let arrival = Arrival {
            due,
            service: flow.service,
            kind: flow.kind,
            number: arrivals.len() as u64,
        };
        arrivals.push(arrival);
        if flow.kind == Kind::Exact && rng.random_bool(AGAIN_SHARE) {
            arrivals.push(Arrival {
                due: due + rng.random_range(0..AGAIN_MAX),
                kind: Kind::Again,
                ..arrival
            });
        }
    }
}
