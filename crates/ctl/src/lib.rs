//! The operators' command line: checks documents, submits them and tells what is in force.
//!
//! [`run`] is the whole program but for its process; results go to `out`, progress and faults to `err`.

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

/// Reads the command line, carries it out and prints what came of it.
pub async fn run(input: Input, out: &mut dyn Write, err: &mut dyn Write) -> Outcome {
    let request = match cli::parse(input) {
        Ok(request) => request,
        Err(stop) => return stopped(&stop, out, err),
    };
    let Request { command, format } = request;
    let report = match commands::run(command, err).await {
        Ok(report) => report,
        Err(failure) => Report::from(failure),
    };
    print(&report, format, out, err);
    report.outcome
}

fn stopped(stop: &Stop, out: &mut dyn Write, err: &mut dyn Write) -> Outcome {
    // A closed pipe leaves nobody to tell.
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

fn print(report: &Report, format: Format, out: &mut dyn Write, err: &mut dyn Write) {
    let _ = match (format, report.outcome) {
        (Format::Json, _) => writeln!(out, "{}", report.json),
        (Format::Text, Outcome::Done) => out.write_all(report.text.as_bytes()),
        (Format::Text, _) => err.write_all(report.text.as_bytes()),
    };
}
