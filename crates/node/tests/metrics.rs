//! Tests of `GET /metrics` over real sockets.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use http::Request;
use laburnum_node::{control::STATS_MS, metrics::TABLE};

use common::{Fake, answer, cluster, request, send};

/// Returns the text of the metrics, and the value of each metric by its name with labels.
async fn metrics(admin: SocketAddr) -> (String, BTreeMap<String, f64>) {
    let response = send(Request::get(format!("http://{admin}/metrics")), "").await;
    assert_eq!(response.head.status, 200);
    assert!(response.field("content-type").starts_with("text/plain"));
    let body = response.body.expect("a whole body");
    let text = String::from_utf8(body.to_vec()).expect("UTF-8");
    let lines = text.lines().filter(|it| !it.starts_with('#'));
    let pairs = lines.map(|it| {
        let (name, value) = it.rsplit_once(' ').expect("a value");
        (name.to_owned(), value.parse().expect("a number"))
    });
    let pairs = pairs.collect();
    (text, pairs)
}

// Guards against one registry for the whole process, which would show the sum over its nodes.
#[tokio::test(flavor = "multi_thread")]
async fn each_node_counts_its_own_requests() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    for path in ["/drafts/1", "/drafts/2", "/nowhere"] {
        send(request("GET", cluster.caller(), path), "").await;
    }
    let (text, entry) = metrics(cluster.nodes[0].config.admin).await;
    let (_, owner) = metrics(cluster.nodes[1].config.admin).await;

    let ran = r#"laburnum_answers_total{outcome="ran"}"#;
    let not_run = r#"laburnum_answers_total{outcome="not-run"}"#;
    let fault = r#"laburnum_faults_total{kind="no-route"}"#;
    let timed = r#"laburnum_request_duration_seconds_count{class="interactive"}"#;
    assert_eq!(
        (entry[ran], entry[not_run], entry[fault], entry[timed]),
        (2.0, 1.0, 1.0, 2.0)
    );
    assert_eq!(
        (owner[ran], owner[not_run], owner.get(fault)),
        (0.0, 0.0, None)
    );
    assert_eq!(owner["laburnum_admission_limit"], 6.0);
    assert_eq!((entry["laburnum_ready"], entry["laburnum_seq"]), (1.0, 1.0));
    assert_eq!(
        (
            entry["laburnum_view_services"],
            entry["laburnum_view_endpoints"]
        ),
        (1.0, 1.0)
    );

    // The answer has exactly the metrics of the table, each with its type.
    let types = text.lines().filter_map(|it| it.strip_prefix("# TYPE "));
    let table = TABLE
        .iter()
        .map(|it| format!("{} {}", it.name, it.kind.as_str()));
    assert_eq!(
        types.map(str::to_owned).collect::<BTreeSet<_>>(),
        table.collect::<BTreeSet<_>>()
    );
    cluster.close().await;
}

// Guards against missing counters of the control thread, which hide the size of the fleet and the control traffic.
#[tokio::test(flavor = "multi_thread")]
async fn control_thread_counters_are_published() {
    let fake = Fake::start(|_| answer("draft")).await;
    let cluster = cluster(&[&fake]).await;
    let admin = cluster.nodes[0].config.admin;
    let sent = r#"laburnum_control_sent_bytes_total{kind="probe"}"#;
    let members = |all: &BTreeMap<String, f64>| {
        let named = all
            .iter()
            .filter(|it| it.0.starts_with("laburnum_members{"));
        named.map(|it| it.1).sum::<f64>()
    };
    let mut counters = (0.0, 0.0, 0.0);
    for _ in 0..100 {
        let (_, all) = metrics(admin).await;
        counters = (all[sent], members(&all), all["laburnum_seq_heard"]);
        if counters.0 > 0.0 && counters.1 == 2.0 && counters.2 == 1.0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(STATS_MS / 5)).await;
    }
    assert!(
        counters.0 > 0.0 && counters.1 == 2.0 && counters.2 == 1.0,
        "{counters:?}"
    );
    cluster.close().await;
}
