//! How soon a configuration is in force at the entries, and what that costs.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::deployment::{Deployment, configuration};

/// Size of a document near the maximum of the store, in bytes.
const LARGE_DOCUMENT: usize = 240 * 1024;

/// Rate of a slow link, in bytes per second. A large document takes 3 s.
const SLOW_RATE: u64 = 80 * 1024;

/// Returns a configuration of the given size with the queue `/desk/` and another one.
fn large_configuration(version: u64, added: &str) -> String {
    let idle: Vec<_> = (0..2000).map(|index| format!("idle{index}")).collect();
    let mut queues = vec![added];
    let size = |queues: &[&str]| configuration(version, "desk", queues).len();
    let queue_size = size(&["idle0000"]) - size(&[]);
    let count = LARGE_DOCUMENT / queue_size;
    queues.extend(idle.iter().take(count).map(String::as_str));
    configuration(version, "desk", &queues)
}

/// Reads of the store that took over 1.5 s were restarted, so that none was ever complete.
#[gtest]
fn a_configuration_that_takes_long_to_read_comes_into_force() {
    let deployment = Deployment::start("slow-read", 1, 1);
    deployment.store_links[0].set_rate(SLOW_RATE);
    deployment
        .store
        .publish("config", large_configuration(2, "added"));
    deployment.wait_for(|deployment| deployment.has_queue(0, "added"));
}

/// Each agent that had a version sent it to each entry, over links that were then full.
#[gtest]
fn an_entry_is_sent_each_configuration_by_one_agent() {
    const VERSIONS: u64 = 10;
    let deployment = Deployment::start("copies", 3, 9);
    // Without the store, all that this entry gets comes from agents.
    deployment.store_links[2].set_partitioned(true);
    for version in 2..2 + VERSIONS {
        let added = format!("added{version}");
        deployment
            .store
            .publish("config", configuration(version, "desk", &[&added]));
        deployment.wait_for(|deployment| deployment.has_queue(2, &added));
        thread::sleep(Duration::from_millis(200));
    }
    // A version may be requested a second time if the first copy is late.
    let ignored = deployment.counter(2, "leased_configurations_ignored");
    expect_that!(ignored, le(VERSIONS));
}

/// All versions of a large document were read, although only the latest is used.
#[gtest]
fn of_many_changes_in_quick_succession_few_are_read() {
    const VERSIONS: u64 = 60;
    const GAP: Duration = Duration::from_millis(50);
    // The pause between reads, after each of which an old version and the latest are read.
    const READ_INTERVAL: Duration = Duration::from_millis(400);
    let deployment = Deployment::start("many-changes", 1, 1);
    let before = deployment.store.sent_operator_bytes();
    let start = Instant::now();
    for version in 2..2 + VERSIONS {
        let added = format!("added{version}");
        deployment
            .store
            .publish("config", large_configuration(version, &added));
        thread::sleep(GAP);
    }
    let last = format!("added{}", 1 + VERSIONS);
    deployment.wait_for(|deployment| deployment.has_queue(0, &last));
    let rounds = start.elapsed().div_duration_f64(READ_INTERVAL).ceil() as usize + 1;
    // The latest version is encoded in base64, which takes 4 bytes for 3.
    let bytes_per_round = LARGE_DOCUMENT * 12 / 5;
    let sent = deployment.store.sent_operator_bytes() - before;
    expect_that!(sent, le(rounds * bytes_per_round));
    expect_that!(sent, lt(VERSIONS as usize * LARGE_DOCUMENT));
}
