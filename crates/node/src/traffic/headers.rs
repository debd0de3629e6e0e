//! Header fields of the request path, and functions that read, set and strip them.

use http::{HeaderMap, HeaderName, HeaderValue, Response, header};
use laburnum_kernel::{
    admission::{Load, ranks::Outlook},
    refusal::Refusal,
    standing::Report,
};

use super::services::Feedback;

/// Prefix of the system's own fields, which are not forwarded from callers or upstreams.
pub const PREFIX: &str = "laburnum-";
/// Outcome of the request: [`RAN`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME: HeaderName = HeaderName::from_static("laburnum-outcome");
/// Reason why a request was refused or failed.
pub const REASON: HeaderName = HeaderName::from_static("laburnum-reason");
/// Time in ms after which a refused request may be sent again.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("laburnum-retry-after-ms");
/// Time left for the request, in ms. Each hop can only reduce it.
pub const DEADLINE: HeaderName = HeaderName::from_static("laburnum-deadline");
/// Retries left to the whole tree of calls. Each hop can only reduce them.
pub const BUDGET: HeaderName = HeaderName::from_static("laburnum-budget");
/// Between nodes: service that the request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("laburnum-service");
/// Between nodes: number of the attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("laburnum-attempt");
/// Between nodes: `never` if the entry's document says that the request runs at most once.
pub const REPEAT: HeaderName = HeaderName::from_static("laburnum-repeat");
/// Between nodes: number of the exchange; the answer must echo it.
pub const REQUEST: HeaderName = HeaderName::from_static("laburnum-request");
/// Between nodes: priority of the request, highest first from 0, if its route sets one.
pub const PRIORITY: HeaderName = HeaderName::from_static("laburnum-priority");
/// Between nodes: time in ms until the latency goal, if the route sets one.
pub const GOAL: HeaderName = HeaderName::from_static("laburnum-goal");
/// Between nodes: hash of the request's kind, the same for all requests of its route.
pub const KIND: HeaderName = HeaderName::from_static("laburnum-kind");
/// Between nodes: [`SHORT`] if the request may only wait briefly for a slot; absent if it may wait as long as
/// its answer is useful.
pub const QUEUE: HeaderName = HeaderName::from_static("laburnum-queue");
/// Between nodes: expected waiting times of further requests, by priority.
pub const OUTLOOK: HeaderName = HeaderName::from_static("laburnum-outlook");
/// Between nodes: state of the link of the owner's host, as `pending/rate`.
pub const LINK: HeaderName = HeaderName::from_static("laburnum-link");
/// Between nodes: load of the upstream as `running/waiting/limit`.
pub const LOAD: HeaderName = HeaderName::from_static("laburnum-load");
/// Between nodes: what the upstream says about itself in its answers; from entries what they remember of it, from owners
/// what is in force.
pub const STANDING: HeaderName = HeaderName::from_static("laburnum-standing");
/// Between nodes: proof that the sender holds the link key; see [`super::proof`].
pub const PROOF: HeaderName = HeaderName::from_static("laburnum-proof");
/// From upstreams: requests per second that the upstream takes from all nodes together, a decimal number.
pub const LIMIT: HeaderName = HeaderName::from_static("laburnum-limit");
/// From upstreams: `1` if the upstream leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("laburnum-leaving");
/// Marks an answer as the stored one of an earlier run.
pub const REPLAYED: HeaderName = HeaderName::from_static("laburnum-replayed");
/// Idempotency key chosen by the caller; requests with the same key run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The upstream ran the request, and this is its answer.
pub const RAN: HeaderValue = HeaderValue::from_static("ran");
/// No byte of the request reached an upstream, or the upstream itself said that it was not run.
pub const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");
/// The request may or may not have been run.
pub const UNKNOWN: HeaderValue = HeaderValue::from_static("unknown");
/// Value of [`REPEAT`] for requests that run at most once.
pub const NEVER: HeaderValue = HeaderValue::from_static("never");

/// Value of [`QUEUE`] for requests that have other endpoints to ask.
pub const SHORT: HeaderValue = HeaderValue::from_static("short");

/// Hop-by-hop fields.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop fields, including those that `connection` names.
pub fn strip_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|it| it.to_str().ok())
            .flat_map(|it| it.split(','))
            .filter_map(|it| it.trim().parse().ok())
            // The HTTP library needs these for framing and routing; a caller must not be able to remove them.
            .filter(|it| it != header::CONTENT_LENGTH && it != header::HOST)
            .collect();
        named.iter().for_each(|it| {
            headers.remove(it);
        });
    }
    HOP_BY_HOP.iter().for_each(|it| {
        headers.remove(it);
    });
}

/// Removes all of the system's own fields.
///
/// With them a caller could choose its class, claim another caller's answer or pose as a node.
pub fn strip_internal(headers: &mut HeaderMap) {
    if !headers.keys().any(|it| it.as_str().starts_with(PREFIX)) {
        return;
    }
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|it| it.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    internal.iter().for_each(|it| {
        headers.remove(it);
    });
}

/// A field that is not a whole number or is present more than once.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {0} is not valid; send it once, as a whole number, or leave it out")]
pub struct BadNumber(pub HeaderName);

/// Reads a field as a whole number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, BadNumber> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|it| it.parse().ok());
    match (parsed, values.next()) {
        (Some(it), None) => Ok(Some(it)),
        _ => Err(BadNumber(name.clone())),
    }
}

/// Returns the declared length of the message.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    number(headers, &header::CONTENT_LENGTH).ok().flatten()
}

/// Sets a field, unless `text` is not a valid field value.
pub fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Reads the load information in an owner's answer.
pub fn owner_feedback(headers: &HeaderMap) -> Feedback {
    let text = |name: HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
    if let Some(outlook) = text(OUTLOOK).and_then(|it| it.parse::<Outlook>().ok()) {
        let link = text(LINK).and_then(|it| it.parse().ok());
        return Feedback::Outlook(Outlook {
            link: link.unwrap_or_default(),
            ..outlook
        });
    }
    load(headers).map_or(Feedback::Nothing, Feedback::Load)
}

/// Reads what another node tells of an upstream.
pub fn standing(headers: &HeaderMap) -> Option<Report> {
    headers.get(STANDING)?.to_str().ok()?.parse().ok()
}

fn load(headers: &HeaderMap) -> Option<Load> {
    let mut parts = headers.get(LOAD)?.to_str().ok()?.split('/');
    let mut next = || parts.next()?.parse().ok();
    Some(Load {
        running: next()?,
        waiting: next()?,
        limit: next()?,
    })
}

/// Reads the reason and retry delay of a refusal.
pub fn refusal(headers: &HeaderMap) -> Option<Refusal> {
    let reason = headers.get(REASON)?.to_str().ok()?.parse().ok()?;
    let after = number(headers, &RETRY_AFTER_MS).ok().flatten();
    Some(Refusal::after(reason, after.unwrap_or(0)))
}

/// Removes the fields from an answer that are only meant for nodes.
pub fn strip_node_fields<B>(mut response: Response<B>) -> Response<B> {
    let headers = response.headers_mut();
    [
        SERVICE, REQUEST, LOAD, DEADLINE, BUDGET, ATTEMPT, REPEAT, PRIORITY, GOAL, KIND, OUTLOOK,
        LINK, STANDING,
    ]
    .iter()
    .for_each(|it| {
        headers.remove(it);
    });
    response
}
