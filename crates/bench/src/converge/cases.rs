//! The cases of `converge`, one function each.

use std::time::{Duration, Instant};

use laburnum_kernel::Seq;
use laburnum_node::control::STATS_MS;
use laburnum_standin::faults::{Outage, Stats};

use crate::{
    fleet::{Fleet, FleetError},
    watch::Watch,
};

use super::{Outcome, WAIT_MS, cost::Reading, workload::Workload};

/// Duration of the idle case, in ms.
const IDLE_MS: u64 = 10_000;

/// Time for the membership to settle before the idle case, in ms.
const SETTLE_MS: u64 = 5_000;

/// Pause between two single changes, in ms; no divisor of the kernel's intervals, so that timer phases vary.
const PAUSE_MS: u64 = 237;

/// Number of relays killed.
const RELAY_KILLS: usize = 5;

/// Start state and samples of a case in progress.
struct Running<'a> {
    name: &'static str,
    start_reading: Reading,
    start_stats: Stats,
    watch: &'a Watch,
    times: Vec<u64>,
    changes: usize,
}

/// No changes: measures the fleet's background cost.
pub async fn idle(fleet: &Fleet, watch: &Watch) -> Outcome {
    sleep(SETTLE_MS).await;
    let running = Running::start("idle", fleet, watch).await;
    sleep(IDLE_MS).await;
    running.finish(fleet).await
}

/// Makes one change after another, each through the next node; timed from acceptance.
pub async fn change(
    fleet: &Fleet,
    watch: &Watch,
    work: &mut Workload,
    repeat: usize,
    name: &'static str,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start(name, fleet, watch).await;
    running.changes = repeat;
    for idx in 0..repeat {
        let accepted = work
            .submit(fleet, idx % fleet.len(), idx % work.len())
            .await?;
        running
            .times
            .push(wait_in_force(fleet, accepted.seq).await?);
        sleep(PAUSE_MS).await;
    }
    Ok(running.finish(fleet).await)
}

/// Makes many changes at once; timed from the first submission.
pub async fn burst(
    fleet: &Fleet,
    watch: &Watch,
    work: &mut Workload,
    changes: usize,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start("burst", fleet, watch).await;
    running.changes = changes;
    running
        .times
        .push(submit_burst(fleet, work, changes).await?);
    Ok(running.finish(fleet).await)
}

/// Kills half of the nodes and restarts them; timed from the first restart until every node is ready at the
/// highest position seen before.
pub async fn restart_half(fleet: &mut Fleet, watch: &Watch) -> Result<Outcome, FleetError> {
    let mut running = Running::start("herd", fleet, watch).await;
    let highest = fleet.controls().map(|(_, it)| it.view().seq).max();
    let highest = highest.unwrap_or_default();
    let half: Vec<usize> = (0..fleet.len()).filter(|it| it % 2 == 1).collect();
    for idx in &half {
        fleet.kill(*idx).await;
    }
    let start = Instant::now();
    for idx in &half {
        restart(fleet, watch, *idx).await?;
    }
    let back = |it: &laburnum_kernel::View| it.ready && it.seq >= highest;
    fleet
        .wait_until("the restarted nodes' readiness", WAIT_MS, back)
        .await?;
    running.times.push(start.elapsed().as_millis() as u64);
    Ok(running.finish(fleet).await)
}

/// Makes the platform reject every call for `length` seconds, then changes every service at once; timed from
/// the end of the outage.
pub async fn outage(
    fleet: &Fleet,
    watch: &Watch,
    work: &mut Workload,
    length: u64,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start("outage", fleet, watch).await;
    fleet.set_outage(Outage::Refuse);
    sleep(length * 1_000).await;
    fleet.set_outage(Outage::None);
    let services = work.len();
    running.changes = services;
    running
        .times
        .push(submit_burst(fleet, work, services).await?);
    Ok(running.finish(fleet).await)
}

