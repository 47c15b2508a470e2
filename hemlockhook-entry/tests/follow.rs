//! Tests of following the log.

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

/// A log that returns nothing of the records that it says it has.
#[derive(Default)]
struct Withholding {
    reads: AtomicUsize,
}

impl Log for Withholding {
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
fn a_log_that_holds_records_back_is_not_asked_at_full_speed() {
    let log = Arc::new(Withholding::default());
    let (control, _inputs) = ControlHandle::new();
    let (_to_end, requests) = async_channel::unbounded();
    let follow = follow_members(log.clone(), control, requests, Arc::new(SystemClock));
    let expire = async {
        Timer::after(Duration::from_secs(1)).await;
    };
    async_io::block_on(expire.or(follow));
    // A slow machine asks less often.
    expect_that!(log.reads.load(Ordering::Relaxed), le(10));
}
