//! LOST: machines are stopped in turn, and one of them breaks off requests that it took late.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::{Duration, Instant},
};

use crate::{Fleet, HISTORY_READ, PROFILE_READ, Verdict, host::Place};

const fn place(name: &'static str, zone: &'static str, service: &'static str) -> Place {
    Place { name, zone, service, version: "v1" }
}

/// As in the zones pnw-c and pnw-d of the site earworks-pnw.
pub const PLACES: &[Place] = &[
    place("pnw-c-1", "pnw-c", "dele69a"),
    place("pnw-c-2", "pnw-c", "dele69a"),
    place("pnw-c-3", "pnw-c", "xano55b"),
    place("pnw-d-1", "pnw-d", "dele69a"),
    place("pnw-d-2", "pnw-d", "xano55b"),
];
/// Time between two machines that are stopped.
const GAP: Duration = Duration::from_millis(1_000);
const GRACE: u64 = 6_000;
/// Work of the history reads; the site's go up to 2,900 ms.
const LONG: u64 = 2_800;
const LATE: u64 = 2_400;
/// Time after a SIGTERM up to which a request may still be at work in the last sixth of the grace.
const SENT_EARLY: u64 = 3_000;
/// Slack for the clocks of the record.
const SLACK: u64 = 50;

pub fn play(fleet: &Arc<Fleet>) -> Verdict {
    let over = Arc::new(AtomicBool::new(false));
    let mut load: Vec<JoinHandle<()>> = Vec::new();
    for host in &fleet.hosts {
        let (fleet, host, over) = (fleet.clone(), host.clone(), over.clone());
        load.push(spawn(move || {
            while !over.load(Ordering::SeqCst) {
                if fleet.has_clients(&host) {
                    fleet.send(&host, PROFILE_READ, 100);
                }
                sleep(Duration::from_millis(100));
            }
        }));
    }
    sleep(Duration::from_secs(1));
    let (first, second) = (fleet.host("pnw-d-2"), fleet.host("pnw-d-1"));
    let started = Instant::now();
    let until = |millis: u64| sleep(Duration::from_millis(millis).saturating_sub(started.elapsed()));
    let mut stopping = Vec::new();
    let mut stop = |host: &Arc<crate::host::Host>| {
        if fleet.trouble {
            host.signal("TERM");
            let host = host.clone();
            stopping.push(spawn(move || host.end_and_restart(Duration::from_millis(GRACE))));
        }
    };
    let mut clients = Vec::new();
    let mut read = |work: u64| {
        if fleet.has_clients(&first) {
            let (fleet, host) = (fleet.clone(), first.clone());
            clients.push(spawn(move || {
                fleet.send(&host, HISTORY_READ, work);
            }));
        }
    };
    stop(&first);
    for at in [850, 890, 930] {
        until(at);
        read(LONG);
    }
    until(GAP.as_millis() as u64);
    stop(&second);
    for at in (2_000..5_000).step_by(100) {
        until(at);
        read(LATE);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    over.store(true, Ordering::SeqCst);
    load.into_iter().chain(stopping).for_each(|it| drop(it.join()));
    judge(fleet)
}

/// The rule LOST after a SIGTERM, for requests that the machine took: it broke off a request at which the endpoint was at
/// work, by an answer of its own or without one.
fn judge(fleet: &Fleet) -> Verdict {
    let events = fleet.record.events();
    let mut terms: BTreeMap<&str, u64> = BTreeMap::new();
    for it in events.iter().filter(|it| it.what == "signal") {
        terms.insert(&it.by, it.at);
    }
    let time = |what: &str, id: &str| events.iter().find(|it| it.what == what && it.id == id).map(|it| it.at);
    let mut verdict = Verdict {
        broken: Vec::new(),
        notes: Vec::new(),
        could_run: true,
    };
    let mut late = 0;
    for sent in events.iter().filter(|it| it.what == "sent") {
        let Some(term) = terms.get(sent.by.as_str()).copied() else {
            continue;
        };
        if sent.at + 3_000 < term || sent.at > term + GRACE + 1_000 {
            continue;
        }
        late += u64::from(sent.at > term + SENT_EARLY);
        let ended = events.iter().find(|it| it.id == sent.id && (it.what == "cut" || it.what == "got"));
        let Some(ended) = ended else { continue };
        let own = ended.what == "cut" || ended.text.contains("the node's own");
        let Some(runs) = time("runs", &sent.id).filter(|it| *it <= ended.at) else {
            continue;
        };
        let at_work = !time("answered", &sent.id).is_some_and(|it| it <= ended.at + SLACK);
        let deadline = match sent.text.starts_with("history") {
            true => HISTORY_READ.deadline,
            false => PROFILE_READ.deadline,
        };
        let in_time = ended.at + SLACK < sent.at + deadline;
        let excused = ended.at + SLACK >= term + GRACE * 5 / 6 && sent.at <= term + SENT_EARLY;
        if own && at_work && in_time && !excused {
            verdict.broken.push(format!(
                "LOST: {} sent {} ms after the SIGTERM of {}, at work from {} ms on, broken off at {} ms ({} ms before its deadline): {}",
                sent.id,
                sent.at - term.min(sent.at),
                sent.by,
                runs as i64 - term as i64,
                ended.at as i64 - term as i64,
                sent.at + deadline - ended.at,
                ended.text
            ));
        }
    }
    verdict.notes.push(format!("requests that a stopping machine took over 3 s after its SIGTERM: {late}"));
    verdict
}
