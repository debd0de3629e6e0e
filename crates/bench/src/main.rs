//! `laburnum-bench`: benchmarks and experiments.

use std::process::ExitCode;

use laburnum_bench::{
    cli::{self, JSON},
    converge,
    fleet::FleetError,
    load,
    report::{Report, Verdict},
    smoke,
};
use laburnum_flags::{Exit, Input};

#[tokio::main]
async fn main() -> ExitCode {
    let (command, values) = match cli::SUITE.parse(Input::process()) {
        Ok(parsed) => parsed,
        Err(stop) => return stop.exit(),
    };
    let run = match command {
        load::command::NAME => return load::command::run(&values).await,
        cli::SMOKE_COMMAND => smoke::run().await,
        _ => converge::run(&cli::plan(&values)).await,
    };
    print_report(run, values.get(&JSON))
}

/// Prints the report and returns the exit code of its verdict.
fn print_report(run: Result<Report, FleetError>, json: bool) -> ExitCode {
    let report = match run {
        Ok(report) => report,
        Err(error) => {
            eprintln!("laburnum-bench: {error}");
            return ExitCode::from(Exit::FAILURE.code);
        }
    };
    match json {
        true => println!("{}", report.json()),
        false => print!("{report}"),
    }
    match report.verdict() {
        Verdict::Pass => ExitCode::SUCCESS,
        Verdict::Fail => ExitCode::from(Exit::FAILURE.code),
    }
}
