//! Phase of an upstream whose reports are late or wrong.

use laburnum_kernel::{
    Ms,
    health::{GONE_MS, Health, Observation},
    members::Phase,
};
use test_case::test_case;

const READY: Observation = Observation::Report(Phase::Ready);

// Each case: (time in ms, observation) of an upstream that announced itself as ready at time zero, and the
// phase after the last one.
#[test_case(&[(1_000, READY)], Phase::Ready; "a ready report")]
#[test_case(&[(1_000, Observation::Report(Phase::Draining))], Phase::Draining; "a draining report")]
#[test_case(&[(1_000, Observation::Report(Phase::Warming)), (2_000, READY)], Phase::Ready; "a cold start that ends")]
#[test_case(&[(1_000, Observation::Late), (2_000, Observation::Late), (3_000, Observation::Late), (4_000, Observation::Served)], Phase::Ready; "late reports while requests are answered")]
#[test_case(&[(4_000, Observation::Late), (5_000, Observation::Late), (6_000, Observation::Late)], Phase::Warming; "late reports and no answered request")]
#[test_case(&[(4_000, Observation::Late), (5_000, Observation::Late), (6_000, Observation::Unclear), (9_000, Observation::Late)], Phase::Ready; "a health answer without a phase")]
#[test_case(&[(1_000, Observation::Refused)], Phase::Warming; "nothing listens")]
#[test_case(&[(1_000, Observation::Refused), (1_200, READY)], Phase::Warming; "nothing listened a moment ago")]
#[test_case(&[(1_000, Observation::Refused), (2_100, READY)], Phase::Ready; "back after a restart")]
#[test_case(&[(1, Observation::Lost), (2, Observation::Lost), (3, READY)], Phase::Ready; "two lost requests")]
#[test_case(&[(1, Observation::Lost), (2, Observation::Lost), (3, Observation::Lost), (4, READY)], Phase::Warming; "reports ready and loses all requests")]
#[test_case(&[(1, Observation::Lost), (2, Observation::Lost), (3, Observation::Served), (4, Observation::Lost)], Phase::Ready; "losses between answers")]
#[test_case(&[(1, Observation::Refused), (1_100, Observation::Refused), (2_200, READY)], Phase::Warming; "the second hold is longer")]
#[test_case(&[(GONE_MS, Observation::Late)], Phase::Gone; "no report and no answer")]
fn phase_follows_reports_and_requests(observations: &[(u64, Observation)], expected: Phase) {
    let mut health = Health::new(Ms(0), Phase::Ready);
    for (at, observation) in observations {
        health.observe(Ms(*at), *observation);
    }
    assert_eq!(health.phase(), expected);
}

#[test]
fn only_phase_changes_are_reported() {
    let mut health = Health::new(Ms(0), Phase::Ready);
    assert_eq!(health.observe(Ms(1), READY), None);
    assert!(health.observe(Ms(2), Observation::Refused).is_some());
    assert_eq!(health.observe(Ms(3), Observation::Refused), None);
}
