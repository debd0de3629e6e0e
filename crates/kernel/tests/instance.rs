//! Heartbeats of the upstream beside a node: late, repeated, and from another start.

use laburnum_kernel::{
    Ms,
    instance::{Instances, SILENCE_MS, Start, Verdict},
};

fn id(text: &str) -> Start {
    born(text, 0)
}

fn born(text: &str, born: u64) -> Start {
    Start {
        id: text.into(),
        born,
    }
}

#[test]
fn heartbeats_of_one_instance_are_ordered() {
    let mut instances = Instances::default();
    assert_eq!(instances.heartbeat(Ms(0), &id("a"), 4), Verdict::Successor);
    assert_eq!(instances.heartbeat(Ms(10), &id("a"), 5), Verdict::Present);
    assert_eq!(
        instances.heartbeat(Ms(20), &id("a"), 5),
        Verdict::Stale,
        "repeated"
    );
    assert_eq!(
        instances.heartbeat(Ms(30), &id("a"), 3),
        Verdict::Stale,
        "late"
    );
}

/// Guards against a delayed heartbeat of a crashed instance that replaces its successor.
#[test]
fn late_heartbeat_of_a_dead_instance_is_ignored() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("dead"), 1);
    assert_eq!(
        instances.heartbeat(Ms(100), &id("new"), 1),
        Verdict::Successor
    );
    assert_eq!(instances.heartbeat(Ms(200), &id("dead"), 2), Verdict::Stale);
    assert_eq!(instances.leave(&id("dead")), Verdict::Stale);
    assert_eq!(
        instances.heartbeat(Ms(300), &id("new"), 2),
        Verdict::Present
    );
}

/// Guards against a node that keeps a dead instance after a restart, when the delayed heartbeat of the dead one arrives
/// after that of the live one.
#[test]
fn live_instance_recovers_after_a_late_heartbeat() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("living"), 7);
    assert_eq!(
        instances.heartbeat(Ms(100), &id("dead"), 3),
        Verdict::Successor
    );
    assert_eq!(
        instances.heartbeat(Ms(1_500), &id("living"), 8),
        Verdict::Stale
    );
    let later = Ms(100 + SILENCE_MS);
    assert_eq!(
        instances.heartbeat(later, &id("living"), 9),
        Verdict::Successor
    );
}

/// Guards against a late heartbeat that revives a deregistered instance.
#[test]
fn heartbeat_after_deregistration_is_ignored() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("a"), 1);
    assert_eq!(instances.leave(&id("a")), Verdict::Present);
    assert_eq!(instances.heartbeat(Ms(5_000), &id("a"), 2), Verdict::Stale);
    assert_eq!(
        instances.heartbeat(Ms(5_100), &id("b"), 1),
        Verdict::Successor
    );
}

/// Guards against a restart under the same id, with sequence numbers from one, that is taken for late heartbeats of the
/// earlier start, and against late calls of the earlier start that apply to the new one.
#[test]
fn restart_under_the_same_id_is_accepted() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &born("a", 1_000), 40);
    assert_eq!(
        instances.heartbeat(Ms(100), &born("a", 9_000), 1),
        Verdict::Successor
    );
    assert_eq!(
        instances.heartbeat(Ms(200), &born("a", 1_000), 41),
        Verdict::Stale
    );
    let later = Ms(100 + 2 * SILENCE_MS);
    assert_eq!(
        instances.heartbeat(later, &born("a", 1_000), 42),
        Verdict::Stale,
        "also once the present one is silent"
    );
    assert_eq!(instances.leave(&born("a", 1_000)), Verdict::Stale);
    assert_eq!(
        instances.heartbeat(later, &born("a", 9_000), 2),
        Verdict::Present
    );
    assert_eq!(instances.leave(&born("a", 9_000)), Verdict::Present);
    assert_eq!(
        instances.heartbeat(later, &born("a", 12_000), 1),
        Verdict::Successor,
        "another restart"
    );
}

/// Guards against a late heartbeat that brings back an upstream that left, once the one that followed it is silent.
#[test]
fn upstream_that_left_never_replaces_a_silent_follower() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("a"), 1);
    assert_eq!(instances.leave(&id("a")), Verdict::Present);
    instances.heartbeat(Ms(100), &id("b"), 1);
    let later = Ms(100 + 2 * SILENCE_MS);
    assert_eq!(instances.heartbeat(later, &id("a"), 2), Verdict::Stale);
}

/// Guards against a draining upstream whose heartbeats displace the one that follows it at the host.
#[test]
fn draining_upstream_never_replaces_its_follower() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("a"), 1);
    instances.mark_leaving(&id("a"));
    assert_eq!(
        instances.heartbeat(Ms(100), &id("a"), 2),
        Verdict::Present,
        "it still answers"
    );
    instances.heartbeat(Ms(200), &id("b"), 1);
    let later = Ms(200 + 2 * SILENCE_MS);
    assert_eq!(instances.heartbeat(later, &id("a"), 3), Verdict::Stale);
}

/// Guards against a deregistration that reaches a process which has not met the upstream yet, and a late heartbeat.
#[test]
fn upstream_that_left_before_its_first_heartbeat_stays_away() {
    let mut instances = Instances::default();
    assert_eq!(instances.leave(&born("a", 1_000)), Verdict::Stale);
    assert_eq!(
        instances.heartbeat(Ms(10), &born("a", 1_000), 7),
        Verdict::Stale
    );
    assert_eq!(
        instances.heartbeat(Ms(20), &born("a", 5_000), 1),
        Verdict::Successor,
        "started again"
    );
}

/// Guards against a living instance that is ignored for good after one heartbeat with an odd sequence.
#[test]
fn odd_sequence_is_forgotten_in_a_silence() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("a"), u64::MAX);
    assert_eq!(
        instances.heartbeat(Ms(SILENCE_MS - 1), &id("a"), 2),
        Verdict::Stale
    );
    assert_eq!(
        instances.heartbeat(Ms(SILENCE_MS), &id("a"), 3),
        Verdict::Present
    );
    assert_eq!(
        instances.heartbeat(Ms(SILENCE_MS + 1), &id("a"), 3),
        Verdict::Stale
    );
}

/// Guards against a heartbeat without a start time that counts as one of another, earlier start.
#[test]
fn heartbeat_without_a_birth_is_of_the_present_start() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &born("a", 7), 1);
    assert_eq!(instances.resolve(id("a")), born("a", 7));
    assert_eq!(instances.resolve(born("a", 9)), born("a", 9));
    assert_eq!(instances.resolve(id("b")), id("b"));
}
