//! What an entry knows of one upstream: its grants, its learned speed and its health.

use std::time::{Duration, Instant};

use hemlockhook_types::Incarnation;

use crate::spec::{Demand, UpstreamHealth, UpstreamSnapshot, UpstreamSpec};

/// Tasks that may run at once on an upstream that is new.
const SLOW_START_LIMIT: u32 = 2;

/// Time for which an upstream has to run all that it may, without a failure, before its limit is
/// raised although no task has ended.
const LIMIT_RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a backlog that was told and not granted is told to other agents as well.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Failures in a row after which an upstream is quarantined, unless its peers fail as well.
pub const QUARANTINE_FAILURES: u32 = 3;

/// Pause before the first probe of a quarantined upstream. It doubles with each probe that fails.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Longest pause between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Probes that have to succeed before a quarantined upstream is given a slow start.
const REQUIRED_PROBE_SUCCESSES: u32 = 2;

/// Weight of the newest observation of speed once many were made.
const MIN_SPEED_GAIN: f64 = 0.02;

/// Observations of speed that the assumption of mean speed counts as.
const SPEED_PRIOR_WEIGHT: f64 = 4.0;

/// Furthest that one observation moves the logarithm of the speed's target.
const MAX_SPEED_STEP: f64 = 1.5;

/// Number of speed ranges that upstreams are told apart by.
pub const SPEED_BUCKETS: usize = 32;

const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// One upstream, as one entry sees it.
#[derive(Debug)]
pub struct Upstream {
    /// As announced.
    pub spec: UpstreamSpec,
    /// Grants held.
    pub grants: u32,
    /// Tasks of this entry that run there.
    pub running: u32,
    /// Tasks among them that run longer than expected.
    pub overdue: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The backlog that its agent was told and has not granted since.
    pub reported_demand: Demand,
    /// Rate at which its running short tasks of this entry are expected to end, in ends for each
    /// million seconds. A whole number, so that what is added can be taken away exactly.
    pub completion_rate: u64,
    log_speed: f64,
    observations: f64,
    concurrency_limit: u32,
    failures: u32,
    placed_since_success: u32,
    /// Most slots that it ever announced; tasks placed then may still run.
    peak_slots: u32,
    quarantine: Option<Quarantine>,
    /// When the limit is raised, if nothing fails until then.
    raise_at: Option<Instant>,
    /// When its agent was told of the backlog.
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
    /// Creates what is known of an upstream that was just linked.
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

    /// Returns its speed; 1 is the mean of its peers.
    pub fn speed(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Returns the speed range that it belongs to; a higher one is faster.
    pub fn speed_bucket(&self) -> usize {
        let octaves = self.log_speed / std::f64::consts::LN_2;
        let middle = (SPEED_BUCKETS / 2) as f64;
        (middle + octaves * BUCKETS_PER_OCTAVE)
            .round()
            .clamp(0.0, (SPEED_BUCKETS - 1) as f64) as usize
    }

    /// Returns whether a task may be placed there now.
    pub fn is_ready(&self, now: Instant) -> bool {
        match &self.quarantine {
            _ if self.leaving || self.grants == 0 => false,
            Some(quarantine) => self.running == 0 && quarantine.next_probe_at <= now,
            None => self.running < self.concurrency_limit,
        }
    }

    /// Returns whether more grants from it would be of use.
    pub fn wants_grants(&self) -> bool {
        !self.leaving
            && self.quarantine.is_none()
            && self.running + self.grants < self.concurrency_limit
    }

    /// Notes the backlog that its agent is told.
    pub fn set_reported_demand(&mut self, now: Instant, demand: Demand) {
        self.reported_demand = demand;
        self.reported_at = Some(now);
    }

    /// Returns the grants that its agent may be expected to give soon for the backlog that it was
    /// told.
    pub fn expected_grants(&self, now: Instant) -> u32 {
        let unavailable = self.leaving || self.quarantine.is_some();
        match self.reported_at.map(|at| at + DEMAND_TIMEOUT) {
            Some(until) if now < until && !unavailable => self.reported_demand.queued,
            _ => 0,
        }
    }

    /// Returns the grants that may not be used: those of an upstream that is leaving, those above the
    /// limit, and all but one of a quarantined upstream.
    pub fn unusable_grants(&self) -> u32 {
        let usable = match &self.quarantine {
            _ if self.leaving => 0,
            Some(_) => 1,
            None => self.concurrency_limit.saturating_sub(self.running),
        };
        self.grants.saturating_sub(usable)
    }

    /// Raises the limit of an upstream that has run as much as it may for a while without a failure:
    /// tasks that take long are no reason to leave its slots unused.
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

    /// Returns when `tick` is due.
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

    /// Notes a task that was placed there under a grant.
    pub fn record_placement(&mut self) {
        assert!(self.grants > 0, "a task was placed without a grant");
        self.grants -= 1;
        self.running += 1;
        self.placed_since_success += 1;
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.probes_sent += 1;
        }
    }

    /// Leaves a placement out of account that says nothing of the upstream.
    pub fn discount_placement(&mut self) {
        self.placed_since_success = self.placed_since_success.saturating_sub(1);
    }

    /// Returns whether its last task failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Notes that a task there succeeded.
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

    /// Notes that a task there failed, and whether its peers' tasks fail as well.
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

    /// Returns the most tasks that can have been placed since the last success, while peers succeed:
    /// those that failed until the quarantine, those that ran by then, and the probes.
    pub fn max_unconfirmed_placements(&self) -> u32 {
        let probes = self
            .quarantine
            .as_ref()
            .map_or(0, |quarantine| quarantine.probes_sent);
        QUARANTINE_FAILURES + self.peak_slots + probes
    }

    /// Returns the tasks placed since the last success.
    pub fn unconfirmed_placements(&self) -> u32 {
        self.placed_since_success
    }

    /// Learns from a task that was expected to hold `work_secs` and ran for `run_secs`.
    pub fn observe_speed(&mut self, work_secs: f64, run_secs: f64) {
        let error = (work_secs / run_secs.max(1e-4)).ln() - self.log_speed;
        self.observations += 1.0;
        let gain = (1.0 / (self.observations + SPEED_PRIOR_WEIGHT)).max(MIN_SPEED_GAIN);
        self.log_speed += gain * error.clamp(-MAX_SPEED_STEP, MAX_SPEED_STEP);
    }

    /// Halves the speed of an upstream on which most tasks run longer than expected.
    pub fn penalize_straggler(&mut self) {
        if self.overdue >= 2 && 2 * self.overdue > self.running {
            self.log_speed -= std::f64::consts::LN_2;
        }
    }

    /// Returns its health.
    pub fn health(&self) -> UpstreamHealth {
        match () {
            () if self.leaving => UpstreamHealth::Leaving,
            () if self.quarantine.is_some() => UpstreamHealth::Quarantined,
            () if self.concurrency_limit < self.spec.slots => UpstreamHealth::SlowStart,
            () => UpstreamHealth::Healthy,
        }
    }

    /// Returns its state for status reports.
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
