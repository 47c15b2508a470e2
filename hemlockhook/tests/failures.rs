//! The real programs as processes: agents, entries and the log fail while jobs run.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_io::Timer;
use googletest::prelude::*;
use hemlockhook_types::{SHARD_COUNT, shard_of};
use serde_json::json;
use support::{Cluster, Job, Outcome, Shape};

fn rng(seed: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed)
}

/// Submits jobs of a few tasks at once, does something when they run, and returns their outcomes.
async fn call_during<F>(cluster: &mut Cluster, jobs: &[Job], during: F) -> Vec<Outcome>
where
    F: AsyncFnOnce(&mut Cluster),
{
    let stamps = cluster.stamps();
    let submitter = cluster.submitter();
    let ex = cluster.threads.traffic();
    let calls = jobs.iter().zip(1..).map(|(job, seed)| {
        let (submitter, job, stamps) = (submitter.clone(), job.clone(), stamps.clone());
        ex.spawn(async move { submitter.call_with(&job, &stamps, &mut rng(seed)).await })
    });
    let calls: Vec<_> = calls.collect();
    cluster
        .wait_for("tasks run", async || cluster.running().await > 0)
        .await;
    during(cluster).await;
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

async fn expect_nothing_doubled(cluster: &Cluster) {
    expect_that!(cluster.doubled().await, is_empty());
}

#[gtest]
fn an_agent_killed_with_tasks_running_fails_their_jobs_and_no_others() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("agent-killed", Shape::default()).await;
        let jobs = jobs(30, &[300, 300]);
        let outcomes = call_during(&mut cluster, &jobs, async |cluster| {
            cluster.agents[0].process.kill();
        })
        .await;
        let lost = outcomes.iter().filter(|outcome| !outcome.is_complete());
        for outcome in lost.clone() {
            let told = (outcome.answer.as_str(), outcome.reason.as_str());
            expect_that!(told, (eq("failed"), eq("upstream_lost")));
        }
        // At most the four tasks that ran there, each of another job.
        expect_that!(lost.count(), le(4));
        expect_nothing_doubled(&cluster).await;

        // A restarted one joins and takes work again.
        cluster.restart_agent(0);
        cluster.wait_ready().await;
        let outcome = cluster.call(&Job::new("after", &[20]), &mut rng(1)).await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}

#[gtest]
fn an_entry_killed_with_jobs_waiting_leaves_no_job_in_doubt() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("entry-killed", Shape::default()).await;
        let jobs = jobs(40, &[150, 150]);
        let outcomes = call_during(&mut cluster, &jobs, async |cluster| {
            cluster.entries[0].process.kill();
        })
        .await;
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            expect_true!(outcome.is_complete(), "{}: {outcome:?}", job.key);
        }
        expect_nothing_doubled(&cluster).await;
    });
}

/// Nobody can tell any more what the agent had started for the entry.
#[gtest]
fn an_entry_and_an_agent_killed_together_leave_doubt_but_start_nothing_twice() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("both-killed", Shape::default()).await;
        let jobs = jobs(40, &[300, 300]);
        let outcomes = call_during(&mut cluster, &jobs, async |cluster| {
            cluster.entries[0].process.kill();
            cluster.agents[0].process.kill();
        })
        .await;
        let count = |answer: &str| outcomes.iter().filter(|told| told.answer == answer).count();
        println!(
            "of {} jobs: {} complete, {} failed, {} unknown",
            jobs.len(),
            count("complete"),
            count("failed"),
            count("unknown")
        );
        expect_nothing_doubled(&cluster).await;
        expect_that!(cluster.mistold(&jobs, &outcomes).await, is_empty());
        for outcome in outcomes.iter().filter(|told| !told.is_complete()) {
            let told = (outcome.answer.as_str(), outcome.reason.as_str());
            let known = [
                ("unknown", "account_incomplete"),
                ("failed", "upstream_lost"),
            ];
            expect_true!(known.contains(&told), "{outcome:?}");
        }
    });
}

