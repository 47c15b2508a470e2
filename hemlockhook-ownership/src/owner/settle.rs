//! Answers: given once, kept for the window.

use std::collections::BTreeMap;
use std::time::Instant;

use hemlockhook_types::{Answer, Incarnation, JobKey, Reason, ShardId, TaskIndex};

use super::job::Refusing;
use super::members::Agent;
use super::{Owner, OwnerAction};
use crate::messages::{StartRefusal, Withdrawal};

/// Bytes that a kept result takes besides its body.
const RESULT_OVERHEAD_BYTES: usize = 48;

impl Owner {
    /// Settles a job with an answer other than its tasks' results: its deadline passed, it was
    /// rejected. An answer that the job has already stands.
    ///
    /// # Panics
    ///
    /// If the answer is "not run" although a task was started.
    pub fn settle(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.answer.is_some() || job.refusing.is_some() {
            return;
        }
        assert!(
            !matches!(answer, Answer::NotRun { .. }) || !job.any_started(),
            "what is answered as not run was not started"
        );
        match answer {
            Answer::NotRun { .. } if self.cfg.rules.withdraw => self.refuse(now, key, answer),
            _ => self.answer(now, key, answer),
        }
    }

    /// Cancels a job. Returns the tasks to stop.
    pub fn cancel(&mut self, now: Instant, key: &JobKey) -> Vec<(Incarnation, TaskIndex)> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let running = job.running();
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

