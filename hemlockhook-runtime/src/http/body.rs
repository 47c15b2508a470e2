//! Reads message bodies within limits of size and time.

use std::pin::pin;
use std::time::Duration;

use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, future};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// An error from reading a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Timeout(Duration),
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
            Self::Read(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole body of at most `max` bytes within `timeout`.
pub async fn read_body(body: Incoming, max: usize, timeout: Duration) -> Result<Bytes, BodyError> {
    // Most bodies arrive together with the head and need no timer.
    let mut body = pin!(collect(body, max));
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
