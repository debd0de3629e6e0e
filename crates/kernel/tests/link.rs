//! Admission of large bodies to a host's link.

use std::collections::VecDeque;

use laburnum_kernel::{
    admission::link::{LinkGate, UNGATED_MAX_BYTES, stream_window},
    refusal::Reason,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const MBPS: f64 = 7.0;
/// Bytes per ms of the whole link.
const RATE: f64 = MBPS * 125.0;

#[test]
fn idle_link_admits_body_of_any_size() {
    let mut link = LinkGate::new(MBPS);
    assert_eq!(link.enter(10_000_000, 100), Ok(()));
    link.leave(10_000_000);
    assert_eq!(link.due(), 0);
}

/// Guards against a retry time that is too short, so that the retry is refused again.
#[test]
fn refusal_states_when_to_retry() {
    let mut link = LinkGate::new(MBPS);
    while link.enter(60_000, 2_000).is_ok() {}
    let refusal = link.enter(60_000, 2_000).expect_err("it is full");
    assert_eq!(refusal.reason, Reason::LinkFull);
    let arrived = (refusal.after as f64 * RATE) as u64 + UNGATED_MAX_BYTES;
    link.leave(arrived);
    assert_eq!(link.enter(60_000, 2_000), Ok(()));
}

#[test]
fn fast_link_refuses_no_body() {
    let mut link = LinkGate::new(1_000.0);
    for _ in 0..500 {
        assert_eq!(link.enter(60_000, 500), Ok(()));
    }
}

/// Guards against a queue on the link that grows for as long as large bodies arrive faster than it carries
/// them, so that short requests time out behind them.
#[test]
fn body_overload_does_not_delay_short_requests() {
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
    // The link carries two thirds of the bodies, less its idle time between two bodies.
    assert!(whole * 10 > asked * 6, "{whole} of {asked}");
}

/// Guards against refused bodies that fill the link: each has sent the first window of its stream by the time it is
/// refused, so that short requests wait behind bytes that nobody reads.
#[test_case(7.0)]
#[test_case(10.0)]
#[test_case(13.0)]
fn refused_bodies_do_not_delay_short_requests(mbps: f64) {
    const REFUSED_PER_S: u32 = 60;
    let rate = mbps * 125.0;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut queued, mut longest) = (0.0_f64, 0.0_f64);
    for _ in 0..60_000 {
        // Admitted bodies take their share of the link.
        queued += 0.7 * rate;
        if rng.random_ratio(REFUSED_PER_S, 1_000) {
            queued += f64::from(stream_window(mbps));
        }
        queued = (queued - rate).max(0.0);
        longest = longest.max(queued / rate);
    }
    assert!(longest < 100.0, "a short request waits for {longest:.0} ms");
}
