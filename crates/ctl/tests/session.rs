//! Whole sessions of an operator with a node, by snapshots.

mod support;

use std::{fmt::Write, net::SocketAddr, sync::Arc};

use jiff::Timestamp;
use laburnum_edge::{Clock, LinkError, MemoryPlatform, Token};
use laburnum_node::{Config, Node, node::StartError};
use serde_json::Value;
use support::ctl;
use tokio::net::TcpListener;

const DRAFTING: &str = "../../examples/nile/drafting-desk.toml";
const REGISTRY: &str = "../../examples/nile/court-registry.toml";
const CHANGED: &str = "tests/data/court-registry.toml";
const AMAL: [&str; 4] = ["--author", "amal", "--reason", "season opens"];
const OMAR: [&str; 4] = ["--author", "omar", "--reason", "faster lookups"];

/// A node and the transcript of the commands run against it.
struct Session {
    node: Node,
    config: Config,
    text: String,
}

impl Session {
    async fn start() -> Session {
        Session::start_with(Vec::new()).await
    }

    async fn start_with(admin_keys: Vec<Token>) -> Session {
        loop {
            let config = Config {
                caller: free_address().await,
                control: free_address().await,
                traffic: free_address().await,
                admin: free_address().await,
                admin_keys: admin_keys.clone(),
                ..Config::default()
            };
            let platform = Arc::new(MemoryPlatform::default());
            // A concurrent test may bind a port first; then retry with other ports.
            match Node::start(config.clone(), Clock::system(), platform).await {
                Ok(node) => {
                    let text = String::new();
                    return Session { node, config, text };
                }
                Err(
                    StartError::Bind { .. }
                    | StartError::Link(LinkError::Bind { .. } | LinkError::Probe { .. }),
                ) => {}
                Err(error) => panic!("{error}"),
            }
        }
    }

    async fn run(&mut self, args: &[&str]) {
        let node = self.config.admin.to_string();
        let ran = ctl(&[args, &["--node", &node]].concat()).await;
        let text = masked(&ran.to_string(), &self.config);
        let _ = writeln!(self.text, "$ laburnum-ctl {}\n{text}", args.join(" "));
    }

