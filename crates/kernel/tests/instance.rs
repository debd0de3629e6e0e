//! Heartbeats of the upstream beside a node: late, repeated, and of another start.

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
fn heartbeats_of_one_instance_count_in_order() {
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

/// The upstream crashes and a new one starts at the same address. A heartbeat of the dead one, held up by the
/// network, arrives after the new one's first. Taken at its word, every request would name the dead instance and be
/// turned away.
#[test]
fn late_heartbeat_of_a_dead_instance_changes_nothing() {
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

/// A node that restarted knows neither instance. The living one announces itself, then the dead one's late heartbeat
/// arrives and seems to be the newer. The living one goes on sending and is believed again.
#[test]
fn living_instance_wins_over_a_late_stranger() {
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

/// An upstream that deregistered goes on sending for a moment, or its last heartbeat is late: it stays gone.
#[test]
fn heartbeat_after_deregistration_changes_nothing() {
    let mut instances = Instances::default();
    instances.heartbeat(Ms(0), &id("a"), 1);
    assert_eq!(instances.leave(&id("a")), Verdict::Present);
    assert_eq!(instances.heartbeat(Ms(5_000), &id("a"), 2), Verdict::Stale);
    assert_eq!(
        instances.heartbeat(Ms(5_100), &id("b"), 1),
        Verdict::Successor
    );
}

/// An upstream crashes and starts again under the id that it had, and counts its heartbeats from one. Told from the start
/// before only by its birth, it is taken up at once; were the count compared, nothing would go there until it passed the
/// old one. What the start before still sends, its deregistration too, changes nothing.
#[test]
fn upstream_that_starts_again_under_its_id_is_taken_up() {
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
        "it starts once more"
    );
}
