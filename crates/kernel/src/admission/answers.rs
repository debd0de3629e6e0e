//! Admission of requests with large answers by the bandwidth of the host's link.
//!
//! Answers that are produced faster than the link carries queue up in the network, where they delay short answers and
//! expire. So a request whose answer is expected to be large is admitted only if the link can send it in time after those
//! already promised. Links carry both directions at once, so request bodies ([`super::link`]) are counted separately.

use super::{
    kinds::Kind,
    link::bytes_per_ms,
    sizes::{Expected, Sizes},
};
use crate::{
    clock::Ms,
    refusal::{Reason, Refusal},
};

/// Share of the link for answers. The rest carries the headers, control traffic and acknowledgements. Bytes handed to
/// connections drain at this share too: at the rate of the whole link, as much would be admitted as is sent, and a queue would
/// never become shorter.
const SHARE: f64 = 0.7;
/// Maximum time that an answer waits for the link once it is ready, in ms. A request whose answer would wait longer is
/// better sent to another host.
const BACKLOG_MS: u64 = 500;
/// Maximum time that the link needs for what was handed to it for the link to count as idle, in ms: some short answers.
const IDLE_MS: f64 = 20.0;
/// Maximum time that the link is taken to need for answers without a promise, in ms. Those to callers on the same host are
/// handed over faster than the link carries, and never use it.
const UNPROMISED_MAX_MS: f64 = 600.0;

/// Accounts for the answers that a link has to carry.
#[derive(Debug)]
pub struct AnswerLink {
    /// Bandwidth for answers, in bytes per ms; `None` if the speed of the link is unknown.
    rate: Option<f64>,
    sizes: Sizes,
    /// Bytes of admitted answers that were not handed to a connection yet.
    promised: u64,
    /// Bytes handed to connections that the link has not carried yet. Connections buffer far more than a slow link
    /// carries in a second, so this is computed from the link's speed.
    queued: f64,
    /// Time of the last update of `queued`.
    updated: Ms,
}

/// A request whose answer is to be promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRequest {
    /// Kind of the request.
    pub kind: Kind,
    /// Expected time until its answer is ready, in ms.
    pub run: u64,
    /// Time up to which the answer is in time.
    pub goal: Ms,
    /// Time from which the answer is of no use.
    pub deadline: Ms,
}

/// Bytes of an answer that the link has promised to send. Must be returned with [`AnswerLink::release`].
#[derive(Debug, Default)]
#[must_use]
pub struct Promise {
    bytes: u64,
}

impl AnswerLink {
    /// Creates the account of a link of `mbps` Mbit/s; zero if its speed is unknown, which admits everything.
    pub fn new(mbps: f64) -> AnswerLink {
        AnswerLink {
            rate: (mbps > 0.0).then_some(bytes_per_ms(mbps) * SHARE),
            sizes: Sizes::default(),
            promised: 0,
            queued: 0.0,
            updated: Ms(0),
        }
    }

    /// Promises the expected bytes of the answer if the link can send them in time. Small answers need no promise and
    /// are always admitted, as is any answer on an idle link, so that an expectation that is too high corrects itself.
    pub fn admit(&mut self, now: Ms, request: AnswerRequest) -> Result<Promise, Refusal> {
        let (bytes, deviation) = match self.sizes.expect(now, request.kind) {
            Expected::Small => return Ok(Promise::default()),
            Expected::Stale(bytes) => return Ok(self.promise(bytes)),
            Expected::Large { mean, deviation } => (mean, deviation),
        };
        self.drain(now);
        let Some(rate) = self.rate else {
            return Ok(self.promise(bytes));
        };
        let is_idle = self.promised == 0 && self.queued <= IDLE_MS * rate;
        // Half of the answers are longer than the mean, while the sum of those promised is close to that of the means.
        let likely = (bytes + deviation) as f64;
        let own = (likely / rate) as u64;
        let through = ((self.pending() + likely) / rate) as u64;
        let longest = longest(now, request, own);
        if !is_idle && through > longest {
            return Err(Refusal::after(Reason::LinkFull, through - longest));
        }
        Ok(self.promise(bytes))
    }

    /// Returns whether answers to requests of `kind` are large, as far as is known.
    pub fn is_large(&self, kind: Kind) -> bool {
        self.sizes.large(kind).is_some()
    }

    /// Sets a promise to the true length of its answer.
    pub fn resize(&mut self, promise: &mut Promise, bytes: u64) {
        self.promised = self.promised - promise.bytes + bytes;
        promise.bytes = bytes;
    }

    /// Records that `bytes` of the promised answer were handed to a connection.
    pub fn sent(&mut self, now: Ms, promise: &mut Promise, bytes: u64) {
        let kept = bytes.min(promise.bytes);
        promise.bytes -= kept;
        self.promised -= kept;
        self.drain(now);
        self.queued += bytes as f64;
    }

    /// Records that `bytes` of an answer without a promise were handed to a connection.
    pub fn sent_unpromised(&mut self, now: Ms, bytes: u64) {
        self.drain(now);
        let most = self.rate.map_or(0.0, |it| it * UNPROMISED_MAX_MS);
        let queued = (self.queued + bytes as f64).min(most);
        self.queued = self.queued.max(queued);
    }

    /// Takes back what is left of a promise whose answer ended or is no longer expected.
    pub fn release(&mut self, promise: Promise) {
        self.promised -= promise.bytes;
    }

    /// Records the size of a whole answer to a request of `kind`, in bytes.
    pub fn record(&mut self, now: Ms, kind: Kind, bytes: u64) {
        self.sizes.record(now, kind, bytes);
    }

    /// Returns the number of bytes that are promised or handed to connections and not yet carried.
    pub fn pending_bytes(&mut self, now: Ms) -> u64 {
        self.drain(now);
        self.pending() as u64
    }

    /// Returns the time until all promised answers are through, in ms; zero if the speed of the link is unknown.
    pub fn pending_ms(&mut self, now: Ms) -> u64 {
        self.drain(now);
        self.rate.map_or(0, |it| (self.pending() / it) as u64)
    }

    /// Returns the bandwidth for answers, in bytes per ms; zero if the speed of the link is unknown.
    pub fn rate(&self) -> f64 {
        self.rate.unwrap_or_default()
    }

    fn promise(&mut self, bytes: u64) -> Promise {
        self.promised += bytes;
        Promise { bytes }
    }

    fn pending(&self) -> f64 {
        self.promised as f64 + self.queued
    }

    fn drain(&mut self, now: Ms) {
        let elapsed = now.since(self.updated) as f64;
        let carried = self.rate.map_or(self.queued, |it| it * elapsed);
        self.queued = (self.queued - carried).max(0.0);
        self.updated = self.updated.max(now);
    }
}

/// Returns the time within which the answer must be through, in ms: until the goal if the answer can reach it on an
/// idle link, else until the deadline, and never more than the backlog beyond its run. While the request runs the link
/// carries what was promised before, so the time of the run is not taken off.
fn longest(now: Ms, request: AnswerRequest, own: u64) -> u64 {
    let timely = request.goal.since(now);
    let useful = match request.run + own <= timely {
        true => timely,
        false => request.deadline.since(now),
    };
    useful.min(request.run + BACKLOG_MS)
}
