//! The table of metrics.

use laburnum_edge::link::Kind as Control;
use laburnum_kernel::{
    calls::{CallEnd, Totals},
    import,
    members::{Phase, Reach},
    standing::Rate,
};

use super::{Kind, LATENCY, Point, Row, Source};
use crate::traffic::connections::OpenConnections;

/// Every metric.
pub const TABLE: [Row; 50] = [
    gauge(
        "laburnum_seq",
        "Position in the log of changes that this node is at.",
        |it| one(it.control.view().seq.0),
    ),
    gauge(
        "laburnum_seq_heard",
        "Highest position that this node heard of.",
        |it| one(it.control.stats().highest_seq.0),
    ),
    gauge(
        "laburnum_ready",
        "1 once the node caught up and serves.",
        |it| one(it.control.view().ready.into()),
    ),
    gauge(
        "laburnum_source_held",
        "1 while the external source of the configuration answers this node.",
        |it| one((it.control.stats().source == import::Source::Held).into()),
    ),
    counter(
        "laburnum_source_losses_total",
        "Times that the external source stopped answering this node.",
        |it| one(it.control.stats().losses),
    ),
    gauge(
        "laburnum_source_silent_ms",
        "Time since the external source last answered this node.",
        |it| one(it.control.stats().silence),
    ),
    gauge(
        "laburnum_config_age_ms",
        "Time since the configuration in force was known to be the newest.",
        |it| one(it.control.stats().age),
    ),
    gauge(
        "laburnum_config_unknown_ms",
        "Time for which the configuration in force was not surely the newest.",
        |it| one(it.control.stats().unknown),
    ),
    gauge(
        "laburnum_quota_buckets",
        "Buckets of customers whose quotas this node counts, of 32.",
        |it| one(it.control.stats().buckets as u64),
    ),
    counter(
        "laburnum_store_restores_total",
        "Times that the platform's store was put back to an older copy.",
        |it| one(it.control.stats().restores),
    ),
    gauge(
        "laburnum_members",
        "Nodes by reach and phase, as seen from here.",
        members,
    ),
    gauge("laburnum_view_services", "Services in the view.", |it| {
        one(it.control.view().services.len() as u64)
    }),
    gauge(
        "laburnum_view_endpoints",
        "Endpoints of all services in the view.",
        endpoints,
    ),
    gauge(
        "laburnum_quarantined",
        "Requests that are refused because they crash their upstream.",
        |it| one(it.control.view().quarantined.held() as u64),
    ),
    counter(
        "laburnum_control_sent_bytes_total",
        "Control bytes sent, by kind.",
        |it| by_kind(it.control.stats().traffic.sent),
    ),
    counter(
        "laburnum_control_received_bytes_total",
        "Control bytes received and accepted, by kind.",
        |it| by_kind(it.control.stats().traffic.received),
    ),
    counter(
        "laburnum_control_accepted_frames_total",
        "Control frames accepted.",
        |it| one(it.control.stats().traffic.accepted),
    ),
    counter(
        "laburnum_control_refused_frames_total",
        "Control frames refused, by why.",
        refused,
    ),
    counter(
        "laburnum_control_unsent_frames_total",
        "Control messages that could not be sent.",
        |it| one(it.control.stats().traffic.unsent),
    ),
    gauge(
        "laburnum_relay",
        "1 while this node is a relay of its availability zone.",
        |it| one(it.control.stats().spread.relay.into()),
    ),
    gauge(
        "laburnum_push_queue",
        "Pushes of changes that wait to leave.",
        |it| one(it.control.stats().spread.queued as u64),
    ),
    counter(
        "laburnum_pushes_delayed_total",
        "Pushes held back because the budget was spent.",
        |it| one(it.control.stats().spread.delayed),
    ),
    counter(
        "laburnum_range_mismatches_total",
        "Ranges of changes that did not fit.",
        |it| one(it.control.stats().spread.mismatches),
    ),
    counter(
        "laburnum_pull_failures_total",
        "Pulls that got no answer or a refusal.",
        |it| one(it.control.stats().spread.failures),
    ),
    gauge(
        "laburnum_catchups_serving",
        "Catch-ups that are being served.",
        |it| one(it.control.stats().spread.serving as u64),
    ),
    counter(
        "laburnum_catchups_total",
        "Catch-ups asked of this node, by result.",
        catchups,
    ),
    gauge(
        "laburnum_accept_queue",
        "Submissions that wait at this node to be committed.",
        |it| one(it.control.stats().accepting as u64),
    ),
    gauge("laburnum_claims_waiting", "Claims on their way.", |it| {
        one(it.traffic.claiming() as u64)
    }),
    gauge(
        "laburnum_claims_unsettled",
        "Outcomes that are not kept yet.",
        |it| one(it.control.stats().unsettled as u64),
    ),
    counter("laburnum_claims_total", "Claims by result.", |it| {
        labelled("result", it.traffic.counts().claims())
    }),
    gauge(
        "laburnum_admission_limit",
        "Requests that the upstream may run at once.",
        |it| one(it.traffic.admission().limit as u64),
    ),
    gauge(
        "laburnum_admission_running",
        "Requests that the upstream runs.",
        |it| one(it.traffic.admission().running as u64),
    ),
    gauge(
        "laburnum_admission_waiting",
        "Requests that wait for the upstream, of every class.",
        |it| one(it.traffic.admission().waiting as u64),
    ),
    counter(
        "laburnum_upstream_requests_total",
        "Requests sent to the upstream beside this node.",
        |it| one(it.traffic.counts().sent()),
    ),
    gauge(
        "laburnum_upstream_limit",
        "Rate limit that the upstream names in its answers; zero without one.",
        |it| one(it.traffic.standing().limit.map_or(0, Rate::millis)),
    ),
    gauge(
        "laburnum_upstream_limited",
        "1 while the upstream names a rate limit in its answers.",
        |it| one(it.traffic.standing().limit.is_some().into()),
    ),
    gauge(
        "laburnum_upstream_leaving",
        "1 once the upstream says in its answers that it leaves.",
        |it| one(it.traffic.standing().leaving.into()),
    ),
    gauge(
        "laburnum_owned",
        "Requests at the upstream, and settlements on their way.",
        |it| one(it.traffic.owned() as u64),
    ),
    counter(
        "laburnum_answers_total",
        "Answers to callers by outcome.",
        |it| labelled("outcome", it.traffic.counts().outcomes()),
    ),
    counter(
        "laburnum_refusals_total",
        "Requests of callers that were not run, by reason.",
        |it| labelled("reason", it.traffic.counts().reasons()),
    ),
    counter(
        "laburnum_answers_link_full_total",
        "Requests that this owner refused because the host's link had no room for their answers.",
        |it| one(it.traffic.answers_refused()),
    ),
    gauge(
        "laburnum_link_answer_bytes",
        "Bytes of answers promised by this owner or under way on the host's link.",
        |it| one(it.traffic.answer_bytes()),
    ),
    counter(
        "laburnum_retries_total",
        "Requests of callers that were sent once more.",
        |it| one(it.traffic.counts().retries()),
    ),
    counter(
        "laburnum_calls_total",
        "Calls of requests that run at the upstream, by outcome.",
        |it| labelled("outcome", calls(&it.traffic.call_totals())),
    ),
    counter(
        "laburnum_runs_failed_calls_total",
        "Requests that failed at the upstream after one of their calls had failed.",
        |it| one(it.traffic.call_totals().runs_failed_calls),
    ),
    counter(
        "laburnum_faults_total",
        "Faults of callers and nodes by kind.",
        |it| labelled("kind", it.traffic.faults()),
    ),
    gauge(
        "laburnum_connections",
        "Open connections of callers and nodes.",
        connections,
    ),
    counter(
        "laburnum_connections_replaced_total",
        "Idle connections that were closed in favour of new ones.",
        |it| {
            labelled(
                "socket",
                sockets(it).map(|(name, it)| (name, it.replaced())).to_vec(),
            )
        },
    ),
    Row {
        name: LATENCY,
        kind: Kind::Histogram,
        help: "From the head of a caller's request to the head of its answer, by class.",
        read: |_| Vec::new(),
    },
    gauge(
        "laburnum_draining",
        "1 once the node refuses new work for its upstream.",
        |it| one(it.traffic.draining().into()),
    ),
];

