//! Admission of large bodies to a host's link, under the loads it is meant for.

use std::collections::VecDeque;

use laburnum_kernel::{
    admission::link::{LinkGate, SMALL},
    refusal::Reason,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MBPS: f64 = 7.0;
/// Bytes a ms of the whole link.
const RATE: f64 = MBPS * 125.0;

#[test]
fn body_that_finds_the_link_free_is_let_in_whatever_its_length() {
    let mut link = LinkGate::new(MBPS);
    assert_eq!(link.enter(10_000_000, 100), Ok(()));
    link.leave(10_000_000);
    assert_eq!(link.due(), 0);
}

/// Its caller is told after how long there is room again, so that it neither asks in vain nor waits for nothing.
#[test]
fn refusal_tells_when_there_is_room() {
    let mut link = LinkGate::new(MBPS);
    while link.enter(60_000, 2_000).is_ok() {}
    let refusal = link.enter(60_000, 2_000).expect_err("it is full");
    assert_eq!(refusal.reason, Reason::LinkFull);
    let arrived = (refusal.after as f64 * RATE) as u64 + SMALL;
    link.leave(arrived);
    assert_eq!(link.enter(60_000, 2_000), Ok(()));
}

#[test]
fn fast_link_refuses_nothing() {
    let mut link = LinkGate::new(1_000.0);
    for _ in 0..500 {
        assert_eq!(link.enter(60_000, 500), Ok(()));
    }
}

/// Scanned petitions of 60 KB arrive at a host of 7 Mbit/s half as fast again as the link carries them, among short
/// requests. Without the gate the queue in the network grows for as long as the load lasts: after ten seconds
/// everything waits five seconds, and nobody is served in time. With it the link stays busy, and a short request
/// never waits longer than the bodies let in take.
#[test]
fn overload_of_bodies_leaves_the_link_to_short_requests() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut link = LinkGate::new(MBPS);
    let mut arriving: VecDeque<(u64, f64)> = VecDeque::new();
    let per_ms = 1.5 * RATE / 60_000.0;
    let (mut asked, mut whole, mut longest) = (0_u32, 0_u32, 0.0_f64);
    for _ in 0..60_000 {
        if rng.random::<f64>() < per_ms {
            asked += 1;
            let bytes = rng.random_range(30_000..90_000);
            if link.enter(bytes, 1_000).is_ok() {
                arriving.push_back((bytes, bytes as f64));
            }
        }
        let queued: f64 = arriving.iter().map(|it| it.1).sum();
        longest = longest.max(queued / RATE);
        let mut room = RATE;
        while let Some((bytes, left)) = arriving.front_mut() {
            let part = left.min(room);
            *left -= part;
            room -= part;
            if *left > 0.0 {
                break;
            }
            link.leave(*bytes);
            arriving.pop_front();
            whole += 1;
        }
    }
    assert!(longest <= 500.0, "a short request waits {longest} ms");
    // Two thirds fit; what is left of the link between two bodies is lost.
    assert!(whole * 10 > asked * 6, "{whole} of {asked}");
}
