//! The operators' part: submissions, services and status.

use axum::{
    Json,
    extract::{Path, State, rejection::PathRejection},
    http::StatusCode,
};
use laburnum_edge::api::{
    ListBody, ListItem, ServiceBody, StatusBody, SubmitAnswer, SubmitBody, VerdictBody,
};
use laburnum_kernel::{
    Call, Name, Reply, SubmitId,
    accept::{self, Submission, Verdict},
    view::ServiceView,
};

use super::{Admin, Refusal, body::Bounded};

/// What became of a submission, with the status that says so.
type Told = Result<(StatusCode, Json<SubmitAnswer>), Refusal>;

/// `POST /v1/submissions`
pub async fn submit(State(admin): State<Admin>, Bounded(body): Bounded<SubmitBody>) -> Told {
    let submission = Submission::try_from(body)?;
    let id = submission.id;
    let call = Call::Accept(accept::Call::Submit(submission));
    match admin.ask(call).await {
        Ok(reply) => told(id, reply),
        // The submission is on its way: a late answer does not say that it failed.
        Err(Refusal::Late) => Ok(verdict(id, Verdict::Unknown { id })),
        Err(refusal) => Err(refusal),
    }
}

/// `GET /v1/services`
pub async fn list(State(admin): State<Admin>) -> Json<ListBody> {
    let view = admin.control.view();
    let services = view.services.iter().map(|(name, it)| item(name, it));
    Json(ListBody {
        seq: view.seq,
        services: services.collect(),
    })
}

/// `GET /v1/services/<name>`
pub async fn service(
    State(admin): State<Admin>,
    name: Result<Path<String>, PathRejection>,
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
    match admin.ask(Call::Status).await? {
        Reply::Status(status) => Ok(Json(StatusBody::from(status))),
        _ => Err(Refusal::Unexpected),
    }
}

fn segment(path: Result<Path<String>, PathRejection>) -> Result<String, Refusal> {
    path.map(|Path(it)| it).map_err(|_| Refusal::Segment)
}

fn item(name: &Name, view: &ServiceView) -> ListItem {
    ListItem {
        service: name.clone(),
        revision: view.revision,
        owner: view.document.owner.clone(),
        routes: view.document.routes.len(),
        upstreams: view.endpoints.len(),
    }
}

fn told(id: SubmitId, reply: Reply) -> Told {
    match reply {
        Reply::Accept(accept::Reply::Verdict(it)) => Ok(verdict(id, it)),
        _ => Err(Refusal::Unexpected),
    }
}

fn verdict(id: SubmitId, verdict: Verdict) -> (StatusCode, Json<SubmitAnswer>) {
    let answer = SubmitAnswer::new(id, verdict);
    let status = match answer.verdict {
        VerdictBody::Accepted { .. } => StatusCode::OK,
        VerdictBody::Conflict { .. } => StatusCode::CONFLICT,
        VerdictBody::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        VerdictBody::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        VerdictBody::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, Json(answer))
}
