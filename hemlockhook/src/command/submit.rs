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
use crate::output::{Exit, Format, failure, line, print_json, usage};

const IDEMPOTENCY_KEY: &str = "idempotency-key";

const STAMP: &str = "hemlockhook-stamp";

/// Time that an entry may take for its answer after the job's deadline.
const GRACE: Duration = Duration::from_secs(5);

/// Submits a job and prints its answer.
pub fn run(args: &SubmitArgs) -> eyre::Result<Exit> {
    let body = body(args)?;
    let client = Client::start();
    let key = args
        .key
        .clone()
        .unwrap_or_else(|| Uuid::now_v7().to_string());
    let stamps = match &args.stamps {
        Some(stamps) => Some(stamps.clone()),
        // A key that was made before may only be sent with the stamps held then, or with none.
        None if args.key.is_some() && !args.new_key => None,
        None => Some(fresh_stamps(&client, args)?),
    };

    let mut req = Request::post("/v1/jobs").header(IDEMPOTENCY_KEY, &key);
    if let Some(stamps) = &stamps {
        req = req.header(STAMP, stamps);
    }
    let req = req
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|e| usage(e.to_string()))?;
    match client.send(args.to, req, args.deadline + GRACE) {
        Ok(res) => print_answer(args, &key, &res),
        Err(HttpError::Connect(why)) => Err(unreachable(args, &why.to_string())),
        Err(why) => {
            let again = again(args, &key, stamps.as_deref());
            Err(failure(
                Exit::Unsettled,
                format!("no answer, and tasks may have run: {why}\nto ask again: {again}"),
            ))
        }
    }
}

fn body(args: &SubmitArgs) -> eyre::Result<Value> {
    let task = |payload: &String| -> eyre::Result<Value> {
        let payload: Value = serde_json::from_str(payload)
            .map_err(|e| usage(format!("the payload `{payload}` is not JSON: {e}")))?;
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

/// Gets the stamps to hold for a new key.
fn fresh_stamps(client: &Client, args: &SubmitArgs) -> eyre::Result<String> {
    let req = Request::get("/v1/stamps").body(Full::default())?;
    let res = client
        .send(args.to, req, REQUEST_TIMEOUT)
        .map_err(|why| unreachable(args, &why.to_string()))?;
    let stamps = res.headers().get(STAMP).and_then(|v| v.to_str().ok());
    stamps
        .map(str::to_owned)
        .ok_or_else(|| unreachable(args, &format!("it gave no stamps: {}", res.status())))
}

fn print_answer(args: &SubmitArgs, key: &str, res: &Response<Bytes>) -> eyre::Result<Exit> {
    let answer: Value = serde_json::from_slice(res.body()).unwrap_or(Value::Null);
    let kind = answer["answer"].as_str().unwrap_or("none");
    match (args.output, kind) {
        (Format::Json, _) => print_json(&answer)?,
        (Format::Text, "complete") => {
            line!("complete: {}/{key}", args.team);
            let results = answer["results"].as_array().into_iter().flatten();
            results.for_each(|result| line!("{result}"));
        }
        (Format::Text, _) => {
            let detail = answer["detail"].as_str().unwrap_or_default();
            line!("{kind}: {}/{key}: {}: {detail}", args.team, res.status());
        }
    }
    Ok(match kind {
        "complete" => Exit::Ok,
        "unknown" | "pending" => Exit::Unsettled,
        _ => Exit::Negative,
    })
}

fn unreachable(args: &SubmitArgs, why: &str) -> eyre::Report {
    failure(Exit::Unreachable, format!("entry {}: {why}", args.to))
}

fn again(args: &SubmitArgs, key: &str, stamps: Option<&str>) -> String {
    let stamps = stamps.map_or_else(String::new, |stamps| format!(" --stamps '{stamps}'"));
    format!("the same command with --key {key}{stamps} --to {}", args.to)
}
