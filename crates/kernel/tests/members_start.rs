//! A whole fleet starts at once and finds itself through the table.

#[path = "common/driver.rs"]
mod driver;

use std::collections::BTreeSet;

use laburnum_kernel::{Event, Kernel, Name, Settings, members::CONTACT_PREFIX, settings::Origin};
use test_case::test_case;

use driver::{Driver, name, node};

const ZONES: [&str; 5] = ["nasr", "maadi", "giza", "heliopolis", "shubra"];
const NODES: usize = 100;

/// Starts the node `index`, which knows nobody.
fn start(driver: &mut Driver, index: usize) {
    driver.add_with(Settings {
        node: node(index),
        incarnation: driver.now.0,
        zone: name(ZONES[index % ZONES.len()]),
        origin: Origin::Imported,
        ..Settings::default()
    });
}

/// Calls of the table are priced, and all nodes together may make so many a second. A hundred processes start within a
/// third of a second, after power was lost; none knows another. Each took itself for one of the three that keep their
/// zone's rows, as it knew nobody else yet, wrote one and read them all again. They must still all find one another before
/// they serve.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn fleet_that_starts_together_asks_the_table_little(seed: u64) {
    let mut driver = Driver::new(&[]);
    driver.now = driver.now + seed;
    for index in 0..NODES {
        start(&mut driver, index);
        driver.run(3);
    }
    driver.run(5_000);
    for kernel in &driver.kernels {
        assert_eq!(kernel.state().members.alive().count(), NODES);
    }
    let calls = driver.reads + driver.written.0;
    assert!(calls <= 2 * NODES, "{calls} calls of {NODES} nodes");
}

/// Calls fail for want of an endpoint, at five hosts of twenty-five, until the whole fleet restarts. Five processes start a
/// moment before the others, keep a row each and find each other; the others had looked before, and overwrite those rows with
/// theirs. Nobody knew of the five any more, and they took their rows for kept. They look again after two seconds.
#[test]
fn fleet_that_starts_at_one_moment_stays_whole() {
    for seed in 0..24 {
        let mut driver = Driver::new(&[]);
        driver.now = driver.now + seed;
        driver.delay = 15;
        for index in 0..25 {
            start(&mut driver, index);
            // One host a zone is faster than the others.
            driver.run(if index == 4 { 40 } else { 0 });
        }
        driver.run(45);
        // The rows of the five, who have found each other, are overwritten before anybody else reads them.
        driver
            .rows
            .retain(|key, _| !key.starts_with(CONTACT_PREFIX));
        driver.run(6_000);
        for kernel in &driver.kernels {
            let known = kernel.state().members.alive().count();
            assert_eq!(known, 25, "seed {seed}");
        }
    }
}

/// All hosts of a small fleet restart within a fifth of a second. A zone there may lack a service, and its hosts refused each
/// request for it for seconds, as those who found a contact nearby asked nobody abroad.
#[test]
fn small_fleet_that_restarts_knows_its_other_zones_soon() {
    for seed in 0..16 {
        let mut driver = Driver::new(&[]);
        driver.now = driver.now + seed;
        let (count, zones) = (12, 3);
        let settings = |index: usize, now: u64| Settings {
            node: node(index),
            incarnation: now,
            zone: name(ZONES[index % zones]),
            origin: Origin::Imported,
            ..Settings::default()
        };
        for index in 0..count {
            driver.add_with(settings(index, driver.now.0));
        }
        driver.run(20_000);
        driver.dead.extend(0..count);
        for index in 0..count {
            driver.dead.remove(&index);
            let settings = settings(index, driver.now.0);
            driver.kernels[index] = Kernel::new(settings, seed * 100 + index as u64);
            driver.event(index, Event::Start);
            driver.run(16);
        }
        driver.run(1_000);
        for (index, kernel) in driver.kernels.iter().enumerate() {
            let alive = kernel.state().members.alive();
            let known: BTreeSet<&Name> = alive.map(|it| &it.zone).collect();
            assert_eq!(known.len(), zones, "seed {seed}, node {index}");
        }
    }
}

/// A fleet of one node, or one whose peers are all gone, has nobody to be found by. It must not write its row and read all of
/// them every two seconds for as long as that lasts.
#[test]
fn node_that_stays_alone_asks_the_table_seldom() {
    let mut driver = Driver::new(&[]);
    start(&mut driver, 0);
    driver.run(50_000);
    assert!(driver.written.0 <= 2, "{} writes", driver.written.0);
}
