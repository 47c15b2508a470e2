//! Tests each kind of answer and the faults of upstreams, with the daemons as processes.

mod support;

use googletest::prelude::*;
use serde_json::json;
use support::caller::Job;
use support::cluster::{Cluster, ClusterConfig};

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(7)
}

#[gtest]
fn a_job_returns_all_results_and_its_resubmission_starts_nothing() {
    async_io::block_on(async {
        let cluster = Cluster::start("resubmission", ClusterConfig::default()).await;
        let job = Job::new("job-1", &[20, 30, 40, 20, 20, 20, 20, 20]);
        let first = cluster.submit_until_answered(&job, &mut rng()).await;
        expect_true!(first.is_complete(), "{first:?}");
        for entry in 0..2 {
            let again = cluster.submit(entry, &job, "", support::LONG_TIMEOUT).await;
            expect_that!(again, some(eq(&first)));
        }
        expect_that!(cluster.start_counts().await.len(), eq(8));
        expect_that!(cluster.tasks_started_twice().await, is_empty());
    });
}

#[gtest]
fn a_job_of_an_unknown_service_is_refused_at_once() {
    async_io::block_on(async {
        let cluster = Cluster::start("unknown-service", ClusterConfig::default()).await;
        let job = Job {
            service: "no-such-thing".to_owned(),
            ..Job::new("job-1", &[20])
        };
        let outcome = cluster.submit_until_answered(&job, &mut rng()).await;
        let answer_and_reason = (outcome.answer.as_str(), outcome.reason.as_str());
        expect_that!(answer_and_reason, (eq("not_run"), eq("no_such_service")));
        expect_that!(cluster.start_counts().await.is_empty(), eq(true));
    });
}

#[gtest]
fn a_failing_task_fails_its_job_and_stops_its_other_tasks() {
    async_io::block_on(async {
        let cfg = ClusterConfig {
            agents: 2,
            ..ClusterConfig::default()
        };
        let cluster = Cluster::start("failing", cfg).await;
        cluster.set_upstream_faults(0, json!({"fail": 1.0})).await;
        // There are 8 slots: some of the tasks fail at once, others run for long or stay queued.
        let job = Job::new("job-1", &[30_000; 24]);
        let outcome = cluster.submit_until_answered(&job, &mut rng()).await;
        expect_that!(outcome.answer, eq("failed"));
        expect_that!(outcome.reason, eq("upstream_failed"));
        let is_stopped = async || cluster.running_tasks().await == 0;
        cluster
            .wait_for("the other tasks are stopped", is_stopped)
            .await;
        expect_that!(cluster.start_counts().await.len(), lt(24));
    });
}

#[gtest]
fn a_hanging_upstream_fails_only_its_own_jobs() {
    async_io::block_on(async {
        let cfg = ClusterConfig {
            agents: 2,
            max_task_ms: 1_500,
            ..ClusterConfig::default()
        };
        let cluster = Cluster::start("hangs", cfg).await;
        cluster.set_upstream_faults(0, json!({"hang": 1.0})).await;
        // The tasks of this job fill the slots of both upstreams.
        let wide = cluster
            .submit_until_answered(&Job::new("wide", &[300; 8]), &mut rng())
            .await;
        let answer_and_reason = (wide.answer.as_str(), wide.reason.as_str());
        expect_that!(
            answer_and_reason,
            (eq("failed"), any!(eq("upstream_failed"), eq("timed_out")))
        );

        let mut answers = Vec::new();
        for number in 0..12 {
            let job = Job::new(&format!("job-{number}"), &[20]);
            let outcome = cluster.submit_until_answered(&job, &mut rng()).await;
            expect_true!(
                outcome.is_complete() || outcome.answer == "failed",
                "{outcome:?}"
            );
            answers.push(outcome.answer);
        }
        expect_that!(answers, contains(eq("complete")));
        cluster
            .wait_for("all tasks are stopped", async || {
                cluster.running_tasks().await == 0
            })
            .await;
    });
}

#[gtest]
fn duplicate_truncated_and_swapped_results_reach_no_other_job() {
    async_io::block_on(async {
        let cluster = Cluster::start("swapped", ClusterConfig::default()).await;
        cluster
            .set_upstream_faults(0, json!({"answer_twice": 0.3}))
            .await;
        cluster
            .set_upstream_faults(1, json!({"answer_other": 0.3}))
            .await;
        let faults = json!({"half_answer": 0.2, "close": 0.2});
        cluster.set_upstream_faults(2, faults).await;
        let mut complete = 0;
        for number in 0..60 {
            let job = Job::new(&format!("job-{number}"), &[5, 5]);
            let outcome = cluster.submit_until_answered(&job, &mut rng()).await;
            match outcome.answer.as_str() {
                "complete" => {
                    expect_true!(outcome.has_expected_results, "{}: {outcome:?}", job.key);
                    complete += 1;
                }
                answer => expect_that!(answer, eq("failed")),
            }
        }
        expect_that!(complete, gt(0));
        expect_that!(cluster.tasks_started_twice().await, is_empty());
    });
}

#[gtest]
fn many_cancellations_stop_all_tasks() {
    async_io::block_on(async {
        let cluster = Cluster::start("cancellations", ClusterConfig::default()).await;
        let jobs: Vec<_> = (0..60)
            .map(|number| Job::new(&format!("job-{number}"), &[60_000; 4]))
            .collect();
        for job in &jobs {
            let is_accepted = cluster.submit_without_waiting(0, job).await;
            expect_true!(is_accepted, "{}", job.key);
        }
        cluster
            .wait_for("tasks run", async || cluster.running_tasks().await == 12)
            .await;

        for job in &jobs {
            let outcome = cluster.cancel(1, job).await;
            let answers = outcome.map(|outcome| (outcome.answer, outcome.reason));
            let (answer, reason) = answers.unwrap_or_default();
            expect_that!(answer, any!(eq("failed"), eq("not_run")), "{}", job.key);
            expect_that!(reason, eq("cancelled"));
            let started = cluster.start_counts().await;
            if answer == "not_run" {
                let has_started = (0..4).any(|index| started.contains_key(&job.task_name(index)));
                expect_false!(has_started, "{}", job.key);
            }
        }
        cluster
            .wait_for("all tasks are stopped", async || {
                cluster.running_tasks().await == 0
            })
            .await;
        let outcome = cluster
            .submit_until_answered(&Job::new("after", &[20]), &mut rng())
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}
