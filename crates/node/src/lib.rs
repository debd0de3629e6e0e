//! The node: one small process beside each upstream.
//!
//! One thread owns the kernel and the link ([`control`]); others carry requests ([`traffic`]) and read the
//! immutable view that the control thread publishes. [`Node::start`] runs both inside any process.

pub mod admin;
pub mod auth;
pub mod cli;
pub mod config;
pub mod control;
pub mod logs;
pub mod metrics;
pub mod node;
mod recall;
pub mod traffic;
pub mod upstream;

pub use crate::{config::Config, node::Node};
