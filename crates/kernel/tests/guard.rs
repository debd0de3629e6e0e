//! Requests that crash their upstream: what is quarantined, where, and for how long.

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

/// The requests that node `idx` refuses.
fn held(fleet: &Fleet, idx: usize) -> Vec<u64> {
    let view = fleet.kernels[idx].state().guard.quarantined();
    let known = (1..=300).map(Fingerprint);
    known.filter(|it| view.holds(*it)).map(|it| it.0).collect()
}

fn held_everywhere(fleet: &Fleet, expected: &[u64]) {
    for idx in 0..fleet.kernels.len() {
        assert_eq!(held(fleet, idx), expected, "node {idx}");
    }
}

// A request crashes upstreams together with whoever was there. One crash refuses nobody; in the second,
// at another node or the same, the request that came back is the culprit, and every node refuses it.
#[test_case(&[(0, &[CULPRIT, 1, 2])], &[]; "one crash")]
#[test_case(&[(0, &[CULPRIT, 1, 2]), (1, &[CULPRIT, 3])], &[CULPRIT]; "two nodes")]
#[test_case(&[(0, &[CULPRIT, 1, 2]), (0, &[CULPRIT, 3])], &[CULPRIT]; "one node twice")]
#[test_case(&[(0, &[1, 2]), (1, &[3, 4]), (2, &[5])], &[]; "three crashes with nothing in common")]
#[test_case(&[(0, &[CULPRIT, CULPRIT])], &[]; "twice in flight in one crash")]
#[test_case(&[(0, &[])], &[]; "nothing in flight")]
fn crashes(crashes: &[(usize, &[u64])], expected: &[u64]) {
    let mut fleet = Fleet::new(4);
    for (idx, prints) in crashes {
        crash(&mut fleet, *idx, prints);
    }
    held_everywhere(&fleet, expected);
}

// The upstream's death is noticed and its announcement lapses before its node tells what was in flight. The
// crash counts all the same, and so does another node's report to a node without its upstream.
#[test]
fn upstream_gone_before_the_report() {
    let mut fleet = Fleet::new(3);
    for idx in 0..2 {
        fleet.upstream_gone(idx);
        fleet.run(500);
        crash(&mut fleet, idx, &[CULPRIT, idx as u64 + 1]);
    }
    fleet.run(30_000);
    held_everywhere(&fleet, &[CULPRIT]);
}

// A popular read is in flight in every crash of its neighbours. It ran well in between, so the crash
// before that does not count, and it is never refused; the culprit is.
#[test]
fn survivor_is_cleared() {
    let mut fleet = Fleet::new(4);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    survive(&mut fleet, 2, 1);
    crash(&mut fleet, 1, &[CULPRIT, 1]);
    held_everywhere(&fleet, &[CULPRIT]);
}

// After one crash the requests of that crash are suspects at every node of the service, so that an owner
// can run them one at a time; a survivor is none any more.
#[test]
fn suspects() {
    let mut fleet = Fleet::new(3);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    survive(&mut fleet, 1, 1);
    for kernel in &fleet.kernels {
        let view = kernel.state().guard.quarantined();
        assert!(view.suspects(Fingerprint(CULPRIT)));
        assert!(!view.suspects(Fingerprint(1)));
        assert!(!view.suspects(Fingerprint(2)));
    }
}

// The service was mended and an operator lifts the quarantine at one node. It ends at every node, also at
// one that was out of reach, whose older record must not bring the quarantine back.
#[test]
fn lifted_everywhere() {
    let mut fleet = Fleet::new(4);
    crash(&mut fleet, 0, &[CULPRIT]);
    crash(&mut fleet, 1, &[CULPRIT]);
    held_everywhere(&fleet, &[CULPRIT]);
    fleet.cut.extend([(0, 3), (1, 3), (2, 3)]);
    assert_eq!(
        lift(&mut fleet, 0, CULPRIT),
        Some(Reply::Guard(guard::Reply::Lifted))
    );
    assert_eq!(held(&fleet, 2), []);
    assert_eq!(held(&fleet, 3), [CULPRIT]);
    fleet.cut.clear();
    fleet.run(60_000);
    held_everywhere(&fleet, &[]);
    let logged = |it: &String| it.contains("quarantine-lifted") && it.contains("author=amal");
    assert!(fleet.trace.iter().any(logged), "{:?}", fleet.trace);
    // The crashes before the lift no longer count, later ones do.
    crash(&mut fleet, 0, &[CULPRIT]);
    held_everywhere(&fleet, &[]);
    crash(&mut fleet, 1, &[CULPRIT]);
    held_everywhere(&fleet, &[CULPRIT]);
}

#[test]
fn lift_of_nothing() {
    let mut fleet = Fleet::new(2);
    assert_eq!(
        lift(&mut fleet, 0, CULPRIT),
        Some(Reply::Guard(guard::Reply::Absent))
    );
}

// A quarantine ends by itself; crashes that lie further apart than that do not add up.
#[test]
fn expires() {
    let mut fleet = Fleet::new(3);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    crash(&mut fleet, 1, &[CULPRIT]);
    fleet.run(QUARANTINE_MS + 10_000);
    held_everywhere(&fleet, &[]);
    crash(&mut fleet, 1, &[CULPRIT, 1]);
    held_everywhere(&fleet, &[]);
}

// The report of the first crash and the news of the quarantine are lost on the way to one node. Repair
// brings both; a node that starts later learns of the quarantine as well.
#[test]
fn lost_news_is_repaired() {
    let mut fleet = Fleet::new(3);
    fleet.cut.extend([(0, 1), (0, 2), (1, 2)]);
    crash(&mut fleet, 0, &[CULPRIT, 1]);
    crash(&mut fleet, 1, &[CULPRIT, 2]);
    held_everywhere(&fleet, &[]);
    fleet.cut.clear();
    fleet.run(60_000);
    held_everywhere(&fleet, &[CULPRIT]);
    fleet.kill(2);
    fleet.run(100);
    fleet.restart(2);
    assert_eq!(held(&fleet, 2), []);
    fleet.run(60_000);
    held_everywhere(&fleet, &[CULPRIT]);
}

// An upstream in a crash loop, or a stranger's message, names ever new requests. What a node remembers
// stays bounded, and a crash that is said to lie far ahead is not believed.
#[test]
fn bounded() {
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
        let count = suspects.filter(|it| view.suspects(*it)).count();
        assert!(count <= guard::CRASHES_MAX * PRINTS_MAX, "{count}");
    }
}
