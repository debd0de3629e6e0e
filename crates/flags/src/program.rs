//! A program's table of settings, and what was given for it.

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

/// A binary, or one command of it, and everything that its command line may hold.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// As it is called, with the command's name if it is one.
    pub name: &'static str,
    /// Printed by `--version`.
    pub version: &'static str,
    /// One sentence on what it does.
    pub about: &'static str,
    /// Arguments without a flag, all required, in order; the last may be repeated.
    pub operands: &'static [Operand],
    /// Its settings.
    pub settings: &'static [Row],
    /// Its exit codes.
    pub exits: &'static [Exit],
}

/// A binary with several commands.
#[derive(Clone, Copy, Debug)]
pub struct Suite {
    /// As it is called.
    pub name: &'static str,
    /// Printed by `--version`.
    pub version: &'static str,
    /// One sentence on what it does.
    pub about: &'static str,
    /// Its commands by name.
    pub commands: &'static [(&'static str, Program)],
}

/// An argument without a flag.
#[derive(Clone, Copy, Debug)]
pub struct Operand {
    /// What the help calls it, as in `SERVICE`; `FILE...` may be given several times.
    pub name: &'static str,
    /// One line on what it is.
    pub help: &'static str,
}

/// An exit code and when it is given.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// The code.
    pub code: u8,
    /// When the program ends with it.
    pub meaning: &'static str,
}

impl Exit {
    /// Everything asked for was done.
    pub const SUCCESS: Exit = Exit {
        code: 0,
        meaning: "done",
    };
    /// The work itself failed; the message says why.
    pub const FAILURE: Exit = Exit {
        code: 1,
        meaning: "failed; the message names the remedy",
    };
    /// The command line or a variable is wrong.
    pub const USAGE: Exit = Exit {
        code: 2,
        meaning: "a flag, variable or argument is wrong; nothing was done",
    };
}

/// Why a program does not go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The text of `--help` or `--version` was asked for.
    Print(String),
    /// Something given is wrong.
    Faults {
        program: &'static str,
        faults: Faults,
    },
}

/// What was given for a program's table, already checked.
#[derive(Clone)]
pub struct Values {
    settings: &'static [Row],
    texts: BTreeMap<&'static str, String>,
    operands: Vec<String>,
}

/// Greatest edit distance at which a guess is offered.
const GUESS_MAX: usize = 3;

impl Program {
    /// Reads every setting and checks it; reports all faults at once.
    pub fn parse(&self, input: Input) -> Result<Values, Stop> {
        self.parse_with(input, |_| Vec::new())
    }

