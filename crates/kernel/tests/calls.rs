//! Calls of running requests: recognition by id, inherited urgency, bounds of the tables.

#[path = "common/calls.rs"]
mod common;

use common::{NOW, archive, is_call, run};
use laburnum_kernel::calls::{
    CALLS_MAX, CallEnd, ID_MAX_BYTES, RUNS_MAX, Run, RunEnd, Runs, inherit,
};
use test_case::test_case;

#[test]
fn call_names_its_run_by_the_part_before_the_last_dot() {
    let mut runs = Runs::default();
    let key = runs.begin(NOW, "f8a2", run(0));
    let found = runs.call(NOW + 5, "f8a2.93d8", &archive()).expect("a call");
    assert_eq!((found.key, found.run), (key, run(0)));
    runs.end(NOW + 10, key, RunEnd::Answered);
    assert!(!is_call(&mut runs, NOW + 11, "f8a2.93d8"));
    assert!(runs.is_empty());
}

/// Guards against urgency for requests whose id does not name a running request.
#[test_case("f8a2"; "id of the run itself")]
#[test_case("f8a2."; "no suffix")]
#[test_case(".93d8"; "no run")]
#[test_case("."; "a dot")]
#[test_case(""; "empty")]
#[test_case("f8a"; "part of an id")]
#[test_case("f8a.2"; "an id with a dot inside")]
#[test_case("f8a3.93d8"; "another id")]
#[test_case("F8A2.93d8"; "other case")]
#[test_case(" f8a2.93d8"; "a space")]
#[test_case("f8a2.93d8.1"; "call of a call that does not run here")]
fn forged_id_is_an_ordinary_request(id: &str) {
    let mut runs = Runs::default();
    runs.begin(NOW, "f8a2", run(0));
    assert!(!is_call(&mut runs, NOW, id));
    assert_eq!(runs.totals().calls, [0; 4]);
    assert!(runs.learned().kinds().is_empty());
}

/// Guards against a caller that forges the id of a running request to send any number of urgent requests.
#[test]
fn calls_beyond_the_maximum_are_ordinary_requests() {
    let mut runs = Runs::default();
    let key = runs.begin(NOW, "a", run(0));
    for number in 0..CALLS_MAX {
        assert!(is_call(&mut runs, NOW, &format!("a.{number}")), "{number}");
    }
    assert!(!is_call(&mut runs, NOW, "a.more"));
    // The end of a call makes no room for another one.
    runs.called(NOW, key, &archive(), CallEnd::Answered, 3);
    assert!(!is_call(&mut runs, NOW, "a.more"));
    // The maximum is that of one run.
    runs.begin(NOW, "b", run(0));
    assert!(is_call(&mut runs, NOW, "b.1"));
}

/// Guards against a second request with the id of a running one that determines the urgency of its calls, or ends it.
#[test]
fn second_request_of_an_id_changes_nothing() {
    let mut runs = Runs::default();
    let first = runs.begin(NOW, "a", run(0));
    let second = runs.begin(NOW, "a", run(3));
    let found = runs.call(NOW, "a.1", &archive()).expect("a call");
    assert_eq!(found.run.priority, 0);
    runs.end(NOW, second, RunEnd::Answered);
    assert!(is_call(&mut runs, NOW, "a.2"));
    runs.end(NOW, first, RunEnd::Answered);
    assert!(!is_call(&mut runs, NOW, "a.3"));
}

/// Guards against ids of callers that occupy memory without bound.
#[test]
fn empty_and_overlong_ids_are_not_tracked() {
    let mut runs = Runs::default();
    let longest = "a".repeat(ID_MAX_BYTES);
    let longer = "a".repeat(ID_MAX_BYTES + 1);
    for id in ["", &longer] {
        let key = runs.begin(NOW, id, run(0));
        assert!(!is_call(&mut runs, NOW, &format!("{id}.1")));
        runs.end(NOW, key, RunEnd::Answered);
    }
    assert!(runs.is_empty());
    runs.begin(NOW, &longest, run(0));
    assert!(is_call(&mut runs, NOW, &format!("{longest}.1")));
}

