//! Entries that spend tokens of customers' quotas over simulated kernels.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use laburnum_kernel::{
    Event, Ms, Reply, Token,
    customer::{CustomerSpec, Quota},
    import::Source,
    quota::{Purse, QuotaSettings, Take},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    driver::Driver,
    imported::{imported_fleet, table_with},
};

/// Time between two rounds of requests, in ms.
const STEP_MS: u64 = 10;

/// A fleet whose entries get requests of customers.
pub struct Demand {
    pub driver: Driver,
    pub customers: Vec<Customer>,
    purses: BTreeMap<(usize, usize), Entry>,
    asks: BTreeMap<Token, (usize, usize, Ms)>,
    /// Hosts whose process stands still.
    pub paused: Vec<usize>,
    rng: ChaCha8Rng,
    version: u64,
}

/// A customer and what became of its requests.
pub struct Customer {
    pub spec: CustomerSpec,
    /// Requests per second at each host.
    pub rates: Vec<f64>,
    /// Times of the requests that ran.
    pub ran: VecDeque<Ms>,
    pub refused: usize,
    pub unknown: usize,
}

#[derive(Default)]
struct Entry {
    purse: Purse,
    waiting: usize,
}

impl Demand {
    /// Starts `hosts` hosts, and customers with these quotas, each in requests per second and burst.
    pub fn new(seed: u64, hosts: usize, quotas: &[(u64, u64)]) -> Demand {
        let driver = imported_fleet(seed, hosts, hosts, &["a", "b", "c"]);
        let customers = quotas.iter().enumerate().map(|(idx, quota)| Customer {
            spec: customer(idx, *quota),
            rates: vec![0.0; hosts],
            ran: VecDeque::new(),
            refused: 0,
            unknown: 0,
        });
        let mut demand = Demand {
            driver,
            customers: customers.collect(),
            purses: BTreeMap::new(),
            asks: BTreeMap::new(),
            paused: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            version: 0,
        };
        demand.publish();
        demand.run(10_000);
        demand
    }

    /// Spreads `rate` requests per second of a customer over all hosts.
    pub fn spread(&mut self, customer: usize, rate: f64) {
        let hosts = self.driver.kernels.len() as f64;
        let rates = &mut self.customers[customer].rates;
        rates.iter_mut().for_each(|it| *it = rate / hosts);
    }

    /// Changes a customer's quota.
    pub fn set_quota(&mut self, customer: usize, quota: (u64, u64)) {
        self.customers[customer].spec = self::customer(customer, quota);
        self.publish();
    }

    /// Puts the customers in force at all hosts.
    pub fn publish(&mut self) {
        self.version += 1;
        let specs = self.customers.iter().map(|it| it.spec.clone());
        let table = table_with(self.version, 1, specs.collect());
        for index in 0..self.driver.kernels.len() {
            self.driver.event(index, Event::Source(Source::Held));
            self.driver.event(index, Event::Imported(table.clone()));
        }
    }

    /// Restarts a host without any state.
    pub fn restart(&mut self, index: usize) {
        self.driver.restart(index);
        self.purses.retain(|(host, _), _| *host != index);
        self.asks.retain(|_, (host, ..)| *host != index);
        let specs = self.customers.iter().map(|it| it.spec.clone());
        let table = table_with(self.version, 1, specs.collect());
        self.driver.event(index, Event::Source(Source::Held));
        self.driver.event(index, Event::Imported(table));
    }

    /// Restarts all hosts at once while the table is down. None knows a peer or has a configuration until
    /// [`Demand::end_outage`].
    pub fn restart_all_in_outage(&mut self) {
        self.driver.down = true;
        self.purses.clear();
        self.asks.clear();
        for index in 0..self.driver.kernels.len() {
            self.driver.restart_with_peers(index, Vec::new());
        }
    }

    /// Ends the outage: the hosts read the configuration.
    pub fn end_outage(&mut self) {
        self.driver.down = false;
        self.publish();
    }

