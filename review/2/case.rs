//! Case 2: the store is silent while the machines of a new version of a service start. A node that does not know the fleet
//! yet then declares the roll-out completed.

#[path = "../lib/harness.rs"]
mod harness;

use std::{
    collections::BTreeMap,
    env, fs,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use harness::{Json, Machine, Record, Rng, Store, StoreState, config, heartbeat_of, read_message, route, service};

const ZONES: [&str; 2] = ["nasr-hall", "maadi-hall"];
/// Machines of the service that calls, and of each version of the service that is rolled out.
const CALLERS: usize = 3;
const OLD: usize = 8;
const NEW: usize = 8;
/// `rollout_bad`, how `errors`: share = 0.5 of its requests fail. The order gives 30 s.
const FAILING: f64 = 0.5;
const DURATION_MS: u64 = 30_000;
/// `platform_down`, how `silent`: for this time from just after the order, in ms.
const OUTAGE_MS: u64 = 8_000;
const OUTAGE_AFTER_MS: u64 = 300;
/// The machines of the new version start this time after the order, in ms.
const START_AFTER_MS: u64 = 400;
/// `canaryShare`, `canaryExtra` and `contact` of the site's sheet.
const CANARY_SHARE: f64 = 0.1;
const CANARY_EXTRA: f64 = 50.0;
const CONTACT_MS: u64 = 3_000;
const SLOTS: u16 = 9;
/// Clients at each machine of the caller, and the pause of one between two requests, in ms.
const CLIENTS: usize = 8;
const PAUSE_MS: (u64, u64) = (100, 180);

/// A request that reached an endpoint.
struct Arrival {
    id: String,
    at: u64,
    version: &'static str,
    failed: bool,
}

#[derive(Clone)]
struct Endpoint {
    id: String,
    version: &'static str,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    rng: Arc<Mutex<Rng>>,
}

impl Endpoint {
    /// Serves until it is stopped, which closes its port and all of its connections at once.
    fn run(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while !self.stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    self.streams.lock().unwrap().extend(stream.try_clone());
                    let endpoint = self.clone();
                    thread::spawn(move || endpoint.connection(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        for it in self.streams.lock().unwrap().drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.field("x-laburnumward-attempt-id").to_owned();
            let echo = format!("X-Laburnumward-Attempt-Id: {id}\r\n");
            let text = if request.field("x-laburnumward-expected-instance") != self.id {
                format!("HTTP/1.1 421 Misdirected Request\r\n{echo}Content-Length: 0\r\n\r\n")
            } else {
                let (failed, work) = {
                    let mut rng = self.rng.lock().unwrap();
                    (self.version == "v2" && rng.chance(FAILING), rng.between(10, 30))
                };
                let (at, version) = (self.record.now(), self.version);
                self.arrivals.lock().unwrap().push(Arrival { id: id.clone(), at, version, failed });
                self.record.line(&format!("endpoint {} ({version}) runs {id}", self.id));
                thread::sleep(Duration::from_millis(work));
                let status = if failed { "500 Internal Server Error" } else { "200 OK" };
                let body = format!("done {id}\n");
                format!(
                    "HTTP/1.1 {status}\r\n{echo}X-Laburnumward-Response-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

struct Sent {
    id: String,
    at: u64,
    status: u16,
}

fn client(name: String, caller: SocketAddr, record: Record, stop: Arc<AtomicBool>, seed: u64) -> Vec<Sent> {
    let mut rng = Rng(seed);
    let mut all = Vec::new();
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{name}-{n}");
        let request = format!(
            "GET /drafts/{n} HTTP/1.1\r\nHost: mesh.example\r\nX-Laburnumward-Attempt-Id: {id}\r\n\
             X-Laburnumward-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
        );
        let at = record.now();
        let answer = harness::exchange(caller, request.as_bytes(), Duration::from_millis(1_500));
        let status = answer.map_or(0, |it| it.status());
        record.line(&format!("client sent {id} at {at} and gets {status}"));
        all.push(Sent { id, at, status });
        thread::sleep(Duration::from_millis(rng.between(PAUSE_MS.0, PAUSE_MS.1)));
    }
    all
}

/// What all machines of a run share.
struct Fleet {
    store: Store,
    record: Record,
    root: PathBuf,
    folder: PathBuf,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    seed: u64,
}

impl Fleet {
    /// Starts a machine: its endpoint, which sends heartbeats until it is stopped, and its node.
    fn start(&self, n: usize, of: &'static str, version: &'static str) -> (Machine, Endpoint) {
        let zone = ZONES[n % ZONES.len()];
        let mut machine = Machine::new(n as u8 + 1, zone, of, self.store.address, &self.root, &self.folder);
        machine.start();
        let listener = TcpListener::bind((harness::loopback(n as u8 + 1), 8145)).expect("a port");
        let address = listener.local_addr().unwrap();
        let endpoint = Endpoint {
            id: format!("i-{n}"),
            version,
            record: self.record.clone(),
            arrivals: self.arrivals.clone(),
            stopped: Arc::default(),
            streams: Arc::default(),
            rng: Arc::new(Mutex::new(Rng(self.seed * 1_000 + n as u64))),
        };
        let served = endpoint.clone();
        thread::spawn(move || served.run(listener));
        let (heartbeats, beating) = (machine.heartbeats, endpoint.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                if beating.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let body = heartbeat_of(version, address, of, zone, SLOTS, "ready", sequence);
                harness::call_node(heartbeats, "heartbeat", &beating.id, &body);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        (machine, endpoint)
    }
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
            route("drafts", "safe", "desk", 1_500, 400, 1),
            route("records", "safe", "registry", 1_500, 400, 1),
            service("desk"),
            service("registry"),
        ]),
    );
    let fleet = Fleet {
        store: store.clone(),
        record: record.clone(),
        root,
        folder,
        arrivals: Arc::default(),
        seed,
    };
    let mut callers: Vec<Machine> = (0..CALLERS).map(|n| fleet.start(n, "registry", "v1").0).collect();
    let mut old: Vec<_> = (0..OLD).map(|n| fleet.start(CALLERS + n, "desk", "v1")).collect();
    let is_up = harness::wait_until(Duration::from_secs(10), || {
        callers.iter().chain(old.iter().map(|it| &it.0)).all(Machine::is_ready)
    });
    if !is_up {
        record.line("the nodes did not become ready");
        drop((callers, old));
        exit(2);
    }
    thread::sleep(Duration::from_secs(2));
    record.line("traffic begins");
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (n, machine) in callers.iter().enumerate() {
        for k in 0..CLIENTS {
            let (name, caller) = (format!("c{n}{k}"), machine.caller);
            let (record, stop) = (record.clone(), stop.clone());
            let seed = seed * 7_919 + (n * 10 + k) as u64;
            clients.push(thread::spawn(move || client(name, caller, record, stop, seed)));
        }
    }
    thread::sleep(Duration::from_secs(4));

    let order = format!("{{\"service\":\"desk\",\"target\":\"v2\",\"duration\":\"{DURATION_MS}ms\"}}");
    store.write_op("rollout/desk", &order);
    let ordered = record.now();
    record.line("the operator orders the roll-out of v2 of desk; the store has acknowledged it");
    let back = Arc::new(AtomicU64::new(ordered));
    if with_trouble {
        let (store, record, back) = (store.clone(), record.clone(), back.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(OUTAGE_AFTER_MS));
            store.set(StoreState::Silent);
            record.line("the store is silent");
            thread::sleep(Duration::from_millis(OUTAGE_MS));
            store.set(StoreState::Sound);
            back.store(record.now(), Ordering::SeqCst);
            record.line("the store answers again");
        });
    }
    thread::sleep(Duration::from_millis(START_AFTER_MS));
    record.line("the machines of v2 start");
    let mut new: Vec<_> = (0..NEW).map(|n| fleet.start(CALLERS + OLD + n, "desk", "v2")).collect();
    // The platform reads the status and does what follows from it.
    let mut state = String::new();
    while record.now() < ordered + DURATION_MS + 500 {
        let status = store.row("status", "rollout/desk").and_then(|it| Json::parse(&it));
        let now = status.map(|it| it.text("state")).unwrap_or_default();
        if now != state {
            record.line(&format!("status/rollout/desk: {now}, {} ms after the order", record.now() - ordered));
            if now == "completed" {
                record.line("the old endpoints stop at once, then their nodes get SIGTERM");
                old.iter().for_each(|it| it.1.stopped.store(true, Ordering::SeqCst));
                thread::sleep(Duration::from_millis(50));
                old.iter().for_each(|it| it.0.signal("TERM"));
            }
            state = now;
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = clients.into_iter().flat_map(|it| it.join().unwrap()).collect();
    let ended = callers.iter_mut().chain(new.iter_mut().map(|it| &mut it.0));
    let ended = ended.filter_map(|it| it.has_ended().then_some(())).count();
    drop((callers, old, new));

    // From machines in touch: the store was sound for `contact` before the request was sent.
    let in_touch = match with_trouble {
        true => back.load(Ordering::SeqCst) + CONTACT_MS,
        false => 0,
    };
    let sent_at: BTreeMap<&str, u64> = sent.iter().map(|it| (it.id.as_str(), it.at)).collect();
    let arrivals = fleet.arrivals.lock().unwrap();
    let due: Vec<&Arrival> = arrivals.iter().filter(|it| (ordered..=ordered + DURATION_MS).contains(&it.at)).collect();
    let to_new = due.iter().filter(|it| it.version == "v2" && sent_at.get(it.id.as_str()).is_some_and(|at| *at >= in_touch));
    let to_new = to_new.count();
    let limit = due.len() as f64 * CANARY_SHARE + CANARY_EXTRA;
    let bad = due.iter().filter(|it| it.failed).count();
    let failed = sent.iter().filter(|it| it.at >= ordered && it.status != 200).count();
    let summary = format!(
        "summary: status {state:?}; {} requests reached desk between the order and its deadline, {to_new} of them v2 from machines in touch, at most {limit:.0} are allowed; bad answers {bad}, requests not served {failed}, nodes that ended {ended}",
        due.len(),
    );
    record.line(&summary);
    println!("{summary}");
    if due.is_empty() {
        exit(2);
    }
    exit(i32::from(to_new as f64 > limit));
}
