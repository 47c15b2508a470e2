//! Placement by learned run times.

use std::time::{Duration, Instant};

use super::{DISPATCH_OVERHEAD, Dispatcher};
use crate::entry::job::Job;
use crate::entry::placement::Candidate;
use crate::entry::timely::{Slack, choose_timely_upstream};
use crate::entry::{AgentKey, JobKey, PlacementRule};

impl Dispatcher {
    fn places_by_run_times(&self) -> bool {
        self.policy.placement == PlacementRule::ByRunTimes
    }

    /// Returns the mean paces of fast and slow upstreams, if there are both and tasks are placed by run
    /// times.
    pub fn upstream_paces(&self) -> Option<(f64, f64)> {
        self.fast_capacity.paces()
    }

    /// Returns the fraction of the fast upstreams' capacity that is reserved for tasks that need it.
    pub fn reserved_fast_fraction(&self) -> f64 {
        self.fast_capacity.reserved_fraction()
    }

    /// Chooses the upstream for a task of a job's step.
    pub(super) fn choose_timely(
        &self,
        now: Instant,
        job: &Job,
        step: u32,
        candidates: &[Candidate<AgentKey>],
    ) -> Option<AgentKey> {
        let start = now + DISPATCH_OVERHEAD;
        let slack = Slack {
            due: job.due.saturating_duration_since(start),
            useful: job.useful_until.saturating_duration_since(start),
        };
        let width = job.steps[step as usize].tasks.len();
        let ratios = self.run_times.of(&job.queue_config.name);
        let reserved = self.fast_capacity.reserved_fraction();
        choose_timely_upstream(candidates, slack, width, ratios, reserved)
    }

    /// Returns the factor on the run time of a step's tasks at an agent because of the distance from
    /// their data, as far as it is left out of what is learned of the agent's pace and of the queue.
    ///
    /// Otherwise both would count the distance as slowness of the upstream and of the tasks.
    pub(super) fn learned_distance(&self, key: JobKey, step: u32, agent: AgentKey) -> f64 {
        let preferred = &self.jobs[key].spec.steps[step as usize].preferred_label;
        let state = &self.agents[agent].state;
        match (preferred, state) {
            (Some(label), Some(state))
                if self.places_by_run_times() && !state.labels.contains(label) =>
            {
                self.policy.distance_factor
            }
            _ => 1.0,
        }
    }

    /// Records the run time of a step's task on an upstream of the given pace.
    pub(super) fn learn_ratio(&mut self, key: JobKey, step: u32, run_time: Duration, pace: f64) {
        if !self.places_by_run_times() {
            return;
        }
        let job = &self.jobs[key];
        let expected = job.steps[step as usize].expected.as_secs_f64() * pace;
        let ratio = run_time.as_secs_f64().max(0.001) / expected.max(0.001);
        self.run_times.learn(&job.queue_config.name, ratio);
    }

    /// Records the demand of a step's task for fast upstreams.
    pub(super) fn note_demand(&mut self, key: JobKey, step: u32) {
        if !self.places_by_run_times() {
            return;
        }
        let job = &self.jobs[key];
        let objective = Slack {
            due: job.objective.saturating_sub(DISPATCH_OVERHEAD),
            useful: job.objective * self.policy.useful_factor,
        };
        let state = &job.steps[step as usize];
        let cores = job.spec.steps[step as usize].need.cpu as f64 / 1000.0;
        let ratios = self.run_times.of(&job.queue_config.name);
        let width = state.tasks.len();
        self.fast_capacity
            .placed(cores, state.expected, objective, width, ratios);
    }

    /// Updates which upstreams are fast, and the reserve of their capacity.
    pub(super) fn update_fast_capacity(&mut self, now: Instant) {
        if !self.places_by_run_times() {
            return;
        }
        let timeout = self.policy.agent_timeout;
        let agents = self.agents.values();
        let usable = agents.filter_map(|agent| agent.usable(now, timeout));
        let upstreams =
            usable.map(|state| (state.pace, state.capacity.cpu as f64 / 1000.0 * state.share));
        self.fast_capacity.update(now, upstreams.collect());
    }
}
