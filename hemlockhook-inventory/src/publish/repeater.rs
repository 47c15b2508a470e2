//! Scheduling of repeats of the version in force, so that retention does not drop it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::publish::record::ConfigRecord;

/// Divisor of the retention period that gives the minimum interval between repeats.
const RETENTION_DIVISOR: u32 = 4;

/// Divisor of the repeat interval that gives the retry delay after a failed repeat.
const RETRY_DIVISOR: u32 = 8;

/// Maximum number of versions whose last append time is kept.
const MAX_VERSIONS: usize = 16;

/// Decides when this process repeats the version in force.
///
/// Each process uses a different interval, so that usually one of them repeats the record and the
/// others see it before theirs is due. Several repeats of one version are harmless.
#[derive(Clone, Debug)]
pub struct Repeater {
    interval: Duration,
    /// Time of the last append of each version's document; `None` if that was before the origin of
    /// this machine's monotonic clock.
    appended_at: BTreeMap<u64, Option<Instant>>,
    retry_at: Option<Instant>,
}

impl Repeater {
    /// Creates a repeater for a log that keeps records for `retention`. `jitter` is a random number
    /// from 0 to 1, which spreads the age at which processes repeat a record between a quarter and a
    /// half of the retention period.
    pub fn new(retention: Duration, jitter: f64) -> Self {
        let min_interval = retention / RETENTION_DIVISOR;
        Self {
            interval: min_interval + min_interval.mul_f64(jitter.clamp(0.0, 1.0)),
            appended_at: BTreeMap::new(),
            retry_at: None,
        }
    }

    /// Handles a record that was appended `age` ago.
    pub fn on_record(&mut self, now: Instant, age: Duration, offset: u64, body: &[u8]) {
        let Some(record) = ConfigRecord::from_bytes(body) else {
            return;
        };
        let version = record.version.unwrap_or(offset);
        self.appended_at.insert(version, now.checked_sub(age));
        if self.appended_at.len() > MAX_VERSIONS {
            self.appended_at.pop_first();
        }
    }

    /// Returns the record to append now, if a repeat is due. `repeat` is the result of
    /// [`ConfigReader::repeat`](crate::publish::ConfigReader::repeat).
    pub fn due(&mut self, now: Instant, repeat: Option<ConfigRecord>) -> Option<ConfigRecord> {
        let record = repeat?;
        let appended_at = self.appended_at.get(&record.version?).copied().flatten();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < self.interval;
        if appended_at.is_some_and(is_recent) || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        self.retry_at = Some(now + self.interval / RETRY_DIVISOR);
        Some(record)
    }
}
