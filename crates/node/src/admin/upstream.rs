//! The part for the upstream beside the node.

use axum::{extract::State, http::StatusCode};
use laburnum_edge::api::AnnounceBody;
use laburnum_kernel::{Event, event::UpstreamEvent};

use super::{Admin, Refusal, body::Bounded};

/// `PUT /v1/upstream`
pub async fn announce(
    State(admin): State<Admin>,
    Bounded(body): Bounded<AnnounceBody>,
) -> Result<StatusCode, Refusal> {
    if let Ok(mut address) = admin.upstream.write() {
        *address = Some(body.address);
    }
    let announced = Event::Upstream(UpstreamEvent::Announced {
        service: body.service,
        slots: body.slots,
    });
    let phase = match body.ready {
        true => UpstreamEvent::Ready,
        false => UpstreamEvent::Warming,
    };
    admin.control.tell(announced)?;
    admin.control.tell(Event::Upstream(phase))?;
    Ok(StatusCode::NO_CONTENT)
}
