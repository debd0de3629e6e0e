//! Compares rate limiters under one hot caller and many ordinary ones: none, halving counters and token buckets.
//!
//! `cargo run --release -p laburnum-kernel --example hot_callers [seed]` prints one line per scenario and limiter.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Instant,
};

use laburnum_kernel::{
    Ms,
    admission::{Admission, AdmissionSettings, Finish, Offer, Permit, Request, Ticket, Wake},
    document::Class,
    hot::{self, Verdict},
    members::Phase,
    refusal::{Reason, Refusal},
    utils::hash64,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u16 = 6;
const SERVICE_MS: f64 = 20.0;
const DEADLINE_MS: u64 = 1_000;
const TIME_MS: u64 = 60_000;
const WARMUP_MS: u64 = 5_000;
/// Index of the caller that exceeds its limit.
const HOT: usize = 0;
/// Index of the caller that sends [`BURST`] requests at once every [`BURST_GAP_MS`], within its limit on average.
const BURSTY: usize = 1;
const BURST: usize = 10;
const BURST_GAP_MS: u64 = 2_000;

/// Time at which the hot caller reduces its rate in one scenario, in ms.
const CALM_AT_MS: u64 = 40_000;
/// Requests per second of the hot caller after [`CALM_AT_MS`].
const CALM_RATE: f64 = 5.0;

struct Scenario {
    label: &'static str,
    /// Number of ordinary callers.
    callers: usize,
    /// Requests per second of all ordinary callers together.
    rate: f64,
    /// Requests per second of the hot caller.
    hot_rate: f64,
    /// Limit of each caller, in requests per second.
    limit: u32,
    /// Time at which the hot caller reduces its rate to [`CALM_RATE`], in ms.
    calm_at: u64,
}

/// The product's limiter (token buckets) or halving counters.
enum Limiter {
    Halving(Halving),
    Bucket(hot::Limiter),
}

/// Counters of "Retaining Database Goodput Under Stress with Per-Partition Query Rate Limiting": each counter is halved
/// every second and sets the probability of a refusal.
#[derive(Default)]
struct Halving {
    counts: HashMap<u64, u32>,
    period: u64,
}

impl Limiter {
    fn admit(&mut self, now: Ms, caller: u64, limit: u32, draw: f64) -> Verdict {
        match self {
            Limiter::Halving(it) => it.admit(now, caller, limit, draw),
            Limiter::Bucket(it) => it.admit(now, caller, limit),
        }
    }
}

impl Halving {
    /// At a steady rate X the counter is X(1+f) after the fraction f of a second.
    fn admit(&mut self, now: Ms, caller: u64, limit: u32, draw: f64) -> Verdict {
        let period = now.0 / 1_000;
        if period > self.period {
            let passed = (period - self.period).min(31);
            self.period = period;
            self.counts.values_mut().for_each(|it| *it >>= passed);
        }
        let count = self.counts.entry(caller).or_default();
        *count = count.saturating_add(1);
        let part = (now.0 % 1_000) as f64 / 1_000.0;
        let refused = 1.0 - f64::from(limit) * (1.0 + part) / f64::from(*count);
        if draw >= refused {
            return Verdict::Admit;
        }
        Verdict::Refuse(Refusal::after(Reason::Limited, 1_000 - now.0 % 1_000))
    }
}

#[derive(Default)]
struct Count {
    offered: u64,
    limited: u64,
    good: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Ordinary,
    Hot,
    Burst,
    Ended(u64),
    Tick,
}

struct Run {
    rng: ChaCha8Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Step)>>,
    steps: u64,
    admission: Admission,
    limiter: Option<Limiter>,
    limit: u32,
    running: HashMap<u64, (usize, u64, Permit)>,
    waiting: HashMap<Ticket, (usize, u64)>,
    counts: HashMap<usize, Count>,
    /// Requests of the hot caller in the ten seconds after [`CALM_AT_MS`].
    after_calm: Count,
    latency: Vec<u64>,
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(1);
    println!(
        "{:22} {:8} {:>9} {:>12} {:>9} {:>10} {:>12} {:>7}",
        "scenario",
        "limiter",
        "others ok",
        "oth. limited",
        "bursty ok",
        "hot good/s",
        "calm limited",
        "p99 ms"
    );
    for scenario in scenarios() {
        for limiter in ["none", "halving", "bucket"] {
            let mut run = Run::new(limiter, scenario.limit, seed);
            run.run(&scenario);
            run.print(&scenario, limiter);
        }
    }
    for limiter in ["halving", "bucket"] {
        println!(
            "{limiter}: {:.0} ns per decision over 1,000 callers",
            decision_ns(limiter)
        );
    }
}

