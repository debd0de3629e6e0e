//! What nodes at rest cost a machine: memory, threads and processor time.
//!
//! `cargo run --release -p laburnum-node --example memory -- [nodes] [documents]` starts so many nodes (default: 1)
//! in this process over loopback, with a small number of documents of about 2 KB (default: 0), lets them
//! settle, and prints what the process takes at rest. One run a size: memory that was given back would hide
//! the next size's growth. The embedded platform's memory is counted too.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use laburnum_edge::{Clock, Memory};
use laburnum_kernel::{
    Call, Reply, Revision, SubmitId,
    accept::{self, Submission, Verdict},
    log::Edit,
};
use laburnum_node::{Config, Node};
use tokio::net::TcpListener;

const DOCUMENT: &str = include_str!("../../../examples/nile/drafting-desk.toml");
/// Until the nodes know each other and hold every document, at most.
const SETTLE: Duration = Duration::from_secs(40);
/// Length of the measurement.
const MEASURED: Duration = Duration::from_secs(15);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let count: usize = numbers.next().unwrap_or(1);
    let documents: usize = numbers.next().unwrap_or(0);
    let (empty_kb, _) = resident();
    let platform = Arc::new(Memory::default());
    let mut nodes: Vec<Node> = Vec::new();
    let mut first = Vec::new();
    for number in 0..count {
        let config = config(number, first.clone()).await;
        if number == 0 {
            first.push(config.control);
        }
        let node = Node::start(config, Clock::system(), platform.clone()).await;
        nodes.push(node.expect("the node starts"));
    }
    for number in 0..documents {
        submit(&nodes[0], number).await;
    }
    let settled = settle(&nodes, documents).await;
    let (begun, spent) = (Instant::now(), cpu());
    tokio::time::sleep(MEASURED).await;
    let share = (cpu() - spent).as_secs_f64() / begun.elapsed().as_secs_f64();
    let (resident_kb, threads) = resident();
    let all = count as f64;
    println!(
        "nodes={count} documents={documents} settled={settled} before_kb={empty_kb} resident_kb={resident_kb} \
         kb_a_node={:.0} threads={threads} core_a_node={:.3}%",
        resident_kb.saturating_sub(empty_kb) as f64 / all,
        share * 100.0 / all,
    );
    for node in nodes {
        node.close().await;
    }
}

/// Whether every node holds every document within [`SETTLE`], and each has caught up.
async fn settle(nodes: &[Node], documents: usize) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < SETTLE {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let holds = |it: &Node| it.control().view().services.len() == documents;
        if nodes.iter().all(holds) {
            // Members are still told of for a while after the last one joined.
            tokio::time::sleep(Duration::from_secs(10)).await;
            return true;
        }
    }
    false
}

async fn config(number: usize, peers: Vec<SocketAddr>) -> Config {
    Config {
        caller: free().await,
        control: free().await,
        traffic: free().await,
        admin: free().await,
        zone: format!("zone-{}", number % 3),
        peers,
        ..Config::default()
    }
}

async fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let address = listener.and_then(|it| it.local_addr());
    address.expect("a free port")
}

async fn submit(node: &Node, number: usize) {
    let service = format!("some-service-{number}");
    let own = format!("service = \"{service}\"");
    let lines = DOCUMENT.lines().map(|line| match line {
        _ if line.starts_with("service = ") => own.as_str(),
        _ if line.starts_with("uses = ") => "",
        _ => line,
    });
    let submission = Submission {
        id: SubmitId(number as u128 + 1),
        service: service.parse().expect("a name"),
        base: Revision(0),
        edit: Edit::Put {
            text: lines.collect::<Vec<_>>().join("\n"),
        },
        author: "amal".to_owned(),
        reason: "first".to_owned(),
    };
    let call = Call::Accept(accept::Call::Submit(submission));
    let reply = node.control().call(call).await.expect("a reply");
    let accepted = matches!(
        reply,
        Reply::Accept(accept::Reply::Verdict(Verdict::Accepted { .. }))
    );
    assert!(accepted, "{reply:?}");
}

/// Resident memory in KB and threads of this process.
fn resident() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| -> Option<u64> {
        let line = status.lines().find(|it| it.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    (
        field("VmRSS").unwrap_or_default(),
        field("Threads").unwrap_or_default(),
    )
}

/// Processor time of this process.
fn cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    // utime and stime are fields 14 and 15 of the line, in hundredths of a second.
    let ticks = fields
        .skip(11)
        .take(2)
        .filter_map(|it| it.parse::<u64>().ok());
    Duration::from_millis(10 * ticks.sum::<u64>())
}
