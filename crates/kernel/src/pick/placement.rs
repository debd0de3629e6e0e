//! Load balancing at the entry for requests with a latency goal.
//!
//! A request leaves its availability zone, which costs money per byte, only if the zone has no usable endpoint, or none
//! that is expected to reach the goal while one of another zone is. Expected times come from the outlooks that owners
//! report ([`Outlook`]), discounted by age, plus the requests that this entry has sent since.

use std::collections::HashMap;

use rand::Rng;

use super::{
    Choice, Outcome, Place, last_resort,
    stats::{EndpointStats, Lane, may_eject},
};
use crate::{
    admission::{
        kinds::Kind,
        ranks::{Outlook, RANKS, RankedRequest, rank_of},
        sizes::Sizes,
    },
    clock::Ms,
    id::NodeId,
    members::{Exposure, Phase, Reach},
    refusal::{Reason, Refusal},
    rollout::CANARY_PERCENT,
    routing,
    standing::{Rate, Standing},
    utils::hash64,
    view::Endpoint,
};

/// Maximum expected time at an endpoint of the own zone, in percent of the time left to the goal. Half of the requests
/// take longer than the mean, and outlooks are some tens of ms old: more keeps requests in the zone that then miss their
/// goal, less sends requests away for nothing.
const NEAR_GOAL_PERCENT: u64 = 85;
/// Maximum expected time at an endpoint of another zone, in percent of the time left to the goal. Less than in the own
/// zone, or the bytes of the hop would be paid for nothing.
const FAR_GOAL_PERCENT: u64 = 75;
/// Round trip to another zone of the region, in ms.
const ZONE_HOP_MS: f64 = 2.0;
/// Round trip to another region, in ms.
const REGION_HOP_MS: f64 = 40.0;
/// Age from which the wait in an outlook is ignored, in ms: a queue of a few slots turns over within it.
const OUTLOOK_MAX_AGE_MS: f64 = 1_000.0;
/// Service time assumed for an endpoint without an outlook, in ms.
const UNKNOWN_SERVICE_MS: f64 = 60.0;
/// Weight of a new outcome in the fault rate: ten outcomes tell a faulty endpoint from a sound one.
const FAULT_GAIN: f64 = 0.1;
/// Half-life of the fault rate, in ms.
const FAULT_HALF_LIFE_MS: f64 = 2_000.0;
/// Expected time added at a fault rate of one, in ms: another hop, and perhaps a retry by the caller.
const FAULT_COST_MS: f64 = 300.0;
/// Jitter of the expected times, so that entries with the same outlooks do not all choose the same endpoint.
const JITTER: f64 = 0.15;
/// Maximum number of endpoints of the own zone that a request probes before it queues at one. Without probes, the
/// entries of a large fleet, whose outlooks are old, would all queue at the fastest endpoints.
const PROBES_MAX: usize = 2;
/// Maximum ratio of the expected time at the endpoint on the entry's own host to that at the best endpoint for which
/// the own host is preferred. Its state is known without a hop, while the best of many is often one that all entries take
/// for idle.
const OWN_HOST_FACTOR: f64 = 1.5;
/// Divisor of the time left to the goal that gives a difference in expected time that callers do not notice. The endpoint on
/// the own host is preferred within it, however much faster another one is in proportion.
const NOTICED_DIVISOR: u64 = 20;
/// Time without a request from this entry after which the endpoint on its own host gets one, in ms. That an upstream has
/// recovered, or that its rate limit has ended, shows only in its answers: without trials one that once looked bad would
/// stay unused while others have room. Only the own host's entry tries it, so that the trials do not grow with the fleet.
const TRIAL_INTERVAL_MS: u64 = 2_000;
/// Number of requests to other endpoints between two trials, so that an entry with few requests does not send all of them
/// to an endpoint that looks bad.
const TRIAL_REQUESTS: u32 = 20;
/// Half-life of the service time in an outlook, in ms; it decays towards that of the other endpoints.
const SERVICE_HALF_LIFE_MS: f64 = 10_000.0;
/// Maximum age of an outlook for requests to queue without a probe, in ms.
const OUTLOOK_RECENT_MS: u64 = 250;
/// Time to wait before a retry if the service has no endpoint, in ms: a new one is known within that.
const NO_ENDPOINT_RETRY_MS: u64 = 300;
/// Minimum time to wait before a retry of a refused request, in ms.
const BUSY_RETRY_MS: u64 = 20;

