//! Log lines on requests: what was decided, by what, and how it ended.
//!
//! An entry writes `request` when a request ends and `attempt` for each attempt at an owner that did not serve it;
//! an owner writes `owned` for each request that it did not serve. All carry the request's id, so one request can be
//! followed through the logs of several nodes.

use std::sync::{Arc, Mutex, PoisonError};

use http::{HeaderMap, HeaderValue, StatusCode};
use laburnum_kernel::{
    Ms, Name, NodeId,
    retry::Next,
    sampling::{Kind, Sampler, Verdict},
};

use crate::logs;

use super::headers::{OUTCOME, REASON};

/// Bounds the lines of one node.
#[derive(Debug, Default)]
pub struct Reports {
    requests: Mutex<Sampler>,
    attempts: Mutex<Sampler>,
    owned: Mutex<Sampler>,
}

/// What was decided on a request before it was sent anywhere.
#[derive(Clone, Debug)]
pub struct Decided {
    /// The route, by name.
    pub route: Arc<str>,
    /// The service drawn from the route's targets.
    pub service: Name,
    /// Its rank under load.
    pub priority: u8,
    /// Version of the configuration that said so.
    pub version: u64,
    /// Ms until its deadline, at the start.
    pub left: u64,
    /// Ms until its goal, at the start.
    pub goal: u64,
    /// Endpoints of the service in the view.
    pub endpoints: usize,
}

/// A request that ended at its entry.
pub struct Ended<'a> {
    /// Its id.
    pub id: Option<&'a HeaderValue>,
    /// What was decided, if it came that far.
    pub decided: Option<&'a Decided>,
    /// The owners asked, in order.
    pub tried: &'a [NodeId],
    /// Ms from its start.
    pub took: u64,
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's header.
    pub headers: &'a HeaderMap,
}

/// An attempt at an owner that did not serve the request.
pub struct Attempted<'a> {
    /// The request's id.
    pub id: Option<&'a HeaderValue>,
    /// Which attempt, from 1.
    pub number: u32,
    /// The owner.
    pub node: NodeId,
    /// What is done next.
    pub next: Next,
    /// Ms from its start.
    pub took: u64,
    /// The header of the owner's answer, or of what stands for it.
    pub headers: &'a HeaderMap,
}

/// A request that an owner did not serve.
pub struct Owned<'a> {
    /// The request's id.
    pub id: Option<&'a HeaderValue>,
    /// The upstream's instance, if it has one.
    pub instance: &'a str,
    /// Requests running, waiting, and slots, as of the end.
    pub load: [usize; 3],
    /// Ms since it arrived.
    pub took: u64,
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's header.
    pub headers: &'a HeaderMap,
}

impl Reports {
    /// Writes `request`, if its turn has come.
    pub fn ended(&self, now: Ms, it: &Ended<'_>) {
        let kind = match it.status.is_success() {
            true => Kind::Success,
            false => Kind::Failure,
        };
        let Some(omitted) = admit(&self.requests, now, kind) else {
            return;
        };
        let mut pairs = vec![
            ("id", text(it.id)),
            ("status", it.status.as_u16().to_string()),
            ("outcome", field(it.headers, &OUTCOME)),
            ("reason", field(it.headers, &REASON)),
            ("took", it.took.to_string()),
        ];
        if let Some(decided) = it.decided {
            pairs.extend([
                ("route", decided.route.to_string()),
                ("service", decided.service.to_string()),
                ("priority", decided.priority.to_string()),
                ("version", decided.version.to_string()),
                ("left", decided.left.to_string()),
                ("goal", decided.goal.to_string()),
                ("endpoints", decided.endpoints.to_string()),
            ]);
        }
        let tried: Vec<String> = it.tried.iter().map(ToString::to_string).collect();
        pairs.push(("tried", tried.join(",")));
        pairs.push(("omitted", omitted.to_string()));
        logs::event("request", &pairs);
    }

    /// Writes `attempt`, if its turn has come.
    pub fn attempted(&self, now: Ms, it: &Attempted<'_>) {
        let Some(omitted) = admit(&self.attempts, now, Kind::Failure) else {
            return;
        };
        let pairs = [
            ("id", text(it.id)),
            ("number", it.number.to_string()),
            ("node", it.node.to_string()),
            ("outcome", field(it.headers, &OUTCOME)),
            ("reason", field(it.headers, &REASON)),
            ("next", step(it.next)),
            ("took", it.took.to_string()),
            ("omitted", omitted.to_string()),
        ];
        logs::event("attempt", &pairs);
    }

    /// Writes `owned`, if its turn has come.
    pub fn owned(&self, now: Ms, it: &Owned<'_>) {
        let Some(omitted) = admit(&self.owned, now, Kind::Failure) else {
            return;
        };
        let [running, waiting, slots] = it.load.map(|it| it.to_string());
        let pairs = [
            ("id", text(it.id)),
            ("status", it.status.as_u16().to_string()),
            ("outcome", field(it.headers, &OUTCOME)),
            ("reason", field(it.headers, &REASON)),
            ("instance", it.instance.to_owned()),
            ("running", running),
            ("waiting", waiting),
            ("slots", slots),
            ("took", it.took.to_string()),
            ("omitted", omitted.to_string()),
        ];
        logs::event("owned", &pairs);
    }
}

fn admit(sampler: &Mutex<Sampler>, now: Ms, kind: Kind) -> Option<u32> {
    let mut sampler = sampler.lock().unwrap_or_else(PoisonError::into_inner);
    match sampler.admit(now, kind) {
        Verdict::Write { omitted } => Some(omitted),
        Verdict::Omit => None,
    }
}

fn step(next: Next) -> String {
    match next {
        Next::Retry { after } => format!("retry-after-{after}"),
        Next::GiveUp(why) => format!("give-up-{why:?}").to_lowercase(),
    }
}

fn text(value: Option<&HeaderValue>) -> String {
    let text = value.map(|it| String::from_utf8_lossy(it.as_bytes()).into_owned());
    text.unwrap_or_default()
}

fn field(headers: &HeaderMap, name: &http::HeaderName) -> String {
    text(headers.get(name))
}
