//! Learned run times.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of one run in what is learned of a queue.
const WEIGHT: f64 = 0.03;

/// Part of the declared run time in an estimate; the rest is the queue's mean. Both as logarithms.
const DECLARED_PART: f64 = 0.5;

/// The same for a job that is declared to be of quite another size than most of its queue.
const OUTLIER_PART: f64 = 0.9;

/// Distance from the mean, as a logarithm, at which a job is of another size.
const OUTLIER: f64 = 1.1;

/// Bounds of a single run against the mean.
const RANGE: f64 = 8.0;

/// Run times of the tasks of each queue, on an upstream of pace 1.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    queues: BTreeMap<Arc<str>, Learned>,
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    /// Logarithm of the mean run time in seconds.
    log_mean: f64,
    /// Logarithm of run time over declared run time.
    log_bias: f64,
}

impl Estimates {
    /// Returns the run time to expect of a task.
    pub(super) fn expect(&self, queue: &Arc<str>, declared_run_time: Duration) -> Duration {
        let Some(learned) = self.queues.get(queue) else {
            return declared_run_time;
        };
        let declared_run_time = declared_run_time.as_secs_f64().max(0.001).ln() + learned.log_bias;
        let part = match (declared_run_time - learned.log_mean).abs() {
            distance if distance > OUTLIER => OUTLIER_PART,
            _ => DECLARED_PART,
        };
        let log = part * declared_run_time + (1.0 - part) * learned.log_mean;
        Duration::from_secs_f64(log.exp())
    }

    /// Takes the run time of a task on an upstream of the given pace.
    pub(super) fn learn(
        &mut self,
        queue: &Arc<str>,
        declared_run_time: Duration,
        run_time: Duration,
        pace: f64,
    ) {
        let declared_run_time = declared_run_time.as_secs_f64().max(0.001).ln();
        let ran = (run_time.as_secs_f64() / pace).max(0.001).ln();
        let learned = self.queues.entry(queue.clone()).or_insert(Learned {
            log_mean: declared_run_time,
            log_bias: 0.0,
        });
        let range = RANGE.ln();
        let ran = ran.clamp(learned.log_mean - range, learned.log_mean + range);
        learned.log_mean += WEIGHT * (ran - learned.log_mean);
        learned.log_bias += WEIGHT * (ran - declared_run_time - learned.log_bias);
    }
}
