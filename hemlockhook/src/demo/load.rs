//! Callers that submit jobs, and submit them again when they believe them lost.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::HttpClient;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

/// Connections of all callers to one entry.
const CONNECTIONS: usize = 256;

/// Time for which a caller waits for an answer before it submits the job again.
const RESUBMIT_AFTER: Duration = Duration::from_secs(3);

/// Tries of a caller, the first one included.
const TRIES: usize = 12;

/// Time between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Jobs submitted in a second, outside the crest.
const JOBS_PER_SECOND: u64 = 30;

/// Share of the load's time, in percent, from which on and for which the crest lasts.
const CREST: (u64, u64) = (50, 65);

/// Jobs submitted in a second at the crest.
const CREST_JOBS_PER_SECOND: u64 = 70;

/// Share of the jobs, in percent, that are submitted twice at once through two entries.
const DOUBLED_PERCENT: u64 = 5;

/// Size of a response at most, in bytes.
const MAX_RESPONSE: usize = 4 << 20;

/// What the load looks like.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Seed of the random draws.
    pub seed: u64,
    /// Seconds for which jobs are submitted.
    pub seconds: u64,
}

/// Callers of the demonstration.
pub struct Load {
    settings: LoadSettings,
    entries: Mutex<Vec<(SocketAddr, Option<HttpClient>)>>,
    stamps: Mutex<String>,
}

/// A job as its caller makes it.
#[derive(Clone, Debug)]
struct JobPlan {
    number: u64,
    service: &'static str,
    team: &'static str,
    run_ms: Vec<u64>,
}

/// How a job ended for its caller.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The key with the team's prefix.
    pub key: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Kind of the answer; empty if none came.
    pub answer: String,
    /// Machine-readable reason, unless the job is complete.
    pub reason: String,
    /// Whether a complete answer held the result of each of the job's own tasks.
    pub whole: bool,
    /// Kinds of answers that other submissions of the job got.
    pub others: Vec<String>,
    /// Time from the first submission to the answer.
    pub took: Duration,
    /// Run time of the longest task on the fastest upstream.
    pub ideal: Duration,
}

impl Load {
    /// Creates callers of entries.
    pub fn new(settings: LoadSettings, entries: Vec<SocketAddr>) -> Self {
        let entries = entries.into_iter().map(|address| (address, None)).collect();
        Self {
            settings,
            entries: Mutex::new(entries),
            stamps: Mutex::default(),
        }
    }