    /// Takes in an agent's answer to [`OwnerAction::Withdraw`].
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
        match &mut job.refusing {
            Some(refusing) if refusing.agent == agent => {}
            _ => return,
        }
        match outcome {
            Ok(()) => {
                let refusing = job.refusing.take().expect("it is being refused");
                self.refusing.remove(key);
                self.answer(now, key, refusing.answer);
            }
            Err(StartRefusal::StaleBallot(floor)) => {
                self.on_ballot(now, shard, floor);
                self.ask_next(now, key);
            }
            // Somebody started it after all.
            Err(StartRefusal::AlreadyStarted) => self.give_up_refusal(now, key),
            Err(_) => self.ask_next(now, key),
        }
    }

    /// Asks other agents for what an agent whose link broke may not have marked.
    pub(super) fn withdraw_elsewhere(&mut self, now: Instant, agent: Incarnation) {
        self.ask_next_where(now, |refusing| refusing.agent == agent);
    }

    /// Asks other agents where one did not answer in time.
    pub(super) fn time_out_withdrawals(&mut self, now: Instant) {
        let timeout = self.cfg.fence_timeout;
        self.ask_next_where(now, |refusing| refusing.asked + timeout <= now);
    }

    fn ask_next_where<F>(&mut self, now: Instant, is_due: F)
    where
        F: Fn(&Refusing) -> bool,
    {
        let keys: Vec<_> = self
            .refusing
            .iter()
            .filter(|key| {
                let refusing = self.jobs.get(*key).and_then(|job| job.refusing.as_ref());
                refusing.is_some_and(&is_due)
            })
            .cloned()
            .collect();
        for key in keys {
            self.ask_next(now, &key);
        }
    }

    /// Answers an unanswered job if the states of its tasks decide it.
    pub(super) fn conclude(&mut self, now: Instant, key: &JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.answer.is_some() || job.refusing.is_some() {
            return;
        }
        if let Some(answer) = job.verdict() {
            self.answer(now, key, answer);
        }
    }

    /// Gives a job its final answer, and tells of it.
    pub(super) fn answer(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        self.keep_answer(now, key, &answer);
        self.actions.push(OwnerAction::Settled {
            key: key.clone(),
            answer,
        });
    }

    /// Keeps the final answer of a job.
    pub(super) fn keep_answer(&mut self, now: Instant, key: &JobKey, answer: &Answer) {
        let job = self.jobs.get_mut(key).expect("it is known");
        assert!(job.answer.is_none(), "an answer is settled once");
        assert!(
            !matches!(answer, Answer::NotRun { .. }) || !job.any_started(),
            "what is answered as not run was not started"
        );
        job.answer = Some(answer.clone());
        job.refusing = None;
        job.touched = now;
        job.trim();
        self.refusing.remove(key);
        self.expiry.push_back((now, key.clone()));

        if let Answer::Complete(_) = answer {
            self.answer_bytes += answer_bytes(answer);
            self.kept.push_back(key.clone());
        }
        self.evict();
    }

    /// Forgets what has been settled longer ago than the window.
    pub(super) fn forget_jobs(&mut self, now: Instant) {
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
            let live = job.admitted.is_some() && job.answer.is_none() || !job.running().is_empty();
            if live || now.saturating_duration_since(job.touched) <= self.cfg.window {
                self.expiry.push_back((now, key));
                continue;
            }
            self.forget_job(&key);
        }
    }

    /// Forgets the jobs of shards. Returns those that were admitted and have no answer, in order.
    pub(super) fn forget_shards(&mut self, shards: &[ShardId]) -> BTreeMap<ShardId, Vec<JobKey>> {
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
                Some(job) if job.admitted.is_some() && job.answer.is_none() => {
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
        self.refusing.remove(key);
        for (agent, index) in job.running() {
            if let Some(agent) = self.members.get_mut(agent) {
                agent.outstanding.remove(&(key.clone(), index));
            }
        }
        self.answer_bytes -= job.answer.as_ref().map_or(0, answer_bytes);
    }

    /// Starts to refuse a job as not run, or to close it as unknown.
    ///
    /// Another entry may own the shard by now. Any that would start the job needs the reports of
    /// all agents of its service, so that one agent which marks the job while its floor is still
    /// the own ballot keeps every later owner from starting it.
    pub(super) fn refuse(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        let job = self.jobs.get_mut(key).expect("it is known");
        job.refusing = Some(Refusing {
            answer,
            agent: 0,
            asked: now,
            tried: Vec::new(),
        });
        self.refusing.insert(key.clone());
        self.ask_next(now, key);
    }

    fn ask_next(&mut self, now: Instant, key: &JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let Some(refusing) = &job.refusing else {
            return;
        };
        // Where no agent ever ran the service, any one can keep the mark.
        let runs = |agent: &Agent| agent.services.contains(&job.service);
        let is_run = self.members.iter().any(|(_, agent)| runs(agent));
        let next = self
            .members
            .iter()
            .filter(|(_, agent)| agent.up && (runs(agent) || !is_run))
            .map(|(agent, _)| agent)
            .filter(|agent| *agent != refusing.agent && !refusing.tried.contains(agent))
            .min_by_key(|agent| agent ^ job.fingerprint);
        let ballot = self.serving(job.shard).map(|takeover| takeover.ballot);
        let job = self.jobs.get_mut(key).expect("it is known");
        let refusing = job.refusing.as_mut().expect("it is being refused");
        let reason = refusing.answer.reason().unwrap_or(Reason::Overloaded);
        let (Some(agent), Some(ballot)) = (next, ballot) else {
            return self.give_up_refusal(now, key);
        };

        refusing.tried.push(refusing.agent);
        refusing.agent = agent;
        refusing.asked = now;
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

    /// Answers a job as unknown that no agent confirmed as not run.
    fn give_up_refusal(&mut self, now: Instant, key: &JobKey) {
        let job = self.jobs.get_mut(key).expect("it is known");
        let refusing = job.refusing.take().expect("it is being refused");
        let reason = refusing.answer.reason().unwrap_or(Reason::Overloaded);
        let detail = "no agent could confirm that the job was not run".to_owned();
        let answer = match refusing.answer {
            Answer::NotRun { .. } => Answer::Unknown { reason, detail },
            answer => answer,
        };
        self.answer(now, key, answer);
    }

    /// Drops the oldest complete answers until the rest fits its bound. The keys stay.
    fn evict(&mut self) {
        while self.answer_bytes > self.cfg.max_result_bytes {
            let Some(key) = self.kept.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            if let Some(answer @ Answer::Complete(_)) = &mut job.answer {
                self.answer_bytes -= answer_bytes(answer);
                *answer = super::job::evicted();
            }
        }
    }
}

/// Returns the bytes that an answer's results take, with those of their bookkeeping.
fn answer_bytes(answer: &Answer) -> usize {
    match answer {
        Answer::Complete(results) => results
            .iter()
            .map(|body| body.len() + RESULT_OVERHEAD_BYTES)
            .sum(),
        _ => 0,
    }
}
