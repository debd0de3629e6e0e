//! Tests of the HTTP API for operators and upstreams over real sockets.

mod changes;
mod faults;
mod operators;
mod support;
