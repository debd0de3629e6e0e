//! Distribution of changes by pushes, under faults of messages, nodes and the table.

#[path = "common/driver.rs"]
mod driver;
#[path = "common/fleet.rs"]
mod fleet;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use laburnum_kernel::{
    Event, Message, Ms, Seq,
    accept::Verdict,
    log::{Batch, Log},
    settings::{SpreadForm, SpreadMode, SpreadSettings},
    spread::{self, Message as Spread, history::History, wire},
};
use proptest::prelude::*;
use test_case::test_case;

use driver::{Delivery, Tap, node, put};
use fleet::{ZONES, accept, converge, digests, fleet, newest, ready, seqs};

/// Returns a tap that applies `delivery` to pushes only. `delivery` gets the number of pushes before.
fn on_push(mut delivery: impl FnMut(usize, usize, &mut wire::Range) -> Delivery + 'static) -> Tap {
    let mut count = 0;
    Box::new(move |_, from, _, message| match message {
        Message::Spread(Spread::Push { range, .. }) => {
            count += 1;
            delivery(count - 1, from, range)
        }
        _ => Delivery::Arrives,
    })
}

fn no_fault() -> Tap {
    on_push(|_, _, _| Delivery::Arrives)
}

fn every_third_lost() -> Tap {
    on_push(|count, _, _| match count % 3 {
        0 => Delivery::Lost,
        _ => Delivery::Arrives,
    })
}

fn all_lost() -> Tap {
    on_push(|_, _, _| Delivery::Lost)
}

fn doubled() -> Tap {
    on_push(|_, _, _| Delivery::Doubled)
}

fn reordered() -> Tap {
    on_push(|count, _, _| Delivery::Late(700 * (3 - count as u64 % 4)))
}

fn wrong_digest() -> Tap {
    on_push(|count, _, range| {
        range.digest ^= u64::from(count % 2 == 0);
        Delivery::Arrives
    })
}

fn wrong_base() -> Tap {
    on_push(|_, _, range| {
        let mut changes = wire::unpack(&range.body).expect("a body that was packed");
        for it in &mut changes {
            if let wire::Form::Delta { base, .. } = &mut it.form {
                *base ^= 1;
            }
        }
        range.body = wire::pack(&changes);
        Delivery::Arrives
    })
}

fn cut_short() -> Tap {
    on_push(|count, _, range| {
        range
            .body
            .truncate(range.body.len() - usize::from(count % 3 != 0));
        Delivery::Arrives
    })
}

// Guards against nodes that miss a change, step back or hold another state when pushes are lost, late or
// damaged: comparisons and pulls have to repair it in time.
#[test_case(no_fault(); "no fault")]
#[test_case(every_third_lost(); "every third push lost")]
#[test_case(all_lost(); "every push lost")]
#[test_case(doubled(); "pushes doubled")]
#[test_case(reordered(); "pushes late and out of order")]
#[test_case(wrong_digest(); "pushes with a wrong digest")]
#[test_case(wrong_base(); "deltas with an unknown base")]
#[test_case(cut_short(); "pushes cut short")]
fn changes_reach_every_node_within_8_s(tap: Tap) {
    let mut driver = fleet(24, &SpreadSettings::default());
    driver.tap = Some(tap);
    let mut seq = Seq(0);
    for (id, service) in ["a", "b", "a", "a"].into_iter().enumerate() {
        let base = newest(&driver, service);
        seq = accept(&mut driver, 4, &put(id as u128 + 1, service, base, &[]));
    }
    converge(&mut driver, seq, 8_000);
    assert_eq!(digests(&driver).len(), 1);
}

