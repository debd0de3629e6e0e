//! `laburnum-bench smoke`: a small fleet from startup to a drain, in seconds.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_kernel::{Name, Revision, SubmitId, View, members::Phase};
use laburnum_standin::{Upstream, upstream::UpstreamSettings};
use tokio::task::{JoinHandle, JoinSet};

use crate::{
    fleet::{Change, Fleet, FleetError, Layout},
    report::{Report, Table},
};

/// Document of the service that serves drafts.
pub const DRAFTING: &str = include_str!("../../../examples/nile/drafting-desk.toml");
/// Document of the service that accepts filings.
pub const REGISTRY: &str = include_str!("../../../examples/nile/court-registry.toml");

/// Number of requests before the drain, and again during it.
const REQUESTS: usize = 120;

/// Maximum number of requests in flight.
const IN_FLIGHT_MAX: usize = 6;

/// Service time of the upstreams, in ms; long enough for the drain to begin with a request in flight.
const RUN_MS: u64 = 5;

/// Maximum time until a change is in force everywhere, in ms.
const CONVERGE_MS: u64 = 8_000;

/// Maximum wait for a condition on the fleet, in ms.
const WAIT_MS: u64 = 20_000;

type Http = Client<HttpConnector, Full<Bytes>>;

/// Runs the smoke test and returns its report.
pub async fn run() -> Result<Report, FleetError> {
    let mut fleet = Fleet::start(&Layout::default()).await?;
    let start = Instant::now();
    let ready = fleet
        .wait_until("readiness", WAIT_MS, |it| it.ready)
        .await?;
    let mut upstreams = Vec::new();
    for (idx, service) in ["drafting-desk", "drafting-desk", "court-registry"]
        .iter()
        .enumerate()
    {
        let settings = UpstreamSettings {
            service: name(service),
            run: RUN_MS,
            ..UpstreamSettings::default()
        };
        upstreams.push(fleet.start_upstream(idx, settings).await?);
    }
    // The drafting desk routes to the registry, which must exist first.
    fleet
        .submit_accepted(0, change(1, "court-registry", REGISTRY))
        .await?;
    let last = fleet
        .submit_accepted(0, change(2, "drafting-desk", DRAFTING))
        .await?;
    let in_force = |it: &View| it.seq >= last.seq;
    let converged = fleet
        .wait_until("the document in every view", WAIT_MS, in_force)
        .await?;
    let is_served = |view: &View| {
        ready_endpoints(view, "drafting-desk") == 2 && ready_endpoints(view, "court-registry") == 1
    };
    fleet
        .wait_until("every upstream in every view", WAIT_MS, is_served)
        .await?;

    let client: Http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let entries: Vec<_> = (0..fleet.len()).map(|it| fleet.config(it).caller).collect();
    let whole = send_reads(&client, &entries).await;
    let first = send_filing(&client, entries[0]).await;
    let second = send_filing(&client, entries[1]).await;
    let runs = count_filing_runs(&upstreams);

    let leaving = upstreams.remove(1);
    let before = leaving.ledger().plain;
    let (drain_client, survivors) = (client.clone(), vec![entries[0], entries[2]]);
    let reading = tokio::spawn(async move { send_reads(&drain_client, &survivors).await });
    let has_begun = || leaving.ledger().plain > before;
    let in_flight = start_in_flight(&client, entries[1], has_begun).await;
    fleet.drain(1).await;
    let drained_runs = leaving.ledger().plain - before;
    // If the task panicked, count no request as answered.
    let drained = reading.await.unwrap_or(0);
    let is_kept = match in_flight {
        Some(it) => it.await.unwrap_or(false),
        None => false,
    };

    let sent: u64 = fleet
        .controls()
        .map(|(_, it)| it.stats().traffic.sent_total())
        .sum();
    leaving.close();
    upstreams.into_iter().for_each(Upstream::close);
    fleet.close().await;

    let mut report = Report::default();
    let mut table = Table::new(
        "smoke: 3 nodes in 2 zones",
        &[
            "ready ms",
            "in force ms",
            "control bytes",
            "requests",
            "whole",
            "total ms",
        ],
    );
    let total = start.elapsed().as_millis();
    table.row([
        ready.as_millis().to_string(),
        converged.as_millis().to_string(),
        sent.to_string(),
        (2 * REQUESTS).to_string(),
        (whole + drained).to_string(),
        total.to_string(),
    ]);
    report.tables.push(table);
    report.check(
        "the document is in force on every node within 8 s",
        converged < Duration::from_millis(CONVERGE_MS),
        format!("{} ms", converged.as_millis()),
    );
    report.check(
        "every request is carried whole",
        whole == REQUESTS,
        format!("{whole} of {REQUESTS}"),
    );
    let is_same = first.is_some() && first == second;
    report.check(
        "a filing sent twice through two nodes runs once, with one answer",
        is_same && runs == 1,
        format!(
            "{runs} runs, answers {}",
            if is_same {
                "alike"
            } else {
                "unlike or missing"
            }
        ),
    );
    report.check(
        "a drain cuts no request",
        drained == REQUESTS && drained_runs > 0 && is_kept,
        format!("{drained} of {REQUESTS} whole, {drained_runs} run by the leaving node"),
    );
    report.field("convergence_ms", converged.as_millis() as u64);
    report.field("control_bytes", sent);
    report.field("requests", 2 * REQUESTS);
    Ok(report)
}

