//! The real programs as processes under a random course of kills, pauses, cuts and outages, while
//! callers submit again at random through random entries.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_io::Timer;
use googletest::prelude::*;
use serde_json::json;
use support::caller::{Job, Outcome, Submitter};
use support::cluster::{Cluster, Shape};

/// Seed of the run in CI; `HEMLOCKHOOK_SEED` sets another.
const SEED: u64 = 20_261_204;

/// Jobs of the run in CI; `HEMLOCKHOOK_JOBS` sets another number.
const JOBS: u64 = 300;

/// Time from one job to the next.
const JOB_PAUSE: Duration = Duration::from_millis(66);

/// One in this many jobs is submitted by two callers at once.
const DOUBLED_ONE_IN: u64 = 4;

/// What a job's callers were answered, the second one only where there was one.
struct Told {
    job: Job,
    answers: Vec<Outcome>,
}

/// What went wrong on purpose, by kind.
type Faults = BTreeMap<&'static str, u32>;

#[gtest]
fn nothing_starts_twice_and_every_job_has_one_answer_whatever_fails() {
    async_io::block_on(async {
        let seed = from_environment("HEMLOCKHOOK_SEED", SEED);
        let count = from_environment("HEMLOCKHOOK_JOBS", JOBS);
        println!("HEMLOCKHOOK_SEED={seed} HEMLOCKHOOK_JOBS={count}");
        let shape = Shape {
            entries: 3,
            agents: 4,
            ..Shape::default()
        };
        let mut cluster = Cluster::start("endurance", shape).await;
        let first = Job::new("first", &[20]);
        let outcome = cluster
            .call(&first, &mut fastrand::Rng::with_seed(SEED))
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");

        let rng = fastrand::Rng::with_seed(seed);
        let calls = call_all(cluster.submitter(), count, rng);
        let callers = cluster.threads.traffic().spawn(calls);
        let rng = fastrand::Rng::with_seed(seed + 1);
        let faults = cause_faults(&mut cluster, JOB_PAUSE * count as u32, rng).await;
        cluster.wait_ready().await;
        let told = callers.await;

        let (jobs, outcomes): (Vec<_>, Vec<_>) = told
            .iter()
            .flat_map(|told| {
                told.answers
                    .iter()
                    .map(|answer| (told.job.clone(), answer.clone()))
            })
            .unzip();
        let mut kinds = BTreeMap::<_, u32>::new();
        for outcome in &outcomes {
            let kind = format!("{} {}", outcome.answer, outcome.reason);
            *kinds.entry(kind).or_default() += 1;
        }
        println!("faults {faults:?}\nanswers {kinds:?}");

        expect_that!(cluster.doubled().await, is_empty());
        expect_that!(cluster.mistold(&jobs, &outcomes).await, is_empty());
        for told in &told {
            let mut kinds: Vec<_> = told.answers.iter().map(|told| &told.answer).collect();
            kinds.dedup();
            expect_that!(kinds, len(eq(1)), "{}: {:?}", told.job.key, told.answers);
        }
        // An outcome is unknown only where an agent's account of its starts was lost.
        let unknown = outcomes.iter().filter(|told| told.answer == "unknown");
        for outcome in unknown.clone() {
            expect_that!(outcome.reason, eq("account_incomplete"));
        }
        expect_that!(unknown.count(), lt(outcomes.len() / 2));

        cluster.wait_grants_agree().await;
        let last = Job::new("last", &[20]);
        let outcome = cluster
            .call(&last, &mut fastrand::Rng::with_seed(SEED))
            .await;
        expect_true!(outcome.is_complete(), "{outcome:?}");
    });
}

fn from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn call_all(submitter: Submitter, count: u64, mut rng: fastrand::Rng) -> Vec<Told> {
    let mut callers = Vec::new();
    for number in 0..count {
        let tasks: Vec<_> = (0..rng.usize(1..=6)).map(|_| rng.u64(20..300)).collect();
        let job = Job::new(&format!("job-{number}"), &tasks);
        let stamps = submitter.stamps();
        let calls = 1 + u64::from(number % DOUBLED_ONE_IN == 0);
        let calls: Vec<_> = (0..calls)
            .map(|_| {
                let (submitter, job, stamps) = (submitter.clone(), job.clone(), stamps.clone());
                let mut rng = rng.fork();
                let ex = submitter.executor();
                ex.spawn(async move { submitter.call_with(&job, &stamps, &mut rng).await })
            })
            .collect();
        callers.push((job, calls));
        Timer::after(JOB_PAUSE).await;
    }

    let mut told = Vec::new();
    for (job, calls) in callers {
        let mut answers = Vec::new();
        for call in calls {
            answers.push(call.await);
        }
        told.push(Told { job, answers });
    }
    told
}

/// Causes one fault after another for the length of the course, and mends each.
async fn cause_faults(cluster: &mut Cluster, course: Duration, mut rng: fastrand::Rng) -> Faults {
    let mut faults = Faults::new();
    let end = Instant::now() + course;
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
                cluster.relays[agent].set_cut(true);
                Timer::after(pause).await;
                cluster.relays[agent].set_cut(false);
                "agent cut off"
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
