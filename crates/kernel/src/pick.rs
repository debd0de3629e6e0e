//! Pick: which endpoint an entry node sends a request to.
//!
//! Two random choices in each distance (own zone, own region, beyond), compared by expected time: the
//! endpoint's measured latency, its load relative to its slots, and a penalty for distance. What this node has
//! itself seen of an endpoint goes before what the endpoint or the members say of it.

mod experience;
pub mod placement;

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

pub use experience::Lane;

use experience::{Experience, may_eject};

/// Penalties on the expected time for an endpoint in the own zone, in the own region, beyond, and for one
/// that the members cannot reach.
const PENALTY: [f64; TIERS] = [1.0, 1.2, 3.0, 1_000.0];
const TIERS: usize = 4;
/// Factor below which one cost is clearly better than another; otherwise the draw decides.
///
/// Without it, the endpoint that was ever so slightly the slowest would never be chosen while loads are
/// low, so it would never be measured again and its recovery would go unseen.
const CLEARLY: f64 = 0.9;
/// Share of a new sample in the mean latency of a class.
const MEAN_GAIN: f64 = 0.02;
/// Draws in a tier before all of it is looked through.
const DRAWS: usize = 6;

/// Where an entry stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
}

/// How an attempt at an endpoint ended, as its entry saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole after `latency` ms.
    Answered {
        /// From sending to the whole answer, in ms.
        latency: u64,
    },
    /// Refused as not run.
    Refused(Refusal),
    /// No connection, a lost or cut answer, or a timeout.
    Failed,
    /// The caller gave up; says nothing of the endpoint.
    Cancelled,
}

/// The answer to [`Picker::pick`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    Send(Endpoint),
    /// Send it there, to run soon or not at all: others may have room that this entry has not heard of.
    Probe(Endpoint),
    /// No endpoint is worth trying now.
    Refuse(Refusal),
}

/// Endpoints of one service and what this entry has seen of them.
#[derive(Debug)]
pub struct Picker {
    place: Place,
    ramp: u64,
    members: Vec<Member>,
    slots: HashMap<NodeId, usize>,
    /// First member of each tier, and the end of the last.
    bounds: [usize; TIERS + 1],
    /// Mean latency of each class over all endpoints, in ms.
    latency: [Option<f64>; CLASSES],
}

#[derive(Debug)]
struct Member {
    endpoint: Endpoint,
    tier: usize,
    experience: Experience,
}

impl Picker {
    /// A picker for an entry at `place`, without endpoints.
    pub fn new(place: Place) -> Picker {
        Picker {
            place,
            ramp: 0,
            members: Vec::new(),
            slots: HashMap::new(),
            bounds: [0; TIERS + 1],
            latency: [None; CLASSES],
        }
    }

    /// Follows the view: the service's endpoints and its `ramp` in ms.
    ///
    /// What is known of an endpoint stays as long as its incarnation does; what left is forgotten. The
    /// endpoints of the first call count as warm, for it is this node that is new to them.
    pub fn refresh(&mut self, now: Ms, endpoints: &[Endpoint], ramp: u64) {
        self.ramp = ramp;
        let mut known: HashMap<NodeId, Member> = std::mem::take(&mut self.members)
            .into_iter()
            .map(|it| (it.endpoint.node, it))
            .collect();
        let first = known.is_empty();
        self.members = endpoints
            .iter()
            .filter(|it| it.phase == Phase::Ready)
            .map(|it| {
                let experience = match known.remove(&it.node) {
                    Some(member) if member.endpoint.incarnation == it.incarnation => {
                        member.experience
                    }
                    _ if first => Experience::warm(),
                    _ => Experience::cold(now),
                };
                Member {
                    endpoint: it.clone(),
                    tier: self.tier(it),
                    experience,
                }
            })
            .collect();
        self.members.sort_by_key(|it| it.tier);
        self.slots = (0..)
            .zip(&self.members)
            .map(|(at, it)| (it.endpoint.node, at))
            .collect();
        for tier in 0..TIERS {
            self.bounds[tier + 1] = self.members.partition_point(|it| it.tier <= tier);
        }
    }

