//! Connections at one socket, under the loads that fill it.

use std::collections::VecDeque;

use laburnum_kernel::{
    Ms,
    connections::{Connections, Entry, IDLE_MIN_MS, Key},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Opens a connection that nobody has to make room for.
fn open(connections: &mut Connections, now: u64) -> Key {
    match connections.enter(Ms(now)) {
        Entry::Open(key) => key,
        other => panic!("{other:?}"),
    }
}

/// A service keeps a third of its upstreams: its callers are refused, try again on new connections a hundred times a
/// second, and leave the old ones open for 20 s. Those would fill the places in ten seconds and shut out everybody
/// from then on. Each new connection is served, and no connection with a request in progress is given up for it.
#[test]
fn refused_callers_shut_nobody_out() {
    const PLACES: usize = 1_024;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut connections = Connections::new(PLACES);
    let mut busy: Vec<(u64, Key)> = Vec::new();
    let mut idle: VecDeque<(u64, Key)> = VecDeque::new();
    let mut replaced = 0;
    for now in 0..60_000 {
        if rng.random::<f64>() < 0.1 {
            let key = match connections.enter(Ms(now)) {
                Entry::Open(key) => key,
                Entry::Replace { new, idle: old } => {
                    replaced += 1;
                    assert!(busy.iter().all(|it| it.1 != old), "a request was given up");
                    connections.leave(old);
                    idle.retain(|it| it.1 != old);
                    new
                }
                Entry::Full => panic!("shut out after {now} ms"),
            };
            connections.begin(key);
            busy.push((now + rng.random_range(1..200), key));
        }
        for (_, key) in busy.extract_if(.., |it| it.0 <= now) {
            connections.end(key, Ms(now));
            idle.push_back((now + 20_000, key));
        }
        while idle.front().is_some_and(|it| it.0 <= now) {
            let (_, key) = idle.pop_front().expect("an idle one");
            connections.leave(key);
        }
        let gauges = connections.gauges(Ms(now));
        assert_eq!((gauges.busy, gauges.idle), (busy.len(), idle.len()));
        assert!(busy.len() + idle.len() <= PLACES);
    }
    assert!(replaced > 1_000, "the places never filled: {replaced}");
}

#[test]
fn longest_idle_connection_gives_way() {
    let mut connections = Connections::new(2);
    let first = open(&mut connections, 0);
    let second = open(&mut connections, 1);
    connections.begin(first);
    connections.end(first, Ms(500));
    let Entry::Replace { new, idle } = connections.enter(Ms(1 + IDLE_MIN_MS)) else {
        panic!("no place");
    };
    assert_eq!(idle, second);
    assert_ne!(new, second);
}

/// A connection whose request is in progress keeps its place, and so does one that was opened or used a moment ago: its
/// caller is about to send.
#[test]
fn busy_and_fresh_connections_keep_their_places() {
    let mut connections = Connections::new(2);
    let busy = open(&mut connections, 0);
    connections.begin(busy);
    open(&mut connections, 5_000);
    assert_eq!(connections.enter(Ms(4_999 + IDLE_MIN_MS)), Entry::Full);
    assert!(matches!(
        connections.enter(Ms(5_000 + IDLE_MIN_MS)),
        Entry::Replace { .. }
    ));
}

/// A connection that was told to end may take a moment. Each gives way to one new connection only, or a burst would
/// open many more than there are places.
#[test]
fn each_connection_gives_way_once() {
    let mut connections = Connections::new(1);
    let only = open(&mut connections, 0);
    let Entry::Replace { new, idle } = connections.enter(Ms(IDLE_MIN_MS)) else {
        panic!("no place");
    };
    assert_eq!(idle, only);
    assert_eq!(connections.enter(Ms(IDLE_MIN_MS)), Entry::Full);
    connections.leave(only);
    connections.leave(new);
    open(&mut connections, IDLE_MIN_MS);
}

/// A request may outlive its connection. Its end must not count for the next connection in the same slot.
#[test]
fn end_of_a_request_whose_connection_is_gone_counts_for_nobody() {
    let mut connections = Connections::new(1);
    let first = open(&mut connections, 0);
    connections.begin(first);
    connections.leave(first);
    let second = open(&mut connections, 10);
    connections.begin(second);
    connections.end(first, Ms(20));
    connections.leave(first);
    let gauges = connections.gauges(Ms(20));
    assert_eq!((gauges.busy, gauges.idle), (1, 0));
}
