//! Definitions of all settings of `laburnum-node`.

use laburnum_edge::{Token, link::Key};
use laburnum_flags::{Exit, List, Program, Setting};
use laburnum_kernel::Name;

use super::value::{BoundedInt, HostAddress, ListenAddress, Preset};

const DAY_MS: u64 = 24 * 3_600 * 1_000;

pub const CALLER: Setting<ListenAddress> = Setting::new(
    "--caller",
    "ADDRESS",
    "IP address and port where callers send requests.",
)
.default("127.0.0.1:7100");
pub const CONTROL: Setting<HostAddress> = Setting::new(
    "--control",
    "ADDRESS",
    "IP address and port of control traffic over TCP and UDP; told to every node, and the node's identity.",
)
.default("127.0.0.1:7101");
pub const TRAFFIC: Setting<HostAddress> = Setting::new(
    "--traffic",
    "ADDRESS",
    "IP address and port where other nodes send requests; told to every node.",
)
.default("127.0.0.1:7102");
pub const ADMIN: Setting<ListenAddress> = Setting::new(
    "--admin",
    "ADDRESS",
    "IP address and port where operators and the upstream beside the node call.",
)
.default("127.0.0.1:7103");
pub const REGION: Setting<Name> =
    Setting::new("--region", "NAME", "Region of the host.").default("local");
pub const ZONE: Setting<Name> =
    Setting::new("--zone", "NAME", "Availability zone of the host.").default("local-a");
pub const PEERS: Setting<List<HostAddress>> = Setting::new(
    "--peers",
    "ADDRESS,...",
    "Control addresses of the nodes to contact first; two or three in different zones are enough.",
)
.default("");
pub const PLATFORM: Setting<HostAddress> = Setting::new(
    "--platform",
    "ADDRESS",
    "IP address and port of the platform's table and object store; without it they are kept in memory and end with the process.",
)
.optional();

pub const LINK_KEY: Setting<Key> = Setting::new(
    "--link-key",
    "HEX",
    "Key of 64 hexadecimal digits that seals control traffic; without it the public key, on loopback only.",
)
.default("0000000000000000000000000000000000000000000000000000000000000000")
.secret();
pub const LINK_KEY_ALSO: Setting<Key> = Setting::new(
    "--link-key-also",
    "HEX",
    "Second key that is accepted while keys are rotated.",
)
.optional()
.secret();

pub const ADMIN_KEY: Setting<Token> = Setting::new(
    "--admin-key",
    "TOKEN",
    "Token that operators send; without it whoever reaches --admin is one, on loopback only.",
)
.optional()
.secret();
pub const ADMIN_KEY_ALSO: Setting<Token> = Setting::new(
    "--admin-key-also",
    "TOKEN",
    "Second token that is accepted while tokens are rotated.",
)
.optional()
.secret();

pub const PRESET: Setting<Preset> = Setting::new(
    "--preset",
    "WORD",
    "How changes spread: nile favours convergence time, cascadia control bytes.",
)
.default("nile");
pub const WINDOW: Setting<BoundedInt<0, 60_000>> = Setting::new(
    "--window",
    "N",
    "How long changes are gathered before they travel; if not given, 20 with nile and 2000 with cascadia.",
)
.optional()
.unit("ms");
pub const BUDGET: Setting<BoundedInt<256, 1_048_576>> = Setting::new(
    "--budget",
    "N",
    "Control bytes that the node sends, averaged over a minute; if not given, 2048.",
)
.optional()
.unit("bytes/s");
pub const RELAYS: Setting<BoundedInt<1, 16>> = Setting::new(
    "--relays",
    "N",
    "Relays in each availability zone; the same on every node; if not given, 2.",
)
.optional();
pub const DEGREE: Setting<BoundedInt<2, 64>> = Setting::new(
    "--degree",
    "N",
    "Most nodes that one node pushes changes to; if not given, 4.",
)
.optional();
pub const SLOTS: Setting<BoundedInt<1, 64>> = Setting::new(
    "--slots",
    "N",
    "Long answers to lagging nodes given at once; if not given, 2.",
)
.optional();
pub const CATCHUP: Setting<BoundedInt<1_024, 16_777_216>> = Setting::new(
    "--catchup",
    "N",
    "Bytes of long answers to lagging nodes, averaged over a minute; if not given, 16384.",
)
.optional()
.unit("bytes/s");
pub const REPAIR: Setting<BoundedInt<100, 600_000>> = Setting::new(
    "--repair",
    "N",
    "Mean time between two comparisons with a random node; if not given, 2000 with nile and 4000 with cascadia.",
)
.optional()
.unit("ms");
pub const RETENTION: Setting<BoundedInt<60_000, { 30 * DAY_MS }>> = Setting::new(
    "--retention",
    "N",
    "How long the answer of an idempotency key is kept; the same on every node.",
)
.default("86400000")
.unit("ms");

