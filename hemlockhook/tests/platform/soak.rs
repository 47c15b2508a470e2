//! Faults at random on real processes, while callers submit and submit again.
//!
//! `HEMLOCKHOOK_SOAK_SEED` and `HEMLOCKHOOK_SOAK_SECONDS` make other and longer runs.

use std::env;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use googletest::prelude::*;
use strum::IntoEnumIterator;

use crate::site::Site;
use crate::store::StoreFault;

const ENTRIES: usize = 2;
const WORKERS: usize = 3;
const CALLERS: usize = 6;

/// Time after which a caller submits again what was not answered.
const RESUBMIT: Duration = Duration::from_millis(1300);

fn setting(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

#[gtest]
fn no_task_runs_twice_and_every_caller_is_served_in_the_end() {
    let seed = setting("HEMLOCKHOOK_SOAK_SEED", 1);
    let seconds = setting("HEMLOCKHOOK_SOAK_SECONDS", 12);
    let mut site = Site::start(&format!("soak-{seed}"), ENTRIES, WORKERS);
    for worker in &site.workers {
        worker.lose_answers(17);
    }
    // The daemons are the faults' alone; callers and stand-ins go on beside them.
    let mut entries = std::mem::take(&mut site.entries);
    let mut agents = std::mem::take(&mut site.agents);
    let is_over = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        let (site, is_over, served) = (&site, &is_over, &served);
        for caller in 0..CALLERS {
            scope.spawn(move || call(site, seed, caller, is_over, served));
        }

        let mut rng = Rng::with_seed(seed);
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            let pause = Duration::from_millis(rng.u64(50..600));
            match rng.u8(0..8) {
                0 => entries[rng.usize(0..ENTRIES)].replace(),
                1 => agents[rng.usize(0..WORKERS)].replace(),
                2 => {
                    let entry = &mut entries[rng.usize(0..ENTRIES)];
                    entry.terminate();
                    entry.wait();
                    entry.replace();
                }
                3 => {
                    let entry = &entries[rng.usize(0..ENTRIES)];
                    entry.freeze(true);
                    thread::sleep(pause * 3);
                    entry.freeze(false);
                }
                4 => {
                    let agent = &agents[rng.usize(0..WORKERS)];
                    agent.freeze(true);
                    thread::sleep(pause * 3);
                    agent.freeze(false);
                }
                5 => {
                    let all = entries.iter_mut().chain(agents.iter_mut());
                    all.for_each(|daemon| daemon.kill());
                    let all = entries.iter_mut().chain(agents.iter_mut());
                    all.for_each(|daemon| daemon.replace());
                }
                6 => site.store.compact(),
                _ => {
                    let faults: Vec<_> = StoreFault::iter().collect();
                    site.store.set_fault(faults[rng.usize(0..faults.len())]);
                }
            }
            thread::sleep(pause);
        }
        site.store.set_fault(StoreFault::None);
        is_over.store(true, Ordering::Relaxed);
    });
    expect_that!(site.breaches(), is_empty(), "seed {seed}");
    expect_that!(served.load(Ordering::Relaxed), ge(CALLERS), "seed {seed}");
}

/// Submits jobs, each until it is served, at any entry.
fn call(site: &Site, seed: u64, caller: usize, is_over: &AtomicBool, served: &AtomicUsize) {
    let mut rng = Rng::with_seed(seed * 100 + caller as u64);
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("s{caller}n{number}");
        let tasks = rng.usize(1..4);
        let millis = rng.u64(10..300);
        loop {
            match site.submit(rng.usize(0..ENTRIES), &id, tasks, millis) {
                Some(200) => break,
                // Truthful refusals may be followed at once by another try.
                Some(503) => thread::sleep(Duration::from_millis(100)),
                _ => thread::sleep(RESUBMIT),
            }
        }
        served.fetch_add(1, Ordering::Relaxed);
    }
}
