//! Pacing of answers on a host's link, so that long ones queue in the process and not in the network, where short ones
//! could not overtake them.

use std::collections::BTreeMap;

use super::link::bytes_per_ms;
use crate::clock::Ms;

/// Share of the link for answers. With all of it, a queue in the network would never become shorter.
const SHARE: f64 = 0.85;
/// Time for which an unused link saves up tokens, in ms: about two frames on a slow link.
const BURST_MS: f64 = 20.0;
/// Maximum time by which short answers overdraw the bucket, in ms. Beyond it long answers would stop beside many short
/// ones.
const OVERDRAFT_MS: f64 = 50.0;
/// Least size of the parts of a long answer, in bytes. A short answer waits for one part at most on a connection.
const PART_BYTES: usize = 8 * 1024;
/// Time that a part takes of the link where that is more than [`PART_BYTES`], in ms. Smaller parts only cost work there.
const PART_MS: f64 = 1.0;
/// Longest time after which a waiting answer asks again, in ms.
const RETRY_MS: u64 = 10;
/// Time after which an answer that does not ask again loses its turn, in ms: its receiver may be slower than the link.
const TURN_MS: u64 = 2 * RETRY_MS;

/// Token bucket of one link. Long answers draw from it in the order of their turns; short ones never wait.
#[derive(Debug)]
pub struct Pacer {
    /// In bytes per ms; `None` if the speed of the link is unknown.
    rate: Option<f64>,
    /// In bytes; negative if overdrawn.
    tokens: f64,
    updated: Ms,
    /// Long answers that wait for tokens, with the time at which they asked last.
    waiting: BTreeMap<Turn, Ms>,
}

/// Place of a long answer in the order: the one that is due first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Time up to which the answer is in time.
    pub due: Ms,
    /// Unique among the answers of the link.
    pub number: u64,
}

/// Result of [`Pacer::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The bytes may be sent now.
    Send,
    /// Ask again after this time, in ms.
    Wait(u64),
}

impl Pacer {
    /// Creates the full bucket of a link of `mbps` Mbit/s; zero if its speed is unknown, which lets everything pass.
    pub fn new(mbps: f64) -> Pacer {
        let rate = (mbps > 0.0).then_some(bytes_per_ms(mbps) * SHARE);
        Pacer {
            rate,
            tokens: rate.unwrap_or_default() * BURST_MS,
            updated: Ms(0),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the largest part of a long answer to take tokens for at once, in bytes; `None` if nothing is paced.
    pub fn part_bytes(&self) -> Option<usize> {
        let rate = self.rate?;
        Some(PART_BYTES.max((rate * PART_MS) as usize))
    }

    /// Takes tokens for the next `bytes` of a long answer, or has it wait in its turn. The bucket may be overdrawn by one
    /// part of an answer.
    pub fn take(&mut self, now: Ms, turn: Turn, bytes: u64) -> Take {
        let Some(rate) = self.rate else {
            return Take::Send;
        };
        self.refill(now, rate);
        let mut ahead = self.waiting.range(..turn);
        let is_next = ahead.all(|it| now.since(*it.1) > TURN_MS);
        if is_next && self.tokens > 0.0 {
            self.waiting.remove(&turn);
            self.tokens -= bytes as f64;
            return Take::Send;
        }
        self.waiting.insert(turn, now);
        let wait = (-self.tokens / rate).max(0.0) as u64 + 1;
        Take::Wait(wait.min(RETRY_MS))
    }

    /// Draws the bytes of a short answer, which is sent at once.
    pub fn draw(&mut self, now: Ms, bytes: u64) {
        let Some(rate) = self.rate else {
            return;
        };
        self.refill(now, rate);
        let least = (-OVERDRAFT_MS * rate).min(self.tokens);
        self.tokens = (self.tokens - bytes as f64).max(least);
    }

    /// Removes a long answer that no longer waits.
    pub fn leave(&mut self, turn: Turn) {
        self.waiting.remove(&turn);
    }

    fn refill(&mut self, now: Ms, rate: f64) {
        let gained = rate * now.since(self.updated) as f64;
        self.tokens = (self.tokens + gained).min(rate * BURST_MS);
        self.updated = self.updated.max(now);
    }
}
