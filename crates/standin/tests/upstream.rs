//! Tests of the stand-in upstream: runs, refusals, faults and announcements.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use laburnum_edge::{Token, api::AnnounceBody};
use laburnum_standin::{
    Behaviour, Ledger, Upstream, UpstreamSettings,
    body::{self, Body, ConnectionCut},
    server::{ConnCounter, Server},
    upstream::{Failing, Health, Phase, Replies, ledger::RunState},
};
use test_case::test_case;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Time longer than any test, in ms.
const FOREVER_MS: u64 = 3_600_000;

type Sender = http1::SendRequest<Full<Bytes>>;

fn settings() -> UpstreamSettings {
    UpstreamSettings {
        restart: 0,
        heartbeat: 5,
        ..UpstreamSettings::default()
    }
}

async fn start(settings: UpstreamSettings) -> Upstream {
    let upstream = Upstream::start(settings).await.expect("it starts");
    until(|| upstream.health().phase == Phase::Ready).await;
    upstream
}

/// Polls `ready` until it returns true; the test runner's timeout bounds the wait.
async fn until(mut ready: impl FnMut() -> bool) {
    while !ready() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn connect(address: SocketAddr) -> Sender {
    loop {
        if let Ok(stream) = TcpStream::connect(address).await
            && let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await
        {
            tokio::spawn(connection);
            return sender;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn request(method: &str, path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(path);
    let builder = builder.header("host", "drafting-desk");
    headers
        .iter()
        .fold(builder, |it, (name, value)| it.header(*name, *value))
        .body(Full::default())
        .expect("a request")
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let mut sender = connect(address).await;
    Answer::read(sender.send_request(request).await).await
}

/// Sends a request on a new connection, in a task.
fn begin(address: SocketAddr, request: Request<Full<Bytes>>) -> JoinHandle<Answer> {
    tokio::spawn(send(address, request))
}

/// Answer as seen by a caller.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Whole {
        status: u16,
        outcome: Option<String>,
        body: String,
    },
    /// The head, but an incomplete body.
    Cut,
    /// No answer.
    Lost,
}

impl Answer {
    async fn read(response: hyper::Result<Response<Incoming>>) -> Answer {
        let Ok(response) = response else {
            return Answer::Lost;
        };
        let status = response.status().as_u16();
        let outcome = response.headers().get("laburnum-outcome");
        let outcome = outcome.and_then(|it| it.to_str().ok().map(str::to_owned));
        let Ok(body) = response.into_body().collect().await else {
            return Answer::Cut;
        };
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Answer::Whole {
            status,
            outcome,
            body,
        }
    }

    fn not_run(&self) -> bool {
        matches!(self, Answer::Whole { status: 503, outcome: Some(it), .. } if it == "not-run")
    }
}

fn ok(body: &str) -> Answer {
    Answer::Whole {
        status: 200,
        outcome: None,
        body: body.to_owned(),
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    match send(address, request("GET", path, &[])).await {
        Answer::Whole { body, .. } => serde_json::from_str(&body).expect("JSON"),
        answer => panic!("{answer:?}"),
    }
}

fn finished(ledger: &Ledger) -> usize {
    let finished = |it: &&_| matches!(it, RunState::Finished);
    ledger
        .runs
        .iter()
        .map(|it| &it.state)
        .filter(finished)
        .count()
}

#[tokio::test]
async fn runs_are_answered_and_recorded() {
    let upstream = start(settings()).await;
    let address = upstream.address();
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k")];
    let answer = send(address, request("POST", "/filings?x=1", &headers)).await;
    assert_eq!(answer, ok("POST /filings?x=1 \n"));
    let headers = [("x-request-id", "r2"), ("idempotency-key", "k")];
    send(address, request("POST", "/filings", &headers)).await;
    send(address, request("GET", "/drafts", &[])).await;

    let ledger: Ledger = read_json(address, "/ledger").await;
    assert_eq!(ledger, upstream.ledger());
    assert_eq!(ledger.repeated(), [("k", 2)]);
    assert!(ledger.ran("r1") && !ledger.ran("r3"));
    assert_eq!((finished(&ledger), ledger.plain), (2, 1));
    upstream.close();
}

// With the only slot busy and no queue, a request must be refused as not run, and the ledger must agree.
#[tokio::test]
async fn request_beyond_the_slots_is_shed_as_not_run() {
    let upstream = start(UpstreamSettings {
        slots: 1,
        run: FOREVER_MS,
        ..settings()
    })
    .await;
    let address = upstream.address();
    let first = begin(address, request("GET", "/", &[("x-request-id", "r1")]));
    until(|| upstream.health().busy == 1).await;
    let second = send(address, request("GET", "/", &[("x-request-id", "r2")])).await;
    assert!(second.not_run(), "{second:?}");
    let ledger = upstream.ledger();
    assert!(ledger.ran("r1") && !ledger.ran("r2"));
    assert_eq!(ledger.shed, 1);
    assert!(!first.is_finished());
    upstream.close();
}

#[tokio::test]
async fn cold_upstream_refuses_as_not_run() {
    let upstream = Upstream::start(UpstreamSettings {
        cold: FOREVER_MS,
        ..settings()
    })
    .await
    .expect("it starts");
    let address = upstream.address();
    let answer = send(address, request("GET", "/", &[])).await;
    assert!(answer.not_run(), "{answer:?}");
    let health: Health = read_json(address, "/health").await;
    let expected = Health {
        phase: Phase::Warming,
        busy: 0,
        slots: 6,
    };
    assert_eq!(health, expected);
    upstream.close();
}

// A waiting request whose caller disconnects must be counted as cancelled and never run.
#[tokio::test]
async fn waiting_request_of_a_gone_caller_never_runs() {
    let upstream = start(UpstreamSettings {
        slots: 1,
        queue: 1,
        run: FOREVER_MS,
        ..settings()
    })
    .await;
    let address = upstream.address();
    let _first = begin(address, request("GET", "/", &[]));
    until(|| upstream.health().busy == 1).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let waiting = b"GET / HTTP/1.1\r\nhost: x\r\nx-request-id: r2\r\n\r\n";
    stream.write_all(waiting).await.expect("sent");
    drop(stream);
    until(|| upstream.ledger().cancelled == 1).await;
    assert!(!upstream.ledger().ran("r2"));
    upstream.close();
}

// A request whose deadline passes before it gets a slot must not run.
#[test_case("0"; "over on arrival")]
#[test_case("5"; "over while waiting")]
#[tokio::test]
async fn expired_request_is_refused_as_not_run(deadline: &'static str) {
    let upstream = start(UpstreamSettings {
        slots: 1,
        queue: 1,
        run: FOREVER_MS,
        ..settings()
    })
    .await;
    let address = upstream.address();
    let _first = begin(address, request("GET", "/", &[]));
    until(|| upstream.health().busy == 1).await;
    let headers = [("x-request-id", "r2"), ("laburnum-deadline", deadline)];
    let answer = send(address, request("GET", "/", &headers)).await;
    assert!(answer.not_run(), "{answer:?}");
    assert!(!upstream.ledger().ran("r2"));
    upstream.close();
}

// A run must complete even if its caller disconnects.
#[tokio::test]
async fn started_run_outlives_its_caller() {
    let upstream = start(UpstreamSettings {
        run: 50,
        ..settings()
    })
    .await;
    let headers = [("x-request-id", "r1")];
    let caller = begin(upstream.address(), request("GET", "/", &headers));
    until(|| upstream.ledger().ran("r1")).await;
    caller.abort();
    until(|| finished(&upstream.ledger()) == 1).await;
    upstream.close();
}

// A crash must close all connections and mark all runs as crashed, and the upstream must restart at the same address.
#[tokio::test]
async fn crash_ends_every_request_and_restarts() {
    let upstream = start(settings()).await;
    let address = upstream.address();
    upstream.set(Behaviour {
        slow: FOREVER_MS,
        ..Behaviour::default()
    });
    let bystander = begin(address, request("GET", "/", &[("x-request-id", "r1")]));
    until(|| upstream.health().busy == 1).await;
    upstream.set(Behaviour::default());
    let headers = [("x-request-id", "r2"), ("x-crash", "1")];
    let crashing = send(address, request("GET", "/", &headers)).await;
    assert_eq!(crashing, Answer::Lost);
    assert_eq!(bystander.await.expect("no panic"), Answer::Lost);

    let mut answer = Answer::Lost;
    while answer != ok("GET / \n") {
        answer = send(address, request("GET", "/", &[])).await;
    }
    let ledger = upstream.ledger();
    let states: Vec<RunState> = ledger.runs.iter().map(|it| it.state).collect();
    assert_eq!(states, [RunState::Crashed, RunState::Crashed]);
    assert_eq!(upstream.health().busy, 0);
    upstream.close();
}

// A request on a silenced connection must be neither run nor answered, while a new connection works.
#[tokio::test]
async fn silenced_connection_never_answers() {
    let upstream = start(settings()).await;
    let address = upstream.address();
    let mut old = connect(address).await;
    let first = old.send_request(request("GET", "/1", &[])).await;
    assert_eq!(Answer::read(first).await, ok("GET /1 \n"));
    old.ready().await.expect("kept alive");
    upstream.silence();
    let lost = tokio::spawn(old.send_request(request("GET", "/2", &[("x-request-id", "r2")])));
    let new = send(address, request("GET", "/3", &[])).await;
    assert_eq!(new, ok("GET /3 \n"));
    assert!(!lost.is_finished());
    assert!(!upstream.ledger().ran("r2"));
    // The connection is closed with the upstream, and the request stays unanswered.
    upstream.drain().await;
    let lost = lost.await.expect("no panic");
    assert_eq!(Answer::read(lost).await, Answer::Lost);
}

#[test_case(Failing::Open, Phase::Warming; "health reports it")]
#[test_case(Failing::Lying, Phase::Ready; "health hides it")]
#[tokio::test]
async fn failing_upstream_answers_without_running(failing: Failing, phase: Phase) {
    let upstream = start(settings()).await;
    let address = upstream.address();
    upstream.set(Behaviour {
        failing,
        ..Behaviour::default()
    });
    let answer = send(address, request("GET", "/", &[("x-request-id", "r1")])).await;
    assert!(
        matches!(
            answer,
            Answer::Whole {
                status: 500,
                outcome: None,
                ..
            }
        ),
        "{answer:?}"
    );
    let health: Health = read_json(address, "/health").await;
    assert_eq!(health.phase, phase);
    let ledger = upstream.ledger();
    assert!(!ledger.ran("r1"));
    assert_eq!(ledger.failed, 1);
    upstream.close();
}

// A truncated answer must be an error for the caller, though the request ran.
#[tokio::test]
async fn truncated_answer_is_an_error() {
    let upstream = start(settings()).await;
    upstream.set(Behaviour {
        replies: Replies::Cut,
        ..Behaviour::default()
    });
    let headers = [("x-request-id", "r1")];
    let answer = send(upstream.address(), request("GET", "/", &headers)).await;
    assert_eq!(answer, Answer::Cut);
    assert_eq!(finished(&upstream.ledger()), 1);
    upstream.close();
}

// A late answer is sent after its run has released the slot.
#[tokio::test]
async fn late_answer_does_not_hold_its_slot() {
    let upstream = start(settings()).await;
    upstream.set(Behaviour {
        late: FOREVER_MS,
        ..Behaviour::default()
    });
    let headers = [("x-request-id", "r1")];
    let caller = begin(upstream.address(), request("GET", "/", &headers));
    until(|| finished(&upstream.ledger()) == 1).await;
    until(|| upstream.health().busy == 0).await;
    assert!(!caller.is_finished());
    upstream.close();
}

// A draining upstream must refuse new requests as not run and answer the running one before it stops.
#[tokio::test]
async fn drain_completes_runs_and_refuses_new_ones() {
    let upstream = start(UpstreamSettings {
        run: 100,
        ..settings()
    })
    .await;
    let address = upstream.address();
    let running = begin(address, request("GET", "/", &[]));
    until(|| upstream.health().busy == 1).await;
    let left = send(address, request("POST", "/drain", &[])).await;
    assert!(matches!(left, Answer::Whole { status: 200, .. }));
    let refused = send(address, request("GET", "/", &[])).await;
    assert!(refused.not_run(), "{refused:?}");
    upstream.drain().await;
    assert_eq!(running.await.expect("no panic"), ok("GET / \n"));
    assert!(TcpStream::connect(address).await.is_err());
}

#[test_case(r#"{"slow":1}"#, 200; "good")]
#[test_case(r#"{"sloow":1}"#, 400; "unknown field")]
#[test_case("[", 400; "not JSON")]
#[tokio::test]
async fn behaviour_is_set_over_http(text: &'static str, status: u16) {
    let upstream = start(settings()).await;
    let mut request = request("PUT", "/faults", &[]);
    *request.body_mut() = Full::new(Bytes::from_static(text.as_bytes()));
    let answer = send(upstream.address(), request).await;
    assert!(
        matches!(answer, Answer::Whole { status: it, .. } if it == status),
        "{answer:?}"
    );
    let behaviour: Behaviour = read_json(upstream.address(), "/faults").await;
    assert_eq!(behaviour.slow, u64::from(status == 200));
    upstream.close();
}

/// Announcement received by the node: readiness or the withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Announced {
    Ready(bool),
    Left,
}

const TOKEN: &str = "token-of-the-operators";

/// Starts a stand-in for a node's admin API that records announcements and answers the second one with an error.
async fn node(announced: Arc<Mutex<Vec<Announced>>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let handler = move |_, request: Request<Incoming>| {
        let announced = announced.clone();
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| ConnectionCut)?.to_bytes();
            assert_eq!(parts.uri.path(), "/v1/upstream");
            let token: Token = TOKEN.parse().expect("a token");
            assert!(token.matches(&parts.headers["authorization"]));
            let mut announced = announced.lock().expect("not poisoned");
            announced.push(match parts.method {
                Method::PUT => {
                    let body: AnnounceBody = serde_json::from_slice(&body).expect("JSON");
                    assert_eq!((body.service.as_str(), body.slots), ("drafting-desk", 6));
                    Announced::Ready(body.ready)
                }
                _ => Announced::Left,
            });
            let status = match announced.len() {
                2 => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NO_CONTENT,
            };
            Ok::<Response<Body>, ConnectionCut>(body::text(status, String::new()))
        }
    };
    Server::start(listener, ConnCounter::default(), handler).expect("the stand-in starts")
}

// The announcement must be renewed despite a failure, withdrawn when the upstream leaves, and not sent after that.
#[tokio::test]
async fn upstream_announces_itself_until_it_leaves() {
    let announced = Arc::new(Mutex::new(Vec::new()));
    let node = node(announced.clone()).await;
    let upstream = Upstream::start(UpstreamSettings {
        node: Some(node.address()),
        token: Some(TOKEN.parse().expect("a token")),
        cold: 50,
        heartbeat: 10,
        ..settings()
    })
    .await
    .expect("it starts");
    let count = |wanted| {
        let announced = announced.lock().expect("not poisoned");
        announced.iter().filter(|it| **it == wanted).count()
    };
    until(|| count(Announced::Ready(true)) >= 3).await;
    assert!(count(Announced::Ready(false)) >= 1);
    upstream.drain().await;
    let mut announced = announced.lock().expect("not poisoned").clone();
    assert_eq!(announced.pop(), Some(Announced::Left));
    assert!(!announced.contains(&Announced::Left));
    assert!(
        announced.is_sorted_by_key(|it| *it == Announced::Ready(true)),
        "{announced:?}"
    );
    node.close();
}
