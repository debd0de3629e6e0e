//! Admission of requests with large answers to a host's link.

use laburnum_kernel::{
    Ms,
    admission::{
        answers::{AnswerLink, AnswerRequest, Promise},
        kinds::Kind,
    },
    refusal::{Reason, Refusal},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MBPS: f64 = 13.0;
/// Bytes per ms of the whole link.
const RATE: f64 = MBPS * 125.0;
const NOW: Ms = Ms(1_000_000);
const LARGE: u64 = 90_000;
const RUN_MS: u64 = 50;

fn kind() -> Kind {
    Kind::of("download")
}

fn request(now: Ms) -> AnswerRequest {
    AnswerRequest {
        kind: kind(),
        run: RUN_MS,
        goal: now + 800,
        deadline: now + 2_000,
    }
}

/// Returns a link that knows the size of [`kind`].
fn link() -> AnswerLink {
    let mut link = AnswerLink::new(MBPS);
    link.record(NOW, kind(), LARGE);
    link
}

/// Admits requests until one is refused.
fn fill(link: &mut AnswerLink, now: Ms) -> (Vec<Promise>, Refusal) {
    let mut promises = Vec::new();
    for _ in 0..1_000 {
        match link.admit(now, request(now)) {
            Ok(it) => promises.push(it),
            Err(refusal) => return (promises, refusal),
        }
    }
    panic!("never refused");
}

fn release_all(link: &mut AnswerLink, promises: Vec<Promise>) {
    promises.into_iter().for_each(|it| link.release(it));
}

/// Guards against answers that are promised although the link cannot send them in time.
#[test]
fn promises_end_where_the_goal_or_the_backlog_does() {
    let mut link = link();
    let (promises, refusal) = fill(&mut link, NOW);
    assert_eq!(refusal.reason, Reason::LinkFull);
    assert!(link.pending_ms(NOW) <= 550, "{}", link.pending_ms(NOW));
    assert!(link.pending_ms(NOW) > 450, "{}", link.pending_ms(NOW));
    release_all(&mut link, promises);
    assert_eq!(link.pending_bytes(NOW), 0);
}

/// Guards against a retry time that is too short, so that the retry is refused again.
#[test]
fn refusal_states_when_there_is_room() {
    let mut link = link();
    let (promises, refusal) = fill(&mut link, NOW);
    for mut promise in promises {
        link.sent(NOW, &mut promise, LARGE);
        link.release(promise);
    }
    let before = NOW + refusal.after / 2;
    assert!(link.admit(before, request(before)).is_err());
    let later = NOW + refusal.after + 1;
    assert!(link.admit(later, request(later)).is_ok());
}

/// Guards against short answers, or answers of unknown size, that are refused for the link.
#[test]
fn short_and_unknown_answers_are_admitted_on_a_full_link() {
    let mut link = link();
    let short = Kind::of("lookup");
    link.record(NOW, short, 600);
    fill(&mut link, NOW);
    for kind in [short, Kind::of("new"), Kind::default()] {
        let request = AnswerRequest {
            kind,
            ..request(NOW)
        };
        assert!(link.admit(NOW, request).is_ok());
    }
}

/// Guards against a kind that is shut out because its expectation is far too high.
#[test]
fn idle_link_admits_an_answer_of_any_size() {
    let mut link = AnswerLink::new(MBPS);
    link.record(NOW, kind(), 100_000_000);
    let promise = link.admit(NOW, request(NOW)).expect("it is idle");
    assert!(link.admit(NOW, request(NOW)).is_err());
    link.release(promise);
    assert!(link.admit(NOW, request(NOW)).is_ok());
}

/// Guards against an expectation that is never corrected because its requests are refused.
#[test]
fn stale_expectation_is_measured_again_by_one_request() {
    let mut link = AnswerLink::new(MBPS);
    link.record(NOW, kind(), LARGE);
    let other = Kind::of("export");
    let later = NOW + 10_500;
    link.record(later, other, LARGE);
    for _ in 0..40 {
        let request = AnswerRequest {
            kind: other,
            ..request(later)
        };
        let _held = link.admit(later, request);
    }
    assert!(link.admit(later, request(later)).is_ok());
    assert!(link.admit(later, request(later)).is_err());
}

/// Guards against a mean that keeps large answers for small ones after the upstream switched.
#[test]
fn mean_follows_a_switch_within_ten_samples() {
    let mut link = AnswerLink::new(MBPS);
    for _ in 0..1_000 {
        link.record(NOW, kind(), 500);
    }
    assert!(link.admit(NOW, request(NOW)).is_ok());
    assert_eq!(link.pending_bytes(NOW), 0);
    for _ in 0..10 {
        link.record(NOW, kind(), LARGE);
    }
    let _promise = link.admit(NOW, request(NOW)).expect("it is idle");
    assert!(link.pending_bytes(NOW) > LARGE * 8 / 10);
}

/// Guards against kinds whose number grows without bound.
#[test]
fn least_recently_used_kind_is_forgotten() {
    let mut link = link();
    for number in 0..32 {
        let kind = Kind::of(&format!("kind-{number}"));
        link.record(NOW + 1 + number, kind, LARGE);
    }
    let _promise = link.admit(NOW + 40, request(NOW + 40));
    assert_eq!(link.pending_bytes(NOW + 40), 0);
}

/// Guards against a promise that outlives an answer shorter or longer than expected.
#[test]
fn promise_takes_the_true_length_and_ends_with_its_answer() {
    let mut link = link();
    let mut promise = link.admit(NOW, request(NOW)).expect("it is idle");
    link.resize(&mut promise, 2 * LARGE);
    assert_eq!(link.pending_bytes(NOW), 2 * LARGE);
    link.sent(NOW, &mut promise, LARGE);
    // The caller disconnects: what was sent is still under way, the rest is not.
    link.release(promise);
    assert_eq!(link.pending_bytes(NOW), LARGE);
    assert_eq!(link.pending_bytes(NOW + 1_000), 0);
}

/// Guards against answers that a connection buffers and that then count as sent, although the link has not carried
/// them.
#[test]
fn bytes_handed_to_a_connection_count_until_the_link_carried_them() {
    let mut link = link();
    link.sent_unpromised(NOW, 600_000);
    assert!(link.admit(NOW, request(NOW)).is_err());
    assert!(link.admit(NOW + 500, request(NOW + 500)).is_ok());
}

/// Guards against refusals on a host whose link has no stated speed.
#[test]
fn link_of_unknown_speed_admits_everything() {
    let mut link = AnswerLink::new(0.0);
    link.record(NOW, kind(), LARGE);
    for _ in 0..1_000 {
        let mut promise = link.admit(NOW, request(NOW)).expect("no limit is known");
        link.sent(NOW, &mut promise, LARGE);
        link.release(promise);
    }
    assert_eq!(link.pending_ms(NOW), 0);
}

/// Guards against a queue on the link that grows for as long as large answers are asked for faster than it carries
/// them, and against a link left idle for fear of that.
#[test]
fn overload_of_large_answers_keeps_the_link_busy_and_its_queue_short() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut link = link();
    let mut running: Vec<(Ms, Promise)> = Vec::new();
    let (mut queue, mut longest, mut carried) = (0.0_f64, 0.0_f64, 0.0_f64);
    let per_ms = 2.0 * RATE / LARGE as f64;
    let steps = 60_000;
    for step in 0..steps {
        let now = NOW + step;
        if rng.random::<f64>() < per_ms
            && let Ok(it) = link.admit(now, request(now))
        {
            running.push((now + RUN_MS, it));
        }
        let (ready, rest) = running.into_iter().partition(|it| it.0 <= now);
        running = rest;
        for (_, mut promise) in ready {
            let bytes = rng.random_range(LARGE / 2..LARGE * 3 / 2);
            link.record(now, kind(), bytes);
            link.resize(&mut promise, bytes);
            link.sent(now, &mut promise, bytes);
            link.release(promise);
            queue += bytes as f64;
        }
        let part = queue.min(RATE);
        queue -= part;
        carried += part;
        longest = longest.max(queue / RATE);
    }
    assert!(longest <= 500.0, "a short answer waits {longest} ms");
    let share = carried / (RATE * steps as f64);
    assert!(share > 0.6, "{share} of the link");
}

/// Guards against answers to callers of the same host, which are handed over faster than the link carries and never use it,
/// and make the link look full for long after they have ended.
#[test]
fn answers_without_a_promise_delay_large_ones_for_a_moment_only() {
    let mut link = link();
    for millis in 0..10_000 {
        link.sent_unpromised(NOW + millis, 2 * RATE as u64);
    }
    let after = NOW + 10_000 + 500;
    assert!(link.admit(after, request(after)).is_ok());
    assert!(link.pending_ms(after) < 200);
}

/// Guards against an account that grows while the link carries all that it is given.
#[test]
fn account_stays_empty_below_the_share_of_answers() {
    let mut link = link();
    for millis in 0..60_000 {
        link.sent_unpromised(NOW + millis, (0.65 * RATE) as u64);
    }
    assert!(link.pending_ms(NOW + 60_000) < 20);
}
