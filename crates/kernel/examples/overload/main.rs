//! Goodput under overload: admission, pick and retry against round robin with blind retries.
//!
//! `cargo run --release -p laburnum-kernel --example overload [seed]` prints one line a scenario and policy.

mod sim;

use laburnum_kernel::admission::AdmissionSettings;

use sim::{Policy, Report, Scenario, Upstreams, quantile, run};

/// Shares of the classes in the offered slot time.
const MIX: [f64; 3] = [0.7, 0.1, 0.2];

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(1);
    println!(
        "{:9} {:18} {:9} {:>7} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>8} {:>8}",
        "site",
        "scenario",
        "policy",
        "goodput",
        "int%",
        "exact%",
        "back%",
        "int p50",
        "int p99",
        "ex p99",
        "giveup99",
        "retries"
    );
    for (site, base) in [("nile", nile()), ("cascadia", cascadia())] {
        for (label, scenario) in scenarios(&base) {
            for policy in policies() {
                let report = run(&scenario, policy, &AdmissionSettings::default(), seed);
                print(site, &label, policy, &report);
            }
        }
    }
}

/// Both policies, or only the managed one with `managed` as the second argument.
fn policies() -> Vec<Policy> {
    match std::env::args().nth(2).as_deref() {
        Some("managed") => vec![Policy::Managed],
        _ => vec![Policy::Baseline, Policy::Managed],
    }
}

/// The drafting desk: drafts read in about 20 ms, filings 30 ms, archive lookups 100 ms.
fn nile() -> Scenario {
    Scenario {
        endpoints: 5,
        slots: 6,
        zones: 3,
        upstreams: Upstreams::Equal,
        load: MIX,
        service: [20_000, 30_000, 100_000],
        deadline: [1_000_000, 2_000_000, 10_000_000],
        time: 60_000_000,
    }
}

/// The profiles: fetches of about 10 ms, purchases 20 ms, bulk work 50 ms.
fn cascadia() -> Scenario {
    Scenario {
        endpoints: 7,
        slots: 12,
        zones: 4,
        service: [10_000, 20_000, 50_000],
        ..nile()
    }
}

fn scenarios(base: &Scenario) -> Vec<(String, Scenario)> {
    let scaled = |factor: f64| MIX.map(|it| it * factor);
    let mut all = Vec::new();
    for factor in [0.5, 1.0, 2.0, 4.0] {
        let load = scaled(factor);
        all.push((
            format!("load {factor}x"),
            Scenario {
                load,
                ..base.clone()
            },
        ));
    }
    for factor in [0.5, 1.0, 2.0] {
        let (load, upstreams) = (scaled(factor), Upstreams::Slow);
        all.push((
            format!("1/3 slow {factor}x"),
            Scenario {
                load,
                upstreams,
                ..base.clone()
            },
        ));
    }
    for factor in [0.15, 0.5, 1.0] {
        let (load, upstreams) = (scaled(factor), Upstreams::Oversold);
        all.push((
            format!("oversold {factor}x"),
            Scenario {
                load,
                upstreams,
                ..base.clone()
            },
        ));
    }
    for (label, load) in [
        ("quiet", [0.4, 0.05, 0.0]),
        ("background flood", [0.4, 0.05, 4.0]),
        ("foreground flood", [3.0, 0.1, 0.2]),
    ] {
        all.push((
            label.to_owned(),
            Scenario {
                load,
                ..base.clone()
            },
        ));
    }
    all
}

fn print(site: &str, label: &str, policy: Policy, report: &Report) {
    let served =
        |class: usize| 100.0 * report.good[class] as f64 / report.offered[class].max(1) as f64;
    println!(
        "{site:9} {label:18} {:9} {:6.1}% {:5.1}% {:5.1}% {:5.1}% {:7.1} {:7.1} {:7.1} {:8.1} {:7.1}%",
        format!("{policy:?}").to_lowercase(),
        100.0 * report.goodput(),
        served(0),
        served(1),
        served(2),
        quantile(&report.latency[0], 0.5),
        quantile(&report.latency[0], 0.99),
        quantile(&report.latency[1], 0.99),
        quantile(&report.given_up, 0.99),
        100.0 * report.retries(),
    );
}
