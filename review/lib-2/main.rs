//! Plays one case: `case-2 NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! With `TROUBLE=0` the disruption is left out.

mod host;
mod http;
mod pipeline;
mod record;
mod replace;
mod store;
mod term;
mod upload;

use std::{
    io::{self, Write},
    net::TcpStream,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use host::{Host, Numbers, Place};
use http::Reader;
use record::Record;
use store::Store;

/// What the settings of the small sites say.
pub const BOUNDS: [(&str, &str); 9] = [
    ("bounds.grace", "6s"),
    ("bounds.strictRevoke", ""),
    ("bounds.revoke", ""),
    ("bounds.quotaWindow", ""),
    ("bounds.quotaOverage", ""),
    ("bounds.quotaExtra", ""),
    ("bounds.budgetRatio", "0.2"),
    ("bounds.budgetWindow", "10s"),
    ("bounds.budgetExtra", "64"),
];
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub method: &'static str,
    pub path: &'static str,
    pub host: &'static str,
    pub deadline: u64,
}

pub const PROFILE_READ: Kind = Kind {
    name: "profile-read",
    method: "GET",
    path: "/gono990/2f",
    host: "wuny96.example",
    deadline: 1_000,
};
pub const HISTORY_READ: Kind = Kind {
    name: "history-read",
    method: "GET",
    path: "/lohu930/2f",
    host: "wuny96.example",
    deadline: 3_000,
};

