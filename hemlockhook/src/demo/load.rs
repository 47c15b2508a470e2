//! Callers that submit jobs at random, and resubmit those that get no answer in time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::HttpClient;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

/// Maximum number of connections to one entry, shared by all callers.
const CONNECTIONS: usize = 256;

/// Time that a caller waits for an answer before it resubmits the job.
const RESUBMIT_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of submissions of a job by one caller, including the first.
const MAX_ATTEMPTS: usize = 12;

/// Delay between two submissions.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Jobs submitted per second, outside the peak.
const JOBS_PER_SECOND: u64 = 30;

/// Start and end of the peak, in percent of the duration of the load.
const PEAK_PERCENT: (u64, u64) = (50, 65);

/// Jobs submitted per second during the peak.
const PEAK_JOBS_PER_SECOND: u64 = 70;

/// Percentage of jobs that are submitted by two callers at the same time.
const DUPLICATE_PERCENT: u64 = 5;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Settings of the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
}

/// The callers of the demonstration.
pub struct LoadGenerator {
    settings: LoadSettings,
    entries: Mutex<Vec<(SocketAddr, Option<HttpClient>)>>,
    stamps: Mutex<String>,
}

/// A job to submit.
#[derive(Clone, Debug)]
struct JobSpec {
    number: u64,
    service: &'static str,
    team: &'static str,
    run_ms: Vec<u64>,
}

/// The outcome of a job, as seen by its caller.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// Key with the team as prefix.
    pub key: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Kind of the answer, or empty if there was none.
    pub answer: String,
    /// Machine-readable reason of an answer other than `complete`.
    pub reason: String,
    /// Whether the results are those of the job's own tasks, in order and without gaps.
    pub has_expected_results: bool,
    /// Kinds of the answers to concurrent submissions of the same job.
    pub duplicate_answers: Vec<String>,
    /// Time from the first submission to the answer.
    pub response_time: Duration,
    /// Run time of the longest task on the fastest upstream.
    pub ideal_time: Duration,
}

impl LoadGenerator {
    /// Creates callers that submit to the given entries.
    pub fn new(settings: LoadSettings, entries: Vec<SocketAddr>) -> Self {
        let entries = entries.into_iter().map(|address| (address, None)).collect();
        Self {
            settings,
            entries: Mutex::new(entries),
            stamps: Mutex::default(),
        }
    }

    /// Sets the address of a replaced entry, as a load balancer would.
    pub fn set_entry(&self, index: usize, address: SocketAddr) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)[index] = (address, None);
    }

    /// Submits jobs at their scheduled times, whether or not earlier ones were answered (an
    /// open-loop load), and returns their outcomes.
    pub async fn run(self: Arc<Self>, ex: Arc<Executor>) -> Vec<JobOutcome> {
        let mut rng = fastrand::Rng::with_seed(self.settings.seed);
        let end = Duration::from_secs(self.settings.seconds);
        let start = Instant::now();
        let mut callers = Vec::new();
        let mut offset = Duration::ZERO;
        let mut number = 0;
        while offset < end {
            Timer::at(start + offset).await;
            let spec = random_job(&mut rng, number);
            let is_duplicated = rng.u64(..100) < DUPLICATE_PERCENT;
            let caller = self
                .clone()
                .submit_job(ex.clone(), spec, rng.fork(), is_duplicated);
            callers.push(ex.spawn(caller));
            number += 1;
            offset += delay_to_next_job(offset, end, &mut rng);
        }

        let mut outcomes = Vec::new();
        for caller in callers {
            outcomes.push(caller.await);
        }
        outcomes
    }

    /// Submits a job until it is answered, with a second caller if `is_duplicated`.
    async fn submit_job(
        self: Arc<Self>,
        ex: Arc<Executor>,
        spec: JobSpec,
        mut rng: fastrand::Rng,
        is_duplicated: bool,
    ) -> JobOutcome {
        let stamp = self
            .stamps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let started = Instant::now();
        let duplicate = is_duplicated.then(|| {
            let (load, spec, stamp) = (self.clone(), spec.clone(), stamp.clone());
            let mut rng = rng.fork();
            let ex2 = ex.clone();
            ex.spawn(async move {
                load.submit_until_answered(ex2, &spec, &stamp, &mut rng)
                    .await
            })
        });
        let response = self
            .submit_until_answered(ex, &spec, &stamp, &mut rng)
            .await;
        let response_time = started.elapsed();
        let mut duplicate_answers = Vec::new();
        if let Some(duplicate) = duplicate {
            duplicate_answers.extend(
                duplicate
                    .await
                    .map(|response| answer_kind(&parse_body(&response))),
            );
        }
        job_outcome(&spec, response, duplicate_answers, response_time)
    }

    /// Submits a job with the same key and stamp until it is answered.
    async fn submit_until_answered(
        &self,
        ex: Arc<Executor>,
        spec: &JobSpec,
        stamp: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<Response<bytes::Bytes>> {
        for _ in 0..MAX_ATTEMPTS {
            let client = self.client(ex.clone(), rng);
            let response = client
                .send(request(spec, stamp), MAX_RESPONSE_BYTES, RESUBMIT_AFTER)
                .await;
            match response {
                Ok(response) if is_final(&response) => {
                    self.store_stamps(&response);
                    return Some(response);
                }
                _ => drop(Timer::after(RETRY_DELAY).await),
            }
        }
        None
    }

    fn client(&self, ex: Arc<Executor>, rng: &mut fastrand::Rng) -> HttpClient {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let index = rng.usize(..entries.len());
        let (address, client) = &mut entries[index];
        client
            .get_or_insert_with(|| HttpClient::new(ex, *address, CONNECTIONS))
            .clone()
    }

    fn store_stamps(&self, response: &Response<bytes::Bytes>) {
        let stamps = response.headers().get("hemlockhook-stamp");
        if let Some(stamps) = stamps.and_then(|value| value.to_str().ok()) {
            let mut stored = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
            stamps.clone_into(&mut stored);
        }
    }
}

