//! What the entry tells agents of the demand of its callers.

use std::time::{Duration, Instant};

use super::Dispatcher;
use crate::entry::job::Job;
use crate::entry::{AgentKey, JobKey, Refusal};

impl Dispatcher {
    /// Handles a measurement of the time for which requests of callers wait for the event loop.
    pub fn measured_delay(&mut self, now: Instant, delay: Duration) {
        if self.policy.sends_demand {
            self.demand.measured_delay(now, delay);
        }
    }

    /// Returns the cap of the demand by the entry's own processor, in thousandths of a core; `None` if it
    /// is not capped.
    pub fn demand_cap_milli(&self) -> Option<u64> {
        self.demand.cap_milli()
    }

    /// Returns the demand for each agent, in thousandths of a core; `None` if it is not told.
    pub fn demand_milli(&self) -> Option<u32> {
        self.demand.per_agent_milli()
    }

    /// Returns the demand to be sent with the next frame to an agent, in thousandths of a core, if it has
    /// changed by a tenth since it was last sent on the link.
    pub fn take_demand(&mut self, key: AgentKey) -> Option<u32> {
        let agent = self.agents.get_mut(key)?;
        let demand = self.demand.changed_since(agent.sent_demand)?;
        agent.sent_demand = Some(demand);
        Some(demand)
    }

    pub(super) fn update_demand(&mut self, now: Instant) {
        if self.policy.sends_demand {
            let usable_agents = self.usable_agents(now);
            self.demand.update(now, usable_agents);
        }
    }

    /// Counts the work of a job that has arrived, also if it is refused for lack of capacity.
    pub(super) fn count_offered(&mut self, now: Instant, job: &Job, checked: &Result<(), Refusal>) {
        if let Err(Refusal::NeverFits | Refusal::TooMuchWork { .. } | Refusal::Leaving) = checked {
            return;
        }
        let steps = 0..job.steps.len();
        let work = |step: usize| task_work(job, step) * job.steps[step].tasks.len() as f64;
        self.demand.offered(now, steps.map(work).sum());
    }

    pub(super) fn count_completed(&mut self, now: Instant, key: JobKey, (step, _): (u32, u32)) {
        let work = task_work(&self.jobs[key], step as usize);
        self.demand.completed(now, work);
    }
}

/// Returns the expected work of a task, in thousandths of a core-second.
fn task_work(job: &Job, step: usize) -> f64 {
    job.spec.steps[step].need.cpu as f64 * job.steps[step].expected.as_secs_f64()
}
