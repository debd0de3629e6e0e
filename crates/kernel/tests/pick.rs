//! Pick: which endpoint an entry chooses, by what it has seen.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use laburnum_kernel::{
    Ms, Name, NodeId,
    admission::Load,
    document::Class,
    members::{Phase, Reach},
    pick::{Choice, Outcome, Picker, Place},
    refusal::{Reason, Refusal},
    view::Endpoint,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const CLASS: Class = Class::Interactive;
const RAMP: u64 = 5_000;

fn name(text: &str) -> Name {
    text.parse().expect("a literal name is valid")
}

fn node(port: u16) -> NodeId {
    NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
}

/// Endpoints by "region/zone"; their ports count from one.
fn endpoints(places: &[&str]) -> Vec<Endpoint> {
    (1..)
        .zip(places)
        .map(|(port, place)| {
            let (region, zone) = place.split_once('/').expect("region/zone");
            Endpoint {
                node: node(port),
                incarnation: 1,
                traffic: node(port).0,
                region: name(region),
                zone: name(zone),
                phase: Phase::Ready,
                reach: Reach::Reachable,
                slots: 6,
            }
        })
        .collect()
}

fn picker(endpoints: &[Endpoint]) -> Picker {
    let place = Place {
        region: name("cairo"),
        zone: name("nasr-hall"),
    };
    let mut picker = Picker::new(place);
    picker.refresh(Ms(0), endpoints, RAMP);
    picker
}

/// Choices out of a thousand by port, with nothing in flight.
fn tally(picker: &Picker, now: Ms, tried: &[NodeId]) -> BTreeMap<u16, usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut tally = BTreeMap::new();
    for _ in 0..1_000 {
        if let Choice::Send(it) = picker.pick(now, &mut rng, CLASS, tried) {
            *tally.entry(it.node.0.port()).or_default() += 1;
        }
    }
    tally
}

fn choice(picker: &Picker, now: Ms, class: Class) -> Choice {
    picker.pick(now, &mut ChaCha8Rng::seed_from_u64(7), class, &[])
}

fn fail(picker: &mut Picker, now: Ms, node: NodeId, times: usize) {
    for _ in 0..times {
        picker.started(now, node);
        picker.finished(now, node, CLASS, Outcome::Failed, None);
    }
}

fn refuse(picker: &mut Picker, now: Ms, node: NodeId, refusal: Refusal) {
    picker.started(now, node);
    picker.finished(now, node, CLASS, Outcome::Refused(refusal), None);
}

fn answer(picker: &mut Picker, now: Ms, node: NodeId, latency: u64, load: Option<Load>) {
    picker.started(now, node);
    picker.finished(now, node, CLASS, Outcome::Answered { latency }, load);
}

#[test_case(&["cairo/nasr-hall", "cairo/nasr-hall", "cairo/maadi-hall"], &[1, 2]; "own zone first")]
#[test_case(&["cairo/maadi-hall", "cairo/giza-hall", "pnw/pnw-a"], &[1, 2]; "own region next")]
#[test_case(&["pnw/pnw-a", "pnw/pnw-b"], &[1, 2]; "beyond if nothing else")]
fn near_before_far(places: &[&str], expected: &[u16]) {
    let picker = picker(&endpoints(places));
    let tally = tally(&picker, Ms(10_000), &[]);
    assert_eq!(tally.keys().copied().collect::<Vec<_>>(), expected);
    assert!(tally.values().all(|it| *it > 300), "{tally:?}");
}

/// Callers in one zone queue at its only endpoint while the next zone idles. Its load exceeds its
/// slots; the expected time there is longer than the way to the next zone.
#[test]
fn load_spills_to_the_next_zone() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall", "cairo/maadi-hall"]));
    for _ in 0..6 {
        picker.started(Ms(10_000), node(1));
    }
    assert_eq!(
        tally(&picker, Ms(10_000), &[]),
        BTreeMap::from([(2, 1_000)])
    );
}

/// An entry that sends little itself overloads an endpoint that others keep busy. The load told with an
/// answer turns it away; told long ago, it counts for nothing.
#[test_case(10_100, 2; "told just now")]
#[test_case(20_000, 1; "told long ago")]
fn load_told_by_answers_ages(now: u64, expected: u16) {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall", "cairo/maadi-hall"]));
    let load = Load {
        running: 6,
        waiting: 4,
        limit: 6,
    };
    answer(&mut picker, Ms(10_000), node(1), 20, Some(load));
    answer(&mut picker, Ms(10_000), node(2), 20, None);
    assert_eq!(
        tally(&picker, Ms(now), &[]),
        BTreeMap::from([(expected, 1_000)])
    );
}

