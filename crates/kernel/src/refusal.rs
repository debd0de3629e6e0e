//! Why a request was not run, and when to come back.

use std::{fmt, str::FromStr};

/// Why a request was refused. In every case the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The node or its upstream has not finished starting.
    NotReady,
    /// The upstream is leaving.
    Draining,
    /// The request would have to wait longer than is useful.
    Overloaded,
    /// The queue of the request's class is full.
    QueueFull,
    /// The deadline passed, or can no longer be met.
    Expired,
    /// The caller gave up.
    Cancelled,
    /// The caller exceeds its rate.
    Limited,
    /// The request is suspected of crashing upstreams.
    Quarantined,
    /// The claim of a request that may not be repeated could not be written.
    NoClaim,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// The upstream itself turned the request away.
    Shed,
    /// The link to the endpoint's host has no room for the body.
    LinkFull,
}

/// Every reason.
pub const REASONS: [Reason; 12] = [
    Reason::NotReady,
    Reason::Draining,
    Reason::Overloaded,
    Reason::QueueFull,
    Reason::Expired,
    Reason::Cancelled,
    Reason::Limited,
    Reason::Quarantined,
    Reason::NoClaim,
    Reason::NoEndpoint,
    Reason::Shed,
    Reason::LinkFull,
];

/// The answer to a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was not run.
    pub reason: Reason,
    /// How long to wait before the same request has a chance here, in ms.
    pub after: u64,
}

/// Where a refused request may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Another endpoint may take it at once.
    Elsewhere,
    /// Every endpoint would answer alike: only waiting helps.
    Later,
    /// Nobody waits for the answer any more.
    Never,
}

/// The text names no [`Reason`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("refusal reason {0:?} is not known: update this node, or treat it as overloaded")]
pub struct BadReason(pub String);

impl Reason {
    /// The stable name, used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NotReady => "not-ready",
            Reason::Draining => "draining",
            Reason::Overloaded => "overloaded",
            Reason::QueueFull => "queue-full",
            Reason::Expired => "expired",
            Reason::Cancelled => "cancelled",
            Reason::Limited => "limited",
            Reason::Quarantined => "quarantined",
            Reason::NoClaim => "no-claim",
            Reason::NoEndpoint => "no-endpoint",
            Reason::Shed => "shed",
            Reason::LinkFull => "link-full",
        }
    }

    /// Where the request may be tried again.
    pub fn remedy(self) -> Remedy {
        match self {
            Reason::NotReady
            | Reason::Draining
            | Reason::Overloaded
            | Reason::QueueFull
            | Reason::Shed
            | Reason::LinkFull => Remedy::Elsewhere,
            Reason::Limited | Reason::Quarantined | Reason::NoClaim | Reason::NoEndpoint => {
                Remedy::Later
            }
            Reason::Expired | Reason::Cancelled => Remedy::Never,
        }
    }
}

impl Refusal {
    /// A refusal that another endpoint may undo at once.
    pub fn new(reason: Reason) -> Refusal {
        Refusal { reason, after: 0 }
    }

    /// A refusal with a hint of when to come back, in ms.
    pub fn after(reason: Reason, after: u64) -> Refusal {
        Refusal { reason, after }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = BadReason;

    fn from_str(text: &str) -> Result<Reason, BadReason> {
        REASONS
            .into_iter()
            .find(|it| it.as_str() == text)
            .ok_or_else(|| BadReason(text.chars().take(40).collect()))
    }
}
