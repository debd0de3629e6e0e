//! Commands that change the configuration: `submit` and `delete`.

use std::{io::Write, path::Path};

use http::StatusCode;
use laburnum_edge::api::{SubmitAnswer, SubmitBody, VerdictBody};
use laburnum_kernel::{Name, Revision, SubmitId, document::Document, log::Edit};
use serde_json::json;

use super::wait;
use crate::{
    cli::{Base, Change, Wait},
    client::{Client, ClientError},
    files,
    report::{Failure, Outcome, Report},
    show,
    submission::{self, Settled},
};

/// Checks and submits a document file.
pub async fn submit(file: &Path, change: Change, err: &mut dyn Write) -> Result<Report, Failure> {
    let text = files::read(file)?;
    match Document::parse(&text) {
        Ok(document) => {
            let client = Client::new(change.node.clone());
            let service = document.service;
            let base = match change.base {
                Base::Revision(revision) => revision,
                Base::Latest => latest_revision(&client, &service).await?,
            };
            let edit = Edit::Put { text };
            send(&client, service, base, edit, change, err).await
        }
        parsed => Ok(Report {
            outcome: Outcome::Refused,
            text: show::checked(file, &parsed),
            json: super::checked_json(file, &parsed),
        }),
    }
}

/// Submits the deletion of a service.
pub async fn delete(service: Name, change: Change, err: &mut dyn Write) -> Result<Report, Failure> {
    let client = Client::new(change.node.clone());
    let base = match change.base {
        Base::Revision(revision) => revision,
        Base::Latest => client.service(&service).await?.revision,
    };
    send(&client, service, base, Edit::Delete, change, err).await
}

async fn send(
    client: &Client,
    service: Name,
    base: Revision,
    edit: Edit,
    change: Change,
    err: &mut dyn Write,
) -> Result<Report, Failure> {
    let body = SubmitBody {
        id: change.id.to_string(),
        service,
        base,
        edit,
        author: change.attribution.author,
        reason: change.attribution.reason,
    };
    let verdict =
        match submission::submit_with_retries(client, change.id, &body, change.retry_limit).await {
            Settled::Verdict(verdict) => verdict,
            Settled::Failed(error) => return Err(error.into()),
            Settled::Unknown => return Ok(unknown_report(&body)),
        };
    let mut report = verdict_report_with_hint(&body, change.id, &verdict);
    if let (Wait::For(timeout), VerdictBody::Accepted { seq, .. }) = (change.wait, &verdict) {
        let waited = wait::wait_until_everywhere(client, *seq, timeout, err).await?;
        report.outcome = waited.outcome();
        report.text.push_str(&waited.text());
        report.json["everywhere"] = json!(waited.is_everywhere());
    }
    Ok(report)
}

/// Returns the revision in force at the node, zero for a service that does not exist.
async fn latest_revision(client: &Client, service: &Name) -> Result<Revision, ClientError> {
    match client.service(service).await {
        Ok(body) => Ok(body.revision),
        Err(error) if is_not_found(&error) => Ok(Revision(0)),
        Err(error) => Err(error),
    }
}

/// Returns whether the node answered that it has no such service.
pub fn is_not_found(error: &ClientError) -> bool {
    matches!(error, ClientError::Refused { status, .. } if *status == StatusCode::NOT_FOUND)
}

/// Returns the report of a verdict; on a conflict, it says how to resubmit.
fn verdict_report_with_hint(body: &SubmitBody, id: SubmitId, verdict: &VerdictBody) -> Report {
    let mut report = verdict_report(id, verdict);
    let service = &body.service;
    match verdict {
        VerdictBody::Conflict { revision, .. } if *revision == Revision(0) => {
            report.text.push_str("to make it anew, submit it with --base 0\n");
        }
        VerdictBody::Conflict { revision, .. } => report.text.push_str(&format!(
            "read it with \"laburnum-ctl get {service}\", merge, and submit again with --base {revision}\n"
        )),
        _ => {}
    }
    report
}

/// Returns the report of a verdict.
pub fn verdict_report(id: SubmitId, verdict: &VerdictBody) -> Report {
    let outcome = match verdict {
        VerdictBody::Accepted { .. } => Outcome::Done,
        VerdictBody::Refused { .. } => Outcome::Refused,
        VerdictBody::Conflict { .. } => Outcome::Conflict,
        VerdictBody::Unavailable { .. } | VerdictBody::Unknown | VerdictBody::Absent => {
            Outcome::Unavailable
        }
    };
    let answer = SubmitAnswer {
        id: id.to_string(),
        verdict: verdict.clone(),
    };
    Report {
        outcome,
        text: show::verdict(&answer),
        json: json!(answer),
    }
}

/// Returns the report of an unknown outcome, with the commands to learn it or to resubmit.
fn unknown_report(body: &SubmitBody) -> Report {
    let answer = SubmitAnswer {
        id: body.id.clone(),
        verdict: VerdictBody::Unknown,
    };
    let hint = format!(
        "ask: laburnum-ctl outcome {id}\n\
         or submit the same again with --id {id} --base {base}; it is never applied twice\n",
        id = body.id,
        base = body.base
    );
    Report {
        outcome: Outcome::Unavailable,
        text: show::verdict(&answer) + &hint,
        json: json!(answer),
    }
}
