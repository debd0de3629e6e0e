//! Time per load balancing and admission decision.

use std::time::Instant;

use laburnum_kernel::{
    Ms,
    admission::{Admission, AdmissionSettings, Finish, Offer, Request},
    document::Class,
    members::Phase,
    pick::{Choice, Outcome},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    actors::{Entry, Owner},
    scenario::{Scenario, nile},
};

const ROUNDS: u64 = 1_000_000;
const ENDPOINTS: usize = 300;

/// Returns the time of one pick with its start and end among [`ENDPOINTS`] endpoints, in ns.
pub fn pick_ns() -> f64 {
    let scenario = Scenario {
        endpoints: ENDPOINTS,
        ..nile()
    };
    let settings = AdmissionSettings::default();
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|it| Owner::new(&scenario, &settings, it).endpoint(scenario.slots))
        .collect();
    let mut picker = Entry::new(0, 0, &endpoints).picker;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Ms(round / 10);
        if let Choice::Send(it) | Choice::Probe(it) =
            picker.pick(now, &mut rng, Class::Interactive, &[])
        {
            picker.started(now, it.node);
            let outcome = Outcome::Answered { latency: 20 };
            picker.finished(now, it.node, Class::Interactive, outcome, None);
        }
    }
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

/// Returns the time of one offer and its end at an owner, in ns.
pub fn admit_ns() -> f64 {
    let mut admission = Admission::new(AdmissionSettings::default(), 12);
    admission.set_phase(Ms(0), Phase::Ready, &mut Vec::new());
    let mut wakes = Vec::new();
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Ms(round / 10);
        let request = Request {
            class: Class::Interactive,
            deadline: now + 1_000,
        };
        if let Offer::Run(permit) = admission.offer(now, request) {
            admission.done(now + 1, permit, Finish::Answered, &mut wakes);
        }
    }
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}
