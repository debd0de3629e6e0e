//! The arrivals, the judge and the tally of `laburnum-bench load`.

use laburnum_bench::load::{
    arrivals::{Flow, Kind, schedule},
    case::{Case, Cases},
    judge::{Answer, Echo, Outcome, Verdict, judge},
    preset::Preset,
    tally::{Sample, Tally},
};
use laburnum_kernel::document::{Class, Document};
use laburnum_standin::upstream::{
    Ledger,
    ledger::{Run, RunState},
};
use test_case::test_case;

fn flow(kind: Kind, rate: f64) -> Flow {
    Flow {
        service: 0,
        kind,
        rate,
    }
}

#[test]
fn arrivals_are_poisson_and_repeat_for_a_seed() {
    let flows = [flow(Kind::Interactive, 1_000.0)];
    let arrivals = schedule(&flows, 20_000, 7);
    assert_eq!(arrivals, schedule(&flows, 20_000, 7));
    assert_ne!(arrivals, schedule(&flows, 20_000, 8));
    // 20,000 expected, with a standard deviation of 141.
    assert!((19_400..20_600).contains(&arrivals.len()));
    let gaps: Vec<f64> = arrivals
        .windows(2)
        .map(|it| (it[1].due - it[0].due) as f64)
        .collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let square = gaps.iter().map(|it| it * it).sum::<f64>() / gaps.len() as f64;
    // The deviation of exponential gaps equals their mean; even spacing would give zero.
    let deviation = (square - mean * mean).sqrt();
    assert!((0.95..1.05).contains(&(deviation / mean)));
}

#[test]
fn repeated_filings_follow_their_original() {
    let arrivals = schedule(&[flow(Kind::Exact, 500.0)], 4_000, 3);
    let repeats: Vec<_> = arrivals
        .iter()
        .filter(|it| it.kind == Kind::Repeat)
        .collect();
    assert!(repeats.len() > 100);
    for it in repeats {
        let is_same = |first: &&_| is_original(first, it.number);
        let first = arrivals.iter().find(is_same).expect("a first");
        assert!(first.due <= it.due);
    }
}

fn is_original(it: &laburnum_bench::load::arrivals::Arrival, number: u64) -> bool {
    it.kind == Kind::Exact && it.number == number
}

fn run(request: &str, key: Option<&str>, state: RunState) -> Run {
    Run {
        request: Some(request.to_owned()),
        key: key.map(str::to_owned),
        line: "POST /filings/1".to_owned(),
        state,
    }
}

fn answer(request: &str, outcome: Outcome, echo: Echo) -> Answer {
    Answer {
        request: request.to_owned(),
        outcome,
        echo,
    }
}

// Request `a` ran and `b` did not; an answer that contradicts the ledger must be counted.
#[test_case("a", Outcome::Ran, Echo::Own, 0, 0; "a run answered as such")]
#[test_case("a", Outcome::NotRun, Echo::None, 1, 0; "a run refused")]
#[test_case("a", Outcome::Unknown, Echo::None, 0, 0; "a run of unknown outcome")]
#[test_case("a", Outcome::Missing, Echo::None, 0, 0; "a run without answer")]
#[test_case("b", Outcome::NotRun, Echo::None, 0, 0; "a refusal")]
#[test_case("a", Outcome::Ran, Echo::Foreign, 0, 1; "the body of another request")]
fn answers_are_judged_by_the_ledger(
    request: &str,
    outcome: Outcome,
    echo: Echo,
    wrong: u64,
    mixed: u64,
) {
    for state in [RunState::Started, RunState::Finished, RunState::Crashed] {
        let ledger = Ledger {
            runs: vec![run("a", None, state)],
            ..Ledger::default()
        };
        let verdict = judge(&[answer(request, outcome, echo)], &ledger);
        let expected = Verdict {
            wrong_refusals: wrong,
            mixed_answers: mixed,
            ..Verdict::default()
        };
        assert_eq!(verdict, expected);
    }
}

#[test]
fn repeated_runs_of_a_key_count_as_duplicates() {
    let mut ledger = Ledger {
        runs: vec![
            run("a", Some("k"), RunState::Crashed),
            run("b", Some("other"), RunState::Finished),
        ],
        ..Ledger::default()
    };
    ledger.merge(Ledger {
        runs: vec![
            run("a", Some("k"), RunState::Finished),
            run("c", Some("k"), RunState::Finished),
        ],
        ..Ledger::default()
    });
    assert_eq!(judge(&[], &ledger).duplicates, 2);
    assert!(!judge(&[], &ledger).is_clean());
}

#[test]
fn incomplete_ledger_is_not_clean() {
    let ledger = Ledger {
        omitted: 1,
        ..Ledger::default()
    };
    assert!(!judge(&[], &ledger).is_clean());
}

fn sample(due: u64, done: u64, outcome: Outcome) -> Sample {
    Sample {
        class: Class::Interactive,
        due,
        done,
        deadline: 100_000,
        outcome,
    }
}

#[test]
fn latency_counts_from_the_due_time() {
    let mut tally = Tally::new(1_000_000, 2_000_000);
    // Due before the measured time and completed in it: counts for goodput, but not for latency.
    tally.add(sample(950_000, 1_010_000, Outcome::Ran));
    tally.add(sample(1_100_000, 1_150_000, Outcome::Ran));
    tally.add(sample(1_200_000, 1_310_000, Outcome::Ran));
    tally.add(sample(1_300_000, 1_301_000, Outcome::NotRun));
    // Within the deadline, but completed after the measured time.
    tally.add(sample(1_990_000, 2_010_000, Outcome::Ran));
    assert_eq!(tally.goodput(), 2.0);
    let counts = tally.counts();
    assert_eq!(
        (counts.sent, counts.in_time, counts.late, counts.refused),
        (4, 2, 1, 1)
    );
    let p99 = tally.quantiles(0.99)["interactive"];
    assert!((109.0..111.0).contains(&p99));
}

#[test]
fn documents_and_names_are_valid() {
    for preset in [Preset::Nile, Preset::Cascadia] {
        for service in preset.services() {
            let document = Document::parse(&preset.document(&service)).expect("valid");
            assert_eq!(document.routes.len(), 3);
        }
        assert_eq!(preset.to_string().parse(), Ok(preset));
    }
    let Cases(all) = "all".parse().expect("cases");
    let names: Vec<_> = all.iter().map(Case::to_string).collect();
    assert_eq!(names.join(",").parse(), Ok(Cases(all)));
    assert!("half,nothing".parse::<Cases>().is_err());
}
