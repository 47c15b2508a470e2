//! Tests the upstream stand-in and the worker stand-in with injected faults.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::future;
use googletest::prelude::*;
use hemlockhook_ports::{HttpWorkers, Workers, WorkersError};
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::http::{HttpClient, HttpError};
use hemlockhook_standin::{
    ATTEMPT_HEADER, JOB_HEADER, TASK_HEADER, UpstreamFaults, UpstreamSettings, UpstreamStandin,
    WorkerSettings, WorkerStandin,
};
use hemlockhook_types::SystemClock;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

const TIMEOUT: Duration = Duration::from_secs(20);
const LONG_TASK: &str = r#"{"run_ms":600000}"#;
const SHORT_TASK: &str = r#"{"run_ms":1,"echo":"done"}"#;

struct Fixture {
    threads: Threads,
    addr: SocketAddr,
    upstream: UpstreamStandin,
    client: HttpClient,
    workers: HttpWorkers,
    _stop: Sender<()>,
    _tasks: [Task<()>; 2],
}

type SendResult = std::result::Result<Response<Bytes>, HttpError>;

fn start(faults: UpstreamFaults) -> Fixture {
    let threads = Threads::start("upstream", 2);
    let bind = || async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let (listener, workers_listener) = (bind(), bind());
    let addr = listener.local_addr().unwrap();
    let workers_addr = workers_listener.local_addr().unwrap();

    let clock = Arc::new(SystemClock);
    let cfg = UpstreamSettings {
        faults,
        ..UpstreamSettings::new("cutter", addr)
    };
    let upstream = UpstreamStandin::new(cfg, clock.clone());
    let cfg = WorkerSettings {
        usage_lag_ms: 0,
        ..WorkerSettings::new(workers_addr)
    };
    let table = (upstream.worker_name().to_owned(), upstream.running_tasks());
    let workers = WorkerStandin::new(cfg, clock, [table]);

    let ex = threads.traffic();
    let (stop, stopped) = async_channel::bounded(1);
    let tasks = [
        ex.spawn(
            upstream
                .clone()
                .serve(ex.clone(), listener, stopped.clone()),
        ),
        ex.spawn(workers.serve(ex.clone(), workers_listener, stopped)),
    ];
    Fixture {
        client: HttpClient::new(ex.clone(), addr, 4),
        workers: HttpWorkers::new(ex, workers_addr, TIMEOUT),
        threads,
        addr,
        upstream,
        _stop: stop,
        _tasks: tasks,
    }
}

impl Fixture {
    fn send(&self, index: u32, payload: &'static str) -> Task<SendResult> {
        let client = self.client.clone();
        let req = Request::post("/v1/tasks")
            .header(JOB_HEADER, "desk%2Fjob%201")
            .header(TASK_HEADER, index)
            .header(ATTEMPT_HEADER, format!("attempt-{index}"))
            .body(Full::new(Bytes::from_static(payload.as_bytes())))
            .unwrap();
        let ex = self.threads.traffic();
        ex.spawn(async move { client.send(req, 1024, TIMEOUT).await })
    }

    fn run(&self, index: u32, payload: &'static str) -> SendResult {
        async_io::block_on(self.send(index, payload))
    }

