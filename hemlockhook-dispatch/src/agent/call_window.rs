//! Limits on the calls to the upstream that are in flight.
//!
//! An upstream that answers more slowly than it is called leaves ever more calls unanswered, and each
//! unanswered start costs it further calls. So fewer are made at a time while calls are unanswered.

use std::time::{Duration, Instant};

/// Minimum time between two reductions: calls that were made together time out together.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of calls of one kind in flight: halved when calls are unanswered, and raised by one
/// for each round of answered ones.
#[derive(Debug)]
pub(super) struct CallWindow {
    /// Least and largest size.
    limits: (usize, usize),
    size: f64,
    reduced: Option<Instant>,
}

impl CallWindow {
    pub(super) fn new(least: usize, largest: usize) -> Self {
        Self {
            limits: (least, largest),
            size: largest as f64,
            reduced: None,
        }
    }

    /// Returns the number of calls that may be in flight.
    pub(super) fn size(&self) -> usize {
        self.size as usize
    }

    /// Records whether a call was answered.
    pub(super) fn record(&mut self, now: Instant, is_answered: bool) {
        let (least, largest) = self.limits;
        let is_recent = |at| now.saturating_duration_since(at) < REDUCTION_INTERVAL;
        match is_answered {
            true => self.size = (self.size + 1.0 / self.size).min(largest as f64),
            false if self.reduced.is_some_and(is_recent) => {}
            false => {
                self.size = (self.size / 2.0).max(least as f64);
                self.reduced = Some(now);
            }
        }
    }
}
