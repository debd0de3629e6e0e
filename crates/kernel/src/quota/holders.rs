//! Which node holds each bucket of customers.
//!
//! The holder is the first reachable node in a rendezvous order. A node that becomes the first
//! claims the bucket from the nodes that may hold it and counts from what the former holder
//! counted. If no former holder answers, it waits and starts with empty accounts, so that two
//! holders never grant a burst each.

use std::collections::{BTreeMap, BTreeSet};

use super::{Message, Share};
use crate::{
    clock::Ms,
    event,
    id::NodeId,
    kernel::{Context, State},
    members::{Discovery, Reach},
    utils::hash64,
};

/// Number of buckets; with few customers in each, a lost holder concerns few of them.
pub(super) const BUCKETS: usize = 32;
/// Number of nodes per bucket whose order matters: the holder and those that may have held it.
const RANKED: usize = 3;
/// Time for which a node waits for answers to its claim, in ms: long enough for a dead holder to be known as such.
const CLAIM_MS: u64 = 1_000;
/// Time after this process joined before it claims, in ms: until then it knows a part of the fleet only.
const SETTLE_MS: u64 = 500;
/// Time for which a holder that is no longer the first waits for a claim, and for which a former one passes asks on,
/// in ms.
const LINGER_MS: u64 = 3_000;

/// The holders as this node sees them, and the buckets that it holds itself.
#[derive(Debug)]
pub(super) struct Holders {
    /// The first nodes of each bucket.
    order: Vec<Vec<NodeId>>,
    tenures: BTreeMap<usize, Tenure>,
    share: Share,
    is_stale: bool,
    /// Whether this process may take buckets.
    is_settled: bool,
}

/// What this node does about one bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Tenure {
    /// It has claimed the bucket and waits for answers of these nodes.
    Claiming { since: Ms, asked: BTreeSet<NodeId> },
    /// It holds the bucket. All that was granted since `counted` is in the accounts.
    Holding { counted: Ms },
    /// It holds the bucket until another node claims it.
    Leaving { counted: Ms, since: Ms },
    /// Another node took the bucket.
    Yielded { to: NodeId, since: Ms },
}

impl Tenure {
    /// Returns whether it no longer says anything about the bucket.
    fn has_ended(&self, now: Ms) -> bool {
        match self {
            Tenure::Claiming { .. } | Tenure::Holding { .. } => false,
            Tenure::Leaving { since, .. } | Tenure::Yielded { since, .. } => {
                now.since(*since) >= LINGER_MS
            }
        }
    }
}

impl Default for Holders {
    fn default() -> Holders {
        Holders {
            order: vec![Vec::new(); BUCKETS],
            tenures: BTreeMap::new(),
            share: Share::default(),
            is_stale: true,
            is_settled: false,
        }
    }
}

impl Holders {
    /// Returns the node that should hold `bucket`.
    pub fn first(&self, bucket: usize) -> Option<NodeId> {
        self.order[bucket].first().copied()
    }

    /// Returns the node that probably holds `bucket` while `own` does not.
    pub fn successor(&self, bucket: usize, own: NodeId) -> Option<NodeId> {
        if let Some(Tenure::Yielded { to, .. }) = self.tenures.get(&bucket) {
            return Some(*to);
        }
        self.others(bucket, own).first().copied()
    }

    /// Returns the first nodes of `bucket` without `own`.
    fn others(&self, bucket: usize, own: NodeId) -> Vec<NodeId> {
        let ranked = self.order[bucket].iter().copied();
        ranked.filter(|it| *it != own).collect()
    }

    /// Returns since when all that was granted of `bucket` is in the accounts, if this node holds it.
    pub fn counted(&self, bucket: usize) -> Option<Ms> {
        match self.tenures.get(&bucket)? {
            Tenure::Holding { counted } | Tenure::Leaving { counted, .. } => Some(*counted),
            Tenure::Claiming { .. } | Tenure::Yielded { .. } => None,
        }
    }

    pub fn is_holding(&self, bucket: usize) -> bool {
        self.counted(bucket).is_some()
    }

    /// Returns whether `own` holds `bucket` and should go on to; a holder that only waits for a claim should not.
    fn is_first_and_holding(&self, bucket: usize, own: NodeId) -> bool {
        self.first(bucket) == Some(own) && self.is_holding(bucket)
    }

