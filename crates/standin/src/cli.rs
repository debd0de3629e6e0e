//! Command line of `laburnum-standin`.

use std::net::SocketAddr;

use laburnum_edge::Token;
use laburnum_flags::{Exit, Program, Setting, Suite, Values};
use laburnum_kernel::Name;

use crate::{
    faults::{Answers, Faults, Outage, Share},
    upstream::UpstreamSettings,
};

const PLATFORM_LISTEN: Setting<SocketAddr> =
    Setting::new("--listen", "ADDRESS", "Where nodes call.").default("127.0.0.1:7200");
const OUTAGE: Setting<Outage> = Setting::new(
    "--outage",
    "WORD",
    "none, refuse (answer 503) or hang (never answer).",
)
.default("none");
const SLOW: Setting<u64> = Setting::new(
    "--slow",
    "N",
    "Delay from an operation's effect to its answer.",
)
.default("0")
.unit("ms");
const LATE: Setting<u64> = Setting::new(
    "--late",
    "N",
    "Delay from a call to its operation's effect.",
)
.default("0")
.unit("ms");
const LOST: Setting<Share> = Setting::new(
    "--lost",
    "SHARE",
    "Share of writes whose answer is lost after they took effect.",
)
.default("0")
.unit("0 to 1");
const ANSWERS: Setting<Answers> =
    Setting::new("--answers", "WORD", "whole, truncated or malformed.").default("whole");
const WRITES: Setting<u64> = Setting::new("--writes", "N", "Write limit; 0 for none.")
    .default("0")
    .unit("rows/s");
const READS: Setting<u64> = Setting::new("--reads", "N", "Read limit; 0 for none.")
    .default("0")
    .unit("rows/s");
const SEED: Setting<u64> = Setting::new("--seed", "N", "Fixes random choices.").default("1");

const UPSTREAM_LISTEN: Setting<SocketAddr> =
    Setting::new("--listen", "ADDRESS", "Where the node beside it calls.").default("127.0.0.1:0");
const SERVICE: Setting<Name> =
    Setting::new("--service", "NAME", "The service it serves.").default("drafting-desk");
const NODE: Setting<SocketAddr> = Setting::new(
    "--node",
    "ADDRESS",
    "Admin address of the node beside it, to announce itself to.",
)
.optional();
const TOKEN: Setting<Token> = Setting::new(
    "--token",
    "TOKEN",
    "The node's --admin-key; needed only if the node is on another host.",
)
.optional()
.secret();
const SLOTS: Setting<u16> =
    Setting::new("--slots", "N", "Requests that it runs at once.").default("6");
const QUEUE: Setting<u16> = Setting::new(
    "--queue",
    "N",
    "Requests that may wait for a slot; further ones are shed.",
)
.default("0");
const RUN: Setting<u64> = Setting::new("--run", "N", "Minimum service time.")
    .default("0")
    .unit("ms");
const SPREAD: Setting<u64> = Setting::new(
    "--spread",
    "N",
    "Maximum random time added to the service time.",
)
.default("0")
.unit("ms");
const COLD: Setting<u64> = Setting::new("--cold", "N", "Warm-up time after a start.")
    .default("0")
    .unit("ms");
const RESTART: Setting<u64> =
    Setting::new("--restart", "N", "Time from a crash to the next start.")
        .default("500")
        .unit("ms");
const HEARTBEAT: Setting<u64> = Setting::new("--heartbeat", "N", "Interval between announcements.")
    .default("1000")
    .unit("ms");

const EXITS: &[Exit] = &[Exit::SUCCESS, Exit::FAILURE, Exit::USAGE];

const PLATFORM: Program = Program {
    name: "laburnum-standin platform",
    version: env!("CARGO_PKG_VERSION"),
    about: "Stands in for the platform's table and object store; PUT /faults changes its faults.",
    operands: &[],
    settings: &[
        PLATFORM_LISTEN.row(),
        OUTAGE.row(),
        SLOW.row(),
        LATE.row(),
        LOST.row(),
        ANSWERS.row(),
        WRITES.row(),
        READS.row(),
        SEED.row(),
    ],
    exits: EXITS,
};

const UPSTREAM: Program = Program {
    name: "laburnum-standin upstream",
    version: env!("CARGO_PKG_VERSION"),
    about: "Stands in for an upstream; PUT /faults changes how it misbehaves.",
    operands: &[],
    settings: &[
        UPSTREAM_LISTEN.row(),
        SERVICE.row(),
        NODE.row(),
        TOKEN.row(),
        SLOTS.row(),
        QUEUE.row(),
        RUN.row(),
        SPREAD.row(),
        COLD.row(),
        RESTART.row(),
        HEARTBEAT.row(),
        SEED.row(),
    ],
    exits: EXITS,
};

/// The binary and its commands.
pub const SUITE: Suite = Suite {
    name: "laburnum-standin",
    version: env!("CARGO_PKG_VERSION"),
    about: "Small stand-ins for tests and trials.",
    commands: &[(PLATFORM_COMMAND, PLATFORM), (UPSTREAM_COMMAND, UPSTREAM)],
};

/// Name of the command that stands in for the platform.
pub const PLATFORM_COMMAND: &str = "platform";
/// Name of the command that stands in for an upstream.
pub const UPSTREAM_COMMAND: &str = "upstream";

/// Parsed command line of the platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformCommand {
    /// Listen address.
    pub listen: SocketAddr,
    /// Faults at start.
    pub faults: Faults,
    /// Seed of random choices.
    pub seed: u64,
}

impl PlatformCommand {
    /// Reads the settings from the command line.
    pub fn new(values: &Values) -> PlatformCommand {
        PlatformCommand {
            listen: values.get(&PLATFORM_LISTEN),
            faults: Faults {
                outage: values.get(&OUTAGE),
                slow: values.get(&SLOW),
                late: values.get(&LATE),
                lost: values.get(&LOST),
                answers: values.get(&ANSWERS),
                writes: values.get(&WRITES),
                reads: values.get(&READS),
            },
            seed: values.get(&SEED),
        }
    }
}

/// Reads an upstream's settings from the command line.
pub fn upstream(values: &Values) -> UpstreamSettings {
    UpstreamSettings {
        listen: values.get(&UPSTREAM_LISTEN),
        service: values.get(&SERVICE),
        node: values.find(&NODE),
        token: values.find(&TOKEN),
        slots: values.get(&SLOTS),
        queue: values.get(&QUEUE),
        run: values.get(&RUN),
        spread: values.get(&SPREAD),
        cold: values.get(&COLD),
        restart: values.get(&RESTART),
        heartbeat: values.get(&HEARTBEAT),
        seed: values.get(&SEED),
    }
}
