//! Hot callers: the rate limit of each.

use laburnum_kernel::{
    Ms,
    hot::{Limiter, Verdict},
    refusal::{Reason, Refusal},
    utils::hash64,
};
use test_case::test_case;

/// Requests of one caller admitted over `seconds`, sent evenly at `rate` a second.
fn admitted(limiter: &mut Limiter, limit: u32, rate: u64, seconds: u64) -> u64 {
    let times = (0..rate * seconds).map(|it| Ms(it * 1_000 / rate));
    times
        .map(|now| u64::from(limiter.admit(now, 9, limit) == Verdict::Admit))
        .sum()
}

/// One device sends hundreds of times its share and everybody's fetches fail. Over ten seconds each
/// caller gets its rate, and at most a second's worth more at the start.
#[test_case(0, 500, 5_000..=5_000; "no limit")]
#[test_case(30, 500, 300..=331; "far above")]
#[test_case(30, 20, 200..=200; "below")]
#[test_case(1, 500, 10..=11; "one a second")]
#[test_case(1_500, 1_000, 10_000..=10_000; "a limit finer than the clock")]
fn callers_get_their_rate(limit: u32, rate: u64, expected: std::ops::RangeInclusive<u64>) {
    let count = admitted(&mut Limiter::default(), limit, rate, 10);
    assert!(expected.contains(&count), "{count}, not {expected:?}");
}

/// A caller that sends a second's worth at once stays within its rate and must not be refused. The
/// hint of the first refusal is when the next request would be admitted.
#[test]
fn bursts_within_the_rate_pass() {
    let mut limiter = Limiter::default();
    let burst =
        |limiter: &mut Limiter, now| (0..10).all(|_| limiter.admit(now, 9, 10) == Verdict::Admit);
    assert!(burst(&mut limiter, Ms(0)));
    let refused = Verdict::Refuse(Refusal::after(Reason::Limited, 100));
    assert_eq!(limiter.admit(Ms(0), 9, 10), refused);
    assert_eq!(limiter.admit(Ms(100), 9, 10), Verdict::Admit);
    assert!(burst(&mut limiter, Ms(1_100)));
}

/// A hot caller escapes its limit by pushing itself out of the table with thousands of other names.
/// A new name takes the place of the fullest bucket, and the hot caller's is the emptiest.
#[test]
fn many_names_do_not_free_a_hot_caller() {
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
