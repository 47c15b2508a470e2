//! Tests of reading the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use googletest::prelude::*;
use hemlockhook_entry::control::ControlHandle;
use hemlockhook_entry::follow::follow_members;
use hemlockhook_ports::{Batch, Log, LogFuture, Offset};
use hemlockhook_types::SystemClock;

/// A log whose end is at offset 9 but that returns no records; it counts its reads.
#[derive(Default)]
struct WithholdingLog {
    reads: AtomicUsize,
}

impl Log for WithholdingLog {
    fn append(&self, _stream: &str, _body: Bytes) -> LogFuture<'_, Offset> {
        Box::pin(std::future::pending())
    }

    fn read(&self, _stream: &str, _from: Offset, _max: usize) -> LogFuture<'_, Batch> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let batch = Batch {
            records: Vec::new(),
            first_retained: 1,
            end: 9,
        };
        Box::pin(async move {
            futures_lite::future::yield_now().await;
            Ok(batch)
        })
    }
}

#[gtest]
fn a_log_that_withholds_records_is_not_read_in_a_busy_loop() {
    let log = Arc::new(WithholdingLog::default());
    let (control, _inputs) = ControlHandle::new();
    let (_read_requests_tx, read_requests) = async_channel::unbounded();
    let follow = follow_members(log.clone(), control, read_requests, Arc::new(SystemClock));
    let expire = async {
        Timer::after(Duration::from_secs(1)).await;
    };
    async_io::block_on(expire.or(follow));
    // At most, because a slow machine reads less often.
    expect_that!(log.reads.load(Ordering::Relaxed), le(10));
}
