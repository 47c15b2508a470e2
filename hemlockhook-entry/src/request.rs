//! Parsing and validation of the jobs that callers submit as JSON.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use hemlockhook_types::{Job, JobKey, Task};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use crate::json_object::JsonObject;
use crate::settings::Limits;

/// Maximum length of names and idempotency keys, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum run time that may be declared for a task.
const MAX_DECLARED_RUN_TIME: Duration = Duration::from_secs(7 * 24 * 3600);

/// Reason why a request is not a valid job.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The body is not the JSON of a job.
    #[error("the body is not a job: {0}")]
    Json(String),
    /// A name is empty, too long, or has characters that are not allowed.
    #[error("{field} must be 1 to {MAX_NAME_BYTES} characters of A-Z a-z 0-9 . _ ~ -")]
    Name {
        /// The field that holds the name.
        field: &'static str,
    },
    /// A value is outside its range.
    #[error("{field} must be {range}")]
    Range {
        /// The field that holds the value.
        field: String,
        /// The range, with its unit.
        range: String,
    },
}

/// The body of a request, with fields borrowed from its bytes.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody<'a> {
    #[serde(borrow)]
    team: Cow<'a, str>,
    #[serde(borrow)]
    service: Cow<'a, str>,
    #[serde(default)]
    idempotent: bool,
    deadline_ms: u64,
    #[serde(borrow)]
    tasks: Vec<JsonObject<TaskBody<'a>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody<'a> {
    #[serde(borrow)]
    payload: &'a RawValue,
    #[serde(default)]
    declared_ms: Option<u64>,
    #[serde(borrow, default)]
    class: Cow<'a, str>,
}

/// Parses a job from its idempotency key and request body.
pub fn parse_job(key: &str, body: &[u8], limits: &Limits) -> Result<Job, RequestError> {
    let body = parse_body(body)?;
    check_name("idempotency-key", key)?;
    check_name("team", &body.team)?;
    check_name("service", &body.service)?;
    check_range("deadline_ms", body.deadline_ms, limits.deadline_ms, "ms")?;
    check_range(
        "the number of tasks",
        body.tasks.len() as u64,
        limits.tasks as u64,
        "tasks",
    )?;

    let fingerprint = fingerprint(&body);
    let tasks = body
        .tasks
        .iter()
        .enumerate()
        .map(parse_task)
        .collect::<Result<Vec<_>, RequestError>>()?;
    Ok(Job {
        key: job_key(&body.team, key),
        fingerprint,
        team: body.team.as_ref().into(),
        service: body.service.as_ref().into(),
        idempotent: body.idempotent,
        deadline: Duration::from_millis(body.deadline_ms),
        tasks,
    })
}

/// Parses a job that another entry validated and forwarded under its full key.
pub fn parse_forwarded(key: &JobKey, body: &[u8]) -> Result<Job, RequestError> {
    let unlimited = Limits {
        tasks: usize::MAX,
        deadline_ms: u64::MAX,
        ..Limits::default()
    };
    let caller_key = key.split_once('/').map_or("", |(_, caller_key)| caller_key);
    let job = parse_job(caller_key, body, &unlimited)?;
    if job.key != *key {
        return Err(RequestError::Json("the key is of another team".to_owned()));
    }
    Ok(job)
}

/// Returns the full key of a job from its team and idempotency key, both valid names.
pub fn job_key(team: &str, key: &str) -> JobKey {
    format!("{team}/{key}").into()
}

/// Validates a name.
pub fn check_name(field: &'static str, name: &str) -> Result<(), RequestError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._~-".contains(&byte);
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(RequestError::Name { field })
}

fn parse_body(body: &[u8]) -> Result<JobBody<'_>, RequestError> {
    serde_json::from_slice(body)
        .map(|JsonObject(body)| body)
        .map_err(|err| RequestError::Json(err.to_string()))
}

fn parse_task(
    (index, JsonObject(task)): (usize, &JsonObject<TaskBody<'_>>),
) -> Result<Task, RequestError> {
    let max_ms = MAX_DECLARED_RUN_TIME.as_millis() as u64;
    if let Some(ms) = task.declared_ms {
        check_range(&format!("tasks[{index}].declared_ms"), ms, max_ms, "ms")?;
    }
    if !task.class.is_empty() {
        check_name("class", &task.class)?;
    }
    Ok(Task {
        payload: task.payload.get().as_bytes().into(),
        declared_run_time: task.declared_ms.map(Duration::from_millis),
        class: Arc::from(task.class.as_ref()),
    })
}

fn check_range(field: &str, value: u64, max: u64, unit: &str) -> Result<(), RequestError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(RequestError::Range {
        field: field.to_owned(),
        range: format!("1 to {max} {unit}"),
    })
}

/// Hashes the content that must be equal when a key is reused. The deadline may differ.
fn fingerprint(body: &JobBody<'_>) -> u64 {
    let mut hash = Xxh3::new();
    let mut field = |bytes: &[u8]| {
        hash.update(&(bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    };
    field(body.service.as_bytes());
    field(&[u8::from(body.idempotent)]);
    for JsonObject(task) in &body.tasks {
        field(task.payload.get().as_bytes());
        field(task.class.as_bytes());
    }
    hash.digest()
}
