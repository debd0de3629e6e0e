//! Simulation of fleets: placement and admission control together, with outlooks reported by answers only.

use std::net::SocketAddr;

use laburnum_kernel::{
    Ms, NodeId,
    admission::{
        Finish, Offer, Permit, Ticket, Wake,
        kinds::Kind,
        ranks::{Outlook, RankedRequest, Ranks, WaitLimit},
    },
    document::Class,
    id::Build,
    members::{Exposure, Phase, Reach},
    pick::{Choice, Outcome, Place, placement::Placement},
    refusal::Refusal,
    view::Endpoint,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const START: Ms = Ms(10_000);
/// Zones of the fleet, assigned to entries and endpoints in turn.
const ZONES: [&str; 3] = ["nasr", "maadi", "giza"];
/// Relative speeds of the endpoints, assigned in turn.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
const SLOTS: u16 = 6;
const WORK_MS: f64 = 110.0;
const GOAL_MS: u64 = 300;
const DEADLINE_MS: u64 = 2_000;
/// Maximum number of owners that one request is sent to.
const HOPS: usize = 3;
/// Round trip from an entry to an owner, in ms.
const HOP_MS: u64 = 1;

struct Request {
    entry: usize,
    arrived: Ms,
    tried: Vec<NodeId>,
}

struct Owner {
    ranks: Ranks,
    speed: f64,
    waiting: Vec<(Ticket, Request)>,
    running: Vec<(Ms, Permit, Request)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    timely: u32,
    far: u32,
}

struct Fleet {
    rng: ChaCha8Rng,
    now: Ms,
    entries: Vec<Placement>,
    owners: Vec<Owner>,
    due: Vec<(Ms, Request)>,
    tally: Tally,
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

fn id(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, 1], index as u16 + 1)))
}

fn index(id: NodeId) -> usize {
    usize::from(id.0.port()) - 1
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        node: id(index),
        incarnation: 1,
        traffic: id(index).0,
        region: "cairo".parse().expect("a name"),
        zone: zone(index).parse().expect("a name"),
        phase: Phase::Ready,
        reach: Reach::Reachable,
        slots: SLOTS,
        build: Build::default(),
        exposure: Exposure::Full,
    }
}

