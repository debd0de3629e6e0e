//! What a holder counts for each customer: a token bucket, and the unspent tokens of all entries.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Ask, QuotaSettings, TOKEN_TTL_MS};
use crate::{clock::Ms, customer::Quota, id::NodeId};

/// Units of a token: a rate in thousandths of a token per second adds one for each ms.
const TOKEN: u64 = 1_000_000;
/// Time for which an entry that asked counts as competing for tokens, in ms.
const COMPETING_MS: u64 = 1_000;
/// Longest pause that a holder asks of an entry for the sake of its own load, in ms.
const PACE_MS: u64 = 250;
/// Pause that each competing entry adds, in ms: bounds the asks that a holder answers.
const PACE_STEP_MS: u64 = 10;
/// Divisor of the tolerated excess that gives the unspent tokens of all entries; the rest covers changes of holders.
const UNSPENT_DIVISOR: u64 = 2;
/// Divisor of the tolerated excess that is added to the burst: requests arrive in clusters also below the quota.
const CLUSTER_DIVISOR: u64 = 4;

/// Part of the fleet for which a holder counts. The parts of a partitioned fleet add up to the whole quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Members that can be reached.
    pub reachable: u64,
    /// All members.
    pub known: u64,
}

/// Tokens granted to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of tokens.
    pub tokens: u32,
    /// If there are fewer than needed, time until there are some again, in ms.
    pub after: u64,
}

/// One customer's account, sent to the next holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balance {
    customer: Arc<str>,
    level: u64,
    /// Unspent tokens by entry, and the time until they end, in ms.
    unspent: Vec<(NodeId, u32, u64)>,
}

/// Account of one customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Tokens that can be granted, in units of [`TOKEN`].
    level: u64,
    filled: Ms,
    /// Unspent tokens by entry, and when they end.
    unspent: BTreeMap<NodeId, (u32, Ms)>,
    /// Entries that asked recently, and when.
    asked: BTreeMap<NodeId, Ms>,
}

/// Accounts of the customers whose buckets a node holds.
#[derive(Debug, Default)]
pub(super) struct Bank(BTreeMap<Arc<str>, Account>);

impl Share {
    /// The whole fleet.
    pub const WHOLE: Share = Share {
        reachable: 1,
        known: 1,
    };

    fn of(self, whole: u64) -> u64 {
        whole * self.reachable / self.known.max(1)
    }
}

impl Default for Share {
    fn default() -> Share {
        Share::WHOLE
    }
}

impl Account {
    /// Creates an account from which nothing was granted since `counted`. It fills from then: what was granted before
    /// is not known.
    pub fn new(counted: Ms) -> Account {
        Account {
            filled: counted,
            ..Account::default()
        }
    }

    /// Grants tokens to `host`, as many as it asks for if there are enough for all.
    pub fn grant(
        &mut self,
        now: Ms,
        limits: &QuotaSettings,
        quota: Quota,
        share: Share,
        host: NodeId,
        ask: &Ask,
    ) -> Grant {
        self.fill(now, limits, quota, share);
        self.asked.insert(host, now);
        self.asked.retain(|_, it| now.since(*it) < COMPETING_MS);
        self.unspent.retain(|_, (_, until)| *until > now);
        let competing = self.asked.len() as u64;
        let available = self.level / TOKEN;
        let fair = share.of(quota.rate) * PACE_MS / TOKEN / competing;
        let need = u64::from(ask.need).min(available);
        // One entry's stock must not leave the others without tokens for requests that wait.
        let most = (available - need).min((available / 2).max(fair));
        let spare = u64::from(ask.spare).min(most);
        let spare = spare.min(self.spare_limit(excess(limits, quota), host, ask.stock));
        let tokens = need + spare;
        self.level -= tokens * TOKEN;
        let unspent = ask.stock + spare as u32;
        self.unspent.insert(host, (unspent, now + TOKEN_TTL_MS));
        let after = match need < u64::from(ask.need) {
            true => self.pause(quota, share, competing),
            false => 0,
        };
        Grant {
            tokens: tokens as u32,
            after,
        }
    }

    /// Returns how many unspent tokens `host` may get besides those that it and the other entries hold.
    fn spare_limit(&self, excess: u64, host: NodeId, stock: u32) -> u64 {
        let others = self.unspent.iter().filter(|(it, _)| **it != host);
        let held: u64 = others.map(|(_, (tokens, _))| u64::from(*tokens)).sum();
        (excess / UNSPENT_DIVISOR).saturating_sub(held + u64::from(stock))
    }

    /// Returns the time until an entry gets its next token if all competing ones ask in turn, in ms.
    fn pause(&self, quota: Quota, share: Share, competing: u64) -> u64 {
        let missing = competing * TOKEN - self.level.min(competing * TOKEN);
        let refill = missing / share.of(quota.rate).max(1);
        refill.max(PACE_MS.min(competing * PACE_STEP_MS))
    }

    fn fill(&mut self, now: Ms, limits: &QuotaSettings, quota: Quota, share: Share) {
        let added = share.of(quota.rate) * now.since(self.filled);
        let burst = quota.burst + excess(limits, quota) / CLUSTER_DIVISOR;
        let capacity = share.of(burst * TOKEN).max(TOKEN);
        self.level = (self.level + added).min(capacity);
        self.filled = self.filled.max(now);
    }
}

/// Returns how many requests of a customer may run in one window beyond its quota.
fn excess(limits: &QuotaSettings, quota: Quota) -> u64 {
    let window = quota.rate * limits.window / TOKEN + quota.burst;
    window * limits.overage / 1_000 + limits.extra
}

impl Bank {
    /// Returns the account of a customer whose bucket was counted since `counted`.
    pub fn account(&mut self, customer: &Arc<str>, counted: Ms) -> &mut Account {
        let account = self.0.entry(customer.clone());
        account.or_insert_with(|| Account::new(counted))
    }

    /// Removes the accounts of customers that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.0.retain(|name, _| is_known(name));
    }

    /// Removes and returns the accounts that `is_wanted` holds for.
    pub fn take(&mut self, now: Ms, is_wanted: impl Fn(&str) -> bool) -> Vec<Balance> {
        let taken = self.0.extract_if(.., |name, _| is_wanted(name));
        let balances = taken.map(|(customer, account)| Balance {
            customer,
            level: account.level,
            unspent: account
                .unspent
                .into_iter()
                .map(|(host, (tokens, until))| (host, tokens, until.since(now)))
                .collect(),
        });
        balances.collect()
    }

    /// Adds the accounts of another holder. Where both counted, the lower level and all unspent tokens hold.
    pub fn absorb(&mut self, now: Ms, balances: &[Balance]) {
        for it in balances {
            let account = self.0.entry(it.customer.clone());
            let account = account.or_insert_with(|| Account {
                level: it.level,
                ..Account::new(now)
            });
            account.level = account.level.min(it.level);
            account.filled = account.filled.max(now);
            let unspent = it.unspent.iter();
            let unspent = unspent.map(|(host, tokens, left)| (*host, (*tokens, now + *left)));
            account.unspent.extend(unspent);
        }
    }
}
