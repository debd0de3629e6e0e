//! `explain`: reconstructs the path of one request from the logs of several nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde_json::{Value, json};

use crate::{
    files::FileError,
    report::{Failure, Outcome, Report},
};

/// Events that carry a request's id, in the order in which lines of equal time are shown.
const EVENTS: [&str; 4] = ["owned", "attempt", "request", "request-abandoned"];
/// Keys whose values are not listed among a line's pairs.
const UNLISTED_KEYS: [&str; 4] = ["ts", "level", "event", "id"];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LogLine {
    /// Path of the file, with the text that a log collector prepended to the line.
    source: String,
    time: u64,
    event: String,
    pairs: Vec<(String, String)>,
}

/// Lines and counts gathered from the files.
#[derive(Default)]
struct Scan {
    /// Lines about the request.
    lines: Vec<LogLine>,
    /// Number of lines about any request.
    total: usize,
    /// Number of lines that look like a node's and do not parse.
    damaged: usize,
    /// Number of lines about requests that the nodes omitted under load.
    omitted: u64,
}

/// Reports the lines of `files` about the request `id`, and which lines are missing.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<Report, Failure> {
    let mut scan = Scan::default();
    for path in files {
        scan_file(path, id, &mut scan)?;
    }
    scan.lines
        .sort_by_key(|it| (it.time, event_rank(&it.event)));
    Ok(match scan.lines.is_empty() {
        true => not_found_report(id, &scan),
        false => found_report(id, &scan),
    })
}

fn scan_file(path: &Path, id: &str, scan: &mut Scan) -> Result<(), Failure> {
    let fault = |source| FileError::Read {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(fault)?;
    for bytes in BufReader::new(file).split(b'\n') {
        let bytes = bytes.map_err(fault)?;
        let text = String::from_utf8_lossy(&bytes);
        // Log collectors prepend a time and a host name to each line.
        let Some(start) = text.find("ts=") else {
            continue;
        };
        let source = format!("{} {}", path.display(), text[..start].trim());
        match parse(&text[start..], source.trim()) {
            Some(line) => add_line(line, id, scan),
            None => scan.damaged += 1,
        }
    }
    Ok(())
}

fn add_line(line: LogLine, id: &str, scan: &mut Scan) {
    if !EVENTS.contains(&line.event.as_str()) {
        return;
    }
    scan.total += 1;
    let omitted = line.pair("omitted").and_then(|it| it.parse::<u64>().ok());
    scan.omitted += omitted.unwrap_or(0);
    if line.pair("id") == Some(id) {
        scan.lines.push(line);
    }
}

impl LogLine {
    fn pair(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|it| it.0 == key);
        found.map(|it| it.1.as_str())
    }
}

fn event_rank(event: &str) -> usize {
    let found = EVENTS.iter().position(|it| *it == event);
    found.unwrap_or(EVENTS.len())
}

/// Parses the pairs of one line; `None` if it is truncated or interleaved with another.
fn parse(text: &str, source: &str) -> Option<LogLine> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_end();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, next) = split_value(after)?;
        pairs.push((key.to_owned(), value));
        rest = next.trim_start();
    }
    let all: BTreeMap<&str, &str> = pairs
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()))
        .collect();
    Some(LogLine {
        source: source.to_owned(),
        time: all.get("ts")?.parse().ok()?,
        event: (*all.get("event")?).to_owned(),
        pairs,
    })
}

/// Splits off a value, plain or in double quotes with backslash escapes; returns it and the rest.
fn split_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((text[..end].to_owned(), &text[end..]));
    };
    let mut value = String::new();
    let mut escaped = false;
    for (at, it) in quoted.char_indices() {
        match (escaped, it) {
            (false, '\\') => escaped = true,
            (false, '"') => return Some((value, &quoted[at + 1..])),
            _ => {
                escaped = false;
                value.push(it);
            }
        }
    }
    None
}

fn found_report(id: &str, scan: &Scan) -> Report {
    let start = scan.lines[0].time;
    let mut text = format!("request {id}\n");
    for line in &scan.lines {
        let pairs = line
            .pairs
            .iter()
            .filter(|it| !UNLISTED_KEYS.contains(&it.0.as_str()));
        let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "  {:>6} ms  {:<8} {}  ({})",
            line.time - start,
            line.event,
            pairs.join(" "),
            line.source
        );
    }
    let missing = missing_lines(scan);
    for it in &missing {
        let _ = writeln!(text, "  missing: {it}");
    }
    let lines = scan.lines.iter().map(|line| {
        let pairs: BTreeMap<&String, &String> =
            line.pairs.iter().map(|it| (&it.0, &it.1)).collect();
        json!({ "source": line.source, "pairs": pairs })
    });
    let json = json!({ "id": id, "lines": lines.collect::<Vec<Value>>(), "missing": missing });
    Report {
        outcome: Outcome::Done,
        text,
        json,
    }
}

/// Describes the lines that the files should hold for the request and lack.
fn missing_lines(scan: &Scan) -> Vec<String> {
    let of = |event: &'static str| scan.lines.iter().filter(move |it| it.event == event);
    let mut missing = Vec::new();
    if of("request")
        .chain(of("request-abandoned"))
        .next()
        .is_none()
    {
        missing.push(
            "the entry's line on its end: add the log of the node that the caller asked, or the line was left out under load"
                .to_owned(),
        );
    }
    let failed: BTreeSet<&str> = of("attempt").filter_map(|it| it.pair("node")).collect();
    let owned = of("owned").count();
    if failed.len() > owned {
        let nodes: Vec<&str> = failed.into_iter().collect();
        missing.push(format!(
            "{} of {} owners' lines: add the logs of {}; an owner that could not be reached has none",
            nodes.len() - owned,
            nodes.len(),
            nodes.join(", ")
        ));
    }
    if scan.damaged > 0 {
        missing.push(format!(
            "{} lines that are cut or mixed with others",
            scan.damaged
        ));
    }
    missing
}

fn not_found_report(id: &str, scan: &Scan) -> Report {
    let why = match (scan.total, scan.omitted) {
        (0, _) => "the files hold no line on any request: give the nodes' logs".to_owned(),
        (_, 0) => "no line on it: add the log of the node that the caller asked, and check the id"
            .to_owned(),
        (_, omitted) => format!(
            "no line on it; {omitted} lines were left out under load, and of requests that were served only a sample is logged"
        ),
    };
    Report {
        outcome: Outcome::Refused,
        text: format!("laburnum-ctl: request {id}: {why}\n"),
        json: json!({ "id": id, "error": why, "damaged": scan.damaged }),
    }
}
