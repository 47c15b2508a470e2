//! Stand-in for an upstream: runs tasks by sleeping.
//!
//! `POST /v1/tasks` runs the task that its headers name; the payload `{"run_ms":50,"echo":"x"}`
//! says for how long and what to answer. `GET /starts` counts the starts of each task,
//! `GET /status` sums up, `GET /faults` and `PUT /faults` show and set the faults.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::future;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{ServerLimits, read_body, serve_streams};
use hemlockhook_types::Clock;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::doubling::{Doubling, Repeat};
use crate::faults;
use crate::reply::{Closed, Reply, ReplyBody, json, text};
use crate::running::{RunEnd, RunningTasks};
use crate::upstream_settings::{Fault, UpstreamFaults, UpstreamSettings};

/// Header with the job's key, percent-encoded.
pub const JOB_HEADER: &str = "hemlockhook-job";

/// Header with the task's index.
pub const TASK_HEADER: &str = "hemlockhook-task";

/// Header that is unique for a request and echoed in the answer.
pub const ATTEMPT_HEADER: &str = "hemlockhook-attempt-id";

/// What an upstream stand-in did since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Tasks that run.
    pub running: u64,
    /// Most tasks that ran at once.
    pub peak_running: u64,
    /// Tasks that were started.
    pub started: u64,
    /// Tasks that ran to their end.
    pub finished: u64,
    /// Tasks that were started more than once, if starts are counted.
    pub doubled: u64,
}

/// Stand-in for an upstream. Clones share the counts and the faults.
#[derive(Clone)]
pub struct UpstreamStandin {
    cfg: Arc<UpstreamSettings>,
    running: RunningTasks,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: UpstreamFaults,
    status: UpstreamStatus,
    starts: HashMap<String, u32>,
    /// The attempt that was answered last, to be sent in answer to another.
    last_attempt: HeaderValue,
}

impl UpstreamStandin {
    /// Creates an upstream that has run nothing.
    pub fn new(cfg: UpstreamSettings, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            faults: cfg.faults,
            status: UpstreamStatus::default(),
            starts: HashMap::new(),
            last_attempt: HeaderValue::from_static("none"),
        };
        Self {
            cfg: Arc::new(cfg),
            running: RunningTasks::new(clock),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the table of its running tasks, for a stand-in of the workers' service.
    pub fn running_tasks(&self) -> RunningTasks {
        self.running.clone()
    }

    /// Returns the name of the worker that it runs on.
    pub fn worker_name(&self) -> &str {
        self.cfg.worker_name()
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> UpstreamFaults {
        self.lock().faults
    }

    /// Sets the faults of tasks that start from now on.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.lock().faults = faults;
    }

    /// Returns what it did since its start.
    pub fn status(&self) -> UpstreamStatus {
        self.lock().status
    }

    /// Returns how often each task (`key/index`) was started.
    pub fn start_counts(&self) -> HashMap<String, u32> {
        self.lock().starts.clone()
    }

    /// Serves the upstream until `stop` is closed.
    pub async fn serve(self, ex: Arc<Executor>, listener: TcpListener, stop: Receiver<()>) {
        let limits = ServerLimits {
            max_connections: self.cfg.max_connections,
            header_timeout: Duration::from_secs(3600),
            max_body: 16 * 1024 * 1024,
            ..ServerLimits::default()
        };
        let connect = move |stream| {
            let repeat = Repeat::default();
            let standin = self.clone();
            let io = Doubling::new(stream, repeat.clone());
            let handler = move |req| {
                let (standin, repeat) = (standin.clone(), repeat.clone());
                async move { standin.handle(req, limits, repeat).await }
            };
            (io, handler)
        };
        serve_streams(ex, listener, limits, stop, connect).await;
    }

    async fn handle(&self, req: Request<Incoming>, limits: ServerLimits, repeat: Repeat) -> Reply {
        let (head, body) = req.into_parts();
        let body = match read_body(body, limits.max_body, limits.body_timeout).await {
            Ok(body) => body,
            Err(err) => return text(err.status(), err.to_string()),
        };
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/tasks") => self.run_task(&head.headers, &body, repeat).await,
            (&Method::GET, "/starts") => json(StatusCode::OK, &self.lock().starts),
            (&Method::GET, "/status") => json(StatusCode::OK, &self.status()),
            (method, "/faults") => faults::handle(method, &body, self.faults(), |faults| {
                self.set_faults(faults)
            }),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn run_task(&self, headers: &HeaderMap, body: &[u8], repeat: Repeat) -> Reply {
        let Some(attempt) = Attempt::parse(headers) else {
            return text(StatusCode::BAD_REQUEST, "a task's headers are missing");
        };
        let payload: Payload = match serde_json::from_slice(body) {
            Ok(payload) => payload,
            Err(err) => return text(StatusCode::BAD_REQUEST, err.to_string()),
        };

        let (fault, slow_factor) = self.begin(&attempt.name);
        let _end = End(&self.state);
        match fault {
            Some(Fault::Fail) => return text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            Some(Fault::Hang) => return future::pending().await,
            _ => {}
        }

        let seconds = payload.run_ms.max(0.0) / 1000.0 * slow_factor / self.cfg.speed;
        let run_time = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 1000);
        if self.running.run(&attempt.name, run_time).await == RunEnd::Stopped {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "stopped by the platform");
        }
        self.answer(attempt, payload.echo, fault, repeat)
    }

