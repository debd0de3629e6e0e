//! A host: the sidecar as a process of its own, its endpoint, and what the platform asks of it.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Reader, ask},
    record::Record,
    store::Door,
};

/// Name of a host and where it is.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    /// Version of the endpoint's software.
    pub version: &'static str,
}

pub struct Host {
    pub place: Place,
    pub outbound: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    /// Address by which the nodes know each other.
    pub internal: SocketAddr,
    words: Vec<String>,
    variables: Vec<(String, String)>,
    child: Mutex<Option<Child>>,
    log: std::path::PathBuf,
    /// Misses in a row of the platform's question.
    misses: AtomicUsize,
    pub endpoint: Arc<Endpoint>,
    pub store: Door,
    /// Sequence number of the endpoint's last heartbeat.
    pub sequence: AtomicU64,
    /// Set when the endpoint sends no more heartbeats by itself.
    pub is_quiet: AtomicBool,
    record: Record,
}

/// The endpoint beside a node: `slots` requests at once, a short queue, work by the field `x-work-ms`.
pub struct Endpoint {
    pub id: String,
    address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    slots: usize,
    /// Set when its machine is lost: it takes no more connections and answers nothing.
    pub is_lost: AtomicBool,
    running: Mutex<usize>,
    freed: Condvar,
    record: Record,
}

pub const SLOTS: usize = 12;
const QUEUE: usize = 48;
const BEAT: Duration = Duration::from_millis(870);

