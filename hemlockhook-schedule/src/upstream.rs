//! State that an entry keeps of one upstream: grants, learned speed and health.

use std::time::{Duration, Instant};

use hemlockhook_types::Incarnation;

use crate::spec::{Demand, UpstreamHealth, UpstreamSnapshot, UpstreamSpec};

/// Initial concurrency limit of an upstream that is new or leaves quarantine, and the lowest limit
/// that failures reduce it to.
const SLOW_START_LIMIT: u32 = 2;

/// Time for which an upstream must run at its concurrency limit without a failure before the limit
/// is raised, even if no task has completed.
const LIMIT_RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a reported demand that was not granted is reported to other agents as well.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Consecutive failures after which an upstream is quarantined, unless its peers fail as well.
pub const QUARANTINE_FAILURES: u32 = 3;

/// Delay before the first probe of a quarantined upstream. It doubles with each failed probe.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Number of successful probes after which a quarantined upstream returns to slow start.
const REQUIRED_PROBE_SUCCESSES: u32 = 2;

/// Minimum weight of a new speed observation.
const MIN_SPEED_GAIN: f64 = 0.02;

/// Number of observations that the prior, mean speed, counts as.
const SPEED_PRIOR_WEIGHT: f64 = 4.0;

/// Bound on the error, in the logarithm of the speed, that one observation may contribute.
const MAX_SPEED_STEP: f64 = 1.5;

/// Number of speed buckets, which are 1/8 octave wide.
pub const SPEED_BUCKETS: usize = 32;

const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// One upstream, as one entry sees it.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream as announced by its agent.
    pub spec: UpstreamSpec,
    /// Grants that this entry holds for it.
    pub grants: u32,
    /// Tasks of this entry that run on it.
    pub running: u32,
    /// Running tasks of this entry that are overdue.
    pub overdue: u32,
    /// Whether the upstream is shutting down.
    pub leaving: bool,
    /// Demand that was last reported to its agent, less the tasks granted since.
    pub reported_demand: Demand,
    /// Rate at which short tasks of this entry are expected to complete on it, in completions per
    /// million seconds. A whole number, so that removing a task subtracts exactly what was added
    /// for it.
    pub completion_rate: u64,
    log_speed: f64,
    observations: f64,
    concurrency_limit: u32,
    failures: u32,
    placed_since_success: u32,
    /// Largest number of slots ever announced; tasks placed at that time may still run.
    peak_slots: u32,
    quarantine: Option<Quarantine>,
    /// When the concurrency limit is raised, if no task fails until then.
    raise_at: Option<Instant>,
    /// When demand was last reported to its agent.
    reported_at: Option<Instant>,
}

#[derive(Debug)]
struct Quarantine {
    next_probe_at: Instant,
    probe_delay: Duration,
    probes_sent: u32,
    probes_succeeded: u32,
}

