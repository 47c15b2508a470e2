//! Jobs and queues with values far outside of the usual: they are admitted or refused, and no value
//! stops the process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_dispatch::agent::UpstreamState;
use hemlockhook_dispatch::entry::{
    Action, AgentReport, DispatchPolicy, Dispatcher, Refusal, Submission,
};
use hemlockhook_dispatch::{
    Amounts, AttemptEnd, JobSpec, MAX_TASKS, Outcome, QueueConfig, StepSpec, Unsupported,
};

use crate::fixture::{hello, take_granted};

fn amounts(cpu: u64) -> Amounts {
    Amounts {
        cpu,
        memory_mb: cpu,
        gpus: 0,
    }
}

fn step(tasks: u32, declared_run_time: Duration) -> StepSpec {
    StepSpec {
        tasks,
        need: amounts(1000),
        declared_run_time,
        ..StepSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: "job".into(),
        payload: "x".into(),
        steps,
        is_stored: false,
        repetitions: 0,
    }
}

fn queue(stretch: f64, latency_target: Duration, priority: u32) -> Arc<QueueConfig> {
    Arc::new(QueueConfig {
        name: "q".into(),
        host: "h".into(),
        path_prefix: "/q/".into(),
        service: "s".into(),
        priority,
        attempts: 2,
        stretch,
        latency_target,
        timeout: None,
        needs_recommendation: false,
    })
}

/// Submits a job to an entry with one agent, ends what it orders, and runs ticks until its timeout.
fn run(
    capacity: u64,
    pace: f64,
    spec: JobSpec,
    queue_config: Arc<QueueConfig>,
) -> std::result::Result<usize, Refusal> {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatchPolicy::default());
    let key = dispatcher
        .linked(now, hello(1, 0))
        .expect("the link is not refused");
    let state = UpstreamState {
        is_usable: true,
        description: 1,
        service: "s".into(),
        instance: "u".into(),
        capacity: amounts(capacity),
        free: amounts(capacity),
        labels: Vec::new(),
        waiting: 0,
        pace,
        entries: 1,
        share: 1.0,
        running: Default::default(),
        pairs: None,
    };
    let report = AgentReport {
        orders_seen: 0,
        state: Some(state),
        ends: Vec::new(),
        held: None,
    };
    dispatcher.reported(now, key, report);
    let submission = Submission {
        spec,
        queue_config,
        caller_timeout: Some(Duration::MAX),
        caller_seen: Some(now),
    };
    dispatcher.submit(now, submission)?;
    let mut orders = 0;
    for action in take_granted(&mut dispatcher, now) {
        let Action::Run(order) = action else {
            continue;
        };
        orders += 1;
        let end = AttemptEnd {
            task: order.run.task,
            outcome: Outcome::Done,
            run_ms: u32::MAX,
        };
        let report = AgentReport {
            orders_seen: 0,
            state: None,
            ends: vec![end],
            held: None,
        };
        dispatcher.reported(now, key, report);
    }
    for hours in 0..30 {
        dispatcher.tick(now + Duration::from_secs(3600) * hours);
    }
    Ok(orders)
}

#[gtest]
fn a_job_with_too_many_tasks_is_refused() {
    let queue_config = queue(1.6, Duration::from_millis(60), 0);
    let second = Duration::from_secs(1);
    for steps in [
        vec![step(u32::MAX, second)],
        vec![step(u32::MAX, second); 3],
        vec![step(MAX_TASKS as u32, second), step(1, second)],
    ] {
        let refusal = run(64_000, 1.0, job(steps), queue_config.clone());
        let expected = Refusal::Unsupported(Unsupported::Tasks);
        expect_that!(refusal, err(eq(&expected)));
    }
    let most = vec![step(MAX_TASKS as u32, second)];
    expect_that!(run(64_000, 1.0, job(most), queue_config), ok(gt(&0)));
}

#[gtest]
fn a_job_of_any_declared_run_time_is_admitted_or_refused() {
    for run_time in [Duration::ZERO, Duration::from_nanos(1), Duration::MAX] {
        let chain = |index: usize| StepSpec {
            depends_on: (0..index).collect(),
            ..step(1, run_time)
        };
        let steps = (0..200).map(chain).collect();
        let queue_config = queue(1.6, Duration::from_millis(60), 0);
        expect_that!(run(64_000, 1.0, job(steps), queue_config), ok(gt(&0)));
    }
}

#[gtest]
fn a_queue_of_any_objective_is_served() {
    for stretch in [-1e300, -1.0, 0.0, 1e30, 1e300, f64::MAX] {
        for latency_target in [Duration::ZERO, Duration::MAX] {
            for priority in [0, u32::MAX] {
                let queue_config = queue(stretch, latency_target, priority);
                let steps = vec![step(3, Duration::from_millis(50))];
                expect_that!(run(64_000, 1.0, job(steps), queue_config), ok(eq(&3)));
            }
        }
    }
}

#[gtest]
fn an_upstream_of_any_capacity_and_pace_is_used() {
    for capacity in [1000, u64::MAX] {
        for pace in [0.001, f64::from(u32::MAX) / 1000.0] {
            let steps = vec![step(8, Duration::MAX)];
            let queue_config = queue(1.6, Duration::from_millis(60), 0);
            expect_that!(run(capacity, pace, job(steps), queue_config), ok(gt(&0)));
        }
    }
}
