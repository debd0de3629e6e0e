//! Measures the cost of a kernel by its number of members and documents.
//!
//! `cargo run --release -p laburnum-kernel --example view_cost -- [members] [documents]`, by
//! default 2,800 and 190. Run one size per process: memory freed by an earlier size would hide the
//! growth.
//!
//! Kernels read the documents from a table in memory and get the members in messages. Memory is the
//! growth of the process, averaged over many kernels; processor time is that of the thread. For the
//! last columns a kernel with all plug-ins runs ten simulated minutes among peers that answer its
//! probes, comparisons and reads and send it as many, without changes of members or documents. The
//! time for these answers is included.

#[path = "../tests/common/driver.rs"]
mod driver;

use std::{collections::VecDeque, hint::black_box, net::SocketAddr, time::Duration};

use laburnum_kernel::{
    Action, Event, Kernel, Message, Ms, NodeId, SubmitId,
    accept::Submission,
    id::Build,
    log::Edit,
    members::{self, Evidence, Exposure, Offer, Packet, Phase, Record, Update},
    platform::{ObjectAnswer, TableAnswer},
    spread::{self, Turn},
    utils::hash64,
    view,
};

use driver::{Driver, name, put};

const DOCUMENT: &str = include_str!("../../../examples/nile/drafting-desk.toml");

/// Number of kernels that memory is averaged over.
const KERNELS: usize = 40;
/// Number of views that time and memory are averaged over.
const VIEWS: usize = 200;
/// Simulated time that processor time is measured over, in s.
const SECONDS: u64 = 600;

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let members: usize = numbers.next().unwrap_or(2_800);
    let documents: usize = numbers.next().unwrap_or(190);
    let mut driver = fill_kernel(documents);
    let before = resident();
    for _ in 0..KERNELS {
        driver.add("a");
    }
    driver.run(10_000);
    for index in 1..=KERNELS {
        join(&mut driver, index, members);
    }
    let kernel_kb = resident().saturating_sub(before) / KERNELS as u64;
    let state = driver.kernels[1].state();
    let origin = driver.kernels[1].settings().origin;
    assert_eq!(state.log.services().len(), documents, "it caught up");

    let before = resident();
    let started = cpu();
    let views: Vec<_> = (0..VIEWS).map(|_| view::build(state, origin)).collect();
    let build = cpu().saturating_sub(started) / VIEWS as u32;
    let view_kb = resident().saturating_sub(before) / VIEWS as u64;
    drop(black_box(views));

    let mut kernel = driver.kernels.remove(1);
    let busy = run_kernel(&mut kernel, driver.now, members);
    println!("members documents  kernel KB  view KB  build us  cpu us/s  % of a core");
    println!(
        "{members:>7} {documents:>9} {kernel_kb:>10} {view_kb:>8} {:>9} {:>9.0} {:>12.4}",
        build.as_micros(),
        busy.as_secs_f64() * 1e6 / SECONDS as f64,
        busy.as_secs_f64() * 100.0 / SECONDS as f64,
    );
}

/// Starts a kernel and submits the documents to it: one per service, of about 2 KB each.
fn fill_kernel(documents: usize) -> Driver {
    let mut driver = Driver::new(&["a"]);
    driver.run(10_000);
    let tokens: Vec<_> = (0..documents)
        .map(|it| driver.submit(0, &submission(it)))
        .collect();
    while !tokens.iter().all(|it| driver.replies.contains_key(it)) {
        driver.run(50);
    }
    driver
}

fn submission(number: usize) -> Submission {
    let service = format!("some-service-{number}");
    let own = format!("service = \"{service}\"");
    let lines = DOCUMENT.lines().map(|line| match line {
        _ if line.starts_with("service = ") => own.as_str(),
        _ if line.starts_with("uses = ") => "",
        _ => line,
    });
    let text = lines.collect::<Vec<_>>().join("\n");
    Submission {
        id: SubmitId(u128::from(hash64(&[&number.to_le_bytes()]))),
        edit: Edit::Put { text },
        ..put(0, &service, 0, &[])
    }
}

