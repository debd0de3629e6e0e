//! Documents, which describe how a service is called.
//!
//! Submissions and nodes share [`Document::parse`], so that nodes with the same schema can apply every accepted text.

mod fault;
mod read;
mod table;
mod unit;

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

pub use self::fault::{BadDocument, FAULTS_MAX, Fault, FaultKind};
use crate::id::Name;

/// The newest schema that this build supports.
pub const SCHEMA: u32 = 1;
/// Maximum length of a document, in bytes.
pub const DOCUMENT_MAX: usize = 48 * 1024;
/// Maximum number of routes in a document.
pub const ROUTES_MAX: usize = 256;
/// Maximum number of methods in a route.
pub const METHODS_MAX: usize = 16;
/// Maximum number of services that a route uses.
pub const USES_MAX: usize = 64;
/// Maximum length of the owner, in bytes.
pub const OWNER_MAX: usize = 128;
/// Maximum length of a route's path, in bytes.
pub const PATH_MAX: usize = 512;
/// Maximum length of a method, in bytes.
pub const METHOD_MAX: usize = 16;
/// Maximum of `limits.body`, in bytes.
pub const BODY_MAX: u64 = 64 << 20;
/// Minimum of a deadline, in ms.
pub const DEADLINE_MIN: u64 = 10;
/// Maximum of a deadline, in ms.
pub const DEADLINE_MAX: u64 = 15 * 60_000;
/// Maximum of `drain.grace` and `warmup.ramp`, in ms.
pub const WAIT_MAX: u64 = 10 * 60_000;

/// The valid document of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document format.
    pub schema: u32,
    /// The described service.
    pub service: Name,
    /// Team that is responsible for the service.
    pub owner: String,
    /// Routes, longest path first.
    pub routes: Vec<Route>,
    /// Limits on admitted work.
    pub limits: Limits,
    /// Retry policy of the entry node.
    pub retry: Retry,
    /// Draining of the upstream.
    pub drain: Drain,
    /// Warm-up of the upstream.
    pub warmup: Warmup,
}

/// How requests with one path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, starting with `/`; matches whole segments only.
    pub path: Arc<str>,
    /// Methods in upper case, at least one.
    pub methods: Vec<Arc<str>>,
    /// Class that determines the route's share of the upstream.
    pub class: Class,
    /// Maximum total time of a request, in ms. Default: [`Class::deadline`].
    pub deadline: u64,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Services that are called to handle a request; each must exist.
    pub uses: Vec<Name>,
}

/// Class of requests; the classes share an upstream by weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A user waits for the answer.
    Interactive,
    /// Requests that run at most once, such as a filing or a purchase.
    Exact,
    /// Requests without urgency that must not displace the other classes.
    Background,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request is idempotent and may be retried after an unknown outcome.
    Idempotent,
    /// The request runs at most once and requires an `Idempotency-Key`.
    Never,
}

/// Limits on admitted work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of requests that wait for a slot. Default: 64.
    pub queue: u32,
    /// Maximum requests per second from one caller; zero means no limit. Default: 0.
    pub caller: u32,
    /// Maximum size of a request or answer body, in bytes. Default: 1 MiB.
    pub body: u64,
}

/// Retry policy of the entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retry {
    /// Maximum number of attempts per request. Default: 3.
    pub attempts: u32,
    /// Retry budget as a share of successes, in percent. Default: 10.
    pub budget: u32,
}

/// Draining of the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Maximum wait for requests in progress, in ms. Default: 30 s.
    pub grace: u64,
}

/// Warm-up of the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// Time over which the share of a new upstream grows to its full one, in ms. Default: 5 s.
    pub ramp: u64,
}

impl Document {
    /// Parses and checks a document in TOML.
    pub fn parse(text: &str) -> Result<Document, BadDocument> {
        read::read(text).map(|it| it.document)
    }

    /// Returns all services that the routes use.
    pub fn uses(&self) -> BTreeSet<&Name> {
        self.routes.iter().flat_map(|it| &it.uses).collect()
    }

    /// Returns the route for `method` on `path`, if any. The longest prefix wins.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|it| it.covers(method, path))
            .max_by_key(|it| it.path.len())
    }
}

impl Route {
    fn covers(&self, method: &str, path: &str) -> bool {
        let named = self.methods.iter().any(|it| &**it == method);
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        named && (rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'))
    }
}

/// Checks that all services that the document in `text` uses exist. The error lists those that do not.
///
/// Parses the text again for the places of the references; call it after a check of [`Document::uses`] failed.
pub fn check_uses(text: &str, exists: impl Fn(&Name) -> bool) -> Result<(), BadDocument> {
    let read = read::read(text)?;
    let mut faults = table::Faults::new(text);
    for (offset, service) in read.uses {
        if !exists(&service) {
            faults.add(offset, FaultKind::Dangling(service));
        }
    }
    faults.finish(Some(()))
}

impl Class {
    /// Returns the default deadline of the class's routes, in ms.
    pub fn deadline(self) -> u64 {
        match self {
            Class::Interactive => 1_000,
            Class::Exact => 5_000,
            Class::Background => 60_000,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue: 64,
            caller: 0,
            body: 1 << 20,
        }
    }
}

impl Default for Retry {
    fn default() -> Retry {
        Retry {
            attempts: 3,
            budget: 10,
        }
    }
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { grace: 30_000 }
    }
}

impl Default for Warmup {
    fn default() -> Warmup {
        Warmup { ramp: 5_000 }
    }
}
