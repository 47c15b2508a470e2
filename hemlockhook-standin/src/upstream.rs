//! Stand-in for an upstream, which simulates the execution of tasks by sleeping.
//!
//! `POST /v1/tasks` runs the task identified by the headers; the payload `{"run_ms":50,"echo":"x"}`
//! sets its run time and the body of the answer. `GET /starts` returns the number of starts of each
//! task, `GET /status` an [`UpstreamStatus`]; `GET /faults` and `PUT /faults` show and set the
//! faults.

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

use crate::duplicating_stream::{DuplicateFlag, DuplicatingStream};
use crate::faults;
use crate::reply::{ConnectionClosed, Reply, ReplyBody, json, text};
use crate::running::{RunOutcome, RunningTasks};
use crate::upstream_settings::{Fault, UpstreamFaults, UpstreamSettings};

/// Name of the header with the job's key, percent-encoded.
pub const JOB_HEADER: &str = "hemlockhook-job";

/// Name of the header with the task's index.
pub const TASK_HEADER: &str = "hemlockhook-task";

/// Name of the header with an identifier unique to the request, which the answer repeats.
pub const ATTEMPT_HEADER: &str = "hemlockhook-attempt-id";

/// Counters of an upstream stand-in since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Tasks that are running.
    pub running: u64,
    /// Maximum number of tasks that ran at the same time.
    pub peak_running: u64,
    /// Number of task starts.
    pub started: u64,
    /// Number of runs that completed.
    pub finished: u64,
    /// Tasks that were started more than once; 0 if [`UpstreamSettings::count_starts`] is off.
    pub doubled: u64,
}

/// Stand-in for an upstream. Clones share the counters and the faults.
#[derive(Clone)]
pub struct UpstreamStandin {
    cfg: Arc<UpstreamSettings>,
    running: RunningTasks,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: UpstreamFaults,
    status: UpstreamStatus,
    start_counts: HashMap<String, u32>,
    /// Identifier of the last completed attempt, for [`Fault::AnswerOther`].
    last_attempt_id: HeaderValue,
}

impl UpstreamStandin {
    /// Creates an upstream with all counters at 0.
    pub fn new(cfg: UpstreamSettings, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            faults: cfg.faults,
            status: UpstreamStatus::default(),
            start_counts: HashMap::new(),
            last_attempt_id: HeaderValue::from_static("none"),
        };
        Self {
            cfg: Arc::new(cfg),
            running: RunningTasks::new(clock),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the table of its running tasks, which [`WorkerStandin::new`] takes.
    ///
    /// [`WorkerStandin::new`]: crate::WorkerStandin::new
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

    /// Sets the faults. Tasks that have started are not affected.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.lock().faults = faults;
    }

    /// Returns the counters.
    pub fn status(&self) -> UpstreamStatus {
        self.lock().status
    }

    /// Returns the number of starts of each task (`key/index`).
    pub fn start_counts(&self) -> HashMap<String, u32> {
        self.lock().start_counts.clone()
    }

    /// Serves requests until `stop` is closed.
    pub async fn serve(self, ex: Arc<Executor>, listener: TcpListener, stop: Receiver<()>) {
        let limits = ServerLimits {
            max_connections: self.cfg.max_connections,
            header_timeout: Duration::from_secs(3600),
            max_body: 16 * 1024 * 1024,
            ..ServerLimits::default()
        };
        let connect = move |stream| {
            let duplicate_flag = DuplicateFlag::default();
            let standin = self.clone();
            let io = DuplicatingStream::new(stream, duplicate_flag.clone());
            let handler = move |req| {
                let (standin, duplicate_flag) = (standin.clone(), duplicate_flag.clone());
                async move { standin.handle(req, limits, duplicate_flag).await }
            };
            (io, handler)
        };
        serve_streams(ex, listener, limits, stop, connect).await;
    }

