//! `laburnum-bench`: load and experiments.

use std::process::ExitCode;

use laburnum_bench::load::command;
use laburnum_flags::{Input, Suite};

const SUITE: Suite = Suite {
    name: "laburnum-bench",
    version: env!("CARGO_PKG_VERSION"),
    about: "Load and experiments over real nodes on loopback.",
    commands: &[(command::NAME, command::PROGRAM)],
};

#[tokio::main]
async fn main() -> ExitCode {
    match SUITE.parse(Input::process()) {
        Ok((_, values)) => command::run(&values).await,
        Err(stop) => stop.exit(),
    }
}
