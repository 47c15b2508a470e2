//! How far back the records read from the log reach.

use std::time::{Duration, Instant};

/// Shift of [`LogTime`] against the process's clock: one year.
const LOG_TIME_SHIFT: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// The time at which something was written to the log.
///
/// Records may be older than the start of the process's clock, so these times are shifted and
/// compare only with each other.
pub type LogTime = Instant;

/// Returns the time at which a record of the given age was written.
pub fn log_time(now: Instant, age: Duration) -> LogTime {
    (now + LOG_TIME_SHIFT).checked_sub(age).unwrap_or(now)
}

/// What a reader of the membership stream knows of its past.
///
/// While the log is up, each member's record is appended again within the announcement interval.
/// So a reader knows all members once what it read reaches back for that interval. A silence that
/// lasts longer may be an outage, during which no member could append; it does not count.
#[derive(Clone, Debug, Default)]
pub struct History {
    first: Option<FirstRecord>,
    newest: Option<LogTime>,
    silence: Duration,
}

/// The oldest record that was read.
#[derive(Clone, Copy, Debug)]
struct FirstRecord {
    offset: u64,
    written: LogTime,
}

impl History {
    /// Takes in a record that was read, in order. Returns the length of the silence before it if
    /// it was longer than `interval`, else zero.
    pub fn on_record(&mut self, offset: u64, written: LogTime, interval: Duration) -> Duration {
        self.first.get_or_insert(FirstRecord { offset, written });
        let newest = self.newest.unwrap_or(written);
        self.newest = Some(newest.max(written));
        let silence = written.saturating_duration_since(newest);
        if silence <= interval {
            return Duration::ZERO;
        }
        self.silence += silence;
        silence
    }

    /// Returns whether the records read reach back for `span` before `at`, without silences, or to
    /// the beginning of the stream.
    pub fn reaches_back(&self, at: LogTime, span: Duration) -> bool {
        self.first
            .is_some_and(|first| first.offset == 0 || first.written + span + self.silence <= at)
    }
}
