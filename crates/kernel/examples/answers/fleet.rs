//! Simulated fleet: entries with a placement, owners with slots and a link.

use std::collections::{BTreeMap, HashMap, VecDeque};

use laburnum_kernel::{
    Ms, NodeId,
    admission::{
        Finish, Offer, Permit, Ticket, Wake,
        answers::{AnswerLink, AnswerRequest, Promise},
        kinds::Kind,
        pacer::{Pacer, Take, Turn},
        ranks::{LinkOutlook, Outlook, RankedRequest, Ranks, WaitLimit},
    },
    document::Class,
    members::Phase,
    pick::{Choice, Lane, Outcome, Place, placement::Placement},
    refusal::Refusal,
};
use rand::Rng;

use super::{MBPS, SLOTS, Way, endpoint, id};

/// Largest part of an answer that is sent at once, in bytes.
const FRAME: u64 = 8 * 1024;
/// Bytes of an answer that a connection takes before its receiver acknowledged any.
const WINDOW: u64 = 64 * 1024;
/// Bytes that the link carries in one ms.
const CARRIED: f64 = MBPS * 125.0;

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Job {
    pub entry: usize,
    pub is_large: bool,
    pub started: Ms,
    pub request: RankedRequest,
    pub service: u64,
    pub bytes: u64,
    pub tried: Vec<NodeId>,
}

/// How a request ended.
pub enum Ended {
    Answered(Job),
    Refused(Job),
    /// The deadline passed within the answer.
    Cut(Job),
}

pub struct Entry {
    placement: Placement,
}

#[derive(Debug)]
struct Running {
    end: Ms,
    permit: Permit,
    job: Job,
    promise: Promise,
}

#[derive(Debug)]
struct Sending {
    turn: Turn,
    job: Job,
    left: u64,
    promise: Promise,
}

pub struct Owner {
    way: Way,
    ranks: Ranks,
    link: AnswerLink,
    pacer: Pacer,
    waiting: HashMap<Ticket, (Job, Promise)>,
    running: Vec<Running>,
    /// Long answers that are being sent, in the order of their turns.
    sending: BTreeMap<Turn, Sending>,
    network: VecDeque<Part>,
    turns: u64,
}

/// Part of an answer in the network.
struct Part {
    left: f64,
    /// Bytes of the answer that follow once this part has arrived.
    rest: u64,
    /// The request that it completes, if it does.
    job: Option<Job>,
}

impl Entry {
    pub fn new(number: u16, owners: u16) -> Entry {
        let place = Place {
            region: "cairo".parse().expect("a name"),
            zone: "nasr".parse().expect("a name"),
        };
        let mut placement = Placement::new(id(number), place);
        let endpoints: Vec<_> = (0..owners).map(endpoint).collect();
        placement.refresh(&endpoints);
        Entry { placement }
    }

    /// Chooses an owner; returns its number, or nothing if none accepts the request.
    pub fn choose(&mut self, now: Ms, rng: &mut impl Rng, job: &mut Job) -> Option<usize> {
        let choice = self.placement.place(now, rng, job.request, &job.tried);
        let (endpoint, queue) = match choice {
            Choice::Send(it) => (it, WaitLimit::Full),
            Choice::Probe(it) => (it, WaitLimit::Short),
            Choice::Refuse(_) => return None,
        };
        job.request.queue = queue;
        job.tried.push(endpoint.node);
        self.placement.started(now, endpoint.node);
        self.placement
            .expect_answer(endpoint.node, job.request.kind);
        Some(usize::from(endpoint.node.0.port()) - 1)
    }

    pub fn heard(&mut self, now: Ms, owner: usize, outlook: Outlook) {
        self.placement
            .record_outlook(now, id(owner as u16), outlook);
    }

    pub fn finished(&mut self, now: Ms, job: &Job, outcome: Outcome) {
        let Some(node) = job.tried.last() else {
            return;
        };
        let lane = Lane::of(Class::Interactive, job.request.kind);
        self.placement.finished(now, *node, lane, outcome);
    }

    pub fn learn(&mut self, now: Ms, kind: Kind, bytes: u64) {
        self.placement.record_size(now, kind, bytes);
    }
}

impl Owner {
    pub fn new(way: Way) -> Owner {
        let mut ranks = Ranks::new(SLOTS);
        ranks.set_phase(Ms(0), Phase::Ready, &mut Vec::new());
        let mbps = match way {
            Way::Nothing => 0.0,
            _ => MBPS,
        };
        Owner {
            way,
            ranks,
            link: AnswerLink::new(mbps),
            pacer: Pacer::new(MBPS),
            waiting: HashMap::new(),
            running: Vec::new(),
            sending: BTreeMap::new(),
            network: VecDeque::new(),
            turns: 0,
        }
    }

