//! Log lines about requests and the decisions on them.
//!
//! Only used with an imported configuration. An entry logs `request` when a request ends, `request-abandoned` when its
//! caller leaves before, and `attempt` for each attempt at an owner that did not serve it; an owner logs `owned` for
//! each request that it did not serve. All lines carry the request's id, if it has one, so it can be traced through the
//! logs of several nodes.

use std::sync::{Arc, Mutex, PoisonError};

use http::{HeaderMap, HeaderValue, StatusCode};
use laburnum_kernel::{
    Ms, Name, NodeId,
    retry::Next,
    sampling::{Kind, Sampler, Verdict},
    standing::Rate,
};

use crate::logs;

use super::{
    calls::Inherited,
    headers::{OUTCOME, REASON},
    standing::limit_text,
};

/// Writes the log lines of one node, at a bounded rate.
#[derive(Debug, Default)]
pub struct RequestLog {
    requests: Mutex<Sampler>,
    abandoned: Mutex<Sampler>,
    attempts: Mutex<Sampler>,
    owned: Mutex<Sampler>,
}

/// Routing decision on a request.
#[derive(Clone, Debug)]
pub struct RouteDecision {
    /// Name of the route.
    pub route: Arc<str>,
    /// Service chosen among the route's targets.
    pub service: Name,
    /// Priority of the route or of the customer.
    pub priority: u8,
    /// Customer that the request belongs to, if it carries a key.
    pub customer: Option<Arc<str>>,
    /// Version of the configuration that the decision is based on.
    pub version: u64,
    /// Time until the deadline at the start, in ms.
    pub left: u64,
    /// Time until the latency goal at the start, in ms.
    pub goal: u64,
    /// What the request inherited, if it is a call of a request that runs at this host.
    pub inherited: Option<Inherited>,
    /// Number of the service's endpoints in the view.
    pub endpoints: usize,
}

/// A request that ended at its entry.
pub struct EndedRequest<'a> {
    /// Id of the request.
    pub id: Option<&'a HeaderValue>,
    /// The routing decision, if one was made.
    pub decision: Option<&'a RouteDecision>,
    /// Owners that were tried, in order.
    pub tried: &'a [NodeId],
    /// Time since the request started, in ms.
    pub took: u64,
    /// Status of the answer.
    pub status: StatusCode,
    /// Header of the answer.
    pub headers: &'a HeaderMap,
}

/// A request whose caller left before the answer.
pub struct AbandonedRequest<'a> {
    /// Id of the request.
    pub id: Option<&'a HeaderValue>,
    /// The routing decision, if one was made.
    pub decision: Option<&'a RouteDecision>,
    /// Owners that were tried, in order.
    pub tried: &'a [NodeId],
    /// Time since the request started, in ms.
    pub took: u64,
}

/// An attempt at an owner that did not serve the request.
pub struct FailedAttempt<'a> {
    /// Id of the request.
    pub id: Option<&'a HeaderValue>,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// The owner that was tried.
    pub node: NodeId,
    /// The next step: retry or give up.
    pub next: Next,
    /// Time since the request started, in ms.
    pub took: u64,
    /// Header of the owner's answer, or of the answer generated in its place.
    pub headers: &'a HeaderMap,
}

/// A request that an owner did not serve.
pub struct UnservedRequest<'a> {
    /// Id of the request.
    pub id: Option<&'a HeaderValue>,
    /// Instance of the upstream; empty if unknown.
    pub instance: &'a str,
    /// Running requests, waiting requests and slots when the request ended.
    pub load: [usize; 3],
    /// Rate limit that the upstream names, if any.
    pub limit: Option<Rate>,
    /// Time until the promised answers are through the host's link, in ms.
    pub link: u64,
    /// Time since the request arrived, in ms.
    pub took: u64,
    /// Status of the answer.
    pub status: StatusCode,
    /// Header of the answer.
    pub headers: &'a HeaderMap,
}

