//! Starts, refusals, ends and reports of tasks.

use std::collections::BTreeSet;
use std::time::Instant;

use hemlockhook_types::{Incarnation, JobKey, ShardId, TaskIndex, TaskResult};

use super::job::{JobState, TaskState};
use super::{Owner, OwnerAction, RefusalOutcome};
use crate::epoch::base_ballot;
use crate::messages::{FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal};

impl Owner {
    /// Decides to start a task at an agent. Returns `None` if the job is settled, the task is not
    /// to be started any more, or the shard is not owned: the task is dropped then.
    pub fn start_task(
        &mut self,
        now: Instant,
        key: &JobKey,
        index: TaskIndex,
        agent: Incarnation,
    ) -> Option<StartOrder> {
        let job = self.jobs.get(key)?;
        let takeover = self.serving(job.shard)?;
        let ballot = takeover.ballot;
        let fencing = takeover.awaited.contains(&agent);
        let job = self.jobs.get_mut(key)?;
        let is_stale = |at| now.saturating_duration_since(at) > self.cfg.window;
        if job.admitted.is_none_or(is_stale) || job.answer.is_some() || job.refusing.is_some() {
            return None;
        }
        let task = &mut job.tasks[index as usize];
        assert!(
            !matches!(task, TaskState::Sent { .. }),
            "a task is started once by its owner"
        );
        if !matches!(task, TaskState::Idle) {
            return None;
        }

        let state = self.members.entry(agent);
        let link = state.link;
        state.outstanding.insert((key.clone(), index));
        *task = TaskState::Sent {
            agent,
            link,
            at: now,
            fencing,
        };
        job.touched = now;
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

    /// Takes in that an agent refused a start.
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
        let fencing = match job.tasks.get(index as usize) {
            Some(TaskState::Sent {
                agent: at, fencing, ..
            }) if *at == agent => *fencing,
            _ => return RefusalOutcome::Ignore,
        };
        if self.is_of_earlier_start(agent, shard, fencing, refusal) {
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

    /// Takes in the end of a task. A second end of the same task is ignored.
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
            Some(TaskState::Sent { agent: at, .. } | TaskState::Running { agent: at })
                if *at == agent => {}
            _ => return,
        }
        job.touched = now;
        self.set_task(key, index, TaskState::Ended(result));
        self.conclude(now, key);
    }

    /// Returns the tasks of a job that run or may run, with their agents.
    pub fn running_tasks(&self, key: &JobKey) -> Vec<(Incarnation, TaskIndex)> {
        self.jobs
            .get(key)
            .map(JobState::running)
            .unwrap_or_default()
    }

    /// Returns the tasks of a job that are known not to have been started.
    pub fn unstarted_tasks(&self, key: &JobKey) -> Vec<TaskIndex> {
        self.jobs.get(key).map(JobState::idle).unwrap_or_default()
    }

    /// Returns whether a refusal answers a start that was sent under an earlier ballot of this owner:
    /// a start under the own ballot is not refused for a floor that is not above it, nor before the
    /// fence that was sent ahead of it is answered.
    fn is_of_earlier_start(
        &self,
        agent: Incarnation,
        shard: ShardId,
        fencing: bool,
        refusal: StartRefusal,
    ) -> bool {
        let Some((_, takeover)) = self.held(shard) else {
            return true;
        };
        match refusal {
            StartRefusal::StaleBallot(floor) if base_ballot(floor) <= takeover.ballot => true,
            _ => fencing && takeover.awaited.contains(&agent),
        }
    }

    /// Takes in the starts that an agent reported for shards that are held.
    pub(super) fn merge(
        &mut self,
        now: Instant,
        agent: Incarnation,
        shards: &BTreeSet<ShardId>,
        report: &FenceReport,
    ) {
        let mut held = BTreeSet::new();
        let mut changed = BTreeSet::new();
        for record in &report.records {
            if !shards.contains(&record.shard) {
                continue;
            }
            held.insert((record.key.clone(), record.index));
            if self.merge_record(now, agent, record) {
                changed.insert(record.key.clone());
            }
        }
        for withdrawal in &report.withdrawn {
            if shards.contains(&withdrawal.shard) {
                self.merge_withdrawal(now, withdrawal);
            }
        }
        changed.extend(self.requeue_unseen(now, agent, shards, &held));
        for key in changed {
            if self
                .jobs
                .get(&key)
                .is_some_and(|job| job.admitted.is_some())
            {
                self.conclude(now, &key);
            }
        }
    }

