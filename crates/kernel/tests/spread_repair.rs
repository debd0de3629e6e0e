//! Repair of configuration: nodes that lack entries, restarted or hold a wrong state catch up.

#[path = "common/driver.rs"]
mod driver;
#[path = "common/fleet.rs"]
mod fleet;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use laburnum_kernel::{
    Call, Event, Message, Reply, Seq, Token,
    accept::{Submission, committer},
    log::{Edit, Log},
    settings::{SpreadForm, SpreadSettings},
    spread::{Message as Spread, Status, history::History, wire},
};
use proptest::prelude::*;

use driver::{Delivery, Driver, document, node, put};
use fleet::{accept, converge, digests, fleet, newest, ready, seqs};

fn status(driver: &mut Driver, index: usize) -> Status {
    let token = Token(u64::MAX - driver.now.0);
    driver.event(
        index,
        Event::Call {
            token,
            call: Call::Status,
        },
    );
    driver.run(2_000);
    match driver.replies.get(&token).map(Vec::as_slice) {
        Some([Reply::Status(status)]) => status.clone(),
        other => panic!("a status expected, not {other:?}"),
    }
}

// Guards against a committer that crashed before its push and serves older configuration after a restart
// while the table is down. Another node that restarts in the same outage must not wait.
#[test]
fn restarted_committer_waits_for_table() {
    let mut driver = fleet(6, &SpreadSettings::default());
    let region = driver.kernels[0].settings().region.clone();
    let first = committer(driver.kernels[0].state(), &region).expect("a committer");
    let idx = (0..6).find(|it| node(*it) == first).expect("a node");
    let token = driver.submit(idx, &put(1, "a", 0, &[]));
    while !driver.replies.contains_key(&token) {
        driver.run(1);
    }
    assert_eq!(driver.kernels[idx].state().log.seq(), Seq(1));
    driver.dead.insert(idx);
    driver.down = true;
    let other = (idx + 1) % 6;
    driver.dead.insert(other);
    driver.run(1_000);
    assert!(
        seqs(&driver).iter().all(|it| *it == Seq(0)),
        "{:?}",
        seqs(&driver)
    );
    driver.restart(idx);
    driver.restart(other);
    driver.run(20_000);
    assert!(!ready(&driver).contains(&idx), "ready below what it served");
    assert!(
        ready(&driver).contains(&other),
        "held up by a position of another"
    );
    driver.down = false;
    converge(&mut driver, Seq(1), 15_000);
    assert_eq!(ready(&driver).len(), 6);
}

// Guards against a catch-up that sends every missed entry of the log instead of the net change.
#[test]
fn gap_is_filled_by_net_change() {
    let mut driver = fleet(12, &SpreadSettings::default());
    accept(&mut driver, 4, &put(1, "a", 0, &[]));
    driver.run(8_000);
    driver.unreachable.insert(7);
    let mut seq = Seq(0);
    for id in 2..32 {
        let base = newest(&driver, "a");
        seq = accept(&mut driver, 4, &put(id, "a", base, &[]));
    }
    let fills = Rc::new(RefCell::new(Vec::new()));
    let seen = fills.clone();
    driver.tap = Some(Box::new(move |_, _, to, message| {
        if let Message::Spread(Spread::Fill { range }) = message
            && to == 7
        {
            let changes = wire::unpack(&range.body).expect("a body that was packed");
            seen.borrow_mut().push(changes.len());
        }
        Delivery::Arrives
    }));
    driver.unreachable.clear();
    converge(&mut driver, seq, 8_000);
    assert_eq!(*fills.borrow(), vec![1]);
}

/// Returns a submission with a long text that does not compress.
fn bulky(id: u128) -> Submission {
    let service = format!("bulk-{id}");
    let noise = (0..400u128).map(|it| {
        let hash = laburnum_kernel::utils::hash64(&[&id.to_le_bytes(), &it.to_le_bytes()]);
        format!("# {hash:016x}\n")
    });
    let text = noise.collect::<String>() + &document(&service, "team", &[]);
    Submission {
        edit: Edit::Put { text },
        ..put(id, &service, 0, &[])
    }
}

