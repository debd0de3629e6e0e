//! Operators' endpoints for quarantines and for requests of unknown outcome.

use axum::{Json, extract::State, http::StatusCode};
use laburnum_edge::api::{
    Found, LiftBody, QuarantinesBody, ResolveBody, UnknownBody, check_attribution,
};
use laburnum_kernel::{
    Call, Reply,
    guard::{self, Fingerprint},
    once,
};

use super::{Admin, Refusal, Segment, body::JsonBody, segment};

/// `GET /v1/quarantines`
pub async fn quarantines(State(admin): State<Admin>) -> Result<Json<QuarantinesBody>, Refusal> {
    match admin.call(Call::Guard(guard::Call::List)).await? {
        Reply::Guard(guard::Reply::Listed(records)) => Ok(Json(QuarantinesBody {
            quarantines: records.into_iter().map(Into::into).collect(),
        })),
        _ => Err(Refusal::UnexpectedReply),
    }
}

/// `POST /v1/quarantines/<print>/lift`
pub async fn lift(
    State(admin): State<Admin>,
    print: Segment,
    JsonBody(body): JsonBody<LiftBody>,
) -> Result<StatusCode, Refusal> {
    check_attribution(&body.author, &body.reason)?;
    let print =
        u64::from_str_radix(&segment(print)?, 16).map_err(|_| Refusal::InvalidFingerprint)?;
    let call = guard::Call::Lift {
        print: Fingerprint(print),
        author: body.author,
        note: body.reason,
    };
    match admin.call(Call::Guard(call)).await? {
        Reply::Guard(guard::Reply::Lifted) => Ok(StatusCode::NO_CONTENT),
        Reply::Guard(guard::Reply::Absent) => Err(Refusal::NoQuarantine),
        _ => Err(Refusal::UnexpectedReply),
    }
}

/// `GET /v1/unknown`
pub async fn unknown(State(admin): State<Admin>) -> Result<Json<UnknownBody>, Refusal> {
    match admin.call(Call::Once(once::Call::List)).await? {
        Reply::Once(once::Reply::Listed(entries)) => Ok(Json(UnknownBody {
            unknown: entries.into_iter().map(Into::into).collect(),
        })),
        Reply::Once(once::Reply::Refused { why }) => Err(Refusal::Unavailable(why)),
        _ => Err(Refusal::UnexpectedReply),
    }
}

/// `POST /v1/unknown/resolve`
pub async fn resolve(
    State(admin): State<Admin>,
    JsonBody(body): JsonBody<ResolveBody>,
) -> Result<StatusCode, Refusal> {
    check_attribution(&body.author, &body.reason)?;
    let call = once::Call::Resolve {
        key: once::Key {
            service: body.service,
            text: body.key,
        },
        resolution: match body.found {
            Found::Ran => once::Resolution::Ran,
            Found::NotRun => once::Resolution::Rerun,
        },
        author: body.author,
        note: body.reason,
    };
    match admin.call(Call::Once(call)).await? {
        Reply::Once(once::Reply::Resolved) => Ok(StatusCode::NO_CONTENT),
        Reply::Once(once::Reply::Refused { why }) => Err(Refusal::NotResolvable(why)),
        _ => Err(Refusal::UnexpectedReply),
    }
}
