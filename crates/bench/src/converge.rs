//! `laburnum-bench converge`: time until changes are in force in every view, and their cost.
//!
//! The cases run one after another on one fleet. The baseline, whose nodes poll the table for full texts, has
//! a fleet of its own.

use std::{str::FromStr, time::Instant};

use laburnum_kernel::settings::{SpreadForm, SpreadMode, SpreadSettings};
use laburnum_standin::faults::Faults;
use serde_json::{Value, json};

use crate::{
    fleet::{Fleet, FleetError, Layout},
    report::{Report, Table},
    watch::Watch,
};

mod cases;
mod cost;
mod workload;

use self::{cost::Cost, workload::Workload};

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Preset of configuration distribution.
    pub preset: Preset,
    /// Cases to run; they run in the order of [`Case`].
    pub cases: Vec<Case>,
    /// Number of single changes.
    pub repeat: usize,
    /// Number of services.
    pub services: usize,
    /// Number of changes in the burst.
    pub burst: usize,
    /// Duration of the outage, in seconds.
    pub outage: u64,
}

/// Preset of distribution settings, named after a user's fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Optimized for short convergence.
    Nile,
    /// Optimized for few bytes.
    Cascadia,
}

/// One experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// One change at a time.
    Change,
    /// Many changes at once.
    Burst,
    /// Half of the nodes restart at once.
    Herd,
    /// The platform rejects every call for a while; then many changes are made at once.
    Outage,
    /// A relay is killed while it pushes.
    Relay,
    /// Single changes with every node polling for full texts.
    Baseline,
}

