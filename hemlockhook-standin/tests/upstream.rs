//! The upstream stand-in and the workers' stand-in, with each fault.

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

const WAIT: Duration = Duration::from_secs(20);
const LONG: &str = r#"{"run_ms":600000}"#;
const SHORT: &str = r#"{"run_ms":1,"echo":"done"}"#;

struct Fixture {
    threads: Threads,
    addr: SocketAddr,
    upstream: UpstreamStandin,
    client: HttpClient,
    workers: HttpWorkers,
    _stop: Sender<()>,
    _tasks: [Task<()>; 2],
}

type Sent = std::result::Result<Response<Bytes>, HttpError>;

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
        workers: HttpWorkers::new(ex, workers_addr, WAIT),
        threads,
        addr,
        upstream,
        _stop: stop,
        _tasks: tasks,
    }
}

impl Fixture {
    fn send(&self, index: u32, payload: &'static str) -> Task<Sent> {
        let client = self.client.clone();
        let req = Request::post("/v1/tasks")
            .header(JOB_HEADER, "desk%2Fjob%201")
            .header(TASK_HEADER, index)
            .header(ATTEMPT_HEADER, format!("attempt-{index}"))
            .body(Full::new(Bytes::from_static(payload.as_bytes())))
            .unwrap();
        let ex = self.threads.traffic();
        ex.spawn(async move { client.send(req, 1024, WAIT).await })
    }

    fn run(&self, index: u32, payload: &'static str) -> Sent {
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

fn attempt(res: &Response<Bytes>) -> &str {
    res.headers()[ATTEMPT_HEADER].to_str().unwrap()
}

#[googletest::test]
fn a_task_is_run_answered_and_counted() {
    let fixture = start(UpstreamFaults::default());
    let res = fixture.run(3, SHORT).unwrap();
    expect_that!(res.status(), eq(StatusCode::OK));
    expect_that!(res.body().as_ref(), eq(br#""done""#.as_slice()));
    expect_that!(attempt(&res), eq("attempt-3"));

    fixture.run(3, SHORT).unwrap();
    fixture.run(4, SHORT).unwrap();
    let counted = HashMap::from([
        ("desk/job 1/3".to_owned(), 2),
        ("desk/job 1/4".to_owned(), 1),
    ]);
    expect_that!(fixture.upstream.start_counts(), eq(&counted));
    expect_that!(fixture.upstream.status().doubled, eq(1));
}

#[googletest::test]
fn a_task_whose_request_is_dropped_is_stopped() {
    let fixture = start(UpstreamFaults::default());
    let task = fixture.send(0, LONG);
    fixture.wait_until(|upstream| upstream.status().running == 1);
    async_io::block_on(task.cancel());
    fixture.wait_until(|upstream| upstream.status().running == 0);
    expect_that!(fixture.upstream.status().finished, eq(0));
}

#[googletest::test]
fn faults_fail_half_answer_and_close() {
    let fixture = start(UpstreamFaults::default());
    let set = |faults| fixture.upstream.set_faults(faults);
    set(UpstreamFaults {
        fail: 1.0,
        ..UpstreamFaults::default()
    });
    let failed = fixture.run(0, SHORT).unwrap();
    expect_that!(failed.status(), eq(StatusCode::INTERNAL_SERVER_ERROR));

    set(UpstreamFaults {
        half_answer: 1.0,
        ..UpstreamFaults::default()
    });
    expect_that!(fixture.run(1, SHORT), err(anything()));

    set(UpstreamFaults {
        close: 1.0,
        ..UpstreamFaults::default()
    });
    expect_that!(
        fixture.run(2, SHORT),
        err(matches_pattern!(HttpError::Exchange(_)))
    );
}

#[googletest::test]
fn an_answer_for_another_task_names_the_other_attempt() {
    let fixture = start(UpstreamFaults::default());
    fixture.run(0, SHORT).unwrap();
    fixture.upstream.set_faults(UpstreamFaults {
        answer_other: 1.0,
        ..UpstreamFaults::default()
    });
    let crossed = fixture.run(1, SHORT).unwrap();
    expect_that!(attempt(&crossed), eq("attempt-0"));
}

#[googletest::test]
fn an_answer_can_be_sent_twice() {
    let fixture = start(UpstreamFaults {
        answer_twice: 1.0,
        ..UpstreamFaults::default()
    });
    let mut stream = TcpStream::connect(fixture.addr).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    let head = format!(
        "POST /v1/tasks HTTP/1.1\r\nhost: cutter\r\n{JOB_HEADER}: job\r\n{TASK_HEADER}: 0\r\n\
         {ATTEMPT_HEADER}: one\r\ncontent-length: {}\r\n\r\n{SHORT}",
        SHORT.len()
    );
    stream.write_all(head.as_bytes()).unwrap();

    let mut answers = Vec::new();
    let mut buf = [0; 1024];
    while String::from_utf8_lossy(&answers).matches("done").count() < 2 {
        let len = stream.read(&mut buf).unwrap();
        assert!(len > 0, "closed before the second answer");
        answers.extend_from_slice(&buf[..len]);
    }
    let (first, second) = answers.split_at(answers.len() / 2);
    expect_that!(first, eq(second));
}

#[googletest::test]
fn the_platform_stops_throttles_and_checkpoints_a_task() {
    let fixture = start(UpstreamFaults::default());
    let task = fixture.send(0, LONG);
    fixture.wait_until(|upstream| upstream.status().running == 1);
    let name = "desk/job 1/0";
    async_io::block_on(async {
        let workers = &fixture.workers;
        workers.throttle("cutter", name, 20).await.unwrap();
        let slowed = async {
            loop {
                let usage = workers.usage("cutter").await.unwrap();
                match usage.tasks.first() {
                    Some(task) if task.percent == 20 => return task.task.clone(),
                    _ => future::yield_now().await,
                }
            }
        };
        expect_that!(slowed.await, eq(name));
        workers.checkpoint("cutter", name).await.unwrap();
        workers.stop("cutter", name).await.unwrap();
        expect_that!(
            task.await.unwrap().status(),
            eq(StatusCode::INTERNAL_SERVER_ERROR)
        );
        let gone = workers.stop("cutter", name).await;
        expect_that!(gone, err(matches_pattern!(WorkersError::NotFound(_))));
    });
}

#[googletest::test]
fn a_lease_that_lapses_stops_its_task() {
    let fixture = start(UpstreamFaults::default());
    let task = fixture.send(0, LONG);
    fixture.wait_until(|upstream| upstream.status().running == 1);
    async_io::block_on(async {
        let workers = &fixture.workers;
        let held = workers.acquire("cutter", "another", WAIT).await.unwrap();
        workers.renew(held.id).await.unwrap();
        workers.release(held.id).await.unwrap();

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
