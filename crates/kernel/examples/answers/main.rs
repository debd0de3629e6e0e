//! Compares ways to keep large answers from filling the links of their hosts.
//!
//! Nine owners on links of 13 Mbit/s get requests with answers of 90 KB, in waves that exceed the links, and short calls.
//! Run it with `cargo run --release -p laburnum-kernel --example answers`.

mod fleet;

use std::{f64::consts::TAU, net::SocketAddr};

use laburnum_kernel::{
    Ms, NodeId,
    admission::{
        kinds::Kind,
        ranks::{RankedRequest, WaitLimit},
    },
    id::Build,
    members::{Exposure, Phase, Reach},
    pick::Outcome,
    view::Endpoint,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fleet::{Ended, Entry, Job, Owner};

pub const MBPS: f64 = 13.0;
pub const SLOTS: u16 = 12;
const OWNERS: u16 = 9;
const ENTRIES: u16 = 9;
/// Simulated time, in ms, and the part of it that is not counted.
const SPAN_MS: u64 = 66_000;
const START_MS: u64 = 1_000;
const SEEDS: u64 = 5;
/// Requests with large answers a second: their mean, and by how much of it they swing in each period.
const LARGE_PER_S: f64 = 152.0;
const SWING: f64 = 0.55;
const PERIOD_MS: f64 = 13_000.0;
const SHORT_PER_S: f64 = 400.0;
/// Mean answer in bytes and spread of its logarithm.
const LARGE_BYTES: f64 = 90_000.0;
const SPREAD: f64 = 0.6;
const SHORT_BYTES: u64 = 1_000;
/// Goal and deadline of requests with large and short answers, in ms.
const LARGE_MS: (u64, u64) = (800, 2_000);
const SHORT_MS: (u64, u64) = (250, 1_000);
/// Service times in ms.
const LARGE_SERVICE: (u64, u64) = (30, 70);
const SHORT_SERVICE: (u64, u64) = (10, 30);
const ATTEMPTS: usize = 3;

/// What accounts for the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Nothing,
    Admitted,
    Paced,
    Placed,
}

const WAYS: [(Way, &str); 4] = [
    (Way::Nothing, "no admission"),
    (Way::Admitted, "admission at the owner"),
    (Way::Paced, "and pacing"),
    (Way::Placed, "and placement by link"),
];

#[derive(Default)]
struct Tally {
    asked: u64,
    timely: u64,
    late: u64,
    refused: u64,
    failed: u64,
    times: Vec<u64>,
}

fn main() {
    println!(
        "{:24} {:>7} {:>7} {:>7} {:>7} | {:>7} {:>7} {:>7}",
        "", "timely", "late", "refused", "failed", "timely", "refused", "p99 ms"
    );
    for (way, name) in WAYS {
        let mut tallies = [Tally::default(), Tally::default()];
        for seed in 0..SEEDS {
            simulate(way, seed, &mut tallies);
        }
        let [large, short] = &mut tallies;
        let share = |part: u64, of: &Tally| 100.0 * part as f64 / of.asked as f64;
        short.times.sort_unstable();
        let p99 = short.times.get(short.times.len() * 99 / 100);
        println!(
            "{name:24} {:7.1} {:7.1} {:7.1} {:7.1} | {:7.1} {:7.1} {:7}",
            share(large.timely, large),
            share(large.late, large),
            share(large.refused, large),
            share(large.failed, large),
            share(short.timely, short),
            share(short.refused, short),
            p99.copied().unwrap_or_default(),
        );
    }
}

fn simulate(way: Way, seed: u64, tallies: &mut [Tally; 2]) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut owners: Vec<Owner> = (0..OWNERS).map(|_| Owner::new(way)).collect();
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|it| Entry::new(1_000 + it, OWNERS))
        .collect();
    for step in 0..SPAN_MS {
        let now = Ms(1_000_000 + step);
        let wave = 1.0 + SWING * (TAU * step as f64 / PERIOD_MS).sin();
        let arrivals = [
            (true, LARGE_PER_S * wave / 1_000.0),
            (false, SHORT_PER_S / 1_000.0),
        ];
        for (is_large, rate) in arrivals {
            if rng.random::<f64>() < rate {
                let job = job(&mut rng, now, is_large);
                let counted = &mut tallies[usize::from(!is_large)];
                counted.asked += u64::from(step >= START_MS);
                attempt(now, &mut rng, job, &mut entries, &mut owners, tallies);
            }
        }
        for number in 0..owners.len() {
            for ended in owners[number].step(now) {
                match ended {
                    Ended::Refused(job) => {
                        attempt(now, &mut rng, job, &mut entries, &mut owners, tallies);
                    }
                    Ended::Cut(job) => {
                        entries[job.entry].finished(now, &job, Outcome::Failed);
                        count(job, tallies, |it| it.failed += 1);
                    }
                    Ended::Answered(job) => {
                        answered(now, job, number, &mut entries, &mut owners, tallies, way);
                    }
                }
            }
        }
    }
}

