//! Client of the upstream beside this agent.

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

/// Unique for each request; the answer repeats it.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("hemlockhook-attempt-id");

/// Path to which tasks are posted.
const TASKS_PATH: &str = "/v1/tasks";

/// Longest part of an upstream's error that is passed on, in bytes.
const MAX_ERROR_BYTES: usize = 512;

/// Bounds of an [`Upstream`].
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Most connections open at once.
    pub max_connections: usize,
    /// Longest answer, in bytes.
    pub max_response_bytes: usize,
    /// Time to answer, where a call sets none.
    pub timeout: Duration,
}

/// Why a call has no result.
#[derive(Debug, Error)]
enum CallError {
    #[error("upstream: {0}")]
    Http(#[from] HttpError),
    #[error("upstream answered {status}: {text}")]
    Status { status: u16, text: String },
    #[error("upstream answered another task")]
    WrongTask,
    #[error("upstream did not say which task it answered: the header {ATTEMPT_HEADER} is missing")]
    Unnamed,
    #[error("the task's name is not fit for a header")]
    Header,
}

/// The upstream beside this agent.
#[derive(Clone)]
pub struct UpstreamClient {
    client: HttpClient,
    limits: UpstreamLimits,
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
    attempts: Arc<AtomicU64>,
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
            attempts: Arc::default(),
        }
    }

    /// Has the upstream run a task. Dropping the future stops it by closing the connection.
    pub async fn run(&self, call: Call) -> TaskResult {
        let started = self.clock.now();
        let outcome = match self.call(call).await {
            Ok(body) => TaskOutcome::Ok(Arc::from(&*body)),
            Err(err) => TaskOutcome::Failed(err.to_string()),
        };
        TaskResult {
            outcome,
            run_time: elapsed(started, self.clock.now()),
        }
    }

    async fn call(&self, call: Call) -> Result<Bytes, CallError> {
        let attempt = self.attempt_id();
        let timeout = call.timeout.unwrap_or(self.limits.timeout);
        let req = request(call, &attempt)?;
        let is_ours = |res: &Response<Bytes>| res.headers().get(ATTEMPT_HEADER) == Some(&attempt);
        let is_named = |res: &Response<Bytes>| res.headers().contains_key(ATTEMPT_HEADER);
        let res = self
            .client
            .send_checked(req, self.limits.max_response_bytes, timeout, is_ours)
            .await?;
        match res.status() {
            _ if is_named(&res) && !is_ours(&res) => Err(CallError::WrongTask),
            status if !status.is_success() => Err(CallError::Status {
                status: status.as_u16(),
                text: error_text(&res),
            }),
            _ if !is_named(&res) => Err(CallError::Unnamed),
            _ => Ok(res.into_body()),
        }
    }

    fn attempt_id(&self) -> HeaderValue {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:x}-{attempt:x}", self.incarnation);
        HeaderValue::from_str(&id).expect("hexadecimal digits are fit for a header")
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
        .map_err(|_| CallError::Header)
}

/// Encodes everything but unreserved characters and `/`.
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

fn error_text(res: &Response<Bytes>) -> String {
    let body = res.body();
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_BYTES)]);
    text.trim().to_owned()
}

fn elapsed(started: Instant, ended: Instant) -> Duration {
    ended.saturating_duration_since(started)
}
