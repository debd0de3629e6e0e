//! Measures throughput, row writes and delay of at-most-once claims, with kernels on a simulated clock.
//!
//! `cargo run --release -p laburnum-kernel --example claims [-- NODES SECONDS]`. The table accepts [`WRITES`] row
//! writes per second and throttles the rest. The baseline uses one row per claim, with one conditional write for the
//! claim and one for its outcome.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Instant,
};

use laburnum_kernel::{
    Action, Call, Event, Kernel, Message, Ms, NodeId, Reply, Settings, Token,
    event::{TICK_MS, UpstreamEvent},
    guard::Fingerprint,
    id::Build,
    members::Phase,
    once::{self, Answer, AttemptId, Ended, Key},
    platform::{Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum row writes per second of the table.
const WRITES: f64 = 400.0;
/// One-way delays within a region and between regions, in ms.
const REGION_DELAY_MS: u64 = 1;
const REMOTE_DELAY_MS: u64 = 40;
/// Run time of a request, in ms.
const RUN_MS: u64 = 20;
/// Size of an answer's body, in bytes.
const BODY: usize = 100;
/// Time before the load starts, in ms.
const WARM_MS: u64 = 5_000;
const REGIONS: usize = 7;

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let nodes = args.next().unwrap_or(70);
    let seconds = args.next().unwrap_or(30);
    println!("{nodes} nodes in {REGIONS} regions, {seconds} s, table takes {WRITES} row writes/s");
    println!(
        "scheme  table_ms claims/s granted% settled% rows/s rows/claim conflicts/s throttled/s objects/s p50_ms p99_ms worst_node_KB/s row_KB/s us/claim max_row_KB max_node_KB kept_B"
    );
    for rate in [1, 10, 50] {
        let world = World::new(12, 10, rate, Views::Site);
        println!("{}", world.run(seconds * 1_000));
    }
    for delay in [10, 60] {
        for rate in [100, 500, 1_300, 2_600] {
            for views in [Views::Whole, Views::Split] {
                let world = World::new(nodes as usize, delay, rate, views);
                println!("{}", world.run(seconds * 1_000));
            }
            println!("{}", run_baseline(delay, rate, seconds));
        }
    }
}

/// Computes the baseline: each claim and each outcome is one row write against the table's rate.
fn run_baseline(delay: u64, rate: u64, seconds: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut budget = Budget::default();
    let (mut claims, mut granted, mut settled, mut writes) = (0u64, 0u64, 0u64, 0u64);
    let mut due: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    for now in 0..seconds * 1_000 {
        while due.peek().is_some_and(|it| it.0 <= now) {
            due.pop();
            match budget.try_take(now) {
                true => (settled, writes) = (settled + 1, writes + 1),
                false => due.push(Reverse(now + 1_000)),
            }
        }
        for _ in 0..arrivals(&mut rng, rate) {
            claims += 1;
            if budget.try_take(now) {
                (granted, writes) = (granted + 1, writes + 1);
                due.push(Reverse(now + delay + RUN_MS));
            }
        }
    }
    let share = |it: u64| 100.0 * it as f64 / claims.max(1) as f64;
    format!(
        "a-row   {delay:8} {rate:8} {:8.1} {:8.1} {:6.0} {:10.2}",
        share(granted),
        share(settled),
        writes as f64 / seconds as f64,
        writes as f64 / granted.max(1) as f64,
    )
}

/// Token bucket for row writes with a burst of a quarter of a second.
#[derive(Default)]
struct Budget {
    tokens: f64,
    last: u64,
}

impl Budget {
    fn try_take(&mut self, now: u64) -> bool {
        let earned = (now - self.last) as f64 * WRITES / 1_000.0;
        self.tokens = (self.tokens + earned).min(WRITES / 4.0);
        self.last = now;
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

fn arrivals(rng: &mut ChaCha8Rng, rate: u64) -> u64 {
    // Up to 10 arrivals per ms, each with the probability that results in the rate.
    let chance = rate as f64 / 10_000.0;
    (0..10).filter(|_| rng.random_bool(chance)).count() as u64
}

/// Which nodes know each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Views {
    /// All nodes know each other, so a bucket has one owner.
    Whole,
    /// Nodes know only their region, so a bucket has an owner in each region and their writes conflict.
    Split,
    /// All nodes are in one region.
    Site,
}

enum Item {
    Event(usize, Event),
    Table(usize, laburnum_kernel::CallId, TableOp),
    Object(usize, laburnum_kernel::CallId, ObjectOp),
    Finish(usize, AttemptId, Key),
}

struct World {
    now: u64,
    stop: u64,
    regions: usize,
    name: &'static str,
    delay: u64,
    rate: u64,
    rng: ChaCha8Rng,
    kernels: Vec<Kernel>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
    number: u64,
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    budget: Budget,
    pending: BTreeMap<Token, (u64, usize, AttemptId, Key)>,
    delays: Vec<u64>,
    counts: Counts,
    sent: Vec<u64>,
}

#[derive(Default)]
struct Counts {
    claims: u64,
    granted: u64,
    settled: u64,
    rows: u64,
    conflicts: u64,
    throttled: u64,
    objects: u64,
    bytes: u64,
    largest: usize,
    nanos: u128,
}

impl World {
    fn new(nodes: usize, delay: u64, rate: u64, views: Views) -> World {
        let mut world = World {
            now: 1_000_000,
            stop: 0,
            regions: regions(views),
            name: match views {
                Views::Whole => "buckets",
                Views::Split => "split",
                Views::Site => "site",
            },
            delay,
            rate,
            rng: ChaCha8Rng::seed_from_u64(7),
            kernels: (0..nodes).map(|it| kernel(it, nodes, views)).collect(),
            heap: BinaryHeap::new(),
            items: BTreeMap::new(),
            number: 0,
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            budget: Budget::default(),
            pending: BTreeMap::new(),
            delays: Vec::new(),
            counts: Counts::default(),
            sent: vec![0; nodes],
        };
        for idx in 0..nodes {
            world.step(idx, Event::Start);
            let service = "tunings".parse().expect("a valid name");
            let announced = UpstreamEvent::Announced {
                service,
                slots: 12,
                build: Build::default(),
                phase: Phase::Warming,
            };
            world.step(idx, Event::Upstream(announced));
            world.step(idx, Event::Upstream(UpstreamEvent::Ready));
        }
        world
    }

    fn run(mut self, millis: u64) -> String {
        let begin = self.now + WARM_MS;
        let stop = begin + millis;
        self.stop = stop;
        while self.now < stop + 5_000 {
            if self.now == begin {
                self.sent.fill(0);
                self.counts = Counts::default();
            }
            if self.now >= begin && self.now < stop {
                self.arrive();
            }
            while self.heap.peek().is_some_and(|it| it.0.0 <= self.now) {
                if let Some(Reverse((_, number))) = self.heap.pop()
                    && let Some(item) = self.items.remove(&number)
                {
                    self.deliver(item);
                }
            }
            if self.now.is_multiple_of(TICK_MS) {
                for idx in 0..self.kernels.len() {
                    self.step(idx, Event::Tick);
                }
            }
            self.now += 1;
        }
        self.report(millis as f64 / 1_000.0)
    }

    fn arrive(&mut self) {
        for _ in 0..arrivals(&mut self.rng, self.rate) {
            self.counts.claims += 1;
            let idx = self.rng.random_range(0..self.kernels.len());
            let attempt = AttemptId(self.rng.random());
            let key = Key {
                service: "tunings".parse().expect("a valid name"),
                text: format!("{:032x}", self.rng.random::<u128>()),
            };
            let token = Token(self.counts.claims);
            self.pending
                .insert(token, (self.now, idx, attempt, key.clone()));
            let call = Call::Once(once::Call::Claim {
                key,
                attempt,
                print: Fingerprint(self.rng.random()),
            });
            let start = Instant::now();
            self.step(idx, Event::Call { token, call });
            self.counts.nanos += start.elapsed().as_nanos();
        }
    }

    fn deliver(&mut self, item: Item) {
        match item {
            Item::Event(idx, event) => {
                let is_claim_event = matches!(
                    event,
                    Event::Table { .. }
                        | Event::Object { .. }
                        | Event::Message {
                            message: Message::Once(_),
                            ..
                        }
                );
                let start = Instant::now();
                self.step(idx, event);
                if is_claim_event {
                    self.counts.nanos += start.elapsed().as_nanos();
                }
            }
            Item::Table(idx, call, op) => {
                let answer = self.answer_table(op);
                self.schedule(
                    self.delay / 2,
                    Item::Event(idx, Event::Table { call, answer }),
                );
            }
            Item::Object(idx, call, op) => {
                let answer = self.answer_object(op);
                self.schedule(
                    self.delay / 2,
                    Item::Event(idx, Event::Object { call, answer }),
                );
            }
            Item::Finish(idx, attempt, key) => {
                let body = vec![b'x'; BODY];
                let ended = Ended::Ran(Answer {
                    status: 201,
                    headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
                    body,
                });
                let call = Call::Once(once::Call::Settle {
                    key,
                    attempt,
                    ended,
                });
                self.number += 1;
                let token = Token(u64::MAX - self.number);
                self.step(idx, Event::Call { token, call });
            }
        }
    }

    fn answer_table(&mut self, op: TableOp) -> TableAnswer {
        match op {
            TableOp::Get { keys } => {
                let rows = keys.iter().filter_map(|it| self.rows.get(it).cloned());
                TableAnswer::Rows(rows.collect())
            }
            TableOp::Scan { .. } => TableAnswer::Rows(Vec::new()),
            TableOp::Commit { checks, writes } => {
                let is_loaded = self.is_loaded();
                if !writes.iter().all(|_| self.budget.try_take(self.now)) {
                    self.counts.throttled += u64::from(is_loaded);
                    return TableAnswer::Failed(Fault::Throttled { after: 250 });
                }
                let version = |key: &str| self.rows.get(key).map_or(0, |it| it.version);
                let failed = checks.iter().filter(|it| version(&it.key) != it.version);
                let failed: Vec<String> = failed.map(|it| it.key.clone()).collect();
                if is_loaded {
                    self.counts.rows += writes.len() as u64;
                }
                if !failed.is_empty() {
                    self.counts.conflicts += u64::from(is_loaded);
                    let rows = failed.iter().filter_map(|it| self.rows.get(it).cloned());
                    return TableAnswer::Conflict(rows.collect());
                }
                for write in writes {
                    let Write::Put { key, value } = write else {
                        continue;
                    };
                    if is_loaded && key.starts_with("claim/") {
                        self.counts.bytes += value.len() as u64;
                        self.counts.largest = self.counts.largest.max(value.len());
                    }
                    let version = self.rows.get(&key).map_or(0, |it| it.version) + 1;
                    let row = Row {
                        key: key.clone(),
                        version,
                        value,
                    };
                    self.rows.insert(key, row);
                }
                TableAnswer::Committed
            }
        }
    }

    fn answer_object(&mut self, op: ObjectOp) -> ObjectAnswer {
        match op {
            ObjectOp::Put { name, bytes } => {
                self.counts.objects += u64::from(self.is_loaded());
                self.objects.insert(name, bytes);
                ObjectAnswer::Done
            }
            ObjectOp::Get { name } => match self.objects.get(&name) {
                Some(bytes) => ObjectAnswer::Bytes(bytes.clone()),
                None => ObjectAnswer::Absent,
            },
            ObjectOp::Delete { name } => {
                self.counts.objects += u64::from(self.is_loaded());
                self.objects.remove(&name);
                ObjectAnswer::Done
            }
        }
    }

    fn step(&mut self, idx: usize, event: Event) {
        let mut out = Vec::new();
        self.kernels[idx].step(Ms(self.now), event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => self.send(idx, to, message),
                Action::Probe { to, packet } => {
                    let from = address(idx);
                    let target = index(to);
                    let after = self.link_delay(idx, target);
                    self.schedule(after, Item::Event(target, Event::Probe { from, packet }));
                }
                Action::Table { call, op } => {
                    self.schedule(self.delay / 2, Item::Table(idx, call, op));
                }
                Action::Object { call, op } => {
                    self.schedule(self.delay / 2, Item::Object(idx, call, op));
                }
                Action::Reply { token, reply } => self.handle_reply(token, &reply),
                _ => {}
            }
        }
    }

    fn send(&mut self, idx: usize, to: NodeId, message: Message) {
        if let Message::Once(it) = &message {
            let bytes = postcard::to_stdvec(it).map_or(0, |it| it.len());
            self.sent[idx] += bytes as u64;
        }
        let (from, target) = (address(idx), index(to));
        let after = self.link_delay(idx, target);
        self.schedule(after, Item::Event(target, Event::Message { from, message }));
    }

    fn handle_reply(&mut self, token: Token, reply: &Reply) {
        if *reply == Reply::Once(once::Reply::Settled) {
            self.counts.settled += 1;
        }
        let Some((claimed_at, idx, attempt, key)) = self.pending.remove(&token) else {
            return;
        };
        if let Reply::Once(once::Reply::Granted { .. }) = reply {
            self.counts.granted += 1;
            self.delays.push(self.now - claimed_at);
            self.schedule(RUN_MS, Item::Finish(idx, attempt, key));
        }
    }

    /// Returns whether the load is running; operations after it are not counted.
    fn is_loaded(&self) -> bool {
        self.now < self.stop
    }

    fn link_delay(&self, lhs: usize, rhs: usize) -> u64 {
        match lhs % self.regions == rhs % self.regions {
            true => REGION_DELAY_MS,
            false => REMOTE_DELAY_MS,
        }
    }

    fn schedule(&mut self, after: u64, item: Item) {
        self.number += 1;
        self.heap.push(Reverse((self.now + after, self.number)));
        self.items.insert(self.number, item);
    }

    fn report(mut self, seconds: f64) -> String {
        self.delays.sort_unstable();
        let at = |share: f64| {
            let idx = (self.delays.len() as f64 * share) as usize;
            self.delays.get(idx).copied().unwrap_or_default()
        };
        let counts = &self.counts;
        let share = |it: u64| 100.0 * it as f64 / counts.claims.max(1) as f64;
        let worst = self.sent.iter().max().copied().unwrap_or_default();
        let kept = self.objects.iter().filter(|it| it.0.starts_with("claim/"));
        let (kept, claims) = kept.fold((0, 0), |(bytes, claims), (_, it)| {
            let entries: Vec<once::Entry> = postcard::from_bytes(it).unwrap_or_default();
            (bytes + it.len(), claims + entries.len())
        });
        let memory = self.kernels.iter().map(|it| it.state().once.footprint());
        format!(
            "{:7} {:8} {:8} {:8.1} {:8.1} {:6.0} {:10.2} {:11.1} {:11.1} {:9.1} {:6} {:6} {:15.1} {:8.1} {:8.1} {:10.1} {:11.1} {:6.0}",
            self.name,
            self.delay,
            self.rate,
            share(counts.granted),
            share(counts.settled),
            counts.rows as f64 / seconds,
            counts.rows as f64 / counts.granted.max(1) as f64,
            counts.conflicts as f64 / seconds,
            counts.throttled as f64 / seconds,
            counts.objects as f64 / seconds,
            at(0.5),
            at(0.99),
            worst as f64 / seconds / 1_000.0,
            counts.bytes as f64 / seconds / 1_000.0,
            counts.nanos as f64 / 1_000.0 / counts.granted.max(1) as f64,
            counts.largest as f64 / 1_000.0,
            memory.max().unwrap_or_default() as f64 / 1_000.0,
            kept as f64 / claims.max(1) as f64,
        )
    }
}

fn regions(views: Views) -> usize {
    match views {
        Views::Site => 1,
        Views::Whole | Views::Split => REGIONS,
    }
}

fn address(idx: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], 7_101 + idx as u16).into())
}

fn index(node: NodeId) -> usize {
    usize::from(node.0.port() - 7_101)
}

fn kernel(idx: usize, nodes: usize, views: Views) -> Kernel {
    let regions = regions(views);
    let known = |it: &usize| views == Views::Whole || it % regions == idx % regions;
    let region = format!("region-{}", idx % regions);
    let settings = Settings {
        node: address(idx),
        region: region.parse().expect("a valid name"),
        zone: format!("{region}-a").parse().expect("a valid name"),
        peers: (0..nodes).filter(known).map(address).collect(),
        ..Settings::default()
    };
    Kernel::new(settings, 7 + idx as u64)
}
