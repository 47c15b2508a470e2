//! The HTTP interface for callers: submitting, querying and cancelling jobs.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_proto::convert::Reply;
use hemlockhook_runtime::http::read_body;
use hemlockhook_types::{JobKey, StampTable};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::control::ControlHandle;
use crate::event::{Event, JobOperation, Origin, ReplySender, Response, Submission};
use crate::request::{check_name, job_key, parse_job};
use crate::response::{HttpResponse, job_response, json_response, problem_response};
use crate::settings::Limits;

/// Request header that identifies a submission, so that a repeated one starts nothing again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that carries the stamps: responses give them out, and callers return them with each job.
pub const STAMP: &str = "hemlockhook-stamp";

/// Request header that limits the wait for the job to end.
const PREFER: &str = "prefer";

/// Longest time for which a request waits for the answer to its job.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Reason why a request is rejected.
#[derive(Debug)]
pub struct ApiError {
    status: StatusCode,
    kind: &'static str,
    detail: String,
}

impl ApiError {
    fn new(status: StatusCode, kind: &'static str, detail: &str) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_owned(),
        }
    }

    fn into_response(self) -> HttpResponse {
        problem_response(self.status, self.kind, &self.detail)
    }
}

/// The HTTP handler for callers.
#[derive(Clone)]
pub struct CallerApi {
    control: ControlHandle,
    limits: Arc<Limits>,
}

impl CallerApi {
    /// Creates a handler that sends requests to the control thread.
    pub fn new(control: ControlHandle, limits: Limits) -> Self {
        Self {
            control,
            limits: Arc::new(limits),
        }
    }

    /// Handles a request.
    pub async fn handle(self, req: Request<Incoming>) -> HttpResponse {
        let path = req.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::POST, ["v1", "jobs"]) => self
                .submit(req)
                .await
                .unwrap_or_else(ApiError::into_response),
            (Method::GET, ["v1", "jobs", team, key]) => self.query_job(&req, team, key).await,
            (Method::DELETE, ["v1", "jobs", team, key]) => {
                self.job_operation(team, key, JobOperation::Cancel, MAX_WAIT)
                    .await
            }
            (Method::GET, ["v1", "stamps"]) => self.stamps().await,
            (_, ["v1", "jobs"] | ["v1", "jobs", _, _] | ["v1", "stamps"]) => {
                let detail = "the resource does not take this method";
                problem_response(StatusCode::METHOD_NOT_ALLOWED, "method", detail)
            }
            _ => problem_response(
                StatusCode::NOT_FOUND,
                "no-such-resource",
                "there is no such resource",
            ),
        }
    }

    async fn submit(&self, req: Request<Incoming>) -> Result<HttpResponse, ApiError> {
        let headers = req.headers();
        let key = single_header(headers, IDEMPOTENCY_KEY)?.ok_or_else(|| {
            let detail = "a job needs the header idempotency-key";
            ApiError::new(StatusCode::BAD_REQUEST, "idempotency-key-missing", detail)
        })?;
        let max_wait = preferred_wait(headers)?.unwrap_or(MAX_WAIT);
        let table = stamp_table(headers)?;

        let timeout = Duration::from_millis(self.limits.body_ms);
        let body = read_body(req.into_body(), self.limits.body_bytes, timeout)
            .await
            .map_err(|err| ApiError::new(err.status(), "body", &err.to_string()))?;
        let job = parse_job(&key, &body, &self.limits).map_err(|err| {
            ApiError::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "invalid-job",
                &err.to_string(),
            )
        })?;

        let key = job.key.clone();
        let stamp = table.and_then(|table| table.stamp(&key));
        let submission = Submission {
            job: Arc::new(job),
            body,
            stamp,
        };
        let origin = Origin::Caller;
        let event = |reply_to| Event::Submit {
            submission,
            origin,
            reply_to,
        };
        Ok(self.await_reply(&key, max_wait, event).await)
    }

    async fn query_job(&self, req: &Request<Incoming>, team: &str, key: &str) -> HttpResponse {
        match preferred_wait(req.headers()) {
            Ok(None) => {
                self.job_operation(team, key, JobOperation::Query, MAX_WAIT)
                    .await
            }
            Ok(Some(max_wait)) => {
                self.job_operation(team, key, JobOperation::AwaitAnswer, max_wait)
                    .await
            }
            Err(err) => err.into_response(),
        }
    }

    async fn job_operation(
        &self,
        team: &str,
        key: &str,
        operation: JobOperation,
        max_wait: Duration,
    ) -> HttpResponse {
        let checked = check_name("team", team).and_then(|()| check_name("key", key));
        if let Err(err) = checked {
            return problem_response(StatusCode::BAD_REQUEST, "invalid-key", &err.to_string());
        }
        let key = job_key(team, key);
        let event_key = key.clone();
        let origin = Origin::Caller;
        self.await_reply(&key, max_wait, |reply_to| Event::JobOperation {
            key: event_key,
            operation,
            origin,
            reply_to,
        })
        .await
    }

    async fn stamps(&self) -> HttpResponse {
        match self.control.inspect(|engine, _| engine.stamps()).await {
            Some(stamps) => {
                let response = json_response(StatusCode::OK, &stamps.to_string());
                with_stamps(response, &stamps)
            }
            None => stopping_response(),
        }
    }

    /// Sends an event to the engine and waits for its reply. After `max_wait` the job is reported
    /// as pending.
    async fn await_reply<F>(&self, key: &JobKey, max_wait: Duration, event: F) -> HttpResponse
    where
        F: FnOnce(ReplySender) -> Event,
    {
        let (tx, rx) = async_channel::bounded(1);
        self.control.send(event(tx));
        let reply = async { rx.recv().await.ok() };
        let expire = async {
            Timer::after(max_wait).await;
            Some(Response::Job {
                reply: Reply::Pending,
                stamps: Arc::default(),
            })
        };
        match reply.or(expire).await {
            Some(Response::Job {
                reply: state,
                stamps,
            }) => with_stamps(job_response(key, &state), &stamps),
            _ => stopping_response(),
        }
    }
}

