//! Versions of an external source: taken over, passed on, never taken back.

#[path = "common/driver.rs"]
mod driver;
#[path = "common/imported.rs"]
mod imported;

use std::{cell::RefCell, collections::BTreeSet, rc::Rc};

use laburnum_kernel::{
    Event, Message, Settings,
    event::UpstreamEvent,
    import::{Message as Import, PART_MAX, READY_TIMEOUT_MS, Source, Turn, WATCH_FIRST_MS},
    settings::Origin,
    view,
};
use test_case::test_case;

use driver::{Driver, Fate, name, node};
use imported::{table, watched_from};

const ZONES: [&str; 3] = ["nasr", "maadi", "giza"];
const FIVE_ZONES: [&str; 5] = ["nasr", "maadi", "giza", "heliopolis", "shubra"];

/// Nodes of one zone that all watch the source.
fn fleet(count: usize) -> Driver {
    watched(count, count, &ZONES[..1])
}

/// Nodes dealt out over `zones`, of which the first `watchers` watch the source and the others rely on them.
fn watched(count: usize, watchers: usize, zones: &[&str]) -> Driver {
    watched_from(0, count, watchers, zones)
}

fn version(driver: &Driver, index: usize) -> u64 {
    driver.kernels[index].state().import.table().version()
}

/// The store turns one node away and serves the others. That node's callers would be handled by an old version for
/// as long as it lasts. It asks its peers instead, four times a second.
#[test]
fn node_without_the_source_learns_from_its_peers() {
    let mut driver = fleet(4);
    driver.run(2_000);
    driver.event(3, Event::Source(Source::Lost));
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 10)));
    }
    driver.run(1_000);
    assert_eq!(version(&driver, 3), 5);
}

/// A watch that hangs without an error, on a connection that went silent, does not keep a node behind: it compares
/// with a peer every two seconds also while the source seems to answer.
#[test]
fn node_whose_watch_hangs_learns_from_its_peers() {
    let mut driver = fleet(3);
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 10)));
    }
    driver.run(2_000);
    driver.event(0, Event::Imported(table(9, 10)));
    driver.event(1, Event::Imported(table(9, 10)));
    driver.run(6_000);
    assert_eq!(version(&driver, 2), 9);
}

/// A read that the source answers from an old copy, or a peer's late message, must not bring an old route back into
/// force after callers have seen the new one.
#[test]
fn older_version_is_never_taken_over() {
    let mut driver = fleet(1);
    driver.event(0, Event::Imported(table(9, 10)));
    driver.event(0, Event::Imported(table(8, 10)));
    driver.event(0, Event::Imported(table(9, 10)));
    assert_eq!(version(&driver, 0), 9);
    let applied = driver.logs.iter().filter(|it| it.1 == "config-applied");
    assert_eq!(applied.count(), 1);
}

/// A configuration of thousands of routes is longer than one message: it travels in parts and is taken over whole.
#[test]
fn long_version_travels_in_parts() {
    let mut driver = fleet(2);
    let long = table(5, 8_000);
    driver.event(0, Event::Source(Source::Held));
    driver.event(0, Event::Imported(long.clone()));
    driver.run(4_000);
    assert_eq!(version(&driver, 1), 5);
    let got = driver.kernels[1].state().import.table();
    assert_eq!(got.spec(), long.spec());
    let packed = long.spec().routes.len() * 12;
    assert!(packed > PART_MAX, "the version needs several parts");
}

fn announce(driver: &mut Driver, index: usize) {
    let announced = UpstreamEvent::Announced {
        service: name("desk"),
        slots: 6,
    };
    driver.event(index, Event::Upstream(announced));
    driver.event(index, Event::Upstream(UpstreamEvent::Ready));
}

fn ready(driver: &Driver, index: usize) -> bool {
    driver.kernels[index].state().import.ready()
}

/// A node that serves before it holds a version would answer that there is no route.
#[test]
fn node_without_a_version_is_not_ready() {
    let mut driver = fleet(2);
    announce(&mut driver, 1);
    driver.run(2 * READY_TIMEOUT_MS);
    assert!(!ready(&driver, 0));
    driver.event(0, Event::Imported(table(5, 10)));
    driver.run(100);
    assert!(ready(&driver, 0));
}

