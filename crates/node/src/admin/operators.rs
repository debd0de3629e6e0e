//! Operators' endpoints for the configuration: submissions, services, audit and status.

use axum::{
    Json,
    extract::{Query, State, rejection::QueryRejection},
    http::StatusCode,
};
use laburnum_edge::api::{
    AUDIT_MAX, AuditBody, BadSubmission, ListBody, ListItem, ServiceBody, StatusBody, SubmitAnswer,
    SubmitBody, VerdictBody,
};
use laburnum_kernel::{
    Call, Name, Reply, Seq, SubmitId,
    accept::{self, Submission, Verdict},
    view::ServiceView,
};
use serde::Deserialize;

use super::{Admin, Refusal, Segment, body::JsonBody, segment};

/// Outcome of a submission, with its HTTP status.
type SubmitResult = Result<(StatusCode, Json<SubmitAnswer>), Refusal>;

/// `POST /v1/submissions`
pub async fn submit(
    State(admin): State<Admin>,
    JsonBody(body): JsonBody<SubmitBody>,
) -> SubmitResult {
    let submission = Submission::try_from(body)?;
    let id = submission.id;
    let call = Call::Accept(accept::Call::Submit(submission));
    match admin.call(call).await {
        Ok(reply) => submit_result(id, reply),
        // The submission was sent, so it may still be accepted.
        Err(Refusal::ReplyTimeout) => Ok(verdict_response(id, Verdict::Unknown { id })),
        Err(refusal) => Err(refusal),
    }
}

/// `GET /v1/submissions/<id>`
pub async fn outcome(State(admin): State<Admin>, id: Segment) -> SubmitResult {
    let id: SubmitId = segment(id)?.parse().map_err(BadSubmission::Id)?;
    let call = Call::Accept(accept::Call::Outcome { id });
    submit_result(id, admin.call(call).await?)
}

/// Query of `GET /v1/audit`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditQuery {
    /// Returns only changes of this service. Default: every service.
    service: Option<Name>,
    /// Returns only changes after this log position. Default: from the start.
    #[serde(default)]
    after: Seq,
    /// Maximum number of log entries. Default: 100.
    limit: Option<u32>,
}

const AUDIT_LIMIT_DEFAULT: u32 = 100;

/// `GET /v1/audit`
pub async fn audit(
    State(admin): State<Admin>,
    query: Result<Query<AuditQuery>, QueryRejection>,
) -> Result<Json<AuditBody>, Refusal> {
    let Query(query) = query.map_err(|error| Refusal::InvalidQuery(error.body_text()))?;
    let limit = query.limit.unwrap_or(AUDIT_LIMIT_DEFAULT);
    if !(1..=AUDIT_MAX).contains(&limit) {
        return Err(Refusal::LimitOutOfRange);
    }
    let call = Call::Accept(accept::Call::Audit {
        service: query.service.clone(),
        after: query.after,
        limit,
    });
    match admin.call(call).await? {
        Reply::Accept(accept::Reply::Audit(page)) => {
            Ok(Json(AuditBody::new(page, query.service.as_ref())))
        }
        Reply::Accept(accept::Reply::Unavailable { why }) => Err(Refusal::Unavailable(why)),
        _ => Err(Refusal::UnexpectedReply),
    }
}

/// `GET /v1/services`
pub async fn list(State(admin): State<Admin>) -> Json<ListBody> {
    let view = admin.control.view();
    let services = view.services.iter().map(|(name, it)| list_item(name, it));
    Json(ListBody {
        seq: view.seq,
        services: services.collect(),
    })
}

/// `GET /v1/services/<name>`
pub async fn service(
    State(admin): State<Admin>,
    name: Segment,
) -> Result<Json<ServiceBody>, Refusal> {
    let name: Name = segment(name)?.parse()?;
    let view = admin.control.view();
    let Some(it) = view.services.get(&name) else {
        return Err(Refusal::NoService(name));
    };
    Ok(Json(ServiceBody {
        service: name,
        revision: it.revision,
        seq: view.seq,
        text: it.text.as_ref().to_owned(),
    }))
}

/// `GET /v1/status`
pub async fn status(State(admin): State<Admin>) -> Result<Json<StatusBody>, Refusal> {
    match admin.call(Call::Status).await? {
        Reply::Status(status) => Ok(Json(StatusBody::from(status))),
        _ => Err(Refusal::UnexpectedReply),
    }
}

fn list_item(name: &Name, view: &ServiceView) -> ListItem {
    ListItem {
        service: name.clone(),
        revision: view.revision,
        owner: view.document.owner.clone(),
        routes: view.document.routes.len(),
        upstreams: view.endpoints.len(),
    }
}

fn submit_result(id: SubmitId, reply: Reply) -> SubmitResult {
    match reply {
        Reply::Accept(accept::Reply::Verdict(it)) => Ok(verdict_response(id, it)),
        _ => Err(Refusal::UnexpectedReply),
    }
}

fn verdict_response(id: SubmitId, verdict: Verdict) -> (StatusCode, Json<SubmitAnswer>) {
    let answer = SubmitAnswer::new(id, verdict);
    let status = match answer.verdict {
        VerdictBody::Accepted { .. } => StatusCode::OK,
        VerdictBody::Conflict { .. } => StatusCode::CONFLICT,
        VerdictBody::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        VerdictBody::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        VerdictBody::Unknown => StatusCode::GATEWAY_TIMEOUT,
        VerdictBody::Absent => StatusCode::NOT_FOUND,
    };
    (status, Json(answer))
}
