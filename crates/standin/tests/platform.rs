//! Tests of the platform's contract against every implementation, with and without faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use laburnum_edge::{Clock, HttpPlatform, HttpSettings, MemoryPlatform, Platform};
use laburnum_kernel::{
    Ms,
    platform::{
        ABSENT, COMMIT_MAX, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp,
        VALUE_MAX, Write,
    },
};
use laburnum_standin::{Answers, Faults, FaultyPlatform, Outage, PlatformServer, Share};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Implementation that a contract test runs against.
#[derive(Clone, Copy)]
enum Kind {
    Memory,
    Faulty,
    Http,
}

/// Timeout that no answer exceeds, even on a busy machine, in ms.
const LONG_TIMEOUT_MS: u64 = 60_000;
/// Timeout for cases that must time out, in ms.
const SHORT_TIMEOUT_MS: u64 = 1_000;

/// Platform under test with its fault injection and its server.
struct Rig {
    platform: Arc<dyn Platform>,
    faulty: FaultyPlatform,
    server: Option<PlatformServer>,
}

fn http(address: SocketAddr, timeout: u64) -> HttpPlatform {
    HttpPlatform::new(HttpSettings {
        address,
        timeout,
        ..HttpSettings::default()
    })
}

async fn rig(kind: Kind, timeout: u64) -> Rig {
    let memory = Arc::new(MemoryPlatform::default());
    let clock = Clock::manual(Ms(1_000_000));
    let faulty = FaultyPlatform::with_timeout(memory.clone(), clock, 7, timeout);
    let (platform, server): (Arc<dyn Platform>, _) = match kind {
        Kind::Memory => (memory, None),
        Kind::Faulty => (Arc::new(faulty.clone()), None),
        Kind::Http => {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = PlatformServer::start(any_port, faulty.clone()).await;
            let server = server.expect("the stand-in starts");
            let platform = http(server.address(), timeout);
            (Arc::new(platform), Some(server))
        }
    };
    Rig {
        platform,
        faulty,
        server,
    }
}

impl Rig {
    fn close(self) {
        if let Some(server) = self.server {
            server.close();
        }
    }

    async fn commit(&self, checks: &[(&str, u64)], writes: Vec<Write>) -> TableAnswer {
        let checks = checks.iter().map(|(key, version)| Check {
            key: (*key).to_owned(),
            version: *version,
        });
        let checks = checks.collect();
        self.platform
            .table(TableOp::Commit { checks, writes })
            .await
    }

    async fn get(&self, keys: &[&str]) -> Vec<Row> {
        rows(self.platform.table(get(keys)).await)
    }

    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Vec<String> {
        let op = TableOp::Scan {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let rows = rows(self.platform.table(op).await);
        rows.into_iter().map(|it| it.key).collect()
    }
}

fn rows(answer: TableAnswer) -> Vec<Row> {
    match answer {
        TableAnswer::Rows(rows) => rows,
        answer => panic!("rows expected, got {answer:?}"),
    }
}

fn get(keys: &[&str]) -> TableOp {
    TableOp::Get {
        keys: keys.iter().map(|it| (*it).to_owned()).collect(),
    }
}

fn put(key: &str, value: &[u8]) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: value.to_vec(),
    }
}

fn delete(key: &str) -> Write {
    Write::Delete {
        key: key.to_owned(),
    }
}

fn row(key: &str, version: u64, value: &[u8]) -> Row {
    Row {
        key: key.to_owned(),
        version,
        value: value.to_vec(),
    }
}