fn scenarios() -> [Scenario; 5] {
    let base = Scenario {
        label: "no hot caller",
        callers: 20,
        rate: 120.0,
        hot_rate: CALM_RATE,
        limit: 30,
        calm_at: TIME_MS,
    };
    [
        Scenario {
            label: "hot 2x",
            hot_rate: 600.0,
            ..base
        },
        Scenario {
            label: "hot 8x",
            hot_rate: 2_400.0,
            ..base
        },
        Scenario {
            label: "hot 8x, limit 10",
            hot_rate: 2_400.0,
            limit: 10,
            ..base
        },
        Scenario {
            label: "hot 8x, calm at 40 s",
            hot_rate: 2_400.0,
            calm_at: CALM_AT_MS,
            ..base
        },
        base,
    ]
}

fn limiter(kind: &str) -> Option<Limiter> {
    match kind {
        "halving" => Some(Limiter::Halving(Halving::default())),
        "bucket" => Some(Limiter::Bucket(hot::Limiter::default())),
        _ => None,
    }
}

impl Run {
    fn new(kind: &str, limit: u32, seed: u64) -> Run {
        let mut admission = Admission::new(AdmissionSettings::default(), SLOTS);
        admission.set_phase(Ms(0), Phase::Ready, &mut Vec::new());
        Run {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            steps: 0,
            admission,
            limiter: limiter(kind),
            limit,
            running: HashMap::new(),
            waiting: HashMap::new(),
            counts: HashMap::new(),
            after_calm: Count::default(),
            latency: Vec::new(),
        }
    }

