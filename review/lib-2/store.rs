//! Stand-in for the platform's metadata store, sound and without disruption.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::host::free;
use crate::http::{Json, Message, Reader, base64, parameter};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in base64 and version of each row.
    rows: BTreeMap<Key, (String, u64)>,
    /// Version of the last change of each row that ever was.
    changed: BTreeMap<Key, u64>,
    version: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    net: String,
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// The store's address for one machine.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    /// Whether the machine's calls are answered with 503, which means that nothing was done.
    pub turns_away: Arc<AtomicBool>,
}

/// Time that the store takes for an answer.
const TAKES: Duration = Duration::from_millis(4);
/// How often an open feed looks whether its machine is turned away.
const STEP: Duration = Duration::from_millis(20);

impl Store {
    pub fn start(net: &str) -> Store {
        Store {
            net: net.to_owned(),
            state: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Opens a door for one machine: all doors lead to the same store, and each can turn its machine away by itself.
    pub fn door(&self) -> Door {
        let listener = TcpListener::bind(free(&format!("{}.250", self.net))).expect("the store's address");
        let door = Door {
            address: listener.local_addr().expect("an address"),
            turns_away: Arc::default(),
        };
        let (store, turns_away) = (self.clone(), door.turns_away.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, turns_away) = (store.clone(), turns_away.clone());
                std::thread::spawn(move || store.serve(stream, &turns_away));
            }
        });
        door
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.state.0.lock().expect("the store's lock");
        rows.version += 1;
        let version = rows.version;
        let key: Key = (table.to_owned(), String::new(), key.to_owned());
        rows.changed.insert(key.clone(), version);
        rows.rows.insert(key, (base64(value.as_bytes()), version));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, turns_away: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(call) = reader.message(false) {
            let before = turns_away.load(Ordering::SeqCst);
            let (status, body) = match before {
                true => (503, "{}".to_owned()),
                false => self.answer(&call, turns_away),
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, turns_away: &AtomicBool) -> (u16, String) {
        std::thread::sleep(TAKES);
        let path = call.second();
        let name = path.split('?').next().unwrap_or("");
        let text = |it: &str| parameter(path, it).unwrap_or_default();
        match name {
            "/-/rows-tx" => self.commit(&String::from_utf8_lossy(&call.body)),
            "/-/rows-get" => {
                let rows = self.state.0.lock().expect("the store's lock");
                let (table, part, from, to) = (text("table"), text("part"), text("from"), text("target"));
                let found = rows.rows.iter().filter(|(key, _)| {
                    key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
                });
                let found = found.map(|(key, it)| row(key, Some(it), it.1));
                (200, self.body(&rows, &found.collect::<Vec<_>>()))
            }
            "/-/rows-feed" => {
                let (table, after) = (text("table"), text("after").parse().unwrap_or(0_u64));
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut rows = self.state.0.lock().expect("the store's lock");
                loop {
                    let news = rows.changed.iter().filter(|(key, it)| key.0 == table && **it > after);
                    let mut news: Vec<(u64, String)> = news
                        .map(|(key, it)| (*it, row(key, rows.rows.get(key), *it)))
                        .collect();
                    news.sort();
                    let left = end.saturating_duration_since(Instant::now());
                    // A feed that is open when the machine is turned away ends.
                    if turns_away.load(Ordering::SeqCst) {
                        return (503, "{}".to_owned());
                    }
                    if !news.is_empty() || left.is_zero() {
                        let news: Vec<String> = news.into_iter().map(|it| it.1).collect();
                        return (200, self.body(&rows, &news));
                    }
                    rows = self.state.1.wait_timeout(rows, left.min(STEP)).expect("the store's lock").0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key_of = |it: &Json| -> Key {
            let text = |name: &str| it.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.state.0.lock().expect("the store's lock");
        let expected = body.get("expected").list();
        let holds = |it: &Json| {
            let version = rows.rows.get(&key_of(it)).map_or(0, |it| it.1);
            version == it.get("ver").number()
        };
        if !expected.iter().all(holds) {
            let present = expected.iter().filter_map(|it| {
                let key = key_of(it);
                rows.rows.get(&key).map(|it| row(&key, Some(it), it.1))
            });
            return (412, self.body(&rows, &present.collect::<Vec<_>>()));
        }
        let touched = body.get("puts").list().iter().chain(body.get("remove").list());
        if touched.clone().any(|it| ["op", "servers"].contains(&it.get("table").text())) {
            return (403, "{}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for it in touched {
            rows.changed.insert(key_of(it), version);
        }
        for it in body.get("puts").list() {
            let value = it.get("value").text().to_owned();
            rows.rows.insert(key_of(it), (value, version));
        }
        for it in body.get("remove").list() {
            rows.rows.remove(&key_of(it));
        }
        self.state.1.notify_all();
        (200, self.body(&rows, &[]))
    }

    fn body(&self, rows: &Rows, found: &[String]) -> String {
        format!(
            r#"{{"rows":[{}],"hasMore":false,"ver":{},"now":"{}ms"}}"#,
            found.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        )
    }
}

fn row(key: &Key, value: Option<&(String, u64)>, version: u64) -> String {
    let (table, part, name) = key;
    match value {
        Some((value, _)) => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{name}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{name}","ver":{version},"deleted":true}}"#
        ),
    }
}