// Guards against nodes that get no push when two roots of a zone push the same entries at once: each
// node has to forward the pushes of both.
#[test]
fn overlapping_trees_reach_every_node() {
    let settings = SpreadSettings {
        degree: 2,
        ..SpreadSettings::default()
    };
    let mut log = Log::default();
    let change = first_batch();
    log.apply(change.into());
    let mut history = History::default();
    history.follow(&log);
    let range = history.range(&log, Seq(0), SpreadForm::Full);
    let range = range.expect("the log is not ahead of itself");
    // The nodes of the first zone.
    let zone: Vec<usize> = (0..24).step_by(ZONES.len()).collect();
    for second in zone.iter().skip(1) {
        let mut driver = fleet(24, &settings);
        for root in [zone[0], *second] {
            let (from, range) = (node(1), range.clone());
            let message = Spread::Push {
                root: node(root),
                range,
            };
            let message = Message::Spread(message);
            driver.event(root, Event::Message { from, message });
        }
        driver.run(40);
        let held: Vec<Seq> = zone.iter().map(|it| seqs(&driver)[*it]).collect();
        assert_eq!(
            held,
            vec![Seq(1); zone.len()],
            "roots {} and {second}",
            zone[0]
        );
    }
}

/// Returns the first batch that a fleet accepts.
fn first_batch() -> Batch {
    let mut driver = fleet(1, &SpreadSettings::default());
    accept(&mut driver, 0, &put(1, "a", 0, &[]));
    driver.entries().remove(0).batch
}

// Guards against an accepted change that stops spreading when the table goes down at once: the committer
// pushes it to the relays.
#[test]
fn accepted_change_spreads_in_table_outage() {
    let mut driver = fleet(24, &SpreadSettings::default());
    let seq = accept(&mut driver, 4, &put(1, "a", 0, &[]));
    driver.down = true;
    converge(&mut driver, seq, 8_000);
    assert_eq!(ready(&driver).len(), 24);
}

// Guards against a node that exceeds its budget averaged over a minute when many changes arrive at once,
// and against changes that are lost while pushes are delayed.
#[test]
fn burst_over_budget_is_coalesced() {
    let settings = SpreadSettings {
        budget: 100,
        ..SpreadSettings::default()
    };
    let mut driver = fleet(12, &settings);
    let sent: Rc<RefCell<BTreeMap<(usize, u64), u64>>> = Rc::default();
    let seen = sent.clone();
    driver.tap = Some(Box::new(move |now: Ms, from, _, message| {
        if let Message::Spread(Spread::Push { .. }) = message {
            let bytes = postcard::to_stdvec(message).expect("encodes").len() as u64;
            *seen.borrow_mut().entry((from, now.0 / 60_000)).or_default() += bytes;
        }
        Delivery::Arrives
    }));
    let mut seq = Seq(0);
    for id in 1..=100 {
        let service = format!("s{}", id % 10);
        let base = newest(&driver, &service);
        seq = accept(&mut driver, 4, &put(id, &service, base, &[]));
    }
    converge(&mut driver, seq, 60_000);
    let stats = driver.kernels.iter().map(|it| it.state().spread.stats());
    let delayed: u64 = stats.map(|it| it.delayed).sum();
    assert!(delayed > 0);
    // At most a full bucket and a minute's refill.
    let most = sent.borrow().values().max().copied().unwrap_or_default();
    assert!(most <= 2 * 60 * 100, "{most} bytes in a minute");
    assert_eq!(digests(&driver).len(), 1);
}

// Guards against changes that are lost in the modes that serve as baselines for measurements.
#[test_case(SpreadMode::Poll, SpreadForm::Delta; "every node polls")]
#[test_case(SpreadMode::Relays, SpreadForm::Full; "full texts")]
fn poll_and_full_text_modes_converge(mode: SpreadMode, form: SpreadForm) {
    let settings = SpreadSettings {
        mode,
        form,
        ..SpreadSettings::default()
    };
    let mut driver = fleet(12, &settings);
    accept(&mut driver, 4, &put(1, "a", 0, &[]));
    let seq = accept(&mut driver, 4, &put(2, "b", 0, &["a"]));
    converge(&mut driver, seq, 8_000);
    assert_eq!(digests(&driver).len(), 1);
}

