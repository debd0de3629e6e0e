//! Discrete-event simulation of entries, owners and upstreams, in microseconds.

use std::{cmp::Reverse, collections::BinaryHeap};

use laburnum_kernel::{
    Ms, NodeId,
    admission::{AdmissionSettings, Finish, Offer, Permit, Request, Wake},
    document::{self, Class, Repeat},
    pick::{Choice, Outcome},
    refusal::Refusal,
    retry::{Deadline, Failure, Next, Retry, Tree, Untried},
    view::Endpoint,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    actors::{Entry, Owner},
    report::Report,
    scenario::{Policy, SILENT_FROM, Scenario},
    step::{Answer, Step},
};

/// Classes in the order of the arrays of a [`Report`].
pub const CLASSES: [Class; 3] = [Class::Interactive, Class::Exact, Class::Background];

const WARMUP_US: u64 = 3_000_000;
const TICK_US: u64 = 5_000;
const RETRIES: u32 = 3;

struct Call {
    class: usize,
    entry: usize,
    born: u64,
    deadline: Deadline,
    retry: Retry,
    tried: Vec<NodeId>,
    attempt: u32,
    sent: u64,
    open: bool,
}

/// State of one simulation.
pub struct Sim {
    scenario: Scenario,
    policy: Policy,
    rng: ChaCha8Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Step)>>,
    steps: u64,
    calls: Vec<Call>,
    entries: Vec<Entry>,
    owners: Vec<Owner>,
    report: Report,
}

/// Runs `scenario` under `policy`.
pub fn run(scenario: &Scenario, policy: Policy, settings: &AdmissionSettings, seed: u64) -> Report {
    let mut sim = Sim::new(scenario.clone(), policy, settings, seed);
    sim.run();
    sim.report
}

impl Sim {
    fn new(scenario: Scenario, policy: Policy, settings: &AdmissionSettings, seed: u64) -> Sim {
        let owners: Vec<Owner> = (0..scenario.endpoints)
            .map(|idx| Owner::new(&scenario, settings, idx))
            .collect();
        let endpoints: Vec<Endpoint> = owners
            .iter()
            .map(|it| it.endpoint(scenario.slots))
            .collect();
        let entries = (0..2 * scenario.zones)
            .map(|idx| Entry::new(idx % scenario.zones, idx, &endpoints))
            .collect();
        Sim {
            report: Report {
                capacity: owners.iter().map(Owner::capacity).sum::<f64>()
                    * (scenario.time - WARMUP_US) as f64
                    * f64::from(scenario.slots),
                ..Report::default()
            },
            scenario,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            steps: 0,
            calls: Vec::new(),
            entries,
            owners,
        }
    }