const REACHES: [(Reach, &str); 3] = [
    (Reach::Reachable, "reachable"),
    (Reach::Suspect, "suspect"),
    (Reach::Unreachable, "unreachable"),
];

const PHASES: [(Phase, &str); 4] = [
    (Phase::Warming, "warming"),
    (Phase::Ready, "ready"),
    (Phase::Draining, "draining"),
    (Phase::Gone, "gone"),
];

const fn gauge(name: &'static str, help: &'static str, read: fn(&Source) -> Vec<Point>) -> Row {
    Row {
        name,
        kind: Kind::Gauge,
        help,
        read,
    }
}

const fn counter(name: &'static str, help: &'static str, read: fn(&Source) -> Vec<Point>) -> Row {
    Row {
        name,
        kind: Kind::Counter,
        help,
        read,
    }
}

fn one(value: u64) -> Vec<Point> {
    let labels = Vec::new();
    vec![Point { labels, value }]
}

fn labelled(key: &'static str, values: Vec<(&'static str, u64)>) -> Vec<Point> {
    let values = values.into_iter();
    let points = values.map(|(label, value)| Point {
        labels: vec![(key, label)],
        value,
    });
    points.collect()
}

fn calls(totals: &Totals) -> Vec<(&'static str, u64)> {
    let names = CallEnd::ALL.map(CallEnd::as_str);
    names.into_iter().zip(totals.calls).collect()
}

