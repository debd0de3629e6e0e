//! Since when a host surely holds the newest version, while messages are late and hosts lose the source.

#[path = "common/driver.rs"]
mod driver;
#[path = "common/imported.rs"]
mod imported;
#[path = "common/source.rs"]
mod source;

use driver::Delivery;
use laburnum_kernel::{
    Ms,
    customer::{CustomerSpec, Quota},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use source::{Fleet, SourceMode};
use test_case::test_case;

const ZONES: [&str; 3] = ["nasr", "maadi", "giza"];
/// Longest age of the knowledge of a host that can reach the source or a host that does, in ms.
const AGE_MS: u64 = 3_000;

fn fleet(seed: u64, count: usize, watchers: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, count, watchers, &ZONES);
    fleet.customers.push(CustomerSpec {
        name: "acme".into(),
        keys: Vec::new(),
        quota: Quota::default(),
        priority: None,
    });
    fleet.publish();
    fleet.run(10_000);
    fleet
}

fn known_since(fleet: &Fleet, index: usize) -> Ms {
    let state = fleet.driver.kernels[index].state();
    state.import.known_since()
}

/// Returns hosts that believe a version to be the newest at a time at which a newer one was acknowledged.
fn deceived(fleet: &Fleet) -> Vec<(usize, u64)> {
    let hosts = 0..fleet.modes.len();
    let deceived = hosts.filter_map(|it| {
        let held = fleet.version(it);
        let (_, next) = fleet.acked.iter().find(|(version, _)| *version > held)?;
        let excess = known_since(fleet, it).since(*next);
        (excess > 0).then_some((it, excess))
    });
    deceived.collect()
}

/// In touch with the source, directly or through others, hosts know that their version is the newest.
#[test_case(8, 8; "all watch")]
#[test_case(30, 6; "some watch")]
#[test_case(100, 3; "few watch")]
fn hosts_in_touch_know_it(count: usize, watchers: usize) {
    let mut fleet = fleet(1, count, watchers);
    for _ in 0..200 {
        fleet.run(100);
        let now = fleet.driver.now;
        let oldest = (0..count)
            .map(|it| now.since(known_since(&fleet, it)))
            .max();
        assert!(oldest < Some(AGE_MS), "{oldest:?}");
    }
}

/// Guards against a host that serves revoked keys because a late message made an old confirmation look recent.
#[test]
fn late_messages_make_no_knowledge_young() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, 20, 5);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        fleet.driver.tap = Some(Box::new(move |_, _, _, _| match rng.random_ratio(1, 3) {
            true => Delivery::Late(rng.random_range(0..6_000)),
            false => Delivery::Arrives,
        }));
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000);
        for _ in 0..30 {
            let index = rng.random_range(0..5);
            match rng.random_range(0..5) {
                0 => fleet.set_mode(index, SourceMode::Silent),
                1 => fleet.set_mode(index, SourceMode::Refuses),
                2 => fleet.restart(rng.random_range(0..20)),
                3 => fleet.publish(),
                _ => fleet.set_mode(index, SourceMode::Serves),
            }
            fleet.run(100 * rng.random_range(1..10));
            assert_eq!(deceived(&fleet), [], "seed {seed}");
        }
    }
}

/// Guards against hosts that refuse keys for a second after their start although the version came with its confirmation.
#[test]
fn restarted_hosts_know_the_version_as_it_arrives() {
    let mut fleet = fleet(3, 30, 6);
    let slow: Vec<usize> = (10..20).collect();
    for index in &slow {
        fleet.restart(*index);
    }
    let mut delays = Vec::new();
    let mut held = vec![None; 30];
    for _ in 0..500 {
        fleet.run(10);
        let now = fleet.driver.now;
        for index in &slow {
            if fleet.version(*index) > 0 {
                let since = *held[*index].get_or_insert(now);
                if known_since(&fleet, *index) > Ms(0) && delays.len() < slow.len() {
                    let known = delays.iter().any(|(it, _)| it == index);
                    if !known {
                        delays.push((*index, now.since(since)));
                    }
                }
            }
        }
    }
    assert_eq!(delays.len(), slow.len());
    assert!(delays.iter().all(|(_, delay)| *delay <= 20), "{delays:?}");
}
