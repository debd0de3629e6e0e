//! What can be wrong with the settings given.

use std::fmt;

use crate::setting::Row;

/// One thing wrong with the settings given; the message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A value does not read as its type, or is refused by the program.
    #[error("{flag} ({variable}): {text:?} is not valid: {why}; give {value}")]
    Bad {
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
    /// A flag stands without its value.
    #[error("{flag}: the value is missing; write {flag} {value}")]
    NoValue { flag: &'static str, value: String },
    /// A setting without a default is not given.
    #[error("{flag} ({variable}) is required; add {flag} {value}")]
    Required {
        flag: &'static str,
        variable: String,
        value: String,
    },
    /// A flag is given more than once.
    #[error("{flag} is given more than once; keep one")]
    Repeated { flag: &'static str },
    /// No such flag, but one much like it.
    #[error("unknown flag {flag:?}; did you mean {nearest}?")]
    Unknown { flag: String, nearest: &'static str },
    /// No such flag, nor one like it.
    #[error("unknown flag {flag:?}; --help lists every flag")]
    Strange { flag: String },
    /// An argument too many.
    #[error("unexpected argument {text:?}; remove it, or see --help")]
    Extra { text: String },
    /// An operand does not read as its type.
    #[error("{name}: {why}")]
    BadOperand { name: &'static str, why: String },
    /// An operand is not given.
    #[error("{name} is missing; add it after the command, or see --help")]
    NoOperand { name: &'static str },
    /// No such command, but one much like it.
    #[error("unknown command {text:?}; did you mean {nearest}?")]
    UnknownCommand { text: String, nearest: &'static str },
    /// No command, or one like no other.
    #[error("{given}; give one of: {known}")]
    NoCommand { given: String, known: String },
}

impl Fault {
    /// The program refuses `text` for `row`, for a reason that the type alone cannot tell.
    pub fn bad(row: &Row, text: &str, why: &str) -> Fault {
        Fault::Bad {
            flag: row.flag,
            variable: row.variable(),
            text: row.show(text).to_owned(),
            why: why.to_owned(),
            value: value(row),
        }
    }

    /// The known flag that it is about.
    pub(crate) fn flag(&self) -> Option<&'static str> {
        match self {
            Fault::Bad { flag, .. }
            | Fault::Encoding { flag, .. }
            | Fault::NoValue { flag, .. }
            | Fault::Required { flag, .. }
            | Fault::Repeated { flag } => Some(flag),
            _ => None,
        }
    }

    pub(crate) fn encoding(row: &Row) -> Fault {
        Fault::Encoding {
            flag: row.flag,
            variable: row.variable(),
            value: value(row),
        }
    }

    pub(crate) fn required(row: &Row) -> Fault {
        Fault::Required {
            flag: row.flag,
            variable: row.variable(),
            value: value(row),
        }
    }

    pub(crate) fn no_value(row: &Row) -> Fault {
        Fault::NoValue {
            flag: row.flag,
            value: value(row),
        }
    }
}

/// Every fault of one command line, one a line.
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

/// The value's name with its unit, as in `N (ms)`.
pub(crate) fn value(row: &Row) -> String {
    match row.unit.is_empty() {
        true => row.value.to_owned(),
        false => format!("{} ({})", row.value, row.unit),
    }
}
