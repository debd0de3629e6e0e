//! The settings table of a program, its parser and the parsed values.

use std::{
    collections::BTreeMap,
    ffi::{OsStr, OsString},
    fmt::{self, Display},
    io::Write,
    process::ExitCode,
    str::FromStr,
};

use pico_args::{Arguments, Error};

use crate::{
    fault::{Fault, Faults},
    help,
    input::Input,
    setting::{Fallback, Row, Setting},
};

/// The command line of a binary, or of one command of it.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name in the usage line; for a command, the binary's name and the command's.
    pub name: &'static str,
    /// Printed by `--version`.
    pub version: &'static str,
    /// One sentence on what the program does.
    pub about: &'static str,
    /// Positional arguments, all required, in order; the last may be repeated.
    pub operands: &'static [Operand],
    /// Settings that the program reads.
    pub settings: &'static [Row],
    /// Exit codes, for the help text.
    pub exits: &'static [Exit],
}

/// A binary with several commands.
#[derive(Clone, Copy, Debug)]
pub struct Suite {
    /// Name in the usage line.
    pub name: &'static str,
    /// Printed by `--version`.
    pub version: &'static str,
    /// One sentence on what the binary does.
    pub about: &'static str,
    /// Commands by name.
    pub commands: &'static [(&'static str, Program)],
}

/// A positional argument.
#[derive(Clone, Copy, Debug)]
pub struct Operand {
    /// Placeholder in the help, as in `SERVICE`; one that ends in `...` may be given several times.
    pub name: &'static str,
    /// One line of description.
    pub help: &'static str,
}

/// An exit code and its meaning.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// Exit code of the process.
    pub code: u8,
    /// When the program ends with it.
    pub meaning: &'static str,
}

impl Exit {
    /// The program succeeded.
    pub const SUCCESS: Exit = Exit {
        code: 0,
        meaning: "done",
    };
    /// The program failed at run time.
    pub const FAILURE: Exit = Exit {
        code: 1,
        meaning: "failed; the message names the remedy",
    };
    /// The command line or an environment variable is invalid.
    pub const USAGE: Exit = Exit {
        code: 2,
        meaning: "a flag, variable or argument is wrong; nothing was done",
    };
}

/// Why a program ends after parsing its command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stop {
    /// `--help` or `--version` is given; holds the text to print.
    Print(String),
    /// The command line or a variable has faults.
    Faults {
        program: &'static str,
        faults: Faults,
    },
}

/// The parsed and checked settings and operands of a program.
#[derive(Clone)]
pub struct Values {
    settings: &'static [Row],
    texts: BTreeMap<&'static str, String>,
    operands: Vec<String>,
}

/// Greatest edit distance at which a similar name is suggested.
const SUGGESTION_DISTANCE_MAX: usize = 3;

impl Program {
    /// Parses and checks every setting; reports all faults at once.
    pub fn parse(&self, input: Input) -> Result<Values, Stop> {
        self.parse_with(input, |_| Vec::new())
    }

    /// Like [`Program::parse`], with additional faults from `check`, which validates settings against each
    /// other.
    ///
    /// Invalid settings are absent from the values passed to `check`: read them by [`Values::find`].
    pub fn parse_with(
        &self,
        input: Input,
        check: impl FnOnce(&Values) -> Vec<Fault>,
    ) -> Result<Values, Stop> {
        let Input { args, variables } = input;
        let mut faults = Faults::default();
        let mut args = Arguments::from_vec(self.remove_valueless_flags(args, &mut faults));
        if args.contains(["-h", "--help"]) {
            return Err(Stop::Print(help::program(self)));
        }
        if args.contains(["-V", "--version"]) {
            return Err(Stop::Print(format!("{} {}\n", self.name, self.version)));
        }
        let mut texts = BTreeMap::new();
        for row in self.settings {
            match self.read(row, &mut args, &variables) {
                Ok(Some(text)) => {
                    texts.insert(row.flag, text);
                }
                Ok(None) => {}
                // A flag without its value is already reported; don't report it as required as well.
                Err(fault) if faults.0.iter().any(|it| it.flag() == fault.flag()) => {}
                Err(fault) => faults.0.push(fault),
            }
        }
        let operands = self.parse_operands(args.finish(), &mut faults);
        let values = Values {
            settings: self.settings,
            texts,
            operands,
        };
        faults.0.extend(check(&values));
        match faults.0.is_empty() {
            true => Ok(values),
            false => Err(self.refuse(faults)),
        }
    }

