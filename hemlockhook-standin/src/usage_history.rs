//! Usage of the workers, reported with a lag as by the platform.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlockhook_ports::{TaskUsage, Usage};

/// Samples of the usage of every worker, back to the newest one that is at least as old as the lag.
#[derive(Debug)]
pub(crate) struct UsageHistory {
    lag: Duration,
    samples: VecDeque<Sample>,
}

#[derive(Debug)]
struct Sample {
    sampled_at: Instant,
    workers: HashMap<String, Vec<TaskUsage>>,
}

impl UsageHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    pub(crate) fn add(&mut self, now: Instant, workers: HashMap<String, Vec<TaskUsage>>) {
        self.samples.push_back(Sample {
            sampled_at: now,
            workers,
        });
        // The oldest sample is reported until the next one is as old as the lag.
        while let Some(next) = self.samples.get(1)
            && now.duration_since(next.sampled_at) >= self.lag
        {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample of a worker's usage that is at least as old as the lag, or an
    /// empty usage if there is none.
    pub(crate) fn usage(&self, now: Instant, worker: &str) -> Usage {
        let is_due = |sample: &&Sample| now.duration_since(sample.sampled_at) >= self.lag;
        match self.samples.iter().rev().find(is_due) {
            Some(sample) => Usage {
                lag_ms: now.duration_since(sample.sampled_at).as_millis() as u64,
                tasks: sample.workers.get(worker).cloned().unwrap_or_default(),
            },
            None => Usage {
                lag_ms: self.lag.as_millis() as u64,
                tasks: Vec::new(),
            },
        }
    }
}
