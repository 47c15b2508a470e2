//! HTTP responses to callers, with errors as problem documents of RFC 9457.

use std::time::Duration;

use bytes::Bytes;
use hemlockhook_proto::convert::Reply;
use hemlockhook_types::{Answer, JobKey, Reason};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use serde_json::value::RawValue;

/// Media type of a problem document.
const PROBLEM_JSON: &str = "application/problem+json";

/// `Retry-After` of a job that is still pending.
const PENDING_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` of a job whose owner could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// A response with a buffered body.
pub type HttpResponse = Response<Full<Bytes>>;

#[derive(Serialize)]
struct CompleteBody<'a> {
    answer: &'a str,
    key: &'a str,
    results: Vec<ResultBody<'a>>,
}

/// A task's result: JSON is embedded as is, other text as a string, other bytes as an array of
/// numbers.
#[derive(Serialize)]
#[serde(untagged)]
enum ResultBody<'a> {
    Json(&'a RawValue),
    Text(&'a str),
    Bytes(&'a [u8]),
}

#[derive(Serialize)]
struct PendingBody<'a> {
    answer: &'a str,
    key: &'a str,
}

/// A problem document of RFC 9457, with extension members.
#[derive(Serialize, Default)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    task: Option<u32>,
}

/// Returns the response with the status of a job.
pub fn job_response(key: &JobKey, reply: &Reply) -> HttpResponse {
    match reply {
        Reply::Answer(Answer::Complete(results)) => complete_response(key, results),
        Reply::Answer(answer) => not_complete_response(key, answer),
        Reply::Pending => pending_response(key),
        Reply::NotFound => problem_response(
            StatusCode::NOT_FOUND,
            "no-such-job",
            "no job of this key is known",
        ),
        Reply::KeyReused => problem_response(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the idempotency key was used before with other content",
        ),
        Reply::NotOwner => not_complete_response(
            key,
            &Answer::Unknown {
                reason: Reason::OwnerUnreachable,
                detail: "no entry that owns the key's shard could be reached".to_owned(),
            },
        ),
    }
}

/// Returns a problem document without members about a job.
pub fn problem_response(status: StatusCode, kind: &str, detail: &str) -> HttpResponse {
    let body = Problem {
        kind: problem_type(kind),
        title: status.canonical_reason().unwrap_or_default(),
        status: status.as_u16(),
        detail,
        ..Problem::default()
    };
    serialized_response(status, PROBLEM_JSON, &body)
}

/// Returns a response with a JSON body.
pub fn json_response<T>(status: StatusCode, body: &T) -> HttpResponse
where
    T: Serialize,
{
    serialized_response(status, "application/json", body)
}

fn complete_response(key: &JobKey, results: &[std::sync::Arc<[u8]>]) -> HttpResponse {
    let results = results.iter().map(|bytes| result_body(bytes)).collect();
    json_response(
        StatusCode::OK,
        &CompleteBody {
            answer: "complete",
            key,
            results,
        },
    )
}

fn result_body(bytes: &[u8]) -> ResultBody<'_> {
    match (serde_json::from_slice(bytes), std::str::from_utf8(bytes)) {
        (Ok(json), _) => ResultBody::Json(json),
        (Err(_), Ok(text)) => ResultBody::Text(text),
        (Err(_), Err(_)) => ResultBody::Bytes(bytes),
    }
}

fn pending_response(key: &JobKey) -> HttpResponse {
    let response = json_response(
        StatusCode::ACCEPTED,
        &PendingBody {
            answer: "pending",
            key,
        },
    );
    with_retry_after(response, Some(PENDING_RETRY))
}

fn not_complete_response(key: &JobKey, answer: &Answer) -> HttpResponse {
    let reason = answer.reason().unwrap_or(Reason::OwnerUnreachable);
    let (detail, task, retry_after) = match answer {
        Answer::Complete(_) => ("", None, None),
        Answer::Failed { detail, task, .. } => (detail.as_str(), *task, None),
        Answer::NotRun {
            detail,
            retry_after,
            ..
        } => (detail.as_str(), None, *retry_after),
        // Submitting the same key again may reach the owner.
        Answer::Unknown {
            reason: Reason::OwnerUnreachable,
            detail,
        } => (detail.as_str(), None, Some(UNREACHABLE_RETRY)),
        Answer::Unknown { detail, .. } => (detail.as_str(), None, None),
    };
    let status = status_of(answer, reason);
    let kind: &'static str = answer.kind().into();
    let body = Problem {
        kind: problem_type(&kind.replace('_', "-")),
        title: title_of(answer),
        status: status.as_u16(),
        detail,
        answer: Some(kind),
        reason: Some(reason.to_string()),
        key: Some(key),
        task,
    };
    with_retry_after(
        serialized_response(status, PROBLEM_JSON, &body),
        retry_after,
    )
}

/// Returns the HTTP status of an answer other than `Complete`.
fn status_of(answer: &Answer, reason: Reason) -> StatusCode {
    match (answer, reason) {
        (Answer::Unknown { .. }, Reason::OwnerUnreachable) => StatusCode::SERVICE_UNAVAILABLE,
        (Answer::Unknown { .. }, _) => StatusCode::INTERNAL_SERVER_ERROR,
        (_, Reason::NoSuchService | Reason::NoSuchTeam) => StatusCode::UNPROCESSABLE_ENTITY,
        (Answer::NotRun { .. }, Reason::Quota) => StatusCode::TOO_MANY_REQUESTS,
        (_, Reason::Cancelled) => StatusCode::CONFLICT,
        (Answer::NotRun { .. }, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline | Reason::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
        (_, _) => StatusCode::BAD_GATEWAY,
    }
}

fn title_of(answer: &Answer) -> &'static str {
    match answer {
        Answer::Complete(_) => "The job is complete",
        Answer::Failed { .. } => "The job failed",
        Answer::NotRun { .. } => "The job was not run",
        Answer::Unknown { .. } => "The outcome of the job is unknown",
    }
}

fn problem_type(kind: &str) -> String {
    format!("urn:hemlockhook:problem:{kind}")
}

fn with_retry_after(mut response: HttpResponse, wait: Option<Duration>) -> HttpResponse {
    if let Some(wait) = wait {
        let seconds = wait.as_millis().div_ceil(1_000) as u64;
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn serialized_response<T>(status: StatusCode, media_type: &'static str, body: &T) -> HttpResponse
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(body).expect("response bodies have string keys only");
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
