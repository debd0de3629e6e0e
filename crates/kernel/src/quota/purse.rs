//! Tokens of one customer that an entry holds, and its decision on each request.

use std::{collections::VecDeque, sync::Arc};

use super::{Answer, Ask, TOKEN_TTL_MS};
use crate::{
    clock::Ms,
    refusal::{Reason, Refusal},
};

/// Averaging time of the customer's request rate at this entry, in ms.
const AVERAGING_MS: f64 = 1_000.0;
/// Time for which an entry keeps tokens in stock, in ms.
const STOCK_MS: f64 = 500.0;
/// Retry delay while no holder answers, in ms.
const UNKNOWN_MS: u64 = 200;

/// Tokens of one customer at one entry.
#[derive(Debug, Default)]
pub struct Purse {
    /// Unspent tokens, by the time at which they end.
    tokens: VecDeque<(Ms, u32)>,
    /// Mean request rate, in requests per [`AVERAGING_MS`].
    rate: f64,
    observed: Ms,
    /// Requests that wait for a token.
    waiting: u32,
    /// Whether an ask has no answer yet.
    is_asking: bool,
    /// No ask before this time, and the reason to refuse requests until then.
    blocked: Option<(Ms, Reason)>,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Take {
    /// It has a token. The ask, if any, is to be sent meanwhile.
    Taken(Option<Ask>),
    /// It has to wait for the answer to this ask, or to the one on its way.
    Wait(Option<Ask>),
    /// It is refused.
    Refuse(Refusal),
}

impl Purse {
    /// Records a new request, which waits for a token until [`Purse::leave`].
    pub fn arrive(&mut self, now: Ms) {
        let elapsed = now.since(self.observed) as f64;
        self.rate = self.rate * (-elapsed / AVERAGING_MS).exp() + 1.0;
        self.observed = self.observed.max(now);
        self.waiting += 1;
    }

    /// Records that a request no longer waits.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Decides on a waiting request. `customer` is asked for if tokens are needed.
    pub fn take(&mut self, now: Ms, customer: &Arc<str>) -> Take {
        self.expire(now);
        if let Some((_, tokens)) = self.tokens.front_mut() {
            *tokens -= 1;
            self.tokens.retain(|(_, tokens)| *tokens > 0);
            let ask = self.ask(now, customer, 0);
            return Take::Taken(ask);
        }
        if self.is_asking {
            return Take::Wait(None);
        }
        match self.blocked.filter(|(until, _)| *until > now) {
            Some((until, reason)) => Take::Refuse(Refusal::after(reason, until.since(now))),
            None => Take::Wait(self.ask(now, customer, self.waiting.max(1))),
        }
    }

    /// Records the answer to the ask sent at `asked`. The tokens count from then, since an answer may be late.
    pub fn record_answer(&mut self, now: Ms, asked: Ms, answer: Answer) {
        self.is_asking = false;
        self.blocked = match answer {
            Answer::Granted(it) => {
                if it.tokens > 0 {
                    self.tokens.push_back((asked + TOKEN_TTL_MS, it.tokens));
                }
                (it.after > 0).then_some((now + it.after, Reason::Limited))
            }
            Answer::Unknown => Some((now + UNKNOWN_MS, Reason::NoQuota)),
        };
    }

    /// Returns the token of a request that was not run.
    pub fn give_back(&mut self, now: Ms) {
        self.expire(now);
        // It ends with the oldest token, or after half a lifetime if there is none: its own end is not kept.
        match self.tokens.front_mut() {
            Some((_, tokens)) => *tokens += 1,
            None => self.tokens.push_front((now + TOKEN_TTL_MS / 2, 1)),
        }
    }

    /// Returns the number of unspent tokens.
    pub fn stock(&self) -> u32 {
        self.tokens.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Returns whether nothing is lost if the purse is dropped.
    pub fn is_idle(&self, now: Ms) -> bool {
        let is_spent = self.tokens.iter().all(|(until, _)| *until <= now);
        is_spent && self.waiting == 0 && !self.is_asking
    }

    /// Returns an ask if `need` or the expected requests exceed the stock, unless one is on its way or it is too early.
    fn ask(&mut self, now: Ms, customer: &Arc<str>, need: u32) -> Option<Ask> {
        let stock = self.stock();
        // Rounded down: a token for a customer that is seldom here would end unspent.
        let target = (self.rate * STOCK_MS / AVERAGING_MS) as u32;
        let is_blocked = self.blocked.is_some_and(|(until, _)| until > now);
        if self.is_asking || is_blocked || (need == 0 && stock * 2 > target) || need + target == 0 {
            return None;
        }
        self.is_asking = true;
        Some(Ask {
            customer: customer.clone(),
            need,
            spare: target.saturating_sub(stock),
            stock,
        })
    }

    fn expire(&mut self, now: Ms) {
        self.tokens.retain(|(until, _)| *until > now);
    }
}
