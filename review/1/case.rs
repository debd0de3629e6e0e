//! Case 1: an endpoint rejects an unsafe request, and a second copy of that rejection arrives late, after the same attempt
//! was sent to the endpoint again.

#[path = "../lib/harness.rs"]
mod harness;

use std::{
    collections::BTreeMap,
    env, fs,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use harness::{Machine, Message, Record, Rng, Store, config, heartbeat, read_message, route, service};

/// Length of the traffic, in ms.
const TRAFFIC_MS: u64 = 80_000;
/// A disruption begins each so many ms, from the first second of traffic on.
const CYCLE_MS: u64 = 10_000;
/// `garble`, how `extra late`: x = 0.03 for 5 s (nfdc-mesh.toml, `troubles`). The endpoint is one of the affected ones.
const GARBLE: (u64, f64) = (5_000, 0.03);
/// `srv_grey`, how `shed all`: x = 0.55 for 8.5 s (nfdc-mesh.toml, day scale-1).
const GREY: (u64, f64) = (8_500, 0.55);
/// Slots and queue of an endpoint, and its mean work, in ms.
const SLOTS: u16 = 6;
const WORK_MS: (u64, u64) = (20, 60);
/// Pause of one client between two jobs, in ms; six clients a machine.
const PAUSE_MS: (u64, u64) = (150, 250);

/// What reached an endpoint, by attempt id.
#[derive(Default)]
struct Seen {
    runs: BTreeMap<String, Vec<u64>>,
    rejected: u64,
    extra: u64,
}

#[derive(Clone)]
struct Endpoint {
    id: String,
    service: &'static str,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    /// Start of the traffic, in ms of the record; zero before.
    traffic: Arc<AtomicU64>,
    is_faulty: bool,
    rng: Arc<Mutex<Rng>>,
}

impl Endpoint {
    fn is_within(&self, now: u64, length: u64) -> bool {
        let start = self.traffic.load(Ordering::SeqCst);
        self.is_faulty && start > 0 && now > start + 1_000 && (now - start - 1_000) % CYCLE_MS < length
    }

    fn chance(&self, share: f64) -> bool {
        self.rng.lock().unwrap().chance(share)
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        // Copy of an answer that arrives late, at the point where the next answer is expected.
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.field("x-laburnumward-attempt-id").to_owned();
            if let Some((of, bytes)) = late.take() {
                self.record.line(&format!("endpoint {} sends a second copy of its answer to {of}, after it has read {id}", self.id));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let (what, answer) = self.answer(&request, &id);
            if writer.write_all(&answer).is_err() {
                return;
            }
            let now = self.record.now();
            if self.is_within(now, GARBLE.0) && self.chance(GARBLE.1) {
                self.seen.lock().unwrap().extra += 1;
                self.record.line(&format!("endpoint {} will send its answer ({what}) to {id} a second time", self.id));
                late = Some((id, answer));
            }
        }
    }

    fn answer(&self, request: &Message, id: &str) -> (&'static str, Vec<u8>) {
        if request.target() == "/healthz" {
            let text = format!("HTTP/1.1 200 OK\r\nX-Laburnumward-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return ("health", text.into_bytes());
        }
        let echo = format!("X-Laburnumward-Attempt-Id: {id}\r\n");
        if request.field("x-laburnumward-expected-instance") != self.id {
            let text = format!("HTTP/1.1 421 Misdirected Request\r\n{echo}Content-Length: 0\r\n\r\n");
            return ("421", text.into_bytes());
        }
        if self.is_within(self.record.now(), GREY.0) && self.chance(GREY.1) {
            self.seen.lock().unwrap().rejected += 1;
            self.record.line(&format!("endpoint {} rejects {id}, not executed", self.id));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{echo}X-Laburnumward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return ("503, not executed", text.into_bytes());
        }
        let now = self.record.now();
        self.record.line(&format!("endpoint {} runs {id} ({})", self.id, request.method()));
        self.seen.lock().unwrap().runs.entry(id.to_owned()).or_default().push(now);
        let work = self.rng.lock().unwrap().between(WORK_MS.0, WORK_MS.1);
        thread::sleep(Duration::from_millis(work));
        let body = format!("done {id}\n");
        let text = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Laburnumward-Response-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        ("200", text.into_bytes())
    }
}

/// An answer that a client got.
struct Answered {
    id: String,
    status: u16,
    at: u64,
}

/// Sends jobs one after the other; a refused one comes again under a new id.
fn client(name: String, caller: SocketAddr, record: Record, stop: Arc<AtomicBool>, seed: u64) -> Vec<Answered> {
    let mut rng = Rng(seed);
    let mut answers = Vec::new();
    for job in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let deadline = Instant::now() + Duration::from_millis(1_000);
        for attempt in 1..=3 {
            let left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
            if left < 50 {
                break;
            }
            let id = format!("{name}-{job}-{attempt}");
            let body = format!("file {name}-{job}");
            let request = format!(
                "PUT /file/{job} HTTP/1.1\r\nHost: mesh.example\r\nX-Laburnumward-Attempt-Id: {id}\r\n\
                 X-Laburnumward-Deadline-Ms: {left}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            record.line(&format!("client sends {id}"));
            let answer = harness::exchange(caller, request.as_bytes(), Duration::from_millis(left));
            let (status, after) = match &answer {
                Ok(it) => (it.status(), it.field("retry-after").parse::<f64>().unwrap_or(0.0)),
                Err(_) => (0, 0.0),
            };
            let at = record.now();
            record.line(&format!("client gets {status} for {id}"));
            answers.push(Answered { id, status, at });
            let wait = (after * 1_000.0) as u64;
            if !matches!(status, 408 | 421 | 429 | 503) || wait > left / 3 {
                break;
            }
            thread::sleep(Duration::from_millis(wait));
        }
        thread::sleep(Duration::from_millis(rng.between(PAUSE_MS.0, PAUSE_MS.1)));
    }
    answers
}

fn main() {
    let root = PathBuf::from(env::args().nth(1).expect("the repository"));
    let folder = PathBuf::from(env::args().nth(2).expect("a temporary folder"));
    let here = PathBuf::from(env::args().nth(3).expect("the folder of the case"));
    let with_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let seed = env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(1);
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Record::create(&here.join("record.txt"));
    let store = Store::start();
    store.write_op(
        "config",
        &config(2, &[
            route("file", "unsafe", "registry", 1_000, 150, 0),
            route("drafts", "safe", "desk", 1_000, 200, 2),
            service("registry"),
            service("desk"),
        ]),
    );
    let traffic = Arc::new(AtomicU64::new(0));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut machines = Vec::new();
    // The registry has one endpoint, the desk two.
    for (n, of) in ["registry", "desk", "desk"].into_iter().enumerate() {
        let zone = ["nasr", "maadi", "giza"][n];
        let mut machine = Machine::new(n as u8 + 1, zone, of, store.address, &root, &folder);
        machine.start();
        let listener = TcpListener::bind((harness::loopback(n as u8 + 1), 8145)).expect("a port");
        let address = listener.local_addr().unwrap();
        let endpoint = Endpoint {
            id: format!("i-{n}"),
            service: of,
            record: record.clone(),
            seen: seen.clone(),
            traffic: traffic.clone(),
            is_faulty: with_trouble && of == "registry",
            rng: Arc::new(Mutex::new(Rng(seed * 1_000 + n as u64))),
        };
        let served = endpoint.clone();
        harness::serve(listener, move |stream| served.connection(stream));
        let heartbeats = machine.heartbeats;
        thread::spawn(move || {
            for sequence in 1.. {
                let body = heartbeat(address, endpoint.service, zone, SLOTS, "ready", sequence);
                harness::call_node(heartbeats, "heartbeat", &endpoint.id, &body);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        machines.push(machine);
    }
    let is_up = harness::wait_until(Duration::from_secs(8), || machines.iter().all(Machine::is_ready));
    if !is_up {
        record.line("the nodes did not become ready");
        drop(machines);
        exit(2);
    }
    thread::sleep(Duration::from_secs(2));
    traffic.store(record.now(), Ordering::SeqCst);
    record.line("traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (n, machine) in machines.iter().enumerate() {
        for k in 0..6 {
            let (name, caller) = (format!("c{n}{k}"), machine.caller);
            let (record, stop) = (record.clone(), stop.clone());
            let seed = seed * 7_919 + (n * 10 + k) as u64;
            clients.push(thread::spawn(move || client(name, caller, record, stop, seed)));
        }
    }
    thread::sleep(Duration::from_millis(TRAFFIC_MS));
    stop.store(true, Ordering::SeqCst);
    let answers: Vec<Answered> = clients.into_iter().flat_map(|it| it.join().unwrap()).collect();
    thread::sleep(Duration::from_secs(1));
    let ended = machines.iter_mut().filter_map(|it| it.has_ended().then(|| it.name.clone())).count();
    drop(machines);

    let seen = seen.lock().unwrap();
    let mut refused = 0;
    for it in &answers {
        if let (408 | 421 | 429 | 503, Some(runs)) = (it.status, seen.runs.get(&it.id)) {
            refused += 1;
            record.line(&format!("REFUSED broken: {} ran at {runs:?} and was answered {} at {}", it.id, it.status, it.at));
        }
    }
    let twice = seen.runs.iter().filter(|it| it.1.len() > 1);
    let twice = twice.inspect(|it| record.line(&format!("TWICE broken: {} ran at {:?}", it.0, it.1))).count();
    // A job of which two attempts ran: the work was done twice.
    let mut jobs: BTreeMap<&str, usize> = BTreeMap::new();
    for id in seen.runs.keys() {
        *jobs.entry(id.rsplit_once('-').map_or(id, |it| it.0)).or_default() += 1;
    }
    let doubled = jobs.values().filter(|it| **it > 1).count();
    let served = answers.iter().filter(|it| it.status == 200).count();
    let summary = format!(
        "summary: attempts {}, answered 200 {served}, rejections by the endpoint {}, second copies {}, runs {}, refused though run {refused}, run twice {twice}, jobs done twice {doubled}, nodes that ended {ended}",
        answers.len(),
        seen.rejected,
        seen.extra,
        seen.runs.values().map(Vec::len).sum::<usize>(),
    );
    record.line(&summary);
    println!("{summary}");
    if served == 0 || with_trouble && seen.extra == 0 {
        exit(2);
    }
    exit(i32::from(refused > 0 || twice > 0));
}
