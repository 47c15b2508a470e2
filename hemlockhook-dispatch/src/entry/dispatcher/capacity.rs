//! Admission of jobs by free and expected capacity.

use std::time::{Duration, Instant};

use super::{DISPATCH_OVERHEAD, Dispatcher};
use crate::Amounts;
use crate::entry::admission::Load;
use crate::entry::agents::Agent;
use crate::entry::job::Job;
use crate::entry::{JobKey, Refusal};

impl Dispatcher {
    /// Refuses a job that could not be answered while its answer is useful.
    pub(super) fn check_capacity(
        &mut self,
        now: Instant,
        job: &mut Job,
        run_time: Duration,
    ) -> Result<(), Refusal> {
        if self.is_leaving {
            return Err(Refusal::Leaving);
        }
        let timeout = self.policy.agent_timeout;
        let retry_after = self.policy.min_retry_after;
        let states = || {
            let agents = self.agents.values();
            let states = agents.filter_map(|agent| agent.usable(now, timeout));
            states.filter(|state| state.service == job.queue_config.service)
        };
        if self.is_gathering_agents(now) {
            return Ok(());
        }
        if self.needs_drained_agents(now, job) {
            return Err(Refusal::NoUpstream { retry_after });
        }
        if states().next().is_none() {
            // Right after a start the agents have yet to link, which takes a fraction of a second, and
            // those that have linked again have yet to report.
            let is_about_to_report = |agent: &Agent| agent.is_about_to_report(now, timeout);
            let are_about_to_report = self.agents.values().any(is_about_to_report);
            let is_expected = are_about_to_report || self.can_wake_for(now, job);
            return match self.is_starting(now) || is_expected {
                true => Ok(()),
                false => Err(Refusal::NoUpstream { retry_after }),
            };
        }
        if self.lacks_label(now, job) {
            return Err(Refusal::MissingLabel { retry_after });
        }
        let fits = |need: &Amounts| states().any(|state| need.fits(&state.capacity));
        if !job.spec.steps.iter().all(|step| fits(&step.need)) {
            return Err(Refusal::NeverFits);
        }

        if self.policy.is_admission_by_class {
            self.check_work(now, job)?;
            return self.check_class(now, job, run_time);
        }
        let wait = self.load(now, job).wait();
        if wait.is_zero() {
            // Estimates are rough, and the free capacity would otherwise be unused.
            return Ok(());
        }
        let objective = job.due.saturating_duration_since(now);
        let admission_limit = objective.mul_f64(self.policy.admission_factor);
        if wait
            .saturating_add(run_time)
            .saturating_add(DISPATCH_OVERHEAD)
            > admission_limit
        {
            let retry_after = self.policy.retry_after(wait);
            return Err(Refusal::Overload { retry_after });
        }
        Ok(())
    }

    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let age = |started| now.saturating_duration_since(started);
        self.started
            .is_none_or(|started| age(started) < self.policy.startup_grace)
    }

    /// Returns whether the entry started so recently that more agents are about to link.
    ///
    /// After a loss of all power, callers resubmit while the first agents link. What these few could
    /// complete says little about what all will.
    pub(super) fn is_gathering_agents(&self, now: Instant) -> bool {
        let is_within = |since: Option<Instant>, limit| {
            since.is_some_and(|since| now.saturating_duration_since(since) < limit)
        };
        is_within(self.started, self.policy.gathering_limit)
            && is_within(self.last_new_agent, self.policy.gathering_pause)
    }

    /// Returns the work ahead of a job, and the rate at which it is completed.
    pub(super) fn load(&self, now: Instant, job: &Job) -> Load {
        let rank = self.rank(now, job, JobKey::default());
        let mut load = self.capacity_for(now, job);
        for other in self.queue.range(..rank) {
            let other = &self.jobs[other.job];
            if other.queue_config.service == job.queue_config.service {
                add_queued(&mut load, other);
            }
        }
        load
    }

    /// Returns the rate at which the work of a job's service is completed, with none ahead.
    pub(super) fn capacity_for(&self, now: Instant, job: &Job) -> Load {
        let timeout = self.policy.agent_timeout;
        let mut rate = 0.0;
        let mut has_free_capacity = false;
        let mut free_cpu = 0;
        for agent in self.agents.values() {
            let Some(state) = agent.usable(now, timeout) else {
                continue;
            };
            if state.service != job.queue_config.service {
                continue;
            }
            rate += state.capacity.cpu as f64 / 1000.0 / state.pace * state.share;
            let free = agent.free();
            free_cpu += free.cpu;
            has_free_capacity |= !agent.is_paused(now) && job.spec.steps[0].need.fits(&free);
        }
        Load {
            ahead: 0.0,
            rate,
            has_free_capacity,
            free_cores: free_cpu as f64 / 1000.0,
            unclaimed: 0.0,
            unclaimed_cores: 0.0,
        }
    }
}

/// Adds the queued tasks of a job to the work ahead of others.
pub(super) fn add_queued(load: &mut Load, job: &Job) {
    for &(step, _) in &job.queued {
        let cores = job.spec.steps[step as usize].need.cpu as f64 / 1000.0;
        let work = cores * job.steps[step as usize].expected.as_secs_f64();
        match job.claims.is_held {
            true => load.ahead += work,
            false => {
                load.unclaimed += work;
                load.unclaimed_cores += cores;
            }
        }
    }
}
