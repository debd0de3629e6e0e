//! Changes of the configuration.

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

/// Checks the file and submits it.
pub async fn submit(file: &Path, change: Change, err: &mut dyn Write) -> Result<Report, Failure> {
    let text = files::read(file)?;
    match Document::parse(&text) {
        Ok(document) => {
            let client = Client::new(change.node.clone());
            let service = document.service;
            let base = match change.base {
                Base::Revision(revision) => revision,
                Base::Latest => latest(&client, &service).await?,
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
        author: change.act.author,
        reason: change.act.reason,
    };
    let told = match submission::settle(client, change.id, &body, change.patience).await {
        Settled::Told(verdict) => verdict,
        Settled::Failed(error) => return Err(error.into()),
        Settled::Unknown => return Ok(unknown(&body)),
    };
    let mut report = told_of(&body, change.id, &told);
    if let (Wait::For(patience), VerdictBody::Accepted { seq, .. }) = (change.wait, &told) {
        let waited = wait::everywhere(client, *seq, patience, err).await?;
        report.outcome = waited.outcome();
        report.text.push_str(&waited.text());
        report.json["everywhere"] = json!(waited.done());
    }
    Ok(report)
}

/// The revision in force at the node, zero for a service that is not there.
async fn latest(client: &Client, service: &Name) -> Result<Revision, ClientError> {
    match client.service(service).await {
        Ok(body) => Ok(body.revision),
        Err(error) if absent(&error) => Ok(Revision(0)),
        Err(error) => Err(error),
    }
}

/// Whether the node said that it has no such service.
pub fn absent(error: &ClientError) -> bool {
    matches!(error, ClientError::Refused { status, .. } if *status == StatusCode::NOT_FOUND)
}

fn told_of(body: &SubmitBody, id: SubmitId, verdict: &VerdictBody) -> Report {
    let mut report = told(id, verdict);
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

/// The report of a verdict.
pub fn told(id: SubmitId, verdict: &VerdictBody) -> Report {
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

fn unknown(body: &SubmitBody) -> Report {
    let answer = SubmitAnswer {
        id: body.id.clone(),
        verdict: VerdictBody::Unknown,
    };
    let again = format!(
        "ask: laburnum-ctl outcome {id}\n\
         or submit the same again with --id {id} --base {base}; it is never applied twice\n",
        id = body.id,
        base = body.base
    );
    Report {
        outcome: Outcome::Unavailable,
        text: show::verdict(&answer) + &again,
        json: json!(answer),
    }
}
