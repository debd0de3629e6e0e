//! Restore of the platform's store: gossip of the new era, and rows that are written again.

#[path = "common/driver.rs"]
mod driver;

use std::{cell::RefCell, rc::Rc};

use laburnum_kernel::{
    Event, Message, Settings, members::CONTACT_PREFIX, platform::Era, settings::Origin,
};

use driver::{Delivery, Driver, name, node};

const NODES: usize = 20;

fn fleet() -> Driver {
    let mut driver = Driver::new(&[]);
    for index in 0..NODES {
        driver.add_with(Settings {
            node: node(index),
            incarnation: driver.now.0,
            zone: name("nasr"),
            origin: Origin::Imported,
            ..Settings::default()
        });
        driver.run(5);
    }
    driver.run(6_000);
    for index in 0..NODES {
        driver.event(index, Event::Era(Era(1)));
    }
    driver
}

fn eras(driver: &Driver) -> Vec<Option<Era>> {
    let eras = driver.kernels.iter().map(|it| it.state().restore.era());
    eras.collect()
}

// Guards against nodes that keep using versions of the old era because the store does not answer them, and against too
// many messages.
#[test]
fn restore_spreads_to_most_nodes() {
    let mut driver = fleet();
    let messages = Rc::new(RefCell::new(0));
    let counter = messages.clone();
    driver.tap = Some(Box::new(move |_, _, _, message| {
        *counter.borrow_mut() += usize::from(matches!(message, Message::Restore(_)));
        Delivery::Arrives
    }));
    driver.event(4, Event::Era(Era(2)));
    driver.run(500);
    let informed = eras(&driver)
        .iter()
        .filter(|it| **it == Some(Era(2)))
        .count();
    assert!(informed >= NODES * 8 / 10, "{informed} know");
    assert!(
        *messages.borrow() <= 3 * NODES,
        "{} messages",
        messages.borrow()
    );
}

// Guards against a return to an older era if its answer arrives late.
#[test]
fn older_era_is_ignored() {
    let mut driver = fleet();
    driver.event(4, Event::Era(Era(3)));
    driver.event(4, Event::Era(Era(2)));
    assert_eq!(eras(&driver)[4], Some(Era(3)));
    assert_eq!(driver.kernels[4].state().restore.restores(), 1);
}

// Guards against a restore that is reported for the first era of a process.
#[test]
fn first_era_is_not_a_restore() {
    let driver = fleet();
    assert!(
        driver
            .kernels
            .iter()
            .all(|it| it.state().restore.restores() == 0)
    );
    assert!(driver.logs.iter().all(|it| it.1 != "store-restored"));
}

// Guards against starting nodes that find no contacts because a restore lost the contact rows.
#[test]
fn contact_rows_are_rewritten() {
    let mut driver = fleet();
    driver
        .rows
        .retain(|key, _| !key.starts_with(CONTACT_PREFIX));
    driver.event(4, Event::Era(Era(2)));
    driver.run(4_000);
    let rows = driver
        .rows
        .keys()
        .filter(|it| it.starts_with(CONTACT_PREFIX));
    assert_eq!(rows.count(), 3);
}