/// A new host's node reads the configuration before any peer has told it who is there. Ready by then, it refused each
/// request of its callers for want of an endpoint, though the fleet had many.
#[test]
fn node_that_knows_no_endpoint_yet_is_not_ready() {
    let mut driver = fleet(2);
    announce(&mut driver, 0);
    driver.run(1_000);
    let late = driver.add_with(Settings {
        node: node(2),
        incarnation: driver.now.0,
        peers: vec![node(0), node(1)],
        origin: Origin::Imported,
        ..Settings::default()
    });
    driver.event(late, Event::Imported(table(5, 10)));
    assert!(!ready(&driver, late), "nobody has told it anything");
    driver.run(500);
    assert!(ready(&driver, late));
    let view = view::build(driver.kernels[late].state(), Origin::Imported);
    assert_eq!(view.services[&name("desk")].endpoints.len(), 1);
}

/// All hosts restart at once, and a node reads the source before any peer is up. Its question to a peer, without which it is not
/// ready, was due again two seconds later, and its callers were refused all the while.
#[test]
fn node_that_read_the_source_first_is_ready_soon_after_it_finds_a_peer() {
    let mut driver = fleet(1);
    driver.event(0, Event::Source(Source::Held));
    driver.event(0, Event::Imported(table(5, 10)));
    driver.run(500);
    assert!(!ready(&driver, 0), "nobody has answered yet");
    let late = driver.add_with(Settings {
        node: node(1),
        incarnation: driver.now.0,
        peers: vec![node(0)],
        origin: Origin::Imported,
        ..Settings::default()
    });
    announce(&mut driver, late);
    // The newcomer compares its view within a second.
    driver.run(1_100);
    assert!(ready(&driver, 0));
}

/// A service of the configuration has no endpoint at all, or a node is alone: it must not wait for ever.
#[test]
fn node_serves_what_it_can_after_a_while() {
    let mut alone = fleet(1);
    alone.event(0, Event::Imported(table(5, 10)));
    alone.run(READY_TIMEOUT_MS / 2);
    assert!(!ready(&alone, 0), "its peers may still answer");
    alone.run(READY_TIMEOUT_MS);
    assert!(ready(&alone, 0));
}

/// Nodes on slow links would take a storm of versions, half a megabyte each, for longer than it lasts, and requests would
/// wait behind it. One watcher with a fast link passes on what changed; the others do not touch the source.
#[test]
fn watcher_passes_differences_on_to_its_zone() {
    let mut driver = watched(4, 1, &ZONES[..1]);
    driver.event(0, Event::Source(Source::Held));
    driver.event(0, Event::Imported(table(5, 500)));
    driver.run(3_000);
    for index in 1..4 {
        assert_eq!(
            version(&driver, index),
            5,
            "node {index} asked for the first"
        );
        assert_eq!(driver.kernels[index].state().import.turn(), Turn::Rest);
    }
    driver.event(0, Event::Imported(table(8, 501)));
    driver.run(20);
    for index in 1..4 {
        assert_eq!(version(&driver, index), 8, "node {index} was told");
        let spec = driver.kernels[index].state().import.table().spec().clone();
        assert_eq!(spec.routes.len(), 501);
    }
}

