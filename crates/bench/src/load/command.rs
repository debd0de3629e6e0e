//! The command line of `laburnum-bench load`.

use std::process::ExitCode;

use laburnum_flags::{Exit, Program, Setting, Values};

use super::{Settings, case::Cases, preset::Preset, report::HEADING};
use crate::cli::JSON;

/// Name of the command.
pub const NAME: &str = "load";

const PRESET: Setting<Preset> =
    Setting::new("--preset", "WORD", "Whose fleet: nile or cascadia.").default("nile");
const CASES: Setting<Cases> = Setting::new(
    "--cases",
    "LIST",
    "Cases with commas between, or all: added, unloaded, half, full, double, quadruple, flood, slow, crash, silent, drain, table, filings, faults.",
)
.default("all");
const SECONDS: Setting<u64> = Setting::new("--seconds", "N", "Measured time of each case.")
    .default("3")
    .unit("s");
const SEED: Setting<u64> =
    Setting::new("--seed", "N", "Fixes arrivals and service times.").default("1");

/// Flags and exit codes of the command.
pub const PROGRAM: Program = Program {
    name: "laburnum-bench load",
    version: env!("CARGO_PKG_VERSION"),
    about: "Overload and faults against real nodes, beside a baseline without them.",
    operands: &[],
    settings: &[
        PRESET.row(),
        CASES.row(),
        SECONDS.row(),
        SEED.row(),
        JSON.row(),
    ],
    exits: &[
        Exit {
            code: 0,
            meaning: "no duplicate, wrong refusal or mixed answer",
        },
        Exit {
            code: 1,
            meaning: "there was one, or the run could not be carried out",
        },
        Exit::USAGE,
    ],
};

/// Runs the command inside a tokio runtime and returns its exit code.
pub async fn run(values: &Values) -> ExitCode {
    let settings = Settings {
        preset: values.get(&PRESET),
        cases: values.get(&CASES).0,
        seconds: values.get(&SECONDS).max(1),
        seed: values.get(&SEED),
    };
    let json = values.get(&JSON);
    if !json {
        println!("{HEADING}");
    }
    let report = super::run(&settings, |line| {
        if !json {
            println!("{line}");
        }
    });
    let report = match report.await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("laburnum-bench: {error}");
            return ExitCode::from(Exit::FAILURE.code);
        }
    };
    if json {
        match serde_json::to_string(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("laburnum-bench: the report cannot be written: {error}"),
        }
    }
    match report.passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(Exit::FAILURE.code),
    }
}
