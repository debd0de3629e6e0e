//! Spread's repair: nodes that lack something, restarted or hold a wrong state notice it and catch up.

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

use driver::{Driver, Fate, document, node, put};
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

// A committer accepts a change, serves it, and crashes before any push left; the table goes down and the process
// comes back. Its peers agree on a configuration without the change. Were it ready on their word, its callers would
// be served by older configuration than a moment ago; its witnesses tell it that there may be more, so it waits for
// the table. One crash of another node in the same outage is not held up by that.
#[test]
fn committer_that_told_nobody_waits_for_the_table() {
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

// A node hears nothing while many changes are made. Once it hears again it is brought up to date by the
// net difference, one text a service, however many entries of the log it missed.
#[test]
fn gap_is_closed_by_the_net_difference() {
    let mut driver = fleet(12, &SpreadSettings::default());
    accept(&mut driver, 4, &put(1, "a", 0, &[]));
    driver.run(8_000);
    driver.deaf.insert(7);
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
        Fate::Arrives
    }));
    driver.deaf.clear();
    converge(&mut driver, seq, 8_000);
    assert_eq!(*fills.borrow(), vec![1]);
}

/// Text that does not compress: what a fleet's documents come to, in few services.
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

// All nodes but three restart at once and want the whole state, which is several messages long. No node
// serves more of them at a time than its setting, the others are refused and come back at random moments;
// no message outgrows the link's frame; a node is not ready before it holds what its peers hold.
#[test]
fn herd_catches_up_and_no_peer_is_overrun() {
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
        Fate::Arrives
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

// One node restarts and asks a peer for a state that is larger than the peer's allowance for catch-ups. The
// peer sends a minute's worth at once and the rest at its rate, so that those who return in a storm do not
// take the bandwidth of the others; the node gets all of it in the end.
#[test]
fn catch_up_keeps_to_its_allowance() {
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
        Fate::Arrives
    }));
    driver.restart(0);
    driver.run(10_000);
    // One part of 16 KiB may overdraw.
    let allowed = rate * (60 + 10) + 17 * 1024;
    let most = sent.borrow().values().copied().max().unwrap_or(0);
    assert!(most > rate * 30 && most <= allowed, "{most} bytes");
    converge(&mut driver, seq, 120_000);
}

// Every node of the fleet restarts while the table is down: each finds peers at its own position, all at
// nothing. Were that taken for agreement they would serve an empty configuration. They stay not ready
// until the table answers again.
#[test]
fn restarted_fleet_does_not_agree_on_nothing() {
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

// One node holds another text than all the others at the same position, as after a flipped bit in its
// memory. Positions agree, so nothing would ever be pulled; the digests that its peers tell do not, and
// once two of them contradict it, it takes over the whole state in place of its own.
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
    driver.deaf.insert(victim);
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
    driver.deaf.clear();
    driver.run(20_000);
    assert_eq!(digests(&driver).len(), 1);
}

// An operator asks any node whether a change is in force everywhere. While a node hears nothing the
// answer is no, naming it; once it caught up the answer is yes, with every node counted once.
#[test]
fn status_tells_who_lags() {
    let mut driver = fleet(12, &SpreadSettings::default());
    accept(&mut driver, 4, &put(1, "a", 0, &[]));
    driver.run(15_000);
    let it = status(&mut driver, 5);
    assert!(it.everywhere, "{it:?}");
    assert_eq!((it.nodes, it.reported), (12, 12));
    // A leaf: it has no children whose reports would be cut off with it.
    let leaf = 11;
    driver.deaf.insert(leaf);
    let seq = accept(&mut driver, 4, &put(2, "b", 0, &[]));
    driver.run(6_000);
    let it = status(&mut driver, 5);
    assert!(!it.everywhere, "{it:?}");
    assert_eq!(it.behind, vec![(node(leaf), Seq(seq.0 - 1))]);
    driver.deaf.clear();
    converge(&mut driver, seq, 8_000);
    driver.run(6_000);
    let it = status(&mut driver, 5);
    assert!(it.everywhere, "{it:?}");
}

// Whatever the fates of messages while operators submit, once the network heals every node holds the same
// state, the table's, and none stepped back on the way.
#[test]
fn any_faults_end_in_one_state() {
    let fate = prop_oneof![
        4 => Just(Fate::Arrives),
        2 => Just(Fate::Lost),
        1 => Just(Fate::Doubled),
        1 => (0..3_000u64).prop_map(Fate::Late),
    ];
    let fates = prop::collection::vec(fate, 16..64);
    let steps = prop::collection::vec((0..9usize, 0..4u8, 0..1_500u64, any::<bool>()), 1..12);
    let config = ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    proptest!(config, |(fates in fates, steps in steps)| {
        let mut driver = fleet(9, &SpreadSettings::default());
        let mut count = 0;
        driver.tap = Some(Box::new(move |_, _, _, message| {
            let Message::Spread(_) = message else {
                return Fate::Arrives;
            };
            count += 1;
            fates[count % fates.len()]
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