/// The upstream leaves, yet requests go there and are refused. Whether the members tell it or only its
/// own refusal does, the entry stops choosing it.
#[test_case(Phase::Draining)]
#[test_case(Phase::Warming)]
#[test_case(Phase::Gone)]
fn only_ready_endpoints_are_chosen(phase: Phase) {
    let mut all = endpoints(&["cairo/nasr-hall", "cairo/giza-hall"]);
    all[0].phase = phase;
    assert_eq!(
        tally(&picker(&all), Ms(0), &[]),
        BTreeMap::from([(2, 1_000)])
    );
    all[1].phase = phase;
    let refused = choice(&picker(&all), Ms(0), CLASS);
    assert!(
        matches!(refused, Choice::Refuse(it) if it.reason == Reason::NoEndpoint && it.after > 0)
    );
}

/// The members still announce an endpoint as ready that answers nothing. Each entry learns by itself: after
/// three failures in a row it ejects the endpoint, then lets one request at a time try it.
#[test]
fn failing_endpoints_are_ejected_and_probed() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall"; 4]));
    fail(&mut picker, Ms(0), node(1), 3);
    assert!(!tally(&picker, Ms(900), &[]).contains_key(&1));
    assert!(tally(&picker, Ms(1_001), &[]).contains_key(&1));
    picker.started(Ms(1_001), node(1));
    assert!(
        !tally(&picker, Ms(1_002), &[]).contains_key(&1),
        "a second probe"
    );
    picker.finished(Ms(1_010), node(1), CLASS, Outcome::Failed, None);
    assert!(
        !tally(&picker, Ms(2_900), &[]).contains_key(&1),
        "not ejected for longer"
    );
    assert!(tally(&picker, Ms(3_011), &[]).contains_key(&1));
    answer(&mut picker, Ms(3_011), node(1), 20, None);
    picker.started(Ms(3_012), node(1));
    let others = [node(2), node(3), node(4)];
    let only = tally(&picker, Ms(3_020), &others);
    assert_eq!(
        only,
        BTreeMap::from([(1, 1_000)]),
        "still probing after an answer"
    );
}

/// A fault on the entry's own side makes every endpoint fail, and it refuses all work though upstreams are
/// well. At most half are ejected, so the others keep being tried.
#[test_case(1, 1; "a single one stays")]
#[test_case(4, 2; "half stay")]
#[test_case(7, 4; "the larger half stays")]
fn ejection_is_bounded(count: u16, stay: usize) {
    let mut picker = picker(&endpoints(&vec!["cairo/nasr-hall"; usize::from(count)]));
    for port in 1..=count {
        fail(&mut picker, Ms(0), node(port), 10);
    }
    assert_eq!(tally(&picker, Ms(1), &[]).len(), stay);
}

/// A caller cancels a request to an endpoint that is being probed. That says nothing of the endpoint.
#[test]
fn a_cancelled_probe_does_not_eject() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall"; 4]));
    fail(&mut picker, Ms(0), node(1), 3);
    picker.started(Ms(1_001), node(1));
    picker.finished(Ms(1_010), node(1), CLASS, Outcome::Cancelled, None);
    assert!(tally(&picker, Ms(1_011), &[]).contains_key(&1));
}

/// An overloaded endpoint refuses with a hint and the same entry sends more at once. The hint holds
/// for the class refused: refused lookups do not turn drafts away.
#[test]
fn refusal_hints_are_respected_by_class() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall"]));
    refuse(
        &mut picker,
        Ms(0),
        node(1),
        Refusal::after(Reason::Overloaded, 80),
    );
    let held = Choice::Refuse(Refusal::after(Reason::Overloaded, 30));
    assert_eq!(choice(&picker, Ms(50), CLASS), held);
    assert!(matches!(
        choice(&picker, Ms(50), Class::Exact),
        Choice::Send(_)
    ));
    assert!(matches!(choice(&picker, Ms(80), CLASS), Choice::Send(_)));
}

/// A wrong hint of an hour would take an endpoint away from an entry for good. A hint counts for a second.
#[test]
fn a_hint_is_bounded() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall"]));
    refuse(
        &mut picker,
        Ms(0),
        node(1),
        Refusal::after(Reason::QueueFull, 3_600_000),
    );
    assert!(matches!(choice(&picker, Ms(1_000), CLASS), Choice::Send(_)));
}

#[test_case(Reason::Draining, true)]
#[test_case(Reason::NotReady, true)]
#[test_case(Reason::Limited, false)]
#[test_case(Reason::Expired, false)]
#[test_case(Reason::Quarantined, false)]
fn refusals_that_concern_the_endpoint_hold_every_class(reason: Reason, holds: bool) {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall", "cairo/nasr-hall"]));
    refuse(&mut picker, Ms(0), node(1), Refusal::new(reason));
    let Choice::Send(it) = picker.pick(
        Ms(400),
        &mut ChaCha8Rng::seed_from_u64(1),
        Class::Exact,
        &[node(2)],
    ) else {
        assert!(holds, "held for {reason}");
        return;
    };
    assert!(!holds, "{reason} did not hold {}", it.node);
}

