//! Start of a whole fleet whose nodes know no peers and join by the contact rows in the table.

#[path = "common/driver.rs"]
mod driver;

use std::collections::BTreeSet;

use laburnum_kernel::{
    Event, Kernel, Name, Settings, import::Source, members::CONTACT_PREFIX, settings::Origin,
};
use test_case::test_case;

use driver::{Driver, name, node};

const ZONES: [&str; 5] = ["nasr", "maadi", "giza", "heliopolis", "shubra"];
const NODES: usize = 100;

/// Starts the node `index` without configured peers.
fn start(driver: &mut Driver, index: usize) {
    driver.add_with(Settings {
        node: node(index),
        incarnation: driver.now.0,
        zone: name(ZONES[index % ZONES.len()]),
        origin: Origin::Imported,
        ..Settings::default()
    });
}

/// Guards against excess calls of the table when a whole fleet starts at once and each node takes itself
/// for a writer of its zone's contact rows; all nodes must still find one another.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn fleet_start_makes_few_table_calls(seed: u64) {
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

/// Guards against a fleet that stays split because nodes that found each other first had their contact rows
/// overwritten by the others.
#[test]
fn fleet_merges_after_rows_are_overwritten() {
    for seed in 0..24 {
        let mut driver = Driver::new(&[]);
        driver.now = driver.now + seed;
        driver.delay = 15;
        for index in 0..25 {
            start(&mut driver, index);
            // The first host of each zone starts earlier than the others.
            driver.run(if index == 4 { 40 } else { 0 });
        }
        driver.run(45);
        // The rows of the first five nodes are lost before any other node reads them.
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

/// Guards against hosts that refuse requests for seconds after a restart of the fleet because they joined
/// only contacts of their own zone and do not know the other zones.
#[test]
fn restarted_fleet_soon_knows_all_zones() {
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

/// Guards against nodes that stay alone for seconds after an outage of the table in which they started, and against
/// contact rows of the fleet that such nodes overwrite.
#[test]
fn nodes_started_in_an_outage_soon_find_the_fleet() {
    for seed in 0..8 {
        let mut driver = Driver::new(&[]);
        driver.now = driver.now + seed;
        (0..12).for_each(|index| start(&mut driver, index));
        driver.run(20_000);
        driver.down = true;
        (12..20).for_each(|index| start(&mut driver, index));
        driver.run(8_000);
        let contacts = |driver: &Driver| {
            let rows = driver.rows.iter();
            let rows = rows.filter(|it| it.0.starts_with(CONTACT_PREFIX));
            rows.map(|it| it.1.value.clone()).collect::<Vec<_>>()
        };
        let before = contacts(&driver);
        driver.down = false;
        (12..20).for_each(|it| driver.event(it, Event::Source(Source::Held)));
        driver.run(1_000);
        for (index, kernel) in driver.kernels.iter().enumerate().skip(12) {
            let known = kernel.state().members.alive().count();
            assert!(known >= 12, "seed {seed}: node {index} knows {known}");
        }
        assert_eq!(contacts(&driver), before, "seed {seed}");
    }
}

/// Guards against a node without peers that writes its contact row and scans all rows at every check.
#[test]
fn lone_node_makes_few_table_calls() {
    let mut driver = Driver::new(&[]);
    start(&mut driver, 0);
    driver.run(50_000);
    assert!(driver.written.0 <= 2, "{} writes", driver.written.0);
    // Its joins are retried with back-off, each after a scan.
    assert!(driver.reads <= 12, "{} reads", driver.reads);
    let before = (driver.reads, driver.written.0);
    driver.run(10 * 60_000);
    let reads = driver.reads - before.0;
    let writes = driver.written.0 - before.1;
    assert!(
        reads <= 10 * 6 && writes <= 10,
        "{reads} reads, {writes} writes"
    );
}
