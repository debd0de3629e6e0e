//! The declaration of one setting: flag, variable, default and type.

use std::{fmt::Display, marker::PhantomData, str::FromStr};

/// A setting of type `T`, built as a constant.
///
/// Without [`Setting::default`] or [`Setting::optional`] the setting must be given.
#[derive(Debug)]
pub struct Setting<T> {
    row: Row,
    kind: PhantomData<fn() -> T>,
}

/// One row of a program's table: a [`Setting`] without its type.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Long flag with its dashes, such as `--push-window`.
    pub flag: &'static str,
    /// Placeholder of the value in the help, such as `ADDRESS`.
    pub value: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// One line of description.
    pub help: &'static str,
    /// Used when neither the flag nor the variable is given.
    pub fallback: Fallback,
    /// Whether the value may be printed.
    pub exposure: Exposure,
    pub(crate) check: fn(&str) -> Result<(), String>,
}

/// What applies when a setting is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// This text, parsed like a given one.
    Text(&'static str),
    /// The setting has no value.
    Absent,
    /// Parsing fails.
    Required,
    /// The setting is a switch, which takes no value and has no variable: it is off.
    Off,
}

/// Whether a setting's value may be printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exposure {
    /// The value may be printed.
    Shown,
    /// The value never appears in help, faults, logs or debug output.
    Secret,
}

/// Printed in place of a secret value.
pub const HIDDEN: &str = "(hidden)";

impl<T> Setting<T>
where
    T: FromStr,
    T::Err: Display,
{
    /// Returns a required setting; `flag` includes its dashes.
    pub const fn new(flag: &'static str, value: &'static str, help: &'static str) -> Setting<T> {
        Setting {
            row: Row {
                flag,
                value,
                unit: "",
                help,
                fallback: Fallback::Required,
                exposure: Exposure::Shown,
                check: check::<T>,
            },
            kind: PhantomData,
        }
    }

    /// Sets the default text.
    pub const fn default(mut self, text: &'static str) -> Setting<T> {
        self.row.fallback = Fallback::Text(text);
        self
    }

    /// Makes the setting optional; read it by [`crate::Values::find`].
    pub const fn optional(mut self) -> Setting<T> {
        self.row.fallback = Fallback::Absent;
        self
    }

    /// Sets the unit shown in the help.
    pub const fn unit(mut self, unit: &'static str) -> Setting<T> {
        self.row.unit = unit;
        self
    }

    /// Hides the value in everything printed.
    pub const fn secret(mut self) -> Setting<T> {
        self.row.exposure = Exposure::Secret;
        self
    }

    /// Returns the row for the program's table.
    pub const fn row(&self) -> Row {
        self.row
    }
}

impl Setting<bool> {
    /// Returns a flag without a value, off unless it is among the arguments.
    pub const fn switch(flag: &'static str, help: &'static str) -> Setting<bool> {
        let mut switch = Setting::new(flag, "", help);
        switch.row.fallback = Fallback::Off;
        switch
    }
}

impl Row {
    /// Returns whether the setting is a switch, which takes no value.
    pub fn is_switch(&self) -> bool {
        self.fallback == Fallback::Off
    }

    /// Returns the name of the environment variable: `LABURNUM_PUSH_WINDOW` for `--push-window`.
    pub fn variable(&self) -> String {
        let name = self.flag.trim_start_matches('-').replace('-', "_");
        format!("LABURNUM_{}", name.to_uppercase())
    }

    /// Returns `text`, or [`HIDDEN`] if the setting is secret.
    pub fn show<'a>(&self, text: &'a str) -> &'a str {
        match self.exposure {
            Exposure::Shown => text,
            Exposure::Secret => HIDDEN,
        }
    }
}

fn check<T>(text: &str) -> Result<(), String>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse::<T>()
        .map(drop)
        .map_err(|error| error.to_string())
}
