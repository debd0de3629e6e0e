//! Plans a request at the entry before it is sent: route, service, deadline, and whether it may be repeated.

use std::{
    net::SocketAddr,
    str::FromStr,
    sync::{Arc, PoisonError},
};

use http::{HeaderMap, Method, StatusCode, header, request::Parts, uri::PathAndQuery};
use laburnum_kernel::{
    Ms, Name,
    admission::{
        kinds::Kind,
        ranks::{RankedRequest, WaitLimit},
    },
    document::{self, Class, Document, Repeat},
    hot::Verdict,
    refusal::{Reason, Refusal},
    retry::{Deadline, Tree},
    routing,
    settings::Origin,
    utils::hash64,
    view::View,
};

use super::{
    Traffic,
    calls::{RunningCall, Urgency},
    customers::Customer,
    denial::Denial,
    dialect::Dialect,
    headers::{self, BUDGET},
    report::RouteDecision,
    services::Service,
};

/// Retry delay for an entry that is catching up with the configuration, in ms.
const CATCH_UP_MS: u64 = 200;

/// A request that can be forwarded.
pub(super) struct Plan {
    pub(super) service: Arc<Service>,
    pub(super) name: Name,
    /// Value of the Host header that the upstream receives.
    pub(super) authority: Arc<str>,
    pub(super) document: Arc<Document>,
    /// Maximum attempts and budget for retries.
    pub(super) retry: document::Retry,
    pub(super) class: Class,
    /// Priority, if the route sets one; that of its run if the request is a call of a more urgent one.
    pub(super) priority: Option<u8>,
    /// Kind of the request, derived from the route's name.
    pub(super) kind: Kind,
    /// Latency goal: answers after this time are late.
    pub(super) goal: Ms,
    pub(super) repeat: Repeat,
    pub(super) deadline: Deadline,
    pub(super) tree: Tree,
    pub(super) path: PathAndQuery,
    pub(super) method: Method,
    pub(super) headers: HeaderMap,
    /// Customer that the request belongs to, if it carries a key.
    pub(super) customer: Option<Customer>,
    /// The request as a call of a request that runs at this host, if it is one.
    pub(super) call: Option<RunningCall>,
    /// Decision to be written to the log, if routes have names.
    pub(super) decision: Option<RouteDecision>,
}

impl Traffic {
    /// Looks up the route of a request and the limits that it sets.
    pub(super) fn plan(&self, parts: Parts, peer: SocketAddr) -> Result<Plan, Denial> {
        if parts.method == Method::CONNECT {
            // An answer of success would turn the connections on both sides into a tunnel.
            let why = "there are no tunnels here; send the request itself, with a path";
            return Err(Denial::bad(StatusCode::BAD_REQUEST, "tunnel", why));
        }
        let known_since = self.0.control.known_since();
        let view = self.view();
        // After a restart the node may hold an older configuration than the one it served before.
        if !view.ready {
            let refusal = Refusal::after(Reason::NotReady, CATCH_UP_MS);
            return Err(Denial::Refused(refusal));
        }
        match self.0.origin {
            Origin::Submitted => self.plan_by_document(&view, parts, peer),
            Origin::Imported => self.plan_by_table(&view, known_since, parts, peer),
        }
    }

    /// Looks up the route in the table of an imported configuration.
    fn plan_by_table(
        &self,
        view: &Arc<View>,
        known_since: Ms,
        parts: Parts,
        peer: SocketAddr,
    ) -> Result<Plan, Denial> {
        let now = self.now();
        let authority: Arc<str> = Arc::from(authority(&parts)?);
        let path = path_of(&parts);
        let host = authority.split(':').next().unwrap_or_default();
        let Some(route) = view.table.route(host, path.path()) else {
            let why = "no route matches this host and path; add one to the configuration";
            return Err(Denial::bad(StatusCode::NOT_FOUND, "no-route", why));
        };
        let deadline = self.deadline(&parts.headers, now, route.timeout)?;
        let mut headers = parts.headers;
        // First, or a caller could have the fields below removed by naming them in `connection`.
        headers::strip_hop(&mut headers);
        headers::strip_internal(&mut headers);
        headers.remove(header::HOST);
        let customer = self.identify(view, known_since, route, &mut headers)?;
        let own_priority = customer.as_ref().and_then(|it| it.priority);
        let priority = own_priority.unwrap_or(route.priority);
        let name = route.target(&mut rand::rng()).clone();
        let Some(found) = view.services.get(&name) else {
            // Not expected: a valid table only names services that it holds, and so does the view.
            let refusal = Refusal::after(Reason::NotReady, CATCH_UP_MS);
            return Err(Denial::Refused(refusal));
        };
        let goal = (now + route.goal).min(deadline.at());
        let Urgency {
            priority: urgent,
            goal,
            call,
            inherited,
        } = self.urgency(peer, &headers, &name, (priority, goal));
        // The priority of a customer goes before any other.
        let urgent = own_priority.unwrap_or(urgent);
        let decision = RouteDecision {
            route: route.name.clone(),
            service: name.clone(),
            priority,
            customer: customer.as_ref().map(|it| it.name.clone()),
            version: view.table.version(),
            left: deadline.left(now),
            goal: goal.since(now),
            inherited,
            endpoints: found.endpoints.len(),
        };
        if let Dialect::Foreign(fields) = &self.0.dialect {
            headers.remove(&fields.deadline);
            headers.remove(&fields.expected);
            headers.remove(&fields.caller);
            if let Some(own) = &self.0.service {
                headers::insert_text(&mut headers, fields.caller.clone(), own.as_str());
            }
        }
        Ok(Plan {
            service: self.0.services.get(now, view, &name, found),
            class: routing::class_of(urgent),
            priority: Some(urgent),
            kind: Kind::of(&route.name),
            goal,
            repeat: route.repeat,
            document: found.document.clone(),
            retry: document::Retry {
                attempts: route.attempts,
                ..found.document.retry.clone()
            },
            name,
            authority,
            deadline,
            tree: Tree::default(),
            path,
            method: parts.method,
            headers,
            customer,
            call,
            decision: Some(decision),
        })
    }