    /// Chooses an endpoint for a request of `class` that already failed at `tried`.
    pub fn pick(&self, now: Ms, rng: &mut impl Rng, class: Class, tried: &[NodeId]) -> Choice {
        let usable = |it: &Member| {
            !tried.contains(&it.endpoint.node) && it.experience.takes(now, class.into())
        };
        let candidates = (0..TIERS).flat_map(|tier| self.draw(rng, tier, &usable));
        let costs = candidates.map(|it| (self.cost(now, it), it));
        let best = costs.reduce(|best, it| if it.0 < best.0 * CLEARLY { it } else { best });
        if let Some((_, member)) = best {
            return Choice::Send(member.endpoint.clone());
        }
        let left = self
            .members
            .iter()
            .filter(|it| !tried.contains(&it.endpoint.node))
            .map(|it| (&it.endpoint, &it.experience));
        last_resort(now, class.into(), BUSY, left)
            .unwrap_or_else(|| Choice::Refuse(Refusal::after(Reason::NoEndpoint, NO_ENDPOINT)))
    }

    /// Counts an attempt sent to `node`.
    pub fn started(&mut self, now: Ms, node: NodeId) {
        if let Some(it) = self.member(node) {
            it.experience.started(now);
        }
    }

    /// Counts the end of an attempt at `node`, with the load that its answer told.
    pub fn finished(
        &mut self,
        now: Ms,
        node: NodeId,
        class: Class,
        outcome: Outcome,
        load: Option<Load>,
    ) {
        let pace = self.pace(class, outcome);
        let experiences = self.members.iter().map(|it| &it.experience);
        let may_eject = outcome == Outcome::Failed && may_eject(now, experiences);
        let Some(it) = self.member(node) else {
            return;
        };
        it.experience.finished(now, class.into(), outcome, load);
        if let Some(pace) = pace {
            it.experience.measure(now, pace);
        }
        if may_eject {
            it.experience.eject(now);
        }
    }

    /// Endpoints that may be chosen at all.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no endpoint may be chosen.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Latency of an answer relative to the mean of its class, so that classes of different length compare.
    fn pace(&mut self, class: Class, outcome: Outcome) -> Option<f64> {
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
        let at = *self.slots.get(&node)?;
        self.members.get_mut(at)
    }

    /// Up to two random usable members of a tier, without looking at all of it if draws suffice.
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

    /// Expected time of a request at `member` relative to the mean, with penalties.
    fn cost(&self, now: Ms, member: &Member) -> f64 {
        let pace = member.experience.pace(now);
        let room =
            f64::from(member.endpoint.slots.max(1)) * member.experience.warmth(now, self.ramp);
        let load = member.experience.load(now) / room;
        pace * (1.0 + load) * PENALTY[member.tier]
    }
}

/// What is left to do when none of `left`, the endpoints not tried yet, takes work now; nothing if there are none.
///
/// If all that are left refused, sending more only adds to their load: the caller learns at once when
/// the first will take work again, after `least` ms or more. An ejected one is tried rather than nobody.
fn last_resort<'a>(
    now: Ms,
    lane: Lane,
    least: u64,
    left: impl Iterator<Item = (&'a Endpoint, &'a Experience)>,
) -> Option<Choice> {
    let left: Vec<(&Endpoint, &Experience)> = left.collect();
    let held = left
        .iter()
        .filter(|(_, it)| !it.ejected(now))
        .map(|(_, it)| it.held(now, lane).max(least))
        .min();
    if let Some(after) = held {
        return Some(Choice::Refuse(Refusal::after(Reason::Overloaded, after)));
    }
    let (endpoint, _) = left.into_iter().min_by_key(|(_, it)| it.failures())?;
    Some(Choice::Send(endpoint.clone()))
}

/// Least hint while endpoints are left: one that is being probed shows by then what it is worth, in ms.
const BUSY: u64 = 10;
/// When to come back if a service has no endpoint left, in ms.
const NO_ENDPOINT: u64 = 200;
