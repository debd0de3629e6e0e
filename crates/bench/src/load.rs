//! `laburnum-bench load`: goodput, latency and correctness of real nodes under overload and faults.
//!
//! Every case runs twice: through the nodes, and with the baseline, which calls the same kind of upstreams
//! directly, round robin, with three blind retries and no admission. Arrivals are open-loop; answers are
//! checked against the upstreams' ledgers.

pub mod arrivals;
pub mod case;
pub mod client;
pub mod command;
pub mod drive;
pub mod fault_injection;
pub mod judge;
pub mod preset;
pub mod report;
pub mod site;
pub mod tally;

use std::time::Duration;

use laburnum_kernel::document::Class;

use self::{
    case::{Case, ServiceTime},
    client::{Callers, Destination},
    drive::Completed,
    fault_injection::Targets,
    judge::judge,
    preset::Preset,
    report::{CaseReport, Report},
    site::{BaselineSite, Group, Site},
    tally::{Figures, Tally},
};
use crate::fleet::FleetError;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Preset of the fleet. Default: nile.
    pub preset: Preset,
    /// Cases, in order. Default: all.
    pub cases: Vec<Case>,
    /// Measured seconds of each case. Default: 3.
    pub seconds: u64,
    /// Seed of arrivals and service times. Default: 1.
    pub seed: u64,
}

/// Load before the measured time, in ms, for upstreams to warm up and queues to form.
const WARMUP_MS: u64 = 1_500;
/// Maximum wait for answers after the last request.
const ANSWER_GRACE: Duration = Duration::from_secs(4);

/// Runs every case, calls `done` after each, and returns the report of all.
pub async fn run(
    settings: &Settings,
    mut done: impl FnMut(&CaseReport),
) -> Result<Report, FleetError> {
    let mut lines = Vec::new();
    for case in &settings.cases {
        let baseline = run_baseline(settings, *case).await?;
        let mut nodes = run_nodes(settings, *case).await?;
        let p99 = |it: &Figures| {
            it.class_p99_ms
                .get(tally::class_name(Class::Interactive))
                .copied()
        };
        nodes.added_p99_ms = match (p99(&nodes), p99(&baseline)) {
            (Some(with), Some(without)) => Some(with - without),
            _ => None,
        };
        let line = CaseReport {
            case: case.to_string(),
            nodes,
            baseline,
        };
        done(&line);
        lines.push(line);
    }
    Ok(Report::new(settings, lines))
}

async fn run_nodes(settings: &Settings, case: Case) -> Result<Figures, FleetError> {
    let site = Site::start(settings.preset, case.service_time(), settings.seed).await?;
    let callers = Callers::new(settings.preset, Destination::Nodes(site.entries.clone()));
    let targets = Targets {
        groups: &site.groups,
        platform: Some(site.platform()),
    };
    let completed = offer_load(settings, case, &callers, targets).await;
    let figures = figures(settings, case, &completed, &site.groups, site.retries());
    site.close().await;
    Ok(figures)
}

async fn run_baseline(settings: &Settings, case: Case) -> Result<Figures, FleetError> {
    let site = BaselineSite::start(settings.preset, case.service_time(), settings.seed).await?;
    let addresses = |group: &Group| group.iter().map(|it| it.address()).collect();
    let destination = Destination::Direct(site.groups.iter().map(addresses).collect());
    let callers = Callers::new(settings.preset, destination);
    let targets = Targets {
        groups: &site.groups,
        platform: None,
    };
    let completed = offer_load(settings, case, &callers, targets).await;
    let figures = figures(settings, case, &completed, &site.groups, callers.retries());
    site.close();
    Ok(figures)
}

/// Sends the load of a case while its faults are injected.
async fn offer_load(
    settings: &Settings,
    case: Case,
    callers: &Callers,
    targets: Targets<'_>,
) -> Vec<Completed> {
    let millis = WARMUP_MS + settings.seconds * 1_000;
    let flows = case.flows(settings.preset);
    let arrivals = arrivals::schedule(&flows, millis, settings.seed);
    let (completed, ()) = tokio::join!(
        drive::run(settings.preset, callers, arrivals, ANSWER_GRACE),
        fault_injection::run(case, settings.preset, targets, millis),
    );
    completed
}

fn figures(
    settings: &Settings,
    case: Case,
    completed: &[Completed],
    groups: &[Group],
    retries: u64,
) -> Figures {
    let begin = WARMUP_MS * 1_000;
    let mut tally = Tally::new(begin, begin + settings.seconds * 1_000_000);
    completed.iter().for_each(|it| tally.add(it.sample));
    let preset = settings.preset;
    let capacity: f64 = preset.services().iter().map(|it| preset.capacity(it)).sum();
    Figures {
        goodput_share: match case.service_time() {
            ServiceTime::Preset => Some(tally.goodput() / capacity),
            ServiceTime::Instant => None,
        },
        verdict: judge(completed.iter().map(|it| &it.answer), &site::ledger(groups)),
        retry_share: retries as f64 / completed.len().max(1) as f64,
        class_p99_ms: tally.quantiles(0.99),
        class_p50_ms: tally.quantiles(0.5),
        added_p99_ms: None,
        requests: completed.len() as u64,
        counts: tally.counts(),
    }
}
