//! Extraction of JSON request bodies, limited in length and time.

use axum::{
    extract::{FromRequest, Request},
    http::{HeaderMap, header},
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;

use super::{Admin, Refusal};

/// A decoded JSON request body.
///
/// The limits on length and time keep a slow or endless body from holding memory and a request permit for good.
pub struct JsonBody<T>(pub T);

impl<T: DeserializeOwned> FromRequest<Admin> for JsonBody<T> {
    type Rejection = Refusal;

    async fn from_request(request: Request, admin: &Admin) -> Result<JsonBody<T>, Refusal> {
        let bounds = admin.bounds;
        let max = bounds.max_body;
        check_type(request.headers())?;
        check_length(request.headers(), max)?;
        let body = Limited::new(request.into_body(), max).collect();
        let bytes = match tokio::time::timeout(bounds.body_timeout, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(Refusal::BodyTooLong { max });
            }
            Ok(Err(_)) => return Err(Refusal::BodyTruncated),
            Err(_) => {
                let millis = bounds.body_timeout.as_millis();
                return Err(Refusal::BodyTimeout { millis });
            }
        };
        serde_json::from_slice(&bytes)
            .map(JsonBody)
            .map_err(|error| Refusal::InvalidJson(error.to_string()))
    }
}

/// Requires JSON: a web page can make an operator's browser post a form across sites, but not JSON.
fn check_type(headers: &HeaderMap) -> Result<(), Refusal> {
    let given = headers.get(header::CONTENT_TYPE);
    let essence = given
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.split(';').next())
        .map(str::trim);
    match essence {
        Some(it) if it.eq_ignore_ascii_case("application/json") => Ok(()),
        _ => Err(Refusal::ContentType),
    }
}

/// Rejects a declared length above the limit before the body is read.
fn check_length(headers: &HeaderMap, max: usize) -> Result<(), Refusal> {
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse::<u64>().ok());
    match length {
        Some(length) if length > max as u64 => Err(Refusal::BodyTooLong { max }),
        _ => Ok(()),
    }
}
