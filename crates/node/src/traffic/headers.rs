//! Header fields of the request path, and what is kept from whom.

use http::{HeaderMap, HeaderName, HeaderValue, Response, header};
use laburnum_kernel::{admission::Load, refusal::Refusal};

use super::services::Told;

/// Every field of the system's own starts so; such fields of callers and upstreams are never passed on.
pub const PREFIX: &str = "laburnum-";
/// Whether the request was run: [`RAN`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME: HeaderName = HeaderName::from_static("laburnum-outcome");
/// Why a request was refused or failed.
pub const REASON: HeaderName = HeaderName::from_static("laburnum-reason");
/// Milliseconds after which a refused request may be sent again.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("laburnum-retry-after-ms");
/// Milliseconds that are left for the request. It only shrinks on the way.
pub const DEADLINE: HeaderName = HeaderName::from_static("laburnum-deadline");
/// Retries that are left to the whole tree of calls. It only shrinks on the way.
pub const BUDGET: HeaderName = HeaderName::from_static("laburnum-budget");
/// Between nodes: the service that the request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("laburnum-service");
/// Between nodes: which attempt at the request this is, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("laburnum-attempt");
/// Between nodes: `never` if the entry's document says that the request runs at most once.
pub const REPEAT: HeaderName = HeaderName::from_static("laburnum-repeat");
/// Between nodes: number of the exchange; the answer must carry the same one.
pub const REQUEST: HeaderName = HeaderName::from_static("laburnum-request");
/// Between nodes: rank of the request under load, zero first, if its route gives one.
pub const PRIORITY: HeaderName = HeaderName::from_static("laburnum-priority");
/// Between nodes: milliseconds until the answer is late, if the route gives a goal.
pub const GOAL: HeaderName = HeaderName::from_static("laburnum-goal");
/// Between nodes: number of the request's kind, the same for all requests of its route.
pub const KIND: HeaderName = HeaderName::from_static("laburnum-kind");
/// Between nodes: how long the request may wait for a slot; without it, as long as it is of use.
pub const QUEUE: HeaderName = HeaderName::from_static("laburnum-queue");
/// Between nodes: what a further request could expect, by rank.
pub const OUTLOOK: HeaderName = HeaderName::from_static("laburnum-outlook");
/// Between nodes: load of the upstream as `running/waiting/limit`.
pub const LOAD: HeaderName = HeaderName::from_static("laburnum-load");
/// Between nodes: proof that the sender holds the link key; see [`super::proof`].
pub const PROOF: HeaderName = HeaderName::from_static("laburnum-proof");
/// Says that the answer is the kept one of an earlier run.
pub const REPLAYED: HeaderName = HeaderName::from_static("laburnum-replayed");
/// Chosen by the caller; requests with the same one run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The upstream ran the request and this is its whole answer.
pub const RAN: HeaderValue = HeaderValue::from_static("ran");
/// No byte of the request reached an upstream, or the upstream itself said that it was not run.
pub const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");
/// The request may or may not have been run.
pub const UNKNOWN: HeaderValue = HeaderValue::from_static("unknown");
/// Value of [`REPEAT`] for requests that run at most once.
pub const NEVER: HeaderValue = HeaderValue::from_static("never");

/// Value of [`QUEUE`] for requests that have other endpoints to ask.
pub const SHORT: HeaderValue = HeaderValue::from_static("short");

/// Fields that concern one connection only.
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

/// Removes the fields that concern one connection only, with those that `connection` names.
pub fn strip_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|it| it.to_str().ok())
            .flat_map(|it| it.split(','))
            .filter_map(|it| it.trim().parse().ok())
            // Framing belongs to the HTTP library; a caller cannot have it dropped.
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

/// Removes every field of the system's own.
///
/// A caller that could set them would choose its own class, claim another's answer or pass as a node.
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

/// The field is there but is no whole number, or is there twice.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {0} is not valid: send it once, as a whole number, or leave it out")]
pub struct BadNumber(pub HeaderName);

/// Reads a whole number.
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

/// The length that the message declares.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    number(headers, &header::CONTENT_LENGTH).ok().flatten()
}

/// Sets a field, unless `text` cannot be a field's value.
pub fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Reads what the owner told of its load.
pub fn told(headers: &HeaderMap) -> Told {
    let outlook = headers.get(OUTLOOK).and_then(|it| it.to_str().ok());
    if let Some(outlook) = outlook.and_then(|it| it.parse().ok()) {
        return Told::Outlook(outlook);
    }
    load(headers).map_or(Told::Nothing, Told::Load)
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

/// Reads why and until when a request was refused.
pub fn refusal(headers: &HeaderMap) -> Option<Refusal> {
    let reason = headers.get(REASON)?.to_str().ok()?.parse().ok()?;
    let after = number(headers, &RETRY_AFTER_MS).ok().flatten();
    Some(Refusal::after(reason, after.unwrap_or(0)))
}

/// Removes from an answer what only nodes need to know.
pub fn clean<B>(mut response: Response<B>) -> Response<B> {
    let headers = response.headers_mut();
    [
        SERVICE, REQUEST, LOAD, DEADLINE, BUDGET, ATTEMPT, REPEAT, PRIORITY, GOAL, KIND, OUTLOOK,
    ]
    .iter()
    .for_each(|it| {
        headers.remove(it);
    });
    response
}
