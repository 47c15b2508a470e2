//! Replies of the stand-ins, whole and broken.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;
use thiserror::Error;

/// A reply, or the end of the connection in place of one.
pub(crate) type Reply = Result<Response<ReplyBody>, Closed>;

/// Says that a stand-in closes the connection as a fault.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection is closed as a fault")]
pub(crate) struct Closed;

/// The body of a reply.
#[derive(Debug, Default)]
pub(crate) struct ReplyBody {
    data: Bytes,
    /// Bytes that are announced and never sent: the connection is closed instead.
    missing: u64,
}

impl ReplyBody {
    /// Creates a body of which only the first half is sent.
    pub(crate) fn half(data: Bytes) -> Self {
        let sent = data.slice(..data.len() / 2);
        Self {
            missing: (data.len() - sent.len()).max(1) as u64,
            data: sent,
        }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(data: Bytes) -> Self {
        Self { data, missing: 0 }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        let data = std::mem::take(&mut self.data);
        match data.is_empty() {
            false => Poll::Ready(Some(Ok(Frame::data(data)))),
            true if self.missing > 0 => Poll::Ready(Some(Err(Closed))),
            true => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.missing == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64 + self.missing)
    }
}

/// Returns a JSON reply.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Reply
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).expect("the messages have string keys");
    Ok(respond(status, "application/json", body.into()))
}

/// Returns a reply of plain text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Reply {
    let body = text.into();
    Ok(respond(status, "text/plain; charset=utf-8", body.into()))
}

fn respond(status: StatusCode, kind: &'static str, body: Bytes) -> Response<ReplyBody> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, kind)
        .body(body.into())
        .expect("the status and the type are valid")
}