// Guards against nodes that miss a change because a relay died during its push: another relay has to read
// it from the table or a peer and push it. Pulls are lost, so only that relay can bring it.
#[test]
fn relay_dies_in_mid_push() {
    let mut driver = fleet(12, &SpreadSettings::default());
    let dying = Rc::new(RefCell::new(None));
    let session: Rc<RefCell<Vec<String>>> = Rc::default();
    let (victim, lines) = (dying.clone(), session.clone());
    let start = driver.now;
    driver.tap = Some(Box::new(move |now, from, to, message| {
        let Message::Spread(message) = message else {
            return Delivery::Arrives;
        };
        let millis = now.since(start);
        let line = format!("{millis:>6} ms  {from:2} -> {to:2}  {}", show(message));
        let pulls = matches!(message, Spread::Pull { .. });
        if pulls || *victim.borrow() == Some(from) {
            return Delivery::Lost;
        }
        if let Spread::Push { root, .. } = message
            && *root == node(from)
            && victim.borrow().is_none()
        {
            *victim.borrow_mut() = Some(from);
            let death = format!("{millis:>6} ms  relay {from} dies after its next push");
            lines.borrow_mut().push(death);
        }
        if !matches!(message, Spread::Compare { .. } | Spread::Report { .. }) {
            lines.borrow_mut().push(line);
        }
        Delivery::Arrives
    }));
    let token = driver.submit(4, &put(1, "a", 0, &[]));
    for _ in 0..100 {
        driver.run(5);
        driver.dead.extend(*dying.borrow());
    }
    assert!(matches!(driver.verdict(token), Verdict::Accepted { .. }));
    assert!(dying.borrow().is_some(), "no relay pushed");
    converge(&mut driver, Seq(1), 8_000);
    insta::assert_snapshot!(session.borrow().join("\n"));
}

fn show(message: &Spread) -> String {
    match message {
        Spread::Push { root, range } => {
            format!(
                "push {}..{} below {}",
                range.from,
                range.to,
                root.0.port() - 7200
            )
        }
        Spread::Fill { range } => format!("fill {}..{}", range.from, range.to),
        Spread::Pull { seq, .. } => format!("pull after {seq}"),
        other => format!("{other:?}")
            .split(' ')
            .next()
            .unwrap_or_default()
            .to_lowercase(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn delta_restores_any_text(old in ".{0,300}", new in ".{0,300}") {
        let wire::Form::Delta { base, patch } = wire::diff(&old, &new) else {
            return Err(TestCaseError::fail("a delta expected"));
        };
        prop_assert_eq!(base, wire::text_hash(&old));
        prop_assert_eq!(wire::patch(&old, &patch), Ok(new));
    }

    #[test]
    fn damaged_bodies_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = wire::unpack(&bytes);
        let _ = wire::patch("base", &bytes);
    }
}

// Guards against memory exhaustion by a short patch that expands to more than the size limit of a
// document.
#[test]
fn oversized_patch_is_refused() {
    let zeros = vec![0; laburnum_kernel::platform::VALUE_MAX + 1];
    let packed = zstd::bulk::compress(&zeros, 3).expect("the memory suffices");
    let patch: Vec<u8> = std::iter::once(1).chain(packed).collect();
    assert!(patch.len() < 100);
    assert_eq!(wire::patch("", &patch), Err(wire::BadRange));
    let packed = zstd::bulk::compress(&zeros[1..], 3).expect("the memory suffices");
    let patch: Vec<u8> = std::iter::once(1).chain(packed).collect();
    assert!(wire::patch("", &patch).is_ok());
}

#[test]
fn history_has_no_range_ahead_of_log() {
    let mut history = History::default();
    let log = Log::default();
    assert!(history.range(&log, Seq(1), SpreadForm::Delta).is_none());
}

#[test_case(100, 0, 6_000, true; "full at first")]
#[test_case(100, 0, 6_001, true; "more than a full bucket, when full")]
#[test_case(100, 6_000, 100, false; "empty")]
#[test_case(100, 5_900, 100, true; "just enough")]
fn bucket_allows(rate: u64, spent: usize, bytes: usize, allowed: bool) {
    let mut bucket = spread::pacing::TokenBucket::new(rate);
    bucket.spend(Ms(1_000), spent);
    assert_eq!(bucket.allows(Ms(1_000), bytes), allowed);
    assert!(
        bucket.allows(Ms(61_000), bytes),
        "full again after a minute"
    );
}
