//! Measures how a quarantine spreads through a fleet.
//!
//! `cargo run --release -p laburnum-kernel --example quarantine`
//!
//! Two nodes report a crash with the same request in flight. Messages are delivered without delay,
//! so what holds at once was spread by gossip alone, and the rest by comparison with peers.

#[path = "../tests/common/claims.rs"]
mod claims;

use claims::Fleet;
use laburnum_kernel::{
    Call,
    guard::{self, Fingerprint},
};

/// Number of requests in flight at each crash.
const INFLIGHT: u64 = 12;
/// Loss of messages: one in this many, or none if zero.
const LOSSES: [u64; 2] = [0, 5];
/// Time over which the idle cost is measured, in ms.
const QUIET_MS: u64 = 60_000;

fn main() {
    println!(
        "nodes lost by_gossip% everywhere_s messages/node bytes/node worst_bytes quiet_B/s/node"
    );
    for count in [30, 100] {
        for loss in LOSSES {
            println!("{}", measure(count, loss));
        }
    }
}

fn measure(count: usize, loss: u64) -> String {
    let mut fleet = Fleet::new(count);
    fleet.loss = loss;
    fleet.guard_traffic.fill((0, 0));
    let start = fleet.now;
    for idx in 0..2 {
        let others = (1..INFLIGHT).map(|it| it + INFLIGHT * idx);
        let prints = others.chain([0]).map(Fingerprint).collect();
        fleet.call(idx as usize, Call::Guard(guard::Call::Crashed { prints }));
        fleet.drain();
    }
    let reached = quarantined_nodes(&fleet);
    let spent = fleet.guard_traffic.clone();
    while quarantined_nodes(&fleet) < count && fleet.now.since(start) < 600_000 {
        fleet.run(100);
    }
    let everywhere = fleet.now.since(start);
    fleet.guard_traffic.fill((0, 0));
    fleet.run(QUIET_MS);
    let quiet: u64 = fleet.guard_traffic.iter().map(|it| it.1).sum();
    let messages: u64 = spent.iter().map(|it| it.0).sum();
    let bytes: u64 = spent.iter().map(|it| it.1).sum();
    let worst = spent.iter().map(|it| it.1).max().unwrap_or_default();
    format!(
        "{count:5} {:>4} {:10.1} {:12.1} {:13.1} {:10.0} {worst:11} {:14.1}",
        if loss == 0 {
            "0".to_owned()
        } else {
            format!("1/{loss}")
        },
        100.0 * reached as f64 / count as f64,
        everywhere as f64 / 1_000.0,
        messages as f64 / count as f64,
        bytes as f64 / count as f64,
        quiet as f64 * 1_000.0 / QUIET_MS as f64 / count as f64,
    )
}

fn quarantined_nodes(fleet: &Fleet) -> usize {
    let views = fleet.kernels.iter();
    views
        .filter(|it| it.state().guard.quarantined().is_held(Fingerprint(0)))
        .count()
}
