//! What an entry serves to callers: jobs over HTTP.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_proto::convert::Reply;
use hemlockhook_runtime::http::read_body;
use hemlockhook_types::{JobKey, StampTable};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::control::Control;
use crate::event::{Event, JobOperation, Origin, ReplySender, Response, Submission};
use crate::request::{check_name, job_key, parse_job};
use crate::response::{HttpResponse, json, problem, reply};
use crate::settings::Limits;

/// Names a submission, so that it can be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Carries the stamps: from us with each response, from callers with each job.
pub const STAMP: &str = "hemlockhook-stamp";

/// Asks for a response before the job has ended.
const PREFER: &str = "prefer";

/// Longest time that a request is held.
const HOLD_MAX: Duration = Duration::from_secs(3_600);

/// Why a request is not taken.
#[derive(Debug)]
pub struct Refusal {
    status: StatusCode,
    kind: &'static str,
    detail: String,
}

impl Refusal {
    fn new(status: StatusCode, kind: &'static str, detail: &str) -> Self {
        Self {
            status,
            kind,
            detail: detail.to_owned(),
        }
    }

    fn into_response(self) -> HttpResponse {
        problem(self.status, self.kind, &self.detail)
    }
}

/// The callers' interface.
#[derive(Clone)]
pub struct Api {
    control: Control,
    limits: Arc<Limits>,
}

impl Api {
    /// Creates the interface over the control thread.
    pub fn new(control: Control, limits: Limits) -> Self {
        Self {
            control,
            limits: Arc::new(limits),
        }
    }

    /// Answers a request.
    pub async fn answer(self, req: Request<Incoming>) -> HttpResponse {
        let path = req.uri().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (req.method().clone(), parts.as_slice()) {
            (Method::POST, ["v1", "jobs"]) => self
                .submit(req)
                .await
                .unwrap_or_else(Refusal::into_response),
            (Method::GET, ["v1", "jobs", team, key]) => self.look(&req, team, key).await,
            (Method::DELETE, ["v1", "jobs", team, key]) => {
                self.ask(team, key, JobOperation::Cancel, HOLD_MAX).await
            }
            (Method::GET, ["v1", "stamps"]) => self.stamps().await,
            (_, ["v1", "jobs"] | ["v1", "jobs", _, _] | ["v1", "stamps"]) => {
                let detail = "the resource does not take this method";
                problem(StatusCode::METHOD_NOT_ALLOWED, "method", detail)
            }
            _ => problem(
                StatusCode::NOT_FOUND,
                "no-such-resource",
                "there is no such resource",
            ),
        }
    }

    async fn submit(&self, req: Request<Incoming>) -> Result<HttpResponse, Refusal> {
        let headers = req.headers();
        let key = single_header(headers, IDEMPOTENCY_KEY)?.ok_or_else(|| {
            let detail = "a job needs the header idempotency-key";
            Refusal::new(StatusCode::BAD_REQUEST, "idempotency-key-missing", detail)
        })?;
        let hold = preferred_wait(headers)?.unwrap_or(HOLD_MAX);
        let table = stamp_table(headers)?;

        let timeout = Duration::from_millis(self.limits.body_ms);
        let body = read_body(req.into_body(), self.limits.body_bytes, timeout)
            .await
            .map_err(|err| Refusal::new(err.status(), "body", &err.to_string()))?;
        let job = parse_job(&key, &body, &self.limits).map_err(|err| {
            Refusal::new(
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
        Ok(self.wait(&key, hold, event).await)
    }

    async fn look(&self, req: &Request<Incoming>, team: &str, key: &str) -> HttpResponse {
        match preferred_wait(req.headers()) {
            Ok(None) => self.ask(team, key, JobOperation::Query, HOLD_MAX).await,
            Ok(Some(hold)) => self.ask(team, key, JobOperation::AwaitAnswer, hold).await,
            Err(refusal) => refusal.into_response(),
        }
    }

    async fn ask(
        &self,
        team: &str,
        key: &str,
        operation: JobOperation,
        hold: Duration,
    ) -> HttpResponse {
        let checked = check_name("team", team).and_then(|()| check_name("key", key));
        if let Err(err) = checked {
            return problem(StatusCode::BAD_REQUEST, "invalid-key", &err.to_string());
        }
        let key = job_key(team, key);
        let asked = key.clone();
        let origin = Origin::Caller;
        self.wait(&key, hold, |reply_to| Event::JobOperation {
            key: asked,
            operation,
            origin,
            reply_to,
        })
        .await
    }

    async fn stamps(&self) -> HttpResponse {
        match self.control.inspect(|engine, _| engine.stamps()).await {
            Some(stamps) => {
                let response = json(StatusCode::OK, &stamps.to_string());
                with_stamps(response, &stamps)
            }
            None => stopping(),
        }
    }

    /// Waits for the engine's reply, at most for the time that the caller allows.
    async fn wait<F>(&self, key: &JobKey, hold: Duration, event: F) -> HttpResponse
    where
        F: FnOnce(ReplySender) -> Event,
    {
        let (tx, rx) = async_channel::bounded(1);
        self.control.send(event(tx));
        let answered = async { rx.recv().await.ok() };
        let expire = async {
            Timer::after(hold).await;
            Some(Response::Job {
                reply: Reply::Pending,
                stamps: Arc::default(),
            })
        };
        match answered.or(expire).await {
            Some(Response::Job {
                reply: state,
                stamps,
            }) => with_stamps(reply(key, &state), &stamps),
            _ => stopping(),
        }
    }
}

fn stopping() -> HttpResponse {
    problem(
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

/// Returns a header that may be given once at most.
fn single_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let refuse = |detail: String| Refusal::new(StatusCode::BAD_REQUEST, "invalid-header", &detail);
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

fn stamp_table(headers: &HeaderMap) -> Result<Option<StampTable>, Refusal> {
    let text = single_header(headers, STAMP)?;
    text.map(|text| text.parse()).transpose().map_err(|_| {
        let detail = "the header hemlockhook-stamp is not one that this service gave out";
        Refusal::new(StatusCode::BAD_REQUEST, "invalid-stamp", detail)
    })
}

/// Returns the time that a caller wants to wait, if it says so, from `Prefer: wait=SECONDS` of
/// RFC 7240. It is an hour at most. What is no number of seconds is refused, and so is a header that
/// is given twice.
pub fn preferred_wait(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(text) = single_header(headers, PREFER)? else {
        return Ok(None);
    };
    let preferences = text.split(',').map(str::trim);
    let mut hold = None;
    for preference in preferences {
        match preference.split_once('=') {
            Some(("wait", seconds)) => match seconds.parse() {
                Ok(seconds) => hold = Some(Duration::from_secs(seconds).min(HOLD_MAX)),
                Err(_) => {
                    let detail = "Prefer: wait takes a number of seconds";
                    return Err(Refusal::new(
                        StatusCode::BAD_REQUEST,
                        "invalid-header",
                        detail,
                    ));
                }
            },
            _ if preference == "respond-async" => hold = Some(Duration::ZERO),
            _ => {}
        }
    }
    Ok(hold)
}
