//! Tests failures of agents, entries and the log while jobs run, with the daemons as processes.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_io::Timer;
use googletest::prelude::*;
use hemlockhook_types::{SHARD_COUNT, shard_of};
use serde_json::json;
use support::caller::{Job, Outcome};
use support::cluster::{Cluster, ClusterConfig};

fn rng(seed: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed)
}

/// Submits jobs concurrently, runs `action` once a task is running, and returns the outcomes.
async fn submit_during<F>(cluster: &mut Cluster, jobs: &[Job], action: F) -> Vec<Outcome>
where
    F: AsyncFnOnce(&mut Cluster),
{
    let stamps = cluster.stamps();
    let submitter = cluster.submitter();
    let ex = cluster.threads.traffic();
    let calls = jobs.iter().zip(1..).map(|(job, seed)| {
        let (submitter, job, stamps) = (submitter.clone(), job.clone(), stamps.clone());
        ex.spawn(async move {
            submitter
                .submit_until_answered(&job, &stamps, &mut rng(seed))
                .await
        })
    });
    let calls: Vec<_> = calls.collect();
    cluster
        .wait_for("tasks run", async || cluster.running_tasks().await > 0)
        .await;
    action(cluster).await;
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await);
    }
    outcomes
}

fn jobs(count: usize, tasks: &[u64]) -> Vec<Job> {
    (0..count)
        .map(|number| Job::new(&format!("job-{number}"), tasks))
        .collect()
}

async fn expect_no_task_started_twice(cluster: &Cluster) {
    expect_that!(cluster.tasks_started_twice().await, is_empty());
}

#[gtest]
fn killing_an_agent_fails_only_the_jobs_with_tasks_running_there() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("agent-killed", ClusterConfig::default()).await;
        let jobs = jobs(30, &[300, 300]);
        let outcomes = submit_during(&mut cluster, &jobs, async |cluster| {
            cluster.agents[0].process.kill();
        })
        .await;
        let lost = outcomes.iter().filter(|outcome| !outcome.is_complete());
        for outcome in lost.clone() {
            let answer_and_reason = (outcome.answer.as_str(), outcome.reason.as_str());
            expect_that!(answer_and_reason, (eq("failed"), eq("upstream_lost")));
        }
        // At most the 4 tasks that were running there, each of a different job.
        expect_that!(lost.count(), le(4));
        expect_no_task_started_twice(&cluster).await;

        // After a restart, the agent joins and the cluster runs jobs again.
        cluster.restart_agent(0);
        cluster.wait_until_all_ready().await;
        let outcome = cluster
            .submit_until_answered(&Job::new("after", &[20]), &mut rng(1))
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}

#[gtest]
fn killing_an_entry_with_waiting_jobs_leaves_no_outcome_unknown() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("entry-killed", ClusterConfig::default()).await;
        let jobs = jobs(40, &[150, 150]);
        let outcomes = submit_during(&mut cluster, &jobs, async |cluster| {
            cluster.entries[0].process.kill();
        })
        .await;
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            expect_true!(outcome.is_complete(), "{}: {outcome:?}", job.key);
        }
        expect_no_task_started_twice(&cluster).await;
    });
}

/// The starts that the agent made for the entry are lost with both, so outcomes may be unknown.
#[gtest]
fn killing_an_entry_and_an_agent_together_starts_nothing_twice() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("both-killed", ClusterConfig::default()).await;
        let jobs = jobs(40, &[300, 300]);
        let outcomes = submit_during(&mut cluster, &jobs, async |cluster| {
            cluster.entries[0].process.kill();
            cluster.agents[0].process.kill();
        })
        .await;
        let count = |answer: &str| {
            outcomes
                .iter()
                .filter(|outcome| outcome.answer == answer)
                .count()
        };
        println!(
            "of {} jobs: {} complete, {} failed, {} unknown",
            jobs.len(),
            count("complete"),
            count("failed"),
            count("unknown")
        );
        expect_no_task_started_twice(&cluster).await;
        expect_that!(
            cluster.contradicted_answers(&jobs, &outcomes).await,
            is_empty()
        );
        for outcome in outcomes.iter().filter(|outcome| !outcome.is_complete()) {
            let answer_and_reason = (outcome.answer.as_str(), outcome.reason.as_str());
            let known = [
                ("unknown", "account_incomplete"),
                ("failed", "upstream_lost"),
            ];
            expect_true!(known.contains(&answer_and_reason), "{outcome:?}");
        }
    });
}