impl Fleet {
    fn new(entries: usize, owners: usize) -> Fleet {
        let endpoints: Vec<Endpoint> = (0..owners).map(endpoint).collect();
        let entries = (0..entries).map(|it| {
            let mut placement = Placement::new(
                id(it),
                Place {
                    region: "cairo".parse().expect("a name"),
                    zone: zone(it).parse().expect("a name"),
                },
            );
            placement.refresh(&endpoints);
            placement
        });
        let owners = (0..owners).map(|it| {
            let mut ranks = Ranks::new(SLOTS);
            ranks.set_phase(START, Phase::Ready, &mut Vec::new());
            Owner {
                ranks,
                speed: SPEEDS[it % SPEEDS.len()],
                waiting: Vec::new(),
                running: Vec::new(),
            }
        });
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(17),
            now: START,
            entries: entries.collect(),
            owners: owners.collect(),
            due: Vec::new(),
            tally: Tally::default(),
        }
    }

    fn run(&mut self, per_second: f64, millis: u64) -> Tally {
        for _ in 0..millis {
            self.now = self.now + 1;
            (0..self.owners.len()).for_each(|it| self.finish(it));
            let mut arrivals = per_second / 1_000.0;
            while arrivals > 0.0 {
                if self.rng.random::<f64>() < arrivals {
                    self.arrive();
                }
                arrivals -= 1.0;
            }
            let (due, later) = std::mem::take(&mut self.due)
                .into_iter()
                .partition(|it| it.0 <= self.now);
            self.due = later;
            for (_, request) in due {
                self.send(request);
            }
        }
        self.tally
    }

    fn arrive(&mut self) {
        self.tally.asked += 1;
        let request = Request {
            entry: self.rng.random_range(0..self.entries.len()),
            arrived: self.now,
            tried: Vec::new(),
        };
        self.send(request);
    }

    fn ranked(request: &Request) -> RankedRequest {
        RankedRequest {
            priority: 2,
            goal: request.arrived + GOAL_MS,
            deadline: request.arrived + DEADLINE_MS,
            queue: WaitLimit::Full,
            kind: Kind::default(),
        }
    }

    fn send(&mut self, mut request: Request) {
        let mut ranked = Fleet::ranked(&request);
        let entry = &mut self.entries[request.entry];
        let to = match entry.place(self.now, &mut self.rng, ranked, &request.tried) {
            Choice::Send(to) => to,
            Choice::Probe(to) => {
                ranked.queue = WaitLimit::Short;
                to
            }
            Choice::Refuse(_) => return,
        };
        entry.started(self.now, to.node);
        request.tried.push(to.node);
        let at = index(to.node);
        match self.owners[at].ranks.offer(self.now, ranked) {
            Offer::Run(permit) => self.start(at, permit, request),
            Offer::Wait(ticket) => self.owners[at].waiting.push((ticket, request)),
            Offer::Refuse(refusal) => self.handle_refusal(at, request, refusal),
        }
    }

    fn start(&mut self, at: usize, permit: Permit, request: Request) {
        let owner = &mut self.owners[at];
        let work = -WORK_MS / owner.speed * self.rng.random::<f64>().ln();
        owner
            .running
            .push((self.now + work as u64 + 1, permit, request));
    }

    fn handle_refusal(&mut self, at: usize, request: Request, refusal: Refusal) {
        self.report(at, &request, Outcome::Refused(refusal));
        if request.tried.len() < HOPS {
            self.due.push((self.now + HOP_MS, request));
        }
    }

    fn report(&mut self, at: usize, request: &Request, outcome: Outcome) {
        let outlook: Outlook = self.owners[at].ranks.outlook();
        let entry = &mut self.entries[request.entry];
        entry.record_outlook(self.now, id(at), outlook);
        entry.finished(self.now, id(at), Class::Background, outcome);
    }

    fn finish(&mut self, at: usize) {
        let mut wakes = Vec::new();
        while let Some(place) = self.owners[at]
            .running
            .iter()
            .position(|it| it.0 <= self.now)
        {
            let (_, permit, request) = self.owners[at].running.swap_remove(place);
            let ranks = &mut self.owners[at].ranks;
            ranks.done(self.now, permit, Finish::Answered, &mut wakes);
            let latency = self.now.since(request.arrived);
            self.tally.timely += u32::from(latency <= GOAL_MS);
            self.tally.far += u32::from(zone(request.entry) != zone(at));
            self.report(at, &request, Outcome::Answered { latency });
        }
        let ranks = &mut self.owners[at].ranks;
        if ranks.due().is_some_and(|it| it <= self.now) {
            ranks.tick(self.now, &mut wakes);
        }
        for wake in wakes {
            let ticket = match &wake {
                Wake::Run(ticket, _) | Wake::Refuse(ticket, _) => *ticket,
            };
            let waiting = &mut self.owners[at].waiting;
            let place = waiting.iter().position(|it| it.0 == ticket);
            let (_, request) = waiting.swap_remove(place.expect("it waits"));
            match wake {
                Wake::Run(_, permit) => self.start(at, permit, request),
                Wake::Refuse(_, refusal) => self.handle_refusal(at, request, refusal),
            }
        }
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole)
}

/// Guards against queues at the seemingly fastest endpoints while others idle: each of 78 entries receives an outlook
/// of each of 46 endpoints about once a second.
#[test_case(1_250.0, 0.93; "half of the capacity")]
#[test_case(2_000.0, 0.88; "four fifths of the capacity")]
#[test_case(2_600.0, 0.74; "above the capacity")]
fn entries_with_old_outlooks_spread_requests(per_second: f64, least: f64) {
    let mut fleet = Fleet::new(78, 46);
    let tally = fleet.run(per_second, 10_000);
    assert!(share(tally.timely, tally.asked) > least, "{tally:?}");
    assert!(share(tally.far, tally.asked) < 0.10, "{tally:?}");
}

/// Guards against old outlooks and uneven load in a large fleet, where each entry uses a part of the endpoints.
#[test_case(3_740.0, 0.925; "half of the capacity")]
#[test_case(5_980.0, 0.90; "four fifths of the capacity")]
#[test_case(7_780.0, 0.74; "above the capacity")]
fn large_fleet_spreads_requests(per_second: f64, least: f64) {
    let mut fleet = Fleet::new(234, 138);
    let tally = fleet.run(per_second, 10_000);
    assert!(share(tally.timely, tally.asked) > least, "{tally:?}");
    assert!(share(tally.far, tally.asked) < 0.05, "{tally:?}");
}

/// Guards against idle endpoints and needless traffic between zones in a small fleet at nine tenths of its capacity.
#[test]
fn small_fleet_uses_every_endpoint() {
    let mut fleet = Fleet::new(8, 5);
    let tally = fleet.run(220.0, 20_000);
    assert!(share(tally.timely, tally.asked) > 0.83, "{tally:?}");
    assert!(share(tally.far, tally.asked) < 0.12, "{tally:?}");
}
