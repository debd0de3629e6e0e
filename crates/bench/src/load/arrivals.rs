//! Open-loop arrivals: the due time of each request, fixed before the run by a seed.
//!
//! A request is sent when due, whether or not earlier ones were answered, and its latency counts from then. A
//! closed loop would slow down with the system and hide queueing time.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An interactive read.
    Interactive,
    /// A filing with an idempotency key.
    Exact,
    /// A repetition of a filing with the same key.
    Repeat,
    /// An archive lookup.
    Background,
    /// A read that crashes its upstream.
    Poison,
}

/// A stream of requests of one kind for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// Index of the service in the preset.
    pub service: usize,
    /// Kind of the requests.
    pub kind: Kind,
    /// Mean rate in requests per second.
    pub rate: f64,
}

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Due time, in microseconds from the start.
    pub due: u64,
    /// Index of the service in the preset.
    pub service: usize,
    /// Kind of the request.
    pub kind: Kind,
    /// Unique number; a [`Kind::Repeat`] has the number of its original.
    pub number: u64,
}

/// Share of filings that are sent twice.
const REPEAT_SHARE: f64 = 0.1;
/// Maximum delay from a filing to its repetition, in microseconds.
const REPEAT_DELAY_MAX: u64 = 400_000;
const SECOND: f64 = 1e6;

/// Returns Poisson arrivals of every flow over `millis`, ordered by due time; repetitions may be due later.
pub fn schedule(flows: &[Flow], millis: u64, seed: u64) -> Vec<Arrival> {
    let end = millis * 1_000;
    let mut arrivals = Vec::new();
    for (idx, flow) in flows.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(idx as u64);
        add_arrivals(&mut rng, *flow, end, &mut arrivals);
    }
    arrivals.sort_by_key(|it| (it.due, it.service, it.kind, it.number));
    arrivals
}

fn add_arrivals(rng: &mut ChaCha8Rng, flow: Flow, end: u64, arrivals: &mut Vec<Arrival>) {
    if flow.rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        // `1 - x` is never zero, so the logarithm is finite.
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
        if flow.kind == Kind::Exact && rng.random_bool(REPEAT_SHARE) {
            arrivals.push(Arrival {
                due: due + rng.random_range(0..REPEAT_DELAY_MAX),
                kind: Kind::Repeat,
                ..arrival
            });
        }
    }
}
