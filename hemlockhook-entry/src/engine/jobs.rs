//! Submissions: from their arrival to their answer.

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

/// Time past the deadline in which a forwarded job's answer may still arrive.
const RELAY_GRACE: Duration = Duration::from_secs(1);

/// Time for which a job waits for an upstream of its service to come up.
const UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// Jobs that wait for an upstream and are tried again at a time.
const MAX_WAITING_RETRIES: usize = 2_000;

/// A submission without an answer.
#[derive(Debug)]
pub struct Submitted {
    pub(super) submission: Submission,
    arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) place: Place,
    /// When it may be forwarded again.
    pub(super) relay_at: Instant,
    /// The latest call before it arrived: up to this one they are for earlier jobs of its key.
    pub(super) calls_before: CallId,
    /// Callers' connections.
    pub(super) callers: Vec<ReplySender>,
    /// Forwarding entries; they submit elsewhere if the shard's owner changes.
    pub(super) entries: Vec<ReplySender>,
}

impl Submitted {
    /// Returns the job.
    pub fn job(&self) -> &Arc<Job> {
        &self.submission.job
    }

    /// Returns where the job is dealt with.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Returns whether it was submitted here, and not only forwarded to here.
    fn is_callers(&self) -> bool {
        !self.callers.is_empty() || self.entries.is_empty()
    }

    /// Returns the number of callers and entries that wait for its answer.
    pub fn waiting(&self) -> usize {
        self.callers.len() + self.entries.len()
    }

    /// Returns when the job's answer ceases to be of use.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the time since the job arrived.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived)
    }
}

