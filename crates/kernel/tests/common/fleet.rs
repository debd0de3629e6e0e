//! A fleet of kernels in three zones, and what its nodes hold.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeSet;

use laburnum_kernel::{
    Seq, Settings,
    accept::{Submission, Verdict},
    settings::SpreadSettings,
};

use crate::driver::{Driver, name, node};

pub const ZONES: [&str; 3] = ["cairo-a", "cairo-b", "delta-a"];

/// Starts `nodes` kernels spread over the zones and runs for 15 s. Panics unless all are ready.
pub fn fleet(nodes: usize, spread: &SpreadSettings) -> Driver {
    let mut driver = Driver::new(&[]);
    for index in 0..nodes {
        let zone = ZONES[index % ZONES.len()];
        driver.add_with(Settings {
            node: node(index),
            incarnation: 1,
            region: name(&zone[..5]),
            zone: name(zone),
            peers: (0..index).map(node).collect(),
            spread: spread.clone(),
            ..Settings::default()
        });
    }
    driver.run(15_000);
    assert!(ready(&driver).len() == nodes, "{:?} ready", ready(&driver));
    driver
}

pub fn ready(driver: &Driver) -> BTreeSet<usize> {
    let all = 0..driver.kernels.len();
    all.filter(|it| driver.kernels[*it].state().spread.ready())
        .collect()
}

pub fn seqs(driver: &Driver) -> Vec<Seq> {
    let alive = (0..driver.kernels.len()).filter(|it| !driver.dead.contains(it));
    alive
        .map(|it| driver.kernels[it].state().log.seq())
        .collect()
}

pub fn digests(driver: &Driver) -> BTreeSet<u64> {
    let alive = (0..driver.kernels.len()).filter(|it| !driver.dead.contains(it));
    alive
        .map(|it| driver.kernels[it].state().log.digest())
        .collect()
}

/// Returns the newest accepted revision of a service.
pub fn newest(driver: &Driver, service: &str) -> u64 {
    let entries = driver.entries();
    let mut changes = entries.iter().flat_map(|it| &it.batch.changes).rev();
    let newest = changes.find(|it| it.service.as_str() == service);
    newest.map_or(0, |it| it.revision.0)
}

/// Submits a change and runs until it is accepted.
pub fn accept(driver: &mut Driver, index: usize, submission: &Submission) -> Seq {
    let token = driver.submit(index, submission);
    for _ in 0..200 {
        driver.run(10);
        if driver.replies.contains_key(&token) {
            break;
        }
    }
    match driver.verdict(token) {
        Verdict::Accepted { seq, .. } => seq,
        other => panic!("accepted expected, not {other:?}"),
    }
}

/// Runs until every living kernel holds `seq` and returns the time taken, in ms. Panics if a kernel
/// moves back or it takes longer than `within` ms.
pub fn converge(driver: &mut Driver, seq: Seq, within: u64) -> u64 {
    let start = driver.now;
    let mut before = seqs(driver);
    while seqs(driver).iter().any(|it| *it < seq) {
        let passed = driver.now.since(start);
        assert!(passed <= within, "after {passed} ms: {:?}", seqs(driver));
        driver.run(10);
        let after = seqs(driver);
        assert!(before.iter().zip(&after).all(|(lhs, rhs)| lhs <= rhs));
        before = after;
    }
    driver.now.since(start)
}
