//! Tasks that read the streams of the platform's log, and announce this entry in it.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use hemlockhook_inventory::Repeater;
use hemlockhook_ownership::Record;
use hemlockhook_ports::{Batch, Log, LogError, LogRecord, Offset};
use hemlockhook_types::Clock;

use crate::control::ControlHandle;
use crate::event::Event;

/// Name of the stream of announcements and takeovers.
pub const MEMBERSHIP_STREAM: &str = "membership";

/// Name of the stream of configurations.
pub const CONFIG_STREAM: &str = "config";

/// Interval between reads at the end of a stream.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before a failed request to the log is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which the announcement is repeated.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(240);

/// Shortest retention of the log for which repetition keeps announcements and configurations in it.
const LOG_RETENTION: Duration = Duration::from_secs(3_600);

/// Interval between checks of whether the configuration has to be repeated.
const REPEAT_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 1_000;

/// Reads the `membership` stream and passes its records to the engine. Each takeover from
/// `read_requests` is confirmed by [`Event::CaughtUp`] once all records that were in the stream at
/// the time of the request have been passed on.
pub async fn follow_members(
    log: Arc<dyn Log>,
    control: ControlHandle,
    read_requests: Receiver<u64>,
    clock: Arc<dyn Clock>,
) {
    let mut next = 0;
    let mut takeovers = Vec::new();
    loop {
        takeovers.extend(std::iter::from_fn(|| read_requests.try_recv().ok()));
        match log.read(MEMBERSHIP_STREAM, next, MAX_READ_RECORDS).await {
            Ok(batch) => {
                let at_end = send_records(&control, &mut next, &batch, clock.wall_time());
                control.send(Event::LogReachable(true));
                if at_end {
                    for takeover in takeovers.drain(..) {
                        control.send(Event::CaughtUp { takeover });
                    }
                }
                // Also waits if the log returns none of the records that it claims to have, so that
                // the reads don't become a busy loop.
                if at_end || batch.records.is_empty() {
                    wait_for_request(POLL_INTERVAL, &read_requests, &mut takeovers).await;
                }
            }
            Err(LogError::Truncated { first_retained }) => next = first_retained,
            Err(_) => {
                control.send(Event::LogReachable(false));
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the `config` stream, and repeats the configuration in force before retention removes it.
pub async fn follow_configs(log: Arc<dyn Log>, control: ControlHandle, clock: Arc<dyn Clock>) {
    let mut repeater = Repeater::new(LOG_RETENTION, fastrand::f64());
    let mut check_at = clock.now();
    let mut next = 0;
    loop {
        match log.read(CONFIG_STREAM, next, MAX_READ_RECORDS).await {
            Ok(batch) if batch.records.is_empty() => {
                if clock.now() >= check_at {
                    check_at = clock.now() + REPEAT_CHECK_INTERVAL;
                    repeat_config(&*log, &control, &mut repeater, clock.now()).await;
                }
                Timer::after(POLL_INTERVAL).await;
            }
            Ok(batch) => {
                next = next_offset(&batch);
                for record in &batch.records {
                    let age = record_age(record, clock.wall_time());
                    repeater.on_record(clock.now(), age, record.offset, &record.body);
                }
                let records: Vec<(u64, Bytes)> = batch
                    .records
                    .into_iter()
                    .map(|record| (record.offset, record.body))
                    .collect();
                control.send(Event::ConfigRecords(records));
            }
            Err(LogError::Truncated { first_retained }) => next = first_retained,
            Err(_) => drop(Timer::after(RETRY_DELAY).await),
        }
    }
}

async fn repeat_config(
    log: &dyn Log,
    control: &ControlHandle,
    repeater: &mut Repeater,
    now: Instant,
) {
    let repeat = control.inspect(|engine, _| engine.config_repeat()).await;
    if let Some(record) = repeater.due(now, repeat.flatten()) {
        // A failure needs no handling: the append is repeated unless the record shows up in the
        // log.
        let _ = log.append(CONFIG_STREAM, record.to_bytes().into()).await;
    }
}

/// Announces this entry in the log, and repeats the announcement well within the log's retention.
pub async fn announce(log: Arc<dyn Log>, record: Record) {
    let body = serde_json::to_vec(&record).expect("records have string keys only");
    loop {
        match log.append(MEMBERSHIP_STREAM, body.clone().into()).await {
            Ok(_) => drop(Timer::after(ANNOUNCE_INTERVAL).await),
            // If the failed append took effect after all, the duplicate does no harm.
            Err(_) => drop(Timer::after(RETRY_DELAY).await),
        }
    }
}

/// Sends the records to the engine, and returns whether the stream has been read to its end.
fn send_records(
    control: &ControlHandle,
    next: &mut Offset,
    batch: &Batch,
    now: SystemTime,
) -> bool {
    let records = batch
        .records
        .iter()
        .filter_map(|record| parse_record(record, now))
        .collect();
    *next = next_offset(batch).max(*next);
    let at_end = *next >= batch.end;
    control.send(Event::MembershipRecords { records, at_end });
    at_end
}

fn parse_record(record: &LogRecord, now: SystemTime) -> Option<(u64, Duration, Record)> {
    let age = record_age(record, now);
    let body = serde_json::from_slice(&record.body);
    if let Err(err) = &body {
        spdlog::warn!("ignoring a malformed record of the membership stream: {err}", kv: {
            offset = record.offset,
        });
    }
    Some((record.offset, age, body.ok()?))
}

fn record_age(record: &LogRecord, now: SystemTime) -> Duration {
    let now_ms = now
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    Duration::from_millis(now_ms.saturating_sub(record.appended_ms))
}

fn next_offset(batch: &Batch) -> Offset {
    batch.records.last().map_or(0, |record| record.offset + 1)
}

/// Waits for the next request to read to the end, up to a timeout.
async fn wait_for_request(time: Duration, read_requests: &Receiver<u64>, takeovers: &mut Vec<u64>) {
    let requested = async { read_requests.recv().await.ok() };
    let timer = async {
        Timer::after(time).await;
        None
    };
    takeovers.extend(requested.or(timer).await);
}