    /// Returns the [`Stop`] that reports `faults`.
    pub fn refuse(&self, faults: Faults) -> Stop {
        let program = self.name;
        Stop::Faults { program, faults }
    }

    fn read(
        &self,
        row: &Row,
        args: &mut Arguments,
        variables: &BTreeMap<String, OsString>,
    ) -> Result<Option<String>, Fault> {
        if row.is_switch() {
            return Ok(Some(args.contains(row.flag).to_string()));
        }
        let given = args
            .opt_value_from_fn(row.flag, |it| Ok::<_, fmt::Error>(OsString::from(it)))
            .map_err(|error| match error {
                Error::NonUtf8Argument => Fault::encoding(row),
                _ => Fault::missing_value(row),
            })?;
        let variable = || {
            let text = variables.get(&row.variable());
            text.filter(|it| !it.is_empty()).cloned()
        };
        let Some(text) = given.or_else(variable) else {
            return match row.fallback {
                Fallback::Text(text) => Ok(Some(text.to_owned())),
                Fallback::Absent | Fallback::Off => Ok(None),
                Fallback::Required => Err(Fault::required(row)),
            };
        };
        let text = text.into_string().map_err(|_| Fault::encoding(row))?;
        match (row.check)(&text) {
            Ok(()) => Ok(Some(text)),
            // The parser's message may quote a secret.
            Err(why) => Err(Fault::invalid(row, &text, row.show(&why))),
        }
    }

    /// Removes flags that lack their value, because pico-args would take the next flag as the value.
    fn remove_valueless_flags(&self, args: Vec<OsString>, faults: &mut Faults) -> Vec<OsString> {
        let mut kept = Vec::new();
        let mut args = args.into_iter().peekable();
        while let Some(text) = args.next() {
            let Some(row) = self.find_row(&text).filter(|it| !it.is_switch()) else {
                kept.push(text);
                continue;
            };
            match args.next_if(|it| self.find_row(it).is_none()) {
                Some(value) => kept.extend([text, value]),
                None => faults.0.push(Fault::missing_value(row)),
            }
        }
        kept
    }

    fn find_row(&self, flag: &OsStr) -> Option<&'static Row> {
        self.settings.iter().find(|it| *flag == *it.flag)
    }

    fn parse_operands(&self, rest: Vec<OsString>, faults: &mut Faults) -> Vec<String> {
        let mut operands = Vec::new();
        let mut after_flag = false;
        for text in rest {
            let text = text.to_string_lossy().into_owned();
            if text.starts_with('-') && text.len() > 1 {
                after_flag = !text.contains('=');
                self.report_unparsed_flag(&text, faults);
            } else if after_flag {
                // Probably the value of the unknown flag before it; not printed, as it may be a secret.
                after_flag = false;
            } else if operands.len() == self.operands.len() && !self.has_repeated_operand() {
                faults.0.push(Fault::ExtraArgument { text });
            } else {
                operands.push(text);
            }
        }
        let missing = self.operands.iter().skip(operands.len());
        faults
            .0
            .extend(missing.map(|it| Fault::MissingOperand { name: it.name }));
        operands
    }

    /// Returns whether the last operand may be given several times.
    fn has_repeated_operand(&self) -> bool {
        self.operands
            .last()
            .is_some_and(|it| it.name.ends_with("..."))
    }

    fn report_unparsed_flag(&self, text: &str, faults: &mut Faults) {
        let flag = text.split('=').next().unwrap_or(text);
        if let Some(row) = self.settings.iter().find(|it| it.flag == flag) {
            // pico-args leaves a flag in place if it could not read its value.
            let is_reported = faults.0.iter().any(|it| it.flag() == Some(row.flag));
            if row.is_switch() && text.contains('=') {
                let text = text.to_owned();
                faults.0.push(Fault::ExtraArgument { text });
            } else if !is_reported {
                faults.0.push(Fault::Repeated { flag: row.flag });
            }
            return;
        }
        let known = self.settings.iter().map(|it| it.flag);
        let flag = flag.to_owned();
        faults
            .0
            .push(match nearest(&flag, known.chain(["--help", "--version"])) {
                Some(nearest) => Fault::MistypedFlag { flag, nearest },
                None => Fault::UnknownFlag { flag },
            });
    }
}

