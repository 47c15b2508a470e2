//! Slow clients in large number: the daemons stay within their memory and descriptors, and serve
//! ordinary callers afterwards.

mod churn;
mod clients;
#[path = "../platform/daemon.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod daemon;
#[path = "../platform/deployment.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod deployment;
mod full_ports;
mod jobs;
mod large_jobs;
mod other_ports;
#[path = "../support/relay.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod relay;
mod slow_upstream;
#[path = "../platform/store.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod store;
#[path = "../platform/worker.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod worker;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use googletest::prelude::*;

use clients::{Sending, open_heads, send_all, send_link_messages};
use deployment::Deployment;

/// Peak memory of an entry at most, in KiB; also its `memory_mb`.
const ENTRY_MEMORY_KIB: u64 = 64 * 1024;

/// Peak memory of an agent at most, in KiB; also its `memory_mb`.
const AGENT_MEMORY_KIB: u64 = 40 * 1024;

/// Descriptors of a process at most; also its `file_descriptors`.
const DESCRIPTORS: usize = 500;

/// Clients of each crowd, more than the descriptors of the process allow.
const CLIENTS: usize = 600;

/// Clients that send to the links of an entry. Each sends a message of 1 MiB.
const LINK_CLIENTS: usize = 100;

/// Size of the largest body of a caller, in bytes.
const JOB_BYTES: usize = 262_144;

/// Size of the largest announcement, in bytes.
const ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// Settings of entries and agents.
const LIMITS: [&str; 2] = [
    "memory_mb: 64\nfile_descriptors: 500\n",
    "memory_mb: 40\nfile_descriptors: 500\n",
];

/// Held by each test, so that the crowds come one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts an entry and an agent, lets a crowd connect, and checks both processes while it is
/// connected and an ordinary job afterwards.
fn check_crowd<F, T>(name: &str, connect: F)
where
    F: FnOnce(&Deployment) -> T,
{
    let _lock = one_at_a_time();
    let mut deployment = Deployment::start_limited(name, 1, 1, LIMITS);
    let crowd = connect(&deployment);
    let descriptors = [
        deployment.entries[0].descriptors(),
        deployment.agents[0].descriptors(),
    ];
    let memory = [
        deployment.entries[0].peak_memory_kib(),
        deployment.agents[0].peak_memory_kib(),
    ];
    println!("{name}: descriptors {descriptors:?}, peak memory {memory:?} KiB");
    expect_that!(descriptors, each(le(DESCRIPTORS)));
    expect_that!(memory[0], le(ENTRY_MEMORY_KIB));
    expect_that!(memory[1], le(AGENT_MEMORY_KIB));
    drop(crowd);

    deployment.wait_for(|deployment| deployment.submit(0, "after", 2, 20) == Some(200));
    expect_true!(deployment.entries[0].is_alive());
    expect_true!(deployment.agents[0].is_alive());
    expect_that!(
        deployment.entries[0].peak_memory_kib(),
        le(ENTRY_MEMORY_KIB)
    );
    expect_that!(deployment.agents[0].peak_memory_kib(), le(AGENT_MEMORY_KIB));
}

/// Lets a crowd send jobs to an entry.
fn check_jobs(name: &str, sending: Sending) {
    check_crowd(name, |deployment| {
        let [callers, ..] = deployment.entry_addresses[0];
        send_all(callers, CLIENTS, JOB_BYTES, sending)
    });
}

/// Lets a crowd send announcements to an agent.
fn check_announcements(name: &str, sending: Sending) {
    check_crowd(name, |deployment| {
        let [announcements, _] = deployment.agent_addresses[0];
        send_all(announcements, CLIENTS, ANNOUNCEMENT_BYTES, sending)
    });
}

/// Guards against bodies that are bounded one by one, but not in total.
#[gtest]
fn jobs_in_one_piece_that_never_end_stay_within_memory() {
    check_jobs("jobs-whole", Sending::Whole);
}

/// Guards against buffers that grow past the bytes that have arrived.
#[gtest]
fn jobs_piece_by_piece_that_never_end_stay_within_memory() {
    check_jobs("jobs-pieces", Sending::Pieces);
}

/// Guards against bodies without a length that are not counted.
#[gtest]
fn jobs_in_large_chunks_that_never_end_stay_within_memory() {
    check_jobs("jobs-large-chunks", Sending::Chunks(65_536));
}

/// Guards against chunks that hold more memory than their bytes.
#[gtest]
fn jobs_in_small_chunks_that_never_end_stay_within_memory() {
    check_jobs("jobs-small-chunks", Sending::Chunks(64));
}

/// Guards against announcements that are not counted.
#[gtest]
fn announcements_in_one_piece_that_never_end_stay_within_memory() {
    check_announcements("announcements-whole", Sending::Whole);
}

/// Guards against announcements without a length that are not counted.
#[gtest]
fn announcements_in_small_chunks_that_never_end_stay_within_memory() {
    check_announcements("announcements-small-chunks", Sending::Chunks(256));
}

/// Guards against a port for readiness with limits of its own: it takes bodies like that of callers.
#[gtest]
fn jobs_at_the_port_for_readiness_stay_within_memory() {
    check_crowd("ready", |deployment| {
        let [_, ready, ..] = deployment.entry_addresses[0];
        send_all(ready, CLIENTS, JOB_BYTES, Sending::Whole)
    });
}

/// Guards against connections that cost nothing in the accounts, at all ports at once.
#[gtest]
fn heads_that_never_end_stay_within_memory_and_descriptors() {
    check_crowd("heads", |deployment| {
        let [callers, ready, _, metrics] = deployment.entry_addresses[0];
        let [announcements, agent_metrics] = deployment.agent_addresses[0];
        let at: [SocketAddr; 5] = [callers, ready, metrics, announcements, agent_metrics];
        at.map(|addr| open_heads(addr, CLIENTS / 3))
    });
}

/// Guards against messages on links that are bounded one by one, but not in total.
#[gtest]
fn messages_on_links_that_never_end_stay_within_memory() {
    check_crowd("links", |deployment| {
        let [_, _, links, _] = deployment.entry_addresses[0];
        send_link_messages(links, LINK_CLIENTS)
    });
}
