//! Bodies of answers, complete or truncated.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Frame, SizeHint};
use serde::Serialize;

/// Error that makes the server close the connection, before or within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stand-in cut the connection on purpose")]
pub struct ConnectionCut;

/// An answer's body.
#[derive(Clone, Debug)]
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// A part of the announced length, after which the connection is closed.
    Part(Bytes),
    /// The part was handed to the server and is being flushed.
    Flushing,
    /// Nothing more is sent.
    Ended(Result<(), ConnectionCut>),
}

/// Returns an answer with a text body.
pub fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Returns an answer with a JSON body.
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

/// Truncates `response`: announces the length of its body and sends the first half.
pub fn truncate(response: Response<Body>) -> Response<Body> {
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
    type Error = ConnectionCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionCut>>> {
        let next = match &*self {
            Body::Whole(_) => Body::Ended(Ok(())),
            Body::Part(_) => Body::Flushing,
            Body::Flushing => Body::Ended(Err(ConnectionCut)),
            Body::Ended(_) => Body::Ended(Ok(())),
        };
        match std::mem::replace(&mut *self, next) {
            Body::Whole(bytes) | Body::Part(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            // The server flushes when it has to wait. An immediate error would close the connection before the part is
            // flushed, and the caller would see no answer at all.
            Body::Flushing => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Body::Ended(Ok(())) => Poll::Ready(None),
            Body::Ended(Err(cut)) => Poll::Ready(Some(Err(cut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Ended(Ok(())))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Part(_) | Body::Flushing | Body::Ended(Err(_)) => SizeHint::default(),
            Body::Ended(Ok(())) => SizeHint::with_exact(0),
        }
    }
}
