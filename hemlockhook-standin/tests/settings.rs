//! Tests parsing and validation of the daemon's settings.

use googletest::prelude::*;
use hemlockhook_runtime::settings;
use hemlockhook_standin::{Outage, Settings};

#[googletest::test]
fn settings_of_every_role_are_parsed() {
    let settings = settings::parse::<Settings>(
        "
log:
  address: 127.0.0.1:7100
  faults: { outage: hang, lose_replies: 0.5 }
upstreams:
  - { name: a, address: '127.0.0.1:7201', speed: 2.5 }
  - { name: b, worker: w, address: '127.0.0.1:7202', faults: { half_answer: 1 } }
workers:
  address: 127.0.0.1:7300
",
    )
    .unwrap();
    let log = settings.log.unwrap();
    expect_that!(log.faults.outage, eq(Outage::Hang));
    expect_that!(settings.upstreams[0].worker_name(), eq("a"));
    expect_that!(settings.upstreams[1].worker_name(), eq("w"));
    expect_that!(settings.upstreams[1].faults.half_answer, eq(1.0));
    expect_that!(settings.workers.unwrap().usage_lag_ms, eq(2000));
}

#[googletest::test]
fn every_problem_is_reported() {
    let problems = settings::parse::<Settings>(
        "
log_level: loud
threads: 0
log:
  address: here
  faults: { outage: partly, lose_replies: 2 }
upstreams:
  - { name: '', address: '127.0.0.1:7201', colour: red }
",
    )
    .unwrap_err();
    let messages: Vec<String> = problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"));
}
