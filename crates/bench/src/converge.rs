//! How long changes take to be in force in every view, and what they cost.
//!
//! Every case runs on one fleet, one after another; the baseline, which polls the table and sends full texts,
//! has a fleet of its own in the same run.

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

/// What to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// How configuration spreads.
    pub preset: Preset,
    /// Cases, in the order of [`Case`].
    pub cases: Vec<Case>,
    /// Single changes.
    pub repeat: usize,
    /// Services.
    pub services: usize,
    /// Changes in the burst.
    pub burst: usize,
    /// Length of the outage, in seconds.
    pub outage: u64,
}

/// Settings of a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Short convergence.
    Nile,
    /// Few bytes.
    Cascadia,
}

/// One experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// One change at a time.
    Change,
    /// Many changes at once.
    Burst,
    /// Half of the nodes start again at once.
    Herd,
    /// The platform answers nothing for a while; then many changes come at once.
    Outage,
    /// A relay dies while it pushes.
    Relay,
    /// Single changes with every node polling for full texts.
    Baseline,
}

/// Not one of the words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not one of {0}")]
pub struct BadWord(&'static str);

/// What one case found.
#[derive(Clone, Debug)]
struct Outcome {
    name: &'static str,
    /// Times until in force everywhere, in ms, sorted.
    times: Vec<u64>,
    cost: Cost,
    /// Most reads of the platform in one second.
    reads_peak: u64,
    /// Rows and objects read.
    read_rows: u64,
    /// Calls that the platform refused for its rate.
    throttled: u64,
}

/// Longest wait for a fleet to settle, in ms.
const WAIT_MS: u64 = 60_000;

/// What the platform serves a second; the letter's figures.
const READS: u64 = 2_000;
const WRITES: u64 = 500;

/// Goals, in ms, bytes and factors.
const CHANGE_MS: u64 = 1_000;
const MANY_MS: u64 = 8_000;
const BUDGET: f64 = 2_048.0;
const FEWER: f64 = 10.0;

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
    /// The value that `percent` of the times don't exceed.
    fn at(&self, percent: usize) -> u64 {
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
        json!({ "p50": self.at(50), "p99": self.at(99), "max": self.at(100) })
    }

    fn row(&self) -> [String; 14] {
        let rate = |it: f64| format!("{it:.0}");
        [
            self.name.to_owned(),
            self.times.len().to_string(),
            self.at(50).to_string(),
            self.at(99).to_string(),
            self.at(100).to_string(),
            rate(self.cost.link_mean),
            rate(self.cost.link_worst),
            rate(self.cost.spread_mean),
            rate(self.cost.read_mean),
            rate(self.cost.written_mean),
            rate(self.cost.spreading(self.times.len())),
            self.reads_peak.to_string(),
            self.read_rows.to_string(),
            self.throttled.to_string(),
        ]
    }
}

/// Runs the plan.
pub async fn run(plan: &Plan) -> Result<Report, FleetError> {
    let start = Instant::now();
    let spread = match plan.preset {
        Preset::Nile => SpreadSettings::nile(),
        Preset::Cascadia => SpreadSettings::cascadia(),
    };
    let mut fleet = Fleet::start(&layout(plan, spread.clone())).await?;
    let watch = watch(&fleet);
    let mut work = Workload::seed(&fleet, plan.services).await?;
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
            Case::Herd => cases::herd(&mut fleet, &watch).await?,
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
        true => Some(baseline(plan, spread).await?),
        false => None,
    };
    let mut report = Report::default();
    judge(&mut report, &outcomes, baseline.as_ref());
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
        findings.breaks() == 0,
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
    report.field("invariant_breaks", findings.breaks());
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

async fn baseline(plan: &Plan, spread: SpreadSettings) -> Result<Outcome, FleetError> {
    let spread = SpreadSettings {
        mode: SpreadMode::Poll,
        form: SpreadForm::Full,
        ..spread
    };
    let fleet = Fleet::start(&layout(plan, spread)).await?;
    let watch = watch(&fleet);
    let mut work = Workload::seed(&fleet, plan.services).await?;
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
            reads: READS,
            writes: WRITES,
            ..Faults::default()
        },
        ..Layout::default()
    }
}

fn watch(fleet: &Fleet) -> Watch {
    let controls = fleet.controls().map(|(_, it)| it.clone());
    Watch::start(controls, fleet.platform().clone())
}

fn judge(report: &mut Report, outcomes: &[Outcome], baseline: Option<&Outcome>) {
    for it in outcomes {
        let (p99, max) = (it.at(99), it.at(100));
        match it.name {
            "change" => {
                report.check(
                    "one change: p99 below 1 s",
                    p99 < CHANGE_MS,
                    format!("{p99} ms"),
                );
                if let Some(baseline) = baseline {
                    fewer(report, it, baseline);
                }
            }
            "burst" => {
                report.check(
                    "a burst is in force within 8 s",
                    max < MANY_MS,
                    format!("{max} ms"),
                );
                let worst = it.cost.link_worst_minute;
                let found = format!("{worst:.0} B/s for the worst node");
                report.check(
                    "a burst costs at most 2 KB/s a node over a minute",
                    worst <= BUDGET,
                    found,
                );
            }
            "herd" => {
                report.check(
                    "a herd is back within 8 s",
                    max < MANY_MS,
                    format!("{max} ms"),
                );
                let found = format!("{} reads/s at the peak", it.reads_peak);
                report.check(
                    "a herd stays within the platform's reads",
                    it.reads_peak <= READS,
                    found,
                );
            }
            "outage" => {
                report.check(
                    "after an outage all is in force within 8 s",
                    max < MANY_MS,
                    format!("{max} ms"),
                );
            }
            "relay death" => {
                report.check(
                    "a relay's death delays at most 8 s",
                    max < MANY_MS,
                    format!("{max} ms"),
                );
            }
            _ => {}
        }
    }
}

/// Compares what carried each change to the nodes.
fn fewer(report: &mut Report, outcome: &Outcome, baseline: &Outcome) {
    let lhs = outcome.cost.spreading(outcome.times.len());
    let rhs = baseline.cost.spreading(baseline.times.len());
    let factor = rhs / lhs.max(f64::MIN_POSITIVE);
    report.check(
        "10 times fewer bytes a change than polling for full texts",
        factor >= FEWER,
        format!("{factor:.1}: {lhs:.0} against {rhs:.0} bytes a node"),
    );
}
