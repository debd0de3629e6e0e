//! The adaptive limit: how many requests run at once.
//!
//! Between one and the upstream's slots. Each window the measured latency is compared with the baseline
//! of its class: a limit that is in use while latency stays near the baseline grows by one, and one that
//! runs into rising latency or a shed request shrinks by a tenth.

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
const TOLERANCE: f64 = 2.0;
/// Factor by which the limit shrinks.
const SHRINK: f64 = 0.9;
/// Share of a new sample in the mean service time.
const SERVICE_GAIN: f64 = 0.1;
/// Share of a higher latency that the baseline takes on each sample; a lower one counts in full sooner.
const BASE_RISE: f64 = 0.005;
const BASE_FALL: f64 = 0.1;

/// Limit on the requests running at once.
#[derive(Debug)]
pub struct Limit {
    slots: u16,
    limit: f64,
    service: [Option<f64>; CLASSES],
    base: [Option<f64>; CLASSES],
    ratios: f64,
    samples: u32,
    window: Ms,
}

impl Limit {
    /// A limit that starts at `slots`.
    pub fn new(slots: u16) -> Limit {
        Limit {
            slots: slots.max(1),
            limit: f64::from(slots.max(1)),
            service: [None; CLASSES],
            base: [None; CLASSES],
            ratios: 0.0,
            samples: 0,
            window: Ms(0),
        }
    }

    /// Requests that may run at once; at least one.
    pub fn get(&self) -> usize {
        self.limit as usize
    }

    /// Mean service time of `class` in ms; zero before the first answer.
    pub fn service(&self, class: Class) -> u64 {
        self.service[index(class)].unwrap_or(0.0).round() as u64
    }

    /// Follows the upstream's slots. A limit at its bound stays there.
    pub fn set_slots(&mut self, slots: u16) {
        let slots = slots.max(1);
        let full = self.limit >= f64::from(self.slots);
        self.slots = slots;
        let bound = f64::from(slots);
        self.limit = if full { bound } else { self.limit.min(bound) };
    }

    /// Counts an answer that took `took` ms.
    pub fn answered(&mut self, now: Ms, class: Class, took: u64) {
        let took = took as f64;
        let slot = index(class);
        let service = self.service[slot].get_or_insert(took);
        *service += SERVICE_GAIN * (took - *service);
        let base = self.base[slot].get_or_insert(took);
        let gain = if took > *base { BASE_RISE } else { BASE_FALL };
        *base += gain * (took - *base);
        self.ratios += (took + 1.0) / (*base + 1.0);
        self.samples += 1;
        if self.samples >= SAMPLES && now.since(self.window) >= WINDOW {
            self.judge(now);
        }
    }

    /// Counts a request that the upstream shed; at most one cut a window.
    pub fn overloaded(&mut self, now: Ms) {
        if now.since(self.window) >= WINDOW {
            self.shrink();
            self.restart(now);
        }
    }

    fn judge(&mut self, now: Ms) {
        let ratio = self.ratios / f64::from(self.samples);
        if ratio > TOLERANCE {
            self.shrink();
        } else {
            self.limit = (self.limit + 1.0).min(f64::from(self.slots));
        }
        self.restart(now);
    }

    fn shrink(&mut self) {
        self.limit = (self.limit * SHRINK).max(1.0);
    }

    fn restart(&mut self, now: Ms) {
        self.window = now;
        self.ratios = 0.0;
        self.samples = 0;
    }
}
