//! Quarantine of requests that crash their upstream.

#[path = "common/claims.rs"]
mod claims;

use claims::Fleet;
use laburnum_kernel::{
    Call, Reply,
    guard::{self, Fingerprint, PRINTS_MAX, QUARANTINE_MS},
};
use test_case::test_case;

const CULPRIT: u64 = 100;

fn crash(fleet: &mut Fleet, idx: usize, prints: &[u64]) {
    let prints = prints.iter().copied().map(Fingerprint).collect();
    fleet.call(idx, Call::Guard(guard::Call::Crashed { prints }));
    fleet.run(1_000);
}

fn survive(fleet: &mut Fleet, idx: usize, print: u64) {
    let print = Fingerprint(print);
    fleet.call(idx, Call::Guard(guard::Call::Survived { print }));
    fleet.run(1_000);
}

fn lift(fleet: &mut Fleet, idx: usize, print: u64) -> Option<Reply> {
    let call = guard::Call::Lift {
        print: Fingerprint(print),
        author: "amal".to_owned(),
        note: "mended in release 12".to_owned(),
    };
    let token = fleet.call(idx, Call::Guard(call));
    fleet.run(1_000);
    fleet.replies.get(&token).cloned()
}

/// Returns the requests that node `idx` holds in quarantine.
fn held(fleet: &Fleet, idx: usize) -> Vec<u64> {
    let view = fleet.kernels[idx].state().guard.quarantined();
    let known = (1..=300).map(Fingerprint);
    known
        .filter(|it| view.is_held(*it))
        .map(|it| it.0)
        .collect()
}

fn assert_held_everywhere(fleet: &Fleet, expected: &[u64]) {
    for idx in 0..fleet.kernels.len() {
        assert_eq!(held(fleet, idx), expected, "node {idx}");
    }
}

// Guards against a quarantine of requests that were in flight in one crash only, and against a node that does not
// receive the quarantine after the second crash.
#[test_case(&[(0, &[CULPRIT, 1, 2])], &[]; "one crash")]
#[test_case(&[(0, &[CULPRIT, 1, 2]), (1, &[CULPRIT, 3])], &[CULPRIT]; "two nodes")]
#[test_case(&[(0, &[CULPRIT, 1, 2]), (0, &[CULPRIT, 3])], &[CULPRIT]; "one node twice")]
#[test_case(&[(0, &[1, 2]), (1, &[3, 4]), (2, &[5])], &[]; "three crashes with nothing in common")]
#[test_case(&[(0, &[CULPRIT, CULPRIT])], &[]; "twice in flight in one crash")]
#[test_case(&[(0, &[])], &[]; "nothing in flight")]
fn two_crashes_quarantine_a_request(crashes: &[(usize, &[u64])], expected: &[u64]) {
    let mut fleet = Fleet::new(4);
    for (idx, prints) in crashes {
        crash(&mut fleet, *idx, prints);
    }
    assert_held_everywhere(&fleet, expected);
}

// Guards against crashes that do not count because the upstream was withdrawn before its node reported them.
#[test]
fn crash_counts_after_upstream_withdrawal() {
    let mut fleet = Fleet::new(3);
    for idx in 0..2 {
        fleet.upstream_gone(idx);
        fleet.run(500);
        crash(&mut fleet, idx, &[CULPRIT, idx as u64 + 1]);
    }
    fleet.run(30_000);
    assert_held_everywhere(&fleet, &[CULPRIT]);
}

// Guards against the quarantine of a frequent request that was in flight in several crashes but ran in between.
#[test]
fn request_that_ran_is_cleared() {
    let mut fleet = Fleet::new(4);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    survive(&mut fleet, 2, 1);
    crash(&mut fleet, 1, &[CULPRIT, 1]);
    assert_held_everywhere(&fleet, &[CULPRIT]);
}

