//! Bodies of answers, whole or cut short.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Frame, SizeHint};
use serde::Serialize;

/// The connection ends here, without or within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stand-in cut the connection on purpose")]
pub struct Cut;

/// An answer's body.
#[derive(Clone, Debug)]
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// A part of what the length header promises, then the connection ends.
    Part(Bytes),
    /// The part is being sent.
    Pause,
    /// Everything was sent that will be.
    Over(Result<(), Cut>),
}

/// Answers with a text.
pub fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Answers with JSON.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(body) {
        Ok(json) => {
            let mut response = text(status, json);
            let kind = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Promises the whole of `response` and sends the first half of its body.
pub fn cut(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let Body::Whole(bytes) = body else {
        return Response::from_parts(parts, body);
    };
    let length = HeaderValue::from(bytes.len().max(1));
    parts.headers.insert(header::CONTENT_LENGTH, length);
    let half = bytes.slice(..bytes.len() / 2);
    Response::from_parts(parts, Body::Part(half))
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let next = match &*self {
            Body::Whole(_) => Body::Over(Ok(())),
            Body::Part(_) => Body::Pause,
            Body::Pause => Body::Over(Err(Cut)),
            Body::Over(_) => Body::Over(Ok(())),
        };
        match std::mem::replace(&mut *self, next) {
            Body::Whole(bytes) | Body::Part(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            // An error at once would end the connection before the server flushed the part, and the
            // caller would see no answer where it should see half of one. The server flushes whenever
            // it has to wait.
            Body::Pause => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Body::Over(Ok(())) => Poll::Ready(None),
            Body::Over(Err(cut)) => Poll::Ready(Some(Err(cut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Over(Ok(())))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Part(_) | Body::Pause | Body::Over(Err(_)) => SizeHint::default(),
            Body::Over(Ok(())) => SizeHint::with_exact(0),
        }
    }
}
