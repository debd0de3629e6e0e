//! Leaving.

mod common;

use common::{Net, id};
use laburnum_kernel::{
    Event,
    drain::{Drain, GRACE_MS, NOTICE_MS},
    members::Phase,
};

const ZONES: [&str; 64] = ["a"; 64];

/// Node 7 is told to stop. Within 2 s every other node sees it drain: urgent news is pushed by all who
/// hear it, not only carried by probes. It waits for its requests, then leaves everywhere.
#[test]
fn a_drain_is_seen_everywhere_within_two_seconds() {
    for seed in 0..8 {
        let mut net = Net::settled(seed, &ZONES);
        net.step(id(7), Event::Stop);
        net.run(2_000);
        assert_eq!(net.phases(7), [Some(Phase::Draining)].into(), "seed {seed}");
        net.step(id(7), Event::Idle);
        net.run(2_000);
        assert_eq!(net.phases(7), [None].into(), "seed {seed}");
        assert!(net.exited.contains(&id(7)));
    }
}

#[test]
fn a_draining_node_holds_no_role() {
    let mut net = Net::settled(20, &ZONES[..6]);
    net.step(id(3), Event::Stop);
    net.run(2_000);
    for viewer in 0..6 {
        let members = &net.node(viewer).state().members;
        assert!(members.ready().all(|it| it.id != id(3)));
        assert!(members.alive().any(|it| it.id == id(3)));
    }
}

/// A request in progress holds the exit; one that never ends holds it only until the grace is over.
#[test]
fn requests_in_progress_hold_the_exit_until_the_grace_is_over() {
    let mut net = Net::settled(21, &ZONES[..6]);
    net.step(id(3), Event::Stop);
    net.run(GRACE_MS - 1_000);
    assert!(matches!(net.node(3).state().drain, Drain::Waiting { .. }));
    net.run(2_000);
    assert!(net.exited.contains(&id(3)));
}

#[test]
fn an_idle_node_still_waits_until_entries_have_heard() {
    let mut net = Net::settled(22, &ZONES[..6]);
    net.step(id(3), Event::Stop);
    net.step(id(3), Event::Idle);
    net.run(NOTICE_MS - 100);
    assert!(matches!(net.node(3).state().drain, Drain::Idle { .. }));
    net.run(1_000);
    assert!(net.exited.contains(&id(3)));
}
