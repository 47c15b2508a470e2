//! Follows records in the platform's store.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use hemlockhook_ports::leased::{RecordSet, Store, StoreError};

/// First pause after a read that failed.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between reads that fail: what is written when the store returns is known soon.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Calls `on_record` with the newest record of each key, and with each that is written later. It
/// does not return.
pub(crate) async fn follow<S, F>(store: &S, records: RecordSet, wait: Duration, mut on_record: F)
where
    S: Store,
    F: FnMut(&str, &Bytes),
{
    let mut position = None;
    let mut pause = MIN_PAUSE;
    let mut is_lost = false;
    loop {
        let read = match position {
            None => store.read_latest(records).await,
            Some(from) => store.read_since(records, from, wait).await,
        };
        match read {
            Ok(newest) => {
                if std::mem::take(&mut is_lost) {
                    spdlog::info!("the store answers again", kv: { records:? = records });
                }
                pause = MIN_PAUSE;
                position = Some(newest.next);
                for (key, value) in &newest.items {
                    on_record(key, value);
                }
            }
            Err(StoreError::Deleted) => position = None,
            Err(err) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let reason = err.to_string();
                    let reason = reason.as_str();
                    spdlog::warn!("the store does not answer", kv: { records:? = records, reason });
                }
                Timer::after(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Writes a record, and tries again until the store has taken it.
pub(crate) async fn put<S>(store: &S, records: RecordSet, key: &str, value: Bytes)
where
    S: Store,
{
    let mut pause = MIN_PAUSE;
    while let Err(err) = store.put(records, key, value.clone()).await {
        let reason = err.to_string();
        let reason = reason.as_str();
        spdlog::debug!("a record was not written", kv: { records:? = records, key, reason });
        Timer::after(pause).await;
        pause = (pause * 2).min(MAX_PAUSE * 4);
    }
}
