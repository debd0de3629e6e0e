//! The document that describes how one service is reached.
//!
//! [`Document::parse`] is the only way from text to a [`Document`]: submissions and nodes share it, so a
//! text that was accepted is applied, and whole.

mod fault;
mod read;
mod table;
mod unit;

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

pub use self::fault::{BadDocument, FAULTS_MAX, Fault, FaultKind};
use crate::id::Name;

/// The newest schema that this build understands.
pub const SCHEMA: u32 = 1;
/// The longest document, in bytes.
pub const DOCUMENT_MAX: usize = 48 * 1024;
/// Most routes of one document.
pub const ROUTES_MAX: usize = 256;
/// Most methods of one route.
pub const METHODS_MAX: usize = 16;
/// Most services that one route uses.
pub const USES_MAX: usize = 64;
/// The longest owner, in bytes.
pub const OWNER_MAX: usize = 128;
/// The longest path of a route, in bytes.
pub const PATH_MAX: usize = 512;
/// The longest method, in bytes.
pub const METHOD_MAX: usize = 16;
/// The largest `limits.body`, in bytes.
pub const BODY_MAX: u64 = 64 << 20;
/// The shortest deadline, in ms.
pub const DEADLINE_MIN: u64 = 10;
/// The longest deadline, in ms.
pub const DEADLINE_MAX: u64 = 15 * 60_000;
/// The longest `drain.grace` and `warmup.ramp`, in ms.
pub const WAIT_MAX: u64 = 10 * 60_000;

/// One service's document, checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document's format.
    pub schema: u32,
    /// The service described.
    pub service: Name,
    /// Team that answers for it.
    pub owner: String,
    /// Routes, longest path first.
    pub routes: Vec<Route>,
    /// Bounds on admitted work.
    pub limits: Limits,
    /// Retry policy of the entry node.
    pub retry: Retry,
    /// How the upstream leaves.
    pub drain: Drain,
    /// How the upstream starts.
    pub warmup: Warmup,
}

/// How requests under one path are carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, from `/`; matched by whole segments.
    pub path: Arc<str>,
    /// Methods in upper case, at least one.
    pub methods: Vec<Arc<str>>,
    /// Share of the upstream that the route is entitled to.
    pub class: Class,
    /// Longest time a request may take in all, in ms. Default: [`Class::deadline`].
    pub deadline: u64,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Services that handling the request calls; each must exist.
    pub uses: Vec<Name>,
}

/// Class of work; the classes share an upstream by weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// Runs at most once, such as a filing or a purchase.
    Exact,
    /// Finishes eventually and never crowds the others out.
    Background,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request is idempotent: it may be retried after an unknown outcome.
    Idempotent,
    /// The request runs at most once and needs an `Idempotency-Key`.
    Never,
}

/// Bounds on admitted work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most requests that wait for a slot. Default: 64.
    pub queue: u32,
    /// Requests a second from one caller; zero means no limit. Default: 0.
    pub caller: u32,
    /// Longest request or answer body in bytes. Default: 1 MiB.
    pub body: u64,
}

/// Retry policy of the entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retry {
    /// Most attempts at one request. Default: 3.
    pub attempts: u32,
    /// Retries as a share of successes, in percent. Default: 10.
    pub budget: u32,
}

/// How the upstream leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Longest time requests in progress are waited for, in ms. Default: 30 s.
    pub grace: u64,
}

/// How the upstream starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// Time over which a new upstream's share of work grows to its full one, in ms. Default: 5 s.
    pub ramp: u64,
}

impl Document {
    /// Reads and checks a document in TOML.
    pub fn parse(text: &str) -> Result<Document, BadDocument> {
        read::read(text).map(|it| it.document)
    }

    /// Every service that the routes use.
    pub fn uses(&self) -> BTreeSet<&Name> {
        self.routes.iter().flat_map(|it| &it.uses).collect()
    }

    /// The route that carries `method` on `path`, if any: the longest prefix wins.
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

/// Checks that every service which the document in `text` uses exists; lists those that do not.
///
/// Reads the text again, as only the text knows the place of each reference. Call it when
/// [`Document::uses`] names a service that is not there.
pub fn check_uses(text: &str, exists: impl Fn(&Name) -> bool) -> Result<(), BadDocument> {
    let read = read::read(text)?;
    let mut faults = table::Faults::new(text);
    for (offset, service) in read.uses {
        if !exists(&service) {
            faults.note(offset, FaultKind::Dangling(service));
        }
    }
    faults.finish(Some(()))
}

impl Class {
    /// The deadline of a route that names none, in ms.
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
