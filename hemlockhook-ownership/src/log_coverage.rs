//! Tracks how far back the records read from the log reach.

use std::time::{Duration, Instant};

use hemlockhook_types::FIRST_OFFSET;

/// Offset of [`LogTime`] from the process's clock: one year.
const LOG_TIME_SHIFT: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// The time at which a record was written to the log.
///
/// Records may be older than the zero of the monotonic clock, so these times are shifted into the
/// future and may be compared only with each other.
pub type LogTime = Instant;

/// Returns the time at which a record of the given age was written.
pub fn log_time(now: Instant, age: Duration) -> LogTime {
    (now + LOG_TIME_SHIFT).checked_sub(age).unwrap_or(now)
}

/// The part of the membership stream that a reader has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogCoverage {
    first: Option<FirstRecord>,
}

/// The oldest record that was read.
#[derive(Clone, Copy, Debug)]
struct FirstRecord {
    offset: u64,
    written: LogTime,
}

impl LogCoverage {
    /// Notes a record that was read. Must be called in stream order.
    pub fn on_record(&mut self, offset: u64, written: LogTime) {
        self.first.get_or_insert(FirstRecord { offset, written });
    }

    /// Returns whether the records read reach back to `span` before `at`, or to the beginning of
    /// the stream.
    pub fn covers(&self, at: LogTime, span: Duration) -> bool {
        self.first
            .is_some_and(|first| first.offset <= FIRST_OFFSET || first.written + span <= at)
    }
}