/// Maximum number of endpoints of the own zone that an entry uses per service. Without it each node of a large fleet
/// would hold connections to all others and hear of each one rarely.
pub const NEAR_MAX: usize = 16;
/// Maximum number of endpoints of all other zones that an entry uses per service.
pub const FAR_MAX: usize = 8;

/// Endpoints of one service that this entry uses, with their statistics and outlooks.
#[derive(Debug)]
pub struct Placement {
    own: NodeId,
    place: Place,
    members: Vec<Member>,
    positions: HashMap<NodeId, usize>,
    /// Sizes of the answers that this entry got, by kind.
    sizes: Sizes,
    /// Number of requests sent to other endpoints since the last one to that on the own host.
    elsewhere: u32,
}

#[derive(Debug)]
struct Member {
    endpoint: Endpoint,
    distance: Distance,
    stats: EndpointStats,
    outlook: Option<(Ms, Outlook)>,
    /// Number of requests sent since the last outlook.
    sent_since: u32,
    /// Expected bytes of the large answers to the requests sent since the last outlook.
    bytes_since: f64,
    /// Time of the last update and share of failed outcomes.
    fault_rate: (Ms, f64),
    /// Rate limit that the upstream names, if any.
    limit: Option<Rate>,
}

/// What a request is expected to take, wherever it goes.
#[derive(Clone, Copy, Debug)]
struct Demand {
    rank: usize,
    /// Typical service time of the rank over all endpoints, in ms.
    service: f64,
    /// Size of its answer if that is large, else zero, in bytes.
    size: f64,
}

/// Distance of an endpoint from the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    OtherRegion,
}

impl Placement {
    /// Creates a placement without endpoints for the entry `own` at `place`.
    pub fn new(own: NodeId, place: Place) -> Placement {
        Placement {
            own,
            place,
            members: Vec::new(),
            positions: HashMap::new(),
            sizes: Sizes::default(),
            elsewhere: 0,
        }
    }

    /// Updates the endpoints from the view. Statistics are kept per incarnation of an endpoint.
    pub fn refresh(&mut self, endpoints: &[Endpoint]) {
        let mut previous: HashMap<NodeId, Member> = std::mem::take(&mut self.members)
            .into_iter()
            .map(|it| (it.endpoint.node, it))
            .collect();
        let ready = endpoints.iter().filter(|it| it.phase == Phase::Ready);
        let (canaries, usable): (Vec<&Endpoint>, Vec<&Endpoint>) =
            ready.partition(|it| it.exposure == Exposure::Canary);
        let mut selected = self.select_endpoints(usable.into_iter());
        // Each entry uses all of them, so that together they get their share of the requests.
        selected.extend(canaries);
        self.members = selected
            .into_iter()
            .map(|it| match previous.remove(&it.node) {
                Some(member) if member.endpoint.incarnation == it.incarnation => Member {
                    endpoint: it.clone(),
                    ..member
                },
                _ => Member {
                    endpoint: it.clone(),
                    distance: self.distance(it),
                    stats: EndpointStats::warm(),
                    outlook: None,
                    sent_since: 0,
                    bytes_since: 0.0,
                    fault_rate: (Ms(0), 0.0),
                    limit: None,
                },
            })
            .collect();
        self.positions = (0..)
            .zip(&self.members)
            .map(|(idx, it)| (it.endpoint.node, idx))
            .collect();
    }

