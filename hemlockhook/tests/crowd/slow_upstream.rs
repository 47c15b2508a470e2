//! A job of many short tasks, and an upstream that answers calls slowly.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;

use crate::deployment::Deployment;
use crate::jobs::submit_all;
use crate::one_at_a_time;

/// Tasks of the job, far more than the upstream is called for in the time that a caller waits.
const TASKS: usize = 1200;

/// Time that the upstream takes for each call, one after the other.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Clients of each crowd. Each submits one job and leaves.
const CLIENTS: usize = 8;

/// Crowds that come one after the other.
const CROWDS: usize = 3;

/// Calls for each crowd that the upstream has received when the crowd leaves.
const CALLS: usize = 200;

/// Guards against calls that time out while they wait for each other, and whose retries keep the upstream
/// busy for good.
#[gtest]
fn a_slow_upstream_serves_ordinary_jobs_after_one_of_many_tasks() {
    let _lock = one_at_a_time();
    let mut deployment = Deployment::start("slow-upstream", 1, 1);
    deployment.workers[0].set_call_time(CALL_TIME);
    let steps = json!([{"count": TASKS, "cpu": 1, "estimatedMs": 20}]);
    let body = json!({"spec": "20", "bestEffort": true, "steps": steps}).to_string();
    let [callers, ..] = deployment.entry_addresses[0];
    for _ in 0..CROWDS {
        let before = deployment.workers[0].calls();
        let crowd = submit_all(callers, CLIENTS, &body);
        expect_that!(crowd, len(eq(CLIENTS)));
        deployment.wait_for(|deployment| deployment.workers[0].calls() >= before + CALLS);
        drop(crowd);
        deployment.wait_for(|deployment| deployment.submit(0, "after", 2, 20) == Some(200));
    }
    expect_true!(deployment.agents[0].is_alive());
}
