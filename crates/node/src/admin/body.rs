//! Request bodies in JSON, bounded in length and time.

use axum::{
    extract::{FromRequest, Request},
    http::{HeaderMap, header},
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;

use super::{Admin, Refusal};

/// A body read whole and decoded.
///
/// A caller that never ends its body, or ends it too late, would otherwise hold memory and one of the API's
/// places for good; the bounds give both back.
pub struct Bounded<T>(pub T);

impl<T: DeserializeOwned> FromRequest<Admin> for Bounded<T> {
    type Rejection = Refusal;

    async fn from_request(request: Request, admin: &Admin) -> Result<Bounded<T>, Refusal> {
        let bounds = admin.bounds;
        let max = bounds.body;
        check_type(request.headers())?;
        check_length(request.headers(), max)?;
        let body = Limited::new(request.into_body(), max).collect();
        let bytes = match tokio::time::timeout(bounds.arrival, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Refusal::Long { max }),
            Ok(Err(_)) => return Err(Refusal::Broken),
            Err(_) => {
                let millis = bounds.arrival.as_millis();
                return Err(Refusal::Slow { millis });
            }
        };
        serde_json::from_slice(&bytes)
            .map(Bounded)
            .map_err(|error| Refusal::Json(error.to_string()))
    }
}

/// A web page may make an operator's browser post a form here, but not JSON.
fn check_type(headers: &HeaderMap) -> Result<(), Refusal> {
    let given = headers.get(header::CONTENT_TYPE);
    let essence = given
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.split(';').next())
        .map(str::trim);
    match essence {
        Some(it) if it.eq_ignore_ascii_case("application/json") => Ok(()),
        _ => Err(Refusal::Type),
    }
}

/// Refuses a declared length before a byte of the body is read.
fn check_length(headers: &HeaderMap, max: usize) -> Result<(), Refusal> {
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse::<u64>().ok());
    match length {
        Some(length) if length > max as u64 => Err(Refusal::Long { max }),
        _ => Ok(()),
    }
}
