//! Task starts, refusals, results and reports.

use std::collections::BTreeSet;
use std::time::Instant;

use hemlockhook_types::{Incarnation, JobKey, ShardId, TaskIndex, TaskResult};

use super::job::{JobState, TaskState};
use super::{Owner, OwnerAction, RefusalOutcome};
use crate::epoch::base_ballot;
use crate::messages::{FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal};

impl Owner {
    /// Marks a task as sent to an agent and returns the order to send. Returns `None` if the job is
    /// settled, the task must not be started any more or the shard is not served. The caller then
    /// drops the task.
    pub fn start_task(
        &mut self,
        now: Instant,
        key: &JobKey,
        index: TaskIndex,
        agent: Incarnation,
    ) -> Option<StartOrder> {
        let job = self.jobs.get(key)?;
        let takeover = self.serving_takeover(job.shard)?;
        let ballot = takeover.ballot;
        let fence_pending = takeover.awaiting_reports.contains(&agent);
        let job = self.jobs.get_mut(key)?;
        let is_stale = |admitted_at| now.saturating_duration_since(admitted_at) > self.cfg.window;
        if job.admitted_at.is_none_or(is_stale)
            || job.answer.is_some()
            || job.pending_refusal.is_some()
        {
            return None;
        }
        let task = &mut job.tasks[index as usize];
        assert!(
            !matches!(task, TaskState::Sent { .. }),
            "an owner must not start a task twice"
        );
        if !matches!(task, TaskState::Idle) {
            return None;
        }

        let state = self.members.entry(agent);
        let link = state.link_count;
        state.outstanding.insert((key.clone(), index));
        *task = TaskState::Sent {
            agent,
            link,
            sent_at: now,
            fence_pending,
        };
        job.changed_at = now;
        Some(StartOrder {
            key: key.clone(),
            index,
            job_tasks: job.job_tasks,
            fingerprint: job.fingerprint,
            shard: job.shard,
            ballot,
            service: job.service.clone(),
            idempotent: job.idempotent,
        })
    }

    /// Handles an agent's refusal of a start.
    pub fn on_start_refused(
        &mut self,
        now: Instant,
        agent: Incarnation,
        key: &JobKey,
        index: TaskIndex,
        refusal: StartRefusal,
    ) -> RefusalOutcome {
        let Some(job) = self.jobs.get(key) else {
            return RefusalOutcome::Ignore;
        };
        let shard = job.shard;
        let fence_pending = match job.tasks.get(index as usize) {
            Some(TaskState::Sent {
                agent: sent_to,
                fence_pending,
                ..
            }) if *sent_to == agent => *fence_pending,
            _ => return RefusalOutcome::Ignore,
        };
        if self.answers_earlier_start(agent, shard, fence_pending, refusal) {
            return RefusalOutcome::Ignore;
        }

        match refusal {
            StartRefusal::StaleBallot(floor) => self.on_ballot(now, shard, floor),
            StartRefusal::AlreadyStarted => {
                self.set_task(key, index, TaskState::Running { agent });
                self.fence_agent(agent);
                return RefusalOutcome::Ignore;
            }
            StartRefusal::NotJoined | StartRefusal::Leaving | StartRefusal::Full => {}
        }
        if self.jobs.contains_key(key) {
            self.set_task(key, index, TaskState::Idle);
        }
        match self.jobs.get(key) {
            Some(job) if job.answer.is_none() => RefusalOutcome::Requeue,
            _ => RefusalOutcome::Ignore,
        }
    }

    /// Handles the result of a task. A second result of the same task is ignored.
    pub fn on_task_ended(
        &mut self,
        now: Instant,
        agent: Incarnation,
        key: &JobKey,
        index: TaskIndex,
        result: TaskResult,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        match job.tasks.get(index as usize) {
            Some(TaskState::Idle | TaskState::Lost) => {}
            Some(
                TaskState::Sent {
                    agent: assigned, ..
                }
                | TaskState::Running { agent: assigned },
            ) if *assigned == agent => {}
            _ => return,
        }
        job.changed_at = now;
        self.set_task(key, index, TaskState::Ended(result));
        self.answer_if_decided(now, key);
    }

