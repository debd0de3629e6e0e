//! Logs: one line of key=value pairs for each event.

use std::fmt::Write;

/// Writes one line: `event=<name> key=value ...`. Values with spaces or quotes are quoted.
pub fn event(name: &str, pairs: &[(&str, String)]) {
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\r']);
        // Writing to a string cannot fail.
        let _ = match plain {
            true => write!(line, " {key}={value}"),
            false => write!(line, " {key}={value:?}"),
        };
    }
    log::info!("{line}");
}

/// Sends log lines to standard error.
pub fn init() {
    logforth::starter_log::stderr().apply();
}
