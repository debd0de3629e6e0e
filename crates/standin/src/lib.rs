//! Small stand-ins for the platform and for upstreams, for tests and trials.

pub mod upstream;
