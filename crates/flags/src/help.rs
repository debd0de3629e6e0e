//! The text of `--help`.

use std::fmt::Write;

use crate::{
    fault::value_name,
    program::{Program, Suite},
    setting::{Fallback, Row},
};

/// Returns the help of a program: usage, operands, flags with variable, default and unit, exit codes.
pub(crate) fn program(program: &Program) -> String {
    let mut text = format!("{}\n\nusage: {}", program.about, program.name);
    // Writing to a string cannot fail.
    for operand in program.operands {
        let _ = write!(text, " {}", operand.name);
    }
    text.push_str(" [FLAGS]\n");
    for operand in program.operands {
        let _ = write!(text, "\n  {}\n      {}\n", operand.name, operand.help);
    }
    text.push_str("\nflags, each read from its variable if not given:\n");
    for row in program.settings {
        write_setting(&mut text, row);
    }
    text.push_str("  --help\n      Print this text.\n  --version\n      Print the version.\n");
    text.push_str("\nexit codes:\n");
    for exit in program.exits {
        let _ = writeln!(text, "  {}  {}", exit.code, exit.meaning);
    }
    text
}

/// Returns the help of a suite: usage and commands.
pub(crate) fn suite(suite: &Suite) -> String {
    let mut text = format!("{}\n\nusage: {} COMMAND\n\n", suite.about, suite.name);
    for (name, program) in suite.commands {
        let _ = writeln!(text, "  {name}\n      {}", program.about);
    }
    let _ = writeln!(text, "\n{} COMMAND --help lists its flags.", suite.name);
    text
}

fn write_setting(text: &mut String, row: &Row) {
    if row.is_switch() {
        let _ = writeln!(text, "  {}\n      {}", row.flag, row.help);
        return;
    }
    let fallback = match row.fallback {
        Fallback::Text("") => "default: empty".to_owned(),
        Fallback::Text(default) => format!("default: {}", row.show(default)),
        Fallback::Absent | Fallback::Off => "default: none".to_owned(),
        Fallback::Required => "required".to_owned(),
    };
    let _ = writeln!(text, "  {} {}", row.flag, value_name(row));
    let _ = writeln!(text, "      {}", row.help);
    let _ = writeln!(text, "      {}; {fallback}", row.variable());
}
