//! Refusals: the reason for which a request was not run, and when to retry it.

use std::{fmt, str::FromStr};

/// Reason of a refusal. A refused request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The node or its upstream is still starting.
    NotReady,
    /// The upstream drains.
    Draining,
    /// The request would have to wait too long.
    Overloaded,
    /// The queue of the request's class is full.
    QueueFull,
    /// The deadline has passed or can no longer be met.
    Expired,
    /// The caller gave up.
    Cancelled,
    /// The caller exceeds its rate limit.
    Limited,
    /// The request is suspected of crashing upstreams.
    Quarantined,
    /// The claim of a request that may not be repeated could not be written.
    NoClaim,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// The upstream itself rejected the request.
    Shed,
    /// The link of the endpoint's host has no capacity for the body or for the expected answer.
    LinkFull,
    /// The node cannot know whether the customer's key is still valid.
    Unconfirmed,
    /// The node cannot know how much of the customer's quota is left.
    NoQuota,
}

/// All reasons.
pub const REASONS: [Reason; 14] = [
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
    Reason::Unconfirmed,
    Reason::NoQuota,
];

/// Answer to a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for which it was not run.
    pub reason: Reason,
    /// Time to wait before a retry at the same endpoint, in ms.
    pub after: u64,
}

/// Where a refused request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// At another endpoint, at once.
    Elsewhere,
    /// At any endpoint, after a delay: all of them would refuse it now.
    Later,
    /// Not at all: the caller no longer waits for the answer.
    Never,
}

/// The text is not the name of a [`Reason`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("refusal reason {0:?} is not known: update this node, or treat it as overloaded")]
pub struct BadReason(pub String);

impl Reason {
    /// Returns the stable name that headers, logs and metrics use.
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
            Reason::Unconfirmed => "config-unconfirmed",
            Reason::NoQuota => "quota-unknown",
        }
    }

    /// Returns where the request may be retried.
    pub fn remedy(self) -> Remedy {
        match self {
            Reason::NotReady
            | Reason::Draining
            | Reason::Overloaded
            | Reason::QueueFull
            | Reason::Shed
            | Reason::LinkFull
            | Reason::Unconfirmed
            | Reason::NoQuota => Remedy::Elsewhere,
            Reason::Limited | Reason::Quarantined | Reason::NoClaim | Reason::NoEndpoint => {
                Remedy::Later
            }
            Reason::Expired | Reason::Cancelled => Remedy::Never,
        }
    }
}

impl Refusal {
    /// Creates a refusal without a delay.
    pub fn new(reason: Reason) -> Refusal {
        Refusal { reason, after: 0 }
    }

    /// Creates a refusal with the time to wait before a retry, `after`, in ms.
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
