//! Rules, times and bounds of a supervisor.

use std::time::Duration;

use crate::agent::HealthPolicy;

/// Rules that keep a task from running twice at once, and an upstream within its room. Tests take
/// them away one at a time, to show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyRules {
    /// A start without an answer is stopped, and keeps its task and its room until that is settled.
    pub stops_unanswered_starts: bool,
    /// What runs for an entry that is not heard of is stopped.
    pub stops_runs_of_silent_entries: bool,
    /// Nothing is started before the upstream's lists say what runs there.
    pub lists_runs_first: bool,
    /// What is being stopped keeps its room until its end is listed.
    pub reserves_stopping_runs: bool,
}

impl Default for SafetyRules {
    fn default() -> Self {
        Self {
            stops_unanswered_starts: true,
            stops_runs_of_silent_entries: true,
            lists_runs_first: true,
            reserves_stopping_runs: true,
        }
    }
}

/// Times and bounds of a [`Supervisor`](crate::agent::Supervisor).
#[derive(Clone, Debug)]
pub struct SupervisorPolicy {
    /// What keeps tasks from running twice.
    pub rules: SafetyRules,
    /// How long a lease lasts. With `owner_silence` and the time of a stop it stays under the time
    /// after which a caller submits a job again.
    pub lease_duration: Duration,
    /// Time after the last sign of life of an entry, at which its work is stopped.
    pub owner_timeout: Duration,
    /// Longest wait of a look at the upstream for an end.
    pub hold_wait: Duration,
    /// Time between signs of life to an entry whose work is held here.
    pub busy_ping_interval: Duration,
    /// Time between signs of life to the other entries.
    pub idle_ping_interval: Duration,
    /// Most reports of nothing but a changed state in a second, to all entries together. Source: the
    /// processor time of an entry in docs/CAPACITY.md, "Leased work".
    pub state_reports_per_s: u32,
    /// Time between attempts to stop a run.
    pub stop_retry_interval: Duration,
    /// Time for which ends and run numbers are kept.
    pub run_retention: Duration,
    /// Time after which an upstream that has not announced itself takes no more work.
    pub announcement_timeout: Duration,
    /// Orders that may wait for room, in hundredths of the upstream's running orders.
    pub waiting_percent: usize,
    /// When an upstream is taken for unsound.
    pub health: HealthPolicy,
}

impl Default for SupervisorPolicy {
    fn default() -> Self {
        Self {
            rules: SafetyRules::default(),
            lease_duration: Duration::from_millis(450),
            owner_timeout: Duration::from_millis(400),
            hold_wait: Duration::from_millis(120),
            busy_ping_interval: Duration::from_millis(100),
            idle_ping_interval: Duration::from_millis(500),
            state_reports_per_s: 300,
            stop_retry_interval: Duration::from_millis(40),
            run_retention: Duration::from_secs(15),
            announcement_timeout: Duration::from_secs(6),
            waiting_percent: 30,
            health: HealthPolicy::default(),
        }
    }
}
