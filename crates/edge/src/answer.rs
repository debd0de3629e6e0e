//! Checks the head of each HTTP answer before anything of the answer is used.
//!
//! The HTTP library reads answers that leave it open where their body ends: it takes an unknown transfer coding for a body
//! that ends with its connection. Passed on, such a body is not the sender's and looks
//! complete. The rules are those of RFC 9112, section 6, and RFC 9110, sections 8.6 and 15.

use http::{HeaderMap, Response, Version, header};

/// Why the head of an answer cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadHead {
    /// The bytes are not the head of an answer.
    #[error("it is no head of an HTTP answer")]
    Malformed,
    /// The transfer coding is unknown, not alone, or not allowed in the answer's HTTP version.
    #[error("Transfer-Encoding is not chunked alone")]
    Coding,
}

/// Returns the answer if its head can be trusted.
///
/// If it cannot, the caller must close the connection: nobody knows where the next answer on it begins.
pub fn check<B>(answer: Response<B>) -> Result<Response<B>, BadHead> {
    check_coding(answer.version(), answer.headers())?;
    Ok(answer)
}

/// Checks that a body with a transfer coding comes in chunks. Nobody asks for another coding, and one around or inside the chunks would be
/// passed on as the body.
fn check_coding(version: Version, headers: &HeaderMap) -> Result<(), BadHead> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return Ok(());
    };
    let is_known = value
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked");
    match is_known && values.next().is_none() && version == Version::HTTP_11 {
        true => Ok(()),
        false => Err(BadHead::Coding),
    }
}