    /// Returns the earlier of the caller's deadline and `longest`, the route's maximum in ms.
    ///
    /// A caller can only shorten the route's deadline, so the field needs no authentication.
    fn deadline(&self, headers: &HeaderMap, now: Ms, longest: u64) -> Result<Deadline, Denial> {
        let requested = headers::number(headers, &self.0.dialect.deadline()).map_err(bad_number)?;
        let deadline = Deadline::after(now, requested.map_or(longest, |it| it.min(longest)));
        match deadline.left(now) {
            0 => Err(Denial::Refused(Refusal::new(Reason::Expired))),
            _ => Ok(deadline),
        }
    }

    /// Looks up the route in the document of the service that the caller names.
    fn plan_by_document(
        &self,
        view: &Arc<View>,
        parts: Parts,
        peer: SocketAddr,
    ) -> Result<Plan, Denial> {
        let name = service_name(&parts)?;
        let now = self.now();
        let Some(found) = view.services.get(&name) else {
            let why = format!(
                "service {name:?} does not exist; submit its document first",
                name = name.as_str()
            );
            return Err(Denial::bad(StatusCode::NOT_FOUND, "no-service", why));
        };
        let path = path_of(&parts);
        let Some(route) = found.document.route(parts.method.as_str(), path.path()) else {
            let why = "no route matches this method and path; add one to the service's document";
            return Err(Denial::bad(StatusCode::NOT_FOUND, "no-route", why));
        };
        let deadline = self.deadline(&parts.headers, now, route.deadline)?;
        let tree = retry_tree(&parts.headers)?;
        self.check_rate(now, &name, found.document.limits.caller, peer)?;
        if route.repeat == Repeat::Never {
            super::once::key_of(&parts.headers)?;
        }
        let mut headers = parts.headers;
        headers::strip_hop(&mut headers);
        headers::strip_internal(&mut headers);
        headers.remove(header::HOST);
        Ok(Plan {
            service: self.0.services.get(now, view, &name, found),
            class: route.class,
            priority: None,
            kind: Kind::default(),
            goal: deadline.at(),
            repeat: route.repeat,
            retry: found.document.retry.clone(),
            document: found.document.clone(),
            authority: Arc::from(name.as_str()),
            name,
            deadline,
            tree,
            path,
            method: parts.method,
            headers,
            customer: None,
            call: None,
            decision: None,
        })
    }

    /// Enforces the document's rate limit for each caller, identified by its IP address.
    fn check_rate(&self, now: Ms, name: &Name, limit: u32, peer: SocketAddr) -> Result<(), Denial> {
        if limit == 0 {
            return Ok(());
        }
        let address = peer.ip().to_canonical().to_string();
        let caller = hash64(&[name.as_str().as_bytes(), address.as_bytes()]);
        let mut limiter = self
            .0
            .limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match limiter.admit(now, caller, limit) {
            Verdict::Admit => Ok(()),
            Verdict::Refuse(refusal) => Err(Denial::Refused(refusal)),
        }
    }
}

impl Plan {
    /// Returns the request's priority, goal and deadline for the admission queue.
    pub(super) fn ranked(&self) -> RankedRequest {
        RankedRequest {
            priority: self.priority.unwrap_or_default(),
            goal: self.goal,
            deadline: self.deadline.at(),
            queue: WaitLimit::Full,
            kind: self.kind,
        }
    }
}

/// Returns the service that the caller asks for.
fn service_name(parts: &Parts) -> Result<Name, Denial> {
    let host = authority(parts)?;
    let name = host.split(':').next().unwrap_or_default();
    name.parse().map_err(|_| bad_host())
}

fn bad_host() -> Denial {
    let why =
        "the request does not name one valid service; send its name in exactly one Host header";
    Denial::bad(StatusCode::BAD_REQUEST, "no-host", why)
}

/// Returns the host that the caller asks for: the URI's authority, or else the Host field.
fn authority(parts: &Parts) -> Result<&str, Denial> {
    let mut hosts = parts.headers.get_all(header::HOST).iter();
    let host = hosts.next();
    if hosts.next().is_some() {
        return Err(bad_host());
    }
    match parts.uri.authority() {
        Some(authority) => Ok(authority.as_str()),
        None => host.and_then(|it| it.to_str().ok()).ok_or_else(bad_host),
    }
}

fn path_of(parts: &Parts) -> PathAndQuery {
    let path = parts.uri.path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}

fn retry_tree(headers: &HeaderMap) -> Result<Tree, Denial> {
    let mut values = headers.get_all(BUDGET).iter();
    let Some(value) = values.next() else {
        return Ok(Tree::default());
    };
    let tree = value.to_str().ok().and_then(|it| Tree::from_str(it).ok());
    match (tree, values.next()) {
        (Some(tree), None) => Ok(tree),
        _ => {
            let why =
                "header laburnum-budget is not valid; forward it as received, or leave it out";
            Err(Denial::bad(StatusCode::BAD_REQUEST, "bad-header", why))
        }
    }
}

fn bad_number(error: headers::BadNumber) -> Denial {
    Denial::bad(StatusCode::BAD_REQUEST, "bad-header", error.to_string())
}
