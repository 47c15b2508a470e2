//! A clock that also counts the time for which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use hemlockhook_types::Clock;
use rustix::time::{ClockId, clock_gettime};

/// The operating system's clock since boot. Unlike the monotonic clock it goes on while the machine
/// is suspended, so that a lease is not taken for a fresh one afterwards.
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
