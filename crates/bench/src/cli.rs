//! The command line.

use laburnum_flags::{Exit, Program, Setting, Suite};

/// Name of the command that shows that everything works.
pub const SMOKE_COMMAND: &str = "smoke";

/// Prints one JSON object in place of tables.
pub const JSON: Setting<bool> =
    Setting::switch("--json", "Print one JSON object in place of tables.");

const SMOKE: Program = Program {
    name: "laburnum-bench smoke",
    version: env!("CARGO_PKG_VERSION"),
    about: "Starts three nodes, carries requests and a filing through them, and gives a verdict in seconds.",
    operands: &[],
    settings: &[JSON.row()],
    exits: EXITS,
};

const EXITS: &[Exit] = &[
    Exit {
        code: 0,
        meaning: "every check passed",
    },
    Exit {
        code: 1,
        meaning: "a check failed, or the run could not be carried out",
    },
    Exit::USAGE,
];

/// Every command.
pub const SUITE: Suite = Suite {
    name: "laburnum-bench",
    version: env!("CARGO_PKG_VERSION"),
    about: "Load and experiments over real nodes on loopback.",
    commands: &[(SMOKE_COMMAND, SMOKE)],
};
