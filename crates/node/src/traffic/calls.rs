//! Calls of running requests: the table of the requests that run at the upstream beside this node.
//!
//! The owner adds a run when it sends a request to the upstream. The entry of the same process looks up the run of
//! each request that comes from the node's own host, because an upstream sends its calls through this node. With the
//! system's own header fields no request carries an id, so no call is recognised.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms, Name, View,
    admission::{kinds::Kind, ranks::RankedRequest},
    calls::{self, CallEnd, CallRun, KindCalls, Run, RunEnd, RunKey, Runs, Totals},
    refusal::Reason,
    rollout::Ending,
};

use crate::logs;

use super::{
    Traffic,
    answer::ending,
    headers::{self, NOT_RUN, OUTCOME, RAN},
};

/// The runs at the upstream beside this node; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct Calls(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: Runs,
    /// Time at which what was learned was written to the log last.
    logged: Ms,
}

/// A request that runs at the upstream. Dropping it means that no complete answer arrived.
#[derive(Debug)]
pub(super) struct TrackedRun {
    calls: Calls,
    key: RunKey,
    end: RunEnd,
}

/// A request that was recognised as a call. Dropping it means that the upstream gave the call up.
#[derive(Debug)]
pub(super) struct RunningCall {
    calls: Calls,
    run: CallRun,
    service: Name,
    started: Ms,
    end: CallEnd,
}

/// What a call inherited from its run, for the log.
#[derive(Clone, Debug)]
pub struct Inherited {
    /// Id of the run.
    pub run: String,
    /// Priority of the call.
    pub priority: u8,
}

/// Priority and latency goal of a request, and the call that it is, if any.
pub(super) struct Urgency {
    pub(super) priority: u8,
    pub(super) goal: Ms,
    pub(super) call: Option<RunningCall>,
    pub(super) inherited: Option<Inherited>,
}

impl Traffic {
    /// Returns the urgency of a request for `service` whose route sets `priority` and `goal`.
    pub(super) fn urgency(
        &self,
        peer: SocketAddr,
        headers: &HeaderMap,
        service: &Name,
        (priority, goal): (u8, Ms),
    ) -> Urgency {
        let id = self.0.dialect.id(headers);
        let id = id.as_ref().and_then(|it| it.to_str().ok());
        let id = id.filter(|_| self.is_own_host(peer.ip()));
        let found = id.and_then(|it| Some((it, self.0.calls.find(it, service)?)));
        let Some((id, call)) = found else {
            return Urgency {
                priority,
                goal,
                call: None,
                inherited: None,
            };
        };
        let (priority, goal) = calls::inherit(call.started, &call.run.run, priority, goal);
        let run = id.rsplit_once('.').map_or(id, |it| it.0).to_owned();
        Urgency {
            priority,
            goal,
            call: Some(call),
            inherited: Some(Inherited { run, priority }),
        }
    }

    /// Returns the counts of calls and runs since the start.
    pub fn call_totals(&self) -> Totals {
        self.0.calls.lock().runs.totals()
    }

    /// Writes what was learned of the calls of each kind of run that made some since the last time to the log.
    pub(super) fn log_calls(&self, view: &View) {
        let now = self.now();
        let learned = {
            let mut state = self.0.calls.lock();
            let since = std::mem::replace(&mut state.logged, now);
            let kinds = state.runs.learned().kinds().iter();
            kinds
                .filter(|it| it.services.iter().any(|it| it.last >= since))
                .cloned()
                .collect::<Vec<KindCalls>>()
        };
        if learned.is_empty() {
            return;
        }
        let names = route_names(view);
        for it in &learned {
            // The route may no longer exist; then its kind stands for it.
            let name = names.get(&it.kind.0).copied();
            let name = name.map_or_else(|| it.kind.0.to_string(), str::to_owned);
            log_kind(now, name, it);
        }
    }