    /// Tells callers the address of an entry that was replaced, as a balancer would.
    pub fn set_entry(&self, index: usize, address: SocketAddr) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)[index] = (address, None);
    }

    /// Submits jobs on time, whether or not earlier ones were answered, and returns how they ended.
    pub async fn run(self: Arc<Self>, ex: Arc<Executor>) -> Vec<Outcome> {
        let mut rng = fastrand::Rng::with_seed(self.settings.seed);
        let end = Duration::from_secs(self.settings.seconds);
        let start = Instant::now();
        let mut callers = Vec::new();
        let mut offset = Duration::ZERO;
        let mut number = 0;
        while offset < end {
            Timer::at(start + offset).await;
            let plan = draw_job(&mut rng, number);
            let doubled = rng.u64(..100) < DOUBLED_PERCENT;
            let caller = self.clone().call(ex.clone(), plan, rng.fork(), doubled);
            callers.push(ex.spawn(caller));
            number += 1;
            offset += pause_after(offset, end, &mut rng);
        }

        let mut outcomes = Vec::new();
        for caller in callers {
            outcomes.push(caller.await);
        }
        outcomes
    }

    /// Submits one job until it is answered.
    async fn call(
        self: Arc<Self>,
        ex: Arc<Executor>,
        plan: JobPlan,
        mut rng: fastrand::Rng,
        doubled: bool,
    ) -> Outcome {
        let stamp = self
            .stamps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let started = Instant::now();
        let second = doubled.then(|| {
            let (load, plan, stamp) = (self.clone(), plan.clone(), stamp.clone());
            let mut rng = rng.fork();
            let ex2 = ex.clone();
            ex.spawn(async move { load.until_answered(ex2, &plan, &stamp, &mut rng).await })
        });
        let response = self.until_answered(ex, &plan, &stamp, &mut rng).await;
        let took = started.elapsed();
        let mut others = Vec::new();
        if let Some(second) = second {
            others.extend(second.await.map(|response| answer_of(&body_of(&response))));
        }
        outcome(&plan, response, others, took)
    }

    /// Submits a job under the same key and stamp until an answer comes.
    async fn until_answered(
        &self,
        ex: Arc<Executor>,
        plan: &JobPlan,
        stamp: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<Response<bytes::Bytes>> {
        for _ in 0..TRIES {
            let client = self.client(ex.clone(), rng);
            let response = client
                .send(request(plan, stamp), MAX_RESPONSE, RESUBMIT_AFTER)
                .await;
            match response {
                Ok(response) if is_final(&response) => {
                    self.keep_stamps(&response);
                    return Some(response);
                }
                _ => drop(Timer::after(RETRY_PAUSE).await),
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

    fn keep_stamps(&self, response: &Response<bytes::Bytes>) {
        let stamps = response.headers().get("hemlockhook-stamp");
        if let Some(stamps) = stamps.and_then(|value| value.to_str().ok()) {
            let mut known = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
            stamps.clone_into(&mut known);
        }
    }
}

/// Draws a job of 1 to 12 tasks of 50 ms to 1 s; one in 100 runs for 3 s.
fn draw_job(rng: &mut fastrand::Rng, number: u64) -> JobPlan {
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
    JobPlan {
        number,
        service,
        team,
        run_ms,
    }
}

/// Returns the time to the next job.
fn pause_after(offset: Duration, end: Duration, rng: &mut fastrand::Rng) -> Duration {
    let percent = (offset.as_millis() * 100 / end.as_millis().max(1)) as u64;
    let rate = match percent {
        at if (CREST.0..CREST.1).contains(&at) => CREST_JOBS_PER_SECOND,
        _ => JOBS_PER_SECOND,
    };
    // Arrivals are independent of one another, so pauses are exponential.
    Duration::from_secs_f64(-rng.f64().max(1e-9).ln() / rate as f64)
}

fn request(plan: &JobPlan, stamp: &str) -> Request<Full<bytes::Bytes>> {
    let tasks: Vec<_> = plan
        .run_ms
        .iter()
        .enumerate()
        .map(|(index, ms)| json!({"payload": payload(plan, index), "declared_ms": ms}))
        .collect();
    let body = json!({
        "team": plan.team,
        "service": plan.service,
        "idempotent": plan.service != "booking",
        "deadline_ms": 20_000,
        "tasks": tasks,
    });
    let req = Request::post("/v1/jobs")
        .header("content-type", "application/json")
        .header("idempotency-key", format!("demo-{}", plan.number));
    let req = match stamp {
        "" => req,
        stamp => req.header("hemlockhook-stamp", stamp),
    };
    req.body(Full::from(body.to_string()))
        .expect("its parts are valid")
}

fn payload(plan: &JobPlan, index: usize) -> Value {
    json!({"run_ms": plan.run_ms[index], "echo": echo(plan, index)})
}

/// Returns what an upstream answers a task with.
fn echo(plan: &JobPlan, index: usize) -> Value {
    json!({"job": plan.number, "task": index})
}

/// Returns whether a response answers the job for good.
fn is_final(response: &Response<bytes::Bytes>) -> bool {
    let body = body_of(response);
    let answered = !answer_of(&body).is_empty() && response.status() != StatusCode::ACCEPTED;
    answered && body["reason"] != "owner_unreachable"
}

fn body_of(response: &Response<bytes::Bytes>) -> Value {
    serde_json::from_slice(response.body()).unwrap_or_default()
}

fn answer_of(body: &Value) -> String {
    body["answer"].as_str().unwrap_or_default().to_owned()
}

fn outcome(
    plan: &JobPlan,
    response: Option<Response<bytes::Bytes>>,
    others: Vec<String>,
    took: Duration,
) -> Outcome {
    let body = response.as_ref().map(body_of).unwrap_or_default();
    let expected: Vec<_> = (0..plan.run_ms.len())
        .map(|index| echo(plan, index))
        .collect();
    let longest = plan.run_ms.iter().copied().max().unwrap_or_default();
    Outcome {
        key: format!("{}/demo-{}", plan.team, plan.number),
        tasks: plan.run_ms.len(),
        answer: answer_of(&body),
        reason: body["reason"].as_str().unwrap_or_default().to_owned(),
        whole: body["results"] == Value::Array(expected),
        others,
        took,
        ideal: Duration::from_millis(longest),
    }
}
