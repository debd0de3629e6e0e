//! Compares ways to count a customer's quota over many entries: a fixed split, shares by the demand that entries tell
//! each other, and tokens granted by one holder.
//!
//! Run with `cargo run --release -p laburnum-kernel --example quota -- <hosts>`.

#[path = "support/demand.rs"]
mod support;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use laburnum_kernel::{
    Ms, NodeId,
    customer::Quota,
    quota::{Account, Answer, Purse, QuotaSettings, Share, Take},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::{Demand, Pattern, RUN_MS, STEP_MS, busiest_window};

/// Time from an ask to its answer, in ms.
const ROUND_TRIP_MS: u64 = 10;
/// Interval at which entries tell each other their demand, and its age on arrival, in ms.
const TOLD_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Way {
    Split,
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
    let hosts: usize = hosts.unwrap_or(59);
    println!(
        "{hosts} hosts; quota per second; pattern; way: served of what is owed, excess in the worst window, messages/s"
    );
    for (rate, burst) in [(480, 100), (24, 12), (3, 3)] {
        for pattern in Pattern::ALL {
            for way in [Way::Split, Way::Shares, Way::Tokens] {
                let quota = Quota {
                    rate: rate * 1_000,
                    burst,
                };
                let outcome = run(hosts, quota, pattern, way);
                let owed = outcome.asked.min(rate * RUN_MS / 1_000);
                let served = outcome.ran.len() as f64 / owed as f64;
                let messages = outcome.messages as f64 * 1_000.0 / RUN_MS as f64;
                let excess = excess(&outcome.ran, quota);
                println!("{rate:4} {pattern:?} {way:?}: {served:.3} {excess:5} {messages:8.1}");
            }
        }
    }
}

fn run(hosts: usize, quota: Quota, pattern: Pattern, way: Way) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut outcome = Outcome::default();
    let mut entries = Entries::new(hosts, quota, way);
    let demand = Demand {
        pattern,
        hosts,
        rate: quota.rate as f64 / 1_000.0,
        hot: 5.0,
    };
    for now in (0..RUN_MS)
        .step_by(STEP_MS as usize)
        .map(|it| Ms(1_000_000 + it))
    {
        entries.step(now, &mut outcome);
        for host in 0..hosts {
            for _ in 0..demand.arrivals(&mut rng, now, host) {
                outcome.asked += 1;
                entries.request(now, host, &mut outcome);
            }
        }
    }
    outcome
}

/// The entries of a fleet and, for [`Way::Tokens`], the holder.
struct Entries {
    way: Way,
    quota: Quota,
    /// Local token buckets of the first two ways: level and refill rate, in tokens and tokens per ms.
    buckets: Vec<(f64, f64)>,
    /// Requests in this interval and the one before, by host.
    counts: Vec<(u64, u64)>,
    purses: Vec<(Purse, u64)>,
    account: Account,
    answers: VecDeque<(Ms, usize, Ms, Answer)>,
    name: Arc<str>,
}

impl Entries {
    fn new(hosts: usize, quota: Quota, way: Way) -> Entries {
        let rate = quota.rate as f64 / 1e6 / hosts as f64;
        Entries {
            way,
            quota,
            buckets: vec![(1.0, rate); hosts],
            counts: vec![(0, 0); hosts],
            purses: (0..hosts).map(|_| (Purse::default(), 0)).collect(),
            account: Account::new(Ms(1_000_000 - 60_000)),
            answers: VecDeque::new(),
            name: "customer".into(),
        }
    }

    fn step(&mut self, now: Ms, outcome: &mut Outcome) {
        let capacity = (self.quota.burst as f64 / self.buckets.len() as f64).max(1.0);
        for (level, rate) in &mut self.buckets {
            *level = (*level + *rate * STEP_MS as f64).min(capacity);
        }
        if matches!(self.way, Way::Shares) && now.0.is_multiple_of(TOLD_MS) {
            self.share_by_demand();
            outcome.messages += (self.buckets.len() * self.buckets.len().saturating_sub(1)) as u64;
        }
        while self.answers.front().is_some_and(|it| it.0 <= now) {
            let Some((_, host, asked, answer)) = self.answers.pop_front() else {
                return;
            };
            self.purses[host].0.record_answer(now, asked, answer);
            self.decide(now, host, outcome);
        }
    }

    /// Splits the rate by the demand of the interval before the last, a tenth of it evenly.
    fn share_by_demand(&mut self) {
        let total: u64 = self.counts.iter().map(|it| it.1).sum();
        let hosts = self.buckets.len() as f64;
        for ((_, rate), (count, before)) in self.buckets.iter_mut().zip(&mut self.counts) {
            let share = match total {
                0 => 1.0 / hosts,
                _ => 0.9 * *before as f64 / total as f64 + 0.1 / hosts,
            };
            *rate = self.quota.rate as f64 / 1e6 * share;
            (*before, *count) = (*count, 0);
        }
    }

    fn request(&mut self, now: Ms, host: usize, outcome: &mut Outcome) {
        self.counts[host].0 += 1;
        if matches!(self.way, Way::Tokens) {
            self.purses[host].0.arrive(now);
            self.purses[host].1 += 1;
            return self.decide(now, host, outcome);
        }
        let level = &mut self.buckets[host].0;
        if *level >= 1.0 {
            *level -= 1.0;
            outcome.ran.push_back(now);
        }
    }

    /// Decides on the requests that wait for a token.
    fn decide(&mut self, now: Ms, host: usize, outcome: &mut Outcome) {
        let node = NodeId(SocketAddr::from(([127, 0, 0, 1], 10_000 + host as u16)));
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
                let limits = QuotaSettings::default();
                let account = &mut self.account;
                let grant = account.grant(now, &limits, self.quota, Share::WHOLE, node, &ask);
                let answer = (now + ROUND_TRIP_MS, host, now, Answer::Granted(grant));
                self.answers.push_back(answer);
                outcome.messages += 2;
            }
        }
    }
}

/// Returns by how many requests the worst window exceeds what is tolerated; below zero if it doesn't.
fn excess(ran: &VecDeque<Ms>, quota: Quota) -> i64 {
    let limits = QuotaSettings::default();
    let whole = quota.rate * limits.window / 1_000_000 + quota.burst;
    let allowed = (whole * (1_000 + limits.overage) / 1_000 + limits.extra) as i64;
    busiest_window(ran, limits.window) as i64 - allowed
}