    /// Returns the endpoints that this entry uses, selected by rendezvous hashing.
    fn select_endpoints<'a>(
        &self,
        usable: impl Iterator<Item = &'a Endpoint>,
    ) -> Vec<&'a Endpoint> {
        let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) =
            usable.partition(|it| self.distance(it) == Distance::Zone);
        let mut selected = self.first_ranked(near, NEAR_MAX);
        selected.extend(self.first_ranked(far, FAR_MAX));
        selected
    }

    /// Returns the first `count` endpoints in this entry's order: reachable ones first, the one on the own host before
    /// the others.
    fn first_ranked<'a>(
        &self,
        mut endpoints: Vec<&'a Endpoint>,
        count: usize,
    ) -> Vec<&'a Endpoint> {
        if endpoints.len() <= count {
            return endpoints;
        }
        endpoints.sort_by_cached_key(|it| {
            let unreachable = it.reach == Reach::Unreachable;
            let other_host = it.node != self.own;
            (unreachable, other_host, pair_hash(self.own, it.node))
        });
        endpoints.truncate(count);
        endpoints
    }

    /// Chooses an endpoint for a request that was already sent to `tried`.
    pub fn place(
        &self,
        now: Ms,
        rng: &mut impl Rng,
        request: RankedRequest,
        tried: &[NodeId],
    ) -> Choice {
        let rank = rank_of(request.priority);
        let lane = Lane::of(routing::class_of(request.priority), request.kind);
        let exposure = self.draw_exposure(now, rng, lane, tried);
        let untried = || {
            self.members
                .iter()
                .filter(|it| it.endpoint.exposure == exposure && !tried.contains(&it.endpoint.node))
        };
        let own = untried().find(|it| it.endpoint.node == self.own && it.usable(now, lane));
        let needs_trial = |it: &&Member| tried.is_empty() && it.needs_trial(now, self.elsewhere);
        if let Some(own) = own.filter(needs_trial) {
            return Choice::Probe(own.endpoint.clone());
        }
        let demand = Demand {
            rank,
            service: self.typical_service(rank),
            size: self.sizes.large(request.kind).unwrap_or_default(),
        };
        let usable = untried().filter(|it| it.usable(now, lane));
        let best = cheapest(now, rng, &demand, usable);
        let near = untried().filter(|it| it.distance == Distance::Zone && it.usable(now, lane));
        let probes = tried.len() < PROBES_MAX && near.count() > PROBES_MAX;
        let left = request.goal.since(now);
        let within = |cost: f64, percent: u64| cost <= (left * percent / 100) as f64;
        if let (true, [Some((near, _)), _]) = (probes, best) {
            let cost = own.map(|it| (it.expected_time(now, &demand), it));
            let longest = (OWN_HOST_FACTOR * near).max(near + (left / NOTICED_DIVISOR) as f64);
            if let Some((cost, it)) = cost
                && within(cost, NEAR_GOAL_PERCENT)
                && cost <= longest
            {
                return Choice::Probe(it.endpoint.clone());
            }
        }
        let chosen = match best {
            [Some((near, it)), _] if within(near, NEAR_GOAL_PERCENT) => Some(it),
            [_, Some((far, it))] if within(far, FAR_GOAL_PERCENT) => Some(it),
            [Some((_, it)), _] | [None, Some((_, it))] => Some(it),
            [None, None] => None,
        };
        let has_unlimited = || untried().any(|it| it.limit.is_none() && it.usable(now, lane));
        match chosen {
            Some(it) if probes && it.distance == Distance::Zone && !it.is_recent(now) => {
                Choice::Probe(it.endpoint.clone())
            }
            // Its outlook may be old: no request waits for a turn there while another endpoint takes it at once.
            Some(it) if it.limit.is_some() && has_unlimited() => Choice::Probe(it.endpoint.clone()),
            Some(it) => Choice::Send(it.endpoint.clone()),
            None => self.fallback_choice(now, lane, untried()),
        }
    }

    /// Returns which endpoints a request may go to: the canaries for their share of the requests, else the others.
    fn draw_exposure(&self, now: Ms, rng: &mut impl Rng, lane: Lane, tried: &[NodeId]) -> Exposure {
        let is_canary = |it: &&Member| {
            it.endpoint.exposure == Exposure::Canary
                && !tried.contains(&it.endpoint.node)
                && it.usable(now, lane)
        };
        let has_canary = self.members.iter().any(|it| is_canary(&it));
        match has_canary && rng.random_ratio(CANARY_PERCENT, 100) {
            true => Exposure::Canary,
            false => Exposure::Full,
        }
    }

    /// Records an attempt sent to `node`.
    pub fn started(&mut self, now: Ms, node: NodeId) {
        self.elsewhere = match node == self.own {
            true => 0,
            false => self.elsewhere.saturating_add(1),
        };
        if let Some(it) = self.member(node) {
            it.stats.started(now);
            it.sent_since += 1;
        }
    }

    /// Records that the attempt sent to `node` last is of `kind`, whose answer may take the link of its host.
    pub fn expect_answer(&mut self, node: NodeId, kind: Kind) {
        let size = self.sizes.large(kind).unwrap_or_default();
        if let Some(it) = self.member(node) {
            it.bytes_since += size;
        }
    }

    /// Records the size of an answer to a request of `kind`, in bytes.
    pub fn record_size(&mut self, now: Ms, kind: Kind, bytes: u64) {
        self.sizes.record(now, kind, bytes);
    }

    /// Records the outlook that the header of an answer of `node` reports. Until a long answer has arrived whole, its
    /// outlook would be out of date.
    pub fn record_outlook(&mut self, now: Ms, node: NodeId, outlook: Outlook) {
        if let Some(it) = self.member(node) {
            it.outlook = Some((now, outlook));
            it.sent_since = 0;
            it.bytes_since = 0.0;
        }
    }

    /// Records the end of an attempt at `node`.
    pub fn finished(&mut self, now: Ms, node: NodeId, lane: impl Into<Lane>, outcome: Outcome) {
        let lane = lane.into();
        let counted = self.without_body_refusal(lane, outcome);
        let all_stats = self.members.iter().map(|it| &it.stats);
        let may_eject = outcome == Outcome::Failed && may_eject(now, all_stats);
        let Some(it) = self.member(node) else {
            return;
        };
        it.stats.finished(now, lane, counted, None);
        it.record_outcome(now, outcome);
        if may_eject {
            it.stats.eject(now);
        }
    }

    /// Returns the outcome that counts for the statistics of an endpoint. A link that is full of request bodies must not hold
    /// back the requests of the same route that have short ones.
    fn without_body_refusal(&self, lane: Lane, outcome: Outcome) -> Outcome {
        let Outcome::Refused(refusal) = outcome else {
            return outcome;
        };
        let has_large_answers = match lane {
            Lane::Kind(kind) => self.sizes.large(kind).is_some(),
            Lane::Class(_) => false,
        };
        match refusal.reason == Reason::LinkFull && !has_large_answers {
            true => Outcome::Cancelled,
            false => outcome,
        }
    }

    /// Records what the upstream of `node` says about itself. One that leaves gets no requests until its phase shows that.
    pub fn record_standing(&mut self, now: Ms, node: NodeId, standing: Standing) {
        let Some(it) = self.member(node) else {
            return;
        };
        it.limit = standing.limit;
        if standing.leaving {
            it.stats.close(now);
        }
    }

    /// Returns the number of endpoints in use.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn member(&mut self, node: NodeId) -> Option<&mut Member> {
        let idx = *self.positions.get(&node)?;
        self.members.get_mut(idx)
    }

    fn distance(&self, endpoint: &Endpoint) -> Distance {
        if endpoint.region != self.place.region {
            return Distance::OtherRegion;
        }
        match endpoint.zone == self.place.zone {
            true => Distance::Zone,
            false => Distance::Region,
        }
    }

    /// Returns the median service time of requests of `rank` over the endpoints with an outlook, in ms; of two in the middle
    /// the shorter one, or the slow one of two endpoints would look typical.
    fn typical_service(&self, rank: usize) -> f64 {
        let outlooks = self.members.iter().filter_map(|it| it.outlook);
        let mut times: Vec<u16> = outlooks.map(|(_, it)| it.service[rank]).collect();
        if times.is_empty() {
            return UNKNOWN_SERVICE_MS;
        }
        let middle = (times.len() - 1) / 2;
        f64::from(*times.select_nth_unstable(middle).1)
    }

    /// Returns the choice when no endpoint accepts the request: a refusal, or an ejected endpoint.
    fn fallback_choice<'a>(
        &self,
        now: Ms,
        lane: Lane,
        untried: impl Iterator<Item = &'a Member>,
    ) -> Choice {
        let untried = untried.map(|it| (&it.endpoint, &it.stats));
        let (reason, after) = match self.is_empty() {
            true => (Reason::NoEndpoint, NO_ENDPOINT_RETRY_MS),
            false => (Reason::Overloaded, BUSY_RETRY_MS),
        };
        last_resort(now, lane, BUSY_RETRY_MS, untried)
            .unwrap_or_else(|| Choice::Refuse(Refusal::after(reason, after)))
    }
}

