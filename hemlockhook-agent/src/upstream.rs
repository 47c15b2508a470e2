//! HTTP client of the agent's upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use thiserror::Error;

use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{HttpClient, HttpError};
use hemlockhook_types::{Clock, Incarnation, TaskOutcome, TaskResult};

use crate::engine::Call;

/// The job's key, percent-encoded.
pub const JOB_HEADER: HeaderName = HeaderName::from_static("hemlockhook-job");

/// The task's index in its job.
pub const TASK_HEADER: HeaderName = HeaderName::from_static("hemlockhook-task");

/// The job's service, percent-encoded.
pub const SERVICE_HEADER: HeaderName = HeaderName::from_static("hemlockhook-service");

/// Identifier that is unique for each request. The upstream repeats it in its response.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("hemlockhook-attempt-id");

/// Path of task requests.
const TASKS_PATH: &str = "/v1/tasks";

/// Maximum length of the excerpt from an upstream's error response, in bytes.
const MAX_ERROR_BYTES: usize = 512;

/// Limits of an [`UpstreamClient`].
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a response body, in bytes.
    pub max_response_bytes: usize,
    /// Time for the upstream to respond, if a call does not set one.
    pub timeout: Duration,
}

/// Reason why a call failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("upstream: {0}")]
    Http(#[from] HttpError),
    #[error("upstream answered {status}: {text}")]
    Status { status: u16, text: String },
    #[error("upstream answered another task")]
    AttemptMismatch,
    #[error("upstream did not say which task it answered: the header {ATTEMPT_HEADER} is missing")]
    MissingAttemptId,
    #[error("the task's name is not fit for a header")]
    InvalidHeader,
}

/// Client that sends tasks to the upstream.
#[derive(Clone)]
pub struct UpstreamClient {
    client: HttpClient,
    limits: UpstreamLimits,
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
    next_attempt: Arc<AtomicU64>,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `addr`. Connections are opened as calls need them.
    pub fn new(
        ex: Arc<Executor>,
        addr: SocketAddr,
        limits: UpstreamLimits,
        clock: Arc<dyn Clock>,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            client: HttpClient::new(ex, addr, limits.max_connections),
            limits,
            clock,
            incarnation,
            next_attempt: Arc::default(),
        }
    }

    /// Runs a task on the upstream. Dropping the future stops the task by closing the connection.
    pub async fn run(&self, call: Call) -> TaskResult {
        let started = self.clock.now();
        let outcome = match self.send_call(call).await {
            Ok(body) => TaskOutcome::Ok(Arc::from(&*body)),
            Err(err) => TaskOutcome::Failed(err.to_string()),
        };
        TaskResult {
            outcome,
            run_time: elapsed(started, self.clock.now()),
        }
    }

    async fn send_call(&self, call: Call) -> Result<Bytes, CallError> {
        let attempt = self.attempt_id();
        let timeout = call.timeout.unwrap_or(self.limits.timeout);
        let req = request(call, &attempt)?;
        let is_matching =
            |res: &Response<Bytes>| res.headers().get(ATTEMPT_HEADER) == Some(&attempt);
        let has_attempt_id = |res: &Response<Bytes>| res.headers().contains_key(ATTEMPT_HEADER);
        let res = self
            .client
            .send_checked(req, self.limits.max_response_bytes, timeout, is_matching)
            .await?;
        match res.status() {
            _ if has_attempt_id(&res) && !is_matching(&res) => Err(CallError::AttemptMismatch),
            status if !status.is_success() => Err(CallError::Status {
                status: status.as_u16(),
                text: error_excerpt(&res),
            }),
            _ if !has_attempt_id(&res) => Err(CallError::MissingAttemptId),
            _ => Ok(res.into_body()),
        }
    }

    fn attempt_id(&self) -> HeaderValue {
        let attempt = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:x}-{attempt:x}", self.incarnation);
        HeaderValue::from_str(&id).expect("hexadecimal digits are valid in a header")
    }
}

fn request(call: Call, attempt: &HeaderValue) -> Result<Request<Full<Bytes>>, CallError> {
    Request::post(TASKS_PATH)
        .header(CONTENT_TYPE, "application/octet-stream")
        .header(JOB_HEADER, percent_encode(&call.key))
        .header(TASK_HEADER, call.index)
        .header(SERVICE_HEADER, percent_encode(&call.service))
        .header(ATTEMPT_HEADER, attempt)
        .body(Full::new(call.payload))
        .map_err(|_| CallError::InvalidHeader)
}

/// Percent-encodes all bytes except unreserved characters and `/`.
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                out.push(char::from(byte));
            }
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

fn error_excerpt(res: &Response<Bytes>) -> String {
    let body = res.body();
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_BYTES)]);
    text.trim().to_owned()
}

fn elapsed(started: Instant, ended: Instant) -> Duration {
    ended.saturating_duration_since(started)
}
