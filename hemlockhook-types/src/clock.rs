//! Clock interface, with a system and a manual implementation.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which is used for logs and records only.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that only advances on [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    start_wall_time: SystemTime,
    elapsed_ns: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.elapsed_ns
            .fetch_add(by.as_nanos() as u64, Ordering::SeqCst);
    }

    fn elapsed(&self) -> Duration {
        Duration::from_nanos(self.elapsed_ns.load(Ordering::SeqCst))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            start_wall_time: SystemTime::UNIX_EPOCH,
            elapsed_ns: AtomicU64::new(0),
        }
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        self.start_wall_time + self.elapsed()
    }
}
