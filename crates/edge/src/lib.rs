//! Adapters to the outside world: the platform's table and object store, the link between nodes, the clock, the check of
//! HTTP answers, and the bodies and bearer tokens of the operators' API.

pub mod answer;
pub mod api;
pub mod clock;
pub mod http;
pub mod link;
pub mod memory;
pub mod platform;
pub mod token;

pub use crate::{
    clock::Clock,
    http::{HttpPlatform, HttpSettings},
    link::{Incoming, Link, LinkError},
    memory::MemoryPlatform,
    platform::Platform,
    token::Token,
};