fn name(text: &str) -> Name {
    text.parse().expect("a literal name is valid")
}

fn change(id: u128, service: &str, text: &str) -> Change {
    Change {
        id: SubmitId(id),
        service: name(service),
        base: Revision(0),
        text: text.to_owned(),
    }
}

fn ready_endpoints(view: &View, service: &str) -> usize {
    let service = view.services.iter().find(|(it, _)| it.as_str() == service);
    let ready = |it: &&_| {
        matches!(
            it,
            laburnum_kernel::view::Endpoint {
                phase: Phase::Ready,
                ..
            }
        )
    };
    service.map_or(0, |(_, it)| it.endpoints.iter().filter(ready).count())
}

/// Reads drafts through the entries round robin; returns the number of correct answers.
async fn send_reads(client: &Http, entries: &[SocketAddr]) -> usize {
    let mut whole = 0;
    let mut open = JoinSet::new();
    for idx in 0..REQUESTS {
        if open.len() == IN_FLIGHT_MAX {
            whole += usize::from(matches!(open.join_next().await, Some(Ok(true))));
        }
        let (client, entry) = (client.clone(), entries[idx % entries.len()]);
        open.spawn(async move { send_read(&client, entry, idx).await });
    }
    while let Some(done) = open.join_next().await {
        whole += usize::from(matches!(done, Ok(true)));
    }
    whole
}

/// Reads one draft; returns whether the answer is correct.
async fn send_read(client: &Http, entry: SocketAddr, idx: usize) -> bool {
    let request = Request::get(format!("http://{entry}/drafts/{idx}"))
        .header(http::header::HOST, "drafting-desk")
        .body(Full::default());
    let expected = format!("GET /drafts/{idx} \n");
    let got = send(client, request).await;
    let is_whole = got == Some((StatusCode::OK, expected.into()));
    if !is_whole {
        eprintln!("smoke: request {idx} through {entry} was answered {got:?}");
    }
    is_whole
}

/// Sends requests one by one until `has_begun` holds, and returns the one then in flight.
///
/// Ensures that the drain begins with a request in flight at the leaving upstream, which requests through
/// entries of other zones may never reach.
async fn start_in_flight(
    client: &Http,
    entry: SocketAddr,
    has_begun: impl Fn() -> bool,
) -> Option<JoinHandle<bool>> {
    for idx in 0..REQUESTS {
        let client = client.clone();
        let task = tokio::spawn(async move { send_read(&client, entry, idx).await });
        while !task.is_finished() {
            if has_begun() {
                return Some(task);
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        if has_begun() {
            return Some(task);
        }
    }
    None
}

/// Sends the filing with its fixed key; returns the body of a successful answer.
async fn send_filing(client: &Http, entry: SocketAddr) -> Option<Bytes> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/filings"))
        .header(http::header::HOST, "court-registry")
        .header("idempotency-key", "smoke-1")
        .body(Full::from("handover"));
    let (status, body) = send(client, request).await?;
    (status == StatusCode::OK).then_some(body)
}

async fn send(
    client: &Http,
    request: http::Result<Request<Full<Bytes>>>,
) -> Option<(StatusCode, Bytes)> {
    let response = client.request(request.ok()?).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Returns how often the filing was run, by the ledgers of the upstreams.
fn count_filing_runs(upstreams: &[Upstream]) -> usize {
    let ledgers = upstreams.iter().map(Upstream::ledger);
    let runs = ledgers.map(|it| {
        it.runs
            .iter()
            .filter(|it| it.key.as_deref() == Some("smoke-1"))
            .count()
    });
    runs.sum()
}
