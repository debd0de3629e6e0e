//! Guard: requests that crash their upstream are quarantined.

use serde::{Deserialize, Serialize};

use crate::{id::Name, utils::hash64};

/// Digest of a request, the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The digest of a request to `service`. `path` includes the query; `caller` is the caller's idempotency
    /// key, or empty; `body` is the BLAKE3 hash of the whole body.
    pub fn of(
        service: &Name,
        method: &str,
        path: &str,
        caller: &str,
        body: &[u8; 32],
    ) -> Fingerprint {
        let parts = [service.as_str(), method, path, caller].map(str::as_bytes);
        let [service, method, path, caller] = parts;
        Fingerprint(hash64(&[service, method, path, caller, body]))
    }
}

/// Between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// What a traffic thread or an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Guard {}
