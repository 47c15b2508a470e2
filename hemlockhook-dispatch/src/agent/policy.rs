//! Rules, times and bounds of a supervisor.

use std::time::Duration;

use crate::agent::HealthPolicy;

/// Rules that keep a task from running twice at once, and an upstream within its room. Tests take
/// them away one at a time, to show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// A start without an answer is stopped, and keeps its task and its room until that is settled.
    pub settles_unknown_starts: bool,
    /// What runs for an entry that is not heard of is stopped.
    pub stops_for_silent_entries: bool,
    /// Nothing is started before the upstream's lists say what runs there.
    pub reads_lists_first: bool,
    /// What is being stopped keeps its room until its end is listed.
    pub keeps_room_of_stops: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            settles_unknown_starts: true,
            stops_for_silent_entries: true,
            reads_lists_first: true,
            keeps_room_of_stops: true,
        }
    }
}

/// Times and bounds of a [`Supervisor`](crate::agent::Supervisor).
#[derive(Clone, Debug)]
pub struct SupervisorPolicy {
    /// What keeps tasks from running twice.
    pub rules: Rules,
    /// How long a lease lasts. With `owner_silence` and the time of a stop it stays under the time
    /// after which a caller submits a job again.
    pub lease: Duration,
    /// Time after the last sign of life of an entry, at which its work is stopped.
    pub owner_silence: Duration,
    /// Longest wait of a look at the upstream for an end.
    pub hold_wait: Duration,
    /// Time between signs of life to an entry whose work is held here.
    pub busy_ping: Duration,
    /// Time between signs of life to the other entries.
    pub idle_ping: Duration,
    /// Most reports of nothing but a changed state in a second, to all entries together. Source: the
    /// processor time of an entry in docs/CAPACITY.md, "Leased work".
    pub state_reports_per_s: u32,
    /// Time between attempts to stop a run.
    pub stop_retry: Duration,
    /// Time for which ends and run numbers are kept.
    pub memory: Duration,
    /// Time after which an upstream that has not announced itself takes no more work.
    pub announcement_silence: Duration,
    /// Orders that may wait for room, in hundredths of the upstream's running orders.
    pub waiting_percent: usize,
    /// When an upstream is taken for unsound.
    pub health: HealthPolicy,
}

impl Default for SupervisorPolicy {
    fn default() -> Self {
        Self {
            rules: Rules::default(),
            lease: Duration::from_millis(450),
            owner_silence: Duration::from_millis(400),
            hold_wait: Duration::from_millis(120),
            busy_ping: Duration::from_millis(100),
            idle_ping: Duration::from_millis(500),
            state_reports_per_s: 300,
            stop_retry: Duration::from_millis(40),
            memory: Duration::from_secs(15),
            announcement_silence: Duration::from_secs(6),
            waiting_percent: 30,
            health: HealthPolicy::default(),
        }
    }
}