/// Kills a relay as soon as a change is accepted; timed from then until every other node holds the change.
pub async fn relay(
    fleet: &mut Fleet,
    watch: &Watch,
    work: &mut Workload,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start("relay death", fleet, watch).await;
    running.changes = RELAY_KILLS;
    for idx in 0..RELAY_KILLS {
        let relays = relays(fleet);
        let Some(victim) = relays.get(idx % relays.len().max(1)).copied() else {
            break;
        };
        let others = fleet
            .controls()
            .map(|(it, _)| it)
            .filter(|it| !relays.contains(it));
        let entry = others.min().unwrap_or((victim + 1) % fleet.len());
        let accepted = work.submit(fleet, entry, idx % work.len()).await?;
        let start = Instant::now();
        fleet.kill(victim).await;
        wait_in_force(fleet, accepted.seq).await?;
        running.times.push(start.elapsed().as_millis() as u64);
        restart(fleet, watch, victim).await?;
        fleet
            .wait_until("the restarted relay's readiness", WAIT_MS, |it| it.ready)
            .await?;
        // Whether a node is a relay shows in its counters only after their refresh.
        sleep(2 * STATS_MS).await;
    }
    Ok(running.finish(fleet).await)
}

impl<'a> Running<'a> {
    async fn start(name: &'static str, fleet: &Fleet, watch: &'a Watch) -> Running<'a> {
        // Wait for a refresh of the counters, so that earlier traffic does not count.
        sleep(STATS_MS + PAUSE_MS).await;
        watch.reset_peak();
        Running {
            name,
            start_reading: Reading::take(fleet),
            start_stats: fleet.platform().stats(),
            watch,
            times: Vec::new(),
            changes: 0,
        }
    }

    async fn finish(mut self, fleet: &Fleet) -> Outcome {
        sleep(STATS_MS + PAUSE_MS).await;
        self.times.sort_unstable();
        let platform = fleet.platform().stats();
        Outcome {
            name: self.name,
            times: self.times,
            changes: self.changes,
            cost: self.start_reading.cost_until(&Reading::take(fleet)),
            reads_peak: self.watch.findings().reads_peak,
            read_rows: platform.read_rows - self.start_stats.read_rows,
            throttled: platform.throttled - self.start_stats.throttled,
        }
    }
}

/// Submits `changes` in rounds of at most one per service and waits until all are in force; returns the time
/// in ms from the first submission.
async fn submit_burst(
    fleet: &Fleet,
    work: &mut Workload,
    changes: usize,
) -> Result<u64, FleetError> {
    let start = Instant::now();
    let mut last = Seq::default();
    let mut left = changes;
    while left > 0 {
        let round: Vec<usize> = (0..left.min(work.len())).collect();
        last = work.submit_all(fleet, &round).await?.max(last);
        left -= round.len();
    }
    eprintln!(
        "event=accepted changes={changes} ms={}",
        start.elapsed().as_millis()
    );
    wait_in_force(fleet, last).await?;
    Ok(start.elapsed().as_millis() as u64)
}

/// Waits until every node's view holds `seq`; returns the time in ms.
async fn wait_in_force(fleet: &Fleet, seq: Seq) -> Result<u64, FleetError> {
    let took = fleet
        .wait_until("a change in every view", WAIT_MS, |it| it.seq >= seq)
        .await?;
    Ok(took.as_millis() as u64)
}

async fn restart(fleet: &mut Fleet, watch: &Watch, idx: usize) -> Result<(), FleetError> {
    fleet.restart(idx).await?;
    if let Some(node) = fleet.node(idx) {
        watch.set_restarted(idx, node.control().clone());
    }
    Ok(())
}

fn relays(fleet: &Fleet) -> Vec<usize> {
    let relays = fleet.controls().filter(|(_, it)| it.stats().spread.relay);
    relays.map(|(idx, _)| idx).collect()
}

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
