//! Safety rules, timeouts and limits of a supervisor.

use std::time::Duration;

use crate::agent::HealthPolicy;

/// Rules that prevent a task from running twice at once or on an upstream that was not chosen for it, and an
/// upstream from being overcommitted.
/// Tests disable them one at a time to show that each is necessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// A start without an answer is stopped, and keeps its task and reservation until that is
    /// resolved.
    pub stops_unanswered_starts: bool,
    /// The runs of an entry that exceeds the owner timeout are stopped.
    pub stops_runs_of_silent_entries: bool,
    /// No task is started before the upstream has listed its active runs, and those without an order
    /// have ended.
    pub lists_runs_first: bool,
    /// A run that is being stopped keeps its reservation until its end is listed.
    pub reserves_stopping_runs: bool,
    /// The runs on an upstream that does not answer are given up only after the end of their lease.
    pub waits_for_lease_ends: bool,
    /// The fencing token rises after a start without an answer, so that the upstream refuses to carry
    /// it out later, also in another life, once it has received any other call.
    pub fences_unanswered_starts: bool,
    /// The time of a suspend does not count as time that passed for the upstream.
    pub bounds_clocks: bool,
    /// An order is started only on the upstream that it was placed for.
    pub compares_descriptions: bool,
}

impl Default for SafetyRules {
    fn default() -> Self {
        Self {
            stops_unanswered_starts: true,
            stops_runs_of_silent_entries: true,
            lists_runs_first: true,
            reserves_stopping_runs: true,
            waits_for_lease_ends: true,
            fences_unanswered_starts: true,
            bounds_clocks: true,
            compares_descriptions: true,
        }
    }
}

/// Timeouts and limits of a [`Supervisor`](crate::agent::Supervisor).
#[derive(Clone, Debug)]
pub struct SupervisorPolicy {
    /// Rules against double runs and overcommitment.
    pub rules: SafetyRules,
    /// Duration of a lease. Together with `owner_timeout` and the time of a stop call it has to be
    /// shorter than the time after which a caller resubmits a job.
    pub lease_duration: Duration,
    /// Maximum duration of a lease that the upstream grants.
    pub max_lease: Duration,
    /// Time after which the runs of a silent entry are stopped, counted from the sending of the
    /// last report that the entry has acknowledged.
    pub owner_timeout: Duration,
    /// Time without an entry after which its runs at all agents have certainly ended.
    pub owner_lost_after: Duration,
    /// Maximum time that a hold call waits for an end.
    pub hold_wait: Duration,
    /// Maximum time between reports to an entry that has orders here.
    pub busy_ping_interval: Duration,
    /// Maximum time between reports on the other active links. It is below `owner_timeout`, so that
    /// an order on an idle link is not taken for a delayed one.
    pub idle_ping_interval: Duration,
    /// Maximum time between reports on standby links.
    pub standby_ping_interval: Duration,
    /// Number of links that are active even if their entries order nothing.
    pub active_links: usize,
    /// Time for which a link is active after its entry has requested the state.
    pub wake_duration: Duration,
    /// Time constant of the averages of what each entry uses.
    pub usage_time: Duration,
    /// Least and largest number of start calls in flight. Together with those of stop calls and two hold
    /// calls, they have a connection each, so that no call waits for another one.
    pub start_calls: (usize, usize),
    /// Least and largest number of stop calls in flight. The least is that of retries.
    pub stop_calls: (usize, usize),
    /// Time between the first stop calls of a run. It doubles with each call after the third.
    pub stop_retry_interval: Duration,
    /// Maximum time between stop calls of a run.
    pub max_stop_retry_interval: Duration,
    /// Maximum number of runs at a time. It bounds the memory of orders and of the upstream's lists.
    pub max_runs: usize,
    /// Maximum number of orders that wait for a start.
    pub max_waiting: usize,
    /// Time for which the run numbers of ended tasks are kept.
    pub run_retention: Duration,
    /// Time without announcements after which an upstream accepts no more work.
    pub announcement_timeout: Duration,
    /// Maximum number of orders waiting beyond the free capacity, in percent of the orders that the
    /// upstream can run at once.
    pub waiting_percent: usize,
    /// Factor on the reported pace of an upstream while it is cold after its start. At 1, announcements
    /// that an upstream is cold have no effect.
    pub cold_pace_factor: f64,
    /// Whether the slowdown of runs by others on the same upstream is learned and reported.
    pub learns_interference: bool,
    /// Thresholds and pauses for unhealthy upstreams.
    pub health: HealthPolicy,
}

impl SupervisorPolicy {
    /// Returns the maximum number of calls to the upstream in flight.
    pub fn max_calls(&self) -> usize {
        // One hold call waits for an end, and one is answered at once.
        const HOLD_CALLS: usize = 2;
        self.start_calls.1 + self.stop_calls.1 + HOLD_CALLS
    }
}

impl Default for SupervisorPolicy {
    fn default() -> Self {
        Self {
            rules: SafetyRules::default(),
            lease_duration: Duration::from_millis(450),
            max_lease: Duration::from_secs(1),
            owner_timeout: Duration::from_millis(400),
            owner_lost_after: Duration::from_millis(1150),
            hold_wait: Duration::from_millis(120),
            busy_ping_interval: Duration::from_millis(130),
            idle_ping_interval: Duration::from_millis(250),
            standby_ping_interval: Duration::from_secs(2),
            active_links: 8,
            wake_duration: Duration::from_secs(2),
            usage_time: Duration::from_millis(500),
            start_calls: (2, 16),
            stop_calls: (4, 16),
            stop_retry_interval: Duration::from_millis(40),
            max_stop_retry_interval: Duration::from_millis(320),
            max_runs: 1024,
            max_waiting: 256,
            run_retention: Duration::from_secs(15),
            announcement_timeout: Duration::from_secs(6),
            waiting_percent: 30,
            cold_pace_factor: 1.0,
            learns_interference: false,
            health: HealthPolicy::default(),
        }
    }
}
