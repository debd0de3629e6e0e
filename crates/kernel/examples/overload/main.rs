//! Compares goodput under overload: admission control, load balancing and retry budgets against round robin with
//! unconditional retries.
//!
//! `cargo run --release -p laburnum-kernel --example overload [seed]` prints one line per scenario and policy.

mod actors;
mod cost;
mod report;
mod scenario;
mod sim;
mod step;

use laburnum_kernel::admission::AdmissionSettings;

use report::{Report, quantile};
use scenario::{Policy, cascadia, nile, scenarios};
use sim::run;

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
    println!("pick, start and end: {:.0} ns", cost::pick_ns());
    println!("offer and end: {:.0} ns", cost::admit_ns());
}

/// Returns both policies, or only the managed one if the second argument is `managed`.
fn policies() -> Vec<Policy> {
    match std::env::args().nth(2).as_deref() {
        Some("managed") => vec![Policy::Managed],
        _ => vec![Policy::Baseline, Policy::Managed],
    }
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
