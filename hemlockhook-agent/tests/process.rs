//! Tests of a complete agent on loopback sockets, with stand-ins for the log and the upstream.

mod support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::FutureExt;
use googletest::prelude::*;
use hemlockhook_agent::{AgentProcess, Settings};
use hemlockhook_ports::{HttpLog, Log};
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::agent_client::AgentClient;
use hemlockhook_proto::v1::task_result::Kind;
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::grpc;
use hemlockhook_runtime::http::HttpClient;
use hemlockhook_standin::{
    LogFaults, LogSettings, LogStandin, Outage, UpstreamSettings, UpstreamStandin,
};
use hemlockhook_types::SystemClock;
use http::Request;
use support::{SERVICE, config, hello, inventory, start, starts};
use tonic::Streaming;

/// Long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    threads: Threads,
    log: LogStandin,
    log_addr: SocketAddr,
    upstream: UpstreamStandin,
    upstream_addr: SocketAddr,
    _stop: Sender<()>,
    _serve: [Task<()>; 2],
}

impl Fixture {
    async fn new() -> Self {
        let threads = Threads::start("process", 2);
        let ex = threads.traffic();
        let clock = Arc::new(SystemClock);
        let (stop, stopped) = async_channel::bounded(1);
        let (log_listener, log_addr) = bind().await;
        let log = LogStandin::new(LogSettings::new(log_addr), clock.clone());
        let (upstream_listener, upstream_addr) = bind().await;
        let cfg = UpstreamSettings::new("desk-1", upstream_addr);
        let upstream = UpstreamStandin::new(cfg, clock);
        let serve = [
            ex.spawn(log.clone().serve(ex.clone(), log_listener, stopped.clone())),
            ex.spawn(
                upstream
                    .clone()
                    .serve(ex.clone(), upstream_listener, stopped),
            ),
        ];
        Self {
            threads,
            log,
            log_addr,
            upstream,
            upstream_addr,
            _stop: stop,
            _serve: serve,
        }
    }

    async fn publish(&self, slots: u32) {
        let log = HttpLog::new(self.threads.traffic(), self.log_addr, TIMEOUT);
        let record = config(0, &inventory(slots, SERVICE));
        let appended = log.append("config", record.into()).await;
        expect_that!(appended, ok(anything()));
    }

    async fn start_agent(&self) -> AgentProcess {
        let loopback = "127.0.0.1:0";
        let text = format!(
            "name: desk-1\ndata_center: osijek\nlink_address: {loopback}\nadmin_address: {loopback}\n\
             upstream_address: {}\nlog_address: {}\n",
            self.upstream_addr, self.log_addr
        );
        let settings: Settings = serde_saphyr::from_str(&text).unwrap();
        let (control, traffic) = (self.threads.control(), self.threads.traffic());
        AgentProcess::start(&settings, control, traffic, Arc::new(SystemClock))
            .await
            .unwrap()
    }

    /// Opens a link to an agent as an entry.
    async fn link_entry(&self, agent: &AgentProcess) -> EntryLink {
        let ex = self.threads.traffic();
        let channel = grpc::connect(ex, agent.link_addr(), TIMEOUT).await.unwrap();
        let (tx, rx) = async_channel::unbounded();
        tx.send(hello(5)).await.unwrap();
        let link = AgentClient::new(channel).link(rx).await.unwrap();
        EntryLink {
            tx,
            frames: link.into_inner(),
        }
    }

    async fn get(&self, agent: &AgentProcess, path: &str) -> (u16, String) {
        let client = HttpClient::new(self.threads.traffic(), agent.admin_addr(), 1);
        let req = Request::get(path)
            .body(http_body_util::Full::default())
            .unwrap();
        let res = client.send(req, 1 << 20, TIMEOUT).await.unwrap();
        let text = String::from_utf8_lossy(res.body()).into_owned();
        (res.status().as_u16(), text)
    }

    async fn wait_ready(&self, agent: &AgentProcess) {
        while self.get(agent, "/health/ready").await.0 != 200 {
            Timer::after(Duration::from_millis(10)).await;
        }
    }
}

