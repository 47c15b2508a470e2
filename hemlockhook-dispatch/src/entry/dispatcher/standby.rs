//! How often agents report, and the use of those that stand by.
//!
//! The balancer gives some entries several times the load of others. Each entry works with the agents
//! that have an active link to it, and so reads what a bounded number of agents report. An entry that
//! can't place its tasks there requests the states of others.

use std::time::{Duration, Instant};

use super::{Action, Dispatcher};
use crate::entry::AgentKey;
use crate::entry::agents::Agent;

/// Time for which an agent that was woken counts as a replacement of a drained one. Below the time for
/// which its link is then active (`SupervisorPolicy::wake_duration`, 2 s), so that it is woken again
/// before its reports become rare.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1500);

impl Dispatcher {
    /// Returns the minimum time between reports of an agent that carry only a changed state.
    pub fn state_interval(&self) -> Duration {
        self.state_interval
    }

    pub(super) fn update_state_interval(&mut self, now: Instant) {
        let agents = self.usable_agents(now) as u32;
        self.state_interval = Duration::from_secs(1) * agents / self.policy.reports_per_s;
    }

    /// Requests the states of some agents that stand by.
    pub(super) fn wake_standby_agents(&mut self, now: Instant) {
        let (pause, agent_pause) = self.policy.wake_pause;
        let is_recent = |at: Option<Instant>, pause| {
            at.is_some_and(|at| now.saturating_duration_since(at) < pause)
        };
        if is_recent(self.last_wake, pause) {
            return;
        }
        let timeout = self.policy.agent_timeout;
        let standby = self.agents.iter().filter(|(_, agent)| {
            agent.is_standing_by(now, timeout)
                && !agent.is_drained
                && !is_recent(agent.woken_at, agent_pause)
        });
        // Those that were not requested for the longest time come first.
        let mut standby: Vec<(Option<Instant>, AgentKey)> =
            standby.map(|(key, agent)| (agent.woken_at, key)).collect();
        standby.sort_unstable();
        standby.truncate(self.policy.wake_count);
        if standby.is_empty() {
            return;
        }
        self.last_wake = Some(now);
        for (_, key) in standby {
            self.wake(now, key);
        }
    }

    /// Requests the states of as many agents that stand by as there are drained ones with active links,
    /// as long as there are jobs.
    ///
    /// Admission counts only on agents that report. When a data center is drained, a third of them may
    /// be missing at once.
    pub(super) fn replace_drained_agents(&mut self, now: Instant) {
        if self.drains.data_centers.is_empty() || self.jobs.is_empty() {
            return;
        }
        let timeout = self.policy.agent_timeout;
        let is_replacement = |agent: &Agent| {
            let woken_at = agent.woken_at;
            woken_at.is_some_and(|at| now.saturating_duration_since(at) < REPLACEMENT_INTERVAL)
        };
        let was_woken = |agent: &Agent| {
            let woken_at = agent.woken_at;
            woken_at.is_some_and(|at| now.saturating_duration_since(at) < REPLACEMENT_INTERVAL * 2)
        };
        let (mut drained, mut replacements) = (0_usize, 0);
        let mut available = Vec::new();
        for (key, agent) in self.agents.iter().filter(|(_, agent)| agent.is_linked) {
            match agent.is_standing_by(now, timeout) {
                is_standing_by if agent.is_drained => drained += usize::from(!is_standing_by),
                _ if is_replacement(agent) => replacements += 1,
                is_standing_by if is_standing_by || was_woken(agent) => {
                    available.push((agent.woken_at, key));
                }
                _ => {}
            }
        }
        available.sort_unstable();
        available.truncate(drained.saturating_sub(replacements));
        for (_, key) in available {
            self.wake(now, key);
        }
    }

    fn wake(&mut self, now: Instant, key: AgentKey) {
        self.agents[key].woken_at = Some(now);
        self.actions.push(Action::Wake(key));
    }
}
