//! Times and bounds of a dispatcher.

use std::sync::Arc;
use std::time::Duration;

/// Times and bounds of a [`Dispatcher`](crate::entry::Dispatcher).
#[derive(Clone, Debug)]
pub struct DispatchPolicy {
    /// The data center that the entry is in.
    pub data_center: Arc<str>,
    /// Silence of an agent after which nothing is sent to it.
    pub agent_timeout: Duration,
    /// Silence of an agent after which what it ran is surely over.
    pub agent_lost_after: Duration,
    /// How many times its objective a job may take for its answer to be of use.
    pub useful_factor: u32,
    /// How many times its objective a job may be expected to take when it is admitted.
    pub admission_factor: f64,
    /// Time from the start within which jobs are taken although no agent has linked yet.
    pub startup_grace: Duration,
    /// By how much a lower rank of its queue delays a job in the order.
    pub priority_step: Duration,
    /// Pause of orders to an agent that had no room.
    pub full_agent_pause: Duration,
    /// Orders that may wait at an agent, in hundredths of what it can run at once.
    pub waiting_percent: usize,
    /// Jobs that are looked at for one that can be placed.
    pub look_ahead: usize,
    /// Time by which a task takes longer far from its data, as a factor.
    pub distance_factor: f64,
    /// What a refused caller waits at least.
    pub min_retry_after: Duration,
    /// What a refused caller waits at most.
    pub max_retry_after: Duration,
}

impl DispatchPolicy {
    /// Returns when a caller should come back who would wait for `wait` now.
    pub(super) fn retry_after(&self, wait: Duration) -> Duration {
        wait.clamp(self.min_retry_after, self.max_retry_after)
    }
}

impl Default for DispatchPolicy {
    fn default() -> Self {
        Self {
            data_center: Arc::from(""),
            agent_timeout: Duration::from_millis(450),
            agent_lost_after: Duration::from_millis(1150),
            useful_factor: 3,
            admission_factor: 1.5,
            startup_grace: Duration::from_millis(1500),
            priority_step: Duration::from_millis(100),
            full_agent_pause: Duration::from_millis(10),
            waiting_percent: 25,
            look_ahead: 24,
            distance_factor: 1.5,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(10),
        }
    }
}
