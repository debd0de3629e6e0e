//! Guard: requests that crash their upstream are quarantined.

use serde::{Deserialize, Serialize};

/// Between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// What a traffic thread or an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Guard {}
