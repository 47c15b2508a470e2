//! `hemlockhook submit`.

use std::time::Duration;

use bytes::Bytes;
use hemlockhook_runtime::http::HttpError;
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::cli::SubmitArgs;
use crate::client::{Client, REQUEST_TIMEOUT};
use crate::output::{Exit, Format, failure, outln, print_json, usage_error};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const STAMP_HEADER: &str = "hemlockhook-stamp";

/// Time to wait for the entry's response after the job's deadline.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);

/// Submits a job and prints its answer.
pub fn run(args: &SubmitArgs) -> eyre::Result<Exit> {
    let body = job_body(args)?;
    let client = Client::start();
    let key = args
        .key
        .clone()
        .unwrap_or_else(|| Uuid::now_v7().to_string());
    let stamps = match &args.stamps {
        Some(stamps) => Some(stamps.clone()),
        // An existing key may be sent only with the stamps held when it was created, or with none.
        None if args.key.is_some() && !args.new_key => None,
        None => Some(fetch_stamps(&client, args)?),
    };

    let mut req = Request::post("/v1/jobs").header(IDEMPOTENCY_KEY_HEADER, &key);
    if let Some(stamps) = &stamps {
        req = req.header(STAMP_HEADER, stamps);
    }
    let req = req
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|e| usage_error(e.to_string()))?;
    match client.send(args.to, req, args.deadline + RESPONSE_GRACE) {
        Ok(res) => print_answer(args, &key, &res),
        Err(HttpError::Connect(err)) => Err(unreachable(args, &err.to_string())),
        Err(err) => {
            let retry = retry_command(args, &key, stamps.as_deref());
            Err(failure(
                Exit::Unsettled,
                format!("no response, and tasks may have run: {err}\nto retry: {retry}"),
            ))
        }
    }
}

fn job_body(args: &SubmitArgs) -> eyre::Result<Value> {
    let task = |payload: &String| -> eyre::Result<Value> {
        let payload: Value = serde_json::from_str(payload)
            .map_err(|e| usage_error(format!("the payload `{payload}` is not JSON: {e}")))?;
        Ok(match &args.class {
            Some(class) => json!({ "payload": payload, "class": class }),
            None => json!({ "payload": payload }),
        })
    };
    let tasks: Vec<Value> = args
        .payloads
        .iter()
        .map(task)
        .collect::<eyre::Result<_>>()?;
    Ok(json!({
        "team": args.team,
        "service": args.service,
        "idempotent": args.idempotent,
        "deadline_ms": args.deadline.as_millis() as u64,
        "tasks": tasks,
    }))
}

/// Fetches the current stamps, for a new key.
fn fetch_stamps(client: &Client, args: &SubmitArgs) -> eyre::Result<String> {
    let req = Request::get("/v1/stamps").body(Full::default())?;
    let res = client
        .send(args.to, req, REQUEST_TIMEOUT)
        .map_err(|err| unreachable(args, &err.to_string()))?;
    let stamps = res
        .headers()
        .get(STAMP_HEADER)
        .and_then(|v| v.to_str().ok());
    stamps.map(str::to_owned).ok_or_else(|| {
        unreachable(
            args,
            &format!("the response has no stamps: {}", res.status()),
        )
    })
}

fn print_answer(args: &SubmitArgs, key: &str, res: &Response<Bytes>) -> eyre::Result<Exit> {
    let answer: Value = serde_json::from_slice(res.body()).unwrap_or(Value::Null);
    let kind = answer["answer"].as_str().unwrap_or("none");
    match (args.output, kind) {
        (Format::Json, _) => print_json(&answer)?,
        (Format::Text, "complete") => {
            outln!("complete: {}/{key}", args.team);
            let results = answer["results"].as_array().into_iter().flatten();
            results.for_each(|result| outln!("{result}"));
        }
        (Format::Text, _) => {
            let detail = answer["detail"].as_str().unwrap_or_default();
            outln!("{kind}: {}/{key}: {}: {detail}", args.team, res.status());
        }
    }
    Ok(match kind {
        "complete" => Exit::Ok,
        "unknown" | "pending" => Exit::Unsettled,
        _ => Exit::Negative,
    })
}

fn unreachable(args: &SubmitArgs, reason: &str) -> eyre::Report {
    failure(Exit::Unreachable, format!("entry {}: {reason}", args.to))
}

fn retry_command(args: &SubmitArgs, key: &str, stamps: Option<&str>) -> String {
    let stamps = stamps.map_or_else(String::new, |stamps| format!(" --stamps '{stamps}'"));
    format!("the same command with --key {key}{stamps} --to {}", args.to)
}
