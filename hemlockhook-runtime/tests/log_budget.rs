//! The limits on the log lines of a daemon.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_runtime::log::{LineBudget, LineKind};

/// Under load, lines such as "a configuration is in force" were lost among the lines about jobs.
#[gtest]
fn lines_about_jobs_do_not_displace_lines_about_the_process() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let admitted = (0..10_000).filter(|_| budget.admit(start, LineKind::Job));
    expect_that!(admitted.count(), lt(10_000));
    expect_that!(budget.admit(start, LineKind::State), is_true());
}

#[gtest]
fn dropped_lines_are_counted_and_the_limits_apply_to_each_second() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let admitted = (0..1000).filter(|_| budget.admit(start, LineKind::State));
    let admitted = admitted.count() as u64;
    expect_that!(budget.take_dropped(), eq(1000 - admitted));
    expect_that!(budget.take_dropped(), eq(0));
    let next = start + Duration::from_secs(1);
    expect_that!(budget.admit(next, LineKind::State), is_true());
}
