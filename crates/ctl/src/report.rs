//! The result of a command: its exit code and its output.

use std::process::ExitCode;

use laburnum_flags::Exit;
use serde_json::{Value, json};

use crate::{client::ClientError, files::FileError};

/// How a command ended; each variant is an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command succeeded.
    Done = 0,
    /// The node rejected the request, a file cannot be read or has faults, or the logs do not hold the request.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another change was accepted first.
    Conflict = 3,
    /// The node was unavailable, or the result was not known in time; the output says whether the request may have
    /// taken effect.
    Unavailable = 4,
}

impl Outcome {
    /// Exit codes, for `--help`.
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

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Outcome, which sets the exit code.
    pub outcome: Outcome,
    /// Result as lines of text.
    pub text: String,
    /// Result as a JSON object.
    pub json: Value,
}

/// Why a command has no report of its own.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A file cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The node rejected the request or did not answer.
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