// Guards against peers that serve more catch-ups at once than their slots when most of a fleet restarts,
// against messages above the frame size, and against nodes that are ready too early.
#[test]
fn mass_restart_catches_up_within_slots() {
    let settings = SpreadSettings {
        slots: 1,
        catchup: 4 * 1024,
        ..SpreadSettings::default()
    };
    let mut driver = fleet(18, &settings);
    let mut seq = Seq(0);
    for id in 1..=40 {
        seq = accept(&mut driver, 4, &bulky(id));
    }
    converge(&mut driver, seq, 60_000);
    driver.down = true;
    let largest = Rc::new(RefCell::new(0));
    let seen = largest.clone();
    driver.tap = Some(Box::new(move |_, _, _, message| {
        let bytes = postcard::to_stdvec(message).expect("encodes").len();
        let mut seen = seen.borrow_mut();
        *seen = bytes.max(*seen);
        Delivery::Arrives
    }));
    (0..15).for_each(|it| driver.restart(it));
    for _ in 0..900 {
        driver.run(100);
        for kernel in &driver.kernels {
            let state = kernel.state();
            assert!(state.spread.stats().serving <= 1);
            assert!(!state.spread.ready() || state.log.seq() == seq);
        }
    }
    assert_eq!(ready(&driver).len(), 18);
    assert_eq!(digests(&driver).len(), 1);
    let stats = driver.kernels.iter().map(|it| it.state().spread.stats());
    let (served, refused) = stats.fold((0, 0), |(served, refused), it| {
        (served + it.served, refused + it.refused)
    });
    assert!(served >= 15, "{served} served");
    assert!(refused > 0);
    let largest = *largest.borrow();
    assert!(largest > 16 * 1024, "{largest} bytes: nothing was large");
    assert!(largest <= 60 * 1024, "{largest} bytes");
}

// Guards against a catch-up that exceeds the byte budget of the peer that serves it, or that never ends.
#[test]
fn catch_up_keeps_to_its_budget() {
    let rate = 2 * 1024;
    let settings = SpreadSettings {
        catchup: rate,
        ..SpreadSettings::default()
    };
    let mut driver = fleet(3, &settings);
    let mut seq = Seq(0);
    for id in 1..=60 {
        seq = accept(&mut driver, 1, &bulky(id));
    }
    converge(&mut driver, seq, 60_000);
    driver.run(120_000);
    driver.down = true;
    let sent = Rc::new(RefCell::new(BTreeMap::new()));
    let sums = sent.clone();
    driver.tap = Some(Box::new(move |_, from, _, message| {
        if let Message::Spread(Spread::Fill { .. } | Spread::Part { .. }) = message {
            let bytes = postcard::to_stdvec(message).expect("encodes").len() as u64;
            *sums.borrow_mut().entry(from).or_insert(0) += bytes;
        }
        Delivery::Arrives
    }));
    driver.restart(0);
    driver.run(10_000);
    // One part of 16 KiB may overdraw.
    let allowed = rate * (60 + 10) + 17 * 1024;
    let most = sent.borrow().values().copied().max().unwrap_or(0);
    assert!(most > rate * 30 && most <= allowed, "{most} bytes");
    converge(&mut driver, seq, 120_000);
}

// Guards against a fleet that restarts while the table is down, agrees on an empty configuration and
// serves it.
#[test]
fn restarted_fleet_is_not_ready_without_table() {
    let mut driver = fleet(9, &SpreadSettings::default());
    let seq = accept(&mut driver, 4, &put(1, "a", 0, &[]));
    converge(&mut driver, seq, 8_000);
    driver.down = true;
    (0..9).for_each(|it| driver.restart(it));
    driver.run(60_000);
    assert_eq!(ready(&driver), BTreeSet::new());
    driver.down = false;
    converge(&mut driver, seq, 60_000);
    driver.run(20_000);
    assert_eq!(ready(&driver).len(), 9);
}