    /// Returns the tasks of a job that may be running, with their agents.
    pub fn running_tasks(&self, key: &JobKey) -> Vec<(Incarnation, TaskIndex)> {
        self.jobs
            .get(key)
            .map(JobState::running_tasks)
            .unwrap_or_default()
    }

    /// Returns the tasks of a job that are not known to have been started.
    pub fn unstarted_tasks(&self, key: &JobKey) -> Vec<TaskIndex> {
        self.jobs
            .get(key)
            .map(JobState::idle_tasks)
            .unwrap_or_default()
    }

    /// Returns whether a refusal answers a start that was sent under an earlier ballot of this
    /// owner. A start under the current ballot is not refused for a floor that is not above it, nor
    /// before the agent has answered a fence that was sent ahead of the start.
    fn answers_earlier_start(
        &self,
        agent: Incarnation,
        shard: ShardId,
        fence_pending: bool,
        refusal: StartRefusal,
    ) -> bool {
        let Some((_, takeover)) = self.held_takeover(shard) else {
            return true;
        };
        match refusal {
            StartRefusal::StaleBallot(floor) if base_ballot(floor) <= takeover.ballot => true,
            _ => fence_pending && takeover.awaiting_reports.contains(&agent),
        }
    }

    /// Merges an agent's report into the state of the jobs of the given shards.
    pub(super) fn merge_report(
        &mut self,
        now: Instant,
        agent: Incarnation,
        shards: &BTreeSet<ShardId>,
        report: &FenceReport,
    ) {
        let mut reported = BTreeSet::new();
        let mut changed = BTreeSet::new();
        for record in &report.records {
            if !shards.contains(&record.shard) {
                continue;
            }
            reported.insert((record.key.clone(), record.index));
            if self.merge_record(now, agent, record) {
                changed.insert(record.key.clone());
            }
        }
        for withdrawal in &report.withdrawn {
            if shards.contains(&withdrawal.shard) {
                self.merge_withdrawal(now, withdrawal);
            }
        }
        changed.extend(self.requeue_unreported(now, agent, shards, &reported));
        for key in changed {
            if self
                .jobs
                .get(&key)
                .is_some_and(|job| job.admitted_at.is_some())
            {
                self.answer_if_decided(now, &key);
            }
        }
    }

    /// Marks all outstanding tasks of an agent as lost.
    pub(super) fn mark_tasks_lost(&mut self, now: Instant, agent: Incarnation) {
        let Some(state) = self.members.get_mut(agent) else {
            return;
        };
        let lost = std::mem::take(&mut state.outstanding);
        let keys: BTreeSet<_> = lost.iter().map(|(key, _)| key.clone()).collect();
        for (key, index) in lost {
            match self.cfg.rules.lost {
                true => self.set_task(&key, index, TaskState::Lost),
                false => self.requeue(agent, key, index),
            }
        }
        for key in keys {
            self.answer_if_decided(now, &key);
        }
    }

    /// Sets a task's state, and updates the agents' sets of outstanding tasks.
    pub(super) fn set_task(&mut self, key: &JobKey, index: TaskIndex, state: TaskState) {
        let job = self.jobs.get_mut(key).expect("the job is known");
        let Some(task) = job.tasks.get_mut(index as usize) else {
            return;
        };
        let entry = (key.clone(), index);
        if let Some(agent) = task.agent().and_then(|agent| self.members.get_mut(agent)) {
            agent.outstanding.remove(&entry);
        }
        if let Some(agent) = state.agent() {
            self.members.entry(agent).outstanding.insert(entry);
        }
        *task = state;
        if job.answer.is_some() {
            job.discard_results();
        }
    }

    /// Puts a task back into the queue as not started.
    fn requeue(&mut self, agent: Incarnation, key: JobKey, index: TaskIndex) {
        self.set_task(&key, index, TaskState::Idle);
        if self.jobs.get(&key).is_some_and(|job| job.answer.is_none()) {
            self.actions
                .push(OwnerAction::Requeue { agent, key, index });
        }
    }

