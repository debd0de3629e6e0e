//! Calls of running requests: what is learned of each kind of run, and the tables under random load.

#[path = "common/calls.rs"]
mod common;

use std::collections::HashMap;

use common::{NOW, archive, is_call, run, service};
use laburnum_kernel::{
    admission::kinds::Kind,
    calls::{CALLED_MAX, CALLS_MAX, CallEnd, KINDS_MAX, RUNS_MAX, Run, RunEnd, RunKey, Runs},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

#[test]
fn calls_of_a_kind_are_learned() {
    let mut runs = Runs::default();
    for number in 0..10_u64 {
        let id = number.to_string();
        let key = runs.begin(NOW, &id, run(0));
        for call in 0..2 {
            assert!(is_call(&mut runs, NOW, &format!("{id}.{call}")));
        }
        let second = match number {
            0 => CallEnd::Refused,
            1 => CallEnd::Shed,
            2 | 3 => CallEnd::Failed,
            _ => CallEnd::Answered,
        };
        runs.called(NOW + number, key, &archive(), CallEnd::Answered, 60);
        runs.called(NOW + number, key, &archive(), second, 60);
        // Every failed call fails its run, and one of the others fails by itself.
        let end = match number {
            0..=3 | 9 => RunEnd::Failed,
            _ => RunEnd::Answered,
        };
        runs.end(NOW + number, key, end);
    }
    assert_eq!(runs.totals().calls, [16, 1, 1, 2]);
    assert_eq!(runs.totals().runs_failed_calls, 4);
    let [kind] = runs.learned().kinds() else {
        panic!("one kind: {:?}", runs.learned());
    };
    assert_eq!((kind.kind, kind.runs), (Kind(7), 10));
    assert!((kind.per_run - 2.0).abs() < 1e-9, "{}", kind.per_run);
    let [called] = kind.services.as_slice() else {
        panic!("one service: {kind:?}");
    };
    assert_eq!((called.calls, called.last), (20, NOW + 9));
    assert!((called.refused - 0.05).abs() < 1e-9, "{}", called.refused);
    assert!((called.shed - 0.05).abs() < 1e-9, "{}", called.shed);
    assert!((called.failed - 0.1).abs() < 1e-9, "{}", called.failed);
    assert!((called.millis - 60.0).abs() < 1e-9, "{}", called.millis);
}

/// Guards against refusals, which are quick, that make calls look short.
#[test]
fn refused_calls_have_no_duration() {
    let mut runs = Runs::default();
    let key = runs.begin(NOW, "a", run(0));
    let ends = [
        (CallEnd::Answered, 80),
        (CallEnd::Refused, 0),
        (CallEnd::Shed, 1),
    ];
    for (end, took) in ends {
        runs.called(NOW, key, &archive(), end, took);
    }
    let called = &runs.learned().kinds()[0].services[0];
    assert!((called.millis - 80.0).abs() < 1e-9, "{}", called.millis);
}

/// Guards against figures that never follow a change of the load.
#[test]
fn learned_shares_follow_a_change() {
    let mut runs = Runs::default();
    let mut call = |number: u64, end: CallEnd| {
        let now = NOW + number;
        let key = runs.begin(now, "a", run(0));
        runs.called(now, key, &archive(), end, 10);
        runs.end(now, key, RunEnd::Answered);
        runs.learned().kinds()[0].services[0].refused
    };
    let before = (0..500).map(|it| call(it, CallEnd::Answered)).last();
    assert_eq!(before, Some(0.0));
    let after = (500..600).map(|it| call(it, CallEnd::Refused)).last();
    assert!(after.is_some_and(|it| it > 0.9), "{after:?}");
}

/// Guards against tables of kinds and services that grow with the number of routes.
#[test]
fn least_recently_used_kinds_and_services_are_evicted() {
    let mut runs = Runs::default();
    let kinds = KINDS_MAX as u32 + 1;
    for number in 0..kinds {
        let now = NOW + u64::from(number);
        let id = number.to_string();
        let kind = Kind(number);
        let key = runs.begin(now, &id, Run { kind, ..run(0) });
        runs.call(now, &format!("{id}.1"), &archive());
        runs.end(now, key, RunEnd::Answered);
    }
    let known = |runs: &Runs, kind: u32| {
        let mut kinds = runs.learned().kinds().iter();
        kinds.any(|it| it.kind == Kind(kind))
    };
    assert_eq!(runs.learned().kinds().len(), KINDS_MAX);
    assert!(!known(&runs, 0));
    assert!((1..kinds).all(|it| known(&runs, it)));

    let now = NOW + 1_000;
    let kind = Kind(kinds - 1);
    let deadline = now + 1_000;
    let key = runs.begin(
        now,
        "a",
        Run {
            kind,
            deadline,
            ..run(0)
        },
    );
    for number in 0..=CALLED_MAX {
        let name = service(&format!("s{number}"));
        runs.called(now + number as u64, key, &name, CallEnd::Answered, 5);
    }
    let found = runs.learned().kinds().iter().find(|it| it.kind == kind);
    let services = &found.expect("the kind").services;
    assert_eq!(services.len(), CALLED_MAX);
    assert!(services.iter().all(|it| it.service != archive()));
    assert!(services.iter().any(|it| it.service == service("s8")));
}

/// Guards against requests without a known kind that are not recognised or fault the table.
#[test]
fn runs_of_unknown_kind_are_tracked() {
    let mut runs = Runs::default();
    let unknown = Run {
        kind: Kind::default(),
        ..run(1)
    };
    let key = runs.begin(NOW, "a", unknown);
    assert!(is_call(&mut runs, NOW, "a.1"));
    runs.called(NOW, key, &archive(), CallEnd::Failed, 5);
    runs.end(NOW, key, RunEnd::Lost);
    assert_eq!(runs.learned().kinds()[0].kind, Kind::default());
    assert_eq!(runs.totals().runs_failed_calls, 1);
}

/// Guards against requests that the upstream did not run in the figures of runs.
#[test]
fn rejected_run_is_not_counted() {
    let mut runs = Runs::default();
    let key = runs.begin(NOW, "a", run(0));
    runs.called(NOW, key, &archive(), CallEnd::Failed, 5);
    runs.end(NOW, key, RunEnd::NotRun);
    assert_eq!(runs.learned().kinds()[0].runs, 0);
    assert_eq!(runs.totals().runs_failed_calls, 0);
}

/// A run of the model in [`random_load_matches_a_model`].
#[derive(Clone, Copy)]
struct Modelled {
    key: RunKey,
    run: Run,
    calls: u32,
}

/// Guards against any sequence of begins, missed and repeated ends, and true and forged calls that confuses one run with
/// another or breaks a bound.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn random_load_matches_a_model(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut runs = Runs::default();
    let mut model: HashMap<String, Modelled> = HashMap::new();
    let mut ended: Vec<RunKey> = Vec::new();
    let (mut now, mut full) = (NOW, 0);
    for _ in 0..60_000 {
        now = now + rng.random_range(0..2);
        // More ids than the table holds, so that it is full of runs before and past their deadline.
        let id = format!("r{}", rng.random_range(0..3 * RUNS_MAX));
        match rng.random_range(0..10) {
            0..=4 => {
                let run = Run {
                    kind: Kind(rng.random_range(0..50)),
                    priority: rng.random_range(0..4),
                    goal: now + rng.random_range(0..500),
                    deadline: now + rng.random_range(1..4_000),
                };
                let known = model.get(&id);
                let taken = known.is_some_and(|it| it.run.deadline > now);
                if !taken && known.is_none() && model.len() >= RUNS_MAX {
                    model.retain(|_, it| it.run.deadline > now);
                }
                let key = runs.begin(now, &id, run);
                if !taken && (model.contains_key(&id) || model.len() < RUNS_MAX) {
                    model.insert(id, Modelled { key, run, calls: 0 });
                }
            }
            5 | 6 => {
                // The end of some runs is missed.
                if let Some(it) = model.remove(&id) {
                    runs.end(now, it.key, RunEnd::Answered);
                    ended.push(it.key);
                }
            }
            7 => {
                let old = ended.len().checked_sub(1 + rng.random_range(0..50));
                if let Some(key) = old.and_then(|it| ended.get(it)) {
                    runs.end(now, *key, RunEnd::Lost);
                    runs.called(now, *key, &archive(), CallEnd::Failed, 1);
                }
            }
            _ => {
                let name = service(&format!("s{}", rng.random_range(0..20)));
                let found = runs.call(now, &format!("{id}.c"), &name);
                let expected = model
                    .get_mut(&id)
                    .filter(|it| it.run.deadline > now && it.calls < CALLS_MAX);
                let pairs = expected.as_ref().map(|it| (it.key, it.run));
                assert_eq!(found.map(|it| (it.key, it.run)), pairs, "{id}");
                if let Some(it) = expected {
                    it.calls += 1;
                    runs.called(now, it.key, &name, CallEnd::Answered, 9);
                }
            }
        }
        assert!(runs.len() <= RUNS_MAX);
        full += u32::from(runs.len() == RUNS_MAX);
        assert_eq!(runs.len(), model.len());
    }
    assert_eq!(runs.learned().kinds().len(), KINDS_MAX);
    let kinds = runs.learned().kinds().iter();
    assert!(kinds.clone().all(|it| it.services.len() <= CALLED_MAX));
    assert!(runs.totals().calls[0] > 1_000);
    assert!(full > 1_000, "{full}");
}