    /// Returns the number of buckets held.
    pub fn held(&self) -> usize {
        (0..BUCKETS).filter(|it| self.is_holding(*it)).count()
    }

    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns what `own` does about `bucket`, of which `former` was the first node before.
    fn next_step(&self, now: Ms, bucket: usize, own: NodeId, former: Option<&NodeId>) -> Step {
        if !self.is_settled {
            return Step::Keep;
        }
        let tenure = self.tenures.get(&bucket);
        if self.first(bucket) != Some(own) {
            return match tenure {
                Some(Tenure::Holding { counted }) => Step::Enter(Tenure::Leaving {
                    counted: *counted,
                    since: now,
                }),
                Some(Tenure::Claiming { .. }) => Step::Withdraw,
                Some(Tenure::Leaving { .. } | Tenure::Yielded { .. }) | None => Step::Keep,
            };
        }
        match tenure {
            Some(Tenure::Leaving { counted, .. }) => {
                Step::Enter(Tenure::Holding { counted: *counted })
            }
            Some(_) => Step::Keep,
            None => {
                let ranked = self.order[bucket].iter().chain(former);
                let others: BTreeSet<NodeId> = ranked.filter(|it| **it != own).copied().collect();
                match others.is_empty() {
                    true => Step::Enter(Tenure::Holding { counted: now }),
                    false => Step::Claim(others),
                }
            }
        }
    }

    /// Marks the order for an update at the next tick.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Gives up all buckets; they are claimed again if this node is still the first.
    pub fn release(&mut self) {
        self.tenures.clear();
        self.is_stale = true;
    }

    /// Records that another holder yielded `bucket`, which it counted since `counted`; returns whether this node
    /// holds it now.
    pub fn record_yield(&mut self, bucket: usize, counted: Ms) -> bool {
        let counted = match self.tenures.get(&bucket) {
            Some(Tenure::Claiming { .. }) => counted,
            Some(Tenure::Holding { counted: own }) => counted.max(*own),
            Some(Tenure::Leaving { .. } | Tenure::Yielded { .. }) | None => return false,
        };
        self.tenures.insert(bucket, Tenure::Holding { counted });
        true
    }

    /// Records that `from` did not hold `bucket`.
    pub fn record_not_held(&mut self, now: Ms, bucket: usize, from: NodeId) {
        let Some(Tenure::Claiming { asked, .. }) = self.tenures.get_mut(&bucket) else {
            return;
        };
        asked.remove(&from);
        if asked.is_empty() {
            self.tenures
                .insert(bucket, Tenure::Holding { counted: now });
        }
    }
}

/// Returns the bucket of a customer.
pub(super) fn bucket_of(customer: &str) -> usize {
    (hash64(&[customer.as_bytes()]) % BUCKETS as u64) as usize
}

/// Updates the order of the nodes if members changed, and claims or gives up buckets.
pub(super) fn tick(cx: &mut Context<'_>, state: &mut State) {
    if !state.import.table().has_customers() {
        return;
    }
    update_settled(cx, state);
    if std::mem::take(&mut state.quotas.holders.is_stale) {
        update_order(cx, state);
    }
    let holders = &mut state.quotas.holders;
    for tenure in holders.tenures.values_mut() {
        if matches!(tenure, Tenure::Claiming { since, .. } if cx.now.since(*since) >= CLAIM_MS) {
            *tenure = Tenure::Holding { counted: cx.now };
        }
    }
    let now = cx.now;
    let ended = holders.tenures.extract_if(.., |_, it| it.has_ended(now));
    // A node whose view was incomplete may have claimed a bucket from its first node, which takes it back.
    holders.is_stale |= ended.count() > 0;
}

/// Answers the claim of `from`, which becomes the holder.
pub(super) fn handle_claim(cx: &mut Context<'_>, state: &mut State, from: NodeId, bucket: u16) {
    let idx = usize::from(bucket);
    if idx >= BUCKETS {
        return;
    }
    let quotas = &mut state.quotas;
    let message = match quotas.holders.counted(idx) {
        Some(counted) => Message::Yielded {
            bucket,
            counted: cx.now.since(counted),
            balances: quotas.bank.take(cx.now, |it| bucket_of(it) == idx),
        },
        None => Message::NotHeld { bucket },
    };
    let yielded = Tenure::Yielded {
        to: from,
        since: cx.now,
    };
    quotas.holders.tenures.insert(idx, yielded);
    cx.send(from, event::Message::Quota(message));
}