    /// Marks every task at an agent as lost.
    pub(super) fn lose_tasks(&mut self, now: Instant, agent: Incarnation) {
        let Some(state) = self.members.get_mut(agent) else {
            return;
        };
        let lost = std::mem::take(&mut state.outstanding);
        let keys: BTreeSet<_> = lost.iter().map(|(key, _)| key.clone()).collect();
        for (key, index) in lost {
            match self.cfg.rules.lost {
                true => self.set_task(&key, index, TaskState::Lost),
                false => self.put_back(agent, key, index),
            }
        }
        for key in keys {
            self.conclude(now, &key);
        }
    }

    /// Sets a task's state, and keeps the agents' lists of outstanding tasks.
    pub(super) fn set_task(&mut self, key: &JobKey, index: TaskIndex, state: TaskState) {
        let job = self.jobs.get_mut(key).expect("it is known");
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
            job.trim();
        }
    }

    /// Puts a task that was not started back into the queue.
    fn put_back(&mut self, agent: Incarnation, key: JobKey, index: TaskIndex) {
        self.set_task(&key, index, TaskState::Idle);
        if self.jobs.get(&key).is_some_and(|job| job.answer.is_none()) {
            self.actions
                .push(OwnerAction::Requeue { agent, key, index });
        }
    }

    /// Takes in one reported start. Returns whether it changed anything.
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
                admitted: None,
                refusing: None,
                answer: None,
                touched: now,
            });
        if job.touched == now && job.admitted.is_none() {
            self.expiry.push_back((now, record.key.clone()));
        }
        let state = match (job.tasks.get(record.index as usize), &record.result) {
            (None, _) => return false,
            (Some(TaskState::Ended(_) | TaskState::Past), _) => return false,
            (Some(_), Some(result)) => TaskState::Ended(result.clone()),
            (Some(_), None) => TaskState::Running { agent },
        };
        job.touched = now;
        self.set_task(&record.key, record.index, state);
        true
    }

    /// Takes in that an earlier owner may have refused a job as not run, or closed it as unknown.
    fn merge_withdrawal(&mut self, now: Instant, withdrawal: &Withdrawal) {
        let answer = withdrawal.answer();
        if let Some(known) = self.jobs.get_mut(&withdrawal.key) {
            let is_open = known.admitted.is_none() && known.answer.is_none();
            if withdrawal.is_closed() && is_open {
                known.admitted = Some(now);
                self.keep_answer(now, &withdrawal.key, &answer);
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
            admitted: Some(now),
            refusing: None,
            answer: Some(answer),
            touched: now,
        };
        self.jobs.insert(withdrawal.key.clone(), state);
        self.expiry.push_back((now, withdrawal.key.clone()));
    }

    /// Puts tasks back whose start was sent on an earlier link and is not among those reported:
    /// it was lost with that link. Starts sent on this link may be behind the report. What was sent
    /// before the window may have ended and been forgotten, and counts as lost.
    fn requeue_unseen(
        &mut self,
        now: Instant,
        agent: Incarnation,
        shards: &BTreeSet<ShardId>,
        held: &BTreeSet<(JobKey, TaskIndex)>,
    ) -> Vec<JobKey> {
        let Some(state) = self.members.get(agent) else {
            return Vec::new();
        };
        let current = state.link;
        let unseen: Vec<_> = state.outstanding.difference(held).cloned().collect();
        let mut changed = Vec::new();
        for (key, index) in unseen {
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            if !shards.contains(&job.shard) {
                continue;
            }
            match job.tasks.get(index as usize) {
                Some(TaskState::Sent { link, .. })
                    if *link == current && self.cfg.rules.link_epoch => {}
                Some(TaskState::Sent { at, .. })
                    if now.saturating_duration_since(*at) < self.cfg.window
                        || !self.cfg.rules.forgotten =>
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
