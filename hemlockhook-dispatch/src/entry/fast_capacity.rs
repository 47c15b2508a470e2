//! Capacity of fast upstreams that is reserved for tasks that end in time at no slow one.

use std::time::{Duration, Instant};

use crate::entry::run_times::RatioDistribution;
use crate::entry::timely::{Slack, task_target};

/// Ratio of the slow to the fast paces from which upstreams count as of two speeds. Learned paces vary
/// by about a tenth.
const MIN_PACE_RATIO: f64 = 1.2;

/// Part of the upstreams at each end of the paces that is left out of the comparison, so that a single
/// one that has slowed down does not count.
const TRIMMED_PART: f64 = 0.1;

/// Time constant of the demand. The load peaks for which capacity is reserved last for 3 to 6 s.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Maximum fraction of the fast capacity that is reserved.
const MAX_RESERVED_FRACTION: f64 = 0.6;

/// The upstreams of two speeds, and the recent demand for the fast ones.
#[derive(Debug, Default)]
pub(super) struct FastCapacity {
    /// Mean paces of the fast and of the slow upstreams, if there are both.
    paces: Option<(f64, f64)>,
    /// Part of the fast upstreams' capacity that the entry can count on, in cores.
    cores: f64,
    /// Work of tasks that need a fast upstream, in core-seconds there, with decay.
    demand: f64,
    decayed_at: Option<Instant>,
}

impl FastCapacity {
    /// Updates the speeds, from the pace of each upstream and the cores there that the entry can count
    /// on.
    pub(super) fn update(&mut self, now: Instant, mut upstreams: Vec<(f64, f64)>) {
        let passed = now.saturating_duration_since(self.decayed_at.unwrap_or(now));
        self.demand *= (-passed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.decayed_at = Some(now);
        self.paces = None;
        upstreams.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let trimmed = (upstreams.len() as f64 * TRIMMED_PART) as usize;
        let last = upstreams.len().saturating_sub(1 + trimmed);
        let (Some(&(min, _)), Some(&(max, _))) = (upstreams.get(trimmed), upstreams.get(last))
        else {
            return;
        };
        if max < min * MIN_PACE_RATIO {
            return;
        }
        let limit = (min * max).sqrt();
        let (fast, slow) = upstreams.split_at(upstreams.partition_point(|&(pace, _)| pace < limit));
        let mean = |part: &[(f64, f64)]| {
            part.iter().map(|&(pace, _)| pace).sum::<f64>() / part.len().max(1) as f64
        };
        self.paces = Some((mean(fast), mean(slow)));
        self.cores = fast.iter().map(|&(_, cores)| cores).sum();
    }

    /// Records the placement of a task of a step of `width` tasks with the given requirement, which
    /// counts as demand if the task does not end within its job's objective at a slow upstream.
    pub(super) fn placed(
        &mut self,
        cores: f64,
        expected: Duration,
        objective: Slack,
        width: usize,
        ratios: &RatioDistribution,
    ) {
        let Some((fast, slow)) = self.paces else {
            return;
        };
        let value = |pace| objective.value(ratios, expected.mul_f64(pace), Duration::ZERO);
        if value(slow) < value(fast) * task_target(width) {
            self.demand += cores * expected.as_secs_f64() * fast;
        }
    }

    /// Returns the mean paces of the fast and of the slow upstreams, if there are both.
    pub(super) fn paces(&self) -> Option<(f64, f64)> {
        self.paces
    }

    /// Returns the fraction of the fast upstreams' capacity that is reserved.
    pub(super) fn reserved_fraction(&self) -> f64 {
        if self.paces.is_none() || self.cores <= 0.0 {
            return 0.0;
        }
        let cores = self.demand / DEMAND_TIME.as_secs_f64();
        (cores / self.cores).min(MAX_RESERVED_FRACTION)
    }
}