    fn run(&mut self) {
        for class in 0..CLASSES.len() {
            self.next_arrival(class);
        }
        for owner in 0..self.owners.len() {
            self.after(TICK_US, Step::Tick { owner });
        }
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            if at > self.scenario.time {
                return;
            }
            self.now = at;
            self.step(step);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { class } => self.arrive(class),
            Step::Attempt { call } => self.attempt(call),
            Step::AtOwner {
                call,
                attempt,
                owner,
            } => self.at_owner(call, attempt, owner),
            Step::Ended {
                call,
                attempt,
                owner,
                work,
            } => self.ended(call, attempt, owner, work),
            Step::AtEntry {
                call,
                attempt,
                owner,
                answer,
            } => {
                self.at_entry(call, attempt, owner, answer);
            }
            Step::Timeout { call, attempt } => self.timeout(call, attempt),
            Step::Tick { owner } => {
                let mut wakes = Vec::new();
                let now = self.ms();
                self.owners[owner].admission.tick(now, &mut wakes);
                self.wake(owner, wakes);
                self.after(TICK_US, Step::Tick { owner });
            }
        }
    }

    fn arrive(&mut self, class: usize) {
        self.next_arrival(class);
        let deadline = Deadline::after(self.ms(), self.scenario.deadline[class] / 1_000);
        let repeat = match CLASSES[class] {
            Class::Exact => Repeat::Never,
            _ => Repeat::Idempotent,
        };
        let policy = document::Retry {
            attempts: 3,
            budget: 10,
        };
        let call = self.calls.len();
        self.calls.push(Call {
            class,
            entry: self.rng.random_range(0..self.entries.len()),
            born: self.now,
            deadline,
            retry: Retry::new(&policy, repeat, deadline, Tree::default()),
            tried: Vec::new(),
            attempt: 0,
            sent: 0,
            open: true,
        });
        if self.is_measured(call) {
            self.report.offered[class] += 1;
        }
        self.attempt(call);
    }

    fn attempt(&mut self, id: usize) {
        let now = self.ms();
        let entry = &mut self.entries[self.calls[id].entry];
        let call = &mut self.calls[id];
        let owner = match self.policy {
            Policy::Baseline => {
                entry.turn += 1;
                entry.turn % self.owners.len()
            }
            Policy::Managed => {
                let class = CLASSES[call.class];
                match entry.picker.pick(now, &mut self.rng, class, &call.tried) {
                    Choice::Send(it) | Choice::Probe(it) => {
                        entry.picker.started(now, it.node);
                        call.tried.push(it.node);
                        call.retry.attempt();
                        usize::from(it.node.0.port())
                    }
                    Choice::Refuse(_) => return self.give_up(id),
                }
            }
        };
        call.attempt += 1;
        call.sent = self.now;
        let attempt = call.attempt;
        let timeout = match self.policy {
            Policy::Baseline => self.scenario.deadline[call.class] / u64::from(RETRIES + 1),
            Policy::Managed => (call.deadline.at().0 * 1_000).saturating_sub(self.now),
        };
        if self.is_measured(id) {
            self.report.attempts += 1;
            self.report.reached += u64::from(attempt == 1);
        }
        let delay = self.delay(id, owner);
        self.after(
            delay,
            Step::AtOwner {
                call: id,
                attempt,
                owner,
            },
        );
        self.after(timeout, Step::Timeout { call: id, attempt });
    }

    fn at_owner(&mut self, call: usize, attempt: u32, owner: usize) {
        if self.owners[owner].silent && self.now >= SILENT_FROM {
            return;
        }
        if self.policy == Policy::Baseline {
            self.owners[owner].backlog.push_back((call, attempt));
            return self.run_backlog(owner);
        }
        let request = Request {
            class: CLASSES[self.calls[call].class],
            deadline: self.calls[call].deadline.shrink(2).at(),
        };
        let now = self.ms();
        match self.owners[owner].admission.offer(now, request) {
            Offer::Run(permit) => self.start(owner, call, attempt, permit),
            Offer::Wait(ticket) => {
                self.owners[owner].waiting.insert(ticket, (call, attempt));
            }
            Offer::Refuse(refusal) => self.refuse(owner, call, attempt, refusal),
        }
    }

    fn start(&mut self, owner: usize, call: usize, attempt: u32, permit: Permit) {
        self.owners[owner].permits.insert((call, attempt), permit);
        self.serve(owner, call, attempt);
    }

    fn run_backlog(&mut self, owner: usize) {
        while self.owners[owner].running < usize::from(self.scenario.slots) {
            let Some((call, attempt)) = self.owners[owner].backlog.pop_front() else {
                return;
            };
            self.serve(owner, call, attempt);
        }
    }

    /// Starts a request; half of its service time is fixed, half is exponential.
    fn serve(&mut self, owner: usize, call: usize, attempt: u32) {
        let mean = self.scenario.service[self.calls[call].class] as f64;
        let draw = exponential(&mut self.rng);
        let it = &mut self.owners[owner];
        it.running += 1;
        let contention = it
            .processors
            .map_or(1.0, |cpus| (it.running as f64 / cpus).max(1.0).powf(1.5));
        let work = (mean * (0.5 + 0.5 * draw)) as u64;
        let took = (work as f64 * it.slowdown * contention) as u64;
        self.after(
            took,
            Step::Ended {
                call,
                attempt,
                owner,
                work,
            },
        );
    }

    fn ended(&mut self, call: usize, attempt: u32, owner: usize, work: u64) {
        self.owners[owner].running -= 1;
        let answer = Answer::Ran { work };
        let delay = self.delay(call, owner);
        self.after(
            delay,
            Step::AtEntry {
                call,
                attempt,
                owner,
                answer,
            },
        );
        if self.policy == Policy::Baseline {
            return self.run_backlog(owner);
        }
        let now = self.ms();
        let mut wakes = Vec::new();
        let it = &mut self.owners[owner];
        if let Some(permit) = it.permits.remove(&(call, attempt)) {
            it.admission.done(now, permit, Finish::Answered, &mut wakes);
        }
        self.wake(owner, wakes);
    }

    fn wake(&mut self, owner: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            let (ticket, verdict) = match wake {
                Wake::Run(ticket, permit) => (ticket, Ok(permit)),
                Wake::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let Some((call, attempt)) = self.owners[owner].waiting.remove(&ticket) else {
                panic!("ticket {ticket:?} was answered twice");
            };
            match verdict {
                Ok(permit) => self.start(owner, call, attempt, permit),
                Err(refusal) => self.refuse(owner, call, attempt, refusal),
            }
        }
    }

    fn refuse(&mut self, owner: usize, call: usize, attempt: u32, refusal: Refusal) {
        let Refusal { reason, after } = refusal;
        let answer = Answer::Refused { reason, after };
        let delay = self.delay(call, owner);
        self.after(
            delay,
            Step::AtEntry {
                call,
                attempt,
                owner,
                answer,
            },
        );
    }

    fn at_entry(&mut self, id: usize, attempt: u32, owner: usize, answer: Answer) {
        let call = &self.calls[id];
        let current = call.open && call.attempt == attempt;
        match answer {
            Answer::Ran { work } => {
                self.record_outcome(
                    id,
                    owner,
                    Outcome::Answered {
                        latency: (self.now - self.calls[id].sent) / 1_000,
                    },
                );
                if current {
                    self.succeed(id, work);
                }
            }
            Answer::Refused { reason, after } => {
                let refusal = Refusal { reason, after };
                self.record_outcome(id, owner, Outcome::Refused(refusal));
                if current {
                    self.retry(id, Failure::NotRun(refusal));
                }
            }
        }
    }

    fn record_outcome(&mut self, id: usize, owner: usize, outcome: Outcome) {
        let now = self.ms();
        let call = &self.calls[id];
        let entry = &mut self.entries[call.entry];
        let load = match outcome {
            Outcome::Failed => None,
            _ => Some(self.owners[owner].admission.load()),
        };
        let node = self.owners[owner].node;
        entry
            .picker
            .finished(now, node, CLASSES[call.class], outcome, load);
    }

    fn succeed(&mut self, id: usize, work: u64) {
        let call = &mut self.calls[id];
        call.open = false;
        let latency = self.now - call.born;
        let (class, entry) = (call.class, call.entry);
        self.entries[entry].budget.success();
        let timely = latency <= self.scenario.deadline[class];
        if timely && self.now >= WARMUP_US {
            self.report.useful += work as f64;
        }
        if !self.is_measured(id) {
            return;
        }
        if !timely {
            return self.report.given_up.push(latency);
        }
        self.report.good[class] += 1;
        self.report.latency[class].push(latency);
    }

    fn timeout(&mut self, id: usize, attempt: u32) {
        let call = &self.calls[id];
        if !call.open || call.attempt != attempt {
            return;
        }
        match self.policy {
            Policy::Baseline if attempt <= RETRIES => self.attempt(id),
            Policy::Baseline => self.give_up(id),
            Policy::Managed => {
                if let Some(node) = self.calls[id].tried.last() {
                    let owner = usize::from(node.0.port());
                    self.record_outcome(id, owner, Outcome::Failed);
                }
                self.give_up(id);
            }
        }
    }

    fn retry(&mut self, id: usize, failure: Failure) {
        let now = self.ms();
        let call = &mut self.calls[id];
        let entry = &mut self.entries[call.entry];
        let untried = if call.tried.len() < self.owners.len() {
            Untried::Some
        } else {
            Untried::None
        };
        match call
            .retry
            .next(now, &mut self.rng, &mut entry.budget, failure, untried)
        {
            Next::Retry { after } => self.after(after * 1_000, Step::Attempt { call: id }),
            Next::GiveUp(_) => self.give_up(id),
        }
    }

    fn give_up(&mut self, id: usize) {
        self.calls[id].open = false;
        if self.is_measured(id) {
            self.report.given_up.push(self.now - self.calls[id].born);
        }
    }

    fn next_arrival(&mut self, class: usize) {
        let load = self.scenario.load[class];
        if load <= 0.0 {
            return;
        }
        let slots = (self.scenario.endpoints * usize::from(self.scenario.slots)) as f64;
        let gap = self.scenario.service[class] as f64 / (load * slots);
        let gap = gap * exponential(&mut self.rng);
        self.after(gap as u64, Step::Arrive { class });
    }

    fn after(&mut self, delay: u64, step: Step) {
        self.steps += 1;
        self.queue
            .push(Reverse((self.now + delay, self.steps, step)));
    }

    fn is_measured(&self, id: usize) -> bool {
        let latest = self.scenario.time - self.scenario.deadline[self.calls[id].class];
        (WARMUP_US..latest).contains(&self.calls[id].born)
    }

    fn delay(&self, call: usize, owner: usize) -> u64 {
        let entry = self.entries[self.calls[call].entry].zone;
        if entry == self.owners[owner].zone {
            50
        } else {
            500
        }
    }

    fn ms(&self) -> Ms {
        Ms(self.now / 1_000)
    }
}

fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
