//! Shutdown of the entry.

use std::time::Instant;

use super::Dispatcher;
use crate::entry::job::Job;
use crate::entry::{Answer, Refusal};

impl Dispatcher {
    /// Refuses further jobs, and those of which nothing has begun. What has begun goes on.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.place_queued(now);
    }

    /// Answers all jobs, at the end of the grace period.
    pub fn expire(&mut self, now: Instant) {
        self.leave(now);
        for key in self.jobs.keys().collect::<Vec<_>>() {
            self.answer(now, key, Answer::TimedOut);
        }
    }

    /// Refuses the jobs of which nothing has begun, so that their callers can go to another entry while
    /// this one shuts down. A job that another entry may run, or of which tasks of an earlier
    /// submission may run, is kept until that is over.
    pub(super) fn refuse_unbegun(&mut self, now: Instant) {
        let may_run = |job: &Job| {
            job.has_begun
                || job.claims.waits_at().is_some()
                || self.ending.contains_key(&job.spec.id)
        };
        let unbegun = self.jobs.iter().filter(|(_, job)| !may_run(job));
        for key in unbegun.map(|(key, _)| key).collect::<Vec<_>>() {
            self.answer(now, key, Answer::NotRun(Refusal::Leaving));
        }
    }
}
