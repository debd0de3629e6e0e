//! Load and experiments over real nodes on loopback.

pub mod load;
