//! Pacing of answers on a host's link.

use laburnum_kernel::{
    Ms,
    admission::pacer::{Pacer, Take, Turn},
};

const MBPS: f64 = 13.0;
/// Bytes per ms of the whole link.
const RATE: f64 = MBPS * 125.0;
const NOW: Ms = Ms(1_000_000);
const PART: u64 = 8 * 1024;

fn turn(due: u64, number: u64) -> Turn {
    Turn {
        due: NOW + due,
        number,
    }
}

/// Takes parts until the bucket is empty; returns the bytes.
fn drain(pacer: &mut Pacer, now: Ms, turn: Turn) -> u64 {
    let mut bytes = 0;
    while pacer.take(now, turn, PART) == Take::Send {
        bytes += PART;
    }
    bytes
}

/// Guards against long answers that fill the network faster than the link carries them.
#[test]
fn long_answers_keep_below_the_link() {
    let mut pacer = Pacer::new(MBPS);
    let bytes: u64 = (0..10_000)
        .map(|it| drain(&mut pacer, NOW + it, turn(0, 1)))
        .sum();
    let share = bytes as f64 / (RATE * 10_000.0);
    assert!(share < 0.86, "{share}");
    assert!(share > 0.83, "{share}");
}

/// Guards against an idle link that saves up tokens for a long burst.
#[test]
fn burst_is_bounded() {
    let mut pacer = Pacer::new(MBPS);
    let bytes = drain(&mut pacer, NOW + 60_000, turn(0, 1));
    assert!(bytes as f64 <= RATE * 20.0 + PART as f64, "{bytes}");
}

/// Guards against an answer that is due late and holds up one that is due early.
#[test]
fn answer_due_first_goes_first() {
    let mut pacer = Pacer::new(MBPS);
    let (early, late) = (turn(100, 2), turn(200, 1));
    drain(&mut pacer, NOW, early);
    assert!(matches!(pacer.take(NOW, late, PART), Take::Wait(_)));
    let later = NOW + 9;
    assert!(matches!(pacer.take(later, late, PART), Take::Wait(_)));
    assert_eq!(pacer.take(later, early, PART), Take::Send);
}

/// Guards against an answer with a stalled receiver, or one that ended, that holds up the others.
#[test]
fn answer_that_no_longer_asks_loses_its_turn() {
    let mut pacer = Pacer::new(MBPS);
    let (gone, stalled, other) = (turn(0, 1), turn(1, 2), turn(2, 3));
    drain(&mut pacer, NOW, gone);
    assert!(matches!(pacer.take(NOW, stalled, PART), Take::Wait(_)));
    pacer.leave(gone);
    let later = NOW + 30;
    assert_eq!(pacer.take(later, other, PART), Take::Send);
}

/// Guards against long answers that never get a turn beside many short ones.
#[test]
fn short_answers_overdraw_the_bucket_by_a_bounded_time() {
    let mut pacer = Pacer::new(MBPS);
    for _ in 0..10_000 {
        pacer.draw(NOW, 1_000);
    }
    assert!(matches!(
        pacer.take(NOW + 40, turn(0, 1), PART),
        Take::Wait(_)
    ));
    assert_eq!(pacer.take(NOW + 60, turn(0, 1), PART), Take::Send);
}

/// Guards against delays on a host whose link has no stated speed.
#[test]
fn link_of_unknown_speed_is_not_paced() {
    let mut pacer = Pacer::new(0.0);
    for _ in 0..1_000 {
        assert_eq!(pacer.take(NOW, turn(0, 1), PART), Take::Send);
    }
}
