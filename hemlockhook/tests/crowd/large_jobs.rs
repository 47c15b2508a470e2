//! Crowds whose jobs take more work than the upstreams do in the time that their clients wait.

use googletest::prelude::*;
use serde_json::json;

use crate::deployment::Deployment;
use crate::jobs::submit_all;
use crate::one_at_a_time;

/// Clients of the crowd. Each submits one job and waits.
const CLIENTS: usize = 200;

/// Steps of each job, of one task that takes half of an upstream for some milliseconds.
const STEPS: usize = 2000;

/// Ordinary jobs that are submitted while the crowd is connected, and as many afterwards.
const ORDINARY_JOBS: usize = 3;

/// Guards against ordinary jobs that pay for the backlog of jobs which nobody can answer in time.
#[gtest]
fn ordinary_jobs_are_answered_beside_and_after_jobs_of_too_much_work() {
    let _lock = one_at_a_time();
    let settings = ["overload: by_class\nplacement: by_run_times\n", ""];
    let mut deployment = Deployment::start_limited("large-jobs", 1, 1, settings);
    let step = json!({"count": 1, "cpu": 4000, "estimatedMs": 50});
    let steps = vec![step; STEPS];
    let body = json!({"spec": "50", "bestEffort": true, "steps": steps}).to_string();
    let [callers, ..] = deployment.entry_addresses[0];
    let crowd = submit_all(callers, CLIENTS, &body);
    expect_that!(crowd, len(eq(CLIENTS)));
    for index in 0..ORDINARY_JOBS {
        let status = deployment.submit(0, &format!("beside-{index}"), 2, 50);
        expect_that!(status, some(eq(200)));
    }
    drop(crowd);
    for index in 0..ORDINARY_JOBS {
        let status = deployment.submit(0, &format!("after-{index}"), 2, 50);
        expect_that!(status, some(eq(200)));
    }
    expect_true!(deployment.entries[0].is_alive());
}
