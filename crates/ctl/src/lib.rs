//! The operators' command line: checks and submits documents, and shows the configuration in force.
//!
//! [`run`] is the program without its process, for tests: results are written to `out`, progress and errors
//! to `err`.

pub mod cli;
pub mod client;
mod commands;
mod explain;
mod files;
pub mod report;
mod show;
mod submission;

use std::io::Write;

use laburnum_flags::{Input, Stop};

use crate::{
    cli::{Format, Request},
    report::{Outcome, Report},
};

/// Parses the command line, runs the command and prints its report.
pub async fn run(input: Input, out: &mut dyn Write, err: &mut dyn Write) -> Outcome {
    let request = match cli::parse(input) {
        Ok(request) => request,
        Err(stop) => return print_stop(&stop, out, err),
    };
    let Request { command, format } = request;
    let report = match commands::run(command, err).await {
        Ok(report) => report,
        Err(failure) => Report::from(failure),
    };
    print_report(&report, format, out, err);
    report.outcome
}

/// Prints help, version or faults of the command line.
fn print_stop(stop: &Stop, out: &mut dyn Write, err: &mut dyn Write) -> Outcome {
    // Write errors, such as a closed pipe, cannot be reported.
    match stop {
        Stop::Print(text) => {
            let _ = out.write_all(text.as_bytes());
            Outcome::Done
        }
        Stop::Faults { .. } => {
            let _ = err.write_all(stop.text().as_bytes());
            Outcome::Usage
        }
    }
}

fn print_report(report: &Report, format: Format, out: &mut dyn Write, err: &mut dyn Write) {
    let _ = match (format, report.outcome) {
        (Format::Json, _) => writeln!(out, "{}", report.json),
        (Format::Text, Outcome::Done) => out.write_all(report.text.as_bytes()),
        (Format::Text, _) => err.write_all(report.text.as_bytes()),
    };
}
