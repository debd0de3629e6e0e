//! Spends tokens of customers' quotas at the entry.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use laburnum_kernel::{
    Call, Ms, Reply,
    quota::{Answer, Ask, Purse, Take},
};
use tokio::sync::Notify;

use super::{Traffic, customers::Customer, denial::Denial};

/// Number of customers above which idle purses are dropped.
const PURSES_MAX: usize = 256;

/// Tokens that this entry holds, by customer.
#[derive(Debug, Default)]
pub(super) struct Purses(Mutex<HashMap<Arc<str>, Arc<SharedPurse>>>);

#[derive(Debug, Default)]
struct SharedPurse {
    purse: Mutex<Purse>,
    /// Notified after each answer of a holder.
    answered: Notify,
}

/// A request that waits for a token; leaves the purse when dropped.
struct Waiting<'a>(&'a SharedPurse);

impl Traffic {
    /// Spends a token of the customer's quota, or refuses the request if none is to be had.
    pub(super) async fn charge(&self, customer: &Customer) -> Result<(), Denial> {
        if !customer.quota.is_limited() {
            return Ok(());
        }
        let shared = self.0.purses.get(self.now(), &customer.name);
        shared.lock().arrive(self.now());
        let _waiting = Waiting(&shared);
        loop {
            let answered = shared.answered.notified();
            let take = shared.lock().take(self.now(), &customer.name);
            match take {
                Take::Taken(ask) => {
                    self.send_ask(&shared, ask);
                    return Ok(());
                }
                Take::Refuse(refusal) => return Err(Denial::Refused(refusal)),
                Take::Wait(ask) => {
                    self.send_ask(&shared, ask);
                    answered.await;
                }
            }
        }
    }

    /// Gives back the token of a request that was not run.
    pub(super) fn give_back(&self, customer: &Customer) {
        if customer.quota.is_limited() {
            let shared = self.0.purses.get(self.now(), &customer.name);
            shared.lock().give_back(self.now());
        }
    }

    /// Sends `ask`, if any, and records its answer. Every ask has one: the control thread gives up without a holder.
    fn send_ask(&self, shared: &Arc<SharedPurse>, ask: Option<Ask>) {
        let Some(ask) = ask else {
            return;
        };
        let (traffic, shared) = (self.clone(), shared.clone());
        let asked = self.now();
        tokio::spawn(async move {
            let reply = traffic.0.control.call(Call::Quota(ask)).await;
            let answer = match reply {
                Ok(Reply::Quota(it)) => it,
                _ => Answer::Unknown,
            };
            shared.lock().record_answer(traffic.now(), asked, answer);
            shared.answered.notify_waiters();
        });
    }
}

impl Purses {
    fn get(&self, now: Ms, customer: &Arc<str>) -> Arc<SharedPurse> {
        let mut purses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = purses.get(customer) {
            return it.clone();
        }
        if purses.len() >= PURSES_MAX {
            purses.retain(|_, it| !it.lock().is_idle(now));
        }
        let shared = Arc::new(SharedPurse::default());
        purses.insert(customer.clone(), shared.clone());
        shared
    }
}

impl SharedPurse {
    fn lock(&self) -> MutexGuard<'_, Purse> {
        self.purse.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().leave();
    }
}