/// The configuration; further routes come in place of `ROUTES`.
const CONFIG: &str = r#"{"version":VERSION,"baseVersion":5,"resources":[
{"type":"routes","metadata":{"name":"r-profile"},"spec":{"host":"wuny96.example","prefix":"/gono990/","kind":"safe","timeout":"1000ms","latencyGoal":"400ms","priority":2,"service":"dele69a","attempts":2}},
{"type":"routes","metadata":{"name":"r-history"},"spec":{"host":"wuny96.example","prefix":"/lohu930/","kind":"safe","timeout":"3000ms","latencyGoal":"1200ms","priority":2,"service":"xano55b","attempts":2}},
ROUTES{"type":"services","metadata":{"name":"dele69a"},"spec":{"healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false}},
{"type":"services","metadata":{"name":"xano55b"},"spec":{"healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false}},
{"type":"limits","metadata":{},"spec":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}"#;

/// A small deployment: its hosts and its store.
pub struct Fleet {
    pub hosts: Vec<Arc<Host>>,
    pub record: Record,
    pub trouble: bool,
    /// First three numbers of the hosts' addresses.
    pub net: String,
    pub store: Store,
    pub logs: PathBuf,
    numbers: Numbers,
}

impl Fleet {
    fn start(places: &[Place], logs: PathBuf) -> Fleet {
        let process = std::process::id();
        let net = format!("127.{}.{}", 64 + process / 200 % 100, 1 + process % 200);
        let store = Store::start(&net);
        let mut fleet = Fleet {
            hosts: Vec::new(),
            record: Record::new(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            net,
            store,
            logs,
            numbers: Numbers::new(),
        };
        fleet.configure(7, "");
        for (number, place) in places.iter().enumerate() {
            let internal = host::free(&fleet.address(number));
            let host = fleet.launch(place, internal);
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Writes a version of the configuration, with these routes besides the first ones.
    pub fn configure(&self, version: u64, routes: &str) {
        let text = CONFIG.replace("VERSION", &version.to_string()).replace("ROUTES", routes);
        self.store.put("op", "config", &text);
        self.record.add("config", "", "operator", &format!("version {version} acknowledged"));
    }

    /// The address of the host `number`.
    pub fn address(&self, number: usize) -> String {
        format!("{}.{}", self.net, number + 1)
    }

    /// Starts a host that the nodes know by `internal`.
    pub fn launch(&self, place: &Place, internal: std::net::SocketAddr) -> Arc<Host> {
        Host::new(place.clone(), internal, self.store.door(), &BOUNDS, &self.logs, &self.record)
    }

    pub fn host(&self, name: &str) -> Arc<Host> {
        let found = self.hosts.iter().find(|it| it.place.name == name);
        found.expect("a host of the case").clone()
    }

    /// Whether the clients of a host receive work: its node is in, or fewer than half of its zone's nodes are.
    pub fn has_clients(&self, host: &Host) -> bool {
        let zone: Vec<&Arc<Host>> = self.hosts.iter().filter(|it| it.place.zone == host.place.zone).collect();
        let within = zone.iter().filter(|it| it.is_in()).count();
        host.is_in() || within * 2 < zone.len()
    }

    pub fn id(&self, kind: Kind) -> String {
        format!("{}-{}", &kind.name[..4], self.numbers.next())
    }

    /// The text of a request whose endpoint works for `work` ms.
    pub fn request(&self, kind: Kind, id: &str, work: u64) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Laburnumward-Attempt-Id: {id}\r\nX-Laburnumward-Deadline-Ms: {}\r\nX-Work-Ms: {work}\r\n\r\n",
            kind.method,
            kind.path,
            kind.host,
            kind.deadline
        )
    }

    /// Sends one request on a new connection and waits for its answer until its deadline; returns the status.
    pub fn send(&self, host: &Host, kind: Kind, work: u64) -> u16 {
        let id = self.id(kind);
        let name = host.place.name;
        let connected = TcpStream::connect_timeout(&host.outbound, Duration::from_secs(1));
        let Ok(mut stream) = connected else {
            self.record.add("noconn", &id, name, kind.name);
            return 0;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(kind.deadline)));
        self.record.add("sent", &id, name, &format!("{} deadline {} ms, work {work} ms", kind.name, kind.deadline));
        if stream.write_all(self.request(kind, &id, work).as_bytes()).is_err() {
            self.record.add("cut", &id, name, "while it was sent");
            return 0;
        }
        self.await_answer(&mut Reader::new(stream), &id, name)
    }

    pub fn await_answer(&self, reader: &mut Reader, id: &str, name: &str) -> u16 {
        match reader.message(true) {
            Ok(it) => {
                let signed = it.field("x-laburnumward-response-signature");
                let whose = if signed.is_some() { "the endpoint's" } else { "the node's own" };
                let body = String::from_utf8_lossy(&it.body).trim().to_owned();
                self.record.add("got", id, name, &format!("{} {whose} {body}", it.status()));
                it.status()
            }
            Err(it) if matches!(it.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                self.record.add("deadline", id, name, "");
                0
            }
            Err(it) => {
                self.record.add("cut", id, name, &it.to_string());
                0
            }
        }
    }

    /// Waits until each host serves both services, and then for a calm time.
    fn settle(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        for host in &self.hosts {
            while !(host.is_in()
                && self.send(host, PROFILE_READ, 20) == 200
                && self.send(host, HISTORY_READ, 20) == 200)
            {
                if Instant::now() > end {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }
        std::thread::sleep(CONTACT + Duration::from_secs(1));
        true
    }
}

/// Result of a case: what broke the rule, a line each; and what must have happened for the case to count.
pub struct Verdict {
    pub broken: Vec<String>,
    pub notes: Vec<String>,
    pub could_run: bool,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: case-2 NAME FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let logs = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&logs).is_err() {
        std::process::exit(2);
    }
    let places = match name.as_str() {
        "term" => term::PLACES,
        "pipeline" => pipeline::PLACES,
        "upload" => upload::PLACES,
        "replace" => replace::PLACES,
        _ => std::process::exit(2),
    };
    let fleet = Arc::new(Fleet::start(places, logs.clone()));
    let verdict = match fleet.settle() {
        false => Verdict {
            broken: Vec::new(),
            notes: vec!["the fleet did not serve".to_owned()],
            could_run: false,
        },
        true => match name.as_str() {
            "term" => term::play(&fleet),
            "upload" => upload::play(&fleet),
            "replace" => replace::play(&fleet),
            _ => pipeline::play(&fleet),
        },
    };
    fleet.hosts.iter().for_each(|it| it.stop());
    let keep = std::env::var_os("KEEP_LOGS").is_some();
    if !keep {
        let _ = std::fs::remove_dir_all(&logs);
    }
    let mut text = fleet.record.text();
    for it in verdict.notes.iter().chain(&verdict.broken) {
        text.push_str(it);
        text.push('\n');
        println!("{it}");
    }
    let code = match (verdict.could_run, verdict.broken.is_empty()) {
        (_, false) => 1,
        (true, true) => 0,
        (false, true) => 2,
    };
    let word = ["held", "broken", "could not run"][code as usize];
    text.push_str(&format!("the rule: {word}\n"));
    println!("the rule: {word}");
    if std::fs::write(folder.join("record.txt"), text).is_err() {
        std::process::exit(2);
    }
    std::process::exit(code);
}