impl Suite {
    /// Selects the command by the first argument and parses its settings.
    pub fn parse(&self, mut input: Input) -> Result<(&'static str, Values), Stop> {
        let first = input.args.first().map(|it| it.to_string_lossy());
        let first = first.unwrap_or_default().into_owned();
        match first.as_str() {
            "--help" | "-h" => return Err(Stop::Print(help::suite(self))),
            "--version" | "-V" => {
                let text = format!("{} {}\n", self.name, self.version);
                return Err(Stop::Print(text));
            }
            _ => {}
        }
        if let Some((name, program)) = self.commands.iter().find(|(name, _)| *name == first) {
            input.args.remove(0);
            return Ok((name, program.parse(input)?));
        }
        Err(Stop::Faults {
            program: self.name,
            faults: Faults(vec![self.command_fault(first)]),
        })
    }

    fn command_fault(&self, text: String) -> Fault {
        let names = self.commands.iter().map(|(name, _)| *name);
        if let Some(nearest) = nearest(&text, names.clone()) {
            return Fault::MistypedCommand { text, nearest };
        }
        let given = match text.is_empty() || text.starts_with('-') {
            true => "the command is missing".to_owned(),
            false => format!("unknown command {text:?}"),
        };
        let known = names.collect::<Vec<_>>().join(", ");
        Fault::NoCommand { given, known }
    }
}

impl Values {
    /// Returns the value of a setting that has a default or is required.
    ///
    /// # Panics
    ///
    /// Panics if the setting is not in the program's table, is optional and absent, or has a default that
    /// does not parse. All three are programming errors in the table.
    pub fn get<T>(&self, setting: &Setting<T>) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let flag = setting.row().flag;
        self.find(setting).unwrap_or_else(|| {
            panic!("{flag} has no value: add its row and a default to the table")
        })
    }

    /// Returns the value of a setting, if it has one.
    pub fn find<T>(&self, setting: &Setting<T>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let row = setting.row();
        let text = self.texts.get(row.flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => panic!(
                "the default of {} does not parse: correct it in the table",
                row.flag
            ),
        }
    }

    /// Returns the operand at position `idx`.
    pub fn operand(&self, idx: usize) -> &str {
        &self.operands[idx]
    }

    /// Returns all operands, in order.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Returns each setting's name and text with secrets hidden, for the log line at startup.
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        let shown = self.shown();
        let pairs = shown.map(|(flag, text)| (flag.trim_start_matches('-'), text.to_owned()));
        pairs.collect()
    }

    /// Returns each setting's flag and text with secrets hidden.
    pub fn shown(&self) -> impl Iterator<Item = (&'static str, &str)> {
        self.settings.iter().filter_map(|row| {
            let text = self.texts.get(row.flag)?;
            Some((row.flag, row.show(text)))
        })
    }
}

impl fmt::Debug for Values {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.shown()).finish()
    }
}

impl Stop {
    /// Returns the text to print: help or version for standard output, faults for standard error.
    pub fn text(&self) -> String {
        match self {
            Stop::Print(text) => text.clone(),
            Stop::Faults { program, faults } => {
                let lines = faults.0.iter().map(|it| format!("{program}: {it}\n"));
                lines.collect()
            }
        }
    }

    /// Prints the text and returns the exit code of the process.
    pub fn exit(self) -> ExitCode {
        let text = self.text();
        // Write errors, such as a closed pipe, cannot be reported.
        match self {
            Stop::Print(_) => {
                let _ = std::io::stdout().write_all(text.as_bytes());
                ExitCode::from(Exit::SUCCESS.code)
            }
            Stop::Faults { .. } => {
                let _ = std::io::stderr().write_all(text.as_bytes());
                ExitCode::from(Exit::USAGE.code)
            }
        }
    }
}

/// Returns the known name most similar to `text`, if it is close enough to suggest.
fn nearest<'a>(text: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = known.map(|it| (strsim::damerau_levenshtein(text, it), it));
    let (distance, it) = near.min()?;
    let close = distance <= SUGGESTION_DISTANCE_MAX && distance * 2 < it.len();
    close.then_some(it)
}
