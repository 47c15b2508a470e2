//! HTTP client of the platform's log service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{HttpClient, HttpError};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::log::{Batch, Log, LogError, LogFuture, Offset};
use crate::wire::{Appended, Records, Truncated};

/// Maximum number of connections to the log service.
const MAX_CONNECTIONS: usize = 8;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client of the platform's log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    timeout: Duration,
}

impl HttpLog {
    /// Creates a client of the log service at `addr`, with a timeout for each request. That of a read
    /// counts from the last part of the response that arrived.
    pub fn new(ex: Arc<Executor>, addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(ex, addr, MAX_CONNECTIONS),
            timeout,
        }
    }

    async fn append_record(&self, path: String, body: Bytes) -> Result<Offset, LogError> {
        let req = request(Request::post(path), body)?;
        let res = self
            .client
            .send(req, MAX_RESPONSE_BYTES, self.timeout)
            .await
            .map_err(|err| match err {
                HttpError::Connect(_) => LogError::Unavailable(err.to_string()),
                _ => LogError::Uncertain(err.to_string()),
            })?;

        match res.status() {
            StatusCode::OK => parse(&res)
                .map(|appended: Appended| appended.offset)
                .map_err(LogError::Uncertain),
            StatusCode::SERVICE_UNAVAILABLE => Err(LogError::Unavailable(text(&res))),
            status if status.is_client_error() => Err(LogError::Rejected(text(&res))),
            status => Err(LogError::Uncertain(format!("{status}: {}", text(&res)))),
        }
    }

    async fn read_records(&self, path: String) -> Result<Batch, LogError> {
        let req = request(Request::get(path), Bytes::new())?;
        let res = self
            .client
            .send_with_progress(req, MAX_RESPONSE_BYTES, self.timeout, self.timeout)
            .await
            .map_err(|err| LogError::Unavailable(err.to_string()))?;

        match res.status() {
            StatusCode::OK => parse(&res)
                .map(|records: Records| records.into())
                .map_err(LogError::Unavailable),
            StatusCode::GONE => {
                let truncated: Truncated = parse(&res).map_err(LogError::Unavailable)?;
                Err(LogError::Truncated {
                    first_retained: truncated.first_retained,
                })
            }
            status if status.is_client_error() => Err(LogError::Rejected(text(&res))),
            status => Err(LogError::Unavailable(format!("{status}: {}", text(&res)))),
        }
    }
}

impl Log for HttpLog {
    fn append(&self, stream: &str, body: Bytes) -> LogFuture<'_, Offset> {
        let path = format!("/v1/streams/{stream}/records");
        Box::pin(self.append_record(path, body))
    }

    fn read(&self, stream: &str, from: Offset, max: usize) -> LogFuture<'_, Batch> {
        let path = format!("/v1/streams/{stream}/records?from={from}&max={max}");
        Box::pin(self.read_records(path))
    }
}

fn request(req: http::request::Builder, body: Bytes) -> Result<Request<Full<Bytes>>, LogError> {
    req.body(Full::new(body))
        .map_err(|err| LogError::Rejected(err.to_string()))
}

fn parse<T>(res: &Response<Bytes>) -> Result<T, String>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(res.body()).map_err(|err| format!("malformed response: {err}"))
}

fn text(res: &Response<Bytes>) -> String {
    String::from_utf8_lossy(res.body()).into_owned()
}
