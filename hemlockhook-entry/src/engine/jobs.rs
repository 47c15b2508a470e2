//! The life cycle of submitted jobs, from their arrival to their answer.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_ownership::Admission;
use hemlockhook_proto::convert::Reply;
use hemlockhook_runtime::log;
use hemlockhook_schedule::{JobId, JobSpec, Rejection, TaskSpec};
use hemlockhook_types::{Answer, Incarnation, Job, JobKey, Reason, TaskIndex};

use super::Engine;
use crate::event::{Action, CallId, Origin, ReplySender, Response, Submission};

/// Time after the deadline for which the answer to a forwarded job is still awaited.
const FORWARD_GRACE: Duration = Duration::from_secs(1);

/// Time for which a job without an upstream waits for one of its service to come up.
const UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of jobs without an upstream that are retried per tick.
const MAX_UPSTREAM_RETRIES: usize = 2_000;

/// A submitted job without an answer.
#[derive(Debug)]
pub struct PendingJob {
    pub(super) submission: Submission,
    arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) route: JobRoute,
    /// Earliest time at which the job may be forwarded again.
    pub(super) forward_at: Instant,
    /// Latest call before the job arrived; replies to calls up to it are for earlier jobs of its
    /// key.
    pub(super) last_earlier_call: CallId,
    /// Callers that wait for the answer.
    pub(super) callers: Vec<ReplySender>,
    /// Entries that forwarded the job; if the shard's owner changes, they forward it to the new
    /// one.
    pub(super) entries: Vec<ReplySender>,
}

impl PendingJob {
    /// Returns the job.
    pub fn job(&self) -> &Arc<Job> {
        &self.submission.job
    }

    /// Returns where the job is handled.
    pub fn route(&self) -> JobRoute {
        self.route
    }

    /// Returns whether the job has callers here, rather than only entries that forwarded it.
    fn is_from_caller(&self) -> bool {
        !self.callers.is_empty() || self.entries.is_empty()
    }

    /// Returns the number of callers and entries that wait for the answer.
    pub fn waiter_count(&self) -> usize {
        self.callers.len() + self.entries.len()
    }

    /// Returns the time by which the job must be answered.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the time since the job arrived.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived)
    }
}

/// Where a pending job is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobRoute {
    /// Nowhere yet: no owner of its shard is known.
    Unrouted,
    /// At this entry. The dispatcher has a job for it unless all its tasks have been started or it
    /// waits for an upstream.
    Local(Option<JobId>),
    /// At the shard's owner, by a call.
    Forwarded(CallId, Incarnation),
}

impl Engine {
    pub(super) fn on_submit(
        &mut self,
        now: Instant,
        submission: Submission,
        origin: Origin,
        reply_to: ReplySender,
    ) {
        let key = submission.job.key.clone();
        if let Some(known) = self.pending_jobs.get_mut(&key) {
            let same = known.submission.job.fingerprint == submission.job.fingerprint;
            match origin {
                _ if !same => self.reply(reply_to, Reply::KeyReused),
                Origin::Caller => add_reply_sender(&mut known.callers, reply_to),
                Origin::Entry if matches!(known.route, JobRoute::Local(_)) => {
                    add_reply_sender(&mut known.entries, reply_to);
                }
                Origin::Entry => self.reply(reply_to, Reply::NotOwner),
            }
            return;
        }

        self.counters.submitted += 1;
        let deadline = now + self.effective_deadline(&submission.job);
        let (callers, entries) = match origin {
            Origin::Caller => (vec![reply_to], Vec::new()),
            Origin::Entry => (Vec::new(), vec![reply_to]),
        };
        let route = JobRoute::Unrouted;
        let pending = PendingJob {
            submission,
            arrived: now,
            deadline,
            route,
            forward_at: now,
            last_earlier_call: self.last_call,
            callers,
            entries,
        };
        self.pending_jobs.insert(key.clone(), pending);
        self.deadlines.push(Reverse((deadline, key.clone())));
        self.route(now, &key);
    }

