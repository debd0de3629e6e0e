//! `GET /metrics` over real sockets.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use http::Request;
use laburnum_node::{control::STATS_MS, metrics::TABLE};

use common::{Fake, answer, cluster, request, send};

/// Each line of the answer that is no comment: its name with labels, and its value.
async fn metrics(admin: SocketAddr) -> (String, BTreeMap<String, f64>) {
    let got = send(Request::get(format!("http://{admin}/metrics")), "").await;
    assert_eq!(got.head.status, 200);
    assert!(got.field("content-type").starts_with("text/plain"));
    let body = got.body.expect("a whole body");
    let text = String::from_utf8(body.to_vec()).expect("UTF-8");
    let lines = text.lines().filter(|it| !it.starts_with('#'));
    let pairs = lines.map(|it| {
        let (name, value) = it.rsplit_once(' ').expect("a value");
        (name.to_owned(), value.parse().expect("a number"))
    });
    let pairs = pairs.collect();
    (text, pairs)
}

// Two nodes run in this process. A caller's draft goes through the first to the upstream beside the second, and a
// request for a path without a route is refused. Each node shows what it did itself: with one registry for the
// process an operator would see the sum of all and could not tell which node refuses.
#[tokio::test(flavor = "multi_thread")]
async fn each_node_counts_what_it_did_itself() {
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

    // Whoever reads the answer finds exactly the metrics of the table, each with its type.
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

// The control thread publishes its counts once a second, and traffic with the other node goes on by itself.
// Without them an operator sees neither the size of the fleet nor what the control traffic costs.
#[tokio::test(flavor = "multi_thread")]
async fn counts_of_the_control_thread_arrive() {
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
    let mut known = (0.0, 0.0, 0.0);
    for _ in 0..100 {
        let (_, all) = metrics(admin).await;
        known = (all[sent], members(&all), all["laburnum_seq_heard"]);
        if known.0 > 0.0 && known.1 == 2.0 && known.2 == 1.0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(STATS_MS / 5)).await;
    }
    assert!(
        known.0 > 0.0 && known.1 == 2.0 && known.2 == 1.0,
        "{known:?}"
    );
    cluster.close().await;
}
