//! Adaptive concurrency limit, between one and the upstream's number of slots.
//!
//! The limit grows while the latency of a window stays near the baseline of its class, and shrinks when it does not or
//! when the upstream sheds load. A probe, one window at a quarter of the slots, measures the baseline, so that it
//! follows a slower upstream but not queueing caused by the limit itself. A baseline that only followed the latency would
//! slowly accept any queueing as normal; one that never rose would starve an upstream that has become slower for good.

use crate::{
    admission::queue::{CLASSES, index},
    clock::Ms,
    document::Class,
};

/// Minimum time between two changes of the limit, in ms.
const WINDOW_MS: u64 = 100;
/// Minimum number of answers in a window.
const WINDOW_SAMPLES: u32 = 8;
/// Ratio of latency to baseline above which the limit shrinks.
const TOLERANCE: f64 = 1.6;
/// Factor by which the limit shrinks at each cut.
const SHRINK: f64 = 0.9;
/// Number of growth steps from zero to all slots.
const GROWTH_STEPS: f64 = 8.0;
/// Share of the slots that is used during a probe.
const PROBE_SHARE: f64 = 0.25;
/// Time between probes of a busy upstream, in ms.
const PROBE_INTERVAL_MS: u64 = 30_000;
/// Time before the first probe, and between probes while the limit keeps shrinking, in ms.
const PROBE_INTERVAL_SHORT_MS: u64 = 3_000;
/// Number of consecutive cuts after which the baseline is probed early.
const CUTS_BEFORE_PROBE: u32 = 3;
/// Weight of a new sample in the mean service time.
const SERVICE_GAIN: f64 = 0.1;

/// Limit on the number of running requests.
#[derive(Debug)]
pub struct Limit {
    slots: f64,
    limit: f64,
    service: [Option<f64>; CLASSES],
    baseline: [Option<f64>; CLASSES],
    window: Window,
    mode: Mode,
    last_probe: Option<Ms>,
    cuts: u32,
}

#[derive(Debug, Default)]
struct Window {
    start: Ms,
    sums: [f64; CLASSES],
    counts: [u32; CLASSES],
    /// Whether the limit was reached.
    saturated: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Steady,
    /// The limit is reduced for one window to measure the baseline.
    Probe,
}

impl Limit {
    /// Creates a limit that starts at `slots`.
    pub fn new(slots: u16) -> Limit {
        let slots = f64::from(slots.max(1));
        Limit {
            slots,
            limit: slots,
            service: [None; CLASSES],
            baseline: [None; CLASSES],
            window: Window::default(),
            mode: Mode::Steady,
            last_probe: None,
            cuts: 0,
        }
    }

    /// Returns the number of requests that may run at once, at least one.
    pub fn get(&self) -> usize {
        let limit = match self.mode {
            Mode::Steady => self.limit,
            Mode::Probe => self.limit.min(self.slots * PROBE_SHARE),
        };
        (limit as usize).max(1)
    }

    /// Returns the mean service time of `class` in ms; zero before the first answer.
    pub fn service(&self, class: Class) -> u64 {
        self.service[index(class)].unwrap_or(0.0).round() as u64
    }

    /// Sets the upstream's number of slots. A limit that equals the old number becomes the new one.
    pub fn set_slots(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        let full = self.limit >= self.slots;
        self.slots = slots;
        self.limit = if full { slots } else { self.limit.min(slots) };
    }

    /// Records a start after which `running` requests run.
    pub fn started(&mut self, running: usize) {
        self.window.saturated |= running >= self.get();
    }

    /// Records an answer after `took` ms.
    pub fn answered(&mut self, now: Ms, class: Class, took: u64) {
        let sample = took as f64;
        let idx = index(class);
        let service = self.service[idx].get_or_insert(sample);
        *service += SERVICE_GAIN * (sample - *service);
        self.baseline[idx].get_or_insert(sample);
        if self.mode == Mode::Probe && took > now.since(self.window.start) {
            return;
        }
        self.window.sums[idx] += sample;
        self.window.counts[idx] += 1;
        let samples: u32 = self.window.counts.iter().sum();
        if samples >= WINDOW_SAMPLES && now.since(self.window.start) >= WINDOW_MS {
            self.evaluate(now);
        }
    }

    /// Records a request that the upstream shed; cuts the limit at most once per window.
    pub fn overloaded(&mut self, now: Ms) {
        if now.since(self.window.start) >= WINDOW_MS {
            self.shrink();
            self.restart_window(now);
        }
    }

    fn evaluate(&mut self, now: Ms) {
        match self.mode {
            Mode::Probe => {
                self.update_baselines();
                self.mode = Mode::Steady;
            }
            Mode::Steady if self.ratio() > TOLERANCE => self.shrink(),
            Mode::Steady => self.grow(),
        }
        if self.probe_due(now) {
            self.mode = Mode::Probe;
            self.last_probe = Some(now);
            self.cuts = 0;
        }
        self.restart_window(now);
    }

    fn probe_due(&mut self, now: Ms) -> bool {
        let Some(last) = self.last_probe else {
            // The first probe comes `PROBE_INTERVAL_SHORT_MS` after the first window.
            self.last_probe = Some(now + PROBE_INTERVAL_SHORT_MS - PROBE_INTERVAL_MS);
            return false;
        };
        let gap = if self.cuts >= CUTS_BEFORE_PROBE {
            PROBE_INTERVAL_SHORT_MS
        } else {
            PROBE_INTERVAL_MS
        };
        self.window.saturated && now.since(last) >= gap
    }

    /// Returns the mean ratio of latency to baseline over the window's answers.
    fn ratio(&self) -> f64 {
        let Window { sums, counts, .. } = &self.window;
        let ratios = (0..CLASSES).map(|it| {
            let baseline = self.baseline[it].unwrap_or(0.0);
            (sums[it] + f64::from(counts[it])) / (baseline + 1.0)
        });
        ratios.sum::<f64>() / f64::from(counts.iter().sum::<u32>())
    }

    /// Moves the baselines towards the window's latencies, weighted by their number of samples.
    fn update_baselines(&mut self) {
        for idx in 0..CLASSES {
            let count = f64::from(self.window.counts[idx]);
            if count == 0.0 {
                continue;
            }
            let mean = self.window.sums[idx] / count;
            let baseline = self.baseline[idx].get_or_insert(mean);
            *baseline += count / (count + 2.0) * (mean - *baseline);
        }
    }

    fn grow(&mut self) {
        self.cuts = 0;
        self.limit = (self.limit + (self.slots / GROWTH_STEPS).max(1.0)).min(self.slots);
    }

    fn shrink(&mut self) {
        self.cuts += 1;
        self.limit = (self.limit * SHRINK).max(1.0);
    }

    fn restart_window(&mut self, now: Ms) {
        self.window = Window {
            start: now,
            ..Window::default()
        };
    }
}
