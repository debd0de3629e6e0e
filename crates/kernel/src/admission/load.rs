//! Load of an upstream, as reported by its owner.

use std::{fmt, str::FromStr};

/// Load of an upstream, sent back with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u16,
    /// Number of waiting requests, without background ones.
    pub waiting: u16,
    /// Current concurrency limit.
    pub limit: u16,
}

/// The text is not a valid [`Load`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("load {0:?} is not valid: use running/waiting/limit, such as 3/0/6")]
pub struct BadLoad(pub String);

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.waiting, self.limit)
    }
}

impl FromStr for Load {
    type Err = BadLoad;

    fn from_str(text: &str) -> Result<Load, BadLoad> {
        let bad = || BadLoad(text.chars().take(40).collect());
        let mut parts = text
            .split('/')
            .map(|it| it.parse::<u16>().map_err(|_| bad()));
        let mut next = || parts.next().unwrap_or_else(|| Err(bad()));
        let load = Load {
            running: next()?,
            waiting: next()?,
            limit: next()?,
        };
        match parts.next() {
            None => Ok(load),
            Some(_) => Err(bad()),
        }
    }
}
