//! Routes by host and path prefix, imported from an external source as complete versions.
//!
//! [`Table::new`] checks a [`Spec`] as a whole: an invalid version is never applied in part, and a
//! route of a table never names a service that the table lacks.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    customer::{BadCustomer, CustomerIndex, CustomerSpec, KeyDigest},
    document::{self, Class, Document, Drain, Repeat, Warmup},
    id::Name,
};

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Version number; grows by any step with each change. Zero is the empty configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// Every service.
    pub services: Vec<ServiceSpec>,
    /// All customers; if there are none, requests carry no keys.
    pub customers: Vec<CustomerSpec>,
    /// Limits of callers' requests and connections.
    pub limits: Limits,
}

/// Route of the requests under one path prefix of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Unique name.
    pub name: Arc<str>,
    /// Host of the request, without a port.
    pub host: Arc<str>,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Request timeout, in ms.
    pub timeout: u64,
    /// Latency goal, in ms; defaults to the timeout.
    pub goal: u64,
    /// Priority under load; zero is the highest.
    pub priority: u8,
    /// Maximum number of endpoints that a request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that share the route's requests by weight.
    pub targets: Vec<Target>,
}

/// A weighted service of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Weight relative to the sum of the route's weights.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Name,
}

/// Limits of callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum length of a request body, in bytes. Default: 1 MiB.
    pub body: u64,
    /// Maximum length of a request header, in bytes. Default: 16 KiB.
    pub header: usize,
    /// Idle timeout of a caller's connection, in ms. Default: 10 s.
    pub idle: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: 1 << 20,
            header: 16 * 1024,
            idle: 10_000,
        }
    }
}

/// Difference between two versions; small if few routes changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Version that the difference applies to.
    pub base: u64,
    /// Version that it results in.
    pub version: u64,
    /// Names of removed routes.
    pub dropped: Vec<Arc<str>>,
    /// Added and changed routes.
    pub routes: Vec<RouteSpec>,
    /// All services, if any changed.
    pub services: Option<Vec<ServiceSpec>>,
    /// Names of removed customers.
    pub customers_dropped: Vec<Arc<str>>,
    /// Added and changed customers.
    pub customers: Vec<CustomerSpec>,
    /// The limits of the newer version.
    pub limits: Limits,
}

impl Difference {
    /// Returns the difference that leads from `base` to `spec`.
    pub fn between(base: &Spec, spec: &Spec) -> Difference {
        let (dropped, routes) = changes(&base.routes, &spec.routes);
        let (customers_dropped, customers) = changes(&base.customers, &spec.customers);
        Difference {
            base: base.version,
            version: spec.version,
            dropped,
            routes,
            services: (base.services != spec.services).then(|| spec.services.clone()),
            customers_dropped,
            customers,
            limits: spec.limits,
        }
    }

    /// Applies the difference to `base`. Returns `None` if `base` has another version than the one
    /// it applies to.
    pub fn apply(&self, base: &Spec) -> Option<Spec> {
        if base.version != self.base {
            return None;
        }
        Some(Spec {
            version: self.version,
            routes: merge(&base.routes, &self.dropped, &self.routes),
            services: self
                .services
                .clone()
                .unwrap_or_else(|| base.services.clone()),
            customers: merge(&base.customers, &self.customers_dropped, &self.customers),
            limits: self.limits,
        })
    }
}

/// A part of a version that is identified by its name.
trait Named {
    fn name(&self) -> &Arc<str>;
}

impl Named for RouteSpec {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for CustomerSpec {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

/// Returns the names that only `base` holds, and the parts of `spec` that `base` lacks or holds otherwise.
fn changes<T: Named + Clone + PartialEq>(base: &[T], spec: &[T]) -> (Vec<Arc<str>>, Vec<T>) {
    let before: HashMap<&Arc<str>, &T> = base.iter().map(|it| (it.name(), it)).collect();
    let after: HashSet<&Arc<str>> = spec.iter().map(Named::name).collect();
    let dropped = base.iter().filter(|it| !after.contains(it.name()));
    let changed = spec.iter().filter(|it| before.get(it.name()) != Some(it));
    (
        dropped.map(|it| it.name().clone()).collect(),
        changed.cloned().collect(),
    )
}

/// Returns `base` without the parts `dropped`, and with `changed` in place of parts of the same names.
fn merge<T: Named + Clone>(base: &[T], dropped: &[Arc<str>], changed: &[T]) -> Vec<T> {
    let replaced: HashSet<&Arc<str>> = changed.iter().map(Named::name).chain(dropped).collect();
    let kept = base.iter().filter(|it| !replaced.contains(it.name()));
    kept.chain(changed).cloned().collect()
}

/// Why a version is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSpec {
    /// A route names a service that is not part of the version.
    #[error(
        "route {route} names the service {service}, which this version does not define: add the service or change the route"
    )]
    Dangling { route: Arc<str>, service: Name },
    /// No target of a route has a weight above zero.
    #[error("route {route} has no target with a weight: give one service a weight above zero")]
    NoTarget { route: Arc<str> },
    /// A prefix does not start and end with a slash.
    #[error("route {route} has the prefix {prefix:?}: start and end it with a slash")]
    BadPrefix { route: Arc<str>, prefix: Arc<str> },
    /// Two routes have the same host and prefix.
    #[error("routes {route} and {other} have the same host and prefix: keep one of them")]
    Ambiguous { route: Arc<str>, other: Arc<str> },
    /// The list of customers is invalid.
    #[error(transparent)]
    Customer(#[from] BadCustomer),
}

