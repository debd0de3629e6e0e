//! Endpoints for the upstream beside the node.

use axum::{extract::State, http::StatusCode};
use laburnum_edge::api::AnnounceBody;
use laburnum_kernel::members::Phase;

use super::{Admin, Refusal, body::JsonBody};
use crate::upstream::Announcement;

/// `PUT /v1/upstream`
pub async fn announce(
    State(admin): State<Admin>,
    JsonBody(body): JsonBody<AnnounceBody>,
) -> Result<StatusCode, Refusal> {
    let phase = match body.ready {
        true => Phase::Ready,
        false => Phase::Warming,
    };
    admin.upstream.announce(Announcement {
        service: body.service,
        address: body.address,
        slots: body.slots,
        build: body.build,
        phase,
    })?;
    Ok(StatusCode::NO_CONTENT)
}

/// `DELETE /v1/upstream`
pub async fn withdraw(State(admin): State<Admin>) -> Result<StatusCode, Refusal> {
    admin.upstream.withdraw()?;
    Ok(StatusCode::NO_CONTENT)
}
