//! The contract of the operators' API, over real sockets.

mod changes;
mod faults;
mod operators;
mod support;
