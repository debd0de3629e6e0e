//! The edges of a process: the platform, the link to other nodes and the clock.
//!
//! These are the only traits of the project. Each has the adapter that production uses and one for tests.

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
    memory::Memory,
    platform::Platform,
    token::Token,
};