    fn run(&mut self, scenario: &Scenario) {
        for step in [Step::Ordinary, Step::Hot, Step::Burst, Step::Tick] {
            self.after(1, step);
        }
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            self.now = at;
            if at > TIME_MS * 1_000 {
                return;
            }
            self.step(scenario, step);
        }
    }

    fn step(&mut self, scenario: &Scenario, step: Step) {
        let mut wakes = Vec::new();
        match step {
            Step::Ordinary => {
                let caller = 2 + self.rng.random_range(0..scenario.callers);
                self.offer(caller);
                self.poisson(scenario.rate, step);
            }
            Step::Hot => {
                self.offer(HOT);
                let calm = self.ms().0 >= scenario.calm_at;
                self.poisson(if calm { CALM_RATE } else { scenario.hot_rate }, step);
            }
            Step::Burst => {
                (0..BURST).for_each(|_| self.offer(BURSTY));
                self.after(BURST_GAP_MS * 1_000, step);
            }
            Step::Ended(id) => {
                let Some((caller, born, permit)) = self.running.remove(&id) else {
                    return;
                };
                self.good(caller, born);
                self.admission
                    .done(self.ms(), permit, Finish::Answered, &mut wakes);
            }
            Step::Tick => {
                self.admission.tick(self.ms(), &mut wakes);
                self.after(5_000, step);
            }
        }
        for wake in wakes {
            match wake {
                Wake::Run(ticket, permit) => {
                    if let Some((caller, born)) = self.waiting.remove(&ticket) {
                        self.start(caller, born, permit);
                    }
                }
                Wake::Refuse(ticket, _) => {
                    self.waiting.remove(&ticket);
                }
            }
        }
    }

    fn offer(&mut self, caller: usize) {
        let now = self.ms();
        let draw = self.rng.random();
        let key = hash64(&[&caller.to_le_bytes()]);
        let verdict = self
            .limiter
            .as_mut()
            .map_or(Verdict::Admit, |it| it.admit(now, key, self.limit, draw));
        let counted = now.0 >= WARMUP_MS;
        let count = self.counts.entry(caller).or_default();
        count.offered += u64::from(counted);
        if caller == HOT && (CALM_AT_MS..CALM_AT_MS + 10_000).contains(&now.0) {
            self.after_calm.offered += 1;
            self.after_calm.limited += u64::from(verdict != Verdict::Admit);
        }
        if verdict != Verdict::Admit {
            count.limited += u64::from(counted);
            return;
        }
        let request = Request {
            class: Class::Interactive,
            deadline: now + DEADLINE_MS,
        };
        match self.admission.offer(now, request) {
            Offer::Run(permit) => self.start(caller, self.now, permit),
            Offer::Wait(ticket) => {
                self.waiting.insert(ticket, (caller, self.now));
            }
            Offer::Refuse(_) => {}
        }
    }

    fn start(&mut self, caller: usize, born: u64, permit: Permit) {
        let draw = exponential(&mut self.rng);
        let took = SERVICE_MS * (0.5 + 0.5 * draw) * 1_000.0;
        let id = self.steps;
        self.running.insert(id, (caller, born, permit));
        self.after(took as u64, Step::Ended(id));
    }

    fn good(&mut self, caller: usize, born: u64) {
        if born < WARMUP_MS * 1_000 {
            return;
        }
        self.counts.entry(caller).or_default().good += 1;
        if caller != HOT {
            self.latency.push(self.now - born);
        }
    }

    fn poisson(&mut self, rate: f64, step: Step) {
        let gap = exponential(&mut self.rng) * 1_000_000.0 / rate;
        self.after(gap as u64, step);
    }

    fn after(&mut self, delay: u64, step: Step) {
        self.steps += 1;
        self.queue
            .push(Reverse((self.now + delay, self.steps, step)));
    }

    fn ms(&self) -> Ms {
        Ms(self.now / 1_000)
    }

    fn print(&mut self, scenario: &Scenario, limiter: &str) {
        let sum = |pick: fn(&Count) -> u64| -> f64 {
            let others = self.counts.iter().filter(|it| *it.0 > BURSTY);
            others.map(|it| pick(it.1)).sum::<u64>() as f64
        };
        let offered = sum(|it| it.offered);
        let one = |caller: usize| {
            self.counts
                .get(&caller)
                .map_or((0.0, 0.0), |it| (it.good as f64, it.offered as f64))
        };
        let (burst, bursts) = one(BURSTY);
        let (good, limited) = (sum(|it| it.good), sum(|it| it.limited));
        self.latency.sort_unstable();
        let p99 = self
            .latency
            .get(self.latency.len() * 99 / 100)
            .copied()
            .unwrap_or(0);
        println!(
            "{:22} {limiter:8} {:8.1}% {:11.2}% {:8.1}% {:10.1} {:11.1}% {:7.1}",
            scenario.label,
            100.0 * good / offered,
            100.0 * limited / offered,
            100.0 * burst / bursts,
            one(HOT).0 * 1_000.0 / (TIME_MS - WARMUP_MS) as f64,
            100.0 * self.after_calm.limited as f64 / self.after_calm.offered.max(1) as f64,
            p99 as f64 / 1_000.0,
        );
    }
}

fn decision_ns(kind: &str) -> f64 {
    const ROUNDS: u64 = 5_000_000;
    let mut limiter = limiter(kind).expect("a known limiter");
    let keys: Vec<u64> = (0..1_000u64)
        .map(|it| hash64(&[&it.to_le_bytes()]))
        .collect();
    let start = Instant::now();
    let admitted = (0..ROUNDS)
        .filter(|it| {
            let key = keys[(it % 1_000) as usize];
            limiter.admit(Ms(it / 1_000), key, 30, 0.5) == Verdict::Admit
        })
        .count();
    let nanos = start.elapsed().as_nanos() as f64;
    assert!(admitted > 0, "the limiter admits nothing");
    nanos / ROUNDS as f64
}

fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