/// Returns the time between two turns within `limit`, in ms; of very low limits no more than an outlook is valid.
fn turn_ms(limit: Rate) -> f64 {
    1.0 / limit.per_ms().max(1.0 / OUTLOOK_MAX_AGE_MS)
}

/// Returns the members of the own zone and of others with the least expected time for `demand`, with that time in ms.
fn cheapest<'a>(
    now: Ms,
    rng: &mut impl Rng,
    demand: &Demand,
    members: impl Iterator<Item = &'a Member>,
) -> [Option<(f64, &'a Member)>; 2] {
    let mut best: [Option<(f64, &Member)>; 2] = [None, None];
    for member in members {
        let cost = member.expected_time(now, demand) * rng.random_range(1.0 - JITTER..1.0 + JITTER);
        let current = &mut best[usize::from(member.distance != Distance::Zone)];
        if current.is_none_or(|(least, _)| cost < least) {
            *current = Some((cost, member));
        }
    }
    best
}

/// Returns the rendezvous hash of an entry and an endpoint.
fn pair_hash(entry: NodeId, endpoint: NodeId) -> u64 {
    hash64(&[
        entry.0.to_string().as_bytes(),
        endpoint.0.to_string().as_bytes(),
    ])
}

impl Member {
    fn usable(&self, now: Ms, lane: Lane) -> bool {
        self.endpoint.reach != Reach::Unreachable && self.stats.accepts(now, lane)
    }

    /// Returns whether the outlook is recent enough to queue without a probe.
    fn is_recent(&self, now: Ms) -> bool {
        self.outlook
            .is_some_and(|(at, _)| now.since(at) <= OUTLOOK_RECENT_MS)
    }

    /// Returns whether this entry has sent it nothing for so long that the outlook may no longer hold, and `elsewhere`
    /// requests to others. One that is only limited gets a request each turn: it is as quick as the others.
    fn needs_trial(&self, now: Ms, elsewhere: u32) -> bool {
        let idle = now.since(self.stats.last_sent());
        match self.limit {
            Some(limit) => idle as f64 >= turn_ms(limit),
            None => idle >= TRIAL_INTERVAL_MS && elsewhere >= TRIAL_REQUESTS,
        }
    }

    /// Returns the expected time from sending a request with `demand` to its answer, in ms.
    fn expected_time(&self, now: Ms, demand: &Demand) -> f64 {
        let hop = match self.distance {
            Distance::Zone => 0.0,
            Distance::Region => ZONE_HOP_MS,
            Distance::OtherRegion => REGION_HOP_MS,
        };
        let run = self.wait(now, demand.rank) + self.service(now, demand);
        hop + run + self.link_time(now, demand.size) + FAULT_COST_MS * self.fault_rate(now)
    }

    /// Returns the time that a large answer of `size` bytes needs on the link of the endpoint's host, in ms: behind
    /// those of the outlook, less what the link has carried since, and those requested since. Zero if `size` is zero or the
    /// outlook does not state the link's rate.
    fn link_time(&self, now: Ms, size: f64) -> f64 {
        let Some((at, outlook)) = self.outlook.filter(|it| size > 0.0 && it.1.link.rate > 0) else {
            return 0.0;
        };
        let rate = f64::from(outlook.link.rate);
        let ahead = f64::from(outlook.link.pending) + self.bytes_since / rate;
        (ahead - now.since(at) as f64).max(0.0) + size / rate
    }

    fn service(&self, now: Ms, demand: &Demand) -> f64 {
        let Some((at, outlook)) = self.outlook else {
            return UNKNOWN_SERVICE_MS;
        };
        let weight = 0.5f64.powf(now.since(at) as f64 / SERVICE_HALF_LIFE_MS);
        let own = f64::from(outlook.service[demand.rank]);
        demand.service + weight * (own - demand.service)
    }

    /// Returns the expected wait of a request of `rank`, in ms: that of the outlook, discounted by age, plus that
    /// behind the requests sent since.
    fn wait(&self, now: Ms, rank: usize) -> f64 {
        let Some((at, outlook)) = self.outlook else {
            let slots = f64::from(self.endpoint.slots.max(1));
            return (f64::from(self.sent_since) - slots).max(0.0) * UNKNOWN_SERVICE_MS / slots;
        };
        let weight = (1.0 - now.since(at) as f64 / OUTLOOK_MAX_AGE_MS).max(0.0);
        let slots = f64::from(outlook.slots.max(1));
        let queued = f64::from(self.sent_since) - f64::from(outlook.free);
        let mean = outlook.service.iter().copied().map(f64::from).sum::<f64>() / RANKS as f64;
        let turn = self.limit.map_or(0.0, turn_ms).max(mean / slots);
        weight * f64::from(outlook.wait[rank]) + queued.max(0.0) * turn
    }

    fn record_outcome(&mut self, now: Ms, outcome: Outcome) {
        let fault = match outcome {
            Outcome::Answered { .. } => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Refused(refusal) if refusal.reason == Reason::Shed => 1.0,
            // A full queue or a cancellation is no fault of the endpoint.
            Outcome::Refused(_) | Outcome::Cancelled => return,
        };
        let rate = self.fault_rate(now);
        self.fault_rate = (now, rate + FAULT_GAIN * (fault - rate));
    }

    fn fault_rate(&self, now: Ms) -> f64 {
        let (at, rate) = self.fault_rate;
        rate * 0.5f64.powf(now.since(at) as f64 / FAULT_HALF_LIFE_MS)
    }
}
