//! Compares ways to keep the requests of many entries within the rate limit that one upstream names: the node beside it
//! counts for all, each entry uses a fixed share, or entries get tokens from one holder.
//!
//! Run with `cargo run --release -p laburnum-kernel --example rate_limit -- <hosts>`.

#[path = "support/demand.rs"]
mod support;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use laburnum_kernel::{
    Ms, NodeId,
    admission::{
        Basis, Finish, Offer,
        kinds::Kind,
        ranks::{RankedRequest, Ranks, WaitLimit},
    },
    customer::Quota,
    members::Phase,
    quota::{Account, Answer, Purse, QuotaSettings, Share, Take},
    standing::Rate,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::{Demand, Pattern, RUN_MS, STEP_MS, busiest_window};

const BEGIN: Ms = Ms(1_000_000);
/// Time from an ask to its answer, in ms.
const ROUND_TRIP_MS: u64 = 10;
/// Interval at which the process that counts restarts, in ms.
const RESTART_MS: u64 = 5_000;
/// Length of the window in which requests are counted, in ms.
const WINDOW_MS: u64 = 4_000;
/// Longest time for which an entry keeps away after a refusal, in ms.
const HOLD_MAX_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Way {
    Owner,
    Shares,
    Tokens,
}

#[derive(Default)]
struct Outcome {
    asked: u64,
    ran: VecDeque<Ms>,
    messages: u64,
}

fn main() {
    let hosts = std::env::args().nth(1).and_then(|it| it.parse().ok());
    let hosts: usize = hosts.unwrap_or(12);
    println!(
        "{hosts} hosts; limit per second; pattern; way: served of what fits, excess in the worst window, messages/s"
    );
    for limit in [29.2, 2.2] {
        for pattern in Pattern::ALL {
            for way in [Way::Owner, Way::Shares, Way::Tokens] {
                let outcome = run(hosts, limit, pattern, way);
                let fits = limit * RUN_MS as f64 / 1_000.0;
                let served = outcome.ran.len() as f64 / fits.min(outcome.asked as f64);
                let messages = outcome.messages as f64 * 1_000.0 / RUN_MS as f64;
                let excess = excess(&outcome.ran, limit);
                println!("{limit:4} {pattern:?} {way:?}: {served:.3} {excess:5} {messages:8.1}");
            }
        }
    }
}

fn run(hosts: usize, limit: f64, pattern: Pattern, way: Way) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut outcome = Outcome::default();
    let mut fleet = Fleet::new(hosts, limit, way);
    let demand = Demand {
        pattern,
        hosts,
        rate: limit,
        hot: 4.0,
    };
    for now in (0..RUN_MS).step_by(STEP_MS as usize).map(|it| BEGIN + it) {
        fleet.step(now, &mut outcome);
        for host in 0..hosts {
            for _ in 0..demand.arrivals(&mut rng, now, host) {
                outcome.asked += 1;
                fleet.request(now, host, &mut outcome);
            }
        }
    }
    outcome
}

/// The entries of a fleet, and what counts for each way.
struct Fleet {
    way: Way,
    limit: f64,
    owner: Ranks,
    /// Time until which each entry keeps away after a refusal of the owner.
    holds: Vec<Ms>,
    /// Tokens of each entry's share.
    shares: Vec<f64>,
    purses: Vec<(Purse, u64)>,
    account: Account,
    answers: VecDeque<(Ms, usize, Ms, Answer)>,
    name: Arc<str>,
}

impl Fleet {
    fn new(hosts: usize, limit: f64, way: Way) -> Fleet {
        Fleet {
            way,
            limit,
            owner: owner(BEGIN, limit),
            holds: vec![Ms(0); hosts],
            shares: vec![1.0; hosts],
            purses: (0..hosts).map(|_| (Purse::default(), 0)).collect(),
            account: Account::new(BEGIN),
            answers: VecDeque::new(),
            name: "upstream".into(),
        }
    }