    /// Counts a start, and draws the task's fault.
    fn begin(&self, name: &str) -> (Option<Fault>, f64) {
        let mut guard = self.lock();
        let state = &mut *guard;
        if self.cfg.count_starts {
            let count = state.starts.entry(name.to_owned()).or_default();
            *count += 1;
            state.status.doubled += u64::from(*count == 2);
        }
        let status = &mut state.status;
        status.started += 1;
        status.running += 1;
        status.peak_running = status.peak_running.max(status.running);
        (state.faults.draw(), state.faults.slow_factor)
    }

    fn answer(&self, attempt: Attempt, echo: Value, fault: Option<Fault>, repeat: Repeat) -> Reply {
        let last = {
            let mut state = self.lock();
            state.status.finished += 1;
            std::mem::replace(&mut state.last_attempt, attempt.id.clone())
        };
        let body = match echo {
            Value::Null => Value::String(attempt.name),
            echo => echo,
        };
        let data = Bytes::from(body.to_string());

        match fault {
            Some(Fault::Close) => Err(Closed),
            Some(Fault::HalfAnswer) => answered(attempt.id, ReplyBody::half(data)),
            Some(Fault::AnswerOther) => answered(last, data.into()),
            Some(Fault::AnswerTwice) => {
                repeat.set();
                answered(attempt.id, data.into())
            }
            _ => answered(attempt.id, data.into()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answered(attempt: HeaderValue, body: ReplyBody) -> Reply {
    let mut res = Response::new(body);
    res.headers_mut().insert(ATTEMPT_HEADER, attempt);
    Ok(res)
}

/// Counts a task as no longer running, also when its connection is closed.
struct End<'a>(&'a Mutex<State>);

impl Drop for End<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.status.running -= 1;
    }
}

/// What a task does.
#[derive(Deserialize)]
struct Payload {
    /// Its run time at speed 1, in milliseconds.
    #[serde(default)]
    run_ms: f64,
    /// Its answer; the task's name if it is absent.
    #[serde(default)]
    echo: Value,
}

/// The task that a request is for.
struct Attempt {
    /// `key/index`.
    name: String,
    id: HeaderValue,
}

impl Attempt {
    fn parse(headers: &HeaderMap) -> Option<Self> {
        let job = headers.get(JOB_HEADER)?.to_str().ok()?;
        let index = headers.get(TASK_HEADER)?.to_str().ok()?;
        Some(Self {
            name: format!("{}/{index}", percent_decode(job)?),
            id: headers.get(ATTEMPT_HEADER)?.clone(),
        })
    }
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}
