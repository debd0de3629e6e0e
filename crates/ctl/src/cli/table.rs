//! Declarations of the commands, their operands and flags.

use std::{net::SocketAddr, str::FromStr};

use laburnum_edge::{Token, api::Found};
use laburnum_flags::{Operand, Program, Row, Setting, Suite};
use laburnum_kernel::SubmitId;

use crate::report::Outcome;

pub(super) const NODE: Setting<SocketAddr> = Setting::new(
    "--node",
    "ADDRESS",
    "Admin address of the node to ask; any node will do.",
)
.default("127.0.0.1:7103");
pub(super) const TOKEN: Setting<Token> = Setting::new(
    "--token",
    "TOKEN",
    "The node's --admin-key, if it has one; better given by the variable, for others see the arguments.",
)
.optional()
.secret();
pub(super) const JSON: Setting<bool> =
    Setting::switch("--json", "Print one JSON object instead of lines.");
pub(super) const AUTHOR: Setting<String> =
    Setting::new("--author", "NAME", "Who acts; kept in the audit.");
pub(super) const REASON: Setting<String> =
    Setting::new("--reason", "TEXT", "Why; kept in the audit.");
pub(super) const BASE: Setting<u64> = Setting::new(
    "--base",
    "REVISION",
    "Revision that the change is based on, as printed by get; 0 for a new service. Without it, the one in force now.",
)
.optional();
pub(super) const ID: Setting<SubmitId> = Setting::new(
    "--id",
    "ID",
    "Submit again under the id of a submission whose outcome is unknown; it is never applied twice. Without it, a new id.",
)
.optional();
pub(super) const RETRY: Setting<u64> = Setting::new(
    "--retry",
    "N",
    "How long to try again while the outcome is not known.",
)
.default("30")
.unit("s");
pub(super) const WAIT: Setting<bool> =
    Setting::switch("--wait", "Wait until it is in force everywhere.");
pub(super) const TIMEOUT: Setting<u64> = Setting::new("--timeout", "N", "How long --wait waits.")
    .default("60")
    .unit("s");
pub(super) const AFTER: Setting<u64> = Setting::new(
    "--after",
    "SEQ",
    "Only changes after this position of the log.",
)
.default("0");
pub(super) const LIMIT: Setting<u32> =
    Setting::new("--limit", "N", "Most entries of the log, 1 to 500.").default("100");
pub(super) const FOUND: Setting<FoundArg> = Setting::new(
    "--found",
    "ran|not-run",
    "What you found out: it ran and must never run again, or it surely did not.",
);

const FILE: Operand = Operand {
    name: "FILE",
    help: "A document in TOML.",
};
const FILES: Operand = Operand {
    name: "FILE...",
    help: "Documents in TOML.",
};
pub(super) const SERVICE: Operand = Operand {
    name: "SERVICE",
    help: "Name of a service.",
};
pub(super) const SUBMISSION: Operand = Operand {
    name: "ID",
    help: "Id of a submission, as printed by submit.",
};
pub(super) const FINGERPRINT: Operand = Operand {
    name: "FINGERPRINT",
    help: "Fingerprint of a quarantined request, as printed by status.",
};
const KEY: Operand = Operand {
    name: "KEY",
    help: "Idempotency-Key of the request, as printed by status.",
};

const REQUEST: Operand = Operand {
    name: "ID",
    help: "Id of a request, as its caller sent it.",
};
const LOGS: Operand = Operand {
    name: "FILE...",
    help: "Logs of the nodes that it may have passed.",
};

const VERSION: &str = env!("CARGO_PKG_VERSION");

const fn command(
    name: &'static str,
    about: &'static str,
    operands: &'static [Operand],
    settings: &'static [Row],
) -> Program {
    Program {
        name,
        version: VERSION,
        about,
        operands,
        settings,
        exits: Outcome::EXITS,
    }
}