/// Guards against runs whose end is missed: they must neither fill the table for good nor lend their urgency after
/// their deadline.
#[test]
fn runs_past_their_deadline_are_dropped_when_the_table_is_full() {
    let mut runs = Runs::default();
    let missed = runs.begin(NOW, "missed", run(0));
    let live = Run {
        deadline: NOW + 9_000,
        ..run(0)
    };
    for number in 1..RUNS_MAX {
        runs.begin(NOW, &format!("live-{number}"), live);
    }
    assert_eq!(runs.len(), RUNS_MAX);
    runs.begin(NOW + 999, "refused", live);
    assert!(!is_call(&mut runs, NOW + 999, "refused.1"));
    assert!(is_call(&mut runs, NOW + 999, "missed.1"));
    // The run is over, but still in the table.
    assert!(!is_call(&mut runs, NOW + 1_000, "missed.2"));

    runs.begin(NOW + 1_000, "next", live);
    assert!(is_call(&mut runs, NOW + 1_000, "next.1"));
    assert_eq!(runs.len(), RUNS_MAX);
    // The late end of the dropped run must not end the one that took its place.
    runs.end(NOW + 1_001, missed, RunEnd::Answered);
    runs.called(NOW + 1_001, missed, &archive(), CallEnd::Answered, 3);
    assert!(is_call(&mut runs, NOW + 1_001, "next.2"));
    assert!(is_call(&mut runs, NOW + 1_001, "live-1.1"));
}

/// Guards against an id that can not be tracked again because the end of its first run was missed.
#[test]
fn id_of_a_run_past_its_deadline_can_be_used_again() {
    let mut runs = Runs::default();
    runs.begin(NOW, "a", run(3));
    let again = Run {
        deadline: NOW + 5_000,
        ..run(1)
    };
    let key = runs.begin(NOW + 1_000, "a", again);
    let found = runs.call(NOW + 1_001, "a.1", &archive()).expect("a call");
    assert_eq!((found.key, found.run.priority), (key, 1));
    assert_eq!(runs.len(), 1);
}

/// Guards against state that outlives its process: after a restart the calls of earlier runs are ordinary requests, and
/// keys and learned figures of the earlier process mean nothing.
#[test]
fn restarted_node_recognises_no_calls_of_earlier_runs() {
    let mut before = Runs::default();
    let key = before.begin(NOW, "a", run(0));
    assert!(is_call(&mut before, NOW, "a.1"));

    let mut after = Runs::default();
    assert!(!is_call(&mut after, NOW, "a.2"));
    assert!(after.learned().kinds().is_empty());
    after.called(NOW, key, &archive(), CallEnd::Answered, 3);
    after.end(NOW, key, RunEnd::Answered);
    assert!(after.learned().kinds().is_empty());
}

/// Guards against services that call each other in a circle: each call is a run of its own at its host, inherits the
/// urgency of the first one, and the length of the ids bounds the depth.
#[test]
fn cycle_of_calls_inherits_and_ends() {
    let (mut here, mut there) = (Runs::default(), Runs::default());
    let first = run(0);
    let mut id = "a".to_owned();
    here.begin(NOW, &id, first);
    let mut depth = 0;
    loop {
        let (from, to) = match depth % 2 {
            0 => (&mut here, &mut there),
            _ => (&mut there, &mut here),
        };
        id = format!("{id}.0123456789abcdef");
        let Some(call) = from.call(NOW, &id, &archive()) else {
            break;
        };
        let (priority, goal) = inherit(NOW, &call.run, 3, NOW + 5_000);
        assert_eq!((priority, goal), (first.priority, first.goal));
        let next = Run {
            priority,
            goal,
            ..first
        };
        to.begin(NOW, &id, next);
        depth += 1;
    }
    assert_eq!(depth, ID_MAX_BYTES / 17 + 1);
    assert!(here.len() + there.len() <= depth + 1);
}

#[test_case(0, 200, 2, 500 => (0, 200); "more urgent run, earlier goal")]
#[test_case(2, 200, 0, 500 => (0, 200); "less urgent run does not demote its call")]
#[test_case(1, 800, 1, 500 => (1, 500); "goal is never extended")]
#[test_case(0, 0, 2, 500 => (0, 500); "late run, whose goal is now")]
#[test_case(0, 1, 2, 500 => (0, 1); "run that is about to be late")]
fn call_inherits(run_priority: u8, run_goal: u64, priority: u8, goal: u64) -> (u8, u64) {
    let run = Run {
        goal: NOW + run_goal,
        ..run(run_priority)
    };
    let (priority, goal) = inherit(NOW, &run, priority, NOW + goal);
    (priority, goal.since(NOW))
}

/// Guards against a call that loses its goal to that of a run that was late before.
#[test]
fn call_of_a_late_run_keeps_the_goal_of_its_route() {
    let late = Run {
        goal: NOW - 50,
        ..run(0)
    };
    assert_eq!(inherit(NOW, &late, 2, NOW + 300), (0, NOW + 300));
}