/// Sends a request to one owner after another until one takes it.
fn attempt(
    now: Ms,
    rng: &mut ChaCha8Rng,
    mut job: Job,
    entries: &mut [Entry],
    owners: &mut [Owner],
    tallies: &mut [Tally; 2],
) {
    let entry = &mut entries[job.entry];
    while job.tried.len() < ATTEMPTS {
        let Some(number) = entry.choose(now, rng, &mut job) else {
            break;
        };
        let offered = owners[number].offer(now, job);
        let outlook = owners[number].outlook(now);
        entry.heard(now, number, outlook);
        match offered {
            Ok(()) => return,
            Err((back, refusal)) => {
                entry.finished(now, &back, Outcome::Refused(refusal));
                job = back;
            }
        }
    }
    count(job, tallies, |it| it.refused += 1);
}

/// Counts how a request ended, unless it started before the counted time.
fn count(job: Job, tallies: &mut [Tally; 2], add: impl FnOnce(&mut Tally)) {
    if job.started >= Ms(1_000_000 + START_MS) {
        add(&mut tallies[usize::from(!job.is_large)]);
    }
}

fn answered(
    now: Ms,
    job: Job,
    number: usize,
    entries: &mut [Entry],
    owners: &mut [Owner],
    tallies: &mut [Tally; 2],
    way: Way,
) {
    let entry = &mut entries[job.entry];
    let latency = now.since(job.started);
    entry.finished(now, &job, Outcome::Answered { latency });
    entry.heard(now, number, owners[number].outlook(now));
    if way == Way::Placed {
        entry.learn(now, job.request.kind, job.bytes);
    }
    let (goal, deadline) = (job.request.goal, job.request.deadline);
    count(job, tallies, |it| {
        it.times.push(latency);
        match now {
            _ if now <= goal => it.timely += 1,
            _ if now <= deadline => it.late += 1,
            _ => it.failed += 1,
        }
    });
}

fn job(rng: &mut ChaCha8Rng, now: Ms, is_large: bool) -> Job {
    let (kind, (goal, deadline), service) = match is_large {
        true => ("download", LARGE_MS, LARGE_SERVICE),
        false => ("lookup", SHORT_MS, SHORT_SERVICE),
    };
    Job {
        entry: rng.random_range(0..usize::from(ENTRIES)),
        is_large,
        started: now,
        request: RankedRequest {
            priority: 2,
            goal: now + goal,
            deadline: now + deadline,
            queue: WaitLimit::Full,
            kind: Kind::of(kind),
        },
        service: rng.random_range(service.0..=service.1),
        bytes: match is_large {
            true => log_normal(rng) as u64,
            false => SHORT_BYTES,
        },
        tried: Vec::new(),
    }
}

/// Returns the size of a large answer: log-normal with the mean [`LARGE_BYTES`].
fn log_normal(rng: &mut ChaCha8Rng) -> f64 {
    let (u, v): (f64, f64) = (rng.random::<f64>().max(1e-12), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (TAU * v).cos();
    LARGE_BYTES * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp()
}

pub fn id(number: u16) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, 1], number + 1)))
}

pub fn endpoint(number: u16) -> Endpoint {
    Endpoint {
        node: id(number),
        incarnation: 1,
        traffic: id(number).0,
        region: "cairo".parse().expect("a name"),
        zone: "nasr".parse().expect("a name"),
        phase: Phase::Ready,
        reach: Reach::Reachable,
        slots: SLOTS,
        build: Build::default(),
        exposure: Exposure::Full,
    }
}
