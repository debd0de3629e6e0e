//! What is learned of the calls of each kind of run.

use super::CallEnd;
use crate::{admission::kinds::Kind, clock::Ms, id::Name, utils::evict};

/// Maximum number of kinds of runs.
pub const KINDS_MAX: usize = 32;
/// Maximum number of called services of each kind.
pub const CALLED_MAX: usize = 8;
/// Weight of a new sample in a mean: about thirty samples count. The first samples weigh more.
const GAIN: f64 = 0.03;

/// Calls by kind of run; empty after a restart. The least recently used kinds and services are evicted.
#[derive(Debug, Default)]
pub struct Learned {
    kinds: Vec<KindCalls>,
}

/// Calls of one kind of run.
#[derive(Clone, Debug, PartialEq)]
pub struct KindCalls {
    /// Kind of the runs.
    pub kind: Kind,
    /// Number of runs that ended.
    pub runs: u64,
    /// Mean number of calls per run.
    pub per_run: f64,
    /// Called services.
    pub services: Vec<CalledService>,
    last_used: Ms,
}

/// Calls of one kind of run to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct CalledService {
    /// The called service.
    pub service: Name,
    /// Number of calls that ended.
    pub calls: u64,
    /// Share of refused calls.
    pub refused: f64,
    /// Share of calls that the called upstream shed.
    pub shed: f64,
    /// Share of failed calls.
    pub failed: f64,
    /// Mean duration of the calls that ran, in ms.
    pub millis: f64,
    /// End of the last call, or the begin of the first one until it ends.
    pub last: Ms,
    /// Number of calls that ran.
    ran: u64,
    last_used: Ms,
}

impl Learned {
    /// Returns the kinds, in no particular order.
    pub fn kinds(&self) -> &[KindCalls] {
        &self.kinds
    }

    /// Records a run that ended after `calls` calls. Kinds that make no calls are not kept.
    pub(super) fn record_run(&mut self, now: Ms, kind: Kind, calls: u32) {
        let known = self.kinds.iter().any(|it| it.kind == kind);
        if calls == 0 && !known {
            return;
        }
        let kind = self.kind(now, kind);
        kind.runs += 1;
        add_sample(&mut kind.per_run, kind.runs, f64::from(calls));
    }

    /// Records the begin of a call, so that its kind and service are kept until it ends.
    pub(super) fn record_call(&mut self, now: Ms, kind: Kind, service: &Name) {
        self.kind(now, kind).service(now, service);
    }

    /// Records the end of a call that took `took` ms.
    pub(super) fn record_call_end(
        &mut self,
        now: Ms,
        kind: Kind,
        service: &Name,
        end: CallEnd,
        took: u64,
    ) {
        let called = self.kind(now, kind).service(now, service);
        called.calls += 1;
        called.last = now;
        let calls = called.calls;
        let is = |it| f64::from(u8::from(end == it));
        add_sample(&mut called.refused, calls, is(CallEnd::Refused));
        add_sample(&mut called.shed, calls, is(CallEnd::Shed));
        add_sample(&mut called.failed, calls, is(CallEnd::Failed));
        match end {
            CallEnd::Answered | CallEnd::Failed => {
                called.ran += 1;
                add_sample(&mut called.millis, called.ran, took as f64);
            }
            // A refusal is quick and says nothing about the duration of a call.
            CallEnd::Refused | CallEnd::Shed => {}
        }
    }

    fn kind(&mut self, now: Ms, kind: Kind) -> &mut KindCalls {
        let found = self.kinds.iter().position(|it| it.kind == kind);
        let idx = match found {
            Some(it) => it,
            None => {
                evict(&mut self.kinds, KINDS_MAX, |it| it.last_used);
                self.kinds.push(KindCalls {
                    kind,
                    runs: 0,
                    per_run: 0.0,
                    services: Vec::new(),
                    last_used: now,
                });
                self.kinds.len() - 1
            }
        };
        self.kinds[idx].last_used = now;
        &mut self.kinds[idx]
    }
}

impl KindCalls {
    fn service(&mut self, now: Ms, service: &Name) -> &mut CalledService {
        let found = self.services.iter().position(|it| it.service == *service);
        let idx = match found {
            Some(it) => it,
            None => {
                evict(&mut self.services, CALLED_MAX, |it| it.last_used);
                self.services.push(CalledService {
                    service: service.clone(),
                    calls: 0,
                    refused: 0.0,
                    shed: 0.0,
                    failed: 0.0,
                    millis: 0.0,
                    last: now,
                    ran: 0,
                    last_used: now,
                });
                self.services.len() - 1
            }
        };
        self.services[idx].last_used = now;
        &mut self.services[idx]
    }
}

/// Adds the sample with number `count`, from 1, to a mean.
fn add_sample(mean: &mut f64, count: u64, sample: f64) {
    let gain = (1.0 / count as f64).max(GAIN);
    *mean += gain * (sample - *mean);
}
