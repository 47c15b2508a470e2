//! When to append the version in force again, so that retention does not drop it.

use std::time::{Duration, Instant};

use crate::publish::reader::{ConfigReader, Verdict};
use crate::publish::record::ConfigRecord;

/// Share of the retention after which a record is repeated at the earliest, as a divisor.
const RETENTION_DIVISOR: u32 = 4;

/// Share of the interval between repeats after which a failed one is tried again, as a divisor.
const RETRY_DIVISOR: u32 = 8;

/// Decides when this process repeats the version in force.
///
/// Every process runs one. Each waits for a different time, so that usually one of them repeats a
/// record and the others see it; that several do is harmless.
#[derive(Clone, Debug)]
pub struct Repeater {
    interval: Duration,
    carried_at: Option<Instant>,
    retry_at: Option<Instant>,
}

impl Repeater {
    /// Creates a repeater for a log that keeps records for `retention`. `spread` is drawn at random
    /// from 0 to 1: the process repeats a record of an age from a quarter to half of the retention.
    pub fn new(retention: Duration, spread: f64) -> Self {
        let shortest = retention / RETENTION_DIVISOR;
        Self {
            interval: shortest + shortest.mul_f64(spread.clamp(0.0, 1.0)),
            carried_at: None,
            retry_at: None,
        }
    }

    /// Takes the verdict on a record that was appended `age` ago.
    pub fn on_verdict(&mut self, now: Instant, age: Duration, verdict: Verdict) {
        let carries = matches!(verdict, Verdict::Accepted { .. } | Verdict::Repeated);
        if carries {
            self.carried_at = now.checked_sub(age);
            self.retry_at = None;
        }
    }

    /// Returns the record to append now, if one is due.
    pub fn due(&mut self, now: Instant, reader: &ConfigReader) -> Option<ConfigRecord> {
        let is_young = |at: Instant| now.saturating_duration_since(at) < self.interval;
        if self.carried_at.is_some_and(is_young) || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let record = reader.repeat()?;
        self.retry_at = Some(now + self.interval / RETRY_DIVISOR);
        Some(record)
    }
}
