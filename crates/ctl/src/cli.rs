//! The command line: every command with its operands and flags.

mod table;

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use laburnum_edge::{
    Token,
    api::{AUDIT_MAX, BadSubmission, Found, check_author, check_reason},
};
use laburnum_flags::{Fault, Faults, Input, Operand, Row, Stop, Values};
use laburnum_kernel::{Name, Revision, Seq, SubmitId};
use rand::Rng;

pub use self::table::SUITE;
use self::table::{
    AFTER, AUTHOR, BASE, FINGERPRINT, FOUND, ID, JSON, LIMIT, NODE, REASON, RETRY, SERVICE,
    SUBMISSION, TIMEOUT, TOKEN, WAIT,
};

/// What was asked for.
#[derive(Clone, Debug)]
pub struct Request {
    /// What to do.
    pub command: Command,
    /// How to print what came of it.
    pub format: Format,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object.
    Json,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Tell the way of a request from nodes' logs.
    Explain { id: String, files: Vec<PathBuf> },
    /// Check files without a node.
    Check { files: Vec<PathBuf> },
    /// Submit a file.
    Submit { file: PathBuf, change: Change },
    /// Delete a service.
    Delete { service: Name, change: Change },
    /// Ask what became of a submission.
    Outcome { node: Target, id: SubmitId },
    /// Print a document in force.
    Get { node: Target, service: Name },
    /// List the services in force.
    List { node: Target },
    /// Compare a file with what is in force.
    Diff { node: Target, file: PathBuf },
    /// Print who changed what.
    Audit { node: Target, range: Range },
    /// Print who changed one service.
    History {
        node: Target,
        service: Name,
        range: Range,
    },
    /// Print who holds what.
    Status { node: Target, wait: Wait },
    /// Lift a quarantine.
    Lift {
        node: Target,
        print: Print,
        act: Act,
    },
    /// Decide on a request of unknown outcome.
    Resolve {
        node: Target,
        service: Name,
        key: String,
        found: Found,
        act: Act,
    },
}

/// The node to ask, and what it asks for.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its admin address.
    pub address: SocketAddr,
    /// The token that it accepts, if it has any.
    pub token: Option<Token>,
}

/// A change to submit.
#[derive(Clone, Debug)]
pub struct Change {
    /// The node to submit it to.
    pub node: Target,
    /// The revision that it is based on.
    pub base: Base,
    /// Its id.
    pub id: SubmitId,
    /// Who and why.
    pub act: Act,
    /// Whether to wait until it is in force everywhere.
    pub wait: Wait,
    /// How long to try again while the outcome is not known.
    pub patience: Duration,
}

/// The revision that a change is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The one in force at the node now.
    Latest,
    /// This one.
    Revision(Revision),
}

/// Who acts and why, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    /// Who.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// Part of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Only changes after this position.
    pub after: Seq,
    /// Most entries.
    pub limit: u32,
}

/// Whether to wait until a change is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Do not wait.
    No,
    /// Wait so long.
    For(Duration),
}

/// A fingerprint as printed by `status`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Print(pub String);

/// The text is no fingerprint.
#[derive(Debug, thiserror::Error)]
#[error("use the 16 hexadecimal digits that status prints")]
pub struct BadPrint;

impl FromStr for Print {
    type Err = BadPrint;

    fn from_str(text: &str) -> Result<Print, BadPrint> {
        let valid = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
        valid.then(|| Print(text.to_owned())).ok_or(BadPrint)
    }
}

/// Reads the command line and its variables.
pub fn parse(input: Input) -> Result<Request, Stop> {
    let (name, values) = SUITE.parse(input)?;
    let mut faults = Faults::default();
    let command = read(name, &values, &mut faults);
    match command.filter(|_| faults.0.is_empty()) {
        Some(command) => Ok(Request {
            command,
            format: match values.get(&JSON) {
                true => Format::Json,
                false => Format::Text,
            },
        }),
        None => Err(Stop::Faults {
            program: SUITE.name,
            faults,
        }),
    }
}

