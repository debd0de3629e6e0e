//! The command line: `smoke`, `converge` and `load`.

use std::str::FromStr;

use laburnum_flags::{Exit, List, Program, Setting, Suite, Values};

use crate::{
    converge::{Case, Plan, Preset},
    load::command,
};

/// Name of the command that checks the whole path in seconds.
pub const SMOKE_COMMAND: &str = "smoke";

/// Flag for output as one JSON object.
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

/// Name of the command that measures convergence of changes.
pub const CONVERGE_COMMAND: &str = "converge";

const NODES: Setting<Nodes> = Setting::new("--nodes", "N", "Nodes, 4 to 200.").default("20");
const ZONES: Setting<usize> = Setting::new("--zones", "N", "Availability zones.").default("4");
const PRESET: Setting<Preset> = Setting::new(
    "--preset",
    "WORD",
    "nile (short convergence) or cascadia (few bytes).",
)
.default("nile");
const CASES: Setting<List<Case>> = Setting::new(
    "--cases",
    "LIST",
    "Of change, burst, herd, outage, relay and baseline.",
)
.default("change,burst,herd,outage,relay,baseline");
const REPEAT: Setting<usize> =
    Setting::new("--repeat", "N", "Single changes measured.").default("30");
const SERVICES: Setting<usize> = Setting::new("--services", "N", "Services.").default("100");
const BURST: Setting<usize> = Setting::new("--burst", "N", "Changes in the burst.").default("500");
const OUTAGE: Setting<u64> = Setting::new("--outage", "N", "Length of the platform's outage.")
    .default("10")
    .unit("s");

const CONVERGE: Program = Program {
    name: "laburnum-bench converge",
    version: env!("CARGO_PKG_VERSION"),
    about: "Measures how long changes take to be in force in every view, and their control bytes.",
    operands: &[],
    settings: &[
        NODES.row(),
        ZONES.row(),
        PRESET.row(),
        CASES.row(),
        REPEAT.row(),
        SERVICES.row(),
        BURST.row(),
        OUTAGE.row(),
        JSON.row(),
    ],
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

/// All commands.
pub const SUITE: Suite = Suite {
    name: "laburnum-bench",
    version: env!("CARGO_PKG_VERSION"),
    about: "Load and experiments over real nodes on loopback.",
    commands: &[
        (SMOKE_COMMAND, SMOKE),
        (CONVERGE_COMMAND, CONVERGE),
        (command::NAME, command::PROGRAM),
    ],
};

/// Returns the plan of `converge` from its settings.
pub fn plan(values: &Values) -> Plan {
    Plan {
        nodes: values.get(&NODES).0,
        zones: values.get(&ZONES),
        preset: values.get(&PRESET),
        cases: values.get(&CASES).0,
        repeat: values.get(&REPEAT),
        services: values.get(&SERVICES),
        burst: values.get(&BURST),
        outage: values.get(&OUTAGE),
    }
}

/// A number of nodes that one machine can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Nodes(usize);

/// The error of a text that is not a number of nodes.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("not a whole number from 4 to 200")]
struct BadNodes;

impl FromStr for Nodes {
    type Err = BadNodes;

    fn from_str(text: &str) -> Result<Nodes, BadNodes> {
        let nodes = text.parse().map_err(|_| BadNodes)?;
        match (4..=200).contains(&nodes) {
            true => Ok(Nodes(nodes)),
            false => Err(BadNodes),
        }
    }
}
