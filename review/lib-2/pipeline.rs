//! GONE: clients that sent further safe requests behind the first one leave, and the node does not notice.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::Duration,
};

use crate::{Fleet, HISTORY_READ, PROFILE_READ, Verdict, host::{Host, Place}};

const fn place(name: &'static str, zone: &'static str, service: &'static str) -> Place {
    Place { name, zone, service, version: "v1" }
}

pub const PLACES: &[Place] = &[
    place("pnw-c-1", "pnw-c", "dele69a"),
    place("pnw-c-2", "pnw-c", "xano55b"),
    place("pnw-d-1", "pnw-d", "dele69a"),
    place("pnw-d-2", "pnw-d", "xano55b"),
];
/// Requests on one connection, sent at once.
const BEHIND: usize = 3;
/// Time after which a client leaves: half of the objective of 1,200 ms.
const LEAVES: Duration = Duration::from_millis(600);
/// Work of a request; the site's go up to 2,900 ms.
const WORK: u64 = 1_600;
/// Rounds of clients. On each host one client of either habit leaves, and `STAY` stay: a fifth leaves, for 5.5 s.
const ROUNDS: usize = 4;
const PAUSE: Duration = Duration::from_millis(1_300);
const STAY: usize = 8;
const HALF_SECOND: u64 = 500;
/// What counts as a few requests.
const FEW: usize = 5;

pub fn play(fleet: &Arc<Fleet>) -> Verdict {
    let over = Arc::new(AtomicBool::new(false));
    let mut load: Vec<JoinHandle<()>> = Vec::new();
    for host in &fleet.hosts {
        let (fleet, host, over) = (fleet.clone(), host.clone(), over.clone());
        load.push(spawn(move || {
            while !over.load(Ordering::SeqCst) {
                fleet.send(&host, PROFILE_READ, 60);
                sleep(Duration::from_millis(50));
            }
        }));
    }
    let mut clients = Vec::new();
    for _ in 0..ROUNDS {
        for host in &fleet.hosts {
            for count in [1, BEHIND] {
                let (fleet, host) = (fleet.clone(), host.clone());
                clients.push(spawn(move || client(&fleet, &host, count)));
            }
            for _ in 0..STAY {
                let (fleet, host) = (fleet.clone(), host.clone());
                clients.push(spawn(move || {
                    fleet.send(&host, HISTORY_READ, 120);
                }));
            }
        }
        sleep(PAUSE);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    sleep(Duration::from_millis(3 * WORK + 1_000));
    over.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|it| drop(it.join()));
    judge(fleet)
}

/// Sends `count` requests on one connection at once. With trouble it leaves soon; else it takes all answers.
fn client(fleet: &Fleet, host: &Host, count: usize) {
    let name = host.place.name;
    let Ok(stream) = TcpStream::connect_timeout(&host.outbound, Duration::from_secs(1)) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let ids: Vec<String> = (0..count).map(|_| fleet.id(HISTORY_READ)).collect();
    let mut text = String::new();
    for (behind, id) in ids.iter().enumerate() {
        let what = format!("{} deadline {} ms, behind {behind}", HISTORY_READ.name, HISTORY_READ.deadline);
        fleet.record.add("sent", id, name, &what);
        text.push_str(&fleet.request(HISTORY_READ, id, WORK));
    }
    if (&stream).write_all(text.as_bytes()).is_err() {
        return;
    }
    if fleet.trouble {
        sleep(LEAVES);
        let _ = stream.shutdown(Shutdown::Both);
        drop(stream);
        for id in &ids {
            fleet.record.add("left", id, name, "");
        }
        return;
    }
    let mut reader = crate::http::Reader::new(stream);
    for id in &ids {
        if fleet.await_answer(&mut reader, id, name) == 0 {
            return;
        }
    }
}

fn judge(fleet: &Fleet) -> Verdict {
    let events = fleet.record.events();
    let (mut late, mut lasting, mut at_work) = (Vec::new(), 0, 0);
    for left in events.iter().filter(|it| it.what == "left") {
        let own: Vec<_> = events.iter().filter(|it| it.id == left.id).collect();
        for it in own.iter().filter(|it| it.what == "arrives" && it.at > left.at + HALF_SECOND) {
            late.push(format!("{} reached {} {} ms after its client had left", it.id, it.by, it.at - left.at));
        }
        // Those that ran when the client left and would have lasted for half a second more.
        for run in own.iter().filter(|it| it.what == "runs" && it.at <= left.at) {
            if run.at + WORK <= left.at + HALF_SECOND {
                continue;
            }
            lasting += 1;
            let ended = own.iter().filter(|it| it.by == run.by && ["dropped", "answered"].contains(&it.what));
            at_work += u64::from(!ended.clone().any(|it| it.at <= left.at + HALF_SECOND));
        }
    }
    let mut verdict = Verdict {
        broken: Vec::new(),
        notes: vec![
            format!("requests that would have lasted half a second longer than their clients stayed: {lasting}"),
            format!("of these still at work half a second later: {at_work}"),
            format!("requests that reached an endpoint over half a second after their client had left: {}", late.len()),
        ],
        could_run: true,
    };
    if late.len() > FEW {
        verdict.broken.push(format!("GONE: {} requests reached an endpoint late; {}", late.len(), late[0]));
    }
    if at_work * 4 > lasting {
        verdict.broken.push(format!("GONE: endpoints are still at work on {at_work} of {lasting}"));
    }
    verdict
}