fn read(name: &str, values: &Values, faults: &mut Faults) -> Option<Command> {
    if name == "check" {
        let files = values.operands().iter().map(PathBuf::from).collect();
        return Some(Command::Check { files });
    }
    if name == "explain" {
        let files = values.operands().iter().skip(1).map(PathBuf::from);
        return Some(Command::Explain {
            id: values.operand(0).to_owned(),
            files: files.collect(),
        });
    }
    let node = Target {
        address: values.get(&NODE),
        token: values.find(&TOKEN),
    };
    Some(match name {
        "submit" => Command::Submit {
            file: PathBuf::from(values.operand(0)),
            change: change(node, values, faults),
        },
        "delete" => Command::Delete {
            service: operand(values, 0, &SERVICE, faults)?,
            change: change(node, values, faults),
        },
        "outcome" => Command::Outcome {
            node,
            id: operand(values, 0, &SUBMISSION, faults)?,
        },
        "get" => Command::Get {
            node,
            service: operand(values, 0, &SERVICE, faults)?,
        },
        "list" => Command::List { node },
        "diff" => Command::Diff {
            node,
            file: PathBuf::from(values.operand(0)),
        },
        "audit" => Command::Audit {
            node,
            range: range(values, faults),
        },
        "history" => Command::History {
            node,
            service: operand(values, 0, &SERVICE, faults)?,
            range: range(values, faults),
        },
        "status" => Command::Status {
            node,
            wait: wait(values),
        },
        "lift" => Command::Lift {
            node,
            print: operand(values, 0, &FINGERPRINT, faults)?,
            act: act(values, faults),
        },
        "resolve" => Command::Resolve {
            node,
            service: operand(values, 0, &SERVICE, faults)?,
            key: values.operand(1).to_owned(),
            found: values.get(&FOUND).0,
            act: act(values, faults),
        },
        _ => return None,
    })
}

fn change(node: Target, values: &Values, faults: &mut Faults) -> Change {
    let latest = |it: Option<u64>| it.map_or(Base::Latest, |it| Base::Revision(Revision(it)));
    Change {
        node,
        base: latest(values.find(&BASE)),
        id: values
            .find(&ID)
            .unwrap_or_else(|| SubmitId(rand::rng().random())),
        act: act(values, faults),
        wait: wait(values),
        patience: Duration::from_secs(values.get(&RETRY)),
    }
}

fn act(values: &Values, faults: &mut Faults) -> Act {
    let (author, reason) = (values.get(&AUTHOR), values.get(&REASON));
    refuse(&AUTHOR.row(), &author, check_author(&author), faults);
    refuse(&REASON.row(), &reason, check_reason(&reason), faults);
    Act { author, reason }
}

fn refuse(row: &Row, text: &str, checked: Result<(), BadSubmission>, faults: &mut Faults) {
    if let Err(error) = checked {
        faults.0.push(Fault::bad(row, text, &error.to_string()));
    }
}

fn range(values: &Values, faults: &mut Faults) -> Range {
    let limit = values.get(&LIMIT);
    if !(1..=AUDIT_MAX).contains(&limit) {
        let why = format!("out of bounds 1 to {AUDIT_MAX}");
        faults
            .0
            .push(Fault::bad(&LIMIT.row(), &limit.to_string(), &why));
    }
    Range {
        after: Seq(values.get(&AFTER)),
        limit,
    }
}

fn wait(values: &Values) -> Wait {
    match values.get(&WAIT) {
        true => Wait::For(Duration::from_secs(values.get(&TIMEOUT))),
        false => Wait::No,
    }
}

fn operand<T>(values: &Values, idx: usize, operand: &Operand, faults: &mut Faults) -> Option<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    match values.operand(idx).parse() {
        Ok(value) => Some(value),
        Err(error) => {
            let name = operand.name;
            let why = error.to_string();
            faults.0.push(Fault::InvalidOperand { name, why });
            None
        }
    }
}
