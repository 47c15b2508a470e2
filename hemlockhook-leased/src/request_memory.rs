//! Limits on the memory of requests, by the size of the machine.

use std::time::Duration;

use async_io::Timer;
use hemlockhook_runtime::http::{MemoryLimits, RequestMemory};
use hemlockhook_runtime::metrics::Metrics;

/// Memory of the machine without the setting, in millions of bytes. With it, the 2,500 connections that
/// an entry accepts can each send a body of 262,144 bytes.
const DEFAULT_MEMORY_MB: u32 = 4096;

/// File descriptors without the setting, for more connections than the servers accept together.
const DEFAULT_FILE_DESCRIPTORS: u32 = 16_384;

/// Part of the machine's memory that requests may hold, in percent. The rest is for the program, jobs,
/// links, the allocator's free lists, and buffers of the kernel. In the tests of `crowd`, the
/// peak rose by up to 1.5 times the limit, since freed blocks of other sizes stay mapped.
const REQUEST_PERCENT: usize = 40;

/// File descriptors that are not for connections from clients.
const RESERVED_DESCRIPTORS: u32 = 200;

/// Interval between log lines about requests that were given up.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the limits for a machine of this memory, in millions of bytes, and number of descriptors.
pub(crate) fn limits(memory_mb: Option<u32>, file_descriptors: Option<u32>) -> MemoryLimits {
    let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize * 1_000_000;
    let descriptors = file_descriptors.unwrap_or(DEFAULT_FILE_DESCRIPTORS);
    MemoryLimits {
        bytes: memory / 100 * REQUEST_PERCENT,
        connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS) as usize,
    }
}

/// Adds what requests hold to the metrics.
pub(crate) fn export(memory: &RequestMemory, metrics: &Metrics) {
    let meter = metrics.meter();
    let used = memory.clone();
    meter
        .u64_observable_gauge("leased_request_bytes")
        .with_callback(move |gauge| gauge.observe(used.used().bytes as u64, &[]))
        .build();
    let used = memory.clone();
    meter
        .u64_observable_gauge("leased_connections")
        .with_callback(move |gauge| gauge.observe(used.used().connections as u64, &[]))
        .build();
    let used = memory.clone();
    meter
        .u64_observable_counter("leased_requests_refused_for_memory")
        .with_callback(move |counter| {
            let used = used.used();
            counter.observe(used.given_up_bodies + used.refused, &[]);
        })
        .build();
    let used = memory.clone();
    meter
        .u64_observable_counter("leased_connections_closed_for_memory")
        .with_callback(move |counter| counter.observe(used.used().closed_connections, &[]))
        .build();
}

/// Logs how many requests were given up, at most once in each interval.
pub(crate) async fn report(memory: RequestMemory) {
    let mut last = memory.used();
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let used = memory.used();
        let given_up = used.given_up_bodies - last.given_up_bodies;
        let closed = used.closed_connections - last.closed_connections;
        let refused = used.refused - last.refused;
        if given_up + closed + refused > 0 {
            spdlog::warn!("the memory or connections for requests were exhausted", kv: {
                given_up,
                closed,
                refused,
                bytes = used.bytes,
                connections = used.connections,
            });
        }
        last = used;
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    /// Guards against limits that ordinary clients reach: a body on the smallest machine, and all
    /// connections of an entry without settings.
    #[gtest]
    fn clients_within_the_limits_fit() {
        const BODY_BYTES: usize = 262_144;
        expect_that!(limits(Some(16), None).bytes, ge(16 * BODY_BYTES));
        expect_that!(
            limits(None, None).bytes,
            ge(2500 * (BODY_BYTES + 29 * 1024))
        );
        expect_that!(limits(None, None).connections, ge(2 * 2500 + 4096));
        expect_that!(limits(Some(120), Some(3075)).bytes, eq(48_000_000));
        expect_that!(limits(Some(120), Some(3075)).connections, eq(2875));
    }
}
