//! Stand-ins for the platform and for upstreams with fault injection, for tests and trials.
//!
//! Both run in the process of a test or bench ([`FaultyPlatform`], [`Upstream`]) or as the binary `laburnum-standin`.

pub mod body;
pub mod cli;
pub mod faults;
pub mod faulty;
pub mod platform;
pub mod ports;
pub mod server;
pub mod upstream;

pub use crate::{
    faults::{Answers, Faults, Outage, Share, Stats},
    faulty::FaultyPlatform,
    platform::PlatformServer,
    upstream::{Behaviour, Ledger, Upstream, UpstreamSettings},
};
