//! A clock that also counts the time for which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use hemlockhook_types::Clock;
use rustix::time::{ClockId, clock_gettime};

/// The operating system's boot-time clock. Unlike the monotonic clock it advances while the machine
/// is suspended, so that a lease that expired during a suspend is not treated as valid after it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    boot_start: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            boot_start: since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.boot_start)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
