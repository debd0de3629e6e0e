//! `laburnum-ctl`: the operators' command line.

fn main() {}
