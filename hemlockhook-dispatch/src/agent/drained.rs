//! Agents in a drained data center, and upstreams that are cold.

use std::time::Instant;

use crate::agent::Supervisor;
use crate::agent::upstream::Upstream;

impl Supervisor {
    /// Sets whether the agent's data center is drained.
    ///
    /// While it is, no task is started: waiting orders are returned and new ones are refused as not
    /// started, and starts are not retried. What runs is finished.
    pub fn set_drained(&mut self, now: Instant, is_drained: bool) {
        if self.is_drained == is_drained {
            return;
        }
        self.is_drained = is_drained;
        if is_drained {
            self.return_waiting(now);
        }
        self.links.state_changed();
        self.start_waiting(now);
    }

    /// Returns the ratio of run time to expected run time that entries are told.
    pub(super) fn reported_pace(&self, now: Instant) -> f64 {
        let is_cold = |upstream: &Upstream| upstream.is_cold(now);
        match self.upstream.as_ref().is_some_and(is_cold) {
            true => self.health.pace() * self.policy.cold_pace_factor,
            false => self.health.pace(),
        }
    }

    /// Returns whether the run time of a run that was started at `started_at` says nothing of the
    /// upstream's lasting pace, because the upstream was cold.
    pub(super) fn is_cold_run(&self, started_at: Instant) -> bool {
        let is_cold = |upstream: &Upstream| upstream.is_cold(started_at);
        self.policy.cold_pace_factor > 1.0 && self.upstream.as_ref().is_some_and(is_cold)
    }

    /// Has the pace reported again once the upstream is no longer cold.
    pub(super) fn note_warm_upstream(&mut self, now: Instant) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let is_cold = upstream.is_cold(now);
        if std::mem::replace(&mut upstream.was_cold, is_cold) != is_cold {
            self.links.state_changed();
        }
    }
}
