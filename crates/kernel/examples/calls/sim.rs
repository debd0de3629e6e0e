//! Simulation of the two services.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use laburnum_kernel::{
    Ms, Name,
    admission::{
        Finish, Offer, Permit, Ticket, Wake,
        kinds::Kind,
        ranks::{RankedRequest, Ranks, WaitLimit},
    },
    calls::{CallEnd, Run, RunEnd, RunKey, Runs, inherit},
    members::Phase,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Results, Way};

/// Slots of B.
const SLOTS: u16 = 12;
/// Mean service time of B, in ms.
const SERVICE_MS: f64 = 60.0;
/// Time that a run of A takes before its first call, between its calls and after them, in ms.
const WORK_MS: u64 = 20;
/// Share of the runs that call B, and the number of calls of each.
const CALLING: (f64, u32) = (0.7, 2);
/// Latency goal and deadline of the runs of A, in ms.
const RUN_MS: (u64, u64) = (400, 1_000);
/// Priority, latency goal and timeout of the route of the calls; times in ms.
const CALL_ROUTE: (u8, u64, u64) = (1, 250, 800);
/// Latency goal and timeout of B's own requests, in ms.
const OWN_MS: (u64, u64) = (250, 800);
/// Length of a simulation and of its start that is not counted, in ms.
const LENGTH_MS: (u64, u64) = (125_000, 5_000);
/// What happens next; sorts by time, then by number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RunArrives,
    OwnArrives,
    /// The run goes on after its work or a call.
    RunContinues(usize),
    /// The permit with this number is returned; the request was answered or reached its deadline.
    Returned(u64),
    Tick,
}

/// A run of A.
struct RunOfA {
    key: RunKey,
    arrived: Ms,
    priority: u8,
    /// Service times of the calls that are still to be made, in ms.
    calls: Vec<u64>,
    number: u32,
}

/// A request at B.
#[derive(Clone, Copy)]
struct RequestOfB {
    origin: Origin,
    arrived: Ms,
    deadline: Ms,
    service: u64,
}

#[derive(Clone, Copy)]
enum Origin {
    Call(usize),
    Own(u8),
}

struct Simulation {
    way: Way,
    now: Ms,
    events: BinaryHeap<Reverse<(Ms, u64, Event)>>,
    last_event: u64,
    run_arrivals: ChaCha8Rng,
    own_arrivals: ChaCha8Rng,
    run_rate: f64,
    own_rate: f64,
    table: Runs,
    runs: Vec<RunOfA>,
    admission: Ranks,
    waiting: BTreeMap<Ticket, RequestOfB>,
    running: BTreeMap<u64, (Permit, RequestOfB)>,
    last_permit: u64,
    results: Results,
}

/// Simulates one seed and adds to `results`.
pub fn simulate(way: Way, load: f64, seed: u64, results: &mut Results) {
    let capacity = f64::from(SLOTS) / SERVICE_MS;
    let calls = load * capacity / 2.0;
    let mut admission = Ranks::new(SLOTS);
    admission.set_phase(Ms(0), Phase::Ready, &mut Vec::new());
    let mut simulation = Simulation {
        way,
        now: Ms(0),
        events: BinaryHeap::new(),
        last_event: 0,
        run_arrivals: ChaCha8Rng::seed_from_u64(2 * seed),
        own_arrivals: ChaCha8Rng::seed_from_u64(2 * seed + 1),
        run_rate: calls / (CALLING.0 * f64::from(CALLING.1)),
        own_rate: load * capacity - calls,
        table: Runs::default(),
        runs: Vec::new(),
        admission,
        waiting: BTreeMap::new(),
        running: BTreeMap::new(),
        last_permit: 0,
        results: std::mem::take(results),
    };
    for event in [Event::RunArrives, Event::OwnArrives, Event::Tick] {
        simulation.schedule(Ms(1), event);
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at.0 >= LENGTH_MS.0 {
            break;
        }
        simulation.now = at;
        simulation.step(event);
    }
    *results = simulation.results;
}

impl Simulation {
    fn step(&mut self, event: Event) {
        match event {
            Event::RunArrives => self.run_arrives(),
            Event::OwnArrives => self.own_arrives(),
            Event::RunContinues(run) => self.run_continues(run),
            Event::Returned(number) => self.returned(number),
            Event::Tick => {
                let mut wakes = Vec::new();
                self.admission.tick(self.now, &mut wakes);
                self.deliver(wakes);
                self.schedule(self.now + 20, Event::Tick);
            }
        }
    }

    fn run_arrives(&mut self) {
        let rng = &mut self.run_arrivals;
        let next = interval(rng, self.run_rate);
        let priority = rng.random_range(0..3);
        let count = match rng.random_bool(CALLING.0) {
            true => CALLING.1,
            false => 0,
        };
        let calls: Vec<u64> = (0..count).map(|_| service(rng)).collect();
        let id = self.runs.len();
        let run = Run {
            kind: Kind::of(&format!("a-{priority}")),
            priority,
            goal: self.now + RUN_MS.0,
            deadline: self.now + RUN_MS.1,
        };
        self.runs.push(RunOfA {
            key: self.table.begin(self.now, &id.to_string(), run),
            arrived: self.now,
            priority,
            calls,
            number: 0,
        });
        self.schedule(self.now + WORK_MS, Event::RunContinues(id));
        self.schedule(self.now + next, Event::RunArrives);
    }