/// Returns a free port of `ip` below those that the system hands out by itself.
pub fn free(ip: &str) -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(20_000);
    loop {
        let port = NEXT.fetch_add(1, Ordering::SeqCst) as u16;
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// The command and the variables of the deploy file, with what the platform fills in.
fn deploy(fields: &[(&str, String)]) -> (Vec<String>, Vec<(String, String)>) {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let fill = |text: &str| {
        let mut text = text.to_owned();
        for (name, value) in fields {
            let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
            if let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) {
                let inside = text[from + open.len()..to].to_owned();
                let kept = if value.is_empty() || value == "false" { String::new() } else { inside };
                text.replace_range(from..to + close.len(), &kept);
            }
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        assert!(!text.contains("{{"), "not filled in: {text}");
        text
    };
    let quoted = |line: &str| line.split_once('"').map(|it| it.1.trim_end().trim_end_matches('"').to_owned());
    let line = text.lines().find(|it| it.starts_with("run = ")).and_then(quoted);
    let words = fill(&line.expect("the command")).split(' ').map(str::to_owned).collect();
    let table = text.lines().skip_while(|it| !it.starts_with("[roles.node.env]")).skip(1);
    let table = table.take_while(|it| !it.starts_with('['));
    let variables = table.filter_map(|it| {
        let (name, _) = it.split_once(" = ")?;
        Some((name.trim().to_owned(), fill(&quoted(it)?)))
    });
    (words, variables.collect())
}

impl Host {
    pub fn new(
        place: Place,
        internal: SocketAddr,
        store: Door,
        bounds: &[(&str, &str)],
        folder: &std::path::Path,
        record: &Record,
    ) -> Arc<Host> {
        let ip = &internal.ip().to_string();
        let at = || free(ip);
        let (outbound, inbound, ready, control) = (at(), at(), at(), at());
        let mut fields = vec![
            ("zone", place.zone.to_owned()),
            ("region", "pnw".to_owned()),
            ("listen.outbound", outbound.to_string()),
            ("listen.inbound", inbound.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("ip", ip.to_owned()),
            ("internalPorts.0", internal.port().to_string()),
            ("platform.address", store.address.to_string()),
            ("service", place.service.to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
        ];
        fields.extend(bounds.iter().map(|it| (it.0, it.1.to_owned())));
        let (words, mut variables) = deploy(&fields);
        // Several hosts share this machine: each needs a port of its own for operators, which the deploy file leaves out.
        variables.push(("LABURNUM_ADMIN".to_owned(), at().to_string()));
        let endpoint = Endpoint::start(&place, ip, record);
        let host = Arc::new(Host {
            log: folder.join(format!("{}.log", place.name)),
            place,
            outbound,
            ready,
            control,
            internal,
            words,
            variables,
            child: Mutex::new(None),
            misses: AtomicUsize::new(2),
            endpoint,
            store,
            sequence: AtomicU64::new(0),
            is_quiet: AtomicBool::new(false),
            record: record.clone(),
        });
        host.launch();
        let beating = host.clone();
        std::thread::spawn(move || beating.beat());
        let asking = host.clone();
        std::thread::spawn(move || asking.question());
        host
    }

    pub fn launch(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.words[0])
            .args(&self.words[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .envs(self.variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the sidecar starts");
        self.record.add("started", "", self.place.name, "");
        *self.child.lock().expect("a lock") = Some(child);
    }

    pub fn signal(&self, signal: &str) {
        let child = self.child.lock().expect("a lock");
        if let Some(child) = child.as_ref() {
            self.record.add("signal", "", self.place.name, signal);
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Waits up to `grace` for the end of the process, kills it then, and starts it again.
    pub fn end_and_restart(&self, grace: Duration) {
        let started = Instant::now();
        loop {
            let mut child = self.child.lock().expect("a lock");
            let Some(running) = child.as_mut() else { return };
            if let Ok(Some(_)) = running.try_wait() {
                self.record.add("exited", "", self.place.name, "by itself");
                *child = None;
                break;
            }
            if started.elapsed() >= grace {
                let _ = running.kill();
                let _ = running.wait();
                self.record.add("exited", "", self.place.name, "SIGKILL after grace");
                *child = None;
                break;
            }
            drop(child);
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(Duration::from_millis(500));
        self.launch();
    }

    pub fn stop(&self) {
        if let Some(mut child) = self.child.lock().expect("a lock").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the node answered 200 to one of the platform's last two questions.
    pub fn is_in(&self) -> bool {
        self.misses.load(Ordering::SeqCst) < 2
    }

    fn question(&self) {
        loop {
            let request = format!("GET /-/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
            let started = Instant::now();
            let answer = ask(self.ready, &request, Duration::from_secs(1));
            let before = self.is_in();
            match answer {
                Ok(it) if it.status() == 200 => self.misses.store(0, Ordering::SeqCst),
                _ => {
                    self.misses.fetch_add(1, Ordering::SeqCst);
                }
            }
            if self.is_in() != before {
                let now = if before { "out" } else { "in" };
                self.record.add("platform", "", self.place.name, now);
            }
            std::thread::sleep(Duration::from_secs(1).saturating_sub(started.elapsed()));
        }
    }

    fn beat(&self) {
        while !self.is_quiet.load(Ordering::SeqCst) {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let _ = self.call("heartbeat", &self.heartbeat(sequence));
            std::thread::sleep(BEAT);
        }
    }

    /// The body of a heartbeat in the state `ready`.
    pub fn heartbeat(&self, sequence: u64) -> String {
        let it = &self.endpoint;
        format!(
            r#"{{"address":"{}","info":{{"service":"{}","version":"{}","zone":"{}","slots":{}}},"status":{{"state":"ready","sequence":{sequence},"warmupLeft":"0ms"}}}}"#,
            it.address, it.service, self.place.version, it.zone, it.slots
        )
    }

    /// Sends a call of the endpoint to its node; returns the status of the answer, zero without one.
    pub fn call(&self, call: &str, body: &str) -> u16 {
        let request = format!(
            "POST /-/rpc?call=endpoints.{call}&of={} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.endpoint.id,
            self.control,
            body.len()
        );
        ask(self.control, &request, Duration::from_secs(1)).map_or(0, |it| it.status())
    }
}

impl Endpoint {
    fn start(place: &Place, ip: &str, record: &Record) -> Arc<Endpoint> {
        let listener = TcpListener::bind(free(ip)).expect("the endpoint's address");
        let endpoint = Arc::new(Endpoint {
            id: format!("i-{}-{:08x}", place.name, std::process::id()),
            address: listener.local_addr().expect("an address"),
            service: place.service,
            zone: place.zone,
            slots: SLOTS,
            is_lost: AtomicBool::new(false),
            running: Mutex::new(0),
            freed: Condvar::new(),
            record: record.clone(),
        });
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_lost.load(Ordering::SeqCst) {
                    return;
                }
                let endpoint = serving.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        loop {
            let _ = reader.stream.set_read_timeout(Some(Duration::from_secs(10)));
            let Ok(request) = reader.message(false) else { return };
            let Some(answer) = self.handle(&request, &reader.stream) else { return };
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Handles one request; `None` if its connection was closed meanwhile.
    fn handle(&self, request: &Message, stream: &TcpStream) -> Option<String> {
        let id = request.field("x-laburnumward-attempt-id").unwrap_or("").to_owned();
        let arrived = Instant::now();
        if request.field("x-laburnumward-expected-instance").is_some_and(|it| it != self.id) {
            return Some(answer(421, &id, &format!("X-Laburnumward-Instance-Id: {}\r\n", self.id), ""));
        }
        let left = request.number("x-laburnumward-deadline-ms").unwrap_or(10_000);
        let end = arrived + Duration::from_millis(left);
        self.record.add("arrives", &id, &self.id, &format!("deadline {left} ms"));
        let not_run = || Some(answer(503, &id, "X-Laburnumward-Not-Executed: 1\r\n", ""));
        let mut running = self.running.lock().expect("a lock");
        if *running >= self.slots + QUEUE {
            return not_run();
        }
        while *running >= self.slots {
            let wait = end.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return not_run();
            }
            running = self.freed.wait_timeout(running, wait).expect("a lock").0;
        }
        *running += 1;
        drop(running);
        self.record.add("runs", &id, &self.id, "");
        let work = request.number("x-work-ms").unwrap_or(20);
        let result = self.work(&id, stream, end, Duration::from_millis(work));
        *self.running.lock().expect("a lock") -= 1;
        self.freed.notify_one();
        result
    }

    /// Works; drops the request when its connection closes.
    fn work(&self, id: &str, stream: &TcpStream, end: Instant, work: Duration) -> Option<String> {
        let done = Instant::now() + work;
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        loop {
            let mut byte = [0];
            if matches!(stream.peek(&mut byte), Ok(0))
                || matches!(stream.peek(&mut byte), Err(it) if it.kind() == std::io::ErrorKind::ConnectionReset)
            {
                self.record.add("dropped", id, &self.id, "its connection was closed while it ran");
                return None;
            }
            let now = Instant::now();
            let signature = format!("X-Laburnumward-Response-Signature: {}.{id}\r\n", self.id);
            if now >= done {
                self.record.add("answered", id, &self.id, "200");
                return Some(answer(200, id, &signature, "done"));
            }
            if now >= end {
                self.record.add("answered", id, &self.id, "504");
                return Some(answer(504, id, &signature, ""));
            }
        }
    }
}

fn answer(status: u16, id: &str, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nX-Laburnumward-Attempt-Id: {id}\r\n{fields}Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends requests of one kind; each has an id of its own.
pub struct Numbers(AtomicU64);

impl Numbers {
    pub const fn new() -> Numbers {
        Numbers(AtomicU64::new(1))
    }

    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::SeqCst)
    }
}
