//! Where settings come from.

use std::{collections::BTreeMap, ffi::OsString};

/// Arguments and environment variables.
#[derive(Clone, Default)]
pub struct Input {
    pub(crate) args: Vec<OsString>,
    pub(crate) variables: BTreeMap<String, OsString>,
}

impl Input {
    /// Those of this process, without its own name.
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

    /// Given ones, for tests and embedding.
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
