//! Admission of submissions.

use std::time::{Duration, Instant};

use hemlockhook_types::{Answer, Job, JobKey, Reason, ShardId, Stamp};

use super::job::{JobState, TaskState};
use super::takeover::Takeover;
use super::{Admission, LookupResult, Owner, Role};
use crate::epoch::{MAX_COUNTER_JUMP, base_ballot, epoch_length, epoch_of};
use crate::log_coverage::log_time;

/// Refused jobs are held beyond the maximum number of jobs, up to this multiple of it.
const REFUSED_JOBS_FACTOR: usize = 2;

/// The age of a submission's key, as far as its stamp bounds it.
enum KeyAge {
    /// Inside the window and made under the current ballot, so that only this owner can have
    /// started it, and would know.
    Fresh,
    /// Possibly started under another ballot, and not known to be older than the window.
    Old,
    /// Made before the window.
    TooOld,
    /// No bound is known, because the beginning of the stamp's ballot is not known.
    Unbounded,
}

impl Owner {
    /// Admits a submission, given the stamp that the caller held when it created the key.
    pub fn admit(&mut self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Admission {
        let shard = job.shard();
        if stamp.is_some_and(|stamp| !self.is_plausible_stamp(shard, stamp)) {
            return Admission::Answered(unknown_answer(
                Reason::KeyTooOld,
                "no owner gave out the stamp",
            ));
        }
        if self.cfg.rules.stamp_above
            && let Some(stamp) = stamp
        {
            self.on_ballot(now, shard, stamp);
        }
        let takeover = match self.shards.get(&shard).map(|state| state.role) {
            None | Some(Role::None) => return Admission::NotOwner,
            Some(Role::Retry { .. }) => return Admission::Fencing,
            Some(Role::Held(id)) => &self.takeovers[&id],
        };
        if !takeover.ready {
            return Admission::Fencing;
        }
        assert!(
            !self.cfg.rules.stamp_above
                || stamp.is_none_or(|stamp| base_ballot(stamp) <= takeover.ballot),
            "an owner must not serve a stamp above its ballot"
        );

        match self.jobs.get(&job.key) {
            Some(known) if known.fingerprint != job.fingerprint => Admission::KeyReused,
            Some(_) => self.admit_known(now, job, stamp),
            None => self.admit_new(now, job, stamp),
        }
    }

    /// Looks up a key without submitting its job.
    pub fn look_up(&self, key: &JobKey) -> LookupResult {
        if self
            .serving_takeover(hemlockhook_types::shard_of(key))
            .is_none()
        {
            return LookupResult::Unknown;
        }
        let Some(job) = self.jobs.get(key) else {
            return LookupResult::NotFound;
        };
        match job.answer.clone().or_else(|| job.decided_answer()) {
            _ if job.pending_refusal.is_some() => LookupResult::Pending,
            Some(answer) => LookupResult::Answered(answer),
            None if job.admitted_at.is_some() || job.idle_tasks().is_empty() => {
                LookupResult::Pending
            }
            None => LookupResult::Unknown,
        }
    }

    /// Returns whether an owner can have issued a stamp. Other stamps must not raise the highest
    /// known ballot, so that no caller can exhaust the counter.
    fn is_plausible_stamp(&self, shard: ShardId, stamp: Stamp) -> bool {
        let seen = self
            .shards
            .get(&shard)
            .map_or(0, |state| state.highest_ballot.counter);
        stamp.counter <= seen.saturating_add(MAX_COUNTER_JUMP)
    }

    fn admit_known(&mut self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Admission {
        let uncertain = self.uncertain_answer(now, job, stamp);
        let known = self.jobs.get_mut(&job.key).expect("the job is known");
        if let Some(answer) = &known.answer {
            return Admission::Answered(answer.clone());
        }
        if known.admitted_at.is_some() {
            return Admission::Pending;
        }
        if let Some(answer) = known.decided_answer() {
            known.admitted_at = Some(now);
            self.store_answer(now, &job.key, &answer);
            return Admission::Answered(answer);
        }

        let idle = known.idle_tasks();
        match uncertain {
            Some(answer) if !idle.is_empty() => return self.close_as_unknown(now, job, answer),
            _ => {}
        }
        known.admitted_at = Some(now);
        known.changed_at = now;
        match idle.is_empty() {
            true => Admission::Pending,
            false => Admission::Run(idle),
        }
    }

    /// Returns the answer to give if tasks that are not known to have been started may have been,
    /// or `None` if they cannot have been.
    fn uncertain_answer(&self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Option<Answer> {
        match self.key_age(now, job.shard(), stamp) {
            KeyAge::Fresh => None,
            KeyAge::Old if self.accounts_for_job(now, job) => None,
            KeyAge::Old | KeyAge::Unbounded => Some(unknown_answer(
                Reason::AccountIncomplete,
                "an agent that may have started tasks of the job has not reported",
            )),
            KeyAge::TooOld => Some(unknown_answer(
                Reason::KeyTooOld,
                "the key was made before the window for which starts are kept",
            )),
        }
    }

    fn admit_new(&mut self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Admission {
        if let Some(uncertain) = self.uncertain_answer(now, job, stamp) {
            return self.close_as_unknown(now, job, uncertain);
        }

        let state = new_state(now, job);
        match self.jobs.len() {
            held if held < self.cfg.max_jobs => {
                self.jobs.insert(job.key.clone(), state);
                Admission::Run(all_task_indexes(job))
            }
            _ if self.has_room_to_refuse() => {
                self.jobs.insert(job.key.clone(), state);
                self.settle(now, &job.key, overloaded_answer());
                Admission::Pending
            }
            _ => Admission::Answered(unknown_answer(
                Reason::Overloaded,
                "too many jobs are held to note that this one is refused",
            )),
        }
    }

    /// Closes a job as unknown. If the account is incomplete, the submission first waits for
    /// agents that may still report. The answer is then stored at an agent before it is given, so
    /// that no later owner gives a different one. Other answers, and those for which there is no
    /// room to hold the job, are given at once.
    fn close_as_unknown(&mut self, now: Instant, job: &Job, uncertain: Answer) -> Admission {
        let takeover = self
            .serving_takeover(job.shard())
            .expect("the shard is served");
        let may_wait = now < takeover.began + self.cfg.account_wait;
        let is_known = self.jobs.contains_key(&job.key);
        match uncertain.reason() {
            Some(Reason::AccountIncomplete) if may_wait => Admission::Fencing,
            Some(Reason::AccountIncomplete) if is_known || self.has_room_to_refuse() => {
                let state = self.jobs.entry(job.key.clone());
                let state = state.or_insert_with(|| new_state(now, job));
                state.admitted_at = Some(now);
                state.changed_at = now;
                self.begin_refusal(now, &job.key, uncertain);
                Admission::Pending
            }
            _ => Admission::Answered(uncertain),
        }
    }

    fn has_room_to_refuse(&self) -> bool {
        self.jobs.len() < self.cfg.max_jobs * REFUSED_JOBS_FACTOR
    }

    fn key_age(&self, now: Instant, shard: ShardId, stamp: Option<Stamp>) -> KeyAge {
        let rules = self.cfg.rules;
        let takeover = self.serving_takeover(shard).expect("the shard is served");
        let Some(stamp) = stamp else {
            return KeyAge::Old;
        };
        let is_own_ballot = match rules.stamp_owner {
            true => base_ballot(stamp) == takeover.ballot,
            false => base_ballot(stamp).counter == takeover.ballot.counter,
        };
        let passed = self.epochs_duration(epoch_of(stamp));
        if is_own_ballot {
            let age = now.saturating_duration_since(takeover.began + passed);
            return match age < self.cfg.window || !rules.window {
                true => KeyAge::Fresh,
                false => KeyAge::TooOld,
            };
        }

        if base_ballot(stamp) > takeover.ballot {
            return KeyAge::Old;
        }
        let ballot_starts = &self.shards[&shard].ballot_starts;
        let Some((_, begin)) = ballot_starts
            .iter()
            .find(|(ballot, _)| *ballot == base_ballot(stamp))
        else {
            return KeyAge::Unbounded;
        };
        let made = *begin + passed;
        let age = log_time(now, Duration::ZERO).saturating_duration_since(made);
        match age < self.cfg.window || !rules.window {
            true => KeyAge::Old,
            false => KeyAge::TooOld,
        }
    }

    /// Returns the duration of a number of epochs.
    fn epochs_duration(&self, count: u64) -> Duration {
        epoch_length(self.cfg.window).saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    }

    fn accounts_for_job(&self, now: Instant, job: &Job) -> bool {
        self.serving_takeover(job.shard())
            .is_some_and(|takeover: &Takeover| self.accounts_for(now, takeover, Some(&job.service)))
    }
}

fn new_state(now: Instant, job: &Job) -> JobState {
    JobState {
        shard: job.shard(),
        fingerprint: job.fingerprint,
        service: job.service.clone(),
        idempotent: job.idempotent,
        job_tasks: job.tasks.len() as u32,
        tasks: vec![TaskState::Idle; job.tasks.len()],
        admitted_at: Some(now),
        pending_refusal: None,
        answer: None,
        changed_at: now,
    }
}

fn all_task_indexes(job: &Job) -> Vec<u32> {
    (0..job.tasks.len() as u32).collect()
}

fn overloaded_answer() -> Answer {
    Answer::NotRun {
        reason: Reason::Overloaded,
        detail: "the owner can hold no more jobs".to_owned(),
        retry_after: None,
    }
}

pub(super) fn unknown_answer(reason: Reason, detail: &str) -> Answer {
    Answer::Unknown {
        reason,
        detail: detail.to_owned(),
    }
}
