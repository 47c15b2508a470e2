//! Reads message bodies within limits of size and time.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, future};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

use super::ledger::Phase;
use super::memory::{BodyMemory, Held};

/// An error from reading a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Timeout(Duration),
    /// The memory for requests is exhausted, and this body has waited longest for its end.
    #[error("the memory for requests is exhausted")]
    Overloaded,
    /// The connection failed, or the body is malformed.
    #[error("the body could not be read: {0}")]
    Read(#[from] hyper::Error),
}

impl BodyError {
    /// Returns the status of a server's response to this error.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::Read(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole body of at most `max` bytes within `timeout`.
pub async fn read_body(body: Incoming, max: usize, timeout: Duration) -> Result<Bytes, BodyError> {
    with_timeout(collect(body, max), timeout).await
}

/// Reads a whole body like [`read_body`], and counts it in the memory of its connection.
///
/// The frames are copied into one buffer, since a frame keeps the whole read buffer that it is a part
/// of. The bytes stay counted until the response.
pub async fn read_counted_body(
    memory: Option<BodyMemory>,
    body: Incoming,
    max: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let Some(BodyMemory(held)) = memory else {
        return read_body(body, max, timeout).await;
    };
    held.set_phase(Phase::Body);
    let res = with_timeout(collect_counted(&held, body, max), timeout).await;
    if res.is_err() {
        held.release();
    }
    res
}

async fn collect_counted(held: &Held, mut body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > max as u64 {
        return Err(BodyError::TooLarge(max));
    }
    let expected = hint.exact().map_or(max, |len| len as usize);
    let mut received = 0;
    loop {
        let frame = poll_fn(|cx| match held.poll_given_up(cx) {
            Poll::Ready(()) => Poll::Ready(Err(BodyError::Overloaded)),
            Poll::Pending => Pin::new(&mut body).poll_frame(cx).map(Ok),
        });
        let Some(frame) = frame.await? else {
            return held.take().ok_or(BodyError::Overloaded);
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        received += data.len();
        if received > max {
            return Err(BodyError::TooLarge(max));
        }
        if !held.append(&data, expected) {
            return Err(BodyError::Overloaded);
        }
    }
}

async fn with_timeout<F>(body: F, timeout: Duration) -> Result<Bytes, BodyError>
where
    F: Future<Output = Result<Bytes, BodyError>>,
{
    // Most bodies arrive together with the head and need no timer.
    let mut body = pin!(body);
    if let Some(res) = future::poll_once(body.as_mut()).await {
        return res;
    }
    let expire = async {
        Timer::after(timeout).await;
        Err(BodyError::Timeout(timeout))
    };
    body.or(expire).await
}

/// Reads a whole body of at most `max` bytes.
async fn collect(body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    collect_with(body, max, || {}).await
}

/// Reads a whole body of at most `max` bytes. Calls `on_data` whenever a part of it has arrived.
pub(crate) async fn collect_with<F>(
    mut body: Incoming,
    max: usize,
    on_data: F,
) -> Result<Bytes, BodyError>
where
    F: Fn(),
{
    if body.size_hint().lower() > max as u64 {
        return Err(BodyError::TooLarge(max));
    }

    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        on_data();
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.len() + rest.len() + data.len() > max {
            return Err(BodyError::TooLarge(max));
        }
        // A body that arrives in one frame is returned without a copy.
        match first.is_empty() {
            true => first = data,
            false => rest.extend_from_slice(&data),
        }
    }

    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}