fn put_op(key: &str) -> TableOp {
    TableOp::Commit {
        checks: Vec::new(),
        writes: vec![put(key, b"1")],
    }
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn rows_written_are_read_with_their_versions(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    let bytes: Vec<u8> = (0..=255).collect();
    let writes = vec![put("b", &bytes), put("a", b"")];
    assert_eq!(rig.commit(&[], writes).await, TableAnswer::Committed);
    assert_eq!(
        rig.commit(&[], vec![put("a", b"2")]).await,
        TableAnswer::Committed
    );
    assert_eq!(
        rig.get(&["b", "absent", "a"]).await,
        [row("b", 1, &bytes), row("a", 2, b"2")]
    );
    assert_eq!(rig.get(&[]).await, []);
    rig.close();
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn failed_check_writes_nothing_and_returns_rows(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    rig.commit(&[("a", ABSENT)], vec![put("a", b"1"), put("c", b"1")])
        .await;
    let checks = [("a", ABSENT), ("b", 3), ("c", 1)];
    let writes = vec![put("a", b"2"), put("d", b"2")];
    assert_eq!(
        rig.commit(&checks, writes).await,
        TableAnswer::Conflict(vec![row("a", 1, b"1")])
    );
    assert_eq!(rig.get(&["a", "d"]).await, [row("a", 1, b"1")]);
    rig.close();
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn version_never_decreases_after_a_delete(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    rig.commit(&[], vec![put("a", b"1")]).await;
    rig.commit(&[], vec![put("a", b"2")]).await;
    rig.commit(&[("a", 2)], vec![delete("a"), delete("never")])
        .await;
    assert_eq!(rig.get(&["a"]).await, []);
    // The key counts as absent, but a check for version 1 or 2 must not match the new row.
    let again = rig.commit(&[("a", ABSENT)], vec![put("a", b"3")]).await;
    assert_eq!(again, TableAnswer::Committed);
    let version = rig.get(&["a"]).await[0].version;
    assert!(version > 2, "{version}");
    let stale = rig.commit(&[("a", 1)], vec![put("a", b"4")]).await;
    assert_eq!(stale, TableAnswer::Conflict(vec![row("a", version, b"3")]));
    rig.close();
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn scan_is_ordered_and_bounded(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    let keys = ["log/10", "log/02", "log", "log/1", "lof/9", "log/é", "m"];
    let writes = keys.iter().map(|it| put(it, b"")).collect();
    assert_eq!(rig.commit(&[], writes).await, TableAnswer::Committed);
    let all = ["log/02", "log/1", "log/10", "log/é"];
    assert_eq!(rig.scan("log/", "", 100).await, all);
    assert_eq!(rig.scan("log/", "a", 2).await, all[..2]);
    assert_eq!(rig.scan("log/", "log/1", 100).await, all[2..]);
    assert_eq!(rig.scan("log/", "log/11", 100).await, all[3..]);
    assert_eq!(rig.scan("log/", "z", 100).await, [""; 0]);
    assert_eq!(rig.scan("log/", "", 0).await, [""; 0]);
    assert_eq!(rig.scan("", "lof/9", 1).await, ["log"]);
    rig.close();
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn objects_are_stored_replaced_and_removed(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    let name = "snapshot/1 ü?#".to_owned();
    let object = |op| rig.platform.object(op);
    let read = || ObjectOp::Get { name: name.clone() };
    let write = |bytes: &[u8]| ObjectOp::Put {
        name: name.clone(),
        bytes: bytes.to_vec(),
    };
    assert_eq!(object(read()).await, ObjectAnswer::Absent);
    assert_eq!(object(write(&[0, 255])).await, ObjectAnswer::Done);
    assert_eq!(object(read()).await, ObjectAnswer::Bytes(vec![0, 255]));
    assert_eq!(object(write(b"")).await, ObjectAnswer::Done);
    assert_eq!(object(read()).await, ObjectAnswer::Bytes(Vec::new()));
    for _ in 0..2 {
        let remove = ObjectOp::Delete { name: name.clone() };
        assert_eq!(object(remove).await, ObjectAnswer::Done);
    }
    assert_eq!(object(read()).await, ObjectAnswer::Absent);
    rig.close();
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn commits_beyond_the_limits_write_nothing(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    let longest = vec![0; VALUE_MAX];
    let full = (0..COMMIT_MAX - 1).map(|it| put(&format!("full/{it}"), b""));
    let full = rig.commit(&[("x", ABSENT)], full.collect()).await;
    assert_eq!(full, TableAnswer::Committed);
    let whole = rig.commit(&[], vec![put("whole", &longest)]).await;
    assert_eq!(whole, TableAnswer::Committed);

    let many = (0..COMMIT_MAX).map(|it| put(&format!("many/{it}"), b""));
    let many = rig.commit(&[("x", ABSENT)], many.collect()).await;
    let long = [longest, vec![0]].concat();
    let long = rig.commit(&[], vec![put("many/a", b""), put("many/b", &long)]);
    for answer in [many, long.await] {
        assert!(
            matches!(answer, TableAnswer::Failed(Fault::Invalid(_))),
            "{answer:?}"
        );
    }
    assert_eq!(rig.scan("many/", "", 1).await, [""; 0]);
    rig.close();
}

#[test_case(Kind::Memory; "memory")]
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_many_racing_commits_wins(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    let tasks = (0..16_u8).map(|idx| {
        let platform = rig.platform.clone();
        tokio::spawn(async move {
            let checks = vec![Check {
                key: "head".to_owned(),
                version: ABSENT,
            }];
            let writes = vec![put("head", &[idx])];
            platform.table(TableOp::Commit { checks, writes }).await
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut winners = Vec::new();
    for (idx, task) in tasks.into_iter().enumerate() {
        match task.await.expect("no panic") {
            TableAnswer::Committed => winners.push(idx as u8),
            TableAnswer::Conflict(_) => {}
            answer => panic!("{answer:?}"),
        }
    }
    assert_eq!(winners.len(), 1);
    assert_eq!(rig.get(&["head"]).await, [row("head", 1, &winners)]);
    rig.close();
}

/// Effect of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Never,
    Done,
    /// Takes effect after the caller's timeout.
    Later,
}

fn faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

fn always() -> Share {
    Share::try_from(1.0).expect("a share")
}

fn refuse() -> Faults {
    faults(|it| it.outage = Outage::Refuse)
}

fn hang() -> Faults {
    faults(|it| it.outage = Outage::Hang)
}

fn slow() -> Faults {
    faults(|it| it.slow = 10 * SHORT_TIMEOUT_MS)
}

fn late() -> Faults {
    faults(|it| it.late = 2 * SHORT_TIMEOUT_MS)
}

fn lost() -> Faults {
    faults(|it| it.lost = always())
}

fn truncated() -> Faults {
    faults(|it| it.answers = Answers::Truncated)
}

fn malformed() -> Faults {
    faults(|it| it.answers = Answers::Malformed)
}

// Guards against repeated writes: `Unavailable` permits a retry and may be returned only if the write certainly had no
// effect; all other cases must be `Unknown`.
#[test_case(Kind::Faulty, refuse(), Fault::Unavailable, Effect::Never, LONG_TIMEOUT_MS; "faulty outage that refuses")]
#[test_case(Kind::Http, refuse(), Fault::Unavailable, Effect::Never, LONG_TIMEOUT_MS; "http outage that refuses")]
#[test_case(Kind::Faulty, hang(), Fault::Unknown, Effect::Never, SHORT_TIMEOUT_MS; "faulty outage that hangs")]
#[test_case(Kind::Http, hang(), Fault::Unknown, Effect::Never, SHORT_TIMEOUT_MS; "http outage that hangs")]
#[test_case(Kind::Faulty, slow(), Fault::Unknown, Effect::Done, SHORT_TIMEOUT_MS; "faulty slow past the timeout")]
#[test_case(Kind::Http, slow(), Fault::Unknown, Effect::Done, SHORT_TIMEOUT_MS; "http slow past the timeout")]
#[test_case(Kind::Faulty, late(), Fault::Unknown, Effect::Later, SHORT_TIMEOUT_MS; "faulty effect after the timeout")]
#[test_case(Kind::Http, late(), Fault::Unknown, Effect::Later, SHORT_TIMEOUT_MS; "http effect after the timeout")]
#[test_case(Kind::Faulty, truncated(), Fault::Unknown, Effect::Done, LONG_TIMEOUT_MS; "faulty truncated body")]
#[test_case(Kind::Http, truncated(), Fault::Unknown, Effect::Done, LONG_TIMEOUT_MS; "http truncated body")]
#[test_case(Kind::Faulty, malformed(), Fault::Unknown, Effect::Done, LONG_TIMEOUT_MS; "faulty malformed answer")]
#[test_case(Kind::Http, malformed(), Fault::Unknown, Effect::Done, LONG_TIMEOUT_MS; "http malformed answer")]
#[tokio::test]
async fn faults_report_the_effect_of_a_write(
    kind: Kind,
    faults: Faults,
    write: Fault,
    effect: Effect,
    timeout: u64,
) {
    let rig = rig(kind, timeout).await;
    rig.faulty.set(faults);
    let read = rig.platform.table(get(&["a"])).await;
    assert_eq!(read, TableAnswer::Failed(Fault::Unavailable));
    let written = rig.platform.table(put_op("a")).await;
    assert_eq!(written, TableAnswer::Failed(write.clone()));
    let op = ObjectOp::Put {
        name: "o".to_owned(),
        bytes: b"1".to_vec(),
    };
    assert_eq!(rig.platform.object(op).await, ObjectAnswer::Failed(write));

    let stored = || rows(rig.faulty.memory().table_now(&get(&["a"]))).len();
    match effect {
        Effect::Never => assert_eq!(stored(), 0),
        // The caller's timeout may pass before the effect.
        Effect::Done | Effect::Later => {
            while stored() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
    rig.faulty.set(Faults::default());
    rig.close();
}

// A write whose answer is lost must return `Unknown`, not be sent again, and be visible to a later read.
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn write_with_a_lost_answer_is_unknown(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    rig.faulty.set(lost());
    let answer = rig.commit(&[("a", ABSENT)], vec![put("a", b"mine")]).await;
    assert_eq!(answer, TableAnswer::Failed(Fault::Unknown));
    assert_eq!(rig.get(&["a"]).await, [row("a", 1, b"mine")]);
    let stats = rig.faulty.stats();
    // Neither the adapter nor its HTTP client repeated the write.
    assert_eq!((stats.writes, stats.lost), (1, 1));
    rig.close();
}

// A commit larger than the bucket passes while the bucket is full; the next one must be throttled without effect, with
// the time to wait.
#[test_case(Kind::Faulty; "faulty")]
#[test_case(Kind::Http; "http")]
#[tokio::test]
async fn rate_limit_counts_rows_and_returns_a_delay(kind: Kind) {
    let rig = rig(kind, LONG_TIMEOUT_MS).await;
    rig.faulty.set(faults(|it| it.writes = 2));
    let five = (0..5).map(|it| put(&format!("a/{it}"), b"")).collect();
    assert_eq!(rig.commit(&[], five).await, TableAnswer::Committed);
    let throttled = TableAnswer::Failed(Fault::Throttled { after: 2_000 });
    assert_eq!(rig.platform.table(put_op("b")).await, throttled);
    assert_eq!(rig.get(&["b"]).await, []);
    assert_eq!(rig.faulty.stats().throttled, 1);
    rig.close();
}

#[test]
fn rate_limit_recovers_with_time() {
    use laburnum_standin::faults::{Injector, Kind, Plan};
    let mut injector = Injector::new(1);
    injector.set(Ms(0), faults(|it| it.reads = 10));
    injector.charge(Ms(0), Kind::Read, 12);
    let refused = |after| Plan::Refuse(Fault::Throttled { after });
    assert_eq!(injector.plan(Ms(0), Kind::Read), refused(300));
    assert_eq!(injector.plan(Ms(299), Kind::Read), refused(1));
    assert!(matches!(
        injector.plan(Ms(300), Kind::Read),
        Plan::Run { .. }
    ));
    assert!(matches!(
        injector.plan(Ms(0), Kind::Write),
        Plan::Run { .. }
    ));
}

#[tokio::test]
async fn same_seed_loses_the_same_answers() {
    let mut seen = Vec::new();
    for _ in 0..2 {
        let rig = rig(Kind::Faulty, LONG_TIMEOUT_MS).await;
        let half = Share::try_from(0.5).expect("a share");
        rig.faulty.set(faults(|it| it.lost = half));
        let mut answers = Vec::new();
        for _ in 0..64 {
            answers.push(rig.platform.table(put_op("a")).await);
        }
        let lost = answers.iter().filter(|it| **it != TableAnswer::Committed);
        assert_eq!(lost.count() as u64, rig.faulty.stats().lost);
        seen.push(answers);
    }
    assert_eq!(seen[0], seen[1]);
    assert!(seen[0].contains(&TableAnswer::Committed));
    assert!(seen[0].contains(&TableAnswer::Failed(Fault::Unknown)));
}

/// Starts a server that answers the first request of each connection with `answer`, closes it and counts requests.
async fn serve_canned(answer: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let served = count.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut start = [0; 4096];
            if stream.read(&mut start).await.is_ok_and(|it| it > 0) {
                served.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    (address, count)
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

/// Returns an answer whose header does not say surely where its body ends.
fn spoilt(lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n{body}")
}

const FOREIGN: &str = r#"{"rows":[{"key":"foreign","version":1,"value":""}]}"#;
const NO_VERSION: &str = r#"{"rows":[{"key":"a","version":0,"value":""}]}"#;
const NO_EFFECT: &str = r#"{"error":"down","effect":"none"}"#;
const DONE: &str = r#"{"done":true}"#;
const CHUNKS: &str = "d\r\n{\"done\":true}\r\n0\r\n\r\n";
const WAIT: &str = r#"{"error":"slow down","after":250}"#;

fn throttled(after: u64) -> Fault {
    Fault::Throttled { after }
}

fn invalid(why: &str) -> Fault {
    Fault::Invalid(why.to_owned())
}

// Answers of an intermediary, or to another request, must become the right fault for a read and for a write.
#[test_case(answer("500 Oops", "", ""), Fault::Unavailable, Fault::Unknown; "internal error")]
#[test_case(answer("504 Late", "", ""), Fault::Unavailable, Fault::Unknown; "gateway timeout")]
#[test_case(answer("408 Late", "", ""), Fault::Unavailable, Fault::Unknown; "request timeout")]
#[test_case(answer("503 Down", "", ""), Fault::Unavailable, Fault::Unknown; "unavailable without an effect field")]
#[test_case(answer("503 Down", "", NO_EFFECT), Fault::Unavailable, Fault::Unavailable; "unavailable without effect")]
#[test_case(answer("429 Slow", "", WAIT), throttled(250), throttled(250); "throttled by body")]
#[test_case(answer("429 Slow", "retry-after: 3\r\n", ""), throttled(3000), throttled(3000); "throttled by header")]
#[test_case(answer("429 Slow", "", ""), throttled(1000), throttled(1000); "throttled without a time")]
#[test_case(answer("403 Forbidden", "", r#"{"error":"no"}"#), invalid("403 Forbidden: no"), invalid("403 Forbidden: no"); "forbidden")]
#[test_case(answer("404 Not Found", "", ""), Fault::Unavailable, Fault::Unknown; "no such path")]
#[test_case(answer("302 Found", "location: /\r\n", ""), Fault::Unavailable, Fault::Unknown; "redirect")]
#[test_case(answer("200 OK", "", ""), Fault::Unavailable, Fault::Unknown; "empty")]
#[test_case(answer("200 OK", "", r#"{"done":false}"#), Fault::Unavailable, Fault::Unknown; "not done")]
#[test_case(answer("200 OK", "", FOREIGN), Fault::Unavailable, Fault::Unknown; "rows of another request")]
#[test_case(answer("409 Conflict", "", FOREIGN), Fault::Unavailable, Fault::Unknown; "conflict of another commit")]
#[test_case(answer("200 OK", "", NO_VERSION), Fault::Unavailable, Fault::Unknown; "row without a version")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"done\":true}".to_owned(), Fault::Unavailable, Fault::Unknown; "cut within the body")]
#[test_case(spoilt("content-length: 13\r\ntransfer-encoding: chunked", CHUNKS), Fault::Unavailable, Fault::Unknown; "a length and chunks")]
#[test_case(spoilt("transfer-encoding: identity", DONE), Fault::Unavailable, Fault::Unknown; "an unknown transfer coding")]
#[test_case(spoilt("content-lenght: 13", DONE), Fault::Unavailable, Fault::Unknown; "a misspelt length")]
#[test_case(spoilt("content-length: 13\r\ncontent-length: 3", DONE), Fault::Unavailable, Fault::Unknown; "two lengths")]
#[test_case(String::new(), Fault::Unavailable, Fault::Unknown; "connection closed")]
#[test_case("SSH-2.0\r\n".to_owned(), Fault::Unavailable, Fault::Unknown; "another protocol")]
#[tokio::test]
async fn foreign_answers_become_faults(answer: String, read: Fault, write: Fault) {
    let (address, count) = serve_canned(answer).await;
    let platform = http(address, LONG_TIMEOUT_MS);
    let seen = platform.table(get(&["a"])).await;
    assert_eq!(seen, TableAnswer::Failed(read));
    let checks = vec![Check {
        key: "a".to_owned(),
        version: ABSENT,
    }];
    let writes = vec![put("a", b"1")];
    let seen = platform.table(TableOp::Commit { checks, writes }).await;
    assert_eq!(seen, TableAnswer::Failed(write));
    // Neither call was repeated.
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

// An oversized answer must not fill the node's memory or logs.
#[tokio::test]
async fn answers_and_error_texts_are_bounded() {
    let long = "x".repeat(100_000);
    let body = format!(r#"{{"error":"{long}"}}"#);
    let (address, _) = serve_canned(answer("400 Bad", "", &body)).await;
    let settings = HttpSettings {
        address,
        timeout: LONG_TIMEOUT_MS,
        answer_max: 200_000,
        ..HttpSettings::default()
    };
    let platform = HttpPlatform::new(settings.clone());
    match platform.table(get(&["a"])).await {
        TableAnswer::Failed(Fault::Invalid(why)) => assert!(why.len() < 300, "{}", why.len()),
        answer => panic!("{answer:?}"),
    }
    let platform = HttpPlatform::new(HttpSettings {
        answer_max: 1_000,
        ..settings
    });
    let why = "the answer exceeds 1000 bytes; read fewer rows or smaller objects";
    let read = platform.table(get(&["a"])).await;
    assert_eq!(read, TableAnswer::Failed(invalid(why)));
    let written = platform.table(put_op("a")).await;
    assert_eq!(written, TableAnswer::Failed(Fault::Unknown));
}

// A refused connection proves that no byte of the write was sent.
#[tokio::test]
async fn refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let written = http(address, LONG_TIMEOUT_MS).table(put_op("a")).await;
    assert_eq!(written, TableAnswer::Failed(Fault::Unavailable));
}

// Calls to a platform that hangs must stay bounded: two are in flight, one is queued, and the fourth fails at once.
#[tokio::test]
async fn calls_in_flight_and_queued_are_bounded() {
    let rig = rig(Kind::Http, LONG_TIMEOUT_MS).await;
    rig.faulty.set(hang());
    let address = rig.server.as_ref().map(PlatformServer::address);
    let platform = Arc::new(HttpPlatform::new(HttpSettings {
        address: address.expect("a server"),
        timeout: LONG_TIMEOUT_MS,
        concurrency: 2,
        queue: 1,
        ..HttpSettings::default()
    }));
    let calls = (0..3).map(|_| {
        let platform = platform.clone();
        tokio::spawn(async move { platform.table(put_op("a")).await })
    });
    let calls: Vec<_> = calls.collect();
    while rig.faulty.stats().refused < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let fourth = platform.table(put_op("a")).await;
    assert_eq!(fourth, TableAnswer::Failed(Fault::Unavailable));
    assert_eq!(rig.faulty.stats().refused, 2);
    for call in calls {
        assert!(!call.is_finished());
        call.abort();
    }
    rig.close();
}
