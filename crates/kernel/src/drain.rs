//! Drain: leaving without cutting a request in progress.

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Drain {}