    /// Determines where an unrouted job is handled.
    pub(super) fn route(&mut self, now: Instant, key: &JobKey) {
        let Some(pending) = self.pending_jobs.get(key) else {
            return;
        };
        let submission = pending.submission.clone();
        match self.owner.admit(now, &submission.job, submission.stamp) {
            Admission::Run(indexes) => self.schedule(now, &submission.job, &indexes),
            Admission::Pending => self.set_route(key, JobRoute::Local(None)),
            Admission::Answered(answer) => self.answer_job(now, key, answer),
            Admission::KeyReused => self.finish(now, key, Reply::KeyReused),
            Admission::Fencing => self.queue_unrouted(key),
            Admission::NotOwner => self.forward(now, key),
        }
    }

    /// Schedules the given tasks of an admitted job.
    fn schedule(&mut self, now: Instant, job: &Job, indexes: &[TaskIndex]) {
        self.set_route(&job.key, JobRoute::Local(None));
        if indexes.is_empty() {
            return;
        }
        match self.submit_to_dispatcher(now, job, indexes) {
            Ok(id) => {
                self.scheduled_jobs.insert(id, job.key.clone());
                self.set_route(&job.key, JobRoute::Local(Some(id)));
            }
            Err(rejection) if self.may_await_upstream(now, job, &rejection) => {
                self.awaiting_upstream.insert(&job.key)
            }
            Err(rejection) => self.reject(now, job, indexes.len(), rejection),
        }
    }

    /// Returns whether a rejected job may wait for an upstream to come up. The replacement of an
    /// agent usually joins within moments, so the job need not be refused.
    fn may_await_upstream(&self, now: Instant, job: &Job, rejection: &Rejection) -> bool {
        let age = self
            .pending_jobs
            .get(&job.key)
            .map(|pending| pending.age(now));
        rejection.reason == Reason::NoUpstream && age.is_some_and(|age| age < UPSTREAM_WAIT)
    }

    /// Tries again to schedule jobs that wait for an upstream, up to a limit per tick.
    pub(super) fn retry_awaiting_upstream(&mut self, now: Instant) {
        for key in self.awaiting_upstream.take(MAX_UPSTREAM_RETRIES) {
            let pending = self.pending_jobs.get(&key);
            let local = pending.filter(|pending| pending.route == JobRoute::Local(None));
            if let Some(job) = local.map(|pending| pending.job().clone()) {
                let indexes = self.owner.unstarted_tasks(&key);
                self.schedule(now, &job, &indexes);
            }
        }
    }

    fn submit_to_dispatcher(
        &mut self,
        now: Instant,
        job: &Job,
        indexes: &[TaskIndex],
    ) -> Result<JobId, Rejection> {
        self.check_rules(job)?;
        let task = |index: &TaskIndex| {
            let task = &job.tasks[*index as usize];
            TaskSpec {
                index: *index,
                class: task.class.clone(),
                declared_run_time: task.declared_run_time,
            }
        };
        let deadline = self
            .pending_jobs
            .get(&job.key)
            .map_or(now + job.deadline, |s| s.deadline);
        let spec = JobSpec {
            team: job.team.clone(),
            service: job.service.clone(),
            deadline,
            tasks: indexes.iter().map(task).collect(),
        };
        self.dispatcher.submit(now, spec)
    }

    /// Rejects a job whose service or team is not in the inventory.
    fn check_rules(&self, job: &Job) -> Result<(), Rejection> {
        let refuse = |reason, detail, retry_after| {
            Err(Rejection {
                reason,
                detail,
                retry_after,
            })
        };
        let Some(inventory) = &self.inventory else {
            let wait = Some(Duration::from_secs(1));
            let detail = "no inventory is in force yet".to_owned();
            return refuse(Reason::NoUpstream, detail, wait);
        };
        match (inventory.service(&job.service), inventory.team(&job.team)) {
            (None, _) => {
                let detail = format!("the inventory has no service {}", job.service);
                refuse(Reason::NoSuchService, detail, None)
            }
            (_, None) => {
                let detail = format!("the inventory has no team {}", job.team);
                refuse(Reason::NoSuchTeam, detail, None)
            }
            (Some(_), Some(_)) => Ok(()),
        }
    }

    fn reject(&mut self, now: Instant, job: &Job, refused: usize, rejection: Rejection) {
        let Rejection {
            reason,
            detail,
            retry_after,
        } = rejection;
        let answer = if refused == job.tasks.len() {
            Answer::NotRun {
                reason,
                detail,
                retry_after,
            }
        } else {
            Answer::Failed {
                reason,
                task: None,
                detail,
            }
        };
        self.owner.settle(now, &job.key, answer);
    }

