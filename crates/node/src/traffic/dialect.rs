//! Names of the header fields used with callers and upstreams.
//!
//! Nodes use the fields of [`super::headers`] among themselves. A deployment whose callers and upstreams use
//! other names for the same facts configures them here; they are translated when a request arrives and when its
//! answer is returned.

use axum::body::Body;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use laburnum_kernel::{
    refusal::Reason,
    standing::{NamedLimit, Statement},
};

use super::{
    headers::{self, DEADLINE, LEAVING, LIMIT, NOT_RUN, OUTCOME, PREFIX, REASON, RETRY_AFTER_MS},
    pool::{Echo, Identity},
};

/// Header fields used with callers and upstreams.
#[derive(Clone, Debug, Default)]
pub enum Dialect {
    /// The system's own header fields.
    #[default]
    Own,
    /// Header fields of a deployment.
    Foreign(Box<Fields>),
}

/// Names of a deployment's header fields.
#[derive(Clone, Debug)]
pub struct Fields {
    /// From callers: id of one attempt, unique for each; echoed by upstreams.
    pub id: HeaderName,
    /// From callers and to upstreams: time left in ms.
    pub deadline: HeaderName,
    /// To upstreams: service of the host on which the request started.
    pub caller: HeaderName,
    /// To upstreams: instance that the request is meant for; any other instance answers 421 and does not run
    /// it.
    pub expected: HeaderName,
    /// To upstreams: name of the customer whose key the request carries.
    pub customer: HeaderName,
    /// Scheme of the callers' field `authorization`, before the key.
    pub scheme: &'static str,
    /// From upstreams: present on the answer to a request that was not run.
    pub not_run: HeaderName,
    /// From upstreams: requests per second that the upstream takes from all nodes together.
    pub limit: HeaderName,
    /// From upstreams: `1` if the upstream leaves.
    pub leaving: HeaderName,
}

impl Dialect {
    /// Returns the name of the field with the time left, in ms.
    pub fn deadline(&self) -> HeaderName {
        match self {
            Dialect::Own => DEADLINE,
            Dialect::Foreign(it) => it.deadline.clone(),
        }
    }

    /// Returns the id that identifies a request in logs, if it has one.
    pub fn id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        match self {
            Dialect::Own => None,
            Dialect::Foreign(it) => headers.get(&it.id).cloned(),
        }
    }

    /// Returns whether an upstream's answer says that the request was not run.
    pub fn is_not_run(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        match self {
            Dialect::Own => headers.get(OUTCOME) == Some(&NOT_RUN),
            Dialect::Foreign(it) => {
                status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&it.not_run)
            }
        }
    }

    /// Returns what identifies a request to the upstream.
    pub fn identity(&self, request: &HeaderMap) -> Identity {
        match self.id(request) {
            Some(it) => Identity::of_attempt(it.as_bytes()),
            None => Identity::Unnamed,
        }
    }

    /// Returns whether an upstream's answer names the given request, or `None` if it names another one.
    ///
    /// An upstream may send an answer twice; the second copy would then be taken for the answer to the next
    /// request on the connection and disclosed to another caller.
    pub fn echo(&self, request: &HeaderMap, answer: &HeaderMap) -> Option<Echo> {
        let Dialect::Foreign(it) = self else {
            return Some(Echo::Present);
        };
        let named = answer.get(&it.id).filter(|it| !it.is_empty());
        match (request.get(&it.id), named) {
            (_, None) => Some(Echo::Absent),
            (sent, named) if sent == named => Some(Echo::Present),
            _ => None,
        }
    }

    /// Returns what an upstream's answer says about the upstream.
    pub fn statement(&self, headers: &HeaderMap) -> Statement {
        let (limit, leaving) = match self {
            Dialect::Own => (&LIMIT, &LEAVING),
            Dialect::Foreign(it) => (&it.limit, &it.leaving),
        };
        Statement {
            limit: named_limit(headers, limit),
            leaving: headers.get(leaving).is_some_and(|it| it == "1"),
        }
    }

    /// Translates an answer for the caller; `id` is the request's.
    pub fn translate_answer(
        &self,
        response: Response<Body>,
        id: Option<HeaderValue>,
    ) -> Response<Body> {
        match self {
            Dialect::Own => response,
            Dialect::Foreign(it) => it.translate_answer(response, id),
        }
    }
}

fn named_limit(headers: &HeaderMap, name: &HeaderName) -> NamedLimit {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return NamedLimit::Absent;
    };
    let rate = value.to_str().ok().and_then(|it| it.parse().ok());
    match (rate, values.next()) {
        (Some(rate), None) => NamedLimit::Rate(rate),
        _ => NamedLimit::Invalid,
    }
}

impl Fields {
    fn translate_answer(
        &self,
        mut response: Response<Body>,
        id: Option<HeaderValue>,
    ) -> Response<Body> {
        let refusal = headers::refusal(response.headers());
        let not_run = response.headers().get(OUTCOME) == Some(&NOT_RUN);
        if let (true, Some(refusal)) = (not_run, refusal) {
            // For these callers only a 503, or a 429 for a quota, guarantees that the request was not run.
            *response.status_mut() = match refusal.reason {
                Reason::Limited => StatusCode::TOO_MANY_REQUESTS,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            let seconds = format!("{:.3}", refusal.after as f64 / 1000.0);
            headers::insert_text(response.headers_mut(), header::RETRY_AFTER, &seconds);
            // These callers retry on a new connection; under overload the idle old ones would use most of the
            // node's memory.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        if response.status() == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static(self.scheme);
            let map = response.headers_mut();
            map.entry(header::WWW_AUTHENTICATE).or_insert(scheme);
        }
        let map = response.headers_mut();
        [OUTCOME, REASON, RETRY_AFTER_MS].iter().for_each(|it| {
            map.remove(it);
        });
        debug_assert!(!map.keys().any(|it| it.as_str().starts_with(PREFIX)));
        if let Some(id) = id {
            map.insert(self.id.clone(), id);
        }
        response
    }
}