    /// Returns the number of requests of a customer that ran, were refused, and found no holder.
    pub fn counts(&self, customer: usize) -> (usize, usize, usize) {
        let it = &self.customers[customer];
        (it.ran.len(), it.refused, it.unknown)
    }

    pub fn reset_counts(&mut self) {
        for it in &mut self.customers {
            (it.refused, it.unknown) = (0, 0);
            it.ran.clear();
        }
    }

    /// Runs for `millis` ms, with requests.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.driver.run(STEP_MS);
            self.deliver_answers();
            self.send_requests();
        }
    }

    fn send_requests(&mut self) {
        for host in 0..self.driver.kernels.len() {
            if self.paused.contains(&host) || self.driver.dead.contains(&host) {
                continue;
            }
            for customer in 0..self.customers.len() {
                let expected = self.customers[customer].rates[host] * STEP_MS as f64 / 1_000.0;
                let certain = expected as u64;
                let more = self.rng.random_bool(expected - certain as f64);
                for _ in 0..certain + u64::from(more) {
                    let now = self.driver.now;
                    let entry = self.purses.entry((host, customer)).or_default();
                    entry.purse.arrive(now);
                    entry.waiting += 1;
                    self.decide(host, customer);
                }
            }
        }
    }

    /// Decides on the requests of a customer that wait at a host.
    fn decide(&mut self, host: usize, customer: usize) {
        let now = self.driver.now;
        let name: Arc<str> = self.customers[customer].spec.name.clone();
        loop {
            let Some(entry) = self.purses.get_mut(&(host, customer)) else {
                return;
            };
            if entry.waiting == 0 {
                return;
            }
            let ask = match entry.purse.take(now, &name) {
                Take::Taken(ask) => {
                    self.customers[customer].ran.push_back(now);
                    entry.purse.leave();
                    entry.waiting -= 1;
                    ask
                }
                Take::Refuse(refusal) => {
                    let counted = &mut self.customers[customer];
                    match refusal.reason {
                        laburnum_kernel::refusal::Reason::Limited => counted.refused += 1,
                        _ => counted.unknown += 1,
                    }
                    entry.purse.leave();
                    entry.waiting -= 1;
                    None
                }
                Take::Wait(None) => return,
                Take::Wait(ask) => ask,
            };
            if let Some(ask) = ask {
                let token = self.driver.call_quota(host, ask);
                self.asks.insert(token, (host, customer, now));
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.driver.now;
        let tokens: Vec<Token> = self.driver.replies.keys().copied().collect();
        for token in tokens {
            let Some((host, customer, asked)) = self.asks.get(&token).copied() else {
                continue;
            };
            if self.paused.contains(&host) {
                continue;
            }
            self.asks.remove(&token);
            let replies = self.driver.replies.remove(&token).unwrap_or_default();
            let Some(Reply::Quota(answer)) = replies.first() else {
                continue;
            };
            if let Some(entry) = self.purses.get_mut(&(host, customer)) {
                entry.purse.record_answer(now, asked, *answer);
            }
            self.decide(host, customer);
        }
    }

    /// Returns the largest excess of a customer's requests over what its quota allows in any window, in requests; zero
    /// or less if there is none. `highest` is the highest quota in the meantime.
    pub fn excess(&self, customer: usize, highest: Quota) -> i64 {
        let limits = QuotaSettings::default();
        let quota = highest.rate * limits.window / 1_000_000 + highest.burst;
        let allowed = (quota * (1_000 + limits.overage) / 1_000 + limits.extra) as i64;
        let ran = &self.customers[customer].ran;
        let mut first = 0;
        let mut most = 0;
        for (last, at) in ran.iter().enumerate() {
            while at.since(ran[first]) >= limits.window {
                first += 1;
            }
            most = most.max((last - first + 1) as i64);
        }
        most - allowed
    }
}

fn customer(idx: usize, (rate, burst): (u64, u64)) -> CustomerSpec {
    CustomerSpec {
        name: format!("customer-{idx}").into(),
        keys: Vec::new(),
        quota: Quota {
            rate: rate * 1_000,
            burst,
        },
        priority: None,
    }
}
