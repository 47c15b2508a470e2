//! Distributions of run times learned per queue.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of buckets of a distribution.
const BUCKETS: usize = 64;

/// Width of a bucket, as a difference of natural logarithms.
const BUCKET_WIDTH: f64 = 0.1;

/// Logarithm of the lowest ratio of the first bucket. The buckets reach from a tenth of the expected
/// run time to 60 times as long; some tasks take 7 times as long as others of their kind.
const MIN_LOG_RATIO: f64 = -2.3;

/// Factor on the weight of a run when another one is recorded: the last 1,000 runs count most.
const FORGETTING: f64 = 0.999;

/// Number of runs after which the probabilities are computed anew.
const REFRESH_INTERVAL: u32 = 16;

/// Number of runs that the assumed distribution counts as.
const PRIOR_RUNS: f64 = 30.0;

/// Standard deviation of the logarithm of the ratio in the assumed distribution.
const PRIOR_DEVIATION: f64 = 0.4;

/// Distributions of the ratio of run time to expected run time of each queue's tasks.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    queues: BTreeMap<Arc<str>, RatioDistribution>,
    assumed: RatioDistribution,
}

impl RunTimes {
    /// Returns the distribution of a queue, or the assumed one if no run is known.
    pub(super) fn of(&self, queue: &Arc<str>) -> &RatioDistribution {
        self.queues.get(queue).unwrap_or(&self.assumed)
    }

    /// Records the ratio of a run time to the expected one.
    pub(super) fn learn(&mut self, queue: &Arc<str>, ratio: f64) {
        match self.queues.get_mut(queue) {
            Some(known) => known.learn(ratio),
            None => {
                let mut learned = RatioDistribution::default();
                learned.learn(ratio);
                self.queues.insert(queue.clone(), learned);
            }
        }
    }
}

/// A histogram of ratios in logarithmic buckets.
#[derive(Clone, Debug)]
pub(super) struct RatioDistribution {
    weights: [f64; BUCKETS],
    /// Weight of the next run. It rises, so that earlier runs count less.
    next_weight: f64,
    /// Probability of a ratio below the lower bound of each bucket.
    below: [f64; BUCKETS + 1],
    /// Number of runs since `below` was computed.
    pending: u32,
}

impl Default for RatioDistribution {
    fn default() -> Self {
        let mut weights = [0.0; BUCKETS];
        for (index, weight) in weights.iter_mut().enumerate() {
            let log = MIN_LOG_RATIO + (index as f64 + 0.5) * BUCKET_WIDTH;
            *weight = (-0.5 * (log / PRIOR_DEVIATION).powi(2)).exp();
        }
        let total: f64 = weights.iter().sum();
        for weight in &mut weights {
            *weight *= PRIOR_RUNS / total;
        }
        let mut distribution = Self {
            weights,
            next_weight: 1.0,
            below: [0.0; BUCKETS + 1],
            pending: 0,
        };
        distribution.refresh();
        distribution
    }
}

impl RatioDistribution {
    /// Returns the probability that a ratio is at most `ratio`.
    pub(super) fn probability(&self, ratio: f64) -> f64 {
        let position = (ratio.max(f64::MIN_POSITIVE).ln() - MIN_LOG_RATIO) / BUCKET_WIDTH;
        let position = position.clamp(0.0, BUCKETS as f64);
        let index = (position as usize).min(BUCKETS - 1);
        let (low, high) = (self.below[index], self.below[index + 1]);
        low + (high - low) * (position - index as f64)
    }

    fn learn(&mut self, ratio: f64) {
        let position = (ratio.max(f64::MIN_POSITIVE).ln() - MIN_LOG_RATIO) / BUCKET_WIDTH;
        let index = (position.max(0.0) as usize).min(BUCKETS - 1);
        self.weights[index] += self.next_weight;
        self.next_weight /= FORGETTING;
        self.pending += 1;
        if self.pending >= REFRESH_INTERVAL {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.pending = 0;
        let total: f64 = self.weights.iter().sum();
        let mut sum = 0.0;
        for (index, weight) in self.weights.iter_mut().enumerate() {
            sum += *weight;
            *weight /= self.next_weight;
            self.below[index + 1] = sum / total;
        }
        self.next_weight = 1.0;
    }
}
