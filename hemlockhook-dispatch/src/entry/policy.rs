//! Timeouts and limits of a dispatcher.

use std::sync::Arc;
use std::time::Duration;

/// Rules that prevent a task from running twice at once. Tests disable them one at a time to show that
/// each is necessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchRules {
    /// What an agent holds on a new link, and its entry no longer has, is cancelled.
    pub cancels_unknown_attempts: bool,
    /// No task is placed before the job's claim is granted.
    pub claims_jobs: bool,
}

impl Default for DispatchRules {
    fn default() -> Self {
        Self {
            cancels_unknown_attempts: true,
            claims_jobs: true,
        }
    }
}

/// How the upstream for a task is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// By the expected run time, with a safety factor.
    #[default]
    ByMean,
    /// By the probability of an end in time, from the learned distribution of run times.
    ByRunTimes,
}

/// Timeouts and limits of a [`Dispatcher`](crate::entry::Dispatcher).
#[derive(Clone, Debug)]
pub struct DispatchPolicy {
    /// Rules against double runs.
    pub rules: DispatchRules,
    /// Data center of the entry.
    pub data_center: Arc<str>,
    /// Time without reports of an agent after which no work is sent to it.
    pub agent_timeout: Duration,
    /// Time without reports of an agent after which its attempts have certainly ended.
    pub agent_lost_after: Duration,
    /// Multiple of a job's latency objective after which its answer is of no use.
    pub useful_factor: u32,
    /// Multiple of its latency objective that a job may be expected to take. A job that is expected
    /// to take longer is refused, unless it can start at once.
    pub admission_factor: f64,
    /// Whether a job is admitted by the share and the backlog of its class, and refused callers are
    /// asked to return when their work is expected to be carried, instead of by `admission_factor`.
    pub is_admission_by_class: bool,
    /// Time after which it is checked again whether the caller of a job is still connected: before a
    /// task is placed, and while tasks run. Together with `caller_check_delay` and the timeouts of the
    /// agents it has to be shorter than the time after which a caller resubmits a job.
    pub caller_check_interval: Duration,
    /// Maximum delay of these checks. Agents hear nothing of an entry whose checks are later, so that
    /// they stop its runs.
    pub caller_check_delay: Duration,
    /// Time after which the next agent decides on a claim that one has not answered.
    pub claim_timeout: Duration,
    /// Time after the start during which jobs are admitted although no agent has linked yet.
    pub startup_grace: Duration,
    /// Time after the start during which jobs are admitted for agents that are about to link.
    pub gathering_limit: Duration,
    /// Time without a new agent after which no more are expected to link.
    pub gathering_pause: Duration,
    /// Part of its latency objective by which each priority level below the highest delays a job in
    /// the queue.
    pub priority_delay: f64,
    /// Time without orders to an agent after it returned one unstarted, for example for
    /// lack of capacity.
    pub full_agent_pause: Duration,
    /// Number of reports per second of all agents together for which the entry asks, apart from those
    /// that carry ends. Source: the processor time of an entry in docs/CAPACITY.md, "Leased work".
    pub reports_per_s: u32,
    /// Number of standby agents whose state is requested at a time, if tasks can't be placed.
    pub wake_count: usize,
    /// Minimum time between requests of the state, of all standby agents and of the same one.
    pub wake_pause: (Duration, Duration),
    /// Maximum number of orders queued at an agent, in percent of the tasks that it can run at
    /// once.
    pub waiting_percent: usize,
    /// Number of blocked jobs after which a placement round ends.
    pub look_ahead: usize,
    /// How the upstream for a task is chosen.
    pub placement: PlacementRule,
    /// Whether tasks that slow each other down are kept apart, as far as other upstreams are as good.
    pub avoids_interference: bool,
    /// Factor on the run time of a task on an upstream far from its data.
    pub distance_factor: f64,
    /// Whether the entry tells agents the demand of its callers, by which they divide their throughput.
    pub sends_demand: bool,
    /// Minimum retry delay of a refused caller.
    pub min_retry_after: Duration,
    /// Maximum retry delay of a refused caller.
    pub max_retry_after: Duration,
}

impl DispatchPolicy {
    /// Returns the retry delay of a caller whose job would wait for `wait` now.
    pub(super) fn retry_after(&self, wait: Duration) -> Duration {
        wait.clamp(self.min_retry_after, self.max_retry_after)
    }
}

impl Default for DispatchPolicy {
    fn default() -> Self {
        Self {
            rules: DispatchRules::default(),
            data_center: Arc::from(""),
            agent_timeout: Duration::from_millis(330),
            agent_lost_after: Duration::from_millis(1150),
            useful_factor: 3,
            admission_factor: 1.5,
            is_admission_by_class: false,
            caller_check_interval: Duration::from_millis(150),
            caller_check_delay: Duration::from_millis(100),
            claim_timeout: Duration::from_millis(100),
            startup_grace: Duration::from_millis(1500),
            gathering_limit: Duration::from_millis(500),
            gathering_pause: Duration::from_millis(120),
            priority_delay: 0.5,
            full_agent_pause: Duration::from_millis(10),
            reports_per_s: 200,
            wake_count: 4,
            wake_pause: (Duration::from_millis(10), Duration::from_millis(500)),
            waiting_percent: 25,
            look_ahead: 24,
            placement: PlacementRule::default(),
            avoids_interference: false,
            distance_factor: 1.5,
            sends_demand: false,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(10),
        }
    }
}
