//! Runs the daemons as processes under random kills, pauses, partitions and log outages, while
//! callers resubmit jobs at random through random entries.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_io::Timer;
use googletest::prelude::*;
use serde_json::json;
use support::caller::{Job, Outcome, Submitter};
use support::cluster::{Cluster, ClusterConfig};

/// Default seed, used in CI. `HEMLOCKHOOK_SEED` overrides it.
const SEED: u64 = 20_261_204;

/// Default number of jobs, used in CI. `HEMLOCKHOOK_JOBS` overrides it.
const JOBS: u64 = 300;

/// Interval between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(66);

/// One in this many jobs is submitted by two callers at the same time.
const DUPLICATE_ONE_IN: u64 = 4;

/// A job with the answers of its callers, which are two if it was submitted twice.
struct AnsweredJob {
    job: Job,
    answers: Vec<Outcome>,
}

/// Number of injected faults, by kind.
type FaultCounts = BTreeMap<&'static str, u32>;

#[gtest]
fn no_task_starts_twice_and_every_job_has_one_answer_under_random_faults() {
    async_io::block_on(async {
        let seed = setting_from_env("HEMLOCKHOOK_SEED", SEED);
        let count = setting_from_env("HEMLOCKHOOK_JOBS", JOBS);
        println!("HEMLOCKHOOK_SEED={seed} HEMLOCKHOOK_JOBS={count}");
        let cfg = ClusterConfig {
            entries: 3,
            agents: 4,
            ..ClusterConfig::default()
        };
        let mut cluster = Cluster::start("endurance", cfg).await;
        let first = Job::new("first", &[20]);
        let outcome = cluster
            .submit_until_answered(&first, &mut fastrand::Rng::with_seed(SEED))
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");

        let rng = fastrand::Rng::with_seed(seed);
        let calls = submit_all(cluster.submitter(), count, rng);
        let callers = cluster.threads.traffic().spawn(calls);
        let rng = fastrand::Rng::with_seed(seed + 1);
        let faults = inject_faults(&mut cluster, JOB_INTERVAL * count as u32, rng).await;
        cluster.wait_until_all_ready().await;
        let answered = callers.await;

        let (jobs, outcomes): (Vec<_>, Vec<_>) = answered
            .iter()
            .flat_map(|answered_job| {
                answered_job
                    .answers
                    .iter()
                    .map(|answer| (answered_job.job.clone(), answer.clone()))
            })
            .unzip();
        let mut kinds = BTreeMap::<_, u32>::new();
        for outcome in &outcomes {
            let kind = format!("{} {}", outcome.answer, outcome.reason);
            *kinds.entry(kind).or_default() += 1;
        }
        println!("faults {faults:?}\nanswers {kinds:?}");

        expect_that!(cluster.tasks_started_twice().await, is_empty());
        expect_that!(
            cluster.contradicted_answers(&jobs, &outcomes).await,
            is_empty()
        );
        for answered_job in &answered {
            let mut kinds: Vec<_> = answered_job
                .answers
                .iter()
                .map(|outcome| &outcome.answer)
                .collect();
            kinds.dedup();
            expect_that!(
                kinds,
                len(eq(1)),
                "{}: {:?}",
                answered_job.job.key,
                answered_job.answers
            );
        }
        // An outcome is unknown only if an agent's account of its starts was lost.
        let unknown = outcomes
            .iter()
            .filter(|outcome| outcome.answer == "unknown");
        for outcome in unknown.clone() {
            expect_that!(outcome.reason, eq("account_incomplete"));
        }
        expect_that!(unknown.count(), lt(outcomes.len() / 2));

        cluster.wait_for_equal_grants().await;
        let last = Job::new("last", &[20]);
        let outcome = cluster
            .submit_until_answered(&last, &mut fastrand::Rng::with_seed(SEED))
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}

fn setting_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn submit_all(submitter: Submitter, count: u64, mut rng: fastrand::Rng) -> Vec<AnsweredJob> {
    let mut callers = Vec::new();
    for number in 0..count {
        let tasks: Vec<_> = (0..rng.usize(1..=6)).map(|_| rng.u64(20..300)).collect();
        let job = Job::new(&format!("job-{number}"), &tasks);
        let stamps = submitter.stamps();
        let calls = 1 + u64::from(number % DUPLICATE_ONE_IN == 0);
        let calls: Vec<_> = (0..calls)
            .map(|_| {
                let (submitter, job, stamps) = (submitter.clone(), job.clone(), stamps.clone());
                let mut rng = rng.fork();
                let ex = submitter.executor();
                ex.spawn(async move {
                    submitter
                        .submit_until_answered(&job, &stamps, &mut rng)
                        .await
                })
            })
            .collect();
        callers.push((job, calls));
        Timer::after(JOB_INTERVAL).await;
    }

    let mut answered = Vec::new();
    for (job, calls) in callers {
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await);
        }
        answered.push(AnsweredJob { job, answers });
    }
    answered
}

/// Injects faults for the given time, each followed by recovery before the next.
async fn inject_faults(
    cluster: &mut Cluster,
    duration: Duration,
    mut rng: fastrand::Rng,
) -> FaultCounts {
    let mut faults = FaultCounts::new();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.u64(200..1_500));
        let agent = rng.usize(..cluster.agents.len());
        let entry = rng.usize(..cluster.entries.len());
        let fault = match rng.u8(..8) {
            0 => {
                cluster.agents[agent].process.kill();
                Timer::after(pause).await;
                cluster.restart_agent(agent);
                "agent killed"
            }
            1 | 2 => {
                cluster.entries[entry].process.kill();
                Timer::after(pause).await;
                cluster.restart_entry(entry);
                "entry killed"
            }
            3 => {
                cluster.agents[agent].process.pause();
                Timer::after(pause).await;
                cluster.agents[agent].process.resume();
                "agent paused"
            }
            4 => {
                cluster.entries[entry].process.pause();
                Timer::after(pause * 2).await;
                cluster.entries[entry].process.resume();
                "entry paused"
            }
            5 => {
                cluster.relays[agent].set_partitioned(true);
                Timer::after(pause).await;
                cluster.relays[agent].set_partitioned(false);
                "agent partitioned"
            }
            6 => {
                let outage = ["refuse", "hang", "close"][rng.usize(..3)];
                cluster.set_log_faults(json!({"outage": outage})).await;
                Timer::after(pause).await;
                cluster.entries[entry].process.kill();
                cluster.restart_entry(entry);
                Timer::after(pause).await;
                cluster.set_log_faults(json!({})).await;
                "entry killed with the log down"
            }
            _ => {
                cluster.set_log_faults(json!({"lose_replies": 0.5})).await;
                Timer::after(pause * 2).await;
                cluster.set_log_faults(json!({})).await;
                "log loses replies"
            }
        };
        *faults.entry(fault).or_default() += 1;
        Timer::after(Duration::from_millis(rng.u64(100..600))).await;
    }
    faults
}
