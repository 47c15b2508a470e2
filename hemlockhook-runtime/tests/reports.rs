//! Output formats of logs and metrics.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use googletest::prelude::*;
use hemlockhook_runtime::log::{self, LogError};
use hemlockhook_runtime::metrics::Metrics;
use insta::assert_snapshot;
use opentelemetry::KeyValue;

/// A writer that collects its input.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[googletest::test]
fn lines_about_a_job_carry_its_key_and_the_task() {
    let sink = Sink::default();
    log::init_with_writer("info", sink.clone()).unwrap();
    log::job("desk/\"quoted\"\n").debug("not written");
    log::job("desk/\"quoted\"\n").info("submitted");
    log::task("desk/2", 7).warn("failed");
    spdlog::error!("no job here", kv: { agent = 9 });

    let written = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<String> = written.lines().map(without_varying_fields).collect();
    assert_snapshot!(lines.join("\n"));
}

/// Removes the timestamp and the thread ID from a line.
fn without_varying_fields(line: &str) -> String {
    let mut value: serde_json::Value = serde_json::from_str(line).unwrap();
    let fields = value.as_object_mut().unwrap();
    expect_that!(fields.remove("timestamp"), some(anything()));
    expect_that!(fields.remove("tid"), some(anything()));
    value.to_string()
}

#[googletest::test]
fn an_unknown_level_is_refused() {
    let err = log::init("loud").unwrap_err();
    expect_that!(err, matches_pattern!(LogError::UnknownLevel(eq("loud"))));
}

#[googletest::test]
fn metrics_are_rendered_as_prometheus_text() {
    let metrics = Metrics::new();
    let meter = metrics.meter();
    let tasks = meter.u64_counter("hemlockhook_tasks").build();
    tasks.add(3, &[KeyValue::new("end", "ok")]);
    tasks.add(2, &[KeyValue::new("end", "failed")]);
    meter.u64_gauge("hemlockhook_queued").build().record(5, &[]);
    assert_snapshot!(metrics.render());
}
