//! Spread: a change reaches every node in spite of what is lost, late, wrong or dead on its way.

#[path = "common/driver.rs"]
mod driver;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use laburnum_kernel::{
    Call, Event, Message, Ms, Reply, Seq, Settings, Token,
    accept::{Submission, Verdict, committer},
    log::{Batch, Edit, Log},
    settings::{SpreadForm, SpreadMode, SpreadSettings},
    spread::{self, Message as Spread, Status, history::History, wire},
};
use proptest::prelude::*;
use test_case::test_case;

use driver::{Driver, Fate, Tap, document, name, node, put};

const ZONES: [&str; 3] = ["cairo-a", "cairo-b", "delta-a"];

/// `nodes` kernels, dealt out over the zones, and the time to get ready.
fn fleet(nodes: usize, spread: &SpreadSettings) -> Driver {
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

fn ready(driver: &Driver) -> BTreeSet<usize> {
    let all = 0..driver.kernels.len();
    all.filter(|it| driver.kernels[*it].state().spread.ready())
        .collect()
}

fn seqs(driver: &Driver) -> Vec<Seq> {
    let alive = (0..driver.kernels.len()).filter(|it| !driver.dead.contains(it));
    alive
        .map(|it| driver.kernels[it].state().log.seq())
        .collect()
}

fn digests(driver: &Driver) -> BTreeSet<u64> {
    let alive = (0..driver.kernels.len()).filter(|it| !driver.dead.contains(it));
    alive
        .map(|it| driver.kernels[it].state().log.digest())
        .collect()
}

/// The newest accepted revision of a service.
fn newest(driver: &Driver, service: &str) -> u64 {
    let entries = driver.entries();
    let mut changes = entries.iter().flat_map(|it| &it.batch.changes).rev();
    let newest = changes.find(|it| it.service.as_str() == service);
    newest.map_or(0, |it| it.revision.0)
}

/// Submits and waits until it is accepted.
fn accept(driver: &mut Driver, index: usize, submission: &Submission) -> Seq {
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

/// Lets time pass until every living kernel holds `seq`; no kernel may step back meanwhile.
fn converge(driver: &mut Driver, seq: Seq, within: u64) -> u64 {
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

/// A tap that treats pushes only; it is told how many came before.
fn on_push(mut fate: impl FnMut(usize, usize, &mut wire::Range) -> Fate + 'static) -> Tap {
    let mut count = 0;
    Box::new(move |_, from, _, message| match message {
        Message::Spread(Spread::Push { range, .. }) => {
            count += 1;
            fate(count - 1, from, range)
        }
        _ => Fate::Arrives,
    })
}

fn none() -> Tap {
    on_push(|_, _, _| Fate::Arrives)
}

fn every_third_lost() -> Tap {
    on_push(|count, _, _| match count % 3 {
        0 => Fate::Lost,
        _ => Fate::Arrives,
    })
}

fn all_lost() -> Tap {
    on_push(|_, _, _| Fate::Lost)
}

fn doubled() -> Tap {
    on_push(|_, _, _| Fate::Doubled)
}

fn reordered() -> Tap {
    on_push(|count, _, _| Fate::Late(700 * (3 - count as u64 % 4)))
}

fn wrong_digest() -> Tap {
    on_push(|count, _, range| {
        range.digest ^= u64::from(count % 2 == 0);
        Fate::Arrives
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
        Fate::Arrives
    })
}

fn cut_short() -> Tap {
    on_push(|count, _, range| {
        range
            .body
            .truncate(range.body.len() - usize::from(count % 3 != 0));
        Fate::Arrives
    })
}

// An operator's changes are accepted while something goes wrong between the nodes. Every node still holds
// them within the 8 s that the users were promised, none steps back, and all hold the same: pushes are
// the quick way only, and whatever they fail to bring is noticed by comparison and pulled from a peer.
#[test_case(none(); "no fault")]
#[test_case(every_third_lost(); "every third push lost")]
#[test_case(all_lost(); "every push lost")]
#[test_case(doubled(); "pushes doubled")]
#[test_case(reordered(); "pushes late and out of order")]
#[test_case(wrong_digest(); "pushes with a wrong digest")]
#[test_case(wrong_base(); "deltas to a text that nobody holds")]
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

// Two roots of a zone push the same news at the same moment, as when one read the table while the committer
// told the other. Their trees overlap. Were a node to pass on only what it hears first, both trees could
// count on each other for the same node, which would then wait for repair; nothing is lost here, so every
// node has to hold the news at once, for any two roots.
#[test]
fn overlapping_trees_leave_nobody_out() {
    let settings = SpreadSettings {
        degree: 2,
        ..SpreadSettings::default()
    };
    let mut log = Log::default();
    let change = accepted_first();
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

/// The first batch that a fleet accepts.
fn accepted_first() -> Batch {
    let mut driver = fleet(1, &SpreadSettings::default());
    accept(&mut driver, 0, &put(1, "a", 0, &[]));
    driver.entries().remove(0).batch
}

// The table goes down the moment it accepted a change. Relays can't read it any more, yet the change is
// in force everywhere in time: the committer tells the relays, and nothing else needs the table.
#[test]
fn table_outage_does_not_stop_an_accepted_change() {
    let mut driver = fleet(24, &SpreadSettings::default());
    let seq = accept(&mut driver, 4, &put(1, "a", 0, &[]));
    driver.down = true;
    converge(&mut driver, seq, 8_000);
    assert_eq!(ready(&driver).len(), 24);
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

// A hundred changes arrive within seconds at nodes whose budget carries a fraction of them. Pushes wait
// and each carries the net change of what gathered meanwhile; averaged over a minute nobody exceeds the
// budget and every node ends up with everything.
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
        Fate::Arrives
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
    // A full bucket and a minute's refill.
    let most = sent.borrow().values().max().copied().unwrap_or_default();
    assert!(most <= 2 * 60 * 100, "{most} bytes in a minute");
    assert_eq!(digests(&driver).len(), 1);
}

// The baselines that the mechanism is measured against bring changes everywhere as well.
#[test_case(SpreadMode::Poll, SpreadForm::Delta; "every node polls")]
#[test_case(SpreadMode::Relays, SpreadForm::Full; "full texts")]
fn baselines_converge(mode: SpreadMode, form: SpreadForm) {
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

// A relay dies after its first push of a change. Its other children and those below them are not told. The
// zone's other relay learns of the change from the table or a peer and pushes it down a tree of its own.
#[test]
fn relay_dies_in_mid_push() {
    let mut driver = fleet(12, &SpreadSettings::default());
    let dying = Rc::new(RefCell::new(None));
    let session: Rc<RefCell<Vec<String>>> = Rc::default();
    let (victim, lines) = (dying.clone(), session.clone());
    driver.tap = Some(Box::new(move |_, from, to, message| {
        let Message::Spread(message) = message else {
            return Fate::Arrives;
        };
        let line = format!("{from:2} -> {to:2}  {}", show(message));
        if *victim.borrow() == Some(from) {
            return Fate::Lost;
        }
        if let Spread::Push { root, .. } = message
            && *root == node(from)
            && victim.borrow().is_none()
        {
            *victim.borrow_mut() = Some(from);
        }
        if !matches!(message, Spread::Compare { .. } | Spread::Report { .. }) {
            lines.borrow_mut().push(line);
        }
        Fate::Arrives
    }));
    let token = driver.submit(4, &put(1, "a", 0, &[]));
    for _ in 0..100 {
        driver.run(5);
        driver.dead.extend(*dying.borrow());
    }
    assert!(matches!(driver.verdict(token), Verdict::Accepted { .. }));
    assert!(dying.borrow().is_some(), "no relay pushed");
    converge(&mut driver, Seq(1), 8_000);
    // Times are left out: when a relay polls next is drawn at random.
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
    fn delta_leads_from_any_text_to_any_other(old in ".{0,300}", new in ".{0,300}") {
        let wire::Form::Delta { base, patch } = wire::diff(&old, &new) else {
            return Err(TestCaseError::fail("a delta expected"));
        };
        prop_assert_eq!(base, wire::text_hash(&old));
        prop_assert_eq!(wire::patch(&old, &patch), Ok(new));
    }

    #[test]
    fn damaged_bodies_are_refused_or_decode(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = wire::unpack(&bytes);
        let _ = wire::patch("base", &bytes);
    }
}

// A peer sends a few bytes that unpack to more than any document may have. They are refused from their
// header, before memory for them is taken.
#[test]
fn patch_that_expands_beyond_a_document_is_refused() {
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
fn history_answers_nobody_ahead_of_it() {
    let mut history = History::default();
    let log = Log::default();
    assert!(history.range(&log, Seq(1), SpreadForm::Delta).is_none());
}

#[test_case(100, 0, 6_000, true; "full at first")]
#[test_case(100, 0, 6_001, true; "more than a full bucket, when full")]
#[test_case(100, 6_000, 100, false; "empty")]
#[test_case(100, 5_900, 100, true; "just enough")]
fn bucket_allows(rate: u64, spent: usize, bytes: usize, allowed: bool) {
    let mut bucket = spread::pacing::Bucket::new(rate);
    bucket.spend(Ms(1_000), spent);
    assert_eq!(bucket.allows(Ms(1_000), bytes), allowed);
    assert!(
        bucket.allows(Ms(61_000), bytes),
        "full again after a minute"
    );
}
