//! Load balancing at the entry: chooses the endpoint of a request.
//!
//! Draws up to two random endpoints in each tier (own zone, own region, other regions, unreachable) and compares them
//! by expected time: measured latency, load relative to the slots, and a penalty for distance.

pub mod placement;
mod stats;

use std::collections::HashMap;

use rand::{Rng, seq::index};

use crate::{
    admission::{CLASSES, Load, class_index},
    clock::Ms,
    document::Class,
    id::{Name, NodeId},
    members::{Phase, Reach},
    refusal::{Reason, Refusal},
    view::Endpoint,
};

pub use stats::Lane;

use stats::{EndpointStats, may_eject};

/// Factors on the expected time by tier: own zone, own region, other regions, unreachable.
const PENALTY: [f64; TIERS] = [1.0, 1.2, 3.0, 1_000.0];
const TIERS: usize = 4;
/// Ratio of costs below which the cheaper endpoint replaces the one drawn first. Without this margin, the slowest
/// endpoint would get no requests at low load and its recovery would not be measured.
const PREFERENCE_RATIO: f64 = 0.9;
/// Weight of a new sample in the mean latency of a class.
const MEAN_GAIN: f64 = 0.02;
/// Maximum number of random draws in a tier before it is scanned.
const DRAWS: usize = 6;

/// Location of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Region of the entry.
    pub region: Name,
    /// Availability zone of the entry.
    pub zone: Name,
}

/// Result of an attempt at an endpoint, as observed by its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Answered {
        /// Time from sending the request to the whole answer, in ms.
        latency: u64,
    },
    /// The request was refused and not run.
    Refused(Refusal),
    /// Connection failure, lost or truncated answer, or timeout.
    Failed,
    /// The caller gave up; not counted for or against the endpoint.
    Cancelled,
}

/// Result of [`Picker::pick`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this endpoint.
    Send(Endpoint),
    /// Send the request to this endpoint with a short queue limit, as the load of the others is not known well.
    Probe(Endpoint),
    /// No endpoint accepts the request now.
    Refuse(Refusal),
}

/// Endpoints of one service, with the statistics that this entry has of them.
#[derive(Debug)]
pub struct Picker {
    place: Place,
    ramp: u64,
    members: Vec<Member>,
    positions: HashMap<NodeId, usize>,
    /// Index of the first member of each tier, then the number of members.
    bounds: [usize; TIERS + 1],
    /// Mean latency of each class over all endpoints, in ms.
    latency: [Option<f64>; CLASSES],
}

#[derive(Debug)]
struct Member {
    endpoint: Endpoint,
    tier: usize,
    stats: EndpointStats,
}

impl Picker {
    /// Creates a picker without endpoints for an entry at `place`.
    pub fn new(place: Place) -> Picker {
        Picker {
            place,
            ramp: 0,
            members: Vec::new(),
            positions: HashMap::new(),
            bounds: [0; TIERS + 1],
            latency: [None; CLASSES],
        }
    }

    /// Updates the service's endpoints and its warm-up time `ramp`, in ms, from the view.
    ///
    /// Statistics are kept per incarnation of an endpoint. New endpoints start cold, unless the picker had none: then
    /// they probably ran before this entry knew them.
    pub fn refresh(&mut self, now: Ms, endpoints: &[Endpoint], ramp: u64) {
        self.ramp = ramp;
        let mut previous: HashMap<NodeId, Member> = std::mem::take(&mut self.members)
            .into_iter()
            .map(|it| (it.endpoint.node, it))
            .collect();
        let is_first = previous.is_empty();
        self.members = endpoints
            .iter()
            .filter(|it| it.phase == Phase::Ready)
            .map(|it| {
                let stats = match previous.remove(&it.node) {
                    Some(member) if member.endpoint.incarnation == it.incarnation => member.stats,
                    _ if is_first => EndpointStats::warm(),
                    _ => EndpointStats::cold(now),
                };
                Member {
                    endpoint: it.clone(),
                    tier: self.tier(it),
                    stats,
                }
            })
            .collect();
        self.members.sort_by_key(|it| it.tier);
        self.positions = (0..)
            .zip(&self.members)
            .map(|(idx, it)| (it.endpoint.node, idx))
            .collect();
        for tier in 0..TIERS {
            self.bounds[tier + 1] = self.members.partition_point(|it| it.tier <= tier);
        }
    }

    /// Chooses an endpoint for a request of `class` that was already sent to `tried`.
    pub fn pick(&self, now: Ms, rng: &mut impl Rng, class: Class, tried: &[NodeId]) -> Choice {
        let usable =
            |it: &Member| !tried.contains(&it.endpoint.node) && it.stats.accepts(now, class.into());
        let candidates = (0..TIERS).flat_map(|tier| self.draw(rng, tier, &usable));
        let costs = candidates.map(|it| (self.cost(now, it), it));
        let best = costs.reduce(|best, it| {
            if it.0 < best.0 * PREFERENCE_RATIO {
                it
            } else {
                best
            }
        });
        if let Some((_, member)) = best {
            return Choice::Send(member.endpoint.clone());
        }
        let untried = self
            .members
            .iter()
            .filter(|it| !tried.contains(&it.endpoint.node))
            .map(|it| (&it.endpoint, &it.stats));
        last_resort(now, class.into(), BUSY_RETRY_MS, untried).unwrap_or_else(|| {
            Choice::Refuse(Refusal::after(Reason::NoEndpoint, NO_ENDPOINT_RETRY_MS))
        })
    }

