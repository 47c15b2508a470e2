//! Soak test: injects random faults into daemon processes while callers submit and resubmit jobs.
//!
//! `HEMLOCKHOOK_SOAK_SEED` and `HEMLOCKHOOK_SOAK_SECONDS` set the seed and the duration.

use std::env;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use googletest::prelude::*;
use strum::IntoEnumIterator;

use crate::daemon::Daemon;
use crate::deployment::{Deployment, configuration};
use crate::store::StoreFault;

const ENTRIES: usize = 2;
const WORKERS: usize = 3;
const CALLERS: usize = 6;

/// Delay before a caller resubmits a job that was not answered.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1300);

fn setting_from_env(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

#[gtest]
fn no_task_runs_twice_at_once_and_every_caller_is_served() {
    let seed = setting_from_env("HEMLOCKHOOK_SOAK_SEED", 1);
    let seconds = setting_from_env("HEMLOCKHOOK_SOAK_SECONDS", 12);
    let mut deployment = Deployment::start(&format!("soak-{seed}"), ENTRIES, WORKERS);
    for worker in &deployment.workers {
        worker.lose_responses(17);
    }
    // Faults need exclusive access to the daemons, while callers share the deployment.
    let mut entries = std::mem::take(&mut deployment.entries);
    let mut agents = std::mem::take(&mut deployment.agents);
    let is_over = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        let (deployment, is_over, served) = (&deployment, &is_over, &served);
        for caller in 0..CALLERS {
            scope.spawn(move || submit_jobs(deployment, seed, caller, is_over, served));
        }

        let mut rng = Rng::with_seed(seed);
        let mut configurations = Configurations::default();
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            let pause = Duration::from_millis(rng.u64(50..600));
            configurations.check(deployment, &seed.to_string());
            match rng.u8(0..12) {
                0 => {
                    let entry = rng.usize(0..ENTRIES);
                    entries[entry].restart();
                    configurations.forget(entry);
                }
                1 => agents[rng.usize(0..WORKERS)].restart(),
                2 => {
                    let index = rng.usize(0..ENTRIES);
                    let entry = &mut entries[index];
                    entry.terminate();
                    entry.wait();
                    entry.restart();
                    configurations.forget(index);
                }
                3 => {
                    let entry = &entries[rng.usize(0..ENTRIES)];
                    entry.set_paused(true);
                    thread::sleep(pause * 3);
                    entry.set_paused(false);
                }
                4 => {
                    let agent = &agents[rng.usize(0..WORKERS)];
                    agent.set_paused(true);
                    thread::sleep(pause * 3);
                    agent.set_paused(false);
                }
                5 => {
                    let all = entries.iter_mut().chain(agents.iter_mut());
                    all.for_each(|daemon| daemon.kill());
                    let all = entries.iter_mut().chain(agents.iter_mut());
                    all.for_each(|daemon| daemon.restart());
                    (0..ENTRIES).for_each(|entry| configurations.forget(entry));
                }
                8 | 9 => {
                    for _ in 0..rng.u8(1..6) {
                        configurations.publish(deployment);
                    }
                }
                6 => deployment.store.compact(),
                10 => starve(&entries[rng.usize(0..ENTRIES)], pause * 4),
                11 => starve(&agents[rng.usize(0..WORKERS)], pause * 4),
                _ => {
                    let faults: Vec<_> = StoreFault::iter().collect();
                    deployment
                        .store
                        .set_fault(faults[rng.usize(0..faults.len())]);
                }
            }
            thread::sleep(pause);
        }
        deployment.store.set_fault(StoreFault::None);
        is_over.store(true, Ordering::Relaxed);
        configurations.publish(deployment);
        let last = configurations.last_queue();
        for entry in 0..ENTRIES {
            deployment.wait_for(|deployment| deployment.has_queue(entry, &last));
        }
    });
    expect_that!(deployment.violations(), is_empty(), "seed {seed}");
    expect_that!(served.load(Ordering::Relaxed), ge(CALLERS), "seed {seed}");
}

/// Leaves a process a tenth of the processor time.
fn starve(daemon: &Daemon, duration: Duration) {
    const PERIOD: Duration = Duration::from_millis(100);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        daemon.set_paused(true);
        thread::sleep(PERIOD * 9 / 10);
        daemon.set_paused(false);
        thread::sleep(PERIOD / 10);
    }
}

/// Configurations, each of which adds a queue, and the last that each entry is known to have.
#[derive(Default)]
struct Configurations {
    queues: Vec<String>,
    /// Number of queues that the present process of each entry has served.
    confirmed: [usize; ENTRIES],
}

impl Configurations {
    fn publish(&mut self, deployment: &Deployment) {
        self.queues.push(format!("added{}", self.queues.len()));
        let queues: Vec<_> = self.queues.iter().map(String::as_str).collect();
        let version = 1 + queues.len() as u64;
        let document = configuration(version, "desk", &queues);
        deployment.store.publish("config", document);
    }

    fn last_queue(&self) -> String {
        self.queues.last().expect("one is published").clone()
    }

    /// Forgets what an entry had, since another process has taken its place.
    fn forget(&mut self, entry: usize) {
        self.confirmed[entry] = 0;
    }

    /// Checks that each entry still has all queues that it had before.
    fn check(&mut self, deployment: &Deployment, seed: &str) {
        for entry in 0..ENTRIES {
            let served = |prefix: &String| deployment.queue_status(entry, prefix);
            if let Some(last) = self.confirmed[entry].checked_sub(1) {
                let status = served(&self.queues[last]);
                expect_that!(status, not(some(eq(404))), "entry {entry}, seed {seed}");
            }
            let known = self
                .queues
                .iter()
                .rposition(|prefix| served(prefix) == Some(200));
            self.confirmed[entry] = self.confirmed[entry].max(known.map_or(0, |last| last + 1));
        }
    }
}

/// Submits jobs through random entries, each until it is answered. Callers close their connections
/// when they run out of patience.
fn submit_jobs(
    deployment: &Deployment,
    seed: u64,
    caller: usize,
    is_over: &AtomicBool,
    served: &AtomicUsize,
) {
    let mut rng = Rng::with_seed(seed * 100 + caller as u64);
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("s{caller}n{number}");
        let tasks = rng.usize(1..4);
        let run_ms = rng.u64(10..300);
        loop {
            let entry = rng.usize(0..ENTRIES);
            let patience = Duration::from_millis(rng.u64(300..2500));
            match deployment.submit_until(entry, &id, (tasks, run_ms), patience) {
                Some(200) => break,
                // A refused job has not run, so it needs no long delay.
                Some(503) => {
                    deployment.observe(|seen| _ = seen.refused_jobs.insert(id.clone()));
                    thread::sleep(Duration::from_millis(100));
                    deployment.observe(|seen| _ = seen.refused_jobs.remove(&id));
                }
                _ => thread::sleep(RESUBMIT_DELAY),
            }
        }
        served.fetch_add(1, Ordering::Relaxed);
    }
}