const QUERY: &[Row] = &[NODE.row(), TOKEN.row(), JSON.row()];
const CHANGE: &[Row] = &[
    NODE.row(),
    TOKEN.row(),
    AUTHOR.row(),
    REASON.row(),
    BASE.row(),
    ID.row(),
    RETRY.row(),
    WAIT.row(),
    TIMEOUT.row(),
    JSON.row(),
];
const RANGE: &[Row] = &[
    NODE.row(),
    TOKEN.row(),
    AFTER.row(),
    LIMIT.row(),
    JSON.row(),
];
const ACTION: &[Row] = &[
    NODE.row(),
    TOKEN.row(),
    AUTHOR.row(),
    REASON.row(),
    JSON.row(),
];

const EXPLAIN: Program = command(
    "laburnum-ctl explain",
    "Tells the way of one request from the logs of several nodes.",
    &[REQUEST, LOGS],
    &[JSON.row()],
);
const CHECK: Program = command(
    "laburnum-ctl check",
    "Checks documents without a node, by the same code as the nodes.",
    &[FILES],
    &[JSON.row()],
);
const SUBMIT: Program = command(
    "laburnum-ctl submit",
    "Submits a document: a new service, or a new revision of one.",
    &[FILE],
    CHANGE,
);
const DELETE: Program = command(
    "laburnum-ctl delete",
    "Deletes a service that no other service uses.",
    &[SERVICE],
    CHANGE,
);
const OUTCOME: Program = command(
    "laburnum-ctl outcome",
    "Asks what became of a submission.",
    &[SUBMISSION],
    QUERY,
);
const GET: Program = command(
    "laburnum-ctl get",
    "Prints the document in force.",
    &[SERVICE],
    QUERY,
);
const LIST: Program = command(
    "laburnum-ctl list",
    "Lists the services in force.",
    &[],
    QUERY,
);
const DIFF: Program = command(
    "laburnum-ctl diff",
    "Compares a document with the one in force; ends with 0 whether they differ or not.",
    &[FILE],
    QUERY,
);
const AUDIT: Program = command(
    "laburnum-ctl audit",
    "Prints who changed what, when and why.",
    &[],
    RANGE,
);
const HISTORY: Program = command(
    "laburnum-ctl history",
    "Prints who changed one service, with the differences.",
    &[SERVICE],
    RANGE,
);
const STATUS: Program = command(
    "laburnum-ctl status",
    "Prints what is in force, who lags, quarantined requests and requests of unknown outcome.",
    &[],
    &[
        NODE.row(),
        TOKEN.row(),
        WAIT.row(),
        TIMEOUT.row(),
        JSON.row(),
    ],
);
const LIFT: Program = command(
    "laburnum-ctl lift",
    "Lifts the quarantine of a request that crashed its upstreams.",
    &[FINGERPRINT],
    ACTION,
);
const RESOLVE: Program = command(
    "laburnum-ctl resolve",
    "Decides on a request whose outcome is unknown.",
    &[SERVICE, KEY],
    &[
        NODE.row(),
        TOKEN.row(),
        FOUND.row(),
        AUTHOR.row(),
        REASON.row(),
        JSON.row(),
    ],
);

/// All commands.
pub const SUITE: Suite = Suite {
    name: "laburnum-ctl",
    version: VERSION,
    about: "Checks documents, submits them and tells what is in force.",
    commands: &[
        ("check", CHECK),
        ("submit", SUBMIT),
        ("delete", DELETE),
        ("outcome", OUTCOME),
        ("get", GET),
        ("list", LIST),
        ("diff", DIFF),
        ("audit", AUDIT),
        ("history", HISTORY),
        ("status", STATUS),
        ("lift", LIFT),
        ("resolve", RESOLVE),
        ("explain", EXPLAIN),
    ],
};

/// Value of `--found`.
pub(super) struct FoundArg(pub Found);

/// The error of a text that is neither `ran` nor `not-run`.
#[derive(Debug, thiserror::Error)]
#[error("write ran or not-run")]
pub(super) struct BadFound;

impl FromStr for FoundArg {
    type Err = BadFound;

    fn from_str(text: &str) -> Result<FoundArg, BadFound> {
        match text {
            "ran" => Ok(FoundArg(Found::Ran)),
            "not-run" => Ok(FoundArg(Found::NotRun)),
            _ => Err(BadFound),
        }
    }
}
