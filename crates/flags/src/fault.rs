//! Errors in the command line and environment variables of a program.

use std::fmt;

use crate::setting::Row;

/// One error in the command line or an environment variable; the message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A value does not parse as its type, or the program rejects it.
    #[error("{flag} ({variable}): {text:?} is not valid: {why}; give {value}")]
    InvalidValue {
        flag: &'static str,
        variable: String,
        text: String,
        why: String,
        value: String,
    },
    /// A value is not UTF-8.
    #[error("{flag} ({variable}): the value is not UTF-8; give {value}")]
    Encoding {
        flag: &'static str,
        variable: String,
        value: String,
    },
    /// A flag that takes a value is given without one.
    #[error("{flag}: the value is missing; write {flag} {value}")]
    MissingValue { flag: &'static str, value: String },
    /// A required setting is not given.
    #[error("{flag} ({variable}) is required; add {flag} {value}")]
    Required {
        flag: &'static str,
        variable: String,
        value: String,
    },
    /// A flag is given more than once.
    #[error("{flag} is given more than once; keep one")]
    Repeated { flag: &'static str },
    /// The flag is unknown, but similar to a known one.
    #[error("unknown flag {flag:?}; did you mean {nearest}?")]
    MistypedFlag { flag: String, nearest: &'static str },
    /// The flag is unknown and similar to no known one.
    #[error("unknown flag {flag:?}; --help lists every flag")]
    UnknownFlag { flag: String },
    /// More operands are given than the program takes, or a switch has a value.
    #[error("unexpected argument {text:?}; remove it, or see --help")]
    ExtraArgument { text: String },
    /// An operand does not parse as its type.
    #[error("{name}: {why}")]
    InvalidOperand { name: &'static str, why: String },
    /// A required operand is not given.
    #[error("{name} is missing; add it after the command, or see --help")]
    MissingOperand { name: &'static str },
    /// The command is unknown, but similar to a known one.
    #[error("unknown command {text:?}; did you mean {nearest}?")]
    MistypedCommand { text: String, nearest: &'static str },
    /// No command is given, or it is unknown and similar to no known one.
    #[error("{given}; give one of: {known}")]
    NoCommand { given: String, known: String },
}

impl Fault {
    /// Returns the fault of a value `text` that parses as the type of `row` but that the program rejects.
    pub fn invalid(row: &Row, text: &str, why: &str) -> Fault {
        Fault::InvalidValue {
            flag: row.flag,
            variable: row.variable(),
            text: row.show(text).to_owned(),
            why: why.to_owned(),
            value: value_name(row),
        }
    }

    /// Returns the known flag that the fault concerns, if any.
    pub(crate) fn flag(&self) -> Option<&'static str> {
        match self {
            Fault::InvalidValue { flag, .. }
            | Fault::Encoding { flag, .. }
            | Fault::MissingValue { flag, .. }
            | Fault::Required { flag, .. }
            | Fault::Repeated { flag } => Some(flag),
            _ => None,
        }
    }

    pub(crate) fn encoding(row: &Row) -> Fault {
        Fault::Encoding {
            flag: row.flag,
            variable: row.variable(),
            value: value_name(row),
        }
    }

    pub(crate) fn required(row: &Row) -> Fault {
        Fault::Required {
            flag: row.flag,
            variable: row.variable(),
            value: value_name(row),
        }
    }

    pub(crate) fn missing_value(row: &Row) -> Fault {
        Fault::MissingValue {
            flag: row.flag,
            value: value_name(row),
        }
    }
}

/// All faults of one command line, printed one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, fault) in self.0.iter().enumerate() {
            if idx > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// Returns the value's placeholder with its unit, as in `N (ms)`.
pub(crate) fn value_name(row: &Row) -> String {
    match row.unit.is_empty() {
        true => row.value.to_owned(),
        false => format!("{} ({})", row.value, row.unit),
    }
}
