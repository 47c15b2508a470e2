//! Upstreams that leave calls unanswered while their tasks go on.

use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::deployment::Deployment;

const UPSTREAMS: usize = 4;

/// Number of tasks of the job. They don't fit on all upstreams but one, and leave room for a part of what
/// one runs.
const TASKS: usize = 26;

const RUN_MS: u64 = 3000;

/// Submits a job, has the first upstream leave its calls unanswered for `silence` while `disturb` is
/// called, and checks that the job is completed without two runs of a task at once.
fn check_silence(deployment: &Deployment, id: &str, silence: Duration, disturb: impl Fn()) {
    let upstream = &deployment.workers[0];
    // All agents are linked and all upstreams known once each has run a task.
    deployment.wait_for(|deployment| {
        deployment.submit(0, &format!("{id}w"), TASKS, 5);
        deployment.workers.iter().all(|worker| worker.starts() > 0)
    });
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| deployment.submit(0, id, TASKS, RUN_MS));
        deployment.wait_for(|deployment| deployment.running_tasks().len() == TASKS);
        expect_that!(upstream.running(), gt(0));
        // Some calls are answered and renew the lease first.
        thread::sleep(Duration::from_millis(400));
        upstream.set_mute(true);
        disturb();
        thread::sleep(silence);
        upstream.set_mute(false);
        caller.join().expect("the caller does not panic")
    });
    expect_that!(answer, some(eq(200)));
    expect_that!(deployment.violations(), is_empty());
}

/// Suspends the machine of the first agent and its upstream, which run nothing.
fn suspend(deployment: &Deployment, time: Duration) {
    deployment.agents[0].set_paused(true);
    thread::sleep(time);
    assert!(deployment.workers[0].discount_suspend(time));
    deployment.agents[0].set_paused(false);
}

/// Guards against the fault of review/4: the agent counted the time of the suspend as time of the
/// upstream's clock, asked for too long leases, and gave up runs whose leases had not ended.
#[gtest]
fn a_silent_upstream_whose_machine_was_suspended_keeps_its_runs_until_their_lease_ends() {
    let deployment = Deployment::start("suspended", 1, UPSTREAMS);
    for (round, suspended_ms) in [3000, 700].into_iter().enumerate() {
        suspend(&deployment, Duration::from_millis(suspended_ms));
        // The clock was corrected by 2% of the time that passed.
        thread::sleep(Duration::from_millis(1500));
        let silence = Duration::from_millis(1200);
        check_silence(&deployment, &format!("s{round}"), silence, || {});
    }
}

/// A heartbeat of another writer, with a later start than the known upstream's.
pub fn foreign_heartbeat(service: &str) -> Value {
    json!({
        "service": service, "address": "127.0.0.1:9", "zone": "here", "version": "v1", "slots": 8,
        "state": "ready", "coldMs": 0, "labels": ["a", "r1-1"],
        "freeCapacity": {"cpu": 8000, "taskMemoryMb": 4096},
        "clockMs": 1000, "sequence": 1, "born": 60_000,
    })
}

/// Has another writer announce an upstream to the first agent while its own leaves calls unanswered.
fn check_foreign_heartbeat(name: &str, service: &str) {
    let deployment = Deployment::start(name, 1, UPSTREAMS);
    let silence = Duration::from_millis(400);
    check_silence(&deployment, "f", silence, || {
        // Before, between and after the calls that are left unanswered.
        for _ in 0..4 {
            let path = "/hemlockhook/Instances.Heartbeat/i-other";
            let body = foreign_heartbeat(service).to_string().into_bytes();
            expect_that!(deployment.announce(0, path, body), some(anything()));
            thread::sleep(silence / 6);
        }
    });
}

/// Guards against the fault of review/5: the agent gave up its upstream's runs for an announcement
/// while their lease lasted.
#[gtest]
fn a_heartbeat_of_another_service_does_not_end_the_runs_of_a_silent_upstream() {
    check_foreign_heartbeat("foreign", "ledger");
}

/// Guards against the fault of review/5 where the other writer names the same service.
#[gtest]
fn a_heartbeat_of_another_instance_does_not_end_the_runs_of_a_silent_upstream() {
    check_foreign_heartbeat("stray", "desk");
}
