//! Keys of customers at the entry.

use std::sync::{Arc, atomic::Ordering};

use http::{HeaderMap, StatusCode, header};
use laburnum_kernel::{
    Ms, View,
    customer::{CustomerSpec, KeyDigest, Quota},
    refusal::{Reason, Refusal},
    routing::RouteSpec,
};

use crate::logs;

use super::{
    Traffic,
    denial::Denial,
    dialect::{Dialect, Fields},
    headers,
};

/// Retry delay while the configuration in force is unconfirmed, in ms: a source that answers again confirms it in
/// about this time.
const UNCONFIRMED_MS: u64 = 1_000;

/// Why a request presents no usable key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum KeyFault {
    #[error("the request carries no key; send one in the field authorization")]
    Missing,
    #[error("the request carries several keys; send one field authorization")]
    Repeated,
    #[error("the field authorization is not valid; send it as `{0} KEY`")]
    Malformed(&'static str),
}

/// The customer that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Customer {
    pub(super) name: Arc<str>,
    pub(super) quota: Quota,
    pub(super) priority: Option<u8>,
    key: KeyDigest,
}

impl Traffic {
    /// Identifies the customer of a request by its key. `None` if the request needs no key.
    ///
    /// Replaces the key in `headers` by the customer's name: upstreams trust that name and never see a key.
    /// `known_since` must have been read before `view`.
    pub(super) fn identify(
        &self,
        view: &View,
        known_since: Ms,
        route: &RouteSpec,
        headers: &mut HeaderMap,
    ) -> Result<Option<Customer>, Denial> {
        let Dialect::Foreign(fields) = &self.0.dialect else {
            return Ok(None);
        };
        headers.remove(&fields.customer);
        if !view.table.has_customers() {
            return Ok(None);
        }
        if route.public {
            headers.remove(header::AUTHORIZATION);
            return Ok(None);
        }
        let presented = presented_key(fields, headers).map_err(unauthorized);
        headers.remove(header::AUTHORIZATION);
        let key = presented?;
        // A node that may lack the newest version knows neither which keys were taken away nor which were added.
        self.check_confirmed(known_since)?;
        let Some(spec) = view.table.customer(&key) else {
            let why = "no customer holds this key; ask the operators for a valid one";
            return Err(Denial::bad(StatusCode::UNAUTHORIZED, "unknown-key", why));
        };
        headers::insert_text(headers, fields.customer.clone(), &spec.name);
        Ok(Some(Customer::new(spec, key)))
    }

    /// Refuses a request whose key was taken away since the request was planned.
    pub(super) fn check_key(&self, customer: &Customer) -> Result<(), Denial> {
        let known_since = self.0.control.known_since();
        let view = self.view();
        self.check_confirmed(known_since)?;
        match view.table.customer(&customer.key) {
            Some(it) if it.name == customer.name => Ok(()),
            _ => {
                let why = "the key was taken away while the request waited; ask the operators for a valid one";
                Err(Denial::bad(StatusCode::UNAUTHORIZED, "unknown-key", why))
            }
        }
    }

    /// Refuses requests with keys while the configuration in force may lack a revocation that has to be in force.
    fn check_confirmed(&self, known_since: Ms) -> Result<(), Denial> {
        let Some(bound) = self.0.revoke else {
            return Ok(());
        };
        let age = self.now().since(known_since);
        let is_refusing = age >= bound;
        if self.0.keys_refused.swap(is_refusing, Ordering::Relaxed) != is_refusing {
            log_key_gate(is_refusing, known_since, age);
        }
        match is_refusing {
            false => Ok(()),
            true => Err(Denial::Refused(Refusal::after(
                Reason::Unconfirmed,
                UNCONFIRMED_MS,
            ))),
        }
    }
}

impl Customer {
    fn new(spec: &CustomerSpec, key: KeyDigest) -> Customer {
        Customer {
            name: spec.name.clone(),
            quota: spec.quota,
            priority: spec.priority,
            key,
        }
    }
}

/// Returns the digest of the key that a request presents.
fn presented_key(fields: &Fields, headers: &HeaderMap) -> Result<KeyDigest, KeyFault> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyFault::Missing)?;
    if values.next().is_some() {
        return Err(KeyFault::Repeated);
    }
    let key = value
        .as_bytes()
        .strip_prefix(fields.scheme.as_bytes())
        .and_then(|it| it.strip_prefix(b" "))
        .filter(|it| !it.is_empty() && it.iter().all(u8::is_ascii_graphic));
    let key = key.ok_or(KeyFault::Malformed(fields.scheme))?;
    Ok(KeyDigest::of(key))
}

fn log_key_gate(is_refusing: bool, known_since: Ms, age: u64) {
    let state = match is_refusing {
        true => "refused",
        false => "accepted",
    };
    // A process that has not heard of the source has no age.
    let age = match known_since {
        Ms(0) => String::new(),
        _ => age.to_string(),
    };
    let pairs = [("state", state.to_owned()), ("age_ms", age)];
    logs::event("customer-keys", &pairs);
}

fn unauthorized(fault: KeyFault) -> Denial {
    let reason = match fault {
        KeyFault::Missing => "no-key",
        KeyFault::Repeated | KeyFault::Malformed(_) => "bad-key",
    };
    Denial::bad(StatusCode::UNAUTHORIZED, reason, fault.to_string())
}
