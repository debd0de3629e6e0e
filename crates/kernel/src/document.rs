//! The document that describes how one service is reached.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::Name;

/// The newest schema that this build understands.
pub const SCHEMA: u32 = 1;

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
    /// Methods in upper case; empty means every method.
    pub methods: Vec<Arc<str>>,
    /// Share of the upstream that the route is entitled to.
    pub class: Class,
    /// Longest time a request may take in all, in ms.
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

/// The text is not a valid document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct BadDocument(pub String);

impl Document {
    /// Reads and checks a document in TOML.
    pub fn parse(text: &str) -> Result<Document, BadDocument> {
        toml::from_str(text).map_err(|it| BadDocument(it.to_string()))
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
        let named = self.methods.is_empty() || self.methods.iter().any(|it| &**it == method);
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        named && (rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'))
    }
}
