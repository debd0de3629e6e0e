//! Checks the head of each HTTP answer before anything of the answer is used.
//!
//! The HTTP library reads answers that leave it open where their body ends: it takes an unknown transfer coding for a body
//! that ends with its connection, and ignores a length beside chunks. Passed on, such a body is not the sender's and looks
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
    /// Both a length and a transfer coding are present.
    #[error("both Content-Length and Transfer-Encoding are present")]
    LengthAndCoding,
}

/// Returns the answer if its head can be trusted.
///
/// If it cannot, the caller must close the connection: nobody knows where the next answer on it begins.
pub fn check<B>(answer: Response<B>) -> Result<Response<B>, BadHead> {
    let headers = answer.headers();
    let is_chunked = is_chunked(answer.version(), headers)?;
    match is_chunked && headers.contains_key(header::CONTENT_LENGTH) {
        true => Err(BadHead::LengthAndCoding),
        false => Ok(answer),
    }
}

/// Returns whether the body comes in chunks. Nobody asks for another coding, and one around or inside the chunks would be
/// passed on as the body.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, BadHead> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_known = value
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked");
    match is_known && values.next().is_none() && version == Version::HTTP_11 {
        true => Ok(true),
        false => Err(BadHead::Coding),
    }
}