impl RequestLog {
    /// Logs the event `request`, subject to sampling.
    pub fn log_request(&self, now: Ms, it: &EndedRequest<'_>) {
        let kind = match it.status.is_success() {
            true => Kind::Success,
            false => Kind::Failure,
        };
        let Some(omitted) = admit(&self.requests, now, kind) else {
            return;
        };
        let mut pairs = vec![
            ("id", value_text(it.id)),
            ("status", it.status.as_u16().to_string()),
            ("outcome", field_text(it.headers, &OUTCOME)),
            ("reason", field_text(it.headers, &REASON)),
            ("took", it.took.to_string()),
        ];
        if let Some(decision) = it.decision {
            pairs.extend([
                ("route", decision.route.to_string()),
                ("service", decision.service.to_string()),
                ("priority", decision.priority.to_string()),
                (
                    "customer",
                    decision.customer.as_deref().unwrap_or_default().to_owned(),
                ),
                ("version", decision.version.to_string()),
                ("left", decision.left.to_string()),
                ("goal", decision.goal.to_string()),
                ("endpoints", decision.endpoints.to_string()),
            ]);
            if let Some(call) = &decision.inherited {
                pairs.push(("run", call.run.clone()));
                pairs.push(("inherited", call.priority.to_string()));
            }
        }
        pairs.push(("tried", tried_text(it.tried)));
        pairs.push(("omitted", omitted.to_string()));
        logs::event("request", &pairs);
    }

    /// Logs the event `request-abandoned`, subject to sampling.
    pub fn log_abandoned(&self, now: Ms, it: &AbandonedRequest<'_>) {
        let Some(omitted) = admit(&self.abandoned, now, Kind::Success) else {
            return;
        };
        let route = it.decision.map(|it| it.route.to_string());
        let pairs = [
            ("id", value_text(it.id)),
            ("route", route.unwrap_or_default()),
            ("took", it.took.to_string()),
            ("tried", tried_text(it.tried)),
            ("omitted", omitted.to_string()),
        ];
        logs::event("request-abandoned", &pairs);
    }

    /// Logs the event `attempt`, subject to sampling.
    pub fn log_attempt(&self, now: Ms, it: &FailedAttempt<'_>) {
        let Some(omitted) = admit(&self.attempts, now, Kind::Failure) else {
            return;
        };
        let pairs = [
            ("id", value_text(it.id)),
            ("number", it.number.to_string()),
            ("node", it.node.to_string()),
            ("outcome", field_text(it.headers, &OUTCOME)),
            ("reason", field_text(it.headers, &REASON)),
            ("next", next_text(it.next)),
            ("took", it.took.to_string()),
            ("omitted", omitted.to_string()),
        ];
        logs::event("attempt", &pairs);
    }

    /// Logs the event `owned`, subject to sampling.
    pub fn log_unserved(&self, now: Ms, it: &UnservedRequest<'_>) {
        let Some(omitted) = admit(&self.owned, now, Kind::Failure) else {
            return;
        };
        let [running, waiting, slots] = it.load.map(|it| it.to_string());
        let pairs = [
            ("id", value_text(it.id)),
            ("status", it.status.as_u16().to_string()),
            ("outcome", field_text(it.headers, &OUTCOME)),
            ("reason", field_text(it.headers, &REASON)),
            ("instance", it.instance.to_owned()),
            ("running", running),
            ("waiting", waiting),
            ("slots", slots),
            ("limit", limit_text(it.limit)),
            ("link", it.link.to_string()),
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

fn tried_text(tried: &[NodeId]) -> String {
    let tried: Vec<String> = tried.iter().map(ToString::to_string).collect();
    tried.join(",")
}

fn next_text(next: Next) -> String {
    match next {
        Next::Retry { after } => format!("retry-after-{after}"),
        Next::GiveUp(why) => format!("give-up-{why:?}").to_lowercase(),
    }
}

fn value_text(value: Option<&HeaderValue>) -> String {
    let text = value.map(|it| String::from_utf8_lossy(it.as_bytes()).into_owned());
    text.unwrap_or_default()
}

fn field_text(headers: &HeaderMap, name: &http::HeaderName) -> String {
    value_text(headers.get(name))
}