    async fn end(self) -> String {
        self.node.close().await;
        self.text
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener
        .and_then(|it| it.local_addr())
        .expect("a free port")
}

/// Returns `text` with placeholders for addresses and times, which differ from run to run.
fn masked(text: &str, config: &Config) -> String {
    let lines = text
        .lines()
        .map(|it| match serde_json::from_str::<Value>(it) {
            Ok(mut value @ Value::Object(_)) => {
                mask_times(&mut value);
                format!("{value}\n")
            }
            _ => mask_timestamps(it) + "\n",
        });
    lines
        .collect::<String>()
        .replace(&config.admin.to_string(), "ADMIN")
        .replace(&config.control.to_string(), "NODE")
}

fn mask_timestamps(line: &str) -> String {
    let words = line.split(' ').map(|it| match it.parse::<Timestamp>() {
        Ok(_) => "TIME",
        Err(_) => it,
    });
    words.collect::<Vec<_>>().join(" ")
}

fn mask_times(value: &mut Value) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                match key.as_str() {
                    "time" => *value = Value::from("TIME"),
                    _ => mask_times(value),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(mask_times),
        _ => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn services_are_changed_and_deleted() {
    let mut session = Session::start().await;
    let put = |file, id, who: [&'static str; 4]| {
        [&["submit", file, "--id", id, "--wait"][..], &who[..]].concat()
    };
    session.run(&put(DRAFTING, "1", AMAL)).await;
    session.run(&put(REGISTRY, "2", AMAL)).await;
    session.run(&put(DRAFTING, "3", AMAL)).await;
    session.run(&["list"]).await;
    session.run(&["diff", CHANGED]).await;
    session.run(&put(CHANGED, "4", OMAR)).await;
    let stale = put(REGISTRY, "5", AMAL);
    session.run(&[&stale[..], &["--base", "1"]].concat()).await;
    session.run(&["outcome", "4"]).await;
    session.run(&["outcome", "5"]).await;
    session.run(&["history", "court-registry"]).await;
    let delete = |service, id| [&["delete", service, "--id", id, "--wait"][..], &AMAL[..]].concat();
    session.run(&delete("court-registry", "6")).await;
    session.run(&delete("drafting-desk", "7")).await;
    session.run(&["get", "drafting-desk"]).await;
    session.run(&delete("drafting-desk", "8")).await;
    let late = delete("drafting-desk", "9");
    session.run(&[&late[..], &["--base", "2"]].concat()).await;
    session.run(&["audit"]).await;
    session
        .run(&["audit", "--after", "2", "--limit", "1"])
        .await;
    session.run(&["status"]).await;
    insta::assert_snapshot!("session", session.end().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_answer_prints_as_json() {
    let mut session = Session::start().await;
    let file = "tests/data/archive.toml";
    let put = [&["submit", file, "--id", "1", "--wait"][..], &AMAL[..]].concat();
    let refused = ["delete", "tunings", "--id", "2", "--base", "9"];
    let refused = [&refused[..], &AMAL[..]].concat();
    let lift = [&["lift", "00000000000000ff"][..], &AMAL[..]].concat();
    let resolve = [
        &["resolve", "archive", "k", "--found", "ran"][..],
        &AMAL[..],
    ]
    .concat();
    let commands: [&[&str]; 11] = [
        &put,
        &refused,
        &["list"],
        &["get", "archive"],
        &["get", "tunings"],
        &["diff", file],
        &["history", "archive"],
        &["audit"],
        &["status"],
        &lift,
        &resolve,
    ];
    for command in commands {
        session.run(&[command, &["--json"]].concat()).await;
    }
    insta::assert_snapshot!("session-json", session.end().await);
}

const TOKEN: &str = "token-of-the-operators";
const WRONG: &str = "token-of-somebody-else";

/// A command that does not send the token would be rejected by a node with admin keys, and a token in the
/// output would leak; every command must send it and none may print it.
#[tokio::test(flavor = "multi_thread")]
async fn every_command_sends_the_token() {
    let mut session = Session::start_with(vec![TOKEN.parse().expect("a token")]).await;
    let put = [&["submit", DRAFTING, "--id", "1"][..], &AMAL[..]].concat();
    let delete = [&["delete", "drafting-desk", "--id", "2"][..], &AMAL[..]].concat();
    let lift = [&["lift", "00000000000000ff"][..], &AMAL[..]].concat();
    let resolve = [
        &["resolve", "drafting-desk", "k", "--found", "ran"][..],
        &AMAL[..],
    ]
    .concat();
    let commands: [&[&str]; 11] = [
        &put,
        &["outcome", "1"],
        &["get", "drafting-desk"],
        &["list"],
        &["diff", DRAFTING],
        &["audit"],
        &["history", "drafting-desk"],
        &["status"],
        &lift,
        &resolve,
        &delete,
    ];
    for command in commands {
        for token in [&[][..], &["--token", WRONG]] {
            session.text.clear();
            session.run(&[command, token].concat()).await;
            let refused = session.text.contains("exit 1 Refused")
                && session
                    .text
                    .contains("not authorized; send an admin key of this node");
            assert!(refused, "{}", session.text);
            assert!(!printed(&session.text).contains(WRONG), "{}", session.text);
        }
    }
    for command in commands {
        session.text.clear();
        session.run(&[command, &["--token", TOKEN]].concat()).await;
        assert!(!session.text.contains("not authorized"), "{}", session.text);
        assert!(!printed(&session.text).contains(TOKEN), "{}", session.text);
    }
    session.end().await;
}

/// Returns the output without the first line, which repeats the arguments.
fn printed(text: &str) -> &str {
    text.split_once('\n').map_or("", |(_, printed)| printed)
}
