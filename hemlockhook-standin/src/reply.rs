//! Responses of the stand-ins, including truncated ones.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;
use thiserror::Error;

/// A response, or an error that closes the connection without one.
pub(crate) type Reply = Result<Response<ReplyBody>, ConnectionClosed>;

/// The error with which a stand-in closes a connection as an injected fault.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection is closed by an injected fault")]
pub(crate) struct ConnectionClosed;

/// The body of a response.
#[derive(Debug, Default)]
pub(crate) struct ReplyBody {
    data: Bytes,
    /// Number of bytes that `Content-Length` announces beyond `data`. If it is not 0, the
    /// connection is closed after `data`.
    withheld: u64,
}

impl ReplyBody {
    /// Creates a body of which only the first half is sent before the connection is closed.
    pub(crate) fn truncated(data: Bytes) -> Self {
        let sent = data.slice(..data.len() / 2);
        Self {
            withheld: (data.len() - sent.len()).max(1) as u64,
            data: sent,
        }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(data: Bytes) -> Self {
        Self { data, withheld: 0 }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        let data = std::mem::take(&mut self.data);
        match data.is_empty() {
            false => Poll::Ready(Some(Ok(Frame::data(data)))),
            true if self.withheld > 0 => Poll::Ready(Some(Err(ConnectionClosed))),
            true => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.withheld == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64 + self.withheld)
    }
}

/// Returns a JSON response.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Reply
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).expect("the messages serialize to JSON");
    Ok(respond(status, "application/json", body.into()))
}

/// Returns a plain-text response.
pub(crate) fn text(status: StatusCode, message: impl Into<String>) -> Reply {
    let body = message.into();
    Ok(respond(status, "text/plain; charset=utf-8", body.into()))
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(body.into())
        .expect("the content type is a valid header value")
}
