//! Identifiers shared by all modules.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// A node, identified by its control address: the TCP port of the link and the UDP port of probes.
///
/// A process that restarts on the same address is the same node with a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub SocketAddr);

impl NodeId {
    /// Returns whether other nodes can reach a node at this address: not at port 0 or the unspecified, a multicast or the
    /// broadcast address.
    pub fn is_valid(self) -> bool {
        let ip = self.0.ip();
        let is_broadcast = match ip {
            IpAddr::V4(it) => it.is_broadcast(),
            IpAddr::V6(_) => false,
        };
        self.0.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
    }
}

/// Position in the configuration log; zero is the empty configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Seq(pub u64);

/// Version of one service's document; zero means that the service does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Id of a submission, chosen by the submitter; makes the submission idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SubmitId(pub u128);

/// Pairs a [`crate::Call`] with its [`crate::Reply`]; chosen by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// Pairs a platform operation with its answer; chosen by the kernel, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Name of a service, availability zone or region: 1 to 63 of `a-z`, `0-9` and `-`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Maximum length of a [`Name`], in bytes.
pub const NAME_MAX: usize = 63;

/// Error for a text that is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("name {0:?} is not valid: use 1 to 63 of a-z, 0-9 and '-'")]
pub struct BadName(pub String);

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Version of an upstream's software, as its team names it: up to 64 bytes, empty if unknown.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Build(Arc<str>);

/// Maximum length of a [`Build`], in bytes.
pub const BUILD_MAX: usize = 64;

/// Error for a text that is not a valid [`Build`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("build {0:?} is too long: use at most 64 bytes")]
pub struct BadBuild(pub String);

impl Build {
    /// Returns the build as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Build {
    fn default() -> Build {
        Build(Arc::from(""))
    }
}

impl FromStr for Build {
    type Err = BadBuild;

    fn from_str(text: &str) -> Result<Build, BadBuild> {
        match text.len() <= BUILD_MAX {
            true => Ok(Build(Arc::from(text))),
            false => Err(BadBuild(text.chars().take(BUILD_MAX).collect())),
        }
    }
}

impl TryFrom<String> for Build {
    type Error = BadBuild;

    fn try_from(text: String) -> Result<Build, BadBuild> {
        text.parse()
    }
}

impl From<Build> for String {
    fn from(build: Build) -> String {
        build.0.as_ref().to_owned()
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Name {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Name, BadName> {
        let valid = |it: u8| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-';
        if text.is_empty() || text.len() > NAME_MAX || !text.bytes().all(valid) {
            return Err(BadName(text.chars().take(NAME_MAX + 1).collect()));
        }
        Ok(Name(Arc::from(text)))
    }
}

impl TryFrom<String> for Name {
    type Error = BadName;

    fn try_from(text: String) -> Result<Name, BadName> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Seq {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for SubmitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Error for a text that is not a valid [`SubmitId`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("submission id {0:?} is not valid: use up to 32 hexadecimal digits, as printed by submit")]
pub struct BadSubmitId(pub String);

impl FromStr for SubmitId {
    type Err = BadSubmitId;

    fn from_str(text: &str) -> Result<SubmitId, BadSubmitId> {
        u128::from_str_radix(text, 16)
            .map(SubmitId)
            .map_err(|_| BadSubmitId(text.chars().take(40).collect()))
    }
}
