//! Callers: they submit a job until it is answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::HttpClient;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

/// Connections to one address, at most.
const CONNECTIONS: usize = 512;

/// Longest time for one submission, after which the job is submitted again through another entry.
const RESUBMIT_AFTER: Duration = Duration::from_secs(5);

/// Pause before a submission is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Submissions of one job, at most.
const TRIES: usize = 400;

/// A job of the service `quote`.
#[derive(Clone, Debug)]
pub struct Job {
    pub key: String,
    pub service: String,
    /// Run times of the tasks, in milliseconds.
    pub tasks: Vec<u64>,
    pub deadline_ms: u64,
}

impl Job {
    pub fn new(key: &str, tasks: &[u64]) -> Self {
        Self {
            key: key.to_owned(),
            service: "quote".to_owned(),
            tasks: tasks.to_vec(),
            deadline_ms: 60_000,
        }
    }

    /// Returns the name under which upstreams count the starts of a task.
    pub fn task(&self, index: usize) -> String {
        format!("farms/{}/{index}", self.key)
    }

    /// Returns the tasks' names.
    pub fn names(&self) -> Vec<String> {
        (0..self.tasks.len())
            .map(|index| self.task(index))
            .collect()
    }

    fn results(&self) -> Value {
        (0..self.tasks.len())
            .map(|index| json!(self.task(index)))
            .collect()
    }

    fn body(&self) -> String {
        let tasks: Vec<_> = self
            .tasks
            .iter()
            .enumerate()
            .map(|(index, ms)| json!({"payload": {"run_ms": ms, "echo": self.task(index)}}))
            .collect();
        json!({
            "team": "farms", "service": self.service, "deadline_ms": self.deadline_ms,
            "tasks": tasks,
        })
        .to_string()
    }
}

/// How a job was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub answer: String,
    pub reason: String,
    /// For people.
    pub detail: String,
    /// Whether the results are those of the job's own tasks, in order.
    pub whole: bool,
}

impl Outcome {
    pub fn is_complete(&self) -> bool {
        self.answer == "complete" && self.whole
    }
}

/// Submits jobs to the entries of a cluster. Clones share the stamps.
#[derive(Clone)]
pub struct Submitter {
    ex: Arc<Executor>,
    entries: Vec<SocketAddr>,
    stamps: Arc<Mutex<String>>,
    clients: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
}

impl Submitter {
    pub fn new(ex: Arc<Executor>, entries: Vec<SocketAddr>) -> Self {
        Self {
            ex,
            entries,
            stamps: Arc::default(),
            clients: Arc::default(),
        }
    }

    /// Returns the stamps that a caller would hold now.
    pub fn stamps(&self) -> String {
        self.stamps.lock().expect("no test thread panicked").clone()
    }

    /// Submits a job under stamps that were held when its key was made.
    pub async fn call_with(&self, job: &Job, stamps: &str, rng: &mut fastrand::Rng) -> Outcome {
        for _ in 0..TRIES {
            let entry = rng.usize(..self.entries.len());
            let patience = RESUBMIT_AFTER.mul_f64(rng.f64().max(0.1));
            match self.submit(entry, job, stamps, patience).await {
                Some(outcome) => return outcome,
                None => drop(Timer::after(RETRY_PAUSE).await),
            }
        }
        panic!("{}: no answer came", job.key);
    }

    /// Submits a job once. Returns `None` unless it is answered for good.
    pub async fn submit(
        &self,
        entry: usize,
        job: &Job,
        stamps: &str,
        timeout: Duration,
    ) -> Option<Outcome> {
        let mut req = Request::post("/v1/jobs").header("idempotency-key", &job.key);
        if !stamps.is_empty() {
            req = req.header("hemlockhook-stamp", stamps);
        }
        let req = req
            .body(Full::from(job.body()))
            .expect("the parts are valid");
        let addr = self.entries[entry];
        let res = self.client(addr).send(req, 1 << 20, timeout).await.ok()?;
        self.outcome(job, &res)
    }

    /// Cancels a job once. Returns `None` unless it is answered for good.
    pub async fn cancel(&self, entry: usize, job: &Job) -> Option<Outcome> {
        let req = Request::builder()
            .method(Method::DELETE)
            .uri(format!("/v1/jobs/farms/{}", job.key))
            .body(Full::default())
            .expect("the parts are valid");
        let addr = self.entries[entry];
        let res = self
            .client(addr)
            .send(req, 1 << 20, RESUBMIT_AFTER)
            .await
            .ok()?;
        self.outcome(job, &res)
    }

    /// Returns the executor of its requests.
    pub fn executor(&self) -> Arc<Executor> {
        self.ex.clone()
    }

    /// Returns the client of an address.
    pub fn client(&self, addr: SocketAddr) -> HttpClient {
        let mut clients = self.clients.lock().expect("no test thread panicked");
        let new = || HttpClient::new(self.ex.clone(), addr, CONNECTIONS);
        clients.entry(addr).or_insert_with(new).clone()
    }

    fn outcome(&self, job: &Job, res: &Response<bytes::Bytes>) -> Option<Outcome> {
        if let Some(stamps) = res.headers().get("hemlockhook-stamp") {
            let stamps = stamps.to_str().unwrap_or_default().to_owned();
            *self.stamps.lock().expect("no test thread panicked") = stamps;
        }
        let body: Value = serde_json::from_slice(res.body()).unwrap_or_default();
        let text = |key: &str| body[key].as_str().unwrap_or_default().to_owned();
        let outcome = Outcome {
            answer: text("answer"),
            reason: text("reason"),
            detail: text("detail"),
            whole: body["results"] == job.results(),
        };
        let is_final = res.status() != StatusCode::ACCEPTED
            && !outcome.answer.is_empty()
            && outcome.reason != "owner_unreachable";
        is_final.then_some(outcome)
    }
}
