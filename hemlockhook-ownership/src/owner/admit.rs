//! Admission of submissions.

use std::time::{Duration, Instant};

use hemlockhook_types::{Answer, Job, JobKey, Reason, ShardId, Stamp};

use super::job::{JobState, TaskState};
use super::takeover::Takeover;
use super::{Admission, LookupResult, Owner, Role};
use crate::epoch::{MAX_COUNTER_JUMP, base_ballot, epoch_length, epoch_of};
use crate::log_coverage::log_time;

/// Refused jobs are noted until this many times the bound of jobs are held.
const REFUSED_JOBS_FACTOR: usize = 2;

/// What a submission's stamp says of a key that is not known here.
enum Age {
    /// Only this owner can have started it, and would know.
    Fresh,
    /// It may have been started under an earlier ballot, inside the window.
    Old,
    /// It may have been started before the window.
    TooOld,
    /// It cannot be told how old it is.
    Unbounded,
}

impl Owner {
    /// Takes in a submission, with the stamp that the caller held when it made the key.
    pub fn admit(&mut self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Admission {
        let shard = job.shard();
        if stamp.is_some_and(|stamp| !self.is_plausible(shard, stamp)) {
            return Admission::Answered(unknown(Reason::KeyTooOld, "no owner gave out the stamp"));
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
            "an owner serves no stamp above its ballot"
        );

        match self.jobs.get(&job.key) {
            Some(known) if known.fingerprint != job.fingerprint => Admission::KeyReused,
            Some(_) => self.admit_known(now, job, stamp),
            None => self.admit_new(now, job, stamp),
        }
    }

    /// Returns what is known of a key, without submitting it.
    pub fn look_up(&self, key: &JobKey) -> LookupResult {
        if self.serving(hemlockhook_types::shard_of(key)).is_none() {
            return LookupResult::Unknown;
        }
        let Some(job) = self.jobs.get(key) else {
            return LookupResult::NotFound;
        };
        match job.answer.clone().or_else(|| job.verdict()) {
            _ if job.refusing.is_some() => LookupResult::Pending,
            Some(answer) => LookupResult::Answered(answer),
            None if job.admitted.is_some() || job.idle().is_empty() => LookupResult::Pending,
            None => LookupResult::Unknown,
        }
    }

    /// Returns whether an owner can have given a stamp out. Others are not taken as ballots seen,
    /// so that none can use the counter up.
    fn is_plausible(&self, shard: ShardId, stamp: Stamp) -> bool {
        let seen = self
            .shards
            .get(&shard)
            .map_or(0, |state| state.seen.counter);
        stamp.counter <= seen.saturating_add(MAX_COUNTER_JUMP)
    }

    fn admit_known(&mut self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Admission {
        let doubt = self.doubt(now, job, stamp);
        let known = self.jobs.get_mut(&job.key).expect("it is known");
        if let Some(answer) = &known.answer {
            return Admission::Answered(answer.clone());
        }
        if known.admitted.is_some() {
            return Admission::Pending;
        }
        if let Some(answer) = known.verdict() {
            known.admitted = Some(now);
            self.keep_answer(now, &job.key, &answer);
            return Admission::Answered(answer);
        }

        let idle = known.idle();
        match doubt {
            Some(doubt) if !idle.is_empty() => return self.close(now, job, doubt),
            _ => {}
        }
        known.admitted = Some(now);
        known.touched = now;
        match idle.is_empty() {
            true => Admission::Pending,
            false => Admission::Run(idle),
        }
    }

    /// Returns the answer for a submission whose tasks may have been started unless they are known
    /// to have been.
    fn doubt(&self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Option<Answer> {
        match self.age(now, job.shard(), stamp) {
            Age::Fresh => None,
            Age::Old if self.accounts_for_job(now, job) => None,
            Age::Old | Age::Unbounded => Some(unknown(
                Reason::AccountIncomplete,
                "an agent that may have started tasks of the job has not reported",
            )),
            Age::TooOld => Some(unknown(
                Reason::KeyTooOld,
                "the key was made before the window for which starts are kept",
            )),
        }
    }

    fn admit_new(&mut self, now: Instant, job: &Job, stamp: Option<Stamp>) -> Admission {
        if let Some(doubt) = self.doubt(now, job, stamp) {
            return self.close(now, job, doubt);
        }

        let state = new_state(now, job);
        match self.jobs.len() {
            held if held < self.cfg.max_jobs => {
                self.jobs.insert(job.key.clone(), state);
                Admission::Run(state_indexes(job))
            }
            _ if self.has_room_to_refuse() => {
                self.jobs.insert(job.key.clone(), state);
                self.settle(now, &job.key, overloaded());
                Admission::Pending
            }
            _ => Admission::Answered(unknown(
                Reason::Overloaded,
                "too many jobs are held to note that this one is refused",
            )),
        }
    }

    /// Answers a job as unknown: late, as an agent may still report, and for good, so that no owner
    /// says otherwise afterwards.
    fn close(&mut self, now: Instant, job: &Job, doubt: Answer) -> Admission {
        let takeover = self.serving(job.shard()).expect("it is served");
        let may_wait = now < takeover.began + self.cfg.account_wait;
        let is_known = self.jobs.contains_key(&job.key);
        match doubt.reason() {
            Some(Reason::AccountIncomplete) if may_wait => Admission::Fencing,
            Some(Reason::AccountIncomplete) if is_known || self.has_room_to_refuse() => {
                let state = self.jobs.entry(job.key.clone());
                let state = state.or_insert_with(|| new_state(now, job));
                state.admitted = Some(now);
                state.touched = now;
                self.refuse(now, &job.key, doubt);
                Admission::Pending
            }
            _ => Admission::Answered(doubt),
        }
    }

    fn has_room_to_refuse(&self) -> bool {
        self.jobs.len() < self.cfg.max_jobs * REFUSED_JOBS_FACTOR
    }

    fn age(&self, now: Instant, shard: ShardId, stamp: Option<Stamp>) -> Age {
        let rules = self.cfg.rules;
        let takeover = self.serving(shard).expect("it is served");
        let Some(stamp) = stamp else {
            return Age::Old;
        };
        let own = match rules.stamp_owner {
            true => base_ballot(stamp) == takeover.ballot,
            false => base_ballot(stamp).counter == takeover.ballot.counter,
        };
        let passed = self.epochs(epoch_of(stamp));
        if own {
            let age = now.saturating_duration_since(takeover.began + passed);
            return match age < self.cfg.window || !rules.window {
                true => Age::Fresh,
                false => Age::TooOld,
            };
        }

        if base_ballot(stamp) > takeover.ballot {
            return Age::Old;
        }
        let begins = &self.shards[&shard].begins;
        let Some((_, begin)) = begins
            .iter()
            .find(|(ballot, _)| *ballot == base_ballot(stamp))
        else {
            return Age::Unbounded;
        };
        let made = *begin + passed;
        let age = log_time(now, Duration::ZERO).saturating_duration_since(made);
        match age < self.cfg.window || !rules.window {
            true => Age::Old,
            false => Age::TooOld,
        }
    }

    /// Returns the length of a number of epochs.
    fn epochs(&self, count: u64) -> Duration {
        epoch_length(self.cfg.window).saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    }

    fn accounts_for_job(&self, now: Instant, job: &Job) -> bool {
        self.serving(job.shard())
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
        admitted: Some(now),
        refusing: None,
        answer: None,
        touched: now,
    }
}

fn state_indexes(job: &Job) -> Vec<u32> {
    (0..job.tasks.len() as u32).collect()
}

fn overloaded() -> Answer {
    Answer::NotRun {
        reason: Reason::Overloaded,
        detail: "the owner can hold no more jobs".to_owned(),
        retry_after: None,
    }
}

pub(super) fn unknown(reason: Reason, detail: &str) -> Answer {
    Answer::Unknown {
        reason,
        detail: detail.to_owned(),
    }
}
