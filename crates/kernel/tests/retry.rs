//! Retry policy: which failures are retried, how often, and until when.

use laburnum_kernel::{
    Ms,
    document::{self, Repeat},
    refusal::{Reason, Refusal},
    retry::{
        Bound, Budget, Counted, Deadline, Entries, Failure, GiveUp, MAX_DEPTH, Next, Retry, Tree,
        Untried,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const POLICY: document::Retry = document::Retry {
    attempts: 3,
    budget: 10,
};
const NOW: Ms = Ms(1_000);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn not_run(reason: Reason, after: u64) -> Failure {
    Failure::NotRun(Refusal::after(reason, after))
}

fn full_budget() -> Budget {
    let mut budget = Budget::new(NOW, 100);
    (0..20).for_each(|_| budget.success());
    budget
}

fn next(repeat: Repeat, failure: Failure, untried: Untried, left: u64) -> Next {
    let deadline = Deadline::after(NOW, left);
    let mut retry = Retry::new(&POLICY, repeat, deadline, Tree::default());
    retry.next(NOW, &mut rng(), &mut full_budget(), failure, untried)
}

const AT_ONCE: Next = Next::Retry { after: 0 };
const FINAL: Next = Next::GiveUp(GiveUp::Final);
const LATE: Next = Next::GiveUp(GiveUp::Deadline);

/// Guards against a second execution: only idempotent requests and those that were not run are retried.
#[test_case(Repeat::Never, Failure::Unknown, Untried::Some, 500, FINAL; "unknown and not idempotent")]
#[test_case(Repeat::Idempotent, Failure::Unknown, Untried::Some, 500, AT_ONCE; "unknown and idempotent")]
#[test_case(Repeat::Never, not_run(Reason::Draining, 0), Untried::Some, 500, AT_ONCE; "draining")]
#[test_case(Repeat::Never, not_run(Reason::NotReady, 0), Untried::Some, 500, AT_ONCE; "not ready")]
#[test_case(Repeat::Never, not_run(Reason::Overloaded, 90), Untried::Some, 500, AT_ONCE; "overloaded with untried endpoints")]
#[test_case(Repeat::Never, not_run(Reason::Overloaded, 90), Untried::None, 500, Next::Retry { after: 90 }; "overloaded everywhere")]
#[test_case(Repeat::Never, not_run(Reason::Overloaded, 500), Untried::None, 500, LATE; "the delay exceeds the deadline")]
#[test_case(Repeat::Never, not_run(Reason::NoClaim, 70), Untried::Some, 500, Next::Retry { after: 70 }; "no claim")]
#[test_case(Repeat::Never, not_run(Reason::Limited, 70), Untried::Some, 500, Next::Retry { after: 70 }; "limited")]
#[test_case(Repeat::Idempotent, not_run(Reason::Quarantined, 0), Untried::Some, 500, FINAL; "quarantined")]
#[test_case(Repeat::Idempotent, not_run(Reason::Expired, 0), Untried::Some, 500, FINAL; "expired")]
#[test_case(Repeat::Idempotent, not_run(Reason::Cancelled, 0), Untried::Some, 500, FINAL; "cancelled")]
#[test_case(Repeat::Idempotent, Failure::Unknown, Untried::Some, 0, LATE; "no time left")]
#[test_case(Repeat::Idempotent, Failure::Unknown, Untried::Some, 10, LATE; "the owner missed the deadline")]
#[test_case(Repeat::Idempotent, Failure::Unknown, Untried::Some, 20, AT_ONCE; "just enough time left")]
fn only_safe_failures_are_retried(
    repeat: Repeat,
    failure: Failure,
    untried: Untried,
    left: u64,
    expected: Next,
) {
    assert_eq!(next(repeat, failure, untried, left), expected);
}

/// Guards against retries that keep a service overloaded: they are a bounded share of the successes.
#[test_case(0, 0, 0; "no budget at all")]
#[test_case(10, 0, 1; "one at the start")]
#[test_case(10, 50, 6)]
#[test_case(10, 90, 10)]
#[test_case(10, 10_000, 10; "bounded")]
fn budget_is_a_share_of_successes(percent: u32, successes: usize, expected: usize) {
    let mut budget = Budget::new(NOW, percent);
    (0..successes).for_each(|_| budget.success());
    let retries = (0..100).filter(|_| retried(NOW, &mut budget)).count();
    assert_eq!(retries, expected);
}

fn retried(now: Ms, budget: &mut Budget) -> bool {
    let deadline = Deadline::after(now, 500);
    let mut retry = Retry::new(&POLICY, Repeat::Idempotent, deadline, Tree::default());
    retry.next(now, &mut rng(), budget, Failure::Unknown, Untried::Some) == AT_ONCE
}

/// Guards against a service with little traffic that never gets a retry: its budget is refilled every two seconds.
#[test]
fn idle_budget_refills_to_one_retry() {
    let mut budget = Budget::new(NOW, 10);
    assert!(retried(NOW, &mut budget));
    assert!(!retried(NOW + 1_999, &mut budget));
    assert!(retried(NOW + 2_000, &mut budget));
    assert!(!retried(NOW + 2_001, &mut budget));
}

#[test]
fn attempts_are_bounded() {
    let tree = Tree {
        retries: 9,
        depth: 0,
    };
    let mut retry = Retry::new(&POLICY, Repeat::Idempotent, Deadline::after(NOW, 500), tree);
    let mut budget = full_budget();
    let mut step = || {
        retry.next(
            NOW,
            &mut rng(),
            &mut budget,
            Failure::Unknown,
            Untried::Some,
        )
    };
    assert_eq!(
        [step(), step(), step()],
        [AT_ONCE, AT_ONCE, Next::GiveUp(GiveUp::Attempts)]
    );
}

/// Returns the number of attempts at the deepest call of a tree in which all calls fail and all hops have budget.
fn deepest_attempts(depth: u8, tree: Tree) -> usize {
    if depth == 0 {
        return 1;
    }
    let deadline = Deadline::after(NOW, 500);
    let mut retry = Retry::new(&POLICY, Repeat::Idempotent, deadline, tree);
    let mut total = 0;
    loop {
        let below = retry.attempt().to_string();
        total += deepest_attempts(depth - 1, below.parse().expect("sent as text"));
        let next = retry.next(
            NOW,
            &mut rng(),
            &mut full_budget(),
            Failure::Unknown,
            Untried::Some,
        );
        if next != AT_ONCE {
            return total;
        }
    }
}

/// Guards against retries that multiply over the levels of a call tree (three attempts on each of ten levels: 59,049).
#[test_case(1)]
#[test_case(5)]
#[test_case(10)]
fn call_tree_does_not_multiply_retries(depth: u8) {
    let attempts = deepest_attempts(depth, Tree::default());
    assert!((1..=3).contains(&attempts), "{attempts} attempts");
}

#[test]
fn deepest_calls_are_not_retried() {
    let mut tree = Tree {
        retries: 2,
        depth: MAX_DEPTH,
    };
    assert_eq!(tree.split().retries, 0);
}

#[test_case("2/0", Some((2, 0)))]
#[test_case("250/3", Some((2, 3)); "too many retries are bounded")]
#[test_case("2", None; "no depth")]
#[test_case("-1/0", None; "negative")]
#[test_case("2/0/1", None; "too long")]
fn tree_text_is_parsed_and_bounded(text: &str, expected: Option<(u8, u8)>) {
    let tree = text.parse::<Tree>().ok();
    assert_eq!(tree.map(|it| (it.retries, it.depth)), expected);
}

/// Guards against answers that reach the caller after its deadline: each hop reserves time for the answer to travel
/// back.
#[test]
fn deadlines_shrink_per_hop() {
    let deadline = Deadline::after(NOW, 500);
    assert_eq!(deadline.shrink(2).left(NOW), 498);
    assert_eq!(deadline.min(Deadline::after(NOW, 100)).left(NOW), 100);
    assert_eq!(deadline.left(NOW + 700), 0);
    assert_eq!(Deadline::after(Ms(0), 1).shrink(9).left(Ms(0)), 0);
}

/// Guards against refusals by nodes that use up attempts or budget, and against a request sent on without a limit.
#[test]
fn node_refusals_cost_no_attempt_and_are_bounded() {
    let policy = document::Retry {
        attempts: 1,
        budget: 0,
    };
    let deadline = Deadline::after(NOW, 500);
    let mut retry = Retry::counting(
        Counted::Reached,
        &policy,
        Repeat::Never,
        deadline,
        Tree::default(),
    );
    let mut budget = Budget::new(NOW, 0);
    let mut step =
        |reason, untried| retry.next(NOW, &mut rng(), &mut budget, not_run(reason, 90), untried);
    assert_eq!(step(Reason::Overloaded, Untried::Some), AT_ONCE);
    assert_eq!(step(Reason::Draining, Untried::Some), AT_ONCE);
    assert_eq!(
        step(Reason::Overloaded, Untried::Some),
        Next::GiveUp(GiveUp::Attempts)
    );
    assert_eq!(step(Reason::Overloaded, Untried::None), FINAL);
}

/// Guards against retries without a charge after an upstream itself rejected the request.
#[test]
fn upstream_refusal_costs_budget() {
    let deadline = Deadline::after(NOW, 500);
    let mut retry = Retry::counting(
        Counted::Reached,
        &POLICY,
        Repeat::Never,
        deadline,
        Tree::default(),
    );
    let mut budget = Budget::new(NOW, 0);
    let next = retry.next(
        NOW,
        &mut rng(),
        &mut budget,
        not_run(Reason::Shed, 0),
        Untried::Some,
    );
    assert_eq!(next, Next::GiveUp(GiveUp::Budget));
}

/// Returns a bound of 0.2 retries per request and `extra` in 10 s.
fn bound(extra: f64) -> Bound {
    Bound {
        ratio: 0.2,
        window: 10_000,
        extra,
    }
}

/// Route of an imported configuration: each request reaches two upstreams at most.
const TWO_ATTEMPTS: document::Retry = document::Retry {
    attempts: 2,
    budget: 0,
};

/// Requests and retries of a service over all entries, per 100 ms.
struct Sent {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

/// Simulates `entries` entries for 60 s that share `bound`. From the 40th second on the upstreams shed `shed` of all
/// arrivals; before, the calm lasts long enough for every entry to save up its share.
fn send_through_shedding(
    (entries, bound): (usize, Bound),
    per_second: impl Fn(u64) -> f64,
    shed: f64,
) -> Sent {
    let mut rng = rng();
    let mut budgets = vec![Budget::bounded(NOW, bound, Entries::Count(entries)); entries];
    let mut sent = Sent {
        requests: vec![0; 600],
        retries: vec![0; 600],
    };
    for ms in 0..60_000_u64 {
        let now = NOW + ms;
        let mean = per_second(ms) / 1_000.0;
        let count = mean as u32 + u32::from(rng.random_bool(mean.fract()));
        for _ in 0..count {
            let budget = &mut budgets[rng.random_range(0..entries)];
            budget.requested();
            sent.requests[ms as usize / 100] += 1;
            if ms < 40_000 || !rng.random_bool(shed) {
                budget.success();
                continue;
            }
            let deadline = Deadline::after(now, 1_000);
            let (policy, repeat, tree) = (&TWO_ATTEMPTS, Repeat::Never, Tree::default());
            let mut retry = Retry::counting(Counted::Reached, policy, repeat, deadline, tree);
            let failure = not_run(Reason::Shed, 0);
            let next = retry.next(now, &mut rng, budget, failure, Untried::Some);
            sent.retries[ms as usize / 100] += u32::from(next == AT_ONCE);
        }
    }
    sent
}

/// Guards against retries beyond the bound of the whole fleet: after a calm, in a small service, where the share of an entry is
/// less than a retry, and when traffic changes while the upstreams shed.
#[test_case(59, 158.0, |_| 1_300.0; "busy service")]
#[test_case(59, 158.0, |_| 20.0; "quiet service")]
#[test_case(59, 20.0, |_| 10.0; "small extra")]
#[test_case(1_000, 158.0, |_| 1_300.0; "thousand entries")]
#[test_case(1_000, 158.0, |_| 200.0; "quiet service at a thousand entries")]
#[test_case(59, 158.0, |ms| if ms < 40_000 { 1_300.0 } else { 200.0 }; "falling traffic")]
#[test_case(59, 158.0, |ms| if ms < 40_000 { 20.0 } else { 1_300.0 }; "rising traffic")]
fn retries_of_all_entries_stay_within_their_bound(
    entries: usize,
    extra: f64,
    per_second: fn(u64) -> f64,
) {
    let sent = send_through_shedding((entries, bound(extra)), per_second, 0.9);
    for (end, _) in sent.retries.iter().enumerate().skip(200) {
        // The requests of the window, or of the one before it if those are more.
        let sum = |of: &[u32], end: usize| f64::from(of[end - 100..end].iter().sum::<u32>());
        let requests = sum(&sent.requests, end).max(sum(&sent.requests, end - 100));
        let allowed = 0.2 * requests + extra;
        assert!(sum(&sent.retries, end) <= allowed, "{end}: {allowed}");
    }
}

/// Guards against larger shares for entries that lose sight of others for a moment.
#[test]
fn share_grows_only_after_a_window_with_fewer_entries() {
    let mut rng = rng();
    let mut spent_within = |millis: u64| {
        let mut budget = Budget::bounded(NOW, bound(1_000.0), Entries::Count(100));
        budget.set_entries(NOW + 1, Entries::Count(1));
        budget.set_entries(NOW + millis, Entries::Count(1));
        let deadline = Deadline::after(NOW + millis, 1_000);
        let mut next = || {
            let (policy, repeat, tree) = (&TWO_ATTEMPTS, Repeat::Never, Tree::default());
            let mut retry = Retry::counting(Counted::Reached, policy, repeat, deadline, tree);
            let failure = not_run(Reason::Shed, 0);
            retry.next(NOW + millis, &mut rng, &mut budget, failure, Untried::Some)
        };
        (0..100).filter(|_| next() == AT_ONCE).count()
    };
    assert!(spent_within(9_000) <= 5);
    assert!(spent_within(11_000) <= 10);
}

/// Guards against the whole allowance at each of many entries that start together and know only themselves.
#[test]
fn entry_that_knows_no_other_has_no_share() {
    let mut budget = Budget::bounded(NOW, bound(1_000.0), Entries::Unknown);
    let spent_at = |budget: &mut Budget, millis: u64| {
        let deadline = Deadline::after(NOW + millis, 1_000);
        let mut next = || {
            let (policy, repeat, tree) = (&TWO_ATTEMPTS, Repeat::Never, Tree::default());
            let mut retry = Retry::counting(Counted::Reached, policy, repeat, deadline, tree);
            let failure = not_run(Reason::Shed, 0);
            retry.next(NOW + millis, &mut rng(), budget, failure, Untried::Some)
        };
        (0..100).filter(|_| next() == AT_ONCE).count()
    };
    budget.requested();
    assert_eq!(spent_at(&mut budget, 9_000), 0);
    // Once the others are known, it has a share at once.
    budget.set_entries(NOW + 9_000, Entries::Count(20));
    assert!((1..=25).contains(&spent_at(&mut budget, 11_000)));
}

/// Guards against a budget that shrinks with the successes just when upstreams shed most requests.
#[test]
fn shedding_upstreams_get_most_of_the_retries_that_the_bound_allows() {
    let sent = send_through_shedding((59, bound(158.0)), |_| 1_300.0, 0.55);
    let sum = |of: &[u32]| f64::from(of[400..600].iter().sum::<u32>());
    let (used, allowed) = (sum(&sent.retries), 0.2 * sum(&sent.requests));
    assert!(used >= 0.7 * allowed, "{used} of {allowed}");
}
