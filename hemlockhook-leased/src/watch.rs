//! Follows and writes records of the platform's store, with retries.

use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use hemlockhook_ports::leased::{RecordSet, Store, StoreError};

/// Initial delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay between failed reads; failed writes are delayed by up to four times as much. It is
/// short so that records written after the store has recovered are read soon.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Calls `on_record` with the latest record of each key, and then with each new record. Never
/// returns.
pub(crate) async fn follow<S, F>(store: &S, records: RecordSet, wait: Duration, mut on_record: F)
where
    S: Store,
    F: FnMut(&str, &Bytes),
{
    let mut position = None;
    let mut backoff = MIN_BACKOFF;
    let mut failing_since = None;
    let mut failures = 0_u64;
    loop {
        // After a failure, a read that doesn't wait shows soonest whether the store answers.
        let wait = match failing_since {
            None => wait,
            Some(_) => Duration::ZERO,
        };
        let read = match position {
            None => store.read_latest(records).await,
            Some(from) => store.read_since(records, from, wait).await,
        };
        match read {
            Ok(batch) => {
                if let Some(since) = failing_since.take() {
                    let failed_ms = Instant::elapsed(&since).as_millis() as u64;
                    spdlog::info!("reading from the store succeeded again", kv: {
                        records:? = records,
                        failures,
                        failed_ms,
                    });
                    failures = 0;
                }
                backoff = MIN_BACKOFF;
                position = Some(batch.next);
                for (key, value) in &batch.items {
                    on_record(key, value);
                }
            }
            Err(StoreError::Deleted) => position = None,
            Err(err) => {
                failures += 1;
                if failing_since.is_none() {
                    failing_since = Some(Instant::now());
                    let reason = err.to_string();
                    let reason = reason.as_str();
                    spdlog::warn!("reading from the store failed; retrying", kv: {
                        records:? = records,
                        reason,
                    });
                }
                Timer::after(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Writes a record, and retries until the store has accepted it.
pub(crate) async fn put<S>(store: &S, records: RecordSet, key: &str, value: Bytes)
where
    S: Store,
{
    let mut backoff = MIN_BACKOFF;
    while let Err(err) = store.put(records, key, value.clone()).await {
        let reason = err.to_string();
        let reason = reason.as_str();
        spdlog::debug!("writing a record failed; retrying", kv: {
            records:? = records,
            key,
            reason,
        });
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF * 4);
    }
}
