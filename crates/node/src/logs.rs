//! Logging: one line of key=value pairs for each event; docs/LOGS.md lists the events.

use std::{
    fmt::{self, Write},
    time::UNIX_EPOCH,
};

use log::Level;
use logforth::{
    Diagnostic, Error, Layout,
    append::{Stdout, asynchronous::AsyncBuilder},
    filter::rustlog::RustLogFilterBuilder,
    record::Record,
};

/// Log target of the node's own events. Lines of other targets are free text of libraries.
const TARGET: &str = "laburnum";

/// Events logged at level warn; docs/LOGS.md describes what to do.
const WARNINGS: [&str; 26] = [
    "calls-ended",
    "claims-damaged",
    "claims-filling",
    "config-refused",
    "connections-full",
    "heartbeat-refused",
    "link-refused",
    "log-row-refused",
    "member",
    "metrics-ended",
    "metrics-failed",
    "paused",
    "phase-refused",
    "platform-embedded",
    "recovery-left-to-peers",
    "request-quarantined",
    "snapshot-skipped",
    "spread-dispute",
    "spread-mismatch",
    "store-restored",
    "traffic-fault",
    "upstream",
    "upstream-crashed",
    "upstream-crash-counted",
    "version-held",
    "zone",
];

/// Events after which the node ends, logged at level error.
const ERRORS: [&str; 1] = ["start-failed"];

/// Logs one line: `event=<name> key=value ...`. Values that need it are quoted.
pub fn event(name: &str, pairs: &[(&str, String)]) {
    log::log!(target: TARGET, level(name), "{}", line(name, pairs));
}

/// Returns an event as text, without time and level.
pub fn line(name: &str, pairs: &[(&str, String)]) -> String {
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        // Writing to a string cannot fail.
        let _ = write!(line, " {key}={}", Quoted(value));
    }
    line
}

/// Sends log lines to standard error; `RUST_LOG` overrides the default level info.
pub fn init() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let starter = logforth::starter_log::stderr();
    starter.filter(filter).layout(Pairs).apply();
}

/// Maximum number of lines that wait for a reader of standard output, about 100 KB; further lines are dropped.
const PENDING_MAX: usize = 512;

/// Sends log lines to standard output from a separate thread, so that a collector that stops reading does not
/// block the node.
pub fn init_pending() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let stdout = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(PENDING_MAX))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(Pairs))
        .build();
    logforth::starter_log::builder()
        .dispatch(|it| it.filter(filter).append(stdout))
        .apply();
}

/// Writes pending lines at the end of a process.
pub fn flush() {
    log::logger().flush();
}

/// Layout that writes `ts=<ms since the epoch> level=<level>` before each event's pairs.
#[derive(Clone, Copy, Debug)]
pub struct Pairs;

impl Layout for Pairs {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        // A clock before the epoch is reported as 0.
        let time = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let level = record.level().name().to_lowercase();
        let payload = record.payload().to_string();
        let line = match record.target() {
            TARGET => payload,
            target => self::line(
                "library",
                &[("target", target.to_owned()), ("text", payload)],
            ),
        };
        Ok(format!("ts={} level={level} {line}", time.as_millis()).into_bytes())
    }
}

/// Quotes a value if needed.
///
/// Names in requests and errors of libraries reach the log; an unquoted line break in one would forge a line.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let special = |it: char| it.is_whitespace() || it.is_control() || "\"=\\".contains(it);
        match self.0.is_empty() || self.0.contains(special) {
            true => write!(f, "{:?}", self.0),
            false => f.write_str(self.0),
        }
    }
}

/// Returns the log level of an event.
pub fn level(name: &str) -> Level {
    match (ERRORS.contains(&name), WARNINGS.contains(&name)) {
        (true, _) => Level::Error,
        (_, true) => Level::Warn,
        _ => Level::Info,
    }
}
