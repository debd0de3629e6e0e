//! The adaptive limit: how many requests run at once, between one and the upstream's slots.
//!
//! Each window compares the measured latency with the baseline of its class. The limit grows while latency
//! stays near the baseline and shrinks when it does not, or when the upstream sheds. The baseline is
//! measured by a probe: one window at a quarter of the slots. A baseline that merely followed the latency
//! would slowly accept any crowding as normal, and one that never rose would starve an upstream that has
//! become slower for good.

use crate::{
    admission::queue::{CLASSES, index},
    clock::Ms,
    document::Class,
};

/// Shortest time between two changes of the limit, in ms.
const WINDOW: u64 = 100;
/// Answers that a window must hold to be judged.
const SAMPLES: u32 = 8;
/// Ratio of latency to its baseline from which the limit shrinks.
const TOLERANCE: f64 = 1.6;
/// Factor by which the limit shrinks.
const SHRINK: f64 = 0.9;
/// Steps in which the limit grows from nothing to all slots.
const STEPS: f64 = 8.0;
/// Share of the slots that a probe leaves.
const PROBE_SHARE: f64 = 0.25;
/// Time between probes of a busy upstream, in ms.
const PROBE_GAP: u64 = 30_000;
/// Time before the first probe, and between probes while the limit keeps shrinking, in ms.
const PROBE_SOON: u64 = 3_000;
/// Cuts in a row after which the baseline is doubted.
const DOUBT: u32 = 3;
/// Share of a new sample in the mean service time.
const SERVICE_GAIN: f64 = 0.1;

/// Limit on the requests running at once.
#[derive(Debug)]
pub struct Limit {
    slots: f64,
    limit: f64,
    service: [Option<f64>; CLASSES],
    base: [Option<f64>; CLASSES],
    window: Window,
    mode: Mode,
    probed: Option<Ms>,
    cuts: u32,
}

#[derive(Debug, Default)]
struct Window {
    start: Ms,
    sums: [f64; CLASSES],
    counts: [u32; CLASSES],
    /// Whether the limit was reached.
    full: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Steady,
    /// The limit is cut for one window to measure the baseline.
    Probe,
}

impl Limit {
    /// A limit that starts at `slots`.
    pub fn new(slots: u16) -> Limit {
        let slots = f64::from(slots.max(1));
        Limit {
            slots,
            limit: slots,
            service: [None; CLASSES],
            base: [None; CLASSES],
            window: Window::default(),
            mode: Mode::Steady,
            probed: None,
            cuts: 0,
        }
    }

    /// Requests that may run at once; at least one.
    pub fn get(&self) -> usize {
        let limit = match self.mode {
            Mode::Steady => self.limit,
            Mode::Probe => self.limit.min(self.slots * PROBE_SHARE),
        };
        (limit as usize).max(1)
    }

    /// Mean service time of `class` in ms; zero before the first answer.
    pub fn service(&self, class: Class) -> u64 {
        self.service[index(class)].unwrap_or(0.0).round() as u64
    }

    /// Follows the upstream's slots. A limit at its bound stays there.
    pub fn set_slots(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        let full = self.limit >= self.slots;
        self.slots = slots;
        self.limit = if full { slots } else { self.limit.min(slots) };
    }

    /// Counts a start that makes `running` requests run.
    pub fn started(&mut self, running: usize) {
        self.window.full |= running >= self.get();
    }

    /// Counts an answer that took `took` ms.
    pub fn answered(&mut self, now: Ms, class: Class, took: u64) {
        let sample = took as f64;
        let slot = index(class);
        let service = self.service[slot].get_or_insert(sample);
        *service += SERVICE_GAIN * (sample - *service);
        self.base[slot].get_or_insert(sample);
        if self.mode == Mode::Probe && took > now.since(self.window.start) {
            return;
        }
        self.window.sums[slot] += sample;
        self.window.counts[slot] += 1;
        let samples: u32 = self.window.counts.iter().sum();
        if samples >= SAMPLES && now.since(self.window.start) >= WINDOW {
            self.judge(now);
        }
    }

    /// Counts a request that the upstream shed; at most one cut a window.
    pub fn overloaded(&mut self, now: Ms) {
        if now.since(self.window.start) >= WINDOW {
            self.shrink();
            self.restart(now);
        }
    }

    fn judge(&mut self, now: Ms) {
        match self.mode {
            Mode::Probe => {
                self.rebase();
                self.mode = Mode::Steady;
            }
            Mode::Steady if self.ratio() > TOLERANCE => self.shrink(),
            Mode::Steady => self.grow(),
        }
        if self.probe_due(now) {
            self.mode = Mode::Probe;
            self.probed = Some(now);
            self.cuts = 0;
        }
        self.restart(now);
    }

    fn probe_due(&mut self, now: Ms) -> bool {
        let Some(last) = self.probed else {
            // The first window starts the clock, so that the first probe comes soon.
            self.probed = Some(now + PROBE_SOON - PROBE_GAP);
            return false;
        };
        let gap = if self.cuts >= DOUBT {
            PROBE_SOON
        } else {
            PROBE_GAP
        };
        self.window.full && now.since(last) >= gap
    }

    /// Mean over the window's answers of latency to baseline.
    fn ratio(&self) -> f64 {
        let Window { sums, counts, .. } = &self.window;
        let ratios = (0..CLASSES).map(|it| {
            let base = self.base[it].unwrap_or(0.0);
            (sums[it] + f64::from(counts[it])) / (base + 1.0)
        });
        ratios.sum::<f64>() / f64::from(counts.iter().sum::<u32>())
    }

    /// Takes the window's latencies as the baseline, by as much as they were sampled.
    fn rebase(&mut self) {
        for slot in 0..CLASSES {
            let count = f64::from(self.window.counts[slot]);
            if count == 0.0 {
                continue;
            }
            let mean = self.window.sums[slot] / count;
            let base = self.base[slot].get_or_insert(mean);
            *base += count / (count + 2.0) * (mean - *base);
        }
    }

    fn grow(&mut self) {
        self.cuts = 0;
        self.limit = (self.limit + (self.slots / STEPS).max(1.0)).min(self.slots);
    }

    fn shrink(&mut self) {
        self.cuts += 1;
        self.limit = (self.limit * SHRINK).max(1.0);
    }

    fn restart(&mut self, now: Ms) {
        self.window = Window {
            start: now,
            ..Window::default()
        };
    }
}