/// Notes when this process knows enough of the fleet to take buckets. It asks the holders that it knows before.
fn update_settled(cx: &Context<'_>, state: &mut State) {
    let discovery = state.members.discovery();
    let holders = &mut state.quotas.holders;
    if holders.is_settled {
        return;
    }
    holders.is_settled = match discovery {
        Discovery::Searching => false,
        Discovery::Alone | Discovery::Unanswered { .. } => true,
        Discovery::Joined { since } => cx.now.since(since) >= SETTLE_MS,
    };
    holders.is_stale |= holders.is_settled;
}

/// What this node does about a bucket after the order changed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Nothing.
    Keep,
    /// It enters this tenure.
    Enter(Tenure),
    /// It claims the bucket from these nodes.
    Claim(BTreeSet<NodeId>),
    /// It gives up its claim.
    Withdraw,
}

fn update_order(cx: &mut Context<'_>, state: &mut State) {
    let (order, share) = rank(state);
    let holders = &mut state.quotas.holders;
    let former_share = std::mem::replace(&mut holders.share, share);
    let before = std::mem::replace(&mut holders.order, order);
    // Members that could not be reached may have had a holder of their own.
    let has_merged = share.reachable > former_share.reachable;
    for (bucket, before) in before.iter().enumerate() {
        match holders.next_step(cx.now, bucket, cx.settings.node, before.first()) {
            Step::Keep if has_merged && holders.is_first_and_holding(bucket, cx.settings.node) => {
                for to in holders.others(bucket, cx.settings.node) {
                    send_claim(cx, to, bucket);
                }
            }
            Step::Keep => {}
            Step::Enter(it) => {
                holders.tenures.insert(bucket, it);
            }
            Step::Withdraw => {
                holders.tenures.remove(&bucket);
            }
            Step::Claim(asked) => {
                for to in &asked {
                    send_claim(cx, *to, bucket);
                }
                // Accounts of an earlier tenure lack what others granted since.
                state.quotas.bank.take(cx.now, |it| bucket_of(it) == bucket);
                let since = cx.now;
                holders
                    .tenures
                    .insert(bucket, Tenure::Claiming { since, asked });
            }
        }
    }
    if former_share != share && holders.held() > 0 {
        let pairs = vec![
            ("held", holders.held().to_string()),
            ("reachable", share.reachable.to_string()),
            ("known", share.known.to_string()),
        ];
        cx.log("quota-holder", pairs);
    }
}

fn send_claim(cx: &mut Context<'_>, to: NodeId, bucket: usize) {
    let bucket = bucket as u16;
    cx.send(to, event::Message::Quota(Message::Claim { bucket }));
}

/// Returns the first nodes of each bucket, and the part of the fleet that can be reached.
fn rank(state: &State) -> (Vec<Vec<NodeId>>, Share) {
    let mut order: Vec<Vec<(u64, NodeId)>> = vec![Vec::new(); BUCKETS];
    for record in state.members.ready() {
        let seed = hash64(&[record.id.to_string().as_bytes()]);
        for (bucket, ranked) in order.iter_mut().enumerate() {
            let weight = mix(seed ^ bucket as u64);
            let at = ranked.partition_point(|it| *it > (weight, record.id));
            if at < RANKED {
                ranked.insert(at, (weight, record.id));
                ranked.truncate(RANKED);
            }
        }
    }
    let nodes = |ranked: Vec<(u64, NodeId)>| ranked.into_iter().map(|it| it.1).collect();
    (
        order.into_iter().map(nodes).collect(),
        reachable_share(state),
    )
}

/// Returns the part of the fleet that this node surely counts for.
fn reachable_share(state: &State) -> Share {
    let members = state.members.alive_with_reach();
    let (mut reachable, mut known) = (0, 0);
    for (_, reach) in members {
        known += 1;
        reachable += u64::from(reach == Reach::Reachable);
    }
    // A host that is cut off notices the loss of one member after the other, but no longer speaks for any.
    if state.members.is_partitioned() {
        reachable = 1;
    }
    // A host that finds nobody speaks for itself alone among those that the contact rows name.
    if let Discovery::Unanswered { contacts } = state.members.discovery() {
        known = known.max(1 + contacts as u64);
    }
    Share { reachable, known }
}

/// Spreads the bits of `it` uniformly: the finaliser of SplitMix64.
fn mix(it: u64) -> u64 {
    let it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}
