//! The node: a small process that runs beside each upstream.
//!
//! The control thread ([`control`]) owns the kernel and the link, and publishes an immutable view. The threads that
//! carry requests ([`traffic`]) read this view. [`Node::start`] runs a node inside the current process.

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
