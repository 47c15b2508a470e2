//! Final answers of jobs, which are given once and kept for the window.

use std::collections::BTreeMap;
use std::time::Instant;

use hemlockhook_types::{Answer, Incarnation, JobKey, Reason, ShardId, TaskIndex};

use super::job::PendingRefusal;
use super::members::Agent;
use super::{Owner, OwnerAction};
use crate::messages::{StartRefusal, Withdrawal};

/// Number of bytes that a kept result takes in addition to its body.
const RESULT_OVERHEAD_BYTES: usize = 48;

impl Owner {
    /// Settles a job with an answer other than its tasks' results, for example when its deadline
    /// passed or it was rejected. Does nothing if the job already has an answer or its refusal is
    /// pending.
    ///
    /// # Panics
    ///
    /// Panics if the answer is "not run" although a task was started.
    pub fn settle(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.answer.is_some() || job.pending_refusal.is_some() {
            return;
        }
        assert!(
            !matches!(answer, Answer::NotRun { .. }) || !job.any_started(),
            "a job answered as not run must have no started task"
        );
        match answer {
            Answer::NotRun { .. } if self.cfg.rules.withdraw => {
                self.begin_refusal(now, key, answer)
            }
            _ => self.give_answer(now, key, answer),
        }
    }

    /// Cancels a job. Returns the tasks to stop.
    pub fn cancel(&mut self, now: Instant, key: &JobKey) -> Vec<(Incarnation, TaskIndex)> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let running = job.running_tasks();
        let detail = "the caller cancelled the job".to_owned();
        let answer = match job.any_started() {
            true => Answer::Failed {
                reason: Reason::Cancelled,
                task: None,
                detail,
            },
            false => Answer::NotRun {
                reason: Reason::Cancelled,
                detail,
                retry_after: None,
            },
        };
        self.settle(now, key, answer);
        running
    }

    /// Handles an agent's reply to [`OwnerAction::Withdraw`].
    pub fn on_withdrawn(
        &mut self,
        now: Instant,
        agent: Incarnation,
        key: &JobKey,
        outcome: Result<(), StartRefusal>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let shard = job.shard;
        match &mut job.pending_refusal {
            Some(pending) if pending.agent == agent => {}
            _ => return,
        }
        match outcome {
            Ok(()) => {
                let pending = job.pending_refusal.take().expect("the refusal is pending");
                self.pending_refusals.remove(key);
                self.give_answer(now, key, pending.answer);
            }
            Err(StartRefusal::StaleBallot(floor)) => {
                self.on_ballot(now, shard, floor);
                self.ask_next_agent(now, key);
            }
            // A task of the job was started after all.
            Err(StartRefusal::AlreadyStarted) => self.abandon_refusal(now, key),
            Err(_) => self.ask_next_agent(now, key),
        }
    }

    /// Asks other agents to store the withdrawals that an agent whose link broke may not have
    /// stored.
    pub(super) fn withdraw_elsewhere(&mut self, now: Instant, agent: Incarnation) {
        self.ask_next_where(now, |pending| pending.agent == agent);
    }

    /// Asks other agents to store the withdrawals to which an agent did not reply in time.
    pub(super) fn time_out_withdrawals(&mut self, now: Instant) {
        let timeout = self.cfg.fence_timeout;
        self.ask_next_where(now, |pending| pending.asked_at + timeout <= now);
    }

    fn ask_next_where<F>(&mut self, now: Instant, is_due: F)
    where
        F: Fn(&PendingRefusal) -> bool,
    {
        let keys: Vec<_> = self
            .pending_refusals
            .iter()
            .filter(|key| {
                let pending = self
                    .jobs
                    .get(*key)
                    .and_then(|job| job.pending_refusal.as_ref());
                pending.is_some_and(&is_due)
            })
            .cloned()
            .collect();
        for key in keys {
            self.ask_next_agent(now, &key);
        }
    }

    /// Answers a job that has no answer yet if the states of its tasks decide one.
    pub(super) fn answer_if_decided(&mut self, now: Instant, key: &JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.answer.is_some() || job.pending_refusal.is_some() {
            return;
        }
        if let Some(answer) = job.decided_answer() {
            self.give_answer(now, key, answer);
        }
    }

    /// Stores the final answer of a job, and reports it to the caller.
    pub(super) fn give_answer(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        self.store_answer(now, key, &answer);
        self.actions.push(OwnerAction::Settled {
            key: key.clone(),
            answer,
        });
    }

    /// Stores the final answer of a job.
    pub(super) fn store_answer(&mut self, now: Instant, key: &JobKey, answer: &Answer) {
        let job = self.jobs.get_mut(key).expect("the job is known");
        assert!(job.answer.is_none(), "a job must be answered only once");
        assert!(
            !matches!(answer, Answer::NotRun { .. }) || !job.any_started(),
            "a job answered as not run must have no started task"
        );
        job.answer = Some(answer.clone());
        job.pending_refusal = None;
        job.changed_at = now;
        job.discard_results();
        self.pending_refusals.remove(key);
        self.expiry.push_back((now, key.clone()));

        if let Answer::Complete(_) = answer {
            self.answer_bytes += answer_bytes(answer);
            self.complete_answers.push_back(key.clone());
        }
        self.evict_answers();
    }

    /// Removes jobs that have not changed for longer than the window, except those that were
    /// admitted and have no answer, and those of which a task may be running.
    pub(super) fn expire_jobs(&mut self, now: Instant) {
        while let Some((at, _)) = self.expiry.front() {
            if now.saturating_duration_since(*at) <= self.cfg.window {
                return;
            }
            let Some((_, key)) = self.expiry.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            let live = job.admitted_at.is_some() && job.answer.is_none()
                || !job.running_tasks().is_empty();
            if live || now.saturating_duration_since(job.changed_at) <= self.cfg.window {
                self.expiry.push_back((now, key));
                continue;
            }
            self.forget_job(&key);
        }
    }

    /// Removes the jobs of shards. Returns the keys of those that were admitted and have no answer,
    /// sorted.
    pub(super) fn forget_shard_jobs(
        &mut self,
        shards: &[ShardId],
    ) -> BTreeMap<ShardId, Vec<JobKey>> {
        if shards.is_empty() {
            return BTreeMap::new();
        }
        let keys: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| shards.contains(&job.shard))
            .map(|(key, _)| key.clone())
            .collect();
        let mut unfinished = BTreeMap::<_, Vec<_>>::new();
        for key in keys {
            match self.jobs.get(&key) {
                Some(job) if job.admitted_at.is_some() && job.answer.is_none() => {
                    unfinished.entry(job.shard).or_default().push(key.clone());
                }
                _ => {}
            }
            self.forget_job(&key);
        }
        unfinished.values_mut().for_each(|keys| keys.sort());
        unfinished
    }

    fn forget_job(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.pending_refusals.remove(key);
        for (agent, index) in job.running_tasks() {
            if let Some(agent) = self.members.get_mut(agent) {
                agent.outstanding.remove(&(key.clone(), index));
            }
        }
        self.answer_bytes -= job.answer.as_ref().map_or(0, answer_bytes);
    }

    /// Begins to refuse a job as not run, or to close it as unknown.
    ///
    /// Another entry may own the shard by now. An entry needs the reports of all agents of the
    /// job's service before it may start the job. It is therefore enough that one of these agents
    /// stores the withdrawal while its floor is still this owner's ballot: no later owner starts
    /// the job then.
    pub(super) fn begin_refusal(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        let job = self.jobs.get_mut(key).expect("the job is known");
        job.pending_refusal = Some(PendingRefusal {
            answer,
            agent: 0,
            asked_at: now,
            tried: Vec::new(),
        });
        self.pending_refusals.insert(key.clone());
        self.ask_next_agent(now, key);
    }

    fn ask_next_agent(&mut self, now: Instant, key: &JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let Some(pending) = &job.pending_refusal else {
            return;
        };
        // If no known agent runs the service, any agent can store the withdrawal.
        let runs_service = |agent: &Agent| agent.services.contains(&job.service);
        let any_agent_runs = self.members.iter().any(|(_, agent)| runs_service(agent));
        let next = self
            .members
            .iter()
            .filter(|(_, agent)| agent.connected && (runs_service(agent) || !any_agent_runs))
            .map(|(agent, _)| agent)
            .filter(|agent| *agent != pending.agent && !pending.tried.contains(agent))
            .min_by_key(|agent| agent ^ job.fingerprint);
        let ballot = self
            .serving_takeover(job.shard)
            .map(|takeover| takeover.ballot);
        let job = self.jobs.get_mut(key).expect("the job is known");
        let pending = job
            .pending_refusal
            .as_mut()
            .expect("the refusal is pending");
        let reason = pending.answer.reason().unwrap_or(Reason::Overloaded);
        let (Some(agent), Some(ballot)) = (next, ballot) else {
            return self.abandon_refusal(now, key);
        };

        pending.tried.push(pending.agent);
        pending.agent = agent;
        pending.asked_at = now;
        let withdrawal = Withdrawal {
            key: key.clone(),
            fingerprint: job.fingerprint,
            shard: job.shard,
            service: job.service.clone(),
            reason,
        };
        self.actions.push(OwnerAction::Withdraw {
            agent,
            ballot,
            withdrawal,
        });
    }

    /// Gives the answer of a refusal that no agent confirmed. It is "unknown" in place of "not
    /// run".
    fn abandon_refusal(&mut self, now: Instant, key: &JobKey) {
        let job = self.jobs.get_mut(key).expect("the job is known");
        let pending = job.pending_refusal.take().expect("the refusal is pending");
        let reason = pending.answer.reason().unwrap_or(Reason::Overloaded);
        let detail = "no agent could confirm that the job was not run".to_owned();
        let answer = match pending.answer {
            Answer::NotRun { .. } => Answer::Unknown { reason, detail },
            answer => answer,
        };
        self.give_answer(now, key, answer);
    }

    /// Evicts the oldest complete answers until the rest fits into `max_result_bytes`. The keys
    /// stay.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.cfg.max_result_bytes {
            let Some(key) = self.complete_answers.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            if let Some(answer @ Answer::Complete(_)) = &mut job.answer {
                self.answer_bytes -= answer_bytes(answer);
                *answer = super::job::evicted_answer();
            }
        }
    }
}

/// Returns the number of bytes that the results of an answer take, including their overhead.
fn answer_bytes(answer: &Answer) -> usize {
    match answer {
        Answer::Complete(results) => results
            .iter()
            .map(|body| body.len() + RESULT_OVERHEAD_BYTES)
            .sum(),
        _ => 0,
    }
}
