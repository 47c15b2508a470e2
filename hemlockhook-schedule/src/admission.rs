//! Admission control: decides whether a job is queued.

use std::time::{Duration, Instant};

use hemlockhook_types::Reason;

use crate::dispatcher::{Dispatcher, QueuedTask};
use crate::queue::VirtualDeadline;
use crate::spec::{JobSpec, Policy, Rejection};

/// Minimum time to suggest for a retry after a rejection for a temporary reason.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Rejects a job that can never run, exceeds the queue limit or cannot meet its deadline.
    pub(crate) fn check_admission(
        &self,
        now: Instant,
        spec: &JobSpec,
        queued: &[QueuedTask],
        virtual_deadline: VirtualDeadline,
    ) -> Result<(), Rejection> {
        let Policy {
            teams,
            services,
            max_queued,
            ..
        } = &self.policy;
        let left = spec.deadline.saturating_duration_since(now);
        let longest = queued.last().map_or(0.0, |task| task.work_secs);
        let wait = self.expected_wait(
            longest >= self.policy.long_threshold.as_secs_f64(),
            virtual_deadline,
        );
        let run = Duration::from_secs_f64(longest / self.upstreams.fastest_speed(&spec.service));
        match () {
            () if !teams.is_empty() && !teams.iter().any(|(team, _)| *team == spec.team) => reject(
                Reason::NoSuchTeam,
                format!("the inventory has no team {}", spec.team),
                None,
            ),
            () if !services.is_empty() && !services.contains(&spec.service) => {
                let detail = format!("the inventory has no service {}", spec.service);
                reject(Reason::NoSuchService, detail, None)
            }
            () if self.upstreams.pool(&spec.service).is_none() => {
                let detail = format!("no upstream runs the service {}", spec.service);
                reject(Reason::NoUpstream, detail, Some(MIN_RETRY_AFTER))
            }
            () if left.is_zero() => {
                reject(Reason::Deadline, "the deadline has passed".into(), None)
            }
            () if self.queue.tasks() + queued.len() > *max_queued => {
                let detail = format!("{} tasks are queued", self.queue.tasks());
                reject(Reason::Overloaded, detail, Some(wait.max(MIN_RETRY_AFTER)))
            }
            () if wait > left => {
                let detail = format!("the work queued ahead takes {} ms", wait.as_millis());
                reject(
                    Reason::Deadline,
                    detail,
                    Some((wait - left).max(MIN_RETRY_AFTER)),
                )
            }
            () if self.has_learned_estimate(spec, queued) && run > left => {
                let detail = format!("a task alone takes {} ms", run.as_millis());
                reject(Reason::Deadline, detail, None)
            }
            () => Ok(()),
        }
    }

    /// Returns whether the estimate for the longest task rests on enough observations and not only
    /// on a declared run time.
    fn has_learned_estimate(&self, spec: &JobSpec, queued: &[QueuedTask]) -> bool {
        queued.last().is_some_and(|task| {
            self.estimates.observations(&spec.service, &task.spec.class) >= 20.0
        })
    }

    /// Returns the expected time until the work ahead of a job is done, at the current rate of
    /// service of this entry. Long work may use only the slots up to its ceiling; short work does
    /// not wait for long work.
    fn expected_wait(&self, long: bool, virtual_deadline: VirtualDeadline) -> Duration {
        let slots = (self.running_tasks() + self.upstreams.grants() as usize).max(1);
        let wait_secs = match long {
            true => {
                self.queued_work.ahead_secs(true, virtual_deadline) / f64::from(self.long_ceiling())
            }
            false => self.queued_work.ahead_secs(false, virtual_deadline) / slots as f64,
        };
        Duration::from_secs_f64(wait_secs.clamp(0.0, 1e6))
    }
}

fn reject(reason: Reason, detail: String, retry_after: Option<Duration>) -> Result<(), Rejection> {
    Err(Rejection {
        reason,
        detail,
        retry_after,
    })
}
