//! The upstreams of one service, ordered by speed.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use hemlockhook_types::Incarnation;

use crate::upstream::SPEED_BUCKETS;

/// Position in the order of preference: faster upstreams first, then nearer ones, then by agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The upstream's speed bucket.
    pub speed_bucket: Reverse<usize>,
    /// Whether the upstream is in another data center than the entry.
    pub remote: bool,
    /// The upstream's agent.
    pub agent: Incarnation,
}

/// The upstreams that run one service.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    /// All upstreams that run the service.
    pub all: BTreeSet<Rank>,
    /// Upstreams that can be given a task now.
    pub ready: BTreeSet<Rank>,
    /// Upstreams whose agents are worth a report of demand: they can use further grants, this entry
    /// holds none for them and expects none of its short tasks to complete on them soon, and no
    /// backlog is reported to them.
    pub demand_candidates: BTreeSet<Rank>,
    /// Number of upstreams whose last task failed.
    pub failing: u32,
    /// Tasks that were recently reported to agents as demand and have not been granted since.
    pub expected_grants: u64,
    completion_rates: CompletionRates,
}

/// Rate at which running short tasks are expected to complete, by speed bucket, in completions per
/// million seconds. Kept in whole numbers, so that removing a task subtracts exactly what was added
/// for it.
#[derive(Debug)]
struct CompletionRates([u64; SPEED_BUCKETS]);

impl Default for CompletionRates {
    fn default() -> Self {
        Self([0; SPEED_BUCKETS])
    }
}

impl UpstreamPool {
    /// Adds the completion rate of a task that runs in a speed bucket.
    pub fn add_completion_rate(&mut self, bucket: usize, rate: u64) {
        self.completion_rates.0[bucket] += rate;
    }

    /// Removes the completion rate of a task that ended.
    pub fn remove_completion_rate(&mut self, bucket: usize, rate: u64) {
        assert!(
            self.completion_rates.0[bucket] >= rate,
            "removed a larger completion rate than was added"
        );
        self.completion_rates.0[bucket] -= rate;
    }

    /// Returns the expected time, in seconds, until a task of `work_secs` completes if it waits for
    /// an upstream faster than `slower_bucket`, behind `ahead` other tasks.
    pub fn finish_secs_on_faster(
        &self,
        slower_bucket: usize,
        ahead: usize,
        work_secs: f64,
    ) -> Option<f64> {
        let mut rate = 0.0;
        let mut best: Option<f64> = None;
        for bucket in (slower_bucket + 1..SPEED_BUCKETS).rev() {
            if self.completion_rates.0[bucket] == 0 {
                continue;
            }
            rate += self.completion_rates.0[bucket] as f64 / 1e6;
            let finish = (ahead + 1) as f64 / rate + work_secs / bucket_speed(bucket);
            best = Some(best.map_or(finish, |best| best.min(finish)));
        }
        best
    }
}

/// Returns the completion rate of a task that is expected to run for `run_secs`, in completions per
/// million seconds.
pub fn expected_completion_rate(run_secs: f64) -> u64 {
    (1e6 / run_secs.max(1e-3)) as u64
}

/// Returns the speed at the middle of a speed bucket.
pub fn bucket_speed(bucket: usize) -> f64 {
    2f64.powf((bucket as f64 - (SPEED_BUCKETS / 2) as f64) / 8.0)
}
