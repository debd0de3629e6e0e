//! One setting: its flag, variable, default and type.

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
    /// Long flag with its dashes, as in `--push-window`.
    pub flag: &'static str,
    /// What the help calls the value, as in `ADDRESS`.
    pub value: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// One line on what it does.
    pub help: &'static str,
    /// What holds when neither flag nor variable is given.
    pub fallback: Fallback,
    /// Whether the value may be printed.
    pub exposure: Exposure,
    pub(crate) check: fn(&str) -> Result<(), String>,
}

/// What holds when a setting is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// This text, read like a given one.
    Text(&'static str),
    /// The setting has no value.
    Absent,
    /// The program does not start.
    Required,
    /// The setting is a switch: it stands without a value, has no variable, and is off.
    Off,
}

/// Whether a setting's value may be printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exposure {
    /// It may.
    Shown,
    /// It never appears in help, faults, logs or debug output.
    Secret,
}

/// Printed in place of a secret value.
pub const HIDDEN: &str = "(hidden)";

impl<T> Setting<T>
where
    T: FromStr,
    T::Err: Display,
{
    /// A setting that must be given. `flag` carries its dashes.
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

    /// Gives it a default text.
    pub const fn default(mut self, text: &'static str) -> Setting<T> {
        self.row.fallback = Fallback::Text(text);
        self
    }

    /// Allows it to be left out; read it by [`crate::Values::find`].
    pub const fn optional(mut self) -> Setting<T> {
        self.row.fallback = Fallback::Absent;
        self
    }

    /// Names its unit.
    pub const fn unit(mut self, unit: &'static str) -> Setting<T> {
        self.row.unit = unit;
        self
    }

    /// Keeps its value out of everything printed.
    pub const fn secret(mut self) -> Setting<T> {
        self.row.exposure = Exposure::Secret;
        self
    }

    /// Its row for the program's table.
    pub const fn row(&self) -> Row {
        self.row
    }
}

impl Setting<bool> {
    /// A flag without a value, off unless it stands in the arguments.
    pub const fn switch(flag: &'static str, help: &'static str) -> Setting<bool> {
        let mut switch = Setting::new(flag, "", help);
        switch.row.fallback = Fallback::Off;
        switch
    }
}

impl Row {
    /// Whether it stands without a value.
    pub fn is_switch(&self) -> bool {
        self.fallback == Fallback::Off
    }

    /// Its environment variable: `--push-window` is `LABURNUM_PUSH_WINDOW`.
    pub fn variable(&self) -> String {
        let name = self.flag.trim_start_matches('-').replace('-', "_");
        format!("LABURNUM_{}", name.to_uppercase())
    }

    /// `text`, unless it is secret.
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