pub const WORKERS: Setting<BoundedInt<1, 256>> =
    Setting::new("--workers", "N", "Threads that carry requests.").default("2");
pub const GRACE: Setting<BoundedInt<0, 3_600_000>> = Setting::new(
    "--grace",
    "N",
    "Longest wait for requests in progress when the node stops.",
)
.default("30000")
.unit("ms");
pub const CALLERS_MAX: Setting<BoundedInt<1, 65_536>> =
    Setting::new("--callers-max", "N", "Connections of callers open at once.").default("1024");
pub const CALLERS_STREAMS: Setting<BoundedInt<1, 65_536>> = Setting::new(
    "--callers-streams",
    "N",
    "Requests open at once on one HTTP/2 connection of a caller.",
)
.default("256");
pub const NODES_MAX: Setting<BoundedInt<1, 65_536>> = Setting::new(
    "--nodes-max",
    "N",
    "Connections of other nodes open at once.",
)
.default("4096");
pub const NODES_STREAMS: Setting<BoundedInt<1, 65_536>> = Setting::new(
    "--nodes-streams",
    "N",
    "Requests open at once on one connection of another node.",
)
.default("1024");
pub const HEADER_BYTES: Setting<BoundedInt<8_192, 1_048_576>> =
    Setting::new("--header-bytes", "N", "Longest header of one request.")
        .default("16384")
        .unit("bytes");
pub const HEADER_FIELDS: Setting<BoundedInt<16, 1_024>> =
    Setting::new("--header-fields", "N", "Most header fields of one request.").default("64");
pub const HEADER_TIME: Setting<BoundedInt<100, 600_000>> = Setting::new(
    "--header-time",
    "N",
    "Longest time in which a header must arrive, and for which a connection may idle.",
)
.default("10000")
.unit("ms");
pub const STALL_TIME: Setting<BoundedInt<100, 600_000>> = Setting::new(
    "--stall-time",
    "N",
    "Longest time for which a reader may take no byte while an answer waits.",
)
.default("10000")
.unit("ms");
pub const UPSTREAM_MAX: Setting<BoundedInt<1, 65_536>> =
    Setting::new("--upstream-max", "N", "Most connections to the upstream.").default("110");
pub const UPSTREAM_CONNECT: Setting<BoundedInt<1, 60_000>> = Setting::new(
    "--upstream-connect",
    "N",
    "Longest time in which a connection to the upstream must open.",
)
.default("500")
.unit("ms");
pub const UPSTREAM_IDLE: Setting<BoundedInt<0, 600_000>> = Setting::new(
    "--upstream-idle",
    "N",
    "Connections to the upstream that idled for longer are not used again.",
)
.default("5000")
.unit("ms");

/// Exit codes of a program that runs a node.
pub const EXITS: &[Exit] = &[
    Exit {
        code: 0,
        meaning: "a signal stopped the node",
    },
    Exit {
        code: 1,
        meaning: "a socket or thread could not be had; the message names the remedy",
    },
    Exit::USAGE,
];

/// Description of the binary with all settings.
pub const PROGRAM: Program = Program {
    name: "laburnum-node",
    version: env!("CARGO_PKG_VERSION"),
    about: "Runs beside an upstream: spreads the fleet's configuration and carries requests.",
    operands: &[],
    settings: &[
        CALLER.row(),
        CONTROL.row(),
        TRAFFIC.row(),
        ADMIN.row(),
        REGION.row(),
        ZONE.row(),
        PEERS.row(),
        PLATFORM.row(),
        LINK_KEY.row(),
        LINK_KEY_ALSO.row(),
        ADMIN_KEY.row(),
        ADMIN_KEY_ALSO.row(),
        PRESET.row(),
        WINDOW.row(),
        BUDGET.row(),
        RELAYS.row(),
        DEGREE.row(),
        SLOTS.row(),
        CATCHUP.row(),
        REPAIR.row(),
        RETENTION.row(),
        WORKERS.row(),
        GRACE.row(),
        CALLERS_MAX.row(),
        CALLERS_STREAMS.row(),
        NODES_MAX.row(),
        NODES_STREAMS.row(),
        HEADER_BYTES.row(),
        HEADER_FIELDS.row(),
        HEADER_TIME.row(),
        STALL_TIME.row(),
        UPSTREAM_MAX.row(),
        UPSTREAM_CONNECT.row(),
        UPSTREAM_IDLE.row(),
    ],
    exits: EXITS,
};
