//! Follows and writes records of the platform's store, with retries.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use hemlockhook_ports::leased::{Position, RecordBatch, RecordSet, Store, StoreError};

/// Time without progress after which a call to the platform's store fails, not counting the wait that
/// the call asks for.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Initial delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay between failed reads; failed writes are delayed by up to four times as much. It is
/// short so that records written after the store has recovered are read soon.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// How a record set is followed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowPolicy {
    /// Time for which a read waits for a new record.
    pub(crate) wait: Duration,
    /// Pause after a read that returned records. Of records written meanwhile, only the latest is
    /// used.
    pub(crate) pause: Duration,
}

/// What a read tells of the records besides their values.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadRecords<'a> {
    /// Keys and values, oldest first. An empty value marks a deleted record.
    pub(crate) items: &'a [(String, Bytes)],
    /// Whether `items` has all records that exist, so that a record with another key is deleted.
    pub(crate) lists_all_keys: bool,
    /// Start of the next read.
    pub(crate) next: Position,
}

/// Calls `on_read` for each read that succeeded, and then `on_record` with the latest record of each key, at first and after changes. If it returns
/// false, the record isn't valid, and it is called with the one before, if that was read too. Never
/// returns.
pub(crate) async fn follow<S, R, F>(
    store: &S,
    records: RecordSet,
    policy: FollowPolicy,
    mut on_read: R,
    mut on_record: F,
) where
    S: Store,
    R: FnMut(ReadRecords<'_>),
    F: FnMut(&str, &Bytes) -> bool,
{
    let mut position = None;
    let mut backoff = MIN_BACKOFF;
    let mut failing_since = None;
    let mut failures = 0_u64;
    loop {
        // After a failure, a read that doesn't wait shows soonest whether the store answers.
        let wait = match failing_since {
            None => policy.wait,
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
                let is_latest = position.is_none();
                position = batch.is_complete.then_some(batch.next);
                on_read(ReadRecords {
                    items: &batch.items,
                    // The key of a record that can't be decoded is unknown.
                    lists_all_keys: is_latest && batch.is_complete && batch.malformed == 0,
                    next: batch.next,
                });
                if batch.malformed > 0 {
                    spdlog::warn!("records that can't be decoded are left out", kv: {
                        records:? = records,
                        count = batch.malformed,
                    });
                }
                let mut done = HashSet::new();
                for (key, value) in batch.items.iter().rev() {
                    if !done.contains(key) && on_record(key, value) {
                        done.insert(key);
                    }
                }
                if !batch.items.is_empty() {
                    Timer::after(policy.pause).await;
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

/// Reads the latest record of each key, and retries until the store has answered.
pub(crate) async fn read_latest<S>(store: &S, records: RecordSet) -> RecordBatch
where
    S: Store,
{
    let mut backoff = MIN_BACKOFF;
    loop {
        match store.read_latest(records).await {
            Ok(latest) => return latest,
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::debug!("reading records failed; retrying", kv: {
                    records:? = records,
                    reason,
                });
            }
        }
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF * 4);
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

#[cfg(test)]
mod tests;