// Guards against a node that keeps a wrong state at the right position: it replaces its state once the
// digests of two peers contradict it.
#[test]
fn state_that_peers_contradict_is_replaced() {
    let mut driver = fleet(9, &SpreadSettings::default());
    // Neither a relay, which reads the table, nor the committer of its region.
    let fits = |it: &usize| {
        let state = driver.kernels[*it].state();
        let region = &driver.kernels[*it].settings().region;
        !state.spread.stats().relay && committer(state, region) != Some(node(*it))
    };
    let victim = (0..9).find(fits).expect("two of three are relays");
    driver.unreachable.insert(victim);
    let seq = accept(&mut driver, (victim + 1) % 9, &put(1, "a", 0, &[]));
    driver.run(8_000);
    let mut other = driver.entries().remove(0).batch;
    other.changes[0].edit = Edit::Put {
        text: document("a", "nobody", &[]),
    };
    let mut log = Log::default();
    log.apply(other.into());
    let mut history = History::default();
    history.follow(&log);
    let range = history.range(&log, Seq(0), SpreadForm::Full);
    let range = range.expect("the log is not ahead of itself");
    let message = Message::Spread(Spread::Fill { range });
    let from = node(1);
    driver.event(victim, Event::Message { from, message });
    assert_eq!(driver.kernels[victim].state().log.seq(), seq);
    assert_eq!(digests(&driver).len(), 2);
    driver.unreachable.clear();
    driver.run(20_000);
    assert_eq!(digests(&driver).len(), 1);
}

// Guards against a status that reports a change as everywhere while a node lags, does not name that node,
// or counts a node twice.
#[test]
fn status_names_lagging_nodes() {
    let mut driver = fleet(12, &SpreadSettings::default());
    accept(&mut driver, 4, &put(1, "a", 0, &[]));
    driver.run(15_000);
    let it = status(&mut driver, 5);
    assert!(it.everywhere, "{it:?}");
    assert_eq!((it.nodes, it.reported), (12, 12));
    // A leaf of the report tree, so that no other report is lost with its own.
    let leaf = 11;
    driver.unreachable.insert(leaf);
    let seq = accept(&mut driver, 4, &put(2, "b", 0, &[]));
    driver.run(6_000);
    let it = status(&mut driver, 5);
    assert!(!it.everywhere, "{it:?}");
    assert_eq!(it.behind, vec![(node(leaf), Seq(seq.0 - 1))]);
    driver.unreachable.clear();
    converge(&mut driver, seq, 8_000);
    driver.run(6_000);
    let it = status(&mut driver, 5);
    assert!(it.everywhere, "{it:?}");
}

// Guards against nodes that differ from the table after random faults of messages and restarts, or that
// step back meanwhile.
#[test]
fn nodes_converge_after_any_faults() {
    let delivery = prop_oneof![
        4 => Just(Delivery::Arrives),
        2 => Just(Delivery::Lost),
        1 => Just(Delivery::Doubled),
        1 => (0..3_000u64).prop_map(Delivery::Late),
    ];
    let deliveries = prop::collection::vec(delivery, 16..64);
    let steps = prop::collection::vec((0..9usize, 0..4u8, 0..1_500u64, any::<bool>()), 1..12);
    let config = ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    proptest!(config, |(deliveries in deliveries, steps in steps)| {
        let mut driver = fleet(9, &SpreadSettings::default());
        let mut count = 0;
        driver.tap = Some(Box::new(move |_, _, _, message| {
            let Message::Spread(_) = message else {
                return Delivery::Arrives;
            };
            count += 1;
            deliveries[count % deliveries.len()]
        }));
        for (id, (index, service, wait, restart)) in steps.into_iter().enumerate() {
            let service = format!("s{service}");
            let base = newest(&driver, &service);
            driver.submit(index, &put(id as u128 + 1, &service, base, &[]));
            let before = seqs(&driver);
            driver.run(wait);
            prop_assert!(before.iter().zip(seqs(&driver)).all(|(lhs, rhs)| *lhs <= rhs));
            if restart {
                driver.restart((index + 1) % 9);
            }
        }
        driver.tap = None;
        driver.run(30_000);
        let head = Seq(driver.entries().len() as u64);
        prop_assert!(seqs(&driver).iter().all(|it| *it == head), "{:?} of {head}", seqs(&driver));
        prop_assert_eq!(digests(&driver).len(), 1);
        prop_assert_eq!(ready(&driver).len(), 9);
    });
}