    pub fn outlook(&mut self, now: Ms) -> Outlook {
        let outlook = self.ranks.outlook();
        match self.way {
            Way::Placed => Outlook {
                link: LinkOutlook {
                    pending: self.link.pending_ms(now) as u16,
                    rate: self.link.rate() as u32,
                },
                ..outlook
            },
            _ => outlook,
        }
    }

    /// Takes a request, or returns it with the refusal.
    pub fn offer(&mut self, now: Ms, job: Job) -> Result<(), (Job, Refusal)> {
        let answer = AnswerRequest {
            kind: job.request.kind,
            run: self.ranks.expected_run(now, job.request),
            goal: job.request.goal,
            deadline: job.request.deadline,
        };
        let promise = match self.link.admit(now, answer) {
            Ok(it) => it,
            Err(refusal) => return Err((job, refusal)),
        };
        match self.ranks.offer(now, job.request) {
            Offer::Run(permit) => self.run(now, permit, job, promise),
            Offer::Wait(ticket) => drop(self.waiting.insert(ticket, (job, promise))),
            Offer::Refuse(refusal) => {
                self.link.release(promise);
                return Err((job, refusal));
            }
        }
        Ok(())
    }

    /// Advances by one ms; returns the requests that ended.
    pub fn step(&mut self, now: Ms) -> Vec<Ended> {
        let mut ended = Vec::new();
        let mut wakes = Vec::new();
        self.ranks.tick(now, &mut wakes);
        let all = std::mem::take(&mut self.running);
        let (done, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.end <= now);
        self.running = rest;
        for it in done {
            self.ranks
                .done(now, it.permit, Finish::Answered, &mut wakes);
            self.answer(now, it.job, it.promise);
        }
        for wake in wakes {
            match wake {
                Wake::Run(ticket, permit) => {
                    if let Some((job, promise)) = self.waiting.remove(&ticket) {
                        self.run(now, permit, job, promise);
                    }
                }
                Wake::Refuse(ticket, _) => {
                    if let Some((job, promise)) = self.waiting.remove(&ticket) {
                        self.link.release(promise);
                        ended.push(Ended::Refused(job));
                    }
                }
            }
        }
        self.send(now);
        self.carry(now, &mut ended);
        ended
    }

    fn run(&mut self, now: Ms, permit: Permit, job: Job, promise: Promise) {
        self.running.push(Running {
            end: now + job.service,
            permit,
            job,
            promise,
        });
    }

    /// Starts to send an answer.
    fn answer(&mut self, now: Ms, job: Job, mut promise: Promise) {
        self.link.record(now, job.request.kind, job.bytes);
        self.link.resize(&mut promise, job.bytes);
        let is_paced = job.is_large && matches!(self.way, Way::Paced | Way::Placed);
        if !is_paced {
            self.pacer.draw(now, job.bytes);
            self.link.sent(now, &mut promise, job.bytes);
            self.link.release(promise);
            let first = job.bytes.min(WINDOW);
            self.network.push_back(Part {
                left: first as f64,
                rest: job.bytes - first,
                job: Some(job),
            });
            return;
        }
        self.turns += 1;
        let turn = Turn {
            due: job.request.goal,
            number: self.turns,
        };
        let sending = Sending {
            turn,
            left: job.bytes,
            job,
            promise,
        };
        self.sending.insert(turn, sending);
    }

    /// Hands parts of long answers to the network, as far as the pacer allows.
    fn send(&mut self, now: Ms) {
        while let Some(mut first) = self.sending.first_entry() {
            let it = first.get_mut();
            let part = it.left.min(FRAME);
            if self.pacer.take(now, it.turn, part) != Take::Send {
                return;
            }
            self.link.sent(now, &mut it.promise, part);
            it.left -= part;
            let left = part as f64;
            if it.left > 0 {
                let job = None;
                self.network.push_back(Part { left, rest: 0, job });
                continue;
            }
            let it = first.remove();
            self.link.release(it.promise);
            let job = Some(it.job);
            self.network.push_back(Part { left, rest: 0, job });
        }
    }

    fn carry(&mut self, now: Ms, ended: &mut Vec<Ended>) {
        let mut room = CARRIED;
        while let Some(part) = self.network.front_mut() {
            let carried = part.left.min(room);
            part.left -= carried;
            room -= carried;
            if part.left > 0.0 {
                return;
            }
            let Some(Part { rest, job, .. }) = self.network.pop_front() else {
                return;
            };
            match job {
                Some(job) if now > job.request.deadline => ended.push(Ended::Cut(job)),
                Some(job) if rest > 0 => self.network.push_back(Part {
                    left: rest as f64,
                    rest: 0,
                    job: Some(job),
                }),
                Some(job) => ended.push(Ended::Answered(job)),
                None => {}
            }
        }
    }
}
