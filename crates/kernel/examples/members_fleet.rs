//! Prints how long membership changes take to reach a whole fleet, and how many bytes each node sends.
//!
//! `cargo run --release -p laburnum-kernel --example members_fleet -- [nodes, default 680]`
//!
//! Every node is a kernel; datagrams take 1 to 2 ms. The nodes, in 17 zones, start at once.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use common::{Net, id, settings};
use laburnum_kernel::{
    Event, Kernel, NodeId, Settings,
    members::{Phase, Reach},
};

const ZONES: usize = 17;
const STEP: u64 = 50;

fn main() {
    let argument = std::env::args().nth(1).and_then(|it| it.parse().ok());
    let nodes: usize = argument.unwrap_or(680);
    let mut net = Net::new(1);
    for number in 0..nodes {
        net.start(new_node(number, number));
    }
    let joined = until(&mut net, 120_000, |net| {
        let known = |it: &Kernel| it.state().members.alive().count();
        net.nodes.values().all(|it| known(it) == nodes)
    });
    println!("{nodes} nodes in {ZONES} zones");
    report(
        "all views complete after a simultaneous start",
        joined,
        &net,
        &BTreeMap::new(),
    );
    run_quiet(&mut net, 30_000);
    let before = net.bytes.clone();
    run_quiet(&mut net, 60_000);
    report("quiet minute", Some(60_000), &net, &before);
    drain(&mut net);
    crash(&mut net);
    zone_loss(&mut net, nodes);
    run_quiet(&mut net, 30_000);
    replace_nodes(&mut net, nodes);
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

/// Returns the settings of a new node, with two configured peers out of the first nodes of the fleet.
fn new_node(number: usize, salt: usize) -> Settings {
    let mut settings = settings(number, &zone(number));
    settings.peers = vec![id(salt % 47), id(salt * 7 % 43)];
    settings
}

/// Replaces one node by a new one every 5 s for five minutes.
fn replace_nodes(net: &mut Net, nodes: usize) {
    let before = net.bytes.clone();
    for number in 0..60 {
        let leaving = 50 + number;
        net.step(id(leaving), Event::Stop);
        net.step(id(leaving), Event::Idle);
        net.start(new_node(nodes + number, number));
        run_quiet(net, 5_000);
    }
    report(
        "five minutes, one node replaced every 5 s",
        Some(300_000),
        net,
        &before,
    );
}

fn drain(net: &mut Net) {
    run_quiet(net, 30_000);
    let before = net.bytes.clone();
    net.step(id(20), Event::Stop);
    let seen = until(net, 30_000, |net| {
        net.phases(20) == [Some(Phase::Draining)].into()
    });
    report("drain seen everywhere", seen, net, &before);
    net.step(id(20), Event::Idle);
    run_quiet(net, 30_000);
}

fn crash(net: &mut Net) {
    let before = net.bytes.clone();
    net.kill(21);
    let suspected = until(net, 60_000, |net| {
        let viewers = net.nodes.values();
        let reach = |it: &Kernel| it.state().members.reach(id(21));
        viewers
            .into_iter()
            .all(|it| reach(it) != Some(Reach::Reachable))
    });
    report("crashed node suspected everywhere", suspected, net, &before);
    let seen = until(net, 120_000, |net| net.phases(21) == [None].into());
    report(
        "crashed node removed everywhere, after that",
        seen,
        net,
        &before,
    );
    run_quiet(net, 30_000);
}

fn zone_loss(net: &mut Net, nodes: usize) {
    let before = net.bytes.clone();
    let lost: Vec<usize> = (0..nodes).filter(|it| it % ZONES == 5).collect();
    lost.iter().for_each(|it| net.kill(*it));
    let unreachable = |net: &Net| {
        let viewers = net.nodes.values();
        viewers.into_iter().all(|viewer| {
            let members = &viewer.state().members;
            lost.iter()
                .all(|it| members.reach(id(*it)) == Some(Reach::Unreachable))
        })
    };
    let seen = until(net, 60_000, unreachable);
    report("lost zone unreachable everywhere", seen, net, &before);
    run_quiet(net, 60_000 - seen.unwrap_or(60_000));
    report("minute of the zone loss", Some(60_000), net, &before);
}

/// Runs until `done` holds. Returns the time that it took in ms, or `None` after `most` ms.
fn until(net: &mut Net, most: u64, done: impl Fn(&Net) -> bool) -> Option<u64> {
    let begun = net.now;
    while net.now.since(begun) < most {
        net.run(STEP);
        net.packets.clear();
        if done(net) {
            return Some(net.now.since(begun));
        }
    }
    None
}

fn run_quiet(net: &mut Net, millis: u64) {
    until(net, millis, |_| false);
}

fn report(what: &str, took: Option<u64>, net: &Net, before: &BTreeMap<NodeId, u64>) {
    let sent = |node: &NodeId| net.bytes[node] - before.get(node).unwrap_or(&0);
    let each: Vec<u64> = net.nodes.keys().map(sent).collect();
    let mean = each.iter().sum::<u64>() / each.len() as u64;
    let most = each.iter().max().unwrap_or(&0);
    match took {
        Some(millis) => println!("{what}: {millis} ms; sent {mean} bytes a node, most {most}"),
        None => println!("{what}: not reached; sent {mean} bytes a node, most {most}"),
    }
}