    fn wait_until<F>(&self, condition: F)
    where
        F: Fn(&UpstreamStandin) -> bool,
    {
        while !condition(&self.upstream) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn attempt_id(res: &Response<Bytes>) -> &str {
    res.headers()[ATTEMPT_HEADER].to_str().unwrap()
}

#[googletest::test]
fn a_task_is_run_answered_and_counted() {
    let fixture = start(UpstreamFaults::default());
    let res = fixture.run(3, SHORT_TASK).unwrap();
    expect_that!(res.status(), eq(StatusCode::OK));
    expect_that!(res.body().as_ref(), eq(br#""done""#.as_slice()));
    expect_that!(attempt_id(&res), eq("attempt-3"));

    fixture.run(3, SHORT_TASK).unwrap();
    fixture.run(4, SHORT_TASK).unwrap();
    let expected_counts = HashMap::from([
        ("desk/job 1/3".to_owned(), 2),
        ("desk/job 1/4".to_owned(), 1),
    ]);
    expect_that!(fixture.upstream.start_counts(), eq(&expected_counts));
    expect_that!(fixture.upstream.status().doubled, eq(1));
}

#[googletest::test]
fn a_cancelled_request_stops_its_task() {
    let fixture = start(UpstreamFaults::default());
    let task = fixture.send(0, LONG_TASK);
    fixture.wait_until(|upstream| upstream.status().running == 1);
    async_io::block_on(task.cancel());
    fixture.wait_until(|upstream| upstream.status().running == 0);
    expect_that!(fixture.upstream.status().finished, eq(0));
}

#[googletest::test]
fn fail_half_answer_and_close_faults_are_injected() {
    let fixture = start(UpstreamFaults::default());
    let set_faults = |faults| fixture.upstream.set_faults(faults);
    set_faults(UpstreamFaults {
        fail: 1.0,
        ..UpstreamFaults::default()
    });
    let failed = fixture.run(0, SHORT_TASK).unwrap();
    expect_that!(failed.status(), eq(StatusCode::INTERNAL_SERVER_ERROR));

    set_faults(UpstreamFaults {
        half_answer: 1.0,
        ..UpstreamFaults::default()
    });
    expect_that!(fixture.run(1, SHORT_TASK), err(anything()));

    set_faults(UpstreamFaults {
        close: 1.0,
        ..UpstreamFaults::default()
    });
    expect_that!(
        fixture.run(2, SHORT_TASK),
        err(matches_pattern!(HttpError::Exchange(_)))
    );
}

#[googletest::test]
fn answer_other_repeats_the_previous_attempt_id() {
    let fixture = start(UpstreamFaults::default());
    fixture.run(0, SHORT_TASK).unwrap();
    fixture.upstream.set_faults(UpstreamFaults {
        answer_other: 1.0,
        ..UpstreamFaults::default()
    });
    let res = fixture.run(1, SHORT_TASK).unwrap();
    expect_that!(attempt_id(&res), eq("attempt-0"));
}

#[googletest::test]
fn answer_twice_sends_the_same_response_twice() {
    let fixture = start(UpstreamFaults {
        answer_twice: 1.0,
        ..UpstreamFaults::default()
    });
    let mut stream = TcpStream::connect(fixture.addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let req = format!(
        "POST /v1/tasks HTTP/1.1\r\nhost: cutter\r\n{JOB_HEADER}: job\r\n{TASK_HEADER}: 0\r\n\
         {ATTEMPT_HEADER}: one\r\ncontent-length: {}\r\n\r\n{SHORT_TASK}",
        SHORT_TASK.len()
    );
    stream.write_all(req.as_bytes()).unwrap();

    let mut responses = Vec::new();
    let mut buf = [0; 1024];
    while String::from_utf8_lossy(&responses).matches("done").count() < 2 {
        let len = stream.read(&mut buf).unwrap();
        assert!(
            len > 0,
            "the connection was closed before the second response"
        );
        responses.extend_from_slice(&buf[..len]);
    }
    let (first, second) = responses.split_at(responses.len() / 2);
    expect_that!(first, eq(second));
}

#[googletest::test]
fn worker_commands_throttle_checkpoint_and_stop_a_task() {
    let fixture = start(UpstreamFaults::default());
    let task = fixture.send(0, LONG_TASK);
    fixture.wait_until(|upstream| upstream.status().running == 1);
    let name = "desk/job 1/0";
    async_io::block_on(async {
        let workers = &fixture.workers;
        workers.throttle("cutter", name, 20).await.unwrap();
        let throttled = async {
            loop {
                let usage = workers.usage("cutter").await.unwrap();
                match usage.tasks.first() {
                    Some(task) if task.percent == 20 => return task.task.clone(),
                    _ => future::yield_now().await,
                }
            }
        };
        expect_that!(throttled.await, eq(name));
        workers.checkpoint("cutter", name).await.unwrap();
        workers.stop("cutter", name).await.unwrap();
        expect_that!(
            task.await.unwrap().status(),
            eq(StatusCode::INTERNAL_SERVER_ERROR)
        );
        let repeated_stop = workers.stop("cutter", name).await;
        expect_that!(
            repeated_stop,
            err(matches_pattern!(WorkersError::NotFound(_)))
        );
    });
}

#[googletest::test]
fn an_expired_lease_stops_its_task() {
    let fixture = start(UpstreamFaults::default());
    let task = fixture.send(0, LONG_TASK);
    fixture.wait_until(|upstream| upstream.status().running == 1);
    async_io::block_on(async {
        let workers = &fixture.workers;
        let released = workers.acquire("cutter", "another", TIMEOUT).await.unwrap();
        workers.renew(released.id).await.unwrap();
        workers.release(released.id).await.unwrap();

        let ttl = Duration::from_millis(1);
        let lease = workers.acquire("cutter", "desk/job 1/0", ttl).await;
        expect_that!(
            task.await.unwrap().status(),
            eq(StatusCode::INTERNAL_SERVER_ERROR)
        );
        let renewed = workers.renew(lease.unwrap().id).await;
        expect_that!(renewed, err(matches_pattern!(WorkersError::NotFound(_))));
    });
}