    /// Merges one reported start. Returns whether it changed the state of the task.
    fn merge_record(&mut self, now: Instant, agent: Incarnation, record: &StartRecord) -> bool {
        let job = self
            .jobs
            .entry(record.key.clone())
            .or_insert_with(|| JobState {
                shard: record.shard,
                fingerprint: record.fingerprint,
                service: record.service.clone(),
                idempotent: record.idempotent,
                job_tasks: record.job_tasks,
                tasks: vec![TaskState::Idle; record.job_tasks as usize],
                admitted_at: None,
                pending_refusal: None,
                answer: None,
                changed_at: now,
            });
        if job.changed_at == now && job.admitted_at.is_none() {
            self.expiry.push_back((now, record.key.clone()));
        }
        let state = match (job.tasks.get(record.index as usize), &record.result) {
            (None, _) => return false,
            (Some(TaskState::Ended(_) | TaskState::Discarded), _) => return false,
            (Some(_), Some(result)) => TaskState::Ended(result.clone()),
            (Some(_), None) => TaskState::Running { agent },
        };
        job.changed_at = now;
        self.set_task(&record.key, record.index, state);
        true
    }

    /// Merges a reported withdrawal: an earlier owner may have refused the job as not run, or
    /// closed it as unknown.
    fn merge_withdrawal(&mut self, now: Instant, withdrawal: &Withdrawal) {
        let answer = withdrawal.answer();
        if let Some(known) = self.jobs.get_mut(&withdrawal.key) {
            let is_open = known.admitted_at.is_none() && known.answer.is_none();
            if withdrawal.is_closed() && is_open {
                known.admitted_at = Some(now);
                self.store_answer(now, &withdrawal.key, &answer);
            }
            return;
        }
        let state = JobState {
            shard: withdrawal.shard,
            fingerprint: withdrawal.fingerprint,
            service: withdrawal.service.clone(),
            idempotent: false,
            job_tasks: 0,
            tasks: Vec::new(),
            admitted_at: Some(now),
            pending_refusal: None,
            answer: Some(answer),
            changed_at: now,
        };
        self.jobs.insert(withdrawal.key.clone(), state);
        self.expiry.push_back((now, withdrawal.key.clone()));
    }

    /// Requeues tasks whose start was sent on an earlier link and was not reported, because it was
    /// lost with that link. Starts that were sent on the current link may arrive after the report
    /// was made. A task whose start was sent before the window may have ended and its marker
    /// expired, so it counts as lost. Returns the jobs with tasks that were lost.
    fn requeue_unreported(
        &mut self,
        now: Instant,
        agent: Incarnation,
        shards: &BTreeSet<ShardId>,
        reported: &BTreeSet<(JobKey, TaskIndex)>,
    ) -> Vec<JobKey> {
        let Some(state) = self.members.get(agent) else {
            return Vec::new();
        };
        let current = state.link_count;
        let unreported: Vec<_> = state.outstanding.difference(reported).cloned().collect();
        let mut changed = Vec::new();
        for (key, index) in unreported {
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            if !shards.contains(&job.shard) {
                continue;
            }
            match job.tasks.get(index as usize) {
                Some(TaskState::Sent { link, .. })
                    if *link == current && self.cfg.rules.earlier_link => {}
                Some(TaskState::Sent { sent_at, .. })
                    if now.saturating_duration_since(*sent_at) < self.cfg.window
                        || !self.cfg.rules.expired_markers =>
                {
                    let answered = job.answer.is_some();
                    self.set_task(&key, index, TaskState::Idle);
                    if !answered {
                        self.actions
                            .push(OwnerAction::Requeue { agent, key, index });
                    }
                }
                Some(TaskState::Sent { .. } | TaskState::Running { .. }) => {
                    self.set_task(&key, index, TaskState::Lost);
                    changed.push(key);
                }
                _ => {}
            }
        }
        changed
    }
}
