//! Routes by host and path prefix: the configuration that an external source gives whole, version by version.
//!
//! [`Table::new`] checks a [`Spec`] as a whole. What it refuses is never applied in part, and a route of a table
//! never names a service that the table lacks.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    document::{self, Class, Document, Drain, Repeat, Warmup},
    id::Name,
};

/// One version of the whole configuration, as its source gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Grows with each change, in steps of any size; zero is the empty configuration.
    pub version: u64,
    /// Every route.
    pub routes: Vec<RouteSpec>,
    /// Every service.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: Limits,
}

/// How requests under one prefix of one host are carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that callers ask for, without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting, in ms.
    pub timeout: u64,
    /// Time within which an answer is of full use, in ms; the timeout where the source names none.
    pub goal: u64,
    /// Rank under load; zero goes first.
    pub priority: u8,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// The services that share the route's requests, by weight.
    pub targets: Vec<Target>,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its share, relative to the sum of the route's weights.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Name,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest body, in bytes. Default: 1 MiB.
    pub body: u64,
    /// Longest header of a request, in bytes. Default: 16 KiB.
    pub header: usize,
    /// How long a caller's connection may be idle, in ms. Default: 10 s.
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

/// What changed from one version to another; small where few routes did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The version that it starts from.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    /// Names of routes that are gone.
    pub dropped: Vec<Arc<str>>,
    /// Routes that are new or different.
    pub routes: Vec<RouteSpec>,
    /// Every service, if any changed.
    pub services: Option<Vec<ServiceSpec>>,
    /// What callers may send.
    pub limits: Limits,
}

impl Difference {
    /// What leads from `base` to `spec`.
    pub fn between(base: &Spec, spec: &Spec) -> Difference {
        let before: HashMap<&str, &RouteSpec> =
            base.routes.iter().map(|it| (&*it.name, it)).collect();
        let after: HashSet<&str> = spec.routes.iter().map(|it| &*it.name).collect();
        let changed = |it: &&RouteSpec| before.get(&*it.name) != Some(it);
        let dropped = base.routes.iter().filter(|it| !after.contains(&*it.name));
        Difference {
            base: base.version,
            version: spec.version,
            dropped: dropped.map(|it| it.name.clone()).collect(),
            routes: spec.routes.iter().filter(changed).cloned().collect(),
            services: (base.services != spec.services).then(|| spec.services.clone()),
            limits: spec.limits,
        }
    }

    /// The version that it leads to, if `base` is the one that it starts from.
    pub fn apply(&self, base: &Spec) -> Option<Spec> {
        if base.version != self.base {
            return None;
        }
        let replaced: HashSet<&str> = self.routes.iter().map(|it| &*it.name).collect();
        let dropped: HashSet<&str> = self.dropped.iter().map(|it| &**it).collect();
        let kept = base
            .routes
            .iter()
            .filter(|it| !replaced.contains(&*it.name) && !dropped.contains(&*it.name));
        Some(Spec {
            version: self.version,
            routes: kept.chain(&self.routes).cloned().collect(),
            services: self
                .services
                .clone()
                .unwrap_or_else(|| base.services.clone()),
            limits: self.limits,
        })
    }
}

/// Why a version is refused whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadSpec {
    /// A route names a service that the version lacks.
    #[error(
        "route {route} leads to {service}, which is no service of this version: add the service or change the route"
    )]
    Dangling { route: Arc<str>, service: Name },
    /// A route has no target that gets a share.
    #[error("route {route} has no target with a weight: give one service a weight above zero")]
    NoTarget { route: Arc<str> },
    /// A prefix does not begin and end with a slash.
    #[error("route {route} has the prefix {prefix:?}: begin and end it with a slash")]
    BadPrefix { route: Arc<str>, prefix: Arc<str> },
    /// Two routes claim the same requests.
    #[error("routes {route} and {other} have the same host and prefix: keep one of them")]
    Ambiguous { route: Arc<str>, other: Arc<str> },
}

/// A checked version with an index over its routes.
#[derive(Debug, Default)]
pub struct Table {
    spec: Spec,
    /// Places in `spec.routes` by host, then by prefix.
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    /// The services as documents, made once a version: views are built many times a second.
    documents: Vec<Arc<Document>>,
}

impl Table {
    /// Checks `spec` whole and indexes it.
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
            spec,
            hosts,
        })
    }

    /// The version that the table holds.
    pub fn version(&self) -> u64 {
        self.spec.version
    }

    /// What the table was made of.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The route of `host` with the longest prefix that begins `path`.
    ///
    /// Prefixes end with a slash, so one look-up a slash of the path finds it, however many routes a host has.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let at = ends.filter_map(|it| prefixes.get(it)).next()?;
        self.spec.routes.get(*at)
    }

    /// The services as documents: what a document says beside its routes, with the defaults of a document.
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

/// Time over which a new endpoint's share of work grows, in ms; endpoints are slow for about as long.
const RAMP_MS: u64 = 3_000;

impl RouteSpec {
    /// The service that carries the next request, by weight.
    ///
    /// Each request is drawn by itself: the shares hold whatever becomes of other requests, also while one
    /// part is short of room.
    pub fn target(&self, rng: &mut impl Rng) -> &Name {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut drawn = rng.random_range(0..total.max(1));
        for target in &self.targets {
            if drawn < target.weight {
                return &target.service;
            }
            drawn -= target.weight;
        }
        // A checked route has a target with a weight, so the loop returns before this.
        &self.targets[0].service
    }
}

/// The class by which a priority is told to modules that know three classes only.
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