    /// Records an attempt sent to `node`.
    pub fn started(&mut self, now: Ms, node: NodeId) {
        if let Some(it) = self.member(node) {
            it.stats.started(now);
        }
    }

    /// Records the end of an attempt at `node`, with the load reported in its answer.
    pub fn finished(
        &mut self,
        now: Ms,
        node: NodeId,
        class: Class,
        outcome: Outcome,
        load: Option<Load>,
    ) {
        let latency = self.relative_latency(class, outcome);
        let all_stats = self.members.iter().map(|it| &it.stats);
        let may_eject = outcome == Outcome::Failed && may_eject(now, all_stats);
        let Some(it) = self.member(node) else {
            return;
        };
        it.stats.finished(now, class.into(), outcome, load);
        if let Some(latency) = latency {
            it.stats.record_latency(now, latency);
        }
        if may_eject {
            it.stats.eject(now);
        }
    }

    /// Returns the number of ready endpoints.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no ready endpoint.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the latency of an answer relative to the mean of its class, which makes classes comparable.
    fn relative_latency(&mut self, class: Class, outcome: Outcome) -> Option<f64> {
        let Outcome::Answered { latency } = outcome else {
            return None;
        };
        let sample = latency as f64;
        let mean = self.latency[class_index(class)].get_or_insert(sample);
        *mean += MEAN_GAIN * (sample - *mean);
        Some((sample + 1.0) / (*mean + 1.0))
    }

    fn tier(&self, endpoint: &Endpoint) -> usize {
        if endpoint.reach == Reach::Unreachable {
            return TIERS - 1;
        }
        if endpoint.region != self.place.region {
            return 2;
        }
        usize::from(endpoint.zone != self.place.zone)
    }

    fn member(&mut self, node: NodeId) -> Option<&mut Member> {
        let idx = *self.positions.get(&node)?;
        self.members.get_mut(idx)
    }

    /// Returns up to two random usable members of a tier. Scans the whole tier only if no draw is usable.
    fn draw(
        &self,
        rng: &mut impl Rng,
        tier: usize,
        usable: &impl Fn(&Member) -> bool,
    ) -> Vec<&Member> {
        let members = &self.members[self.bounds[tier]..self.bounds[tier + 1]];
        let amount = members.len().min(DRAWS);
        let drawn = index::sample(rng, members.len(), amount);
        let found: Vec<&Member> = drawn
            .into_iter()
            .map(|it| &members[it])
            .filter(|it| usable(it))
            .take(2)
            .collect();
        if !found.is_empty() || amount == members.len() {
            return found;
        }
        members.iter().filter(|it| usable(it)).take(1).collect()
    }

    /// Returns the expected time of a request at `member` relative to the mean, with its tier's penalty.
    fn cost(&self, now: Ms, member: &Member) -> f64 {
        let latency = member.stats.relative_latency(now);
        let capacity =
            f64::from(member.endpoint.slots.max(1)) * member.stats.ramp_share(now, self.ramp);
        let load = member.stats.load(now) / capacity;
        latency * (1.0 + load) * PENALTY[member.tier]
    }
}

/// Returns the choice when none of the endpoints `untried` accepts a request now; none if there are no such endpoints.
///
/// Refuses until the first hold of a non-ejected endpoint ends, after at least `min_after` ms. If all are ejected,
/// chooses the one with the fewest failures.
fn last_resort<'a>(
    now: Ms,
    lane: Lane,
    min_after: u64,
    untried: impl Iterator<Item = (&'a Endpoint, &'a EndpointStats)>,
) -> Option<Choice> {
    let untried: Vec<(&Endpoint, &EndpointStats)> = untried.collect();
    let hold_left = untried
        .iter()
        .filter(|(_, it)| !it.is_ejected(now))
        .map(|(_, it)| it.hold_left(now, lane).max(min_after))
        .min();
    if let Some(after) = hold_left {
        return Some(Choice::Refuse(Refusal::after(Reason::Overloaded, after)));
    }
    let (endpoint, _) = untried.into_iter().min_by_key(|(_, it)| it.failures())?;
    Some(Choice::Send(endpoint.clone()))
}

/// Minimum time to wait before a retry while there are untried endpoints, in ms; a probe in flight may end by then.
const BUSY_RETRY_MS: u64 = 10;
/// Time to wait before a retry if the service has no endpoint left, in ms.
const NO_ENDPOINT_RETRY_MS: u64 = 200;
