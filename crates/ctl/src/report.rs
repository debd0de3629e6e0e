//! What came of a command: its exit code and what is printed.

use std::process::ExitCode;

use laburnum_flags::Exit;
use serde_json::{Value, json};

use crate::{client::ClientError, files::FileError};

/// How a command ended; each is an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done.
    Done = 0,
    /// Refused, or the file has faults.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Somebody else's change came first.
    Conflict = 3,
    /// No answer, or not in time: it may or may not have been done.
    Unavailable = 4,
}

impl Outcome {
    /// The exit codes, for `--help`.
    pub const EXITS: &'static [Exit] = &[
        Exit::SUCCESS,
        Exit {
            code: Outcome::Refused as u8,
            meaning: "refused, or the document has faults; nothing was changed",
        },
        Exit::USAGE,
        Exit {
            code: Outcome::Conflict as u8,
            meaning: "another change came first; nothing was changed",
        },
        Exit {
            code: Outcome::Unavailable as u8,
            meaning: "no answer in time; the output says whether something may have changed",
        },
    ];
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(outcome as u8)
    }
}

/// What is printed at the end.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// How it ended.
    pub outcome: Outcome,
    /// Lines for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

/// Why a command came to no result of its own.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The node refused, or gave no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
}

impl From<Failure> for Report {
    fn from(failure: Failure) -> Report {
        let outcome = match &failure {
            Failure::File(_) => Outcome::Refused,
            Failure::Client(error) => error.outcome(),
        };
        Report {
            outcome,
            text: format!("laburnum-ctl: {failure}\n"),
            json: json!({"error": failure.to_string()}),
        }
    }
}
