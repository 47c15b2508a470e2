//! The real programs as processes: each kind of answer, and faults of upstreams.

mod support;

use googletest::prelude::*;
use serde_json::json;
use support::caller::Job;
use support::cluster::{Cluster, Shape};

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(7)
}

#[gtest]
fn a_job_is_answered_whole_and_its_resubmission_runs_nothing() {
    async_io::block_on(async {
        let cluster = Cluster::start("whole", Shape::default()).await;
        let job = Job::new("job-1", &[20, 30, 40, 20, 20, 20, 20, 20]);
        let first = cluster.call(&job, &mut rng()).await;
        expect_true!(first.is_complete(), "{first:?}");
        for entry in 0..2 {
            let again = cluster.submit(entry, &job, "", support::LONG).await;
            expect_that!(again, some(eq(&first)));
        }
        expect_that!(cluster.starts().await.len(), eq(8));
        expect_that!(cluster.doubled().await, is_empty());
    });
}

#[gtest]
fn a_job_that_can_never_run_is_refused_at_once() {
    async_io::block_on(async {
        let cluster = Cluster::start("never", Shape::default()).await;
        let job = Job {
            service: "no-such-thing".to_owned(),
            ..Job::new("job-1", &[20])
        };
        let outcome = cluster.call(&job, &mut rng()).await;
        let told = (outcome.answer.as_str(), outcome.reason.as_str());
        expect_that!(told, (eq("not_run"), eq("no_such_service")));
        expect_that!(cluster.starts().await.is_empty(), eq(true));
    });
}

#[gtest]
fn a_failing_task_fails_its_job_and_stops_the_rest() {
    async_io::block_on(async {
        let shape = Shape {
            agents: 2,
            ..Shape::default()
        };
        let cluster = Cluster::start("failing", shape).await;
        cluster.set_upstream_faults(0, json!({"fail": 1.0})).await;
        // Eight slots: some of the tasks fail at once, others would run for long or are queued.
        let job = Job::new("job-1", &[30_000; 24]);
        let outcome = cluster.call(&job, &mut rng()).await;
        expect_that!(outcome.answer, eq("failed"));
        expect_that!(outcome.reason, eq("upstream_failed"));
        let stopped = async || cluster.running().await == 0;
        cluster.wait_for("the rest is stopped", stopped).await;
        expect_that!(cluster.starts().await.len(), lt(24));
    });
}

#[gtest]
fn an_upstream_that_hangs_fails_its_jobs_and_no_others() {
    async_io::block_on(async {
        let shape = Shape {
            agents: 2,
            max_task_ms: 1_500,
            ..Shape::default()
        };
        let cluster = Cluster::start("hangs", shape).await;
        cluster.set_upstream_faults(0, json!({"hang": 1.0})).await;
        // Its tasks fill the slots of both upstreams.
        let wide = cluster.call(&Job::new("wide", &[300; 8]), &mut rng()).await;
        let told = (wide.answer.as_str(), wide.reason.as_str());
        expect_that!(
            told,
            (eq("failed"), any!(eq("upstream_failed"), eq("timed_out")))
        );

        let mut answers = Vec::new();
        for number in 0..12 {
            let job = Job::new(&format!("job-{number}"), &[20]);
            let outcome = cluster.call(&job, &mut rng()).await;
            expect_true!(
                outcome.is_complete() || outcome.answer == "failed",
                "{outcome:?}"
            );
            answers.push(outcome.answer);
        }
        expect_that!(answers, contains(eq("complete")));
        cluster
            .wait_for("it is stopped", async || cluster.running().await == 0)
            .await;
    });
}

#[gtest]
fn doubled_halved_and_crossed_answers_reach_no_other_job() {
    async_io::block_on(async {
        let cluster = Cluster::start("crossed", Shape::default()).await;
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
            let outcome = cluster.call(&job, &mut rng()).await;
            match outcome.answer.as_str() {
                "complete" => {
                    expect_true!(outcome.whole, "{}: {outcome:?}", job.key);
                    complete += 1;
                }
                answer => expect_that!(answer, eq("failed")),
            }
        }
        expect_that!(complete, gt(0));
        expect_that!(cluster.doubled().await, is_empty());
    });
}

#[gtest]
fn a_wave_of_cancellations_stops_everything_at_once() {
    async_io::block_on(async {
        let cluster = Cluster::start("wave", Shape::default()).await;
        let jobs: Vec<_> = (0..60)
            .map(|number| Job::new(&format!("job-{number}"), &[60_000; 4]))
            .collect();
        for job in &jobs {
            let pending = cluster
                .submit(0, job, &cluster.stamps(), support::SHORT)
                .await;
            expect_that!(pending, none());
        }
        cluster
            .wait_for("tasks run", async || cluster.running().await == 12)
            .await;

        for job in &jobs {
            let outcome = cluster.cancel(1, job).await;
            let answers = outcome.map(|outcome| (outcome.answer, outcome.reason));
            let (answer, reason) = answers.unwrap_or_default();
            expect_that!(answer, any!(eq("failed"), eq("not_run")), "{}", job.key);
            expect_that!(reason, eq("cancelled"));
            let started = cluster.starts().await;
            if answer == "not_run" {
                let ran = (0..4).any(|index| started.contains_key(&job.task(index)));
                expect_false!(ran, "{}", job.key);
            }
        }
        cluster
            .wait_for("all is stopped", async || cluster.running().await == 0)
            .await;
        let outcome = cluster.call(&Job::new("after", &[20]), &mut rng()).await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}
