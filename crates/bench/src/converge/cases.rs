//! One experiment each.

use std::time::{Duration, Instant};

use laburnum_kernel::Seq;
use laburnum_node::control::STATS_MS;
use laburnum_standin::faults::{Outage, Stats};

use crate::{
    fleet::{Fleet, FleetError},
    watch::Watch,
};

use super::{Outcome, WAIT_MS, cost::Reading, workload::Workload};

/// Length of the quiet case, in ms.
const IDLE_MS: u64 = 10_000;

/// Time in which members get to know each other before the quiet case, in ms.
const SETTLE_MS: u64 = 5_000;

/// Pause between two single changes, in ms; no divisor of the kernel's intervals, so that phases vary.
const PAUSE_MS: u64 = 237;

/// Times that a relay dies.
const RELAYS: usize = 5;

/// A case that is being measured.
struct Running<'a> {
    name: &'static str,
    fleet_reading: Reading,
    platform: Stats,
    watch: &'a Watch,
    times: Vec<u64>,
}

/// Nothing happens.
pub async fn idle(fleet: &Fleet, watch: &Watch) -> Outcome {
    sleep(SETTLE_MS).await;
    let running = Running::start("idle", fleet, watch).await;
    sleep(IDLE_MS).await;
    running.finish(fleet).await
}

/// One change after another, each through the next node, and timed from its acceptance.
pub async fn change(
    fleet: &Fleet,
    watch: &Watch,
    work: &mut Workload,
    repeat: usize,
    name: &'static str,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start(name, fleet, watch).await;
    for idx in 0..repeat {
        let accepted = work
            .submit(fleet, idx % fleet.len(), idx % work.len())
            .await?;
        running.times.push(in_force(fleet, accepted.seq).await?);
        sleep(PAUSE_MS).await;
    }
    Ok(running.finish(fleet).await)
}

/// Many changes at once, timed from the first submission.
pub async fn burst(
    fleet: &Fleet,
    watch: &Watch,
    work: &mut Workload,
    changes: usize,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start("burst", fleet, watch).await;
    running.times.push(flood(fleet, work, changes).await?);
    Ok(running.finish(fleet).await)
}

/// Half of the nodes are killed and start again, timed from the first start until every node is ready and
/// holds what was accepted before.
pub async fn herd(fleet: &mut Fleet, watch: &Watch) -> Result<Outcome, FleetError> {
    let mut running = Running::start("herd", fleet, watch).await;
    let highest = fleet.controls().map(|(_, it)| it.view().seq).max();
    let highest = highest.unwrap_or_default();
    let herd: Vec<usize> = (0..fleet.len()).filter(|it| it % 2 == 1).collect();
    for idx in &herd {
        fleet.kill(*idx).await;
    }
    let start = Instant::now();
    for idx in &herd {
        restart(fleet, watch, *idx).await?;
    }
    let back = |it: &laburnum_kernel::View| it.ready && it.seq >= highest;
    fleet.until("the herd's return", WAIT_MS, back).await?;
    running.times.push(start.elapsed().as_millis() as u64);
    Ok(running.finish(fleet).await)
}

/// The platform refuses everything for `length` seconds, then every service changes at once; timed from its end.
pub async fn outage(
    fleet: &Fleet,
    watch: &Watch,
    work: &mut Workload,
    length: u64,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start("outage", fleet, watch).await;
    fleet.outage(Outage::Refuse);
    sleep(length * 1_000).await;
    fleet.outage(Outage::None);
    let services = work.len();
    running.times.push(flood(fleet, work, services).await?);
    Ok(running.finish(fleet).await)
}

/// A relay is killed as soon as a change is accepted, timed from then until every other node holds it.
pub async fn relay(
    fleet: &mut Fleet,
    watch: &Watch,
    work: &mut Workload,
) -> Result<Outcome, FleetError> {
    let mut running = Running::start("relay death", fleet, watch).await;
    for idx in 0..RELAYS {
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
        in_force(fleet, accepted.seq).await?;
        running.times.push(start.elapsed().as_millis() as u64);
        restart(fleet, watch, victim).await?;
        fleet
            .until("the relay's return", WAIT_MS, |it| it.ready)
            .await?;
        // The counters tell who is a relay with a delay.
        sleep(2 * STATS_MS).await;
    }
    Ok(running.finish(fleet).await)
}

impl<'a> Running<'a> {
    async fn start(name: &'static str, fleet: &Fleet, watch: &'a Watch) -> Running<'a> {
        // The counters are refreshed with a delay; what came before must not count.
        sleep(STATS_MS + PAUSE_MS).await;
        watch.reset_peak();
        Running {
            name,
            fleet_reading: Reading::take(fleet),
            platform: fleet.platform().stats(),
            watch,
            times: Vec::new(),
        }
    }

    async fn finish(mut self, fleet: &Fleet) -> Outcome {
        sleep(STATS_MS + PAUSE_MS).await;
        self.times.sort_unstable();
        let platform = fleet.platform().stats();
        Outcome {
            name: self.name,
            times: self.times,
            cost: self.fleet_reading.until(&Reading::take(fleet)),
            reads_peak: self.watch.findings().reads_peak,
            read_rows: platform.read_rows - self.platform.read_rows,
            throttled: platform.throttled - self.platform.throttled,
        }
    }
}

/// Changes services at once, round by round, and waits until all is in force; the time from the first submission.
async fn flood(fleet: &Fleet, work: &mut Workload, changes: usize) -> Result<u64, FleetError> {
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
    in_force(fleet, last).await?;
    Ok(start.elapsed().as_millis() as u64)
}

async fn in_force(fleet: &Fleet, seq: Seq) -> Result<u64, FleetError> {
    let took = fleet
        .until("a change in every view", WAIT_MS, |it| it.seq >= seq)
        .await?;
    Ok(took.as_millis() as u64)
}

async fn restart(fleet: &mut Fleet, watch: &Watch, idx: usize) -> Result<(), FleetError> {
    fleet.restart(idx).await?;
    if let Some(node) = fleet.node(idx) {
        watch.restarted(idx, node.control().clone());
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