/// A shard is served again once a fresh job of it, made under new stamps, is complete.
#[gtest]
fn the_shards_of_a_killed_entry_are_soon_served_by_the_others() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("takeover", Shape::default()).await;
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
            let outcome = cluster.submit(1, &job, &stamps, support::LONG).await;
            if outcome.is_some_and(|outcome| outcome.is_complete()) {
                served.insert(shard);
            }
        }
        println!(
            "all shards are served {:?} after the kill",
            killed.elapsed()
        );
        expect_nothing_doubled(&cluster).await;
    });
}

#[gtest]
fn a_graceful_stop_of_an_agent_and_an_entry_under_load_cuts_nothing_off() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("graceful", Shape::default()).await;
        let jobs = jobs(40, &[150, 150]);
        let outcomes = call_during(&mut cluster, &jobs, async |cluster| {
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
        // What the agent that left had run is known to the one that adopted its records.
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            let again = cluster.submit(1, job, "", support::LONG).await;
            expect_that!(again.as_ref(), some(eq(outcome)), "{}", job.key);
        }
        expect_nothing_doubled(&cluster).await;
    });
}

#[gtest]
fn fresh_jobs_run_while_the_log_is_down() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("log-down", Shape::default()).await;
        let first = cluster.call(&Job::new("first", &[20]), &mut rng(1)).await;
        expect_true!(first.is_complete(), "{first:?}");
        cluster.set_log_faults(json!({"outage": "hang"})).await;
        for job in jobs(10, &[20, 20]) {
            let outcome = cluster.call(&job, &mut rng(2)).await;
            expect_true!(outcome.is_complete(), "{outcome:?}");
        }
        // So they do after an entry died: its shards are taken over without a record.
        cluster.entries[0].process.kill();
        let took = async || {
            let job = Job::new("probe", &[20]);
            cluster.submit(1, &job, "", support::LONG).await.is_some()
        };
        cluster
            .wait_for("the other entry owns all shards", took)
            .await;
        expect_nothing_doubled(&cluster).await;
    });
}

#[gtest]
fn with_the_log_down_from_the_start_jobs_run_once_it_is_back() {
    async_io::block_on(async {
        let faults = json!({"outage": "refuse"});
        let cluster = Cluster::begin("log-late", Shape::default(), faults).await;
        let job = Job::new("early", &[20]);
        let early = cluster.submit(0, &job, "", support::SHORT).await;
        let ran = early.is_some_and(|outcome| outcome.is_complete());
        expect_false!(ran);
        expect_that!(cluster.starts().await.len(), eq(0));

        cluster.set_log_faults(json!({})).await;
        cluster.publish(Shape::default()).await;
        cluster.wait_ready().await;
        let outcome = cluster.call(&Job::new("late", &[20]), &mut rng(1)).await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}

#[gtest]
fn an_agent_that_was_paused_or_cut_off_starts_nothing_for_a_former_owner() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("paused", Shape::default()).await;
        let jobs = jobs(30, &[100, 100]);
        let outcomes = call_during(&mut cluster, &jobs, async |cluster| {
            cluster.agents[0].process.pause();
            cluster.relays[1].set_cut(true);
            cluster.entries[0].process.kill();
            Timer::after(Duration::from_secs(2)).await;
            cluster.agents[0].process.resume();
            cluster.relays[1].set_cut(false);
        })
        .await;
        for outcome in &outcomes {
            let is_known = outcome.is_complete() || !outcome.reason.is_empty();
            expect_true!(is_known, "{outcome:?}");
        }
        expect_nothing_doubled(&cluster).await;
        expect_that!(cluster.mistold(&jobs, &outcomes).await, is_empty());
    });
}

#[gtest]
fn an_entry_that_was_paused_does_not_start_what_its_successor_started() {
    async_io::block_on(async {
        let mut cluster = Cluster::start("entry-paused", Shape::default()).await;
        let jobs = jobs(30, &[100, 100]);
        let outcomes = call_during(&mut cluster, &jobs, async |cluster| {
            cluster.entries[0].process.pause();
            Timer::after(Duration::from_secs(4)).await;
            cluster.entries[0].process.resume();
        })
        .await;
        for (job, outcome) in jobs.iter().zip(&outcomes) {
            expect_true!(outcome.is_complete(), "{}: {outcome:?}", job.key);
        }
        expect_nothing_doubled(&cluster).await;
    });
}
