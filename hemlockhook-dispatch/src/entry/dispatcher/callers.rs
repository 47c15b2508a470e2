//! Whether the callers of jobs are still connected.
//!
//! A caller that leaves submits its job again elsewhere, so the right to run its tasks ends with its
//! connection. Requests, and the news that a connection was closed, wait in sockets while the process is
//! paused or short of processor time.

use std::time::Instant;

use super::{Action, Dispatcher};
use crate::entry::JobKey;
use crate::entry::job::Job;

impl Dispatcher {
    /// Handles the results of [`Action::CheckCaller`]: the jobs whose callers are connected, and those
    /// whose callers have left, which are dropped.
    pub fn callers_seen(&mut self, now: Instant, connected: &[JobKey], left: &[JobKey]) {
        for &key in connected {
            if let Some(job) = self.jobs.get_mut(key) {
                job.caller_seen = now;
            }
        }
        for &key in left {
            self.withdraw_backlog(key);
            self.remove(now, key);
        }
        self.place_queued(now);
    }

    /// Returns whether the checks of the callers whose jobs have placed tasks are up to date. If they
    /// are not, agents must not be told that the entry is alive.
    pub fn are_callers_checked(&self, now: Instant) -> bool {
        let interval = self.policy.caller_check_interval;
        let limit = interval.saturating_add(self.policy.caller_check_delay);
        let is_checked = |job: &Job| now.saturating_duration_since(job.caller_seen) <= limit;
        self.jobs
            .values()
            .all(|job| job.placed == 0 || is_checked(job))
    }

    /// Has the callers of jobs with placed tasks checked, where that is due.
    pub(super) fn check_callers(&mut self, now: Instant) {
        let is_due = |job: &Job| job.placed > 0 && !self.is_caller_known(now, job);
        let due = self.jobs.iter().filter(|(_, job)| is_due(job));
        let checks: Vec<_> = due.map(|(key, _)| Action::CheckCaller(key)).collect();
        self.actions.extend(checks);
    }

    /// Returns whether the caller of a job was known to be connected a short time ago.
    pub(super) fn is_caller_known(&self, now: Instant, job: &Job) -> bool {
        let age = now.saturating_duration_since(job.caller_seen);
        age < self.policy.caller_check_interval
    }
}
