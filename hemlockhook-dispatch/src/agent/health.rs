//! Health and pace of an upstream.

use std::time::{Duration, Instant};

use crate::JobId;

/// Thresholds and pauses for unhealthy upstreams.
#[derive(Clone, Debug)]
pub struct HealthPolicy {
    /// Number of consecutive failures, of more than one job, after which an upstream is unhealthy.
    pub failure_threshold: u32,
    /// Time without progress after which a run is stopped as stalled.
    pub stall_timeout: Duration,
    /// Initial time without work for an unhealthy upstream.
    pub min_pause: Duration,
    /// Maximum time without work for an unhealthy upstream.
    pub max_pause: Duration,
    /// Weight of one run in the moving average of the pace.
    pub pace_weight: f64,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            stall_timeout: Duration::from_millis(350),
            min_pause: Duration::from_millis(800),
            max_pause: Duration::from_secs(3),
            pace_weight: 0.06,
        }
    }
}

/// Minimum and maximum ratio of a single run's pace to the current pace, so that one long task does
/// not mark the upstream as slow.
const PACE_RANGE: (f64, f64) = (0.2, 4.0);

/// Time without work after which a slow pace is reduced towards 1.
const IDLE_DECAY_INTERVAL: Duration = Duration::from_millis(500);

/// Factor on the logarithm of a slow pace after each [`IDLE_DECAY_INTERVAL`] without work.
const IDLE_DECAY_FACTOR: f64 = 0.7;

/// Health and pace of an upstream, as observed from its runs.
#[derive(Debug)]
pub struct Health {
    policy: HealthPolicy,
    /// Logarithm of the ratio of run time to expected run time.
    log_pace: f64,
    failures: u32,
    failed_job: Option<JobId>,
    /// Whether the consecutive failures are of more than one job.
    fails_several_jobs: bool,
    /// No work is accepted until then.
    paused_until: Option<Instant>,
    /// Pause after the next failure.
    next_pause: Duration,
    /// Whether the upstream is being probed with one task at a time.
    is_probing: bool,
    /// Since when the upstream has had no work.
    idle_since: Option<Instant>,
}

impl Health {
    /// Creates the state of a healthy upstream.
    pub fn new(policy: HealthPolicy) -> Self {
        Self {
            log_pace: 0.0,
            failures: 0,
            failed_job: None,
            fails_several_jobs: false,
            paused_until: None,
            next_pause: policy.min_pause,
            is_probing: false,
            idle_since: None,
            policy,
        }
    }

    /// Returns the ratio of run time to expected run time on this upstream.
    pub fn pace(&self) -> f64 {
        self.log_pace.exp()
    }

    /// Returns whether the upstream accepts work.
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| until <= now)
    }

    /// Returns whether the upstream accepts work and is not being probed.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.accepts_work(now) && !self.is_probing
    }

    /// Returns the maximum number of concurrent runs; `None` means no limit.
    pub fn run_limit(&self, now: Instant) -> Option<usize> {
        match self.accepts_work(now) {
            true if self.is_probing => Some(1),
            true => None,
            false => Some(0),
        }
    }

    /// Records a successful run.
    pub fn record_success(&mut self, run_time: Duration, expected: Duration) {
        let ratio = run_time.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let (min, max) = PACE_RANGE;
        let current = self.pace();
        let ratio = ratio.clamp(current * min, current * max);
        self.log_pace += self.policy.pace_weight * (ratio.ln() - self.log_pace);
        self.record_cold_success();
    }

    /// Records a successful run whose time says nothing of the pace.
    pub fn record_cold_success(&mut self) {
        self.failures = 0;
        self.fails_several_jobs = false;
        self.is_probing = false;
        self.next_pause = self.policy.min_pause;
    }

    /// Records a failed run of a job.
    pub fn record_failure(&mut self, now: Instant, job: &JobId) {
        let is_other_job = self.failures > 0 && self.failed_job.as_ref() != Some(job);
        self.fails_several_jobs |= is_other_job;
        self.failures += 1;
        self.failed_job = Some(job.clone());
        let is_streak = self.failures >= self.policy.failure_threshold && self.fails_several_jobs;
        if is_streak || self.is_probing {
            self.pause(now);
        }
    }

    /// Records a run that made no progress.
    pub fn record_stall(&mut self, now: Instant) {
        self.pause(now);
    }

    /// Lets a slow pace of an idle upstream decay towards 1, so that it is given work again.
    pub fn decay_idle_pace(&mut self, now: Instant, is_idle: bool) {
        let since = match self.idle_since {
            Some(since) if is_idle => since,
            _ => {
                self.idle_since = is_idle.then_some(now);
                return;
            }
        };
        if now.saturating_duration_since(since) >= IDLE_DECAY_INTERVAL && self.log_pace > 0.0 {
            self.log_pace *= IDLE_DECAY_FACTOR;
            self.idle_since = Some(now);
        }
    }

    /// Records a start that the upstream refused as unhealthy.
    pub fn record_refusal(&mut self, now: Instant) {
        self.pause(now);
    }

    fn pause(&mut self, now: Instant) {
        if !self.accepts_work(now) {
            return;
        }
        self.paused_until = Some(now + self.next_pause);
        self.next_pause = (self.next_pause * 2).min(self.policy.max_pause);
        self.is_probing = true;
    }
}
