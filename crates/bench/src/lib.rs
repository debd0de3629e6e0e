//! Benchmarks and experiments with real nodes on loopback.
//!
//! [`fleet`] starts nodes with their threads and sockets in one process, around one platform with fault
//! injection. [`smoke`] checks the whole path in seconds, [`converge`] measures the convergence time and cost
//! of changes, and [`load`] compares nodes with a baseline under overload and faults. [`report`] prints
//! tables or one JSON object.

pub mod cli;
pub mod converge;
pub mod fleet;
pub mod load;
pub mod metered;
pub mod report;
pub mod smoke;
pub mod watch;
