//! Clients that reset their connections and come back at once.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use googletest::prelude::*;
use rustix::net::sockopt::set_socket_linger;

use crate::clients::connect;
use crate::deployment::Deployment;
use crate::{DESCRIPTORS, ENTRY_MEMORY_KIB, LIMITS, one_at_a_time};

/// Clients that connect again and again.
const CLIENTS: usize = 8;

/// Connections of each client at most.
const CONNECTIONS: usize = 20_000;

/// Ordinary jobs that are answered meanwhile.
const ORDINARY_JOBS: usize = 5;

/// Connects, sends a part of a request and resets the connection, until `is_over` is set.
fn reset_connections(addr: SocketAddr, is_over: &AtomicBool) {
    let part = "POST /desk/reset HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 1000\r\n\r\n{";
    for _ in 0..CONNECTIONS {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        // The entry may refuse connections, and close those that have waited longest.
        let Ok(mut conn) = connect(addr) else {
            continue;
        };
        let _ = conn.write_all(part.as_bytes());
        let is_reset = set_socket_linger(&conn, Some(std::time::Duration::ZERO));
        is_reset.expect("the option is supported");
    }
}

/// Guards against a churn of connections that keeps an entry from ordinary callers, or leaves something
/// of each behind.
#[gtest]
fn ordinary_jobs_are_answered_beside_clients_that_reset_their_connections() {
    let _lock = one_at_a_time();
    let mut deployment = Deployment::start_limited("churn", 1, 1, LIMITS);
    let [callers, ..] = deployment.entry_addresses[0];
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| reset_connections(callers, &is_over));
        }
        for index in 0..ORDINARY_JOBS {
            let id = format!("beside-{index}");
            deployment.wait_for(|deployment| deployment.submit(0, &id, 2, 20) == Some(200));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    expect_that!(deployment.entries[0].descriptors(), le(DESCRIPTORS));
    let peak = deployment.entries[0].peak_memory_kib();
    println!("churn: peak memory {peak} KiB");
    expect_that!(peak, le(ENTRY_MEMORY_KIB));
    expect_that!(deployment.submit(0, "after", 2, 20), some(eq(200)));
    expect_true!(deployment.entries[0].is_alive());
}