/// An entry's end of a link.
struct EntryLink {
    tx: Sender<v1::EntryFrame>,
    frames: Streaming<v1::AgentFrame>,
}

impl EntryLink {
    /// Returns the next frame, or `None` if the link has ended.
    async fn next_frame(&mut self) -> Option<v1::AgentFrame> {
        let frame = async { self.frames.message().await.ok().flatten() };
        let timeout = async {
            Timer::after(TIMEOUT).await;
            panic!("agent sent no frame in time");
        };
        frame.or(timeout).await
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn start_with_run_time(index: u32, run_ms: u64) -> v1::Start {
    let key = format!("farms/job-{index}");
    v1::Start {
        payload: format!(r#"{{"run_ms":{run_ms}}}"#).into_bytes(),
        ..start(&key, 0)
    }
}

#[gtest]
fn joins_after_a_log_outage_once_the_inventory_lists_it() {
    async_io::block_on(async {
        let fixture = Fixture::new().await;
        fixture.log.set_faults(LogFaults {
            outage: Outage::Refuse,
            ..LogFaults::default()
        });
        let agent = fixture.start_agent().await;
        let (status, text) = fixture.get(&agent, "/health/ready").await;
        expect_that!(
            (status, text.as_str()),
            (eq(503), starts_with("not joined"))
        );
        expect_that!(fixture.get(&agent, "/health/live").await.0, eq(200));

        fixture.log.set_faults(LogFaults::default());
        fixture.publish(2).await;
        fixture.wait_ready(&agent).await;
        let (_, status) = fixture.get(&agent, "/v1/status").await;
        expect_that!(status, contains_substring(r#""joined":true"#));
        let (_, metrics) = fixture.get(&agent, "/metrics").await;
        expect_that!(metrics, contains_substring("agent_joined"));
    });
}

#[gtest]
fn stop_under_load_loses_no_result() {
    async_io::block_on(async {
        let fixture = Fixture::new().await;
        fixture.publish(8).await;
        let agent = fixture.start_agent().await;
        fixture.wait_ready(&agent).await;
        let mut entry = fixture.link_entry(&agent).await;

        let mut started = HashSet::new();
        let mut ended = HashSet::new();
        let mut refused = HashSet::new();
        let mut stopping = Some(agent);
        let mut stopped = None;
        let mut index = 0;
        while let Some(frame) = entry.next_frame().await {
            for done in frame.done {
                expect_that!(done.result.unwrap().kind(), eq(Kind::Ok));
                ended.insert(done.key);
            }
            refused.extend(frame.refusals.into_iter().map(|refusal| refusal.key));
            // All grants are used, even after the agent announced that it is leaving.
            let tasks: Vec<_> = (0..frame.grants)
                .map(|n| start_with_run_time(index + n, 20))
                .collect();
            index += frame.grants;
            started.extend(tasks.iter().map(|task| task.key.clone()));
            let _ = entry.tx.send(starts(tasks)).await;
            if index > 100
                && let Some(agent) = stopping.take()
            {
                stopped = Some(fixture.threads.traffic().spawn(agent.stop()));
            }
            if frame.recalled_grants > 0 {
                let returned = support::returned(frame.recalled_grants);
                let _ = entry.tx.send(returned).await;
            }
        }
        expect_that!(started.len(), eq(ended.len() + refused.len()));
        expect_that!(ended.len() as u64, eq(fixture.upstream.status().finished));
        drop(entry);
        stopped.expect("stop was not requested").await;
    });
}

#[gtest]
fn crash_closes_links_and_aborts_tasks() {
    async_io::block_on(async {
        let fixture = Fixture::new().await;
        fixture.publish(2).await;
        let agent = fixture.start_agent().await;
        fixture.wait_ready(&agent).await;
        let mut entry = fixture.link_entry(&agent).await;
        entry
            .tx
            .send(starts(vec![start_with_run_time(0, 600_000)]))
            .await
            .unwrap();
        while fixture.upstream.status().running == 0 {
            Timer::after(Duration::from_millis(10)).await;
        }

        drop(agent);
        while entry.next_frame().await.is_some() {}
        while fixture.upstream.status().running > 0 {
            Timer::after(Duration::from_millis(10)).await;
        }
    });
}
