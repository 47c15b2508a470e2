//! Tests the log client against the log stand-in with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_net::TcpListener;
use googletest::prelude::*;
use hemlockhook_ports::{HttpLog, Log, LogError};
use hemlockhook_runtime::executor::Threads;
use hemlockhook_standin::{LogFaults, LogSettings, LogStandin, Outage};
use hemlockhook_types::SystemClock;

const STREAM: &str = "membership";
const TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    threads: Threads,
    standin: LogStandin,
    addr: SocketAddr,
    log: HttpLog,
    _stop: Sender<()>,
    _task: Task<()>,
}

fn start(configure: fn(&mut LogSettings)) -> Fixture {
    let threads = Threads::start("log", 2);
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut cfg = LogSettings::new(addr);
    configure(&mut cfg);
    let standin = LogStandin::new(cfg, Arc::new(SystemClock));
    let (stop, stopped) = async_channel::bounded(1);
    let ex = threads.traffic();
    let task = ex.spawn(standin.clone().serve(ex.clone(), listener, stopped));
    let log = HttpLog::new(ex, addr, TIMEOUT);
    Fixture {
        threads,
        standin,
        addr,
        log,
        _stop: stop,
        _task: task,
    }
}

impl Fixture {
    fn append(&self, body: &'static str) -> std::result::Result<u64, LogError> {
        async_io::block_on(self.log.append(STREAM, body.into()))
    }

    fn bodies(&self, from: u64) -> std::result::Result<Vec<String>, LogError> {
        let batch = async_io::block_on(self.log.read(STREAM, from, 100))?;
        let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
        Ok(batch
            .records
            .iter()
            .map(|record| text(&record.body))
            .collect())
    }
}

#[googletest::test]
fn records_are_read_in_offset_order() {
    let fixture = start(|_| ());
    expect_that!(fixture.append("a"), ok(eq(&1)));
    expect_that!(fixture.append("b"), ok(eq(&2)));
    expect_that!(fixture.append("c"), ok(eq(&3)));
    expect_that!(
        fixture.bodies(0).unwrap(),
        elements_are![eq("a"), eq("b"), eq("c")]
    );
    expect_that!(fixture.bodies(2).unwrap(), elements_are![eq("b"), eq("c")]);
    expect_that!(fixture.bodies(4).unwrap(), is_empty());
    expect_that!(fixture.bodies(400).unwrap(), is_empty());
    let batch = async_io::block_on(fixture.log.read("another", 0, 10)).unwrap();
    expect_that!((batch.first_retained, batch.end), eq((1, 1)));
}

#[googletest::test]
fn reading_expired_records_reports_the_truncation() {
    let fixture = start(|cfg| cfg.retain_records = 2);
    for body in ["a", "b", "c"] {
        fixture.append(body).unwrap();
    }
    let truncated = LogError::Truncated { first_retained: 2 };
    expect_that!(fixture.bodies(1), err(eq(&truncated)));
    expect_that!(fixture.bodies(0).unwrap(), elements_are![eq("b"), eq("c")]);
}

#[googletest::test]
fn appends_during_an_outage_have_no_effect() {
    let fixture = start(|cfg| cfg.faults.outage = Outage::Refuse);
    expect_that!(
        fixture.append("a"),
        err(matches_pattern!(LogError::Unavailable(_)))
    );
    expect_that!(
        fixture.bodies(0),
        err(matches_pattern!(LogError::Unavailable(_)))
    );
    fixture.standin.set_faults(LogFaults::default());
    expect_that!(fixture.append("b"), ok(eq(&1)));
}

#[googletest::test]
fn an_append_with_a_lost_reply_takes_effect() {
    let fixture = start(|cfg| cfg.faults.lose_replies = 1.0);
    expect_that!(
        fixture.append("a"),
        err(matches_pattern!(LogError::Uncertain(_)))
    );
    expect_that!(fixture.bodies(0).unwrap(), elements_are![eq("a")]);
}

#[googletest::test]
fn an_append_that_times_out_may_take_effect() {
    let fixture = start(|cfg| cfg.faults.extra_latency_ms = 60_000);
    let short_timeout_log = HttpLog::new(
        fixture.threads.traffic(),
        fixture.addr,
        Duration::from_millis(500),
    );
    let res = async_io::block_on(short_timeout_log.append(STREAM, "a".into()));
    expect_that!(res, err(matches_pattern!(LogError::Uncertain(_))));
    fixture.standin.set_faults(LogFaults::default());
    expect_that!(fixture.bodies(0).unwrap(), elements_are![eq("a")]);
}

#[googletest::test]
fn a_refused_connection_is_reported_as_unavailable() {
    let threads = Threads::start("log", 1);
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let log = HttpLog::new(threads.traffic(), addr, TIMEOUT);
    let res = async_io::block_on(log.append(STREAM, "a".into()));
    expect_that!(res, err(matches_pattern!(LogError::Unavailable(_))));
}

#[googletest::test]
fn an_oversize_record_is_rejected() {
    let fixture = start(|cfg| cfg.max_record_bytes = 3);
    expect_that!(
        fixture.append("four"),
        err(matches_pattern!(LogError::Rejected(_)))
    );
    expect_that!(fixture.append("two"), ok(eq(&1)));
}
