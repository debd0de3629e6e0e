//! The operators' and the upstream's API of a node.

use axum::{
    Json, Router,
    extract::{Path, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use laburnum_edge::api::{AnnounceBody, ErrorBody, ServiceBody, SubmitAnswer, SubmitBody};
use laburnum_kernel::{
    Call, Name, Reply,
    accept::{self, Submission},
    members::Phase,
};

use crate::{
    control::{Closed, Control},
    upstream::{Announcement, Upstream},
};

/// What the API needs.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The control thread.
    pub control: Control,
    /// The upstream beside this node.
    pub upstream: Upstream,
}

impl Admin {
    /// Serves the API.
    pub fn router(self) -> Router {
        Router::new()
            .route("/livez", get(|| async { "ok\n" }))
            .route("/readyz", get(ready))
            .route("/v1/submissions", post(submit))
            .route("/v1/services/{name}", get(service))
            .route("/v1/status", get(status))
            .route("/v1/upstream", put(announce).delete(withdraw))
            .with_state(self)
    }
}

async fn ready(State(admin): State<Admin>) -> Response {
    let seq = admin.control.view().seq;
    format!("ok seq={seq}\n").into_response()
}

async fn submit(State(admin): State<Admin>, Json(body): Json<SubmitBody>) -> Response {
    let id = match body.submit_id() {
        Ok(id) => id,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let submission = Submission {
        id,
        service: body.service,
        base: body.base,
        edit: body.edit,
        author: body.author,
        reason: body.reason,
    };
    let call = Call::Accept(accept::Call::Submit(submission));
    match admin.control.call(call).await {
        Ok(Reply::Accept(accept::Reply::Verdict(verdict))) => {
            let id = id.to_string();
            Json(SubmitAnswer { id, verdict }).into_response()
        }
        Ok(_) => refuse(StatusCode::INTERNAL_SERVER_ERROR, "unexpected reply"),
        Err(error) => refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

async fn service(State(admin): State<Admin>, Path(name): Path<Name>) -> Response {
    let view = admin.control.view();
    match view.services.get(&name) {
        Some(it) => Json(ServiceBody {
            service: name,
            revision: it.revision,
            seq: view.seq,
            text: it.document.owner.clone(),
        })
        .into_response(),
        None => refuse(
            StatusCode::NOT_FOUND,
            "no such service; list them with GET /v1/services",
        ),
    }
}

async fn status(State(admin): State<Admin>) -> Response {
    match admin.control.call(Call::Status).await {
        Ok(Reply::Status(status)) => Json(status).into_response(),
        Ok(_) => refuse(StatusCode::INTERNAL_SERVER_ERROR, "unexpected reply"),
        Err(error) => refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

async fn announce(State(admin): State<Admin>, Json(body): Json<AnnounceBody>) -> Response {
    let phase = match body.ready {
        true => Phase::Ready,
        false => Phase::Warming,
    };
    let announced = admin.upstream.announce(Announcement {
        service: body.service,
        address: body.address,
        slots: body.slots,
        phase,
    });
    done(announced)
}

async fn withdraw(State(admin): State<Admin>) -> Response {
    done(admin.upstream.withdraw())
}

fn done(result: Result<(), Closed>) -> Response {
    match result {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn refuse(status: StatusCode, why: &str) -> Response {
    let error = why.to_owned();
    (status, Json(ErrorBody { error })).into_response()
}