impl Upstream {
    /// Creates the state of a newly linked upstream.
    pub fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            grants: 0,
            running: 0,
            overdue: 0,
            leaving: false,
            reported_demand: Demand::default(),
            completion_rate: 0,
            log_speed: 0.0,
            observations: 0.0,
            concurrency_limit: SLOW_START_LIMIT,
            failures: 0,
            placed_since_success: 0,
            peak_slots: 0,
            quarantine: None,
            raise_at: None,
            reported_at: None,
        }
    }

    /// Returns the learned speed; 1 is the mean of the upstream's peers.
    pub fn speed(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Returns the speed bucket; a higher one is faster.
    pub fn speed_bucket(&self) -> usize {
        let octaves = self.log_speed / std::f64::consts::LN_2;
        let middle = (SPEED_BUCKETS / 2) as f64;
        (middle + octaves * BUCKETS_PER_OCTAVE)
            .round()
            .clamp(0.0, (SPEED_BUCKETS - 1) as f64) as usize
    }

    /// Returns whether a task can be placed on the upstream now.
    pub fn is_ready(&self, now: Instant) -> bool {
        match &self.quarantine {
            _ if self.leaving || self.grants == 0 => false,
            Some(quarantine) => self.running == 0 && quarantine.next_probe_at <= now,
            None => self.running < self.concurrency_limit,
        }
    }

    /// Returns whether further grants could be used.
    pub fn wants_grants(&self) -> bool {
        !self.leaving
            && self.quarantine.is_none()
            && self.running + self.grants < self.concurrency_limit
    }

    /// Records the demand that is reported to the agent.
    pub fn set_reported_demand(&mut self, now: Instant, demand: Demand) {
        self.reported_demand = demand;
        self.reported_at = Some(now);
    }

    /// Returns the number of grants expected from the agent in response to the reported demand.
    pub fn expected_grants(&self, now: Instant) -> u32 {
        let unavailable = self.leaving || self.quarantine.is_some();
        match self.reported_at.map(|at| at + DEMAND_TIMEOUT) {
            Some(until) if now < until && !unavailable => self.reported_demand.queued,
            _ => 0,
        }
    }

    /// Returns the number of held grants that cannot be used: all of them if the upstream is
    /// leaving, all but one if it is quarantined, otherwise those above the concurrency limit.
    pub fn unusable_grants(&self) -> u32 {
        let usable = match &self.quarantine {
            _ if self.leaving => 0,
            Some(_) => 1,
            None => self.concurrency_limit.saturating_sub(self.running),
        };
        self.grants.saturating_sub(usable)
    }

    /// Raises the concurrency limit of an upstream that has run at its limit for a while without a
    /// failure. Otherwise slow tasks, which complete rarely, would leave its slots unused.
    pub fn tick(&mut self, now: Instant) {
        self.peak_slots = self.peak_slots.max(self.spec.slots);
        if self.raise_at.is_some_and(|at| at <= now) {
            self.concurrency_limit = (self.concurrency_limit + 1).min(self.spec.slots);
            self.raise_at = None;
        }
        let is_limited = self.quarantine.is_none()
            && self.failures == 0
            && self.running >= self.concurrency_limit
            && self.concurrency_limit < self.spec.slots;
        match self.raise_at {
            Some(_) if is_limited => {}
            None if is_limited => self.raise_at = Some(now + LIMIT_RAISE_INTERVAL),
            _ => self.raise_at = None,
        }
    }

    /// Returns when `tick` must be called next.
    pub fn next_tick(&self) -> Option<Instant> {
        let probe = self.next_probe().filter(|_| self.running == 0);
        let reported_at = self.reported_at.filter(|_| self.reported_demand.queued > 0);
        let demand_expiry = reported_at.map(|at| at + DEMAND_TIMEOUT);
        [self.raise_at, probe, demand_expiry]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns when a quarantined upstream may be probed.
    fn next_probe(&self) -> Option<Instant> {
        self.quarantine
            .as_ref()
            .filter(|_| self.grants > 0)
            .map(|q| q.next_probe_at)
    }

    /// Records that a task was placed on the upstream, which uses up a grant.
    pub fn record_placement(&mut self) {
        assert!(self.grants > 0, "a task was placed without a grant");
        self.grants -= 1;
        self.running += 1;
        self.placed_since_success += 1;
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.probes_sent += 1;
        }
    }

    /// Stops counting a placement whose end says nothing about the upstream's health.
    pub fn discount_placement(&mut self) {
        self.placed_since_success = self.placed_since_success.saturating_sub(1);
    }

    /// Returns whether the last task on the upstream failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful task.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        self.placed_since_success = 0;
        match &mut self.quarantine {
            Some(quarantine) if quarantine.probes_succeeded + 1 < REQUIRED_PROBE_SUCCESSES => {
                quarantine.probes_succeeded += 1;
                quarantine.next_probe_at = now;
            }
            Some(_) => {
                self.quarantine = None;
                self.concurrency_limit = SLOW_START_LIMIT;
            }
            None => self.concurrency_limit = (self.concurrency_limit + 1).min(self.spec.slots),
        }
    }

    /// Records a failed task. `peers_failing` tells whether most of the upstream's peers fail as
    /// well.
    pub fn record_failure(&mut self, now: Instant, peers_failing: bool) {
        self.failures += 1;
        match &mut self.quarantine {
            Some(quarantine) => {
                quarantine.probe_delay = (quarantine.probe_delay * 2).min(MAX_PROBE_DELAY);
                quarantine.next_probe_at = now + quarantine.probe_delay;
                quarantine.probes_succeeded = 0;
            }
            None if peers_failing => self.placed_since_success = 0,
            None if self.failures >= QUARANTINE_FAILURES => {
                self.quarantine = Some(Quarantine {
                    next_probe_at: now + INITIAL_PROBE_DELAY,
                    probe_delay: INITIAL_PROBE_DELAY,
                    probes_sent: 0,
                    probes_succeeded: 0,
                });
            }
            None => self.concurrency_limit = (self.concurrency_limit / 2).max(SLOW_START_LIMIT),
        }
    }

    /// Returns the upper bound on placements since the last success, while peers succeed: the
    /// failures before the quarantine, the tasks that ran at that time, and the probes.
    pub fn max_unconfirmed_placements(&self) -> u32 {
        let probes = self
            .quarantine
            .as_ref()
            .map_or(0, |quarantine| quarantine.probes_sent);
        QUARANTINE_FAILURES + self.peak_slots + probes
    }

    /// Returns the number of placements since the last success.
    pub fn unconfirmed_placements(&self) -> u32 {
        self.placed_since_success
    }

    /// Updates the learned speed from a task with an expected work of `work_secs` that ran for
    /// `run_secs`.
    pub fn observe_speed(&mut self, work_secs: f64, run_secs: f64) {
        let error = (work_secs / run_secs.max(1e-4)).ln() - self.log_speed;
        self.observations += 1.0;
        let gain = (1.0 / (self.observations + SPEED_PRIOR_WEIGHT)).max(MIN_SPEED_GAIN);
        self.log_speed += gain * error.clamp(-MAX_SPEED_STEP, MAX_SPEED_STEP);
    }

    /// Halves the learned speed of an upstream on which most running tasks are overdue.
    pub fn penalize_straggler(&mut self) {
        if self.overdue >= 2 && 2 * self.overdue > self.running {
            self.log_speed -= std::f64::consts::LN_2;
        }
    }

    /// Returns the upstream's health.
    pub fn health(&self) -> UpstreamHealth {
        match () {
            () if self.leaving => UpstreamHealth::Leaving,
            () if self.quarantine.is_some() => UpstreamHealth::Quarantined,
            () if self.concurrency_limit < self.spec.slots => UpstreamHealth::SlowStart,
            () => UpstreamHealth::Healthy,
        }
    }

    /// Returns the upstream's state for status reports.
    pub fn snapshot(&self, agent: Incarnation) -> UpstreamSnapshot {
        UpstreamSnapshot {
            agent,
            name: self.spec.name.clone(),
            health: self.health(),
            speed: self.speed(),
            grants: self.grants,
            running: self.running,
        }
    }
}