fn id(number: usize) -> NodeId {
    let [hi, lo] = (number as u16).to_be_bytes();
    NodeId(SocketAddr::from(([10, 0, hi, lo], 7101)))
}

fn record(number: usize) -> Record {
    let [hi, lo] = (number as u16).to_be_bytes();
    Record {
        id: id(number),
        incarnation: 1_790_000_000_000 + number as u64,
        version: 3,
        phase: Phase::Ready,
        traffic: SocketAddr::from(([10, 0, hi, lo], 7100)),
        region: name(&format!("region-{}", number % 7)),
        zone: name(&format!("region-zone-{}", number % 17)),
        offer: Some(Offer {
            service: name(&format!("some-service-{}", number % 190)),
            slots: 12,
            build: Build::default(),
            exposure: Exposure::Full,
            evidence: Evidence::Unknown,
        }),
    }
}

fn join(driver: &mut Driver, index: usize, members: usize) {
    for chunk in (0..members).collect::<Vec<_>>().chunks(500) {
        let updates = chunk.iter().map(|it| Update::Record(record(*it))).collect();
        let message = Message::Members(members::Message::Records { updates });
        let from = id(0);
        driver.event(index, Event::Message { from, message });
    }
    let alive = driver.kernels[index].state().members.alive().count();
    assert!(alive >= members, "every member is known");
}

/// Returns the processor time of `kernel` over [`SECONDS`].
fn run_kernel(kernel: &mut Kernel, start: Ms, members: usize) -> Duration {
    let started = cpu();
    let mut queue = VecDeque::new();
    for tick in 1..=SECONDS * 20 {
        let now = Ms(start.0 + tick * 50);
        if tick % 20 == 0 {
            let from = id(tick as usize % members);
            let (number, updates) = (tick, Vec::new());
            let packet = Packet::Ping { number, updates };
            queue.push_back(Event::Probe { from, packet });
        }
        queue.push_back(Event::Tick);
        while let Some(event) = queue.pop_front() {
            let mut out = Vec::new();
            kernel.step(now, event, &mut out);
            out.into_iter().for_each(|it| answer(it, &mut queue));
        }
    }
    cpu().saturating_sub(started)
}

/// Queues the response of peers and platform to `action`.
fn answer(action: Action, queue: &mut VecDeque<Event>) {
    match action {
        Action::Probe {
            to,
            packet: Packet::Ping { number, updates },
        } => {
            let packet = Packet::Ack { number, updates };
            queue.push_back(Event::Probe { from: to, packet });
        }
        Action::Send { to, message } => reply(to, message, queue),
        Action::Table { call, .. } => {
            let answer = TableAnswer::Rows(Vec::new());
            queue.push_back(Event::Table { call, answer });
        }
        Action::Object { call, .. } => {
            let answer = ObjectAnswer::Absent;
            queue.push_back(Event::Object { call, answer });
        }
        other => drop(black_box(other)),
    }
}

/// Queues the response of a peer with the same state, which also sends the same comparison.
fn reply(from: NodeId, message: Message, queue: &mut VecDeque<Event>) {
    let mut send = |message| queue.push_back(Event::Message { from, message });
    match message {
        Message::Members(members::Message::Compare { .. }) => {
            send(Message::Members(members::Message::Same));
        }
        Message::Spread(spread::Message::Compare {
            standing,
            turn: Turn::Question,
        }) => {
            for turn in [Turn::Answer, Turn::Question] {
                send(Message::Spread(spread::Message::Compare { standing, turn }));
            }
        }
        Message::Guard(message) => send(Message::Guard(message)),
        other => drop(black_box(other)),
    }
}

/// Returns the resident memory of this process in KB, or zero where the system doesn't report it.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS"));
    line.and_then(|it| it.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Returns the processor time of this thread, or zero where the system doesn't report it.
fn cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat
        .split_whitespace()
        .next()
        .and_then(|it| it.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
