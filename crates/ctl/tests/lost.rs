//! Lost, ambiguous and unexpected answers, from a scripted node.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use laburnum_ctl::report::Outcome;
use support::{Ran, ctl};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const ID: &str = "0000000000000000000000000000002a";

/// How the scripted node handles one request.
#[derive(Clone, Copy)]
enum Step {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// Answers 200 with these header fields, each with its line end, and this body.
    Spoilt(&'static str, &'static str),
    /// Closes the connection without an answer.
    Drop,
}

use Step::{Answer, Drop, Spoilt};

const ABSENT: Step = Answer(404, r#"{"id":"2a","verdict":"absent"}"#);
const ACCEPTED: Step = Answer(
    200,
    r#"{"id":"2a","verdict":"accepted","seq":9,"revision":4}"#,
);
const UNKNOWN: Step = Answer(504, r#"{"id":"2a","verdict":"unknown"}"#);
const SHUTTING_DOWN: Step = Answer(
    503,
    r#"{"error":"the node is shutting down; ask another node"}"#,
);
const CONFLICT: Step = Answer(
    409,
    r#"{"id":"2a","verdict":"conflict","revision":4,"author":"omar","diff":"-a\n+b\n"}"#,
);
/// An answer whose header does not say surely where its body ends.
const SPOILT: Step = Spoilt(
    "transfer-encoding: identity\r\n",
    r#"{"id":"2a","verdict":"accepted","seq":8,"revision":3}"#,
);
const NOT_A_NODE: Step = Answer(404, "<html>");

/// A node that handles each request by the next step of a script; the last step repeats.
struct Script {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

impl Script {
    async fn start(steps: &'static [Step]) -> Script {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<String>>> = Arc::default();
        let requests = seen.clone();
        tokio::spawn(async move {
            for idx in 0.. {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let request = serve(stream, steps[idx.min(steps.len() - 1)]).await;
                requests
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(request);
            }
        });
        Script { address, seen }
    }

    /// Returns each request's method and path, and whether its body holds the id.
    fn seen(&self) -> Vec<String> {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

async fn serve(mut stream: TcpStream, step: Step) -> String {
    let request = receive(&mut stream).await;
    let answer = match step {
        Answer(status, body) => {
            let length = body.len();
            Some(format!(
                "HTTP/1.1 {status} x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            ))
        }
        Spoilt(fields, body) => Some(format!("HTTP/1.1 200 x\r\n{fields}\r\n{body}")),
        Drop => None,
    };
    if let Some(answer) = answer {
        // The program may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    }
    let line = request.lines().next().unwrap_or_default();
    let line = line.trim_end_matches(" HTTP/1.1");
    match request.contains(&format!("\"id\":\"{ID}\"")) {
        true => format!("{line} with the id"),
        false => line.to_owned(),
    }
}

/// Reads one whole request.
async fn receive(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|it| it.strip_prefix("content-length: "));
            let length = length.and_then(|it| it.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return text;
            }
        }
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return text,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

async fn submit(node: SocketAddr, retry: &str) -> Ran {
    let node = node.to_string();
    ctl(&[
        "submit",
        "tests/data/archive.toml",
        "--author",
        "amal",
        "--reason",
        "trial",
        "--base",
        "3",
        "--id",
        ID,
        "--node",
        &node,
        "--retry",
        retry,
    ])
    .await
}

const POST: &str = "POST /v1/submissions with the id";
const QUERY: &str = "GET /v1/submissions/0000000000000000000000000000002a";

/// After a lost answer the program must query the outcome and resubmit under the same id; a new id would
/// apply the change twice.
#[test_case(&[Drop, ACCEPTED], &[POST, QUERY]; "answer lost after acceptance")]
#[test_case(&[UNKNOWN, ACCEPTED], &[POST, QUERY]; "platform lost the answer")]
#[test_case(&[Drop, ABSENT, ACCEPTED], &[POST, QUERY, POST]; "request lost before acceptance")]
#[test_case(&[UNKNOWN, UNKNOWN, UNKNOWN, ACCEPTED], &[POST, QUERY, POST, QUERY]; "unknown for a while")]
#[test_case(&[SPOILT, ACCEPTED], &[POST, QUERY]; "answer with an unknown transfer coding")]
#[test_case(&[SHUTTING_DOWN, Drop, ACCEPTED], &[POST, QUERY, POST]; "node replaced")]
#[tokio::test]
async fn lost_answers_are_queried(steps: &'static [Step], seen: &[&str]) {
    let script = Script::start(steps).await;
    let ran = submit(script.address, "30").await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran}");
    assert_eq!(ran.out, format!("accepted: revision 4, seq 9, id {ID}\n"));
    assert_eq!(script.seen(), seen);
}

/// An outcome still unknown when retries end must not be reported as accepted or failed, but with the
/// commands to learn it.
#[test_case(&[UNKNOWN]; "unknown")]
#[test_case(&[Drop]; "every answer lost")]
#[tokio::test]
async fn unknown_outcomes_print_next_commands(steps: &'static [Step]) {
    let script = Script::start(steps).await;
    let ran = submit(script.address, "0").await;
    assert_eq!(ran.outcome, Outcome::Unavailable);
    assert!(
        ran.err.contains(&format!("ask: laburnum-ctl outcome {ID}")),
        "{ran}"
    );
    assert!(ran.err.contains(&format!("--id {ID} --base 3")), "{ran}");
}

#[tokio::test]
async fn conflicts_show_the_winner() {
    let script = Script::start(&[CONFLICT]).await;
    let ran = submit(script.address, "30").await;
    insta::assert_snapshot!("conflict", ran);
    assert_eq!(script.seen(), [POST]);
}

/// An address that is not a node's, or where nothing listens, must be reported without resubmission.
#[tokio::test]
async fn wrong_addresses_are_reported() {
    let script = Script::start(&[NOT_A_NODE]).await;
    let ran = submit(script.address, "30").await;
    assert_eq!(ran.outcome, Outcome::Unavailable);
    assert!(
        ran.err
            .contains("check that --node is a node's admin address"),
        "{ran}"
    );
    assert_eq!(script.seen(), [POST]);

    let closed = TcpListener::bind("127.0.0.1:0")
        .await
        .and_then(|it| it.local_addr());
    let ran = submit(closed.expect("a free port"), "0").await;
    assert_eq!(ran.outcome, Outcome::Unavailable);
    assert!(
        ran.err.contains("start it, or name another with --node"),
        "{ran}"
    );
}

#[test_case(r#"{"seq":3,"heard":3,"nodes":3,"reported":3,"everywhere":false,"bad":[],"behind":[{"node":"127.0.0.1:1","seq":2}]}"#, Outcome::Unavailable; "a node lags")]
#[test_case(r#"{"seq":3,"heard":3,"nodes":3,"reported":2,"everywhere":false,"bad":[],"behind":[]}"#, Outcome::Unavailable; "a node has not reported")]
#[test_case(r#"{"seq":2,"heard":3,"nodes":3,"reported":3,"everywhere":false,"bad":[],"behind":[]}"#, Outcome::Unavailable; "the node asked lags")]
#[test_case(r#"{"seq":3,"heard":3,"nodes":3,"reported":3,"everywhere":true,"bad":[],"behind":[]}"#, Outcome::Done; "none lags")]
fn wait_ends_when_no_node_lags(status: &'static str, outcome: Outcome) {
    let run = async move {
        let steps: &'static [Step] = Box::leak(Box::new([
            Answer(200, status),
            Answer(200, status),
            Answer(200, r#"{"quarantines":[]}"#),
            Answer(503, r#"{"error":"the table gave no answer; retry later"}"#),
        ]));
        let script = Script::start(steps).await;
        let node = script.address.to_string();
        let ran = ctl(&["status", "--wait", "--timeout", "0", "--node", &node]).await;
        assert_eq!(ran.outcome, outcome, "{ran}");
        let text = ran.out + &ran.err;
        assert!(
            text.contains("unknown outcomes cannot be read: the table gave no answer"),
            "{text}"
        );
    };
    tokio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(run);
}
