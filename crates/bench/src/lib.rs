//! Load and experiments over real nodes on loopback.
//!
//! [`fleet`] starts nodes with their threads and sockets in this one process, around one platform with faults.
//! [`smoke`] shows in seconds that the whole path works; [`converge`] measures how long a change takes to be in
//! force in every view, and what it costs; [`load`] offers overload and faults beside a baseline. [`report`] prints tables and one JSON object.

pub mod cli;
pub mod converge;
pub mod fleet;
pub mod load;
pub mod metered;
pub mod report;
pub mod smoke;
pub mod watch;
