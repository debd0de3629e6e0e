//! A workload of services whose documents are changed.

use std::time::{Duration, Instant};

use laburnum_kernel::{Name, Revision, Seq, SubmitId, accept::Verdict};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    fleet::{Accepted, Change, Fleet, FleetError},
    smoke::{DRAFTING, REGISTRY},
};

use super::WAIT_MS;

/// The services with their current revisions; each odd service routes to its predecessor.
#[derive(Debug)]
pub struct Workload {
    services: Vec<Service>,
    ids: StdRng,
    round: u64,
}

#[derive(Clone, Debug)]
struct Service {
    name: Name,
    revision: Revision,
}

/// Pause before a submission is retried, in ms.
const RETRY_MS: u64 = 100;

impl Workload {
    /// Waits until every node is ready, submits all services and waits until they are in force.
    pub async fn start(fleet: &Fleet, services: usize) -> Result<Workload, FleetError> {
        fleet
            .wait_until("readiness", WAIT_MS, |it| it.ready)
            .await?;
        let services = (0..services).map(|idx| Service {
            name: name(idx),
            revision: Revision(0),
        });
        let mut work = Workload {
            services: services.collect(),
            ids: StdRng::seed_from_u64(1),
            round: 0,
        };
        // A route may only use a service that exists.
        let (even, odd): (Vec<_>, Vec<_>) = (0..work.services.len()).partition(|it| it % 2 == 0);
        let mut last = Seq::default();
        for part in [even, odd] {
            last = work.submit_all(fleet, &part).await?.max(last);
        }
        fleet
            .wait_until("the first documents in every view", WAIT_MS, |it| {
                it.seq >= last
            })
            .await?;
        Ok(work)
    }

    /// Returns the number of services.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Changes one service through the node at `entry`; retries until the change is accepted.
    pub async fn submit(
        &mut self,
        fleet: &Fleet,
        entry: usize,
        service: usize,
    ) -> Result<Accepted, FleetError> {
        let change = self.change(service);
        let accepted = submit_with_retries(fleet, entry, change).await?;
        self.services[service].revision = accepted.revision;
        Ok(accepted)
    }

    /// Changes these services concurrently, through all running nodes round robin; returns the highest
    /// position.
    pub async fn submit_all(
        &mut self,
        fleet: &Fleet,
        services: &[usize],
    ) -> Result<Seq, FleetError> {
        let changes: Vec<_> = services.iter().map(|it| (*it, self.change(*it))).collect();
        let running: Vec<usize> = fleet.controls().map(|(idx, _)| idx).collect();
        let calls = changes
            .into_iter()
            .enumerate()
            .map(|(idx, (service, change))| {
                let entry = running[idx % running.len()];
                async move { (service, submit_with_retries(fleet, entry, change).await) }
            });
        let mut last = Seq::default();
        for (service, accepted) in join_all(calls).await {
            let accepted = accepted?;
            self.services[service].revision = accepted.revision;
            last = last.max(accepted.seq);
        }
        Ok(last)
    }

    fn change(&mut self, service: usize) -> Change {
        self.round += 1;
        let it = &self.services[service];
        // A different queue limit in every round, so that no change is empty.
        let queue = 1 + self.round % 60_000;
        let text = match service % 2 {
            0 => REGISTRY
                .replace("\"court-registry\"", &format!("\"{}\"", it.name))
                .replace("queue = 16", &format!("queue = {queue}")),
            _ => DRAFTING
                .replace("\"court-registry\"", &format!("\"{}\"", name(service - 1)))
                .replace("\"drafting-desk\"", &format!("\"{}\"", it.name))
                .replace("queue = 32", &format!("queue = {queue}")),
        };
        Change {
            id: SubmitId(self.ids.random()),
            service: it.name.clone(),
            base: it.revision,
            text,
        }
    }
}

/// Submits under one id until the change is accepted; a conflict or refusal is an error.
async fn submit_with_retries(
    fleet: &Fleet,
    entry: usize,
    change: Change,
) -> Result<Accepted, FleetError> {
    let start = Instant::now();
    loop {
        let verdict = fleet.submit(entry, change.clone()).await?;
        let is_late = start.elapsed() > Duration::from_millis(WAIT_MS);
        match verdict {
            Verdict::Accepted { seq, revision } => return Ok(Accepted { seq, revision }),
            Verdict::Unavailable { .. } | Verdict::Unknown { .. } if !is_late => {}
            verdict => {
                let service = change.service;
                return Err(FleetError::Verdict { service, verdict });
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Polls all futures concurrently and returns their outputs in order.
async fn join_all<F: Future>(calls: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut calls: Vec<_> = calls.map(|it| (Box::pin(it), None)).collect();
    std::future::poll_fn(|cx| {
        let mut is_pending = false;
        for (call, output) in &mut calls {
            if output.is_none() {
                match call.as_mut().poll(cx) {
                    std::task::Poll::Ready(it) => *output = Some(it),
                    std::task::Poll::Pending => is_pending = true,
                }
            }
        }
        match is_pending {
            true => std::task::Poll::Pending,
            false => std::task::Poll::Ready(()),
        }
    })
    .await;
    calls.into_iter().filter_map(|(_, output)| output).collect()
}

fn name(idx: usize) -> Name {
    let name = format!("service-{idx}").parse();
    name.expect("a short name of letters, digits and dashes is valid")
}
