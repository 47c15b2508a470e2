//! Handling of the ends of attempts.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::{Action, CancelCause, Dispatcher};
use crate::entry::agents::Agent;
use crate::entry::job::Task;
use crate::entry::{AgentKey, Answer, JobKey};
use crate::{AttemptEnd, HeldAttempts, JobId, Outcome, TaskId, TaskRef};

/// Maximum number of agents that a task avoids because it failed or was lost there.
const MAX_AVOIDED: usize = 4;

impl Dispatcher {
    pub(super) fn attempt_ended(&mut self, now: Instant, agent_key: AgentKey, ended: &AttemptEnd) {
        let TaskRef { task: id, attempt } = &ended.task;
        self.cancelled_attempt_ended(now, agent_key, &ended.task);
        let Some(&key) = self.by_id.get(&id.job) else {
            return;
        };
        let position = (id.step, id.index);
        let pace = self.agents[agent_key]
            .state
            .as_ref()
            .map_or(1.0, |state| state.pace);
        let job = &mut self.jobs[key];
        let Some(task) = job.task(position) else {
            return;
        };
        if task.attempt != *attempt || task.at != Some(agent_key) {
            return;
        }
        task.at = None;
        job.placed -= 1;
        let agent = &mut self.agents[agent_key];
        let seq = agent.placed.remove(&(key, id.step, id.index));
        let is_outdated = seq.is_some_and(|seq| seq <= agent.described_after);

        match ended.outcome {
            Outcome::Done => {
                let declared_run_time = job.spec.steps[id.step as usize].declared_run_time;
                let run_time = Duration::from_millis(u64::from(ended.run_ms));
                let queue = job.queue_config.name.clone();
                let pace = pace * self.learned_distance(key, id.step, agent_key);
                self.learn_ratio(key, id.step, run_time, pace);
                self.estimates
                    .learn(&queue, declared_run_time, run_time, pace);
                self.count_completed(now, key, position);
                self.task_done(now, key, position);
            }
            Outcome::Failed => {
                let attempts = job.queue_config.attempts;
                let task = job.task(position).expect("the task was found above");
                task.failures += 1;
                match task.failures >= attempts.max(1) {
                    true => self.answer(now, key, Answer::Failed),
                    false => self.requeue(now, key, position, Some(agent_key)),
                }
            }
            Outcome::FailedByUpstream | Outcome::Lost => {
                self.requeue(now, key, position, Some(agent_key));
            }
            Outcome::NotStarted => {
                // An order for another upstream than the present one says nothing of its room.
                if !is_outdated {
                    let pause_until = now + self.policy.full_agent_pause;
                    self.agents[agent_key].pause_until = Some(pause_until);
                }
                self.reset_begun(key);
                self.requeue(now, key, position, None);
            }
        }
    }

    /// Marks a job as not begun, if none of its attempts may have started a task.
    pub(super) fn reset_begun(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let task_began = |task: &Task| task.is_done || task.failures > 0 || !task.avoid.is_empty();
        let any_began = job
            .steps
            .iter()
            .any(|step| step.tasks.iter().any(task_began));
        if job.placed == 0 && !any_began {
            job.has_begun = false;
        }
    }

    pub(super) fn task_done(&mut self, now: Instant, key: JobKey, (step, index): (u32, u32)) {
        let job = &mut self.jobs[key];
        job.steps[step as usize].tasks[index as usize].is_done = true;
        job.steps[step as usize].unfinished -= 1;
        job.unfinished -= 1;
        if job.unfinished == 0 {
            self.answer(now, key, Answer::Completed);
            return;
        }
        if job.steps[step as usize].unfinished == 0 {
            job.open_steps();
            self.enqueue(now, key);
        }
    }

    /// Requeues a task whose attempt ended without a result.
    pub(super) fn requeue(
        &mut self,
        now: Instant,
        key: JobKey,
        position: (u32, u32),
        avoid: Option<AgentKey>,
    ) {
        let job = &mut self.jobs[key];
        let task = job.task(position).expect("an attempt belongs to a task");
        if let Some(agent) = avoid {
            task.avoid.push(agent);
            if task.avoid.len() > MAX_AVOIDED {
                task.avoid.remove(0);
            }
        }
        job.queued.push(position);
        self.enqueue(now, key);
    }

    /// Reconciles the attempts at an agent with those that its first report on a link lists.
    ///
    /// What the agent holds and this entry no longer has is cancelled: the cancellation may have been
    /// lost with the old link, or the agent had no link at that time.
    ///
    /// What the agent does not hold was not started if it never received the order. Else its end may
    /// have been forgotten since, so that a task may have run.
    pub(super) fn reconcile(&mut self, now: Instant, agent_key: AgentKey, held: &HeldAttempts) {
        for task in &held.tasks {
            let is_unknown = !self.has_attempt(agent_key, task);
            if is_unknown && self.policy.rules.cancels_unknown_attempts {
                let cause = CancelCause::UnknownOnLink;
                self.actions
                    .push(Action::Cancel(agent_key, task.clone(), cause));
            }
        }
        // Nothing was ordered since the link was opened.
        let placed = self.agents[agent_key].placed.clone();
        let held_attempts: HashSet<_> = held.tasks.iter().collect();
        for ((key, step, index), seq) in placed {
            let job = &mut self.jobs[key];
            let id = job.spec.id.clone();
            let attempt = job.task((step, index)).map_or(0, |task| task.attempt);
            let was_received = held.received.is_none_or(|received| seq <= received);
            let outcome = match was_received {
                true => Outcome::Lost,
                false => Outcome::NotStarted,
            };
            let ended = inferred_end(id, (step, index), attempt, outcome);
            if !held_attempts.contains(&ended.task) {
                self.attempt_ended(now, agent_key, &ended);
            }
        }
    }

    fn has_attempt(&mut self, agent_key: AgentKey, attempt: &TaskRef) -> bool {
        let id = &attempt.task;
        let Some(&key) = self.by_id.get(&id.job) else {
            return false;
        };
        let task = self.jobs[key].task((id.step, id.index));
        task.is_some_and(|task| task.attempt == attempt.attempt && task.at == Some(agent_key))
    }

    /// Ends the attempts at silent agents, once they have certainly ended.
    pub(super) fn settle_lost_agents(&mut self, now: Instant) {
        let lost = self.policy.agent_lost_after;
        let is_lost = |agent: &Agent| now.saturating_duration_since(agent.last_report) > lost;
        let keys: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, agent)| is_lost(agent))
            .collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| key).collect();
        for agent_key in keys {
            let placed: Vec<_> = self.agents[agent_key].placed.keys().copied().collect();
            for (key, step, index) in placed {
                let job = &mut self.jobs[key];
                let id = job.spec.id.clone();
                let attempt = job.task((step, index)).map_or(0, |task| task.attempt);
                let ended = inferred_end(id, (step, index), attempt, Outcome::Lost);
                self.attempt_ended(now, agent_key, &ended);
            }
            if !self.agents[agent_key].is_linked {
                self.agents.remove(agent_key);
                self.claim_at_others(now, agent_key);
            }
        }
    }
}

/// Returns the end of an attempt for which no agent reported one.
fn inferred_end(
    job: JobId,
    (step, index): (u32, u32),
    attempt: u32,
    outcome: Outcome,
) -> AttemptEnd {
    let task = TaskId {
        job,
        occurrence: 0,
        step,
        index,
    };
    AttemptEnd {
        task: TaskRef { task, attempt },
        outcome,
        run_ms: 0,
    }
}