    async fn handle(
        &self,
        req: Request<Incoming>,
        limits: ServerLimits,
        duplicate_flag: DuplicateFlag,
    ) -> Reply {
        let (head, body) = req.into_parts();
        let body = match read_body(body, limits.max_body, limits.body_timeout).await {
            Ok(body) => body,
            Err(err) => return text(err.status(), err.to_string()),
        };
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/tasks") => {
                self.run_task(&head.headers, &body, duplicate_flag).await
            }
            (&Method::GET, "/starts") => json(StatusCode::OK, &self.lock().start_counts),
            (&Method::GET, "/status") => json(StatusCode::OK, &self.status()),
            (method, "/faults") => faults::handle_request(method, &body, self.faults(), |faults| {
                self.set_faults(faults)
            }),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn run_task(
        &self,
        headers: &HeaderMap,
        body: &[u8],
        duplicate_flag: DuplicateFlag,
    ) -> Reply {
        let Some(attempt) = Attempt::parse(headers) else {
            return text(StatusCode::BAD_REQUEST, "a task's headers are missing");
        };
        let payload: Payload = match serde_json::from_slice(body) {
            Ok(payload) => payload,
            Err(err) => return text(StatusCode::BAD_REQUEST, err.to_string()),
        };

        let (fault, slow_factor) = self.record_start(&attempt.task_name);
        let _guard = RunningGuard(&self.state);
        match fault {
            Some(Fault::Fail) => return text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            Some(Fault::Hang) => return future::pending().await,
            _ => {}
        }

        let seconds = payload.run_ms.max(0.0) / 1000.0 * slow_factor / self.cfg.speed;
        let run_time = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 1000);
        if self.running.run(&attempt.task_name, run_time).await == RunOutcome::Stopped {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "stopped by the platform");
        }
        self.complete(attempt, payload.echo, fault, duplicate_flag)
    }

    /// Counts a start. Returns the fault drawn for the task and the factor on its run time.
    fn record_start(&self, task_name: &str) -> (Option<Fault>, f64) {
        let mut guard = self.lock();
        let state = &mut *guard;
        if self.cfg.count_starts {
            let count = state.start_counts.entry(task_name.to_owned()).or_default();
            *count += 1;
            state.status.doubled += u64::from(*count == 2);
        }
        let status = &mut state.status;
        status.started += 1;
        status.running += 1;
        status.peak_running = status.peak_running.max(status.running);
        (state.faults.draw(), state.faults.slow_factor)
    }

    fn complete(
        &self,
        attempt: Attempt,
        echo: Value,
        fault: Option<Fault>,
        duplicate_flag: DuplicateFlag,
    ) -> Reply {
        let previous_id = {
            let mut state = self.lock();
            state.status.finished += 1;
            std::mem::replace(&mut state.last_attempt_id, attempt.id.clone())
        };
        let body = match echo {
            Value::Null => Value::String(attempt.task_name),
            echo => echo,
        };
        let data = Bytes::from(body.to_string());

        match fault {
            Some(Fault::Close) => Err(ConnectionClosed),
            Some(Fault::HalfAnswer) => answer(attempt.id, ReplyBody::truncated(data)),
            Some(Fault::AnswerOther) => answer(previous_id, data.into()),
            Some(Fault::AnswerTwice) => {
                duplicate_flag.set();
                answer(attempt.id, data.into())
            }
            _ => answer(attempt.id, data.into()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(attempt_id: HeaderValue, body: ReplyBody) -> Reply {
    let mut res = Response::new(body);
    res.headers_mut().insert(ATTEMPT_HEADER, attempt_id);
    Ok(res)
}

/// Decrements the number of running tasks when a run ends or its connection is closed.
struct RunningGuard<'a>(&'a Mutex<State>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.status.running -= 1;
    }
}

/// Payload of a task.
#[derive(Deserialize)]
struct Payload {
    /// The run time at speed 1, in milliseconds.
    #[serde(default)]
    run_ms: f64,
    /// The body of the answer. Defaults to the task's name.
    #[serde(default)]
    echo: Value,
}

/// An attempt to run a task, as identified by the headers of a request.
struct Attempt {
    /// The task's name, `key/index`.
    task_name: String,
    id: HeaderValue,
}

impl Attempt {
    fn parse(headers: &HeaderMap) -> Option<Self> {
        let job = headers.get(JOB_HEADER)?.to_str().ok()?;
        let index = headers.get(TASK_HEADER)?.to_str().ok()?;
        Some(Self {
            task_name: format!("{}/{index}", percent_decode(job)?),
            id: headers.get(ATTEMPT_HEADER)?.clone(),
        })
    }
}

fn percent_decode(encoded: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(encoded.len());
    let mut rest = encoded.as_bytes();
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