/// A checked version with an index over its routes.
#[derive(Debug, Default)]
pub struct Table {
    spec: Spec,
    /// Indexes in `spec.routes` by host and prefix.
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    /// The services as documents, built once because views are rebuilt often.
    documents: Vec<Arc<Document>>,
    customers: CustomerIndex,
}

impl Table {
    /// Checks and indexes `spec`.
    pub fn new(spec: Spec) -> Result<Table, BadSpec> {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, usize>> = HashMap::new();
        for (at, route) in spec.routes.iter().enumerate() {
            check(&spec, route)?;
            let prefixes = hosts.entry(route.host.clone()).or_default();
            if let Some(other) = prefixes.insert(route.prefix.clone(), at) {
                return Err(BadSpec::Ambiguous {
                    route: route.name.clone(),
                    other: spec.routes[other].name.clone(),
                });
            }
        }
        let documents = spec.services.iter().map(|it| Arc::new(document(&spec, it)));
        Ok(Table {
            documents: documents.collect(),
            customers: CustomerIndex::new(&spec.customers)?,
            spec,
            hosts,
        })
    }

    /// Returns the version of the table.
    pub fn version(&self) -> u64 {
        self.spec.version
    }

    /// Returns the configuration that the table was built from.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Takes one look-up per slash of the path, however many routes the host has.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let at = ends.filter_map(|it| prefixes.get(it)).next()?;
        self.spec.routes.get(*at)
    }

    /// Returns whether requests carry keys, unless their route is public.
    pub fn has_customers(&self) -> bool {
        !self.spec.customers.is_empty()
    }

    /// Returns the customer that holds `key`.
    pub fn customer(&self, key: &KeyDigest) -> Option<&CustomerSpec> {
        self.spec.customers.get(self.customers.find(key)?)
    }

    /// Returns the customer `name`.
    pub fn customer_named(&self, name: &str) -> Option<&CustomerSpec> {
        self.spec.customers.get(self.customers.find_name(name)?)
    }

    /// Returns the services as documents without routes, with the default settings except for the
    /// limit of request bodies and the warm-up.
    pub fn documents(&self) -> &[Arc<Document>] {
        &self.documents
    }
}

fn document(spec: &Spec, service: &ServiceSpec) -> Document {
    Document {
        schema: document::SCHEMA,
        service: service.name.clone(),
        owner: String::new(),
        routes: Vec::new(),
        limits: document::Limits {
            body: spec.limits.body,
            ..document::Limits::default()
        },
        retry: document::Retry::default(),
        drain: Drain::default(),
        warmup: Warmup { ramp: RAMP_MS },
    }
}

/// Warm-up time over which a new endpoint's share of requests grows, in ms.
const RAMP_MS: u64 = 3_000;

impl RouteSpec {
    /// Draws the service that carries the next request, by weight.
    ///
    /// Each request is drawn independently, so the shares hold even while one service rejects
    /// requests.
    pub fn target(&self, rng: &mut impl Rng) -> &Name {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut drawn = rng.random_range(0..total.max(1));
        for target in &self.targets {
            if drawn < target.weight {
                return &target.service;
            }
            drawn -= target.weight;
        }
        // Not reached: a valid route has a target with a weight above zero.
        &self.targets[0].service
    }
}

/// Maps a priority to a class, for modules that know three classes only.
pub fn class_of(priority: u8) -> Class {
    match priority {
        0 => Class::Exact,
        1 => Class::Interactive,
        _ => Class::Background,
    }
}

fn check(spec: &Spec, route: &RouteSpec) -> Result<(), BadSpec> {
    let unknown = |it: &&Target| {
        !spec
            .services
            .iter()
            .any(|service| service.name == it.service)
    };
    if let Some(target) = route.targets.iter().find(unknown) {
        return Err(BadSpec::Dangling {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    if route.targets.iter().all(|it| it.weight == 0) {
        return Err(BadSpec::NoTarget {
            route: route.name.clone(),
        });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(BadSpec::BadPrefix {
            route: route.name.clone(),
            prefix: route.prefix.clone(),
        });
    }
    Ok(())
}