    /// Returns whether a connection comes from this host: from the node's address or that of its upstream.
    fn is_own_host(&self, ip: IpAddr) -> bool {
        let ip = ip.to_canonical();
        let is = |it: IpAddr| it.to_canonical() == ip;
        let upstream = || self.0.upstream.active();
        ip.is_loopback()
            || is(self.0.node.0.ip())
            || upstream().is_some_and(|it| is(it.pool.address().ip()))
    }
}

impl Calls {
    /// Creates an empty table.
    pub(super) fn new(clock: Clock) -> Calls {
        Calls(Arc::new(Shared {
            clock,
            state: Mutex::default(),
        }))
    }

    /// Adds a request that is sent to the upstream.
    pub(super) fn begin(&self, id: Option<&HeaderValue>, ranked: RankedRequest) -> TrackedRun {
        let run = Run {
            kind: ranked.kind,
            priority: ranked.priority,
            goal: ranked.goal,
            deadline: ranked.deadline,
        };
        // A request without an id is not tracked.
        let id = id.and_then(|it| it.to_str().ok()).unwrap_or_default();
        let now = self.0.clock.now();
        TrackedRun {
            key: self.lock().runs.begin(now, id, run),
            calls: self.clone(),
            end: RunEnd::Lost,
        }
    }

    fn find(&self, id: &str, service: &Name) -> Option<RunningCall> {
        let now = self.0.clock.now();
        Some(RunningCall {
            run: self.lock().runs.call(now, id, service)?,
            calls: self.clone(),
            service: service.clone(),
            started: now,
            end: CallEnd::Failed,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TrackedRun {
    /// Ends a run whose answer is complete.
    pub(super) fn answered(self, status: StatusCode) {
        self.close(match ending(status) {
            Ending::Failed => RunEnd::Failed,
            Ending::Answered => RunEnd::Answered,
        });
    }

    /// Ends a run that the upstream rejected.
    pub(super) fn rejected(self) {
        self.close(RunEnd::NotRun);
    }

    fn close(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for TrackedRun {
    fn drop(&mut self) {
        let now = self.calls.0.clock.now();
        self.calls.lock().runs.end(now, self.key, self.end);
    }
}

impl RunningCall {
    /// Ends a call with its answer, before the answer is translated for the caller.
    pub(super) fn close<B>(mut self, response: &Response<B>) {
        self.end = call_end(response);
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let now = self.calls.0.clock.now();
        let took = now.since(self.started);
        let runs = &mut self.calls.lock().runs;
        runs.called(now, self.run.key, &self.service, self.end, took);
    }
}

fn call_end<B>(response: &Response<B>) -> CallEnd {
    let outcome = response.headers().get(OUTCOME);
    if outcome == Some(&NOT_RUN) {
        return match headers::refusal(response.headers()).map(|it| it.reason) {
            Some(Reason::Shed) => CallEnd::Shed,
            _ => CallEnd::Refused,
        };
    }
    match ending(response.status()) {
        Ending::Answered if outcome == Some(&RAN) => CallEnd::Answered,
        _ => CallEnd::Failed,
    }
}

/// Returns the names of the routes by the kind of their requests.
fn route_names(view: &View) -> HashMap<u32, &str> {
    let routes = view.table.spec().routes.iter();
    routes.map(|it| (Kind::of(&it.name).0, &*it.name)).collect()
}

fn log_kind(now: Ms, route: String, kind: &KindCalls) {
    for it in &kind.services {
        let pairs = [
            ("route", route.clone()),
            ("service", it.service.to_string()),
            ("runs", kind.runs.to_string()),
            ("per_run", format!("{:.2}", kind.per_run)),
            ("calls", it.calls.to_string()),
            ("refused", format!("{:.3}", it.refused)),
            ("shed", format!("{:.3}", it.shed)),
            ("failed", format!("{:.3}", it.failed)),
            ("took", format!("{:.0}", it.millis)),
            ("age", now.since(it.last).to_string()),
        ];
        logs::event("calls-learned", &pairs);
    }
}
