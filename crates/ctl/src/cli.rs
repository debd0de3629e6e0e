//! Parsing of the command line into a [`Request`].

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

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct Request {
    /// Command to run.
    pub command: Command,
    /// Format of the report.
    pub format: Format,
}

/// Format in which a report is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Lines of text.
    Text,
    /// One JSON object.
    Json,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Show the path of a request from nodes' logs.
    Explain { id: String, files: Vec<PathBuf> },
    /// Check files without a node.
    Check { files: Vec<PathBuf> },
    /// Submit a file.
    Submit { file: PathBuf, change: Change },
    /// Delete a service.
    Delete { service: Name, change: Change },
    /// Show the outcome of a submission.
    Outcome { node: Target, id: SubmitId },
    /// Print a document in force.
    Get { node: Target, service: Name },
    /// List the services in force.
    List { node: Target },
    /// Compare a file with the document in force.
    Diff { node: Target, file: PathBuf },
    /// Print the accepted changes of all services.
    Audit { node: Target, range: Range },
    /// Print the accepted changes of one service.
    History {
        node: Target,
        service: Name,
        range: Range,
    },
    /// Print which nodes lag, and what needs an operator.
    Status { node: Target, wait: Wait },
    /// Lift a quarantine.
    Lift {
        node: Target,
        fingerprint: Fingerprint,
        attribution: Attribution,
    },
    /// Record the outcome of a request whose outcome is unknown.
    Resolve {
        node: Target,
        service: Name,
        key: String,
        found: Found,
        attribution: Attribution,
    },
}

/// The node to call and the token to send.
#[derive(Clone, Debug)]
pub struct Target {
    /// Admin address of the node.
    pub address: SocketAddr,
    /// Token for its admin API, if it requires one.
    pub token: Option<Token>,
}

/// A change to submit.
#[derive(Clone, Debug)]
pub struct Change {
    /// Node to submit the change to.
    pub node: Target,
    /// Revision that the change is based on.
    pub base: Base,
    /// Id of the submission.
    pub id: SubmitId,
    /// Author and reason of the change.
    pub attribution: Attribution,
    /// Whether to wait until it is in force everywhere.
    pub wait: Wait,
    /// How long to retry while the outcome is unknown.
    pub retry_limit: Duration,
}

/// The revision that a change is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The revision in force at the node.
    Latest,
    /// A given revision.
    Revision(Revision),
}

/// Author and reason of an action, already checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribution {
    /// Who acts.
    pub author: String,
    /// Why they act.
    pub reason: String,
}

/// A range of log entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Position after which the range begins.
    pub after: Seq,
    /// Maximum number of entries.
    pub limit: u32,
}

/// Whether to wait until a change is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Do not wait.
    No,
    /// Wait up to this timeout.
    For(Duration),
}

/// A fingerprint as printed by `status`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fingerprint(pub String);

/// The error of a text that is not a fingerprint.
#[derive(Debug, thiserror::Error)]
#[error("use the 16 hexadecimal digits that status prints")]
pub struct BadFingerprint;

impl FromStr for Fingerprint {
    type Err = BadFingerprint;

    fn from_str(text: &str) -> Result<Fingerprint, BadFingerprint> {
        let valid = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
        valid
            .then(|| Fingerprint(text.to_owned()))
            .ok_or(BadFingerprint)
    }
}

/// Parses the command line and its environment variables.
pub fn parse(input: Input) -> Result<Request, Stop> {
    let (name, values) = SUITE.parse(input)?;
    let mut faults = Faults::default();
    let command = command(name, &values, &mut faults);
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

/// Builds the command `name`; records faults of its operands and flags.
fn command(name: &str, values: &Values, faults: &mut Faults) -> Option<Command> {
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
            fingerprint: operand(values, 0, &FINGERPRINT, faults)?,
            attribution: attribution(values, faults),
        },
        "resolve" => Command::Resolve {
            node,
            service: operand(values, 0, &SERVICE, faults)?,
            key: values.operand(1).to_owned(),
            found: values.get(&FOUND).0,
            attribution: attribution(values, faults),
        },
        _ => return None,
    })
}

fn change(node: Target, values: &Values, faults: &mut Faults) -> Change {
    let base = |it: Option<u64>| it.map_or(Base::Latest, |it| Base::Revision(Revision(it)));
    Change {
        node,
        base: base(values.find(&BASE)),
        id: values
            .find(&ID)
            .unwrap_or_else(|| SubmitId(rand::rng().random())),
        attribution: attribution(values, faults),
        wait: wait(values),
        retry_limit: Duration::from_secs(values.get(&RETRY)),
    }
}

fn attribution(values: &Values, faults: &mut Faults) -> Attribution {
    let (author, reason) = (values.get(&AUTHOR), values.get(&REASON));
    add_fault(&AUTHOR.row(), &author, check_author(&author), faults);
    add_fault(&REASON.row(), &reason, check_reason(&reason), faults);
    Attribution { author, reason }
}

/// Records a fault if `checked` is an error.
fn add_fault(row: &Row, text: &str, checked: Result<(), BadSubmission>, faults: &mut Faults) {
    if let Err(error) = checked {
        faults.0.push(Fault::invalid(row, text, &error.to_string()));
    }
}

fn range(values: &Values, faults: &mut Faults) -> Range {
    let limit = values.get(&LIMIT);
    if !(1..=AUDIT_MAX).contains(&limit) {
        let why = format!("out of bounds 1 to {AUDIT_MAX}");
        faults
            .0
            .push(Fault::invalid(&LIMIT.row(), &limit.to_string(), &why));
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
