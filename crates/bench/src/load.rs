//! `laburnum-bench load`: goodput, latency and correctness of real nodes under overload and faults.
//!
//! Every case is offered twice, to the nodes and to the baseline: round robin straight to the same upstreams
//! with three blind retries and no admission. Arrivals are open-loop; the upstreams' ledgers are the judge.

pub mod arrivals;
pub mod breaker;
pub mod case;
pub mod client;
pub mod command;
pub mod drive;
pub mod judge;
pub mod preset;
pub mod report;
pub mod site;
pub mod tally;

use std::time::Duration;

use laburnum_kernel::document::Class;

use self::{
    breaker::Targets,
    case::{Case, Work},
    client::{Callers, Way},
    drive::Ended,
    judge::judge,
    preset::Preset,
    report::{Line, Report},
    site::{Bare, Group, Site},
    tally::{Figures, Tally},
};
use crate::fleet::FleetError;

/// What to run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whose fleet. Default: nile.
    pub preset: Preset,
    /// Cases, in order. Default: all.
    pub cases: Vec<Case>,
    /// Measured seconds of each case. Default: 3.
    pub seconds: u64,
    /// Fixes arrivals and service times. Default: 1.
    pub seed: u64,
}

/// Time before the measured one, so that upstreams have warmed up and queues have formed, in ms.
const LEAD_MS: u64 = 1_500;
/// Longest wait for answers after the last request.
const GRACE: Duration = Duration::from_secs(4);

/// Runs every case, tells `done` of each, and reports them all.
pub async fn run(settings: &Settings, mut done: impl FnMut(&Line)) -> Result<Report, FleetError> {
    let mut lines = Vec::new();
    for case in &settings.cases {
        let baseline = bare(settings, *case).await?;
        let mut nodes = managed(settings, *case).await?;
        let p99 = |it: &Figures| {
            it.class_p99_ms
                .get(tally::word(Class::Interactive))
                .copied()
        };
        nodes.added_p99_ms = match (p99(&nodes), p99(&baseline)) {
            (Some(with), Some(without)) => Some(with - without),
            _ => None,
        };
        let line = Line {
            case: case.to_string(),
            nodes,
            baseline,
        };
        done(&line);
        lines.push(line);
    }
    Ok(Report::new(settings, lines))
}

async fn managed(settings: &Settings, case: Case) -> Result<Figures, FleetError> {
    let site = Site::start(settings.preset, case.work(), settings.seed).await?;
    let callers = Callers::new(settings.preset, Way::Nodes(site.entries.clone()));
    let targets = Targets {
        groups: &site.groups,
        platform: Some(site.platform()),
    };
    let ended = offer(settings, case, &callers, targets).await;
    let figures = figures(settings, case, &ended, &site.groups, site.retries());
    site.close().await;
    Ok(figures)
}

async fn bare(settings: &Settings, case: Case) -> Result<Figures, FleetError> {
    let bare = Bare::start(settings.preset, case.work(), settings.seed).await?;
    let addresses = |group: &Group| group.iter().map(|it| it.address()).collect();
    let way = Way::Direct(bare.groups.iter().map(addresses).collect());
    let callers = Callers::new(settings.preset, way);
    let targets = Targets {
        groups: &bare.groups,
        platform: None,
    };
    let ended = offer(settings, case, &callers, targets).await;
    let figures = figures(settings, case, &ended, &bare.groups, callers.retries());
    bare.close();
    Ok(figures)
}

async fn offer(
    settings: &Settings,
    case: Case,
    callers: &Callers,
    targets: Targets<'_>,
) -> Vec<Ended> {
    let millis = LEAD_MS + settings.seconds * 1_000;
    let flows = case.flows(settings.preset);
    let arrivals = arrivals::schedule(&flows, millis, settings.seed);
    let (ended, ()) = tokio::join!(
        drive::run(settings.preset, callers, arrivals, GRACE),
        breaker::run(case, settings.preset, targets, millis),
    );
    ended
}

fn figures(
    settings: &Settings,
    case: Case,
    ended: &[Ended],
    groups: &[Group],
    retries: u64,
) -> Figures {
    let begin = LEAD_MS * 1_000;
    let mut tally = Tally::new(begin, begin + settings.seconds * 1_000_000);
    ended.iter().for_each(|it| tally.add(it.sample));
    let preset = settings.preset;
    let capacity: f64 = preset.services().iter().map(|it| preset.capacity(it)).sum();
    Figures {
        goodput_share: match case.work() {
            Work::Usual => Some(tally.goodput() / capacity),
            Work::Instant => None,
        },
        verdict: judge(ended.iter().map(|it| &it.answer), &site::ledger(groups)),
        retry_share: retries as f64 / ended.len().max(1) as f64,
        class_p99_ms: tally.quantiles(0.99),
        class_p50_ms: tally.quantiles(0.5),
        added_p99_ms: None,
        requests: ended.len() as u64,
        counts: tally.counts(),
    }
}
