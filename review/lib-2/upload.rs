//! CONFIG: uploads on a route that was added later come to one machine at once, and hardly one is served.

use std::{
    collections::BTreeSet,
    io::Write,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::Duration,
};

use crate::{CONTACT, Fleet, Kind, PROFILE_READ, Verdict, host::{Host, Place}, http::Reader};

const fn place(name: &'static str, zone: &'static str, service: &'static str) -> Place {
    Place { name, zone, service, version: "v1" }
}

pub const PLACES: &[Place] = &[
    place("jms-1-1", "jms-1", "dele69a"),
    place("jms-1-2", "jms-1", "xano55b"),
    place("jms-2-1", "jms-2", "dele69a"),
    place("jms-2-2", "jms-2", "xano55b"),
];
/// The route that version 8 adds.
const UPLOAD_ROUTE: &str = r#"{"type":"routes","metadata":{"name":"r-upload"},"spec":{"host":"wuny96.example","prefix":"/fiti832/ti23/","kind":"upload","timeout":"1000ms","latencyGoal":"400ms","priority":1,"service":"xano55b","attempts":2}},"#;
/// Clients of one machine; the site's zone jms-3 has 125 for four.
const CLIENTS: usize = 31;
/// Bytes of an upload; the site's go up to 360,000.
const SIZE: usize = 300_000;
/// Work of a request, in ms.
const WORK: u64 = 20;
const ROUNDS: usize = 8;
/// Time between two uploads if they don't come at once.
const APART: Duration = Duration::from_millis(30);
const UPLOAD: Kind = Kind {
    name: "upload",
    method: "POST",
    path: "/fiti832/ti23/2f",
    host: "wuny96.example",
    deadline: 1_000,
};

fn upload(fleet: &Fleet, host: &Host) {
    let id = fleet.id(UPLOAD);
    let name = host.place.name;
    let Ok(stream) = TcpStream::connect_timeout(&host.outbound, Duration::from_secs(1)) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(UPLOAD.deadline)));
    fleet.record.add("sent", &id, name, &format!("upload of {SIZE} bytes"));
    let head = fleet.request(UPLOAD, &id, WORK);
    let head = head.replace("\r\n\r\n", &format!("\r\nContent-Length: {SIZE}\r\n\r\n"));
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + SIZE, b'x');
    match (&stream).write_all(&bytes) {
        Ok(()) => drop(fleet.record.add("written", &id, name, "whole")),
        Err(it) => drop(fleet.record.add("written", &id, name, &it.to_string())),
    }
    fleet.await_answer(&mut Reader::new(stream), &id, name);
}

/// Starts clients that read on a route of the first version, on each host.
fn read_all_the_while(fleet: &Arc<Fleet>, over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let reader = |host: &Arc<Host>| {
        let (fleet, host, over) = (fleet.clone(), host.clone(), over.clone());
        spawn(move || {
            while !over.load(Ordering::SeqCst) {
                fleet.send(&host, PROFILE_READ, WORK);
                sleep(Duration::from_millis(50));
            }
        })
    };
    fleet.hosts.iter().map(reader).collect()
}

pub fn play(fleet: &Arc<Fleet>) -> Verdict {
    let over = Arc::new(AtomicBool::new(false));
    let load = read_all_the_while(fleet, &over);
    fleet.configure(8, UPLOAD_ROUTE);
    sleep(CONTACT + Duration::from_secs(2));
    let begun = fleet.record.now();
    let host = fleet.host("jms-1-1");
    let is_spread = !fleet.trouble;
    for _ in 0..ROUNDS {
        let mut running = Vec::new();
        for _ in 0..CLIENTS {
            let (fleet, host) = (fleet.clone(), host.clone());
            running.push(spawn(move || upload(&fleet, &host)));
            if is_spread {
                sleep(APART);
            }
        }
        running.into_iter().for_each(|it| drop(it.join()));
        sleep(Duration::from_secs(1));
    }
    over.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|it| drop(it.join()));
    judge(fleet, begun)
}

/// The rule CONFIG on routes that were added later.
fn judge(fleet: &Fleet, begun: u64) -> Verdict {
    let events = fleet.record.events();
    let sent = |kind: Kind| -> BTreeSet<&str> {
        let of_kind = |id: &str| id.starts_with(&kind.name[..4]);
        let sent = events.iter().filter(|it| it.what == "sent" && it.at >= begun && of_kind(&it.id));
        sent.map(|it| it.id.as_str()).collect()
    };
    let count = |ids: &BTreeSet<&str>, what: &str, text: &str| {
        let found = |it: &&crate::record::Event| it.what == what && ids.contains(it.id.as_str());
        events.iter().filter(found).filter(|it| it.text.starts_with(text)).count()
    };
    let (added, first) = (sent(UPLOAD), sent(PROFILE_READ));
    let served = |ids| count(ids, "got", "200 the endpoint's");
    let (added_served, first_served) = (served(&added), served(&first));
    let mut verdict = Verdict {
        broken: Vec::new(),
        notes: vec![
            format!("on the route that was added: {} sent, {added_served} served", added.len()),
            format!("on the route of the first version: {} sent, {first_served} served", first.len()),
            format!("uploads that reached the endpoint whole: {}", count(&added, "arrives", "")),
            format!("of these cut off while it worked: {}", count(&added, "dropped", "")),
            format!("uploads answered 503: {}, 504: {}", count(&added, "got", "503"), count(&added, "got", "504")),
        ],
        could_run: !first.is_empty(),
    };
    if added.len() >= 20 && added_served * first.len() * 4 < first_served * added.len() {
        verdict.broken.push(format!(
            "CONFIG: {added_served} of {} requests on the route added later are served, {first_served} of {} on the first",
            added.len(),
            first.len()
        ));
    }
    verdict
}