/// Where a submission is dealt with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Nowhere: no owner of its shard is known.
    Held,
    /// Here; scheduled unless all its tasks have been started.
    Local(Option<JobId>),
    /// At the shard's owner.
    Relayed(CallId, Incarnation),
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
        if let Some(known) = self.submissions.get_mut(&key) {
            let same = known.submission.job.fingerprint == submission.job.fingerprint;
            match origin {
                _ if !same => self.reply(reply_to, Reply::KeyReused),
                Origin::Caller => add_reply_sender(&mut known.callers, reply_to),
                Origin::Entry if matches!(known.place, Place::Local(_)) => {
                    add_reply_sender(&mut known.entries, reply_to);
                }
                Origin::Entry => self.reply(reply_to, Reply::NotOwner),
            }
            return;
        }

        self.counters.submitted += 1;
        let deadline = now + self.time_allowed(&submission.job);
        let (callers, entries) = match origin {
            Origin::Caller => (vec![reply_to], Vec::new()),
            Origin::Entry => (Vec::new(), vec![reply_to]),
        };
        let place = Place::Held;
        let submitted = Submitted {
            submission,
            arrived: now,
            deadline,
            place,
            relay_at: now,
            calls_before: self.next_call,
            callers,
            entries,
        };
        self.submissions.insert(key.clone(), submitted);
        self.deadlines.push(Reverse((deadline, key.clone())));
        self.route(now, &key);
    }

    /// Finds the place where a held submission is dealt with.
    pub(super) fn route(&mut self, now: Instant, key: &JobKey) {
        let Some(submitted) = self.submissions.get(key) else {
            return;
        };
        let submission = submitted.submission.clone();
        match self.owner.admit(now, &submission.job, submission.stamp) {
            Admission::Run(indexes) => self.run(now, &submission.job, &indexes),
            Admission::Pending => self.set_place(key, Place::Local(None)),
            Admission::Answered(answer) => self.answer(now, key, answer),
            Admission::KeyReused => self.finish(now, key, Reply::KeyReused),
            Admission::Fencing => self.hold(key),
            Admission::NotOwner => self.relay(now, key),
        }
    }

    /// Schedules the tasks of an admitted job that are to be started.
    fn run(&mut self, now: Instant, job: &Job, indexes: &[TaskIndex]) {
        self.set_place(&job.key, Place::Local(None));
        if indexes.is_empty() {
            return;
        }
        match self.schedule(now, job, indexes) {
            Ok(id) => {
                self.scheduled.insert(id, job.key.clone());
                self.set_place(&job.key, Place::Local(Some(id)));
            }
            Err(rejection) if self.may_wait(now, job, &rejection) => self.waiting.insert(&job.key),
            Err(rejection) => self.reject(now, job, indexes.len(), rejection),
        }
    }

    /// Returns whether a job may wait for an upstream to come up, rather than be refused at once: an
    /// agent that was replaced joins within moments.
    fn may_wait(&self, now: Instant, job: &Job, rejection: &Rejection) -> bool {
        let age = self
            .submissions
            .get(&job.key)
            .map(|submitted| submitted.age(now));
        rejection.reason == Reason::NoUpstream && age.is_some_and(|age| age < UPSTREAM_WAIT)
    }

    /// Tries again to schedule jobs that wait for an upstream, some of them at a time.
    pub(super) fn retry_waiting(&mut self, now: Instant) {
        for key in self.waiting.take(MAX_WAITING_RETRIES) {
            let submitted = self.submissions.get(&key);
            let local = submitted.filter(|submitted| submitted.place == Place::Local(None));
            if let Some(job) = local.map(|submitted| submitted.job().clone()) {
                let indexes = self.owner.unstarted_tasks(&key);
                self.run(now, &job, &indexes);
            }
        }
    }

    fn schedule(
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
            .submissions
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

    /// Refuses a job that the rules in force do not allow.
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

    pub(super) fn set_place(&mut self, key: &JobKey, place: Place) {
        if let Some(submitted) = self.submissions.get_mut(key) {
            submitted.place = place;
        }
        if place != Place::Held {
            self.held.remove(key);
        }
    }

    /// Passes a job's final answer on, once its owner settled it.
    pub(super) fn answer(&mut self, now: Instant, key: &JobKey, answer: Answer) {
        if let Some(submitted) = self.submissions.get(key) {
            let took = now.saturating_duration_since(submitted.arrived);
            let job = submitted.submission.job.clone();
            // The entry that forwarded a job counts it.
            if submitted.is_callers() {
                self.count_answer(now, &job, &answer, took);
            }
        }
        self.finish(now, key, Reply::Answer(answer));
    }

    pub(super) fn finish(&mut self, _now: Instant, key: &JobKey, reply: Reply) {
        self.held.remove(key);
        let mut waiters = self.watchers.remove(key).unwrap_or_default();
        if let Some(submitted) = self.submissions.remove(key) {
            if let Place::Local(Some(id)) = submitted.place {
                self.dispatcher.finish_job(id);
                self.scheduled.remove(&id);
            }
            waiters.extend(submitted.callers);
            waiters.extend(submitted.entries);
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

    /// Returns a job's deadline, brought forward to its service's.
    fn time_allowed(&self, job: &Job) -> Duration {
        self.inventory
            .as_ref()
            .and_then(|inventory| inventory.service(&job.service))
            .map_or(job.deadline, |service| service.deadline.min(job.deadline))
    }

    /// Ends the jobs whose deadline has passed.
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
        let Some(submitted) = self.submissions.get(key) else {
            return;
        };
        let grace_over = at >= submitted.deadline + RELAY_GRACE;
        match submitted.place {
            _ if at < submitted.deadline => {}
            Place::Local(_) => self.pass_deadline(now, key),
            Place::Relayed(..) | Place::Held if !grace_over => {
                self.deadlines
                    .push(Reverse((submitted.deadline + RELAY_GRACE, key.clone())));
            }
            Place::Relayed(..) | Place::Held => {
                log::job(key).warn("no owner of the shard answered before the deadline");
                let detail = "no owner of the key's shard answered in time".to_owned();
                let reason = Reason::OwnerUnreachable;
                self.answer(now, key, Answer::Unknown { reason, detail });
            }
        }
    }

    /// Ends a job of ours that was not answered in time.
    fn pass_deadline(&mut self, now: Instant, key: &JobKey) {
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

/// Adds a reply sender. Those that have gone are dropped before more room is taken, so that a caller that
/// asks again and again takes the room of one.
pub(super) fn add_reply_sender(waiters: &mut Vec<ReplySender>, reply_to: ReplySender) {
    if waiters.len() == waiters.capacity() {
        waiters.retain(|reply_to| !reply_to.is_closed());
    }
    waiters.push(reply_to);
}
