//! The way of one request, read from the logs of several nodes.

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

/// Events that carry a request's id, in the order in which they belong at one moment.
const EVENTS: [&str; 3] = ["owned", "attempt", "request"];
/// Pairs that are shown apart from the others.
const SHOWN_APART: [&str; 4] = ["ts", "level", "event", "id"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line {
    /// The file's name, with what a collector wrote before the line.
    source: String,
    time: u64,
    event: String,
    pairs: Vec<(String, String)>,
}

/// What the files hold.
#[derive(Default)]
struct Read {
    /// Lines on the request.
    lines: Vec<Line>,
    /// Lines of events on requests, whichever.
    others: usize,
    /// Lines that begin like one of ours and do not read.
    damaged: usize,
    /// Lines on requests that the nodes left out for their number.
    omitted: u64,
}

/// Reads `files` and tells what became of the request `id`.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<Report, Failure> {
    let mut read = Read::default();
    for path in files {
        read_file(path, id, &mut read)?;
    }
    read.lines.sort_by_key(|it| (it.time, place(&it.event)));
    Ok(match read.lines.is_empty() {
        true => absent(id, &read),
        false => found(id, &read),
    })
}

fn read_file(path: &Path, id: &str, read: &mut Read) -> Result<(), Failure> {
    let fault = |source| FileError::Read {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(fault)?;
    for bytes in BufReader::new(file).split(b'\n') {
        let bytes = bytes.map_err(fault)?;
        let text = String::from_utf8_lossy(&bytes);
        // Collectors write a time and a host's name before each line.
        let Some(start) = text.find("ts=") else {
            continue;
        };
        let source = format!("{} {}", path.display(), text[..start].trim());
        match parse(&text[start..], source.trim()) {
            Some(line) => take(line, id, read),
            None => read.damaged += 1,
        }
    }
    Ok(())
}

fn take(line: Line, id: &str, read: &mut Read) {
    if !EVENTS.contains(&line.event.as_str()) {
        return;
    }
    read.others += 1;
    let omitted = line.pair("omitted").and_then(|it| it.parse::<u64>().ok());
    read.omitted += omitted.unwrap_or(0);
    if line.pair("id") == Some(id) {
        read.lines.push(line);
    }
}

impl Line {
    fn pair(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|it| it.0 == key);
        found.map(|it| it.1.as_str())
    }
}

fn place(event: &str) -> usize {
    let found = EVENTS.iter().position(|it| *it == event);
    found.unwrap_or(EVENTS.len())
}

/// Reads the pairs of one line; nothing if it is cut or mixed with another.
fn parse(text: &str, source: &str) -> Option<Line> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_end();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, next) = value(after)?;
        pairs.push((key.to_owned(), value));
        rest = next.trim_start();
    }
    let all: BTreeMap<&str, &str> = pairs
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()))
        .collect();
    Some(Line {
        source: source.to_owned(),
        time: all.get("ts")?.parse().ok()?,
        event: (*all.get("event")?).to_owned(),
        pairs,
    })
}

/// A value, plain or in double quotes with backslash escapes, and what follows it.
fn value(text: &str) -> Option<(String, &str)> {
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

fn found(id: &str, read: &Read) -> Report {
    let start = read.lines[0].time;
    let mut text = format!("request {id}\n");
    for line in &read.lines {
        let pairs = line
            .pairs
            .iter()
            .filter(|it| !SHOWN_APART.contains(&it.0.as_str()));
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
    let missing = missing(read);
    for it in &missing {
        let _ = writeln!(text, "  missing: {it}");
    }
    let lines = read.lines.iter().map(|line| {
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

/// What the files should hold of the request and do not.
fn missing(read: &Read) -> Vec<String> {
    let of = |event: &'static str| read.lines.iter().filter(move |it| it.event == event);
    let mut missing = Vec::new();
    if of("request").next().is_none() {
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
    if read.damaged > 0 {
        missing.push(format!(
            "{} lines that are cut or mixed with others",
            read.damaged
        ));
    }
    missing
}

fn absent(id: &str, read: &Read) -> Report {
    let why = match (read.others, read.omitted) {
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
        json: json!({ "id": id, "error": why, "damaged": read.damaged }),
    }
}
