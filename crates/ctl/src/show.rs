//! Formatting of results as lines of text.

use std::{fmt::Write, path::Path};

use jiff::Timestamp;
use laburnum_edge::api::{
    AuditAction, AuditBody, AuditChange, ListBody, QuarantinesBody, StatusBody, SubmitAnswer,
    UnknownBody, VerdictBody,
};
use laburnum_kernel::{
    Ms, Name, Revision,
    document::{BadDocument, Document},
};
use similar::TextDiff;

// Writing to a string cannot fail, so its results are dropped.

/// Formats a checked file: one line, or one per fault as `FILE:LINE:COLUMN: ...`, which editors can jump to.
pub fn checked(path: &Path, parsed: &Result<Document, BadDocument>) -> String {
    let file = path.display();
    match parsed {
        Ok(it) => format!(
            "{file}: ok, service {}, routes {}\n",
            it.service,
            it.routes.len()
        ),
        Err(error) => error
            .faults
            .iter()
            .map(|it| format!("{file}:{}:{}: {}\n", it.line, it.column, it.kind))
            .collect(),
    }
}

/// Formats the verdict on a submission.
pub fn verdict(answer: &SubmitAnswer) -> String {
    let id = &answer.id;
    match &answer.verdict {
        VerdictBody::Accepted { seq, revision } => {
            format!("accepted: revision {revision}, seq {seq}, id {id}\n")
        }
        VerdictBody::Conflict {
            revision,
            author,
            diff,
        } => {
            let winner = match (author.as_str(), revision) {
                ("", Revision(0)) => "there is no such service".to_owned(),
                ("", _) => format!("the service is at revision {revision}"),
                (_, Revision(0)) => format!("{author} deleted the service first"),
                _ => format!("{author} made revision {revision} first"),
            };
            let mut text = format!("conflict: {winner}; nothing was changed\n{diff}");
            if !text.ends_with('\n') {
                text.push('\n');
            }
            text
        }
        VerdictBody::Refused { why } => format!("refused: {why}\n"),
        VerdictBody::Unavailable { why } => format!("unavailable: {why}; nothing was changed\n"),
        VerdictBody::Unknown => format!("unknown: submission {id} may or may not be accepted\n"),
        VerdictBody::Absent => format!("absent: the log holds no submission {id} so far\n"),
    }
}

/// Formats the services in force as a table.
pub fn list(body: &ListBody) -> String {
    let width = body.services.iter().map(|it| it.service.as_str().len());
    let width = width.max().unwrap_or(0).max("service".len());
    let mut text = format!("{:width$}  revision  routes  upstreams  owner\n", "service");
    for it in &body.services {
        let _ = writeln!(
            text,
            "{:width$}  {:>8}  {:>6}  {:>9}  {}",
            it.service.as_str(),
            it.revision.0,
            it.routes,
            it.upstreams,
            it.owner
        );
    }
    let _ = writeln!(text, "{} services at seq {}", body.services.len(), body.seq);
    text
}

/// Returns the unified diff between the document in force and a file; empty if they are equal.
pub fn diff(service: &Name, revision: u64, old: &str, file: &Path, new: &str) -> String {
    let (from, to) = (format!("{service}@{revision}"), file.display().to_string());
    let diff = TextDiff::from_lines(old, new);
    diff.unified_diff().header(&from, &to).to_string()
}

/// Formats changes, one line each.
pub fn audit(page: &AuditBody) -> String {
    let lines = page
        .changes
        .iter()
        .map(|it| format!("{}\n", change_line(it)));
    lines.collect::<String>() + &next_page_hint(page)
}

/// Formats changes with their diffs.
pub fn history(page: &AuditBody) -> String {
    let entries = page.changes.iter().map(|it| {
        let end = if it.diff.is_empty() || it.diff.ends_with('\n') {
            ""
        } else {
            "\n"
        };
        format!("{}\n{}{end}", change_line(it), it.diff)
    });
    entries.collect::<String>() + &next_page_hint(page)
}

fn change_line(it: &AuditChange) -> String {
    let action = match it.action {
        AuditAction::Put => "put",
        AuditAction::Delete => "delete",
    };
    format!(
        "seq {}  {}  {action} {} revision {} (base {})  by {}: {}  id {}",
        it.seq,
        timestamp(it.time),
        it.service,
        it.revision,
        it.base,
        it.author,
        it.reason,
        it.id
    )
}

fn next_page_hint(page: &AuditBody) -> String {
    match page.next {
        Some(next) => format!("more: ask again with --after {next}\n"),
        None => String::new(),
    }
}

/// Formats the status: log positions, lagging nodes, quarantined requests and unknown outcomes.
pub fn status(
    status: &StatusBody,
    quarantines: &QuarantinesBody,
    unknown: &Result<UnknownBody, String>,
) -> String {
    let mut text = format!(
        "seq {} at this node, {} heard of; {} nodes, {} reported, {} behind: {}\n",
        status.seq,
        status.heard,
        status.nodes,
        status.reported,
        status.behind.len(),
        match status.everywhere {
            true => "in force everywhere",
            false => "not in force everywhere",
        }
    );
    for it in &status.behind {
        let _ = writeln!(text, "behind: {} at seq {}", it.node, it.seq);
    }
    for it in &status.bad {
        let _ = writeln!(
            text,
            "held back: {} revision {} at {}; upgrade that node",
            it.service, it.revision, it.node
        );
    }
    for it in quarantines.quarantines.iter().filter(|it| it.held) {
        let since = timestamp(it.time);
        let _ = writeln!(
            text,
            "quarantined: {} of {} since {since}",
            it.print, it.service
        );
    }
    match unknown {
        Ok(body) => {
            for it in &body.unknown {
                let since = timestamp(it.time);
                let _ = writeln!(
                    text,
                    "unknown: {} key {:?}, run by {} at {since}",
                    it.service, it.key, it.holder
                );
            }
        }
        Err(error) => {
            let _ = writeln!(text, "unknown outcomes cannot be read: {error}");
        }
    }
    text
}

fn timestamp(time: Ms) -> String {
    let millis = i64::try_from(time.0).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(millis) {
        Ok(stamp) => stamp.to_string(),
        Err(_) => format!("{} ms", time.0),
    }
}
