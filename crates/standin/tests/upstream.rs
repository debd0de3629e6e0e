//! The stand-in upstream: what it runs, refuses and how it misbehaves.

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
    body::{self, Body, Cut},
    server::{Conns, Server},
    upstream::{Failing, Health, Phase, Replies, ledger::RunState},
};
use test_case::test_case;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// A service time that no test waits for.
const NEVER_MS: u64 = 3_600_000;

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

/// Polls `ready` until it holds, for as long as the test runner allows.
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

/// Sends on a connection of its own, in the background.
fn begin(address: SocketAddr, request: Request<Full<Bytes>>) -> JoinHandle<Answer> {
    tokio::spawn(send(address, request))
}

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Whole {
        status: u16,
        outcome: Option<String>,
        body: String,
    },
    /// The head and not the whole body.
    Cut,
    /// Nothing.
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
async fn runs_are_answered_and_kept_in_the_ledger() {
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

// The only slot is busy and nothing may wait: the second request is refused, says that it was not run, and
// the ledger agrees.
#[tokio::test]
async fn request_beyond_the_slots_is_shed_as_not_run() {
    let upstream = start(UpstreamSettings {
        slots: 1,
        run: NEVER_MS,
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
        cold: NEVER_MS,
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

// A request waits for the only slot and its caller hangs up. It is dropped and counted, and never runs.
#[tokio::test]
async fn waiting_request_is_dropped_when_its_caller_hangs_up() {
    let upstream = start(UpstreamSettings {
        slots: 1,
        queue: 1,
        run: NEVER_MS,
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

// The only slot is busy for longer than the second request's deadline: it is dropped before it runs.
#[test_case("0"; "over on arrival")]
#[test_case("5"; "over while waiting")]
#[tokio::test]
async fn expired_request_is_refused_as_not_run(deadline: &'static str) {
    let upstream = start(UpstreamSettings {
        slots: 1,
        queue: 1,
        run: NEVER_MS,
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

// The caller hangs up while its request runs: the run goes on to its end, since the upstream cannot undo it.
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

// One request runs when another crashes the upstream. Both callers lose their connection, the ledger keeps
// both as unfinished, and the upstream comes back at the same address.
#[tokio::test]
async fn crash_ends_every_request_and_the_upstream_comes_back() {
    let upstream = start(settings()).await;
    let address = upstream.address();
    upstream.set(Behaviour {
        slow: NEVER_MS,
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

// Something between loses track of the open connection: a request on it is never answered and never run,
// while a new connection works.
#[tokio::test]
async fn silent_connection_never_answers_and_new_ones_work() {
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
    // It ends with the upstream, unanswered.
    upstream.drain().await;
    let lost = lost.await.expect("no panic");
    assert_eq!(Answer::read(lost).await, Answer::Lost);
}

#[test_case(Failing::Open, Phase::Warming; "health tells")]
#[test_case(Failing::Lying, Phase::Ready; "health lies")]
#[tokio::test]
async fn failing_upstream_errors_without_running(failing: Failing, phase: Phase) {
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

// The request ran, but its answer ends early: the caller must not take the part for the whole.
#[tokio::test]
async fn cut_answer_is_an_error_though_the_request_ran() {
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

// The run is over and its slot free again, yet the answer is still on its way.
#[tokio::test]
async fn late_answer_comes_after_its_slot_is_free() {
    let upstream = start(settings()).await;
    upstream.set(Behaviour {
        late: NEVER_MS,
        ..Behaviour::default()
    });
    let headers = [("x-request-id", "r1")];
    let caller = begin(upstream.address(), request("GET", "/", &headers));
    until(|| finished(&upstream.ledger()) == 1).await;
    until(|| upstream.health().busy == 0).await;
    assert!(!caller.is_finished());
    upstream.close();
}

// An upstream leaves while a request runs: new ones are refused as not run, the running one is answered
// whole, and only then does the upstream end.
#[tokio::test]
async fn drain_completes_what_runs_and_refuses_the_rest() {
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
#[test_case("[", 400; "no JSON")]
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

/// What the node beside the upstream was told, in order: readiness, or that the upstream left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Ready(bool),
    Left,
}

const TOKEN: &str = "token-of-the-operators";

/// A node's admin API that notes announcements. The second one is answered by an error.
async fn node(told: Arc<Mutex<Vec<Told>>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let handler = move |_, request: Request<Incoming>| {
        let told = told.clone();
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
            assert_eq!(parts.uri.path(), "/v1/upstream");
            let token: Token = TOKEN.parse().expect("a token");
            assert!(token.fits(&parts.headers["authorization"]));
            let mut told = told.lock().expect("not poisoned");
            told.push(match parts.method {
                Method::PUT => {
                    let body: AnnounceBody = serde_json::from_slice(&body).expect("JSON");
                    assert_eq!((body.service.as_str(), body.slots), ("drafting-desk", 6));
                    Told::Ready(body.ready)
                }
                _ => Told::Left,
            });
            let status = match told.len() {
                2 => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NO_CONTENT,
            };
            Ok::<Response<Body>, Cut>(body::text(status, String::new()))
        }
    };
    Server::start(listener, Conns::default(), handler).expect("it serves")
}

// The announcement is a lease: repeated through a failure while the upstream warms up and runs, then
// withdrawn when it leaves, and nothing follows the withdrawal.
#[tokio::test]
async fn upstream_announces_itself_until_it_leaves() {
    let told = Arc::new(Mutex::new(Vec::new()));
    let node = node(told.clone()).await;
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
        let told = told.lock().expect("not poisoned");
        told.iter().filter(|it| **it == wanted).count()
    };
    until(|| count(Told::Ready(true)) >= 3).await;
    assert!(count(Told::Ready(false)) >= 1);
    upstream.drain().await;
    let mut told = told.lock().expect("not poisoned").clone();
    assert_eq!(told.pop(), Some(Told::Left));
    assert!(!told.contains(&Told::Left));
    assert!(
        told.is_sorted_by_key(|it| *it == Told::Ready(true)),
        "{told:?}"
    );
    node.close();
}