/// Generates a random job of 1 to 12 tasks of 50 ms to 1 s. One job in 100 has tasks of 3 s.
fn random_job(rng: &mut fastrand::Rng, number: u64) -> JobSpec {
    let tasks = rng.usize(1..=12);
    let (service, team) = match rng.u8(..3) {
        0 => ("quote", "sales-desk"),
        1 => ("stock-check", "farm-buyers"),
        _ => ("booking", "agronomists"),
    };
    let long = rng.u8(..100) == 0;
    let run_ms = (0..tasks)
        .map(|_| match long {
            true => 3_000,
            // Short runs are more frequent than long ones.
            false => 50 + (950.0 * rng.f64().powi(4)) as u64,
        })
        .collect();
    JobSpec {
        number,
        service,
        team,
        run_ms,
    }
}

/// Returns a random delay from the job at `offset` to the next one.
fn delay_to_next_job(offset: Duration, end: Duration, rng: &mut fastrand::Rng) -> Duration {
    let percent = (offset.as_millis() * 100 / end.as_millis().max(1)) as u64;
    let rate = match percent {
        at if (PEAK_PERCENT.0..PEAK_PERCENT.1).contains(&at) => PEAK_JOBS_PER_SECOND,
        _ => JOBS_PER_SECOND,
    };
    // Independent arrivals form a Poisson process, whose delays are exponentially distributed.
    Duration::from_secs_f64(-rng.f64().max(1e-9).ln() / rate as f64)
}

fn request(spec: &JobSpec, stamp: &str) -> Request<Full<bytes::Bytes>> {
    let tasks: Vec<_> = spec
        .run_ms
        .iter()
        .enumerate()
        .map(|(index, ms)| json!({"payload": payload(spec, index), "declared_ms": ms}))
        .collect();
    let body = json!({
        "team": spec.team,
        "service": spec.service,
        "idempotent": spec.service != "booking",
        "deadline_ms": 20_000,
        "tasks": tasks,
    });
    let req = Request::post("/v1/jobs")
        .header("content-type", "application/json")
        .header("idempotency-key", format!("demo-{}", spec.number));
    let req = match stamp {
        "" => req,
        stamp => req.header("hemlockhook-stamp", stamp),
    };
    req.body(Full::from(body.to_string()))
        .expect("the request is valid")
}

fn payload(spec: &JobSpec, index: usize) -> Value {
    json!({"run_ms": spec.run_ms[index], "echo": expected_result(spec, index)})
}

/// Returns the result that an upstream returns for a task.
fn expected_result(spec: &JobSpec, index: usize) -> Value {
    json!({"job": spec.number, "task": index})
}

/// Returns whether a response is the final answer to the job.
fn is_final(response: &Response<bytes::Bytes>) -> bool {
    let body = parse_body(response);
    let answered = !answer_kind(&body).is_empty() && response.status() != StatusCode::ACCEPTED;
    answered && body["reason"] != "owner_unreachable"
}

fn parse_body(response: &Response<bytes::Bytes>) -> Value {
    serde_json::from_slice(response.body()).unwrap_or_default()
}

fn answer_kind(body: &Value) -> String {
    body["answer"].as_str().unwrap_or_default().to_owned()
}

fn job_outcome(
    spec: &JobSpec,
    response: Option<Response<bytes::Bytes>>,
    duplicate_answers: Vec<String>,
    response_time: Duration,
) -> JobOutcome {
    let body = response.as_ref().map(parse_body).unwrap_or_default();
    let expected: Vec<_> = (0..spec.run_ms.len())
        .map(|index| expected_result(spec, index))
        .collect();
    let longest = spec.run_ms.iter().copied().max().unwrap_or_default();
    JobOutcome {
        key: format!("{}/demo-{}", spec.team, spec.number),
        tasks: spec.run_ms.len(),
        answer: answer_kind(&body),
        reason: body["reason"].as_str().unwrap_or_default().to_owned(),
        has_expected_results: body["results"] == Value::Array(expected),
        duplicate_answers,
        response_time,
        ideal_time: Duration::from_millis(longest),
    }
}