/// A shard is served again once a new job in it, created with current stamps, is complete.
#[gtest]
fn the_shards_of_a_killed_entry_are_taken_over_by_the_others() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("takeover", ClusterConfig::default()).await;
        cluster.entries[0].process.kill();
        let killed = Instant::now();
        let mut served = BTreeSet::new();
        let mut number = 0;
        while served.len() < usize::from(SHARD_COUNT) {
            number += 1;
            let job = Job::new(&format!("fresh-{number}"), &[1]);
            let shard = shard_of(&format!("farms/{}", job.key));
            if served.contains(&shard) {
                continue;
            }
            let stamps = cluster.stamps();
            let outcome = cluster
                .submit(1, &job, &stamps, support::LONG_TIMEOUT)
                .await;
            if outcome.is_some_and(|outcome| outcome.is_complete()) {
                served.insert(shard);
            }
        }
        println!(
            "all shards are served {:?} after the kill",
            killed.elapsed()
        );
        expect_no_task_started_twice(&cluster).await;
    });
}

#[gtest]
fn a_graceful_stop_of_an_agent_and_an_entry_under_load_interrupts_no_job() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("graceful", ClusterConfig::default()).await;
        let jobs = jobs(40, &[150, 150]);
        let outcomes = submit_during(&mut cluster, &jobs, async |cluster| {
            cluster.agents[0].process.terminate();
            cluster.entries[0].process.terminate();
            let agent = async { cluster.agents[0].process.wait() };
            expect_that!(agent.await, some(eq(0)));
            expect_that!(cluster.entries[0].process.wait(), some(eq(0)));
        })
        .await;
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            expect_true!(outcome.is_complete(), "{}: {outcome:?}", job.key);
        }
        // The starts of the agent that left are known to the agent that adopted its records.
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            let again = cluster.submit(1, job, "", support::LONG_TIMEOUT).await;
            expect_that!(again.as_ref(), some(eq(outcome)), "{}", job.key);
        }
        expect_no_task_started_twice(&cluster).await;
    });
}

#[gtest]
fn new_jobs_run_while_the_log_is_down() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("log-down", ClusterConfig::default()).await;
        let first = cluster
            .submit_until_answered(&Job::new("first", &[20]), &mut rng(1))
            .await;
        expect_true!(first.is_complete(), "{first:?}");
        cluster.set_log_faults(json!({"outage": "hang"})).await;
        for job in jobs(10, &[20, 20]) {
            let outcome = cluster.submit_until_answered(&job, &mut rng(2)).await;
            expect_true!(outcome.is_complete(), "{outcome:?}");
        }
        // They also run after an entry is killed: its shards are taken over without a log record.
        cluster.entries[0].process.kill();
        let owns_all = async || {
            let job = Job::new("probe", &[20]);
            cluster
                .submit(1, &job, "", support::LONG_TIMEOUT)
                .await
                .is_some()
        };
        cluster
            .wait_for("the other entry owns all shards", owns_all)
            .await;
        expect_no_task_started_twice(&cluster).await;
    });
}

#[gtest]
fn jobs_run_once_a_log_that_was_down_at_startup_is_back() {
    async_io::block_on(async {
        let faults = json!({"outage": "refuse"});
        let cluster =
            Cluster::start_without_waiting("log-late", ClusterConfig::default(), faults).await;
        let job = Job::new("early", &[20]);
        let early = cluster.submit(0, &job, "", support::SHORT_TIMEOUT).await;
        let is_complete = early.is_some_and(|outcome| outcome.is_complete());
        expect_false!(is_complete);
        expect_that!(cluster.start_counts().await.len(), eq(0));

        cluster.set_log_faults(json!({})).await;
        cluster.publish(ClusterConfig::default()).await;
        cluster.wait_until_all_ready().await;
        let outcome = cluster
            .submit_until_answered(&Job::new("late", &[20]), &mut rng(1))
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}

#[gtest]
fn a_paused_or_partitioned_agent_starts_nothing_for_a_former_owner() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("paused", ClusterConfig::default()).await;
        let jobs = jobs(30, &[100, 100]);
        let outcomes = submit_during(&mut cluster, &jobs, async |cluster| {
            cluster.agents[0].process.pause();
            cluster.relays[1].set_partitioned(true);
            cluster.entries[0].process.kill();
            Timer::after(Duration::from_secs(2)).await;
            cluster.agents[0].process.resume();
            cluster.relays[1].set_partitioned(false);
        })
        .await;
        for outcome in &outcomes {
            let is_explained = outcome.is_complete() || !outcome.reason.is_empty();
            expect_true!(is_explained, "{outcome:?}");
        }
        expect_no_task_started_twice(&cluster).await;
        expect_that!(
            cluster.contradicted_answers(&jobs, &outcomes).await,
            is_empty()
        );
    });
}

#[gtest]
fn a_resumed_entry_does_not_start_what_its_successor_started() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("entry-paused", ClusterConfig::default()).await;
        let jobs = jobs(30, &[100, 100]);
        let outcomes = submit_during(&mut cluster, &jobs, async |cluster| {
            cluster.entries[0].process.pause();
            Timer::after(Duration::from_secs(4)).await;
            cluster.entries[0].process.resume();
        })
        .await;
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            expect_true!(outcome.is_complete(), "{}: {outcome:?}", job.key);
        }
        expect_no_task_started_twice(&cluster).await;
    });
}