/// A retry goes back to the endpoint that just failed. What was tried is left out while others remain.
#[test]
fn tried_endpoints_are_left_out() {
    let picker = picker(&endpoints(&[
        "cairo/nasr-hall",
        "cairo/nasr-hall",
        "pnw/pnw-a",
    ]));
    assert_eq!(
        tally(&picker, Ms(0), &[node(1)]),
        BTreeMap::from([(2, 1_000)])
    );
    assert_eq!(
        tally(&picker, Ms(0), &[node(1), node(2)]),
        BTreeMap::from([(3, 1_000)])
    );
    let none = picker.pick(
        Ms(0),
        &mut ChaCha8Rng::seed_from_u64(1),
        CLASS,
        &[node(1), node(2), node(3)],
    );
    assert!(matches!(none, Choice::Refuse(it) if it.reason == Reason::NoEndpoint));
}

/// A restarted upstream is given its full share at once and sheds it. Its new incarnation starts small
/// and grows over the ramp; nothing held against the old one counts.
#[test]
fn a_new_incarnation_starts_small() {
    let mut all = endpoints(&["cairo/nasr-hall"; 2]);
    let mut picker = picker(&all);
    fail(&mut picker, Ms(0), node(1), 3);
    all[0].incarnation = 2;
    picker.refresh(Ms(10), &all, RAMP);
    let share = |now: u64| {
        let mut picker = picker_like(&all, 10);
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let mut first = 0;
        for _ in 0..12 {
            if let Choice::Send(it) = picker.pick(Ms(now), &mut rng, CLASS, &[]) {
                picker.started(Ms(now), it.node);
                first += usize::from(it.node == node(1));
            }
        }
        first
    };
    assert!(tally(&picker, Ms(20), &[]).contains_key(&1) || share(20) > 0);
    assert!(share(20) <= 2, "cold: {} of 12", share(20));
    assert!(
        (5..=7).contains(&share(6_000)),
        "warm: {} of 12",
        share(6_000)
    );
}

/// A picker that saw the first endpoint of `all` restart at `born`.
fn picker_like(all: &[Endpoint], born: u64) -> Picker {
    let mut before = all.to_vec();
    before[0].incarnation -= 1;
    let mut picker = picker(&before);
    picker.refresh(Ms(born), all, RAMP);
    picker
}

/// A probe's end is never told, for its task was dropped. The endpoint must not stay shut for good: after
/// half a minute another request may try it.
#[test]
fn a_lost_probe_is_given_up_on() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall"; 4]));
    fail(&mut picker, Ms(0), node(1), 3);
    picker.started(Ms(1_001), node(1));
    assert!(!tally(&picker, Ms(31_000), &[]).contains_key(&1));
    let others = [node(2), node(3), node(4)];
    let only = tally(&picker, Ms(31_001), &others);
    assert_eq!(only, BTreeMap::from([(1, 1_000)]));
}

/// One upstream in three is slow and its requests drag the whole service. Its pace, measured against the
/// mean of each class, turns most work away; some still goes there, or its recovery would go unseen.
#[test]
fn slow_endpoints_get_less() {
    let mut picker = picker(&endpoints(&["cairo/nasr-hall"; 3]));
    for _ in 0..50 {
        for (port, latency) in [(1, 60), (2, 20), (3, 20)] {
            answer(&mut picker, Ms(0), node(port), latency, None);
        }
    }
    assert!(!tally(&picker, Ms(1), &[]).contains_key(&1));
    let later = tally(&picker, Ms(60_000), &[]);
    assert!(later.contains_key(&1), "never tried again: {later:?}");
}

/// Hundreds of endpoints come and go under thousands of calls: what is known of the others stays, and
/// what is known of the gone is dropped.
#[test]
fn the_set_changes_under_load() {
    let mut all = endpoints(&["cairo/nasr-hall"; 300]);
    let mut picker = picker(&all);
    fail(&mut picker, Ms(0), node(300), 3);
    for gone in 0..200 {
        all.remove(0);
        picker.refresh(Ms(gone), &all, RAMP);
        picker.started(Ms(gone), node(1));
        picker.finished(Ms(gone), node(1), CLASS, Outcome::Failed, None);
    }
    assert_eq!(picker.len(), 100);
    assert!(
        !tally(&picker, Ms(900), &[]).contains_key(&300),
        "the ejection was forgotten"
    );
}

/// The members say that the own zone's endpoint cannot be reached, as after a cut. It is the nearest and
/// the fastest by name, yet requests go to the further one; only when that one was tried does it get one.
#[test]
fn unreachable_endpoint_comes_last() {
    let mut endpoints = endpoints(&["cairo/nasr-hall", "cairo/giza-hall"]);
    endpoints[0].reach = Reach::Unreachable;
    let picker = picker(&endpoints);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..100 {
        let choice = picker.pick(Ms(1), &mut rng, Class::Interactive, &[]);
        assert_eq!(choice, Choice::Send(endpoints[1].clone()));
    }
    let choice = picker.pick(Ms(1), &mut rng, Class::Interactive, &[endpoints[1].node]);
    assert_eq!(choice, Choice::Send(endpoints[0].clone()));
}
