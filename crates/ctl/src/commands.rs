//! The commands: each queries a node or reads files and returns a report.

mod change;
mod wait;

use std::{io::Write, path::Path, path::PathBuf};

use laburnum_edge::api::{Found, LiftBody, ResolveBody, VerdictBody};
use laburnum_kernel::{Name, SubmitId, document::Document};
use serde_json::{Value, json};

use crate::{
    cli::{Attribution, Command, Fingerprint, Target, Wait},
    client::{Client, ClientError},
    explain::explain,
    files,
    report::{Failure, Outcome, Report},
    show,
};

/// Runs `command`; writes progress to `err`.
pub async fn run(command: Command, err: &mut dyn Write) -> Result<Report, Failure> {
    match command {
        Command::Check { files } => check(&files),
        Command::Explain { id, files } => explain(&id, &files),
        Command::Submit { file, change } => change::submit(&file, change, err).await,
        Command::Delete { service, change } => change::delete(service, change, err).await,
        Command::Outcome { node, id } => outcome(node, id).await,
        Command::Get { node, service } => get(node, &service, err).await,
        Command::List { node } => list(node).await,
        Command::Diff { node, file } => diff(node, &file).await,
        Command::Audit { node, range } => {
            let page = Client::new(node).audit(range.after, range.limit).await?;
            Ok(done(show::audit(&page), json!(page)))
        }
        Command::History {
            node,
            service,
            range,
        } => {
            let client = Client::new(node);
            let page = client.history(&service, range.after, range.limit).await?;
            Ok(done(show::history(&page), json!(page)))
        }
        Command::Status { node, wait } => status(node, wait, err).await,
        Command::Lift {
            node,
            fingerprint,
            attribution,
        } => lift(node, &fingerprint, attribution).await,
        Command::Resolve {
            node,
            service,
            key,
            found,
            attribution,
        } => resolve(node, service, key, found, attribution).await,
    }
}

fn check(files: &[PathBuf]) -> Result<Report, Failure> {
    let mut text = String::new();
    let mut checked = Vec::new();
    let mut outcome = Outcome::Done;
    for path in files {
        let parsed = Document::parse(&files::read(path)?);
        if parsed.is_err() {
            outcome = Outcome::Refused;
        }
        text.push_str(&show::checked(path, &parsed));
        checked.push(checked_json(path, &parsed));
    }
    Ok(Report {
        outcome,
        text,
        json: json!({ "files": checked }),
    })
}

fn checked_json(
    path: &Path,
    parsed: &Result<Document, laburnum_kernel::document::BadDocument>,
) -> Value {
    let file = path.display().to_string();
    match parsed {
        Ok(document) => json!({"file": file, "service": document.service, "faults": []}),
        Err(error) => {
            let faults = error.faults.iter().map(
                |it| json!({"line": it.line, "column": it.column, "error": it.kind.to_string()}),
            );
            json!({"file": file, "faults": faults.collect::<Vec<_>>()})
        }
    }
}

async fn outcome(node: Target, id: SubmitId) -> Result<Report, Failure> {
    let answer = Client::new(node).outcome(id).await?;
    let mut report = change::verdict_report(id, &answer.verdict);
    if answer.verdict == VerdictBody::Absent {
        // An absent submission is no final verdict: it may still be in transit.
        report.outcome = Outcome::Unavailable;
    }
    Ok(report)
}

async fn get(node: Target, service: &Name, err: &mut dyn Write) -> Result<Report, Failure> {
    let body = Client::new(node).service(service).await?;
    // The revision goes to `err`, so that the output is the bare document.
    let (revision, seq) = (body.revision, body.seq);
    let _ = writeln!(err, "{service}: revision {revision} at seq {seq}");
    let text = match body.text.ends_with('\n') {
        true => body.text.clone(),
        false => format!("{}\n", body.text),
    };
    Ok(done(text, json!(body)))
}

async fn list(node: Target) -> Result<Report, Failure> {
    let body = Client::new(node).list().await?;
    Ok(done(show::list(&body), json!(body)))
}

async fn diff(node: Target, file: &Path) -> Result<Report, Failure> {
    let new = files::read(file)?;
    let document = match Document::parse(&new) {
        Ok(document) => document,
        parsed => {
            return Ok(Report {
                outcome: Outcome::Refused,
                text: show::checked(file, &parsed),
                json: checked_json(file, &parsed),
            });
        }
    };
    let service = document.service;
    let (revision, old) = match Client::new(node).service(&service).await {
        Ok(body) => (body.revision.0, body.text),
        Err(error) if change::is_not_found(&error) => (0, String::new()),
        Err(error) => return Err(error.into()),
    };
    let diff = show::diff(&service, revision, &old, file, &new);
    let json = json!({"service": service, "revision": revision, "diff": diff});
    Ok(done(diff, json))
}

async fn status(node: Target, wait: Wait, err: &mut dyn Write) -> Result<Report, Failure> {
    let client = Client::new(node);
    let mut status = client.status().await?;
    let mut outcome = Outcome::Done;
    if let Wait::For(timeout) = wait {
        let target = status.seq;
        let waited = wait::wait_until_everywhere(&client, target, timeout, err).await?;
        outcome = waited.outcome();
        status = waited.status;
    }
    let quarantines = client.quarantines().await?;
    // The table may be unavailable while the rest of the status is known.
    let unknown = match client.unknown().await {
        Ok(body) => Ok(body),
        Err(ClientError::Refused { error, .. }) => Err(error),
        Err(error) => return Err(error.into()),
    };
    let mut json = json!(status);
    json["quarantines"] = json!(quarantines.quarantines);
    match &unknown {
        Ok(body) => json["unknown"] = json!(body.unknown),
        Err(error) => json["unknown_error"] = json!(error),
    }
    Ok(Report {
        outcome,
        text: show::status(&status, &quarantines, &unknown),
        json,
    })
}

async fn lift(
    node: Target,
    fingerprint: &Fingerprint,
    attribution: Attribution,
) -> Result<Report, Failure> {
    let body = LiftBody {
        author: attribution.author,
        reason: attribution.reason,
    };
    Client::new(node).lift(&fingerprint.0, &body).await?;
    let text = format!("lifted {}\n", fingerprint.0);
    Ok(done(text, json!({"lifted": fingerprint.0})))
}

async fn resolve(
    node: Target,
    service: Name,
    key: String,
    found: Found,
    attribution: Attribution,
) -> Result<Report, Failure> {
    let body = ResolveBody {
        service,
        key,
        found,
        author: attribution.author,
        reason: attribution.reason,
    };
    Client::new(node).resolve(&body).await?;
    let text = format!("resolved {} key {:?}\n", body.service, body.key);
    Ok(done(text, json!(body)))
}

fn done(text: String, json: Value) -> Report {
    Report {
        outcome: Outcome::Done,
        text,
        json,
    }
}