// Guards against suspects that are not known on all nodes, or stay suspects after they ran without a crash.
#[test]
fn requests_of_one_crash_are_suspects() {
    let mut fleet = Fleet::new(3);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    survive(&mut fleet, 1, 1);
    for kernel in &fleet.kernels {
        let view = kernel.state().guard.quarantined();
        assert!(view.is_suspect(Fingerprint(CULPRIT)));
        assert!(!view.is_suspect(Fingerprint(1)));
        assert!(!view.is_suspect(Fingerprint(2)));
    }
}

// Guards against a lifted quarantine that returns from a node that was partitioned during the lift.
#[test]
fn lift_reaches_every_node() {
    let mut fleet = Fleet::new(4);
    crash(&mut fleet, 0, &[CULPRIT]);
    crash(&mut fleet, 1, &[CULPRIT]);
    assert_held_everywhere(&fleet, &[CULPRIT]);
    fleet.cut.extend([(0, 3), (1, 3), (2, 3)]);
    assert_eq!(
        lift(&mut fleet, 0, CULPRIT),
        Some(Reply::Guard(guard::Reply::Lifted))
    );
    assert_eq!(held(&fleet, 2), []);
    assert_eq!(held(&fleet, 3), [CULPRIT]);
    fleet.cut.clear();
    fleet.run(60_000);
    assert_held_everywhere(&fleet, &[]);
    let logged = |it: &String| it.contains("quarantine-lifted") && it.contains("author=amal");
    assert!(fleet.trace.iter().any(logged), "{:?}", fleet.trace);
    // Crashes before the lift no longer count, later ones do.
    crash(&mut fleet, 0, &[CULPRIT]);
    assert_held_everywhere(&fleet, &[]);
    crash(&mut fleet, 1, &[CULPRIT]);
    assert_held_everywhere(&fleet, &[CULPRIT]);
}

#[test]
fn lift_without_quarantine_is_absent() {
    let mut fleet = Fleet::new(2);
    assert_eq!(
        lift(&mut fleet, 0, CULPRIT),
        Some(Reply::Guard(guard::Reply::Absent))
    );
}

// Guards against quarantines that do not expire and against expired crashes that still count.
#[test]
fn quarantines_and_crashes_expire() {
    let mut fleet = Fleet::new(3);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    crash(&mut fleet, 1, &[CULPRIT]);
    fleet.run(QUARANTINE_MS + 10_000);
    assert_held_everywhere(&fleet, &[]);
    crash(&mut fleet, 1, &[CULPRIT, 1]);
    assert_held_everywhere(&fleet, &[]);
}

// Guards against crashes and quarantines that stay unknown to a node that was partitioned or started later.
#[test]
fn anti_entropy_repairs_lost_updates() {
    let mut fleet = Fleet::new(3);
    fleet.cut.extend([(0, 1), (0, 2), (1, 2)]);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    crash(&mut fleet, 1, &[CULPRIT, 2]);
    assert_held_everywhere(&fleet, &[]);
    fleet.cut.clear();
    fleet.run(60_000);
    assert_held_everywhere(&fleet, &[CULPRIT]);
    fleet.kill(2);
    fleet.run(100);
    fleet.restart(2);
    assert_eq!(held(&fleet, 2), []);
    fleet.run(60_000);
    assert_held_everywhere(&fleet, &[CULPRIT]);
}

// Guards against memory that grows with the crashes of an upstream in a crash loop.
#[test]
fn crash_memory_is_bounded() {
    let mut fleet = Fleet::new(2);
    for round in 0..400u64 {
        let first = 1_000 + round * 100;
        let prints = (first..first + 100).chain([CULPRIT]).map(Fingerprint);
        let prints = prints.collect();
        fleet.call(0, Call::Guard(guard::Call::Crashed { prints }));
        fleet.run(50);
    }
    fleet.run(10_000);
    for kernel in &fleet.kernels {
        let guard = &kernel.state().guard;
        assert!(guard.crashes() <= guard::CRASHES_MAX);
        let suspects = (1_000..50_000).map(Fingerprint);
        let view = guard.quarantined();
        let count = suspects.filter(|it| view.is_suspect(*it)).count();
        assert!(count <= guard::CRASHES_MAX * PRINTS_MAX, "{count}");
    }
}
