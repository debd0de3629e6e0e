//! Prints the memory, CPU time and bytes that membership costs one node, by the size of the fleet.
//!
//! `cargo run --release -p laburnum-kernel --example members_cost`
//!
//! One kernel runs among simulated members: they answer pings, one of them pings the kernel once a
//! second, and records change at the given rate. Bytes are those of datagrams and messages with 28 bytes
//! of IP and UDP headers and 8 of the link's frame each; TCP headers are not counted.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use laburnum_kernel::{
    Action, Event, Kernel, Message, Ms, Name, NodeId, Settings,
    id::Build,
    members::{self, Evidence, Exposure, Offer, Packet, Phase, Record, Update},
    view,
};

const SIZES: [usize; 4] = [100, 400, 1_600, 2_800];
const ZONES: usize = 17;
const SERVICES: usize = 190;
const SECONDS: u64 = 600;
/// Number of kernels that the memory is averaged over.
const KERNELS: u64 = 10;
/// Bytes of the sender in a frame and of the IP and UDP headers.
const OVERHEAD: usize = 8 + 28;
/// Names of the churn rates, and changed members per hour.
const CHURN: [(&str, u64); 3] = [("none", 0), ("730 a day", 30), ("730 an hour", 730)];

fn main() {
    println!("members  view build us  resident KB for members (growth of VmRSS)");
    // Kept until the end, since freed memory would hide the growth of the next size.
    let mut kept = Vec::new();
    for size in SIZES {
        let before = resident_kb();
        let kernels: Vec<Kernel> = (0..KERNELS).map(|_| joined_kernel(size)).collect();
        let grown = resident_kb().saturating_sub(before) / KERNELS;
        let begun = Instant::now();
        for _ in 0..100 {
            std::hint::black_box(view::build(
                kernels[0].state(),
                kernels[0].settings().origin,
            ));
        }
        let build = begun.elapsed().as_micros() / 100;
        println!("{size:>7} {build:>14} {grown:>12}");
        kept.extend(kernels);
    }
    drop(kept);
    println!();
    println!("members churn          sent B/s  received B/s  cpu us/s  % of a core");
    for size in SIZES {
        for (name, churn) in CHURN {
            let it = observe(size, churn);
            println!(
                "{size:>7} {name:<12} {:>10.0} {:>13.0} {:>9.0} {:>12.4}",
                it.sent as f64 / SECONDS as f64,
                it.received as f64 / SECONDS as f64,
                it.busy.as_secs_f64() * 1e6 / SECONDS as f64,
                it.busy.as_secs_f64() * 100.0 / SECONDS as f64,
            );
        }
    }
}

struct Cost {
    sent: usize,
    received: usize,
    busy: Duration,
}

fn id(number: usize) -> NodeId {
    let [hi, lo] = (number as u16).to_be_bytes();
    NodeId(SocketAddr::from(([10, 0, hi, lo], 7101)))
}

fn name(prefix: &str, number: usize) -> Name {
    format!("{prefix}-{number}").parse().expect("a valid name")
}

fn record(number: usize) -> Record {
    let [hi, lo] = (number as u16).to_be_bytes();
    Record {
        id: id(number),
        incarnation: 1_790_000_000_000 + number as u64,
        version: 3,
        phase: Phase::Ready,
        traffic: SocketAddr::from(([10, 0, hi, lo], 7100)),
        region: name("region", number % 7),
        zone: name("region-zone", number % ZONES),
        offer: Some(Offer {
            service: name("some-service", number % SERVICES),
            slots: 12,
            build: Build::default(),
            exposure: Exposure::Full,
            evidence: Evidence::Unknown,
        }),
    }
}

fn joined_kernel(size: usize) -> Kernel {
    let settings = Settings {
        node: id(0),
        zone: name("region-zone", 0),
        peers: vec![id(1)],
        ..Settings::default()
    };
    let mut kernel = Kernel::new(settings, 1);
    let mut out = Vec::new();
    kernel.step(Ms(1_000), Event::Start, &mut out);
    for chunk in (1..size).collect::<Vec<_>>().chunks(500) {
        let updates = chunk.iter().map(|it| Update::Record(record(*it))).collect();
        let message = Message::Members(members::Message::Records { updates });
        kernel.step(
            Ms(1_000),
            Event::Message {
                from: id(1),
                message,
            },
            &mut out,
        );
    }
    kernel.step(Ms(1_050), Event::Tick, &mut out);
    kernel
}

fn observe(size: usize, churn: u64) -> Cost {
    let mut kernel = joined_kernel(size);
    let mut cost = Cost {
        sent: 0,
        received: 0,
        busy: Duration::ZERO,
    };
    let mut waiting: VecDeque<Event> = VecDeque::new();
    let mut version = 3;
    let mut changed = 0;
    for tick in 1..=SECONDS * 20 {
        let now = Ms(1_050 + tick * 50);
        if tick % 20 == 0 {
            let from = id(1 + tick as usize % (size - 1));
            let mut updates = Vec::new();
            // Each change is received about as often as this node sends one.
            while changed < churn * tick / 20 / 3_600 {
                changed += 1;
                version += 1;
                let mut it = record(1 + changed as usize % (size - 1));
                it.version = version;
                updates = vec![Update::Record(it); 1];
            }
            let number = tick;
            let packet = Packet::Ping { number, updates };
            cost.received += wire_bytes(&packet);
            waiting.push_back(Event::Probe { from, packet });
        }
        waiting.push_back(Event::Tick);
        while let Some(event) = waiting.pop_front() {
            let mut out = Vec::new();
            let begun = Instant::now();
            kernel.step(now, event, &mut out);
            cost.busy += begun.elapsed();
            for action in out {
                simulate_peers(action, &kernel, &mut cost, &mut waiting);
            }
        }
    }
    cost
}

fn simulate_peers(action: Action, kernel: &Kernel, cost: &mut Cost, waiting: &mut VecDeque<Event>) {
    match action {
        Action::Probe { to, packet } => {
            cost.sent += wire_bytes(&packet);
            if let Packet::Ping { number, updates } = packet {
                // The ack carries as many bytes of updates as the ping.
                let packet = Packet::Ack { number, updates };
                cost.received += wire_bytes(&packet);
                waiting.push_back(Event::Probe { from: to, packet });
            }
        }
        Action::Send { to, message } => {
            cost.sent += wire_bytes(&message);
            if let Message::Members(members::Message::Compare { .. }) = message {
                let message = Message::Members(members::Message::Same);
                cost.received += wire_bytes(&message);
                waiting.push_back(Event::Message { from: to, message });
            }
        }
        _ => {
            std::hint::black_box(kernel);
        }
    }
}

fn wire_bytes<T: serde::Serialize>(value: &T) -> usize {
    OVERHEAD + postcard::to_stdvec(value).expect("it encodes").len()
}

/// Returns the resident memory of this process in KB, or zero if the system doesn't report it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS"));
    line.and_then(|it| it.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}
