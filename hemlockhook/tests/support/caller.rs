//! Callers that submit jobs until they are answered.

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

/// Maximum number of connections to one address.
const MAX_CONNECTIONS: usize = 512;

/// Maximum timeout of a submission, after which the job is resubmitted through a random entry.
const RESUBMIT_AFTER: Duration = Duration::from_secs(5);

/// Delay before a job is resubmitted.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of submissions of a job.
const MAX_ATTEMPTS: usize = 400;

/// A job to submit.
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
    pub fn task_name(&self, index: usize) -> String {
        format!("farms/{}/{index}", self.key)
    }

    /// Returns the names of all tasks.
    pub fn task_names(&self) -> Vec<String> {
        (0..self.tasks.len())
            .map(|index| self.task_name(index))
            .collect()
    }

    fn expected_results(&self) -> Value {
        (0..self.tasks.len())
            .map(|index| json!(self.task_name(index)))
            .collect()
    }

    fn body(&self) -> String {
        let tasks: Vec<_> = self
            .tasks
            .iter()
            .enumerate()
            .map(|(index, ms)| json!({"payload": {"run_ms": ms, "echo": self.task_name(index)}}))
            .collect();
        json!({
            "team": "farms", "service": self.service, "deadline_ms": self.deadline_ms,
            "tasks": tasks,
        })
        .to_string()
    }
}

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub answer: String,
    pub reason: String,
    /// Human-readable explanation.
    pub detail: String,
    /// Whether the results are those of the job's own tasks, in order.
    pub has_expected_results: bool,
}

impl Outcome {
    pub fn is_complete(&self) -> bool {
        self.answer == "complete" && self.has_expected_results
    }
}

/// A client that submits jobs to the entries of a cluster. Clones share the stamps.
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

    /// Returns the stamps of the latest response.
    pub fn stamps(&self) -> String {
        self.stamps.lock().expect("no test thread panicked").clone()
    }

    /// Submits a job through random entries until it is answered, with the stamps that were held
    /// when its key was created.
    pub async fn submit_until_answered(
        &self,
        job: &Job,
        stamps: &str,
        rng: &mut fastrand::Rng,
    ) -> Outcome {
        for _ in 0..MAX_ATTEMPTS {
            let entry = rng.usize(..self.entries.len());
            let timeout = RESUBMIT_AFTER.mul_f64(rng.f64().max(0.1));
            match self.submit(entry, job, stamps, timeout).await {
                Some(outcome) => return outcome,
                None => drop(Timer::after(RETRY_DELAY).await),
            }
        }
        panic!("{}: no answer", job.key);
    }

    /// Submits a job once. Returns `None` unless the response is a final answer.
    pub async fn submit(
        &self,
        entry: usize,
        job: &Job,
        stamps: &str,
        timeout: Duration,
    ) -> Option<Outcome> {
        let req = submission(job, stamps);
        let req = req
            .body(Full::from(job.body()))
            .expect("the request is valid");
        let addr = self.entries[entry];
        let res = self.client(addr).send(req, 1 << 20, timeout).await.ok()?;
        self.parse_outcome(job, &res)
    }

    /// Submits a job once without waiting for its answer, and returns whether it was accepted.
    pub async fn submit_without_waiting(&self, entry: usize, job: &Job, stamps: &str) -> bool {
        let req = submission(job, stamps).header("prefer", "respond-async");
        let req = req
            .body(Full::from(job.body()))
            .expect("the request is valid");
        let client = self.client(self.entries[entry]);
        let res = client.send(req, 1 << 20, super::LONG_TIMEOUT).await;
        res.is_ok_and(|res| res.status() == StatusCode::ACCEPTED)
    }

    /// Cancels a job once. Returns `None` unless the response is a final answer.
    pub async fn cancel(&self, entry: usize, job: &Job) -> Option<Outcome> {
        let req = Request::builder()
            .method(Method::DELETE)
            .uri(format!("/v1/jobs/farms/{}", job.key))
            .body(Full::default())
            .expect("the request is valid");
        let addr = self.entries[entry];
        let res = self
            .client(addr)
            .send(req, 1 << 20, RESUBMIT_AFTER)
            .await
            .ok()?;
        self.parse_outcome(job, &res)
    }

    /// Returns the executor of the requests.
    pub fn executor(&self) -> Arc<Executor> {
        self.ex.clone()
    }

    /// Returns the HTTP client for an address.
    pub fn client(&self, addr: SocketAddr) -> HttpClient {
        let mut clients = self.clients.lock().expect("no test thread panicked");
        let new = || HttpClient::new(self.ex.clone(), addr, MAX_CONNECTIONS);
        clients.entry(addr).or_insert_with(new).clone()
    }

    fn parse_outcome(&self, job: &Job, res: &Response<bytes::Bytes>) -> Option<Outcome> {
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
            has_expected_results: body["results"] == job.expected_results(),
        };
        let is_final = res.status() != StatusCode::ACCEPTED
            && !outcome.answer.is_empty()
            && outcome.reason != "owner_unreachable";
        is_final.then_some(outcome)
    }
}

fn submission(job: &Job, stamps: &str) -> http::request::Builder {
    let req = Request::post("/v1/jobs").header("idempotency-key", &job.key);
    match stamps.is_empty() {
        true => req,
        false => req.header("hemlockhook-stamp", stamps),
    }
}
