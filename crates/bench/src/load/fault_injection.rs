//! Scheduled fault injection during a case.

use std::time::Duration;

use laburnum_standin::{Behaviour, Faults, FaultyPlatform, Outage, Share};
use tokio::time::{Instant, sleep_until};

use super::{case::Case, preset::Preset, site::Group};

/// Targets of fault injection; the baseline has no platform.
#[derive(Clone, Copy)]
pub struct Targets<'a> {
    /// Upstreams by service.
    pub groups: &'a [Group],
    /// Table and object store.
    pub platform: Option<&'a FaultyPlatform>,
}

/// Interval of the fault schedule.
const STEP: Duration = Duration::from_millis(500);
/// Factor by which a slow upstream takes longer.
const SLOW_FACTOR: u64 = 4;
/// One in this many upstreams is slow.
const SLOW_EVERY: usize = 3;
/// Number of steps between two crashes.
const CRASH_STEPS: u32 = 4;
/// Share of table writes whose answer is lost.
const LOST_SHARE: f64 = 0.05;
/// Delay of the platform's answers, in ms.
const PLATFORM_MS: u64 = 5;

/// Injects the faults of `case` over `millis`, in steps of half a second; returns when the time is over.
pub async fn run(case: Case, preset: Preset, targets: Targets<'_>, millis: u64) {
    let start = Instant::now();
    let steps = (millis / STEP.as_millis() as u64) as u32;
    for step in 0..steps {
        sleep_until(start + STEP * step).await;
        match case {
            Case::Faults => inject_all(step, preset, targets),
            _ => inject_for_case(case, step, steps, preset, targets),
        }
    }
    sleep_until(start + Duration::from_millis(millis)).await;
}

/// Injects the faults that `case` has at `step`.
fn inject_for_case(case: Case, step: u32, steps: u32, preset: Preset, targets: Targets<'_>) {
    match case {
        Case::Slow if step == 0 => slow_down(preset, targets),
        Case::Crash if step.is_multiple_of(CRASH_STEPS) => crash(targets, 0),
        Case::Silent if step.is_multiple_of(2) => silence(targets, 0),
        Case::Drain if step == steps / 3 => drain_first(targets),
        Case::Table if step == steps / 3 => set_outage(targets, Outage::Refuse),
        Case::Table if step == steps * 2 / 3 => set_outage(targets, Outage::None),
        Case::Filings if step == 0 => lose_answers(targets),
        Case::Filings if step.is_multiple_of(CRASH_STEPS) => crash(targets, step as usize),
        _ => {}
    }
}

/// Injects all faults in rotation, except for leaving upstreams, which would not return.
fn inject_all(step: u32, preset: Preset, targets: Targets<'_>) {
    let round = (step / 12) as usize;
    match step % 12 {
        0 => lose_answers(targets),
        1 => silence(targets, round),
        3 => crash(targets, round + 1),
        5 => slow_down(preset, targets),
        7 => reset_behaviour(targets),
        8 => set_outage(targets, Outage::Refuse),
        10 => set_outage(targets, Outage::None),
        11 => silence(targets, round + 2),
        _ => {}
    }
}

/// Slows every third upstream of each service.
fn slow_down(preset: Preset, targets: Targets<'_>) {
    let behaviour = Behaviour {
        slow: preset.mean_service_ms() * (SLOW_FACTOR - 1),
        ..Behaviour::default()
    };
    let slow = |group: &Group| {
        let picked = group.iter().step_by(SLOW_EVERY);
        picked.for_each(|it| it.set(behaviour));
    };
    targets.groups.iter().for_each(slow);
}

fn reset_behaviour(targets: Targets<'_>) {
    let all = targets.groups.iter().flatten();
    all.for_each(|it| it.set(Behaviour::default()));
}

fn crash(targets: Targets<'_>, idx: usize) {
    let picked = targets.groups.iter().map(|it| &it[idx % it.len()]);
    picked.for_each(laburnum_standin::Upstream::crash);
}

fn silence(targets: Targets<'_>, idx: usize) {
    let picked = targets.groups.iter().map(|it| &it[idx % it.len()]);
    picked.for_each(laburnum_standin::Upstream::silence);
}

fn drain_first(targets: Targets<'_>) {
    let picked = targets.groups.iter().filter_map(|it| it.first());
    picked.for_each(laburnum_standin::Upstream::leave);
}

fn lose_answers(targets: Targets<'_>) {
    set_platform_faults(targets, Outage::None, LOST_SHARE);
}

fn set_outage(targets: Targets<'_>, outage: Outage) {
    set_platform_faults(targets, outage, 0.0);
}

fn set_platform_faults(targets: Targets<'_>, outage: Outage, lost: f64) {
    if let Some(platform) = targets.platform {
        platform.set(Faults {
            outage,
            slow: PLATFORM_MS,
            lost: Share::try_from(lost).unwrap_or_default(),
            ..Faults::default()
        });
    }
}
