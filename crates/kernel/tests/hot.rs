//! Rate limit per caller.

use laburnum_kernel::{
    Ms,
    hot::{Limiter, Verdict},
    refusal::{Reason, Refusal},
    utils::hash64,
};
use test_case::test_case;

/// Returns the number of requests admitted over `seconds` from one caller that sends `rate` per second, evenly.
fn admitted(limiter: &mut Limiter, limit: u32, rate: u64, seconds: u64) -> u64 {
    let times = (0..rate * seconds).map(|it| Ms(it * 1_000 / rate));
    times
        .map(|now| u64::from(limiter.admit(now, 9, limit) == Verdict::Admit))
        .sum()
}

/// Guards against callers that exceed their rate by more than one second's worth, or get less than their rate.
#[test_case(0, 500, 5_000..=5_000; "no limit")]
#[test_case(30, 500, 300..=331; "far above")]
#[test_case(30, 20, 200..=200; "below")]
#[test_case(1, 500, 10..=11; "one a second")]
#[test_case(1_500, 1_000, 10_000..=10_000; "a limit finer than the clock")]
fn callers_get_their_rate(limit: u32, rate: u64, expected: std::ops::RangeInclusive<u64>) {
    let count = admitted(&mut Limiter::default(), limit, rate, 10);
    assert!(expected.contains(&count), "{count}, not {expected:?}");
}

/// Guards against the refusal of a burst of one second's worth, and against a wrong retry time.
#[test]
fn bursts_within_the_rate_are_admitted() {
    let mut limiter = Limiter::default();
    let burst =
        |limiter: &mut Limiter, now| (0..10).all(|_| limiter.admit(now, 9, 10) == Verdict::Admit);
    assert!(burst(&mut limiter, Ms(0)));
    let refused = Verdict::Refuse(Refusal::after(Reason::Limited, 100));
    assert_eq!(limiter.admit(Ms(0), 9, 10), refused);
    assert_eq!(limiter.admit(Ms(100), 9, 10), Verdict::Admit);
    assert!(burst(&mut limiter, Ms(1_100)));
}

/// Guards against a hot caller that evicts its own bucket with requests under many other names.
#[test]
fn new_callers_do_not_evict_a_hot_caller() {
    let mut limiter = Limiter::default();
    let mut count = 0;
    for now in (0..1_000).map(Ms) {
        count += u32::from(limiter.admit(now, 9, 10) == Verdict::Admit);
        for other in 0..100u64 {
            let name = hash64(&[&(now.0 * 100 + other).to_le_bytes()]);
            let _ = limiter.admit(now, name, 10);
        }
    }
    assert!(count <= 20, "{count} of 1,000 admitted at 10 a second");
}
