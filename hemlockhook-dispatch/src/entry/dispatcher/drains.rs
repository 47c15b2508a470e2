//! Agents in drained data centers, and the jobs that could run only there.

use std::time::Instant;

use super::Dispatcher;
use crate::drains::Drains;
use crate::entry::agents::Agent;
use crate::entry::job::Job;
use crate::entry::{JobKey, Refusal};

impl Dispatcher {
    /// Applies the set of drained data centers. Agents there get no tasks until the drain ends; their
    /// reports are still read. Queued jobs that could run only there are refused.
    pub fn set_drains(&mut self, now: Instant, drains: &Drains) {
        self.drains = drains.clone();
        for agent in self.agents.values_mut() {
            agent.is_drained = drains.contains(&agent.data_center);
        }
        self.refuse_drained_jobs(now);
        self.replace_drained_agents(now);
        self.place_queued(now);
    }

    /// Returns the number of agents that accept work or would if no data center were drained.
    pub fn serving_agents(&self, now: Instant) -> usize {
        let timeout = self.policy.agent_timeout;
        let serves = |agent: &&Agent| {
            let is_drained = agent.is_drained && agent.state.is_some();
            let is_linked = agent.is_linked && !agent.is_standing_by(now, timeout);
            agent.usable(now, timeout).is_some() || (is_drained && is_linked)
        };
        self.agents.values().filter(serves).count()
    }

    /// Returns whether a task of a job fits only upstreams in drained data centers, among those of the
    /// linked agents. Not known while agents have yet to link or to report.
    pub(super) fn needs_drained_agents(&self, now: Instant, job: &Job) -> bool {
        if self.drains.data_centers.is_empty() || self.is_starting(now) {
            return false;
        }
        let timeout = self.policy.agent_timeout;
        let mut agents = self.agents.values();
        if agents.any(|agent| agent.is_about_to_report(now, timeout)) {
            return false;
        }
        let can_run = |is_drained: bool, step: &crate::StepSpec| {
            let agents = self.agents.values();
            let mut agents =
                agents.filter(|agent| agent.is_linked && agent.is_drained == is_drained);
            agents.any(|agent| {
                let state = agent.state.as_ref();
                state.is_some_and(|state| {
                    let has = |label| state.labels.contains(label);
                    state.service == job.queue_config.service
                        && step.need.fits(&state.capacity)
                        && step.required_label.as_ref().is_none_or(has)
                })
            })
        };
        let mut steps = job.spec.steps.iter();
        steps.any(|step| !can_run(false, step) && can_run(true, step))
    }

    /// Returns whether an agent that stands by, outside of the drained data centers, could run tasks of
    /// a job's service although no agent with an active link can.
    pub(super) fn can_wake_for(&self, now: Instant, job: &Job) -> bool {
        let timeout = self.policy.agent_timeout;
        let is_candidate = |agent: &Agent| {
            let state = agent.state.as_ref();
            let is_service = state.is_some_and(|state| state.service == job.queue_config.service);
            is_service && !agent.is_drained && agent.is_standing_by(now, timeout)
        };
        !self.drains.data_centers.is_empty() && self.agents.values().any(is_candidate)
    }

    /// Refuses queued jobs that have not begun and could run only in drained data centers.
    pub(super) fn refuse_drained_jobs(&mut self, now: Instant) {
        if self.drains.data_centers.is_empty() {
            return;
        }
        let is_refused = |key: &JobKey| {
            let job = &self.jobs[*key];
            !job.has_begun && self.needs_drained_agents(now, job)
        };
        let queued = self.queue.iter().map(|rank| rank.job);
        let refused: Vec<_> = queued.filter(is_refused).collect();
        for key in refused {
            let retry_after = self.policy.min_retry_after;
            let answer = self.unbegun_answer(key, Refusal::NoUpstream { retry_after });
            self.answer(now, key, answer);
        }
    }
}