    pub(super) fn set_route(&mut self, key: &JobKey, route: JobRoute) {
        if let Some(pending) = self.pending_jobs.get_mut(key) {
            pending.route = route;
        }
        if route != JobRoute::Unrouted {
            self.unrouted.remove(key);
        }
    }

    /// Counts the final answer to a job, and sends it to everyone waiting for it.
    pub(super) fn answer_job(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        if let Some(pending) = self.pending_jobs.get(key) {
            let took = now.saturating_duration_since(pending.arrived);
            let job = pending.submission.job.clone();
            // A forwarded job is counted at the entry that its caller submitted it to.
            if pending.is_from_caller() {
                self.count_answer(now, &job, &answer, took);
            }
        }
        self.finish(now, key, Reply::Answer(answer));
    }

    pub(super) fn finish(&mut self, _now: Instant, key: &JobKey, reply: Reply) {
        self.unrouted.remove(key);
        let mut waiters = self.answer_waiters.remove(key).unwrap_or_default();
        if let Some(pending) = self.pending_jobs.remove(key) {
            if let JobRoute::Local(Some(id)) = pending.route {
                self.dispatcher.finish_job(id);
                self.scheduled_jobs.remove(&id);
            }
            waiters.extend(pending.callers);
            waiters.extend(pending.entries);
        }
        for reply_to in waiters {
            self.reply(reply_to, reply.clone());
        }
    }

    pub(super) fn reply(&mut self, reply_to: ReplySender, reply: Reply) {
        let response = Response::Job {
            reply,
            stamps: self.stamps.clone(),
        };
        self.actions.push(Action::Reply { reply_to, response });
    }

    /// Returns the job's deadline, or that of its service if it is shorter.
    fn effective_deadline(&self, job: &Job) -> Duration {
        self.inventory
            .as_ref()
            .and_then(|inventory| inventory.service(&job.service))
            .map_or(job.deadline, |service| service.deadline.min(job.deadline))
    }

    /// Answers the jobs whose deadline has passed.
    pub(super) fn expire_jobs(&mut self, now: Instant) {
        while let Some(Reverse((at, key))) = self.deadlines.peek().cloned() {
            if at > now {
                return;
            }
            self.deadlines.pop();
            self.expire_job(now, at, &key);
        }
    }

    fn expire_job(&mut self, now: Instant, at: Instant, key: &JobKey) {
        let Some(pending) = self.pending_jobs.get(key) else {
            return;
        };
        let grace_over = at >= pending.deadline + FORWARD_GRACE;
        match pending.route {
            _ if at < pending.deadline => {}
            JobRoute::Local(_) => self.on_deadline_passed(now, key),
            JobRoute::Forwarded(..) | JobRoute::Unrouted if !grace_over => {
                self.deadlines
                    .push(Reverse((pending.deadline + FORWARD_GRACE, key.clone())));
            }
            JobRoute::Forwarded(..) | JobRoute::Unrouted => {
                log::job(key).warn("no owner of the job's shard answered before the deadline");
                let detail = "no owner of the key's shard answered in time".to_owned();
                let reason = Reason::OwnerUnreachable;
                self.answer_job(now, key, Answer::Unknown { reason, detail });
            }
        }
    }

    /// Settles a job of a shard owned here that was not answered by its deadline.
    fn on_deadline_passed(&mut self, now: Instant, key: &JobKey) {
        let (reason, task) = (Reason::Deadline, None);
        let answer = if self.owner.any_started(key) {
            let detail = "the job had not ended when its deadline passed".to_owned();
            Answer::Failed {
                reason,
                task,
                detail,
            }
        } else {
            let detail = "no task of the job was started before its deadline".to_owned();
            Answer::NotRun {
                reason,
                detail,
                retry_after: None,
            }
        };
        self.owner.settle(now, key, answer);
    }
}

/// Adds a reply sender. Closed ones are removed before the vector grows, so that a caller that
/// gives up and repeats its request over and over uses a bounded amount of memory.
pub(super) fn add_reply_sender(senders: &mut Vec<ReplySender>, reply_to: ReplySender) {
    if senders.len() == senders.capacity() {
        senders.retain(|sender| !sender.is_closed());
    }
    senders.push(reply_to);
}
