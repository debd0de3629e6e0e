//! Types of setting values, with their parsers.

use std::{net::SocketAddr, str::FromStr};

/// An integer from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundedInt<const MIN: u64, const MAX: u64>(u64);

/// The text is not an integer within the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a whole number from {min} to {max}")]
pub struct BadBoundedInt {
    min: u64,
    max: u64,
}

impl<const MIN: u64, const MAX: u64> BoundedInt<MIN, MAX> {
    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the number as a `usize`.
    pub fn count(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl<const MIN: u64, const MAX: u64> FromStr for BoundedInt<MIN, MAX> {
    type Err = BadBoundedInt;

    fn from_str(text: &str) -> Result<BoundedInt<MIN, MAX>, BadBoundedInt> {
        let number = text.parse().ok();
        let within = number.filter(|it| (MIN..=MAX).contains(it));
        within
            .map(BoundedInt)
            .ok_or(BadBoundedInt { min: MIN, max: MAX })
    }
}

/// An address that the node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddress(pub SocketAddr);

/// An address that processes connect to: the address of one host, not a wildcard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostAddress(pub SocketAddr);

/// The text is not an address that the node can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadAddress {
    /// The text is a host name, or lacks a port.
    #[error(
        "not an IP address and port, as in 10.0.0.7:7100 or [fd00::7]:7100 (host names are not looked up)"
    )]
    Syntax,
    /// The port is 0.
    #[error("port 0 would open a port that others do not know: name a port")]
    Port,
    /// The address is a wildcard or a multicast address.
    #[error("others cannot reach this address: name the IP address of one host")]
    Unreachable,
}

impl FromStr for ListenAddress {
    type Err = BadAddress;

    fn from_str(text: &str) -> Result<ListenAddress, BadAddress> {
        let address: SocketAddr = text.parse().map_err(|_| BadAddress::Syntax)?;
        match address.port() {
            0 => Err(BadAddress::Port),
            _ => Ok(ListenAddress(address)),
        }
    }
}

impl FromStr for HostAddress {
    type Err = BadAddress;

    fn from_str(text: &str) -> Result<HostAddress, BadAddress> {
        let ListenAddress(address) = text.parse()?;
        let ip = address.ip().to_canonical();
        match ip.is_unspecified() || ip.is_multicast() {
            true => Err(BadAddress::Unreachable),
            false => Ok(HostAddress(address)),
        }
    }
}

/// Preset of the settings that control how configuration spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Favours convergence time.
    Nile,
    /// Favours control bytes.
    Cascadia,
}

/// The text is not a preset.
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
