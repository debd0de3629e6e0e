//! Rate limit for the log lines of requests.

use laburnum_kernel::{
    Ms,
    sampling::{FAILURES_MAX, Kind, SUCCESSES_MAX, Sampler, Verdict},
};

fn written(sampler: &mut Sampler, now: Ms, kind: Kind, count: u32) -> u32 {
    let verdicts = (0..count).map(|_| sampler.admit(now, kind));
    verdicts.filter(|it| *it != Verdict::Omit).count() as u32
}

/// Guards against many lines of one kind that displace the other kind or exceed the limit.
#[test]
fn each_kind_has_its_own_limit() {
    let mut sampler = Sampler::default();
    let now = Ms(10_000);
    assert_eq!(
        written(&mut sampler, now, Kind::Success, 1_000),
        SUCCESSES_MAX
    );
    assert_eq!(
        written(&mut sampler, now, Kind::Failure, 1_000),
        FAILURES_MAX
    );
}

#[test]
fn next_line_states_the_omitted_count() {
    let mut sampler = Sampler::default();
    let now = Ms(10_000);
    written(&mut sampler, now, Kind::Success, SUCCESSES_MAX + 7);
    let next = sampler.admit(now + 1_000, Kind::Success);
    assert_eq!(next, Verdict::Write { omitted: 7 });
    let next = sampler.admit(now + 1_000, Kind::Success);
    assert_eq!(next, Verdict::Write { omitted: 0 });
}
