//! Checks the head of each HTTP answer before anything of the answer is used.
//!
//! The HTTP library reads answers that leave it open where their body ends: it takes an unknown transfer coding for a body
//! that ends with its connection, and ignores a length beside chunks. Passed on, such a body is not the sender's and looks
//! complete. The rules are those of RFC 9112, section 6, and RFC 9110, sections 8.6 and 15.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::{
    self, Client,
    connect::{HttpConnector, capture_connection},
};

/// Why the head of an answer cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadHead {
    /// The bytes are not the head of an answer.
    #[error("it is no head of an HTTP answer")]
    Malformed,
    /// The head does not end, or interim answers come without end.
    #[error("its end does not come")]
    Endless,
    /// The status is interim, switches protocols, or does not exist.
    #[error("the status {0} cannot end a request")]
    Status(u16),
    /// The lengths differ or one is not a number.
    #[error("Content-Length is not one number")]
    Length,
    /// The transfer coding is unknown, not alone, or not allowed in the answer's HTTP version.
    #[error("Transfer-Encoding is not chunked alone")]
    Coding,
    /// Both a length and a transfer coding are present.
    #[error("both Content-Length and Transfer-Encoding are present")]
    LengthAndCoding,
    /// A body is announced, which the status forbids.
    #[error("the status {0} forbids the body that is announced")]
    Body(u16),
    /// Nothing tells the length, but a field has almost the name of one that does.
    #[error("no length is given, but a field has almost the name {0}")]
    Misspelt(&'static str),
}

/// Maximum number of edits by which a name counts as misspelt. The nearest name in use, content-range, is four edits away.
const MISSPELT_MAX: usize = 2;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By nothing in the head: by the end of the connection or, in HTTP/2, of the stream.
    Unframed,
}

/// Why a request got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("{0}")]
    Connect(legacy::Error),
    /// The connection failed before the head of the answer; the request may have been received.
    #[error("{0}")]
    Lost(legacy::Error),
    /// The head of the answer cannot be trusted; the request may have been received.
    #[error("the answer was dropped: {0}; mend its sender")]
    Head(BadHead),
}

/// Sends `request` and returns its answer if the head can be trusted, or else closes the connection.
pub async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    let method = request.method().clone();
    let connection = capture_connection(&mut request);
    let answer = client.request(request).await;
    let answer = answer.map_err(|error| match error.is_connect() {
        true => SendError::Connect(error),
        false => SendError::Lost(error),
    })?;
    check(&method, answer).map_err(|fault| {
        // The client would read the rest of the body and use the connection again.
        if let Some(it) = connection.connection_metadata().as_ref() {
            it.poison();
        }
        SendError::Head(fault)
    })
}

/// Returns the answer to a request of `method` if its head can be trusted, with its length, if any, in one field.
///
/// If it cannot, the caller must close the connection: nobody knows where the next answer on it begins.
pub fn check<B>(method: &Method, mut answer: Response<B>) -> Result<Response<B>, BadHead> {
    let (status, version) = (answer.status(), answer.version());
    if !(200..600).contains(&status.as_u16()) {
        return Err(BadHead::Status(status.as_u16()));
    }
    let headers = answer.headers_mut();
    let framing = framing(version, headers)?;
    check_status(status, framing)?;
    // The answer to HEAD and a 304 have the fields of a body that is not sent.
    let has_body = method != Method::HEAD
        && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    match framing {
        Framing::Length(length) => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        Framing::Unframed if has_body && version < Version::HTTP_2 => check_names(headers)?,
        Framing::Chunked | Framing::Unframed => {}
    }
    Ok(answer)
}

fn framing(version: Version, headers: &HeaderMap) -> Result<Framing, BadHead> {
    let length = length(headers)?;
    let is_chunked = is_chunked(version, headers)?;
    match (length, is_chunked) {
        (Some(_), true) => Err(BadHead::LengthAndCoding),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) => Ok(Framing::Chunked),
        (None, false) => Ok(Framing::Unframed),
    }
}

/// Returns the length that all values of the field agree on.
fn length(headers: &HeaderMap) -> Result<Option<u64>, BadHead> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        for text in value.as_bytes().split(|it| *it == b',') {
            let it = parse_length(text.trim_ascii()).ok_or(BadHead::Length)?;
            if *length.get_or_insert(it) != it {
                return Err(BadHead::Length);
            }
        }
    }
    Ok(length)
}

/// Parses a length. The standard parser would accept a sign.
fn parse_length(text: &[u8]) -> Option<u64> {
    let digits = str::from_utf8(text).ok()?;
    match digits.bytes().all(|it| it.is_ascii_digit()) {
        true => digits.parse().ok(),
        false => None,
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

/// Checks that a status that forbids a body announces none.
fn check_status(status: StatusCode, framing: Framing) -> Result<(), BadHead> {
    match (status, framing) {
        (StatusCode::NO_CONTENT, Framing::Chunked | Framing::Length(1..)) => {
            Err(BadHead::Body(status.as_u16()))
        }
        _ => Ok(()),
    }
}

/// Checks that the length is not missing because the name of its field was spoilt.
fn check_names(headers: &HeaderMap) -> Result<(), BadHead> {
    for framing in ["content-length", "transfer-encoding"] {
        let is_misspelt = |name: &str| {
            // Applications use names such as x-content-length for other lengths.
            !name.starts_with("x-") && strsim::osa_distance(name, framing) <= MISSPELT_MAX
        };
        if headers.keys().any(|it| is_misspelt(it.as_str())) {
            return Err(BadHead::Misspelt(framing));
        }
    }
    Ok(())
}
