//! Phase of an upstream whose reports are late or wrong.

use laburnum_kernel::{
    Ms,
    health::{GONE_MS, Health, Sign},
    members::Phase,
};
use test_case::test_case;

const READY: Sign = Sign::Report(Phase::Ready);

// Each case: observations as (time in ms, sign) of an upstream that announced itself as ready at time zero, and the
// phase after the last one.
#[test_case(&[(1_000, READY)], Phase::Ready; "a ready report")]
#[test_case(&[(1_000, Sign::Report(Phase::Draining))], Phase::Draining; "a draining report")]
#[test_case(&[(1_000, Sign::Report(Phase::Warming)), (2_000, READY)], Phase::Ready; "a cold start that ends")]
#[test_case(&[(1_000, Sign::Late), (2_000, Sign::Late), (3_000, Sign::Late), (4_000, Sign::Served)], Phase::Ready; "late reports while requests are answered")]
#[test_case(&[(4_000, Sign::Late), (5_000, Sign::Late), (6_000, Sign::Late)], Phase::Warming; "late reports and no answered request")]
#[test_case(&[(4_000, Sign::Late), (5_000, Sign::Late), (6_000, Sign::Unclear), (9_000, Sign::Late)], Phase::Ready; "a health answer without a phase")]
#[test_case(&[(1_000, Sign::Refused)], Phase::Warming; "nothing listens")]
#[test_case(&[(1_000, Sign::Refused), (1_200, READY)], Phase::Warming; "nothing listened a moment ago")]
#[test_case(&[(1_000, Sign::Refused), (2_100, READY)], Phase::Ready; "back after a restart")]
#[test_case(&[(1, Sign::Lost), (2, Sign::Lost), (3, READY)], Phase::Ready; "two lost requests")]
#[test_case(&[(1, Sign::Lost), (2, Sign::Lost), (3, Sign::Lost), (4, READY)], Phase::Warming; "reports ready and loses all requests")]
#[test_case(&[(1, Sign::Lost), (2, Sign::Lost), (3, Sign::Served), (4, Sign::Lost)], Phase::Ready; "losses between answers")]
#[test_case(&[(1, Sign::Refused), (1_100, Sign::Refused), (2_200, READY)], Phase::Warming; "the second hold is longer")]
#[test_case(&[(GONE_MS, Sign::Late)], Phase::Gone; "no report and no answer")]
fn phase_follows_reports_and_requests(signs: &[(u64, Sign)], expected: Phase) {
    let mut health = Health::new(Ms(0), Phase::Ready);
    for (at, sign) in signs {
        health.observe(Ms(*at), *sign);
    }
    assert_eq!(health.phase(), expected);
}

#[test]
fn only_phase_changes_are_reported() {
    let mut health = Health::new(Ms(0), Phase::Ready);
    assert_eq!(health.observe(Ms(1), READY), None);
    assert!(health.observe(Ms(2), Sign::Refused).is_some());
    assert_eq!(health.observe(Ms(3), Sign::Refused), None);
}
