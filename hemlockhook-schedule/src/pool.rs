//! The upstreams of one service, ordered by speed.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use hemlockhook_types::Incarnation;

use crate::upstream::SPEED_BUCKETS;

/// Place in the order of choice: faster first, then nearer, then by agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The upstream's speed range.
    pub speed_bucket: Reverse<usize>,
    /// Whether it is in another data center.
    pub remote: bool,
    /// The agent beside it.
    pub agent: Incarnation,
}

/// The upstreams that run one service.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    /// All of them.
    pub all: BTreeSet<Rank>,
    /// Those that a task may be placed on now.
    pub ready: BTreeSet<Rank>,
    /// Those that hold no grant for this entry and know of no backlog.
    pub demand_candidates: BTreeSet<Rank>,
    /// Number of those whose last task failed.
    pub failing: u32,
    /// Tasks that their agents were told of and have not granted since.
    pub expected_grants: u64,
    completion_rates: CompletionRates,
}

/// The rate at which running short tasks end, by the speed range of their upstream, in ends for each
/// million seconds. Whole numbers, so that what is added can be taken away exactly.
#[derive(Debug)]
struct CompletionRates([u64; SPEED_BUCKETS]);

impl Default for CompletionRates {
    fn default() -> Self {
        Self([0; SPEED_BUCKETS])
    }
}

impl UpstreamPool {
    /// Adds the rate of a task that runs in a speed range.
    pub fn add_completion_rate(&mut self, bucket: usize, rate: u64) {
        self.completion_rates.0[bucket] += rate;
    }

    /// Takes away the rate of a task that ended.
    pub fn remove_completion_rate(&mut self, bucket: usize, rate: u64) {
        assert!(
            self.completion_rates.0[bucket] >= rate,
            "a rate is taken away once"
        );
        self.completion_rates.0[bucket] -= rate;
    }

    /// Returns the expected time, in seconds, until a task of `work_secs` would end if it waited for
    /// an upstream that is faster than the speed range `than`, behind `ahead` other tasks.
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

/// Returns the rate to be added for a task that is expected to run for `run_secs`.
pub fn expected_completion_rate(run_secs: f64) -> u64 {
    (1e6 / run_secs.max(1e-3)) as u64
}

/// Returns the speed in the middle of a speed range.
pub fn bucket_speed(bucket: usize) -> f64 {
    2f64.powf((bucket as f64 - (SPEED_BUCKETS / 2) as f64) / 8.0)
}
