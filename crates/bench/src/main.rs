//! `laburnum-bench`: load and experiments.

use std::process::ExitCode;

use laburnum_bench::cli;
use laburnum_flags::Input;

fn main() -> ExitCode {
    match cli::SUITE.parse(Input::process()) {
        Ok(_) => ExitCode::SUCCESS,
        Err(stop) => stop.exit(),
    }
}
