//! Connections of one socket at and below its maximum.

use std::collections::VecDeque;

use laburnum_kernel::{
    Ms,
    connections::{Connections, Entry, IDLE_MIN_MS, Key},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Opens a connection while the maximum is not reached.
fn open(connections: &mut Connections, now: u64) -> Key {
    match connections.enter(Ms(now)) {
        Entry::Open(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Guards against rejected connections while idle ones fill the socket: refused callers open 100 connections a second
/// and leave them open for 20 s. Busy connections must not be replaced.
#[test]
fn refused_callers_do_not_block_new_connections() {
    const CAPACITY: usize = 1_024;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut connections = Connections::new(CAPACITY);
    let mut busy: Vec<(u64, Key)> = Vec::new();
    let mut idle: VecDeque<(u64, Key)> = VecDeque::new();
    let mut replaced = 0;
    for now in 0..60_000 {
        if rng.random::<f64>() < 0.1 {
            let key = match connections.enter(Ms(now)) {
                Entry::Open(key) => key,
                Entry::Replace { new, idle: old } => {
                    replaced += 1;
                    assert!(
                        busy.iter().all(|it| it.1 != old),
                        "a busy connection was replaced"
                    );
                    connections.leave(old);
                    idle.retain(|it| it.1 != old);
                    new
                }
                Entry::Full => panic!("rejected after {now} ms"),
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
        assert!(busy.len() + idle.len() <= CAPACITY);
    }
    assert!(
        replaced > 1_000,
        "the maximum was never reached: {replaced}"
    );
}

#[test]
fn longest_idle_connection_is_replaced() {
    let mut connections = Connections::new(2);
    let first = open(&mut connections, 0);
    let second = open(&mut connections, 1);
    connections.begin(first);
    connections.end(first, Ms(500));
    let Entry::Replace { new, idle } = connections.enter(Ms(1 + IDLE_MIN_MS)) else {
        panic!("expected a replacement");
    };
    assert_eq!(idle, second);
    assert_ne!(new, second);
}

/// Guards against the replacement of connections that are busy or were used a moment ago.
#[test]
fn busy_and_recent_connections_are_kept() {
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

/// Guards against several new connections in place of one that is still closing.
#[test]
fn each_connection_is_replaced_once() {
    let mut connections = Connections::new(1);
    let only = open(&mut connections, 0);
    let Entry::Replace { new, idle } = connections.enter(Ms(IDLE_MIN_MS)) else {
        panic!("expected a replacement");
    };
    assert_eq!(idle, only);
    assert_eq!(connections.enter(Ms(IDLE_MIN_MS)), Entry::Full);
    connections.leave(only);
    connections.leave(new);
    open(&mut connections, IDLE_MIN_MS);
}

/// Guards against the end of a request that counts for a later connection in the same slot.
#[test]
fn end_on_a_closed_connection_is_ignored() {
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
