//! Crowds whose jobs are whole and valid, and cost more than their bytes.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use googletest::prelude::*;
use http::Method;
use serde_json::{Value, json};

use crate::clients::{connect, on_threads};
use crate::deployment::Deployment;
use crate::{JOB_BYTES, LIMITS, check_crowd, one_at_a_time};

/// Clients of each crowd. Each submits one job and waits for its answer.
const CLIENTS: usize = 400;

/// Tasks of each job, the most that a job may have.
const TASKS: usize = 4096;

/// Steps of the jobs with many steps.
const STEPS: usize = 1500;

/// Size of the largest payload of a job, in bytes.
const PAYLOAD_BYTES: usize = 4000;

/// Tasks of the jobs whose payload is larger than allowed.
const LARGE_PAYLOAD_TASKS: usize = 500;

/// Size of the payload of these jobs, in bytes.
const LARGE_PAYLOAD_BYTES: usize = 200_000;

/// Size of the labels of the largest job, in bytes.
const LABEL_BYTES: usize = 1000;

/// Time that a task runs and is declared to run, in milliseconds.
const RUN_MS: usize = 1000;

/// Lets a crowd submit the same job, each client under an ID of its own.
fn check_jobs(name: &str, job: &Value) {
    let body = job.to_string();
    check_crowd(name, |deployment| {
        let [callers, ..] = deployment.entry_addresses[0];
        submit_all(callers, CLIENTS, &body)
    });
}

/// Submits jobs, and returns the open connections, from which nothing is read.
pub fn submit_all(addr: SocketAddr, clients: usize, body: &str) -> Vec<TcpStream> {
    on_threads(clients, |clients| {
        let open = (0..clients).filter_map(|_| submit(addr, body).ok());
        open.collect()
    })
}

fn submit(addr: SocketAddr, body: &str) -> std::io::Result<TcpStream> {
    let mut conn = connect(addr)?;
    let id = format!("{:016x}", fastrand::u64(..));
    let len = body.len();
    let head = format!(
        "POST /desk/{id} HTTP/1.1\r\nhost: desk.example\r\n\
         hemlockhook-deadline-milliseconds: 20000\r\ncontent-length: {len}\r\n\r\n"
    );
    conn.write_all(format!("{head}{body}").as_bytes())?;
    Ok(conn)
}

/// Returns a job of steps, whose payload is the run time of its tasks.
fn job(steps: &Value) -> Value {
    json!({"spec": RUN_MS.to_string(), "bestEffort": true, "steps": steps})
}

fn step(tasks: usize) -> Value {
    json!({"count": tasks, "cpu": 1, "estimatedMs": RUN_MS})
}

/// Guards against tasks that cost memory while the job's few bytes are counted.
#[gtest]
fn jobs_of_many_tasks_stay_within_memory() {
    check_jobs("many-tasks", &job(&json!([step(TASKS)])));
}

/// Guards against a payload that is copied for each task.
#[gtest]
fn jobs_of_many_tasks_and_a_long_payload_stay_within_memory() {
    let mut job = job(&json!([step(TASKS)]));
    job["spec"] = json!("x".repeat(PAYLOAD_BYTES));
    check_jobs("many-payloads", &job);
}

/// Guards against limits that a single job within those of the interface meets: its body and its payload
/// have the largest sizes that callers may send.
#[gtest]
fn the_largest_job_is_answered_in_calm() {
    let _lock = one_at_a_time();
    let deployment = Deployment::start_limited("largest", 1, 1, LIMITS);
    let mut large = job(&json!([]));
    large["spec"] = json!("x".repeat(PAYLOAD_BYTES));
    let mut step = step(1);
    step["affinity"] = json!("x".repeat(LABEL_BYTES));
    let size = |job: &Value| job.to_string().len();
    let steps = (JOB_BYTES - size(&large)) / (size(&step) + 1);
    large["steps"] = json!(vec![step; steps]);
    expect_that!(size(&large), le(JOB_BYTES));
    let body = large.to_string();
    let answer = deployment.send_request(0, Method::POST, "/desk/largest", body);
    expect_that!(answer.map(|(status, ..)| status), some(eq(200)));
}

/// Guards against payloads that only the size of the body limits.
#[gtest]
fn jobs_with_a_payload_beyond_the_limit_stay_within_memory() {
    let mut job = job(&json!([step(LARGE_PAYLOAD_TASKS)]));
    job["spec"] = json!("x".repeat(LARGE_PAYLOAD_BYTES));
    check_jobs("large-payloads", &job);
}

/// Guards against steps, labels and dependencies that cost more memory than their bytes.
#[gtest]
fn jobs_of_many_steps_stay_within_memory() {
    let step = |index: usize| {
        let mut step = step(1);
        step["after"] = json!([index.saturating_sub(1), index.saturating_sub(2)]);
        step["requirements"] = json!("a");
        step["affinity"] = json!("r1-1");
        match index {
            0 => step["after"] = json!([]),
            1 => step["after"] = json!([0]),
            _ => {}
        }
        step
    };
    let steps: Vec<_> = (0..STEPS).map(step).collect();
    check_jobs("many-steps", &job(&json!(steps)));
}