    fn own_arrives(&mut self) {
        let rng = &mut self.own_arrivals;
        let next = interval(rng, self.own_rate);
        let priority = rng.random_range(0..2);
        let request = RequestOfB {
            origin: Origin::Own(priority),
            arrived: self.now,
            deadline: self.now + OWN_MS.1,
            service: service(rng),
        };
        // With calls ahead of their rank, the less urgent requests leave a rank for them.
        let rank = match self.way {
            Way::Ahead => 2 * priority,
            Way::Route | Way::Inherit => priority,
        };
        let kind = Kind::of(&format!("own-{priority}"));
        self.offer(rank, self.now + OWN_MS.0, kind, request);
        self.schedule(self.now + next, Event::OwnArrives);
    }

    /// Makes the next call of a run, or answers it.
    fn run_continues(&mut self, id: usize) {
        let run = &mut self.runs[id];
        let Some(service) = run.calls.pop() else {
            return self.end_run(id, RunEnd::Answered);
        };
        run.number += 1;
        let call_id = format!("{id}.{}", run.number);
        let name = called();
        let Some(call) = self.table.call(self.now, &call_id, &name) else {
            return self.end_run(id, RunEnd::Lost);
        };
        let (priority, goal, timeout) = CALL_ROUTE;
        let goal = self.now + goal;
        let (rank, goal) = match self.way {
            Way::Route => (priority, goal),
            Way::Ahead => (2 * priority - 1, goal),
            Way::Inherit => inherit(self.now, &call.run, priority, goal),
        };
        let request = RequestOfB {
            origin: Origin::Call(id),
            arrived: self.now,
            deadline: (self.now + timeout).min(call.run.deadline),
            service,
        };
        self.offer(rank, goal, Kind::of("called"), request);
    }

    fn offer(&mut self, priority: u8, goal: Ms, kind: Kind, request: RequestOfB) {
        let ranked = RankedRequest {
            priority,
            goal: goal.min(request.deadline),
            deadline: request.deadline,
            queue: WaitLimit::Full,
            kind,
        };
        match self.admission.offer(self.now, ranked) {
            Offer::Run(permit) => self.start(permit, request),
            Offer::Wait(ticket) => drop(self.waiting.insert(ticket, request)),
            Offer::Refuse(_) => self.finished(request, CallEnd::Refused),
        }
    }

    fn start(&mut self, permit: Permit, request: RequestOfB) {
        self.last_permit += 1;
        self.running.insert(self.last_permit, (permit, request));
        let end = (self.now + request.service).min(request.deadline);
        self.schedule(end, Event::Returned(self.last_permit));
    }

    fn returned(&mut self, number: u64) {
        let Some((permit, request)) = self.running.remove(&number) else {
            return;
        };
        let (finish, end) = match self.now < request.deadline {
            true => (Finish::Answered, CallEnd::Answered),
            false => (Finish::Overloaded, CallEnd::Failed),
        };
        let mut wakes = Vec::new();
        self.admission.done(self.now, permit, finish, &mut wakes);
        self.deliver(wakes);
        self.finished(request, end);
    }

    fn deliver(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run(ticket, permit) => {
                    if let Some(request) = self.waiting.remove(&ticket) {
                        self.start(permit, request);
                    }
                }
                Wake::Refuse(ticket, _) => {
                    if let Some(request) = self.waiting.remove(&ticket) {
                        self.finished(request, CallEnd::Refused);
                    }
                }
            }
        }
    }

    /// Records the end of a request at B.
    fn finished(&mut self, request: RequestOfB, end: CallEnd) {
        let took = self.now.since(request.arrived);
        match request.origin {
            Origin::Call(id) => {
                let key = self.runs[id].key;
                self.table.called(self.now, key, &called(), end, took);
                match end {
                    CallEnd::Answered => {
                        self.schedule(self.now + WORK_MS, Event::RunContinues(id));
                    }
                    CallEnd::Refused | CallEnd::Shed | CallEnd::Failed => {
                        self.end_run(id, RunEnd::Failed);
                    }
                }
            }
            Origin::Own(priority) if request.arrived.0 >= LENGTH_MS.1 => {
                let in_time = end == CallEnd::Answered && took <= OWN_MS.0;
                let counts = &mut self.results.own[usize::from(priority)];
                counts[0] += 1;
                counts[1] += u32::from(in_time);
            }
            Origin::Own(_) => {}
        }
    }

    fn end_run(&mut self, id: usize, end: RunEnd) {
        let run = &self.runs[id];
        self.table.end(self.now, run.key, end);
        if run.arrived.0 < LENGTH_MS.1 {
            return;
        }
        let took = self.now.since(run.arrived);
        let counts = &mut self.results.runs[usize::from(run.priority)];
        counts[0] += 1;
        match end {
            RunEnd::Failed => counts[3] += 1,
            _ if took <= RUN_MS.0 => counts[1] += 1,
            _ if took < RUN_MS.1 => counts[2] += 1,
            _ => {}
        }
    }

    fn schedule(&mut self, at: Ms, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }
}

/// Draws the time to the next of `rate` arrivals per ms, in ms.
fn interval(rng: &mut impl Rng, rate: f64) -> u64 {
    let drawn: f64 = rng.random();
    (-(1.0 - drawn).ln() / rate).round() as u64
}

/// Draws a service time of B, in ms.
fn service(rng: &mut impl Rng) -> u64 {
    let drawn: f64 = rng.random();
    let spread = -(1.0 - drawn).ln();
    ((0.4 + 0.6 * spread) * SERVICE_MS).round().max(1.0) as u64
}

/// Returns the name of B.
fn called() -> Name {
    "b".parse().expect("a valid name")
}
