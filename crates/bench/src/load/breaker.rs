//! Breaks a running site, on time.

use std::time::Duration;

use laburnum_standin::{Behaviour, Faults, Faulty, Outage, Share};
use tokio::time::{Instant, sleep_until};

use super::{case::Case, preset::Preset, site::Group};

/// What can be broken. The baseline uses no platform.
#[derive(Clone, Copy)]
pub struct Targets<'a> {
    /// Upstreams by service.
    pub groups: &'a [Group],
    /// The table and object store.
    pub platform: Option<&'a Faulty>,
}

/// Time between two looks at what is to be broken.
const STEP: Duration = Duration::from_millis(500);
/// How many times longer a slow upstream takes.
const SLOW_TIMES: u64 = 4;
/// One upstream in this many is slow.
const SLOW_EVERY: usize = 3;
/// Steps between two crashes of the same upstream.
const CRASH_STEPS: u32 = 4;
/// Share of the table's writes whose answer is lost.
const LOST_SHARE: f64 = 0.05;
/// Delay of the platform's answers in ms.
const PLATFORM_MS: u64 = 5;

/// Breaks what `case` says over `millis`, by steps of half a second; returns when the time is over.
pub async fn run(case: Case, preset: Preset, targets: Targets<'_>, millis: u64) {
    let start = Instant::now();
    let steps = (millis / STEP.as_millis() as u64) as u32;
    for step in 0..steps {
        sleep_until(start + STEP * step).await;
        match case {
            Case::Faults => every(step, preset, targets),
            _ => one(case, step, steps, preset, targets),
        }
    }
    sleep_until(start + Duration::from_millis(millis)).await;
}

fn one(case: Case, step: u32, steps: u32, preset: Preset, targets: Targets<'_>) {
    match case {
        Case::Slow if step == 0 => slow(preset, targets),
        Case::Crash if step.is_multiple_of(CRASH_STEPS) => crash(targets, 0),
        Case::Silent if step.is_multiple_of(2) => silence(targets, 0),
        Case::Drain if step == steps / 3 => leave(targets),
        Case::Table if step == steps / 3 => outage(targets, Outage::Refuse),
        Case::Table if step == steps * 2 / 3 => outage(targets, Outage::None),
        Case::Filings if step == 0 => lose(targets),
        Case::Filings if step.is_multiple_of(CRASH_STEPS) => crash(targets, step as usize),
        _ => {}
    }
}

/// Faults in turn, over and over; nobody leaves, as it would not come back.
fn every(step: u32, preset: Preset, targets: Targets<'_>) {
    let round = (step / 12) as usize;
    match step % 12 {
        0 => lose(targets),
        1 => silence(targets, round),
        3 => crash(targets, round + 1),
        5 => slow(preset, targets),
        7 => healthy(targets),
        8 => outage(targets, Outage::Refuse),
        10 => outage(targets, Outage::None),
        11 => silence(targets, round + 2),
        _ => {}
    }
}

fn slow(preset: Preset, targets: Targets<'_>) {
    let behaviour = Behaviour {
        slow: preset.mean() * (SLOW_TIMES - 1),
        ..Behaviour::default()
    };
    let slow = |group: &Group| {
        let picked = group.iter().step_by(SLOW_EVERY);
        picked.for_each(|it| it.set(behaviour));
    };
    targets.groups.iter().for_each(slow);
}

fn healthy(targets: Targets<'_>) {
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

fn leave(targets: Targets<'_>) {
    let picked = targets.groups.iter().filter_map(|it| it.first());
    picked.for_each(laburnum_standin::Upstream::leave);
}

fn lose(targets: Targets<'_>) {
    set(targets, Outage::None, LOST_SHARE);
}

fn outage(targets: Targets<'_>, outage: Outage) {
    set(targets, outage, 0.0);
}

fn set(targets: Targets<'_>, outage: Outage, lost: f64) {
    if let Some(platform) = targets.platform {
        platform.set(Faults {
            outage,
            slow: PLATFORM_MS,
            lost: Share::try_from(lost).unwrap_or_default(),
            ..Faults::default()
        });
    }
}
