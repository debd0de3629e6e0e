//! Stages of a roll-out: which endpoints take requests in each, and when the next one begins.

use serde::{Deserialize, Serialize};

use super::{CANARY_PERCENT, Rollout};
use crate::members::{Evidence, Exposure, Phase, Reach, Record};

/// Part of the time for a roll-out during which only canaries get requests, in percent.
const WATCH_PERCENT: u64 = 40;
/// Part of the time after which a service with too few requests to judge by moves on, in percent.
const UNJUDGED_PERCENT: u64 = 55;
/// Part of the time after which a build that never showed up is given up, in percent.
const ABSENT_PERCENT: u64 = 80;
/// Part of the time after which the roll-out completes although old endpoints still work, in percent.
const LAST_PERCENT: u64 = 93;
/// How long both builds take all requests, in ms.
const MOVING_MS: u64 = 1_500;
/// How long the old endpoints take none before the roll-out completes, in ms: faults that show under the whole load.
const RETIRING_MS: u64 = 1_500;
/// Time after an order in which the endpoints of a new build announce themselves, in ms.
pub(super) const SETTLE_MS: u64 = 3_000;
/// Part of the judged endpoints that have to be faulty for a roll-back, in percent: one may be ill by itself.
const FAULTY_PERCENT: usize = 30;
/// Number of faulty endpoints for a roll-back, if there are so many.
const FAULTY_MIN: usize = 2;
/// Maximum number of canaries.
const CANARIES_MAX: usize = 6;

/// Stage of a roll-out; a later one never returns to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// A few endpoints of the target get a small share of the requests.
    Canary,
    /// All endpoints of both builds get requests.
    Moving,
    /// Only the target's endpoints get new requests.
    Retiring,
    /// The target is in service; the old endpoints stop.
    Completed,
    /// The target is given up; it gets no requests.
    RolledBack,
}

impl Stage {
    /// Returns whether no other stage follows.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Returns the name of the stage in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Canary => "canary",
            Stage::Moving => "moving",
            Stage::Retiring => "retiring",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled-back",
        }
    }
}

/// Numbers of a service's endpoints by build and state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Census {
    /// Ready endpoints of the target.
    pub(super) new: usize,
    /// Those of them whose answers show no fault.
    pub(super) sound: usize,
    /// Those of them whose answers show one.
    pub(super) faulty: usize,
    /// Endpoints of other builds.
    pub(super) old: usize,
    /// Those of them that can be reached and still have requests in progress.
    pub(super) busy: usize,
}

/// Whether endpoints of the target are still becoming known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// One became known or was lost a moment ago.
    Going,
    /// Their number has not changed for [`SETTLE_MS`].
    Over,
}

impl Census {
    /// Counts the endpoints of the rollout's service among `records`.
    pub(super) fn of<'a>(
        rollout: &Rollout,
        records: impl Iterator<Item = (&'a Record, Reach)>,
    ) -> Census {
        let mut census = Census::default();
        for (record, reach) in records {
            let Some(offer) = record.offer.as_ref() else {
                continue;
            };
            if offer.service != rollout.order.service {
                continue;
            }
            if offer.build == rollout.order.target {
                let ready = usize::from(record.phase == Phase::Ready);
                census.new += ready;
                census.sound += ready * usize::from(offer.evidence == Evidence::Sound);
                census.faulty += usize::from(offer.evidence == Evidence::Faulty);
            } else if record.phase <= Phase::Ready {
                census.old += 1;
                let busy = offer.exposure != Exposure::Retired && reach != Reach::Unreachable;
                census.busy += usize::from(busy);
            }
        }
        census
    }

    /// Returns whether enough endpoints of the target are faulty to give it up.
    pub(super) fn shows_fault(&self, arrival: Arrival) -> bool {
        let judged = self.sound + self.faulty;
        let least = match arrival {
            // The only endpoint that this node knows may be the first of many.
            Arrival::Going => FAULTY_MIN,
            Arrival::Over => FAULTY_MIN.min(self.new.max(1)),
        };
        self.faulty >= least && self.faulty * 100 >= judged * FAULTY_PERCENT
    }

    /// Returns the number of canaries: as many as carry their share of the requests at the usual load.
    pub(super) fn canaries(&self) -> usize {
        let share = (self.old * CANARY_PERCENT as usize).div_ceil(100);
        share.clamp(1, CANARIES_MAX)
    }
}

/// Returns the stage that has to follow now, if any: `elapsed` ms after the order and `staged` ms after the present stage
/// began.
pub(super) fn next_stage(
    rollout: &Rollout,
    elapsed: u64,
    staged: u64,
    census: Census,
) -> Option<Stage> {
    if rollout.is_faulty && !rollout.stage.is_final() {
        return Some(Stage::RolledBack);
    }
    let within = rollout.order.within;
    let after = |percent: u64| elapsed * 100 >= within * percent;
    match rollout.stage {
        Stage::Canary if census.new == 0 => after(ABSENT_PERCENT).then_some(Stage::RolledBack),
        // The target is in service already.
        Stage::Canary if census.old == 0 => (elapsed >= SETTLE_MS).then_some(Stage::Completed),
        Stage::Canary => {
            let judged = census.sound > 0 && after(WATCH_PERCENT);
            (judged || after(UNJUDGED_PERCENT)).then_some(Stage::Moving)
        }
        Stage::Moving => (staged >= MOVING_MS).then_some(Stage::Retiring),
        Stage::Retiring => {
            let idle = census.busy == 0 && staged >= RETIRING_MS;
            (idle || after(LAST_PERCENT)).then_some(Stage::Completed)
        }
        Stage::Completed | Stage::RolledBack => None,
    }
}

/// Whether an endpoint is one of the canaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Selected {
    Yes,
    No,
}

/// Returns the exposure of an endpoint of the target.
pub(super) fn target_exposure(
    rollout: &Rollout,
    before: Exposure,
    evidence: Evidence,
    selected: Selected,
) -> Exposure {
    match rollout.stage {
        Stage::Completed => Exposure::Full,
        Stage::RolledBack => Exposure::Held,
        _ if rollout.is_faulty || evidence == Evidence::Faulty => Exposure::Held,
        Stage::Moving | Stage::Retiring => Exposure::Full,
        // It was in service before the order.
        Stage::Canary if before == Exposure::Full => Exposure::Full,
        Stage::Canary => match selected {
            Selected::Yes => Exposure::Canary,
            Selected::No => Exposure::Held,
        },
    }
}

/// Returns the exposure of an endpoint of another build than the target.
pub(super) fn other_exposure(rollout: &Rollout, before: Exposure) -> Exposure {
    match (rollout.stage, before) {
        (Stage::Canary | Stage::Moving | Stage::RolledBack, _) => Exposure::Full,
        (Stage::Retiring, _) if rollout.is_faulty => Exposure::Full,
        (Stage::Retiring | Stage::Completed, Exposure::Retired) => Exposure::Retired,
        (Stage::Retiring | Stage::Completed, _) => Exposure::Retiring,
    }
}
