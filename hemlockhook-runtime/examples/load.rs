//! Submits jobs to an entry over many connections and prints jobs and tasks per second.
//!
//! `cargo run --release -p hemlockhook-runtime --example load -- ADDR [CALLERS] [TASKS] [SECONDS]
//! [RUN_MS]`: each of the CALLERS callers submits one job of TASKS tasks after another.

use std::collections::BTreeMap;
use std::env;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::http::HttpClient;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;

const STAMP: &str = "hemlockhook-stamp";
const MAX_BODY: usize = 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(1);

/// Number of responses by status, and the latencies of those with status 200.
#[derive(Default)]
struct Tally {
    statuses: BTreeMap<StatusCode, u64>,
    latencies: Vec<Duration>,
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let addr: SocketAddr = args[0].parse().unwrap();
    let number =
        |index: usize, default: u64| args.get(index).map_or(default, |arg| arg.parse().unwrap());
    let (callers, tasks) = (number(1, 64), number(2, 10));
    let (seconds, run_ms) = (number(3, 5), number(4, 1));

    let threads = Threads::start("load", 1);
    let ex = threads.traffic();
    let client = HttpClient::new(ex.clone(), addr, callers as usize);
    let body = Bytes::from(job(tasks, run_ms));
    let stamp = async_io::block_on(fetch_stamp(&client));
    let tally = Arc::new(Mutex::new(Tally::default()));
    let run_id = std::process::id();
    let caller = |caller| {
        let (client, body, tally) = (client.clone(), body.clone(), tally.clone());
        let stamp = stamp.clone();
        ex.spawn(async move {
            for count in 0u64.. {
                let req = Request::post("/v1/jobs")
                    .header("idempotency-key", format!("load-{run_id}-{caller}-{count}"))
                    .header(STAMP, &stamp)
                    .body(Full::new(body.clone()))
                    .unwrap();
                let start = Instant::now();
                let res = client.send(req, MAX_BODY, TIMEOUT).await.unwrap();
                let mut tally = tally.lock().unwrap();
                *tally.statuses.entry(res.status()).or_default() += 1;
                if res.status() == StatusCode::OK {
                    tally.latencies.push(start.elapsed());
                }
            }
        })
    };
    let callers: Vec<_> = (0..callers).map(caller).collect();

    std::thread::sleep(WARM_UP);
    *tally.lock().unwrap() = Tally::default();
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(seconds));
    let tally = std::mem::take(&mut *tally.lock().unwrap());
    report(tally, tasks, start.elapsed());
    drop(callers);
}

/// Fetches the stamp for the keys of new jobs.
async fn fetch_stamp(client: &HttpClient) -> HeaderValue {
    let req = Request::get("/v1/stamps").body(Full::default()).unwrap();
    let res = client.send(req, MAX_BODY, TIMEOUT).await.unwrap();
    res.headers()[STAMP].clone()
}

fn job(tasks: u64, run_ms: u64) -> String {
    let task = format!(r#"{{"payload":{{"run_ms":{run_ms},"echo":1}},"declared_ms":{run_ms}}}"#);
    let tasks = vec![task; tasks as usize].join(",");
    format!(
        r#"{{"team":"sales-desk","service":"quote","idempotent":true,"deadline_ms":20000,"tasks":[{tasks}]}}"#
    )
}

fn report(mut tally: Tally, tasks: u64, elapsed: Duration) {
    tally.latencies.sort();
    let quantile = |q: f64| {
        let index = (tally.latencies.len() as f64 * q) as usize;
        tally.latencies.get(index).copied().unwrap_or_default()
    };
    let rate = tally.latencies.len() as f64 / elapsed.as_secs_f64();
    println!(
        "{rate:.0} jobs a second, {:.0} tasks a second, p50 {:?}, p99 {:?}, answers {:?}",
        rate * tasks as f64,
        quantile(0.5),
        quantile(0.99),
        tally.statuses,
    );
}
