//! Types of the values on the command line.

use std::{net::SocketAddr, str::FromStr};

/// A whole number from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Amount<const MIN: u64, const MAX: u64>(u64);

/// The text is not a whole number within the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a whole number from {min} to {max}")]
pub struct BadAmount {
    min: u64,
    max: u64,
}

impl<const MIN: u64, const MAX: u64> Amount<MIN, MAX> {
    /// The number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// The number, as a count of things in memory.
    pub fn count(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl<const MIN: u64, const MAX: u64> FromStr for Amount<MIN, MAX> {
    type Err = BadAmount;

    fn from_str(text: &str) -> Result<Amount<MIN, MAX>, BadAmount> {
        let number = text.parse().ok();
        let within = number.filter(|it| (MIN..=MAX).contains(it));
        within.map(Amount).ok_or(BadAmount { min: MIN, max: MAX })
    }
}

/// An address that the node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen(pub SocketAddr);

/// An address that other processes are told or that is called: one host's, not a wildcard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced(pub SocketAddr);

/// The text is not an address that the node can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadAddress {
    /// A host name, or no port.
    #[error(
        "not an IP address and port, as in 10.0.0.7:7100 or [fd00::7]:7100 (host names are not looked up)"
    )]
    Syntax,
    /// Port 0.
    #[error("port 0 would be one that nobody knows: name a port")]
    Port,
    /// A wildcard or multicast address.
    #[error("others cannot reach this address: name the IP address of one host")]
    Unreachable,
}

impl FromStr for Listen {
    type Err = BadAddress;

    fn from_str(text: &str) -> Result<Listen, BadAddress> {
        let address: SocketAddr = text.parse().map_err(|_| BadAddress::Syntax)?;
        match address.port() {
            0 => Err(BadAddress::Port),
            _ => Ok(Listen(address)),
        }
    }
}

impl FromStr for Announced {
    type Err = BadAddress;

    fn from_str(text: &str) -> Result<Announced, BadAddress> {
        let Listen(address) = text.parse()?;
        let ip = address.ip().to_canonical();
        match ip.is_unspecified() || ip.is_multicast() {
            true => Err(BadAddress::Unreachable),
            false => Ok(Announced(address)),
        }
    }
}

/// Settings of the spread that fit one use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Favours convergence time.
    Nile,
    /// Favours control bytes.
    Cascadia,
}

/// The word is not a preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not one of nile, cascadia")]
pub struct BadPreset;

impl FromStr for Preset {
    type Err = BadPreset;

    fn from_str(text: &str) -> Result<Preset, BadPreset> {
        match text {
            "nile" => Ok(Preset::Nile),
            "cascadia" => Ok(Preset::Cascadia),
            _ => Err(BadPreset),
        }
    }
}
