//! `laburnum-bench`: load and experiments.

fn main() {}
