//! Whether an upstream does what it is told, and how fast.

use std::time::{Duration, Instant};

use crate::JobId;

/// When an upstream is taken for unsound.
#[derive(Clone, Debug)]
pub struct HealthPolicy {
    /// Failures in a row, of more than one job, after which it is unsound.
    pub failure_threshold: u32,
    /// Time without progress after which a run is stopped.
    pub stall_timeout: Duration,
    /// First pause without work.
    pub min_pause: Duration,
    /// Longest pause without work.
    pub max_pause: Duration,
    /// Weight of one run in the pace.
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

/// Bounds of a single run's share in the pace, so that one long task does not make a slow upstream.
const PACE_RANGE: (f64, f64) = (0.2, 4.0);

/// Time without work after which a slow pace is believed less.
const REST: Duration = Duration::from_millis(500);

/// Part of a slow pace's logarithm that is kept after that time.
const REST_PART: f64 = 0.7;

/// What is known of an upstream's health.
#[derive(Debug)]
pub struct Health {
    policy: HealthPolicy,
    /// Logarithm of run time over expected run time.
    log_pace: f64,
    failures: u32,
    failed_job: Option<JobId>,
    /// Whether the failures in a row are of more than one job.
    several_jobs: bool,
    /// No work is taken before.
    closed_until: Option<Instant>,
    /// Pause after the next fault.
    next_pause: Duration,
    /// Whether it is being tried with one task.
    is_probing: bool,
    /// Since when it has had no work.
    idle_since: Option<Instant>,
}

impl Health {
    /// Creates the health of an upstream about which nothing bad is known.
    pub fn new(policy: HealthPolicy) -> Self {
        Self {
            log_pace: 0.0,
            failures: 0,
            failed_job: None,
            several_jobs: false,
            closed_until: None,
            next_pause: policy.min_pause,
            is_probing: false,
            idle_since: None,
            policy,
        }
    }

    /// Returns run time here over the run time expected.
    pub fn pace(&self) -> f64 {
        self.log_pace.exp()
    }

    /// Returns whether work may be given to it.
    pub fn is_open(&self, now: Instant) -> bool {
        self.closed_until.is_none_or(|until| until <= now)
    }

    /// Returns whether it does what it is told, as far as is known.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.is_open(now) && !self.is_probing
    }

    /// Returns how many runs it is tried with; `None` is no limit.
    pub fn run_limit(&self, now: Instant) -> Option<usize> {
        match self.is_open(now) {
            true if self.is_probing => Some(1),
            true => None,
            false => Some(0),
        }
    }

    /// Takes a run that ended well.
    pub fn record_success(&mut self, run_time: Duration, expected: Duration) {
        let ratio = run_time.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let (least, most) = PACE_RANGE;
        let current = self.pace();
        let ratio = ratio.clamp(current * least, current * most);
        self.log_pace += self.policy.pace_weight * (ratio.ln() - self.log_pace);
        self.failures = 0;
        self.several_jobs = false;
        self.is_probing = false;
        self.next_pause = self.policy.min_pause;
    }

    /// Takes a run of a job that failed.
    pub fn record_failure(&mut self, now: Instant, job: &JobId) {
        let is_other = self.failures > 0 && self.failed_job.as_ref() != Some(job);
        self.several_jobs |= is_other;
        self.failures += 1;
        self.failed_job = Some(job.clone());
        let is_streak = self.failures >= self.policy.failure_threshold && self.several_jobs;
        if is_streak || self.is_probing {
            self.close(now);
        }
    }

    /// Takes a run that did not get on.
    pub fn record_stall(&mut self, now: Instant) {
        self.close(now);
    }

    /// Lets the pace of an upstream that has had no work for a while go back to that of any other, so
    /// that it is tried again.
    pub fn decay_idle_pace(&mut self, now: Instant, is_idle: bool) {
        let since = match self.idle_since {
            Some(since) if is_idle => since,
            _ => {
                self.idle_since = is_idle.then_some(now);
                return;
            }
        };
        if now.saturating_duration_since(since) >= REST && self.log_pace > 0.0 {
            self.log_pace *= REST_PART;
            self.idle_since = Some(now);
        }
    }

    /// Takes a start that an unhealthy upstream refused.
    pub fn record_refusal(&mut self, now: Instant) {
        self.close(now);
    }

    fn close(&mut self, now: Instant) {
        if !self.is_open(now) {
            return;
        }
        self.closed_until = Some(now + self.next_pause);
        self.next_pause = (self.next_pause * 2).min(self.policy.max_pause);
        self.is_probing = true;
    }
}
