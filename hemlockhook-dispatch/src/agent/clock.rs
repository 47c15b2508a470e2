//! Bounds of an upstream's clock.
//!
//! The upstream's clock does not count the time of a suspend, and may be slow. The agent's clock counts
//! a suspend, which may also stop both machines, or either of them.

use std::time::{Duration, Instant};

/// Minimum speed of an upstream's clock, in percent of real time.
const MIN_SPEED_PERCENT: u32 = 98;

/// Maximum time between two events of an agent that is surely no suspend. It is above the time between
/// the ticks of an idle agent.
const MAX_STEP: Duration = Duration::from_millis(150);

/// A lower bound of an upstream's clock, which each reading corrects.
#[derive(Debug, Default)]
pub(super) struct ClockBound {
    /// The bound at the time of the last event; `None` before the first reading.
    bound: Option<(Duration, Instant)>,
    /// Whether a long step counts as time that passed for the upstream.
    pub(super) counts_long_steps: bool,
}

impl ClockBound {
    /// Returns the bound, in milliseconds.
    pub(super) fn millis(&self, now: Instant) -> Option<u64> {
        self.at(now).map(|bound| bound.as_millis() as u64)
    }

    fn at(&self, now: Instant) -> Option<Duration> {
        let (bound, at) = self.bound?;
        let step = now.saturating_duration_since(at);
        // What passed for the upstream in a longer step is unknown.
        let step = match step > MAX_STEP && !self.counts_long_steps {
            true => Duration::ZERO,
            false => step,
        };
        Some(bound + step * MIN_SPEED_PERCENT / 100)
    }

    /// Takes note of an event, so that the time between events is known.
    pub(super) fn advance(&mut self, now: Instant) {
        self.bound = self.at(now).map(|bound| (bound, now));
    }

    /// Takes a reading. If the call that it answers was made at `called`, the clock is at most the
    /// reading and the time since, and a bound above that was wrong.
    pub(super) fn read(&mut self, now: Instant, called: Option<Instant>, clock_ms: u64) {
        self.advance(now);
        let reading = Duration::from_millis(clock_ms);
        let Some((bound, _)) = self.bound else {
            self.bound = Some((reading, now));
            return;
        };
        // A reading is in whole milliseconds.
        let upper = called.map(|called| {
            let since = now.saturating_duration_since(called);
            reading + since + Duration::from_millis(1)
        });
        let is_wrong = upper.is_some_and(|upper| bound > upper) && !self.counts_long_steps;
        if is_wrong || reading > bound {
            self.bound = Some((reading, now));
        }
    }
}