/// The error of a text that names no preset or case; holds the valid names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not one of {0}")]
pub struct BadWord(&'static str);

/// Results of one case.
#[derive(Clone, Debug)]
struct Outcome {
    name: &'static str,
    /// Convergence times in ms, sorted.
    times: Vec<u64>,
    /// Number of changes made.
    changes: usize,
    cost: Cost,
    /// Highest number of platform reads in one second.
    reads_peak: u64,
    /// Number of rows and objects read.
    read_rows: u64,
    /// Number of calls that the platform rejected by its rate limit.
    throttled: u64,
}

/// Maximum wait for a condition on the fleet, in ms.
const WAIT_MS: u64 = 60_000;

/// Rate limits of the platform, in rows per second.
const READS_PER_SECOND: u64 = 2_000;
const WRITES_PER_SECOND: u64 = 500;

/// Maximum p99 convergence time of single changes, in ms.
const CHANGE_MAX_MS: u64 = 1_000;
/// Maximum convergence time of the other cases, in ms.
const RECOVERY_MAX_MS: u64 = 8_000;
/// Maximum link bytes per second of a node, averaged over a minute.
const LINK_BUDGET: f64 = 2_048.0;
/// Minimum factor by which polling for full texts costs more bytes per change.
const SAVING_MIN: f64 = 10.0;

impl FromStr for Preset {
    type Err = BadWord;

    fn from_str(text: &str) -> Result<Preset, BadWord> {
        match text {
            "nile" => Ok(Preset::Nile),
            "cascadia" => Ok(Preset::Cascadia),
            _ => Err(BadWord("nile, cascadia")),
        }
    }
}

impl FromStr for Case {
    type Err = BadWord;

    fn from_str(text: &str) -> Result<Case, BadWord> {
        match text {
            "change" => Ok(Case::Change),
            "burst" => Ok(Case::Burst),
            "herd" => Ok(Case::Herd),
            "outage" => Ok(Case::Outage),
            "relay" => Ok(Case::Relay),
            "baseline" => Ok(Case::Baseline),
            _ => Err(BadWord("change, burst, herd, outage, relay, baseline")),
        }
    }
}

impl Outcome {
    /// Returns a percentile of the convergence times.
    fn percentile(&self, percent: usize) -> u64 {
        let idx = (self.times.len() * percent).div_ceil(100);
        let time = self.times.get(idx.saturating_sub(1));
        time.copied().unwrap_or_default()
    }

    fn json(&self) -> Value {
        json!({
            "case": self.name,
            "samples": self.times.len(),
            "convergence_ms": self.convergence(),
            "control_bytes": self.cost,
            "reads_peak": self.reads_peak,
            "read_rows": self.read_rows,
            "throttled": self.throttled,
        })
    }

    fn convergence(&self) -> Value {
        json!({ "p50": self.percentile(50), "p99": self.percentile(99), "max": self.percentile(100) })
    }

    fn row(&self) -> [String; 14] {
        let rate = |it: f64| format!("{it:.0}");
        [
            self.name.to_owned(),
            self.times.len().to_string(),
            self.percentile(50).to_string(),
            self.percentile(99).to_string(),
            self.percentile(100).to_string(),
            rate(self.cost.link_mean),
            rate(self.cost.link_worst),
            rate(self.cost.spread_mean),
            rate(self.cost.read_mean),
            rate(self.cost.written_mean),
            rate(self.cost.bytes_per_change(self.changes)),
            self.reads_peak.to_string(),
            self.read_rows.to_string(),
            self.throttled.to_string(),
        ]
    }
}

/// Runs the cases of the plan.
pub async fn run(plan: &Plan) -> Result<Report, FleetError> {
    let start = Instant::now();
    let spread = match plan.preset {
        Preset::Nile => SpreadSettings::nile(),
        Preset::Cascadia => SpreadSettings::cascadia(),
    };
    let mut fleet = Fleet::start(&layout(plan, spread.clone())).await?;
    let watch = start_watch(&fleet);
    let mut work = Workload::start(&fleet, plan.services).await?;
    let mut outcomes = vec![cases::idle(&fleet, &watch).await];
    for case in [
        Case::Change,
        Case::Burst,
        Case::Herd,
        Case::Outage,
        Case::Relay,
    ] {
        if !plan.cases.contains(&case) {
            continue;
        }
        eprintln!(
            "event=case name={case:?} nodes={} ms={}",
            plan.nodes,
            start.elapsed().as_millis()
        );
        outcomes.push(match case {
            Case::Burst => cases::burst(&fleet, &watch, &mut work, plan.burst).await?,
            Case::Herd => cases::restart_half(&mut fleet, &watch).await?,
            Case::Outage => cases::outage(&fleet, &watch, &mut work, plan.outage).await?,
            Case::Relay => cases::relay(&mut fleet, &watch, &mut work).await?,
            Case::Change | Case::Baseline => {
                cases::change(&fleet, &watch, &mut work, plan.repeat, "change").await?
            }
        });
    }
    let findings = watch.close();
    fleet.close().await;
    let baseline = match plan.cases.contains(&Case::Baseline) {
        true => Some(run_baseline(plan, spread).await?),
        false => None,
    };
    let mut report = Report::default();
    add_checks(&mut report, &outcomes, baseline.as_ref());
    let mut table = Table::new(
        "cases; bytes are B/s a node, sent over the link or exchanged with the platform",
        &[
            "case",
            "n",
            "p50 ms",
            "p99 ms",
            "max ms",
            "link mean",
            "link worst",
            "of it spread",
            "read mean",
            "written mean",
            "B a change",
            "reads/s peak",
            "rows read",
            "throttled",
        ],
    );
    outcomes
        .iter()
        .chain(&baseline)
        .for_each(|it| table.row(it.row()));
    report.tables.push(table);
    report.check(
        "no view went back or had a route to an absent service",
        findings.violations() == 0,
        format!(
            "{} back, {} dangling",
            findings.steps_back, findings.dangling
        ),
    );
    let main = outcomes
        .iter()
        .find(|it| it.name == "change")
        .unwrap_or(&outcomes[0]);
    report.field("nodes", plan.nodes);
    report.field("convergence_ms", main.convergence());
    report.field("control_bytes", json!(main.cost));
    report.field("invariant_breaks", findings.violations());
    report.field(
        "baseline",
        baseline.as_ref().map_or(Value::Null, Outcome::json),
    );
    report.field(
        "cases",
        outcomes.iter().map(Outcome::json).collect::<Vec<_>>(),
    );
    Ok(report)
}

/// Measures single changes on a fleet whose nodes poll the table for full texts.
async fn run_baseline(plan: &Plan, spread: SpreadSettings) -> Result<Outcome, FleetError> {
    let spread = SpreadSettings {
        mode: SpreadMode::Poll,
        form: SpreadForm::Full,
        ..spread
    };
    let fleet = Fleet::start(&layout(plan, spread)).await?;
    let watch = start_watch(&fleet);
    let mut work = Workload::start(&fleet, plan.services).await?;
    let outcome = cases::change(&fleet, &watch, &mut work, plan.repeat, "baseline").await?;
    watch.close();
    fleet.close().await;
    Ok(outcome)
}

fn layout(plan: &Plan, spread: SpreadSettings) -> Layout {
    Layout {
        nodes: plan.nodes,
        zones: plan.zones,
        regions: 2,
        spread,
        faults: Faults {
            reads: READS_PER_SECOND,
            writes: WRITES_PER_SECOND,
            ..Faults::default()
        },
        ..Layout::default()
    }
}

fn start_watch(fleet: &Fleet) -> Watch {
    let controls = fleet.controls().map(|(_, it)| it.clone());
    Watch::start(controls, fleet.platform().clone())
}

/// Adds the checks of every case to the report.
fn add_checks(report: &mut Report, outcomes: &[Outcome], baseline: Option<&Outcome>) {
    for it in outcomes {
        let (p99, max) = (it.percentile(99), it.percentile(100));
        match it.name {
            "change" => {
                report.check(
                    "one change: p99 below 1 s",
                    p99 < CHANGE_MAX_MS,
                    format!("{p99} ms"),
                );
                if let Some(baseline) = baseline {
                    check_saving(report, it, baseline);
                }
            }
            "burst" => {
                report.check(
                    "a burst is in force within 8 s",
                    max < RECOVERY_MAX_MS,
                    format!("{max} ms"),
                );
                let worst = it.cost.link_worst_minute;
                let found = format!("{worst:.0} B/s for the worst node");
                report.check(
                    "a burst costs at most 2 KB/s a node over a minute",
                    worst <= LINK_BUDGET,
                    found,
                );
            }
            "herd" => {
                report.check(
                    "a herd is back within 8 s",
                    max < RECOVERY_MAX_MS,
                    format!("{max} ms"),
                );
                let found = format!("{} reads/s at the peak", it.reads_peak);
                report.check(
                    "a herd stays within the platform's reads",
                    it.reads_peak <= READS_PER_SECOND,
                    found,
                );
            }
            "outage" => {
                report.check(
                    "after an outage all is in force within 8 s",
                    max < RECOVERY_MAX_MS,
                    format!("{max} ms"),
                );
            }
            "relay death" => {
                report.check(
                    "a relay's death delays at most 8 s",
                    max < RECOVERY_MAX_MS,
                    format!("{max} ms"),
                );
            }
            _ => {}
        }
    }
}

/// Checks the distribution bytes per change against those of the baseline.
fn check_saving(report: &mut Report, outcome: &Outcome, baseline: &Outcome) {
    let lhs = outcome.cost.bytes_per_change(outcome.changes);
    let rhs = baseline.cost.bytes_per_change(baseline.changes);
    let factor = rhs / lhs.max(f64::MIN_POSITIVE);
    report.check(
        "10 times fewer bytes a change than polling for full texts",
        factor >= SAVING_MIN,
        format!("{factor:.1}: {lhs:.0} against {rhs:.0} bytes a node"),
    );
}
