//! DRAIN: a machine acknowledges that its endpoint leaves, its process is killed, and the next one, which the store turns
//! away, sends the endpoint requests again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{CONTACT, Fleet, PROFILE_READ, Verdict, host::Place};

const fn place(name: &'static str, zone: &'static str, service: &'static str) -> Place {
    Place { name, zone, service }
}

pub const PLACES: &[Place] = &[
    place("pnw-c-1", "pnw-c", "dele69a"),
    place("pnw-c-2", "pnw-c", "xano55b"),
    place("pnw-d-1", "pnw-d", "dele69a"),
    place("pnw-d-2", "pnw-d", "xano55b"),
];
const DRAIN: u64 = 2_000;
/// How late the endpoint's last two heartbeats arrive.
const LATE: Duration = Duration::from_millis(2_500);
/// How long the store turns the machine away.
const TURNED_AWAY: Duration = Duration::from_millis(9_000);
const DOWN: Duration = Duration::from_millis(500);

pub fn play(fleet: &Arc<Fleet>) -> Verdict {
    let over = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = fleet
        .hosts
        .iter()
        .map(|host| {
            let (fleet, host, over) = (fleet.clone(), host.clone(), over.clone());
            spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    if fleet.has_clients(&host) {
                        fleet.send(&host, PROFILE_READ, 60);
                    }
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(1));
    let host = fleet.host("pnw-d-1");
    let record = &fleet.record;
    let name = host.place.name;
    // The endpoint sends two more heartbeats, which are held up on their way, and then says that it leaves. It never
    // reports `draining`, sends no more heartbeats and goes on serving.
    host.is_quiet.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(900));
    let mut late = Vec::new();
    for _ in 0..2 {
        let sequence = host.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        record.add("beat", "", name, &format!("sequence {sequence} is sent, ready"));
        let (fleet, host) = (fleet.clone(), host.clone());
        late.push(spawn(move || {
            sleep(LATE);
            let status = host.call("heartbeat", &host.heartbeat(sequence));
            fleet.record.add("beat", "", host.place.name, &format!("sequence {sequence} arrives late: {status}"));
        }));
        sleep(Duration::from_millis(870));
    }
    let status = host.call("deregister", "");
    let acked = record.add("leaves", "", name, &format!("deregister: {status}"));
    let mut back = acked;
    let started = Instant::now();
    if fleet.trouble {
        host.store.turns_away.store(true, Ordering::SeqCst);
        record.add("store", "", name, "turns the machine away with 503");
        host.signal("KILL");
        sleep(DOWN);
        host.stop();
        host.launch();
        back = record.now();
    }
    sleep(TURNED_AWAY.saturating_sub(started.elapsed()));
    host.store.turns_away.store(false, Ordering::SeqCst);
    record.add("store", "", name, "serves the machine");
    sleep(Duration::from_secs(2));
    over.store(true, Ordering::SeqCst);
    load.into_iter().chain(late).for_each(|it| drop(it.join()));
    let mut verdict = Verdict {
        broken: Vec::new(),
        notes: vec![format!("the leaving was acknowledged with {status}")],
        could_run: status == 200,
    };
    // The machine is in touch again, but for the store, `contact` after its process started.
    let from = (acked + DRAIN).max(back + CONTACT.as_millis() as u64);
    let reached: Vec<u64> = record
        .events()
        .iter()
        .filter(|it| it.what == "arrives" && it.by == host.endpoint.id && it.at > from)
        .map(|it| it.at - acked)
        .collect();
    if let (Some(first), Some(last)) = (reached.first(), reached.last()) {
        verdict.broken.push(format!(
            "DRAIN: {} requests reached the endpoint {first} to {last} ms after its leaving was acknowledged",
            reached.len()
        ));
    }
    verdict
}
