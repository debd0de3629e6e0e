//! CONFIG: the machines of a service are lost for good, and those that take their places run a newer version of its
//! software: they get no requests, also on a route that is added later.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{CONTACT, Fleet, HISTORY_READ, Kind, PROFILE_READ, Verdict, host::Place};

const fn place(name: &'static str, zone: &'static str, service: &'static str, version: &'static str) -> Place {
    Place { name, zone, service, version }
}

/// As the machines of the site nfdc-mesh: five of one service and three of the other.
pub const PLACES: &[Place] = &[
    place("nasr-hall-1", "nasr-hall", "dele69a", "v1"),
    place("nasr-hall-2", "nasr-hall", "dele69a", "v1"),
    place("nasr-hall-3", "nasr-hall", "xano55b", "v1"),
    place("maadi-hall-1", "maadi-hall", "dele69a", "v1"),
    place("maadi-hall-2", "maadi-hall", "dele69a", "v1"),
    place("maadi-hall-3", "maadi-hall", "xano55b", "v1"),
    place("giza-hall-1", "giza-hall", "dele69a", "v1"),
    place("giza-hall-2", "giza-hall", "xano55b", "v1"),
];
const LOST: [&str; 5] = ["nasr-hall-1", "nasr-hall-2", "maadi-hall-1", "maadi-hall-2", "giza-hall-1"];
const ADDED: &[Place] = &[
    place("nasr-hall-4", "nasr-hall", "dele69a", "v2"),
    place("nasr-hall-5", "nasr-hall", "dele69a", "v2"),
    place("maadi-hall-4", "maadi-hall", "dele69a", "v2"),
    place("maadi-hall-5", "maadi-hall", "dele69a", "v2"),
    place("giza-hall-3", "giza-hall", "dele69a", "v2"),
];
/// Time after which others take the places of the lost machines.
const REPLACED: Duration = Duration::from_millis(12_000);
/// Time in which a deployment has to have recovered.
const RECOVER: Duration = Duration::from_millis(15_000);
/// The route that version 8 adds.
const ROUTE: &str = r#"{"type":"routes","metadata":{"name":"r-added"},"spec":{"host":"wuny96.example","prefix":"/rz35cagk/","kind":"safe","timeout":"3000ms","latencyGoal":"1200ms","priority":2,"service":"dele69a","attempts":2}},"#;
const ADDED_READ: Kind = Kind {
    name: "added-read",
    path: "/rz35cagk/2f",
    ..HISTORY_READ
};
const WORK: u64 = 40;

pub fn play(fleet: &Arc<Fleet>) -> Verdict {
    if fleet.trouble {
        for name in LOST {
            let host = fleet.host(name);
            host.is_quiet.store(true, Ordering::SeqCst);
            host.signal("KILL");
            host.stop();
            host.endpoint.is_lost.store(true, Ordering::SeqCst);
        }
        sleep(REPLACED);
    }
    let mut hosts: Vec<_> = fleet.hosts.iter().filter(|it| !fleet.trouble || !LOST.contains(&it.place.name)).cloned().collect();
    let mut added = Vec::new();
    for (number, place) in ADDED.iter().enumerate() {
        added.push(fleet.launch(place, crate::host::free(&fleet.address(PLACES.len() + number))));
    }
    hosts.extend(added.iter().cloned());
    sleep(RECOVER);
    fleet.configure(8, ROUTE);
    sleep(CONTACT + Duration::from_secs(2));
    let begun = fleet.record.now();
    let over = Arc::new(AtomicBool::new(false));
    let mut load = Vec::new();
    for host in &hosts {
        for kind in [PROFILE_READ, HISTORY_READ, ADDED_READ] {
            let (fleet, host, over) = (fleet.clone(), host.clone(), over.clone());
            load.push(spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    if fleet.has_clients(&host) {
                        fleet.send(&host, kind, WORK);
                    }
                    sleep(Duration::from_millis(150));
                }
            }));
        }
    }
    sleep(Duration::from_secs(6));
    over.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|it| drop(it.join()));
    added.iter().for_each(|it| it.stop());
    judge(fleet, begun)
}

/// The rule CONFIG on routes that were added later.
fn judge(fleet: &Fleet, begun: u64) -> Verdict {
    let events = fleet.record.events();
    let mut sent: BTreeMap<&str, usize> = BTreeMap::new();
    let mut served: BTreeMap<&str, usize> = BTreeMap::new();
    let mut at_new = 0;
    for it in events.iter().filter(|it| it.at >= begun) {
        let kind = it.id.split('-').next().unwrap_or("");
        match it.what {
            "sent" => *sent.entry(kind).or_default() += 1,
            "got" if it.text.starts_with("200 the endpoint's") => *served.entry(kind).or_default() += 1,
            "arrives" => at_new += usize::from(ADDED.iter().any(|place| it.by.contains(place.name))),
            _ => {}
        }
    }
    let of = |map: &BTreeMap<&str, usize>, kind: Kind| map.get(&kind.name[..4]).copied().unwrap_or(0);
    let first = |map| of(map, PROFILE_READ) + of(map, HISTORY_READ);
    let (added_sent, added_served) = (of(&sent, ADDED_READ), of(&served, ADDED_READ));
    let (first_sent, first_served) = (first(&sent), first(&served));
    let mut verdict = Verdict {
        broken: Vec::new(),
        notes: vec![
            format!("first route to the service that kept its machines: {} sent, {} served", of(&sent, HISTORY_READ), of(&served, HISTORY_READ)),
            format!("first route to the other service: {} sent, {} served", of(&sent, PROFILE_READ), of(&served, PROFILE_READ)),
            format!("route to the other service that was added later: {added_sent} sent, {added_served} served"),
            format!("requests that reached the new endpoints: {at_new}"),
        ],
        could_run: first_sent > 0,
    };
    if added_sent >= 20 && added_served * first_sent * 4 < first_served * added_sent {
        verdict.broken.push(format!(
            "CONFIG: {added_served} of {added_sent} requests on the route added later are served, {first_served} of {first_sent} on the first"
        ));
    }
    verdict
}
