//! Jobs that were cancelled and whose deadlines have not passed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::JobId;

/// Maximum number of jobs that are kept: at 200 bytes each, under 2 MB. It lasts for 130 cancellations
/// per second at one process, with deadlines of 60 s.
const MAX_JOBS: usize = 8192;

/// Interval at which jobs whose time has passed are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Cancelled jobs, so that late copies of their requests are not run.
///
/// A job that is cancelled while the maximum number is kept is not added: a late copy of it runs, as
/// does one that arrives after the deadline.
#[derive(Debug, Default)]
pub(crate) struct CancelledJobs {
    until: BTreeMap<JobId, Instant>,
    swept_at: Option<Instant>,
}

impl CancelledJobs {
    /// Adds a job until the given time. Returns whether it is kept.
    pub(crate) fn insert(&mut self, now: Instant, job: &JobId, until: Instant) -> bool {
        if let Some(known) = self.until.get_mut(job) {
            *known = until.max(*known);
            return true;
        }
        if self.until.len() >= MAX_JOBS {
            self.until.retain(|_, until| *until > now);
        }
        if self.until.len() >= MAX_JOBS {
            return false;
        }
        self.until.insert(job.clone(), until);
        true
    }

    pub(crate) fn contains(&self, now: Instant, job: &str) -> bool {
        self.until.get(job).is_some_and(|&until| until > now)
    }

    /// Removes the jobs whose time has passed, at most once per second.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.swept_at.is_some_and(is_recent) {
            return;
        }
        self.swept_at = Some(now);
        self.until.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with the number of cancellations.
    #[test]
    fn the_number_of_jobs_is_bounded() {
        let now = Instant::now();
        let until = now + Duration::from_secs(60);
        let mut jobs = CancelledJobs::default();
        let id = |index: usize| JobId::from(format!("job-{index}"));
        let kept = (0..2 * MAX_JOBS).filter(|&index| jobs.insert(now, &id(index), until));
        assert_eq!(kept.count(), MAX_JOBS);
        assert!(jobs.contains(now, "job-0"));
        assert!(!jobs.contains(until, "job-0"));
        // What has passed makes room.
        assert!(jobs.insert(until, &id(MAX_JOBS), until + SWEEP_INTERVAL));
        jobs.sweep(until);
        assert_eq!(jobs.until.len(), 1);
    }
}
