//! Run time estimates learned per queue.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::MAX_RUN_TIME;

/// Weight of one run in the moving averages of a queue.
const LEARNING_RATE: f64 = 0.03;

/// Weight of the declared run time in an estimate, in logarithms; the rest is that of the queue's
/// mean.
const DECLARED_WEIGHT: f64 = 0.5;

/// Weight of the declared run time if it differs from the queue's mean by more than
/// [`OUTLIER_DISTANCE`].
const OUTLIER_DECLARED_WEIGHT: f64 = 0.9;

/// Difference of logarithms from the queue's mean above which a job is an outlier.
const OUTLIER_DISTANCE: f64 = 1.1;

/// Maximum factor by which a single run may deviate from the mean; it is clamped beyond that.
const MAX_DEVIATION: f64 = 8.0;

/// Estimates of the run times of each queue's tasks on an upstream of pace 1.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    queues: BTreeMap<Arc<str>, QueueEstimate>,
}

#[derive(Clone, Copy, Debug)]
struct QueueEstimate {
    /// Logarithm of the mean run time in seconds.
    log_mean: f64,
    /// Logarithm of the ratio of run time to declared run time.
    log_bias: f64,
}

impl Estimates {
    /// Returns the expected run time of a task.
    pub(super) fn expect(&self, queue: &Arc<str>, declared_run_time: Duration) -> Duration {
        let Some(learned) = self.queues.get(queue) else {
            return declared_run_time.min(MAX_RUN_TIME);
        };
        let log_declared = log_seconds(declared_run_time) + learned.log_bias;
        let weight = match (log_declared - learned.log_mean).abs() {
            distance if distance > OUTLIER_DISTANCE => OUTLIER_DECLARED_WEIGHT,
            _ => DECLARED_WEIGHT,
        };
        let log = weight * log_declared + (1.0 - weight) * learned.log_mean;
        Duration::from_secs_f64(log.exp().min(MAX_RUN_TIME.as_secs_f64()))
    }

    /// Records the run time of a task on an upstream of the given pace.
    pub(super) fn learn(
        &mut self,
        queue: &Arc<str>,
        declared_run_time: Duration,
        run_time: Duration,
        pace: f64,
    ) {
        let log_declared = log_seconds(declared_run_time);
        let log_run_time = (run_time.as_secs_f64() / pace).max(0.001).ln();
        let learned = self.queues.entry(queue.clone()).or_insert(QueueEstimate {
            log_mean: log_declared,
            log_bias: 0.0,
        });
        let max_deviation = MAX_DEVIATION.ln();
        let log_run_time = log_run_time.clamp(
            learned.log_mean - max_deviation,
            learned.log_mean + max_deviation,
        );
        learned.log_mean += LEARNING_RATE * (log_run_time - learned.log_mean);
        learned.log_bias += LEARNING_RATE * (log_run_time - log_declared - learned.log_bias);
    }
}

/// Returns the logarithm of a declared run time in seconds.
fn log_seconds(declared_run_time: Duration) -> f64 {
    let seconds = declared_run_time.min(MAX_RUN_TIME).as_secs_f64();
    seconds.max(0.001).ln()
}
