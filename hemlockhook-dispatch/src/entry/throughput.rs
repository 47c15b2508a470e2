//! The rate at which work is started while more is queued.
//!
//! The nominal share of the upstreams' capacity is not reached if tasks leave gaps, upstreams slow down
//! or other entries take more, and exceeded if others take less.

use std::time::{Duration, Instant};

/// Time over which the measured rate is averaged.
const AVERAGE_TIME: Duration = Duration::from_millis(1000);

/// Time for which work has to have been queued until the measured rate weighs as much as the nominal
/// one.
const TRUST_TIME_S: f64 = 0.1;

/// Limits of the result, as parts of the nominal rate.
const LIMITS: (f64, f64) = (0.3, 3.0);

/// Work started while more was queued, and the time for which that was so, with decay.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    /// Started work, in core-seconds.
    work: f64,
    /// Time in seconds.
    time: f64,
    updated: Option<Instant>,
    is_saturated: bool,
}

impl Throughput {
    /// Counts work that was started, in core-seconds.
    pub(super) fn started(&mut self, work: f64) {
        if self.is_saturated {
            self.work += work;
        }
    }

    /// Records whether claimed work is still queued after a placement round.
    pub(super) fn placed(&mut self, now: Instant, is_saturated: bool) {
        let since = self.updated.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-passed / AVERAGE_TIME.as_secs_f64()).exp();
        self.work *= decay;
        self.time *= decay;
        if self.is_saturated {
            self.time += passed;
        }
        self.is_saturated = is_saturated;
    }

    /// Returns the expected rate in core-seconds per second, given the nominal one.
    pub(super) fn rate(&self, nominal: f64) -> f64 {
        let rate = (self.work + nominal * TRUST_TIME_S) / (self.time + TRUST_TIME_S);
        // Not `clamp`, which panics if the reported pace of an upstream is not a number.
        rate.max(nominal * LIMITS.0).min(nominal * LIMITS.1)
    }
}
