//! When to append the version in force again, so that retention does not drop it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::publish::record::ConfigRecord;

/// Share of the retention after which a record is repeated at the earliest, as a divisor.
const RETENTION_DIVISOR: u32 = 4;

/// Share of the interval between repeats after which a failed one is tried again, as a divisor.
const RETRY_DIVISOR: u32 = 8;

/// Latest versions for which it is noted when the log last got their document.
const MAX_VERSIONS: usize = 16;

/// Decides when this process repeats the version in force.
///
/// Every process that runs one waits for a different time, so that usually one of them repeats a
/// record and the others see it; that several do is harmless.
#[derive(Clone, Debug)]
pub struct Repeater {
    interval: Duration,
    /// When the log last got each version's document. `None`: before this machine's clock began.
    appended: BTreeMap<u64, Option<Instant>>,
    retry_at: Option<Instant>,
}

impl Repeater {
    /// Creates a repeater for a log that keeps records for `retention`. `spread` is drawn at random
    /// from 0 to 1: the process repeats a record of an age from a quarter to half of the retention.
    pub fn new(retention: Duration, spread: f64) -> Self {
        let shortest = retention / RETENTION_DIVISOR;
        Self {
            interval: shortest + shortest.mul_f64(spread.clamp(0.0, 1.0)),
            appended: BTreeMap::new(),
            retry_at: None,
        }
    }

    /// Takes a record that was appended `age` ago.
    pub fn on_record(&mut self, now: Instant, age: Duration, offset: u64, body: &[u8]) {
        let Some(record) = ConfigRecord::from_bytes(body) else {
            return;
        };
        let version = record.version.unwrap_or(offset);
        self.appended.insert(version, now.checked_sub(age));
        if self.appended.len() > MAX_VERSIONS {
            self.appended.pop_first();
        }
    }

    /// Returns the record to append now, if the version in force is due for it. `repeat` is what
    /// the reader would repeat.
    pub fn due(&mut self, now: Instant, repeat: Option<ConfigRecord>) -> Option<ConfigRecord> {
        let record = repeat?;
        let appended = self.appended.get(&record.version?).copied().flatten();
        let is_young = |at: Instant| now.saturating_duration_since(at) < self.interval;
        if appended.is_some_and(is_young) || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        self.retry_at = Some(now + self.interval / RETRY_DIVISOR);
        Some(record)
    }
}