    fn step(&mut self, now: Ms, outcome: &mut Outcome) {
        if now.since(BEGIN).is_multiple_of(RESTART_MS) {
            self.owner = owner(now, self.limit);
            self.account = Account::new(now);
        }
        let share = self.limit / self.shares.len() as f64;
        for level in &mut self.shares {
            *level = (*level + share * STEP_MS as f64 / 1_000.0).min(share.max(1.0));
        }
        while self.answers.front().is_some_and(|it| it.0 <= now) {
            let Some((_, host, asked, answer)) = self.answers.pop_front() else {
                return;
            };
            self.purses[host].0.record_answer(now, asked, answer);
            self.decide(now, host, outcome);
        }
    }

    fn request(&mut self, now: Ms, host: usize, outcome: &mut Outcome) {
        match self.way {
            Way::Owner => self.offer(now, host, outcome),
            Way::Shares if self.shares[host] >= 1.0 => {
                self.shares[host] -= 1.0;
                outcome.ran.push_back(now);
            }
            Way::Shares => {}
            Way::Tokens => {
                self.purses[host].0.arrive(now);
                self.purses[host].1 += 1;
                self.decide(now, host, outcome);
            }
        }
    }

    /// Sends a request to the owner, unless it refused one of this entry a moment ago.
    fn offer(&mut self, now: Ms, host: usize, outcome: &mut Outcome) {
        if self.holds[host] > now {
            return;
        }
        let request = RankedRequest {
            priority: 2,
            goal: now + 1,
            deadline: now + 1_000,
            queue: WaitLimit::Short,
            kind: Kind::default(),
        };
        match self.owner.offer(now, request) {
            Offer::Run(permit) => {
                outcome.ran.push_back(now);
                self.owner
                    .done(now, permit, Finish::Answered, &mut Vec::new());
            }
            Offer::Refuse(refusal) => {
                outcome.messages += 2;
                self.holds[host] = now + refusal.after.min(HOLD_MAX_MS);
            }
            Offer::Wait(ticket) => {
                self.owner.cancel(ticket);
            }
        }
    }

    /// Decides on the requests that wait for a token.
    fn decide(&mut self, now: Ms, host: usize, outcome: &mut Outcome) {
        let node = NodeId(SocketAddr::from(([127, 0, 0, 1], 10_000 + host as u16)));
        let quota = Quota {
            rate: (self.limit * 1_000.0) as u64,
            burst: 1,
        };
        let limits = QuotaSettings {
            window: WINDOW_MS,
            overage: 500,
            extra: 5,
        };
        let (purse, waiting) = &mut self.purses[host];
        while *waiting > 0 {
            let ask = match purse.take(now, &self.name) {
                Take::Taken(ask) => {
                    outcome.ran.push_back(now);
                    purse.leave();
                    *waiting -= 1;
                    ask
                }
                Take::Refuse(_) => {
                    purse.leave();
                    *waiting -= 1;
                    None
                }
                Take::Wait(None) => return,
                Take::Wait(ask) => ask,
            };
            if let Some(ask) = ask {
                let account = &mut self.account;
                let grant = account.grant(now, &limits, quota, Share::WHOLE, node, &ask);
                let answer = (now + ROUND_TRIP_MS, host, now, Answer::Granted(grant));
                self.answers.push_back(answer);
                outcome.messages += 2;
            }
        }
    }
}

/// Returns the admission of a process that has just started and was told the limit by an entry.
fn owner(now: Ms, limit: f64) -> Ranks {
    let mut ranks = Ranks::new(12);
    ranks.set_phase(now, Phase::Ready, &mut Vec::new());
    let limit = Rate::from_millis((limit * 1_000.0) as u64);
    ranks.set_limit(now, Some(limit), Basis::Answer, &mut Vec::new());
    ranks
}

/// Returns by how many requests the worst window exceeds one and a half times the limit and five; below zero if it doesn't.
fn excess(ran: &VecDeque<Ms>, limit: f64) -> i64 {
    let allowed = (limit * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0) as i64;
    busiest_window(ran, WINDOW_MS) as i64 - allowed
}
