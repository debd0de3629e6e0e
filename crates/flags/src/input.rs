//! Sources of settings: arguments and environment variables.

use std::{collections::BTreeMap, ffi::OsString};

/// The arguments and environment variables that a program reads.
#[derive(Clone, Default)]
pub struct Input {
    pub(crate) args: Vec<OsString>,
    pub(crate) variables: BTreeMap<String, OsString>,
}

impl Input {
    /// Returns the arguments of this process, without its name, and its `LABURNUM_` variables.
    pub fn process() -> Input {
        let variables = std::env::vars_os().filter_map(|(name, value)| {
            let name = name.into_string().ok()?;
            name.starts_with("LABURNUM_").then_some((name, value))
        });
        Input {
            args: std::env::args_os().skip(1).collect(),
            variables: variables.collect(),
        }
    }

    /// Returns an input of the given arguments and variables, for tests and embedding.
    pub fn new<'a>(
        args: impl IntoIterator<Item = &'a str>,
        variables: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Input {
        let variables = variables.into_iter();
        Input {
            args: args.into_iter().map(OsString::from).collect(),
            variables: variables
                .map(|(name, value)| (name.to_owned(), OsString::from(value)))
                .collect(),
        }
    }
}