/// Thirty nodes of three zones start before there is a configuration; three of them, one a zone, have fast links and watch
/// the source. The others find out who watches within a second and a half by asking around: did each of them go to the
/// source as well, their links would carry the same half megabyte side by side. The first version then comes to each
/// from its own zone, for whole versions between zones cost the most of a quiet day.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn whole_fleet_starts_without_reading_the_source_or_other_zones(seed: u64) {
    let mut driver = watched_from(seed, 30, 3, &ZONES);
    let abroad = Rc::new(RefCell::new((0, 0)));
    let pairs = Rc::new(RefCell::new(BTreeSet::new()));
    let met = pairs.clone();
    let seen = abroad.clone();
    driver.tap = Some(Box::new(move |_, from, to, message| {
        if from % 3 != to % 3 && matches!(message, Message::Import(_)) {
            met.borrow_mut().insert((from.min(to), from.max(to)));
        }
        if let Message::Import(Import::Part { .. }) = message {
            let mut seen = seen.borrow_mut();
            seen.0 += 1;
            seen.1 += usize::from(from % 3 != to % 3);
        }
        Fate::Arrives
    }));
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Held));
    }
    driver.run(WATCH_FIRST_MS + 1_000);
    let resting = |driver: &Driver| {
        let turns = (3..30).map(|it| driver.kernels[it].state().import.turn());
        turns.filter(|it| *it == Turn::Rest).count()
    };
    assert_eq!(resting(&driver), 27, "all have found a watcher");
    for index in 0..3 {
        driver.event(index, Event::Imported(table(5, 500)));
    }
    driver.run(3_000);
    assert!((3..30).all(|it| version(&driver, it) == 5));
    driver.run(30_000);
    let met = pairs.borrow().len();
    assert!(met <= 3 * 30, "{met} pairs of nodes spoke across zones");
    let (parts, abroad) = *abroad.borrow();
    assert!(
        abroad * 5 <= parts,
        "{abroad} of {parts} parts crossed zones"
    );
}

/// The source turns away both watchers of one zone and serves the others. Those who depend on them go on asking them, as
/// they should for a while: they answered a moment ago. The watchers ask abroad instead and pass on what they learn, or
/// the zone's callers would be handled by an old version for the five seconds until everybody goes to the source.
#[test]
fn zone_whose_watchers_are_turned_away_follows_the_others() {
    let mut driver = watched(30, 6, &ZONES);
    for index in 0..6 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 500)));
    }
    driver.run(10_000);
    for index in [1, 4] {
        driver.event(index, Event::Source(Source::Lost));
    }
    driver.run(1_000);
    for index in [0, 2, 3, 5] {
        driver.event(index, Event::Imported(table(8, 501)));
    }
    driver.run(1_500);
    let behind: Vec<usize> = (0..30).filter(|it| version(&driver, *it) < 8).collect();
    assert!(behind.is_empty(), "{behind:?} are behind");
}

/// One of two watchers in a zone leaves. Those who know it must not go on asking it: they would hear of no version until
/// they stop believing in it, seconds later, and their callers get 404 for routes that are there.
#[test]
fn watcher_that_left_is_not_asked() {
    let mut driver = watched(8, 2, &ZONES[..1]);
    driver.event(0, Event::Source(Source::Held));
    for index in 0..2 {
        driver.event(index, Event::Imported(table(5, 10)));
    }
    driver.run(10_000);
    driver.event(0, Event::Stop);
    driver.event(0, Event::Idle);
    driver.run(3_000);
    driver.dead.insert(0);
    let asked = Rc::new(RefCell::new(0));
    let seen = asked.clone();
    driver.tap = Some(Box::new(move |_, _, to, message| {
        let asks = matches!(message, Message::Import(Import::Ask { .. }));
        *seen.borrow_mut() += usize::from(asks && to == 0);
        Fate::Arrives
    }));
    driver.run(3_000);
    assert_eq!(*asked.borrow(), 0, "questions to one that left");
}

/// The watchers are gone: whoever depended on them watches by itself, and rests again once one is back.
#[test]
fn node_watches_by_itself_while_no_watcher_answers() {
    let mut driver = watched(2, 1, &ZONES[..1]);
    let turn = |driver: &Driver| driver.kernels[1].state().import.turn();
    assert_eq!(turn(&driver), Turn::Rest);
    driver.run(WATCH_FIRST_MS + 500);
    assert_eq!(turn(&driver), Turn::Follow, "nobody holds a version");
    driver.event(0, Event::Source(Source::Held));
    driver.event(0, Event::Imported(table(5, 10)));
    driver.run(6_000);
    assert_eq!(turn(&driver), Turn::Rest, "a watcher answers");
    driver.event(0, Event::Source(Source::Lost));
    driver.run(12_000);
    assert_eq!(turn(&driver), Turn::Follow, "the watcher lost the source");
}