fn by_kind(bytes: [u64; Control::ALL.len()]) -> Vec<Point> {
    let names = Control::ALL.map(Control::name);
    labelled("kind", names.into_iter().zip(bytes).collect())
}

fn refused(source: &Source) -> Vec<Point> {
    let traffic = &source.control.stats().traffic;
    let values = [("strange", traffic.strange), ("replayed", traffic.replayed)];
    labelled("why", values.to_vec())
}

fn catchups(source: &Source) -> Vec<Point> {
    let spread = &source.control.stats().spread;
    let values = [("served", spread.served), ("refused", spread.refused)];
    labelled("result", values.to_vec())
}

fn endpoints(source: &Source) -> Vec<Point> {
    let view = source.control.view();
    let endpoints = view.services.values().map(|it| it.endpoints.len() as u64);
    one(endpoints.sum())
}

fn sockets(source: &Source) -> [(&'static str, &OpenConnections); 2] {
    [("callers", &source.callers), ("nodes", &source.nodes)]
}

fn connections(source: &Source) -> Vec<Point> {
    let points = sockets(source).into_iter().flat_map(|(socket, open)| {
        let gauges = open.gauges();
        let states = [("busy", gauges.busy), ("idle", gauges.idle)];
        states.map(|(state, value)| Point {
            labels: vec![("socket", socket), ("state", state)],
            value: value as u64,
        })
    });
    points.collect()
}

fn members(source: &Source) -> Vec<Point> {
    let stats = source.control.stats();
    let pairs = REACHES
        .into_iter()
        .flat_map(|reach| PHASES.map(|phase| (reach, phase)));
    let points = pairs.map(|((reach, reach_name), (phase, phase_name))| Point {
        labels: vec![("reach", reach_name), ("phase", phase_name)],
        value: stats.members.get(&(reach, phase)).copied().unwrap_or(0),
    });
    points.collect()
}
