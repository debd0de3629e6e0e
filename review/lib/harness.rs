//! Parts of the review's scripts: a JSON reader, a small HTTP/1.1, a stand-in of the platform's store, and the product's
//! processes. Uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------- random numbers

/// SplitMix64: the same seed gives the same choices.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= share
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}

// ---------------------------------------------------------------- record.txt

/// The record of a run: one line an event, with the time since the start in ms.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn now(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{now:>7} {text}");
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(pairs) => pairs.iter().find(|it| it.0 == key).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(it)) => it.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Number(it)) => *it as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|it| it.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut pairs = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(pairs));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1;
                        pairs.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *at += 4;
                        out.extend(char::from_u32(code)?.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            other => {
                out.push(*other);
                *at += 1;
            }
        }
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for it in text.chars() {
        match it {
            '"' | '\\' => {
                out.push('\\');
                out.push(it);
            }
            '\n' => out.push_str("\\n"),
            _ => out.push(it),
        }
    }
    out.push('"');
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for n in 0..4 {
            match n <= chunk.len() {
                true => out.push(SIGNS[(word >> (18 - 6 * n)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP/1.1

/// A request or an answer, read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|it| it.0 == name);
        found.map_or("", |it| it.1.as_str())
    }

    /// Status of an answer; zero if it is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if !read_head(reader, &mut message)? {
        return Ok(None);
    }
    if message.field("transfer-encoding").to_lowercase().contains("chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::other("bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend(&chunk[..size]);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads the first line and the header fields; returns false at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R, message: &mut Message) -> io::Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(false);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::other("header cut"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(true);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Sends one request on a connection of its own and reads the answer, within `limit`.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::Error::other("closed without an answer"))
}

/// Serves `handle` for each connection of `listener`, one thread a connection.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream);
            });
        }
    });
}

/// Returns loopback address `n` of this run. Each run has addresses of its own, and each machine one of these.
pub fn loopback(n: u8) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(127, 16 + (run / 250 % 200) as u8, 1 + (run % 250) as u8, n)
}

// ---------------------------------------------------------------- the platform's store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    history: BTreeMap<u64, Vec<Key>>,
    version: u64,
}

/// What the store does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    Sound,
    /// No answer to any call, and no effect.
    Silent,
}

/// A sound store of rows, as the pages describe it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Rows>, Condvar, Mutex<StoreState>)>,
    pub address: SocketAddr,
}

fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut word = 0u32;
    let mut bits = 0;
    for it in text.bytes() {
        let value = match it {
            b'A'..=b'Z' => it - b'A',
            b'a'..=b'z' => it - b'a' + 26,
            b'0'..=b'9' => it - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        word = (word << 6) | u32::from(value);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = match bytes[at] {
            b'%' => text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok()),
            _ => None,
        };
        match code {
            Some(it) => {
                out.push(it);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn query_of(target: &str) -> BTreeMap<String, String> {
    let query = target.split_once('?').map_or("", |it| it.1);
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect()
}

impl Rows {
    fn put(&mut self, key: Key, value: Option<Vec<u8>>) {
        let version = self.version;
        match value {
            Some(it) => {
                self.rows.insert(key.clone(), (it, version));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.entry(version).or_default().push(key);
    }

    fn json(&self, key: &Key) -> String {
        let (table, part, name) = key;
        let names = format!("\"table\":{},\"part\":{},\"key\":{}", quote(table), quote(part), quote(name));
        match self.rows.get(key) {
            Some((value, ver)) => {
                format!("{{{names},\"value\":\"{}\",\"ver\":{ver}}}", base64(value))
            }
            None => format!("{{{names},\"value\":\"\",\"ver\":{},\"deleted\":true}}", self.version),
        }
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind((loopback(250), 0)).expect("a port");
        let store = Store {
            address: listener.local_addr().unwrap(),
            shared: Arc::new((
                Mutex::new(Rows::default()),
                Condvar::new(),
                Mutex::new(StoreState::Sound),
            )),
        };
        let served = store.clone();
        serve(listener, move |stream| served.connection(stream));
        store
    }

    pub fn set(&self, state: StoreState) {
        *self.shared.2.lock().unwrap() = state;
    }

    /// Writes the operator's row `op/KEY`.
    pub fn write_op(&self, key: &str, value: &str) {
        let mut rows = self.shared.0.lock().unwrap();
        rows.version += 1;
        let key = ("op".to_owned(), String::new(), key.to_owned());
        rows.put(key, Some(value.as_bytes().to_vec()));
        self.shared.1.notify_all();
    }

    /// Returns the value of a row, if there is one.
    pub fn row(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.shared.0.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.get(&key).map(|it| String::from_utf8_lossy(&it.0).into_owned())
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if *self.shared.2.lock().unwrap() == StoreState::Silent {
                // It reads nothing further on this connection.
                thread::sleep(Duration::from_secs(120));
                return;
            }
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let path = target.split('?').next().unwrap_or("");
        match path {
            "/-/rows-tx" => {
                thread::sleep(Duration::from_millis(5));
                self.commit(&Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null))
            }
            "/-/rows-get" => self.read(&query_of(&target)),
            "/-/rows-feed" => self.feed(&query_of(&target)),
            _ => (404, String::new()),
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let key = |it: &Json| (it.text("table"), it.text("part"), it.text("key"));
        let mut rows = self.shared.0.lock().unwrap();
        let failed: Vec<Key> = body
            .list("expected")
            .iter()
            .filter(|it| rows.rows.get(&key(it)).map_or(0, |row| row.1) != it.number("ver"))
            .map(key)
            .collect();
        if !failed.is_empty() {
            let present = failed.iter().filter(|it| rows.rows.contains_key(*it));
            let present: Vec<String> = present.map(|it| rows.json(it)).collect();
            let version = rows.version;
            let text = format!("{{\"rows\":[{}],\"ver\":{version},\"now\":\"1ms\"}}", present.join(","));
            return (412, text);
        }
        rows.version += 1;
        for it in body.list("puts") {
            rows.put(key(&it), Some(decode64(&it.text("value"))));
        }
        for it in body.list("remove") {
            rows.put(key(&it), None);
        }
        let version = rows.version;
        self.shared.1.notify_all();
        (200, format!("{{\"ver\":{version},\"now\":\"1ms\"}}"))
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("target"));
        let rows = self.shared.0.lock().unwrap();
        let found = rows.rows.keys().filter(|(t, p, k)| {
            *t == table && *p == part && *k >= from && (to.is_empty() || *k < to)
        });
        let found: Vec<String> = found.map(|it| rows.json(it)).collect();
        let more = found.len() > 500;
        let shown: Vec<String> = found.into_iter().take(500).collect();
        let version = rows.version;
        let rows = shown.join(",");
        (200, format!("{{\"rows\":[{rows}],\"hasMore\":{more},\"ver\":{version},\"now\":\"1ms\"}}"))
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|it| it.parse().ok()).unwrap_or(0u64);
        let table = query.get("table").cloned().unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let end = Instant::now() + wait;
        let mut rows = self.shared.0.lock().unwrap();
        loop {
            let mut keys: Vec<&Key> = rows.history.range(after + 1..).flat_map(|it| it.1).collect();
            keys.retain(|it| it.0 == table);
            let left = end.saturating_duration_since(Instant::now());
            if !keys.is_empty() || left.is_zero() {
                let found: Vec<String> = keys.into_iter().map(|it| rows.json(it)).collect();
                let version = rows.version;
                let found = found.join(",");
                return (200, format!("{{\"rows\":[{found}],\"ver\":{version},\"now\":\"1ms\"}}"));
            }
            rows = self.shared.1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- configuration

pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, goal_ms: u64, priority: u8) -> String {
    format!(
        "{{\"type\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\"spec\":{{\"host\":\"mesh.example\",\
         \"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\"latencyGoal\":\"{goal_ms}ms\",\
         \"priority\":{priority},\"service\":\"{service}\",\"attempts\":2}}}}"
    )
}

pub fn service(name: &str) -> String {
    format!(
        "{{\"type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"healthPath\":\"/healthz\",\
         \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}}}"
    )
}

pub fn config(version: u64, resources: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"baseVersion\":{},\"resources\":[{},{{\"type\":\"limits\",\"metadata\":{{}},\
         \"spec\":{{\"headerBytes\":16384,\"bodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}]}}",
        version - 1,
        resources.join(",")
    )
}

// ---------------------------------------------------------------- the product's processes

/// One machine: the addresses of its sidecar, and the process.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub caller: SocketAddr,
    pub traffic: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub heartbeats: SocketAddr,
    store: SocketAddr,
    root: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Placeholders of the deploy file with values of this case, before the usual ones.
    pub bounds: Vec<(&'static str, &'static str)>,
}

impl Machine {
    /// `n` is its number, from 1; `root` is the repository, `folder` a temporary folder for the logs.
    pub fn new(n: u8, zone: &str, service: &str, store: SocketAddr, root: &Path, folder: &Path) -> Machine {
        let at = |port: u16| SocketAddr::new(IpAddr::V4(loopback(n)), port);
        let name = format!("node-{n}");
        Machine {
            log: folder.join(format!("{name}.log")),
            name,
            zone: zone.to_owned(),
            service: service.to_owned(),
            caller: at(8147),
            traffic: at(8146),
            control: at(7380),
            ready: at(8141),
            metrics: at(9464),
            heartbeats: at(8144),
            store,
            root: root.to_owned(),
            child: None,
            bounds: Vec::new(),
        }
    }

    /// Fills the placeholders of the deploy file's text.
    fn fill(&self, text: &str) -> String {
        let ip = self.control.ip().to_string();
        let pairs = [
            ("{{zone}}", self.zone.clone()),
            ("{{region}}", "cairo".to_owned()),
            ("{{listen.outbound}}", self.caller.to_string()),
            ("{{listen.inbound}}", self.traffic.to_string()),
            ("{{ip}}", ip),
            ("{{internalPorts.0}}", self.control.port().to_string()),
            ("{{listen.ready}}", self.ready.to_string()),
            ("{{listen.control}}", self.heartbeats.to_string()),
            ("{{platform.address}}", self.store.to_string()),
            ("{{service}}", self.service.clone()),
            ("{{limits.linkMbps}}", "1000.0".to_owned()),
            ("{{bounds.grace}}", "6s".to_owned()),
            ("{{#bounds.strictRevoke}}{{bounds.revoke}}{{/bounds.strictRevoke}}", String::new()),
            ("{{bounds.quotaWindow}}", String::new()),
            ("{{bounds.quotaOverage}}", String::new()),
            ("{{bounds.quotaExtra}}", String::new()),
            ("{{bounds.budgetRatio}}", "0.2".to_owned()),
            ("{{bounds.budgetWindow}}", "10s".to_owned()),
            ("{{bounds.budgetExtra}}", "56".to_owned()),
        ];
        let text = self.bounds.iter().fold(text.to_owned(), |it, (from, to)| it.replace(from, to));
        pairs.iter().fold(text, |it, (from, to)| it.replace(from, to))
    }

    /// Starts the process with the words of `run` and the variables of `env` in the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml")).expect("the deploy file");
        let value = |line: &str| line.split_once('=').map(|it| it.1.trim().trim_matches('"').to_owned());
        let run = deploy.lines().find(|it| it.starts_with("run ="));
        let run = run.and_then(value).expect("a line `run`");
        let words: Vec<String> = run.split(' ').map(|it| self.fill(it)).collect();
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(self.root.join(&words[0]));
        command
            .args(&words[1..])
            // The deploy file leaves this at its default on 127.0.0.1, where several processes would collide.
            .args(["--admin", &format!("{}:9180", self.control.ip())])
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        for line in deploy.lines().filter(|it| it.starts_with("LABURNUM_")) {
            let name = line.split('=').next().unwrap_or("").trim();
            command.env(name, self.fill(&value(line).unwrap_or_default()));
        }
        self.child = Some(command.spawn().expect("the sidecar starts"));
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name, such as TERM, STOP or CONT.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request, Duration::from_secs(1)).is_ok_and(|it| it.status() == 200)
    }

    /// Sends a call of the endpoint to its node; returns whether it was acknowledged.
    pub fn call(&self, call: &str, instance: &str, body: &str) -> bool {
        call_node(self.heartbeats, call, instance, body)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a call of an endpoint; returns whether it was acknowledged within a second.
pub fn call_node(heartbeats: SocketAddr, call: &str, instance: &str, body: &str) -> bool {
    let request = format!(
        "POST /-/rpc?call=endpoints.{call}&of={instance} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(heartbeats, request.as_bytes(), Duration::from_secs(1));
    answer.is_ok_and(|it| (200..300).contains(&it.status()))
}

/// Body of a heartbeat.
pub fn heartbeat(address: SocketAddr, service: &str, zone: &str, slots: u16, state: &str, sequence: u64) -> String {
    heartbeat_of("v1", address, service, zone, slots, state, sequence)
}

/// Body of a heartbeat of an endpoint whose software is of `version`.
pub fn heartbeat_of(
    version: &str,
    address: SocketAddr,
    service: &str,
    zone: &str,
    slots: u16,
    state: &str,
    sequence: u64,
) -> String {
    format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"{version}\",\"zone\":\"{zone}\",\
         \"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"warmupLeft\":\"0ms\"}}}}"
    )
}

/// Waits until `is_done`, at most `limit`; returns whether it came.
pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