/// Five zones with one watcher each; the source turns away those of three. A zone's watcher used to ask the same two nodes
/// abroad, whether or not those knew more: where their zones had lost the source as well, a version went from zone to zone
/// by one question after the other, and callers got 404 for routes accepted three seconds before. A watcher without the
/// source finds one that has it, stays with it and is told of each version at once.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn zones_without_the_source_are_told_of_each_version(seed: u64) {
    let mut driver = watched_from(seed, 25, 5, &FIVE_ZONES);
    for index in 0..5 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 50)));
    }
    driver.run(6_000);
    for index in [1, 2, 4] {
        driver.event(index, Event::Source(Source::Lost));
    }
    driver.run(700);
    for version in 6..26 {
        for index in [0, 3] {
            driver.event(index, Event::Imported(table(version, 50)));
        }
        driver.run(300);
        let behind: Vec<usize> = (0..25)
            .filter(|it| self::version(&driver, *it) < version - 1)
            .collect();
        assert!(behind.is_empty(), "{behind:?} lack version {}", version - 1);
    }
}

/// Every watcher of a zone loses power. The others relied on them for five seconds, then all read the source at once. A
/// question that is not answered tells within a second that a watcher is gone, and a few take its place, in an order that
/// all of them know.
#[test]
fn few_take_the_place_of_watchers_that_died() {
    let mut driver = watched(60, 3, &ZONES[..1]);
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 50)));
    }
    driver.run(10_000);
    driver.dead.extend(0..3);
    let following = |driver: &Driver| -> Vec<usize> {
        let turn = |it: &usize| driver.kernels[*it].state().import.turn();
        (3..60).filter(|it| turn(it) == Turn::Follow).collect()
    };
    let mut first = None;
    for step in 1..=40 {
        driver.run(100);
        let following = following(&driver);
        if !following.is_empty() && first.is_none() {
            first = Some(step * 100);
        }
        for it in &following {
            driver.event(*it, Event::Source(Source::Held));
        }
    }
    let first = first.expect("somebody takes over");
    assert!(first <= 2_200, "nobody watched for {first} ms");
    let left = following(&driver);
    assert!((1..=4).contains(&left.len()), "{left:?} watch");
    for it in left {
        driver.event(it, Event::Imported(table(9, 51)));
    }
    driver.run(100);
    let behind: Vec<usize> = (3..60).filter(|it| version(&driver, *it) < 9).collect();
    assert!(behind.is_empty(), "{behind:?} are behind");
}

/// One host is cut off from every other and still reaches the source. Nobody answers it, so it must not wait for its turn
/// among the sixty of its zone.
#[test]
fn node_that_nobody_answers_watches_by_itself() {
    let mut driver = watched(60, 3, &ZONES[..1]);
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 50)));
    }
    driver.run(10_000);
    driver.tap = Some(Box::new(|_, from, to, _| match from == 30 || to == 30 {
        true => Fate::Lost,
        false => Fate::Arrives,
    }));
    driver.run(2_500);
    let turn = driver.kernels[30].state().import.turn();
    assert_eq!(turn, Turn::Follow);
}

/// The store is down for twenty seconds. Were everybody whom nobody tells to ask it, a fleet of hundreds would make thousands of
/// calls in vain, each of them priced; where a few of a zone get no answer, nobody does.
#[test]
fn few_ask_a_source_that_answers_nobody() {
    let mut driver = watched(60, 3, &ZONES[..1]);
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Held));
        driver.event(index, Event::Imported(table(5, 50)));
    }
    driver.run(10_000);
    for index in 0..3 {
        driver.event(index, Event::Source(Source::Lost));
    }
    driver.run(20_000);
    let follow = |it: &usize| driver.kernels[*it].state().import.turn() == Turn::Follow;
    let asking = (3..60).filter(follow).count();
    assert!((1..=6).contains(&asking), "{asking} ask");
    driver.event(1, Event::Source(Source::Held));
    driver.event(1, Event::Imported(table(6, 50)));
    driver.run(1_500);
    let behind: Vec<usize> = (0..60).filter(|it| version(&driver, *it) < 6).collect();
    assert!(behind.is_empty(), "{behind:?} are behind");
}