fn stopping_response() -> HttpResponse {
    problem_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        "the entry is stopping",
    )
}

fn with_stamps(mut response: HttpResponse, stamps: &StampTable) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(&stamps.to_string())
        && !stamps.is_empty()
    {
        response.headers_mut().insert(STAMP, value);
    }
    response
}

/// Returns the value of a header that may occur at most once.
fn single_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, ApiError> {
    let refuse = |detail: String| ApiError::new(StatusCode::BAD_REQUEST, "invalid-header", &detail);
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(refuse(format!("the header {name} is given more than once"))),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text.to_owned())),
            Err(_) => Err(refuse(format!("the header {name} is not visible ASCII"))),
        },
    }
}

fn stamp_table(headers: &HeaderMap) -> Result<Option<StampTable>, ApiError> {
    let text = single_header(headers, STAMP)?;
    text.map(|text| text.parse()).transpose().map_err(|_| {
        let detail = "the header hemlockhook-stamp is not one that this service gave out";
        ApiError::new(StatusCode::BAD_REQUEST, "invalid-stamp", detail)
    })
}

/// Returns how long a caller prefers to wait, from the preference `wait=SECONDS` or `respond-async`
/// in the `Prefer` header of RFC 7240. Longer times are shortened to an hour. A value that is not a
/// number of seconds is rejected, and so is a repeated header.
pub fn preferred_wait(headers: &HeaderMap) -> Result<Option<Duration>, ApiError> {
    let Some(text) = single_header(headers, PREFER)? else {
        return Ok(None);
    };
    let preferences = text.split(',').map(str::trim);
    let mut max_wait = None;
    for preference in preferences {
        match preference.split_once('=') {
            Some(("wait", seconds)) => match seconds.parse() {
                Ok(seconds) => max_wait = Some(Duration::from_secs(seconds).min(MAX_WAIT)),
                Err(_) => {
                    let detail = "Prefer: wait takes a number of seconds";
                    return Err(ApiError::new(
                        StatusCode::BAD_REQUEST,
                        "invalid-header",
                        detail,
                    ));
                }
            },
            _ if preference == "respond-async" => max_wait = Some(Duration::ZERO),
            _ => {}
        }
    }
    Ok(max_wait)
}