    /// Like [`Program::parse`], and reports with its faults those that `check` finds between settings.
    ///
    /// The values that `check` gets lack those with faults of their own: read them by [`Values::find`].
    pub fn parse_with(
        &self,
        input: Input,
        check: impl FnOnce(&Values) -> Vec<Fault>,
    ) -> Result<Values, Stop> {
        let Input { args, variables } = input;
        let mut faults = Faults::default();
        let mut args = Arguments::from_vec(self.drop_bare(args, &mut faults));
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
                // A flag without its value was told already; that it is required too says nothing more.
                Err(fault) if faults.0.iter().any(|it| it.flag() == fault.flag()) => {}
                Err(fault) => faults.0.push(fault),
            }
        }
        let operands = self.operands(args.finish(), &mut faults);
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

    /// Refuses to start for faults that the program found itself.
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
                _ => Fault::no_value(row),
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
            // The parser's own words may quote a secret.
            Err(why) => Err(Fault::bad(row, &text, row.show(&why))),
        }
    }

    /// Takes out flags that stand without a value, for the library would take the next flag as one.
    fn drop_bare(&self, args: Vec<OsString>, faults: &mut Faults) -> Vec<OsString> {
        let mut kept = Vec::new();
        let mut args = args.into_iter().peekable();
        while let Some(text) = args.next() {
            let Some(row) = self.find(&text).filter(|it| !it.is_switch()) else {
                kept.push(text);
                continue;
            };
            match args.next_if(|it| self.find(it).is_none()) {
                Some(value) => kept.extend([text, value]),
                None => faults.0.push(Fault::no_value(row)),
            }
        }
        kept
    }

    fn find(&self, flag: &OsStr) -> Option<&'static Row> {
        self.settings.iter().find(|it| *flag == *it.flag)
    }

    fn operands(&self, rest: Vec<OsString>, faults: &mut Faults) -> Vec<String> {
        let mut operands = Vec::new();
        let mut after_flag = false;
        for text in rest {
            let text = text.to_string_lossy().into_owned();
            if text.starts_with('-') && text.len() > 1 {
                after_flag = !text.contains('=');
                self.left_over(&text, faults);
            } else if after_flag {
                // Taken to be the value of the unknown flag; it may be a secret, so it is not repeated.
                after_flag = false;
            } else if operands.len() == self.operands.len() && !self.repeats() {
                faults.0.push(Fault::Extra { text });
            } else {
                operands.push(text);
            }
        }
        let missing = self.operands.iter().skip(operands.len());
        faults
            .0
            .extend(missing.map(|it| Fault::NoOperand { name: it.name }));
        operands
    }

    /// Whether the last operand may be given several times.
    fn repeats(&self) -> bool {
        self.operands
            .last()
            .is_some_and(|it| it.name.ends_with("..."))
    }

    fn left_over(&self, text: &str, faults: &mut Faults) {
        let flag = text.split('=').next().unwrap_or(text);
        if let Some(row) = self.settings.iter().find(|it| it.flag == flag) {
            // The library leaves a flag in place whose value it could not read.
            let told = faults.0.iter().any(|it| it.flag() == Some(row.flag));
            if row.is_switch() && text.contains('=') {
                let text = text.to_owned();
                faults.0.push(Fault::Extra { text });
            } else if !told {
                faults.0.push(Fault::Repeated { flag: row.flag });
            }
            return;
        }
        let known = self.settings.iter().map(|it| it.flag);
        let flag = flag.to_owned();
        faults
            .0
            .push(match nearest(&flag, known.chain(["--help", "--version"])) {
                Some(nearest) => Fault::Unknown { flag, nearest },
                None => Fault::Strange { flag },
            });
    }
}

impl Suite {
    /// Picks the command and reads its settings.
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
            faults: Faults(vec![self.no_command(first)]),
        })
    }

    fn no_command(&self, text: String) -> Fault {
        let names = self.commands.iter().map(|(name, _)| *name);
        if let Some(nearest) = nearest(&text, names.clone()) {
            return Fault::UnknownCommand { text, nearest };
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
    /// The value of a setting that has a default or is required.
    ///
    /// # Panics
    ///
    /// If the setting is not in the program's table, is optional, or has a default that does not parse:
    /// all three are mistakes in the binary itself, found by the first run of it.
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

    /// The value of a setting, if it has one.
    pub fn find<T>(&self, setting: &Setting<T>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let row = setting.row();
        let text = self.texts.get(row.flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => panic!("{}: its default does not parse: mend the table", row.flag),
        }
    }

    /// The operand at `idx` of the program's list.
    pub fn operand(&self, idx: usize) -> &str {
        &self.operands[idx]
    }

    /// Every operand, in order.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Each setting's name and text, secrets hidden; for the log line at start.
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        let shown = self.shown();
        let pairs = shown.map(|(flag, text)| (flag.trim_start_matches('-'), text.to_owned()));
        pairs.collect()
    }

    /// Each setting's flag and text, secrets hidden.
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
    /// What is printed: to standard output if asked for, else to standard error.
    pub fn text(&self) -> String {
        match self {
            Stop::Print(text) => text.clone(),
            Stop::Faults { program, faults } => {
                let lines = faults.0.iter().map(|it| format!("{program}: {it}\n"));
                lines.collect()
            }
        }
    }

    /// Prints it and gives the exit code to end with.
    pub fn exit(self) -> ExitCode {
        let text = self.text();
        // A closed pipe leaves nobody to tell.
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

fn nearest<'a>(text: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = known.map(|it| (strsim::damerau_levenshtein(text, it), it));
    let (distance, it) = near.min()?;
    let close = distance <= GUESS_MAX && distance * 2 < it.len();
    close.then_some(it)
}
